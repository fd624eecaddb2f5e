package node

import (
	"slices"
	"time"

	"brooklb/internal/consolidate"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/placement"
)

// schedulePass schedules a pass. Changes that come close together are handled in one pass, and
// the time between passes leaves most of the processor to users' and workers' requests, however
// many machines there are.
func (t *term) schedulePass() {
	if t.passScheduled || t.closed {
		return
	}
	t.passScheduled = true
	wait := max(3*time.Millisecond, t.lastPass+t.minPassGap()-t.node.env.Now())
	t.node.env.After(wait, func() {
		t.passScheduled = false
		if !t.closed {
			t.pass()
		}
	})
}

// passGapPerMachine is five times the time of a whole core that a pass takes for each machine
// in a bad case, so that passes take no more than a fifth of the processor share.
const passGapPerMachine = 40 * time.Microsecond

func (t *term) minPassGap() time.Duration {
	share := t.node.settings.Facts.Limits.CPUShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return min(time.Second, time.Duration(float64(len(t.ledger.MachinesByName()))*float64(passGapPerMachine)/share))
}

const (
	minSharesEvery = time.Second
	rentEvery      = time.Second
	// Placements to preempt for a waiting job are searched at most this often.
	searchEvery = 500 * time.Millisecond
)

// pass places waiting tasks and rents missing machines.
func (t *term) pass() {
	now := t.node.env.Now()
	t.lastPass = now
	if !t.node.election.HasProof() {
		return // nothing is started without a fresh proof of leading
	}
	if !t.settled() {
		return
	}
	if t.ledger.WriteBacklogS(model.High) > maxWriteBacklogS {
		return // new placements could not become durable soon
	}
	// Urgent starts are written first, so only starts that would queue behind all others are
	// left out.
	urgentOnly := t.ledger.WriteBacklogS(model.Low) > maxWriteBacklogS
	v := &placement.View{Now: now, SilentAfter: 3 * seconds(t.node.settings.Facts.Workers.ReportS), ReportInterval: seconds(t.node.settings.Facts.Workers.ReportS), Holds: t.holds, Objectives: t.objectives}
	v.Machines = placement.Candidates(t.ledger, v)
	if t.withinMinShare == nil || now-t.lastMinShares >= minSharesEvery {
		t.lastMinShares = now // not in each pass, since it reads all jobs
		t.withinMinShare = t.node.minShares.JobsWithin(t.ledger, t.objectives, v.TotalCapacity(), now)
	}
	claims := placement.NewClaims(t.ledger, t.objectives, t.withinMinShare, now)
	for _, j := range t.ledger.Order() {
		t.fleet.RecordArrival(j, t.objectives.HasWaitObjective(j), claims[j] == placement.Entitled)
	}
	placement.ReleaseHolds(v)
	order := placement.Order(t.ledger, v, claims)
	if urgentOnly {
		order = slices.DeleteFunc(order, func(j *ledger.Job) bool { return j.Spec.Priority < model.High })
	}
	t.queues.Refresh(t.ledger, order, now)
	v.Units = t.queues
	preemptor := placement.NewPreemptor(t.ledger, v, claims)
	for _, j := range order {
		if t.objectives.HasWaitObjective(j) && j.Spec.Kind == model.Gang && !j.Faulty() && t.maySearchFor(j, t.lastWarmSearch) {
			t.preemptFor(j, preemptor.PreemptWarm(j))
		}
	}
	t.unplaced = placement.Run(t.ledger, v, order, func(j *ledger.Job) {
		if (t.objectives.HasWaitObjective(j) || claims[j].Guaranteed()) && t.maySearchFor(j, t.lastPreemptSearch) {
			t.preemptFor(j, preemptor.Preempt(j, false))
		}
	})
	if urgentOnly {
		return // this pass has left out other waiting jobs
	}
	t.consolidate(v)
	if now-t.lastRent >= rentEvery {
		t.lastRent = now
		t.fleet.Rent(t.unplaced, v, t.objectives, claims)
		for _, lastSearch := range []map[*ledger.Job]time.Duration{t.lastWarmSearch, t.lastPreemptSearch} {
			for j := range lastSearch {
				if !placement.Waiting(j) {
					delete(lastSearch, j)
				}
			}
		}
	}
}

func (t *term) holdsFor(j *ledger.Job) bool {
	for _, h := range t.holds {
		if h.Job == j {
			return true
		}
	}
	return false
}

// maySearchFor reports whether placements to preempt for the job may be searched now, and if so
// records the search.
func (t *term) maySearchFor(j *ledger.Job, lastSearch map[*ledger.Job]time.Duration) bool {
	now := t.node.env.Now()
	if at, ok := lastSearch[j]; ok && now-at < searchEvery || t.holdsFor(j) {
		return false
	}
	lastSearch[j] = now
	return true
}

func (t *term) preemptFor(j *ledger.Job, stop []*ledger.Placement) {
	for _, p := range stop {
		t.node.env.Log().Info("preempting", "job", p.Job.Spec.ID, "task", p.Task, "machine", p.Host.Name, "for", j.Spec.ID)
		t.workers.Evict(p, "made room for "+j.Spec.ID)
		t.delayPreempted(p)
	}
}

const (
	// A task that was preempted twice in a row before it ran waits for preemptedDelay until it
	// is placed again. The wait doubles with each further time, up to maxPreemptedDelay.
	preemptedDelay, maxPreemptedDelay = 5 * time.Second, 80 * time.Second
)

// delayPreempted delays the next placement of a task that is preempted repeatedly before it
// runs. Under overload, one small job was started and stopped forty times, and two stops in
// three hit tasks that had saved nothing. If this happens to all waiting tasks, capacity stays
// free for the next urgent jobs.
func (t *term) delayPreempted(p *ledger.Placement) {
	task := &p.Job.Tasks[p.Task]
	if p.Job.Spec.Kind != model.Array {
		return
	}
	if p.Phase == model.Running || p.Phase == model.Saving {
		task.Preemptions = 0
		return
	}
	task.Preemptions++
	if n := task.Preemptions - 2; n >= 0 {
		task.NotBefore = max(task.NotBefore, t.node.env.Now()+min(maxPreemptedDelay, preemptedDelay<<min(n, 8)))
	}
}

const (
	// consolidateEvery is the period of consolidation.
	consolidateEvery = 30 * time.Second
	// Capacity that was freed for a job, and capacity at the targets of moves, is held for this
	// time.
	holdFor = 30 * time.Second
)

// consolidate empties a machine for a waiting job when there is enough free capacity, but not on
// one machine. All moves from the machine start together, and the capacity that they free is
// held for the job, since a burst of other jobs would take it otherwise.
func (t *term) consolidate(v *placement.View) {
	if v.Now-t.lastConsolidation < consolidateEvery || v.Now-t.lastConsolidationCheck < searchEvery || len(t.unplaced) == 0 {
		return
	}
	t.lastConsolidationCheck = v.Now
	ms := v.Machines
	j := consolidate.FindBlockedJob(t.ledger, v, ms, t.unplaced)
	if j == nil {
		return
	}
	t.lastConsolidation = v.Now
	plan := consolidate.Run(t.ledger, v, ms, j, consolidate.Default(), t.node.env.Rand())
	if plan == nil {
		t.node.env.Log().Info("consolidation found no machine to empty", "for", j.Spec.ID, "machines", len(ms))
		return
	}
	t.node.env.Log().Info("consolidating", "for", j.Spec.ID, "machine", plan.Empty.Name, "moves", len(plan.Moves))
	t.holds[plan.Empty] = &placement.Hold{Job: j, Until: v.Now + holdFor}
	for _, mv := range plan.Moves {
		task := &mv.P.Job.Tasks[mv.P.Task]
		task.MoveTarget, task.MoveDeadline = mv.To, v.Now+holdFor
		if t.holds[mv.To] == nil {
			t.holds[mv.To] = &placement.Hold{Job: mv.P.Job, Until: v.Now + holdFor, Move: true}
		}
		t.workers.Evict(mv.P, "moved to "+mv.To.Name)
	}
}
