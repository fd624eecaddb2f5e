package placement

import (
	"cmp"
	"slices"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// room is what a run of placements knows of the machines: those with anything
// left, and which needs were found to fit nowhere. Most machines of a busy
// fleet are full, and most jobs that wait are alike, so that looking at all
// machines for each of them would take most of a small processor.
type room struct {
	ms     []*ledger.Machine
	failed []miss
}

// miss is a need that no allowed machine had room for.
type miss struct {
	like *model.Spec
	need model.Need
	n    int
}

func newRoom(v *View) *room {
	r := &room{}
	for _, m := range v.Machines {
		if f := m.Free(); f.CPUs > 1e-6 || f.GPUs > 1e-6 {
			r.ms = append(r.ms, m)
		}
	}
	return r
}

// drop forgets machines that have become full.
func (r *room) drop(full []*ledger.Machine) {
	for _, m := range full {
		if f := m.Free(); f.CPUs <= 1e-6 || (m.Cap.GPUs > 0 && f.GPUs <= 1e-6 && f.CPUs <= 1e-6) {
			if i, ok := slices.BinarySearchFunc(r.ms, m, func(a, b *ledger.Machine) int { return cmp.Compare(a.Name, b.Name) }); ok {
				r.ms = slices.Delete(r.ms, i, i+1)
			}
		}
	}
}

// hopeless reports whether something alike that needs no more, and no more at
// once, has found no room.
func (r *room) hopeless(s *model.Spec, n int) bool {
	for _, f := range r.failed {
		if f.n <= n && f.need.Fits(s.Need) && Alike(f.like, s) {
			return true
		}
	}
	return false
}

func (r *room) miss(s *model.Spec, n int) { r.failed = append(r.failed, miss{s, s.Need, n}) }

// Alike reports whether two jobs may use the same machines.
func Alike(a, b *model.Spec) bool {
	return a.Spot == b.Spot && a.Zone == b.Zone && a.OneZone == b.OneZone && !a.Spread && !b.Spread &&
		(a.Types == nil) == (b.Types == nil) && slices.Equal(a.Types, b.Types)
}

// slotsIn is how many tasks the room holds, at most so many; of those that need nothing, one.
func slotsIn(free, need model.Need, most int) (n int) {
	for n < most && need.Fits(free) {
		n++
		if need == (model.Need{}) {
			break
		}
		free = free.Sub(need)
	}
	return n
}
