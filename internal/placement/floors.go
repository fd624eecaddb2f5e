package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"brooklb/internal/fair"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/settings"
)

// Floors say how much of what runs each class of each team gets in any case.
type Floors struct {
	*settings.Sharing
	// Weight of a team; nil: alike.
	Weight func(team string) float64
}

// share is which part of the whole n is, by what it needs most of.
func share(n, whole model.Need) float64 {
	s := 0.0
	for _, x := range [][2]float64{{n.CPUs, whole.CPUs}, {n.GPUs, whole.GPUs}, {n.MemGB, whole.MemGB}} {
		if x[1] > 0 {
			s = max(s, x[0]/x[1])
		}
	}
	return s
}

// startup is what a task takes besides its run, about: the fetch, the start.
const startup = 10

// lostRank is how much larger a job counts that can meet no aim any more.
const lostRank = 8

// Within finds the jobs that are within the floor of their class and team. All of it
// follows from the unfinished jobs and when they were accepted, which are durable: a
// new leader comes to the same. A class that waits collects unfinished jobs, so that
// its floor grows until as much is served as the smallest part of its jobs needs.
func (f *Floors) Within(l *ledger.Ledger, aims *Aims, whole model.Need, now time.Duration) map[*ledger.Job]bool {
	if f == nil || f.Most <= 0 {
		return nil
	}
	type member struct {
		j    *ledger.Job
		rank float64
	}
	groups := map[fair.Key][]member{}
	var keys []fair.Key
	tops := map[fair.Key]model.Priority{}
	highest := model.Low
	waiting := false
	for _, j := range l.Order() {
		if j.Final != ledger.Open || j.Faulty() || !j.Readable() || j.Spec.Kind == model.Service || j.Size() == 0 || l.Teams[j.Spec.Team] == nil {
			continue
		}
		waiting = waiting || Waiting(j)
		k := fair.Key{Team: j.Spec.Team, Class: j.Spec.Class}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		tops[k] = max(tops[k], j.Spec.Priority)
		highest = max(highest, j.Spec.Priority)
		// What has waited long counts as smaller, so that large ones don't wait for ever.
		rank := work(j) / (1 + max(0, now-j.Since).Seconds()/starve.Seconds())
		if aims.Lost(j, false, now) {
			rank *= lostRank // what can still be in time first: the floor serves as many either way
		}
		groups[k] = append(groups[k], member{j, rank})
	}
	if !waiting {
		return nil
	}
	shares := make([]*fair.Share, len(keys))
	// The most urgent classes go first anyway. They divide a part of their own, or what
	// a flood of them wants would leave the others no floor.
	var urgent, rest []*fair.Share
	for i, k := range keys {
		g := groups[k]
		slices.SortStableFunc(g, func(a, b member) int { return cmp.Compare(a.rank, b.rank) })
		s := &fair.Share{Key: k}
		for _, m := range g[:int(math.Ceil(f.Part*float64(len(g))))] {
			s.Want += share(m.j.Spec.Need, whole) * float64(m.j.Size()) * (m.j.EstimateS() + startup) / f.Over.Seconds()
		}
		shares[i] = s
		if tops[k] == highest {
			urgent = append(urgent, s)
		} else {
			rest = append(rest, s)
		}
	}
	fair.ByTeam(f.Most, urgent, f.Weight)
	fair.ByTeam(f.Most, rest, f.Weight)
	in := map[*ledger.Job]bool{}
	for i, k := range keys {
		held := 0.0
		for _, m := range groups[k] {
			n := share(m.j.Spec.Need, whole) * float64(m.j.Size())
			if held > 0 && held+n > shares[i].Got {
				break
			}
			held += n
			in[m.j] = true
		}
	}
	return in
}
