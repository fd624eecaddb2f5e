package workers

import (
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// handleUnlisted decides whether a placement is lost that the newest report doesn't list.
//
// The worker waits at most 4 s for the answer to a report, and reports again only after it
// has received the answer or timed out. A start in the last answer was therefore executed
// before the next report, or never will be. The answer to a command is independent of
// that: it proves nothing about a start in an answer that may still be in flight.
func (a *Actor) handleUnlisted(m *ledger.Machine, p *ledger.Placement, origin reportOrigin) {
	switch {
	case p.Session != 0 && p.Session < m.Session:
		// A later session of the worker has none of the earlier session's tasks.
		a.led.MarkLost(p, model.CauseWorkerRestarted)
	case p.Session != 0 && p.SeenInReport:
		a.led.MarkLost(p, "vanished from the worker's report")
	case p.Session != 0:
		// A start was sent that the worker hasn't executed yet.
		if p.Stopping && !a.startMayArrive(m, p) && (origin == unsolicited || p.StartInAnswerAt == 0 || a.env.Now()-p.StartInAnswerAt > answerWindow) {
			a.led.MarkLost(p, model.CauseStopped)
		}
	case m.Token >= a.token && (p.Stopping || p.Inherited && p.Job.Spec.Kind == model.Gang):
		// No start was sent in this term. If an earlier leader placed the task, its starts
		// have a lower token than the worker has seen, and none can be executed any more.
		// A task placed in this term waits for the next answer. Counting it as lost broke a
		// gang when a report arrived between the placement and the start.
		a.led.MarkLost(p, model.CauseMachineLost)
	}
}

// answerWindow is longer than a worker waits for the answer to a report.
const answerWindow = 4500 * time.Millisecond

// startMayArrive reports whether a start that was sent directly may still be executed.
func (a *Actor) startMayArrive(m *ledger.Machine, p *ledger.Placement) bool {
	_, ok := m.UnconfirmedStarts[model.TaskAttempt{Job: p.Job.Spec.ID, Task: p.Task, Attempt: p.Attempt}]
	return ok
}

// LeaseExpiry returns the time from which no task on the machine can be running any more
// if the machine stays silent.
func (a *Actor) LeaseExpiry(m *ledger.Machine) time.Duration {
	last := a.began + a.cfg.Hold // the latest time at which an earlier leader may have answered
	if m.TokenSeen {
		// An earlier leader may have answered the worker until it saw the current token.
		// The worker may have seen the token in a command, before its first report in this
		// term: without TokenSeenAt all its tasks counted as lost at once.
		last = max(m.LastAnswered, m.TokenSeenAt)
	} else {
		last = max(last, m.LastAnswered)
	}
	// A new session, which may be known only from the answer to a command, has a lease of its
	// own from its beginning. Without SessionSeenAt, tasks that were started in it after a long
	// outage counted as lost because of the previous session's silence.
	last = max(last, m.SessionSeenAt)
	return last + time.Duration(float64(a.cfg.Lease)*clockDrift) + 1500*time.Millisecond
}

// Paused is called after this controller was paused, or had to refuse reports, for the
// given time and still leads. Machines don't count as silent for that time.
func (a *Actor) Paused(gap time.Duration) {
	for _, m := range a.led.MachinesByName() {
		if m.Reported {
			m.LastReport += gap
		}
	}
}

// Tick calls OnStuckStart if a start is stuck. It marks a machine's tasks as lost after its
// worker's lease has expired.
func (a *Actor) Tick() {
	now := a.env.Now()
	for _, m := range a.led.MachinesByName() {
		if a.hasStuckStart(m) && a.OnStuckStart != nil {
			a.OnStuckStart()
			return
		}
		if len(m.Placements) == 0 || now < a.LeaseExpiry(m) {
			continue
		}
		a.env.Log().Info("machine silent, its lease has expired", "machine", m.Name, "tasks", len(m.Placements))
		for _, p := range m.PlacementsCopy() {
			if p.Durable {
				a.led.MarkLost(p, model.CauseMachineLost)
			}
		}
	}
}

// stuckTimeout is how long a start of unknown outcome may reserve resources after its
// task was stopped.
const stuckTimeout = 30 * time.Second

// hasStuckStart reports whether the machine's worker reports regularly without a stopped task,
// while a direct start of the task that got no answer may still arrive after stuckTimeout or
// the start's deadline. The task's resources would never become free; a higher token makes the
// start void.
func (a *Actor) hasStuckStart(m *ledger.Machine) bool {
	if len(m.UnconfirmedStarts) == 0 {
		return false
	}
	now := a.env.Now()
	for _, p := range m.Placements {
		if !p.Stopping || p.SeenInReport || now-m.LastReport >= 2*a.cfg.ReportInterval || !a.startMayArrive(m, p) {
			continue
		}
		if now-p.StopSince > stuckTimeout || p.StartDeadline > 0 && now > p.StartDeadline {
			return true
		}
	}
	return false
}

// startDeadline returns until when the leader may answer a worker to which a start is in
// flight, if it learns now that the job of that start was cancelled. The user learned of the
// cancellation no earlier than the last proof of leading, and a start that arrives later than a
// lease after the last answer finds another session. The bound is therefore Config.Hold after
// the proof, as for a leader without a proof, and at most stuckTimeout. If it counted from when
// the leader learned of the cancellation, a start could be executed later than
// workers.cancel_s after the cancellation, in an outage that began meanwhile.
func (a *Actor) startDeadline() time.Duration {
	proven := a.env.Now()
	if a.Proven != nil {
		proven = a.Proven()
	}
	return proven + min(stuckTimeout, a.cfg.Hold)
}
