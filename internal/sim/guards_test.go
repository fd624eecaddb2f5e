package sim

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestLateTransaction guards the condition on a chunk's version: a placement's transaction is
// delayed, the cloud announces that it will reclaim the machine, the task is placed elsewhere, and
// then the delayed transaction arrives. Without the condition it would be applied, and the next
// leader would start the task on the first machine, too.
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
		for _, m := range w.Machines() { // the reports of the machine with the task arrive late
			for i := range w.nodes {
				if len(m.tasks) > 0 {
					w.Cut(w.NodeName(i), m.Name, 15*time.Second, false)
				}
			}
		}
	})
	w.Run(60 * time.Second)
	placedOn := ""
	for _, m := range w.Machines() {
		for _, r := range m.sortedTasks() {
			if r.job.id == "j-1" && r.onMachine() {
				placedOn += m.Name
			}
		}
	}
	if held == "" || placedOn == "" || strings.Contains(placedOn, held) {
		t.Errorf("placement on %q was delayed, task is on %q: the simulation did not reach the state under test", held, placedOn)
	}
	w.Run(300 * time.Second)
	w.checkOutcome(t, 1)
}

// TestCancelBeforeStart guards the condition on a job's record: the leader learns late of a
// cancellation, while room for the job becomes free. Once the user has the confirmation, no task
// of the job may be started.
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
		w.At(5*time.Second, func() { // tasks that fill all six machines and end one after the other
			for i, s := range []float64{22, 24.3, 24.9, 25.3, 25.7, 26} {
				w.Submit(Job{ID: "j-1" + string(rune('0'+i)), Kind: "sweep", Team: "free", Urgency: "high", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 14, RunS: s})
			}
		})
		w.At(28*time.Second, func() {
			lead = w.NodeName(w.Leader())
			w.Cloud.Outage(30 * time.Second) // no machine can be rented
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 9, CPUs: 14, RunS: 30, CancelAfter: 2300 * time.Millisecond})
		})
		before := -1
		var watchConfirmation func()
		watchConfirmation = func() {
			if j := w.jobs["j-2"]; j != nil && j.cancelledAt > 0 && before < 0 {
				before = j.starts
				started += before
				return
			}
			w.after(time.Millisecond, watchConfirmation)
		}
		w.At(28*time.Second, watchConfirmation)
		w.Run(60 * time.Second)
		// A start that was in flight when the user got the confirmation may still arrive.
		if n := w.Starts("j-2"); before < 0 || n > before+1 {
			t.Errorf("seed %d: %d starts before the cancellation was confirmed, %d in total", seed, before, n)
		}
		w.Run(200 * time.Second)
		for _, violation := range w.Violations {
			t.Error(violation)
		}
	}
	t.Logf("%d starts before the cancellations", started)
}

// TestLateStart guards the rule that a worker keeps an attempt while a copy of its start may be
// in flight: the copy arrives minutes later, long after the job was cancelled, and a worker that
// no longer knew the attempt would execute it.
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
		w.Submit(Job{ID: "j-2", Kind: "standing", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 5, CPUs: 9}) // keeps the machines from being returned
	})
	w.Run(200 * time.Second)
	if held == 0 || w.Starts("j-1") == 0 {
		t.Errorf("%d starts delayed, %d executed: the simulation did not reach the state under test", held, w.Starts("j-1"))
	}
	for _, violation := range w.Violations {
		t.Error(violation)
	}
}
