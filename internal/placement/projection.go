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

// ProjectedMachine is a machine in the projection. It is in use or expected to boot.
type ProjectedMachine struct {
	M    *ledger.Machine // nil while the machine has not booted
	Type string
	Zone string
	Spot bool
	Cap  model.Resources
	free model.Resources
	at   time.Duration // time from which the free capacity can be used
	ends []projectedEnd
}

type projectedEnd struct {
	at   time.Duration
	need model.Resources
	prio model.Priority
	// retaken means that future jobs of this priority will take the capacity again when it
	// becomes free.
	retaken bool
	// queued means that the task's team has more waiting tasks than its limit lets it
	// start, and that these will take the capacity.
	queued bool
}

// counts reports whether the capacity freed by this end is available to jobs of the
// priority.
func (e *projectedEnd) counts(prio model.Priority) bool {
	return (!e.retaken || e.prio <= prio) && (!e.queued || e.prio < prio)
}

// Retaken is, for each priority, the fraction of the capacity freed by its tasks that
// future jobs of the same priority take again.
type Retaken [model.Production + 1]float64

// Projection estimates when waiting jobs will start if no more machines are rented.
type Projection struct {
	now      time.Duration
	types    map[string]*model.MachineType
	Machines []*ProjectedMachine
	// retaken is the fraction of the ends of each priority, evenly spread, to mark as retaken.
	retaken     Retaken
	retakenDebt Retaken
	queuedTeams map[string]bool // teams with more waiting tasks than their limit lets them start
}

// nextIsRetaken reports whether to mark the next end of the priority as retaken.
func (pr *Projection) nextIsRetaken(prio model.Priority) bool {
	pr.retakenDebt[prio] += pr.retaken[prio]
	if pr.retakenDebt[prio] < 1 {
		return false
	}
	pr.retakenDebt[prio]--
	return true
}

// remainingRun estimates how long a placed task still takes.
func remainingRun(p *ledger.Placement, now time.Duration, fetch float64) time.Duration {
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
	// A task near or past its estimate is expected to run on for a quarter of its time so far.
	return max(est-ran, ran/4, time.Second)
}

// NewProjection starts from the present state of the machines. Of the capacity that
// becomes free, waiting jobs of lower priority get what retaken leaves. Without that, on a
// cluster full of short tasks, all waiting jobs seemed to start within seconds, no machine
// was rented for them, and new jobs of higher priority were repeatedly placed first.
//
// Capacity that a team in queued frees is reserved for those of its tasks that its limit
// keeps waiting. The projection has only tasks that the team may start now, which must not
// wait for the same ends. Without that, a team stayed at half of its limit for minutes with
// thousands of tasks waiting.
func NewProjection(l *ledger.Ledger, v *View, retaken Retaken, queued map[string]bool) *Projection {
	pr := &Projection{now: v.Now, types: l.Types, retaken: retaken, queuedTeams: queued}
	n := 0
	for _, m := range v.Machines {
		n += len(m.Placements)
	}
	machines := make([]ProjectedMachine, len(v.Machines))
	ends := make([]projectedEnd, 0, n)
	pr.Machines = make([]*ProjectedMachine, 0, len(v.Machines)+16)
	for i, m := range v.Machines {
		s := &machines[i]
		*s = ProjectedMachine{M: m, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Cap: m.Cap, free: m.Free(), at: v.Now}
		t := l.Types[m.Type]
		k := len(ends)
		for _, p := range m.Placements {
			fetch := 0.0
			if t != nil && t.FetchGBs > 0 {
				fetch = p.Job.Spec.ImageGB / t.FetchGBs
			}
			prio := p.Job.Spec.Priority
			ends = append(ends, projectedEnd{v.Now + remainingRun(p, v.Now, fetch), p.Job.Spec.Resources, prio, pr.nextIsRetaken(prio), queued[p.Job.Spec.Team]})
		}
		s.ends = ends[k:len(ends):len(ends)]
		slices.SortFunc(s.ends, func(a, b projectedEnd) int { return cmp.Compare(a.at, b.at) })
		pr.Machines = append(pr.Machines, s)
	}
	return pr
}

// Add adds a machine that will be up at the given time.
func (pr *Projection) Add(s *ProjectedMachine, at time.Duration) *ProjectedMachine {
	s.at, s.free = max(at, pr.now), s.Cap
	pr.Machines = append(pr.Machines, s)
	return s
}

func (s *ProjectedMachine) allows(j *ledger.Job) bool {
	sp := j.Spec
	return sp.AllowsType(s.Type) && (sp.Zone == "" || sp.Zone == s.Zone) && (j.Zone == "" || j.Zone == s.Zone) && (sp.Spot || !s.Spot) && (s.M == nil || j.AnyPortFree(s.M))
}

// earliest returns when the need first fits on the machine.
func (s *ProjectedMachine) earliest(n model.Resources, prio model.Priority) (time.Duration, bool) {
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

// book occupies capacity of the machine from the given time on, for as long as the job
// runs. retaken and queued mark the end of the run.
func (s *ProjectedMachine) book(at time.Duration, j *ledger.Job, retaken, queued bool) {
	n, prio := j.Spec.Resources, j.Spec.Priority
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
	e := projectedEnd{at + expectedRun(j), n, prio, retaken, queued}
	i := sort.Search(len(s.ends), func(i int) bool { return s.ends[i].at > e.at })
	s.ends = append(s.ends, projectedEnd{})
	copy(s.ends[i+1:], s.ends[i:])
	s.ends[i] = e
}

func (pr *Projection) fetchTime(j *ledger.Job, s *ProjectedMachine) time.Duration {
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

// MachineQueue is a heap of the machines that a job may use, with the one where a task
// would run first on top.
type MachineQueue struct {
	pr *Projection
	j  *ledger.Job
	h  []runnableAt
}

type runnableAt struct {
	machine *ProjectedMachine
	at      time.Duration // when the task would run
}

// MachineQueue returns the machines on which single tasks of the job could run.
func (pr *Projection) MachineQueue(j *ledger.Job) *MachineQueue {
	q := &MachineQueue{pr: pr, j: j, h: make([]runnableAt, 0, len(pr.Machines))}
	for _, s := range pr.Machines {
		q.tryAppend(s)
	}
	heap.Init(q)
	return q
}

func (q *MachineQueue) tryAppend(s *ProjectedMachine) bool {
	if !s.allows(q.j) {
		return false
	}
	t, ok := s.earliest(q.j.Spec.Resources, q.j.Spec.Priority)
	if ok {
		q.h = append(q.h, runnableAt{s, t + q.pr.fetchTime(q.j, s)})
	}
	return ok
}

// Len is part of heap.Interface, as are Less, Swap, Push and Pop.
func (q *MachineQueue) Len() int           { return len(q.h) }
func (q *MachineQueue) Less(a, b int) bool { return q.h[a].at < q.h[b].at }
func (q *MachineQueue) Swap(a, b int)      { q.h[a], q.h[b] = q.h[b], q.h[a] }

// Push does nothing, because tryAppend has already appended the machine.
func (q *MachineQueue) Push(any) {}

// Pop removes the last machine.
func (q *MachineQueue) Pop() any {
	x := q.h[len(q.h)-1]
	q.h = q.h[:len(q.h)-1]
	return x
}

// Add adds a machine that was not in the queue before.
func (q *MachineQueue) Add(s *ProjectedMachine) {
	if q.tryAppend(s) {
		heap.Push(q, nil)
	}
}

// First returns when the next task would run; ok is false if it never would.
func (q *MachineQueue) First() (at time.Duration, ok bool) {
	if len(q.h) == 0 {
		return 0, false
	}
	return q.h[0].at, true
}

// Book books a task on the first machine and returns the machine.
func (q *MachineQueue) Book() *ProjectedMachine {
	r := q.h[0]
	r.machine.book(r.at, q.j, q.pr.nextIsRetaken(q.j.Spec.Priority), q.pr.queuedTeams[q.j.Spec.Team])
	// Tasks that share one port can not run on the same machine.
	if t, ok := r.machine.earliest(q.j.Spec.Resources, q.j.Spec.Priority); ok && (q.j.Port == 0 || q.j.PerTask) {
		q.h[0].at = t + q.pr.fetchTime(q.j, r.machine)
		heap.Fix(q, 0)
	} else {
		heap.Pop(q)
	}
	return r.machine
}

func expectedRun(j *ledger.Job) time.Duration {
	if j.Spec.Kind == model.Service {
		return time.Hour
	}
	return time.Duration(j.EstimateS() * float64(time.Second))
}

// FindGang returns when and where n tasks of a gang would run at the same time; ok is
// false if they never would. If zone is "", any zone may be used.
func (pr *Projection) FindGang(j *ledger.Job, n int, zone string) (at time.Duration, where []*ProjectedMachine, ok bool) {
	var cs []runnableAt
	for _, s := range pr.Machines {
		if !s.allows(j) || (zone != "" && s.Zone != zone) {
			continue
		}
		if t, ok := s.earliest(j.Spec.Resources, j.Spec.Priority); ok {
			cs = append(cs, runnableAt{s, t + pr.fetchTime(j, s)})
		}
	}
	slices.SortStableFunc(cs, func(a, b runnableAt) int { return cmp.Compare(a.at, b.at) })
	byZone := map[string][]*ProjectedMachine{}
	for _, c := range cs {
		z := ""
		if j.Spec.OneZone {
			z = c.machine.Zone
		}
		// Count one task per machine, since tasks of gangs mostly fill their machines.
		byZone[z] = append(byZone[z], c.machine)
		if len(byZone[z]) == n {
			return c.at, byZone[z], true
		}
	}
	return 0, nil, false
}

// CountReadyByZone counts, by zone, the machines on which a task of the job would run by
// the given time.
func (pr *Projection) CountReadyByZone(j *ledger.Job, by time.Duration) map[string]int {
	out := map[string]int{}
	for _, s := range pr.Machines {
		if !s.allows(j) {
			continue
		}
		if t, ok := s.earliest(j.Spec.Resources, j.Spec.Priority); ok && t+pr.fetchTime(j, s) <= by {
			out[s.Zone]++
		}
	}
	return out
}

// BookGang books the machines that FindGang returned.
func (pr *Projection) BookGang(j *ledger.Job, at time.Duration, where []*ProjectedMachine) {
	for _, s := range where {
		s.book(at, j, pr.nextIsRetaken(j.Spec.Priority), pr.queuedTeams[j.Spec.Team])
	}
}
