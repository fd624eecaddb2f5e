package sim

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/settings"
)

// steady submits, from one time to another, jobs of a class at a rate, and returns
// how many.
func (w *World) steady(class string, block int, every, from, to time.Duration, job func(i int) Job) int {
	n := 0
	for at := from; at < to; at += every {
		d := job(n)
		d.ID, d.Class, d.Image, d.ImageGB = fmt.Sprintf("j-%06d", 100000*block+n), class, "i", 0.1
		w.At(at+w.randomSecs(0, every.Seconds()), func() { w.Submit(d) })
		n++
	}
	return n
}

// flood is a day on which one class comes far more often than can be taken.
type flood struct {
	name    string
	nodes   int
	front   func(w *World) int
	trouble func(w *World)
	allDown bool // nobody can be served for a while
}

var floods = []flood{
	{"all", 3, nil, func(*World) {}, false},
	{"seven", 7, nil, func(*World) {}, false},
	{"one node", 3, func(*World) int { return 1 }, func(*World) {}, false},
	{"leader", 3, func(w *World) int { return w.Leader() }, func(*World) {}, false},
	{"leader crashes", 3, nil, func(w *World) {
		if l := w.Leader(); l >= 0 {
			w.Crash(l, 5*time.Second)
		}
	}, true},
	{"all crash", 3, nil, func(w *World) {
		for i := range w.nodes {
			w.Crash(i, 5*time.Second)
		}
	}, true},
	{"all of seven crash", 7, nil, func(w *World) {
		for i := range w.nodes {
			w.Crash(i, 8*time.Second)
		}
	}, true},
	{"outage", 3, nil, func(w *World) { w.State.Outage(8 * time.Second) }, true},
	{"leader is paused", 3, nil, func(w *World) {
		if l := w.Leader(); l >= 0 {
			w.Freeze(l, 12*time.Second)
		}
	}, true},
	{"a node is cut off from the state", 3, nil, func(w *World) { w.Cut(w.NodeName(1), "state", 20*time.Second, true) }, true},
	{"an upgrade", 3, nil, func(w *World) {
		// Two of three run the older program until they are restarted, one by one.
		for i := range 2 {
			w.after(time.Duration(10*i)*time.Second, func() {
				delete(w.OlderNodes, w.NodeName(i))
				w.Crash(i, 4*time.Second)
			})
		}
	}, true},
	{"nodes are cut off from each other", 3, nil, func(w *World) {
		for i := range w.nodes {
			for k := range i {
				w.Cut(w.NodeName(i), w.NodeName(k), 20*time.Second, true)
			}
		}
	}, true},
}

// TestFloods submits far more jobs of one class than can be written. At no time may
// the controllers together hold more changes than the state service takes, by what
// each would spend now; other classes are let in soon, and of what was accepted of
// each class and team all is done.
func TestFloods(t *testing.T) {
	for i, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			w := worldOf(Config{Seed: uint64(500 + i), Nodes: f.nodes, WriteRPS: 30})
			if f.front != nil {
				w.UserNode = func() int { return f.front(w) }
			}
			w.SubmitTimeout = time.Minute
			if f.name == "an upgrade" {
				w.OlderNodes = map[string]bool{w.NodeName(0): true, w.NodeName(1): true}
			}
			const from, to = 30 * time.Second, 70 * time.Second
			w.steady("flood", 1, 33*time.Millisecond, from, to, func(i int) Job {
				return Job{Kind: "sweep", Team: "free", Tasks: 3, CPUs: 1, RunS: 5, Spot: true, Urgency: "idle"}
			})
			w.steady("steady", 2, 3*time.Second, 5*time.Second, 120*time.Second, func(i int) Job {
				return Job{Kind: "sweep", Team: "red", Tasks: 4, CPUs: 1, RunS: 8, Spot: true}
			})
			w.steady("urgent", 3, 5*time.Second, 5*time.Second, 120*time.Second, func(i int) Job {
				return Job{Kind: "ensemble", Team: "blue", Tasks: 2, CPUs: 8, RunS: 10, Spot: true, Urgency: "high"}
			})
			w.At(50*time.Second, func() { f.trouble(w) })
			most, limit, quiet := 0.0, 0.95*30, time.Duration(0)
			for w.now < 240*time.Second {
				w.Run(w.now + 50*time.Millisecond)
				most = max(most, w.Shares())
				if l := w.Leader(); l >= 0 {
					quiet = max(quiet, w.nodes[l].node.Quiet())
				}
			}
			if most > limit+1e-6 {
				t.Errorf("the controllers hold up to %.2f changes a second, there are %.2f", most, limit)
			}
			if quiet > 3*time.Second && !f.allDown {
				t.Errorf("starts or ends waited for %v while nothing was written", quiet)
			}
			w.noneBroken(t)
			if u := w.Unfinished(); len(u) > 0 {
				t.Errorf("%d unfinished: %v", len(u), u[:min(3, len(u))])
			}
			for k, c := range w.Served() {
				if k == "flood of free" {
					if c[1] < 150 {
						t.Errorf("%s: %d of %d accepted", k, c[1], c[0])
					}
				} else if c[2] < c[0] {
					t.Errorf("%s: %d of %d done", k, c[2], c[0])
				}
			}
			// The first seconds have no leader, and the trouble speaks for itself.
			end := to
			if f.allDown {
				end = 50 * time.Second
			}
			for _, class := range []string{"steady", "urgent"} {
				if d := w.SlowestAccepted(class, from, end-5*time.Second); d > 1500*time.Millisecond {
					t.Errorf("%s jobs were accepted after up to %v", class, d)
				}
			}
			t.Logf("%v; at most %.1f of %.1f changes a second held; %d times told to come back; quiet for %v", w.Served(), most, limit, w.RetryLater, quiet)
		})
	}
}

// TestStarvation has more urgent work than the machines can do, for minutes, and a
// change of leader in it: at least half of the jobs of each class of each team are
// served, as long as their small part of the machines suffices for that. Without
// floors they are not.
func TestStarvation(t *testing.T) {
	t.Parallel()
	for _, without := range []bool{false, true} {
		least := 1.0
		for seed := range uint64(2) {
			w := worldOf(Config{Seed: 600 + seed, Nodes: 3, NoMinShares: without, Objectives: []settings.Objective{{Kind: "wait", Class: "urgent", WithinS: 20, Share: 0.9}}})
			w.steady("urgent", 3, 400*time.Millisecond, 10*time.Second, 320*time.Second, func(i int) Job {
				return Job{Kind: "ensemble", Team: "free", Tasks: 1, CPUs: 16, RunS: 60, Spot: true, Urgency: "high", SnapshotS: 5, SaveS: 1}
			})
			for k, team := range []string{"free", "red"} {
				w.steady("slow", 4+k, 6*time.Second, 60*time.Second, 280*time.Second, func(i int) Job {
					return Job{Kind: "sweep", Team: team, Tasks: 2 + 5*(i%4), CPUs: 2, RunS: 30, Spot: true, Urgency: "idle", SnapshotS: 5, SaveS: 1}
				})
			}
			w.At(120*time.Second, func() {
				if l := w.Leader(); l >= 0 {
					w.Crash(l, 5*time.Second)
				}
			})
			w.Run(320 * time.Second) // the flood is on still
			w.noneBroken(t)
			for k, c := range w.Served() {
				share := float64(c[2]) / float64(c[0])
				if k != "urgent of free" {
					least = min(least, share)
				}
				t.Logf("floors %v, seed %d: %s: %d of %d done", !without, seed, k, c[2], c[0])
			}
		}
		if !without && least < 0.5 || without && least >= 0.5 {
			t.Errorf("floors %v: the least that was done of a class was %.2f", !without, least)
		}
	}
}
