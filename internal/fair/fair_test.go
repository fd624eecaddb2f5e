package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestByTeam checks the division: no share gets more than it demands, the parts and the rest
// add up to the total, nothing is left while a demand is unmet, no share gets less by
// weight than another of its team while its demand is unmet, and a team that invents
// classes gains nothing.
func TestByTeam(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var ss []*Share
		weights := map[string]float64{}
		for i := range 1 + rng.IntN(5) {
			team := fmt.Sprint("t", i)
			weights[team] = rng.Float64() * 3
			for k := range 1 + rng.IntN(6) {
				ss = append(ss, &Share{Key: Key{team, fmt.Sprint("c", k)}, Demand: rng.Float64()*12 - 1, Weight: float64(rng.IntN(3))})
			}
		}
		total := rng.Float64() * 60
		left := ByTeam(total, ss, func(team string) float64 { return weights[team] })
		sum, short := 0.0, false
		for _, s := range ss {
			sum += s.Allocated
			short = short || s.Allocated < s.Demand-1e-9
			if s.Allocated < 0 || s.Allocated > max(0, s.Demand)+1e-9 {
				t.Fatalf("seed %d: %+v", seed, s)
			}
			for _, o := range ss {
				if o.Key.Team == s.Key.Team && s.Allocated < s.Demand-1e-9 && o.Allocated/max(1, o.Weight) > s.Allocated/max(1, s.Weight)+1e-9 {
					t.Fatalf("seed %d: %+v has less than %+v", seed, s, o)
				}
			}
		}
		if math.Abs(sum+left-total) > 1e-9 || short && left > 1e-9 {
			t.Fatalf("seed %d: %v given of %v, %v left", seed, sum, total, left)
		}
	}
	honest := &Share{Key: Key{"a", "x"}, Demand: 9}
	ss := []*Share{honest}
	for i := range 1000 {
		ss = append(ss, &Share{Key: Key{"b", fmt.Sprint(i)}, Demand: 9})
	}
	ByTeam(10, ss, func(string) float64 { return 1 })
	if honest.Allocated != 5 {
		t.Errorf("a team without invented classes got %v of 10", honest.Allocated)
	}
}
