package placement

import (
	"testing"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// TestWhatIsTakenAgain guards the projection against taking every place that falls free
// for the work that waits: what comes of higher priority takes its own again, and a team
// that waits for its limit has a queue of its own for what it leaves.
func TestWhatIsTakenAgain(t *testing.T) {
	w := newWorld(1, 4)
	spec := func(team string, prio model.Priority, tasks int, s float64) model.Spec {
		return model.Spec{Team: team, Tasks: tasks, Priority: prio, Image: "i", Need: model.Need{CPUs: 1, GPUs: 1}, EstimateS: s, Spot: true}
	}
	w.job(spec("free", model.High, 16, 10))
	w.job(spec("red", model.Low, 8, 60))
	w.job(spec("free", model.Low, 8, 100))
	Run(w.l, w.v, w.l.Order(), func(*ledger.Job) {})
	first := func(j *ledger.Job, retaken float64, queued map[string]bool) (at []time.Duration) {
		q := NewProjection(w.l, w.v, Retaken{model.High: retaken}, queued).Queue(j)
		for range 17 {
			if d, ok := q.First(); ok {
				at = append(at, (d - w.v.Now).Round(time.Second))
				q.Take()
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
		soon, all int // of 17 tasks how many start within 15 s and within 70 s
	}{
		{"nothing is taken again", low, 0, nil, 16, 17},
		{"half of it", low, 0.5, nil, 8, 17},
		{"all of it", low, 1, nil, 0, 8},
		{"all, and the team waits for its limit", low, 1, map[string]bool{"red": true}, 0, 0},
		{"as urgent as what comes", high, 1, map[string]bool{"red": true}, 16, 17},
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
