package sim

import (
	"fmt"
	"testing"
	"time"
)

// TestLimitAcrossLeaders has a team with more work than its limit while machines are lost
// and come back, commands arrive late, and leaders crash, are paused and change often. A
// leader must also count tasks whose commands from an earlier leader are still in flight.
// The test sums what the team's tasks use on machines every 250 ms.
func TestLimitAcrossLeaders(t *testing.T) {
	most, changes := 0.0, 0
	for _, seed := range seeds(t, 6) {
		nodes := 3 + 4*int(seed%2)
		w := worldOf(Config{Seed: 4000 + seed, Nodes: nodes})
		w.checkCancelled()
		for i := range 220 {
			w.At(w.randomSecs(3, 240), func() {
				j := Job{ID: fmt.Sprintf("j-%03d", i), Kind: "sweep", Team: "blue", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, GPUs: 1, RunS: 5 + 40*w.rng.Float64(),
					Urgency: []string{"high", "standard", "idle"}[w.rng.IntN(3)], Spot: true, CheckpointS: 5, SaveS: 1}
				if w.rng.IntN(8) == 0 {
					j.Tasks, j.Kind, j.OneZone = 2, "ensemble", true
				}
				w.Submit(j)
			})
		}
		for at := 20 * time.Second; at < 300*time.Second; at += w.randomSecs(10, 35) {
			w.At(at, func() {
				l := max(0, w.Leader())
				switch w.rng.IntN(7) {
				case 0:
					w.Crash(l, w.randomSecs(1, 4))
				case 1:
					for i := range w.nodes {
						w.Crash(i, w.randomSecs(1, 4))
					}
				case 2:
					w.Freeze(l, w.randomSecs(3, 12))
				case 3:
					w.Cut(w.NodeName(l), "state", w.randomSecs(4, 20), true)
				case 4:
					for _, m := range w.Machines() {
						if w.rng.IntN(2) == 0 {
							w.Cut(w.NodeName(l), m.Name, w.randomSecs(5, 60), true)
						}
					}
				default: // lost with their tasks, and back in a new session
					for _, m := range w.Machines() {
						if m.Tasks() > 0 && w.rng.IntN(2) == 0 {
							m.Hang(w.randomSecs(35, 50))
						}
					}
				}
			})
		}
		leader, sessions := -1, map[*Machine]uint64{}
		for w.now < 1500*time.Second && (w.now < 300*time.Second || len(w.Unfinished()) > 0) {
			w.Run(w.now + 250*time.Millisecond)
			use := 0.0
			for _, m := range w.Cloud.machines {
				if sessions[m] > 0 && m.session > sessions[m] && w.rng.IntN(2) == 0 {
					// The machine's tasks are gone and the leader places others; it may crash
					// before these placements are written.
					w.after(w.randomSecs(0.2, 4), func() { w.Crash(max(0, w.Leader()), w.randomSecs(1, 3)) })
				}
				sessions[m] = m.session
				for _, r := range m.tasks {
					if r.phase != "ended" && r.job.team == "blue" {
						use += r.job.gpus
					}
				}
			}
			most = max(most, use)
			if use > 20 {
				t.Fatalf("seed %d: %g of 20 GPUs in use at %v", seed, use, w.now)
			}
			if l := w.Leader(); l >= 0 && l != leader {
				leader, changes = l, changes+1
			}
		}
		w.checkNoBrokenRules(t)
		if u := w.Unfinished(); len(u) > 0 {
			t.Errorf("seed %d: unfinished %v", seed, u)
		}
	}
	if most < 18 {
		t.Errorf("the limit was never reached: %g GPUs", most)
	}
	t.Logf("at most %g of 20 GPUs, %d leaders", most, changes)
}
