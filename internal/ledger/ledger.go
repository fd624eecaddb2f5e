// Package ledger keeps the leader's authoritative state of jobs, tasks, placements and quotas.
// State is written before it is acted on: a placement can be started only once it is durable.
// A placement counts against its machine, its team's limit and its zone from the moment it is
// planned until it is proven absent.
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

// Ledger is the state of one leader's term.
type Ledger struct {
	env      actor.Env
	store    *statestore.Store
	token    uint64
	Jobs     map[string]*Job
	Machines map[string]*Machine
	byName   []*Machine // the same machines in name order
	Teams    map[string]*Team
	Types    map[string]*model.MachineType
	// Returned holds the names of machines that are gone. Reports and list entries that were
	// sent before may still arrive. Names are not used again.
	Returned map[string]bool
	// Estimates holds corrections of the owners' estimates.
	Estimates estimates.Classes
	// Units holds the counted resources.
	Units *units.Inventory
	// SpotInterruptions is how many spot machines the cloud has taken back, SpotHours over how
	// many machine hours.
	SpotInterruptions, SpotHours float64
	order                        []*Job
	dirty                        []dirtyChunk
	unwrittenEnds                []*Job   // jobs whose final record is to be written
	orphans                      []orphan // chunks of jobs that are over, to be deleted
	commitInFlight               bool
	closed                       bool
	loading                      bool
	flushTimer                   *actor.Timer
	// Callbacks of the term; each may be nil.
	OnDurable func(p []*Placement)
	OnChange  func()
	OnStop    func(p *Placement)
	// OnCancelled is called for a job that is over while its tasks may still run, before they
	// are stopped.
	OnCancelled   func(j *Job)
	OnDeposed     func()
	RestoreImages func(m *Machine) // fills in the images known to be on a new entry's machine
	MaxOps        int              // most changes in a transaction
	// AttemptOffset is added to recorded attempt numbers below it after the cluster was restored
	// from a snapshot.
	AttemptOffset uint64
	// Changes counts what was written in this term.
	Changes Changes
	// LongestWriteStall is the longest time of this term in which starts or ends waited and
	// nothing was written, as seen by calls of FlushPending.
	LongestWriteStall       time.Duration
	lastWrite, pendingSince time.Duration // pendingSince is 0 if no start or end waits
}

type dirtyChunk struct {
	job   *Job
	chunk int
}

type orphan struct {
	key      string
	revision uint64
}

// New returns an empty ledger for a term. Load fills it from the replica.
func New(env actor.Env, store *statestore.Store, token uint64, teams []settings.Team) *Ledger {
	l := &Ledger{env: env, store: store, token: token, Jobs: map[string]*Job{}, Machines: map[string]*Machine{},
		Teams: map[string]*Team{}, Returned: map[string]bool{}, Estimates: estimates.Classes{}, Units: units.NewInventory(), Types: map[string]*model.MachineType{}, MaxOps: store.Config().TxnOps}
	for _, t := range teams {
		l.Teams[t.Name] = &Team{Team: t}
	}
	return l
}

// Close ends the term. Nothing is written after it.
func (l *Ledger) Close() {
	l.closed = true
	l.flushTimer.Stop()
}

// SpotInterruptionRate returns the estimated rate per second at which the cloud takes a spot
// machine back. Before any observation it is one per machine hour.
func (l *Ledger) SpotInterruptionRate() float64 {
	return (1 + l.SpotInterruptions) / (1 + l.SpotHours) / 3600
}

// Order lists the ledger's jobs in the order of their acceptance.
func (l *Ledger) Order() []*Job { return l.order }

func (l *Ledger) stopTasks(j *Job) {
	for i := range j.Tasks {
		if p := j.Tasks[i].CurrentPlacement; p != nil {
			l.Stop(p, 0, model.CauseCancelled)
		}
	}
	l.removeIfOver(j)
}

// removeIfOver removes a job whose end is durable and that has no placements. It first marks
// the job's chunks for deletion, and removes the job once they are deleted.
func (l *Ledger) removeIfOver(j *Job) {
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
		if j.chunks[i].revision != 0 {
			pending = true
			l.markDirty(j, i*j.tasksPerChunk, false)
		}
	}
	if pending {
		return
	}
	delete(l.Jobs, j.Spec.ID)
	for _, u := range j.unitRequests {
		l.Units.All[u.resource].RequestingJobs--
	}
	for i, x := range l.order {
		if x == j {
			l.order = append(l.order[:i], l.order[i+1:]...)
			break
		}
	}
}

// LearnRunTime adds the run time of a completed task to the estimates of its class, once per
// gang, and for arrays to the pace of its machine. Only first attempts count, since they ran from
// the beginning. The run time of an inherited task is unknown.
func (l *Ledger) LearnRunTime(p *Placement) {
	j := p.Job
	if p.Attempt != 1 || p.Inherited || p.RunSince <= 0 || j.class == nil {
		return
	}
	took := l.env.Now() - p.RunSince
	if j.Spec.Kind == model.Array || p.Task == 0 {
		j.class.RecordRun(j.Spec.EstimateS, took)
	}
	if j.Spec.Kind == model.Array && !p.RunSinceUncertain {
		if ratio, ok := j.runs.Add(took); ok {
			p.Host.Pace.RecordRun(ratio)
		}
	}
}
