package ledger

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/model"
)

// Placement is one attempt of a task on a machine.
type Placement struct {
	Job               *Job
	Task              int
	Attempt           uint64
	Host              *Machine
	Durable           bool
	Inherited         bool   // recorded by an earlier leader
	Session           uint64 // the worker's session in which the start was sent or the task was last reported
	SeenInReport      bool
	Phase             model.Phase
	PlacedAt          time.Duration // when the task was placed, or the placement was loaded
	RunSince          time.Duration
	Stopping          bool
	GraceS            float64
	StopSince         time.Duration
	StopSent          time.Duration
	StopReason        string
	RunSinceUncertain bool // RunSince may be off by more than two report intervals
	StartSentAt       time.Duration
	StartInAnswerAt   time.Duration // when an answer to a report last contained the start; 0: never
	// StartDeadline is the time after which a start that is still under way must no longer be
	// executed, because the job was cancelled; 0: not cancelled.
	StartDeadline  time.Duration
	RestartPending bool // the task timed out waiting for its gang, and is to be started again in the same attempt
	Retries        int  // how often that happened
	Gone           bool
}

func (l *Ledger) occupy(p *Placement) {
	j := p.Job
	if t := &j.Tasks[p.Task]; t.Unwanted && t.CurrentPlacement == nil {
		j.idleUnwanted--
	}
	j.Tasks[p.Task].CurrentPlacement = p
	j.Placed++
	i := p.Host.placementIndex(j.Spec.ID, p.Task)
	p.Host.Placements = append(p.Host.Placements, nil)
	copy(p.Host.Placements[i+1:], p.Host.Placements[i:])
	p.Host.Placements[i] = p
	p.Host.Used = p.Host.Used.Add(j.Spec.Resources)
	l.acquireUnits(p)
	if t := l.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Add(j.Spec.Resources)
	}
}

func (l *Ledger) vacate(p *Placement) {
	j := p.Job
	if p.Gone {
		return
	}
	p.Gone = true
	j.Tasks[p.Task].CurrentPlacement = nil
	j.Placed--
	if j.Tasks[p.Task].Unwanted {
		j.idleUnwanted++
	}
	for i := p.Host.placementIndex(j.Spec.ID, p.Task); i < len(p.Host.Placements); i++ {
		if p.Host.Placements[i] == p {
			p.Host.Placements = append(p.Host.Placements[:i], p.Host.Placements[i+1:]...)
			break
		}
	}
	p.Host.Used = p.Host.Used.Sub(j.Spec.Resources)
	l.releaseUnits(p)
	if len(p.Host.Placements) == 0 {
		p.Host.Used = model.Resources{}
		p.Host.IdleSince = l.env.Now()
	}
	if t := l.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Sub(j.Spec.Resources)
	}
}

// Plan places an idle task on a machine. The task is started once the placement is durable.
func (l *Ledger) Plan(j *Job, task int, attempt uint64, m *Machine) *Placement {
	t := &j.Tasks[task]
	if t.Attempt == 0 {
		j.EverPlaced++
	}
	t.Attempt = attempt
	if j.Placed == 0 {
		j.Started = false
	}
	p := &Placement{Job: j, Task: task, Attempt: attempt, Host: m, PlacedAt: l.env.Now()}
	l.occupy(p)
	if j.Placed == len(j.Tasks) {
		j.IncompleteSince = 0
	}
	l.markDirty(j, task, true)
	return p
}

// MarkFinished records that a task is done, and removes its placement if it has one.
func (l *Ledger) MarkFinished(j *Job, task int) {
	t := &j.Tasks[task]
	if p := t.CurrentPlacement; p != nil {
		l.vacate(p)
	}
	if t.Done || j.Spec.Kind == model.Service {
		return
	}
	t.Done = true
	j.DoneTasks++
	l.MarkHealthy(j)
	l.markDirty(j, task, false)
	if j.Spec.Kind == model.Gang {
		// The tasks of a gang complete together, so the unplaced ones are done, too.
		for i := range j.Tasks {
			if !j.Tasks[i].Done && j.Tasks[i].CurrentPlacement == nil {
				j.Tasks[i].Done = true
				j.DoneTasks++
				l.markDirty(j, i, false)
			}
		}
	}
	l.checkEnd(j)
	if l.OnChange != nil {
		l.OnChange()
	}
}

// MarkLost records that a placement is proven absent without its task having completed.
func (l *Ledger) MarkLost(p *Placement, why string) {
	if p.Gone {
		return
	}
	j := p.Job
	durable := p.Durable
	l.vacate(p)
	if j.Final == Open {
		if why != model.CauseStopped || p.StopReason != "" || p.Inherited {
			cause := why
			switch {
			case p.StopReason != "":
				cause = p.StopReason
			case p.Inherited && strings.HasPrefix(why, model.CauseStopped):
				cause = why + " by an earlier leader, which kept no reason"
			}
			j.StopReason = "task " + strconv.Itoa(p.Task) + " attempt " + strconv.FormatUint(p.Attempt, 10) + " on " + p.Host.Name + ": " + cause
		}
		l.env.Log().Info("task gone", "job", j.Spec.ID, "task", p.Task, "attempt", p.Attempt, "machine", p.Host.Name, "why", why, "stop", p.StopReason)
	}
	if c := &j.chunks[p.Task/j.tasksPerChunk]; durable || c.revision != 0 || c.inFlight {
		l.markDirty(j, p.Task, false)
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
			l.MarkFinished(j, p.Task)
		case l.replaceable(p, why):
			// The other tasks keep waiting. A replacement with the same attempt number
			// completes the gang.
			j.Tasks[p.Task].Avoid(p.Host, l.env.Now()+replacementAvoidTime)
			if j.IncompleteSince == 0 {
				j.IncompleteSince = l.env.Now()
			}
		default:
			l.disbandGang(j, why)
		}
	}
	l.checkEnd(j)
	l.removeIfOver(j)
	if l.OnChange != nil {
		l.OnChange()
	}
}

// Grace returns how many seconds a placement's task gets to save its progress when it is
// stopped; 0 if it has nothing to save.
func (p *Placement) Grace() float64 {
	if p.Job.Spec.CheckpointS > 0 && p.Phase == model.Running {
		return p.Job.Spec.SaveS + 1
	}
	return 0
}

// CauseReturned is the cause for tasks whose machine was returned to the cloud.
const CauseReturned = "its machine was returned"

// Stop requests the end of a placement. A placement that is not durable was never sent to its
// worker, so it is removed immediately.
func (l *Ledger) Stop(p *Placement, graceS float64, why string) {
	if p.Gone {
		return
	}
	if p.Stopping && p.GraceS <= graceS {
		return
	}
	if !p.Stopping {
		p.StopSince = l.env.Now()
		p.StopReason = why
	}
	p.Stopping, p.GraceS, p.StopSent = true, graceS, 0
	if !p.Durable {
		l.MarkLost(p, model.CauseStopped)
		return
	}
	if l.OnStop != nil {
		l.OnStop(p)
	}
}
