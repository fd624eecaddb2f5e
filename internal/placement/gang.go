package placement

import (
	"cmp"
	"slices"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// roomiest leaves the machines of one zone: where all n tasks have room at once, or else most
// of them. The first task that is placed binds the others, which waited for machines of a full
// zone beside empty ones of another. Of zones that are alike the one with the best machine.
func roomiest(cs []choice, need model.Need, n int) []choice {
	slots, best := map[string]int{}, map[string]choice{}
	for _, c := range cs {
		slots[c.m.Zone] += slotsIn(c.m.Free(), need, n-slots[c.m.Zone])
		if b, ok := best[c.m.Zone]; !ok || better(c, b) {
			best[c.m.Zone] = c
		}
	}
	zone := ""
	for z, k := range slots {
		if zone == "" || k > slots[zone] || k == slots[zone] && better(best[z], best[zone]) {
			zone = z
		}
	}
	return slices.DeleteFunc(cs, func(c choice) bool { return c.m.Zone != zone })
}

func placeGang(l *ledger.Ledger, v *View, r *room, j *ledger.Job, team *ledger.Team) bool {
	if j.Placed > 0 && !ledger.Forming(j) {
		j.Waits = "its last attempt isn't gone yet"
		return false
	}
	if j.Placed > 0 && j.Short > 0 && v.Now-j.Short > shortFor {
		j.Waits = "a task that was lost could not be replaced in time"
		l.GiveUp(j)
		return false
	}
	attempt := uint64(0)
	n := 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.NotBefore > v.Now {
			j.Waits = "waits after a failure"
			return false
		}
		if !t.Done && t.P == nil {
			n++
		}
		attempt = max(attempt, t.Attempt)
	}
	if j.Placed == 0 {
		attempt++ // else a replacement in the attempt that waits for it
	}
	if !team.Within(j.Spec.Need.Times(float64(n))) {
		j.Waits = "the team's limit is used up"
		return false
	}
	if !v.Units.Allow(l, j, n) {
		return false
	}
	const waits = "not enough machines have room at once"
	if r.hopeless(j.Spec, n) && !v.holdsFor(j) {
		j.Waits = waits
		return false
	}
	top, plain := pickGang(l, v, r.ms, j, n)
	if top == nil {
		if plain {
			r.miss(j.Spec, n)
		}
		j.Waits = waits
		return false
	}
	k := 0
	for i := range j.Tasks {
		if !j.Tasks[i].Done && j.Tasks[i].P == nil {
			l.Plan(j, i, attempt, top[k])
			k++
		}
	}
	r.drop(top)
	return true
}

// warmHold says that room is being made for the job on machines that have its
// image, so that others aren't worth a fetch.
func (v *View) warmHold(j *ledger.Job) bool {
	for _, h := range v.Holds {
		if h.Job == j && h.Warm {
			return true
		}
	}
	return false
}

// homeZone is the zone that the job's placements bind it to, "" for none;
// known is false while one of them is on a machine whose zone isn't known.
func homeZone(j *ledger.Job) (zone string, known bool) {
	count, ok := zones(j)
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

// pickGang finds machines for n tasks of a gang, all in one zone if the job
// asks for that: the zone where the slowest of them is fastest. plain says that
// what was left out was so for lack of room, not for this job alone.
func pickGang(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job, n int) (out []*ledger.Machine, plain bool) {
	plain = true
	var avoid []*ledger.Machine
	for i := range j.Tasks {
		if a := j.Tasks[i].Avoids(v.Now); a != nil {
			avoid = append(avoid, a)
		}
	}
	home, known := homeZone(j)
	if !known {
		return nil, false
	}
	count, _ := zones(j)
	warm := v.warmHold(j)
	var fits []*ledger.Machine
	slots := map[string]int{}
	for _, m := range machines {
		free := m.Free()
		if !j.Spec.Need.Fits(free) || !Allowed(j, m) || !v.mayTake(j, m) {
			continue
		}
		if home != "" && m.Zone != home {
			plain = false
			continue
		}
		cold := false
		if warm && v.Holds[m] == nil {
			_, has := m.Images[j.Spec.Image]
			cold = !has
		}
		if cold || slices.Contains(avoid, m) {
			plain = false
			continue
		}
		fits = append(fits, m)
		slots[m.Zone] += slotsIn(free, j.Spec.Need, n-slots[m.Zone])
	}
	var cs []choice
	for _, m := range fits {
		// Machines are rated only where the gang can come together.
		if !j.Spec.OneZone || slots[m.Zone] >= n {
			cs = append(cs, choice{m, Score(l, v, j, m)})
		}
	}
	slices.SortStableFunc(cs, func(a, b choice) int { return cmp.Compare(b.s, a.s) })
	picks := map[string][]*ledger.Machine{}
	for _, c := range cs {
		z := ""
		if j.Spec.OneZone {
			z = c.m.Zone
		}
		free := c.m.Free()
		for j.Spec.Need.Fits(free) && (j.Spec.OneZone || zoneAllows(j, count, c.m.Zone)) {
			free = free.Sub(j.Spec.Need)
			picks[z] = append(picks[z], c.m)
			count[c.m.Zone]++
			// They come in the order of their rating: the first zone that is
			// complete has the best slowest machine.
			if len(picks[z]) == n {
				return picks[z], plain
			}
		}
	}
	return nil, plain
}
