package ledger

import (
	"math"

	"brooklb/internal/model"
	"brooklb/internal/units"
)

// unitRequest is a job's request for n units of a counted resource, given by its index in the
// term's units.Inventory.
type unitRequest struct {
	resource, n int
	perJob      bool
}

// resolveUnits finds the counted resources that a job requests.
func (l *Ledger) resolveUnits(j *Job) {
	for _, u := range j.Spec.Units {
		i := l.Units.Index(u.Name)
		l.Units.All[i].RequestingJobs++
		j.unitRequests = append(j.unitRequests, unitRequest{i, u.Quantity, u.PerJob})
	}
}

// acquireUnits allocates the units of a new placement. Like its machine's resources, they are
// held from the time it is planned until it is proven gone.
func (l *Ledger) acquireUnits(p *Placement) {
	j := p.Job
	for _, u := range j.unitRequests {
		r := l.Units.All[u.resource]
		if j.EverPlaced == 1 && j.Placed == 1 && !p.Inherited {
			r.RecordWait(l.env.Now() - j.AcceptedAt)
		}
		switch {
		case !u.perJob:
			r.Take(p, j.Spec.Team, j.Spec.Priority, u.n)
		case j.Placed == 1: // its first placement
			r.Take(j, j.Spec.Team, j.Spec.Priority, u.n)
		}
	}
}

// releaseUnits frees the units of a placement that is proven gone.
func (l *Ledger) releaseUnits(p *Placement) {
	j := p.Job
	for _, u := range j.unitRequests {
		r := l.Units.All[u.resource]
		switch {
		case !u.perJob:
			r.Release(p, j.Spec.Team, j.Spec.Priority)
		case j.Placed == 0: // its last placement
			r.Release(j, j.Spec.Team, j.Spec.Priority)
		}
	}
}

// OverLimit reports whether the placement's team exceeds its limit, or whether more units are
// held than exist of a counted resource that its job requests.
func (l *Ledger) OverLimit(p *Placement) bool {
	j := p.Job
	if t := l.Teams[j.Spec.Team]; t != nil && !t.WithinLimit(model.Resources{}) {
		return true
	}
	for _, u := range j.unitRequests {
		if r := l.Units.All[u.resource]; r.Used > r.Capacity() {
			return true
		}
	}
	return false
}

// RequestsUnits reports whether the job requests counted resources.
func (j *Job) RequestsUnits() bool { return len(j.unitRequests) > 0 }

// TasksWithinUnits returns for how many more of the job's tasks units are free now.
func (l *Ledger) TasksWithinUnits(j *Job) int {
	n := math.MaxInt32
	for _, u := range j.unitRequests {
		free := l.Units.All[u.resource].Free(j.Spec.Team, j.Spec.Priority)
		switch {
		case u.perJob && j.Placed > 0:
		case u.perJob:
			if free < u.n {
				n = 0
			}
		default:
			n = min(n, max(0, free)/u.n)
		}
	}
	return n
}

// FirstShortage returns the first counted resource that has too few free units for n more tasks
// of the job, and how many units they need. It returns nil if all have enough.
func (l *Ledger) FirstShortage(j *Job, n int) (r *units.Resource, need int) {
	for _, u := range j.unitRequests {
		x, need := l.Units.All[u.resource], u.n*n
		if u.perJob {
			if j.Placed > 0 {
				continue
			}
			need = u.n
		}
		if x.Free(j.Spec.Team, j.Spec.Priority) < need {
			return x, need
		}
	}
	return nil, 0
}

// EachUnitNeed calls f for every counted resource of which n more tasks of the job need units.
func (l *Ledger) EachUnitNeed(j *Job, n int, f func(r *units.Resource, need int)) {
	for _, u := range j.unitRequests {
		switch {
		case !u.perJob:
			f(l.Units.All[u.resource], u.n*n)
		case j.Placed == 0:
			f(l.Units.All[u.resource], u.n)
		}
	}
}

// AllotUnits returns for how many of n tasks units are free besides those already counted in the
// map use, and adds the units of these tasks to the map. Only these tasks need a machine: a machine
// for a task that waits for units would stand idle.
func (l *Ledger) AllotUnits(j *Job, n int, use map[*units.Resource]int) int {
	wanted := n
	for _, u := range j.unitRequests {
		r := l.Units.All[u.resource]
		free := r.Free(j.Spec.Team, j.Spec.Priority) - use[r]
		switch {
		case !u.perJob:
			n = min(n, max(0, free)/u.n)
		case j.Placed == 0 && free < u.n:
			n = 0
		}
	}
	if n < wanted && j.Spec.Kind == model.Gang {
		n = 0
	}
	if n > 0 {
		l.EachUnitNeed(j, n, func(r *units.Resource, need int) { use[r] += need })
	}
	return n
}
