package estimates

import (
	"math"
	"time"
)

const (
	// With fewer runs of a job there is nothing to compare a run with.
	fewestRuns = 4
	// A run shorter than this says more about reports than about the machine.
	shortestRun = 3 * time.Second
	// Newer runs count more once there were so many.
	paceRuns = 16
	// So many runs' worth of doubt: a machine counts as usual to begin with.
	paceDoubt = 4
	// One run counts as at most so much slower or faster (natural logarithm).
	mostPace = 1.4
	// A machine is too slow when its tasks take this much longer than the same
	// jobs' elsewhere. Machines of a type differ by a tenth.
	tooSlow  = 1.4
	surePace = 6 // runs
)

// Runs is what is known of how long a job's tasks take on average.
type Runs struct {
	n   int
	sum float64
}

// Add notes a run. It returns by how much it took longer than the job's earlier
// ones, as a natural logarithm; ok false if that can't be said.
func (r *Runs) Add(took time.Duration) (ratio float64, ok bool) {
	if took < shortestRun {
		return 0, false
	}
	x := math.Log(took.Seconds())
	ratio, ok = x-r.sum/float64(max(1, r.n)), r.n >= fewestRuns
	r.n++
	r.sum += x
	return ratio, ok
}

// Pace is how fast a machine runs tasks, against others with tasks of the same
// jobs.
type Pace struct {
	n    int
	mean float64
}

// Ran notes a run on the machine, with what Runs.Add said of it.
func (p *Pace) Ran(ratio float64) {
	p.n++
	p.mean += (min(max(ratio, -mostPace), mostPace) - p.mean) / float64(min(p.n, paceRuns))
}

// Factor is how many times as long a task probably takes on the machine.
func (p *Pace) Factor() float64 {
	return math.Exp(p.mean * float64(p.n) / float64(p.n+paceDoubt))
}

// TooSlow reports whether the machine is surely much slower than others.
func (p *Pace) TooSlow() bool { return p.n >= surePace && p.Factor() > tooSlow }
