package estimates

import (
	"math"
	"time"
)

const (
	// A job needs this many earlier runs before another run is compared with them.
	minRuns = 4
	// The time of a run shorter than this depends more on the delay of reports than on the
	// machine.
	minRunTime = 3 * time.Second
	// A new run counts as if there were at most this many runs, so that newer runs weigh
	// more.
	maxMeanWeight = 16
	// A machine starts as if it had had this many runs of usual length.
	priorRuns = 4
	// The natural logarithm of the ratio of a run is limited to this, up and down.
	maxLogRatio = 1.4
	// A machine is too slow if its tasks take this many times as long as those of the same
	// jobs elsewhere. Machines of one type differ by a tenth.
	tooSlowFactor  = 1.4
	minRunsTooSlow = 6 // runs before a machine can count as too slow
)

// Runs holds the statistics of how long the tasks of a job run.
type Runs struct {
	n   int
	sum float64
}

// Add records a run. It returns the natural logarithm of the ratio of its time to the
// geometric mean of the job's earlier runs; ok is false if there are too few of them or
// the run was too short.
func (r *Runs) Add(took time.Duration) (ratio float64, ok bool) {
	if took < minRunTime {
		return 0, false
	}
	x := math.Log(took.Seconds())
	ratio, ok = x-r.sum/float64(max(1, r.n)), r.n >= minRuns
	r.n++
	r.sum += x
	return ratio, ok
}

// Pace estimates how fast a machine runs tasks, compared with other machines that run
// tasks of the same jobs.
type Pace struct {
	n    int
	mean float64
}

// RecordRun records a run on the machine, with the ratio that Runs.Add returned.
func (p *Pace) RecordRun(ratio float64) {
	p.n++
	p.mean += (min(max(ratio, -maxLogRatio), maxLogRatio) - p.mean) / float64(min(p.n, maxMeanWeight))
}

// Factor returns the estimated ratio of the run times on the machine to those elsewhere.
func (p *Pace) Factor() float64 {
	return math.Exp(p.mean * float64(p.n) / float64(p.n+priorRuns))
}

// TooSlow reports whether the machine has had enough runs and is much slower than others.
func (p *Pace) TooSlow() bool { return p.n >= minRunsTooSlow && p.Factor() > tooSlowFactor }
