package workers

import (
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// unlisted is a placement that the newest report doesn't list.
//
// The worker waits for the answer to a report for at most 4 s, and reports again only when
// it has it or has given it up: a start in our last answer was executed before the next
// report, or never will be. The answer to a command comes beside that, and proves nothing
// about a start in an answer that may still be on its way.
func (a *Actor) unlisted(m *ledger.Machine, p *ledger.Placement, came way) {
	switch {
	case p.Session != 0 && p.Session < m.Session:
		// A later session has none of the earlier one's tasks.
		a.led.MarkLost(p, model.CauseWorkerRestarted)
	case p.Session != 0 && p.SeenInReport:
		a.led.MarkLost(p, "vanished from the worker's report")
	case p.Session != 0:
		// We sent a start that the worker hasn't executed yet.
		if p.Stopping && !a.mayArrive(m, p) && (came == unasked || p.StartInAnswerAt == 0 || a.env.Now()-p.StartInAnswerAt > answerFor) {
			a.led.MarkLost(p, model.CauseStopped)
		}
	case m.Token >= a.token && (p.Stopping || p.Inherited && p.Job.Spec.Kind == model.Gang):
		// We have sent no start. If an earlier leader placed it, its starts carry a lower
		// token than the worker has seen, so none can be executed any more. What we have
		// placed ourselves waits for the next answer: a gang's task that was not told at
		// once, since a report came in just before, was called lost, and the gang broken.
		a.led.MarkLost(p, model.CauseMachineLost)
	}
}

// answerFor is longer than a worker waits for the answer to a report.
const answerFor = 4500 * time.Millisecond

// mayArrive reports whether a start sent directly may still be executed.
func (a *Actor) mayArrive(m *ledger.Machine, p *ledger.Placement) bool {
	_, ok := m.UnconfirmedStarts[model.TaskAttempt{Job: p.Job.Spec.ID, Task: p.Task, Attempt: p.Attempt}]
	return ok
}

// DeadAt is when everything on a machine is surely gone if it stays silent.
func (a *Actor) DeadAt(m *ledger.Machine) time.Duration {
	last := a.began + a.cfg.Hold
	if m.TokenSeen {
		// Until it had seen our token an earlier leader may have answered it. It
		// may have learned the token by an order, before any report of its came
		// here: all its tasks were once taken for dead at once.
		last = max(m.LastAnswered, m.TokenSeenAt)
	} else {
		last = max(last, m.LastAnswered)
	}
	// A session that we have heard of, perhaps by the answer to a command alone, has a lease
	// of its own from its beginning: what was started in it at once was taken for dead by
	// the silence of the session before (sim.TestMeetings/1645, after a long outage).
	last = max(last, m.SessionSeenAt)
	return last + time.Duration(float64(a.cfg.Lease)*drift) + 1500*time.Millisecond
}

// Paused hears that we were paused, or had to refuse reports, for a while, yet lead still:
// nobody's silence in that time is his own.
func (a *Actor) Paused(gap time.Duration) {
	for _, m := range a.led.MachinesByName() {
		if m.Reported {
			m.LastReport += gap
		}
	}
}

// Tick looks for machines that have been silent for so long that their
// workers' leases have surely run out.
func (a *Actor) Tick() {
	now := a.env.Now()
	for _, m := range a.led.MachinesByName() {
		if a.stuck(m) && a.OnStuck != nil {
			a.OnStuck()
			return
		}
		if len(m.Placements) == 0 || now < a.DeadAt(m) {
			continue
		}
		a.env.Log().Info("machine silent, its lease has run out", "machine", m.Name, "tasks", len(m.Placements))
		for _, p := range m.PlacementsCopy() {
			if p.Durable {
				a.led.MarkLost(p, model.CauseMachineLost)
			}
		}
	}
}

// stuckFor is how long a start of unknown fate may hold its room after it was
// called off.
const stuckFor = 30 * time.Second

// stuck reports whether the machine's worker is well and doesn't have a task
// that was called off, but a start sent directly got no answer and may still
// arrive. It would hold its room for ever; under a higher token it is void.
func (a *Actor) stuck(m *ledger.Machine) bool {
	if len(m.UnconfirmedStarts) == 0 {
		return false
	}
	now := a.env.Now()
	for _, p := range m.Placements {
		if !p.Stopping || p.SeenInReport || now-m.LastReport >= 2*a.cfg.Report || !a.mayArrive(m, p) {
			continue
		}
		if now-p.StopSince > stuckFor || p.StartDeadline > 0 && now > p.StartDeadline {
			return true
		}
	}
	return false
}

// voidBy is until when a worker may be answered to whom a start of a job is under way
// that is found to be cancelled now. The user was told no earlier than our last proof, and
// a start that arrives later than a lease after that answer finds another session; so the
// time is that for which a leader without a proof answers (Config.Hold), and the bound the
// same. Counted from when we heard of the cancellation, in an outage that began meanwhile
// the start could be executed after cancel_s.
func (a *Actor) voidBy() time.Duration {
	proven := a.env.Now()
	if a.Proven != nil {
		proven = a.Proven()
	}
	return proven + min(stuckFor, a.cfg.Hold)
}
