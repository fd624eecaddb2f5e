package ledger

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/leader"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// markDirty marks a task's chunk as changed. A chunk is urgent if it holds a placement that
// waits to be started.
func (l *Ledger) markDirty(j *Job, task int, urgent bool) {
	c := &j.chunks[task/j.tasksPerChunk]
	c.urgent = c.urgent || urgent
	if !c.dirty {
		c.dirty = true
		c.dirtySince = l.env.Now()
		l.dirty = append(l.dirty, dirtyChunk{j, task / j.tasksPerChunk})
	}
	l.scheduleFlush()
}

// scheduleFlush schedules a flush after a short delay, so that the changes of one step go
// into one transaction.
func (l *Ledger) scheduleFlush() { l.flushAfter(2 * time.Millisecond) }

func (l *Ledger) flushAfter(d time.Duration) {
	if l.flushTimer == nil && !l.closed {
		l.flushTimer = l.env.After(d, func() { l.flushTimer = nil; l.flush() })
	}
}

// TaskDurable reports whether the latest state of the task is durable. For a job that is
// over it always returns true, since its end supersedes the states of its tasks.
func (j *Job) TaskDurable(task int) bool {
	c := &j.chunks[task/j.tasksPerChunk]
	return j.Final != Open || !c.dirty && !c.inFlight
}

// HasUnwrittenResults reports whether the machine's worker has completed tasks whose
// completion is not durable yet.
func (l *Ledger) HasUnwrittenResults(m *Machine) bool {
	for _, t := range m.EndedTasks {
		if j := l.Jobs[t.Job]; j != nil && t.Cause == model.CauseDone && t.Task < len(j.Tasks) && !j.TaskDurable(t.Task) {
			return true
		}
	}
	return false
}

// checkEnd queues the final record of a job whose tasks are all done.
func (l *Ledger) checkEnd(j *Job) {
	if j.Final == Open && !j.endQueued && !j.unreadable && j.DoneTasks == len(j.Tasks) && j.Placed == 0 && j.Spec.Kind != model.Service {
		j.endQueued = true
		l.unwrittenEnds = append(l.unwrittenEnds, j)
		l.scheduleFlush()
	}
}

func (l *Ledger) encodeChunk(j *Job, n int) []byte {
	var sb strings.Builder
	for i := n * j.tasksPerChunk; i < min(len(j.Tasks), (n+1)*j.tasksPerChunk); i++ {
		t := &j.Tasks[i]
		if sb.Len() > 0 {
			sb.WriteByte(' ')
		}
		switch {
		case t.Done:
			sb.WriteByte('d')
		case t.CurrentPlacement != nil:
			sb.WriteString(strconv.FormatUint(t.CurrentPlacement.Attempt, 10))
			sb.WriteByte('@')
			sb.WriteString(t.CurrentPlacement.Host.Name)
		default:
			sb.WriteString(strconv.FormatUint(t.Attempt, 10))
		}
	}
	why := j.StopReason
	if len(why) > 160 {
		why = why[:160]
	}
	return wire.Encode(chunkRecord{V: RecordFormat, TaskStates: sb.String(), Why: why})
}

// Changes counts the changes that the term has written to the state service, by their
// purpose. Each field except Tasks counts changes, which the service limits per second.
type Changes struct {
	Starts       int // chunks with placements to start
	Tasks        int // placements in those chunks
	Ends         int // final records of completed jobs
	StateUpdates int // other chunks, written because tasks are done or idle
	Deletions    int // deletions of chunks
}

func (c *Changes) count(change *pendingChange) {
	switch {
	case change.job == nil || change.deletion:
		c.Deletions++
	case change.chunk < 0:
		c.Ends++
	case len(change.placed) > 0:
		c.Starts++
		c.Tasks += len(change.placed)
	default:
		c.StateUpdates++
	}
}

const (
	// Starts below high priority are delayed for this time, so that later starts of the
	// same job share a change.
	startGatherTime = 400 * time.Millisecond
	// Chunks without starts only save repeated work after a failure. They are delayed for
	// stateUpdateGatherTime. After maxStateUpdateDelay they no longer wait for spare budget.
	stateUpdateGatherTime = 5 * time.Second
	maxStateUpdateDelay   = 15 * time.Second
	// reservedBurstShare is the share of the write burst that deferrable changes leave for
	// starts and ends. reservedUserWrites is the number of changes left for requests of
	// users at this node.
	reservedBurstShare = 0.5
	reservedUserWrites = 3
	// Chunks of this rank or a later one are written only from the spare budget.
	deferrableRank = 10
)

// rank returns the position of a chunk in the order of writing; lower ranks go first. The
// order is: starts by descending priority, chunks that have waited for maxStateUpdateDelay,
// deletions of chunks of jobs that are over, other chunks. ok is false while the chunk should
// wait for further changes.
func (l *Ledger) rank(d dirtyChunk, now time.Duration) (rank int, ok bool) {
	c := &d.job.chunks[d.chunk]
	age := now - c.dirtySince
	prio := d.job.Spec.Priority
	switch {
	case d.job.Final != Open:
		return deferrableRank, true
	case c.urgent:
		return int(model.Production - prio), prio >= model.High || age >= startGatherTime
	case age > maxStateUpdateDelay:
		return int(model.Production) + 1, true
	}
	return deferrableRank + 1, age >= stateUpdateGatherTime
}

// WriteBacklogS returns how many seconds this node needs at its write rate for the waiting
// changes that exceed its current allowance. It counts the ends of jobs, and the chunks with
// starts of the given priority or above.
func (l *Ledger) WriteBacklogS(least model.Priority) float64 {
	return max(0, float64(l.urgentBacklog(least))-max(0, l.writeAllowance())) / max(0.1, l.store.WriteRate())
}

// writeAllowance returns how many changes flush may make now, without those reserved for
// users. WriteBacklogS must use the same number: otherwise a leader whose bucket held only
// the reserved changes reported no backlog, gave all new budget to submissions, and wrote
// nothing for 3 s.
func (l *Ledger) writeAllowance() float64 {
	return l.store.WriteRoom() - min(reservedUserWrites, l.store.WriteBurst()/4)
}

// urgentBacklog counts the waiting ends of jobs, and the waiting chunks with starts of the
// given priority or above.
func (l *Ledger) urgentBacklog(least model.Priority) int {
	n := len(l.unwrittenEnds)
	for _, d := range l.dirty {
		if d.job.chunks[d.chunk].urgent && d.job.Final == Open && d.job.Spec.Priority >= least {
			n++
		}
	}
	return n
}

// flush writes waiting changes within the budget, one transaction at a time: first the ends
// of jobs, then chunks in the order of rank. Every transaction is conditional on this node's
// leadership, on the job's record (so that a cancellation and a placement can't both succeed)
// and on the chunk's last version (so that a transaction that arrives late fails).
func (l *Ledger) flush() {
	if l.commitInFlight || l.closed || len(l.dirty)+len(l.unwrittenEnds)+len(l.orphans) == 0 {
		return
	}
	b := l.newBatch()
	if b.maxChanges < 1 {
		l.flushAfter(80 * time.Millisecond)
		return
	}
	b.addEnds()
	b.addChunks()
	b.addOrphans()
	if len(b.txn.Apply) == 0 {
		return
	}
	l.commitInFlight = true
	l.store.Commit(b.txn, true, func(r statestore.Result, revision uint64, failed []string) {
		l.commitInFlight = false
		if l.closed {
			return
		}
		l.finishCommit(b.pending, r, revision, failed)
	})
}

func (l *Ledger) finishCommit(pending []*pendingChange, r statestore.Result, revision uint64, failed []string) {
	for _, change := range pending {
		if change.job == nil {
			continue
		}
		if change.chunk >= 0 {
			change.job.chunks[change.chunk].inFlight = false
		} else {
			change.job.endInFlight = false
		}
	}
	if r == statestore.OK {
		l.lastWrite = l.env.Now()
		var started []*Placement
		for _, change := range pending {
			l.Changes.count(change)
			if change.job == nil {
				continue
			}
			if change.chunk < 0 {
				change.job.Final, change.job.Revision = Done, revision
			} else {
				change.job.chunks[change.chunk].revision = revision
				if change.deletion {
					change.job.chunks[change.chunk].revision = 0
				}
			}
			for _, p := range change.placed {
				if !p.Gone {
					p.Durable = true
					started = append(started, p)
				}
			}
			l.removeIfOver(change.job)
		}
		if len(started) > 0 && l.OnDurable != nil {
			l.OnDurable(started)
		}
		l.flush()
		return
	}
	retry := func() {
		for _, change := range pending {
			switch {
			case change.job == nil:
				if it, ok := l.store.Peek(change.key); ok {
					l.orphans = append(l.orphans, orphan{change.key, it.Revision})
				}
			case l.Jobs[change.job.Spec.ID] != change.job:
			case change.chunk < 0:
				l.checkEnd(change.job)
			default:
				l.markDirty(change.job, change.chunk*change.job.tasksPerChunk, len(change.placed) > 0)
			}
		}
	}
	switch r {
	case statestore.Conflict:
		for _, k := range failed {
			if k == leader.Key {
				if l.OnDeposed != nil {
					l.OnDeposed()
				}
				return
			}
		}
		l.reread(failed, retry)
	case statestore.Unknown:
		// The transaction may have been applied, or may still be. Writing again with the
		// same versions is safe: whichever is applied first makes the other fail.
		retry()
	default:
		l.commitInFlight = true
		l.env.After(100*time.Millisecond, func() { l.commitInFlight = false; retry() })
	}
}

// reread fetches the current versions of keys on which a transaction failed.
func (l *Ledger) reread(keys []string, then func()) {
	if len(keys) == 0 || l.closed {
		if !l.closed {
			then()
		}
		return
	}
	l.commitInFlight = true
	key := keys[0]
	l.store.Get(key, func(it *statestore.Item, ok bool) {
		if l.closed {
			return
		}
		if !ok {
			l.env.After(100*time.Millisecond, func() { l.reread(keys, then) })
			return
		}
		l.applyReread(key, it)
		l.commitInFlight = false
		l.reread(keys[1:], then)
	})
}

func (l *Ledger) applyReread(key string, it *statestore.Item) {
	if strings.HasPrefix(key, JobPrefix) {
		l.ApplyJobRecord(key, it)
		if j := l.Jobs[strings.TrimPrefix(key, JobPrefix)]; j != nil && it != nil && j.Final == Done {
			// An earlier attempt to write the end was applied.
			l.removeIfOver(j)
		}
		return
	}
	rest := strings.TrimPrefix(key, ChunkPrefix)
	if i := strings.LastIndexByte(rest, '/'); i > 0 {
		if j := l.Jobs[rest[:i]]; j != nil {
			if n, err := strconv.Atoi(rest[i+1:]); err == nil && n < len(j.chunks) {
				j.chunks[n].revision = 0
				if it != nil {
					j.chunks[n].revision = it.Revision
				}
			}
		}
	}
}

// FlushPending writes changes that are still waiting, and updates LongestWriteStall. The
// leader calls it regularly.
func (l *Ledger) FlushPending() {
	l.flush()
	now := l.env.Now()
	switch {
	case !l.commitInFlight && l.urgentBacklog(model.Low) == 0:
		l.pendingSince = 0
	case l.pendingSince == 0:
		l.pendingSince = now
	default:
		l.LongestWriteStall = max(l.LongestWriteStall, now-max(l.pendingSince, l.lastWrite))
	}
}
