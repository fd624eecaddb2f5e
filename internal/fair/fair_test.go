package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestByTeam guards the division: nothing beyond the total or beyond what is wanted,
// nothing left while somebody wants more, nobody below another of its team by weight
// while it wants more, and no gain for a team that invents classes.
func TestByTeam(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var ss []*Share
		weights := map[string]float64{}
		for i := range 1 + rng.IntN(5) {
			team := fmt.Sprint("t", i)
			weights[team] = rng.Float64() * 3
			for k := range 1 + rng.IntN(6) {
				ss = append(ss, &Share{Key: Key{team, fmt.Sprint("c", k)}, Want: rng.Float64()*12 - 1, Weight: float64(rng.IntN(3))})
			}
		}
		total := rng.Float64() * 60
		left := ByTeam(total, ss, func(team string) float64 { return weights[team] })
		sum, short := 0.0, false
		for _, s := range ss {
			sum += s.Got
			short = short || s.Got < s.Want-1e-9
			if s.Got < 0 || s.Got > max(0, s.Want)+1e-9 {
				t.Fatalf("seed %d: %+v", seed, s)
			}
			for _, o := range ss {
				if o.Key.Team == s.Key.Team && s.Got < s.Want-1e-9 && o.Got/max(1, o.Weight) > s.Got/max(1, s.Weight)+1e-9 {
					t.Fatalf("seed %d: %+v has less than %+v", seed, s, o)
				}
			}
		}
		if math.Abs(sum+left-total) > 1e-9 || short && left > 1e-9 {
			t.Fatalf("seed %d: %v given of %v, %v left", seed, sum, total, left)
		}
	}
	honest := &Share{Key: Key{"a", "x"}, Want: 9}
	ss := []*Share{honest}
	for i := range 1000 {
		ss = append(ss, &Share{Key: Key{"b", fmt.Sprint(i)}, Want: 9})
	}
	ByTeam(10, ss, func(string) float64 { return 1 })
	if honest.Got != 5 {
		t.Errorf("a team without invented classes got %v of 10", honest.Got)
	}
}
