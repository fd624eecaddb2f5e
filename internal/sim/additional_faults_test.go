package sim

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// additionalFaultKinds is the number of kinds of injectAdditionalFault.
const additionalFaultKinds = 12

// injectAdditionalFault starts a fault of the given kind that lasts for about d.
func (w *World) injectAdditionalFault(kind int, d time.Duration) {
	r, n := w.rng, len(w.nodes)
	l := max(0, w.Leader())
	switch kind {
	case 0: // some machines, a zone's or all, can open no connection to a controller
		share, zone := r.Float64(), ""
		if r.IntN(3) == 0 {
			share, zone = 1, w.cfg.Zones[r.IntN(len(w.cfg.Zones))]
		}
		for _, m := range w.Machines() {
			if r.Float64() < share && (zone == "" || m.Zone == zone) {
				m.BlockOutbound(d)
			}
		}
	case 1: // up to 12 jobs are cancelled within 200 ms, and some of their machines may hang for up to 1.05 leases
		hang := []time.Duration{0, w.randomSecs(1, 20), w.randomSecs(20, 1.05*w.lease().Seconds())}[r.IntN(3)]
		w.CancelRunning(1+r.IntN(12), hang)
	case 2:
		w.CancelAtEnd(0.2+0.8*r.Float64(), d)
	case 3:
		w.UnusualRequests(d)
	case 4:
		a, b := r.IntN(kinds), r.IntN(kinds)
		lo := w.randomSecs(0.05, 3).Seconds()
		w.SlowLinks(a, b, lo, lo+1, d)
	case 5: // more work than room over slow links between controllers and workers
		w.SlowLinks(KindNode, KindMachine, 0.5, 2, d)
		for i := range 12 {
			id := fmt.Sprintf("j-%09d", w.rng.IntN(1e9))
			w.after(time.Duration(i)*time.Second, func() { w.Submit(w.randomJob(id)) })
		}
	case 6: // ten leaders crash, sometimes during an outage of the state service
		if r.IntN(3) == 0 {
			w.State.Outage(min(d, 70*time.Second))
		}
		for k := range 10 {
			w.after(time.Duration(k)*12*time.Second, func() { w.Crash(max(0, w.Leader()), w.shortPause()) })
		}
	case 7: // all controllers are down for longer than a lease; they return together, one by one, or one a minute before the others
		downFor, returnOrder := w.lease()+w.randomSecs(1, 20), r.IntN(3)
		for i := range n {
			w.Crash(i, downFor+[]time.Duration{0, time.Duration(i) * w.randomSecs(1, 8), time.Duration(min(i, 1)) * time.Minute}[returnOrder])
		}
	case 8: // a zone with workers and perhaps a controller is cut off for longer than a lease
		w.CutZone(w.cfg.Zones[r.IntN(len(w.cfg.Zones))], w.lease()+w.randomSecs(1, 40), r.IntN(3) > 0)
	case 9: // jobs are cancelled as the state service refuses the leader; a second later it is down for all
		w.State.RefuseNode(w.NodeName(l), w.randomSecs(1, 100))
		hang := []time.Duration{0, w.randomSecs(0.9, 1.03) * time.Duration(w.lease().Seconds())}[r.IntN(2)]
		w.after(w.randomSecs(0, 0.2), func() { w.CancelRunning(8, hang) })
		w.after(w.randomSecs(0.8, 1.2), func() { w.State.Outage(w.cancelDeadline() + w.randomSecs(-10, 20)) })
		if r.IntN(3) == 0 {
			w.after(w.randomSecs(0.2, 1.5), func() { w.Crash(r.IntN(n), w.shortPause()) })
		}
		if r.IntN(3) == 0 {
			w.CutPeers(l, d, r.IntN(2) == 0)
		}
	case 10: // single reports are delayed until a new leader has acted
		late := map[string]time.Duration{}
		until := w.now + 20*time.Second
		w.RequestDelay = func(from string, c actor.Call) time.Duration {
			if c.Path != "/hello" || w.now > until || late[from] > 0 || w.rng.IntN(3) > 0 {
				return 0
			}
			late[from] = w.randomSecs(3, 25)
			return late[from]
		}
		w.after(w.randomSecs(0, 3), func() { w.Crash(max(0, w.Leader()), w.shortPause()) })
	case 11: // a zone loses all its machines, or half of them
		zone, most := w.cfg.Zones[r.IntN(len(w.cfg.Zones))], 0.5+0.5*float64(r.IntN(2))
		for _, m := range w.Machines() {
			if m.Zone == zone && r.Float64() < most {
				m.Fail()
			}
		}
	}
}

// additionalFaultSeeds are seeds of TestAdditionalCombinedFaults that once broke a rule.
var additionalFaultSeeds = []uint64{1227, 1507}

// TestAdditionalCombinedFaults combines the additional faults at random with each other and with
// those of TestCombinedFaults, with three and with seven controllers, while jobs are cancelled.
func TestAdditionalCombinedFaults(t *testing.T) {
	for _, s := range append(additionalFaultSeeds, seeds(t, 32)...) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w := combinedFaultsWorld(50000, s)
			w.scheduleAdditionalFaults()
			w.Run(1500 * time.Second)
			w.checkFinalStates(t)
		})
	}
}

// scheduleAdditionalFaults schedules random groups of faults that overlap in time. Each group begins
// with an additional fault; the others may be faults of injectCombinedFault.
func (w *World) scheduleAdditionalFaults() {
	end := 100 * time.Second
	for range 5 {
		at := w.randomSecs(10, 220)
		for k := range 2 + w.rng.IntN(2) {
			kind, from, d := w.rng.IntN(additionalFaultKinds), at+w.randomSecs(0, 15), w.randomSecs(3, 100)
			if k > 0 && w.rng.IntN(3) == 0 {
				kind = w.rng.IntN(combinedFaultKinds)
				w.At(from, func() { w.injectCombinedFault(kind, d) })
			} else {
				w.At(from, func() { w.injectAdditionalFault(kind, d) })
			}
			end = max(end, from+max(3*d, 130*time.Second))
		}
	}
	w.endFaultsAfter(end)
}

// checkFinalStates checks the outcome, and that at least 60 jobs were reported to users as done or
// cancelled. Many jobs are cancelled in these tests, so only few must be done.
func (w *World) checkFinalStates(t *testing.T) {
	t.Helper()
	w.checkOutcome(t, 10)
	final := 0 // jobs that were reported done or whose cancellation was confirmed
	for _, j := range w.jobs {
		if j.reportedDone || j.cancelledAt > 0 {
			final++
		}
	}
	if final < 60 {
		t.Errorf("%d of %d jobs have a final state", final, len(w.jobs))
	}
	t.Logf("%d starts after a confirmed cancellation, %d invalid jobs refused", w.StartsAfterCancel, w.InvalidRefused)
}
