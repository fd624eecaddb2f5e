package fleet

import (
	"testing"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// TestBootsLearned checks that the estimated boot time follows from all rented machines,
// those that have come up and those that have not.
func TestBootsLearned(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name      string
		bootTimes []time.Duration // each of a hundred machines
		never     int
		at        time.Duration
		low, high time.Duration
	}{
		{"usual, some never come", []time.Duration{35 * s, 45 * s, 55 * s}, 20, 150 * s, 30 * s, 60 * s},
		{"the fast half has come", []time.Duration{25 * s, 30 * s, 90 * s, 90 * s}, 0, 31 * s, 40 * s, 60 * s},
		{"up at once", []time.Duration{2 * s, 3 * s}, 0, 20 * s, 1 * s, 4 * s},
		{"none comes", nil, 100, 200 * s, 250 * s, 350 * s},
		{"few seen", nil, 2, 200 * s, 44 * s, 44 * s},
	} {
		l := &ledger.Ledger{Types: map[string]*model.MachineType{"g": {Name: "g", BootS: 40}}, Machines: map[string]*ledger.Machine{}}
		a := &Actor{led: l, boots: newBootEstimator()}
		var ms []*ledger.Machine
		for range c.never {
			ms = append(ms, &ledger.Machine{Type: "g", Zone: "z", TypeKnown: true, Booting: true})
		}
		from := len(ms)
		for range 100 * len(c.bootTimes) {
			ms = append(ms, &ledger.Machine{Type: "g", Zone: "z", TypeKnown: true, Booting: true})
		}
		for now := s; now <= c.at; now += s {
			for i, m := range ms {
				m.Reported = i >= from && now >= c.bootTimes[(i-from)/100]
			}
			a.boots.record(ms, now)
		}
		if got := a.expectedBoot("g", "z"); got < c.low || got > c.high {
			t.Errorf("%s: %v, want %v to %v", c.name, got, c.low, c.high)
		}
	}
}
