package sim

import (
	"fmt"
	"testing"
	"time"
)

// pollWorld returns a simulation with running and ended jobs, and a follower that serves users.
func pollWorld() (w *World, s *simNode) {
	w = world(61)
	for i := range 40 {
		run := 600.0
		if i%2 == 0 {
			run = 5
		}
		w.At(time.Duration(3000+100*i)*time.Millisecond, func() {
			w.Submit(Job{ID: fmt.Sprintf("j-%d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: run})
		})
	}
	w.Run(40 * time.Second)
	return w, w.nodes[(w.Leader()+1)%3]
}

// TestPollStorm guards against a load on the state service in proportion to the number of polls. A
// node must confirm the polls of running jobs, hundreds a second, in batches, and needs no
// confirmation for those of ended jobs.
func TestPollStorm(t *testing.T) {
	for _, running := range []bool{true, false} {
		w, s := pollWorld()
		before, answered, refused := w.State.Requests[s.host], 0, 0
		const n = 4000 // in ten seconds
		for i := range n {
			id := 2 * (i % 20)
			if running {
				id++
			}
			w.after(time.Duration(i)*10*time.Second/n, func() {
				s.serve("users", "GET", fmt.Sprintf("/v2/runs/j-%d", id), nil, func(status int, _ []byte) {
					if status == 200 {
						answered++
					} else {
						refused++
					}
				})
			})
		}
		w.Run(w.now + 12*time.Second)
		asked := w.State.Requests[s.host] - before
		if answered < n*95/100 || answered+refused != n {
			t.Errorf("running %v: %d of %d polls answered, %d refused", running, answered, n, refused)
		}
		// A follower may make a quarter of the 150 requests a second, for all of its work.
		if asked > 12*38 || (!running && asked > 12*20) {
			t.Errorf("running %v: %d requests to the state service for %d polls", running, asked, n)
		}
		t.Logf("running %v: %d polls answered, %d refused, %d requests to the state service", running, answered, refused, asked)
	}
}

// BenchmarkPoll measures a poll, including the work of the stand-ins.
func BenchmarkPoll(b *testing.B) {
	for _, running := range []bool{true, false} {
		b.Run(fmt.Sprintf("running=%v", running), func(b *testing.B) {
			w, s := pollWorld()
			path := "/v2/runs/j-2"
			if running {
				path = "/v2/runs/j-3"
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.serve("users", "GET", path, nil, func(int, []byte) {})
				if i%40 == 39 {
					w.Run(w.now + 100*time.Millisecond)
				}
			}
		})
	}
}
