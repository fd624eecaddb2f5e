package sim

import (
	"fmt"
	"testing"
	"time"
)

// noReportsCase selects the machines that can open no connection to a controller, while direct
// commands still reach them, and how often the leader crashes meanwhile.
type noReportsCase struct {
	name          string
	affected      func(i int, m *Machine) bool
	leaderCrashes int
}

var noReportsCases = []noReportsCase{
	{"half of a zone", func(i int, m *Machine) bool { return m.Zone == "a" && i%2 == 0 }, 0},
	{"a zone", func(_ int, m *Machine) bool { return m.Zone == "a" }, 0},
	{"half of all", func(i int, _ *Machine) bool { return i%2 == 0 }, 0},
	{"all", func(int, *Machine) bool { return true }, 0},
	{"a zone, the leader changes", func(_ int, m *Machine) bool { return m.Zone == "a" }, 3},
	{"all, the leader changes", func(int, *Machine) bool { return true }, 3},
}

// TestMachinesThatReachNoController cuts off the reports of machines for longer than cancel_s. Such
// a worker loses its tasks whenever its lease expires, although it answers direct commands. Tasks must
// not be started there repeatedly only because it answers. Cancelled tasks must end in time, other
// machines must do the work, all jobs must be done in the end, and no rule may be broken.
func TestMachinesThatReachNoController(t *testing.T) {
	const from, lasts = 60 * time.Second, 150 * time.Second
	for _, c := range noReportsCases {
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
				affectedTasks := 0
				w.At(from, func() {
					for i, m := range w.Machines() {
						if c.affected(i, m) {
							m.BlockOutbound(lasts)
							affectedTasks += len(m.tasks)
						}
					}
					w.after(5*time.Second, func() { w.cancel(w.jobs["j-90"]); w.cancel(w.jobs["j-91"]) })
					w.after(70*time.Second, func() { w.cancel(w.jobs["j-92"]); w.cancel(w.jobs["j-93"]) })
				})
				for k := range c.leaderCrashes {
					w.At(from+time.Duration(10+40*k)*time.Second, func() { w.Crash(max(0, w.Leader()), 3*time.Second) })
				}
				startsWithoutReports := 0
				w.OnStart = func(r *runner) {
					if r.m.outboundBlocked() {
						startsWithoutReports++
					}
				}
				w.Run(from + 20*time.Second)
				done, first := w.Served()["steady of free"][2], startsWithoutReports
				w.Run(from + lasts - 10*time.Second)
				done = w.Served()["steady of free"][2] - done
				for k := range 8 {
					if k >= 4 {
						w.At(w.now+30*time.Second, func() { w.cancel(w.jobs[fmt.Sprintf("j-9%d", k)]) })
					}
				}
				w.Run(700 * time.Second)
				w.checkOutcome(t, 200)
				t.Logf("seed %d: %d tasks on machines without reports; %d starts there, %d of them in the first 20 s, %d killed by leases, %d of some 120 jobs done meanwhile; a cancelled task was there for %v, %d machine seconds",
					seed, affectedTasks, startsWithoutReports, first, w.KilledByLease, done, w.LongestCancelled.Round(100*time.Millisecond), int(w.Cloud.Cost))
				// A new leader asks such a machine for its status, and treats it as reporting for
				// three report periods.
				if n := startsWithoutReports - first; n > 5+20*c.leaderCrashes {
					t.Errorf("seed %d: %d starts on machines long after their last report", seed, n)
				}
				if affectedTasks == 0 {
					t.Error("no task ran there: the simulation did not reach the state under test")
				}
			}
		})
	}
}
