package sim

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/forward"
	"brooklb/internal/settings"
)

// fewSockets is so low a limit that controllers spread the workers' reports even in a small
// simulation.
const fewSockets = 4

// forwardedCounts counts the batches that controllers forward to and for the leader.
type forwardedCounts struct{ reports, orders int }

// spreadWorld returns a simulation in which all controllers take reports. Every third seed has
// seven controllers.
func spreadWorld(seed uint64) (*World, *forwardedCounts) {
	cfg := Config{Seed: seed, Nodes: 3, Sockets: fewSockets}
	if seed%3 == 0 {
		cfg.Nodes, cfg.NodeZones, cfg.RPS, cfg.WriteRPS = 7, []string{"a", "b"}, 120, 25
	}
	w, counts := worldOf(cfg), &forwardedCounts{}
	w.OnSend = func(_ string, c actor.Call) {
		switch c.Path {
		case forward.ReportsPath:
			counts.reports++
		case forward.OrdersPath:
			counts.orders++
		}
	}
	return w, counts
}

// check fails the test if controllers forwarded too few reports.
func (counts *forwardedCounts) check(t *testing.T) {
	t.Helper()
	if counts.reports < 50 {
		t.Errorf("%d batches of reports and %d of orders were forwarded", counts.reports, counts.orders)
	}
	t.Logf("%d batches of reports, %d of orders", counts.reports, counts.orders)
}

// TestSpreadCombinedFaults injects the random faults of TestCombinedFaults and
// TestAdditionalCombinedFaults while all controllers take reports.
func TestSpreadCombinedFaults(t *testing.T) {
	for _, s := range seeds(t, 32) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w, counts := spreadWorld(70000 + s)
			withLoadAndMessageFaults(w)
			if s%2 == 0 {
				w.scheduleCombinedFaults()
				w.Run(1500 * time.Second)
				w.checkOutcome(t, 25)
			} else {
				w.scheduleAdditionalFaults()
				w.Run(1500 * time.Second)
				w.checkFinalStates(t)
			}
			counts.check(t)
		})
	}
}

// TestSpreadRandomFaults injects random single faults while all controllers take reports.
func TestSpreadRandomFaults(t *testing.T) {
	for _, s := range seeds(t, 16) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w, counts := spreadWorld(80000 + s)
			w.Workload(60, 200*time.Second)
			for range 8 {
				w.At(w.randomSecs(5, 300), w.injectFault)
			}
			w.endFaultsAfter(400 * time.Second)
			w.Run(1500 * time.Second)
			w.checkOutcome(t, 25)
			counts.check(t)
		})
	}
}

// randomFollower returns a random controller that doesn't lead.
func (w *World) randomFollower() int {
	i := w.rng.IntN(len(w.nodes))
	if i == w.Leader() {
		i = (i + 1) % len(w.nodes)
	}
	return i
}

// forwarderFaults are faults of controllers that forward reports and orders, and of the leader.
var forwarderFaults = []struct {
	name   string
	inject func(w *World)
	// keepsLeases says that the fault may cost no worker its lease.
	keepsLeases bool
}{
	{"ends with undelivered orders", func(w *World) { w.Crash(w.randomFollower(), w.randomSecs(0.05, 10)) }, true},
	{"is paused", func(w *World) { w.Freeze(w.randomFollower(), w.randomSecs(1, 25)) }, false},
	{"cut from the others, packets held", func(w *World) { w.CutPeers(w.randomFollower(), w.randomSecs(2, 40), true) }, false},
	{"cut from the others, connections reset", func(w *World) { w.CutPeers(w.randomFollower(), w.randomSecs(2, 40), false) }, false},
	{"the leader is cut from the others and another leads", func(w *World) {
		l := max(0, w.Leader())
		w.CutPeers(l, 30*time.Second, w.rng.IntN(2) == 0)
		w.State.RefuseNode(w.NodeName(l), 20*time.Second)
	}, false},
	{"the leader ends", func(w *World) { w.Crash(max(0, w.Leader()), w.randomSecs(0.05, 5)) }, true},
	{"the leader is paused", func(w *World) { w.Freeze(max(0, w.Leader()), w.randomSecs(1, 12)) }, false},
	{"all are down for longer than a lease", func(w *World) {
		for i := range w.nodes {
			w.Crash(i, w.lease()+w.randomSecs(1, 10))
		}
	}, false},
}

// TestForwarderFaults injects a fault of the forwarding controllers or the leader every half
// minute, with duplicated and delayed messages where the fault may cost leases. No rule may be
// broken, all jobs must be done, and a controller that ends must cost no worker its lease.
func TestForwarderFaults(t *testing.T) {
	for i, fault := range forwarderFaults {
		for _, s := range seeds(t, 3) {
			t.Run(fault.name+"/"+strconv.FormatUint(s, 10), func(t *testing.T) {
				t.Parallel()
				w, counts := spreadWorld(90000 + 100*uint64(i) + s)
				if !fault.keepsLeases {
					w.StallOneIn, w.DuplicateOneIn = 400, 100
				}
				w.Workload(50, 200*time.Second)
				for k := range 8 {
					w.At(time.Duration(20+30*k)*time.Second+w.randomSecs(0, 10), func() { fault.inject(w) })
				}
				w.endFaultsAfter(330 * time.Second)
				w.Run(1200 * time.Second)
				w.checkOutcome(t, 20)
				counts.check(t)
				if fault.keepsLeases && w.KilledByLease > 0 {
					t.Errorf("%d tasks were killed by their worker's lease", w.KilledByLease)
				}
			})
		}
	}
}

// TestSpreadUpgrade mixes controllers of an older version, which can't forward reports, with
// newer ones, and crashes all of them in the middle.
func TestSpreadUpgrade(t *testing.T) {
	for _, s := range seeds(t, 6) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w, _ := spreadWorld(95000 + s)
			w.Workload(50, 200*time.Second)
			w.OlderNodes = map[string]bool{}
			older := func(n int) {
				for i := range w.nodes {
					w.OlderNodes[w.NodeName(i)] = (i+int(s))%len(w.nodes) < n
				}
			}
			n := len(w.nodes)
			for k, count := range []int{n, n / 2, 1, 0, 1, n / 2, n} {
				w.At(time.Duration(1+35*k)*time.Second, func() {
					older(count)
					w.Crash((k+int(s))%n, 2*time.Second)
				})
			}
			w.At(100*time.Second, func() {
				for i := range w.nodes {
					w.Crash(i, w.randomSecs(0.1, 6))
				}
			})
			w.endFaultsAfter(260 * time.Second)
			w.Run(1200 * time.Second)
			w.checkOutcome(t, 20)
		})
	}
}

// TestSpreadEvenly checks that the workers' reports spread evenly over all controllers, and that
// within 10 s of a controller's end the others have taken over its workers.
func TestSpreadEvenly(t *testing.T) {
	w := New(Config{Seed: 5, Nodes: 5, Zones: []string{"a", "b", "c"}, Capacity: 300, Initial: 300, CPUs: 16, GPUs: 4, BootS: 15, Sockets: 400,
		RPS: 250, WriteRPS: 60, CloudRPS: 6, Teams: []settings.Team{{Name: "free"}}})
	w.submitSteadily("work", 3, 2*time.Second, 2*time.Second, 100*time.Second, func(int) Job {
		return Job{Kind: "sweep", Team: "free", Tasks: 30, CPUs: 8, RunS: 60}
	})
	reportsAt := make([]int, len(w.nodes))
	w.OnSend = func(from string, c actor.Call) {
		for i, s := range w.nodes {
			if c.Path == "/hello" && c.Addr == s.addr {
				reportsAt[i]++
			}
		}
	}
	// count returns the fewest and the most reports at a controller, relative to the mean.
	count := func(from, to time.Duration, nodes int) (least, most float64) {
		w.Run(from)
		clear(reportsAt)
		w.Run(to)
		reportsAt[w.Leader()] *= 2 // the leader has other work and takes half as many reports
		sum := 0
		for _, n := range reportsAt {
			sum += n
		}
		if sum < 500 {
			t.Fatalf("only %d reports arrived", sum)
		}
		mean := float64(sum) / float64(nodes)
		return float64(slices.Min(reportsAt)) / mean, float64(slices.Max(reportsAt)) / mean
	}
	if least, most := count(30*time.Second, 50*time.Second, 5); least < 0.5 || most > 1.5 {
		t.Errorf("a controller got from %.2f to %.2f of the mean number of reports: %v", least, most, reportsAt)
	}
	killed := w.KilledByLease
	w.Crash(w.randomFollower(), time.Hour)
	if _, most := count(60*time.Second, 80*time.Second, 4); most > 1.5 {
		t.Errorf("after a controller had ended another got %.2f of the mean number of reports: %v", most, reportsAt)
	}
	if w.KilledByLease > killed {
		t.Errorf("%d tasks were killed by their lease", w.KilledByLease-killed)
	}
	for _, violation := range w.Violations {
		t.Error(violation)
	}
}
