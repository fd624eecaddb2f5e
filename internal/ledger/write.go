package ledger

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/leader"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// touch marks a task's record as changed.
func (l *Ledger) touch(j *Job, task int, urgent bool) {
	c := &j.chunks[task/j.per]
	c.urgent = c.urgent || urgent
	if !c.dirty {
		c.dirty = true
		c.since = l.env.Now()
		l.dirty = append(l.dirty, dirtyRef{j, task / j.per})
	}
	l.soon()
}

// soon lets the changes of one step gather into one transaction.
func (l *Ledger) soon() { l.wait(2 * time.Millisecond) }

func (l *Ledger) wait(d time.Duration) {
	if l.resting == nil && !l.stopped {
		l.resting = l.env.After(d, func() { l.resting = nil; l.flush() })
	}
}

// Clean reports whether everything known of the task is durable. Of a job that
// is over nothing else matters.
func (j *Job) Clean(task int) bool {
	c := &j.chunks[task/j.per]
	return j.Final != Open || !c.dirty && !c.inFlight
}

// Unwritten reports whether the machine's worker holds results that are not
// durable yet.
func (l *Ledger) Unwritten(m *Machine) bool {
	for _, t := range m.Ended {
		if j := l.Jobs[t.Job]; j != nil && t.Cause == model.CauseDone && t.Task < len(j.Tasks) && !j.Clean(t.Task) {
			return true
		}
	}
	return false
}

// checkEnd puts a job whose tasks are all done in the queue of ends.
func (l *Ledger) checkEnd(j *Job) {
	if j.Final == Open && !j.ending && !j.broken && j.NDone == len(j.Tasks) && j.Placed == 0 && j.Spec.Kind != model.Service {
		j.ending = true
		l.ends = append(l.ends, j)
		l.soon()
	}
}

func (l *Ledger) encodeChunk(j *Job, n int) []byte {
	var sb strings.Builder
	for i := n * j.per; i < min(len(j.Tasks), (n+1)*j.per); i++ {
		t := &j.Tasks[i]
		if sb.Len() > 0 {
			sb.WriteByte(' ')
		}
		switch {
		case t.Done:
			sb.WriteByte('d')
		case t.P != nil:
			sb.WriteString(strconv.FormatUint(t.P.Attempt, 10))
			sb.WriteByte('@')
			sb.WriteString(t.P.M.Name)
		default:
			sb.WriteString(strconv.FormatUint(t.Attempt, 10))
		}
	}
	why := j.Why
	if len(why) > 160 {
		why = why[:160]
	}
	return wire.Encode(chunkRecord{V: Format, T: sb.String(), W: why})
}

type flight struct {
	job    *Job
	n      int // chunk; -1: the job's end
	key    string
	placed []*Placement
	drop   bool
}

// Changes counts what the term has written to the state service, by what it is
// for. Each kind but Tasks is in changes, of which the service takes only so many
// a second.
type Changes struct {
	Starts int // chunks with placements to start
	Tasks  int // the placements in them
	Ends   int // jobs that are done
	Marks  int // chunks that only say what is done or idle
	Drops  int // deletions of chunks
}

func (c *Changes) count(f *flight) {
	switch {
	case f.job == nil || f.drop:
		c.Drops++
	case f.n < 0:
		c.Ends++
	case len(f.placed) > 0:
		c.Starts++
		c.Tasks += len(f.placed)
	default:
		c.Marks++
	}
}

const (
	// Starts nobody waits impatiently for gather for this long: the next ones
	// of the same job are then in the same change.
	gatherFor = 400 * time.Millisecond
	// Marks that only spare work after a failure gather for this long, and are
	// written whether the budget has room to spare or not after lazyFor.
	markAfter = 5 * time.Second
	lazyFor   = 15 * time.Second
	// The part of the budget that is kept for what somebody waits for, and the
	// changes that are left for users who come to this node.
	lazyKeep   = 0.5
	userWrites = 3
	// Ranks from here on are written from the spare part of the budget only.
	lazyRank = 10
)

// rank orders what is to be written by what people wait for: starts of higher
// priority, other starts, then what is merely in the way, then what only spares
// work after a failure. ok is false while it may gather more.
func (l *Ledger) rank(d dirtyRef, now time.Duration) (rank int, ok bool) {
	c := &d.job.chunks[d.n]
	age := now - c.since
	prio := d.job.Spec.Priority
	switch {
	case d.job.Final != Open:
		return lazyRank, true
	case c.urgent:
		return int(model.Production - prio), prio >= model.High || age >= gatherFor
	case age > lazyFor:
		return int(model.Production) + 1, true
	}
	return lazyRank + 1, age >= markAfter
}

// Behind is how many seconds of our changes are waiting to be written: ends of jobs,
// and placements of the given priority or above that may be started once they are.
func (l *Ledger) Behind(least model.Priority) float64 {
	return max(0, float64(l.backlog(least))-max(0, l.spendable())) / max(0.1, l.store.WriteRate())
}

// spendable is how many changes flush may make now: a few are left to users. Behind has
// to count the same, or a leader whose bucket held those few called itself not behind,
// left all that came in to its door, and wrote nothing for 3 s (sim.TestFloods/leader).
func (l *Ledger) spendable() float64 {
	return l.store.WriteRoom() - min(userWrites, l.store.WriteBurst()/4)
}

// backlog counts the ends, and the chunks with starts of the given priority or above,
// that are to be written.
func (l *Ledger) backlog(least model.Priority) int {
	n := len(l.ends)
	for _, d := range l.dirty {
		if d.job.chunks[d.n].urgent && d.job.Final == Open && d.job.Spec.Priority >= least {
			n++
		}
	}
	return n
}

// flush writes what is to be written, one transaction at a time, as much as the
// budget holds: first the ends of jobs, then what rank says. Every transaction
// is conditional on our leadership, on the job's record (so that a cancellation
// and a placement can't both win) and on the chunk's last version (so that a
// transaction that arrives late fails).
func (l *Ledger) flush() {
	if l.flying || l.stopped || len(l.dirty)+len(l.ends)+len(l.orphans) == 0 {
		return
	}
	now := l.env.Now()
	budget := l.spendable()
	ops := min(l.MaxOps, int(budget))
	if ops < 1 {
		l.wait(80 * time.Millisecond)
		return
	}
	spare := int(budget - lazyKeep*l.store.WriteBurst())
	conds := 4*l.MaxOps - 2
	t := wire.Txn{When: []wire.Cond{{Path: leader.Key, Stamp: l.token}}}
	var fl []*flight
	size := 0
	condJob := map[*Job]bool{}
	cond := func(j *Job) {
		if !condJob[j] {
			condJob[j] = true
			t.When = append(t.When, wire.Cond{Path: JobKey(j.Spec.ID), Stamp: j.Stamp})
		}
	}
	full := func() bool { return len(t.Apply) >= ops || size > 48<<10 || len(t.When) > conds }
	keepEnds := l.ends[:0]
	for _, j := range l.ends {
		switch {
		case l.Jobs[j.Spec.ID] != j || j.Final != Open || j.closing:
			j.ending = false
		case full():
			keepEnds = append(keepEnds, j)
		default:
			rec := *j.Rec
			// The description is needed no more.
			rec.Final, rec.Spec = Done, nil
			v := rec.Encode()
			cond(j)
			t.Apply = append(t.Apply, wire.Change{Write: JobKey(j.Spec.ID), Value: v})
			size += len(v)
			fl = append(fl, &flight{job: j, n: -1})
			j.ending, j.closing = false, true
		}
	}
	l.ends = keepEnds
	var rest []dirtyRef
	ranks := make([]int, len(l.dirty))
	order := make([]int, 0, len(l.dirty))
	for i, d := range l.dirty {
		var ok bool
		if ranks[i], ok = l.rank(d, now); ok {
			order = append(order, i)
		} else if l.Jobs[d.job.Spec.ID] == d.job {
			rest = append(rest, d)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	for _, i := range order {
		d := l.dirty[i]
		j, c := d.job, &d.job.chunks[d.n]
		if l.Jobs[j.Spec.ID] != j {
			continue
		}
		lazy := ranks[i] >= lazyRank && len(t.Apply) >= spare
		if j.closing || lazy || full() {
			rest = append(rest, d)
			continue
		}
		key := ChunkKey(j.Spec.ID, d.n)
		f := &flight{job: j, n: d.n, key: key}
		if j.Final != Open && j.Placed > 0 {
			// Its chunks go when the last of its tasks is gone; until then they
			// may claim more than there is.
			c.dirty, c.urgent = false, false
			continue
		}
		if j.Final != Open {
			if c.stamp == 0 {
				c.dirty = false
				continue
			}
			t.Apply = append(t.Apply, wire.Change{Delete: key})
			f.drop = true
		} else {
			v := l.encodeChunk(j, d.n)
			if limit := l.store.Config().ValueBytes; limit > 0 && len(v) > limit {
				v = l.shrink(j, d.n, limit)
			}
			size += len(v)
			t.Apply = append(t.Apply, wire.Change{Write: key, Value: v})
			for i := d.n * j.per; i < min(len(j.Tasks), (d.n+1)*j.per); i++ {
				if p := j.Tasks[i].P; p != nil && !p.Durable {
					f.placed = append(f.placed, p)
				}
			}
		}
		cond(j)
		t.When = append(t.When, wire.Cond{Path: key, Stamp: c.stamp})
		c.dirty, c.urgent, c.inFlight = false, false, true
		fl = append(fl, f)
	}
	l.dirty = rest
	for len(l.orphans) > 0 && len(t.Apply) < min(ops, spare) && !full() {
		o := l.orphans[0]
		l.orphans = l.orphans[1:]
		t.When = append(t.When, wire.Cond{Path: o.key, Stamp: o.stamp})
		t.Apply = append(t.Apply, wire.Change{Delete: o.key})
		fl = append(fl, &flight{n: -1, key: o.key})
	}
	if len(t.Apply) == 0 {
		return
	}
	l.flying = true
	l.store.Commit(t, true, func(r statestore.Result, epoch uint64, failed []string) {
		l.flying = false
		if l.stopped {
			return
		}
		l.settle(fl, r, epoch, failed)
	})
}

// shrink calls off placements that nobody was told of until the chunk fits its
// limit, for machines with very long names.
func (l *Ledger) shrink(j *Job, n, limit int) []byte {
	j.Why = ""
	v := l.encodeChunk(j, n)
	for i := min(len(j.Tasks), (n+1)*j.per) - 1; i >= n*j.per && len(v) > limit; i-- {
		if p := j.Tasks[i].P; p != nil && !p.Durable {
			l.vacate(p)
			j.Tasks[i].NotBefore = l.env.Now() + 5*time.Second
			v = l.encodeChunk(j, n)
		}
	}
	return v
}

func (l *Ledger) settle(fl []*flight, r statestore.Result, epoch uint64, failed []string) {
	for _, f := range fl {
		if f.job == nil {
			continue
		}
		if f.n >= 0 {
			f.job.chunks[f.n].inFlight = false
		} else {
			f.job.closing = false
		}
	}
	if r == statestore.OK {
		l.written = l.env.Now()
		var started []*Placement
		for _, f := range fl {
			l.Changes.count(f)
			if f.job == nil {
				continue
			}
			if f.n < 0 {
				f.job.Final, f.job.Stamp = Done, epoch
			} else {
				f.job.chunks[f.n].stamp = epoch
				if f.drop {
					f.job.chunks[f.n].stamp = 0
				}
			}
			for _, p := range f.placed {
				if !p.Gone {
					p.Durable = true
					started = append(started, p)
				}
			}
			l.forgetIfOver(f.job)
		}
		if len(started) > 0 && l.OnDurable != nil {
			l.OnDurable(started)
		}
		l.flush()
		return
	}
	redo := func() {
		for _, f := range fl {
			switch {
			case f.job == nil:
				if it, ok := l.store.Peek(f.key); ok {
					l.orphans = append(l.orphans, orphan{f.key, it.Stamp})
				}
			case l.Jobs[f.job.Spec.ID] != f.job:
			case f.n < 0:
				l.checkEnd(f.job)
			default:
				l.touch(f.job, f.n*f.job.per, len(f.placed) > 0)
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
		l.reread(failed, redo)
	case statestore.Maybe:
		// It may have been applied or may be yet. Writing again with the same
		// versions settles it: whichever comes first makes the other fail.
		redo()
	default:
		l.flying = true
		l.env.After(100*time.Millisecond, func() { l.flying = false; redo() })
	}
}

// reread learns the versions of keys on which a transaction failed.
func (l *Ledger) reread(keys []string, then func()) {
	if len(keys) == 0 || l.stopped {
		if !l.stopped {
			then()
		}
		return
	}
	l.flying = true
	key := keys[0]
	l.store.Get(key, func(it *statestore.Item, ok bool) {
		if l.stopped {
			return
		}
		if !ok {
			l.env.After(100*time.Millisecond, func() { l.reread(keys, then) })
			return
		}
		l.learn(key, it)
		l.flying = false
		l.reread(keys[1:], then)
	})
}

func (l *Ledger) learn(key string, it *statestore.Item) {
	if strings.HasPrefix(key, JobPrefix) {
		l.JobEvent(key, it)
		if j := l.Jobs[strings.TrimPrefix(key, JobPrefix)]; j != nil && it != nil && j.Final == Done {
			// An earlier copy of the end was applied.
			l.forgetIfOver(j)
		}
		return
	}
	rest := strings.TrimPrefix(key, ChunkPrefix)
	if i := strings.LastIndexByte(rest, '/'); i > 0 {
		if j := l.Jobs[rest[:i]]; j != nil {
			if n, err := strconv.Atoi(rest[i+1:]); err == nil && n < len(j.chunks) {
				j.chunks[n].stamp = 0
				if it != nil {
					j.chunks[n].stamp = it.Stamp
				}
			}
		}
	}
}

// Kick retries what was left over.
func (l *Ledger) Kick() {
	l.flush()
	now := l.env.Now()
	switch {
	case !l.flying && l.backlog(model.Low) == 0:
		l.pending = 0
	case l.pending == 0:
		l.pending = now
	default:
		l.Quiet = max(l.Quiet, now-max(l.pending, l.written))
	}
}
