package sim

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestServiceRequestsRefused checks that invalid requests on services are refused with a reason
// and change nothing.
func TestServiceRequestsRefused(t *testing.T) {
	w := serviceWorld(t, Config{Seed: 95}, 4)
	w.Submit(Job{ID: "j-5", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1, CPUs: 1, RunS: 500})
	w.Submit(Job{ID: "j-6", Kind: "standing", Team: "red", Image: "web:good", ImageGB: 0.1, Tasks: 10, CPUs: 16})
	w.Run(w.now + 20*time.Second)
	changed := func() int {
		n := 0
		for k := range w.State.keys {
			if strings.HasPrefix(k, "b/s/") || strings.HasPrefix(k, "b/h/") {
				n++
			}
		}
		return n
	}
	ask := func(v Version, want int, why string) {
		t.Helper()
		answered := false
		w.Rollout(v, func(status int, body []byte) {
			answered = true
			if status != want || !strings.Contains(string(body), why) {
				t.Errorf("%s got %d %s, want %d with %q", v.Job.ID, status, body, want, why)
			}
		})
		w.Run(w.now + 3*time.Second)
		if !answered {
			t.Errorf("%s: no answer", v.Job.ID)
		}
	}
	ok := versionJob("j-2", "web:good", 4)
	red := Job{ID: "j-2", Team: "red", Image: "web:good", ImageGB: 0.1, Tasks: 10, CPUs: 16}
	unknownTeam := ok
	unknownTeam.Team = "nobody"
	many := versionJob("j-2", "web:good", 5000)
	for _, c := range []struct {
		v    Version
		want int
		why  string
	}{
		{Version{Service: "shop", Job: ok, From: "j-77", Surge: 1}, 404, "no job j-77"},
		{Version{Service: "shop", Job: ok, From: "j-5", Surge: 1}, 422, "end by themselves"},
		{Version{Service: "shop", Job: ok, From: "j-1"}, 400, "could ever be replaced"},
		{Version{Service: "shop", Job: versionJob("j-1", "web:good", 4), Surge: 1}, 409, "id of its own"},
		{Version{Service: "shop", Job: unknownTeam, From: "j-1", Surge: 1}, 422, "unknown team"},
		{Version{Service: "shop", Job: many, From: "j-1", Surge: 1}, 422, "at most 4096"},
		{Version{Service: "shop", Job: red, From: "j-6", Surge: 1}, 422, "leaves no room"},
		{Version{Service: "Shop", Job: ok, From: "j-1", Surge: 1}, 404, "no name of a service"},
		{Version{Service: "shop", Job: ok, From: "j-1", Surge: 1, Plan: map[string]any{"after": "till"}}, 422, "no service till"},
		{Version{Service: "shop", Job: ok, From: "j-1", Surge: 1, Plan: map[string]any{"after": "shop"}}, 422, "itself"},
	} {
		ask(c.v, c.want, c.why)
	}
	for verb, want := range map[string]int{"pause": 404, "abort": 404, "withdraw": 404, "history": 404, "": 404, "dance": 404} {
		w.AskService("shop", verb, func(status int, body []byte) {
			if status != want {
				t.Errorf("%q of an unknown service got %d %s", verb, status, body)
			}
		})
	}
	w.Run(w.now + 3*time.Second)
	if n := changed(); n != 0 {
		t.Errorf("%d records were written", n)
	}
	// The leader refuses checks at the workers' own port before it starts or stops an instance.
	w.mustRollout(t, Version{Service: "pub", Job: versionJob("j-9", "web:good", 4), From: "j-1", Surge: 1, Health: map[string]any{"port": 8999, "per_task": true, "path": "/"}})
	if state, why := w.awaitRollout("pub", 1, time.Minute); state != "rolled back" || !strings.Contains(why, "port 9000 is the workers' own") {
		t.Errorf("checks at the workers' port: %q because %q", state, why)
	}
	// No controller changes a record that it can't read, and such a record starts nothing.
	w.State.revision++
	w.State.keys["b/s/broken"] = &stateKey{json.RawMessage(`{"v":9}`), w.State.revision, 0}
	w.State.record(stateEvent{Write: "b/s/broken", Value: json.RawMessage(`{"v":9}`), Revision: w.State.revision})
	w.State.notifyWatches()
	w.Run(w.now + 3*time.Second)
	asked := 0
	w.request("POST", "/services/broken/abort", nil, 5*time.Second, func(a actor.Answer) {
		if asked = a.Status; a.Status != 503 || !strings.Contains(string(a.Body), "can't be read") {
			t.Errorf("an unreadable record: %d %s", a.Status, a.Body)
		}
	})
	w.Run(w.now + 3*time.Second)
	if asked == 0 || string(w.State.keys["b/s/broken"].value) != `{"v":9}` {
		t.Error("no answer, or the unreadable record was changed")
	}
	w.checkNoBrokenRules(t)
}

// TestBeginServiceDuringUpgrade guards against a leader of an older program that ends because a newer
// controller has accepted a roll-out without a running job.
func TestBeginServiceDuringUpgrade(t *testing.T) {
	w := serviceWorld(t, Config{Seed: 98}, 4)
	w.OlderNodes = map[string]bool{w.NodeName(2): true}
	w.UserNode = func() int { return 1 }
	w.Run(w.now + 5*time.Second)
	accepted := false
	w.Rollout(Version{Service: "shop", Job: versionJob("j-2", "web:good", 4), Surge: 1}, func(status int, _ []byte) { accepted = status == 201 })
	w.Run(w.now + 30*time.Second)
	if accepted || w.State.keys["b/s/shop"] != nil {
		t.Error("a roll-out that begins a service was accepted beside an older program")
	}
	w.OlderNodes = nil
	w.Run(w.now + 10*time.Second)
	if state, why := w.awaitRollout("shop", 1, 5*time.Minute); !accepted || state != "done" {
		t.Errorf("after the upgrade: accepted %v, %q because %q", accepted, state, why)
	}
	w.checkNoBrokenRules(t)
}

// TestAfter checks that the roll-out of one team's service waits for another's: it begins when
// the other is done, and never begins if the other was rolled back.
func TestAfter(t *testing.T) {
	for _, c := range []struct{ image, state string }{{"web:good", "done"}, {"web:bad", "rolled back"}} {
		w := serviceWorld(t, Config{Seed: 96}, 4)
		w.Submit(Job{ID: "j-6", Kind: "standing", Team: "red", Image: "web:good", ImageGB: 0.1, Tasks: 4, CPUs: 2})
		w.Run(w.now + 30*time.Second)
		w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", c.image, 4), From: "j-1", Surge: 1, Plan: map[string]any{"bake_s": 5.0}, Health: healthCheck})
		w.Run(w.now + 3*time.Second)
		red := versionJob("j-7", "web:good", 4)
		red.Team = "red"
		other := map[string]any{"port": 9100, "per_task": true, "path": "/", "interval_s": 2.0}
		w.mustRollout(t, Version{Service: "till", Job: red, From: "j-6", Surge: 1, Plan: map[string]any{"after": "shop"}, Health: other})
		for w.now < 20*time.Minute {
			w.Run(w.now + time.Second)
			shop, _, _ := w.PastRollout("shop", 1)
			if r := w.ServiceRecord("till"); shop == "" && r.R != nil && r.R.S != "waiting" {
				t.Fatalf("till is %s while shop's roll-out is under way", r.R.S)
			}
			if state, why, _ := w.PastRollout("till", 1); state != "" {
				if state != c.state || state == "rolled back" && !strings.Contains(why, "not begun") {
					t.Errorf("till: %q because %q", state, why)
				}
				break
			}
		}
		if state, _, _ := w.PastRollout("till", 1); state == "" {
			t.Error("till's roll-out doesn't end")
		}
		w.checkNoBrokenRules(t)
	}
}
