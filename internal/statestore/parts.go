package statestore

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"brooklb/internal/wire"
)

// A value that is larger than the state service's limit is stored as parts under keys of their
// own. The parts take several transactions, so a reader may find parts of two values; the
// checksum, which all parts of a value share, tells them apart.

// valuePart is one part of a value.
type valuePart struct {
	V     int    `json:"v"`
	Sum   string `json:"sum"` // checksum of the whole value
	Count int    `json:"n"`   // number of parts
	Data  []byte `json:"d"`
}

const (
	partFormat = 1
	// partOverheadBytes is the size of a part without its data.
	partOverheadBytes = 100
	sumBytes          = 16
)

// ErrIncomplete reports that not all parts of a value are in the replica.
var ErrIncomplete = errors.New("some parts of the value are missing")

// PartKey returns the key of the n-th part of a key's value.
func PartKey(key string, n int) string { return key + "/" + strconv.Itoa(n) }

func checksum(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:sumBytes])
}

// SplitValue splits a value into encoded parts of at most limit bytes.
func SplitValue(value []byte, limit int) [][]byte {
	size := max(1, (limit-partOverheadBytes)/4*3) // JSON holds the data as base64
	count := (len(value) + size - 1) / size
	sum := checksum(value)
	parts := make([][]byte, 0, count)
	for n := range count {
		data := value[n*size : min(len(value), (n+1)*size)]
		parts = append(parts, wire.Encode(valuePart{V: partFormat, Sum: sum, Count: count, Data: data}))
	}
	return parts
}

// ReadParts returns the value whose parts the replica has. The error is ErrIncomplete if parts of
// it are missing, for example while another node writes them.
func (s *Store) ReadParts(key string) ([]byte, error) {
	first, err := s.readPart(key, 0)
	if err != nil {
		return nil, err
	}
	value := first.Data
	for n := 1; n < first.Count; n++ {
		part, err := s.readPart(key, n)
		if err != nil {
			return nil, err
		}
		if part.Sum != first.Sum || part.Count != first.Count {
			return nil, ErrIncomplete
		}
		value = append(value, part.Data...)
	}
	if checksum(value) != first.Sum {
		return nil, fmt.Errorf("parts of %s: wrong checksum", key)
	}
	return value, nil
}

func (s *Store) readPart(key string, n int) (valuePart, error) {
	var part valuePart
	partKey := PartKey(key, n)
	it, ok := s.Peek(partKey)
	if !ok {
		return part, ErrIncomplete
	}
	if err := wire.Decode(it.Value, &part); err != nil {
		return part, fmt.Errorf("key %s: %w", partKey, err)
	}
	if part.V != partFormat {
		return part, fmt.Errorf("key %s: format %d is not known here", partKey, part.V)
	}
	return part, nil
}
