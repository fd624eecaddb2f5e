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

// Declared is a resource that the properties file names.
type Declared struct {
	Name  string
	Count int
	Probe *Probe
}

// Probe asks over HTTP how many units are taken outside: the answer is
// {"used": 3}. Only the operator's file says whom.
type Probe struct {
	Addr, Path string
	Every      time.Duration
	// Keep is how long the last number holds when no answer comes; then Cautious
	// counts as taken, -1: all.
	Keep     time.Duration
	Cautious int
}

const (
	probeTimeout = 2 * time.Second
	// A number that changes is written no more often than this.
	writeEvery = 5 * time.Second
)

// Actor keeps the book of a term up to date: from the records, the operator's file
// and probes.
type Actor struct {
	env     actor.Env
	store   *statestore.Store
	token   uint64
	book    *Book
	file    []Declared
	probes  map[string]*probing
	flying  bool
	looked  time.Duration
	stopped bool
	// OnDeposed hears that another leads, OnChange that there may be more units.
	OnDeposed, OnChange func()
}

// probing is what is known of a probe.
type probing struct {
	Declared
	asked   time.Duration
	heard   time.Duration
	used    int
	asking  bool
	written time.Duration
	silent  bool
}

// NewActor makes the actor of a term.
func NewActor(env actor.Env, store *statestore.Store, token uint64, book *Book, file []Declared) *Actor {
	a := &Actor{env: env, store: store, token: token, book: book, file: file, probes: map[string]*probing{}, looked: -time.Hour}
	for _, d := range file {
		if d.Probe != nil {
			// What an earlier leader wrote holds until it has been silent for too long.
			a.probes[d.Name] = &probing{Declared: d, asked: -time.Hour, heard: env.Now(), used: -1, written: -time.Hour}
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

// Paused hears that the process was paused: a probe's silence was ours.
func (a *Actor) Paused(gap time.Duration) {
	for _, p := range a.probes {
		p.heard += gap
	}
}

// Event hears of a record's change.
func (a *Actor) Event(key string, it *statestore.Item) {
	name := strings.TrimPrefix(key, Prefix)
	if it == nil {
		a.env.Log().Error("a resource's record has vanished", "resource", name)
		return
	}
	rec, err := Decode(name, it.Value)
	if err != nil {
		a.env.Log().Error("resource record can't be read, kept as it is, none of its units is given", "key", key, "err", err)
	}
	a.book.Set(name, rec, it.Stamp)
	if r := a.book.Get(name); rec != nil && r.Rec == rec {
		a.env.Log().Info("resource", "name", name, "count", rec.Count, "removed", rec.Gone, "external", rec.External, "used", r.Used, "by", rec.By)
		if p := a.probes[name]; p != nil {
			a.apply(p)
		}
	}
	if a.OnChange != nil {
		a.OnChange()
	}
}

// apply lets the probe's number count.
func (a *Actor) apply(p *probing) {
	r := a.book.Get(p.Name)
	if r == nil || r.Rec == nil {
		return
	}
	silent := a.env.Now()-p.heard > p.Probe.Keep
	switch {
	case silent && p.Probe.Cautious < 0:
		r.External = r.Rec.Count
	case silent:
		r.External = max(p.Probe.Cautious, r.Rec.External)
	case p.used >= 0:
		r.External = p.used
	default:
		r.External = r.Rec.External
	}
	if silent != p.silent {
		p.silent = silent
		a.env.Log().Info("probe of a resource", "name", p.Name, "silent", silent, "external", r.External)
	}
}

// Tick declares what the file says, and asks the probes.
func (a *Actor) Tick() {
	now := a.env.Now()
	if a.stopped || now-a.looked < time.Second {
		return
	}
	a.looked = now
	for _, d := range a.file {
		a.declare(d)
	}
	for _, d := range a.file {
		if p := a.probes[d.Name]; p != nil {
			a.apply(p)
			a.ask(p)
			a.note(p)
		}
	}
}

// declare makes the record of a resource that the file names, or takes over a count
// that was changed there; in between the last one who set it is right.
func (a *Actor) declare(d Declared) {
	r := a.book.Get(d.Name)
	switch {
	case a.flying || r != nil && r.Broken:
	case r == nil || r.Rec == nil:
		a.write(d.Name, &Record{Count: d.Count, File: d.Count, By: "properties file"}, 0)
	case r.Rec.File != d.Count:
		c := *r.Rec
		c.Count, c.File, c.Gone, c.By = d.Count, d.Count, false, "properties file"
		a.write(d.Name, &c, r.Stamp)
	}
}

// note writes a probe's number down for the next leader.
func (a *Actor) note(p *probing) {
	r := a.book.Get(p.Name)
	if a.flying || r == nil || r.Rec == nil || p.used < 0 || p.used == r.Rec.External || p.silent || a.env.Now()-p.written < writeEvery {
		return
	}
	p.written = a.env.Now()
	c := *r.Rec
	c.External, c.By = p.used, "probe"
	a.write(p.Name, &c, r.Stamp)
}

// write is conditional on our leadership and on the record it was made from.
func (a *Actor) write(name string, rec *Record, stamp uint64) {
	if a.store.WriteRoom() < 4 {
		return
	}
	rec.AtMS, rec.Change = a.env.Wall().UnixMilli(), fmt.Sprintf("%x", a.env.Rand().Uint64())
	t := wire.Txn{When: []wire.Cond{{Path: leader.Key, Stamp: a.token}, {Path: Key(name), Stamp: stamp}},
		Apply: []wire.Change{{Write: Key(name), Value: rec.Encode()}}}
	a.flying = true
	a.store.Commit(t, true, func(r statestore.Result, _ uint64, failed []string) {
		a.flying = false
		if a.stopped || r != statestore.Conflict {
			return // what was written comes as an event; the rest is tried again
		}
		for _, k := range failed {
			if k == leader.Key {
				if a.OnDeposed != nil {
					a.OnDeposed()
				}
				return
			}
			a.store.Get(k, func(*statestore.Item, bool) {}) // the replica has it then
		}
	})
}

func (a *Actor) ask(p *probing) {
	now := a.env.Now()
	if p.asking || now-p.asked < p.Probe.Every {
		return
	}
	p.asking, p.asked = true, now
	a.env.Call(actor.Call{Addr: p.Probe.Addr, Method: "GET", Path: p.Probe.Path, DisableKeepAlive: true, Timeout: probeTimeout, Done: func(ans actor.Answer) {
		p.asking = false
		var x struct {
			Used *float64 `json:"used"`
		}
		if a.stopped || ans.Err != nil || ans.Status != 200 {
			return
		}
		if json.Unmarshal(ans.Body, &x) != nil || x.Used == nil || !(*x.Used >= 0) || *x.Used > MaxCount || *x.Used != float64(int(*x.Used)) {
			a.env.Log().Error("bad answer of a probe", "name", p.Name, "addr", p.Probe.Addr)
			return
		}
		p.heard, p.used = a.env.Now(), int(*x.Used)
		a.apply(p)
		if a.OnChange != nil {
			a.OnChange()
		}
	}})
}
