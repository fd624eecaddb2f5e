package ledger

import (
	"fmt"
	"testing"

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
			l.Failed(j, p.M)
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
