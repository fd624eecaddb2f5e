package leader

import (
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// BaseKey holds the base of a restored cluster (Base). RestoreKey exists while a restore is in
// progress; no node leads then.
const (
	BaseKey    = statestore.Prefix + "base"
	RestoreKey = statestore.Prefix + "restore"
)

// Base lies above all tokens and attempts that were used before a restore. A new state service
// counts its revisions from 1, and workers that have seen higher tokens would reject every
// leader.
type Base struct {
	V int `json:"v"`
	// Token is added to the leader key's revision.
	Token uint64 `json:"token"`
	// Attempts is added to recorded attempts below it. Later attempts, which the restored
	// records don't contain, may still run, or workers may remember them.
	Attempts uint64 `json:"attempts"`
	// Sum is the checksum of the snapshot that was restored.
	Sum string `json:"sum,omitempty"`
	// Settled says that a leader has waited until everything that was started before the
	// restore was reported or has certainly ended.
	Settled bool `json:"settled,omitempty"`
}

// ReadBase reads the base from the replica. If it can't be decoded, ok is false and no node may
// lead.
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
