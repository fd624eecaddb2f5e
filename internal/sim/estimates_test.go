package sim

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/settings"
)

// TestWrongEstimates submits jobs whose owners estimate half, exactly or twice the real run time
// of their tasks, and counts missed deadlines. Without the correction of estimates 49 of 600 jobs
// missed their deadline in the first case.
func TestWrongEstimates(t *testing.T) {
	t.Parallel()
	for _, wrong := range []float64{0.5, 1, 2} {
		late, cost := 0, 0.0
		for seed := range uint64(3) {
			w := New(Config{Seed: seed, Nodes: 3, Zones: []string{"a", "b", "c"}, Capacity: 14, Initial: 6, CPUs: 16, GPUs: 4, BootS: 30,
				Teams: []settings.Team{{Name: "free"}}, Objectives: []settings.Objective{{Kind: "deadline", Class: "c-sweep", Times: 1}}})
			done := map[string]time.Duration{}
			n := 0
			for at := 3 * time.Second; at < 600*time.Second; at += w.randomSecs(1, 5) {
				run := 20 + 60*w.rng.Float64()
				id := fmt.Sprintf("j-%04d", n)
				n++
				w.At(at, func() {
					w.Submit(Job{ID: id, Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1 + w.rng.IntN(12), CPUs: 4, RunS: run,
						EstimateS: run * wrong, DeadlineS: 3*run + 20, Spot: true})
				})
			}
			for w.now < 1100*time.Second {
				w.Run(w.now + time.Second)
				for id, j := range w.jobs {
					if done[id] == 0 && len(j.results) == j.tasks {
						done[id] = w.now - j.Submitted
					}
				}
			}
			for _, violation := range w.Violations {
				t.Error(violation)
			}
			for id, j := range w.jobs {
				if d := done[id]; d == 0 || d.Seconds() > 3*j.runS+20 {
					late++
				}
			}
			cost += w.Cloud.Cost
		}
		if late > 30 {
			t.Errorf("estimates %v times the real run time: %d late", wrong, late)
		}
		t.Logf("estimates %v times the real run time: %d late, %.0f machine seconds", wrong, late, cost)
	}
}
