package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestLimitDuringFailover guards against a team that exceeds its limit (the rule `quota`). The
// team is at its limit when the leader changes one to three times, some of its machines can't be
// reached, and its jobs are cancelled while more of its work waits. A task that may still run
// counts until it is proven to have ended, even if its record is deleted before. The waiting work
// is started in the end.
func TestLimitDuringFailover(t *testing.T) {
	for _, c := range []struct {
		name    string
		team    string
		shape   string
		cpus    float64
		gpus    float64
		tasks   int
		changes int
		isolate func(w *World, m *Machine, d time.Duration)
	}{
		{"CPUs, arrays, cut", "red", "sweep", 8, 0, 20, 1, func(w *World, m *Machine, d time.Duration) { w.cutFromControllers(m, d, true) }},
		{"CPUs, arrays, no reports", "red", "sweep", 8, 0, 20, 2, func(_ *World, m *Machine, d time.Duration) { m.BlockOutbound(d) }},
		{"CPUs, arrays, hanging", "red", "sweep", 8, 0, 20, 3, func(_ *World, m *Machine, d time.Duration) { m.Hang(min(d, 29*time.Second)) }},
		{"CPUs, gangs, cut", "red", "ensemble", 8, 0, 4, 2, func(w *World, m *Machine, d time.Duration) { w.cutFromControllers(m, d, false) }},
		{"GPUs, gangs, cut", "blue", "ensemble", 2, 2, 2, 3, func(w *World, m *Machine, d time.Duration) { w.cutFromControllers(m, d, true) }},
		{"GPUs, arrays, answers lost", "blue", "sweep", 2, 2, 10, 2, func(_ *World, m *Machine, d time.Duration) { m.LoseInbound(d) }},
		{"GPUs, services, no reports", "blue", "standing", 2, 2, 10, 3, func(_ *World, m *Machine, d time.Duration) { m.BlockOutbound(d) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 4) {
				const from = 70 * time.Second
				w := worldOf(Config{Seed: 1300 + seed, Nodes: 3})
				w.checkCancelled()
				n := 20 / c.tasks // as many jobs as the limit holds
				if c.team == "blue" {
					n = 10 / c.tasks
				}
				job := func(id string, runS float64) {
					w.Submit(Job{ID: id, Kind: c.shape, Team: c.team, Image: "i", ImageGB: 0.1, Tasks: c.tasks, CPUs: c.cpus, GPUs: c.gpus, RunS: runS})
				}
				w.At(5*time.Second, func() {
					for i := range n {
						job(fmt.Sprintf("j-9%02d", i), 4000)
					}
				})
				isolated, isolatedTasks := 0, 0
				w.At(from, func() {
					use := 0.0
					for _, m := range w.Machines() {
						mine := 0
						for _, r := range m.sortedTasks() {
							if r.job.team == c.team {
								mine++
								use += c.cpus
							}
						}
						if mine > 0 && isolated < 4 {
							isolated++
							isolatedTasks += mine
							c.isolate(w, m, w.randomSecs(20, 100))
						}
					}
					if limit := map[string]float64{"red": 160, "blue": 20}[c.team]; use < limit*0.9 {
						t.Errorf("seed %d: the team uses %v of %v: the intended scenario did not occur", seed, use, limit)
					}
					for k := range c.changes {
						w.after(time.Duration(k)*w.randomSecs(4, 12), func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.1, 8)) })
					}
					w.after(w.randomSecs(0, 10), func() {
						for i := range n {
							w.cancel(w.jobs[fmt.Sprintf("j-9%02d", i)])
						}
					})
					for i := range n { // the team's other work waits for its share of the limit
						w.after(w.randomSecs(0, 10), func() { job(fmt.Sprintf("j-8%02d", i), 20) })
					}
				})
				w.FaultsEndAt = from + 110*time.Second
				if c.shape == "standing" {
					w.At(from+300*time.Second, func() {
						for i := range n {
							w.cancel(w.jobs[fmt.Sprintf("j-8%02d", i)])
						}
					})
				}
				w.Run(800 * time.Second)
				w.checkNoBrokenRules(t)
				if u := w.Unfinished(); len(u) > 0 {
					t.Errorf("seed %d: unfinished: %v", seed, u)
				}
				if isolatedTasks == 0 || w.Starts("j-800") == 0 {
					t.Errorf("seed %d: %d tasks on unreachable machines, %d starts of waiting tasks: the intended scenario did not occur", seed, isolatedTasks, w.Starts("j-800"))
				}
			}
		})
	}
}

// cutFromControllers cuts a machine off from all controllers.
func (w *World) cutFromControllers(m *Machine, d time.Duration, hold bool) {
	for i := range w.nodes {
		w.Cut(w.NodeName(i), m.Name, d, hold)
	}
}

// TestDelayedReports delays reports of some or all machines until a new leader has acted, so that
// they arrive there before or after the new leader asked the worker itself, also under a token
// that the worker had not seen when it sent them. An outdated report must not override what has
// started or ended since.
func TestDelayedReports(t *testing.T) {
	for _, c := range []struct {
		name          string
		share         float64
		longestDelayS float64 // the shortest delay is half of it
		twice         bool    // the leader changes once more
	}{
		{"one, for a short time", 0.1, 3, false},
		{"one, for long", 0.1, 25, false},
		{"all, for a short time", 1, 3, false},
		{"all, until the new leader has asked", 1, 12, false},
		{"all, for long", 1, 40, false},
		{"half, through two changes", 0.5, 25, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			delayed := 0
			for _, seed := range seeds(t, 4) {
				w := worldOf(Config{Seed: 1400 + seed, Nodes: 3})
				w.checkCancelled()
				for i := range 40 {
					w.At(w.randomSecs(5, 100), func() {
						w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: []string{"sweep", "ensemble", "sweep"}[i%3], Team: []string{"red", "free"}[i%2], Image: "i", ImageGB: 0.1, Tasks: 1 + i%4, CPUs: 4, RunS: 3 + float64(i%20), CheckpointS: 5, SaveS: 1,
							CancelAfter: time.Duration(i%5/4) * 20 * time.Second, Spot: true, Urgency: []string{"high", "idle"}[i%2]})
					})
				}
				reporters := map[string]bool{}
				for at := 30 * time.Second; at < 110*time.Second; at += 25 * time.Second {
					w.At(at-w.randomSecs(0.2, 1.5), func() { reporters = map[string]bool{} })
					w.At(at, func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.05, 5)) })
					if c.twice {
						w.At(at+8*time.Second, func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.05, 5)) })
					}
				}
				w.RequestDelay = func(from string, a actor.Call) time.Duration {
					if a.Path != "/hello" || w.now < 28*time.Second || w.now > 115*time.Second || reporters[from] || w.rng.Float64() >= c.share {
						return 0
					}
					reporters[from] = true // one report of each machine around each change
					delayed++
					return w.randomSecs(c.longestDelayS/2, c.longestDelayS)
				}
				w.FaultsEndAt = 180 * time.Second
				w.Run(600 * time.Second)
				w.checkOutcome(t, 20)
			}
			if delayed < 10 {
				t.Errorf("%d reports were delayed: the intended scenario did not occur", delayed)
			}
		})
	}
}

// TestMoreWorkOverSlowLinks has more work than the machines have room for, urgent and not, while
// each message between controllers and workers takes 0.3 to 2 s. Many direct commands then get no
// answer in time, and the starts whose outcome is unknown accumulate. The rules hold, half of each
// class is done, and the leader doesn't step down repeatedly.
func TestMoreWorkOverSlowLinks(t *testing.T) {
	t.Parallel()
	for _, lo := range []float64{0.3, 0.8, 1.2} {
		leaders, direct := map[uint64]bool{}, 0
		for _, seed := range seeds(t, 2) {
			w := worldOf(Config{Seed: 1500 + seed, Nodes: 3})
			w.checkCancelled()
			w.SlowLinks(KindNode, KindMachine, lo, lo+0.8, 300*time.Second)
			w.submitSteadily("urgent", 1, 3*time.Second, 10*time.Second, 260*time.Second, func(int) Job {
				return Job{Kind: "sweep", Team: "red", Tasks: 8, CPUs: 4, RunS: 20, Spot: true, Urgency: "high", CheckpointS: 5, SaveS: 2}
			})
			w.submitSteadily("low", 2, 4*time.Second, 10*time.Second, 260*time.Second, func(i int) Job {
				return Job{Kind: []string{"sweep", "ensemble"}[i%2], Team: "free", Tasks: 6, CPUs: 8, RunS: 30, Spot: true, Urgency: "idle", CheckpointS: 5, SaveS: 3}
			})
			w.OnSend = func(_ string, a actor.Call) {
				if a.Path == "/orders" && strings.Contains(string(a.Body), `"start"`) {
					direct++
				}
			}
			for at := 30 * time.Second; at < 300*time.Second; at += time.Second {
				w.At(at, func() { leaders[uint64(1000*seed)+w.leaderToken()] = true })
			}
			w.FaultsEndAt = 320 * time.Second
			w.Run(900 * time.Second)
			w.checkOutcome(t, 80)
			for k, n := range w.Served() {
				if 2*n[2] < n[0] {
					t.Errorf("links of %v s, seed %d: %d of %d %s done", lo, seed, n[2], n[0], k)
				}
			}
		}
		t.Logf("links of %v to %v s: %d direct starts, %d leaders in all", lo, lo+0.8, direct, len(leaders))
		if len(leaders) > 6*len(seeds(t, 2)) {
			t.Errorf("links of %v s: %d leaders", lo, len(leaders))
		}
	}
}
