package sim

import (
	"testing"
	"time"

	"brooklb/internal/settings"
)

// TestEveryClassIsServed runs loads under which the work of others could starve one class
// or team, with a change of leader. At least half of the jobs of each class of each team
// are done while the load lasts. The floods, which are more than the machines can do, are
// exempt, and large jobs are submitted early enough to run through.
func TestEveryClassIsServed(t *testing.T) {
	urgent := func(tasks int, runS float64) func(int) Job {
		return func(int) Job {
			return Job{Kind: "sweep", Team: "free", Tasks: tasks, CPUs: 2, RunS: runS, Spot: true, Urgency: "high", CheckpointS: 5, SaveS: 1}
		}
	}
	low := func(team string, tasks int, cpus, runS float64) func(int) Job {
		return func(int) Job {
			return Job{Kind: "sweep", Team: team, Tasks: tasks, CPUs: cpus, RunS: runS, Spot: true, Urgency: "idle", CheckpointS: 5, SaveS: 1}
		}
	}
	for _, load := range []struct {
		name string
		jobs func(w *World)
	}{
		{"rare under a flood", func(w *World) {
			w.submitSteadily("flood", 1, 350*time.Millisecond, 10*time.Second, 260*time.Second, urgent(6, 30))
			w.submitSteadily("rare", 2, time.Minute, 20*time.Second, 200*time.Second, low("free", 2, 2, 20))
		}},
		{"a team with one small job", func(w *World) {
			w.submitSteadily("flood", 1, 350*time.Millisecond, 10*time.Second, 260*time.Second, urgent(6, 30))
			w.At(100*time.Second, func() {
				w.Submit(Job{ID: "j-900001", Class: "single", Kind: "sweep", Team: "red", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: 10, Spot: true, Urgency: "idle"})
			})
		}},
		{"only a limit is short", func(w *World) {
			w.submitSteadily("limited", 1, 5*time.Second, 10*time.Second, 180*time.Second, low("red", 20, 2, 20))
			w.submitSteadily("prompt", 2, 6*time.Second, 10*time.Second, 220*time.Second, func(int) Job {
				return Job{Kind: "sweep", Team: "red", Tasks: 4, CPUs: 2, RunS: 5, Spot: true, Urgency: "high"}
			})
		}},
		{"low under high throughout", func(w *World) {
			w.submitSteadily("high", 1, 500*time.Millisecond, 10*time.Second, 260*time.Second, urgent(4, 40))
			w.submitSteadily("low", 2, 8*time.Second, 20*time.Second, 200*time.Second, low("blue", 4, 2, 20))
		}},
		{"large among small", func(w *World) {
			w.submitSteadily("small", 1, 800*time.Millisecond, 10*time.Second, 260*time.Second, low("free", 4, 4, 20))
			w.submitSteadily("large", 2, 40*time.Second, 20*time.Second, 140*time.Second, low("free", 60, 4, 40))
		}},
	} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 1) {
				w := worldOf(Config{Seed: 800 + seed, Nodes: 3 + 4*int(seed%2), WriteRPS: 40, RPS: 200,
					Objectives: []settings.Objective{{Kind: "wait", Class: "flood", WithinS: 20, Share: 0.9}, {Kind: "wait", Class: "high", WithinS: 20, Share: 0.9},
						{Kind: "wait", Class: "prompt", WithinS: 3, Share: 0.8}, {Kind: "wait", Class: "limited", WithinS: 100, Share: 0.6}}})
				load.jobs(w)
				w.At(130*time.Second, func() { w.Crash(max(0, w.Leader()), 200*time.Millisecond) })
				w.Run(260 * time.Second) // until the flood ends
				w.checkNoBrokenRules(t)
				for k, c := range w.Served() {
					t.Logf("seed %d: %s: %d of %d done", seed, k, c[2], c[0])
					// A flood alone is more than the machines can do.
					if k != "flood of free" && k != "high of free" && 2*c[2] < c[0] {
						t.Errorf("seed %d: less than half of %s done: %d of %d", seed, k, c[2], c[0])
					}
				}
			}
		})
	}
}
