package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// patient is when a job that no aim is stated for is due: it is in no hurry, and not
// forgotten.
const patient = 10 * time.Minute

// surely is which part of the room that work has now it is taken to have until it is due:
// more urgent work comes, machines are lost. Too much trust makes many a little late.
const surely = 0.5

// mostDue bounds for how many jobs of a team and priority it is found out which can be
// in time together.
const mostDue = 1000

// due is by when a job should be through, if it runs for as long as is thought, to meet
// the next of its aims that can be met still.
func (a *Aims) due(j *ledger.Job, within bool, now time.Duration) time.Duration {
	best := j.Since + patient
	for i, t := range a.StartBy(j, within) {
		if t >= now && (i == 0 || t < best || best < now) {
			best = t
		}
	}
	return best + time.Duration(j.EstimateS()*float64(time.Second))
}

// ranked is a waiting job on its way into the order.
type ranked struct {
	j     *ledger.Job
	claim Claim
	lost  bool
	work  float64
	// late: not all of its team's jobs can be in time, and this is one of the largest.
	late bool
	due  time.Duration
}

// level is a set of jobs among which nothing but their aims decides.
type level struct {
	claim Claim
	prio  model.Priority
	lost  bool
}

func (r *ranked) level() level { return level{r.claim, r.j.Spec.Priority, r.lost} }

type group struct {
	team string
	prio model.Priority
}

// pickOnTime finds out, for each team and priority, which jobs can all be in time if they
// go in the order in which they are due, with what that work has now: where it is too
// much, the one with the most work left is put behind (Moore and Hodgson). The least
// work first, as before, is right where most must be late anyway; where little is too
// much, it let the larger half wait for all smaller ones that came later, and a quarter
// of the jobs was late for want of a tenth of the room (connect, steady).
func pickOnTime(l *ledger.Ledger, rs []ranked, now time.Duration) {
	has := map[group]float64{}
	for _, j := range l.Order() {
		if j.Placed > 0 && j.Spec.Kind == model.Array {
			has[group{j.Spec.Team, j.Spec.Priority}] += surely * float64(j.Placed) * size(j)
		}
	}
	groups := map[group][]*ranked{}
	var keys []group
	for i := range rs {
		r := &rs[i]
		if r.lost {
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
		g = g[:min(len(g), mostDue)]
		if has[k] <= 0 {
			continue
		}
		var kept largest
		t := 0.0
		for _, r := range g {
			heap.Push(&kept, r)
			t += r.work / has[k]
			for left := (r.due - now).Seconds(); t > left && len(kept) > 0; {
				x := heap.Pop(&kept).(*ranked)
				x.late = true
				t -= x.work / has[k]
			}
		}
	}
}

// size is what a task takes, in the measure of work.
func size(j *ledger.Job) float64 { return max(j.Spec.Need.CPUs, j.Spec.Need.GPUs, 1) }

// largest is a heap of jobs, the one with the most work on top.
type largest []*ranked

func (h largest) Len() int           { return len(h) }
func (h largest) Less(a, b int) bool { return h[a].work > h[b].work }
func (h largest) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *largest) Push(x any)        { *h = append(*h, x.(*ranked)) }
func (h *largest) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
