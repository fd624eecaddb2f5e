package scale

import (
	"math"
	"slices"

	"brooklb/internal/dev"
)

// figure is something measured in a run that grows with the cluster's size.
type figure struct {
	name, unit string
	of         func(r *Result) float64
	// perWorker: of is the sum of all workers, the estimate is for one of them.
	perWorker bool
}

func (r *Result) role(role Role) RoleResult {
	for _, x := range r.Roles {
		if x.Role == role {
			return x
		}
	}
	return RoleResult{}
}

// sum adds a figure up over all controllers.
func (r *Result) sum(of func(RoleResult) float64) (sum float64) {
	for _, x := range r.Roles {
		sum += float64(x.Processes) * of(x)
	}
	return sum
}

// figures are what grows with a cluster's size and can be added up.
func figures() []figure {
	leader := func(r *Result) RoleResult { return r.role(RoleLeader) }
	other := func(r *Result) RoleResult { return r.role(RoleOther) }
	both := func(x Rates) float64 { return (x.ToController + x.FromController) / 1000 }
	workers := func(r *Result) float64 { return float64(r.AtEnd.Workers) }
	return []figure{
		{"leader, processor", "cores", func(r *Result) float64 { return leader(r).CPU }, false},
		{"leader, memory", "MB", func(r *Result) float64 { return leader(r).MemMB }, false},
		{"leader, sockets", "", func(r *Result) float64 { return leader(r).Sockets }, false},
		{"leader, reports", "/s", func(r *Result) float64 { return leader(r).Interfaces[dev.Reports].Messages }, false},
		{"leader, reports", "KB/s", func(r *Result) float64 { return both(leader(r).Interfaces[dev.Reports]) }, false},
		{"leader, direct orders", "/s", func(r *Result) float64 { return leader(r).Interfaces[dev.Orders].Messages }, false},
		{"leader, direct orders", "KB/s", func(r *Result) float64 { return both(leader(r).Interfaces[dev.Orders]) }, false},
		{"leader, state service", "KB/s", func(r *Result) float64 { return both(leader(r).Interfaces[dev.State]) }, false},
		{"leader, cloud", "calls/s", func(r *Result) float64 { return leader(r).Interfaces[dev.Cloud].Messages }, false},
		{"leader, cloud", "KB/s", func(r *Result) float64 { return both(leader(r).Interfaces[dev.Cloud]) }, false},
		{"other controller, processor", "cores", func(r *Result) float64 { return other(r).CPU }, false},
		{"other controller, memory", "MB", func(r *Result) float64 { return other(r).MemMB }, false},
		{"other controller, sockets", "", func(r *Result) float64 { return other(r).Sockets }, false},
		{"other controller, users", "/s", func(r *Result) float64 { return other(r).Interfaces[dev.Users].Messages }, false},
		{"other controller, users", "KB/s", func(r *Result) float64 { return both(other(r).Interfaces[dev.Users]) }, false},
		{"other controller, state service", "KB/s", func(r *Result) float64 { return both(other(r).Interfaces[dev.State]) }, false},
		{"all controllers among themselves", "/s", func(r *Result) float64 {
			return r.sum(func(x RoleResult) float64 { return x.Interfaces[dev.Peers].Messages })
		}, false},
		{"all controllers among themselves", "KB/s", func(r *Result) float64 {
			return r.sum(func(x RoleResult) float64 { return both(x.Interfaces[dev.Peers]) })
		}, false},
		{"state service, requests", "/s", func(r *Result) float64 { return r.State.Requests }, false},
		{"state service, changes", "/s", func(r *Result) float64 { return r.State.Changes }, false},
		{"state service, keys", "", func(r *Result) float64 { return float64(r.State.Keys) }, false},
		{"state service, in", "KB/s", func(r *Result) float64 { return r.State.In / 1000 }, false},
		{"state service, out", "KB/s", func(r *Result) float64 { return r.State.Out / 1000 }, false},
		{"all workers' messages", "B/s", func(r *Result) float64 { return r.Worker.BytesPerS * workers(r) }, true},
		{"all hollow workers, processor", "% of a core", func(r *Result) float64 { return r.Worker.CPUPercent * workers(r) }, true},
		{"all hollow workers, memory", "MB", func(r *Result) float64 { return r.Worker.MemMB * workers(r) }, true},
	}
}

// fit is a straight line through measured points.
type fit struct {
	slope, base float64
	residual    float64 // the largest distance of a point from the line
	from, to    float64 // where it was measured
}

// fitLine finds the line of least squares.
func fitLine(xs, ys []float64) fit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	f := fit{from: slices.Min(xs), to: slices.Max(xs)}
	if d := n*sxx - sx*sx; d != 0 {
		f.slope = (n*sxy - sx*sy) / d
	}
	f.base = (sy - f.slope*sx) / n
	for i := range xs {
		f.residual = max(f.residual, math.Abs(ys[i]-f.base-f.slope*xs[i]))
	}
	return f
}

// series is what was measured of a figure while one variable was varied.
func (s *Slopes) series(v Variable, of func(*Result) float64) (xs, ys []float64) {
	for _, p := range s.Points {
		if p.Variable == v && p.Result != nil {
			xs, ys = append(xs, p.X), append(ys, of(p.Result))
		}
	}
	return xs, ys
}

// scatter is the mean and the largest distance from it of a figure in the runs of the
// middle.
func (s *Slopes) scatter(of func(*Result) float64) (mean, most float64) {
	_, ys := s.series("", of)
	for _, y := range ys {
		mean += y / float64(len(ys))
	}
	for _, y := range ys {
		most = max(most, math.Abs(y-mean))
	}
	return mean, most
}

// sizes are a profile's values of the variables.
func (p *Profile) sizes() map[Variable]float64 {
	l := &p.Load
	return map[Variable]float64{VaryWorkers: float64(p.Cluster.Workers), VaryTasks: float64(l.RunningTasks), VaryStarts: l.StartsPerS,
		VaryJobs: l.batchJobsPerS() + l.UrgentPerS + l.GangsPerMinute/60, VaryTeams: float64(p.Cluster.Teams), VaryGang: float64(l.GangTasks),
		VaryEnded: float64(l.EndedJobs), VaryChanges: l.ChangesPerDay, VaryControllers: float64(p.Cluster.Controllers)}
}

// estimate adds up, from the middle, what each variable's slope gives at another size. A
// slope that is no larger than the scatter counts as none.
func (s *Slopes) estimate(of func(*Result) float64, at *Profile) float64 {
	sum, scatter := s.scatter(of)
	from, to := s.Base.sizes(), at.sizes()
	for _, t := range allSeries() {
		if f, ok := s.significant(t.variable, of, scatter); ok {
			sum += f.slope * (to[t.variable] - from[t.variable])
		}
	}
	return max(0, sum)
}

// together is what a figure is at a size along the line of all sizes together, with the
// slope of the number of controllers, which small fractions don't have.
func (s *Slopes) together(of func(*Result) float64, planned *Profile, fraction float64) (float64, bool) {
	xs, ys := s.series(VaryFraction, of)
	if len(xs) < 2 {
		return 0, false
	}
	line := fitLine(xs, ys)
	x := line.base + line.slope*fraction
	_, scatter := s.scatter(of)
	if c, ok := s.significant(VaryControllers, of, scatter); ok {
		x += c.slope * (float64(planned.Cluster.Controllers) - leastControllers)
	}
	return max(0, x), true
}

// significant is the line of a variable; false if the figure moves over the whole series by
// no more than twice the scatter of equal runs and the distance of its points.
func (s *Slopes) significant(v Variable, of func(*Result) float64, scatter float64) (fit, bool) {
	xs, ys := s.series(v, of)
	if len(xs) < 2 {
		return fit{}, false
	}
	f := fitLine(xs, ys)
	return f, math.Abs(f.slope)*(f.to-f.from) > 2*max(scatter, f.residual)
}
