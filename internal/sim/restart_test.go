package sim

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// again restarts a controller, so many times running, each time after a pause.
func (w *World) again(i, times int, back, alive time.Duration) {
	if times <= 0 {
		return
	}
	w.Crash(i, back)
	w.after(back+alive, func() { w.again(i, times-1, back, alive) })
}

// soon is a pause within which a process is back on some platforms.
func (w *World) soon() time.Duration { return w.randomSecs(0.02, 0.5) }

// tookOver checks what a process may do with the leader key that the one before it left:
// take part of it is in no write, and no renewal names a lease that this process did
// not ask for.
func (w *World) tookOver(t *testing.T) {
	type life struct{ node, gen int }
	granted := map[string]life{} // by lease, as the state service gave it out
	index := map[string]int{}
	for i, s := range w.nodes {
		index[s.host] = i
	}
	w.State.OnLease = func(host, id string) {
		if i, ok := index[host]; ok {
			granted[id] = life{i, w.nodes[i].generation}
		}
	}
	w.OnSend = func(from string, c actor.Call) {
		i, ok := index[from]
		if !ok || c.Addr != stateAddr {
			return
		}
		me := life{i, w.nodes[i].generation}
		if id, ok := strings.CutPrefix(c.Path, wire.PathGrants+"/"); ok && c.Method == "POST" {
			if id = strings.TrimSuffix(id, "/renew"); granted[id] != me {
				t.Errorf("%v: %s renews lease %s of another process", w.now, from, id)
			}
		}
		if bytes.Contains(c.Body, []byte(`"write":"b/leader"`)) && !bytes.Contains(c.Body, []byte(`{"path":"b/leader","stamp":0}`)) {
			t.Errorf("%v: %s writes the leader key over another", w.now, from)
		}
	}
}

// TestFastRestarts plays days on which processes are back after 20 to 500 ms: single
// ones, the leader, all, several times running, in the middle of an election, one that
// ends again and again, beside other troubles, with late and repeated messages.
func TestFastRestarts(t *testing.T) {
	for _, s := range seeds(t, 24) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			w := world(7000 + s)
			if s%2 == 0 {
				w = seven(7000 + s)
			}
			w.State.SlowOneIn, w.StallOneIn, w.DuplicateOneIn = 50, 500, 60
			w.tookOver(t)
			w.Workload(60, 200*time.Second)
			for range 12 {
				w.At(w.randomSecs(8, 260), func() {
					l, n := w.Leader(), len(w.nodes)
					switch w.rng.IntN(6) {
					case 0: // all at once, perhaps several times
						times := 1 + w.rng.IntN(4)
						for i := range w.nodes {
							w.again(i, times, w.soon(), w.randomSecs(0.1, 3))
						}
					case 1, 2: // the leader, and who follows it, in the middle of the election
						for k := range 1 + w.rng.IntN(3) {
							w.after(time.Duration(k)*w.randomSecs(0.05, 1.5), func() { w.Crash(max(0, w.Leader()), w.soon()) })
						}
						w.after(w.randomSecs(0.02, 4), func() { w.Crash(w.rng.IntN(n), w.soon()) })
					case 3: // one that ends again and again
						if l < 0 || w.rng.IntN(2) == 0 {
							l = w.rng.IntN(n)
						}
						w.again(l, 5+w.rng.IntN(40), 200*time.Millisecond, w.randomSecs(0.1, 2))
					case 4:
						w.RollingRestart(w.randomSecs(0.2, 2), w.soon())
					default:
						w.trouble()
					}
				})
			}
			w.Run(1300 * time.Second)
			w.verdict(t, 25)
		})
	}
}

// TestBackBeforeTheLease guards against a cluster that waits for a lease that nobody
// renews: when all controllers are back after 0.2 s, one of them ends what its own
// earlier process left, and starts go on long before the lease would have run out.
func TestBackBeforeTheLease(t *testing.T) {
	for _, nodes := range []int{3, 7} {
		w := worldOf(Config{Seed: uint64(70 + nodes), Nodes: nodes})
		w.tookOver(t)
		w.steady("steady", 1, 500*time.Millisecond, 5*time.Second, 100*time.Second, func(int) Job {
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
			t.Errorf("%d nodes: nobody led for %v", nodes, d)
		}
		w.Run(300 * time.Second)
		w.verdict(t, 150)
	}
}

// TestCrashLoop has one node end every 0.5 s, which reads all keys anew each time: the
// others serve, and it takes little more of the state service's requests than its share,
// nor does it lead. There are 500 ended jobs in 72 pages; without less than a full burst at the
// start of a process it took 115 requests a second of 250.
func TestCrashLoop(t *testing.T) {
	w := worldOf(Config{Seed: 77, Nodes: 3, RPS: 250, WriteRPS: 30})
	w.tookOver(t)
	w.State.Fill("b/j/j-9", 500, `{"v":2,"f":"done","at":1,"k":1,"c":1}`)
	w.steady("steady", 1, time.Second, 5*time.Second, 40*time.Second, func(int) Job {
		return Job{Kind: "sweep", Team: "free", Tasks: 2, CPUs: 1, RunS: 5}
	})
	w.Run(20 * time.Second)
	bad, token := (w.Leader()+1)%3, w.leaderToken()
	w.again(bad, 30, 200*time.Millisecond, 300*time.Millisecond)
	asked := w.State.Requests[w.NodeName(bad)]
	w.Run(35 * time.Second)
	if n := float64(w.State.Requests[w.NodeName(bad)]-asked) / 15; n > 75 {
		t.Errorf("the node that ends again and again asks %.0f times a second", n)
	}
	if w.leaderToken() != token {
		t.Errorf("the leader has changed")
	}
	w.Run(100 * time.Second)
	w.verdict(t, 30)
	if d := w.SlowestAccepted("steady", 20*time.Second, 35*time.Second); d > 3*time.Second {
		t.Errorf("jobs were accepted after up to %v", d)
	}
}

func (w *World) leaderToken() uint64 {
	if l := w.Leader(); l >= 0 {
		token, _ := w.nodes[l].node.Leading()
		return token
	}
	return 0
}

// TestKeyOfAnEarlierProgram has a leader key that a process of the same label left, by a
// program that wrote no lease into it and by ours: the one is waited for, the other ended.
func TestKeyOfAnEarlierProgram(t *testing.T) {
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
		w.State.epoch++
		w.State.keys["b/leader"] = &stateKey{value: []byte(c.value), stamp: w.State.epoch, lease: 99}
		w.tookOver(t)
		for w.Leader() < 0 && w.now < 10*time.Second {
			w.Run(w.now + 10*time.Millisecond)
		}
		if w.now < c.least || w.now > c.most {
			t.Errorf("%s: the first leader came after %v", c.value, w.now)
		}
	}
}

// TestRestartsWhileUsersCancel has controllers hand over and back, all end, and one return, each
// within a second, while many jobs are cancelled, also just as they end, and their machines
// hang: each user gets one final word, and what is cancelled is gone in time.
func TestRestartsWhileUsersCancel(t *testing.T) {
	final := 0
	for _, s := range seeds(t, 8) {
		w := world(7500 + s)
		w.StartLoadBalancer()
		w.DuplicateOneIn = 100
		w.tookOver(t)
		w.Workload(60, 150*time.Second)
		w.CancelAtEnd(0.4, 220*time.Second)
		for range 6 {
			w.At(w.randomSecs(20, 180), func() {
				w.CancelRunning(6, []time.Duration{0, w.randomSecs(5, 29)}[w.rng.IntN(2)])
				switch w.rng.IntN(3) {
				case 0: // handed over and back
					for k := range 3 {
						w.after(time.Duration(k)*w.randomSecs(0.1, 0.9), func() { w.Crash(max(0, w.Leader()), w.soon()) })
					}
				case 1: // all end, one returns first
					first := w.rng.IntN(3)
					for i := range w.nodes {
						back := w.randomSecs(1, 9)
						if i == first {
							back = w.soon()
						}
						w.Crash(i, back)
					}
				default:
					for i := range w.nodes {
						w.again(i, 3, w.soon(), w.randomSecs(0.1, 1))
					}
				}
			})
		}
		w.FaultsEndAt = 240 * time.Second
		w.Run(900 * time.Second)
		w.verdict(t, 10)
		for _, j := range w.jobs {
			if j.cancelledAt > 0 {
				final++
			}
			if j.reportedDone && j.cancelledAt > 0 {
				t.Errorf("seed %d: %s was called both done and cancelled", s, j.id)
			}
		}
	}
	if final < 100 {
		t.Errorf("%d jobs were cancelled: the meeting did not come about", final)
	}
}
