package ledger

import (
	"fmt"
	"time"

	"brooklb/internal/model"
)

// failures counts the tasks of a job that ended with an error. The cause may be a faulty
// machine or the job itself: a job that was submitted with a mistake fails on every machine
// until its user cancels it.
type failures struct {
	machines         map[*Machine]bool // machines on which tasks failed since a task was last done
	total            int               // all failures of the job
	runningElsewhere int               // tasks that ran on other machines when the last one failed
	pauses           int               // number of pauses so far, which sets the length of the next one
	nextTrial        time.Duration     // time of the next trial
	longestRun       time.Duration     // the longest that a task ran before it failed
}

const (
	// A job is at fault when its tasks failed on at least this many machines and none was done.
	faultyJobMachines = 2
	// The pause between trials of a job at fault doubles from minTrialPause to maxTrialPause.
	// Faulty machines can make a healthy job look faulty. Such a job must not wait long once
	// the machines are gone: users accept at most 90 s while a machine has room.
	minTrialPause = 10 * time.Second
	maxTrialPause = 45 * time.Second
	// A machine may be rented for a trial that has found no room for this long.
	rentForTrialAfter = 5 * time.Minute
	// A trial is healthy when it has run longer than healthyRunFactor times the longest failed
	// run, plus healthyRunMargin. A service's tasks are never done, and a job with long tasks
	// should not wait for one to end.
	healthyRunFactor, healthyRunMargin = 2, 5 * time.Second
)

// Faulty reports whether the job itself seems to be at fault. Such a job is tried again
// indefinitely with growing pauses, since the cause may disappear. No machine is rented or
// reserved for it and no other task is stopped for it, except as MayRentForTrial allows.
// A job with a mistake fails on every machine. If at least as many of its tasks run elsewhere
// as there are machines with failures, the machines are at fault. A wide array of short tasks
// may meet several faulty machines before any task is done: 36 healthy jobs were delayed that
// way.
func (j *Job) Faulty() bool {
	return len(j.failures.machines) >= max(faultyJobMachines, j.failures.runningElsewhere+1)
}

// TrialDue reports whether a job at fault may be tried now, with one task of an array or all
// tasks of a gang. It is also true for a gang during its trial, so that a lost task is replaced
// or the gang is stopped. Otherwise the other tasks waited for the lost one twelve times 30 s.
func (j *Job) TrialDue(now time.Duration) bool {
	return now >= j.failures.nextTrial && j.Placed == 0 || j.Spec.Kind == model.Gang && j.Placed > 0
}

// MayRentForTrial reports whether a machine may be rented for a job at fault, because it has
// found no room for a trial for rentForTrialAfter. There may be no machine left.
func (j *Job) MayRentForTrial(now time.Duration) bool {
	return j.Faulty() && j.Placed == 0 && now >= j.failures.nextTrial+rentForTrialAfter
}

// MarkFailed records that a task ended with an error.
func (l *Ledger) MarkFailed(p *Placement) {
	j, m := p.Job, p.Host
	f := &j.failures
	if p.RunSince > 0 {
		f.longestRun = max(f.longestRun, l.env.Now()-p.RunSince)
	}
	wasFaulty := j.Faulty()
	if f.machines == nil {
		f.machines = map[*Machine]bool{}
	}
	f.total++
	f.machines[m] = true
	f.runningElsewhere = 0
	for i := range j.Tasks {
		if p := j.Tasks[i].CurrentPlacement; p != nil && p.Host != m && p.Phase == model.Running && !f.machines[p.Host] {
			f.runningElsewhere++
		}
	}
	if !j.Faulty() {
		m.AddFailedJob(j)
		return
	}
	now := l.env.Now()
	if !wasFaulty || now >= f.nextTrial {
		f.nextTrial = now + min(maxTrialPause, minTrialPause<<min(f.pauses, 10))
		f.pauses++
	}
	if !wasFaulty {
		l.env.Log().Info("job fails on several machines, retrying it with growing pauses", "job", j.Spec.ID, "class", j.Spec.Class,
			"team", j.Spec.Team, "failures", f.total, "machines", len(f.machines))
	}
	// The job is at fault, so its failures no longer count against the machines.
	for m := range f.machines {
		m.removeFailedJob(j)
	}
}

// MarkRunning records that a task is still running. If it has run much longer than those that
// failed, its job is healthy.
func (l *Ledger) MarkRunning(p *Placement) {
	if f := &p.Job.failures; p.Job.Faulty() && p.RunSince > 0 && l.env.Now()-p.RunSince > healthyRunFactor*f.longestRun+healthyRunMargin {
		l.MarkHealthy(p.Job)
	}
}

// MarkHealthy records that a task of the job was done, or has run longer than a job with a
// mistake would.
func (l *Ledger) MarkHealthy(j *Job) {
	if j.Faulty() {
		l.env.Log().Info("job recovered after failing on several machines", "job", j.Spec.ID, "failures", j.failures.total)
	}
	j.failures = failures{total: j.failures.total}
}

// FaultReason returns the reason, for users, why a job at fault is retried with long pauses. It
// returns "" for other jobs.
func (j *Job) FaultReason() string {
	if !j.Faulty() {
		return ""
	}
	return fmt.Sprintf("it failed %d times, on %d machines: the job itself seems to be at fault, it is tried again with growing pauses", j.failures.total, len(j.failures.machines))
}

// AddFailedJob records that a task of the job failed on the machine.
func (m *Machine) AddFailedJob(j *Job) {
	if m.failedJobs == nil {
		m.failedJobs = map[*Job]bool{}
	}
	m.failedJobs[j] = true
}

// FailedJobs returns how many jobs have failed on the machine since a task was last done
// there. Jobs at fault do not count.
func (m *Machine) FailedJobs() int { return len(m.failedJobs) }

// ClearFailedJobs records that a task was done on the machine.
func (m *Machine) ClearFailedJobs() { m.failedJobs = nil }

func (m *Machine) removeFailedJob(j *Job) {
	if m.failedJobs[j] {
		delete(m.failedJobs, j)
		if len(m.failedJobs) == 0 && !m.Leaving && !m.InterruptionNotice {
			m.NoPlacementBefore = 0
		}
	}
}
