package units

import (
	"math/rand/v2"
	"strings"
	"testing"

	"brooklb/internal/model"
)

// TestInventory takes and releases units at random, as Free permits, and checks the
// count, the reserves and the teams' limits after each step.
func TestInventory(t *testing.T) {
	type hold struct {
		team string
		prio model.Priority
		n    int
	}
	taken := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 8))
		b := NewInventory()
		rec := &Record{V: recordFormat, Count: 1 + rng.IntN(20), Teams: map[string]TeamLimits{"red": {Most: 1 + rng.IntN(6)}}}
		rec.Reserve[model.High] = rng.IntN(3)
		b.Set("seat", rec, 1)
		r := b.Get("seat")
		r.External = rng.IntN(3)
		held := map[int]hold{}
		for step := range 400 {
			h := hold{[]string{"red", "free"}[rng.IntN(2)], model.Priority(rng.IntN(4)), 1 + rng.IntN(3)}
			if rng.IntN(2) == 0 && r.Free(h.team, h.prio) >= h.n {
				r.Take(step, h.team, h.prio, h.n)
				held[step] = h
				taken++
			} else {
				for k, x := range held {
					r.Release(k, x.team, x.prio)
					delete(held, k)
					break
				}
			}
			all, low, red := 0, 0, 0
			for _, x := range held {
				all += x.n
				if x.prio < model.High {
					low += x.n
				}
				if x.team == "red" {
					red += x.n
				}
			}
			if all != r.Used || all > max(0, rec.Count-r.External) || low > max(0, rec.Count-r.External-rec.Reserve[model.High]) || red > rec.Teams["red"].Most {
				t.Fatalf("seed %d: %d in use (the inventory has %d) of %d, %d of low priority, %d of red", seed, all, r.Used, rec.Count, low, red)
			}
		}
		for k, x := range held {
			r.Release(k, x.team, x.prio)
		}
		if r.Used != 0 || len(r.Holders) != 0 || len(r.byTeam) != 0 || r.byPriority != [4]int{} {
			t.Fatalf("seed %d: after all units were released the inventory has %+v", seed, r)
		}
	}
	if taken < 5000 {
		t.Errorf("only %d takes, want at least 5000", taken)
	}
}

// TestRecord guards against records that decode with lost fields or despite errors, and
// against giving out units of a resource whose record can't be decoded.
func TestRecord(t *testing.T) {
	r := Record{Count: 5, Teams: map[string]TeamLimits{"red": {Most: 3, Share: 1}}, External: 1, By: "ana"}
	got, err := Decode("seat", r.Encode())
	if err != nil || got.Count != 5 || got.Teams["red"].Most != 3 || got.External != 1 {
		t.Errorf("%+v %v", got, err)
	}
	for _, bad := range []string{`"x"`, `{"v":2,"n":5}`, `{"v":1,"n":"5"}`, `{"v":1,"n":-5}`, `{`} {
		if _, err := Decode("seat", []byte(bad)); err == nil {
			t.Errorf("%s was decoded, want an error", bad)
		}
	}
	b := NewInventory()
	b.Set("seat", got, 7)
	b.Set("seat", nil, 8)
	if x := b.Get("seat"); x.Free("free", model.High) > 0 || !strings.Contains(x.ShortageReason(1, "free", model.High), "can't be read") {
		t.Error("units of a resource whose record can't be decoded are given out")
	}
	if err := CheckSatisfiable(&model.Spec{Kind: model.Gang, Tasks: 3, Units: []model.UnitRequest{{Name: "seat", Quantity: 2}}}, func(string) (*Record, error) { return got, nil }); err == nil {
		t.Error("a gang that requests 6 of 5 units was accepted")
	}
}

// BenchmarkTake measures taking and releasing a unit, with 1,000 resources and 100,000
// holders.
func BenchmarkTake(b *testing.B) {
	inventory := NewInventory()
	names := make([]string, 1000)
	for i := range names {
		names[i] = "seat-" + string(rune('a'+i%26)) + "-" + strings.Repeat("x", i/26)
		inventory.Set(names[i], &Record{V: recordFormat, Count: 1000}, 1)
		for k := range 100 {
			inventory.Get(names[i]).Take(i*1000+k, "free", model.Normal, 1)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := inventory.All[i%1000]
		if r.Free("free", model.Normal) > 0 {
			r.Take(-i-1, "free", model.Normal, 1)
			r.Release(-i-1, "free", model.Normal)
		}
	}
}
