package ledger

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/model"
)

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
