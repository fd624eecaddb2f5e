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
	objectives := &Objectives{wait: map[string][]float64{}, completion: map[string][]float64{}, deadline: map[string][]float64{}}
	for _, o := range os {
		switch o.Kind {
		case "wait":
			objectives.wait[o.Class] = append(objectives.wait[o.Class], o.WithinS)
		case "finished":
			objectives.completion[o.Class] = append(objectives.completion[o.Class], o.WithinS)
		case "deadline":
			t := o.Times
			if t <= 0 {
				t = 1
			}
			objectives.deadline[o.Class] = append(objectives.deadline[o.Class], t)
		case "guarantee":
			objectives.guarantee = o.WithinS
		}
	}
	return objectives
}

// HasWaitObjective reports whether an objective limits how long jobs of this class wait.
func (o *Objectives) HasWaitObjective(j *ledger.Job) bool { return len(o.wait[j.Spec.Class]) > 0 }

// StartBy returns the times (on the monotonic clock) by which the job's tasks must run to
// meet its objectives, one per objective. The objective for guarantees counts only if the
// job is entitled (Entitled).
func (o *Objectives) StartBy(j *ledger.Job, entitled bool) []time.Duration {
	var out []time.Duration
	add := func(s float64) { out = append(out, j.AcceptedAt+time.Duration(s*float64(time.Second))) }
	c := j.Spec.Class
	for _, w := range o.wait[c] {
		add(w)
	}
	run := j.EstimateS() * estimateSlack
	for _, f := range o.completion[c] {
		add(f - run)
	}
	if j.Spec.DeadlineS > 0 {
		ts := o.deadline[c]
		if len(ts) == 0 {
			ts = []float64{1}
		}
		for _, t := range ts {
			add(j.Spec.DeadlineS*t - run)
		}
	}
	if entitled && o.guarantee > 0 {
		add(o.guarantee)
	}
	return out
}

// guaranteeDeadline returns the time by which the job's tasks must start to meet the
// objective for guarantees. Without such an objective it lies in the far future.
func (o *Objectives) guaranteeDeadline(j *ledger.Job) time.Duration {
	if o.guarantee <= 0 {
		return math.MaxInt64 / 2
	}
	return j.AcceptedAt + time.Duration(o.guarantee*float64(time.Second))
}

// Missed reports whether the job can't meet any of its objectives any more, even if it
// runs for clearly less time than its owner estimated. It is false for a job without
// objectives.
func (o *Objectives) Missed(j *ledger.Job, entitled bool, now time.Duration) bool {
	ts := o.StartBy(j, entitled)
	early := time.Duration(j.EstimateS() * (estimateSlack - 0.7) * float64(time.Second))
	prompt := len(o.wait[j.Spec.Class])
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
