package sim

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// refusalCase is a sequence of faults: users cancel jobs close to the moment at which the state
// service begins to refuse the leader alone, and a second later the service is down for all for
// longer than cancel_s. The confirmer is the follower that confirms the cancellations.
type refusalCase struct {
	name               string
	refusedFor         time.Duration // how long the leader is refused; 0: 150 s
	confirmerCrashes   bool          // the confirmer crashes after the first confirmation, and restarts
	confirmerCut       bool          // the confirmer is cut from the leader and can't notify it
	leaderCutFromPeers bool          // the leader is cut from all other controllers
	workersStay        bool          // workers reach only the old leader
	hangLeases         float64       // how long two machines of cancelled tasks hang, in leases
	saving             bool          // gangs are saving when the cancellation arrives
	noticeDelay        time.Duration // the longest delay of the confirmer's messages to the leader
	nodes              int           // 0: 3
}

var refusalCases = []refusalCase{
	{name: "nothing else"},
	{name: "refused for a moment", refusedFor: 900 * time.Millisecond},
	{name: "the confirmer crashes", confirmerCrashes: true},
	{name: "the confirmer is cut from the leader", confirmerCut: true},
	{name: "the confirmer is cut from the leader, workers reach only the leader", confirmerCut: true, workersStay: true},
	{name: "the confirmer's messages are delayed", noticeDelay: 800 * time.Millisecond, workersStay: true},
	{name: "the confirmer's messages are delayed, then it crashes", noticeDelay: 800 * time.Millisecond, confirmerCrashes: true, workersStay: true},
	{name: "machines hang for half a lease", hangLeases: 0.5, workersStay: true},
	{name: "machines hang for just less than a lease", hangLeases: 0.97, workersStay: true, confirmerCut: true},
	{name: "machines hang for just more than a lease", hangLeases: 1.03, workersStay: true, confirmerCut: true},
	{name: "gangs are saving", saving: true, confirmerCut: true, workersStay: true},
	{name: "gangs are saving, their machines hang", saving: true, hangLeases: 0.97, confirmerCut: true, workersStay: true},
	{name: "the leader is cut from all", leaderCutFromPeers: true, workersStay: true},
	{name: "the leader is cut from all, machines hang", leaderCutFromPeers: true, workersStay: true, hangLeases: 0.97},
	{name: "the leader is cut from all, gangs are saving", leaderCutFromPeers: true, workersStay: true, saving: true},
	{name: "seven controllers", nodes: 7, confirmerCut: true, workersStay: true},
}

// TestCancelledAsTheLeaderIsRefused sends the cancellations up to a fifth of a second before and
// after the refusal begins. The tasks must end within cancel_s, also if the leader that answers
// their workers doesn't know of the cancellation.
func TestCancelledAsTheLeaderIsRefused(t *testing.T) {
	for _, c := range refusalCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			longest, confirmed, running, answered := time.Duration(0), 0, 0, 0
			for k, at := range []time.Duration{-200, -60, -15, 0, 15, 60, 200} {
				for _, seed := range seeds(t, 2) {
					w, counts := c.run(uint64(k)*50+seed, at*time.Millisecond)
					for _, violation := range w.Violations {
						t.Errorf("cancelled %v ms after the refusal, seed %d: %s", int(at), seed, violation)
					}
					longest = max(longest, w.LongestCancelled)
					confirmed, running, answered = confirmed+counts.confirmed, running+counts.running, answered+counts.answered
				}
			}
			t.Logf("%d cancellations confirmed before the outage, %d tasks ran then, %d reports answered in it, the last task gone after %v", confirmed, running, answered, longest.Round(100*time.Millisecond))
			if confirmed < 14 || running < 28 || answered == 0 && c.workersStay {
				t.Error("the simulation did not reach the state under test")
			}
		})
	}
}

// refusalCounts are the cancellations confirmed before the outage, the tasks that ran then, and the
// reports that the old leader answered from the refusal to the end of the outage.
type refusalCounts struct{ confirmed, running, answered int }

// run simulates the case; users cancel at the given time after the refusal begins.
func (c refusalCase) run(seed uint64, asked time.Duration) (w *World, counts refusalCounts) {
	const from = 60 * time.Second
	cfg := Config{Seed: 1600 + seed, Nodes: max(3, c.nodes)}
	w = worldOf(cfg)
	w.checkCancelled()
	w.At(5*time.Second, func() {
		for i := range 8 {
			w.Submit(Job{ID: fmt.Sprintf("j-%d", i), Kind: []string{"sweep", "ensemble", "standing", "sweep"}[i%4], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 2, RunS: 4000, CheckpointS: 20, SaveS: 6})
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
		if c.confirmerCut {
			w.Cut(w.NodeName(old), w.NodeName(confirmer), 100*time.Second, seed%2 == 0)
		}
		if c.leaderCutFromPeers {
			w.CutPeers(old, 100*time.Second, seed%2 == 0)
		}
		for _, m := range w.Machines() {
			if c.workersStay {
				for i := range w.nodes {
					if i != old {
						w.Cut(w.NodeName(i), m.Name, 150*time.Second, false)
					}
				}
			}
		}
	})
	w.RequestDelay = func(from string, a actor.Call) time.Duration {
		if c.noticeDelay > 0 && old >= 0 && from == w.NodeName(confirmer) && a.Addr == w.Settings[old].ClusterListen {
			return w.randomSecs(0, c.noticeDelay.Seconds())
		}
		return 0
	}
	if c.saving {
		w.At(from+asked-2*time.Second, func() {
			for _, m := range w.Machines() { // as if a drain had stopped them
				for _, r := range m.sortedTasks() {
					if r.job.kind == "ensemble" || r.job.checkpointS > 0 {
						r.beginSaving(6 * time.Second)
					}
				}
			}
		})
	}
	w.At(from, func() {
		before = w.Answered[old]
		refusedFor := c.refusedFor
		if refusedFor == 0 {
			refusedFor = 150 * time.Second
		}
		w.State.RefuseNode(w.NodeName(old), refusedFor)
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
				if c.hangLeases > 0 && hung < 2 && !r.m.hanging() {
					hung++
					r.m.Hang(time.Duration(c.hangLeases * float64(w.lease())))
				}
			}
		}
	})
	ended := false
	var watchConfirmations func()
	seen := map[string]bool{}
	watchConfirmations = func() {
		if w.now < from+time.Second {
			w.after(2*time.Millisecond, watchConfirmations)
		}
		for i := range 8 {
			j := w.jobs[fmt.Sprintf("j-%d", i)]
			if j.cancelledAt == 0 || seen[j.id] {
				continue
			}
			seen[j.id] = true
			counts.confirmed++
			counts.running += j.tasksOnMachines(w)
			if c.confirmerCrashes && !ended {
				ended = true
				w.Crash(confirmer, w.randomSecs(0.1, 5))
			}
		}
	}
	w.At(from+min(0, asked), watchConfirmations)
	w.At(from+time.Second, func() { w.State.Outage(w.cancelDeadline() + 15*time.Second) })
	w.Run(from + w.cancelDeadline() + 15*time.Second)
	counts.answered = w.Answered[old] - before
	w.Run(from + 200*time.Second)
	return w, counts
}

// beginSaving lets a running task save for d and then end, as after a command to stop.
func (r *runner) beginSaving(d time.Duration) {
	if r.phase != "running" {
		return
	}
	r.phase = "flushing"
	r.m.reportSoon()
	r.schedule(d, func() { r.exit("halted", true) })
}

// TestHungAndCancelled cancels jobs whose machines hang. In most cases the machines resume just
// before their lease expires, when delayed commands arrive. The cancelled tasks must end soon
// after that, or the machine must be returned; also if the leader has changed meanwhile, and if a
// whole zone hangs, which looks like a network partition.
func TestHungAndCancelled(t *testing.T) {
	for _, c := range []struct {
		name  string
		hang  float64 // leases
		zone  bool    // all machines of a zone hang, otherwise three machines
		crash bool
		save  bool
	}{
		{"for a moment", 0.15, false, false, false},
		{"just shorter than the lease", 0.97, false, false, false},
		{"just shorter than the lease, a zone", 0.97, true, false, false},
		{"just shorter than the lease, a zone, the leader changes", 0.97, true, true, false},
		{"saving, a zone", 0.9, true, true, true},
		{"longer than a lease, a zone", 1.2, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			longest, hangingTasks := time.Duration(0), 0
			for _, seed := range seeds(t, 4) {
				const from = 60 * time.Second
				w := worldOf(Config{Seed: 1700 + seed, Nodes: 3})
				w.checkCancelled()
				w.At(5*time.Second, func() {
					for i := range 10 {
						w.Submit(Job{ID: fmt.Sprintf("j-%d", i), Kind: []string{"sweep", "ensemble", "standing"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 3, RunS: 4000, CheckpointS: 20, SaveS: 6})
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
							hangingTasks++
							if c.save {
								r.beginSaving(6 * time.Second)
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
			t.Logf("%d tasks on hanging machines, the last was gone after %v", hangingTasks, longest.Round(100*time.Millisecond))
			if hangingTasks < 8 {
				t.Error("too few tasks were on hanging machines")
			}
			if most := time.Duration(max(c.hang, 0.5)*30+5) * time.Second; longest > most {
				t.Errorf("a cancelled task was there for %v, more than %v", longest, most)
			}
		})
	}
}
