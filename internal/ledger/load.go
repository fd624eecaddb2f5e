package ledger

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/model"
	"brooklb/internal/statestore"
)

// Load fills the ledger from the replica. The caller must know that the replica is complete up
// to the term's token.
func (l *Ledger) Load() {
	// A cancelled job must not be removed before its chunks have been loaded: its tasks count
	// against their team's limit until they are gone.
	l.loading = true
	l.store.Each(JobPrefix, func(k string, it statestore.Item) { l.ApplyJobRecord(k, &it) })
	l.store.Each(ChunkPrefix, func(k string, it statestore.Item) { l.loadChunk(k, it) })
	l.loading = false
	for _, j := range append([]*Job(nil), l.order...) {
		if j.Final != Open {
			l.stopTasks(j)
		}
	}
}

// ApplyJobRecord applies a change of a job's record. The item is nil if the record was deleted.
func (l *Ledger) ApplyJobRecord(key string, it *statestore.Item) {
	id := strings.TrimPrefix(key, JobPrefix)
	j := l.Jobs[id]
	if it == nil {
		if j != nil {
			l.env.Log().Error("job record was deleted unexpectedly", "job", id)
		}
		return
	}
	if j != nil && j.Revision >= it.Revision {
		return
	}
	r, err := DecodeRecord(id, it.Value)
	if err != nil {
		l.env.Log().Error("job record can't be read, left unchanged", "key", key, "err", err)
		return
	}
	if j == nil {
		if r.spec == nil || r.Final == Done {
			return
		}
		if r.Final != Open && !l.hasChunks(id, r) {
			return
		}
		j = &Job{Spec: r.spec, AcceptedUnixMS: r.AcceptedUnixMS, Tasks: make([]Task, r.Tasks), tasksPerChunk: r.TasksPerChunk,
			chunks: make([]chunk, r.Chunks()), class: l.Estimates.Class(r.spec.Class)}
		age := max(0, l.env.Wall().UnixMilli()-r.AcceptedUnixMS)
		j.AcceptedAt = l.env.Now() - time.Duration(age)*time.Millisecond
		l.resolveUnits(j)
		if r.Service != "" {
			l.SetWanted(j, func(int) bool { return false })
		}
		l.Jobs[id] = j
		i := sort.Search(len(l.order), func(i int) bool { return l.order[i].AcceptedAt > j.AcceptedAt })
		l.order = append(l.order, nil)
		copy(l.order[i+1:], l.order[i:])
		l.order[i] = j
	}
	j.Revision, j.Record, j.Service = it.Revision, r, r.Service
	if r.Final != Open && j.Final == Open {
		j.Final = r.Final
		l.env.Log().Info("job over", "job", id, "phase", r.Final)
		if !l.loading {
			if l.OnCancelled != nil {
				l.OnCancelled(j)
			}
			l.stopTasks(j)
		}
	}
	if l.OnChange != nil {
		l.OnChange()
	}
}

func (l *Ledger) hasChunks(id string, r *JobRecord) bool {
	// The chunks of a long array are not written in order, so any of them may exist.
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
		// An earlier leader wrote the end of the job, but did not delete its chunks. If the
		// job's record can't be read, the chunks are kept.
		if rec, ok := l.store.Peek(JobKey(rest[:i])); ok {
			if r, err := DecodeRecord(rest[:i], rec.Value); err == nil && r.Final == Done {
				l.orphans = append(l.orphans, orphan{key, it.Revision})
			}
		}
	}
	if j == nil || err != nil || n < 0 || n >= len(j.chunks) {
		return
	}
	st, why, err := decodeChunk(key, it.Value)
	if err != nil {
		l.env.Log().Error("chunk can't be read, its job is not scheduled", "key", key, "err", err)
		j.WaitReason = "its record can't be read"
		j.unreadable = true
		return
	}
	j.chunks[n].revision = it.Revision
	if why != "" {
		j.StopReason = why
	}
	for k, s := range st {
		t := n*j.tasksPerChunk + k
		if k >= j.tasksPerChunk || t >= len(j.Tasks) {
			break
		}
		task := &j.Tasks[t]
		task.Attempt = s.attempt
		if s.attempt < l.AttemptOffset {
			task.Attempt += l.AttemptOffset
		}
		if s.done || s.attempt > 0 {
			j.EverPlaced++
		}
		if s.done {
			task.Done = true
			j.DoneTasks++
		} else if s.machine != "" {
			m := l.Machine(s.machine)
			p := &Placement{Job: j, Task: t, Attempt: s.attempt, Host: m, Durable: true, Inherited: true, PlacedAt: l.env.Now()}
			l.occupy(p)
			if j.Final != Open {
				p.Stopping, p.StopReason = true, model.CauseCancelled
			}
		}
	}
	if j.Spec.Kind == model.Gang {
		l.checkLoadedGang(j)
	}
	l.checkEnd(j)
}

func (l *Ledger) checkLoadedGang(j *Job) {
	if j.Placed > 0 && j.Placed < len(j.Tasks) && j.Final == Open {
		// Only part of the gang is recorded as placed, so the other tasks may never start.
		complete := true
		for i := range j.chunks {
			if j.chunks[i].revision == 0 {
				complete = false
			}
		}
		if complete || len(j.chunks) == 1 {
			l.disbandGang(j, model.CauseMachineLost)
		}
	}
}
