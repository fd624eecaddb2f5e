package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Slot is a machine, rented or on its way, as the projection sees it.
type Slot struct {
	M    *ledger.Machine // nil: on its way
	Type string
	Zone string
	Spot bool
	Cap  model.Need
	free model.Need
	at   time.Duration // up from then on
	ends []end
}

type end struct {
	at   time.Duration
	need model.Need
	prio model.Priority
	// held: what falls free then is taken again by work of that priority that is yet
	// to come.
	held bool
	// queued: its team has more waiting than its limit lets it start, which takes it.
	queued bool
}

// counts reports whether what falls free is there for work of the given priority.
func (e *end) counts(prio model.Priority) bool {
	return (!e.held || e.prio <= prio) && (!e.queued || e.prio < prio)
}

// Retaken says which part of what tasks of each priority leave is taken again by
// work of theirs that is yet to come.
type Retaken [model.Production + 1]float64

// Projection estimates when waiting work will start if nothing is rented.
type Projection struct {
	now   time.Duration
	types map[string]*model.MachineType
	Slots []*Slot
	// Of the ends of each priority, evenly spread, a part is held.
	retaken Retaken
	due     Retaken
	queued  map[string]bool // teams
}

// held says whether the next end of the priority is one that is taken again.
func (pr *Projection) held(prio model.Priority) bool {
	pr.due[prio] += pr.retaken[prio]
	if pr.due[prio] < 1 {
		return false
	}
	pr.due[prio]--
	return true
}

// remaining estimates how long a placed task still takes.
func remaining(p *ledger.Placement, now time.Duration, fetch float64) time.Duration {
	s := p.Job.Spec
	if p.Stopping {
		return time.Duration((s.SaveS + 1) * float64(time.Second))
	}
	if s.Kind == model.Service {
		return time.Hour
	}
	est := time.Duration(p.Job.EstimateS() * float64(time.Second))
	if p.Phase != model.Running {
		return est + time.Duration(fetch*float64(time.Second)/2)
	}
	ran := now - p.RunSince
	// One that runs for longer than its owner thought will take longer still.
	return max(est-ran, ran/4, time.Second)
}

// NewProjection takes a snapshot of the machines in use. Of what falls free the work
// of lower priority that waits gets what retaken leaves: with a fleet full of short
// tasks, all that waited seemed to start within seconds, no machine was rented for it,
// and what came meanwhile went first again and again (connect, steady).
//
// What a team with more work than its limit lets it start leaves is queued for: only
// what it may start now is projected, and that must not wait for ends which the rest of
// its work waits for as well. A team stayed at half of its limit for minutes with
// thousands of tasks waiting (connect, steady).
func NewProjection(l *ledger.Ledger, v *View, retaken Retaken, queued map[string]bool) *Projection {
	pr := &Projection{now: v.Now, types: l.Types, retaken: retaken, queued: queued}
	n := 0
	for _, m := range v.Machines {
		n += len(m.P)
	}
	slots := make([]Slot, len(v.Machines))
	ends := make([]end, 0, n)
	pr.Slots = make([]*Slot, 0, len(v.Machines)+16)
	for i, m := range v.Machines {
		s := &slots[i]
		*s = Slot{M: m, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Cap: m.Cap, free: m.Free(), at: v.Now}
		t := l.Types[m.Type]
		k := len(ends)
		for _, p := range m.P {
			fetch := 0.0
			if t != nil && t.FetchGBs > 0 {
				fetch = p.Job.Spec.ImageGB / t.FetchGBs
			}
			prio := p.Job.Spec.Priority
			ends = append(ends, end{v.Now + remaining(p, v.Now, fetch), p.Job.Spec.Need, prio, pr.held(prio), queued[p.Job.Spec.Team]})
		}
		s.ends = ends[k:len(ends):len(ends)]
		slices.SortFunc(s.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
		pr.Slots = append(pr.Slots, s)
	}
	return pr
}

// Add puts in a machine that will be up at a time.
func (pr *Projection) Add(s *Slot, at time.Duration) *Slot {
	s.at, s.free = max(at, pr.now), s.Cap
	pr.Slots = append(pr.Slots, s)
	return s
}

func (s *Slot) allows(j *ledger.Job) bool {
	sp := j.Spec
	return sp.AllowsType(s.Type) && (sp.Zone == "" || sp.Zone == s.Zone) && (j.Zone == "" || j.Zone == s.Zone) && (sp.Spot || !s.Spot) && (s.M == nil || j.MayListen(s.M))
}

// earliest is when the need fits on the slot.
func (s *Slot) earliest(n model.Need, prio model.Priority) (time.Duration, bool) {
	if n.Fits(s.free) {
		return s.at, true
	}
	free := s.free
	for i := range s.ends {
		e := &s.ends[i]
		if !e.counts(prio) {
			continue
		}
		free = free.Add(e.need)
		if n.Fits(free) {
			return max(e.at, s.at), true
		}
	}
	return 0, false
}

// take occupies the slot from a time on, for as long as the job runs. held and queued
// say who takes what it leaves.
func (s *Slot) take(at time.Duration, j *ledger.Job, held, queued bool) {
	n, prio := j.Spec.Need, j.Spec.Priority
	k := 0
	for i := range s.ends {
		if e := s.ends[i]; !n.Fits(s.free) && e.counts(prio) {
			s.free = s.free.Add(e.need)
		} else {
			s.ends[k] = e
			k++
		}
	}
	s.ends = s.ends[:k]
	s.free = s.free.Sub(n)
	s.at = max(s.at, at)
	e := end{at + runs(j), n, prio, held, queued}
	i := sort.Search(len(s.ends), func(i int) bool { return s.ends[i].at > e.at })
	s.ends = append(s.ends, end{})
	copy(s.ends[i+1:], s.ends[i:])
	s.ends[i] = e
}

func (pr *Projection) fetch(j *ledger.Job, s *Slot) time.Duration {
	if s.M != nil {
		if _, ok := s.M.Images[j.Spec.Image]; ok {
			return 0
		}
	}
	if t := pr.types[s.Type]; t != nil && t.FetchGBs > 0 {
		return time.Duration(j.Spec.ImageGB / t.FetchGBs * float64(time.Second))
	}
	return 0
}

// Queue has the slots a job may use, the one where a task would run first on
// top.
type Queue struct {
	pr *Projection
	j  *ledger.Job
	h  []ready
}

type ready struct {
	s  *Slot
	at time.Duration // the task would run then
}

// Queue lists where single tasks of the job could run.
func (pr *Projection) Queue(j *ledger.Job) *Queue {
	q := &Queue{pr: pr, j: j, h: make([]ready, 0, len(pr.Slots))}
	for _, s := range pr.Slots {
		q.put(s)
	}
	heap.Init(q)
	return q
}

func (q *Queue) put(s *Slot) bool {
	if !s.allows(q.j) {
		return false
	}
	t, ok := s.earliest(q.j.Spec.Need, q.j.Spec.Priority)
	if ok {
		q.h = append(q.h, ready{s, t + q.pr.fetch(q.j, s)})
	}
	return ok
}

// Len and the next four methods are heap's.
func (q *Queue) Len() int           { return len(q.h) }
func (q *Queue) Less(a, b int) bool { return q.h[a].at < q.h[b].at }
func (q *Queue) Swap(a, b int)      { q.h[a], q.h[b] = q.h[b], q.h[a] }

// Push does nothing: put has appended already.
func (q *Queue) Push(any) {}

// Pop takes the last one off.
func (q *Queue) Pop() any {
	x := q.h[len(q.h)-1]
	q.h = q.h[:len(q.h)-1]
	return x
}

// Add puts in a slot that was not there before.
func (q *Queue) Add(s *Slot) {
	if q.put(s) {
		heap.Push(q, nil)
	}
}

// First says when the next task would run; ok is false if it never would.
func (q *Queue) First() (at time.Duration, ok bool) {
	if len(q.h) == 0 {
		return 0, false
	}
	return q.h[0].at, true
}

// Take books a task on the first slot and returns it.
func (q *Queue) Take() *Slot {
	r := q.h[0]
	r.s.take(r.at, q.j, q.pr.held(q.j.Spec.Priority), q.pr.queued[q.j.Spec.Team])
	// Of tasks with one port only one fits.
	if t, ok := r.s.earliest(q.j.Spec.Need, q.j.Spec.Priority); ok && (q.j.Port == 0 || q.j.PerTask) {
		q.h[0].at = t + q.pr.fetch(q.j, r.s)
		heap.Fix(q, 0)
	} else {
		heap.Pop(q)
	}
	return r.s
}

func runs(j *ledger.Job) time.Duration {
	if j.Spec.Kind == model.Service {
		return time.Hour
	}
	return time.Duration(j.EstimateS() * float64(time.Second))
}

// Find says when n tasks of a gang would run at once, and where; ok is false if
// they never would. Zone "" leaves the zone open.
func (pr *Projection) Find(j *ledger.Job, n int, zone string) (at time.Duration, where []*Slot, ok bool) {
	var cs []ready
	for _, s := range pr.Slots {
		if !s.allows(j) || (zone != "" && s.Zone != zone) {
			continue
		}
		if t, ok := s.earliest(j.Spec.Need, j.Spec.Priority); ok {
			cs = append(cs, ready{s, t + pr.fetch(j, s)})
		}
	}
	slices.SortStableFunc(cs, func(a, b ready) int { return cmp.Compare(a.at, b.at) })
	byZone := map[string][]*Slot{}
	for _, c := range cs {
		z := ""
		if j.Spec.OneZone {
			z = c.s.Zone
		}
		// How many fit at once is left out: gangs mostly fill their machines.
		byZone[z] = append(byZone[z], c.s)
		if len(byZone[z]) == n {
			return c.at, byZone[z], true
		}
	}
	return 0, nil, false
}

// Ready counts, by zone, the slots on which a task of the job would run by the
// given time.
func (pr *Projection) Ready(j *ledger.Job, by time.Duration) map[string]int {
	out := map[string]int{}
	for _, s := range pr.Slots {
		if !s.allows(j) {
			continue
		}
		if t, ok := s.earliest(j.Spec.Need, j.Spec.Priority); ok && t+pr.fetch(j, s) <= by {
			out[s.Zone]++
		}
	}
	return out
}

// Take books what Find found.
func (pr *Projection) Take(j *ledger.Job, at time.Duration, where []*Slot) {
	for _, s := range where {
		s.take(at, j, pr.held(j.Spec.Priority), pr.queued[j.Spec.Team])
	}
}
