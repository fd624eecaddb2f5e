package fleet

import (
	"slices"
	"time"

	"brooklb/internal/ledger"
)

// boots learns how long machines take to come up, by type and zone, from those
// rented in this term. What the cloud says of a type is only where it starts
// from: at times machines take several times as long, come within a second, or
// never come.
type boots struct {
	pools  map[place]*bootTimes
	lookAt time.Duration
}

// place is a type in a zone, or in all of them ("").
type place struct{ typ, zone string }

type bootTimes struct {
	seen    []bootSeen    // the last ones to come up
	typical time.Duration // of those and of the ones still awaited; 0: too few
}

type bootSeen struct{ at, took time.Duration }

const (
	// The cloud's figure is exceeded by so much on average.
	usualBoot = 1.1
	// How many boots are remembered, for how long, and how many it takes to
	// believe them more than the cloud. All of a large rental have to be: of 1,200
	// machines some 26 never came, and next to the last 16 that did they made
	// boots as a whole look slower and slower, so that none was given up.
	bootsKept   = 2000
	bootsFor    = 4 * time.Minute
	bootsEnough = 3
	// Boots vary by this much around the typical one. What comes first of some
	// rented together is faster than the typical, so that only boots below the
	// usual range make it shorter than the cloud says.
	fastBoot = 0.55
	slowBoot = 1.4
	// A machine that is later than that is expected to take this part of its age
	// more: the longer it takes, the longer it will still take.
	lateShare = 0.5
	// A machine is given up after this many typical boots.
	lateBoot = 2
	// Boots as a whole are taken for at most so many times as long as the cloud
	// says when it is asked whether to give one up.
	mostBoots = 2
	// How much dearer a pool counts for each nominal boot that it takes longer.
	slowCost = 0.5
)

func newBoots() *boots { return &boots{pools: map[place]*bootTimes{}} }

func (b *boots) pool(p place) *bootTimes {
	if b.pools[p] == nil {
		b.pools[p] = &bootTimes{}
	}
	return b.pools[p]
}

// look takes in the machines that have come up, and those that have not.
func (b *boots) look(l *ledger.Ledger, now time.Duration) {
	if now-b.lookAt < time.Second {
		return
	}
	b.lookAt = now
	b.take(l.MachinesByName(), now)
}

// gaveUp notes a machine that is returned before it came up: its place must not
// look as if boots were as usual there only because nothing is left to wait for.
func (b *boots) gaveUp(m *ledger.Machine, now time.Duration) {
	if !m.Booting {
		return
	}
	m.Booting = false
	age := now - m.RentedAt
	for _, p := range []place{{m.Type, m.Zone}, {m.Type, ""}} {
		t := b.pool(p)
		t.seen = append(t.seen, bootSeen{now, age + time.Duration(lateShare*float64(age))})
	}
}

func (b *boots) take(ms []*ledger.Machine, now time.Duration) {
	waiting := map[place][]time.Duration{}
	for _, m := range ms {
		if !m.Booting || !m.TypeKnown {
			continue
		}
		if m.Reported {
			m.Booting = false
		}
		// The type as a whole, too: what ails one zone mostly ails all.
		for _, p := range []place{{m.Type, m.Zone}, {m.Type, ""}} {
			t := b.pool(p)
			if m.Reported {
				t.seen = append(t.seen, bootSeen{now, max(0, now-m.RentedAt)})
				t.seen = slices.Delete(t.seen, 0, max(0, len(t.seen)-bootsKept))
			} else {
				waiting[p] = append(waiting[p], now-m.RentedAt)
			}
		}
	}
	for p, t := range b.pools {
		t.seen = slices.DeleteFunc(t.seen, func(s bootSeen) bool { return now-s.at > bootsFor })
		t.learn(waiting[p])
	}
}

// learn finds the typical boot: the median of those seen, and of those awaited
// for longer than that by what they are expected to take in the end.
func (t *bootTimes) learn(waiting []time.Duration) {
	t.typical = 0
	var all []time.Duration
	for _, s := range t.seen {
		all = append(all, s.took)
	}
	slices.Sort(all)
	base := time.Duration(0)
	if len(all) > 0 {
		base = all[len(all)/2]
	}
	for _, age := range waiting {
		if age > base {
			all = append(all, age+left(base, age))
		}
	}
	if len(all) < bootsEnough {
		return
	}
	slices.Sort(all)
	t.typical = all[len(all)/2]
}

// boot is how long a machine rented now is likely to take.
func (a *Actor) boot(typ, zone string) time.Duration {
	nominal := time.Duration(0)
	if t := a.led.Types[typ]; t != nil {
		nominal = time.Duration(t.BootS * usualBoot * float64(time.Second))
	}
	p := a.boots.pools[place{typ, zone}]
	if p == nil || p.typical == 0 {
		p = a.boots.pools[place{typ, ""}]
	}
	if p == nil || p.typical == 0 {
		return nominal
	}
	if len(p.seen) < bootsEnough || p.typical.Seconds() > fastBoot*nominal.Seconds() {
		return max(nominal, p.typical)
	}
	return p.typical
}

// left is how long a machine of some age is likely to take still.
func left(typical, age time.Duration) time.Duration {
	most := time.Duration(slowBoot * float64(typical))
	switch {
	case age < typical:
		return typical - age
	case age < most:
		return (most - age) / 2
	}
	return time.Duration(lateShare * float64(age))
}

// upAt is when a machine that has not come up yet is likely to.
func (a *Actor) upAt(m *ledger.Machine) time.Duration {
	now := a.env.Now()
	return now + max(2*time.Second, left(a.boot(m.Type, m.Zone), now-m.RentedAt))
}
