package leader

import (
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// BaseKey has what a restored cluster goes on from. RestoreKey is there while a
// restore is under way: nobody leads then.
const (
	BaseKey    = statestore.Prefix + "base"
	RestoreKey = statestore.Prefix + "restore"
)

// Base is above everything that was used before a restore. A state service that
// begins anew counts its revisions from 1, and workers that have seen higher tokens
// would obey nobody.
type Base struct {
	V int `json:"v"`
	// Token is added to the leader key's revision.
	Token uint64 `json:"token"`
	// Attempts is added to recorded attempts below it: later ones, of which the
	// restored records know nothing, may still run or be remembered by workers.
	Attempts uint64 `json:"attempts"`
	// Sum names the snapshot that was restored.
	Sum string `json:"sum,omitempty"`
	// Settled: a leader has waited until all that was started before is surely gone,
	// or was reported.
	Settled bool `json:"settled,omitempty"`
}

// ReadBase reads the base from the replica; ok is false while it can't be read: then
// nobody may lead.
func ReadBase(s *statestore.Store) (b Base, ok bool) {
	it, found := s.Peek(BaseKey)
	if !found {
		return Base{Settled: true}, true
	}
	if wire.Decode(it.Value, &b) != nil || b.V != 1 {
		return Base{}, false
	}
	return b, true
}
