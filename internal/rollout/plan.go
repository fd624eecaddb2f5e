package rollout

// instance is what the plan has to know of one task of a version.
type instance struct {
	On      bool // wanted, by the record
	Here    bool // has a machine, or is not yet proven gone from one
	Healthy bool // surely
	Sick    bool // surely
	Zone    string
}

// side is one version as the plan sees it.
type side []instance

func (s side) on() (n int) {
	for i := range s {
		if s[i].On {
			n++
		}
	}
	return n
}

// gone reports whether nothing is left of what is not wanted any more.
func (s side) gone() bool {
	for i := range s {
		if !s[i].On && s[i].Here {
			return false
		}
	}
	return true
}

func (s side) healthy() (n int) {
	for i := range s {
		if s[i].On && s[i].Here && s[i].Healthy {
			n++
		}
	}
	return n
}

func (s side) sick() (n int) {
	for i := range s {
		if s[i].On && s[i].Sick {
			n++
		}
	}
	return n
}

func (s side) there() (n int) {
	for i := range s {
		if s[i].On || s[i].Here {
			n++
		}
	}
	return n
}

// bounds hold at every instant: no more instances than most, no fewer healthy
// ones than least because of the roll-out.
type bounds struct{ most, least int }

func boundsOf(from, to, surge, unavailable int) bounds {
	low := min(from, to)
	if from == 0 {
		low = 0 // there was nothing to keep
	}
	return bounds{most: max(from, to) + surge, least: max(0, low-unavailable)}
}

// swap says which instances to want and to want no more, one step nearer to k of
// the version that comes and keep of the one that goes. mayGo says which of the
// latter may go at all.
func swap(come, leave side, k, keep int, b bounds, mayGo func(i int) bool) (on, off []int) {
	there := come.there() + leave.there()
	healthy := come.healthy() + leave.healthy()
	left := leave.on()
	// What has no machine, or is surely sick, serves nobody: it goes first, and
	// makes room. Its going takes nothing from what is healthy.
	for i := range leave {
		x := &leave[i]
		if left > keep && x.On && (x.Sick || !x.Here) && mayGo(i) {
			off = append(off, i)
			left--
			if !x.Here {
				there--
			}
			x.On = false
		}
	}
	// Of the others as many as may be missing. One that isn't known to be healthy
	// may be so in truth, and counts as if it were.
	for i := range leave {
		x := &leave[i]
		if left <= keep || healthy <= b.least {
			break
		}
		if !x.On || !mayGo(i) {
			continue
		}
		off = append(off, i)
		left--
		healthy--
		x.On = false
	}
	// One that goes stays until it is proven gone.
	wanted := come.on()
	for i := range come {
		if wanted >= k || there >= b.most {
			break
		}
		if x := &come[i]; !x.On {
			if !x.Here {
				there++
			}
			on = append(on, i)
			wanted++
			x.On = true
		}
	}
	return on, off
}

// target is how many instances of the new version there are to be after a step,
// and how many of the old one.
type target struct {
	k, keep int
	zone    string // only there, "" for anywhere
	last    bool
}

func (r *Record) target(old side) target {
	zones := r.Roll.Zones
	n, o := r.New.Tasks, len(old)
	p := r.Roll.Plan
	if !p.ByZone {
		if r.Roll.Step >= len(p.Steps)-1 {
			return target{k: n, last: true}
		}
		k := min(n, p.Steps[r.Roll.Step].Of(n))
		return target{k: k, keep: o - o*k/n}
	}
	if r.Roll.Step >= len(zones)-1 || o == 0 {
		return target{k: n, last: true} // all zones may have new ones by now
	}
	later := map[string]bool{}
	for _, z := range zones[r.Roll.Step+1:] {
		later[z] = true
	}
	keep := 0
	for i := range old {
		if old[i].On && later[old[i].Zone] {
			keep++
		}
	}
	return target{k: n - (n*keep+o-1)/o, keep: keep, zone: zones[r.Roll.Step]}
}
