package ledger

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/model"
)

// TestWhoIsAtFault guards a wide array of short tasks that lands on faulty machines before
// any of its tasks is done from being taken for a job with a mistake, which fails
// everywhere: that one is found out all the same, whichever of its tasks fail first.
func TestWhoIsAtFault(t *testing.T) {
	for _, c := range []struct {
		tasks, bad int // on a machine each, and how many fail
		fault      bool
	}{{20, 1, false}, {20, 2, false}, {20, 9, false}, {20, 20, true}, {2, 2, true}, {1, 1, false}, {3, 2, true}} {
		e, l := start(t, map[string]string{JobKey("j-1"): record("j-1", c.tasks, 50, Open)})
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
			l.Failed(p)
			l.Lost(p, model.CauseError)
		}
		if j.Faulty() != c.fault {
			t.Errorf("%d of %d tasks failed: at fault %v, want %v", c.bad, c.tasks, j.Faulty(), c.fault)
		}
		// A task done says that it has no mistake.
		l.Worked(j)
		if j.Faulty() {
			t.Error("at fault though a task of it was done")
		}
	}
}

// TestTrialThatRuns guards against a job that is well, but was taken for one with a mistake
// since machines were faulty, and whose trial has to be done first: a service's is never done,
// and eleven of twelve instances waited for ever.
func TestTrialThatRuns(t *testing.T) {
	e, l := start(t, map[string]string{JobKey("j-1"): record("j-1", 12, 50, Open)})
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
		l.Failed(p)
		l.Lost(p, model.CauseError)
	}
	if !j.Faulty() {
		t.Fatal("not at fault though it failed on three machines")
	}
	if wait := j.faults.next - e.now; wait > mostPause {
		t.Errorf("the next trial comes in %v", wait)
	}
	p := place(0, 2)
	for _, c := range []struct {
		after time.Duration
		fault bool
	}{{3 * time.Second, true}, {12 * time.Second, true}, {14 * time.Second, false}} {
		e.now = p.RunSince + c.after
		if l.Runs(p); j.Faulty() != c.fault {
			t.Errorf("a trial runs for %v, failures took 4 s: at fault %v", c.after, j.Faulty())
		}
	}
}

// TestTrialOfAGang guards against a gang at fault that loses a task during its trial: it has to
// be looked at again, or the others wait for the lost one until they give up.
func TestTrialOfAGang(t *testing.T) {
	e, l := start(t, map[string]string{JobKey("j-1"): record("j-1", 3, 50, Open)})
	j := l.Jobs["j-1"]
	j.Spec.Kind = model.Gang
	for i := range 3 {
		m := l.Machine(fmt.Sprintf("m%02d", i))
		l.Describe(m, "g8", "z", false)
		p := l.Plan(j, i, 1, m)
		p.Durable, p.Phase = true, model.Running
		l.Failed(p)
		l.Lost(p, model.CauseError)
	}
	if !j.Faulty() || j.Trial(e.now) {
		t.Fatalf("at fault %v, may be tried at once %v", j.Faulty(), j.Trial(e.now))
	}
	e.now += mostPause
	if !j.Trial(e.now) {
		t.Fatal("never tried")
	}
	l.Plan(j, 0, 2, l.Machine("m00"))
	if !j.Trial(e.now) {
		t.Error("what its trial lost is not replaced")
	}
}
