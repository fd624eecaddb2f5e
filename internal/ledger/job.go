package ledger

import (
	"time"

	"brooklb/internal/estimates"
	"brooklb/internal/model"
)

// Task is one task of a job.
type Task struct {
	Done             bool
	Attempt          uint64
	CurrentPlacement *Placement
	NotBefore        time.Duration
	Errors           int
	avoid            *Machine // machine on which the task last failed or was lost
	avoidEnds        time.Duration
	MoveTarget       *Machine // machine that the task is being moved to
	MoveDeadline     time.Duration
	Unwanted         bool // a roll-out does not want the task to run now
	Preemptions      int  // how often in a row it was preempted before it ran
}

// Avoid keeps the task off a machine until the given time. The time is limited because a gang
// whose tasks avoided all machines never started: the machines seemed to have room, so none
// was rented.
func (t *Task) Avoid(m *Machine, until time.Duration) { t.avoid, t.avoidEnds = m, until }

// Avoids returns the machine that the task must not use now, or nil.
func (t *Task) Avoids(now time.Duration) *Machine {
	if now >= t.avoidEnds {
		return nil
	}
	return t.avoid
}

// replacementAvoidTime is how long the replacement of a gang's task avoids the machine that
// lost it. The worker there may still know the attempt.
const replacementAvoidTime = 30 * time.Second

// chunk tracks the stored record of a range of a job's tasks.
type chunk struct {
	revision   uint64
	dirty      bool
	inFlight   bool
	dirtySince time.Duration
	urgent     bool // it holds a placement that waits to become durable
}

// Job is a job that is not over, or that still has placements or stored chunks.
type Job struct {
	Spec           *model.Spec
	Revision       uint64
	AcceptedUnixMS int64
	AcceptedAt     time.Duration // on this node's monotonic clock
	Record         *JobRecord
	Final          string
	Tasks          []Task
	chunks         []chunk
	DoneTasks      int
	Placed         int
	EverPlaced     int    // tasks that were placed at least once
	Disbanding     bool   // a gang that lost a task and waits until the others are gone
	StopReason     string // why a task of the job last stopped
	WaitReason     string // why the job can't be placed now
	Started        bool   // a task was reported running in this attempt of the gang
	// IncompleteSince is when a gang that has not begun to run lost a task of its attempt; 0 if
	// it is complete.
	IncompleteSince time.Duration
	tasksPerChunk   int
	endQueued       bool // waits in Ledger.unwrittenEnds
	endInFlight     bool // its final record is being written
	unreadable      bool // one of its records can't be read, so nothing is done with the job
	failures        failures
	class           *estimates.Class
	runs            estimates.Runs
	unitRequests    []unitRequest
	idleUnwanted    int // unwanted tasks that are neither done nor placed
	// Service is the name of the service that the job is a version of, or "". The service's
	// record says which tasks are wanted. Until that record has been read, no task is started
	// or stopped.
	Service string
	// Zone is the only zone in which tasks may be placed now; "": any.
	Zone string
	// Rolling says that a roll-out is under way, which counts the job's running tasks. Only the
	// roll-out may move them.
	Rolling bool
	// Port is the port on which the job's tasks listen according to its roll-out; 0: none. With
	// PerTask, task k listens on Port+k.
	Port    int
	PerTask bool
}

// Idle returns how many tasks wait for a machine.
func (j *Job) Idle() int { return len(j.Tasks) - j.DoneTasks - j.Placed - j.idleUnwanted }

// WantedTasks returns how many tasks wait for a machine or have one.
func (j *Job) WantedTasks() int { return j.Idle() + j.Placed }

// SetWanted sets which of a service's tasks are wanted. The others are not started any more.
// The caller must stop those that run.
func (l *Ledger) SetWanted(j *Job, wanted func(task int) bool) {
	j.idleUnwanted = 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Unwanted = !wanted(i)
		if t.Unwanted && t.CurrentPlacement == nil && !t.Done {
			j.idleUnwanted++
		}
	}
	if l.OnChange != nil {
		l.OnChange()
	}
}

// EstimateS returns the expected run time of a task in seconds: its owner's estimate,
// corrected by the run times of the job's class.
func (j *Job) EstimateS() float64 { return j.Spec.EstimateS * j.class.Factor() }

// Readable reports whether all records of the job could be read.
func (j *Job) Readable() bool { return !j.unreadable }
