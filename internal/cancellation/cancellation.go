// Package cancellation exchanges known cancellations between the controllers and the leader,
// so that the leader knows up to which time it knows every cancellation that a user was
// informed of.
//
// A leader that the state service doesn't answer may renew workers' leases only for a limited
// time, the hold, since a job may have been cancelled through another node. But only nodes
// inform users, and each node knows the cancellations in its replica. When every other node has
// answered that it has sent all that it knows beyond the leader's revision, no user was informed
// of any other cancellation before the question was asked, and the hold counts from then.
// In an outage of the state service, work continues for as long as the controllers reach each
// other; a leader that alone has lost the state service learns of cancellations at once.
//
// The protocol relies on two rules. A node informs a user of a cancellation only after the
// record is in its replica (statestore.Commit, Read and Get put it there first). A node that
// was elected no longer answers another leader, so that no leader answers workers for
// longer than the hold after the next leader's election.
package cancellation

import (
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
)

const (
	// maxRecent is how many cancellations a node remembers. The answer to a leader that
	// lags by more is marked as incomplete.
	maxRecent = 64
	// maxAnswerBytes bounds the size of the records in one answer.
	maxAnswerBytes = 24 << 10
)

// Record is the record of a cancelled job as the state service stores it.
type Record struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// Question is part of each status that a leader sends: its token, its clock in
// milliseconds, and the revision up to which its replica is complete.
type Question struct {
	Token    uint64 `cbor:"1,keyasint"`
	Clock    uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

// Answer has the cancellations that a node knows beyond the question's revision. Complete
// says that the node can have informed users of no others.
type Answer struct {
	Token    uint64   `cbor:"1,keyasint"`
	Clock    uint64   `cbor:"2,keyasint"`
	Records  []Record `cbor:"3,keyasint,omitempty"`
	Complete bool     `cbor:"4,keyasint,omitempty"`
}

// Store is the part of the replica (statestore.Store) that a Responder uses.
type Store interface {
	Subscribe(f func(key string, it *statestore.Item))
	OnResync(f func())
	Each(prefix string, f func(key string, it statestore.Item))
	Synced() bool
}

// Responder remembers the recent cancellations that a node knows, and answers the leader's
// questions about them.
type Responder struct {
	store  Store
	recent []Record // ordered by revision
	// incompleteUpTo is the revision up to which recent may lack cancellations.
	incompleteUpTo uint64
	lastQuestion   Question
}

// NewResponder returns the responder of a node.
func NewResponder(store Store) *Responder {
	r := &Responder{store: store}
	store.Subscribe(r.handleChange)
	store.OnResync(func() {
		// Individual changes were missed: any record in the replica may be one of them.
		for _, known := range r.recent {
			r.incompleteUpTo = max(r.incompleteUpTo, known.Revision)
		}
		r.recent = nil
		store.Each(ledger.JobPrefix, func(_ string, it statestore.Item) { r.incompleteUpTo = max(r.incompleteUpTo, it.Revision) })
	})
	return r
}

func (r *Responder) handleChange(key string, it *statestore.Item) {
	if it == nil || len(key) <= len(ledger.JobPrefix) || key[:len(ledger.JobPrefix)] != ledger.JobPrefix {
		return
	}
	rec, err := ledger.DecodeRecord(key[len(ledger.JobPrefix):], it.Value)
	if err != nil {
		r.incompleteUpTo = max(r.incompleteUpTo, it.Revision) // it may be a cancellation
		return
	}
	if rec.Final != ledger.Cancelled {
		return
	}
	i, _ := slices.BinarySearchFunc(r.recent, it.Revision, func(known Record, revision uint64) int {
		if known.Revision < revision {
			return -1
		}
		return 1
	})
	r.recent = slices.Insert(r.recent, i, Record{key, it.Value, it.Revision})
	if len(r.recent) > maxRecent {
		r.incompleteUpTo = max(r.incompleteUpTo, r.recent[0].Revision)
		r.recent = slices.Delete(r.recent, 0, 1)
	}
}

// HandleQuestion stores a leader's question if it is the newest question of the newest leader.
func (r *Responder) HandleQuestion(q Question) {
	if q.Token > r.lastQuestion.Token || q.Token == r.lastQuestion.Token && q.Clock >= r.lastQuestion.Clock {
		r.lastQuestion = q
	}
}

// Respond answers the last question. It returns nil if there is none, or if the node was
// elected itself: the previous leader's hold then counts from that election at the latest,
// as workers.Actor.LeaseExpiry assumes.
func (r *Responder) Respond(elected bool) *Answer {
	if r.lastQuestion.Token == 0 || elected {
		return nil
	}
	a := &Answer{Token: r.lastQuestion.Token, Clock: r.lastQuestion.Clock, Complete: r.store.Synced() && r.lastQuestion.Revision >= r.incompleteUpTo}
	size := 0
	for _, known := range r.recent {
		if known.Revision <= r.lastQuestion.Revision {
			continue
		}
		if size += len(known.Key) + len(known.Value); size > maxAnswerBytes {
			a.Complete = false
			break
		}
		a.Records = append(a.Records, known)
	}
	return a
}

// Tracker collects the answers that a leader receives in one term.
type Tracker struct {
	token         uint64
	completeUntil map[string]time.Duration
}

// NewTracker returns the tracker of a term. peers are the labels of all other nodes.
func NewTracker(token uint64, peers []string) *Tracker {
	t := &Tracker{token: token, completeUntil: map[string]time.Duration{}}
	for _, p := range peers {
		t.completeUntil[p] = -1
	}
	return t
}

// NewQuestion returns the leader's question at the given time of its clock, with the revision
// up to which its replica is complete.
func (t *Tracker) NewQuestion(now time.Duration, revision uint64) *Question {
	return &Question{Token: t.token, Clock: uint64(now.Milliseconds()), Revision: revision}
}

// HandleAnswer processes an answer after the leader has added its records to the replica.
func (t *Tracker) HandleAnswer(label string, a *Answer) {
	if at, ok := t.completeUntil[label]; ok && a != nil && a.Complete && a.Token == t.token {
		t.completeUntil[label] = max(at, time.Duration(a.Clock)*time.Millisecond)
	}
}

// CompleteUntil returns the time up to which the leader knows every cancellation that another
// node has informed a user of. It is less than 0 if no such time is known.
func (t *Tracker) CompleteUntil(now time.Duration) time.Duration {
	at := now
	for _, c := range t.completeUntil {
		at = min(at, c)
	}
	return at
}
