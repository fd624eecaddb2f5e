package placement

import (
	"math"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/settings"
)

// Aims knows by when a job's tasks should start, from the operators'
// objectives for its class, its deadline and its owner's estimate.
type Aims struct {
	wait     map[string][]float64
	finished map[string][]float64
	deadline map[string][]float64
	// guarantee is within how many seconds work inside a team's guarantee
	// should start; 0: not stated.
	guarantee float64
}

// Estimates are often wrong by half: a job is taken to run this much longer
// than its owner thinks when it must be over by a certain time.
const estimateSlack = 1.5

// NewAims reads the objectives.
func NewAims(os []settings.Objective) *Aims {
	a := &Aims{wait: map[string][]float64{}, finished: map[string][]float64{}, deadline: map[string][]float64{}}
	for _, o := range os {
		switch o.Kind {
		case "wait":
			a.wait[o.Class] = append(a.wait[o.Class], o.WithinS)
		case "finished":
			a.finished[o.Class] = append(a.finished[o.Class], o.WithinS)
		case "deadline":
			t := o.Times
			if t <= 0 {
				t = 1
			}
			a.deadline[o.Class] = append(a.deadline[o.Class], t)
		case "guarantee":
			a.guarantee = o.WithinS
		}
	}
	return a
}

// Prompt reports whether the class is to start within a stated time.
func (a *Aims) Prompt(j *ledger.Job) bool { return len(a.wait[j.Spec.Class]) > 0 }

// StartBy lists the times (on the steady clock) by which the job's tasks have
// to run for the aims to be met.
func (a *Aims) StartBy(j *ledger.Job, within bool) []time.Duration {
	var out []time.Duration
	add := func(s float64) { out = append(out, j.Since+time.Duration(s*float64(time.Second))) }
	c := j.Spec.Class
	for _, w := range a.wait[c] {
		add(w)
	}
	run := j.EstimateS() * estimateSlack
	for _, f := range a.finished[c] {
		add(f - run)
	}
	if j.Spec.DeadlineS > 0 {
		ts := a.deadline[c]
		if len(ts) == 0 {
			ts = []float64{1}
		}
		for _, t := range ts {
			add(j.Spec.DeadlineS*t - run)
		}
	}
	if within && a.guarantee > 0 {
		add(a.guarantee)
	}
	return out
}

// guaranteed is until when the job's tasks may begin to run and still meet the
// aim for work within a guarantee; without such an aim, always.
func (a *Aims) guaranteed(j *ledger.Job) time.Duration {
	if a.guarantee <= 0 {
		return math.MaxInt64 / 2
	}
	return j.Since + time.Duration(a.guarantee*float64(time.Second))
}

// Lost reports whether no aim of the job can be met any more, even if it runs
// for clearly less than its owner thinks. A job without aims is never lost.
func (a *Aims) Lost(j *ledger.Job, within bool, now time.Duration) bool {
	ts := a.StartBy(j, within)
	early := time.Duration(j.EstimateS() * (estimateSlack - 0.7) * float64(time.Second))
	prompt := len(a.wait[j.Spec.Class])
	for i, t := range ts {
		if i >= prompt {
			t += early
		}
		if t >= now {
			return false
		}
	}
	return len(ts) > 0
}
