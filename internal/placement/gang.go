package placement

import (
	"cmp"
	"slices"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// keepRoomiestZone keeps only the machines of one zone: the one that has room for most of
// the n tasks at once, and among equals the one with the best machine. The first task that
// is placed binds the others to its zone. When that zone was full, they waited while
// machines of another zone were empty.
func keepRoomiestZone(cs []candidate, need model.Resources, n int) []candidate {
	slots, best := map[string]int{}, map[string]candidate{}
	for _, c := range cs {
		slots[c.machine.Zone] += countSlots(c.machine.Free(), need, n-slots[c.machine.Zone])
		if b, ok := best[c.machine.Zone]; !ok || better(c, b) {
			best[c.machine.Zone] = c
		}
	}
	zone := ""
	for z, k := range slots {
		if zone == "" || k > slots[zone] || k == slots[zone] && better(best[z], best[zone]) {
			zone = z
		}
	}
	return slices.DeleteFunc(cs, func(c candidate) bool { return c.machine.Zone != zone })
}

func placeGang(l *ledger.Ledger, v *View, index *machineIndex, j *ledger.Job, team *ledger.Team) bool {
	if j.Placed > 0 && !ledger.Forming(j) {
		j.WaitReason = "its last attempt isn't gone yet"
		return false
	}
	if j.Placed > 0 && j.IncompleteSince > 0 && v.Now-j.IncompleteSince > maxReplacementWait {
		j.WaitReason = "a task that was lost could not be replaced in time"
		l.StopIncompleteGang(j)
		return false
	}
	attempt := uint64(0)
	n := 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.NotBefore > v.Now {
			j.WaitReason = "waits after a failure"
			return false
		}
		if !t.Done && t.CurrentPlacement == nil {
			n++
		}
		attempt = max(attempt, t.Attempt)
	}
	if j.Placed == 0 {
		attempt++ // otherwise the new tasks replace lost ones within the present attempt
	}
	if !team.WithinLimit(j.Spec.Resources.Times(float64(n))) {
		j.WaitReason = "the team's limit is used up"
		return false
	}
	if !v.Units.Allow(l, j, n) {
		return false
	}
	const reason = "not enough machines have room at once"
	if index.knownToFail(j.Spec, n) && !v.hasHold(j) {
		j.WaitReason = reason
		return false
	}
	machines, onlyCapacity := pickGang(l, v, index.machines, j, n)
	if machines == nil {
		if onlyCapacity {
			index.recordMiss(j.Spec, n)
		}
		j.WaitReason = reason
		return false
	}
	k := 0
	for i := range j.Tasks {
		if !j.Tasks[i].Done && j.Tasks[i].CurrentPlacement == nil {
			l.Plan(j, i, attempt, machines[k])
			k++
		}
	}
	index.dropFull(machines)
	return true
}

// hasWarmHold reports whether machines that have the job's image are being cleared for it,
// so that machines that would have to fetch the image are not worth using.
func (v *View) hasWarmHold(j *ledger.Job) bool {
	for _, h := range v.Holds {
		if h.Job == j && h.Warm {
			return true
		}
	}
	return false
}

// boundZone returns the zone that the job's placements bind it to, or "" for none; known
// is false while the zone of one of their machines is unknown.
func boundZone(j *ledger.Job) (zone string, known bool) {
	count, ok := placementsByZone(j)
	if !ok {
		return "", false
	}
	if j.Spec.OneZone {
		for z := range count {
			return z, true
		}
	}
	return "", true
}

// pickGang finds machines for n tasks of a gang. If the job must run in one zone, it
// chooses the zone whose lowest-rated machine rates best. onlyCapacity is false if it left
// out a machine for a reason that concerns this job alone.
func pickGang(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job, n int) (out []*ledger.Machine, onlyCapacity bool) {
	onlyCapacity = true
	var avoid []*ledger.Machine
	for i := range j.Tasks {
		if a := j.Tasks[i].Avoids(v.Now); a != nil {
			avoid = append(avoid, a)
		}
	}
	boundTo, known := boundZone(j)
	if !known {
		return nil, false
	}
	count, _ := placementsByZone(j)
	warm := v.hasWarmHold(j)
	var fits []*ledger.Machine
	slots := map[string]int{}
	for _, m := range machines {
		free := m.Free()
		if !j.Spec.Resources.Fits(free) || !Allowed(j, m) || !v.mayUse(j, m) {
			continue
		}
		if boundTo != "" && m.Zone != boundTo {
			onlyCapacity = false
			continue
		}
		cold := false
		if warm && v.Holds[m] == nil {
			_, has := m.Images[j.Spec.Image]
			cold = !has
		}
		if cold || slices.Contains(avoid, m) {
			onlyCapacity = false
			continue
		}
		fits = append(fits, m)
		slots[m.Zone] += countSlots(free, j.Spec.Resources, n-slots[m.Zone])
	}
	var cs []candidate
	for _, m := range fits {
		// Score only machines of zones that have room for the whole gang.
		if !j.Spec.OneZone || slots[m.Zone] >= n {
			cs = append(cs, candidate{m, Score(l, v, j, m)})
		}
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	picks := map[string][]*ledger.Machine{}
	for _, c := range cs {
		z := ""
		if j.Spec.OneZone {
			z = c.machine.Zone
		}
		free := c.machine.Free()
		for j.Spec.Resources.Fits(free) && (j.Spec.OneZone || zoneAllows(j, count, c.machine.Zone)) {
			free = free.Sub(j.Spec.Resources)
			picks[z] = append(picks[z], c.machine)
			count[c.machine.Zone]++
			// The candidates are sorted by score, so the lowest-rated machine of the
			// first complete zone rates best.
			if len(picks[z]) == n {
				return picks[z], onlyCapacity
			}
		}
	}
	return nil, onlyCapacity
}
