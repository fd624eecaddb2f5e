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
	ttl     = 3 * time.Second
	renew   = 700 * time.Millisecond
	confirm = 700 * time.Millisecond
	// So many questions whether we lead are under way at most.
	mostAsking = 4
	// A node that others are better placed to replace lets them try for so long.
	lastResort = time.Second
)

type record struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	V     int    `json:"v"`
	// Permit is the lease that the key is bound to, 0 from programs that don't say.
	Permit uint64 `json:"permit,omitempty"`
}

// Actor takes part in the election and, while it leads, proves it.
type Actor struct {
	env    actor.Env
	store  *statestore.Store
	label  string
	nonce  string
	permit uint64
	trying bool
	token  uint64 // 0: not leading
	// proven is when the last question was sent whose answer proved both that
	// we lead and that the replica has everything up to then.
	proven time.Duration
	// renewed is when the last renewal was sent that was answered: until the lease's
	// time has passed since then, nobody else can be elected.
	renewed time.Duration
	// abstain is until when this node leaves leading to others.
	abstain time.Duration
	// vacant is when the leader's key was last seen to be gone.
	vacant time.Duration
	// Reluctant tells that others are better placed to lead: they go first.
	Reluctant func() bool
	onLead    func(token uint64)
	onLose    func()
	known     record
	knownAt   uint64
	asking    int           // questions whether we lead that have no answer
	endAt     time.Duration // no earlier process's lease is ended before
}

// New makes the actor. onLead is called once the replica holds everything up
// to our own election; onLose when another may lead.
func New(env actor.Env, store *statestore.Store, label string, onLead func(uint64), onLose func()) *Actor {
	a := &Actor{env: env, store: store, label: label, onLead: onLead, onLose: onLose,
		nonce: fmt.Sprintf("%s-%x", label, env.Rand().Uint64())}
	store.Subscribe(func(key string, it *statestore.Item) {
		if key == Key {
			a.seen(it)
		}
	})
	store.OnResync(func() {
		if it, ok := store.Peek(Key); ok {
			a.seen(&it)
		} else {
			a.seen(nil)
		}
	})
	return a
}

// Start begins to take part.
func (a *Actor) Start() { a.tick() }

// Token is the current token, 0 when not leading.
func (a *Actor) Token() uint64 { return a.token }

// Leader is the label of the leader as far as known, "" if there is none.
func (a *Actor) Leader() string { return a.known.Node }

// Proven is when it was last certain that we lead and know everything.
func (a *Actor) Proven() time.Duration { return a.proven }

func (a *Actor) tick() {
	a.env.After(200*time.Millisecond, a.tick)
	if a.token == 0 && a.known.Node == "" && a.store.Synced() {
		a.try()
	}
	a.endEarlier()
}

func (a *Actor) seen(it *statestore.Item) {
	a.known, a.knownAt = record{}, 0
	if it != nil {
		if err := wire.Decode(it.Value, &a.known); err != nil {
			a.env.Log().Error("leader key can't be read", "err", err)
			a.known.Node = "?"
		}
		a.knownAt = it.Stamp
	}
	if a.token != 0 && (it == nil || it.Stamp != a.token) {
		a.lose("the leader key has changed")
	}
	a.endEarlier()
	if it == nil && a.token == 0 {
		a.vacant = a.env.Now()
		// Spread the candidates so that one round usually decides.
		a.env.After(time.Duration(a.env.Rand().IntN(60))*time.Millisecond, a.try)
	}
}

func (a *Actor) lose(why string) {
	if a.token == 0 {
		return
	}
	a.env.Log().Info("no longer leading", "token", a.token, "why", why)
	a.token = 0
	a.store.SetLeading(false)
	a.onLose()
	a.permit = 0
}

func (a *Actor) try() {
	if _, ok := a.store.Peek(RestoreKey); ok {
		return // half of the state is there
	}
	if _, ok := ReadBase(a.store); !ok {
		a.env.Log().Error("the base of a restored cluster can't be read, nobody leads", "key", BaseKey)
		return
	}
	if a.trying || a.token != 0 || a.known.Node != "" || !a.store.Synced() || a.env.Now() < a.abstain {
		return
	}
	if a.Reluctant != nil && a.env.Now()-a.vacant < lastResort && a.Reluctant() {
		return
	}
	a.trying = true
	a.nonce = fmt.Sprintf("%s-%x", a.label, a.env.Rand().Uint64())
	asked := a.env.Now()
	a.store.Grant(ttl, func(permit uint64, ok bool) {
		if !ok {
			a.trying = false
			return
		}
		a.claim(permit, asked, wire.Encode(record{Node: a.label, Nonce: a.nonce, V: 1, Permit: permit}), 3)
	})
}

func (a *Actor) claim(permit uint64, asked time.Duration, value []byte, tries int) {
	t := wire.Txn{When: []wire.Cond{{Path: Key}, {Path: RestoreKey}}, Apply: []wire.Change{{Write: Key, Value: value, Permit: permit}}}
	a.store.Commit(t, true, func(r statestore.Result, epoch uint64, _ []string) {
		switch {
		case r == statestore.OK:
			a.won(permit, epoch, asked)
		case r == statestore.Maybe && tries > 0:
			a.claim(permit, asked, value, tries-1)
		case r == statestore.Conflict:
			// Ours after all, if an earlier copy of the claim was applied.
			a.store.Get(Key, func(it *statestore.Item, ok bool) {
				var rec record
				if ok && it != nil && wire.Decode(it.Value, &rec) == nil && rec.Nonce == a.nonce {
					a.won(permit, it.Stamp, asked)
					return
				}
				a.trying = false
				a.store.Release(permit)
			})
		default:
			a.trying = false
			a.store.Release(permit)
		}
	})
}

func (a *Actor) won(permit, token uint64, asked time.Duration) {
	a.trying = false
	a.permit, a.token = permit, token
	a.known, a.knownAt = record{Node: a.label, Nonce: a.nonce}, token
	a.proven, a.renewed, a.asking = asked, asked, 0
	a.store.SetLeading(true)
	a.env.Log().Info("elected", "token", token)
	a.keep(token)
	a.confirm()
	a.store.WhenAt(token, func() {
		if a.token == token {
			a.onLead(token)
		}
	})
}

func (a *Actor) keep(first uint64) {
	permit, asked := a.permit, a.env.Now()
	a.store.Renew(permit, func(ok, gone bool) {
		if a.permit != permit || a.token == 0 {
			return
		}
		if ok {
			a.renewed = asked
		}
		if gone {
			a.lose("the lease has ended")
			return
		}
		d := renew
		if !ok {
			d = 250 * time.Millisecond
		}
		a.env.After(d, func() {
			if a.permit == permit && a.token != 0 {
				a.keep(first)
			}
		})
	})
}

// confirm asks whether we still lead. The answer carries the revision the
// replica has to reach before it can be called complete as of the question.
func (a *Actor) confirm() {
	token := a.token
	if token == 0 {
		return
	}
	// The next question doesn't wait for this one's answer, which may take long.
	a.env.After(confirm, func() {
		if a.token == token {
			a.confirm()
		}
	})
	if a.asking >= mostAsking {
		return
	}
	a.asking++
	asked := a.env.Now()
	t := wire.Txn{When: []wire.Cond{{Path: Key, Stamp: token}}}
	a.store.Commit(t, true, func(r statestore.Result, epoch uint64, _ []string) {
		if a.token != token {
			return
		}
		a.asking--
		switch r {
		case statestore.OK:
			a.store.WhenAt(epoch, func() {
				if a.token == token {
					a.proven = max(a.proven, asked)
				}
			})
		case statestore.Conflict:
			a.lose("another took over")
		}
	})
}

// Deposed tells the actor that a higher token was seen: a transaction failed on
// the leader key, or a worker or a peer knows of a newer leader.
func (a *Actor) Deposed(token uint64) {
	if a.token == token {
		a.lose("a newer leader is known")
	}
}

// Resign gives up leadership on purpose, for example when changes were missed
// and the picture has to be built anew under a new token.
func (a *Actor) Resign(why string) {
	if a.token == 0 {
		return
	}
	permit := a.permit
	a.lose(why)
	a.store.Release(permit)
}

// Paused hears that the process was paused. Once its lease may have run out,
// another may lead: nothing that was planned before goes out any more.
func (a *Actor) Paused() {
	if a.token != 0 && a.env.Now()-a.proven >= ttl {
		a.Resign("paused for longer than the lease")
	}
}

// HasProof reports whether the proof that we lead is younger than the lease. Only
// then is anything started, rented or returned.
func (a *Actor) HasProof() bool { return a.token != 0 && a.env.Now()-a.proven < ttl }

// Alone reports whether it is certain that nobody else leads: our lease can't have
// ended. HasProof is less: the key was ours when we asked, but its lease may have ended
// just after.
func (a *Actor) Alone() bool { return a.token != 0 && a.env.Now()-a.renewed < ttl-ttl/100 }

// Yield resigns and leaves leading to others for a while.
func (a *Actor) Yield(why string, d time.Duration) {
	a.abstain = a.env.Now() + d
	a.Resign(why)
}
