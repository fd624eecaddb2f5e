package rollout

// instance is the state of one task of a version.
type instance struct {
	Wanted  bool // the record says that it is to run
	Placed  bool // has a machine, or may still run on one
	Healthy bool // known to be healthy
	Sick    bool // known to fail; neither Healthy nor Sick: its health is unknown
	Zone    string
}

// instances are the instances of one version, by task.
type instances []instance

func (s instances) wanted() (n int) {
	for i := range s {
		if s[i].Wanted {
			n++
		}
	}
	return n
}

// allStopped reports whether no unwanted instance has a machine any more.
func (s instances) allStopped() bool {
	for i := range s {
		if !s[i].Wanted && s[i].Placed {
			return false
		}
	}
	return true
}

func (s instances) healthy() (n int) {
	for i := range s {
		if s[i].Wanted && s[i].Placed && s[i].Healthy {
			n++
		}
	}
	return n
}

func (s instances) sick() (n int) {
	for i := range s {
		if s[i].Wanted && s[i].Sick {
			n++
		}
	}
	return n
}

func (s instances) wantedOrPlaced() (n int) {
	for i := range s {
		if s[i].Wanted || s[i].Placed {
			n++
		}
	}
	return n
}

// bounds limit a roll-out at every moment: it starts no instances beyond maxTotal,
// and stops none that may be healthy when that leaves fewer than minHealthy.
type bounds struct{ maxTotal, minHealthy int }

func newBounds(from, to, surge, unavailable int) bounds {
	low := min(from, to)
	if from == 0 {
		low = 0 // the service has no instances yet
	}
	return bounds{maxTotal: max(from, to) + surge, minHealthy: max(0, low-unavailable)}
}

// swap returns which instances to start and to stop next, on the way to
// incomingTarget instances of the incoming version and outgoingTarget of the outgoing
// one. mayStop reports whether an outgoing instance may be stopped. swap changes the
// Wanted flags of the instances that it returns.
func swap(incoming, outgoing instances, incomingTarget, outgoingTarget int, b bounds, mayStop func(i int) bool) (start, stop []int) {
	total := incoming.wantedOrPlaced() + outgoing.wantedOrPlaced()
	healthy := incoming.healthy() + outgoing.healthy()
	remaining := outgoing.wanted()
	// First stop instances that have no machine or are sick. They serve no requests,
	// and stopping them doesn't lower the number of healthy ones.
	for i := range outgoing {
		x := &outgoing[i]
		if remaining > outgoingTarget && x.Wanted && (x.Sick || !x.Placed) && mayStop(i) {
			stop = append(stop, i)
			remaining--
			if !x.Placed {
				total--
			}
			x.Wanted = false
		}
	}
	// Then stop others while the number of healthy ones allows it. An instance of
	// unknown health may be healthy, so stopping it lowers the number, too.
	for i := range outgoing {
		x := &outgoing[i]
		if remaining <= outgoingTarget || healthy <= b.minHealthy {
			break
		}
		if !x.Wanted || !mayStop(i) {
			continue
		}
		stop = append(stop, i)
		remaining--
		healthy--
		x.Wanted = false
	}
	// A stopped instance counts in the total until it is proven gone.
	wanted := incoming.wanted()
	for i := range incoming {
		if wanted >= incomingTarget || total >= b.maxTotal {
			break
		}
		if x := &incoming[i]; !x.Wanted {
			if !x.Placed {
				total++
			}
			start = append(start, i)
			wanted++
			x.Wanted = true
		}
	}
	return start, stop
}

// target is how many instances of the new and the old version are to run after a
// step.
type target struct {
	newCount, oldCount int
	zone               string // new instances start only in this zone, "": in any
	last               bool
}

func (r *Record) target(old instances) target {
	zones := r.Rollout.Zones
	n, o := r.New.Tasks, len(old)
	p := r.Rollout.Plan
	if !p.ByZone {
		if r.Rollout.Step >= len(p.Steps)-1 {
			return target{newCount: n, last: true}
		}
		k := min(n, p.Steps[r.Rollout.Step].Of(n))
		return target{newCount: k, oldCount: o - o*k/n}
	}
	if r.Rollout.Step >= len(zones)-1 || o == 0 {
		return target{newCount: n, last: true} // new instances may start in all zones now
	}
	later := map[string]bool{}
	for _, z := range zones[r.Rollout.Step+1:] {
		later[z] = true
	}
	inLaterZones := 0
	for i := range old {
		if old[i].Wanted && later[old[i].Zone] {
			inLaterZones++
		}
	}
	return target{newCount: n - (n*inLaterZones+o-1)/o, oldCount: inLaterZones, zone: zones[r.Rollout.Step]}
}
