package placement

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Order lists the open jobs with idle tasks, most urgent first: the larger claim on
// a team's guarantee (Claim), then priority (the order in which Stops lets work be
// stopped, too), then jobs that can still meet an aim, then
// the least work left. When there is too much work, going by age makes
// everybody late; the small jobs first keeps the most of them in time. What
// has waited long counts as smaller, so that nothing starves.
func Order(l *ledger.Ledger, v *View, claims Claims) []*ledger.Job {
	var rs []ranked
	gangs := map[level]bool{}
	for _, j := range l.Order() {
		if !Waiting(j) {
			continue
		}
		if j.Faulty() && !j.Trial(v.Now) {
			continue
		}
		c := claims[j]
		r := ranked{j: j, claim: c, lost: j.Faulty() || v.Aims != nil && v.Aims.Lost(j, c == Promised, v.Now)}
		r.work = work(j)
		if r.lost {
			// Being first no longer helps it to anything that was promised.
			if !c.floored() {
				r.claim = NoClaim
			}
			waited := max(0, v.Now-j.Since).Seconds()
			r.work /= 1 + waited/starve.Seconds()
		} else if v.Aims != nil {
			r.due = v.Aims.due(j, c == Promised, v.Now)
		}
		if j.Spec.Kind != model.Array {
			gangs[r.level()] = true
		}
		rs = append(rs, r)
	}
	if v.Aims != nil {
		pickOnTime(l, rs, v.Now)
	}
	slices.SortStableFunc(rs, func(x, y ranked) int {
		if c := cmp.Or(cmp.Compare(y.claim, x.claim), cmp.Compare(y.j.Spec.Priority, x.j.Spec.Priority)); c != 0 {
			return c
		}
		if x.lost != y.lost {
			return first(y.lost)
		}
		if !x.lost && v.Aims != nil && !gangs[x.level()] {
			if x.late != y.late {
				return first(y.late)
			}
			if c := cmp.Compare(x.due, y.due); !x.late && c != 0 {
				return c
			}
		}
		return cmp.Or(cmp.Compare(x.work, y.work), cmp.Compare(x.j.Since, y.j.Since))
	})
	out := make([]*ledger.Job, len(rs))
	for i := range rs {
		out[i] = rs[i].j
	}
	return out
}

func first(yes bool) int {
	if yes {
		return -1
	}
	return 1
}

// shortFor is how long a gang that has not begun waits for the replacement of a
// lost task; its other machines stand idle meanwhile.
const shortFor = 25 * time.Second

// starve is how long a job waits until it counts as half its size.
const starve = time.Minute

// Waiting reports whether a job has tasks that want a machine.
func Waiting(j *ledger.Job) bool {
	return j.Final == ledger.Open && !j.Broken && j.Readable() && j.Idle() > 0
}
