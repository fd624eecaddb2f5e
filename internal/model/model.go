// Package model has the types that the other packages share: jobs, tasks, machines, reports and
// orders. It is independent of the names used in the external interfaces.
package model

// Kind is the kind of a job.
type Kind uint8

// The kinds of jobs.
const (
	Array Kind = iota
	Gang
	Service
)

// Priority is the priority of a job. Jobs with larger values go first.
type Priority uint8

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Resources is an amount of machine resources: a task's request, or a machine's capacity or use.
type Resources struct {
	CPUs, GPUs, MemGB float64
}

const tolerance = 1e-6

// Fits reports whether n fits into free.
func (n Resources) Fits(free Resources) bool {
	return n.CPUs <= free.CPUs+tolerance && n.GPUs <= free.GPUs+tolerance && n.MemGB <= free.MemGB+tolerance
}

// Add returns n+b.
func (n Resources) Add(b Resources) Resources {
	return Resources{n.CPUs + b.CPUs, n.GPUs + b.GPUs, n.MemGB + b.MemGB}
}

// Sub returns n-b.
func (n Resources) Sub(b Resources) Resources {
	return Resources{n.CPUs - b.CPUs, n.GPUs - b.GPUs, n.MemGB - b.MemGB}
}

// Times returns n multiplied by k.
func (n Resources) Times(k float64) Resources { return Resources{n.CPUs * k, n.GPUs * k, n.MemGB * k} }

// Spec is a user's description of a job.
type Spec struct {
	ID          string
	Class, Team string
	Kind        Kind
	Priority    Priority
	Tasks       int
	Resources   Resources
	Image       string
	ImageGB     float64
	Types       []string // nil: any
	Zone        string   // "": any
	OneZone     bool
	Spread      bool
	Spot        bool
	EstimateS   float64
	CheckpointS float64
	SaveS       float64
	DeadlineS   float64 // 0: none
	Units       []UnitRequest
}

// Work returns the owner's estimate of the job's total work: the larger of CPUs and GPUs per
// task, but at least 1, times the number of tasks and the seconds per task, also at least 1.
func (s *Spec) Work() float64 {
	return float64(s.Tasks) * max(s.Resources.CPUs, s.Resources.GPUs, 1) * max(1, s.EstimateS)
}

// UnitRequest is a job's request for units of a counted resource.
type UnitRequest struct {
	Name     string
	Quantity int
	PerJob   bool // for the whole job while any of its tasks is placed; otherwise for each task
}

// UnitsToStart returns how many units the job needs before it can start. A gang needs the units
// of all its tasks.
func (s *Spec) UnitsToStart(u UnitRequest) int {
	if u.PerJob || s.Kind != Gang {
		return u.Quantity
	}
	return u.Quantity * s.Tasks
}

func (p Priority) String() string { return [...]string{"low", "normal", "high", "production"}[p&3] }

// AllowsType reports whether the job may use the machine type.
func (s *Spec) AllowsType(t string) bool {
	if s.Types == nil {
		return true
	}
	for _, x := range s.Types {
		if x == t {
			return true
		}
	}
	return false
}

// MaxPerZone returns how many of the job's tasks may run in one zone.
func (s *Spec) MaxPerZone() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// Phase is the phase of a task in its worker's report.
type Phase uint8

// The phases of a reported task.
const (
	Unseen Phase = iota
	Fetching
	Waiting
	Running
	Saving
	Exited
)

func (p Phase) String() string {
	return [...]string{"unseen", "fetching", "waiting", "running", "saving", "exited"}[p]
}

// Causes of a task's end, as its worker reports them.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CausePeerLost       = "peers"
	CauseGangIncomplete = "alone"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
	// Causes that the controller determines itself.
	CauseMachineLost     = "machine lost"
	CauseWorkerRestarted = "worker restarted"
	CauseCancelled       = "cancelled"
)

// TaskReport is the state of one task in a worker's report.
type TaskReport struct {
	Job     string
	Task    int
	Attempt uint64
	Phase   Phase
	Cause   string
	Saved   bool
}

// Report is a worker's report about its machine and tasks.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	InterruptionNotice        bool
	InterruptionNoticeS       float64
	Tasks                     []TaskReport
}

// Op is the operation of an order.
type Op uint8

// The operations.
const (
	Start Op = iota
	Stop
	Forget
)

// Order is one command to a worker.
type Order struct {
	Op      Op
	Job     string
	Task    int
	Attempt uint64
	GraceS  float64
}

// MachineType is a type of machine that the cloud offers. It is stored as JSON under these field
// names.
type MachineType struct {
	Name            string
	Cap             Resources
	CacheGB         float64
	FetchGBs        float64
	Price, SpotCost float64
	BootS           float64
	Zones           []string
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  string // "booting", "running", "failed"
	AgeS                   float64
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Job     string
	Task    int
	Attempt uint64
}

// Key returns the attempt that the report is about.
func (t TaskReport) Key() TaskAttempt { return TaskAttempt{t.Job, t.Task, t.Attempt} }

// Key returns the attempt that the order is for.
func (o Order) Key() TaskAttempt { return TaskAttempt{o.Job, o.Task, o.Attempt} }
