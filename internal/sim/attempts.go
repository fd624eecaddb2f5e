package sim

import "time"

// teamUse is the use of resources by the tasks of a team that have not ended.
type teamUse struct{ cpus, gpus float64 }

// addAttempt puts an attempt on the machine.
func (m *Machine) addAttempt(r *runner) {
	m.tasks[r.key] = r
	if r.job.attempts == nil {
		r.job.attempts = map[*runner]struct{}{}
	}
	r.job.attempts[r] = struct{}{}
	m.w.addUse(r, 1)
}

// removeAttempt removes an attempt from the machine.
func (m *Machine) removeAttempt(r *runner) {
	delete(m.tasks, r.key)
	delete(r.job.attempts, r)
}

// addUse adds (sign 1) or removes (sign -1) the resources of a task in its team's use.
func (w *World) addUse(r *runner, sign float64) {
	u := w.use[r.job.team]
	if u == nil {
		u = &teamUse{}
		w.use[r.job.team] = u
	}
	u.cpus += sign * r.job.cpus
	u.gpus += sign * r.job.gpus
}

// TaskEventKind is the kind of a TaskEvent.
type TaskEventKind uint8

// The kinds of task events: the worker executed the task's start command; the task runs.
const (
	TaskStarted TaskEventKind = iota
	TaskRunning
)

// TaskEvent is something that happened to a task on a machine.
type TaskEvent struct {
	Kind      TaskEventKind
	Job       string
	Class     string
	Task      int
	Tasks     int           // of the job
	Submitted time.Duration // when its user first submitted the job
	At        time.Duration
}

// emitTaskEvent calls OnTask with a task event.
func (w *World) emitTaskEvent(kind TaskEventKind, r *runner) {
	if w.OnTask != nil {
		w.OnTask(TaskEvent{kind, r.job.id, r.job.class, r.task, r.job.tasks, r.job.Submitted, w.now})
	}
}
