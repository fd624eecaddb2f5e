package sim

import (
	"fmt"
	"testing"
	"time"

	"brooklb/internal/settings"
)

// submitSteadily submits jobs of a class, one in each interval of the given length between two
// times, and returns how many. Their numbers begin at 100000 times block.
func (w *World) submitSteadily(class string, block int, every, from, to time.Duration, job func(i int) Job) int {
	n := 0
	for at := from; at < to; at += every {
		d := job(n)
		d.ID, d.Class, d.Image, d.ImageGB = fmt.Sprintf("j-%06d", 100000*block+n), class, "i", 0.1
		w.At(at+w.randomSecs(0, every.Seconds()), func() { w.Submit(d) })
		n++
	}
	return n
}

// floodCase describes a run in which jobs of one class arrive faster than they can be accepted.
type floodCase struct {
	name        string
	nodes       int
	userNode    func(w *World) int // the node that users send requests to; nil: any
	fault       func(w *World)
	interrupted bool // requests can fail for a while
}

var floodCases = []floodCase{
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
		// Two of three run the older version until they are restarted, one by one.
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

// TestFloods submits far more jobs of one class than the state service can write. The
// controllers' shares of its write rate never add up to more than its limit. Jobs of
// other classes are accepted quickly, and all accepted jobs of each class and team
// are done.
func TestFloods(t *testing.T) {
	for i, f := range floodCases {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			w := worldOf(Config{Seed: uint64(500 + i), Nodes: f.nodes, WriteRPS: 30})
			if f.userNode != nil {
				w.UserNode = func() int { return f.userNode(w) }
			}
			w.SubmitTimeout = time.Minute
			if f.name == "an upgrade" {
				w.OlderNodes = map[string]bool{w.NodeName(0): true, w.NodeName(1): true}
			}
			const from, to = 30 * time.Second, 70 * time.Second
			w.submitSteadily("flood", 1, 33*time.Millisecond, from, to, func(i int) Job {
				return Job{Kind: "sweep", Team: "free", Tasks: 3, CPUs: 1, RunS: 5, Spot: true, Urgency: "idle"}
			})
			w.submitSteadily("steady", 2, 3*time.Second, 5*time.Second, 120*time.Second, func(i int) Job {
				return Job{Kind: "sweep", Team: "red", Tasks: 4, CPUs: 1, RunS: 8, Spot: true}
			})
			w.submitSteadily("urgent", 3, 5*time.Second, 5*time.Second, 120*time.Second, func(i int) Job {
				return Job{Kind: "ensemble", Team: "blue", Tasks: 2, CPUs: 8, RunS: 10, Spot: true, Urgency: "high"}
			})
			w.At(50*time.Second, func() { f.fault(w) })
			mostHeld, limit, quiet := 0.0, 0.95*30, time.Duration(0)
			for w.now < 240*time.Second {
				w.Run(w.now + 50*time.Millisecond)
				mostHeld = max(mostHeld, w.Shares())
				if l := w.Leader(); l >= 0 {
					quiet = max(quiet, w.nodes[l].node.LongestWriteStall())
				}
			}
			if mostHeld > limit+1e-6 {
				t.Errorf("the controllers' shares add up to %.2f changes a second, the limit is %.2f", mostHeld, limit)
			}
			if quiet > 3*time.Second && !f.interrupted {
				t.Errorf("starts or ends waited for %v while nothing was written", quiet)
			}
			w.checkNoBrokenRules(t)
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
			// The first seconds have no leader, and the fault may interrupt service.
			end := to
			if f.interrupted {
				end = 50 * time.Second
			}
			for _, class := range []string{"steady", "urgent"} {
				if d := w.SlowestAccepted(class, from, end-5*time.Second); d > 1500*time.Millisecond {
					t.Errorf("%s jobs were accepted after up to %v", class, d)
				}
			}
			t.Logf("%v; shares of at most %.1f of %.1f changes a second; %d submissions deferred; no writes for up to %v", w.Served(), mostHeld, limit, w.RetryLater, quiet)
		})
	}
}

// TestStarvation has more urgent work than the machines can do, for minutes, and a
// change of leader. The minimum shares reserve a part of the machines for each other
// class of each team: at least half of their jobs are done, as long as that part
// suffices. Without minimum shares fewer are done.
func TestStarvation(t *testing.T) {
	t.Parallel()
	for _, noMinShares := range []bool{false, true} {
		least := 1.0
		for seed := range uint64(2) {
			w := worldOf(Config{Seed: 600 + seed, Nodes: 3, NoMinShares: noMinShares, Objectives: []settings.Objective{{Kind: "wait", Class: "urgent", WithinS: 20, Share: 0.9}}})
			w.submitSteadily("urgent", 3, 400*time.Millisecond, 10*time.Second, 320*time.Second, func(i int) Job {
				return Job{Kind: "ensemble", Team: "free", Tasks: 1, CPUs: 16, RunS: 60, Spot: true, Urgency: "high", CheckpointS: 5, SaveS: 1}
			})
			for k, team := range []string{"free", "red"} {
				w.submitSteadily("slow", 4+k, 6*time.Second, 60*time.Second, 280*time.Second, func(i int) Job {
					return Job{Kind: "sweep", Team: team, Tasks: 2 + 5*(i%4), CPUs: 2, RunS: 30, Spot: true, Urgency: "idle", CheckpointS: 5, SaveS: 1}
				})
			}
			w.At(120*time.Second, func() {
				if l := w.Leader(); l >= 0 {
					w.Crash(l, 5*time.Second)
				}
			})
			w.Run(320 * time.Second) // the urgent work still arrives
			w.checkNoBrokenRules(t)
			for k, c := range w.Served() {
				share := float64(c[2]) / float64(c[0])
				if k != "urgent of free" {
					least = min(least, share)
				}
				t.Logf("minimum shares %v, seed %d: %s: %d of %d done", !noMinShares, seed, k, c[2], c[0])
			}
		}
		if !noMinShares && least < 0.5 || noMinShares && least >= 0.5 {
			t.Errorf("minimum shares %v: the smallest share of a class that was done is %.2f", !noMinShares, least)
		}
	}
}
