package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

var healthCheck = map[string]any{"port": 8000, "per_task": true, "path": "/healthz", "interval_s": 2.0, "timeout_s": 1.0, "passes": 2, "fails": 3}

// serviceWorld returns a world with a service whose given number of instances run and serve.
func serviceWorld(t testing.TB, c Config, tasks int) *World {
	t.Helper()
	c.Nodes = 3
	w := worldOf(c)
	w.At(2*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "standing", Team: "free", Image: "web:good", ImageGB: 0.1, Tasks: tasks, CPUs: 2})
	})
	w.Run(40 * time.Second)
	if n := w.HealthyInstances("j-1"); n != tasks {
		t.Fatalf("%d of %d instances serve", n, tasks)
	}
	return w
}

func (w *World) mustRollout(t testing.TB, v Version) {
	t.Helper()
	w.Rollout(v, func(status int, body []byte) {
		if status != 201 && status != 200 {
			t.Errorf("the roll-out request got %d %s", status, body)
		}
	})
}

// versionJob returns the job of a new version of the service.
func versionJob(id, image string, tasks int) Job {
	return Job{ID: id, Team: "free", Image: image, ImageGB: 0.1, Tasks: tasks, CPUs: 2}
}

// awaitRollout runs the world until the n-th roll-out of the service is over, and returns how
// it ended and why.
func (w *World) awaitRollout(name string, n int, most time.Duration) (state, why string) {
	for end := w.now + most; w.now < end; {
		w.Run(w.now + 500*time.Millisecond)
		if state, why, _ = w.PastRollout(name, n); state != "" {
			return state, why
		}
	}
	r := w.ServiceRecord(name)
	if r.R != nil {
		return "still " + r.R.S, r.R.W
	}
	return "none", ""
}

// checkNoBrokenRules fails the test for each rule that the world found broken.
func (w *World) checkNoBrokenRules(t testing.TB) {
	t.Helper()
	for _, violation := range w.Violations {
		t.Error(violation)
	}
}

// TestRollout rolls out, in steps, a good version and versions that fail in each of the
// ways that health checks detect. A failing version is rolled back automatically, and
// no more instances of it start than the step allows.
func TestRollout(t *testing.T) {
	for _, c := range []struct {
		image, state, why string
		started           int // most instances of the new version at a time
	}{
		{"web:good", "done", "", 10},
		{"web:bad", "rolled back", "answered 500", 2},
		{"web:some", "rolled back", "answered 500", 2},
		{"web:late=15", "rolled back", "answered 500", 5},
		{"web:slow", "rolled back", "answered after", 2},
		{"web:mute", "rolled back", "did not answer", 2},
		{"web:refuse", "rolled back", "refused the connection", 2},
		{"web:flap", "rolled back", "checks", 5},
		{"web:exit=3", "rolled back", "ended by", 2},
	} {
		w := serviceWorld(t, Config{Seed: 81}, 10)
		before := w.State.Changes
		h := map[string]any{}
		for k, v := range healthCheck {
			h[k] = v
		}
		h["timeout_s"], h["slow_s"] = 1.8, 0.5
		w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", c.image, 10), From: "j-1", Surge: 1,
			Plan: map[string]any{"steps": []any{2, "50%"}, "bake_s": 12.0, "window_s": 20.0}, Health: h})
		most := 0
		var state, why string
		for state == "" && w.now < 900*time.Second {
			w.Run(w.now + 500*time.Millisecond)
			n := 0
			for _, r := range w.services["shop"].instances(w) {
				if r.job.id == "j-2" {
					n++
				}
			}
			most = max(most, n)
			state, why, _ = w.PastRollout("shop", 1)
		}
		if state != c.state || !strings.Contains(why, c.why) || most > c.started {
			t.Errorf("%s: %q because %q, up to %d new instances", c.image, state, why, most)
		}
		w.Run(w.now + 20*time.Second)
		good, other := "j-1", "j-2"
		if c.state == "done" {
			good, other = other, good
		}
		if w.HealthyInstances(good) != 10 || len(w.services["shop"].instances(w)) != 10 {
			t.Errorf("%s: %d instances of %s serve, %d exist", c.image, w.HealthyInstances(good), good, len(w.services["shop"].instances(w)))
		}
		_ = other
		w.checkNoBrokenRules(t)
		t.Logf("%-12s %-12s after %v, %d new instances, %d changes: %s", c.image, state, w.now, most, w.State.Changes-before, why)
	}
}

// TestRolloutCrashes crashes the leader, or all controllers, around every second write
// of a roll-out: before the state service has received it, and 8 ms later, between the
// write and its effect.
func TestRolloutCrashes(t *testing.T) {
	for _, image := range []string{"web:good", "web:late=25"} {
		for _, all := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 8 * time.Millisecond} {
				w := serviceWorld(t, Config{Seed: 82}, 6)
				writes, crashed := 0, 0
				w.OnSend = func(from string, c actor.Call) {
					if c.Path != "/commit" || !strings.Contains(string(c.Body), `"write":"b/s/`) || !strings.Contains(string(c.Body), "b/leader") {
						return
					}
					writes++
					if writes%2 == 0 && crashed < 12 {
						crashed++
						w.after(delay, func() {
							for i := range w.nodes {
								if all || w.nodes[i].host == from {
									w.Crash(i, 2*time.Second)
								}
							}
						})
					}
				}
				w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", image, 6), From: "j-1", Surge: 1,
					Plan: map[string]any{"steps": []any{1, 3}, "bake_s": 5.0, "window_s": 10.0}, Health: healthCheck})
				state, why := w.awaitRollout("shop", 1, 20*time.Minute)
				want, good := "done", "j-2"
				if image != "web:good" {
					want, good = "rolled back", "j-1"
				}
				if state != want {
					t.Errorf("%s, all %v, %v: %q because %q", image, all, delay, state, why)
				}
				w.OnSend = nil
				w.Run(w.now + 60*time.Second)
				if n := w.HealthyInstances(good); n != 6 || len(w.services["shop"].instances(w)) != 6 {
					t.Errorf("%s, all %v, %v: %d instances serve, %d exist", image, all, delay, n, len(w.services["shop"].instances(w)))
				}
				w.checkNoBrokenRules(t)
				if crashed < 3 {
					t.Errorf("only %d crashes", crashed)
				}
			}
		}
	}
}

// TestRolloutFaults rolls out a version under one kind of fault at a time.
func TestRolloutFaults(t *testing.T) {
	plan := map[string]any{"steps": []any{1, "50%"}, "bake_s": 5.0, "window_s": 10.0}
	roll := func(t *testing.T, w *World, image string, extra map[string]any) {
		p := map[string]any{}
		for k, v := range plan {
			p[k] = v
		}
		for k, v := range extra {
			p[k] = v
		}
		w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", image, 6), From: "j-1", Surge: 1, Plan: p, Health: healthCheck})
	}
	expect := func(t *testing.T, w *World, n int, want, because string) {
		t.Helper()
		state, why := w.awaitRollout("shop", n, 30*time.Minute)
		if state != want || !strings.Contains(why, because) {
			t.Errorf("%q because %q, want %q because %q", state, why, want, because)
		}
		w.Run(w.now + 90*time.Second)
		w.checkNoBrokenRules(t)
	}
	machineOf := func(w *World, job string) *Machine {
		for _, m := range w.Machines() {
			for _, r := range m.sortedTasks() {
				if r.job.id == job && r.phase == "running" {
					return m
				}
			}
		}
		return nil
	}
	t.Run("state service down", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 83}, 6)
		roll(t, w, "web:good", nil)
		for i := range 5 {
			w.after(time.Duration(3+18*i)*time.Second, func() { w.State.Outage(9 * time.Second) })
		}
		expect(t, w, 1, "done", "")
	})
	t.Run("machine of a new instance lost", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 84}, 6)
		roll(t, w, "web:good", nil)
		for i := range 4 {
			w.after(time.Duration(12+15*i)*time.Second, func() {
				if m := machineOf(w, "j-2"); m != nil {
					m.Fail()
				}
			})
		}
		expect(t, w, 1, "done", "")
		if n := w.HealthyInstances("j-2"); n != 6 {
			t.Errorf("%d of 6 serve", n)
		}
	})
	t.Run("network cut to a machine is no failed check", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 85}, 6)
		roll(t, w, "web:good", nil)
		m := machineOf(w, "j-2")
		for ; m == nil && w.now < 120*time.Second; m = machineOf(w, "j-2") {
			w.Run(w.now + time.Second)
		}
		if m == nil {
			t.Fatal("no new instance runs")
		}
		for _, n := range w.nodes { // no controller gets its reports either: the machine may be lost
			w.Cut(n.host, m.Name, 15*time.Second, false)
		}
		expect(t, w, 1, "done", "")
	})
	t.Run("leader is paused", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 86}, 6)
		roll(t, w, "web:good", nil)
		for i := range 6 {
			w.after(time.Duration(5+12*i)*time.Second, func() { w.Freeze(w.Leader(), time.Duration(2+i)*time.Second) })
		}
		expect(t, w, 1, "done", "")
	})
	t.Run("the old version fails, too", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 87}, 6)
		roll(t, w, "web:late=20", nil)
		w.after(25*time.Second, func() { w.jobs["j-1"].image = "web:bad" })
		w.Run(w.now + 200*time.Second)
		if r := w.ServiceRecord("shop"); r.R == nil || r.R.S != "stuck" || !strings.Contains(r.R.W, "fails, too") {
			t.Errorf("the roll-out is %+v, want it stuck since the old version fails, too", r.R)
		}
		if n := len(w.services["shop"].instances(w)); n < 6 {
			t.Errorf("%d of 6 instances are left", n)
		}
		w.checkNoBrokenRules(t)
	})
	t.Run("service withdrawn", func(t *testing.T) {
		for _, how := range []string{"service", "old", "new"} {
			w := serviceWorld(t, Config{Seed: 88}, 6)
			roll(t, w, "web:good", nil)
			w.Run(w.now + 20*time.Second)
			left := 0
			switch how {
			case "service":
				w.AskService("shop", "withdraw", func(int, []byte) {})
				expect(t, w, 1, "withdrawn", "withdrawn by ana")
			case "old":
				w.services["shop"].withdrawn = true
				w.cancel(w.jobs["j-1"])
				expect(t, w, 1, "withdrawn", "j-1 was withdrawn")
			case "new":
				w.jobs["j-2"].accepted = true
				w.cancel(w.jobs["j-2"])
				expect(t, w, 1, "rolled back", "j-2 was withdrawn")
				left = 6
			}
			if n := len(w.services["shop"].instances(w)); n != left {
				t.Errorf("%s: %d instances are left, not %d", how, n, left)
			}
		}
	})
	t.Run("no room for the surge", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 89}, 6)
		// Job j-9 leaves the team room for at most one new instance under its limit.
		j := versionJob("j-2", "web:good", 6)
		j.Team, j.CPUs = "red", 16
		w.Submit(Job{ID: "j-9", Kind: "standing", Team: "red", Image: "web:good", ImageGB: 0.1, Tasks: 9, CPUs: 16, Urgency: "critical"})
		w.Run(w.now + 90*time.Second)
		w.mustRollout(t, Version{Service: "shop", Job: j, From: "j-1", Surge: 2, Plan: map[string]any{"stall_s": 60.0}, Health: healthCheck})
		w.Run(w.now + 100*time.Second)
		if n := w.HealthyInstances("j-1"); n < 6 {
			t.Errorf("%d of 6 old instances serve", n)
		}
		expect(t, w, 1, "rolled back", "no progress")
	})
	t.Run("two roll-outs, a consolidation, other work", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 90}, 6)
		w.Submit(Job{ID: "j-7", Kind: "standing", Team: "free", Image: "web:good", ImageGB: 0.1, Tasks: 5, CPUs: 3})
		w.Workload(30, 100*time.Second)
		w.Run(w.now + 30*time.Second)
		roll(t, w, "web:good", nil)
		w.mustRollout(t, Version{Service: "till", Job: Job{ID: "j-8", Team: "free", Image: "web:late=10", ImageGB: 0.1, Tasks: 5, CPUs: 3}, From: "j-7",
			Unavailable: 1, Surge: 0, Plan: map[string]any{"bake_s": 5.0, "window_s": 15.0}, Health: healthCheck})
		if state, why := w.awaitRollout("till", 1, 20*time.Minute); state != "rolled back" {
			t.Errorf("till: %q because %q", state, why)
		}
		expect(t, w, 1, "done", "")
	})
	t.Run("by zone, then paused, aborted, and after another", func(t *testing.T) {
		w := serviceWorld(t, Config{Seed: 91}, 9)
		w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", "web:good", 9), From: "j-1", Surge: 1, Unavailable: 1,
			Plan: map[string]any{"by_zone": true, "bake_s": 20.0}, Health: healthCheck})
		zones := map[int]map[string]bool{}
		for range 400 {
			w.Run(w.now + time.Second)
			r := w.ServiceRecord("shop")
			if r.R == nil && r.N > 0 {
				break
			}
			if r.R != nil && (r.R.S == "rolling" || r.R.S == "baking") {
				for _, x := range w.services["shop"].instances(w) {
					if x.job.id == "j-2" {
						if zones[r.R.I] == nil {
							zones[r.R.I] = map[string]bool{}
						}
						zones[r.R.I][x.m.Zone] = true
					}
				}
			}
		}
		if len(zones[0]) != 1 || len(zones[1]) > 2 {
			t.Errorf("zones of new instances by step: %v", zones)
		}
		expect(t, w, 1, "done", "")
		w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-3", "web:good", 9), Surge: 2, Plan: map[string]any{"steps": []any{3, 6}, "bake_s": 5.0}, Health: healthCheck})
		w.Run(w.now + 15*time.Second)
		w.AskService("shop", "pause", func(int, []byte) {})
		w.Run(w.now + 20*time.Second)
		n := w.HealthyInstances("j-3")
		w.Run(w.now + 60*time.Second)
		if m := w.HealthyInstances("j-3"); m != n || n == 0 || n == 9 {
			t.Errorf("%d new instances 20 s after the order to pause, %d a minute later", n, m)
		}
		w.Rollout(Version{Service: "shop", Job: versionJob("j-4", "web:good", 9), Surge: 1}, func(status int, body []byte) {
			if status != 409 || !strings.Contains(string(body), "under way") {
				t.Errorf("a second roll-out got %d %s", status, body)
			}
		})
		w.Run(w.now + 5*time.Second)
		w.AskService("shop", "abort", func(int, []byte) {})
		expect(t, w, 2, "rolled back", "aborted by ana")
		if n := w.HealthyInstances("j-2"); n != 9 {
			t.Errorf("%d of 9 of the old version serve", n)
		}
	})
}

// TestRolloutRandomFaults runs roll-outs of good and bad versions under random faults. The
// bounds on the number of instances hold throughout, and in the end all instances are of
// one good version.
func TestRolloutRandomFaults(t *testing.T) {
	for _, seed := range seeds(t, 12) {
		w := serviceWorld(t, Config{Seed: 1000 + seed}, 8)
		images := []string{"web:good", "web:good", "web:late=30", "web:some", "web:flap", "web:exit=4"}
		h := map[string]any{}
		for k, v := range healthCheck {
			h[k] = v
		}
		good, n, outcomes := "j-1", 0, ""
		for i := range 4 {
			image := images[w.rng.IntN(len(images))]
			id := fmt.Sprintf("j-%d", i+2)
			for range 1 + w.rng.IntN(4) {
				at := w.randomSecs(0, 90)
				switch w.rng.IntN(8) {
				case 0:
					w.after(at, func() { w.Crash(max(0, w.Leader()), w.randomSecs(1, 5)) })
				case 1:
					w.after(at, func() {
						for i := range w.nodes {
							w.Crash(i, w.randomSecs(1, 5))
						}
					})
				case 2:
					w.after(at, func() { w.State.Outage(w.randomSecs(1, 12)) })
				case 3:
					w.after(at, func() {
						if ms := w.Machines(); len(ms) > 0 {
							ms[w.rng.IntN(len(ms))].Fail()
						}
					})
				case 4:
					w.after(at, func() { w.Freeze(max(0, w.Leader()), w.randomSecs(2, 8)) })
				case 5:
					w.after(at, func() {
						if ms := w.Machines(); len(ms) > 0 {
							w.Cut(w.NodeName(max(0, w.Leader())), ms[w.rng.IntN(len(ms))].Name, w.randomSecs(5, 40), w.rng.IntN(2) == 0)
						}
					})
				case 6:
					w.after(at, func() {
						if ms := w.Machines(); len(ms) > 0 {
							ms[w.rng.IntN(len(ms))].Hang(w.randomSecs(2, 25))
						}
					})
				case 7:
					w.after(at, func() { w.Cut(w.NodeName(max(0, w.Leader())), "state", w.randomSecs(2, 12), true) })
				}
			}
			w.mustRollout(t, Version{Service: "shop", Job: versionJob(id, image, 8), From: map[bool]string{true: "j-1"}[i == 0], Surge: 1 + w.rng.IntN(2), Unavailable: w.rng.IntN(2),
				Plan: map[string]any{"steps": []any{1, "50%"}, "bake_s": 10.0, "window_s": 40.0, "stall_s": 240.0}, Health: h})
			w.Run(w.now + 8*time.Second)
			n++
			state, why := w.awaitRollout("shop", n, 30*time.Minute)
			outcomes += fmt.Sprintf(" %s %s", image, state)
			switch state {
			case "done":
				good = id
				if image != "web:good" {
					t.Errorf("seed %d: the roll-out of %s is done, want it rolled back", seed, image)
				}
			case "rolled back":
			default:
				t.Fatalf("seed %d: roll-out %d of %s: %q because %q", seed, n, image, state, why)
			}
		}
		w.Run(w.now + 120*time.Second)
		if k := w.HealthyInstances(good); k != 8 || len(w.services["shop"].instances(w)) != 8 {
			t.Errorf("seed %d: %d of 8 instances of %s serve, %d exist", seed, k, good, len(w.services["shop"].instances(w)))
		}
		w.checkNoBrokenRules(t)
		if t.Failed() {
			t.Fatalf("seed %d:%s", seed, outcomes)
		}
	}
}

// TestFirstRolloutLeavesPartsOut guards against a leader that ends with a nil pointer, and so does
// each one after it, because a roll-out's request leaves out a part of the service's record: the
// running job that it adopts, the health check or the steps.
func TestFirstRolloutLeavesPartsOut(t *testing.T) {
	for _, c := range []struct {
		name, image, from string
		plan, health      map[string]any
		state, why        string
	}{
		{"only the job", "web:good", "", nil, nil, "done", ""},
		{"no running job", "web:good", "", map[string]any{"steps": []any{1, "50%"}, "bake_s": 5.0}, healthCheck, "done", ""},
		{"no running job, by zone", "web:good", "", map[string]any{"by_zone": true}, healthCheck, "done", ""},
		{"no steps and no health check", "web:good", "j-1", nil, nil, "done", ""},
		{"by zone, no health check", "web:good", "j-1", map[string]any{"by_zone": true}, nil, "done", ""},
		{"no running job, sick", "web:bad", "", nil, healthCheck, "still stuck", "no earlier version"},
		{"no running job, ends", "web:exit=3", "", nil, nil, "still stuck", "no earlier version"},
		{"no running job, port in use", "web:good", "", nil, map[string]any{"port": 8999, "per_task": true, "path": "/"}, "rolled back", "port 9000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := serviceWorld(t, Config{Seed: 97}, 4)
			w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", c.image, 4), From: c.from, Surge: 1, Plan: c.plan, Health: c.health})
			w.after(15*time.Second, func() { w.Crash(max(0, w.Leader()), 2*time.Second) }) // the next leader reads the same record
			if state, why := w.awaitRollout("shop", 1, 5*time.Minute); state != c.state || !strings.Contains(why, c.why) {
				t.Errorf("%q because %q, want %q because %q", state, why, c.state, c.why)
			}
			if n := w.HealthyInstances("j-2"); c.state == "done" && n != 4 {
				t.Errorf("%d of 4 new instances serve", n)
			}
			w.withdrawAndReplace(t, 4)
			w.checkNoBrokenRules(t)
		})
	}
}

// withdrawAndReplace withdraws the service shop, whatever has become of its first roll-out, and
// rolls out another version without naming a running job.
func (w *World) withdrawAndReplace(t *testing.T, tasks int) {
	t.Helper()
	for _, verb := range []string{"pause", "resume", "abort"} { // answered by all nodes, whatever the record lacks
		w.AskService("shop", verb, func(int, []byte) {})
	}
	w.Run(w.now + 5*time.Second)
	w.AskService("shop", "withdraw", func(status int, body []byte) {
		if status != 200 {
			t.Errorf("the withdrawal got %d %s", status, body)
		}
	})
	w.Run(w.now + 30*time.Second)
	if n := len(w.services["shop"].instances(w)); n != 0 {
		t.Errorf("%d instances are left of a service that was withdrawn", n)
	}
	number := w.ServiceRecord("shop").N + 1
	w.services["shop"].withdrawn = false
	w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-3", "web:good", tasks), Surge: 1})
	w.Run(w.now + 3*time.Second)
	if state, why := w.awaitRollout("shop", number, 5*time.Minute); state != "done" || w.HealthyInstances("j-3") != tasks {
		t.Errorf("after the withdrawal: %q because %q, %d of %d instances serve", state, why, w.HealthyInstances("j-3"), tasks)
	}
}
