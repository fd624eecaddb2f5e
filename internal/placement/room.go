package placement

import (
	"cmp"
	"slices"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// machineIndex lists the machines that still have free capacity in a placement pass, and
// the needs that no machine had room for. Most machines of a busy cluster are full and
// most waiting jobs are alike, so that checking all machines for each job would use most
// of a small processor.
type machineIndex struct {
	machines []*ledger.Machine
	failed   []failedNeed
}

// failedNeed records that no allowed machine had room for n tasks of this need.
type failedNeed struct {
	spec *model.Spec
	need model.Resources
	n    int
}

func newMachineIndex(v *View) *machineIndex {
	x := &machineIndex{}
	for _, m := range v.Machines {
		if f := m.Free(); f.CPUs > 1e-6 || f.GPUs > 1e-6 {
			x.machines = append(x.machines, m)
		}
	}
	return x
}

// dropFull removes those of the given machines that have become full.
func (x *machineIndex) dropFull(full []*ledger.Machine) {
	for _, m := range full {
		if f := m.Free(); f.CPUs <= 1e-6 || (m.Cap.GPUs > 0 && f.GPUs <= 1e-6 && f.CPUs <= 1e-6) {
			if i, ok := slices.BinarySearchFunc(x.machines, m, func(a, b *ledger.Machine) int { return cmp.Compare(a.Name, b.Name) }); ok {
				x.machines = slices.Delete(x.machines, i, i+1)
			}
		}
	}
}

// knownToFail reports whether the same or a smaller need, with the same constraints and
// for no more tasks at once, has found no room.
func (x *machineIndex) knownToFail(s *model.Spec, n int) bool {
	for _, f := range x.failed {
		if f.n <= n && f.need.Fits(s.Resources) && SameConstraints(f.spec, s) {
			return true
		}
	}
	return false
}

func (x *machineIndex) recordMiss(s *model.Spec, n int) {
	x.failed = append(x.failed, failedNeed{s, s.Resources, n})
}

// SameConstraints reports whether two jobs may use the same machines.
func SameConstraints(a, b *model.Spec) bool {
	return a.Spot == b.Spot && a.Zone == b.Zone && a.OneZone == b.OneZone && !a.Spread && !b.Spread &&
		(a.Types == nil) == (b.Types == nil) && slices.Equal(a.Types, b.Types)
}

// countSlots returns how many tasks of the given need fit into the free capacity, at most
// limit. It counts one if the need is empty.
func countSlots(free, need model.Resources, limit int) (n int) {
	for n < limit && need.Fits(free) {
		n++
		if need == (model.Resources{}) {
			break
		}
		free = free.Sub(need)
	}
	return n
}
