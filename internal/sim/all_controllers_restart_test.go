package sim

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// restartCase describes a run in which all controllers are down for longer than a lease.
type restartCase struct {
	name        string
	delay       func(i int) time.Duration // how long after the first controller i is back
	oldReports  bool                      // copies of reports from before the crash arrive first
	lateRentals bool                      // requests for machines are delayed and carried out late
	stateOutage bool                      // the state service fails, too, until 20 s after the first is back
}

// TestAllControllersRestart has all controllers down for longer than a lease. They come back at
// once, one by one, or one of them alone for a minute. By then all tasks have been killed as
// their workers' leases expired, and the workers have new sessions. Few tasks may be started more
// than once, and a gang that had begun only under a new attempt.
func TestAllControllersRestart(t *testing.T) {
	at := func(d time.Duration) func(int) time.Duration {
		return func(i int) time.Duration { return time.Duration(i) * d }
	}
	for _, c := range []restartCase{
		{name: "at once", delay: at(0)},
		{name: "one by one", delay: at(7 * time.Second)},
		{name: "one alone for a minute", delay: func(i int) time.Duration { return time.Duration(min(i, 1)) * time.Minute }},
		{name: "old reports first", delay: at(0), oldReports: true},
		{name: "old reports first, one alone", delay: func(i int) time.Duration { return time.Duration(min(i, 1)) * time.Minute }, oldReports: true},
		{name: "rentals carried out late", delay: at(2 * time.Second), lateRentals: true},
		{name: "with an outage of the state service", delay: at(time.Second), oldReports: true, stateOutage: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 3) {
				const from = 60 * time.Second
				w := worldOf(Config{Seed: 1100 + seed, Nodes: 3})
				w.checkCancelled()
				w.At(5*time.Second, func() {
					for i := range 12 {
						w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: []string{"sweep", "ensemble", "standing"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 3, RunS: 100,
							CancelAfter: time.Duration(i%3/2) * 400 * time.Second})
					}
				})
				downtime := w.lease() + w.randomSecs(4, 25)
				var reports [][]byte
				w.OnSend = func(from string, a actor.Call) {
					if c.oldReports && a.Path == "/hello" && w.now > 40*time.Second && w.now < 60*time.Second {
						reports = append(reports, bytes.Clone(a.Body))
					}
				}
				w.RequestDelay = func(_ string, a actor.Call) time.Duration {
					if c.lateRentals && a.Path == "/hosts" && a.Method == "POST" && w.now > 50*time.Second && w.now < from {
						return downtime + w.randomSecs(0, 10)
					}
					return 0
				}
				if c.lateRentals {
					w.At(53*time.Second, func() {
						for i := range 10 {
							w.Submit(Job{ID: fmt.Sprintf("j-8%02d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 4, CPUs: 9, RunS: 60})
						}
					})
				}
				running, starts, machines := 0, map[string]int{}, map[string]bool{}
				w.At(from, func() {
					for _, m := range w.Machines() {
						running += len(m.tasks)
						machines[m.Name] = true
					}
					for i := range w.nodes {
						w.Crash(i, downtime+c.delay(i))
					}
					if c.stateOutage {
						w.State.Outage(downtime + 20*time.Second)
					}
					w.OnStart = func(r *runner) { starts[r.job.id+fmt.Sprint("/", r.task)]++ }
				})
				copied := 0
				w.At(from+downtime+10*time.Millisecond, func() {
					for i, b := range reports {
						w.after(time.Duration(i)*10*time.Millisecond, func() {
							if s := w.nodes[0]; s.up {
								copied++
								s.serve("vm", "POST", "/hello", b, func(int, []byte) {})
							}
						})
					}
				})
				w.Run(from + downtime - 100*time.Millisecond)
				if w.KilledByLease < running*9/10 {
					t.Errorf("seed %d: %d of %d tasks were killed by expired leases: the intended scenario did not occur", seed, w.KilledByLease, running)
				}
				w.Run(from + downtime + 100*time.Second)
				totalStarts, repeated := 0, []string{}
				for k, n := range starts {
					totalStarts += n
					if n > 1 {
						repeated = append(repeated, k)
					}
				}
				returned := 0
				for name := range machines {
					if m := w.Cloud.machines[name]; m.gone {
						returned++
					}
				}
				t.Logf("seed %d: %d tasks ran before, %d starts in the 100 s after, %d tasks started more than once, %d of %d machines returned, %d copies of reports", seed, running, totalStarts, len(repeated), returned, len(machines), copied)
				// A worker that is asked for its status may lose its session before one of its
				// reports is answered: the tasks that it got meanwhile are started once more.
				if extra := totalStarts - len(starts); 5*extra > len(starts) {
					t.Errorf("seed %d: %d repeated starts: %s", seed, extra, strings.Join(repeated, " "))
				}
				if c.oldReports && copied == 0 {
					t.Error("no copies of reports arrived: the intended scenario did not occur")
				}
				w.FaultsEndAt = from + downtime + max(c.delay(1), c.delay(2)) + 20*time.Second
				w.Run(900 * time.Second)
				w.checkOutcome(t, 8)
			}
		})
	}
}

// TestTenLeaders has the leader change ten times in two minutes, also during an outage of the
// state service, while machines fail. Each new leader has to wait again for the workers that have
// not reported to it. Starts resume within 15 s of the last change, and lost tasks are started
// again as soon as there is room for them.
func TestTenLeaders(t *testing.T) {
	t.Parallel()
	for _, outage := range []bool{false, true} {
		worst, wait, started, lost := time.Duration(0), time.Duration(0), 0, 0
		for _, seed := range seeds(t, 4) {
			const from = 60 * time.Second
			w := worldOf(Config{Seed: 1200 + seed, Nodes: 3})
			w.checkCancelled()
			w.submitSteadily("steady", 1, time.Second, 5*time.Second, 300*time.Second, func(int) Job {
				return Job{Kind: "sweep", Team: "free", Tasks: 1, CPUs: 1, RunS: 6}
			})
			w.At(5*time.Second, func() {
				for i := range 6 {
					w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 4, CPUs: 2, RunS: 400})
				}
			})
			tokens := map[uint64]bool{}
			for k := range 10 {
				w.At(from+time.Duration(k)*12*time.Second, func() {
					w.Crash(max(0, w.Leader()), w.randomSecs(0.1, 4))
				})
			}
			for at := from; at < from+125*time.Second; at += 250 * time.Millisecond {
				w.At(at, func() { tokens[w.leaderToken()] = true })
			}
			if outage {
				w.At(from+30*time.Second, func() { w.State.Outage(40 * time.Second) })
			}
			lostTasks := map[string]bool{} // tasks that are lost with their machines, by job and number
			w.At(from+20*time.Second, func() {
				for i, m := range w.Machines() {
					if i%3 == 0 {
						for _, r := range m.sortedTasks() {
							if r.job.kind == "sweep" && r.phase == "running" && r.job.tasks == 4 {
								lostTasks[fmt.Sprint(r.job.id, "/", r.task)] = true
							}
						}
						m.Fail()
					}
				}
			})
			last := from + 9*12*time.Second
			firstStart := time.Duration(0)
			w.At(from+20*time.Second+time.Millisecond, func() {
				lost += len(lostTasks)
				w.OnStart = func(r *runner) {
					if w.now > last && firstStart == 0 {
						firstStart = w.now - last
					}
					if k := fmt.Sprint(r.job.id, "/", r.task); lostTasks[k] {
						delete(lostTasks, k)
						started++
						worst = max(worst, w.now-last)
					}
				}
			})
			w.FaultsEndAt = last + 5*time.Second
			w.Run(last + 100*time.Second)
			if firstStart == 0 || firstStart > 15*time.Second {
				t.Errorf("outage %v, seed %d: the first start came %v after the last change", outage, seed, firstStart)
			}
			if len(tokens) < 7 && !outage || len(tokens) < 5 {
				t.Errorf("outage %v, seed %d: %d leaders: the intended scenario did not occur", outage, seed, len(tokens))
			}
			w.Run(1200 * time.Second)
			w.checkOutcome(t, 250)
			wait = max(wait, w.LongestWait)
		}
		t.Logf("outage %v: %d of %d lost tasks were started again, the last %v after the last change of leader; no job waited for more than %v while there was room",
			outage, started, lost, worst.Round(time.Second), wait.Round(time.Second))
		if started < lost {
			t.Errorf("outage %v: %d of %d lost tasks were started again", outage, started, lost)
		}
	}
}
