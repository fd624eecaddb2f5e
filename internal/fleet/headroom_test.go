package fleet

import (
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

type clock struct {
	actor.Env
	now time.Duration
}

func (c clock) Now() time.Duration { return c.now }

// TestHeadroomAfterCrash guards against a leader that was just started and takes
// three minutes' work for what came since: the same arrivals ask for the same
// headroom, however long the process has run.
func TestHeadroomAfterCrash(t *testing.T) {
	headroom := func(now time.Duration, each time.Duration, n int) int {
		a := &Actor{env: clock{now: now}, cfg: Config{Headroom: 0.5},
			led: &ledger.Ledger{Types: map[string]*model.MachineType{"g": {Name: "g", BootS: 60}}}}
		for i := range n {
			a.arrivals = append(a.arrivals, arrival{now - time.Duration(n-i)*each, 2, true, model.High})
		}
		return a.headroom()
	}
	// A machine a second, for a boot of 60 s, of which half is kept.
	old, young := headroom(time.Hour, 2*time.Second, 80), headroom(2*time.Second, 2*time.Second, 80)
	if old != 30 || young != old {
		t.Errorf("headroom %d of a process that has run for an hour, %d of one just started, want 30", old, young)
	}
	// What came within seconds is not yet a rate.
	if burst := headroom(2*time.Second, 10*time.Millisecond, 30); burst != 60 {
		t.Errorf("headroom %d after a burst of 60 machines' worth, want 60", burst)
	}
}
