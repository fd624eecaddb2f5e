package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/units"
)

// Queues are the jobs that wait for counted resources. Most of the order is the
// scheduler's own (Order); but a request for many units at once would never find
// them free together while single ones keep being taken. The first such request of a
// resource is its head: when it will have its units is projected from the ends of
// what holds them, and until then later requests take only what is back by that
// time, or is left over then.
type Queues struct {
	line  map[*units.Resource][]*ledger.Job
	heads map[*units.Resource]*head
	// ready is since when all that a request needs are free.
	ready map[*ledger.Job]time.Duration
	now   time.Duration
}

type head struct {
	j     *ledger.Job
	need  int
	at    time.Duration // enough are free by then
	extra int           // and so many more
	known time.Duration // when that was found out
}

// headEvery is how long a projection holds: it looks at all that hold units.
const headEvery = time.Second

// readyFor is how long units that are all there are kept for a request that doesn't
// start: it waits for something else.
const readyFor = 3 * time.Second

// NewQueues makes empty queues; Refresh fills them.
func NewQueues() *Queues {
	return &Queues{heads: map[*units.Resource]*head{}, ready: map[*ledger.Job]time.Duration{}}
}

// Refresh lines the waiting jobs up.
func (q *Queues) Refresh(l *ledger.Ledger, order []*ledger.Job, now time.Duration) {
	q.line, q.now = nil, now
	for _, j := range order {
		if !j.Asks() {
			continue
		}
		if q.line == nil {
			q.line = map[*units.Resource][]*ledger.Job{}
		}
		l.Each(j, 1, func(r *units.Resource, _ int) { q.line[r] = append(q.line[r], j) })
	}
	for r := range q.heads {
		if len(q.line[r]) == 0 {
			delete(q.heads, r)
		}
	}
	for j := range q.ready {
		if !Waiting(j) {
			delete(q.ready, j)
		}
	}
	for r, js := range q.line {
		slices.SortStableFunc(js, func(a, b *ledger.Job) int { return before(r, a, b) })
		q.heads[r] = q.head(l, r, js)
	}
}

// before orders requests for a resource: teams below their share, priority, age.
func before(r *units.Resource, a, b *ledger.Job) int {
	if x, y := r.Under(a.Spec.Team), r.Under(b.Spec.Team); x != y {
		return first(x)
	}
	return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// once is how many tasks of a job start together.
func once(j *ledger.Job) int {
	if j.Spec.Kind == model.Gang {
		return j.Idle()
	}
	return 1
}

// head finds the first request of a line for several units at once that has to wait
// for them, and projects its start.
func (q *Queues) head(l *ledger.Ledger, r *units.Resource, js []*ledger.Job) *head {
	for _, j := range js {
		need := 0
		l.Each(j, once(j), func(x *units.Resource, n int) {
			if x == r {
				need += n
			}
		})
		free := r.Free(j.Spec.Team, j.Spec.Priority)
		if need < 2 || j.Faulty() {
			continue
		}
		old := q.heads[r]
		if old != nil && (old.j != j || old.need != need) {
			old = nil
		}
		if free >= need {
			// All are there: they are kept for it while others are placed before it, but
			// not while it waits for machines.
			since, ok := q.ready[j]
			if !ok {
				since = q.now
				q.ready[j] = since
			}
			if q.now-since > readyFor {
				continue
			}
			return &head{j: j, need: need, at: q.now, extra: free - need, known: q.now - headEvery}
		}
		if _, ok := q.ready[j]; ok {
			delete(q.ready, j)
			old = nil
		}
		if old != nil && q.now-old.known < headEvery {
			return old
		}
		type back struct {
			at time.Duration
			n  int
		}
		ends := make([]back, 0, len(r.Holders))
		for who, n := range r.Holders {
			ends = append(ends, back{q.end(l, who), n})
		}
		slices.SortFunc(ends, func(a, b back) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.n, b.n)) })
		h := &head{j: j, need: need, known: q.now, at: q.now}
		sum := free
		for _, e := range ends {
			if sum >= need {
				break
			}
			sum += e.n
			h.at = e.at
		}
		if sum < need || r.There() < need {
			continue // as things are it never has them: it keeps nobody waiting
		}
		if old != nil {
			// Tasks that run for longer than was thought must not put it off: others
			// would always find time for one more.
			h.at = min(h.at, old.at)
		}
		for _, e := range ends {
			if e.at <= h.at {
				free += e.n
			}
		}
		h.extra = max(0, free-need)
		return h
	}
	return nil
}

// end is when a holder's units will probably be back.
func (q *Queues) end(l *ledger.Ledger, who units.Holder) time.Duration {
	one := func(p *ledger.Placement) time.Duration {
		fetch := 0.0
		if t := l.Types[p.M.Type]; t != nil && t.FetchGBs > 0 && p.Phase == model.Fetching {
			fetch = p.Job.Spec.ImageGB / t.FetchGBs
		}
		return q.now + remaining(p, q.now, fetch)
	}
	switch h := who.(type) {
	case *ledger.Placement:
		return one(h)
	case *ledger.Job:
		last := q.now
		for i := range h.Tasks {
			if p := h.Tasks[i].P; p != nil {
				last = max(last, one(p))
			} else if !h.Tasks[i].Done {
				last = max(last, q.now+runs(h)) // it keeps them until all are through
			}
		}
		return last
	}
	return q.now
}

// Allow reports whether n more tasks of the job may take their units now. If not,
// the job is told why.
func (q *Queues) Allow(l *ledger.Ledger, j *ledger.Job, n int) bool {
	if !j.Asks() {
		return true
	}
	if r, need := l.Short(j, n); r != nil {
		j.Waits = r.Why(need, j.Spec.Team, j.Spec.Priority) + holder(r) + q.position(r, j)
		return false
	}
	if q == nil {
		return true
	}
	var kept *units.Resource
	l.Each(j, n, func(r *units.Resource, need int) {
		h := q.heads[r]
		if h == nil || h.j == j || before(r, j, h.j) < 0 || need <= h.extra {
			return
		}
		if j.Spec.Kind != model.Service && q.now+runs(j)+backfillSlack <= h.at {
			return
		}
		kept = r
	})
	if kept != nil {
		h := q.heads[kept]
		j.Waits = fmt.Sprintf("units of %s are kept for %s, which needs %d at once and came first", kept.Name, h.j.Spec.ID, h.need) + q.position(kept, j)
		return false
	}
	l.Each(j, n, func(r *units.Resource, need int) {
		if h := q.heads[r]; h != nil && h.j != j && q.now+runs(j)+backfillSlack > h.at {
			h.extra -= need
		}
	})
	return true
}

// backfillSlack is what a task takes besides its run: the write, the fetch, the
// report of its end.
const backfillSlack = 5 * time.Second

// holder names one that has units, for somebody who waits for them.
func holder(r *units.Resource) string {
	name := ""
	for who := range r.Holders {
		s := ""
		switch h := who.(type) {
		case *ledger.Placement:
			s = fmt.Sprintf("%s/%d on %s", h.Job.Spec.ID, h.Task, h.M.Name)
		case *ledger.Job:
			s = h.Spec.ID
		}
		if name == "" || s < name {
			name = s
		}
		if len(r.Holders) > 64 {
			break // one of many; no look at all of them
		}
	}
	if name == "" {
		return ""
	}
	return ", by " + name + map[bool]string{true: " and others"}[len(r.Holders) > 1]
}

func (q *Queues) position(r *units.Resource, j *ledger.Job) string {
	if q == nil {
		return ""
	}
	if i := slices.Index(q.line[r], j); i >= 0 {
		return fmt.Sprintf("; place %d of %d in its queue", i+1, len(q.line[r]))
	}
	return ""
}

// Waiting is how many jobs are in line for the resource.
func (q *Queues) Waiting(r *units.Resource) int {
	if q == nil {
		return 0
	}
	return len(q.line[r])
}

// freeUnits stops lesser work that holds the units which a job is short of, what
// loses least; nil if that can't help it.
func (st *Stops) freeUnits(j *ledger.Job) []*ledger.Placement {
	r, need := st.l.Short(j, once(j))
	if r == nil || need > r.There() {
		return nil
	}
	if p := r.Rec.Teams[j.Spec.Team]; p.Most > 0 && p.Most < need+r.Used-r.There()+r.Free(j.Spec.Team, j.Spec.Priority) {
		return nil // its own team's limit
	}
	missing := need - r.Free(j.Spec.Team, j.Spec.Priority)
	var vs []victim
	for who, n := range r.Holders {
		p, ok := who.(*ledger.Placement)
		if !ok {
			continue
		}
		if p.Stopping {
			missing -= n
			continue
		}
		if c, ok := loss(p, st.v.Now); ok && st.mayStop(j, p) && p.Job.Spec.Priority < j.Spec.Priority {
			vs = append(vs, victim{p, c})
		}
	}
	slices.SortFunc(vs, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.p.Job.Spec.ID, b.p.Job.Spec.ID), cmp.Compare(a.p.Task, b.p.Task))
	})
	var out []*ledger.Placement
	for _, x := range vs {
		if missing <= 0 {
			break
		}
		out = append(out, x.p)
		missing -= r.Holders[x.p]
	}
	if missing > 0 {
		return nil
	}
	return out
}
