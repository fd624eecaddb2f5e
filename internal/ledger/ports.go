package ledger

// listens is the port that a task listens on, 0 if none is known.
func (j *Job) listens(task int) int {
	if j.Port > 0 && j.PerTask {
		return j.Port + task
	}
	return j.Port
}

// PortFree reports whether nothing on the machine listens on the port of the task.
// An old and a new version of a service mostly have the same ports: on one machine
// the new instance could not listen, or the old one would answer for it.
func (j *Job) PortFree(task int, m *Machine) bool {
	port := j.listens(task)
	if port == 0 {
		return true
	}
	for _, p := range m.P {
		if p.Job.Port > 0 && p.Job.listens(p.Task) == port {
			return false
		}
	}
	return true
}

// MayListen reports whether some idle task of the job finds its port free on the
// machine.
func (j *Job) MayListen(m *Machine) bool {
	if j.Port == 0 || len(m.P) == 0 {
		return true
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.P == nil && !t.Off && !t.Done && j.PortFree(i, m) {
			return true
		}
	}
	return false
}
