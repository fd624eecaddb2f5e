package sim

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// injectCombinedFault starts a fault of the given kind that lasts for about d.
func (w *World) injectCombinedFault(kind int, d time.Duration) {
	r, n := w.rng, len(w.nodes)
	l := max(0, w.Leader())
	switch kind {
	case 0: // the state service refuses the leader alone
		w.State.RefuseNode(w.NodeName(l), d)
	case 1: // the state service refuses all, perhaps for longer than cancel_s
		w.State.Outage(min(d, 75*time.Second))
	case 2:
		w.Isolate(l, d, r.IntN(2) == 0)
	case 3:
		w.DelayWrites(0.05+0.4*r.Float64(), d)
	case 4:
		w.RepeatReports(0.05+0.4*r.Float64(), d)
	case 5: // some machines receive nothing, perhaps for longer than a lease
		share := 0.1 + 0.6*r.Float64()
		for _, m := range w.Machines() {
			if r.Float64() < share {
				m.LoseInbound(d)
			}
		}
	case 6: // the leader crashes while machines can't be reached
		for _, m := range w.Machines() {
			if r.IntN(2) == 0 {
				for i := range w.nodes {
					w.Cut(w.NodeName(i), m.Name, d/2, r.IntN(2) == 0)
				}
			}
		}
		w.after(w.randomSecs(0, 4), func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.1, 8)) })
	case 7: // leaders crash in turn, then all controllers crash and one returns first
		for k := range 1 + r.IntN(3) {
			w.after(time.Duration(k)*w.randomSecs(0.1, 2), func() { w.Crash(max(0, w.Leader()), w.shortPause()) })
		}
		w.after(w.randomSecs(0, 3), func() {
			first := r.IntN(n)
			for i := range n {
				back := w.randomSecs(2, 12)
				if i == first {
					back = w.shortPause()
				}
				w.Crash(i, back)
			}
		})
	case 8:
		w.State.SlowDown(d)
	case 9: // machines hang and the leader is paused; then they resume
		ms := w.Machines()
		for range 1 + r.IntN(3) {
			ms[r.IntN(len(ms))].Hang(w.randomSecs(1, 29))
		}
		w.Freeze(l, w.randomSecs(1, 25))
	case 10: // single commands, reports and answers are delayed
		old := w.StallOneIn
		w.StallOneIn = 60
		w.after(d, func() { w.StallOneIn = old })
	default:
		w.injectFault()
	}
}

// combinedFaultKinds is the number of kinds of injectCombinedFault.
const combinedFaultKinds = 12

// combinedFaultSeeds are seeds that once broke a rule. They run first.
var combinedFaultSeeds = []uint64{120, 1054, 1645}

// combinedFaultsWorld returns a simulation with load and message faults. Every third seed has seven
// controllers.
func combinedFaultsWorld(base, seed uint64) *World {
	if seed%3 == 0 {
		return withLoadAndMessageFaults(sevenNodeWorld(base + seed))
	}
	return withLoadAndMessageFaults(world(base + seed))
}

// withLoadAndMessageFaults adds a workload, users behind a load balancer, and slow, delayed and
// duplicated messages.
func withLoadAndMessageFaults(w *World) *World {
	w.StartLoadBalancer()
	w.State.SlowOneIn, w.StallOneIn, w.DuplicateOneIn = 50, 700, 150
	w.Workload(60, 200*time.Second)
	return w
}

// endFaultsAfter ends all message faults 15 s after the given time. From then on the limits
// maxUnanswered and maxWait apply to jobs.
func (w *World) endFaultsAfter(end time.Duration) {
	w.FaultsEndAt = end + 15*time.Second
	w.At(w.FaultsEndAt, func() { w.State.SlowOneIn, w.StallOneIn, w.DuplicateOneIn = 0, 0, 0 })
}

// TestCombinedFaults injects random groups of two or three overlapping faults while users cancel
// and poll.
func TestCombinedFaults(t *testing.T) {
	for _, s := range append(combinedFaultSeeds, seeds(t, 32)...) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w := combinedFaultsWorld(20000, s)
			w.scheduleCombinedFaults()
			w.Run(1500 * time.Second)
			w.checkOutcome(t, 25)
		})
	}
}

// scheduleCombinedFaults schedules random groups of two or three overlapping faults.
func (w *World) scheduleCombinedFaults() {
	end := 100 * time.Second
	for range 5 {
		at, together := w.randomSecs(10, 220), 2+w.rng.IntN(2)
		for range together {
			kind, from, d := w.rng.IntN(combinedFaultKinds), at+w.randomSecs(0, 15), w.randomSecs(3, 100)
			w.At(from, func() { w.injectCombinedFault(kind, d) })
			end = max(end, from+3*d) // some random faults last longer than d
		}
	}
	w.endFaultsAfter(end)
}

// TestIsolatedLeader cuts a leader from the state service and from the other controllers, but not
// from workers and users. The next leader must send its token to some workers, from which the old
// leader learns that it no longer leads. Otherwise the workers stayed with the old leader until the
// end of its hold, 24 s, and the next leaders resigned one after the other. The hold is how long a
// leader answers workers without a fresh proof that it leads.
func TestIsolatedLeader(t *testing.T) {
	for _, c := range []struct {
		nodes int
		quiet bool // no user cancels, so the next leader has no orders for its workers
	}{{3, false}, {3, true}, {7, false}, {7, true}} {
		nodes := c.nodes
		w := worldOf(Config{Seed: uint64(90 + nodes), Nodes: nodes})
		w.checkCancelled()
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 20, CPUs: 3, RunS: 200})
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 8, CPUs: 2, RunS: 4000})
		})
		old := -1
		w.At(60*time.Second, func() {
			old = w.Leader()
			w.Isolate(old, 60*time.Second, true)
			w.UserNode = func() int { return (old + 1) % nodes }
			if !c.quiet {
				w.after(4*time.Second, func() { w.cancel(w.jobs["j-2"]) })
			}
		})
		w.Run(68 * time.Second)
		if _, ok := w.nodes[old].node.Leading(); ok {
			t.Errorf("%d nodes: the old leader still believes that it leads", nodes)
		}
		w.Run(72 * time.Second)
		next := w.Leader()
		for _, m := range w.Machines() {
			if m.up && m.node != next {
				t.Errorf("%d nodes: %s reports to node %d, not to the leader, %d", nodes, m.Name, m.node, next)
			}
		}
		if j := w.jobs["j-2"]; !c.quiet && (j.cancelledAt == 0 || j.tasksOnMachines(w) > 0) {
			t.Errorf("%d nodes: a job cancelled through another node at %v has %d tasks on machines", nodes, j.cancelledAt, j.tasksOnMachines(w))
		}
		w.Run(119 * time.Second)
		if l := w.Leader(); l != next {
			t.Errorf("%d nodes: the leader has changed again", nodes)
		}
		w.Run(400 * time.Second)
		for _, violation := range w.Violations {
			t.Error(violation)
		}
	}
}

// TestMachinesThatReceiveNothing lets half of the machines send reports but receive nothing for
// longer than three leases, while users submit jobs. Such a worker reports to one node after the
// other, so the leader rarely gets its reports and must treat it as silent: it places nothing more
// there. No leader may resign because of a start with an unknown outcome on these machines, and
// all jobs must be done in the end.
func TestMachinesThatReceiveNothing(t *testing.T) {
	t.Parallel()
	sent := 0
	for _, seed := range seeds(t, 6) {
		w := worldOf(Config{Seed: 950 + seed, Nodes: 3})
		w.submitSteadily("steady", 1, 500*time.Millisecond, 5*time.Second, 200*time.Second, func(int) Job {
			return Job{Kind: "sweep", Team: "free", Tasks: 1, CPUs: 5, RunS: 5, ImageGB: 0.1, Image: "i"}
		})
		w.At(40*time.Second, func() {
			for i, m := range w.Machines() {
				if i%2 == 0 {
					m.LoseInbound(100 * time.Second)
				}
			}
		})
		starts := map[string]bool{}
		w.OnSend = func(_ string, c actor.Call) {
			if m := w.Cloud.byAddr[c.Addr]; m != nil && m.losesInbound() && bytes.Contains(c.Body, []byte(`"start"`)) {
				starts[m.Name+string(c.Body)] = true
			}
		}
		w.Run(40 * time.Second)
		token := w.leaderToken()
		w.Run(140 * time.Second)
		if w.leaderToken() != token {
			t.Errorf("seed %d: the leader has changed", seed)
		}
		sent += len(starts)
		w.Run(400 * time.Second)
		w.checkOutcome(t, 250)
	}
	if most := 25 * len(seeds(t, 6)); sent > most {
		t.Errorf("%d starts were sent to machines that receive nothing, more than %d", sent, most)
	}
}

// TestEndsFarApart runs jobs of two or three tasks that end at very different times, since some
// machines are much slower. The leader crashes repeatedly before the writes that record done tasks
// are durable, and the cloud reclaims machines with results. No job may be reported done too early,
// all jobs must end, and few tasks may run again needlessly.
func TestEndsFarApart(t *testing.T) {
	starts, tasks := 0, 0
	for _, seed := range seeds(t, 10) {
		w := world(40000 + seed)
		w.checkCancelled()
		for i, m := range w.Machines() {
			if i%2 == 0 {
				m.SlowFactor = 12
			}
		}
		for i := range 25 {
			n := 2 + i%2
			tasks += n
			w.At(w.randomSecs(3, 120), func() {
				w.Submit(Job{ID: fmt.Sprintf("j-%03d", i), Kind: []string{"sweep", "sweep", "ensemble"}[i%3], Team: "free", Image: "i", ImageGB: 0.2, Tasks: n, CPUs: 7, RunS: w.randomSecs(3, 9).Seconds()})
			})
		}
		for range 8 {
			w.At(w.randomSecs(10, 200), func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.05, 6)) })
		}
		for range 2 {
			w.At(w.randomSecs(20, 160), func() {
				if ms := w.Machines(); len(ms) > 0 {
					w.Cloud.Reclaim(ms[w.rng.IntN(len(ms))], w.randomSecs(0, 8))
				}
			})
		}
		w.Run(900 * time.Second)
		w.checkOutcome(t, 25)
		for _, j := range w.jobs {
			starts += j.starts
		}
	}
	t.Logf("%d starts for %d tasks", starts, tasks)
	if starts > tasks*7/4 {
		t.Errorf("%d starts for %d tasks", starts, tasks)
	}
}
