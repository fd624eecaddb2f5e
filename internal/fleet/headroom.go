package fleet

import (
	"math"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Arrived notes new work, from which the headroom is learned.
func (a *Actor) Arrived(j *ledger.Job, prompt, within bool) {
	if a.counted[j.Spec.ID] {
		return
	}
	a.counted[j.Spec.ID] = true
	a.inflow.add(j.AcceptedAt, j.Spec.Priority, a.machines(j.Spec, j.Spec.Tasks)*j.EstimateS())
	if prompt || within {
		a.arrivals = append(a.arrivals, arrival{j.AcceptedAt, a.machines(j.Spec, j.Spec.Tasks), prompt, j.Spec.Priority})
	}
}

// machines is how many machines n tasks fill.
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
	// What came in less time than this counts as if it had come over all of it.
	leastSpan = 30 * time.Second
)

// longestBoot is the longest nominal boot of all types, in seconds.
func (a *Actor) longestBoot() float64 {
	boot := 0.0
	for _, t := range a.led.Types {
		boot = max(boot, t.BootS)
	}
	return boot
}

// headroom is how many idle machines to keep for work that is to start at
// once. Machines whose tasks may be stopped for it are as good as idle.
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
	// They came over this time, and not since this process began: after a crash
	// of all, three minutes' work once counted as if it had come in half a
	// minute, and each new leader rented 300 machines too many (lumiar fleet,
	// restart).
	span := max(leastSpan, now-oldest).Seconds()
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
