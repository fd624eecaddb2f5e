package ledger

import (
	"fmt"
	"time"

	"brooklb/internal/model"
)

// faults is what was seen of a job's tasks that ended with an error. A machine
// may be at fault, or the job itself: one that was submitted with a mistake
// fails wherever it runs, until its user cancels it.
type faults struct {
	on     map[*Machine]bool // machines that tasks failed on since one was done
	count  int               // in all
	well   int               // tasks that ran elsewhere when the last one failed
	trials int               // in vain since it was seen to be the job's fault
	next   time.Duration     // the next trial
	ran    time.Duration     // the longest that a task ran before it failed
}

const (
	// A job is at fault when its tasks failed on so many machines, none done.
	faultMachines = 2
	// The pause between trials of a job at fault doubles from the one to the other. Faulty
	// machines make healthy jobs look so, which must not wait for long once they are gone: the
	// users bear 90 s beside a machine with room.
	trialPause = 10 * time.Second
	mostPause  = 45 * time.Second
	// When a trial has found no room for so long, a machine may be rented for it.
	rentAfter = 5 * time.Minute
	// A trial that has run for so many times as long as any task that failed, and so much
	// longer, is well: a service is never done, and a long task's job need not wait for its end.
	wellTimes, wellAfter = 2, 5 * time.Second
)

// Faulty reports whether the job itself seems to be at fault. It is then tried
// again with growing pauses and without an end, in case that circumstances mend
// it, but has no claim on anything: nothing is rented, stopped or kept for it.
// A job with a mistake fails everywhere: one of which more tasks run still than machines
// failed is well, and landed on faulty machines. Wide arrays of short tasks do, on several
// at once and before any task is done (connect, inc-9386: 36 jobs held up for nothing).
func (j *Job) Faulty() bool { return len(j.faults.on) >= max(faultMachines, j.faults.well+1) }

// Trial reports whether a job at fault may be tried now: one task of an array,
// the whole of a gang. A gang that lost a task during its trial gets another for it, or is
// given up: the others waited for it in vain, twelve times 30 s.
func (j *Job) Trial(now time.Duration) bool {
	return now >= j.faults.next && j.Placed == 0 || j.Spec.Kind == model.Gang && j.Placed > 0
}

// Overdue reports whether a job at fault has found no room for a trial for so
// long that a machine may be rented for it: there may be none left.
func (j *Job) Overdue(now time.Duration) bool {
	return j.Faulty() && j.Placed == 0 && now >= j.faults.next+rentAfter
}

// Failed notes that a task of the job ended with an error.
func (l *Ledger) Failed(p *Placement) {
	j, m := p.Job, p.M
	f := &j.faults
	if p.RunSince > 0 {
		f.ran = max(f.ran, l.env.Now()-p.RunSince)
	}
	was := j.Faulty()
	if f.on == nil {
		f.on = map[*Machine]bool{}
	}
	f.count++
	f.on[m] = true
	f.well = 0
	for i := range j.Tasks {
		if p := j.Tasks[i].P; p != nil && p.M != m && p.Phase == model.Running && !f.on[p.M] {
			f.well++
		}
	}
	if !j.Faulty() {
		m.Blame(j)
		return
	}
	now := l.env.Now()
	if !was || now >= f.next {
		f.next = now + min(mostPause, trialPause<<min(f.trials, 10))
		f.trials++
	}
	if !was {
		l.env.Log().Info("job fails on several machines, tried seldom from now on", "job", j.Spec.ID, "class", j.Spec.Class,
			"team", j.Spec.Team, "failures", f.count, "machines", len(f.on))
	}
	// No machine is worse for it.
	for m := range f.on {
		m.forgive(j)
	}
}

// Runs hears that a task runs still: one that has run for much longer than those that failed
// shows that its job is well.
func (l *Ledger) Runs(p *Placement) {
	if f := &p.Job.faults; p.Job.Faulty() && p.RunSince > 0 && l.env.Now()-p.RunSince > wellTimes*f.ran+wellAfter {
		l.Worked(p.Job)
	}
}

// Worked notes that a task of the job was done, or has run as long as one that
// was submitted with a mistake would not.
func (l *Ledger) Worked(j *Job) {
	if j.Faulty() {
		l.env.Log().Info("job runs after all", "job", j.Spec.ID, "failures", j.faults.count)
	}
	j.faults = faults{count: j.faults.count}
}

// Fault tells a user why a job that fails everywhere is tried seldom; "" for others.
func (j *Job) Fault() string {
	if !j.Faulty() {
		return ""
	}
	return fmt.Sprintf("it failed %d times, on %d machines: the job itself seems to be at fault, it is tried again with growing pauses", j.faults.count, len(j.faults.on))
}

// Blame notes a machine on which a task of the job failed.
func (m *Machine) Blame(j *Job) {
	if m.blamed == nil {
		m.blamed = map[*Job]bool{}
	}
	m.blamed[j] = true
}

// Suspects is how many jobs have failed on the machine that are not at fault
// themselves, since something was done there.
func (m *Machine) Suspects() int { return len(m.blamed) }

// Clear notes that a task was done on the machine.
func (m *Machine) Clear() { m.blamed = nil }

func (m *Machine) forgive(j *Job) {
	if m.blamed[j] {
		delete(m.blamed, j)
		if len(m.blamed) == 0 && !m.Leaving && !m.Notice {
			m.NoPlace = 0
		}
	}
}
