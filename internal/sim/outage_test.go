package sim

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// TestOutages simulates long outages of the state service. Around their beginning users cancel through
// any node, the state service refuses single nodes, nodes are cut from each other (delayed messages
// arrive in the outage), crash or are paused, and workers reach only some nodes. No task may run
// longer than cancel_s after its cancellation, and no task may run twice.
func TestOutages(t *testing.T) {
	t.Parallel()
	killed, ran := 0, 0
	for _, seed := range seeds(t, 40) {
		w := world(30000 + seed)
		if seed%4 == 0 {
			w = sevenNodeWorld(30000 + seed)
		}
		r, n := w.rng, len(w.nodes)
		w.checkCancelled()
		for i := range 14 {
			shape := []string{"sweep", "sweep", "standing", "ensemble"}[i%4]
			w.At(w.randomSecs(4, 12), func() {
				w.Submit(Job{ID: fmt.Sprintf("j-%d", i), Kind: shape, Team: "free", Image: "i", ImageGB: 0.1, Tasks: 2 + i%2, CPUs: 2, RunS: 4000, CheckpointS: 20, SaveS: 4})
			})
		}
		const out = 60 * time.Second
		w.At(out, func() { w.State.Outage(w.randomSecs(60, 130)) })
		for i := range 8 {
			at := out - w.randomSecs(0, 0.4)
			if i%2 == 0 {
				at = out - w.randomSecs(0, 6)
			}
			w.At(at, func() { w.cancel(w.jobs[fmt.Sprintf("j-%d", i)]) })
		}
		for range 2 + r.IntN(4) {
			d := w.randomSecs(1, 90)
			w.At(out+w.randomSecs(-6, 25), func() {
				l, k := max(0, w.Leader()), r.IntN(n)
				switch r.IntN(8) {
				case 0, 1:
					w.Cut(w.NodeName(l), w.NodeName((l+1+r.IntN(n-1))%n), d, r.IntN(3) > 0)
				case 2:
					w.Cut(w.NodeName(k), w.NodeName((k+1)%n), d, r.IntN(3) > 0)
				case 3:
					w.State.RefuseNode(w.NodeName([]int{l, k}[r.IntN(2)]), d)
				case 4:
					w.Crash([]int{l, k}[r.IntN(2)], w.randomSecs(0.05, 8))
				case 5:
					w.Freeze([]int{l, k}[r.IntN(2)], d/3)
				case 6:
					for _, m := range w.Machines() {
						if r.IntN(2) == 0 {
							w.Cut(w.NodeName(k), m.Name, d, r.IntN(2) == 0)
						}
					}
				default:
					w.Isolate(l, d, r.IntN(2) == 0)
				}
			})
		}
		w.At(out, func() {
			for _, m := range w.Machines() {
				ran += len(m.tasks)
			}
		})
		w.Run(400 * time.Second)
		for _, violation := range w.Violations {
			t.Errorf("seed %s: %s", strconv.FormatUint(seed, 10), violation)
		}
		killed += w.KilledByLease
	}
	t.Logf("%d of %d tasks that ran were killed by their workers' leases", killed, ran)
}

// TestLeaderStaysThroughAnOutage guards against a leader that resigns in a long outage, or as soon
// as the outage is over, and returns its machines because it had to refuse the workers' reports. One
// follower is cut from the leader, so that its hold ends: the time for which it answers workers
// without a fresh proof that it leads.
func TestLeaderStaysThroughAnOutage(t *testing.T) {
	for _, seed := range seeds(t, 3) {
		w := world(31000 + seed)
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 12, CPUs: 7, RunS: 100})
		})
		w.Run(30 * time.Second)
		old := w.Leader()
		w.Cut(w.NodeName(old), w.NodeName((old+1)%3), 78*time.Second, false)
		w.State.Outage(75 * time.Second)
		before := w.Machines()
		w.Run(125 * time.Second)
		for _, m := range before {
			if m.gone {
				t.Errorf("seed %d: %s was returned", seed, m.Name)
			}
		}
		if l := w.Leader(); l != old {
			t.Errorf("seed %d: %d leads after the outage, %d before", seed, l, old)
		}
		if w.KilledByLease == 0 {
			t.Errorf("seed %d: no lease expired: the simulation did not reach the state under test", seed)
		}
		w.Run(500 * time.Second)
		w.checkOutcome(t, 1)
	}
}
