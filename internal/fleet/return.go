package fleet

import (
	"sort"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/wire"
)

// Return has a machine returned to the cloud. The tasks on it count as gone once the cloud has
// confirmed the return.
func (a *Actor) Return(m *ledger.Machine, why string) {
	if _, ok := a.toReturn[m.Name]; ok {
		return
	}
	a.env.Log().Info("returning machine", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "why", why, "tasks", len(m.Placements))
	m.Leaving = true
	a.toReturn[m.Name] = a.env.Now()
}

func (a *Actor) sendReturns() {
	if a.returning || len(a.toReturn) == 0 {
		return
	}
	var names []string
	for n := range a.toReturn {
		m := a.led.Machines[n]
		if m == nil {
			delete(a.toReturn, n)
			continue
		}
		names = append(names, n)
	}
	sort.Strings(names)
	if len(names) > 100 {
		names = names[:100]
	}
	if len(names) == 0 {
		return
	}
	a.returning = a.call("POST", wire.PathReturn, wire.Return(names), func(ans actor.Answer) {
		a.returning = false
		if ans.Err != nil || ans.Status != 200 {
			return // the next tick sends it again
		}
		for _, n := range names {
			delete(a.toReturn, n)
			if m := a.led.Machines[n]; m != nil {
				a.led.Remove(m, ledger.CauseReturned)
			}
		}
		if a.OnChange != nil {
			a.OnChange()
		}
	})
}

// checkMachines returns machines that are silent, never came up, or are not needed and
// have been idle for too long.
func (a *Actor) checkMachines() {
	now := a.env.Now()
	alive, total := map[string]int{}, map[string]int{}
	for _, m := range a.led.MachinesByName() {
		if m.Reported {
			total[m.Zone]++
			if now-m.LastReport < 2*a.cfg.ReportInterval {
				alive[m.Zone]++
			}
		}
	}
	for _, m := range a.led.MachinesByName() {
		if m.Spot && m.Reported {
			a.led.SpotHours += 1.0 / 3600 // called once a second
		}
	}
	maxSilence := max(10*time.Second, 7*a.cfg.ReportInterval/2)
	idle := 0
	for _, m := range a.led.MachinesByName() {
		if m.Leaving {
			if _, ok := a.toReturn[m.Name]; !ok && len(m.Placements) == 0 {
				a.Return(m, "leaving, no tasks left")
			}
			continue
		}
		switch {
		case m.Reported:
			silent := now - max(m.LastReport, a.began+5*time.Second)
			// A hung machine may resume, and its tasks wait until then. They can start
			// elsewhere once it is returned. If most machines of a zone are silent, the
			// zone is probably partitioned from this node and its machines keep working.
			if silent > maxSilence && 2*alive[m.Zone] >= total[m.Zone] && alive[m.Zone] > 0 && (len(m.Placements) > 0 || silent > 2*maxSilence) {
				a.Return(m, "silent")
				continue
			}
			if len(m.Placements) == 0 {
				idle++
			}
		case m.TypeKnown && now-max(a.began, m.RentedAt) > a.bootTimeout(m) && now-a.resumedAt > a.cfg.IdleTimeout:
			if len(m.Placements) == 0 || alive[m.Zone] > 0 {
				a.boots.recordAbandoned(m, now)
				a.Return(m, "never came up")
			}
		}
	}
	a.returnIdle(idle)
}

// bootTimeout returns how long a machine may take to come up before it is returned.
func (a *Actor) bootTimeout(m *ledger.Machine) time.Duration {
	if m.ListedState == "running" {
		return 40 * time.Second
	}
	if t := a.led.Types[m.Type]; t != nil {
		// Where all boots are slow, a replacement would come up no earlier. The time is
		// limited, since machines that never come up raise the estimated boot time for
		// as long as they are kept.
		nominal := time.Duration(t.BootS * float64(time.Second))
		return abandonFactor*min(max(nominal, a.expectedBoot(m.Type, m.Zone)), maxBootFactor*nominal) + 10*time.Second
	}
	return 5 * time.Minute
}

func (a *Actor) returnIdle(idle int) {
	now := a.env.Now()
	var ms []*ledger.Machine
	for _, m := range a.led.MachinesByName() {
		if m.Reported && !m.Leaving && len(m.Placements) == 0 && now-max(m.IdleSince, m.WantedAt, a.began, a.resumedAt) > a.cfg.IdleTimeout && !a.led.HasUnwrittenResults(m) {
			ms = append(ms, m)
		}
	}
	if len(ms) == 0 {
		return
	}
	keep := a.headroom()
	// Machines that are not spot are more expensive and go first, then those with the fewest images.
	sort.Slice(ms, func(i, j int) bool {
		x, y := ms[i], ms[j]
		if x.Spot != y.Spot {
			return !x.Spot
		}
		if len(x.Images) != len(y.Images) {
			return len(x.Images) < len(y.Images)
		}
		return x.Name < y.Name
	})
	for _, m := range ms {
		if idle <= keep {
			return
		}
		a.Return(m, "idle")
		idle--
	}
}
