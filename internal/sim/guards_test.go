package sim

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestLateTransaction is the day that shows what the condition on a chunk's
// version is for: a placement's transaction is held up, its machine is about to
// be taken, the task goes elsewhere, and then the first one is applied. Without
// the condition the next leader starts the task where that one says, too.
func TestLateTransaction(t *testing.T) {
	w := world(41)
	at := regexp.MustCompile(`1@(vm-[0-9]+)`)
	held := ""
	w.RequestDelay = func(from string, c actor.Call) time.Duration {
		if held != "" || !strings.Contains(c.Path, "/commit") || !bytes.Contains(c.Body, []byte(`"write":"b/t/j-1/`)) {
			return 0
		}
		m := at.FindSubmatch(c.Body)
		if m == nil {
			return 0
		}
		held = string(m[1])
		for _, x := range w.Machines() {
			if x.Name == held {
				w.Cloud.Reclaim(x, 100*time.Second)
			}
		}
		return 6 * time.Second
	}
	w.At(5*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 4, RunS: 60})
	})
	w.At(15*time.Second, func() {
		w.Crash(w.Leader(), 2*time.Second)
		for _, m := range w.Machines() { // the machine that has it is heard late
			for i := range w.nodes {
				if len(m.tasks) > 0 {
					w.Cut(w.NodeName(i), m.Name, 15*time.Second, false)
				}
			}
		}
	})
	w.Run(60 * time.Second)
	on := ""
	for _, m := range w.Machines() {
		for _, r := range m.sortedTasks() {
			if r.job.id == "j-1" && r.onMachine() {
				on += m.Name
			}
		}
	}
	if held == "" || on == "" || strings.Contains(on, held) {
		t.Errorf("held %q, on %q: the day didn't come to what it should show", held, on)
	}
	w.Run(300 * time.Second)
	w.checkOutcome(t, 1)
}

// TestCancelBeforeStart is the day that shows what the condition on a job's
// record is for: the leader doesn't hear of a cancellation, and room for the job
// falls free. From the moment the user is told, nothing of it may be started.
func TestCancelBeforeStart(t *testing.T) {
	started := 0
	for seed := uint64(1); seed <= 8; seed++ {
		w := world(seed)
		lead := ""
		w.AnswerDelay = func(from string, c actor.Call) time.Duration {
			if from == lead && strings.Contains(c.Path, "/changes") && w.now > 29500*time.Millisecond && w.now < 32*time.Second {
				return 3 * time.Second
			}
			return 0
		}
		w.At(5*time.Second, func() { // all six machines, tasks that end one after the other
			for i, s := range []float64{22, 24.3, 24.9, 25.3, 25.7, 26} {
				w.Submit(Job{ID: "j-1" + string(rune('0'+i)), Kind: "sweep", Team: "free", Urgency: "high", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 14, RunS: s})
			}
		})
		w.At(28*time.Second, func() {
			lead = w.NodeName(w.Leader())
			w.Cloud.Outage(30 * time.Second) // nothing is rented
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 9, CPUs: 14, RunS: 30, CancelAfter: 2300 * time.Millisecond})
		})
		before := -1
		var look func()
		look = func() {
			if j := w.jobs["j-2"]; j != nil && j.cancelledAt > 0 && before < 0 {
				before = j.starts
				started += before
				return
			}
			w.after(time.Millisecond, look)
		}
		w.At(28*time.Second, look)
		w.Run(60 * time.Second)
		// A start that was under way when the user was told may arrive.
		if n := w.Starts("j-2"); before < 0 || n > before+1 {
			t.Errorf("seed %d: %d starts before the user was told of the cancellation, %d in all", seed, before, n)
		}
		w.Run(200 * time.Second)
		for _, b := range w.Violations {
			t.Error(b)
		}
	}
	t.Logf("%d starts before the cancellations", started)
}

// TestLateStart is the day that shows why a worker isn't told to forget an
// attempt while a copy of its start may be under way: the copy comes minutes
// later, when the job has long been cancelled, and would be executed.
func TestLateStart(t *testing.T) {
	w := world(42)
	held := 0
	w.RequestDelay = func(from string, c actor.Call) time.Duration {
		if c.Path == "/orders" && bytes.Contains(c.Body, []byte(`"start"`)) && bytes.Contains(c.Body, []byte(`j-1/`)) {
			held++
			return 100 * time.Second
		}
		return 0
	}
	w.At(5*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "standing", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 4, CancelAfter: 15 * time.Second})
		w.Submit(Job{ID: "j-2", Kind: "standing", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 5, CPUs: 9}) // keeps the machines
	})
	w.Run(200 * time.Second)
	if held == 0 || w.Starts("j-1") == 0 {
		t.Errorf("%d starts held, %d executed: the day didn't come to what it should show", held, w.Starts("j-1"))
	}
	for _, b := range w.Violations {
		t.Error(b)
	}
}
