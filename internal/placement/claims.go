package placement

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Claim ranks a job by what its team's guarantee and the minimum share of its class cover.
// A job with a larger claim goes first, regardless of priorities, and is never stopped for
// a job with a smaller claim.
type Claim uint8

const (
	// NoClaim means that neither a guarantee nor a minimum share covers the job.
	NoClaim Claim = iota
	// SpareGuarantee means that the job gets a part of the guarantee that entitled jobs
	// leave.
	SpareGuarantee
	// MinShare means that the job is within the minimum share of its class and team
	// (MinShares), but not within its team's guarantee.
	MinShare
	// MinShareAndGuarantee means that the job is within both.
	MinShareAndGuarantee
	// Entitled means that the job fits into the guarantee together with the team's earlier
	// unfinished jobs, and its tasks have not all begun or the time to start them has not
	// passed.
	Entitled
)

// Claims maps jobs to their claims. Jobs without a claim are missing.
type Claims map[*ledger.Job]Claim

// Guaranteed reports whether the claim is on a guarantee, for which running tasks may be
// stopped. A minimum share by itself only gives capacity that becomes free: when machines
// were also held for it, a gang that waited for units found none (sim.TestLargeRequest).
func (c Claim) Guaranteed() bool { return c != NoClaim && c != MinShare }

// hasMinShare reports whether the claim is on a minimum share.
func (c Claim) hasMinShare() bool { return c == MinShare || c == MinShareAndGuarantee }

// NewClaims divides the guarantees of the teams among their jobs. inMinShare holds the jobs
// within a minimum share. First come the jobs that fit in together with their team's earlier
// unfinished jobs, until all their tasks have begun. The rest of a guarantee goes to the
// team's other jobs that can still meet an objective, in the order in which they are
// placed. When the oldest jobs had it, large jobs that were late or about to be late held
// all of a team's guarantee for minutes, and its later jobs missed their objectives as
// well: 2% of the jobs submitted in a burst met their deadline.
//
// Jobs within a minimum share come first among those others, and have a claim of their own
// if nothing of the guarantee is left. Without that, a burst of urgent jobs starved the
// class below it: only 37% of its jobs completed.
func NewClaims(l *ledger.Ledger, objectives *Objectives, inMinShare map[*ledger.Job]bool, now time.Duration) Claims {
	claims := Claims{}
	inOrder, claimed := map[*ledger.Team]model.Resources{}, map[*ledger.Team]model.Resources{}
	var rest []*ledger.Job
	need := func(j *ledger.Job) model.Resources { return j.Spec.Resources.Times(float64(j.WantedTasks())) }
	for j := range inMinShare {
		claims[j] = MinShare
	}
	for _, j := range l.Order() {
		t := l.Teams[j.Spec.Team]
		if t == nil || j.Final != ledger.Open || j.Faulty() || !t.Guarantees(model.Resources{}) {
			continue
		}
		if u := inOrder[t].Add(need(j)); t.Guarantees(u) {
			inOrder[t] = u
			// The objective doesn't count a start that is stopped within freshStart. A job
			// that missed the objective stays entitled until all its tasks have started.
			if now <= objectives.guaranteeDeadline(j)+freshStart || j.EverPlaced < j.DoneTasks+j.WantedTasks() {
				claims[j] = Entitled
				claimed[t] = claimed[t].Add(need(j))
				continue
			}
		}
		if inMinShare[j] || !objectives.Missed(j, false, now) {
			rest = append(rest, j)
		}
	}
	slices.SortStableFunc(rest, func(a, b *ledger.Job) int {
		if inMinShare[a] != inMinShare[b] {
			return trueFirst(inMinShare[a])
		}
		return cmp.Or(cmp.Compare(b.Spec.Priority, a.Spec.Priority), cmp.Compare(remainingWork(a), remainingWork(b)))
	})
	for _, j := range rest {
		t := l.Teams[j.Spec.Team]
		if u := claimed[t].Add(need(j)); t.Guarantees(u) {
			claims[j], claimed[t] = SpareGuarantee, u
			if inMinShare[j] {
				claims[j] = MinShareAndGuarantee
			}
		}
	}
	return claims
}

// remainingWork estimates the work of the job's unfinished tasks, in seconds times the
// CPUs or GPUs of a task.
func remainingWork(j *ledger.Job) float64 {
	return float64(j.WantedTasks()) * taskSize(j) * max(1, j.EstimateS())
}
