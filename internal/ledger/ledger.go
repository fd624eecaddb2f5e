// Package ledger is the leader's truth of jobs, tasks, placements and quotas.
// It writes before anybody acts: a placement can be started only once it is
// durable, and it occupies its machine, its team's limit and its zone from the
// moment it is planned until it is proven absent.
package ledger

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/estimates"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
	"brooklb/internal/units"
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

// Placement is one attempt of a task on a machine.
type Placement struct {
	Job       *Job
	Task      int
	Attempt   uint64
	M         *Machine
	Durable   bool
	Inherited bool   // recorded by an earlier leader
	Session   uint64 // session in which we told the worker to start it
	Seen      bool
	Phase     model.Phase
	Since     time.Duration // of the placement
	RunSince  time.Duration
	Stopping  bool
	GraceS    float64
	StopSince time.Duration
	StopSent  time.Duration
	StopWhy   string
	Vague     bool // when it began to run isn't known closely
	SentAt    time.Duration
	ToldAt    time.Duration // when the start was last in an answer to a report; 0: never
	// VoidBy is when no start of a cancelled job that may yet arrive may be executed any
	// more, 0: not cancelled.
	VoidBy  time.Duration
	Again   bool // has waited in vain for its gang, is to be started again in the same attempt
	Retries int  // how often that happened
	Gone    bool
}

// Machine is a rented machine as far as known.
type Machine struct {
	Name, Addr, Type, Zone string
	ListedAddr             string // by the cloud's list, not by its own report
	Spot                   bool
	Known                  bool // type and zone are known
	Cap                    model.Need
	Used                   model.Need
	P                      []*Placement // by job and task
	Session, Seq, Token    uint64
	Heard                  bool          // has reported in this term
	Greeted                bool          // was asked for its status in this term
	LastHeard              time.Duration // last report
	LastAnswered           time.Duration // last report that we answered with our token
	TokenSeen              bool          // the worker has seen our token
	TokenAt                time.Duration // when we learned that
	SessionAt              time.Duration // when we first heard of this session
	// Fresh: something that the worker sent in this term was heard. Whatever came before
	// may be a copy from long ago.
	Fresh      bool
	Notice     bool
	Leaving    bool // to be returned
	ReturnSent bool
	Gone       bool
	Listed     string
	ListedAt   time.Duration
	FirstSeen  time.Duration
	RentedAt   time.Duration // request, on our steady clock
	Booting    bool          // rented in this term and not heard yet
	IdleSince  time.Duration
	WantedAt   time.Duration // last time waiting work was expected to use it
	NoPlace    time.Duration // no new placements before
	blamed     map[*Job]bool
	Ambiguous  map[string]uint64 // starts that may yet arrive: task/attempt -> session
	// Sent has the starts that went straight to the worker in this session and were
	// answered: copies of them may come still.
	Sent    map[string]time.Duration
	Images  map[string]time.Duration
	ImageGB map[string]float64
	Direct  int // direct commands under way
	Ended   []model.TaskReport
	Strays  []model.TaskReport
	Missing int
	Pace    estimates.Pace
	Gap     time.Duration // between the last two reports
}

// Team with its use.
type Team struct {
	settings.Team
	Used model.Need
}

// Within reports whether n more stays inside the team's limit.
func (t *Team) Within(n model.Need) bool {
	u := t.Used.Add(n)
	return (t.CPUsMax <= 0 || u.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || u.GPUs <= t.GPUsMax+1e-6)
}

// Guarantees reports whether the team has a guarantee and n fits into it.
func (t *Team) Guarantees(n model.Need) bool {
	return (t.CPUs > 0 || t.GPUs > 0) && (t.CPUs <= 0 || n.CPUs <= t.CPUs+1e-6) && (t.GPUs <= 0 || n.GPUs <= t.GPUs+1e-6)
}

// Ledger of one leader's term.
type Ledger struct {
	env      actor.Env
	store    *statestore.Store
	token    uint64
	Jobs     map[string]*Job
	Machines map[string]*Machine
	byName   []*Machine // the same, in name order
	Teams    map[string]*Team
	Types    map[string]*model.MachineType
	// Returned has the machines that the cloud says are gone. Their reports
	// and list entries may still be on their way; names are not used again.
	Returned map[string]bool
	// Estimates has what was learned of the owners' estimates.
	Estimates estimates.Book
	// Units has the counted resources.
	Units *units.Book
	// What was seen of spot machines being taken back: how many, and over how
	// many machine hours.
	SpotTaken, SpotHours float64
	order                []*Job
	dirty                []dirtyRef
	ends                 []*Job   // done, which is to be written
	orphans              []orphan // chunks of jobs that are over
	flying               bool
	stopped              bool
	loading              bool
	resting              *actor.Timer
	// Hooks of the term.
	OnDurable func(p []*Placement)
	OnChange  func()
	OnStop    func(p *Placement)
	// OnCancelled hears of a job that is over while its tasks may run, before they are stopped.
	OnCancelled func(j *Job)
	OnDeposed   func()
	Warm        func(m *Machine) // fills in what is remembered of a machine's images
	MaxOps      int
	// Attempts is what a restored cluster adds to recorded attempts below it.
	Attempts uint64
	// Changes is what was written in this term.
	Changes Changes
	// Quiet is the longest time in which starts or ends waited to be written and nothing
	// was, in this term, seen from Kick to Kick.
	Quiet            time.Duration
	written, pending time.Duration // the last write; since when something waits, 0: nothing
}

type dirtyRef struct {
	job *Job
	n   int
}

type orphan struct {
	key   string
	stamp uint64
}

// New makes the ledger of a term from the replica.
func New(env actor.Env, store *statestore.Store, token uint64, teams []settings.Team) *Ledger {
	l := &Ledger{env: env, store: store, token: token, Jobs: map[string]*Job{}, Machines: map[string]*Machine{},
		Teams: map[string]*Team{}, Returned: map[string]bool{}, Estimates: estimates.Book{}, Units: units.NewBook(), Types: map[string]*model.MachineType{}, MaxOps: store.Config().TxnOps}
	for _, t := range teams {
		l.Teams[t.Name] = &Team{Team: t}
	}
	return l
}

// Close ends the term: nothing is written any more.
func (l *Ledger) Close() {
	l.stopped = true
	l.resting.Stop()
}

// SpotRisk is how likely a spot machine is to be taken back, per second. Until
// more is seen it counts as once an hour.
func (l *Ledger) SpotRisk() float64 { return (1 + l.SpotTaken) / (1 + l.SpotHours) / 3600 }

// Order lists the open jobs in the order of their acceptance.
func (l *Ledger) Order() []*Job { return l.order }

// Machine finds or makes the entry of a machine.
func (l *Ledger) Machine(name string) *Machine {
	m := l.Machines[name]
	if m == nil {
		m = &Machine{Name: name, FirstSeen: l.env.Now(), IdleSince: l.env.Now(),
			Images: map[string]time.Duration{}, ImageGB: map[string]float64{}, Ambiguous: map[string]uint64{}, Sent: map[string]time.Duration{}, RentedAt: l.env.Now()}
		if l.Warm != nil {
			l.Warm(m)
		}
		l.Machines[name] = m
		i := l.place(name)
		l.byName = append(l.byName, nil)
		copy(l.byName[i+1:], l.byName[i:])
		l.byName[i] = m
	}
	return m
}

func (l *Ledger) occupy(p *Placement) {
	j := p.Job
	if t := &j.Tasks[p.Task]; t.Off && t.P == nil {
		j.off--
	}
	j.Tasks[p.Task].P = p
	j.Placed++
	i := p.M.find(j.Spec.ID, p.Task)
	p.M.P = append(p.M.P, nil)
	copy(p.M.P[i+1:], p.M.P[i:])
	p.M.P[i] = p
	p.M.Used = p.M.Used.Add(j.Spec.Need)
	l.takeUnits(p)
	if t := l.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Add(j.Spec.Need)
	}
}

func (l *Ledger) vacate(p *Placement) {
	j := p.Job
	if p.Gone {
		return
	}
	p.Gone = true
	j.Tasks[p.Task].P = nil
	j.Placed--
	if j.Tasks[p.Task].Off {
		j.off++
	}
	for i := p.M.find(j.Spec.ID, p.Task); i < len(p.M.P); i++ {
		if p.M.P[i] == p {
			p.M.P = append(p.M.P[:i], p.M.P[i+1:]...)
			break
		}
	}
	p.M.Used = p.M.Used.Sub(j.Spec.Need)
	l.giveUnits(p)
	if len(p.M.P) == 0 {
		p.M.Used = model.Need{}
		p.M.IdleSince = l.env.Now()
	}
	if t := l.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Sub(j.Spec.Need)
	}
}

// Plan places an idle task on a machine. The start follows once it is durable.
func (l *Ledger) Plan(j *Job, task int, attempt uint64, m *Machine) *Placement {
	t := &j.Tasks[task]
	if t.Attempt == 0 {
		j.Begun++
	}
	t.Attempt = attempt
	if j.Placed == 0 {
		j.Started = false
	}
	p := &Placement{Job: j, Task: task, Attempt: attempt, M: m, Since: l.env.Now()}
	l.occupy(p)
	if j.Placed == len(j.Tasks) {
		j.Short = 0
	}
	l.touch(j, task, true)
	return p
}

// Finished records that a task is done. Its placement, if any, is gone.
func (l *Ledger) Finished(j *Job, task int) {
	t := &j.Tasks[task]
	if p := t.P; p != nil {
		l.vacate(p)
	}
	if t.Done || j.Spec.Kind == model.Service {
		return
	}
	t.Done = true
	j.NDone++
	l.Worked(j)
	l.touch(j, task, false)
	if j.Spec.Kind == model.Gang {
		// The tasks of a gang complete together: one done, all done.
		for i := range j.Tasks {
			if !j.Tasks[i].Done && j.Tasks[i].P == nil {
				j.Tasks[i].Done = true
				j.NDone++
				l.touch(j, i, false)
			}
		}
	}
	l.checkEnd(j)
	if l.OnChange != nil {
		l.OnChange()
	}
}

// Lost records that a placement is proven absent without having completed.
func (l *Ledger) Lost(p *Placement, why string) {
	if p.Gone {
		return
	}
	j := p.Job
	durable := p.Durable
	l.vacate(p)
	if j.Final == Open {
		if why != model.CauseStopped || p.StopWhy != "" || p.Inherited {
			cause := why
			switch {
			case p.StopWhy != "":
				cause = p.StopWhy
			case p.Inherited && strings.HasPrefix(why, model.CauseStopped):
				cause = why + " by an earlier leader, which kept no reason"
			}
			j.Why = "task " + strconv.Itoa(p.Task) + " attempt " + strconv.FormatUint(p.Attempt, 10) + " on " + p.M.Name + ": " + cause
		}
		l.env.Log().Info("task gone", "job", j.Spec.ID, "task", p.Task, "attempt", p.Attempt, "machine", p.M.Name, "why", why, "stop", p.StopWhy)
	}
	if c := &j.chunks[p.Task/j.per]; durable || c.stamp != 0 || c.inFlight {
		l.touch(j, p.Task, false)
	}
	if j.Spec.Kind == model.Gang && j.Final == Open && !j.Tasks[p.Task].Done {
		someDone := false
		for i := range j.Tasks {
			if j.Tasks[i].Done {
				someDone = true
			}
		}
		switch {
		case someDone:
			l.Finished(j, p.Task)
		case l.replaceable(p, why):
			// The others keep waiting; a replacement with the same attempt
			// number completes the gang.
			j.Tasks[p.Task].Avoid(p.M, l.env.Now()+shortAvoid)
			if j.Short == 0 {
				j.Short = l.env.Now()
			}
		default:
			l.breakGang(j, why)
		}
	}
	l.checkEnd(j)
	l.forgetIfOver(j)
	if l.OnChange != nil {
		l.OnChange()
	}
}

// Grace is how many seconds a placement's task is to be given to save when it is
// stopped; 0 if it has nothing to save.
func (p *Placement) Grace() float64 {
	if p.Job.Spec.CheckpointS > 0 && p.Phase == model.Running {
		return p.Job.Spec.SaveS + 1
	}
	return 0
}

// CauseReturned is why the tasks of a machine that was given back are gone.
const CauseReturned = "its machine was returned"

// Stop asks for the end of a placement. One that nobody was told of is gone
// at once.
func (l *Ledger) Stop(p *Placement, graceS float64, why string) {
	if p.Gone {
		return
	}
	if p.Stopping && p.GraceS <= graceS {
		return
	}
	if !p.Stopping {
		p.StopSince = l.env.Now()
		p.StopWhy = why
	}
	p.Stopping, p.GraceS, p.StopSent = true, graceS, 0
	if !p.Durable {
		l.Lost(p, model.CauseStopped)
		return
	}
	if l.OnStop != nil {
		l.OnStop(p)
	}
}

func (l *Ledger) abandon(j *Job) {
	for i := range j.Tasks {
		if p := j.Tasks[i].P; p != nil {
			l.Stop(p, 0, model.CauseCancelled)
		}
	}
	l.forgetIfOver(j)
}

// forgetIfOver drops a job whose end is durable and of which nothing is left;
// its chunks are deleted.
func (l *Ledger) forgetIfOver(j *Job) {
	if j.Final == Open || j.Placed > 0 {
		return
	}
	for i := range j.chunks {
		if j.chunks[i].inFlight {
			return
		}
	}
	pending := false
	for i := range j.chunks {
		if j.chunks[i].stamp != 0 {
			pending = true
			l.touch(j, i*j.per, false)
		}
	}
	if pending {
		return
	}
	delete(l.Jobs, j.Spec.ID)
	for _, u := range j.asks {
		l.Units.All[u.i].Asked--
	}
	for i, x := range l.order {
		if x == j {
			l.order = append(l.order[:i], l.order[i+1:]...)
			break
		}
	}
}

// EstimateS is how many seconds a task of the job is thought to run: its owner's
// estimate, corrected by what was seen of the class.
func (j *Job) EstimateS() float64 { return j.Spec.EstimateS * j.class.Factor() }

// Ran notes that a placement's task was done: of what ran through from the
// beginning it is learned how wrong the estimates are, of a gang once, and how
// fast the machine is. When an inherited task began to run isn't known.
func (l *Ledger) Ran(p *Placement) {
	j := p.Job
	if p.Attempt != 1 || p.Inherited || p.RunSince <= 0 || j.class == nil {
		return
	}
	took := l.env.Now() - p.RunSince
	if j.Spec.Kind == model.Array || p.Task == 0 {
		j.class.Ran(j.Spec.EstimateS, took)
	}
	if j.Spec.Kind == model.Array && !p.Vague {
		if ratio, ok := j.runs.Add(took); ok {
			p.M.Pace.Ran(ratio)
		}
	}
}

// Readable reports whether all of the job's record could be read.
func (j *Job) Readable() bool { return !j.broken }
