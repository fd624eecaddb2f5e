package units

import (
	"fmt"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/leader"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// Declared is a resource that the options file declares.
type Declared struct {
	Name  string
	Count int
	Probe *Probe
}

// Probe asks a server over HTTP how many units are in use outside the cluster: the
// answer is {"used": 3}. Only the operator's options file sets the address.
type Probe struct {
	Addr, Path string
	Every      time.Duration
	// Keep is how long the last answer is used when no new one comes. After that, at
	// least Cautious units count as in use, -1: all.
	Keep     time.Duration
	Cautious int
}

const (
	probeTimeout = 2 * time.Second
	// minWriteInterval is the least time between writes of a probe's answers.
	minWriteInterval = 5 * time.Second
	// malformedRetryInterval is the time until a write is repeated that the state service
	// refused as malformed.
	malformedRetryInterval = 30 * time.Second
)

// Actor keeps the inventory of a term up to date from the records, the operator's
// options file and probes.
type Actor struct {
	env       actor.Env
	store     *statestore.Store
	token     uint64
	inventory *Inventory
	declared  []Declared
	probes    map[string]*probeState
	writing   bool
	lastTick  time.Duration
	stopped   bool
	// OnDeposed is called when a write shows that another node leads, OnChange when
	// more units may have become available.
	OnDeposed, OnChange func()
}

// probeState is the state of a probe.
type probeState struct {
	Declared
	lastSent   time.Duration
	lastAnswer time.Duration
	used       int
	inFlight   bool
	lastWrite  time.Duration
	silent     bool
}

// NewActor returns the Actor of a term.
func NewActor(env actor.Env, store *statestore.Store, token uint64, inventory *Inventory, declared []Declared) *Actor {
	a := &Actor{env: env, store: store, token: token, inventory: inventory, declared: declared, probes: map[string]*probeState{}, lastTick: -time.Hour}
	for _, d := range declared {
		if d.Probe != nil {
			// The number stored by an earlier leader is used until the probe has been
			// silent for Keep.
			a.probes[d.Name] = &probeState{Declared: d, lastSent: -time.Hour, lastAnswer: env.Now(), used: -1, lastWrite: -time.Hour}
		}
	}
	return a
}

// Load reads the records from the replica.
func (a *Actor) Load() {
	a.store.Each(Prefix, func(k string, it statestore.Item) { a.Event(k, &it) })
}

// Close ends the term.
func (a *Actor) Close() { a.stopped = true }

// Paused is called after the process was paused for gap, which doesn't count as silence
// of a probe.
func (a *Actor) Paused(gap time.Duration) {
	for _, p := range a.probes {
		p.lastAnswer += gap
	}
}

// Event handles a change of a resource's record.
func (a *Actor) Event(key string, it *statestore.Item) {
	name := strings.TrimPrefix(key, Prefix)
	if it == nil {
		a.env.Log().Error("resource record was deleted unexpectedly", "resource", name)
		return
	}
	rec, err := Decode(name, it.Value)
	if err != nil {
		a.env.Log().Error("resource record can't be read, left unchanged; no units of the resource are given out", "key", key, "err", err)
	}
	a.inventory.Set(name, rec, it.Revision)
	if r := a.inventory.Get(name); rec != nil && r.Record == rec {
		a.env.Log().Info("resource", "name", name, "count", rec.Count, "removed", rec.Removed, "external", rec.External, "used", r.Used, "by", rec.By)
		if p := a.probes[name]; p != nil {
			a.applyProbe(p)
		}
	}
	if a.OnChange != nil {
		a.OnChange()
	}
}

// applyProbe updates the external use of a resource from the state of its probe.
func (a *Actor) applyProbe(p *probeState) {
	r := a.inventory.Get(p.Name)
	if r == nil || r.Record == nil {
		return
	}
	silent := a.env.Now()-p.lastAnswer > p.Probe.Keep
	switch {
	case silent && p.Probe.Cautious < 0:
		r.External = r.Record.Count
	case silent:
		r.External = max(p.Probe.Cautious, r.Record.External)
	case p.used >= 0:
		r.External = p.used
	default:
		r.External = r.Record.External
	}
	if silent != p.silent {
		p.silent = silent
		a.env.Log().Info("resource probe went silent or answered again", "name", p.Name, "silent", silent, "external", r.External)
	}
}

// Tick writes the options file's declarations and runs the probes.
func (a *Actor) Tick() {
	now := a.env.Now()
	if a.stopped || now-a.lastTick < time.Second {
		return
	}
	a.lastTick = now
	for _, d := range a.declared {
		a.declare(d)
	}
	for _, d := range a.declared {
		if p := a.probes[d.Name]; p != nil {
			a.applyProbe(p)
			a.sendProbe(p)
			a.saveProbe(p)
		}
	}
}

// declare creates the record of a declared resource, or applies a count that has
// changed in the options file. While the file's count doesn't change, a count that
// an operator sets stays.
func (a *Actor) declare(d Declared) {
	r := a.inventory.Get(d.Name)
	switch {
	case a.writing || r != nil && r.Unreadable:
	case r == nil || r.Record == nil:
		a.write(d.Name, &Record{Count: d.Count, DeclaredCount: d.Count, By: "properties file"}, 0)
	case r.Record.DeclaredCount != d.Count:
		c := *r.Record
		c.Count, c.DeclaredCount, c.Removed, c.By = d.Count, d.Count, false, "properties file"
		a.write(d.Name, &c, r.Revision)
	}
}

// saveProbe stores the last answer of a probe for the next leader.
func (a *Actor) saveProbe(p *probeState) {
	r := a.inventory.Get(p.Name)
	if a.writing || r == nil || r.Record == nil || p.used < 0 || p.used == r.Record.External || p.silent || a.env.Now()-p.lastWrite < minWriteInterval {
		return
	}
	p.lastWrite = a.env.Now()
	c := *r.Record
	c.External, c.By = p.used, "probe"
	a.write(p.Name, &c, r.Revision)
}

// write commits a record if this node still leads and the record hasn't changed.
func (a *Actor) write(name string, rec *Record, revision uint64) {
	if a.store.WriteRoom() < 4 {
		return
	}
	rec.AtMS, rec.Nonce = a.env.Wall().UnixMilli(), fmt.Sprintf("%x", a.env.Rand().Uint64())
	t := wire.Txn{When: []wire.Cond{{Path: leader.Key, Revision: a.token}, {Path: Key(name), Revision: revision}},
		Apply: []wire.Change{{Write: Key(name), Value: rec.Encode()}}}
	a.writing = true
	a.store.Commit(t, true, func(r statestore.Result, _ uint64, failed []string) {
		if r == statestore.Malformed { // an immediate retry would be refused, too
			a.env.After(malformedRetryInterval, func() { a.writing = false })
			return
		}
		a.writing = false
		if a.stopped || r != statestore.Conflict {
			return // a write that succeeded arrives as an event, another is repeated on a later tick
		}
		for _, k := range failed {
			if k == leader.Key {
				if a.OnDeposed != nil {
					a.OnDeposed()
				}
				return
			}
			a.store.Get(k, func(*statestore.Item, bool) {}) // this brings the replica up to date
		}
	})
}

func (a *Actor) sendProbe(p *probeState) {
	now := a.env.Now()
	if p.inFlight || now-p.lastSent < p.Probe.Every {
		return
	}
	p.inFlight, p.lastSent = true, now
	a.env.Call(actor.Call{Addr: p.Probe.Addr, Method: "GET", Path: p.Probe.Path, DisableKeepAlive: true, Timeout: probeTimeout, Done: func(ans actor.Answer) {
		p.inFlight = false
		var x struct {
			Used *float64 `json:"used"`
		}
		if a.stopped || ans.Err != nil || ans.Status != 200 {
			return
		}
		if json.Unmarshal(ans.Body, &x) != nil || x.Used == nil || !(*x.Used >= 0) || *x.Used > MaxCount || *x.Used != float64(int(*x.Used)) {
			a.env.Log().Error("invalid response from a probe", "name", p.Name, "addr", p.Probe.Addr)
			return
		}
		p.lastAnswer, p.used = a.env.Now(), int(*x.Used)
		a.applyProbe(p)
		if a.OnChange != nil {
			a.OnChange()
		}
	}})
}
