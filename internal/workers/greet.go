package workers

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/wire"
)

const (
	// After a change of leader the workers come by themselves, most of them
	// within this time if their last leader's machine is there to refuse them.
	greetAfter = 700 * time.Millisecond
	// Those that still wait for an answer of a leader that is paused or is cut
	// off come seconds later. They are asked instead, so many at once.
	greetFor     = 8 * time.Second
	mostGreeted  = 32
	greetTimeout = 1500 * time.Millisecond
	// So many workers that still hold to an earlier token are shown ours at most.
	mostShown = 8
)

// Greet asks workers that have not found the new leader for their status, so
// that starts need not wait until they have.
func (a *Actor) Greet() {
	since := a.env.Now() - a.began
	if a.stopped || since < greetAfter || since > greetFor {
		return
	}
	for _, m := range a.led.MachinesByName() {
		if a.asking >= mostGreeted {
			return
		}
		if m.Reported || m.StatusRequested || m.Addr == "" || m.Leaving || m.ListedState != "running" {
			continue
		}
		m.StatusRequested = true
		a.asking++
		a.env.Call(actor.Call{Addr: m.Addr, Method: "GET", Path: wire.PathStatus, Timeout: greetTimeout, Done: func(ans actor.Answer) {
			a.asking--
			if a.stopped {
				return
			}
			if ans.Err == nil && ans.Status == 200 && !m.Gone {
				if r, err := wire.DecodeReport(ans.Body); err == nil && r.Machine == m.Name {
					a.absorb(r, asked)
					a.show(m)
				}
			}
			a.Greet()
		}})
	}
}

// show has a worker that was answered by an earlier leader see our token, by a command that
// orders nothing. A leader that is cut from the state service and from us, but not from its
// workers, answers them until its hold is over, and we would hear nobody for so long. The
// worker's next report tells it, and it sends all of them away. Few are enough: it is one
// leader.
func (a *Actor) show(m *ledger.Machine) {
	if m.Token >= a.token || m.Token == 0 || a.shown >= mostShown {
		return
	}
	a.shown++
	a.env.Call(actor.Call{Addr: m.Addr, Method: "POST", Path: wire.PathOrders, Timeout: greetTimeout, Body: wire.Orders(a.token, m.Session, nil), Done: func(ans actor.Answer) {
		if a.stopped || m.Gone || ans.Err != nil || ans.Status != 200 {
			return
		}
		if r, err := wire.DecodeReport(ans.Body); err == nil && r.Machine == m.Name {
			a.absorb(r, asked)
		}
	}})
}
