// Package units counts named resources that exist in a limited number, such as
// licences or seats of a tool. It has their records and computes who may take how many
// units. Holders have no records of their own: a placement holds its units from the time
// it is planned until it is proven gone (package ledger).
package units

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// Prefix is the prefix of the keys of resource records.
const Prefix = statestore.Prefix + "u/"

const (
	recordFormat = 1
	// MaxCount is the largest count of a resource.
	MaxCount = 1_000_000
	// MaxResources is the largest number of resources.
	MaxResources = 1000
	maxTeams     = 50 // teams with a limit or share of a resource
	// maxNonceBytes is the size of a 64-bit number in hexadecimal digits.
	maxNonceBytes = 16
)

// ErrUnreadable reports that a record exists but can't be decoded, so nothing is known
// about the resource.
var ErrUnreadable = errors.New("its record can't be read")

// Key returns the key of a resource's record.
func Key(name string) string { return Prefix + name }

// TeamLimits are the limits of a team's use of a resource.
type TeamLimits struct {
	Most  int `json:"most,omitempty"`  // largest number of units at any time, 0: no limit
	Share int `json:"share,omitempty"` // while the team uses fewer units, its jobs go first
}

// Record is the stored state of a resource.
type Record struct {
	V       int                   `json:"v"`
	Count   int                   `json:"n"`
	Removed bool                  `json:"gone,omitempty"`
	Teams   map[string]TeamLimits `json:"t,omitempty"`
	// Reserve is, for each priority, the number of units that only jobs of that
	// priority or a higher one may take.
	Reserve [4]int `json:"r"`
	// External is how many units are in use outside the cluster, as set by an operator
	// or by the last answer of a probe.
	External int `json:"x,omitempty"`
	// Shed means that tasks are stopped when more units are in use than there are.
	Shed bool `json:"shed,omitempty"`
	// DeclaredCount is the last count from the options file. It shows when the file has
	// changed.
	DeclaredCount int    `json:"f,omitempty"`
	By            string `json:"by,omitempty"`
	AtMS          int64  `json:"at,omitempty"`
	Nonce         string `json:"c,omitempty"` // makes each write unique
}

// ValidName reports whether the name is valid for a resource.
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

// BadName returns an error that says why a name is invalid.
func BadName(name string) error {
	if len(name) > 60 {
		name = name[:60]
	}
	if low := strings.ToLower(name); ValidName(low) {
		return fmt.Errorf("%q is no name of a resource: names have small letters, %q is one", name, low)
	}
	return fmt.Errorf("%q is no name of a resource: up to 40 of a-z, 0-9, - and _", name)
}

// Check returns an error if the record is invalid.
func (r *Record) Check() error {
	switch {
	case r.Count < 0 || r.Count > MaxCount:
		return fmt.Errorf("field count: %d is not from 0 to %d", r.Count, MaxCount)
	case r.External < 0 || r.External > MaxCount:
		return fmt.Errorf("field external: %d is not from 0 to %d", r.External, MaxCount)
	case len(r.Teams) > maxTeams:
		return fmt.Errorf("field teams: at most %d", maxTeams)
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
	if share > r.Count && !r.Removed {
		return fmt.Errorf("field teams: shares of %d units of which there are %d", share, r.Count)
	}
	return nil
}

// Encode returns the record's stored form and sets its format.
func (r *Record) Encode() []byte {
	r.V = recordFormat
	b, err := json.Marshal(r)
	if err != nil {
		panic("units: " + err.Error())
	}
	return b
}

// LargestBytes returns the size to which the record may grow without further teams: counts, who
// changed it last and its removal are written later.
func (r *Record) LargestBytes() int {
	largest := *r
	largest.Count, largest.External, largest.DeclaredCount = MaxCount, MaxCount, MaxCount
	largest.Reserve = [4]int{MaxCount, MaxCount, MaxCount, MaxCount}
	largest.Removed, largest.Shed = true, true
	largest.By = strings.Repeat("x", wire.MaxTextBytes)
	largest.AtMS, largest.Nonce = math.MaxInt64, strings.Repeat("x", maxNonceBytes)
	return len(largest.Encode())
}

// Decode decodes a record. A record that can't be decoded is an error and never counts
// as an absent resource.
func Decode(name string, b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("record of resource %s: %w", name, err)
	}
	if r.V != recordFormat {
		return nil, fmt.Errorf("record of resource %s: format %d is not known here", name, r.V)
	}
	// A count that was lowered below the shares is no error here: the operator has to
	// correct it.
	c := r
	c.Removed = true
	if err := c.Check(); err != nil && r.Count < 0 {
		return nil, fmt.Errorf("record of resource %s: %w", name, err)
	}
	return &r, nil
}
