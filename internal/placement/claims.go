package placement

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Claim is what a job may ask of its team's guarantee. A larger one goes first,
// whatever the priorities, and is never stopped for a smaller one.
type Claim uint8

const (
	// NoClaim: beyond the guarantee.
	NoClaim Claim = iota
	// PassedOn: of the guarantee there is something left for it.
	PassedOn
	// Floor: it is within the floor of its class and team (Floors), not within its
	// team's guarantee.
	Floor
	// FloorWithin: it is within both.
	FloorWithin
	// Promised: it fits into the guarantee together with the team's earlier
	// unfinished jobs, and has not begun, or only just.
	Promised
)

// Claims are the jobs with a claim on their team's guarantee, or on a floor.
type Claims map[*ledger.Job]Claim

// Guaranteed reports whether the claim is on a guarantee: room is made for it. A floor
// by itself takes what falls free; when machines were held for it, too, a gang that
// waited for units found none (TestLargeRequest).
func (c Claim) Guaranteed() bool { return c != NoClaim && c != Floor }

// floored reports whether the claim is on a floor.
func (c Claim) floored() bool { return c == Floor || c == FloorWithin }

// NewClaims divides the guarantees. First come the jobs that fit in together
// with their team's earlier unfinished jobs, until all their tasks have begun. What
// is left is passed on to the team's other jobs in the order in which they are
// placed, as long as they can meet an aim: when the oldest had it, large jobs
// that were late or about to be held all of a team's guarantee for minutes, and
// its later jobs waited until they were lost as well (tbilisi fleet, busy: of
// call-score submitted in the burst 2% met their deadline). Jobs within a floor come
// first among those, and have a claim of their own where nothing of the guarantee is
// left: a flood of urgent work starved the class below it (tbilisi fleet, priority
// flood: 0.37 of call-score done). in are the jobs within a floor.
func NewClaims(l *ledger.Ledger, aims *Aims, in map[*ledger.Job]bool, now time.Duration) Claims {
	claims := Claims{}
	use, claimed := map[*ledger.Team]model.Need{}, map[*ledger.Team]model.Need{}
	var rest []*ledger.Job
	need := func(j *ledger.Job) model.Need { return j.Spec.Need.Times(float64(j.Size())) }
	for j := range in {
		claims[j] = Floor
	}
	for _, j := range l.Order() {
		t := l.Teams[j.Spec.Team]
		if t == nil || j.Final != ledger.Open || j.Faulty() || !t.Guarantees(model.Need{}) {
			continue
		}
		if u := use[t].Add(need(j)); t.Guarantees(u) {
			use[t] = u
			// What is stopped soon after its start has not started for the aim, and
			// what was late for it is still owed a start.
			if now <= aims.guaranteed(j)+freshStart || j.Begun < j.NDone+j.Size() {
				claims[j] = Promised
				claimed[t] = claimed[t].Add(need(j))
				continue
			}
		}
		if in[j] || !aims.Lost(j, false, now) {
			rest = append(rest, j)
		}
	}
	slices.SortStableFunc(rest, func(a, b *ledger.Job) int {
		if in[a] != in[b] {
			return first(in[a])
		}
		return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(work(a), work(b)))
	})
	for _, j := range rest {
		t := l.Teams[j.Spec.Team]
		if u := claimed[t].Add(need(j)); t.Guarantees(u) {
			claims[j], claimed[t] = PassedOn, u
			if in[j] {
				claims[j] = FloorWithin
			}
		}
	}
	return claims
}

// work is how much a job's tasks that are not done take, in its owner's estimate.
func work(j *ledger.Job) float64 {
	return float64(j.Size()) * size(j) * max(1, j.EstimateS())
}
