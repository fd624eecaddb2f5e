package statestore

import (
	"errors"
	"strings"
	"testing"
)

// TestParts guards against parts over the limit for values, and against a value that is put
// together from the parts of two.
func TestParts(t *testing.T) {
	const limit = 1024
	for _, size := range []int{1, 600, 693, 694, 5000, 300_000} {
		s := &Store{items: map[string]Item{}}
		put := func(parts [][]byte, from, to int) {
			for n := from; n < to; n++ {
				s.items[PartKey("b/x", n)] = Item{Value: parts[n], Revision: 1}
			}
		}
		value, other := strings.Repeat("a", size), strings.Repeat("b", size)
		parts := SplitValue([]byte(value), limit)
		for _, part := range parts {
			if len(part) > limit {
				t.Errorf("%d bytes: a part of %d bytes", size, len(part))
			}
		}
		if _, err := s.ReadParts("b/x"); !errors.Is(err, ErrIncomplete) {
			t.Errorf("%d bytes, no part: %v", size, err)
		}
		put(parts, 0, len(parts))
		if got, err := s.ReadParts("b/x"); err != nil || string(got) != value {
			t.Errorf("%d bytes in %d parts: %v", size, len(parts), err)
		}
		if len(parts) == 1 {
			continue
		}
		put(SplitValue([]byte(other), limit), 1, 2)
		if _, err := s.ReadParts("b/x"); !errors.Is(err, ErrIncomplete) {
			t.Errorf("%d bytes, a part of another value: %v", size, err)
		}
		put(parts, 0, len(parts))
		delete(s.items, PartKey("b/x", len(parts)-1))
		if _, err := s.ReadParts("b/x"); !errors.Is(err, ErrIncomplete) {
			t.Errorf("%d bytes, the last part is missing: %v", size, err)
		}
	}
	s := &Store{items: map[string]Item{PartKey("b/x", 0): {Value: []byte(`{"v":9}`), Revision: 1}}}
	if _, err := s.ReadParts("b/x"); err == nil || errors.Is(err, ErrIncomplete) {
		t.Errorf("a part of an unknown format: %v", err)
	}
}
