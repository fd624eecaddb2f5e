package ledger

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/model"
)

// TestWhoIsAtFault guards against taking a wide array of short tasks for a job with a mistake
// because some of its tasks failed on faulty machines before any was done. A job that fails on
// every machine must still be found to be at fault.
func TestWhoIsAtFault(t *testing.T) {
	for _, c := range []struct {
		tasks, bad int // tasks, each on its own machine, and how many of them fail
		fault      bool
	}{{20, 1, false}, {20, 2, false}, {20, 9, false}, {20, 20, true}, {2, 2, true}, {1, 1, false}, {3, 2, true}} {
		e, l := newTestLedger(t, map[string]string{JobKey("j-1"): record("j-1", c.tasks, 50, Open)})
		j := l.Jobs["j-1"]
		var ps []*Placement
		for i := range j.Tasks {
			m := l.Machine(fmt.Sprintf("m%02d", i))
			l.Describe(m, "g8", "z", false)
			p := l.Plan(j, i, 1, m)
			p.Durable, p.Phase, p.RunSince = true, model.Running, e.now
			ps = append(ps, p)
		}
		for _, p := range ps[:c.bad] {
			p.Phase = model.Exited
			l.MarkFailed(p)
			l.MarkLost(p, model.CauseError)
		}
		if j.Faulty() != c.fault {
			t.Errorf("%d of %d tasks failed: at fault %v, want %v", c.bad, c.tasks, j.Faulty(), c.fault)
		}
		// A task that is done shows that the job has no mistake.
		l.MarkHealthy(j)
		if j.Faulty() {
			t.Error("job is at fault although one of its tasks was done")
		}
	}
}

// TestTrialThatRuns guards against requiring that a trial ends before a healthy job, which was
// found at fault because of faulty machines, may start its other tasks. A service's trial never
// ends, so eleven of twelve instances were never started.
func TestTrialThatRuns(t *testing.T) {
	e, l := newTestLedger(t, map[string]string{JobKey("j-1"): record("j-1", 12, 50, Open)})
	j := l.Jobs["j-1"]
	place := func(i int, attempt uint64) *Placement {
		m := l.Machine(fmt.Sprintf("m%02d", i))
		l.Describe(m, "g8", "z", false)
		p := l.Plan(j, i, attempt, m)
		p.Durable, p.Phase, p.RunSince = true, model.Running, e.now
		return p
	}
	ps := []*Placement{place(0, 1), place(1, 1), place(2, 1)}
	e.now += 4 * time.Second
	for _, p := range ps {
		l.MarkFailed(p)
		l.MarkLost(p, model.CauseError)
	}
	if !j.Faulty() {
		t.Fatal("job is not at fault although it failed on three machines")
	}
	if wait := j.failures.nextTrial - e.now; wait > maxTrialPause {
		t.Errorf("next trial is in %v, later than the longest pause", wait)
	}
	p := place(0, 2)
	for _, c := range []struct {
		after time.Duration
		fault bool
	}{{3 * time.Second, true}, {12 * time.Second, true}, {14 * time.Second, false}} {
		e.now = p.RunSince + c.after
		if l.MarkRunning(p); j.Faulty() != c.fault {
			t.Errorf("trial has run for %v, failed tasks ran for 4 s: at fault %v", c.after, j.Faulty())
		}
	}
}

// TestTrialOfAGang guards against a gang at fault that loses a task during its trial and gets
// no replacement, while its other tasks wait for the lost one until they time out.
func TestTrialOfAGang(t *testing.T) {
	e, l := newTestLedger(t, map[string]string{JobKey("j-1"): record("j-1", 3, 50, Open)})
	j := l.Jobs["j-1"]
	j.Spec.Kind = model.Gang
	for i := range 3 {
		m := l.Machine(fmt.Sprintf("m%02d", i))
		l.Describe(m, "g8", "z", false)
		p := l.Plan(j, i, 1, m)
		p.Durable, p.Phase = true, model.Running
		l.MarkFailed(p)
		l.MarkLost(p, model.CauseError)
	}
	if !j.Faulty() || j.TrialDue(e.now) {
		t.Fatalf("at fault %v, trial due immediately %v; want true, false", j.Faulty(), j.TrialDue(e.now))
	}
	e.now += maxTrialPause
	if !j.TrialDue(e.now) {
		t.Fatal("no trial is due after the longest pause")
	}
	l.Plan(j, 0, 2, l.Machine("m00"))
	if !j.TrialDue(e.now) {
		t.Error("lost task of the trial is not replaced")
	}
}
