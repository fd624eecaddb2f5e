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

// UnitQueues orders the jobs that wait for counted resources. Most of the order is that of
// Order. But a request for many units at once would never find them free together while
// requests for single units keep being granted. The first such request for a resource
// therefore has a reservation. Its start is projected from the ends of the tasks that hold
// units. Until then, later requests only get units that will be back by that time or left
// over then.
type UnitQueues struct {
	waiting      map[*units.Resource][]*ledger.Job
	reservations map[*units.Resource]*reservation
	// readySince is the time since which all units that the job requests are free.
	readySince map[*ledger.Job]time.Duration
	now        time.Duration
}

// reservation is the projected start of the first request for several units.
type reservation struct {
	j          *ledger.Job
	need       int
	at         time.Duration // when enough units are expected to be free
	extra      int           // units expected to be free at that time beyond need
	computedAt time.Duration // when the projection was made
}

// reservationRefresh is how long a projection stays valid. Making one is expensive,
// because it examines all holders of the units.
const reservationRefresh = time.Second

// readyHoldTime is how long free units are kept for a request that has all it needs but
// doesn't start, because it waits for something else.
const readyHoldTime = 3 * time.Second

// NewUnitQueues returns empty queues; Refresh fills them.
func NewUnitQueues() *UnitQueues {
	return &UnitQueues{reservations: map[*units.Resource]*reservation{}, readySince: map[*ledger.Job]time.Duration{}}
}

// Refresh rebuilds the queues from the waiting jobs and updates the reservations.
func (q *UnitQueues) Refresh(l *ledger.Ledger, order []*ledger.Job, now time.Duration) {
	q.waiting, q.now = nil, now
	for _, j := range order {
		if !j.RequestsUnits() {
			continue
		}
		if q.waiting == nil {
			q.waiting = map[*units.Resource][]*ledger.Job{}
		}
		l.EachUnitNeed(j, 1, func(r *units.Resource, _ int) { q.waiting[r] = append(q.waiting[r], j) })
	}
	for r := range q.reservations {
		if len(q.waiting[r]) == 0 {
			delete(q.reservations, r)
		}
	}
	for j := range q.readySince {
		if !Waiting(j) {
			delete(q.readySince, j)
		}
	}
	for r, js := range q.waiting {
		slices.SortStableFunc(js, func(a, b *ledger.Job) int { return before(r, a, b) })
		q.reservations[r] = q.reserve(l, r, js)
	}
}

// before compares two jobs that wait for a resource: teams below their share come first,
// then higher priority, then older jobs.
func before(r *units.Resource, a, b *ledger.Job) int {
	if x, y := r.UnderShare(a.Spec.Team), r.UnderShare(b.Spec.Team); x != y {
		return trueFirst(x)
	}
	return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// simultaneousTasks returns how many idle tasks of the job must start together.
func simultaneousTasks(j *ledger.Job) int {
	if j.Spec.Kind == model.Gang {
		return j.Idle()
	}
	return 1
}

// reserve finds the first request in a queue that needs several units at once and can get
// them, and projects when it can start. It returns nil if there is none.
func (q *UnitQueues) reserve(l *ledger.Ledger, r *units.Resource, js []*ledger.Job) *reservation {
	for _, j := range js {
		need := 0
		l.EachUnitNeed(j, simultaneousTasks(j), func(x *units.Resource, n int) {
			if x == r {
				need += n
			}
		})
		free := r.Free(j.Spec.Team, j.Spec.Priority)
		if need < 2 || j.Faulty() {
			continue
		}
		old := q.reservations[r]
		if old != nil && (old.j != j || old.need != need) {
			old = nil
		}
		if free >= need {
			// All units are free. Keep them while other jobs are placed before this one,
			// but not for longer than readyHoldTime, while it waits for machines.
			since, ok := q.readySince[j]
			if !ok {
				since = q.now
				q.readySince[j] = since
			}
			if q.now-since > readyHoldTime {
				continue
			}
			return &reservation{j: j, need: need, at: q.now, extra: free - need, computedAt: q.now - reservationRefresh}
		}
		if _, ok := q.readySince[j]; ok {
			delete(q.readySince, j)
			old = nil
		}
		if old != nil && q.now-old.computedAt < reservationRefresh {
			return old
		}
		type unitsBack struct {
			at time.Duration
			n  int
		}
		ends := make([]unitsBack, 0, len(r.Holders))
		for holder, n := range r.Holders {
			ends = append(ends, unitsBack{q.expectedEnd(l, holder), n})
		}
		slices.SortFunc(ends, func(a, b unitsBack) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.n, b.n)) })
		res := &reservation{j: j, need: need, computedAt: q.now, at: q.now}
		sum := free
		for _, e := range ends {
			if sum >= need {
				break
			}
			sum += e.n
			res.at = e.at
		}
		if sum < need || r.Capacity() < need {
			continue // its units won't be free when all holders end, so it must not block others
		}
		if old != nil {
			// Tasks that run longer than estimated must not postpone the projected start:
			// other requests could always fit in one more task before it.
			res.at = min(res.at, old.at)
		}
		for _, e := range ends {
			if e.at <= res.at {
				free += e.n
			}
		}
		res.extra = max(0, free-need)
		return res
	}
	return nil
}

// expectedEnd estimates when a holder returns its units.
func (q *UnitQueues) expectedEnd(l *ledger.Ledger, holder units.Holder) time.Duration {
	placementEnd := func(p *ledger.Placement) time.Duration {
		fetch := 0.0
		if t := l.Types[p.Host.Type]; t != nil && t.FetchGBs > 0 && p.Phase == model.Fetching {
			fetch = p.Job.Spec.ImageGB / t.FetchGBs
		}
		return q.now + remainingRun(p, q.now, fetch)
	}
	switch h := holder.(type) {
	case *ledger.Placement:
		return placementEnd(h)
	case *ledger.Job:
		last := q.now
		for i := range h.Tasks {
			if p := h.Tasks[i].CurrentPlacement; p != nil {
				last = max(last, placementEnd(p))
			} else if !h.Tasks[i].Done {
				last = max(last, q.now+expectedRun(h)) // the job keeps its units until all its tasks have ended
			}
		}
		return last
	}
	return q.now
}

// Allow reports whether n more tasks of the job may take their units now. If not, it sets
// the reason in j.WaitReason.
func (q *UnitQueues) Allow(l *ledger.Ledger, j *ledger.Job, n int) bool {
	if !j.RequestsUnits() {
		return true
	}
	if r, need := l.FirstShortage(j, n); r != nil {
		j.WaitReason = r.ShortageReason(need, j.Spec.Team, j.Spec.Priority) + describeHolder(r) + q.position(r, j)
		return false
	}
	if q == nil {
		return true
	}
	var reserved *units.Resource
	l.EachUnitNeed(j, n, func(r *units.Resource, need int) {
		res := q.reservations[r]
		if res == nil || res.j == j || before(r, j, res.j) < 0 || need <= res.extra {
			return
		}
		if j.Spec.Kind != model.Service && q.now+expectedRun(j)+backfillSlack <= res.at {
			return
		}
		reserved = r
	})
	if reserved != nil {
		res := q.reservations[reserved]
		j.WaitReason = fmt.Sprintf("units of %s are kept for %s, which needs %d at once and came first", reserved.Name, res.j.Spec.ID, res.need) + q.position(reserved, j)
		return false
	}
	l.EachUnitNeed(j, n, func(r *units.Resource, need int) {
		if res := q.reservations[r]; res != nil && res.j != j && q.now+expectedRun(j)+backfillSlack > res.at {
			res.extra -= need
		}
	})
	return true
}

// backfillSlack is the time a task takes besides its run, until its end is known: writing
// the placement, fetching the image and reporting the end.
const backfillSlack = 5 * time.Second

// describeHolder names one holder of units of the resource, as part of the reason for a
// wait.
func describeHolder(r *units.Resource) string {
	name := ""
	for holder := range r.Holders {
		s := ""
		switch h := holder.(type) {
		case *ledger.Placement:
			s = fmt.Sprintf("%s/%d on %s", h.Job.Spec.ID, h.Task, h.Host.Name)
		case *ledger.Job:
			s = h.Spec.ID
		}
		if name == "" || s < name {
			name = s
		}
		if len(r.Holders) > 64 {
			break // any of them will do, so don't visit a long list
		}
	}
	if name == "" {
		return ""
	}
	return ", by " + name + map[bool]string{true: " and others"}[len(r.Holders) > 1]
}

// position returns the job's place in the queue, as part of the reason for a wait.
func (q *UnitQueues) position(r *units.Resource, j *ledger.Job) string {
	if q == nil {
		return ""
	}
	if i := slices.Index(q.waiting[r], j); i >= 0 {
		return fmt.Sprintf("; place %d of %d in its queue", i+1, len(q.waiting[r]))
	}
	return ""
}

// Waiting returns how many jobs are in the queue for the resource.
func (q *UnitQueues) Waiting(r *units.Resource) int {
	if q == nil {
		return 0
	}
	return len(q.waiting[r])
}

// preemptForUnits returns tasks of lower priority to stop so that the job gets the units
// that it lacks. It chooses those that lose the least work, and returns nil if that can't
// help.
func (pr *Preemptor) preemptForUnits(j *ledger.Job) []*ledger.Placement {
	r, need := pr.l.FirstShortage(j, simultaneousTasks(j))
	if r == nil || need > r.Capacity() {
		return nil
	}
	if p := r.Record.Teams[j.Spec.Team]; p.Most > 0 && p.Most < need+r.Used-r.Capacity()+r.Free(j.Spec.Team, j.Spec.Priority) {
		return nil // the limit of the job's own team is the obstacle
	}
	missing := need - r.Free(j.Spec.Team, j.Spec.Priority)
	var vs []victim
	for holder, n := range r.Holders {
		p, ok := holder.(*ledger.Placement)
		if !ok {
			continue
		}
		if p.Stopping {
			missing -= n
			continue
		}
		if c, ok := lossOf(p, pr.v.Now); ok && pr.mayPreempt(j, p) && p.Job.Spec.Priority < j.Spec.Priority {
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
