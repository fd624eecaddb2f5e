package placement

import (
	"math"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/settings"
)

// Objectives derives the times by which the tasks of a job should start from the
// operators' objectives for its class, its deadline and its estimated run time.
type Objectives struct {
	wait       map[string][]float64
	completion map[string][]float64
	deadline   map[string][]float64
	// guarantee is the number of seconds within which jobs covered by a team's guarantee
	// should start; 0 means that there is no such objective.
	guarantee float64
}

// estimateSlack multiplies the estimated run time of a job that must end by a certain
// time: the estimates of owners are often wrong by half.
const estimateSlack = 1.5

// NewObjectives groups the configured objectives by kind and class.
func NewObjectives(os []settings.Objective) *Objectives {
	a := &Objectives{wait: map[string][]float64{}, completion: map[string][]float64{}, deadline: map[string][]float64{}}
	for _, o := range os {
		switch o.Kind {
		case "wait":
			a.wait[o.Class] = append(a.wait[o.Class], o.WithinS)
		case "finished":
			a.completion[o.Class] = append(a.completion[o.Class], o.WithinS)
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

// HasWaitObjective reports whether an objective limits how long jobs of this class wait.
func (a *Objectives) HasWaitObjective(j *ledger.Job) bool { return len(a.wait[j.Spec.Class]) > 0 }

// StartBy returns the times (on the steady clock) by which the job's tasks must run to
// meet its objectives, one per objective. within says whether the guarantee covers the
// job.
func (a *Objectives) StartBy(j *ledger.Job, within bool) []time.Duration {
	var out []time.Duration
	add := func(s float64) { out = append(out, j.AcceptedAt+time.Duration(s*float64(time.Second))) }
	c := j.Spec.Class
	for _, w := range a.wait[c] {
		add(w)
	}
	run := j.EstimateS() * estimateSlack
	for _, f := range a.completion[c] {
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

// guaranteeDeadline returns the time by which the job's tasks must start to meet the
// objective for guarantees. Without such an objective it lies in the far future.
func (a *Objectives) guaranteeDeadline(j *ledger.Job) time.Duration {
	if a.guarantee <= 0 {
		return math.MaxInt64 / 2
	}
	return j.AcceptedAt + time.Duration(a.guarantee*float64(time.Second))
}

// Missed reports whether the job can't meet any of its objectives any more, even if it
// runs for clearly less time than its owner estimated. It is false for a job without
// objectives.
func (a *Objectives) Missed(j *ledger.Job, within bool, now time.Duration) bool {
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
