package workers

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/wire"
)

const (
	// After a change of leader the workers find the new leader by themselves. Most of
	// them report within this time if the last leader's machine refuses their reports.
	statusRequestsAfter = 700 * time.Millisecond
	// Workers that still wait for an answer of a leader that is paused or partitioned
	// report only seconds later. The new leader requests their status, from at most
	// maxStatusRequests of them at a time.
	statusRequestsUntil = 8 * time.Second
	maxStatusRequests   = 32
	statusTimeout       = 1500 * time.Millisecond
	// maxTokensSent bounds the number of workers with an earlier token that are sent
	// the current one.
	maxTokensSent = 8
)

// RequestStatuses requests the status of workers that have not reported to the new
// leader yet, so that starts need not wait for their reports.
func (a *Actor) RequestStatuses() {
	since := a.env.Now() - a.began
	if a.stopped || since < statusRequestsAfter || since > statusRequestsUntil {
		return
	}
	for _, m := range a.led.MachinesByName() {
		if a.statusRequests >= maxStatusRequests {
			return
		}
		if m.Reported || m.StatusRequested || m.Addr == "" || m.Leaving || m.ListedState != "running" {
			continue
		}
		m.StatusRequested = true
		a.statusRequests++
		a.env.Call(actor.Call{Addr: m.Addr, Method: "GET", Path: wire.PathStatus, Timeout: statusTimeout, Done: func(ans actor.Answer) {
			a.statusRequests--
			if a.stopped {
				return
			}
			if ans.Err == nil && ans.Status == 200 && !m.Gone {
				if r, err := wire.DecodeReport(ans.Body); err == nil && r.Machine == m.Name {
					a.applyReport(r, solicited)
					a.sendToken(m)
				}
			}
			a.RequestStatuses()
		}})
	}
}

// sendToken sends the term's token, in a command without orders, to a worker that an
// earlier leader answered. A leader that is partitioned from the state service and from the
// new leader, but not from its workers, answers them until its hold ends, and until then
// none of them reports to the new leader. The worker's next report shows the earlier leader
// the new token, and it refuses all reports from then on. A few workers are enough, since
// there is only one such leader.
func (a *Actor) sendToken(m *ledger.Machine) {
	if m.Token >= a.token || m.Token == 0 || a.tokensSent >= maxTokensSent {
		return
	}
	a.tokensSent++
	a.env.Call(actor.Call{Addr: m.Addr, Method: "POST", Path: wire.PathOrders, Timeout: statusTimeout, Body: wire.Orders(a.token, m.Session, nil), Done: func(ans actor.Answer) {
		if a.stopped || m.Gone || ans.Err != nil || ans.Status != 200 {
			return
		}
		if r, err := wire.DecodeReport(ans.Body); err == nil && r.Machine == m.Name {
			a.applyReport(r, solicited)
		}
	}})
}
