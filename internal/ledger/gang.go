package ledger

import (
	"brooklb/internal/model"
)

// replaceable reports whether a lost task may be replaced within its gang's attempt. This
// requires that the gang has not begun to run, that none of its tasks is being stopped, and
// that the worker did not refuse the attempt, since it would still know it.
func (l *Ledger) replaceable(p *Placement, why string) bool {
	j := p.Job
	switch why {
	case model.CauseMachineLost, model.CauseWorkerRestarted, model.CauseError, model.CauseStopped, CauseReturned:
	default:
		return false
	}
	return Forming(j) && j.Placed > 0 && p.Durable && p.Phase != model.Running && p.Phase != model.Saving &&
		(why != model.CauseError || j.Tasks[p.Task].Errors <= 1 && !j.Faulty()) &&
		(why == model.CauseError || why == model.CauseStopped || gangStillWaiting(p))
}

// gangStillWaiting reports whether another machine with a task of the gang has reported later
// than the lost task's machine. If the gang had begun to run, that report would show it. When
// all machines are lost together, no report shows whether the gang ran, and a new leader doesn't
// know either. If an attempt that had run was started again under the same number, its tasks
// timed out waiting for one another until they had been started twelve times.
func gangStillWaiting(p *Placement) bool {
	for i := range p.Job.Tasks {
		if q := p.Job.Tasks[i].CurrentPlacement; q != nil && q != p && q.Host != p.Host && q.SeenInReport && q.Host.LastReport > p.Host.LastReport {
			return true
		}
	}
	return false
}

// Forming reports whether all tasks of the gang's attempt may still come to run together: the
// attempt has not begun to run, and none of its tasks is done or being stopped.
func Forming(j *Job) bool {
	if j.Spec.Kind != model.Gang || j.Final != Open || j.Disbanding || j.Started {
		return false
	}
	attempt := uint64(0)
	for i := range j.Tasks {
		q := j.Tasks[i].CurrentPlacement
		if j.Tasks[i].Done {
			return false
		}
		if q == nil {
			continue
		}
		if q.Stopping || q.Phase == model.Running || q.Phase == model.Saving || (attempt != 0 && q.Attempt != attempt) {
			return false
		}
		attempt = q.Attempt
	}
	return true
}

// StopIncompleteGang stops the tasks of a gang that has lacked a task for too long.
func (l *Ledger) StopIncompleteGang(j *Job) { l.disbandGang(j, "no replacement was found in time") }

// disbandGang stops the remaining tasks of a gang. The next attempt may begin once all tasks
// of the old one are gone.
func (l *Ledger) disbandGang(j *Job, why string) {
	j.Started, j.IncompleteSince = false, 0
	if j.Placed == 0 {
		j.Disbanding = false
		return
	}
	j.Disbanding = true
	for i := range j.Tasks {
		if p := j.Tasks[i].CurrentPlacement; p != nil && !p.Stopping {
			l.Stop(p, 0, "the gang lost a task: "+why)
		}
	}
}
