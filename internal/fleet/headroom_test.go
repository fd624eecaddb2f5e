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

// TestHeadroomAfterCrash guards against a newly started leader that counts the work of
// three minutes as work that arrived since its start. The same arrivals need the same
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
	// Work for one machine arrives each second, a boot takes 60 s, and machines are kept for
	// half of what arrives during one.
	old, young := headroom(time.Hour, 2*time.Second, 80), headroom(2*time.Second, 2*time.Second, 80)
	if old != 30 || young != old {
		t.Errorf("headroom %d of a process that has run for an hour, %d of one just started, want 30", old, young)
	}
	// A burst is averaged over minArrivalSpan.
	if burst := headroom(2*time.Second, 10*time.Millisecond, 30); burst != 60 {
		t.Errorf("headroom %d after a burst of 60 machines' worth, want 60", burst)
	}
}
