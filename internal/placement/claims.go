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
	// Promised: it fits into the guarantee together with the team's earlier
	// unfinished jobs, and has not begun, or only just.
	Promised
)

// Claims are the jobs with a claim on their team's guarantee.
type Claims map[*ledger.Job]Claim

// NewClaims divides the guarantees. First come the jobs that fit in together
// with their team's earlier unfinished jobs, until all their tasks have begun. What
// is left is passed on to the team's other jobs in the order in which they are
// placed, as long as they can meet an aim: when the oldest had it, large jobs
// that were late or about to be held all of a team's guarantee for minutes, and
// its later jobs waited until they were lost as well (tbilisi fleet, busy: of
// call-score submitted in the burst 2% met their deadline).
func NewClaims(l *ledger.Ledger, aims *Aims, now time.Duration) Claims {
	claims := Claims{}
	use, claimed := map[*ledger.Team]model.Need{}, map[*ledger.Team]model.Need{}
	var rest []*ledger.Job
	need := func(j *ledger.Job) model.Need { return j.Spec.Need.Times(float64(j.Size())) }
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
		if !aims.Lost(j, false, now) {
			rest = append(rest, j)
		}
	}
	slices.SortStableFunc(rest, func(a, b *ledger.Job) int {
		return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(work(a), work(b)))
	})
	for _, j := range rest {
		t := l.Teams[j.Spec.Team]
		if u := claimed[t].Add(need(j)); t.Guarantees(u) {
			claims[j], claimed[t] = PassedOn, u
		}
	}
	return claims
}

// work is how much a job's tasks that are not done take, in its owner's estimate.
func work(j *ledger.Job) float64 {
	return float64(j.Size()) * max(j.Spec.Need.CPUs, j.Spec.Need.GPUs, 1) * max(1, j.EstimateS())
}
