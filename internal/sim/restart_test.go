package sim

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// restartRepeatedly crashes a controller the given number of times. Each time it is down for
// downtime and then runs for uptime.
func (w *World) restartRepeatedly(i, times int, downtime, uptime time.Duration) {
	if times <= 0 {
		return
	}
	w.Crash(i, downtime)
	w.after(downtime+uptime, func() { w.restartRepeatedly(i, times-1, downtime, uptime) })
}

// shortPause returns a random time within which some platforms restart a process.
func (w *World) shortPause() time.Duration { return w.randomSecs(0.02, 0.5) }

// checkLeaderKeyWrites checks that a process writes the leader key only on condition that the
// key does not exist, and that it renews only leases that it was granted itself.
func (w *World) checkLeaderKeyWrites(t *testing.T) {
	type process struct{ node, gen int }
	owners := map[string]process{} // by lease, as the state service granted it
	index := map[string]int{}
	for i, s := range w.nodes {
		index[s.host] = i
	}
	w.State.OnLease = func(host, id string) {
		if i, ok := index[host]; ok {
			owners[id] = process{i, w.nodes[i].generation}
		}
	}
	w.OnSend = func(from string, c actor.Call) {
		i, ok := index[from]
		if !ok || c.Addr != stateAddr {
			return
		}
		sender := process{i, w.nodes[i].generation}
		if id, ok := strings.CutPrefix(c.Path, wire.PathGrants+"/"); ok && c.Method == "POST" {
			if id = strings.TrimSuffix(id, "/renew"); owners[id] != sender {
				t.Errorf("%v: %s renews lease %s of another process", w.now, from, id)
			}
		}
		if bytes.Contains(c.Body, []byte(`"write":"b/leader"`)) && !bytes.Contains(c.Body, []byte(`{"path":"b/leader","stamp":0}`)) {
			t.Errorf("%v: %s writes the leader key over another", w.now, from)
		}
	}
}

// TestFastRestarts restarts controllers within 20 to 500 ms: single ones, the leader or all,
// some of them repeatedly, also during an election. Other faults and late and repeated
// messages are mixed in.
func TestFastRestarts(t *testing.T) {
	for _, s := range seeds(t, 24) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			w := world(7000 + s)
			if s%2 == 0 {
				w = sevenNodeWorld(7000 + s)
			}
			w.State.SlowOneIn, w.StallOneIn, w.DuplicateOneIn = 50, 500, 60
			w.checkLeaderKeyWrites(t)
			w.Workload(60, 200*time.Second)
			for range 12 {
				w.At(w.randomSecs(8, 260), func() {
					l, n := w.Leader(), len(w.nodes)
					switch w.rng.IntN(6) {
					case 0: // all at once, up to four times
						times := 1 + w.rng.IntN(4)
						for i := range w.nodes {
							w.restartRepeatedly(i, times, w.shortPause(), w.randomSecs(0.1, 3))
						}
					case 1, 2: // the leader and its successors, also during the election
						for k := range 1 + w.rng.IntN(3) {
							w.after(time.Duration(k)*w.randomSecs(0.05, 1.5), func() { w.Crash(max(0, w.Leader()), w.shortPause()) })
						}
						w.after(w.randomSecs(0.02, 4), func() { w.Crash(w.rng.IntN(n), w.shortPause()) })
					case 3: // one controller in a crash loop
						if l < 0 || w.rng.IntN(2) == 0 {
							l = w.rng.IntN(n)
						}
						w.restartRepeatedly(l, 5+w.rng.IntN(40), 200*time.Millisecond, w.randomSecs(0.1, 2))
					case 4:
						w.RollingRestart(w.randomSecs(0.2, 2), w.shortPause())
					default:
						w.injectFault()
					}
				})
			}
			w.Run(1300 * time.Second)
			w.checkOutcome(t, 25)
		})
	}
}

// TestRestartBeforeLeaseExpiry guards against a cluster that waits for a lease that no process
// renews: when all controllers are back after 0.2 s, one of them ends the lease of its own
// earlier process, and a leader is elected long before the lease would have expired.
func TestRestartBeforeLeaseExpiry(t *testing.T) {
	for _, nodes := range []int{3, 7} {
		w := worldOf(Config{Seed: uint64(70 + nodes), Nodes: nodes})
		w.checkLeaderKeyWrites(t)
		w.submitSteadily("steady", 1, 500*time.Millisecond, 5*time.Second, 100*time.Second, func(int) Job {
			return Job{Kind: "sweep", Team: "free", Tasks: 1, CPUs: 1, RunS: 5}
		})
		w.Run(40 * time.Second)
		for i := range w.nodes {
			w.Crash(i, 200*time.Millisecond)
		}
		for w.Leader() < 0 && w.now < 60*time.Second {
			w.Run(w.now + 10*time.Millisecond)
		}
		if d := w.now - 40*time.Second; d > 1200*time.Millisecond {
			t.Errorf("%d nodes: no node led for %v", nodes, d)
		}
		w.Run(300 * time.Second)
		w.checkOutcome(t, 150)
	}
}

// TestCrashLoop has one node crash every 0.5 s and read all keys after each restart, 72 pages
// with 500 ended jobs. The other nodes keep serving and the leader stays, and the node uses little
// more than its share of the state service's request rate. When a process started with a full
// burst of requests, the node used 115 of the 250 requests a second.
func TestCrashLoop(t *testing.T) {
	w := worldOf(Config{Seed: 77, Nodes: 3, RPS: 250, WriteRPS: 30})
	w.checkLeaderKeyWrites(t)
	w.State.Fill("b/j/j-9", 500, `{"v":2,"f":"done","at":1,"k":1,"c":1}`)
	w.submitSteadily("steady", 1, time.Second, 5*time.Second, 40*time.Second, func(int) Job {
		return Job{Kind: "sweep", Team: "free", Tasks: 2, CPUs: 1, RunS: 5}
	})
	w.Run(20 * time.Second)
	crashing, token := (w.Leader()+1)%3, w.leaderToken()
	w.restartRepeatedly(crashing, 30, 200*time.Millisecond, 300*time.Millisecond)
	asked := w.State.Requests[w.NodeName(crashing)]
	w.Run(35 * time.Second)
	if n := float64(w.State.Requests[w.NodeName(crashing)]-asked) / 15; n > 75 {
		t.Errorf("the node in a crash loop sends %.0f requests a second", n)
	}
	if w.leaderToken() != token {
		t.Errorf("the leader has changed")
	}
	w.Run(100 * time.Second)
	w.checkOutcome(t, 30)
	if d := w.SlowestAccepted("steady", 20*time.Second, 35*time.Second); d > 3*time.Second {
		t.Errorf("jobs were accepted after up to %v", d)
	}
}

// leaderToken returns the token of the leader's term, 0 if there is no leader.
func (w *World) leaderToken() uint64 {
	if l := w.Leader(); l >= 0 {
		token, _ := w.nodes[l].node.Leading()
		return token
	}
	return 0
}

// TestLeaderKeyOfEarlierVersion starts controllers when a leader key of an earlier process exists.
// If the key names a lease and a node of this label, that node ends the lease at once. A key
// without a lease, as an earlier version of the program wrote it, or of another node is left
// to expire.
func TestLeaderKeyOfEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		value       string
		least, most time.Duration
	}{
		{`{"node":"n0","nonce":"n0-1","v":1}`, 2900 * time.Millisecond, 4500 * time.Millisecond},
		{`{"node":"n0","nonce":"n0-1","v":1,"permit":99}`, 0, 1500 * time.Millisecond},
		{`{"node":"elsewhere","nonce":"n0-1","v":1,"permit":99}`, 2900 * time.Millisecond, 4500 * time.Millisecond},
	} {
		w := world(78)
		w.State.leases[99] = &stateLease{ttl: 3 * time.Second, ends: 3 * time.Second}
		w.State.revision++
		w.State.keys["b/leader"] = &stateKey{value: []byte(c.value), revision: w.State.revision, lease: 99}
		w.checkLeaderKeyWrites(t)
		for w.Leader() < 0 && w.now < 10*time.Second {
			w.Run(w.now + 10*time.Millisecond)
		}
		if w.now < c.least || w.now > c.most {
			t.Errorf("%s: the first leader came after %v", c.value, w.now)
		}
	}
}

// TestRestartsWhileUsersCancel has the leader change within seconds, all controllers end and
// one return first, and all restart repeatedly, while users cancel many jobs, also just as
// these end, and machines hang. No user sees a job both done and cancelled, and the tasks of
// cancelled jobs end in time.
func TestRestartsWhileUsersCancel(t *testing.T) {
	cancelledJobs := 0
	for _, s := range seeds(t, 8) {
		w := world(7500 + s)
		w.StartLoadBalancer()
		w.DuplicateOneIn = 100
		w.checkLeaderKeyWrites(t)
		w.Workload(60, 150*time.Second)
		w.CancelAtEnd(0.4, 220*time.Second)
		for range 6 {
			w.At(w.randomSecs(20, 180), func() {
				w.CancelRunning(6, []time.Duration{0, w.randomSecs(5, 29)}[w.rng.IntN(2)])
				switch w.rng.IntN(3) {
				case 0: // the leader changes up to three times
					for k := range 3 {
						w.after(time.Duration(k)*w.randomSecs(0.1, 0.9), func() { w.Crash(max(0, w.Leader()), w.shortPause()) })
					}
				case 1: // all crash, one returns first
					first := w.rng.IntN(3)
					for i := range w.nodes {
						back := w.randomSecs(1, 9)
						if i == first {
							back = w.shortPause()
						}
						w.Crash(i, back)
					}
				default:
					for i := range w.nodes {
						w.restartRepeatedly(i, 3, w.shortPause(), w.randomSecs(0.1, 1))
					}
				}
			})
		}
		w.FaultsEndAt = 240 * time.Second
		w.Run(900 * time.Second)
		w.checkOutcome(t, 10)
		for _, j := range w.jobs {
			if j.cancelledAt > 0 {
				cancelledJobs++
			}
			if j.reportedDone && j.cancelledAt > 0 {
				t.Errorf("seed %d: %s was reported both done and cancelled", s, j.id)
			}
		}
	}
	if cancelledJobs < 100 {
		t.Errorf("%d jobs were cancelled, want at least 100: the intended scenario did not occur", cancelledJobs)
	}
}
