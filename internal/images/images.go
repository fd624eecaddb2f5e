// Package images remembers on every node which machine has fetched which image,
// from the placements that the state service tells all of them. Workers don't
// report their caches: without it, a new leader took every machine for cold, and
// half of the gangs after a change of leader were started where their image had
// to be fetched first (tbilisi grown, troubles). It is a hint and no more.
package images

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
)

const (
	// A task that has been on a machine for so long has its image there.
	settled = 30 * time.Second
	// What was not confirmed for so long is forgotten.
	keepFor = time.Hour
	// Every so many events what is old is looked for.
	pruneEvery = 2000
)

// Image on a machine.
type Image struct {
	GB float64
	At time.Duration // last known to be there, on our steady clock
}

type job struct {
	image  string
	gb     float64
	done   bool
	chunks int
}

type slot struct {
	machine string
	since   time.Duration
}

// Actor follows the placements.
type Actor struct {
	env    actor.Env
	jobs   map[string]*job
	chunks map[string][]slot
	has    map[string]map[string]Image
	events int
}

// New makes the actor; it hears of all changes of the replica from then on.
func New(env actor.Env, store *statestore.Store) *Actor {
	a := &Actor{env: env, jobs: map[string]*job{}, chunks: map[string][]slot{}, has: map[string]map[string]Image{}}
	store.Subscribe(a.event)
	return a
}

func (a *Actor) event(key string, it *statestore.Item) {
	if a.events++; a.events%pruneEvery == 0 {
		a.prune()
	}
	switch {
	case strings.HasPrefix(key, ledger.JobPrefix):
		a.record(strings.TrimPrefix(key, ledger.JobPrefix), it)
	case strings.HasPrefix(key, ledger.ChunkPrefix):
		rest := strings.TrimPrefix(key, ledger.ChunkPrefix)
		if i := strings.LastIndexByte(rest, '/'); i > 0 {
			if _, err := strconv.Atoi(rest[i+1:]); err == nil {
				a.chunk(key, rest[:i], it)
			}
		}
	}
}

func (a *Actor) record(id string, it *statestore.Item) {
	if it == nil {
		return
	}
	r, err := ledger.DecodeRecord(id, it.Value)
	if err != nil {
		return // others report it
	}
	j := a.jobs[id]
	if s := r.JobSpec(); j == nil && s != nil && r.Final == ledger.Open {
		a.jobs[id] = &job{image: s.Image, gb: s.ImageGB}
	}
	if j != nil && r.Final != ledger.Open {
		j.done = r.Final == ledger.Done
		if j.chunks == 0 {
			delete(a.jobs, id)
		}
	}
}

func (a *Actor) chunk(key, id string, it *statestore.Item) {
	j := a.jobs[id]
	if j == nil {
		if it == nil {
			return
		}
		// A chunk may come before its record, in key order.
		j = &job{}
		a.jobs[id] = j
	}
	now := a.env.Now()
	old, known := a.chunks[key]
	if it == nil {
		for _, s := range old {
			if s.machine != "" && (j.done || now-s.since >= settled) {
				a.confirm(s.machine, j, now)
			}
		}
		if known {
			delete(a.chunks, key)
			if j.chunks--; j.chunks == 0 {
				delete(a.jobs, id)
			}
		}
		return
	}
	tasks, err := ledger.ChunkMachines(key, it.Value)
	if err != nil {
		return
	}
	if !known {
		j.chunks++
	}
	next := make([]slot, len(tasks))
	for i, t := range tasks {
		var was slot
		if i < len(old) {
			was = old[i]
		}
		if t.Machine != "" && t.Machine == was.machine {
			next[i] = was
			continue
		}
		if was.machine != "" && (t.Done || now-was.since >= settled) {
			a.confirm(was.machine, j, now)
		}
		if t.Machine != "" {
			next[i] = slot{t.Machine, now}
		}
	}
	a.chunks[key] = next
}

func (a *Actor) confirm(machine string, j *job, now time.Duration) {
	if j.image == "" {
		return
	}
	m := a.has[machine]
	if m == nil {
		m = map[string]Image{}
		a.has[machine] = m
	}
	m[j.image] = Image{j.gb, now}
}

func (a *Actor) prune() {
	now := a.env.Now()
	for name, m := range a.has {
		for image, x := range m {
			if now-x.At > keepFor {
				delete(m, image)
			}
		}
		if len(m) == 0 {
			delete(a.has, name)
		}
	}
}

// Snapshot tells what each machine is thought to have.
func (a *Actor) Snapshot() map[string]map[string]Image {
	now := a.env.Now()
	for key, tasks := range a.chunks {
		rest := strings.TrimPrefix(key, ledger.ChunkPrefix)
		if j := a.jobs[rest[:strings.LastIndexByte(rest, '/')]]; j != nil {
			for _, s := range tasks {
				if s.machine != "" && now-s.since >= settled {
					a.confirm(s.machine, j, now)
				}
			}
		}
	}
	out := make(map[string]map[string]Image, len(a.has))
	for name, m := range a.has {
		c := make(map[string]Image, len(m))
		for image, x := range m {
			c[image] = x
		}
		out[name] = c
	}
	return out
}
