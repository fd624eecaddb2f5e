package node

import (
	"slices"
	"time"

	"brooklb/internal/consolidate"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/placement"
)

// wake asks for a pass soon. What changes close together is dealt with in one
// pass, and passes keep a distance that leaves most of the processor to users'
// and workers' requests however many machines there are.
func (t *term) wake() {
	if t.scheduled || t.closed {
		return
	}
	t.scheduled = true
	wait := max(3*time.Millisecond, t.lastPass+t.passGap()-t.n.env.Now())
	t.n.env.After(wait, func() {
		t.scheduled = false
		if !t.closed {
			t.pass()
		}
	})
}

// perMachine is what a pass takes of a whole core for each machine, in a bad
// case, times five: passes then take no more than a fifth of the share.
const perMachine = 40 * time.Microsecond

func (t *term) passGap() time.Duration {
	share := t.n.set.Facts.Limits.CPUShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return min(time.Second, time.Duration(float64(len(t.led.Sorted()))*float64(perMachine)/share))
}

const (
	floorsEvery = time.Second
	rentEvery   = time.Second
	// Stopping other work for a job that waits is looked at anew this often.
	stopEvery = 500 * time.Millisecond
)

// pass places what waits and rents what is missing.
func (t *term) pass() {
	now := t.n.env.Now()
	t.lastPass = now
	if !t.n.elect.HasProof() {
		return // without the state service nothing is started
	}
	if !t.settled() {
		return
	}
	if t.led.Behind(model.High) > behindFor {
		return // what would be planned now could not become durable soon
	}
	// Urgent starts are written first: only what would queue behind all others waits.
	urgentOnly := t.led.Behind(model.Low) > behindFor
	v := &placement.View{Now: now, SilentAfter: 3 * seconds(t.n.set.Facts.Workers.ReportS), ReportInterval: seconds(t.n.set.Facts.Workers.ReportS), Holds: t.holds, Objectives: t.aims}
	v.Machines = placement.Candidates(t.led, v)
	if t.floored == nil || now-t.lastFloors >= floorsEvery {
		t.lastFloors = now // it looks at all jobs
		t.floored = t.n.floors.JobsWithin(t.led, t.aims, v.TotalCapacity(), now)
	}
	claims := placement.NewClaims(t.led, t.aims, t.floored, now)
	for _, j := range t.led.Order() {
		t.fleet.Arrived(j, t.aims.HasWaitObjective(j), claims[j] == placement.Entitled)
	}
	placement.ReleaseHolds(v)
	order := placement.Order(t.led, v, claims)
	if urgentOnly {
		order = slices.DeleteFunc(order, func(j *ledger.Job) bool { return j.Spec.Priority < model.High })
	}
	t.queues.Refresh(t.led, order, now)
	v.Units = t.queues
	stops := placement.NewPreemptor(t.led, v, claims)
	for _, j := range order {
		if t.aims.HasWaitObjective(j) && j.Spec.Kind == model.Gang && !j.Faulty() && t.mayStopFor(j, t.cleared) {
			t.evict(j, stops.PreemptWarm(j))
		}
	}
	t.left = placement.Run(t.led, v, order, func(j *ledger.Job) {
		if (t.aims.HasWaitObjective(j) || claims[j].Guaranteed()) && t.mayStopFor(j, t.preempted) {
			t.evict(j, stops.Preempt(j, false))
		}
	})
	if urgentOnly {
		return // what else waits isn't known of this pass
	}
	t.consolidate(v)
	if now-t.lastRent >= rentEvery {
		t.lastRent = now
		t.fleet.Rent(t.left, v, t.aims, claims)
		for _, looked := range []map[*ledger.Job]time.Duration{t.cleared, t.preempted} {
			for j := range looked {
				if !placement.Waiting(j) {
					delete(looked, j)
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

// mayStopFor reports whether it is time to look for something to stop for the
// job, and notes that it was done.
func (t *term) mayStopFor(j *ledger.Job, looked map[*ledger.Job]time.Duration) bool {
	now := t.n.env.Now()
	if at, ok := looked[j]; ok && now-at < stopEvery || t.holdsFor(j) {
		return false
	}
	looked[j] = now
	return true
}

func (t *term) evict(j *ledger.Job, stop []*ledger.Placement) {
	for _, p := range stop {
		t.n.env.Log().Info("preempting", "job", p.Job.Spec.ID, "task", p.Task, "machine", p.M.Name, "for", j.Spec.ID)
		t.workers.Evict(p, "made room for "+j.Spec.ID)
		t.ousted(p)
	}
}

const (
	// A task that was stopped for others a second time before it ran waits so long
	// until it is placed again, twice as long each time, up to the second.
	oustedFor, oustedMost = 5 * time.Second, 80 * time.Second
)

// ousted has a task pause that is stopped again and again before it has run: one small
// job of a flooded day was started and stopped forty times, two stops in three hit
// tasks that had saved nothing. Where that happens to all, room stays free for the
// urgent work that comes next.
func (t *term) ousted(p *ledger.Placement) {
	task := &p.Job.Tasks[p.Task]
	if p.Job.Spec.Kind != model.Array {
		return
	}
	if p.Phase == model.Running || p.Phase == model.Saving {
		task.Ousted = 0
		return
	}
	task.Ousted++
	if n := task.Ousted - 2; n >= 0 {
		task.NotBefore = max(task.NotBefore, t.n.env.Now()+min(oustedMost, oustedFor<<min(n, 8)))
	}
}

const (
	// consolidateEvery is the period of consolidation.
	consolidateEvery = 30 * time.Second
	// Room emptied for a job, and room at the targets of moves, is kept so long.
	moveFor = 30 * time.Second
)

// consolidate empties a machine for a waiting job when there is room enough,
// but not on one machine. All moves of the machine start together, and what
// falls free is kept for the job, since a burst would fill it otherwise.
func (t *term) consolidate(v *placement.View) {
	if v.Now-t.lastMoves < consolidateEvery || v.Now-t.lastLook < stopEvery || len(t.left) == 0 {
		return
	}
	t.lastLook = v.Now
	ms := v.Machines
	j := consolidate.Triggered(t.led, v, ms, t.left)
	if j == nil {
		return
	}
	t.lastMoves = v.Now
	plan := consolidate.Run(t.led, v, ms, j, consolidate.Default(), t.n.env.Rand())
	if plan == nil {
		t.n.env.Log().Info("consolidation finds no machine to empty", "for", j.Spec.ID, "machines", len(ms))
		return
	}
	t.n.env.Log().Info("consolidating", "for", j.Spec.ID, "machine", plan.Empty.Name, "moves", len(plan.Moves))
	t.holds[plan.Empty] = &placement.Hold{Job: j, Until: v.Now + moveFor}
	for _, mv := range plan.Moves {
		task := &mv.P.Job.Tasks[mv.P.Task]
		task.Want, task.WantUntil = mv.To, v.Now+moveFor
		if t.holds[mv.To] == nil {
			t.holds[mv.To] = &placement.Hold{Job: mv.P.Job, Until: v.Now + moveFor, Move: true}
		}
		t.workers.Evict(mv.P, "moved to "+mv.To.Name)
	}
}
