package fleet

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/model"
	"brooklb/internal/wire"
)

// maxListed is how many machines a list may have. An endless list would fill the memory. No
// machine counts as missing from a list that exceeds the limit.
const maxListed = 100_000

func (a *Actor) list() {
	a.listing = true
	a.listedNames = map[string]bool{}
	started := a.env.Now()
	var page func(after string)
	page = func(after string) {
		path := wire.PathMachines + "?most=500"
		if after != "" {
			path += "&from=" + after
		}
		if !a.call("GET", path, nil, func(ans actor.Answer) {
			if ans.Err != nil || ans.Status != 200 {
				a.listing = false
				a.listedAt = a.env.Now() - 2*time.Second
				return
			}
			ms, more, err := wire.DecodeMachines(ans.Body)
			if err != nil || (more && len(ms) == 0) {
				a.env.Log().Error("invalid response from the cloud", "err", err)
				a.listing = false
				a.listedAt = a.env.Now()
				return
			}
			// A page holds the next names, in any order.
			last := after
			for _, lm := range ms {
				last = max(last, lm.Name)
				a.recordListed(lm)
			}
			if more && (last == after || len(a.listedNames) > maxListed) {
				a.env.Log().Error("invalid response from the cloud: the list of machines is endless", "machines", len(a.listedNames), "after", last)
				a.listing = false
				a.listedAt = a.env.Now()
				return
			}
			if more {
				page(last)
				return
			}
			a.listing = false
			a.hasList = true
			a.listedAt = started
			a.returnUnlisted()
			if a.OnChange != nil {
				a.OnChange()
			}
		}) {
			a.env.After(200*time.Millisecond, func() {
				if !a.stopped {
					page(after)
				}
			})
		}
	}
	page("")
}

func (a *Actor) recordListed(lm model.ListedMachine) {
	a.listedNames[lm.Name] = true
	if a.led.Returned[lm.Name] {
		return // the list is older than the return
	}
	m := a.led.Machine(lm.Name)
	if m.ListedState == "" && !m.Reported && m.Type == "" {
		m.RentedAt = a.env.Now() - time.Duration(lm.AgeS*float64(time.Second))
	}
	if !m.Reported {
		a.led.Describe(m, lm.Type, lm.Zone, lm.Spot)
		if m.Addr == "" {
			m.Addr = lm.Addr
		}
	}
	if m.ListedState != lm.State {
		m.ListedAt = a.env.Now()
		m.ListedState = lm.State
	}
	m.MissedListings, m.ListedAddr = 0, lm.Addr
	if lm.State == "failed" {
		a.Return(m, "failed")
	}
}

// unlistedGrace is how long the newest machines may be absent from the list.
const unlistedGrace = 2 * time.Minute

// returnUnlisted returns machines that the list no longer shows. A list may be older than
// the one before it, so that a machine has to be absent from two lists and silent as well.
// Its return then makes certain that it is gone.
//
// Machines are named in the order of their creation. A list with a later name is therefore
// newer than a machine that is absent from it, and that machine is gone, regardless of its age.
// Without a later name the list may lag, at times by more than the settings say.
func (a *Actor) returnUnlisted() {
	now := a.env.Now()
	newest := ""
	for name := range a.listedNames {
		newest = max(newest, name)
	}
	for _, m := range a.led.MachinesByName() {
		if a.listedNames[m.Name] {
			continue
		}
		if m.ListedState == "" && m.Name > newest && now-m.FirstSeen < max(unlistedGrace, 4*a.cfg.ListLag) {
			continue
		}
		if m.Reported && now-m.LastReport < 2*a.cfg.ReportInterval+2*time.Second {
			continue
		}
		m.MissedListings++
		if m.MissedListings >= 2 {
			if m.Spot && m.Reported && !m.InterruptionNotice && !m.Leaving {
				a.led.SpotInterruptions++
			}
			a.Return(m, "not listed any more")
		}
	}
}
