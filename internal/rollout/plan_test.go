package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"

	"brooklb/internal/wire"
)

// TestSwap moves random services from one version to the other and back, with
// instances that come up late, are lost or turn sick on the way, and holds every
// single change to the bounds.
func TestSwap(t *testing.T) {
	ended := 0
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 6))
		old, young := make(side, r.IntN(12)), make(side, 1+r.IntN(12))
		for i := range old {
			old[i] = instance{On: true, Here: true, Healthy: true}
		}
		surge, missing := r.IntN(3), r.IntN(3)
		if surge+missing == 0 {
			continue
		}
		b := boundsOf(len(old), len(young), surge, missing)
		come, leave, k, keep := young, old, len(young), 0
		turnAt := 5 + r.IntN(60)
		any := func(int) bool { return true }
		for round := range 400 {
			if round == turnAt && r.IntN(2) == 0 && len(old) > 0 {
				come, leave, k = leave, come, len(old) // back again
			}
			healthy := old.healthy() + young.healthy()
			on, off := swap(come, leave, k, keep, b, any)
			lost := 0
			for _, i := range off {
				if leave[i].On {
					t.Fatal("swap left something on that it names")
				}
				if leave[i].Here && leave[i].Healthy {
					lost++
				}
			}
			if lost > 0 && healthy-lost < b.least {
				t.Fatalf("seed %d, round %d: %d healthy, %d of them stopped, the bound is %d", seed, round, healthy, lost, b.least)
			}
			if n := old.there() + young.there(); len(on) > 0 && n > b.most {
				t.Fatalf("seed %d, round %d: %d instances, the bound is %d", seed, round, n, b.most)
			}
			if len(on)+len(off) == 0 && come.on() == k && leave.on() == keep && come.healthy() == k && leave.gone() {
				ended++
				break
			}
			for _, s := range []side{old, young} {
				for i := range s {
					x := &s[i]
					switch {
					case !x.On && x.Here && r.IntN(2) == 0:
						*x = instance{} // proven gone
					case x.On && !x.Here && r.IntN(2) == 0:
						x.Here = true
					case x.On && x.Here && r.IntN(3) == 0:
						x.Healthy, x.Sick = true, false
					case x.On && r.IntN(60) == 0:
						x.Here, x.Healthy = false, false // lost with its machine
					case x.On && x.Here && r.IntN(60) == 0:
						x.Healthy, x.Sick = false, r.IntN(2) == 0
					}
				}
			}
		}
	}
	if ended < 300 {
		t.Errorf("only %d roll-outs came to an end", ended)
	}
}

const request = `{"job":{"ref":"j-2","lane":"l","crew":"t","shape":"standing","urgency":"high","shards":8,"cpus":1,"gpus":0,"memory_gb":1,
 "bundle":"b","size_gb":1,"hulls":null,"yard":null,"same_place":false,"apart":false,"loaners":false,"expect_s":0,"snapshot_s":0,"stow_s":0},
 "by":"ana","steps":[1,"50%"],"surge":"25%","health":{"port":8000,"path":"/healthz/{task}"},"bake_s":5}`

// TestRequest guards what is refused at the door: whatever could never advance, or
// would have a controller ask somebody else than the instance's machine.
func TestRequest(t *testing.T) {
	p, err := wire.DecodeRollout([]byte(request))
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Steps) != 3 || p.Steps[1].Of(8) != 4 || p.Steps[2].Of(8) != 8 || p.Surge.Of(8) != 2 || p.Health.Fails != 3 || p.Job.Tasks != 8 {
		t.Errorf("read as %+v, health %+v", p, p.Health)
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
			t.Fatalf("%s isn't there", c.from)
		}
		if _, err := wire.DecodeRollout([]byte(bad)); err == nil || !strings.Contains(err.Error(), c.why) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s got %v, want something with %q", c.to, err, c.why)
		}
	}
}

// TestRecord guards what a leader reads: the whole of a service's record, within a
// value's limit even for the largest service with instances here and there, and
// nothing of one that can't be read.
func TestRecord(t *testing.T) {
	p, err := wire.DecodeRollout([]byte(request))
	if err != nil {
		t.Fatal(err)
	}
	p.Health = nil
	r := Record{V: format, N: 7, Cur: &version{Job: "j-1", Tasks: MostInstances, On: setOf(MostInstances)}, New: &version{Job: "j-2", Tasks: MostInstances},
		Roll: &roll{Plan: p, State: Baking, Step: 1, At: 5, Since: 6, Ends: 2, Why: strings.Repeat("w", mostText), Zones: []string{"a", "b"}}}
	for range mostProofs {
		r.Roll.Proofs = append(r.Roll.Proofs, strings.Repeat("p", mostText))
	}
	for i := 0; i < MostInstances; i += 2 {
		r.New.On.Set(uint(i))
		r.Cur.On.Clear(uint(i))
	}
	b := r.encode()
	if len(b) > 4096 {
		t.Errorf("%d bytes", len(b))
	}
	got, err := Decode("shop", b)
	if err != nil {
		t.Fatal(err)
	}
	if got.New.On.size() != MostInstances/2 || !got.New.On.has(2) || got.Cur.On.has(2) || got.Roll.Step != 1 || got.Roll.Plan.BakeS != 5 || len(got.Roll.Proofs) != mostProofs ||
		got.Roll.Plan.Surge.Of(8) != 2 {
		t.Errorf("read as %+v", got.Roll)
	}
	c := got.copy()
	c.New.On.Set(1)
	c.Roll.Proofs[0] = ""
	if got.New.On.has(1) || got.Roll.Proofs[0] == "" {
		t.Error("a copy shares what it should not")
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
			t.Errorf("%.60s was read", x)
		}
	}
	if _, err := Decode("shop", []byte(`"x"`)); err == nil {
		t.Error("a text was read")
	}
}
