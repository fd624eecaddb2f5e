// Package leader elects one leader through a key of the state service that is
// bound to a lease. The key's revision is the token: it rises with every
// leader, and every transaction of a leader is conditional on it.
package leader

import (
	"fmt"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// Key is the leader's key.
const Key = statestore.Prefix + "leader"

const (
	leaseTTL     = 3 * time.Second
	renewEvery   = 700 * time.Millisecond
	confirmEvery = 700 * time.Millisecond
	// maxUnanswered bounds the confirmations that are in flight.
	maxUnanswered = 4
	// A node that should defer to other nodes waits this long before it stands for election.
	deferFor = time.Second
)

type record struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	V     int    `json:"v"`
	// LeaseID is the ID of the lease that the key is bound to, 0 from programs that don't record
	// it.
	LeaseID uint64 `json:"permit,omitempty"`
}

// Actor takes part in the election and, while its node leads, keeps proving that it does.
type Actor struct {
	env      actor.Env
	store    *statestore.Store
	label    string
	nonce    string
	leaseID  uint64 // ID of the lease that the leader key is bound to
	claiming bool
	token    uint64 // 0: not leading
	// provenAt is when the last confirmation was sent whose answer proved that this node led
	// and that its replica was complete up to then.
	provenAt time.Duration
	// renewedAt is when the last renewal was sent that succeeded. Until the lease's duration
	// has passed since then, no other node can be elected.
	renewedAt time.Duration
	// abstainUntil is the time until which this node doesn't stand for election.
	abstainUntil time.Duration
	// vacantSince is when the leader key was last seen to be gone.
	vacantSince time.Duration
	// ShouldDefer reports whether other nodes are better placed to lead and should try first.
	ShouldDefer  func() bool
	onLead       func(token uint64)
	onLose       func()
	keyRecord    record
	keyRevision  uint64
	unanswered   int           // confirmations without an answer
	endEarlierAt time.Duration // earliest time of the next attempt to end an earlier process's lease
}

// New returns an actor. onLead is called once the replica is complete up to this node's
// election, onLose when another node may lead.
func New(env actor.Env, store *statestore.Store, label string, onLead func(uint64), onLose func()) *Actor {
	a := &Actor{env: env, store: store, label: label, onLead: onLead, onLose: onLose,
		nonce: fmt.Sprintf("%s-%x", label, env.Rand().Uint64())}
	store.Subscribe(func(key string, it *statestore.Item) {
		if key == Key {
			a.keyChanged(it)
		}
	})
	store.OnResync(func() {
		if it, ok := store.Peek(Key); ok {
			a.keyChanged(&it)
		} else {
			a.keyChanged(nil)
		}
	})
	return a
}

// Start starts the election loop.
func (a *Actor) Start() { a.tick() }

// Token is the current token, 0 when not leading.
func (a *Actor) Token() uint64 { return a.token }

// Leader is the label of the leader, "" if none is known.
func (a *Actor) Leader() string { return a.keyRecord.Node }

// Proven is the last time at which this node certainly led and its replica was complete.
func (a *Actor) Proven() time.Duration { return a.provenAt }

func (a *Actor) tick() {
	a.env.After(200*time.Millisecond, a.tick)
	if a.token == 0 && a.keyRecord.Node == "" && a.store.Synced() {
		a.campaign()
	}
	a.endEarlier()
}

func (a *Actor) keyChanged(it *statestore.Item) {
	a.keyRecord, a.keyRevision = record{}, 0
	if it != nil {
		if err := wire.Decode(it.Value, &a.keyRecord); err != nil {
			a.env.Log().Error("leader key can't be read, left unchanged", "err", err)
			a.keyRecord.Node = "?"
		}
		a.keyRevision = it.Revision
	}
	if a.token != 0 && (it == nil || it.Revision != a.token) {
		a.stopLeading("the leader key has changed")
	}
	a.endEarlier()
	if it == nil && a.token == 0 {
		a.vacantSince = a.env.Now()
		// Spread the candidates so that one round usually decides.
		a.env.After(time.Duration(a.env.Rand().IntN(60))*time.Millisecond, a.campaign)
	}
}

func (a *Actor) stopLeading(why string) {
	if a.token == 0 {
		return
	}
	a.env.Log().Info("no longer leading", "token", a.token, "why", why)
	a.token = 0
	a.store.SetLeading(false)
	a.onLose()
	a.leaseID = 0
}

func (a *Actor) campaign() {
	if _, ok := a.store.Peek(RestoreKey); ok {
		return // the state is incomplete during a restore
	}
	if _, ok := ReadBase(a.store); !ok {
		a.env.Log().Error("the base of a restored cluster can't be read, no node can become leader", "key", BaseKey)
		return
	}
	if a.claiming || a.token != 0 || a.keyRecord.Node != "" || !a.store.Synced() || a.env.Now() < a.abstainUntil {
		return
	}
	if a.ShouldDefer != nil && a.env.Now()-a.vacantSince < deferFor && a.ShouldDefer() {
		return
	}
	a.claiming = true
	a.nonce = fmt.Sprintf("%s-%x", a.label, a.env.Rand().Uint64())
	askedAt := a.env.Now()
	a.store.Grant(leaseTTL, func(leaseID uint64, ok bool) {
		if !ok {
			a.claiming = false
			return
		}
		a.claim(leaseID, askedAt, wire.Encode(record{Node: a.label, Nonce: a.nonce, V: 1, LeaseID: leaseID}), 3)
	})
}

func (a *Actor) claim(leaseID uint64, askedAt time.Duration, value []byte, tries int) {
	t := wire.Txn{When: []wire.Cond{{Path: Key}, {Path: RestoreKey}}, Apply: []wire.Change{{Write: Key, Value: value, LeaseID: leaseID}}}
	a.store.Commit(t, true, func(r statestore.Result, revision uint64, _ []string) {
		switch {
		case r == statestore.OK:
			a.startLeading(leaseID, revision, askedAt)
		case r == statestore.Unknown && tries > 0:
			a.claim(leaseID, askedAt, value, tries-1)
		case r == statestore.Conflict:
			// The key is this node's after all if an earlier copy of the claim was applied.
			a.store.Get(Key, func(it *statestore.Item, ok bool) {
				var rec record
				if ok && it != nil && wire.Decode(it.Value, &rec) == nil && rec.Nonce == a.nonce {
					a.startLeading(leaseID, it.Revision, askedAt)
					return
				}
				a.claiming = false
				a.store.Release(leaseID)
			})
		default:
			a.claiming = false
			a.store.Release(leaseID)
		}
	})
}

func (a *Actor) startLeading(leaseID, token uint64, askedAt time.Duration) {
	a.claiming = false
	a.leaseID, a.token = leaseID, token
	a.keyRecord, a.keyRevision = record{Node: a.label, Nonce: a.nonce}, token
	a.provenAt, a.renewedAt, a.unanswered = askedAt, askedAt, 0
	a.store.SetLeading(true)
	a.env.Log().Info("elected", "token", token)
	a.renewLease(token)
	a.confirm()
	a.store.WhenCaughtUp(token, func() {
		if a.token == token {
			a.onLead(token)
		}
	})
}

func (a *Actor) renewLease(token uint64) {
	leaseID, askedAt := a.leaseID, a.env.Now()
	a.store.Renew(leaseID, func(ok, gone bool) {
		if a.leaseID != leaseID || a.token == 0 {
			return
		}
		if ok {
			a.renewedAt = askedAt
		}
		if gone {
			a.stopLeading("the lease has ended")
			return
		}
		d := renewEvery
		if !ok {
			d = 250 * time.Millisecond
		}
		a.env.After(d, func() {
			if a.leaseID == leaseID && a.token != 0 {
				a.renewLease(token)
			}
		})
	})
}

// confirm asks the state service whether this node still leads. The answer carries the revision
// that the replica must reach to be complete as of the question.
func (a *Actor) confirm() {
	token := a.token
	if token == 0 {
		return
	}
	// The next question doesn't wait for this one's answer, which may take long.
	a.env.After(confirmEvery, func() {
		if a.token == token {
			a.confirm()
		}
	})
	if a.unanswered >= maxUnanswered {
		return
	}
	a.unanswered++
	askedAt := a.env.Now()
	t := wire.Txn{When: []wire.Cond{{Path: Key, Revision: token}}}
	a.store.Commit(t, true, func(r statestore.Result, revision uint64, _ []string) {
		if a.token != token {
			return
		}
		a.unanswered--
		switch r {
		case statestore.OK:
			a.store.WhenCaughtUp(revision, func() {
				if a.token == token {
					a.provenAt = max(a.provenAt, askedAt)
				}
			})
		case statestore.Conflict:
			a.stopLeading("another node took over")
		}
	})
}

// Deposed ends the term with this token because a higher one was seen: a transaction failed on
// the leader key, or a worker or a peer knows of a newer leader.
func (a *Actor) Deposed(token uint64) {
	if a.token == token {
		a.stopLeading("a newer leader is known")
	}
}

// Resign gives up leadership, for example when changes were missed and the leader's state has
// to be rebuilt under a new token.
func (a *Actor) Resign(why string) {
	if a.token == 0 {
		return
	}
	leaseID := a.leaseID
	a.stopLeading(why)
	a.store.Release(leaseID)
}

// Paused is called when the process was paused. If the lease may have expired, another node may
// lead: the actor resigns, so that nothing that was planned before the pause is sent.
func (a *Actor) Paused() {
	if a.token != 0 && a.env.Now()-a.provenAt >= leaseTTL {
		a.Resign("paused for longer than the lease")
	}
}

// HasProof reports whether the last proof that this node leads is younger than the lease's
// duration. Only then are tasks started and machines rented or returned.
func (a *Actor) HasProof() bool { return a.token != 0 && a.env.Now()-a.provenAt < leaseTTL }

// SoleLeader reports whether certainly no other node leads, because this node's lease can't
// have expired. HasProof is weaker: the key was this node's when it asked, but its lease may
// have expired just after.
func (a *Actor) SoleLeader() bool {
	return a.token != 0 && a.env.Now()-a.renewedAt < leaseTTL-leaseTTL/100
}

// Yield resigns and doesn't stand for election for the given time.
func (a *Actor) Yield(why string, d time.Duration) {
	a.abstainUntil = a.env.Now() + d
	a.Resign(why)
}
