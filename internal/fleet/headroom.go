package fleet

import (
	"math"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// RecordArrival records a new job for the estimates of the headroom and the inflow. prompt
// says that its class has an objective for the start, within that its team's guarantee covers
// it.
func (a *Actor) RecordArrival(j *ledger.Job, prompt, within bool) {
	if a.countedJobs[j.Spec.ID] {
		return
	}
	a.countedJobs[j.Spec.ID] = true
	a.inflow.add(j.AcceptedAt, j.Spec.Priority, a.machines(j.Spec, j.Spec.Tasks)*j.EstimateS())
	if prompt || within {
		a.arrivals = append(a.arrivals, arrival{j.AcceptedAt, a.machines(j.Spec, j.Spec.Tasks), prompt, j.Spec.Priority})
	}
}

// machines returns how many machines n tasks fill.
func (a *Actor) machines(s *model.Spec, n int) float64 {
	best := math.Inf(1)
	for _, t := range a.led.Types {
		if !s.AllowsType(t.Name) || !s.Resources.Fits(t.Cap) {
			continue
		}
		f := 0.0
		if t.Cap.CPUs > 0 {
			f = max(f, s.Resources.CPUs/t.Cap.CPUs)
		}
		if t.Cap.GPUs > 0 {
			f = max(f, s.Resources.GPUs/t.Cap.GPUs)
		}
		if t.Cap.MemGB > 0 {
			f = max(f, s.Resources.MemGB/t.Cap.MemGB)
		}
		if f > 0.5 {
			f = 1
		}
		best = min(best, f*float64(n))
	}
	if math.IsInf(best, 1) {
		return 0
	}
	return best
}

const (
	arrivalWindow = 3 * time.Minute
	// Work that arrived within less than minArrivalSpan is averaged over all of it.
	minArrivalSpan = 30 * time.Second
)

// longestBoot returns the longest nominal boot of all types, in seconds.
func (a *Actor) longestBoot() float64 {
	boot := 0.0
	for _, t := range a.led.Types {
		boot = max(boot, t.BootS)
	}
	return boot
}

// headroom returns how many idle machines to keep for work that is to start at once.
// Machines of which all tasks may be stopped for it count as idle.
func (a *Actor) headroom() int {
	now := a.env.Now()
	prompt, other := 0.0, 0.0
	prio := model.Low
	k := 0
	oldest := now
	for _, x := range a.arrivals {
		if now-x.at <= arrivalWindow {
			a.arrivals[k] = x
			k++
			oldest = min(oldest, x.at)
			if x.prompt {
				prompt += x.size
				prio = max(prio, x.prio)
			} else {
				other += x.size
			}
		}
	}
	a.arrivals = a.arrivals[:k]
	boot := a.longestBoot()
	// The span begins with the oldest arrival, not with the process: after all
	// controllers had crashed, the work of three minutes was counted as that of half a
	// minute, and each new leader rented 300 machines too many.
	span := max(minArrivalSpan, now-oldest).Seconds()
	prompt *= boot / span
	other *= boot / span
	if prompt > 0 {
		for _, m := range a.led.MachinesByName() {
			if len(m.Placements) == 0 || !m.Reported || m.Leaving {
				continue
			}
			all := true
			for _, p := range m.Placements {
				all = all && p.Job.Spec.Priority < prio && (p.Job.Spec.Kind != model.Gang || len(p.Job.Tasks) == 1)
			}
			if all {
				prompt--
			}
		}
	}
	return int(math.Round(a.cfg.Headroom * (max(0, prompt) + other)))
}
