package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// defaultStartDelay is the time within which a job without objectives should start.
const defaultStartDelay = 10 * time.Minute

// capacityFraction is the part of its present capacity that a team's priority level is
// expected to keep until its jobs are due: more urgent jobs arrive and machines are lost.
// With a larger part, many jobs end a little late.
const capacityFraction = 0.5

// maxOnTimeJobs bounds the number of jobs per team and priority that pickOnTime looks at.
const maxOnTimeJobs = 1000

// dueBy returns the time by which the job should end, given its estimated run time, to
// meet the earliest of its objectives that can still be met, or to start within
// defaultStartDelay if it has none. If its first objective is missed, the start within
// defaultStartDelay counts as one.
func (o *Objectives) dueBy(j *ledger.Job, entitled bool, now time.Duration) time.Duration {
	best := j.AcceptedAt + defaultStartDelay
	for i, t := range o.StartBy(j, entitled) {
		if t >= now && (i == 0 || t < best || best < now) {
			best = t
		}
	}
	return best + time.Duration(j.EstimateS()*float64(time.Second))
}

// ranked is a waiting job with the values that Order sorts by.
type ranked struct {
	j      *ledger.Job
	claim  Claim
	missed bool
	work   float64
	// late means that the team's jobs can't all be on time and that this job was among
	// those with the most work.
	late bool
	due  time.Duration
}

// rankClass identifies waiting jobs with the same claim and priority that either all have
// missed their objectives or all have not. Only due times and work decide their order.
type rankClass struct {
	claim  Claim
	prio   model.Priority
	missed bool
}

func (r *ranked) rankClass() rankClass { return rankClass{r.claim, r.j.Spec.Priority, r.missed} }

// group identifies the jobs of a team with the same priority.
type group struct {
	team string
	prio model.Priority
}

// pickOnTime finds, for each team and priority, the largest set of jobs that can all be on
// time if they run in order of their due times on the capacity that this team and priority
// has now. Where a job would be late, the one with the most work so far is marked as late
// (the algorithm of Moore and Hodgson). Running the least work first is right where most
// jobs must be late. Where the overload is small, it made the larger half of the jobs wait
// for all smaller ones that came later: a tenth too little capacity made a quarter of the
// jobs late.
func pickOnTime(l *ledger.Ledger, rs []ranked, now time.Duration) {
	capacity := map[group]float64{}
	for _, j := range l.Order() {
		if j.Placed > 0 && j.Spec.Kind == model.Array {
			capacity[group{j.Spec.Team, j.Spec.Priority}] += capacityFraction * float64(j.Placed) * taskSize(j)
		}
	}
	groups := map[group][]*ranked{}
	var keys []group
	for i := range rs {
		r := &rs[i]
		if r.missed {
			continue
		}
		k := group{r.j.Spec.Team, r.j.Spec.Priority}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], r)
	}
	for _, k := range keys {
		g := groups[k]
		slices.SortStableFunc(g, func(x, y *ranked) int { return cmp.Or(cmp.Compare(x.due, y.due), cmp.Compare(x.work, y.work)) })
		g = g[:min(len(g), maxOnTimeJobs)]
		if capacity[k] <= 0 {
			continue
		}
		var kept workHeap
		busy := 0.0
		for _, r := range g {
			heap.Push(&kept, r)
			busy += r.work / capacity[k]
			for left := (r.due - now).Seconds(); busy > left && len(kept) > 0; {
				x := heap.Pop(&kept).(*ranked)
				x.late = true
				busy -= x.work / capacity[k]
			}
		}
	}
}

// taskSize returns the CPUs or GPUs of a task, at least 1, as a factor of its work.
func taskSize(j *ledger.Job) float64 { return max(j.Spec.Resources.CPUs, j.Spec.Resources.GPUs, 1) }

// workHeap is a heap with the job that has the most work on top.
type workHeap []*ranked

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(a, b int) bool { return h[a].work > h[b].work }
func (h workHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(*ranked)) }
func (h *workHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
