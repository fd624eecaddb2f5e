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

// fewSockets makes controllers spread the workers' reports in worlds as small as these.
const fewSockets = 4

// passing counts what controllers pass on for the leader.
type passing struct{ reports, orders int }

// spreadWorld is a world in which all controllers take reports; each third has seven of
// them.
func spreadWorld(seed uint64) (*World, *passing) {
	cfg := Config{Seed: seed, Nodes: 3, Sockets: fewSockets}
	if seed%3 == 0 {
		cfg.Nodes, cfg.NodeZones, cfg.RPS, cfg.WriteRPS = 7, []string{"a", "b"}, 120, 25
	}
	w, p := worldOf(cfg), &passing{}
	w.OnSend = func(_ string, c actor.Call) {
		switch c.Path {
		case forward.ReportsPath:
			p.reports++
		case forward.OrdersPath:
			p.orders++
		}
	}
	return w, p
}

func (p *passing) check(t *testing.T) {
	t.Helper()
	if p.reports < 50 {
		t.Errorf("%d batches of reports and %d of orders were passed on", p.reports, p.orders)
	}
	t.Logf("%d batches of reports, %d of orders", p.reports, p.orders)
}

// TestSpreadMeetings plays the drawn days of TestMeetings and TestFurtherMeetings with
// reports taken by all controllers.
func TestSpreadMeetings(t *testing.T) {
	for _, s := range seeds(t, 32) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w, p := spreadWorld(70000 + s)
			withMeetings(w)
			if s%2 == 0 {
				w.drawMeetings()
				w.Run(1500 * time.Second)
				w.checkOutcome(t, 25)
			} else {
				w.drawFurther()
				w.Run(1500 * time.Second)
				w.furtherVerdict(t)
			}
			p.check(t)
		})
	}
}

// TestSpreadTroubles plays the troubled days with reports taken by all controllers.
func TestSpreadTroubles(t *testing.T) {
	for _, s := range seeds(t, 16) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w, p := spreadWorld(80000 + s)
			w.Workload(60, 200*time.Second)
			for range 8 {
				w.At(w.randomSecs(5, 300), w.injectFault)
			}
			w.calmAfter(400 * time.Second)
			w.Run(1500 * time.Second)
			w.checkOutcome(t, 25)
			p.check(t)
		})
	}
}

// notLeading is a controller that doesn't lead.
func (w *World) notLeading() int {
	i := w.rng.IntN(len(w.nodes))
	if i == w.Leader() {
		i = (i + 1) % len(w.nodes)
	}
	return i
}

// reporterTroubles are what can happen to a controller that passes reports and orders on.
var reporterTroubles = []struct {
	name string
	make func(w *World)
	// calm: no task may lose its lease.
	calm bool
}{
	{"ends with orders in hand", func(w *World) { w.Crash(w.notLeading(), w.randomSecs(0.05, 10)) }, true},
	{"is paused", func(w *World) { w.Freeze(w.notLeading(), w.randomSecs(1, 25)) }, false},
	{"cut from the others, packets held", func(w *World) { w.CutPeers(w.notLeading(), w.randomSecs(2, 40), true) }, false},
	{"cut from the others, connections reset", func(w *World) { w.CutPeers(w.notLeading(), w.randomSecs(2, 40), false) }, false},
	{"the leader is cut from the others and another leads", func(w *World) {
		l := max(0, w.Leader())
		w.CutPeers(l, 30*time.Second, w.rng.IntN(2) == 0)
		w.State.RefuseNode(w.NodeName(l), 20*time.Second)
	}, false},
	{"the leader ends", func(w *World) { w.Crash(max(0, w.Leader()), w.randomSecs(0.05, 5)) }, true},
	{"the leader is paused", func(w *World) { w.Freeze(max(0, w.Leader()), w.randomSecs(1, 12)) }, false},
	{"a lease and more without leaders", func(w *World) {
		for i := range w.nodes {
			w.Crash(i, w.lease()+w.randomSecs(1, 10))
		}
	}, false},
}

// TestReporters: a trouble of the controllers that pass on comes every half minute, with
// copies of messages and messages that are held up alone; no rule is broken, all is done,
// and a controller that ends costs no worker its lease.
func TestReporters(t *testing.T) {
	for i, trouble := range reporterTroubles {
		for _, s := range seeds(t, 3) {
			t.Run(trouble.name+"/"+strconv.FormatUint(s, 10), func(t *testing.T) {
				t.Parallel()
				w, p := spreadWorld(90000 + 100*uint64(i) + s)
				if !trouble.calm {
					w.StallOneIn, w.DuplicateOneIn = 400, 100
				}
				w.Workload(50, 200*time.Second)
				for k := range 8 {
					w.At(time.Duration(20+30*k)*time.Second+w.randomSecs(0, 10), func() { trouble.make(w) })
				}
				w.calmAfter(330 * time.Second)
				w.Run(1200 * time.Second)
				w.checkOutcome(t, 20)
				p.check(t)
				if trouble.calm && w.KilledByLease > 0 {
					t.Errorf("%d tasks were killed by their worker's lease", w.KilledByLease)
				}
			})
		}
	}
}

// TestSpreadUpgrade has controllers of an older program, which know nothing of passing on,
// beside newer ones, and a crash of all in the midst.
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
			w.calmAfter(260 * time.Second)
			w.Run(1200 * time.Second)
			w.checkOutcome(t, 20)
		})
	}
}

// TestSpreadEvenly: reports come to all controllers alike, within seconds of need, and
// the workers of one that ends are taken by the others.
func TestSpreadEvenly(t *testing.T) {
	w := New(Config{Seed: 5, Nodes: 5, Zones: []string{"a", "b", "c"}, Capacity: 300, Initial: 300, CPUs: 16, GPUs: 4, BootS: 15, Sockets: 400,
		RPS: 250, WriteRPS: 60, CloudRPS: 6, Teams: []settings.Team{{Name: "free"}}})
	w.submitSteadily("work", 3, 2*time.Second, 2*time.Second, 100*time.Second, func(int) Job {
		return Job{Kind: "sweep", Team: "free", Tasks: 30, CPUs: 8, RunS: 60}
	})
	at := make([]int, len(w.nodes))
	w.OnSend = func(from string, c actor.Call) {
		for i, s := range w.nodes {
			if c.Path == "/hello" && c.Addr == s.addr {
				at[i]++
			}
		}
	}
	// count is the least and the most that came to a controller, as parts of the mean.
	count := func(from, to time.Duration, nodes int) (least, most float64) {
		w.Run(from)
		clear(at)
		w.Run(to)
		at[w.Leader()] *= 2 // it has other work, and takes half as many
		sum := 0
		for _, n := range at {
			sum += n
		}
		if sum < 500 {
			t.Fatalf("only %d reports", sum)
		}
		mean := float64(sum) / float64(nodes)
		return float64(slices.Min(at)) / mean, float64(slices.Max(at)) / mean
	}
	if least, most := count(30*time.Second, 50*time.Second, 5); least < 0.5 || most > 1.5 {
		t.Errorf("from %.2f to %.2f of the mean came to a controller: %v", least, most, at)
	}
	killed := w.KilledByLease
	w.Crash(w.notLeading(), time.Hour)
	if _, most := count(60*time.Second, 80*time.Second, 4); most > 1.5 {
		t.Errorf("after a controller had ended %.2f of the mean came to another: %v", most, at)
	}
	if w.KilledByLease > killed {
		t.Errorf("%d tasks were killed by their lease", w.KilledByLease-killed)
	}
	for _, b := range w.Violations {
		t.Error(b)
	}
}
