package scale

import (
	"math"
	"slices"

	"brooklb/internal/dev"
)

// metric is a measured quantity that grows with the cluster's size.
type metric struct {
	name, unit string
	value      func(r *Result) float64
	// perWorker means that value sums over all workers, while the estimate is for one worker.
	perWorker bool
}

// role returns the result of the controllers in a role, or an empty one if there is none.
func (r *Result) role(role Role) RoleResult {
	for _, x := range r.Roles {
		if x.Role == role {
			return x
		}
	}
	return RoleResult{}
}

// sum adds up a value over all controllers. The value of each role is a mean per controller.
func (r *Result) sum(value func(RoleResult) float64) (sum float64) {
	for _, x := range r.Roles {
		sum += float64(x.Processes) * value(x)
	}
	return sum
}

// metrics lists the metrics for which the contributions of the single sizes can be added up.
// "Hollow workers" in their names are simulated workers whose tasks only wait.
func metrics() []metric {
	leader := func(r *Result) RoleResult { return r.role(RoleLeader) }
	other := func(r *Result) RoleResult { return r.role(RoleOther) }
	totalKB := func(x Rates) float64 { return (x.ToController + x.FromController) / 1000 }
	workers := func(r *Result) float64 { return float64(r.AtEnd.Workers) }
	return []metric{
		{"leader, processor", "cores", func(r *Result) float64 { return leader(r).CPU }, false},
		{"leader, memory", "MB", func(r *Result) float64 { return leader(r).MemMB }, false},
		{"leader, sockets", "", func(r *Result) float64 { return leader(r).Sockets }, false},
		{"leader, reports", "/s", func(r *Result) float64 { return leader(r).Interfaces[dev.Reports].Messages }, false},
		{"leader, reports", "KB/s", func(r *Result) float64 { return totalKB(leader(r).Interfaces[dev.Reports]) }, false},
		{"leader, direct orders", "/s", func(r *Result) float64 { return leader(r).Interfaces[dev.Orders].Messages }, false},
		{"leader, direct orders", "KB/s", func(r *Result) float64 { return totalKB(leader(r).Interfaces[dev.Orders]) }, false},
		{"leader, state service", "KB/s", func(r *Result) float64 { return totalKB(leader(r).Interfaces[dev.State]) }, false},
		{"leader, cloud", "calls/s", func(r *Result) float64 { return leader(r).Interfaces[dev.Cloud].Messages }, false},
		{"leader, cloud", "KB/s", func(r *Result) float64 { return totalKB(leader(r).Interfaces[dev.Cloud]) }, false},
		{"other controller, processor", "cores", func(r *Result) float64 { return other(r).CPU }, false},
		{"other controller, memory", "MB", func(r *Result) float64 { return other(r).MemMB }, false},
		{"other controller, sockets", "", func(r *Result) float64 { return other(r).Sockets }, false},
		{"other controller, users", "/s", func(r *Result) float64 { return other(r).Interfaces[dev.Users].Messages }, false},
		{"other controller, users", "KB/s", func(r *Result) float64 { return totalKB(other(r).Interfaces[dev.Users]) }, false},
		{"other controller, state service", "KB/s", func(r *Result) float64 { return totalKB(other(r).Interfaces[dev.State]) }, false},
		{"all controllers among themselves", "/s", func(r *Result) float64 {
			return r.sum(func(x RoleResult) float64 { return x.Interfaces[dev.Peers].Messages })
		}, false},
		{"all controllers among themselves", "KB/s", func(r *Result) float64 {
			return r.sum(func(x RoleResult) float64 { return totalKB(x.Interfaces[dev.Peers]) })
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

// fit is a straight line fitted to measured points.
type fit struct {
	slope, intercept         float64
	residual                 float64 // largest distance of a point from the line
	measuredFrom, measuredTo float64 // range of the points
}

// fitLine fits a line by least squares.
func fitLine(xs, ys []float64) fit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	f := fit{measuredFrom: slices.Min(xs), measuredTo: slices.Max(xs)}
	if d := n*sxx - sx*sx; d != 0 {
		f.slope = (n*sxy - sx*sy) / d
	}
	f.intercept = (sy - f.slope*sx) / n
	for i := range xs {
		f.residual = max(f.residual, math.Abs(ys[i]-f.intercept-f.slope*xs[i]))
	}
	return f
}

// pointsOf returns the points of a series: the sizes of the variable and the values measured.
func (s *Slopes) pointsOf(v Variable, value func(*Result) float64) (xs, ys []float64) {
	for _, p := range s.Points {
		if p.Variable == v && p.Result != nil {
			xs, ys = append(xs, p.X), append(ys, value(p.Result))
		}
	}
	return xs, ys
}

// scatter returns the mean of a value over the equal runs of the base profile, and the
// largest distance of a run from it.
func (s *Slopes) scatter(value func(*Result) float64) (mean, largest float64) {
	_, ys := s.pointsOf("", value)
	for _, y := range ys {
		mean += y / float64(len(ys))
	}
	for _, y := range ys {
		largest = max(largest, math.Abs(y-mean))
	}
	return mean, largest
}

// sizes returns a profile's value of each variable.
func (p *Profile) sizes() map[Variable]float64 {
	l := &p.Load
	return map[Variable]float64{VaryWorkers: float64(p.Cluster.Workers), VaryTasks: float64(l.RunningTasks), VaryStarts: l.StartsPerS,
		VaryJobs: l.batchJobsPerS() + l.UrgentPerS + l.GangsPerMinute/60, VaryTeams: float64(p.Cluster.Teams), VaryGangTasks: float64(l.GangTasks),
		VaryEndedJobs: float64(l.EndedJobs), VaryChanges: l.ChangesPerDay, VaryControllers: float64(p.Cluster.Controllers)}
}

// estimate extrapolates a value from the base profile to another size: it adds what each
// variable's slope contributes. It ignores slopes that are not significant.
func (s *Slopes) estimate(value func(*Result) float64, at *Profile) float64 {
	sum, scatter := s.scatter(value)
	from, to := s.Base.sizes(), at.sizes()
	for _, t := range allSeries() {
		if f, ok := s.significantFit(t.variable, value, scatter); ok {
			sum += f.slope * (to[t.variable] - from[t.variable])
		}
	}
	return max(0, sum)
}

// jointEstimate estimates a value at a fraction of the planned size from the runs that vary
// all sizes together. It takes these runs to have minControllers controllers, and adds the
// contribution of the other planned controllers from the slope of their number. It returns
// false if there are fewer than two such runs.
func (s *Slopes) jointEstimate(value func(*Result) float64, planned *Profile, fraction float64) (float64, bool) {
	xs, ys := s.pointsOf(VaryFraction, value)
	if len(xs) < 2 {
		return 0, false
	}
	line := fitLine(xs, ys)
	x := line.intercept + line.slope*fraction
	_, scatter := s.scatter(value)
	if c, ok := s.significantFit(VaryControllers, value, scatter); ok {
		x += c.slope * (float64(planned.Cluster.Controllers) - minControllers)
	}
	return max(0, x), true
}

// significantFit returns the line fitted to a variable's series. It returns false with
// fewer than two points, or if the change over the series is at most twice the scatter of equal
// runs or twice the largest distance of a point from the line.
func (s *Slopes) significantFit(v Variable, value func(*Result) float64, scatter float64) (fit, bool) {
	xs, ys := s.pointsOf(v, value)
	if len(xs) < 2 {
		return fit{}, false
	}
	f := fitLine(xs, ys)
	return f, math.Abs(f.slope)*(f.measuredTo-f.measuredFrom) > 2*max(scatter, f.residual)
}
