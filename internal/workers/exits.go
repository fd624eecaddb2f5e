package workers

import (
	"math"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// handleExit updates the ledger after a task has exited.
func (a *Actor) handleExit(p *ledger.Placement, t model.TaskReport) {
	now := a.env.Now()
	j, m := p.Job, p.Host
	task := &j.Tasks[p.Task]
	if j.Spec.Kind == model.Service && a.OnServiceExit != nil && endedByItself(t.Cause) {
		a.OnServiceExit(p, t.Cause)
	}
	switch t.Cause {
	case model.CauseDone:
		task.Errors = 0
		m.ClearFailedJobs()
		if m.ReportGap <= a.maxReportGap() {
			a.led.LearnRunTime(p)
		}
		a.led.MarkFinished(j, p.Task)
		if m.Pace.TooSlow() && !m.Leaving {
			a.retireSlowMachine(m)
		}
		return
	case model.CauseError:
		task.Errors++
		task.NotBefore = now + backoff(task.Errors)
		task.Avoid(m, task.NotBefore+avoidFor)
		if j.Spec.Kind == model.Service && p.RunSince > 0 && now-p.RunSince > time.Minute {
			a.led.MarkHealthy(j)
		}
		a.assignFault(p)
	case model.CauseGangIncomplete:
		if a.retryGangWait(p) {
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

// endedByItself reports whether a task ended by itself: it was not stopped or refused, and
// did not give up waiting for the other tasks of its gang.
func endedByItself(cause string) bool {
	switch cause {
	case model.CauseStopped, model.CausePeerLost, model.CauseGangIncomplete, model.CauseNoRoom, model.CauseBusy, model.CauseUnknown:
		return false
	}
	return true
}

// avoidFor is how long a task is not placed on the machine it failed on.
const avoidFor = time.Minute

// maxGangWaitRetries bounds how often a task of a gang is started again in one attempt.
const maxGangWaitRetries = 12

// retryGangWait reports whether a task whose wait for the rest of its gang timed out is
// to be started again. The times to fetch an image differ by more than the longest wait: a
// gang that is restarted as a whole abandons its slowest fetch each time and never starts.
// The task keeps its attempt and its machine, which has the image.
func (a *Actor) retryGangWait(p *ledger.Placement) bool {
	j := p.Job
	if (!p.RestartPending && p.Retries >= maxGangWaitRetries) || a.startMayArrive(p.Host, p) {
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

// assignFault decides whether the machine or the job is at fault for a task's error: a
// machine on which tasks of several jobs fail, or a job that fails on several machines.
func (a *Actor) assignFault(p *ledger.Placement) {
	m := p.Host
	a.led.MarkFailed(p)
	if p.Job.Faulty() {
		return
	}
	if m.FailedJobs() >= 2 {
		a.env.Log().Info("machine takes no new tasks and will be returned, tasks of several jobs failed on it", "machine", m.Name, "jobs", m.FailedJobs())
		m.NoPlacementBefore = a.env.Now() + time.Hour
		m.Leaving = true
	} else {
		m.NoPlacementBefore = max(m.NoPlacementBefore, a.env.Now()+10*time.Second)
	}
}

// maxReportGap is the longest gap between two reports after which the start or end time
// of a task is precise enough to measure its run time. After a network partition tasks
// would look slower than they are.
func (a *Actor) maxReportGap() time.Duration { return 2 * a.cfg.ReportInterval }

// retireSlowMachine has a machine returned on which tasks take much longer than tasks of
// the same jobs on other machines. Tasks that can save their progress move at once.
func (a *Actor) retireSlowMachine(m *ledger.Machine) {
	a.env.Log().Info("draining machine, its tasks take much longer than on other machines", "machine", m.Name, "factor", math.Round(100*m.Pace.Factor())/100)
	m.Leaving = true
	a.drain(m, "machine is too slow")
}
