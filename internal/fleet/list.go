package fleet

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/model"
	"brooklb/internal/wire"
)

// mostListed bounds the machines of a list. A list that doesn't end would fill
// the memory; nothing is concluded from one.
const mostListed = 100_000

func (a *Actor) list() {
	a.listing = true
	a.seen = map[string]bool{}
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
				a.env.Log().Error("bad answer of the cloud", "err", err)
				a.listing = false
				a.listedAt = a.env.Now()
				return
			}
			// A page has the next names, in any order.
			last := after
			for _, lm := range ms {
				last = max(last, lm.Name)
				a.listed(lm)
			}
			if more && (last == after || len(a.seen) > mostListed) {
				a.env.Log().Error("bad answer of the cloud: the list of machines doesn't end", "machines", len(a.seen), "after", last)
				a.listing = false
				a.listedAt = a.env.Now()
				return
			}
			if more {
				page(last)
				return
			}
			a.listing = false
			a.listOnce = true
			a.listedAt = started
			a.missing()
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

func (a *Actor) listed(lm model.ListedMachine) {
	a.seen[lm.Name] = true
	if a.led.Returned[lm.Name] {
		return // the list lags
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

// unlistedFor is how long the newest machines may be absent from the list.
const unlistedFor = 2 * time.Minute

// missing looks for machines that the list doesn't show any more. A list may
// be older than the last, so that only several together with a silent worker
// count, and then returning the machine makes it certain.
//
// The order of names is that of creation: a list that shows a later machine is
// newer than this one, which is gone then, however long ago it was rented. While
// it shows none, the list lags, and by more than the settings say at times.
func (a *Actor) missing() {
	now := a.env.Now()
	newest := ""
	for name := range a.seen {
		newest = max(newest, name)
	}
	for _, m := range a.led.MachinesByName() {
		if a.seen[m.Name] {
			continue
		}
		if m.ListedState == "" && m.Name > newest && now-m.FirstSeen < max(unlistedFor, 4*a.cfg.ListLag) {
			continue
		}
		if m.Reported && now-m.LastReport < 2*a.cfg.Report+2*time.Second {
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
