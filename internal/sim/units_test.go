package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/settings"
	"brooklb/internal/units"
)

// resourceView asks the leader for its view of a resource, for up to two minutes.
func (w *World) resourceView(name string) (v struct {
	Count int
	Live  *struct {
		Used, Free, Waiting int
		BusyS               float64 `json:"busy_s"`
		IdleS               float64 `json:"idle_s"`
		Holders             []struct {
			Job, Machine, Until string
			Task, Units         int
		}
	}
}) {
	for end := w.now + 2*time.Minute; v.Live == nil && w.now < end; {
		if i := w.Leader(); i >= 0 {
			w.nodes[i].serve("x", "GET", "/units/"+name, nil, func(_ int, b []byte) { _ = json.Unmarshal(b, &v) })
		}
		w.Run(w.now + 2*time.Second)
	}
	return v
}

// TestLicences has 200 jobs compete for 5 units while some of them are cancelled at random
// and, with odd seeds, controllers, machines and the state service fail. The tasks on the
// machines never use more than 5 units, all units are free in the end, and units are
// rarely free while jobs wait.
func TestLicences(t *testing.T) {
	t.Parallel()
	allFree, allUnits, runs := 0.0, 0.0, 0
	for _, seed := range seeds(t, 6) {
		w := worldOf(Config{Seed: 3000 + seed, Nodes: 3, Declared: []units.Declared{{Name: "seat", Count: 5}}})
		w.units["seat"] = []unitCount{{0, 5}}
		w.checkCancelled()
		for i := range 200 {
			w.At(w.randomSecs(3, 30), func() {
				j := Job{ID: fmt.Sprintf("j-%03d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: 2 + 8*w.rng.Float64(),
					Urgency: []string{"high", "standard", "idle"}[w.rng.IntN(3)], Units: map[string]int{"seat": 1}, Spot: true}
				if w.rng.IntN(4) == 0 {
					j.CancelAfter = w.randomSecs(0.1, 200)
				}
				w.Submit(j)
			})
		}
		for at := 20 * time.Second; at < 400*time.Second && seed%2 == 1; at += w.randomSecs(20, 50) {
			w.At(at, func() {
				switch w.rng.IntN(8) {
				case 6: // commands arrive late
					for _, m := range w.Machines() {
						if w.rng.IntN(2) == 0 {
							w.Cut(w.NodeName(max(0, w.Leader())), m.Name, w.randomSecs(5, 60), true)
						}
					}
				case 7:
					w.Freeze(max(0, w.Leader()), w.randomSecs(2, 8))
				case 0:
					w.Crash(max(0, w.Leader()), w.randomSecs(1, 4))
				case 1:
					for i := range w.nodes {
						w.Crash(i, w.randomSecs(1, 4))
					}
				case 2:
					w.State.Outage(w.randomSecs(1, 10))
				case 3, 4:
					for _, m := range w.Machines() {
						if m.Tasks() > 0 && w.rng.IntN(2) == 0 {
							m.Hang(w.randomSecs(5, 40)) // some longer than the lease
						}
					}
				case 5:
					if ms := w.Machines(); len(ms) > 0 {
						ms[w.rng.IntN(len(ms))].Fail()
					}
				}
			})
		}
		freeUnits, totalUnits := 0.0, 0.0
		for w.now < 1500*time.Second && (w.now < 40*time.Second || len(w.Unfinished()) > 0) {
			w.Run(w.now + 250*time.Millisecond)
			n := w.UnitsInUse("seat")
			if n > 5 {
				t.Fatalf("seed %d: %d units in use at %v", seed, n, w.now)
			}
			if left := len(w.Unfinished()); w.now > 30*time.Second && left > 5 {
				freeUnits += float64(5 - n)
				totalUnits += 5
			}
		}
		runs++
		if seed%2 == 0 { // without failures
			allFree += freeUnits
			allUnits += totalUnits
		}
		w.Run(w.now + 90*time.Second)
		w.checkNoBrokenRules(t)
		if u := w.Unfinished(); len(u) > 0 {
			t.Errorf("seed %d: unfinished %v", seed, u)
		}
		if b := w.resourceView("seat"); b.Live == nil || b.Live.Used != 0 || b.Live.Free != 5 {
			t.Errorf("seed %d: at the end the leader's view is %+v", seed, b.Live)
		}
	}
	if allFree > 0.2*allUnits {
		t.Errorf("%.0f%% of the units were free while jobs waited", 100*allFree/allUnits)
	}
	t.Logf("%d runs; without failures %.1f%% of the units were free while jobs waited", runs, 100*allFree/allUnits)
}

// TestLargeRequest guards against a gang that never gets the many units it needs because
// single tasks keep arriving, and against units kept free for the gang for long.
func TestLargeRequest(t *testing.T) {
	w := worldOf(Config{Seed: 97, Nodes: 3, Declared: []units.Declared{{Name: "seat", Count: 6}}})
	w.units["seat"] = []unitCount{{0, 6}}
	for i := range 150 {
		w.At(time.Duration(3000+1500*i)*time.Millisecond, func() {
			w.Submit(Job{ID: fmt.Sprintf("j-%03d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: 4 + 12*w.rng.Float64(), Units: map[string]int{"seat": 1}})
		})
	}
	begun, asked := time.Duration(0), 60*time.Second
	w.At(asked, func() {
		w.Submit(Job{ID: "j-900", Kind: "ensemble", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 5, CPUs: 1, RunS: 20, Units: map[string]int{"seat": 1}})
	})
	freeSeconds := 0.0
	for w.now < 600*time.Second {
		w.Run(w.now + 250*time.Millisecond)
		if begun == 0 && w.jobs["j-900"] != nil && w.Starts("j-900") > 0 {
			begun = w.now
		}
		if begun == 0 && w.now > asked {
			freeSeconds += 0.25 * float64(6-w.UnitsInUse("seat"))
		}
	}
	w.checkNoBrokenRules(t)
	if u := w.Unfinished(); len(u) > 0 {
		t.Errorf("unfinished: %v", u)
	}
	if begun == 0 || begun-asked > 45*time.Second {
		t.Errorf("the gang began at %v, it was submitted at %v", begun, asked)
	}
	if freeSeconds > 60 {
		t.Errorf("the units were free for %.0f unit seconds while the gang waited", freeSeconds)
	}
	t.Logf("the gang waited %v, %.1f unit seconds were free meanwhile", begun-asked, freeSeconds)
}

// TestUnitsChange changes the count of a resource while its units are in use, with a change
// of leader on the way. A lowered count stops no task and lets none start; with the shed
// option the tasks over the count are stopped. When the resource is removed, its jobs wait
// and their users get the reason; when it is declared again, the jobs continue.
func TestUnitsChange(t *testing.T) {
	w := worldOf(Config{Seed: 98, Nodes: 3})
	set := func(body map[string]any) {
		t.Helper()
		w.SetUnits("seat", body, func(status int, b []byte) {
			if status != 200 {
				t.Errorf("%v got %d %s", body, status, b)
			}
		})
	}
	w.At(2*time.Second, func() { set(map[string]any{"count": 6, "by": "ana"}) })
	w.At(5*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 12, CPUs: 1, RunS: 60, Units: map[string]int{"seat": 1}, CheckpointS: 5, SaveS: 1})
	})
	expect := func(n int, what string) {
		t.Helper()
		if k := w.UnitsInUse("seat"); k != n {
			t.Errorf("%s: %d units in use at %v, want %d", what, k, w.now, n)
		}
	}
	w.Run(40 * time.Second)
	expect(6, "at first")
	if b := w.resourceView("seat"); b.Live == nil || len(b.Live.Holders) != 6 || b.Live.Holders[0].Job != "j-1" || b.Live.Holders[0].Machine == "" || !strings.Contains(b.Live.Holders[0].Until, "end is reported") {
		t.Errorf("the leader's view is %+v", b.Live)
	}
	set(map[string]any{"count": 3})
	w.Crash(w.Leader(), time.Second)
	w.Run(60 * time.Second)
	expect(6, "lowered")
	w.Run(110 * time.Second) // the tasks that ran have ended
	expect(3, "lowered, later")
	set(map[string]any{"count": 1, "shed": true})
	w.Run(w.now + 8*time.Second)
	expect(1, "shed")
	w.request("POST", "/units/seat/remove", nil, 5*time.Second, func(actor.Answer) {})
	w.Run(w.now + 100*time.Second)
	expect(0, "removed")
	why := ""
	w.nodes[w.Leader()].serve("x", "GET", "/v2/runs/j-1", nil, func(_ int, b []byte) { why = string(b) })
	w.Run(w.now + 2*time.Second)
	if !strings.Contains(why, "resource seat was removed") {
		t.Errorf("the answer about the job is %s", why)
	}
	set(map[string]any{"count": 4})
	w.Run(w.now + 45*time.Second)
	if n := w.UnitsInUse("seat"); n < 1 || n > 4 {
		t.Errorf("%d units are in use of the 4 that were declared again", n)
	}
	w.Run(w.now + 300*time.Second)
	w.checkOutcome(t, 1)
	if m := len(w.Cloud.machines); m > 12 {
		t.Errorf("%d machines were rented for jobs that waited for units", m)
	}
}

// TestUnitsRejections checks that invalid requests about resources, and jobs with invalid
// requests for units, are refused with a reason.
func TestUnitsRejections(t *testing.T) {
	w := worldOf(Config{Seed: 99, Nodes: 3})
	w.Run(5 * time.Second)
	post := func(path, body string, want int, why string) {
		t.Helper()
		answered := false
		w.request("POST", path, []byte(body), 5*time.Second, func(a actor.Answer) {
			answered = true
			if a.Status != want || !strings.Contains(string(a.Body), why) {
				t.Errorf("%s %s got %d %s, want %d with %q", path, body, a.Status, a.Body, want, why)
			}
		})
		w.Run(w.now + 2*time.Second)
		if !answered {
			t.Errorf("%s %s: no answer", path, body)
		}
	}
	post("/units/seat", `{"count":5}`, 200, `"count":5`)
	for _, c := range [][2]string{{`{"count":-1}`, "no whole number"}, {`{"count":1.5}`, "no whole number"}, {`{"count":1e12}`, "no whole number"}, {`[]`, "not a JSON object"},
		{`{"teams":{"nobody":{"most":1}}}`, "unknown team"}, {`{"teams":{"red":{"share":4},"blue":{"share":4}}}`, "shares of 8"}, {`{"reserve":{"urgent":1}}`, "none of low"}} {
		post("/units/seat", c[0], 400, c[1])
	}
	post("/units/Seat", `{"count":5}`, 400, `small letters, \"seat\" is one`)
	post("/units/other", `{"external":1}`, 400, "count is missing")
	post("/units/other/remove", ``, 404, "no resource other")
	const job = `{"ref":"j-%d","lane":"w","crew":"free","shape":"ensemble","urgency":"standard","shards":3,"cpus":1.0,"gpus":0.0,"memory_gb":1.0,
		"bundle":"i","size_gb":0.1,"hulls":null,"yard":null,"same_place":false,"apart":false,"loaners":true,"expect_s":4.0,"snapshot_s":0.0,"stow_s":0.0,"units":%s}`
	for i, c := range []struct {
		units string
		want  int
		why   string
	}{{`[{"name":"nothing"}]`, 422, "is not declared"}, {`[{"name":"seat","count":2}]`, 422, "6 units"}, {`[{"name":"seat"},{"name":"seat"}]`, 400, "twice"},
		{`[{"name":"Seat"}]`, 422, "small letters"}, {`[{"name":"seat","count":0.5}]`, 400, "whole number"}, {`[{"name":"seat","per":"week"}]`, 400, "neither"}, {`"seat"`, 400, "malformed"}} {
		post("/v2/runs", fmt.Sprintf(job, i, c.units), c.want, c.why)
	}
	w.checkNoBrokenRules(t)
}

// TestProbe has a probe report units that are taken outside of the cluster. The leader
// does not give these to jobs. When the probe stops answering, the last number holds for
// 30 s, also over a change of leader; after that no units are given.
func TestProbe(t *testing.T) {
	w := worldOf(Config{Seed: 100, Nodes: 3, Declared: []units.Declared{{Name: "seat", Count: 5,
		Probe: &units.Probe{Addr: ProbeAddr, Path: "/used", Every: 2 * time.Second, Keep: 30 * time.Second, Cautious: -1}}}})
	w.units["seat"] = []unitCount{{0, 5}}
	w.ExternalUse = 3
	w.At(10*time.Second, func() {
		for i := range 400 {
			w.Submit(Job{ID: fmt.Sprintf("j-%03d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: 3, Units: map[string]int{"seat": 1}})
		}
	})
	most := func(until time.Duration) (n int) {
		for w.now < until {
			w.Run(w.now + 200*time.Millisecond)
			n = max(n, w.UnitsInUse("seat"))
		}
		return n
	}
	w.Run(12 * time.Second)
	if n := most(60 * time.Second); n != 2 {
		t.Errorf("with 3 of 5 taken outside %d were in use", n)
	}
	w.ExternalUse = 1
	w.Run(75 * time.Second)
	if n := most(90 * time.Second); n != 4 {
		t.Errorf("with 1 of 5 taken outside %d were in use", n)
	}
	w.ExternalUse = -1
	w.Crash(w.Leader(), 2*time.Second) // the next leader reads the last number from storage
	w.Run(95 * time.Second)
	if n := most(110 * time.Second); n != 4 {
		t.Errorf("probe without an answer for 20 s: %d units in use", n)
	}
	w.Run(150 * time.Second)
	if n := most(170 * time.Second); n != 0 {
		t.Errorf("probe without an answer for over 30 s: %d units in use", n)
	}
	w.ExternalUse = 0
	w.Run(185 * time.Second)
	if n := most(200 * time.Second); n != 5 {
		t.Errorf("with none taken outside %d were in use", n)
	}
	w.checkNoBrokenRules(t)
}

// TestUnitsRank checks that priorities, reserves and team limits decide which jobs get
// units, and that work of low priority is stopped when it holds units that more urgent
// work needs.
func TestUnitsRank(t *testing.T) {
	w := worldOf(Config{Seed: 101, Nodes: 3, Objectives: []settings.Objective{{Kind: "wait", Class: "c-ensemble", WithinS: 20, Share: 0.9}}})
	w.At(2*time.Second, func() {
		w.SetUnits("seat", map[string]any{"count": 6, "reserve": map[string]int{"high": 1}, "teams": map[string]any{"red": map[string]int{"most": 2}}}, nil)
	})
	job := func(id, team, urgency string, tasks int) {
		w.Submit(Job{ID: id, Kind: "sweep", Team: team, Urgency: urgency, Image: "i", ImageGB: 0.1, Tasks: tasks, CPUs: 1, RunS: 400, CheckpointS: 5, SaveS: 1, Units: map[string]int{"seat": 1}})
	}
	use := func(id string) (n int) {
		for _, m := range w.Machines() {
			for _, r := range m.sortedTasks() {
				if r.job.id == id && r.phase != "ended" {
					n++
				}
			}
		}
		return n
	}
	w.At(5*time.Second, func() { job("j-1", "red", "standard", 5) })
	w.Run(20 * time.Second)
	if n := use("j-1"); n != 2 {
		t.Errorf("team red has %d of at most 2", n)
	}
	job("j-2", "free", "idle", 9)
	w.Run(35 * time.Second)
	if n := use("j-2"); n != 3 {
		t.Errorf("%d tasks of low priority run: 2 units are in use by red and one is reserved", n)
	}
	job("j-3", "free", "high", 1)
	w.Run(45 * time.Second)
	if n := use("j-3"); n != 1 {
		t.Errorf("the unit reserved for high priority was not given")
	}
	// A gang whose class has a wait objective needs three units that low-priority work holds.
	w.Submit(Job{ID: "j-4", Kind: "ensemble", Team: "free", Urgency: "critical", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 1, RunS: 30, Units: map[string]int{"seat": 1}})
	w.Run(65 * time.Second)
	if n := use("j-4"); n != 3 {
		t.Errorf("%d of 3 tasks of the urgent gang run, %d of low priority", n, use("j-2"))
	}
	w.checkNoBrokenRules(t)
}

// TestUnitsCrash crashes the leader around every fourth write of starts, before the state
// service has received it and between the write and the starts, and for half of the crashes
// has users cancel these jobs at that moment. The next leader knows which job holds which
// units, and all units are free in the end.
func TestUnitsCrash(t *testing.T) {
	for _, delay := range []time.Duration{0, 4 * time.Millisecond, 12 * time.Millisecond} {
		w := worldOf(Config{Seed: 102, Nodes: 3, Declared: []units.Declared{{Name: "seat", Count: 4}}})
		w.units["seat"] = []unitCount{{0, 4}}
		w.checkCancelled()
		for i := range 40 {
			w.At(time.Duration(4000+700*i)*time.Millisecond, func() {
				w.Submit(Job{ID: fmt.Sprintf("j-%03d", i), Kind: []string{"sweep", "ensemble"}[i%2], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1 + i%3, CPUs: 1, RunS: 6,
					Units: map[string]int{"seat": 1}})
			})
		}
		writes, crashes := 0, 0
		w.OnSend = func(from string, c actor.Call) {
			if c.Path != "/commit" || !strings.Contains(string(c.Body), `"write":"b/t/`) || !strings.Contains(string(c.Body), "@vm-") {
				return
			}
			if writes++; writes%4 != 0 || crashes >= 8 {
				return
			}
			crashes++
			body := string(c.Body)
			w.after(delay, func() {
				for i := range w.nodes {
					if w.nodes[i].host == from {
						w.Crash(i, 2*time.Second)
					}
				}
				for id, j := range w.jobs {
					if j.accepted && strings.Contains(body, "b/t/"+id+"/") && crashes%2 == 0 {
						w.cancel(j)
					}
				}
			})
		}
		w.Run(400 * time.Second)
		w.checkOutcome(t, 10)
		if crashes < 5 {
			t.Errorf("only %d crashes", crashes)
		}
		if b := w.resourceView("seat"); b.Live == nil || b.Live.Used != 0 || b.Live.Free != 4 {
			t.Errorf("at the end the leader's view is %+v", b.Live)
		}
	}
}
