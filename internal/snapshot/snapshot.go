// Package snapshot exports a cluster's state from the state service to a file, reads and
// verifies such files, and restores one into an empty state service.
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

// Format of a snapshot file, and bounds for reading one.
const (
	// The first line of a file is magic followed by the version of the file format.
	magic   = "brooklb state "
	version = "1"
	// maxLineBytes bounds the lines of a damaged file; a value has a few KiB at most.
	maxLineBytes = 1 << 20
	// maxKeys bounds the memory that a snapshot takes.
	maxKeys = 5_000_000
)

// Item is a key with its value and revision, which the file calls its stamp.
type Item struct {
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}

// Snapshot is a cluster's whole state at a revision of the store, sorted by key.
type Snapshot struct {
	Revision uint64
	AtMS     int64
	Items    []Item
}

// header is the first line of the compressed part of a file.
type header struct {
	Revision uint64 `json:"epoch"`
	AtMS     int64  `json:"at_ms"`
	Keys     int    `json:"keys"`
}

// trailer is the last line of the compressed part of a file.
type trailer struct {
	SHA256 string `json:"sha256"` // of all lines before this one
}

// Write writes a snapshot file. Its first line is plain text and names the format. The rest
// is compressed with zstd: lines of JSON for the header, each key, and the checksum.
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
	if err := line(header{s.Revision, s.AtMS, len(s.Items)}, both); err != nil {
		return err
	}
	for i := range s.Items {
		if err := line(&s.Items[i], both); err != nil {
			return err
		}
	}
	if err := line(trailer{hex.EncodeToString(sum.Sum(nil))}, z); err != nil {
		return err
	}
	return z.Close()
}

// ErrNotSnapshot means that a file is not a snapshot.
var ErrNotSnapshot = errors.New("not a snapshot of a cluster's state")

// Read reads a snapshot file. It returns no part of a file that has an error.
func Read(r io.Reader) (*Snapshot, error) {
	in := bufio.NewReader(r)
	first := make([]byte, len(magic)+len(version)+1)
	if _, err := io.ReadFull(in, first); err != nil || !strings.HasPrefix(string(first), magic) {
		return nil, ErrNotSnapshot
	}
	if got := strings.TrimSpace(string(first[len(magic):])); got != version || first[len(first)-1] != '\n' {
		return nil, fmt.Errorf("unsupported format %q, want %s: a later version of the program may have written the file", got, version)
	}
	z, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, fmt.Errorf("damaged: %w", err)
	}
	defer z.Close()
	lines := bufio.NewScanner(z)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	sum := sha256.New()
	next := func(sum hash.Hash) ([]byte, error) {
		if !lines.Scan() {
			if err := lines.Err(); err != nil {
				return nil, fmt.Errorf("damaged: %w", err)
			}
			return nil, errors.New("damaged: unexpected end of file")
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
	var h header
	if err := json.Unmarshal(b, &h); err != nil || h.Keys < 0 || h.Keys > maxKeys {
		return nil, fmt.Errorf("damaged: invalid header: %.80q", b)
	}
	s := &Snapshot{Revision: h.Revision, AtMS: h.AtMS, Items: make([]Item, 0, min(h.Keys, 1<<16))}
	for i := range h.Keys {
		if b, err = next(sum); err != nil {
			return nil, fmt.Errorf("key %d of %d: %w", i+1, h.Keys, err)
		}
		var it Item
		if err := json.Unmarshal(bytes.Clone(b), &it); err != nil || it.Path == "" || it.Revision == 0 || len(it.Value) == 0 {
			return nil, fmt.Errorf("key %d of %d is invalid: %.80q", i+1, h.Keys, b)
		}
		if n := len(s.Items); n > 0 && s.Items[n-1].Path >= it.Path {
			return nil, fmt.Errorf("key %d of %d, %s, is out of order", i+1, h.Keys, it.Path)
		}
		s.Items = append(s.Items, it)
	}
	if b, err = next(nil); err != nil {
		return nil, fmt.Errorf("checksum: %w", err)
	}
	var t trailer
	if err := json.Unmarshal(b, &t); err != nil || t.SHA256 != hex.EncodeToString(sum.Sum(nil)) {
		return nil, errors.New("damaged: wrong checksum")
	}
	if lines.Scan() {
		return nil, errors.New("damaged: data after the checksum")
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("damaged: %w", err)
	}
	return s, nil
}

// Sum returns a hash that identifies the snapshot's content.
func (s *Snapshot) Sum() string {
	h := sha256.New()
	for i := range s.Items {
		fmt.Fprintf(h, "%s %d %s\n", s.Items[i].Path, s.Items[i].Revision, s.Items[i].Value)
	}
	return hex.EncodeToString(h.Sum(nil))[:32]
}

func (s *Snapshot) sort() {
	sort.Slice(s.Items, func(i, j int) bool { return s.Items[i].Path < s.Items[j].Path })
}

// Prefix is the common prefix of a cluster's keys.
const Prefix = statestore.Prefix
