package ledger

import (
	"time"

	"brooklb/internal/estimates"
	"brooklb/internal/model"
)

// Task of a job.
type Task struct {
	Done      bool
	Attempt   uint64
	P         *Placement
	NotBefore time.Duration
	Errors    int
	avoid     *Machine // machine the task failed on, or was lost with, last
	avoidEnds time.Duration
	Want      *Machine // machine it is being moved to
	WantUntil time.Duration
	Off       bool // not wanted now, by a roll-out
	Ousted    int  // how often it was stopped for others, in a row, before it ran
}

// Avoid keeps the task off a machine until the given time. Not for ever: when
// the machines of all tasks of a gang were avoided and there were no others, it
// never started, since room seemed to be there and none was rented.
func (t *Task) Avoid(m *Machine, until time.Duration) { t.avoid, t.avoidEnds = m, until }

// Avoids is the machine that the task is kept off now, if any.
func (t *Task) Avoids(now time.Duration) *Machine {
	if now >= t.avoidEnds {
		return nil
	}
	return t.avoid
}

// shortAvoid is how long the replacement of a gang's task keeps off the machine
// that lost it, whose worker may know the attempt still.
const shortAvoid = 30 * time.Second

// chunk is the durable form of some tasks.
type chunk struct {
	stamp    uint64
	dirty    bool
	inFlight bool
	since    time.Duration
	urgent   bool // somebody waits for it: a placement that isn't durable
}

// Job is a job that is not over, or whose tasks are not all gone.
type Job struct {
	Spec    *model.Spec
	Stamp   uint64
	At      int64
	Since   time.Duration // acceptance on our steady clock
	Rec     *JobRecord
	Final   string
	Tasks   []Task
	chunks  []chunk
	NDone   int
	Placed  int
	Begun   int  // tasks that were given a machine at least once
	Broken  bool // a gang that lost a task and waits for the others to go
	Why     string
	Waits   string // why the job currently can't be placed
	Started bool   // gang: seen running in this attempt
	// Short is since when a gang that has not begun lacks a task of its attempt.
	Short   time.Duration
	per     int  // tasks in a chunk
	ending  bool // in the queue of jobs whose end is to be written
	closing bool // the final record is being written
	broken  bool // a record of it can't be read: it is left alone
	faults  faults
	class   *estimates.Class
	runs    estimates.Runs
	asks    []ask // of counted resources
	off     int   // tasks that are off, not done and not placed
	// Service is the name of the service that the job is a version of, "" for
	// none. Which of its tasks are wanted the service's record says; until that was
	// read none is started or stopped.
	Service string
	// Zone is the only zone in which tasks may be placed now; "": any.
	Zone string
	// Rolling: a roll-out counts its running tasks, nothing else may move them.
	Rolling bool
	// Port is what the job's tasks listen on, as far as a roll-out says, 0: nothing;
	// PerTask: task k on Port+k.
	Port    int
	PerTask bool
}

// Idle is how many tasks want a machine and have none.
func (j *Job) Idle() int { return len(j.Tasks) - j.NDone - j.Placed - j.off }

// Size is how many tasks want a machine or have one.
func (j *Job) Size() int { return j.Idle() + j.Placed }

// SetWanted says which of a service's tasks are wanted. The others are not
// started any more; those that run are the caller's to stop.
func (l *Ledger) SetWanted(j *Job, wanted func(task int) bool) {
	j.off = 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Off = !wanted(i)
		if t.Off && t.P == nil && !t.Done {
			j.off++
		}
	}
	if l.OnChange != nil {
		l.OnChange()
	}
}

// EstimateS is how many seconds a task of the job is thought to run: its owner's
// estimate, corrected by what was seen of the class.
func (j *Job) EstimateS() float64 { return j.Spec.EstimateS * j.class.Factor() }

// Readable reports whether all of the job's record could be read.
func (j *Job) Readable() bool { return !j.broken }
