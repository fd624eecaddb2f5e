package placement

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Order returns the open jobs with idle tasks, most urgent first. It sorts by claim
// (Claim), then priority, as Preemptor does when it chooses tasks to stop, then jobs that
// can still meet an objective, then by due time or the least work left. Under overload,
// ordering by age makes all jobs late, while smaller jobs first keeps the most of them on
// time. Of jobs that have missed their objectives, the work counts less the longer they
// have waited, so that none starves.
func Order(l *ledger.Ledger, v *View, claims Claims) []*ledger.Job {
	var rs []ranked
	ignoreDue := map[rankClass]bool{} // classes with gangs or services, which are sorted by work only
	for _, j := range l.Order() {
		if !Waiting(j) {
			continue
		}
		if j.Faulty() && !j.TrialDue(v.Now) {
			continue
		}
		c := claims[j]
		r := ranked{j: j, claim: c, missed: j.Faulty() || v.Objectives != nil && v.Objectives.Missed(j, c == Entitled, v.Now)}
		r.work = remainingWork(j)
		if r.missed {
			// An earlier start no longer helps it to meet an objective.
			if !c.hasMinShare() {
				r.claim = NoClaim
			}
			waited := max(0, v.Now-j.AcceptedAt).Seconds()
			r.work /= 1 + waited/starvationTime.Seconds()
		} else if v.Objectives != nil {
			r.due = v.Objectives.dueBy(j, c == Entitled, v.Now)
		}
		if j.Spec.Kind != model.Array {
			ignoreDue[r.rankClass()] = true
		}
		rs = append(rs, r)
	}
	if v.Objectives != nil {
		pickOnTime(l, rs, v.Now)
	}
	slices.SortStableFunc(rs, func(x, y ranked) int {
		if c := cmp.Or(cmp.Compare(y.claim, x.claim), cmp.Compare(y.j.Spec.Priority, x.j.Spec.Priority)); c != 0 {
			return c
		}
		if x.missed != y.missed {
			return trueFirst(y.missed)
		}
		if !x.missed && v.Objectives != nil && !ignoreDue[x.rankClass()] {
			if x.late != y.late {
				return trueFirst(y.late)
			}
			if c := cmp.Compare(x.due, y.due); !x.late && c != 0 {
				return c
			}
		}
		return cmp.Or(cmp.Compare(x.work, y.work), cmp.Compare(x.j.AcceptedAt, y.j.AcceptedAt))
	})
	out := make([]*ledger.Job, len(rs))
	for i := range rs {
		out[i] = rs[i].j
	}
	return out
}

// trueFirst returns the result of a comparison in which the operand that is true goes first,
// given the value of the first operand.
func trueFirst(yes bool) int {
	if yes {
		return -1
	}
	return 1
}

// maxReplacementWait is how long a gang that has not begun waits for the replacement of a
// lost task. Its other machines are idle meanwhile.
const maxReplacementWait = 25 * time.Second

// starvationTime is the time after which the work of a waiting job counts half.
const starvationTime = time.Minute

// Waiting reports whether the job has tasks that need a machine and may get one.
func Waiting(j *ledger.Job) bool {
	return j.Final == ledger.Open && !j.Disbanding && j.Readable() && j.Idle() > 0
}
