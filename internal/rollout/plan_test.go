package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	"brooklb/internal/wire"
)

// TestSwap moves random services from one version to the other and back, with
// instances that start late, are lost or become sick meanwhile, and checks the bounds
// after each change.
func TestSwap(t *testing.T) {
	ended := 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 6))
		old, updated := make(instances, r.IntN(12)), make(instances, 1+r.IntN(12))
		for i := range old {
			old[i] = instance{Wanted: true, Placed: true, Healthy: true}
		}
		surge, missing := r.IntN(3), r.IntN(3)
		if surge+missing == 0 {
			continue
		}
		b := newBounds(len(old), len(updated), surge, missing)
		incoming, outgoing, incomingTarget, outgoingTarget := updated, old, len(updated), 0
		turnAt := 5 + r.IntN(60)
		any := func(int) bool { return true }
		for round := range 400 {
			if round == turnAt && r.IntN(2) == 0 && len(old) > 0 {
				incoming, outgoing, incomingTarget = outgoing, incoming, len(old) // roll back
			}
			healthy := old.healthy() + updated.healthy()
			start, stop := swap(incoming, outgoing, incomingTarget, outgoingTarget, b, any)
			lost := 0
			for _, i := range stop {
				if outgoing[i].Wanted {
					t.Fatal("swap stops an instance whose Wanted flag is still set")
				}
				if outgoing[i].Placed && outgoing[i].Healthy {
					lost++
				}
			}
			if lost > 0 && healthy-lost < b.minHealthy {
				t.Fatalf("seed %d, round %d: %d healthy, %d of them stopped, want at least %d left", seed, round, healthy, lost, b.minHealthy)
			}
			if n := old.wantedOrPlaced() + updated.wantedOrPlaced(); len(start) > 0 && n > b.maxTotal {
				t.Fatalf("seed %d, round %d: %d instances, want at most %d", seed, round, n, b.maxTotal)
			}
			if len(start)+len(stop) == 0 && incoming.wanted() == incomingTarget && outgoing.wanted() == outgoingTarget && incoming.healthy() == incomingTarget && outgoing.allStopped() {
				ended++
				break
			}
			for _, s := range []instances{old, updated} {
				for i := range s {
					x := &s[i]
					switch {
					case !x.Wanted && x.Placed && r.IntN(2) == 0:
						*x = instance{} // proven gone
					case x.Wanted && !x.Placed && r.IntN(2) == 0:
						x.Placed = true
					case x.Wanted && x.Placed && r.IntN(3) == 0:
						x.Healthy, x.Sick = true, false
					case x.Wanted && r.IntN(60) == 0:
						x.Placed, x.Healthy = false, false // lost with its machine
					case x.Wanted && x.Placed && r.IntN(60) == 0:
						x.Healthy, x.Sick = false, r.IntN(2) == 0
					}
				}
			}
		}
	}
	if ended < 300 {
		t.Errorf("only %d roll-outs ended, want at least 300", ended)
	}
}

const request = `{"job":{"ref":"j-2","lane":"l","crew":"t","shape":"standing","urgency":"high","shards":8,"cpus":1,"gpus":0,"memory_gb":1,
 "bundle":"b","size_gb":1,"hulls":null,"yard":null,"same_place":false,"apart":false,"loaners":false,"expect_s":0,"snapshot_s":0,"stow_s":0},
 "by":"ana","steps":[1,"50%"],"surge":"25%","health":{"port":8000,"path":"/healthz/{task}"},"bake_s":5}`

// TestRequest guards against accepting a roll-out that could never advance, or one whose
// checks would go to another host than the instance's machine.
func TestRequest(t *testing.T) {
	p, err := wire.DecodeRollout([]byte(request))
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Steps) != 3 || p.Steps[1].Of(8) != 4 || p.Steps[2].Of(8) != 8 || p.Surge.Of(8) != 2 || p.Health.Fails != 3 || p.Job.Tasks != 8 {
		t.Errorf("decoded as %+v, health %+v", p, p.Health)
	}
	for _, c := range []struct{ from, to, why string }{
		{`"steps":[1,"50%"]`, `"steps":[4,"50%"]`, "no further"},
		{`"steps":[1,"50%"]`, `"steps":[0]`, "no further"},
		{`"steps":[1,"50%"]`, `"steps":[9]`, "9 of 8"},
		{`"steps":[1,"50%"]`, `"steps":["150%"]`, "no percentage"},
		{`"steps":[1,"50%"]`, `"steps":["x"]`, "neither"},
		{`"steps":[1,"50%"]`, `"by_zone":true,"steps":[1]`, "either"},
		{`"surge":"25%"`, `"surge":0`, "could ever be replaced"},
		{`"path":"/healthz/{task}"`, `"path":"http://example.org/"`, "not a path"},
		{`"path":"/healthz/{task}"`, `"path":"//example.org/"`, "not a path"},
		{`"path":"/healthz/{task}"`, `"path":"/a b"`, "characters"},
		{`"path":"/healthz/{task}"`, `"path":"/a","host":"10.0.0.1"`, "own machine"},
		{`"port":8000`, `"port":0`, "not ports"},
		{`"port":8000`, `"port":65530,"per_task":true`, "not ports"},
		{`"port":8000`, `"port":8000,"interval_s":0.01`, "interval_s"},
		{`"port":8000`, `"port":8000,"slow_s":9`, "slow_s"},
		{`"port":8000`, `"port":8000,"fails":40`, "fails"},
		{`"bake_s":5`, `"bake_s":-1`, "bake_s"},
		{`"bake_s":5`, `"from":"x"`, "no job id"},
		{`"bake_s":5`, `"from":"j-2"`, "itself"},
		{`"bake_s":5`, `"after":"Not a name"`, "no name"},
		{`"shape":"standing"`, `"shape":"still"`, "job: field shape"},
		{`{"job"`, `{"jobs"`, "job is missing"},
	} {
		bad := strings.Replace(request, c.from, c.to, 1)
		if bad == request {
			t.Fatalf("the request doesn't contain %s", c.from)
		}
		if _, err := wire.DecodeRollout([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.why) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s got %v, want an error with %q", c.to, err, c.why)
		}
	}
}

// TestRecord guards against a record that loses fields, that exceeds the size limit of
// a value for the largest service with scattered instances, or that decodes despite an
// error.
func TestRecord(t *testing.T) {
	p, err := wire.DecodeRollout([]byte(request))
	if err != nil {
		t.Fatal(err)
	}
	p.Health = nil
	r := Record{V: recordFormat, Number: 7, Current: &version{Job: "j-1", Tasks: MaxInstances, Wanted: fullSet(MaxInstances)}, New: &version{Job: "j-2", Tasks: MaxInstances},
		Rollout: &activeRollout{Plan: p, State: Baking, Step: 1, StartedMS: 5, SinceMS: 6, Ends: 2, Why: strings.Repeat("w", maxTextBytes), Zones: []string{"a", "b"}}}
	for range maxEvidence {
		r.Rollout.Evidence = append(r.Rollout.Evidence, strings.Repeat("p", maxTextBytes))
	}
	for i := 0; i < MaxInstances; i += 2 {
		r.New.Wanted.Set(uint(i))
		r.Current.Wanted.Clear(uint(i))
	}
	b := r.encode()
	if len(b) > 4096 {
		t.Errorf("the record has %d bytes, want at most 4096", len(b))
	}
	got, err := Decode("shop", b)
	if err != nil {
		t.Fatal(err)
	}
	if got.New.Wanted.size() != MaxInstances/2 || !got.New.Wanted.has(2) || got.Current.Wanted.has(2) || got.Rollout.Step != 1 || got.Rollout.Plan.BakeS != 5 || len(got.Rollout.Evidence) != maxEvidence ||
		got.Rollout.Plan.Surge.Of(8) != 2 {
		t.Errorf("decoded as %+v", got.Rollout)
	}
	c := got.copy()
	c.New.Wanted.Set(1)
	c.Rollout.Evidence[0] = ""
	if got.New.Wanted.has(1) || got.Rollout.Evidence[0] == "" {
		t.Error("a change of a copy changed the original")
	}
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []func(){func() { m["v"] = 2 }, func() { m["v"] = 1; m["r"] = nil }, func() { m["new"] = map[string]any{"j": "j-2", "k": 3, "on": "####"} },
		func() { m["new"] = map[string]any{"j": "j-2", "k": 3, "on": m["cur"].(map[string]any)["on"]} }} {
		bad()
		x, _ := json.Marshal(m)
		if _, err := Decode("shop", x); err == nil {
			t.Errorf("%.60s was decoded, want an error", x)
		}
	}
	if _, err := Decode("shop", []byte(`"x"`)); err == nil {
		t.Error("a JSON string was decoded, want an error")
	}
}
