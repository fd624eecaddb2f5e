package estimates

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPace checks that a machine that takes twice as long is soon found to be too slow,
// and none of the others, whose speeds differ by a tenth while their runs vary by a third.
func TestPace(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		speeds, paces, found := make([]float64, 40), make([]Pace, 40), 0
		for i := range speeds {
			speeds[i] = 0.95 + 0.1*r.Float64()
		}
		speeds[7] = 2
		for job := range 30 {
			var runs Runs
			length := 4 + 60*r.Float64()
			for range 60 {
				m := r.IntN(len(paces))
				took := length * speeds[m] * (0.67 + 0.67*r.Float64())
				if x, ok := runs.Add(time.Duration(took * float64(time.Second))); ok {
					paces[m].RecordRun(x)
				}
			}
			if found == 0 && paces[7].TooSlow() {
				found = job + 1
			}
		}
		if found == 0 || found > 20 {
			t.Errorf("seed %d: the machine that takes twice as long was found after %d jobs (0: never)", seed, found)
		}
		for i := range paces {
			if f := paces[i].Factor(); i != 7 && (paces[i].TooSlow() || f < 0.75 || f > 1.3) {
				t.Errorf("seed %d: machine with run time factor %.2f has factor %.2f, too slow %v", seed, speeds[i], f, paces[i].TooSlow())
			}
		}
	}
	var short Runs
	for range 10 {
		if _, ok := short.Add(time.Second); ok {
			t.Fatal("Add compared a run of one second")
		}
	}
}
