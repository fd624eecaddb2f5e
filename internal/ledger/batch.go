package ledger

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/leader"
	"brooklb/internal/wire"
)

// maxBatchBytes bounds the values of a transaction. The state service accepts 64 KiB with the
// conditions.
const maxBatchBytes = 48 << 10

// pendingChange is one change of the transaction that is in flight. Deletions of orphaned
// chunks have no job.
type pendingChange struct {
	job      *Job
	chunk    int // index of the chunk; -1: the job's final record
	key      string
	placed   []*Placement
	deletion bool
}

// batch is a transaction that is being filled with waiting changes.
type batch struct {
	ledger     *Ledger
	txn        wire.Txn
	pending    []*pendingChange
	bytes      int // of the values
	maxChanges int // that the write budget allows
	// spareChanges is the number of changes up to which deferrable ones are added.
	spareChanges int
	conditioned  map[*Job]bool // the jobs whose records the transaction is conditional on
}

func (l *Ledger) newBatch() *batch {
	budget := l.writeAllowance()
	return &batch{ledger: l, txn: wire.Txn{When: []wire.Cond{{Path: leader.Key, Revision: l.token}}}, maxChanges: min(l.MaxOps, int(budget)),
		spareChanges: int(budget - reservedBurstShare*l.store.WriteBurst()), conditioned: map[*Job]bool{}}
}

// full reports whether the transaction takes no further change.
func (b *batch) full() bool {
	maxConditions := 4*b.ledger.MaxOps - 2
	return len(b.txn.Apply) >= b.maxChanges || b.bytes > maxBatchBytes || len(b.txn.When) > maxConditions
}

func (b *batch) add(change wire.Change, pending *pendingChange) {
	b.bytes += len(change.Value)
	b.txn.Apply = append(b.txn.Apply, change)
	b.pending = append(b.pending, pending)
}

// requireJob makes the transaction conditional on the job's record.
func (b *batch) requireJob(j *Job) {
	if !b.conditioned[j] {
		b.conditioned[j] = true
		b.require(JobKey(j.Spec.ID), j.Revision)
	}
}

func (b *batch) require(key string, revision uint64) {
	b.txn.When = append(b.txn.When, wire.Cond{Path: key, Revision: revision})
}

// addEnds adds the final records of completed jobs.
func (b *batch) addEnds() {
	l := b.ledger
	keep := l.unwrittenEnds[:0]
	for _, j := range l.unwrittenEnds {
		switch {
		case l.Jobs[j.Spec.ID] != j || j.Final != Open || j.endInFlight:
			j.endQueued = false
		case b.full():
			keep = append(keep, j)
		default:
			rec := *j.Record
			// The description of a completed job is no longer needed.
			rec.Final, rec.Spec = Done, nil
			b.requireJob(j)
			b.add(wire.Change{Write: JobKey(j.Spec.ID), Value: rec.Encode()}, &pendingChange{job: j, chunk: -1})
			j.endQueued, j.endInFlight = false, true
		}
	}
	l.unwrittenEnds = keep
}

// addChunks adds changed chunks in the order of their ranks. Those that don't fit or are to wait
// stay changed.
func (b *batch) addChunks() {
	l := b.ledger
	now := l.env.Now()
	var deferred []dirtyChunk
	ranks := make([]int, len(l.dirty))
	order := make([]int, 0, len(l.dirty))
	for i, d := range l.dirty {
		var ok bool
		if ranks[i], ok = l.rank(d, now); ok {
			order = append(order, i)
		} else if l.Jobs[d.job.Spec.ID] == d.job {
			deferred = append(deferred, d)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	for _, i := range order {
		d := l.dirty[i]
		if l.Jobs[d.job.Spec.ID] != d.job {
			continue
		}
		noSpare := ranks[i] >= deferrableRank && len(b.txn.Apply) >= b.spareChanges
		if d.job.endInFlight || noSpare || b.full() {
			deferred = append(deferred, d)
			continue
		}
		b.addChunk(d)
	}
	l.dirty = deferred
}

// addChunk adds the write of a chunk, or its deletion if the job is over.
func (b *batch) addChunk(d dirtyChunk) {
	j, c := d.job, &d.job.chunks[d.chunk]
	key := ChunkKey(j.Spec.ID, d.chunk)
	pending := &pendingChange{job: j, chunk: d.chunk, key: key, deletion: j.Final != Open}
	change := wire.Change{Delete: key}
	switch {
	case j.Final != Open && j.Placed > 0:
		// The chunks are deleted once the last task is gone. Until then they may
		// list placements that no longer exist.
		c.dirty, c.urgent = false, false
		return
	case j.Final != Open && c.revision == 0:
		c.dirty = false
		return
	case j.Final == Open:
		change = wire.Change{Write: key, Value: b.ledger.encodeChunkWithin(j, d.chunk)}
		pending.placed = j.unwrittenPlacements(d.chunk)
	}
	b.requireJob(j)
	b.require(key, c.revision)
	b.add(change, pending)
	c.dirty, c.urgent, c.inFlight = false, false, true
}

// unwrittenPlacements returns the placements of a chunk that are not durable yet.
func (j *Job) unwrittenPlacements(chunk int) (out []*Placement) {
	for i := chunk * j.tasksPerChunk; i < min(len(j.Tasks), (chunk+1)*j.tasksPerChunk); i++ {
		if p := j.Tasks[i].CurrentPlacement; p != nil && !p.Durable {
			out = append(out, p)
		}
	}
	return out
}

// addOrphans adds deletions of chunks without a job.
func (b *batch) addOrphans() {
	l := b.ledger
	for len(l.orphans) > 0 && len(b.txn.Apply) < min(b.maxChanges, b.spareChanges) && !b.full() {
		o := l.orphans[0]
		l.orphans = l.orphans[1:]
		b.require(o.key, o.revision)
		b.add(wire.Change{Delete: o.key}, &pendingChange{chunk: -1, key: o.key})
	}
}

// encodeChunkWithin encodes a chunk within the limit for values.
func (l *Ledger) encodeChunkWithin(j *Job, n int) []byte {
	v := l.encodeChunk(j, n)
	if limit := l.store.Config().ValueBytes; limit > 0 && len(v) > limit {
		return l.shrink(j, n, limit)
	}
	return v
}

// shrink removes placements that are not durable yet until the chunk fits the limit for
// values. Machines with very long names make this necessary.
func (l *Ledger) shrink(j *Job, n, limit int) []byte {
	j.StopReason = ""
	v := l.encodeChunk(j, n)
	for i := min(len(j.Tasks), (n+1)*j.tasksPerChunk) - 1; i >= n*j.tasksPerChunk && len(v) > limit; i-- {
		if p := j.Tasks[i].CurrentPlacement; p != nil && !p.Durable {
			l.vacate(p)
			j.Tasks[i].NotBefore = l.env.Now() + 5*time.Second
			v = l.encodeChunk(j, n)
		}
	}
	return v
}
