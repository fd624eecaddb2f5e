package sim

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// refusal is a day on which jobs are cancelled at the very moment at which the state service
// refuses the leader alone, and a second later it is out for longer than cancel_s.
type refusal struct {
	name    string
	refused time.Duration // for so long; 0: 150 s
	ends    bool          // the node that confirms ends at once, and is back
	cut     bool          // it is cut from the leader, whom it can't tell
	alone   bool          // the leader is cut from all others
	stay    bool          // workers reach the old leader only
	hang    float64       // machines of these tasks hang for so many leases
	saving  bool          // gangs are saving when the cancellation comes
	late    time.Duration // what it tells the leader is on its way for so long
	nodes   int           // 0: 3
}

var refusals = []refusal{
	{name: "nothing else"},
	{name: "refused for a moment", refused: 900 * time.Millisecond},
	{name: "the node that confirms ends", ends: true},
	{name: "it is cut from the leader", cut: true},
	{name: "it is cut from the leader, whom the workers stay with", cut: true, stay: true},
	{name: "its cancellation are on their way", late: 800 * time.Millisecond, stay: true},
	{name: "its cancellation are on their way, then it ends", late: 800 * time.Millisecond, ends: true, stay: true},
	{name: "machines hang for half a lease", hang: 0.5, stay: true},
	{name: "machines hang for just less than a lease", hang: 0.97, stay: true, cut: true},
	{name: "machines hang for just more than a lease", hang: 1.03, stay: true, cut: true},
	{name: "gangs are saving", saving: true, cut: true, stay: true},
	{name: "gangs are saving, their machines hang", saving: true, hang: 0.97, cut: true, stay: true},
	{name: "the leader is cut from all", alone: true, stay: true},
	{name: "the leader is cut from all, machines hang", alone: true, stay: true, hang: 0.97},
	{name: "the leader is cut from all, gangs are saving", alone: true, stay: true, saving: true},
	{name: "seven controllers", nodes: 7, cut: true, stay: true},
}

// TestCancelledAsTheLeaderIsRefused has the cancellations come in every order with the refusal
// within a fifth of a second. The tasks are gone within cancel_s, whoever knew of it.
func TestCancelledAsTheLeaderIsRefused(t *testing.T) {
	for _, c := range refusals {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			longest, confirmed, ran, answered := time.Duration(0), 0, 0, 0
			for k, at := range []time.Duration{-200, -60, -15, 0, 15, 60, 200} {
				for _, seed := range seeds(t, 2) {
					w, did := c.play(uint64(k)*50+seed, at*time.Millisecond)
					for _, b := range w.Violations {
						t.Errorf("asked %v ms after the refusal, seed %d: %s", int(at), seed, b)
					}
					longest = max(longest, w.LongestCancelled)
					confirmed, ran, answered = confirmed+did.confirmed, ran+did.ran, answered+did.answered
				}
			}
			t.Logf("%d cancellations confirmed before the outage, %d tasks ran then, %d reports answered in it, the last task gone after %v", confirmed, ran, answered, longest.Round(100*time.Millisecond))
			if confirmed < 14 || ran < 28 || answered == 0 && c.stay {
				t.Error("the meeting did not come about")
			}
		})
	}
}

type meeting struct{ confirmed, ran, answered int }

func (c refusal) play(seed uint64, asked time.Duration) (w *World, did meeting) {
	const from = 60 * time.Second
	cfg := Config{Seed: 1600 + seed, Nodes: max(3, c.nodes)}
	w = worldOf(cfg)
	w.checkCancelled()
	w.At(5*time.Second, func() {
		for i := range 8 {
			w.Submit(Job{ID: fmt.Sprintf("j-%d", i), Kind: []string{"sweep", "ensemble", "standing", "sweep"}[i%4], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 2, RunS: 4000, SnapshotS: 20, SaveS: 6})
		}
	})
	old, confirmer, before := -1, -1, 0
	cancelled := func(i int) bool { return i < 6 }
	w.At(from-time.Second, func() {
		old = w.Leader()
		confirmer = (old + 1) % len(w.nodes)
		w.UserNode = func() int {
			if w.now > from+90*time.Second {
				return -1
			}
			return confirmer
		}
		if c.cut {
			w.Cut(w.NodeName(old), w.NodeName(confirmer), 100*time.Second, seed%2 == 0)
		}
		if c.alone {
			w.CutPeers(old, 100*time.Second, seed%2 == 0)
		}
		for _, m := range w.Machines() {
			if c.stay {
				for i := range w.nodes {
					if i != old {
						w.Cut(w.NodeName(i), m.Name, 150*time.Second, false)
					}
				}
			}
		}
	})
	w.RequestDelay = func(from string, a actor.Call) time.Duration {
		if c.late > 0 && old >= 0 && from == w.NodeName(confirmer) && a.Addr == w.Settings[old].ClusterListen {
			return w.randomSecs(0, c.late.Seconds())
		}
		return 0
	}
	if c.saving {
		w.At(from+asked-2*time.Second, func() {
			for _, m := range w.Machines() { // told to save by somebody, such as a drain
				for _, r := range m.sortedTasks() {
					if r.job.kind == "ensemble" || r.job.snapshotS > 0 {
						r.save(6 * time.Second)
					}
				}
			}
		})
	}
	w.At(from, func() {
		before = w.Answered[old]
		refused := c.refused
		if refused == 0 {
			refused = 150 * time.Second
		}
		w.State.RefuseNode(w.NodeName(old), refused)
	})
	w.At(from+asked, func() {
		hung := 0
		for i := range 8 {
			if !cancelled(i) {
				continue
			}
			j := w.jobs[fmt.Sprintf("j-%d", i)]
			w.cancel(j)
			for _, r := range j.runners() {
				if c.hang > 0 && hung < 2 && !r.m.hanging() {
					hung++
					r.m.Hang(time.Duration(c.hang * float64(w.lease())))
				}
			}
		}
	})
	ended := false
	var look func()
	seen := map[string]bool{}
	look = func() {
		if w.now < from+time.Second {
			w.after(2*time.Millisecond, look)
		}
		for i := range 8 {
			j := w.jobs[fmt.Sprintf("j-%d", i)]
			if j.cancelledAt == 0 || seen[j.id] {
				continue
			}
			seen[j.id] = true
			did.confirmed++
			did.ran += j.onMachines(w)
			if c.ends && !ended {
				ended = true
				w.Crash(confirmer, w.randomSecs(0.1, 5))
			}
		}
	}
	w.At(from+min(0, asked), look)
	w.At(from+time.Second, func() { w.State.Outage(w.cancelDeadline() + 15*time.Second) })
	w.Run(from + w.cancelDeadline() + 15*time.Second)
	did.answered = w.Answered[old] - before
	w.Run(from + 200*time.Second)
	return w, did
}

// save has the task save from now on, as if it had been told to stop a moment ago.
func (r *runner) save(d time.Duration) {
	if r.phase != "running" {
		return
	}
	r.phase = "flushing"
	r.m.reportSoon()
	r.schedule(d, func() { r.exit("halted", true) })
}

// TestHungAndCancelled: machines hang, jobs that run there are cancelled, and the machines go on
// just inside their lease, with the commands that were held up. What is cancelled is gone soon
// after that, or the machine is returned; also when the leader has changed meanwhile, and when
// the whole zone hangs, which looks like a cut.
func TestHungAndCancelled(t *testing.T) {
	for _, c := range []struct {
		name  string
		hang  float64 // leases
		zone  bool    // all machines of a zone, else three
		crash bool
		save  bool
	}{
		{"for a moment", 0.15, false, false, false},
		{"just inside the lease", 0.97, false, false, false},
		{"just inside the lease, a zone", 0.97, true, false, false},
		{"just inside the lease, a zone, the leader changes", 0.97, true, true, false},
		{"saving, a zone", 0.9, true, true, true},
		{"longer than a lease, a zone", 1.2, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			longest, on := time.Duration(0), 0
			for _, seed := range seeds(t, 4) {
				const from = 60 * time.Second
				w := worldOf(Config{Seed: 1700 + seed, Nodes: 3})
				w.checkCancelled()
				w.At(5*time.Second, func() {
					for i := range 10 {
						w.Submit(Job{ID: fmt.Sprintf("j-%d", i), Kind: []string{"sweep", "ensemble", "standing"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 3, RunS: 4000, SnapshotS: 20, SaveS: 6})
					}
				})
				w.At(from, func() {
					k := 0
					for _, m := range w.Machines() {
						if len(m.tasks) == 0 || c.zone && m.Zone != "a" || !c.zone && k == 3 {
							continue
						}
						k++
						for _, r := range m.sortedTasks() {
							on++
							if c.save {
								r.save(6 * time.Second)
							}
							if !r.job.cancelAsked {
								w.after(w.randomSecs(0, 2), func() { w.cancel(r.job) })
								r.job.cancelAsked = true
							}
						}
						m.Hang(time.Duration(c.hang * float64(w.lease())))
					}
					if c.crash {
						w.after(w.randomSecs(0.5, 8), func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.1, 6)) })
					}
				})
				w.Run(from + 120*time.Second)
				for _, id := range w.jobIDs() {
					if j := w.jobs[id]; !j.cancelAsked {
						w.cancel(j)
					}
				}
				w.Run(300 * time.Second)
				w.checkNoBrokenRules(t)
				longest = max(longest, w.LongestCancelled)
			}
			t.Logf("%d tasks on hanging machines, the last was gone after %v", on, longest.Round(100*time.Millisecond))
			if on < 8 {
				t.Error("the meeting did not come about")
			}
			if most := time.Duration(max(c.hang, 0.5)*30+5) * time.Second; longest > most {
				t.Errorf("a cancelled task was there for %v, more than %v", longest, most)
			}
		})
	}
}
