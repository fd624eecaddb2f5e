// Package ledger is the leader's truth of jobs, tasks, placements and quotas.
// It writes before anybody acts: a placement can be started only once it is
// durable, and it occupies its machine, its team's limit and its zone from the
// moment it is planned until it is proven absent.
package ledger

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/estimates"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
	"brooklb/internal/units"
)

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
	Estimates estimates.Classes
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
		Teams: map[string]*Team{}, Returned: map[string]bool{}, Estimates: estimates.Classes{}, Units: units.NewBook(), Types: map[string]*model.MachineType{}, MaxOps: store.Config().TxnOps}
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
		j.class.RecordRun(j.Spec.EstimateS, took)
	}
	if j.Spec.Kind == model.Array && !p.Vague {
		if ratio, ok := j.runs.Add(took); ok {
			p.M.Pace.RecordRun(ratio)
		}
	}
}
