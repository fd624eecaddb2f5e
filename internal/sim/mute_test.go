package sim

import (
	"fmt"
	"testing"
	"time"
)

// mutes are machines that reach no controller, while direct commands reach them: half of a
// zone, a zone, all; for longer than cancel_s; with changes of leader in it.
type mutes struct {
	name    string
	which   func(i int, m *Machine) bool
	crashes int
}

var muteDays = []mutes{
	{"half of a zone", func(i int, m *Machine) bool { return m.Zone == "a" && i%2 == 0 }, 0},
	{"a zone", func(_ int, m *Machine) bool { return m.Zone == "a" }, 0},
	{"half of all", func(i int, _ *Machine) bool { return i%2 == 0 }, 0},
	{"all", func(int, *Machine) bool { return true }, 0},
	{"a zone, the leader changes", func(_ int, m *Machine) bool { return m.Zone == "a" }, 3},
	{"all, the leader changes", func(int, *Machine) bool { return true }, 3},
}

// TestMuteMachines: a worker whose reports reach nobody loses all its tasks with each lease,
// although it answers direct commands. Nothing is started there again and again only since it
// answers; what is cancelled is gone in time; other machines do the work; all is done in the
// end, without a rule broken.
func TestMuteMachines(t *testing.T) {
	const from, lasts = 60 * time.Second, 150 * time.Second
	for _, c := range muteDays {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 2) {
				w := worldOf(Config{Seed: 960 + seed, Nodes: 3})
				w.checkCancelled()
				w.submitSteadily("steady", 1, time.Second, 5*time.Second, 260*time.Second, func(int) Job {
					return Job{Kind: "sweep", Team: "free", Tasks: 1, CPUs: 5, RunS: 8, Spot: true}
				})
				w.At(5*time.Second, func() {
					for i := range 8 {
						w.Submit(Job{ID: fmt.Sprintf("j-9%d", i), Class: "long", Kind: []string{"sweep", "standing"}[i%2], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 4, CPUs: 2, RunS: 4000})
					}
				})
				on := 0
				w.At(from, func() {
					for i, m := range w.Machines() {
						if c.which(i, m) {
							m.BlockOutbound(lasts)
							on += len(m.tasks)
						}
					}
					w.after(5*time.Second, func() { w.cancel(w.jobs["j-90"]); w.cancel(w.jobs["j-91"]) })
					w.after(70*time.Second, func() { w.cancel(w.jobs["j-92"]); w.cancel(w.jobs["j-93"]) })
				})
				for k := range c.crashes {
					w.At(from+time.Duration(10+40*k)*time.Second, func() { w.Crash(max(0, w.Leader()), 3*time.Second) })
				}
				muteStarts := 0
				w.OnStart = func(r *runner) {
					if r.m.outboundBlocked() {
						muteStarts++
					}
				}
				w.Run(from + 20*time.Second)
				done, first := w.Served()["steady of free"][2], muteStarts
				w.Run(from + lasts - 10*time.Second)
				done = w.Served()["steady of free"][2] - done
				for k := range 8 {
					if k >= 4 {
						w.At(w.now+30*time.Second, func() { w.cancel(w.jobs[fmt.Sprintf("j-9%d", k)]) })
					}
				}
				w.Run(700 * time.Second)
				w.checkOutcome(t, 200)
				t.Logf("seed %d: %d tasks on mute machines; %d starts there, %d of them in the first 20 s, %d killed by leases, %d of some 120 jobs done meanwhile; a cancelled task was there for %v, %d machine seconds",
					seed, on, muteStarts, first, w.KilledByLease, done, w.LongestCancelled.Round(100*time.Millisecond), int(w.Cloud.Cost))
				// After a change of leader it is asked for its status, and counts as heard for
				// three report periods.
				if n := muteStarts - first; n > 5+20*c.crashes {
					t.Errorf("seed %d: %d starts on mute machines, long after they fell silent", seed, n)
				}
				if on == 0 {
					t.Error("nothing ran there: the meeting did not come about")
				}
			}
		})
	}
}
