package sim

import (
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestStandstill guards against a leader that was paused and goes on with what
// it had planned: a machine it took for silent was silent only because it didn't
// listen, and the cloud knows no tokens (lumiar ops, inc-c203: on waking it went
// on renting and took the workers' silence for a cut).
func TestStandstill(t *testing.T) {
	for _, gap := range []time.Duration{2 * time.Second, 5 * time.Second, 18 * time.Second, 50 * time.Second} {
		w := worldOf(Config{Seed: 11, Nodes: 3, CloudRPS: 1})
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 18, CPUs: 4, RunS: 120})
		})
		// More is wanted than there is: the leader is renting all the time, and
		// has machines that it will find idle.
		w.At(28*time.Second, func() {
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "k", ImageGB: 0.1, Tasks: 60, CPUs: 4, RunS: 60})
		})
		var old string
		var woke time.Duration
		acted := ""
		w.OnSend = func(from string, c actor.Call) {
			if from == old && w.now >= woke && w.now < woke+10*time.Second && c.Method == "POST" && !strings.Contains(c.Path, "/commit") &&
				!strings.Contains(c.Path, "/grants") && !strings.Contains(c.Path, "/peer/") {
				acted += " " + c.Path
			}
		}
		w.At(30*time.Second, func() {
			old, woke = w.NodeName(w.Leader()), w.now+gap
			w.Freeze(w.Leader(), gap)
		})
		w.Run(30*time.Second + gap + 9*time.Second)
		leads := w.Leader()
		if gap > 3*time.Second {
			if acted != "" {
				t.Errorf("%v: on waking the old leader acted:%s", gap, acted)
			}
			if leads < 0 || w.NodeName(leads) == old {
				t.Errorf("%v: nobody took over", gap)
			}
		} else if leads < 0 || w.NodeName(leads) != old {
			t.Errorf("%v: the leader changed for a pause shorter than its lease", gap)
		}
		for _, m := range w.Cloud.machines {
			if m.deleted && m.goneAt > 30*time.Second {
				t.Errorf("%v: %s was returned", gap, m.Name)
			}
			if m.session > 1 {
				t.Errorf("%v: the lease of %s ran out", gap, m.Name)
			}
		}
		w.Run(400 * time.Second)
		w.verdict(t, 1)
	}
}

// TestUnsureLeaderReturnsNothing guards against a leader that no longer reaches
// the state service and gives machines back that the next leader uses: workers
// leave it one by one, so that it sees some silent among others that aren't.
func TestUnsureLeaderReturnsNothing(t *testing.T) {
	for _, hold := range []bool{false, true} {
		w := world(12)
		w.At(5*time.Second, func() {
			w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 24, CPUs: 4, RunS: 17})
		})
		old := ""
		w.OnSend = func(from string, c actor.Call) {
			if from == old && w.now > 34*time.Second && c.Path == "/hosts/return" {
				t.Errorf("hold %v: at %v the cut off leader returns %s", hold, w.now, c.Body)
			}
		}
		w.At(30*time.Second, func() {
			old = w.NodeName(w.Leader())
			w.Cut(old, "state", 60*time.Second, hold)
			for i := range w.nodes {
				if p := w.NodeName(i); p != old { // it doesn't hear of the next leader either
					w.Cut(old, p, 60*time.Second, hold)
				}
			}
		})
		w.Run(400 * time.Second)
		w.verdict(t, 1)
	}
}

// TestSilentWorkersKeepTheLeader guards against a leader that gives way because
// most workers have lost their network or hang: nobody else hears them either
// (lumiar ops, inc-c203: two leaders in turn gave way for nothing).
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
			t.Errorf("hang %v: node %d gave way to %d", hang, first, l)
		}
		w.Run(400 * time.Second)
		w.verdict(t, 1)
	}
}

// TestNewLeaderAsksWorkers guards against a gap of several seconds in which
// nothing starts, while the workers still wait for an answer of a leader that
// is paused (measured on ops days: 2.7 s to the first start, 8 s to the last
// worker).
func TestNewLeaderAsksWorkers(t *testing.T) {
	w := world(14)
	w.At(5*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 6, CPUs: 9, RunS: 100})
	})
	w.At(30*time.Second, func() { w.Freeze(w.Leader(), 40*time.Second) })
	led := time.Duration(0)
	var look func()
	look = func() {
		if l := w.Leader(); l >= 0 && w.now > 30*time.Second && w.nodes[l].frozenUntil < w.now {
			led = w.now
			w.Submit(Job{ID: "j-2", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 12, CPUs: 3, RunS: 10})
			return
		}
		w.after(50*time.Millisecond, look)
	}
	w.At(30*time.Second, look)
	w.Run(34 * time.Second)
	all := time.Duration(0)
	for all == 0 && w.now < 50*time.Second {
		w.Run(w.now + 50*time.Millisecond)
		if w.Starts("j-2") >= 12 {
			all = w.now
		}
	}
	t.Logf("led from %v, all started at %v", led, all)
	if led == 0 || all == 0 || all-led > 2500*time.Millisecond {
		t.Errorf("led from %v, all started at %v", led, all)
	}
	w.Run(300 * time.Second)
	w.verdict(t, 2)
}
