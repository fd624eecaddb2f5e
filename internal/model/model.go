// Package model has the field's terms that the slices share: jobs, tasks,
// machines, reports and orders. It knows nothing of any deployment's words.
package model

// Kind of a job.
type Kind uint8

// The kinds of jobs.
const (
	Array Kind = iota
	Gang
	Service
)

// Priority orders jobs; a larger value goes first.
type Priority uint8

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// Need is what one task takes of its machine.
type Need struct {
	CPUs, GPUs, MemGB float64
}

const eps = 1e-6

// Fits reports whether n fits into free.
func (n Need) Fits(free Need) bool {
	return n.CPUs <= free.CPUs+eps && n.GPUs <= free.GPUs+eps && n.MemGB <= free.MemGB+eps
}

// Add returns a+b.
func (n Need) Add(b Need) Need { return Need{n.CPUs + b.CPUs, n.GPUs + b.GPUs, n.MemGB + b.MemGB} }

// Sub returns a-b.
func (n Need) Sub(b Need) Need { return Need{n.CPUs - b.CPUs, n.GPUs - b.GPUs, n.MemGB - b.MemGB} }

// Times returns n multiplied by k.
func (n Need) Times(k float64) Need { return Need{n.CPUs * k, n.GPUs * k, n.MemGB * k} }

// Spec is a job as its user described it.
type Spec struct {
	ID          string
	Class, Team string
	Kind        Kind
	Priority    Priority
	Tasks       int
	Need        Need
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
	Units       []UnitAsk
}

// Work is how much the job takes, in its owner's estimate: machine room times seconds.
func (s *Spec) Work() float64 {
	return float64(s.Tasks) * max(s.Need.CPUs, s.Need.GPUs, 1) * max(1, s.EstimateS)
}

// UnitAsk is how many units of a counted resource a job asks for.
type UnitAsk struct {
	Name   string
	N      int
	PerJob bool // once for the whole job, while any task has a machine; else for each task
}

// AtOnce is how many units the job needs to begin with: a gang all of them.
func (s *Spec) AtOnce(u UnitAsk) int {
	if u.PerJob || s.Kind != Gang {
		return u.N
	}
	return u.N * s.Tasks
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

// MaxPerZone is how many of the tasks one zone may hold.
func (s *Spec) MaxPerZone() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// Phase of a task as its worker reports it.
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

// Exit causes.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CausePeers   = "peers"
	CauseAlone   = "alone"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
	// Causes the service finds out itself.
	CauseLost      = "machine lost"
	CauseSession   = "worker restarted"
	CauseCancelled = "cancelled"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Job     string
	Task    int
	Attempt uint64
	Phase   Phase
	Cause   string
	Saved   bool
}

// Report is a worker's report.
type Report struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Seq, Token       uint64
	Notice                    bool
	NoticeS                   float64
	Tasks                     []TaskReport
}

// Op is what an order asks of a worker.
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

// MachineType as the cloud describes it.
type MachineType struct {
	Name            string
	Cap             Need
	CacheGB         float64
	FetchGBs        float64
	Price, SpotCost float64
	BootS           float64
	Zones           []string
}

// Listed is a machine in the cloud's list.
type Listed struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  string // "booting", "running", "failed"
	AgeS                   float64
}

// TaskAttempt names one attempt of a task.
type TaskAttempt struct {
	Job     string
	Task    int
	Attempt uint64
}

// Key is the attempt that a worker reports.
func (t TaskReport) Key() TaskAttempt { return TaskAttempt{t.Job, t.Task, t.Attempt} }

// Key is the attempt that an order is for.
func (o Order) Key() TaskAttempt { return TaskAttempt{o.Job, o.Task, o.Attempt} }
