package workers

import (
	"math"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

func (a *Actor) exited(p *ledger.Placement, t model.TaskReport) {
	now := a.env.Now()
	j, m := p.Job, p.Host
	task := &j.Tasks[p.Task]
	if j.Spec.Kind == model.Service && a.OnEnded != nil && ownEnd(t.Cause) {
		a.OnEnded(p, t.Cause)
	}
	switch t.Cause {
	case model.CauseDone:
		task.Errors = 0
		m.ClearFailedJobs()
		if m.ReportGap <= a.vague() {
			a.led.LearnRunTime(p)
		}
		a.led.MarkFinished(j, p.Task)
		if m.Pace.TooSlow() && !m.Leaving {
			a.setAside(m)
		}
		return
	case model.CauseError:
		task.Errors++
		task.NotBefore = now + backoff(task.Errors)
		task.Avoid(m, task.NotBefore+avoidFor)
		if j.Spec.Kind == model.Service && p.RunSince > 0 && now-p.RunSince > time.Minute {
			a.led.MarkHealthy(j)
		}
		a.blame(p)
	case model.CauseGangIncomplete:
		if a.again(p) {
			return
		}
	case model.CauseNoRoom:
		m.NoPlacementBefore = now + 5*time.Second
		task.NotBefore = now + time.Second
	case model.CauseBusy:
		task.NotBefore = now + 2*time.Second
	case model.CauseUnknown:
		task.Errors++
		task.NotBefore = now + backoff(task.Errors+1)
	}
	cause := t.Cause
	if t.Saved {
		cause += ", progress saved"
	}
	a.led.MarkLost(p, cause)
}

// ownEnd reports whether a task ended by itself, and was not stopped, refused or
// left alone.
func ownEnd(cause string) bool {
	switch cause {
	case model.CauseStopped, model.CausePeerLost, model.CauseGangIncomplete, model.CauseNoRoom, model.CauseBusy, model.CauseUnknown:
		return false
	}
	return true
}

// avoidFor is how long a task keeps off the machine it failed on.
const avoidFor = time.Minute

// mostAgain bounds how often a task of a gang is started again in one attempt.
const mostAgain = 12

// again reports whether a task that has waited in vain for the others of its
// gang is to wait once more. Fetches of one image differ by more than the
// longest wait: if the gang were started anew each time, the slowest fetch
// would be given up each time, and the gang would never come together. The task
// keeps its attempt and its place; its image is there.
func (a *Actor) again(p *ledger.Placement) bool {
	j := p.Job
	if (!p.RestartPending && p.Retries >= mostAgain) || a.mayArrive(p.Host, p) {
		return false
	}
	if !ledger.Forming(j) {
		return false
	}
	if !p.RestartPending {
		p.RestartPending = true
		p.Retries++
	}
	return true
}

func backoff(n int) time.Duration {
	return min(time.Minute, time.Second<<min(n, 6))
}

// blame finds out who is at fault for an error: a machine on which tasks of
// several jobs fail, or a job that fails on several machines.
func (a *Actor) blame(p *ledger.Placement) {
	m := p.Host
	a.led.MarkFailed(p)
	if p.Job.Faulty() {
		return
	}
	if m.FailedJobs() >= 2 {
		a.env.Log().Info("machine set aside, tasks of several jobs failed on it", "machine", m.Name, "jobs", m.FailedJobs())
		m.NoPlacementBefore = a.env.Now() + time.Hour
		m.Leaving = true
	} else {
		m.NoPlacementBefore = max(m.NoPlacementBefore, a.env.Now()+10*time.Second)
	}
}

// vague is the gap between reports beyond which it isn't known closely when a
// task began or ended: a cut makes tasks look slow that are not.
func (a *Actor) vague() time.Duration { return 2 * a.cfg.Report }

// setAside has a machine returned on which tasks take much longer than the same
// jobs' tasks elsewhere. What can save goes on elsewhere at once.
func (a *Actor) setAside(m *ledger.Machine) {
	a.env.Log().Info("machine set aside, its tasks take much longer than elsewhere", "machine", m.Name, "factor", math.Round(100*m.Pace.Factor())/100)
	m.Leaving = true
	a.drain(m, "machine is too slow")
}
