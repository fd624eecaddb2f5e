package ledger

import (
	"math"

	"brooklb/internal/model"
	"brooklb/internal/units"
)

// ask is what a job asks of a counted resource, by its dense index.
type ask struct {
	i, n   int
	perJob bool
}

// resolve finds the resources that a job asks for.
func (l *Ledger) resolve(j *Job) {
	for _, u := range j.Spec.Units {
		i := l.Units.Index(u.Name)
		l.Units.All[i].Asked++
		j.asks = append(j.asks, ask{i, u.N, u.PerJob})
	}
}

// takeUnits gives a new placement its units. They are held like its room: from the
// plan, before anybody is told of it, to the proof that it is gone.
func (l *Ledger) takeUnits(p *Placement) {
	j := p.Job
	for _, u := range j.asks {
		r := l.Units.All[u.i]
		if j.Begun == 1 && j.Placed == 1 && !p.Inherited {
			r.Waited(l.env.Now() - j.Since)
		}
		switch {
		case !u.perJob:
			r.Take(p, j.Spec.Team, j.Spec.Priority, u.n)
		case j.Placed == 1: // its first
			r.Take(j, j.Spec.Team, j.Spec.Priority, u.n)
		}
	}
}

// giveUnits takes the units of a placement back that is proven gone.
func (l *Ledger) giveUnits(p *Placement) {
	j := p.Job
	for _, u := range j.asks {
		r := l.Units.All[u.i]
		switch {
		case !u.perJob:
			r.Give(p, j.Spec.Team, j.Spec.Priority)
		case j.Placed == 0: // its last
			r.Give(j, j.Spec.Team, j.Spec.Priority)
		}
	}
}

// Over reports whether more is held than there is of something that the placement
// holds, too: of its team's limit or of a counted resource.
func (l *Ledger) Over(p *Placement) bool {
	j := p.Job
	if t := l.Teams[j.Spec.Team]; t != nil && !t.Within(model.Need{}) {
		return true
	}
	for _, u := range j.asks {
		if r := l.Units.All[u.i]; r.Used > r.There() {
			return true
		}
	}
	return false
}

// Asks reports whether the job asks for counted resources.
func (j *Job) Asks() bool { return len(j.asks) > 0 }

// UnitsFor is how many more of the job's tasks there are units for now.
func (l *Ledger) UnitsFor(j *Job) int {
	n := math.MaxInt32
	for _, u := range j.asks {
		free := l.Units.All[u.i].Free(j.Spec.Team, j.Spec.Priority)
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

// Short is the first resource of which there are not units enough for n more tasks
// of the job, and how many it would need; nil if there are of all.
func (l *Ledger) Short(j *Job, n int) (r *units.Resource, need int) {
	for _, u := range j.asks {
		x, need := l.Units.All[u.i], u.n*n
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

// Each calls f for every resource that n more tasks of the job take units of.
func (l *Ledger) Each(j *Job, n int, f func(r *units.Resource, need int)) {
	for _, u := range j.asks {
		switch {
		case !u.perJob:
			f(l.Units.All[u.i], u.n*n)
		case j.Placed == 0:
			f(l.Units.All[u.i], u.n)
		}
	}
}

// SomeUnits is for how many of n tasks there would be units if what use has were
// taken, which it adds: machines for tasks that wait for units would stand idle.
func (l *Ledger) SomeUnits(j *Job, n int, use map[*units.Resource]int) int {
	wanted := n
	for _, u := range j.asks {
		r := l.Units.All[u.i]
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
		l.Each(j, n, func(r *units.Resource, need int) { use[r] += need })
	}
	return n
}
