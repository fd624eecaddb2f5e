// Package cancellation is what controllers tell a leader of cancellations, so that it knows until
// when nobody can have told a user of one that it doesn't know of.
//
// A leader that the state service doesn't answer may keep workers' leases alive for the hold
// only: a job may have been cancelled through another node. But only nodes tell users, and
// each knows what it has told. A leader that hears from every other node "this is all that I
// know of beyond your revision", knows that nothing else was told before it asked, and its
// hold counts from then. In an outage for all, work goes on for as long as the controllers
// hear each other; a leader that is refused alone learns of cancellations at once.
//
// What it relies on: a node tells a user of a cancellation only after its replica has had the
// record (statestore.Commit, Read, Get put it there first); a node that has been elected says
// nothing to another leader any more, so that no leader answers for longer than the hold
// after the next one's election.
package cancellation

import (
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
)

const (
	// So many cancellations a node remembers; a leader that lags by more is told that it
	// doesn't hear all.
	kept = 64
	// So many bytes of them at most are in one message.
	mostBytes = 24 << 10
)

// Record is the record of a cancelled job, as the state service has it.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	Stamp uint64 `cbor:"3,keyasint"`
}

// Question is what a leader says with each status: its token, its clock in milliseconds,
// and the revision up to which it knows everything.
type Question struct {
	Token uint64 `cbor:"1,keyasint"`
	Clock uint64 `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"3,keyasint"`
}

// Answer is what a node knows beyond the question's revision. All says that there is nothing
// else that it may have told anybody.
type Answer struct {
	Token   uint64   `cbor:"1,keyasint"`
	Clock   uint64   `cbor:"2,keyasint"`
	Records []Record `cbor:"3,keyasint,omitempty"`
	All     bool     `cbor:"4,keyasint,omitempty"`
}

// Store is the part of the replica (statestore.Store) that a Teller sees.
type Store interface {
	Subscribe(f func(key string, it *statestore.Item))
	OnResync(f func())
	Each(prefix string, f func(key string, it statestore.Item))
	Synced() bool
}

// Teller remembers the cancellations that a node knows of.
type Teller struct {
	store  Store
	recent []Record // by revision
	// from is the revision up to which some may be missing in recent.
	from uint64
	last Question
}

// NewTeller makes the teller of a node.
func NewTeller(store Store) *Teller {
	t := &Teller{store: store}
	store.Subscribe(t.changed)
	store.OnResync(func() {
		// Single changes were missed: whatever is known now may be one of them.
		for _, r := range t.recent {
			t.from = max(t.from, r.Stamp)
		}
		t.recent = nil
		store.Each(ledger.JobPrefix, func(_ string, it statestore.Item) { t.from = max(t.from, it.Stamp) })
	})
	return t
}

func (t *Teller) changed(key string, it *statestore.Item) {
	if it == nil || len(key) <= len(ledger.JobPrefix) || key[:len(ledger.JobPrefix)] != ledger.JobPrefix {
		return
	}
	rec, err := ledger.DecodeRecord(key[len(ledger.JobPrefix):], it.Value)
	if err != nil {
		t.from = max(t.from, it.Stamp) // it may be anything
		return
	}
	if rec.Final != ledger.Cancelled {
		return
	}
	i, _ := slices.BinarySearchFunc(t.recent, it.Stamp, func(r Record, s uint64) int {
		if r.Stamp < s {
			return -1
		}
		return 1
	})
	t.recent = slices.Insert(t.recent, i, Record{key, it.Value, it.Stamp})
	if len(t.recent) > kept {
		t.from = max(t.from, t.recent[0].Stamp)
		t.recent = slices.Delete(t.recent, 0, 1)
	}
}

// Asked notes what a leader said. Only the newest leader's questions are answered.
func (t *Teller) Asked(q Question) {
	if q.Token > t.last.Token || q.Token == t.last.Token && q.Clock >= t.last.Clock {
		t.last = q
	}
}

// Tell answers the last question; nil if there is none, or if the node was elected itself:
// the hold of the leader before it runs from then at the latest, by which time its workers'
// tasks are counted as gone (workers.DeadAt).
func (t *Teller) Tell(elected bool) *Answer {
	if t.last.Token == 0 || elected {
		return nil
	}
	a := &Answer{Token: t.last.Token, Clock: t.last.Clock, All: t.store.Synced() && t.last.Epoch >= t.from}
	size := 0
	for _, r := range t.recent {
		if r.Stamp <= t.last.Epoch {
			continue
		}
		if size += len(r.Key) + len(r.Value); size > mostBytes {
			a.All = false
			break
		}
		a.Records = append(a.Records, r)
	}
	return a
}

// Listener is a leader's, of one term.
type Listener struct {
	token uint64
	clear map[string]time.Duration
}

// NewListener makes the listener of a term; peers are the labels of all other nodes.
func NewListener(token uint64, peers []string) *Listener {
	l := &Listener{token: token, clear: map[string]time.Duration{}}
	for _, p := range peers {
		l.clear[p] = -1
	}
	return l
}

// Ask is the question at a time of the leader's clock, with the revision that it knows.
func (l *Listener) Ask(now time.Duration, epoch uint64) *Question {
	return &Question{Token: l.token, Clock: uint64(now.Milliseconds()), Epoch: epoch}
}

// Heard takes in an answer whose records the leader has learned.
func (l *Listener) Heard(label string, a *Answer) {
	if at, ok := l.clear[label]; ok && a != nil && a.All && a.Token == l.token {
		l.clear[label] = max(at, time.Duration(a.Clock)*time.Millisecond)
	}
}

// Clear is until when nobody else can have told a user of a cancellation that the leader
// doesn't know of; less than 0 if that isn't known.
func (l *Listener) Clear(now time.Duration) time.Duration {
	at := now
	for _, c := range l.clear {
		at = min(at, c)
	}
	return at
}
