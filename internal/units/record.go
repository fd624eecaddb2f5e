// Package units counts named resources of which there are only so many: seats of a
// tool, licences. It has their records, and the book of who may take how many. Who
// holds units is not written anywhere by itself: a unit is held by a placement, from
// the write that makes it durable to the proof that it is gone (package ledger).
package units

import (
	"errors"
	"fmt"
	"strings"

	"brooklb/internal/model"
	"brooklb/internal/statestore"

	"github.com/segmentio/encoding/json"
)

// Prefix is where the records of resources lie.
const Prefix = statestore.Prefix + "u/"

const (
	format = 1
	// MaxCount is the largest count of a resource.
	MaxCount = 1_000_000
	// MaxNamed is the largest number of resources.
	MaxNamed = 1000
	mostTeam = 50 // teams with a limit or share of a resource
)

// ErrUnreadable says that a record is there and can't be read: nothing is known.
var ErrUnreadable = errors.New("its record can't be read")

// Key is the key of a resource's record.
func Key(name string) string { return Prefix + name }

// Part is what a team may have of a resource.
type Part struct {
	Most  int `json:"most,omitempty"`  // at any time, 0: as many as there are
	Share int `json:"share,omitempty"` // below it, the team's jobs go first
}

// Record is what the state service keeps of a resource.
type Record struct {
	V     int             `json:"v"`
	Count int             `json:"n"`
	Gone  bool            `json:"gone,omitempty"` // removed
	Teams map[string]Part `json:"t,omitempty"`
	// Reserve has, by priority, units that only jobs of that priority or a higher
	// one may take.
	Reserve [4]int `json:"r"`
	// External is how many are taken outside, by the operator's number or the last
	// answer of a probe.
	External int `json:"x,omitempty"`
	// Shed: what exceeds the count is to be stopped.
	Shed bool `json:"shed,omitempty"`
	// File is the count that the properties file last said, to tell its changes.
	File   int    `json:"f,omitempty"`
	By     string `json:"by,omitempty"`
	AtMS   int64  `json:"at,omitempty"`
	Change string `json:"c,omitempty"` // names the write
}

// ValidName reports whether a resource can have the name.
func ValidName(name string) bool {
	if name == "" || len(name) > 40 {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || i > 0 && (c == '-' || c == '_')) {
			return false
		}
	}
	return true
}

// BadName says what is wrong with a name.
func BadName(name string) error {
	if len(name) > 60 {
		name = name[:60]
	}
	if low := strings.ToLower(name); ValidName(low) {
		return fmt.Errorf("%q is no name of a resource: names have small letters, %q is one", name, low)
	}
	return fmt.Errorf("%q is no name of a resource: up to 40 of a-z, 0-9, - and _", name)
}

// Check says what is wrong with the record, nil if nothing is.
func (r *Record) Check() error {
	switch {
	case r.Count < 0 || r.Count > MaxCount:
		return fmt.Errorf("field count: %d is not from 0 to %d", r.Count, MaxCount)
	case r.External < 0 || r.External > MaxCount:
		return fmt.Errorf("field external: %d is not from 0 to %d", r.External, MaxCount)
	case len(r.Teams) > mostTeam:
		return fmt.Errorf("field teams: at most %d", mostTeam)
	}
	for p, n := range r.Reserve {
		if n < 0 || n > MaxCount {
			return fmt.Errorf("field reserve: %d for %s is not from 0 to %d", n, model.Priority(p), MaxCount)
		}
	}
	share := 0
	for t, p := range r.Teams {
		if p.Most < 0 || p.Share < 0 || p.Most > MaxCount || p.Share > MaxCount {
			return fmt.Errorf("field teams: amounts of %q are not from 0 to %d", t, MaxCount)
		}
		if p.Most > 0 && p.Share > p.Most {
			return fmt.Errorf("field teams: the share of %q is above its limit", t)
		}
		share += p.Share
	}
	if share > r.Count && !r.Gone {
		return fmt.Errorf("field teams: shares of %d units of which there are %d", share, r.Count)
	}
	return nil
}

// Encode makes the value of the record.
func (r *Record) Encode() []byte {
	r.V = format
	b, err := json.Marshal(r)
	if err != nil {
		panic("units: " + err.Error())
	}
	return b
}

// Decode reads a record. One that can't be read is an error, never an absent
// resource.
func Decode(name string, b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("record of resource %s: %w", name, err)
	}
	if r.V != format {
		return nil, fmt.Errorf("record of resource %s: format %d is not known here", name, r.V)
	}
	// A count that was lowered below the shares is the operator's to mend.
	c := r
	c.Gone = true
	if err := c.Check(); err != nil && r.Count < 0 {
		return nil, fmt.Errorf("record of resource %s: %w", name, err)
	}
	return &r, nil
}
