package fleet

import (
	"slices"
	"time"

	"brooklb/internal/ledger"
)

// bootEstimator estimates how long machines take to boot, by type and zone, from those
// rented in this term. The boot time that the cloud states for a type is only the first
// estimate: at times machines take several times as long, come up within a second, or
// never come up.
type bootEstimator struct {
	stats     map[typeZone]*bootStats
	updatedAt time.Duration
}

// typeZone is a machine type in a zone, or in all zones ("").
type typeZone struct{ typ, zone string }

type bootStats struct {
	samples []bootSample  // of the last machines to come up or to be given up
	typical time.Duration // the median of those and of machines still booting; 0: too few
}

type bootSample struct{ at, took time.Duration }

const (
	// meanBootFactor is the ratio of the mean boot time to the one that the cloud states.
	meanBootFactor = 1.1
	// maxBootSamples and bootSampleAge limit the samples that are kept, minBootSamples is
	// how many are needed for an estimate. Samples of a whole large rental must fit: when 26
	// of 1,200 machines never came up and only the last 16 samples were kept, the estimate
	// rose all the time and none of the 26 was given up.
	maxBootSamples = 2000
	bootSampleAge  = 4 * time.Minute
	minBootSamples = 3
	// Boot times usually lie between fastBootFactor and slowBootFactor times the typical
	// one. The first machines of a rental to come up are faster than the typical one, so
	// that the estimate may be less than the nominal boot time (meanBootFactor times the
	// cloud's figure) only if it is at most fastBootFactor times that time.
	fastBootFactor = 0.55
	slowBootFactor = 1.4
	// overdueFactor is the part of its age that a machine beyond that range is expected
	// to take in addition: the longer it has taken, the longer it will still take.
	overdueFactor = 0.5
	// abandonFactor is the number of typical boot times after which a machine is given up.
	abandonFactor = 2
	// maxBootFactor limits the typical boot to this multiple of the cloud's figure when
	// deciding whether to give up a machine.
	maxBootFactor = 2
	// slowBootCost is the part of its price by which a pool counts as more expensive for
	// each nominal boot time that its boots take longer.
	slowBootCost = 0.5
)

func newBootEstimator() *bootEstimator { return &bootEstimator{stats: map[typeZone]*bootStats{}} }

func (b *bootEstimator) statsFor(p typeZone) *bootStats {
	if b.stats[p] == nil {
		b.stats[p] = &bootStats{}
	}
	return b.stats[p]
}

// update records, at most once a second, which machines have come up and which have not.
func (b *bootEstimator) update(l *ledger.Ledger, now time.Duration) {
	if now-b.updatedAt < time.Second {
		return
	}
	b.updatedAt = now
	b.record(l.MachinesByName(), now)
}

// recordAbandoned records a machine that is returned before it came up. Otherwise boots in
// its zone would look normal just because no machine there is booting any more.
func (b *bootEstimator) recordAbandoned(m *ledger.Machine, now time.Duration) {
	if !m.Booting {
		return
	}
	m.Booting = false
	age := now - m.RentedAt
	for _, p := range []typeZone{{m.Type, m.Zone}, {m.Type, ""}} {
		t := b.statsFor(p)
		t.samples = append(t.samples, bootSample{now, age + time.Duration(overdueFactor*float64(age))})
	}
}

func (b *bootEstimator) record(ms []*ledger.Machine, now time.Duration) {
	bootingAges := map[typeZone][]time.Duration{}
	for _, m := range ms {
		if !m.Booting || !m.TypeKnown {
			continue
		}
		if m.Reported {
			m.Booting = false
		}
		// The type in all zones counts, too: most faults affect all zones.
		for _, p := range []typeZone{{m.Type, m.Zone}, {m.Type, ""}} {
			t := b.statsFor(p)
			if m.Reported {
				t.samples = append(t.samples, bootSample{now, max(0, now-m.RentedAt)})
				t.samples = slices.Delete(t.samples, 0, max(0, len(t.samples)-maxBootSamples))
			} else {
				bootingAges[p] = append(bootingAges[p], now-m.RentedAt)
			}
		}
	}
	for p, t := range b.stats {
		t.samples = slices.DeleteFunc(t.samples, func(s bootSample) bool { return now-s.at > bootSampleAge })
		t.estimate(bootingAges[p])
	}
}

// estimate sets the typical boot: the median of the samples and of the expected boot times
// of those machines that have been booting for longer than the median of the samples.
func (t *bootStats) estimate(bootingAges []time.Duration) {
	t.typical = 0
	var all []time.Duration
	for _, s := range t.samples {
		all = append(all, s.took)
	}
	slices.Sort(all)
	base := time.Duration(0)
	if len(all) > 0 {
		base = all[len(all)/2]
	}
	for _, age := range bootingAges {
		if age > base {
			all = append(all, age+remainingBoot(base, age))
		}
	}
	if len(all) < minBootSamples {
		return
	}
	slices.Sort(all)
	t.typical = all[len(all)/2]
}

// expectedBoot returns how long a machine rented now is likely to boot.
func (a *Actor) expectedBoot(typ, zone string) time.Duration {
	nominal := time.Duration(0)
	if t := a.led.Types[typ]; t != nil {
		nominal = time.Duration(t.BootS * meanBootFactor * float64(time.Second))
	}
	p := a.boots.stats[typeZone{typ, zone}]
	if p == nil || p.typical == 0 {
		p = a.boots.stats[typeZone{typ, ""}]
	}
	if p == nil || p.typical == 0 {
		return nominal
	}
	if len(p.samples) < minBootSamples || p.typical.Seconds() > fastBootFactor*nominal.Seconds() {
		return max(nominal, p.typical)
	}
	return p.typical
}

// remainingBoot returns how much longer a machine of the given age is likely to boot.
func remainingBoot(typical, age time.Duration) time.Duration {
	most := time.Duration(slowBootFactor * float64(typical))
	switch {
	case age < typical:
		return typical - age
	case age < most:
		return (most - age) / 2
	}
	return time.Duration(overdueFactor * float64(age))
}

// expectedUpAt returns when a machine that is still booting is likely to come up.
func (a *Actor) expectedUpAt(m *ledger.Machine) time.Duration {
	now := a.env.Now()
	return now + max(2*time.Second, remainingBoot(a.expectedBoot(m.Type, m.Zone), now-m.RentedAt))
}
