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

// MinShares computes the minimum share of the cluster that each class of each team gets.
type MinShares struct {
	*settings.Sharing
	// Weight returns the weight of a team; nil means that all have the same.
	Weight func(team string) float64
}

// dominantShare returns the largest fraction that n needs of any resource of the whole.
func dominantShare(n, whole model.Resources) float64 {
	s := 0.0
	for _, x := range [][2]float64{{n.CPUs, whole.CPUs}, {n.GPUs, whole.GPUs}, {n.MemGB, whole.MemGB}} {
		if x[1] > 0 {
			s = max(s, x[0]/x[1])
		}
	}
	return s
}

// startupS is the approximate time a task takes to fetch its image and start, in seconds.
const startupS = 10

// missedRankFactor multiplies the rank of a job that can't meet any objective any more, so
// that it sorts like a larger one.
const missedRankFactor = 8

// JobsWithin returns the jobs within the minimum share of their class and team, or nil if no
// job waits. The result depends mainly on the unfinished jobs and when they were accepted,
// which are durable, and not on where tasks run. A new leader computes nearly the same: only
// the corrections of estimates and the known machines may differ.
//
// The unfinished jobs of a waiting class accumulate, so that its minimum share grows until
// it meets the demand of the smallest of them.
func (ms *MinShares) JobsWithin(l *ledger.Ledger, objectives *Objectives, whole model.Resources, now time.Duration) map[*ledger.Job]bool {
	if ms == nil || ms.MinShareFraction <= 0 {
		return nil
	}
	type member struct {
		j    *ledger.Job
		rank float64
	}
	groups := map[fair.Key][]member{}
	var keys []fair.Key
	topPriority := map[fair.Key]model.Priority{}
	highest := model.Low
	waiting := false
	for _, j := range l.Order() {
		if j.Final != ledger.Open || j.Faulty() || !j.Readable() || j.Spec.Kind == model.Service || j.WantedTasks() == 0 || l.Teams[j.Spec.Team] == nil {
			continue
		}
		waiting = waiting || Waiting(j)
		k := fair.Key{Team: j.Spec.Team, Class: j.Spec.Class}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		topPriority[k] = max(topPriority[k], j.Spec.Priority)
		highest = max(highest, j.Spec.Priority)
		// The rank falls with the time waited, so that large jobs do not starve.
		rank := remainingWork(j) / (1 + max(0, now-j.AcceptedAt).Seconds()/starvationTime.Seconds())
		if objectives.Missed(j, false, now) {
			rank *= missedRankFactor // prefer jobs that can still be on time: as many jobs get a share either way
		}
		groups[k] = append(groups[k], member{j, rank})
	}
	if !waiting {
		return nil
	}
	shares := make([]*fair.Share, len(keys))
	// The most urgent classes divide a part of their own. Otherwise many jobs of theirs
	// would leave the others no minimum share, although urgent jobs go first in any case.
	var urgent, rest []*fair.Share
	for i, k := range keys {
		g := groups[k]
		slices.SortStableFunc(g, func(a, b member) int { return cmp.Compare(a.rank, b.rank) })
		s := &fair.Share{Key: k}
		for _, m := range g[:int(math.Ceil(ms.MinShareJobFraction*float64(len(g))))] {
			s.Demand += dominantShare(m.j.Spec.Resources, whole) * float64(m.j.WantedTasks()) * (m.j.EstimateS() + startupS) / ms.MinSharePeriod.Seconds()
		}
		shares[i] = s
		if topPriority[k] == highest {
			urgent = append(urgent, s)
		} else {
			rest = append(rest, s)
		}
	}
	fair.ByTeam(ms.MinShareFraction, urgent, ms.Weight)
	fair.ByTeam(ms.MinShareFraction, rest, ms.Weight)
	inMinShare := map[*ledger.Job]bool{}
	for i, k := range keys {
		used := 0.0
		for _, m := range groups[k] {
			n := dominantShare(m.j.Spec.Resources, whole) * float64(m.j.WantedTasks())
			if used > 0 && used+n > shares[i].Allocated {
				break
			}
			used += n
			inMinShare[m.j] = true
		}
	}
	return inMinShare
}
