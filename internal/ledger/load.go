package ledger

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/model"
	"brooklb/internal/statestore"
)

// Load builds the picture from the replica, which the caller knows to be
// complete up to our token.
func (l *Ledger) Load() {
	// A cancelled job must not be forgotten before its chunks have told where
	// its tasks are: they occupy their team's limit until they are gone.
	l.loading = true
	l.store.Each(JobPrefix, func(k string, it statestore.Item) { l.JobEvent(k, &it) })
	l.store.Each(ChunkPrefix, func(k string, it statestore.Item) { l.loadChunk(k, it) })
	l.loading = false
	for _, j := range append([]*Job(nil), l.order...) {
		if j.Final != Open {
			l.abandon(j)
		}
	}
}

// JobEvent hears of a job record's change.
func (l *Ledger) JobEvent(key string, it *statestore.Item) {
	id := strings.TrimPrefix(key, JobPrefix)
	j := l.Jobs[id]
	if it == nil {
		if j != nil {
			l.env.Log().Error("a job record has vanished", "job", id)
		}
		return
	}
	if j != nil && j.Stamp >= it.Stamp {
		return
	}
	r, err := DecodeRecord(id, it.Value)
	if err != nil {
		l.env.Log().Error("job record can't be read, kept as it is", "key", key, "err", err)
		return
	}
	if j == nil {
		if r.spec == nil || r.Final == Done {
			return
		}
		if r.Final != Open && !l.hasChunks(id, r) {
			return
		}
		j = &Job{Spec: r.spec, At: r.At, Tasks: make([]Task, r.Tasks), per: r.Chunk,
			chunks: make([]chunk, r.Chunks()), class: l.Estimates.Class(r.spec.Class)}
		age := max(0, l.env.Wall().UnixMilli()-r.At)
		j.Since = l.env.Now() - time.Duration(age)*time.Millisecond
		l.resolve(j)
		if r.Service != "" {
			l.SetWanted(j, func(int) bool { return false })
		}
		l.Jobs[id] = j
		i := sort.Search(len(l.order), func(i int) bool { return l.order[i].Since > j.Since })
		l.order = append(l.order, nil)
		copy(l.order[i+1:], l.order[i:])
		l.order[i] = j
	}
	j.Stamp, j.Rec, j.Service = it.Stamp, r, r.Service
	if r.Final != Open && j.Final == Open {
		j.Final = r.Final
		l.env.Log().Info("job over", "job", id, "phase", r.Final)
		if !l.loading {
			if l.OnCancelled != nil {
				l.OnCancelled(j)
			}
			l.abandon(j)
		}
	}
	if l.OnChange != nil {
		l.OnChange()
	}
}

func (l *Ledger) hasChunks(id string, r *JobRecord) bool {
	// Chunks of long arrays are not written in order.
	for n := range r.Chunks() {
		if _, ok := l.store.Peek(ChunkKey(id, n)); ok {
			return true
		}
	}
	return false
}

func (l *Ledger) loadChunk(key string, it statestore.Item) {
	rest := strings.TrimPrefix(key, ChunkPrefix)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return
	}
	j := l.Jobs[rest[:i]]
	n, err := strconv.Atoi(rest[i+1:])
	if j == nil && err == nil {
		// An earlier leader wrote the end, but came no further. A record that
		// can't be read may be anything: its chunks stay.
		if rec, ok := l.store.Peek(JobKey(rest[:i])); ok {
			if r, err := DecodeRecord(rest[:i], rec.Value); err == nil && r.Final == Done {
				l.orphans = append(l.orphans, orphan{key, it.Stamp})
			}
		}
	}
	if j == nil || err != nil || n < 0 || n >= len(j.chunks) {
		return
	}
	st, why, err := decodeChunk(key, it.Value)
	if err != nil {
		l.env.Log().Error("chunk can't be read, its job is left alone", "key", key, "err", err)
		j.Waits = "its record can't be read"
		j.broken = true
		return
	}
	j.chunks[n].stamp = it.Stamp
	if why != "" {
		j.Why = why
	}
	for k, s := range st {
		t := n*j.per + k
		if k >= j.per || t >= len(j.Tasks) {
			break
		}
		task := &j.Tasks[t]
		task.Attempt = s.attempt
		if s.attempt < l.Attempts {
			task.Attempt += l.Attempts
		}
		if s.done || s.attempt > 0 {
			j.Begun++
		}
		if s.done {
			task.Done = true
			j.NDone++
		} else if s.machine != "" {
			m := l.Machine(s.machine)
			p := &Placement{Job: j, Task: t, Attempt: s.attempt, M: m, Durable: true, Inherited: true, Since: l.env.Now()}
			l.occupy(p)
			if j.Final != Open {
				p.Stopping, p.StopWhy = true, model.CauseCancelled
			}
		}
	}
	if j.Spec.Kind == model.Gang {
		l.checkGang(j)
	}
	l.checkEnd(j)
}

func (l *Ledger) checkGang(j *Job) {
	if j.Placed > 0 && j.Placed < len(j.Tasks) && j.Final == Open {
		// Only part of the gang is recorded: the rest can't be known to join.
		complete := true
		for i := range j.chunks {
			if j.chunks[i].stamp == 0 {
				complete = false
			}
		}
		if complete || len(j.chunks) == 1 {
			l.breakGang(j, model.CauseLost)
		}
	}
}
