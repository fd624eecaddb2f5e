// Package images tracks on every node which machine has fetched which image. It derives
// this from the placements in the state service, because workers don't report their
// caches. Otherwise a new leader would take all caches for empty: half of the gangs after
// a change of leader were started on machines that had to fetch their image first. The
// result is only a hint.
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
	// A machine is assumed to have the image of a task that has been on it for this long.
	assumedFetchedAfter = 30 * time.Second
	// Entries that were not confirmed for this long are removed.
	retention = time.Hour
	// Old entries are removed after every pruneEvery changes.
	pruneEvery = 2000
)

// Image is an image that a machine has.
type Image struct {
	GB float64
	At time.Duration // when it was last known to be there, on the monotonic clock
}

type job struct {
	image  string
	gb     float64
	done   bool
	chunks int
}

type taskPlace struct {
	machine string
	since   time.Duration
}

// Actor tracks images by following changes of placements.
type Actor struct {
	env    actor.Env
	jobs   map[string]*job
	chunks map[string][]taskPlace
	cached map[string]map[string]Image
	events int
}

// New returns an Actor that subscribes to all changes of the store.
func New(env actor.Env, store *statestore.Store) *Actor {
	a := &Actor{env: env, jobs: map[string]*job{}, chunks: map[string][]taskPlace{}, cached: map[string]map[string]Image{}}
	store.Subscribe(a.onChange)
	return a
}

func (a *Actor) onChange(key string, it *statestore.Item) {
	if a.events++; a.events%pruneEvery == 0 {
		a.prune()
	}
	switch {
	case strings.HasPrefix(key, ledger.JobPrefix):
		a.onRecord(strings.TrimPrefix(key, ledger.JobPrefix), it)
	case strings.HasPrefix(key, ledger.ChunkPrefix):
		rest := strings.TrimPrefix(key, ledger.ChunkPrefix)
		if i := strings.LastIndexByte(rest, '/'); i > 0 {
			if _, err := strconv.Atoi(rest[i+1:]); err == nil {
				a.onChunk(key, rest[:i], it)
			}
		}
	}
}

func (a *Actor) onRecord(id string, it *statestore.Item) {
	if it == nil {
		return
	}
	r, err := ledger.DecodeRecord(id, it.Value)
	if err != nil {
		return // other subscribers report the error
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

func (a *Actor) onChunk(key, id string, it *statestore.Item) {
	j := a.jobs[id]
	if j == nil {
		if it == nil {
			return
		}
		// The record may be unreadable, or that of a completed job. It may also come later: if a
		// job is accepted while the replica is read page by page, the pages may have only its chunk.
		j = &job{}
		a.jobs[id] = j
	}
	now := a.env.Now()
	old, known := a.chunks[key]
	if it == nil {
		for _, s := range old {
			if s.machine != "" && (j.done || now-s.since >= assumedFetchedAfter) {
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
	tasks, err := ledger.DecodeChunkTasks(key, it.Value)
	if err != nil {
		return
	}
	if !known {
		j.chunks++
	}
	next := make([]taskPlace, len(tasks))
	for i, t := range tasks {
		var was taskPlace
		if i < len(old) {
			was = old[i]
		}
		if t.Machine != "" && t.Machine == was.machine {
			next[i] = was
			continue
		}
		if was.machine != "" && (t.Done || now-was.since >= assumedFetchedAfter) {
			a.confirm(was.machine, j, now)
		}
		if t.Machine != "" {
			next[i] = taskPlace{t.Machine, now}
		}
	}
	a.chunks[key] = next
}

func (a *Actor) confirm(machine string, j *job, now time.Duration) {
	if j.image == "" {
		return
	}
	m := a.cached[machine]
	if m == nil {
		m = map[string]Image{}
		a.cached[machine] = m
	}
	m[j.image] = Image{j.gb, now}
}

func (a *Actor) prune() {
	now := a.env.Now()
	for name, m := range a.cached {
		for image, x := range m {
			if now-x.At > retention {
				delete(m, image)
			}
		}
		if len(m) == 0 {
			delete(a.cached, name)
		}
	}
}

// Snapshot returns the images that each machine is assumed to have.
func (a *Actor) Snapshot() map[string]map[string]Image {
	now := a.env.Now()
	for key, tasks := range a.chunks {
		rest := strings.TrimPrefix(key, ledger.ChunkPrefix)
		if j := a.jobs[rest[:strings.LastIndexByte(rest, '/')]]; j != nil {
			for _, s := range tasks {
				if s.machine != "" && now-s.since >= assumedFetchedAfter {
					a.confirm(s.machine, j, now)
				}
			}
		}
	}
	out := make(map[string]map[string]Image, len(a.cached))
	for name, m := range a.cached {
		c := make(map[string]Image, len(m))
		for image, x := range m {
			c[image] = x
		}
		out[name] = c
	}
	return out
}
