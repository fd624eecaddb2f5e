package sim

import (
	"strconv"
	"testing"
	"time"
)

// TestLateBoots guards against machines that come up late or never: work must not wait for them,
// and the scheduler must not keep renting in the same zone.
func TestLateBoots(t *testing.T) {
	for _, factor := range []float64{-1, 8} {
		for _, all := range []bool{false, true} {
			w := worldOf(Config{Seed: 31, Nodes: 3})
			w.Cloud.BootFactor = func(zone string) float64 {
				if zone == "a" || all && w.now < 90*time.Second {
					return factor
				}
				return 1
			}
			for i := range 8 { // each needs two machines, in total more than there are
				w.At(time.Duration(5+20*i)*time.Second, func() {
					w.Submit(Job{ID: "j-" + strconv.Itoa(i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 8, CPUs: 4, RunS: 200})
				})
			}
			rented := map[string]int{}
			w.Run(500 * time.Second)
			for _, m := range w.Cloud.machines {
				if m.createdAt > 60*time.Second {
					rented[m.Zone]++
				}
			}
			for _, zone := range []string{"b", "c"} {
				// The scheduler may try the slow zone, but not more often than the others.
				if rented["a"] > rented[zone]+4 {
					t.Errorf("factor %v, all %v: %v rented after the first minute", factor, all, rented)
				}
			}
			if len(w.Cloud.machines) > 60 {
				t.Errorf("factor %v, all %v: %d machines for work that fits on 16", factor, all, len(w.Cloud.machines))
			}
			w.Run(1200 * time.Second)
			w.checkOutcome(t, 8)
			t.Logf("factor %v, all %v: %v, %d machines in all, cost %.0f", factor, all, rented, len(w.Cloud.machines), w.Cloud.Cost)
		}
	}
}

// TestBootsThatNeverCome guards against waiting without end for machines: if no machine of a
// rental came up, the estimated boot time grew with their age, the scheduler gave none of them
// up, and it rented no more.
func TestBootsThatNeverCome(t *testing.T) {
	w := worldOf(Config{Seed: 32, Nodes: 3})
	w.Cloud.BootFactor = func(string) float64 {
		if w.now < 200*time.Second {
			return -1
		}
		return 1
	}
	w.At(100*time.Second, func() { // the first machines were returned before
		w.Submit(Job{ID: "j-1", Kind: "ensemble", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 4, CPUs: 16, RunS: 20})
	})
	w.Run(500 * time.Second)
	w.checkOutcome(t, 1)
}
