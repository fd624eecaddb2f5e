package placement

import (
	"testing"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// TestRetakenCapacity guards against a projection in which waiting jobs get all capacity
// that becomes free. Future jobs of higher priority take the capacity of earlier ones again,
// and the waiting tasks of a team at its limit take the capacity that the team frees.
func TestRetakenCapacity(t *testing.T) {
	w := newWorld(1, 4)
	spec := func(team string, prio model.Priority, tasks int, s float64) model.Spec {
		return model.Spec{Team: team, Tasks: tasks, Priority: prio, Image: "i", Resources: model.Resources{CPUs: 1, GPUs: 1}, EstimateS: s, Spot: true}
	}
	w.job(spec("free", model.High, 16, 10))
	w.job(spec("red", model.Low, 8, 60))
	w.job(spec("free", model.Low, 8, 100))
	Run(w.l, w.v, w.l.Order(), func(*ledger.Job) {})
	first := func(j *ledger.Job, retaken float64, queued map[string]bool) (at []time.Duration) {
		q := NewProjection(w.l, w.v, Retaken{model.High: retaken}, queued).MachineQueue(j)
		for range 17 {
			if d, ok := q.First(); ok {
				at = append(at, (d - w.v.Now).Round(time.Second))
				q.Book()
			}
		}
		return at
	}
	low, high := w.job(spec("red", model.Low, 20, 60)), w.job(spec("blue", model.High, 20, 10))
	for _, c := range []struct {
		name      string
		j         *ledger.Job
		retaken   float64
		queued    map[string]bool
		soon, all int // how many of 17 tasks start within 15 s and within 70 s
	}{
		{"no capacity is retaken", low, 0, nil, 16, 17},
		{"half of the capacity is retaken", low, 0.5, nil, 8, 17},
		{"all capacity is retaken", low, 1, nil, 0, 8},
		{"all capacity is retaken and the team is at its limit", low, 1, map[string]bool{"red": true}, 0, 0},
		{"job of the same priority as future jobs", high, 1, map[string]bool{"red": true}, 16, 17},
	} {
		soon, all := 0, 0
		for _, d := range first(c.j, c.retaken, c.queued) {
			if d <= 15*time.Second {
				soon++
			}
			if d <= 70*time.Second {
				all++
			}
		}
		if soon != c.soon || all != c.all {
			t.Errorf("%s: %d start within 15 s and %d within 70 s, want %d and %d", c.name, soon, all, c.soon, c.all)
		}
	}
}
