package fleet

import (
	"sort"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/wire"
)

// Return gives a machine back. What is on it is gone when the cloud says so.
func (a *Actor) Return(m *ledger.Machine, why string) {
	if _, ok := a.want[m.Name]; ok {
		return
	}
	a.env.Log().Info("returning machine", "machine", m.Name, "zone", m.Zone, "spot", m.Spot, "why", why, "tasks", len(m.Placements))
	m.Leaving = true
	a.want[m.Name] = a.env.Now()
}

func (a *Actor) sendReturns() {
	if a.returning || len(a.want) == 0 {
		return
	}
	var names []string
	for n := range a.want {
		m := a.led.Machines[n]
		if m == nil {
			delete(a.want, n)
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
			return // asked again with the next tick
		}
		for _, n := range names {
			delete(a.want, n)
			if m := a.led.Machines[n]; m != nil {
				a.led.Remove(m, ledger.CauseReturned)
			}
		}
		if a.OnChange != nil {
			a.OnChange()
		}
	})
}

// watchMachines returns machines that are silent, never came up, or are idle
// for longer than they are worth.
func (a *Actor) watchMachines() {
	now := a.env.Now()
	alive, total := map[string]int{}, map[string]int{}
	for _, m := range a.led.MachinesByName() {
		if m.Reported {
			total[m.Zone]++
			if now-m.LastReport < 2*a.cfg.Report {
				alive[m.Zone]++
			}
		}
	}
	for _, m := range a.led.MachinesByName() {
		if m.Spot && m.Reported {
			a.led.SpotHours += 1.0 / 3600 // called once a second
		}
	}
	fence := max(10*time.Second, 7*a.cfg.Report/2)
	idle := 0
	for _, m := range a.led.MachinesByName() {
		if m.Leaving {
			if _, ok := a.want[m.Name]; !ok && len(m.Placements) == 0 {
				a.Return(m, "set aside")
			}
			continue
		}
		switch {
		case m.Reported:
			silent := now - max(m.LastReport, a.began+5*time.Second)
			// A hung machine may resume; its tasks wait meanwhile. Returning it
			// frees them for a start elsewhere. A whole silent zone is a cut,
			// and its machines go on working.
			if silent > fence && 2*alive[m.Zone] >= total[m.Zone] && alive[m.Zone] > 0 && (len(m.Placements) > 0 || silent > 2*fence) {
				a.Return(m, "silent")
				continue
			}
			if len(m.Placements) == 0 {
				idle++
			}
		case m.TypeKnown && now-max(a.began, m.RentedAt) > a.patience(m) && now-a.resumed > a.cfg.IdleKeep:
			if len(m.Placements) == 0 || alive[m.Zone] > 0 {
				a.boots.gaveUp(m, now)
				a.Return(m, "never came up")
			}
		}
	}
	a.returnIdle(idle)
}

func (a *Actor) patience(m *ledger.Machine) time.Duration {
	if m.ListedState == "running" {
		return 40 * time.Second
	}
	if t := a.led.Types[m.Type]; t != nil {
		// Where boots as a whole are slow, the next one would be no sooner.
		// But not for ever: those that never come make boots look the slower the
		// longer they are waited for.
		nominal := time.Duration(t.BootS * float64(time.Second))
		return lateBoot*min(max(nominal, a.boot(m.Type, m.Zone)), mostBoots*nominal) + 10*time.Second
	}
	return 5 * time.Minute
}

func (a *Actor) returnIdle(idle int) {
	now := a.env.Now()
	var ms []*ledger.Machine
	for _, m := range a.led.MachinesByName() {
		if m.Reported && !m.Leaving && len(m.Placements) == 0 && now-max(m.IdleSince, m.WantedAt, a.began, a.resumed) > a.cfg.IdleKeep && !a.led.HasUnwrittenResults(m) {
			ms = append(ms, m)
		}
	}
	if len(ms) == 0 {
		return
	}
	keep := a.headroom()
	// The dear ones go first, then those with the fewest images.
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
