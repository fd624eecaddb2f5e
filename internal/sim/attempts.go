package sim

import "time"

// teamUse is what the tasks of a team use that have not ended.
type teamUse struct{ cpus, gpus float64 }

// add puts an attempt on the machine.
func (m *Machine) add(r *runner) {
	m.tasks[r.key] = r
	if r.job.attempts == nil {
		r.job.attempts = map[*runner]struct{}{}
	}
	r.job.attempts[r] = struct{}{}
	m.w.addUse(r, 1)
}

// forget removes an attempt from the machine.
func (m *Machine) forget(r *runner) {
	delete(m.tasks, r.key)
	delete(r.job.attempts, r)
}

// addUse counts a task for its team (1), or no more (-1).
func (w *World) addUse(r *runner, sign float64) {
	u := w.use[r.job.team]
	if u == nil {
		u = &teamUse{}
		w.use[r.job.team] = u
	}
	u.cpus += sign * r.job.cpus
	u.gpus += sign * r.job.gpus
}

// TaskEventKind is what happened to a task.
type TaskEventKind uint8

// The kinds of task events: its start command was carried out, it runs.
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
	Submitted time.Duration // when its user first asked
	At        time.Duration
}

// tell hands a task event to whoever watches the world.
func (w *World) tell(kind TaskEventKind, r *runner) {
	if w.OnTask != nil {
		w.OnTask(TaskEvent{kind, r.job.id, r.job.class, r.task, r.job.tasks, r.job.Submitted, w.now})
	}
}
