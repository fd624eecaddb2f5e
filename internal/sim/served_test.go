package sim

import (
	"testing"
	"time"

	"brooklb/internal/settings"
)

// TestEveryClassIsServed plays days on which one class or team could be forgotten beside
// others, with a change of leader in it: of each at least half of the jobs whose time has
// come is done while the day goes on. What can't be done at all is left out: of the
// large jobs of the last day those that are accepted too late to run through.
func TestEveryClassIsServed(t *testing.T) {
	urgent := func(tasks int, runS float64) func(int) Job {
		return func(int) Job {
			return Job{Kind: "sweep", Team: "free", Tasks: tasks, CPUs: 2, RunS: runS, Spot: true, Urgency: "high", SnapshotS: 5, SaveS: 1}
		}
	}
	low := func(team string, tasks int, cpus, runS float64) func(int) Job {
		return func(int) Job {
			return Job{Kind: "sweep", Team: team, Tasks: tasks, CPUs: cpus, RunS: runS, Spot: true, Urgency: "idle", SnapshotS: 5, SaveS: 1}
		}
	}
	for _, day := range []struct {
		name string
		jobs func(w *World)
	}{
		{"rare under a flood", func(w *World) {
			w.steady("flood", 1, 350*time.Millisecond, 10*time.Second, 260*time.Second, urgent(6, 30))
			w.steady("rare", 2, time.Minute, 20*time.Second, 200*time.Second, low("free", 2, 2, 20))
		}},
		{"a team with one small job", func(w *World) {
			w.steady("flood", 1, 350*time.Millisecond, 10*time.Second, 260*time.Second, urgent(6, 30))
			w.At(100*time.Second, func() {
				w.Submit(Job{ID: "j-900001", Class: "single", Kind: "sweep", Team: "red", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: 10, Spot: true, Urgency: "idle"})
			})
		}},
		{"only a limit is short", func(w *World) {
			w.steady("limited", 1, 5*time.Second, 10*time.Second, 180*time.Second, low("red", 20, 2, 20))
			w.steady("prompt", 2, 6*time.Second, 10*time.Second, 220*time.Second, func(int) Job {
				return Job{Kind: "sweep", Team: "red", Tasks: 4, CPUs: 2, RunS: 5, Spot: true, Urgency: "high"}
			})
		}},
		{"low under high all day", func(w *World) {
			w.steady("high", 1, 500*time.Millisecond, 10*time.Second, 260*time.Second, urgent(4, 40))
			w.steady("low", 2, 8*time.Second, 20*time.Second, 200*time.Second, low("blue", 4, 2, 20))
		}},
		{"large among small", func(w *World) {
			w.steady("small", 1, 800*time.Millisecond, 10*time.Second, 260*time.Second, low("free", 4, 4, 20))
			w.steady("large", 2, 40*time.Second, 20*time.Second, 140*time.Second, low("free", 60, 4, 40))
		}},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 1) {
				w := worldOf(Config{Seed: 800 + seed, Nodes: 3 + 4*int(seed%2), WriteRPS: 40, RPS: 200,
					Objectives: []settings.Objective{{Kind: "wait", Class: "flood", WithinS: 20, Share: 0.9}, {Kind: "wait", Class: "high", WithinS: 20, Share: 0.9},
						{Kind: "wait", Class: "prompt", WithinS: 3, Share: 0.8}, {Kind: "wait", Class: "limited", WithinS: 100, Share: 0.6}}})
				day.jobs(w)
				w.At(130*time.Second, func() { w.Crash(max(0, w.Leader()), 200*time.Millisecond) })
				w.Run(260 * time.Second) // the flood is on still
				w.noneBroken(t)
				for k, c := range w.Served() {
					t.Logf("seed %d: %s: %d of %d done", seed, k, c[2], c[0])
					// A flood by itself is more than there are machines for.
					if k != "flood of free" && k != "high of free" && 2*c[2] < c[0] {
						t.Errorf("seed %d: less than half of %s: %d of %d", seed, k, c[2], c[0])
					}
				}
			}
		})
	}
}
