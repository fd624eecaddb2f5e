package sim

import (
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestPausedLeader guards against a leader that was paused and then acts on its outdated
// state: it rented more machines, which the cloud can't refuse since it checks no tokens, and
// took the workers' silence during the pause for a network cut.
func TestPausedLeader(t *testing.T) {
	for _, gap := range []time.Duration{2 * time.Second, 5 * time.Second, 18 * time.Second, 50 * time.Second} {
		w := worldOf(Config{Seed: 11, Nodes: 3, CloudRPS: 1})
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 18, CPUs: 4, RunS: 120})
		})
		// The work needs more machines than exist: the leader rents all the time and
		// has machines that will look idle.
		w.At(28*time.Second, func() {
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "k", ImageGB: 0.1, Tasks: 60, CPUs: 4, RunS: 60})
		})
		var paused string
		var resumesAt time.Duration
		requests := ""
		w.OnSend = func(from string, c actor.Call) {
			if from == paused && w.now >= resumesAt && w.now < resumesAt+10*time.Second && c.Method == "POST" && !strings.Contains(c.Path, "/commit") &&
				!strings.Contains(c.Path, "/grants") && !strings.Contains(c.Path, "/peer/") {
				requests += " " + c.Path
			}
		}
		w.At(30*time.Second, func() {
			paused, resumesAt = w.NodeName(w.Leader()), w.now+gap
			w.Freeze(w.Leader(), gap)
		})
		w.Run(30*time.Second + gap + 9*time.Second)
		leads := w.Leader()
		if gap > 3*time.Second {
			if requests != "" {
				t.Errorf("%v: after its pause the old leader sent:%s", gap, requests)
			}
			if leads < 0 || w.NodeName(leads) == paused {
				t.Errorf("%v: no other node leads", gap)
			}
		} else if leads < 0 || w.NodeName(leads) != paused {
			t.Errorf("%v: the leader changed for a pause shorter than its lease", gap)
		}
		for _, m := range w.Cloud.machines {
			if m.deleted && m.goneAt > 30*time.Second {
				t.Errorf("%v: %s was returned", gap, m.Name)
			}
			if m.session > 1 {
				t.Errorf("%v: the lease of %s expired", gap, m.Name)
			}
		}
		w.Run(400 * time.Second)
		w.checkOutcome(t, 1)
	}
}

// TestCutOffLeaderReturnsNoMachines guards against a leader that no longer reaches
// the state service and returns machines that the next leader uses: the workers
// switch to the next leader one by one, so that only some of them look silent.
func TestCutOffLeaderReturnsNoMachines(t *testing.T) {
	for _, hold := range []bool{false, true} {
		w := world(12)
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 24, CPUs: 4, RunS: 17})
		})
		cutOff := ""
		w.OnSend = func(from string, c actor.Call) {
			if from == cutOff && w.now > 34*time.Second && c.Path == "/hosts/return" {
				t.Errorf("hold %v: at %v the cut-off leader returns %s", hold, w.now, c.Body)
			}
		}
		w.At(30*time.Second, func() {
			cutOff = w.NodeName(w.Leader())
			w.Cut(cutOff, "state", 60*time.Second, hold)
			for i := range w.nodes {
				if p := w.NodeName(i); p != cutOff { // it can't learn of the next leader from peers either
					w.Cut(cutOff, p, 60*time.Second, hold)
				}
			}
		})
		w.Run(400 * time.Second)
		w.checkOutcome(t, 1)
	}
}

// TestSilentWorkersKeepTheLeader guards against a leader that steps down because
// most workers have lost their network or hang: another leader would not reach
// them either (two leaders in turn stepped down without need).
func TestSilentWorkersKeepTheLeader(t *testing.T) {
	for _, hang := range []bool{false, true} {
		w := world(13)
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 20, CPUs: 4, RunS: 100})
		})
		first := -1
		w.At(30*time.Second, func() {
			first = w.Leader()
			for i, m := range w.Machines() {
				switch {
				case i == 0:
				case hang:
					m.Hang(28 * time.Second)
				default:
					for k := range w.nodes {
						w.Cut(w.NodeName(k), m.Name, 45*time.Second, k%2 == 0)
					}
				}
			}
		})
		w.Run(110 * time.Second)
		if l := w.Leader(); l != first {
			t.Errorf("hang %v: node %d stepped down, node %d leads", hang, first, l)
		}
		w.Run(400 * time.Second)
		w.checkOutcome(t, 1)
	}
}

// TestNewLeaderAsksWorkers guards against a gap of several seconds in which
// nothing starts, while the workers still wait for an answer of a leader that
// is paused: the first start came after 2.7 s, the last worker reported after 8 s.
func TestNewLeaderAsksWorkers(t *testing.T) {
	w := world(14)
	w.At(5*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 6, CPUs: 9, RunS: 100})
	})
	w.At(30*time.Second, func() { w.Freeze(w.Leader(), 40*time.Second) })
	ledSince := time.Duration(0)
	var awaitLeader func()
	awaitLeader = func() {
		if l := w.Leader(); l >= 0 && w.now > 30*time.Second && w.nodes[l].frozenUntil < w.now {
			ledSince = w.now
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 12, CPUs: 3, RunS: 10})
			return
		}
		w.after(50*time.Millisecond, awaitLeader)
	}
	w.At(30*time.Second, awaitLeader)
	w.Run(34 * time.Second)
	allStarted := time.Duration(0)
	for allStarted == 0 && w.now < 50*time.Second {
		w.Run(w.now + 50*time.Millisecond)
		if w.Starts("j-2") >= 12 {
			allStarted = w.now
		}
	}
	t.Logf("led from %v, all started at %v", ledSince, allStarted)
	if ledSince == 0 || allStarted == 0 || allStarted-ledSince > 2500*time.Millisecond {
		t.Errorf("led from %v, all started at %v", ledSince, allStarted)
	}
	w.Run(300 * time.Second)
	w.checkOutcome(t, 2)
}
