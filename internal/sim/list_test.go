package sim

import (
	"strconv"
	"testing"
	"time"
)

// TestListLags guards against returning new machines because the cloud's list, which lags by more
// than the settings say, doesn't show them yet: all 21 machines rented in this test were returned.
func TestListLags(t *testing.T) {
	w := worldOf(Config{Seed: 71, Nodes: 3})
	w.Cloud.ListLag = 60 * time.Second
	w.Cloud.BootFactor = func(string) float64 { return 3 }
	w.At(5*time.Second, func() {
		w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 60, CPUs: 4, RunS: 100})
	})
	w.Run(110 * time.Second)
	rented := 0
	for _, m := range w.Cloud.machines {
		if m.createdAt > time.Second {
			rented++
			if m.deleted && !m.up {
				t.Errorf("%s was returned before it came up", m.Name)
			}
		}
	}
	if rented < 5 {
		t.Errorf("%d machines rented: the simulation did not reach the state under test", rented)
	}
	w.Run(600 * time.Second)
	w.checkOutcome(t, 1)
}

// TestListOutOfOrder guards against a list whose pages show the machines in random order, and
// against a list that never ends: the leader requested page after page at the cloud's full rate
// and no longer noticed machines that were gone.
func TestListOutOfOrder(t *testing.T) {
	w := worldOf(Config{Seed: 73, Nodes: 3})
	w.Cloud.PageSize, w.Cloud.Shuffle = 5, true
	for range 20 {
		w.Cloud.create("a", false, 0.1)
	}
	for i := range 40 {
		w.At(time.Duration(5+2*i)*time.Second, func() {
			w.Submit(Job{ID: "j-" + strconv.Itoa(i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 12, CPUs: 4, RunS: 40})
		})
	}
	w.At(60*time.Second, func() { w.Cloud.EndlessPages = true })
	w.At(120*time.Second, func() { w.Cloud.EndlessPages = false })
	w.Run(60 * time.Second)
	for w.now < 120*time.Second {
		before := w.Cloud.ListRequests
		w.Run(w.now + 20*time.Second)
		n := w.Cloud.ListRequests - before
		if n > 45 {
			t.Errorf("at %v: %d pages of an endless list were asked for in 20 s", w.now, n)
		}
	}
	w.Cloud.machines["vm-000012"].Fail() // only the list shows this, once it ends again
	w.Run(600 * time.Second)
	w.checkOutcome(t, 40)
}
