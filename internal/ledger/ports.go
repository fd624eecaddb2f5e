package ledger

// listenPort returns the port that a task listens on, or 0 if none is known.
func (j *Job) listenPort(task int) int {
	if j.Port > 0 && j.PerTask {
		return j.Port + task
	}
	return j.Port
}

// PortFree reports whether no task on the machine listens on the port of the task. An old and
// a new version of a service usually have the same ports. On one machine the new instance
// could not listen, or the old one would answer requests meant for it.
func (j *Job) PortFree(task int, m *Machine) bool {
	port := j.listenPort(task)
	if port == 0 {
		return true
	}
	for _, p := range m.Placements {
		if p.Job.Port > 0 && p.Job.listenPort(p.Task) == port {
			return false
		}
	}
	return true
}

// AnyPortFree reports whether the port of at least one idle task of the job is free on the
// machine.
func (j *Job) AnyPortFree(m *Machine) bool {
	if j.Port == 0 || len(m.Placements) == 0 {
		return true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.CurrentPlacement == nil && !t.Unwanted && !t.Done && j.PortFree(i, m) {
			return true
		}
	}
	return false
}
