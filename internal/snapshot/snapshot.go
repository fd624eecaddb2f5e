// Package snapshot copies a cluster's state out of the state service into a file,
// looks into such files, checks them, and puts one back into an empty service.
package snapshot

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"sort"
	"strings"

	"brooklb/internal/statestore"

	"github.com/klauspost/compress/zstd"
	"github.com/segmentio/encoding/json"
)

// magic is the first line of a file; the number is the file format's.
const (
	magic   = "brooklb state "
	version = "1"
	// A value is at most some KiB; a line of a damaged file may be anything.
	mostLine = 1 << 20
	// mostKeys bounds what is read into memory.
	mostKeys = 5_000_000
)

// Item is a key with its value.
type Item struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}

// Snapshot is all of a cluster's state at one revision, by key.
type Snapshot struct {
	Epoch uint64
	AtMS  int64
	Items []Item
}

// head is the first line inside the compressed part, tail the last.
type head struct {
	Epoch uint64 `json:"epoch"`
	AtMS  int64  `json:"at_ms"`
	Keys  int    `json:"keys"`
}

type tail struct {
	SHA256 string `json:"sha256"` // of all lines before
}

// Write writes a file: a plain line with its format, then, compressed with zstd, a
// line of JSON for the head, one for each key, and one with a checksum.
func (s *Snapshot) Write(w io.Writer) error {
	if _, err := io.WriteString(w, magic+version+"\n"); err != nil {
		return err
	}
	z, err := zstd.NewWriter(w, zstd.WithEncoderCRC(true), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return err
	}
	sum := sha256.New()
	line := func(v any, to io.Writer) error {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		_, err = to.Write(append(b, '\n'))
		return err
	}
	both := io.MultiWriter(z, sum)
	if err := line(head{s.Epoch, s.AtMS, len(s.Items)}, both); err != nil {
		return err
	}
	for i := range s.Items {
		if err := line(&s.Items[i], both); err != nil {
			return err
		}
	}
	if err := line(tail{hex.EncodeToString(sum.Sum(nil))}, z); err != nil {
		return err
	}
	return z.Close()
}

// ErrForeign says that a file is no snapshot, or one of a later program.
var ErrForeign = errors.New("it is no snapshot of a cluster's state")

// Read reads a file. Whatever is wrong with it, nothing of it is returned.
func Read(r io.Reader) (*Snapshot, error) {
	in := bufio.NewReader(r)
	first := make([]byte, len(magic)+len(version)+1)
	if _, err := io.ReadFull(in, first); err != nil || !strings.HasPrefix(string(first), magic) {
		return nil, ErrForeign
	}
	if got := strings.TrimSpace(string(first[len(magic):])); got != version || first[len(first)-1] != '\n' {
		return nil, fmt.Errorf("format %q is not known here, %s is: it may be a later program's", got, version)
	}
	z, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, fmt.Errorf("damaged: %w", err)
	}
	defer z.Close()
	lines := bufio.NewScanner(z)
	lines.Buffer(make([]byte, 0, 64<<10), mostLine)
	sum := sha256.New()
	next := func(sum hash.Hash) ([]byte, error) {
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return nil, fmt.Errorf("damaged: %w", err)
			}
			return nil, errors.New("damaged: it ends too soon")
		}
		if sum != nil {
			sum.Write(lines.Bytes())
			sum.Write([]byte{'\n'})
		}
		return lines.Bytes(), nil
	}
	b, err := next(sum)
	if err != nil {
		return nil, err
	}
	var h head
	if err := json.Unmarshal(b, &h); err != nil || h.Keys < 0 || h.Keys > mostKeys {
		return nil, fmt.Errorf("damaged: its head makes no sense: %.80q", b)
	}
	s := &Snapshot{Epoch: h.Epoch, AtMS: h.AtMS, Items: make([]Item, 0, min(h.Keys, 1<<16))}
	for i := range h.Keys {
		if b, err = next(sum); err != nil {
			return nil, fmt.Errorf("key %d of %d: %w", i+1, h.Keys, err)
		}
		var it Item
		if err := json.Unmarshal(bytes.Clone(b), &it); err != nil || it.Path == "" || it.Stamp == 0 || len(it.Value) == 0 {
			return nil, fmt.Errorf("key %d of %d makes no sense: %.80q", i+1, h.Keys, b)
		}
		if n := len(s.Items); n > 0 && s.Items[n-1].Path >= it.Path {
			return nil, fmt.Errorf("key %d of %d, %s, is not in order", i+1, h.Keys, it.Path)
		}
		s.Items = append(s.Items, it)
	}
	if b, err = next(nil); err != nil {
		return nil, fmt.Errorf("checksum: %w", err)
	}
	var t tail
	if err := json.Unmarshal(b, &t); err != nil || t.SHA256 != hex.EncodeToString(sum.Sum(nil)) {
		return nil, errors.New("damaged: its checksum is wrong")
	}
	if lines.Scan() {
		return nil, errors.New("damaged: something follows its end")
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("damaged: %w", err)
	}
	return s, nil
}

// Sum names the snapshot's content.
func (s *Snapshot) Sum() string {
	h := sha256.New()
	for i := range s.Items {
		fmt.Fprintf(h, "%s %d %s\n", s.Items[i].Path, s.Items[i].Stamp, s.Items[i].Value)
	}
	return hex.EncodeToString(h.Sum(nil))[:32]
}

func (s *Snapshot) sort() {
	sort.Slice(s.Items, func(i, j int) bool { return s.Items[i].Path < s.Items[j].Path })
}

// Prefix is where a cluster's keys lie.
const Prefix = statestore.Prefix
