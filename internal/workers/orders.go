package workers

import (
	"sort"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/wire"
)

// orders lists the orders for a worker. The answer to a report (all is true) repeats all
// unfinished ones; a direct command has only new ones.
func (a *Actor) orders(m *ledger.Machine, all bool) []model.Order {
	var out []model.Order
	now := a.env.Now()
	direct := m.TrackedStarts()
	if all {
		for _, t := range m.UnexpectedTasks {
			out = append(out, model.Order{Op: model.Stop, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		}
		for _, t := range m.EndedTasks {
			if a.mayForget(m, t) {
				delete(m.ConfirmedStarts, t.Key())
				out = append(out, model.Order{Op: model.Forget, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
	for _, p := range m.PlacementsCopy() {
		id := p.Job.Spec.ID
		switch {
		case !p.Durable:
		case p.Stopping:
			if p.Phase == model.Saving && p.GraceS > 0 {
				continue
			}
			if (all || p.StopSent == 0) && (p.SeenInReport || p.Session != 0) {
				p.StopSent = now
				out = append(out, model.Order{Op: model.Stop, Job: id, Task: p.Task, Attempt: p.Attempt, GraceS: p.GraceS})
			}
		case a.StartsPaused != nil && a.StartsPaused():
		case p.RestartPending:
			// These orders go only in the answer to a report, which is executed at once
			// or never: a late copy of a command would make the worker forget the
			// attempt after it had started it again.
			if all && m.Token >= a.token {
				out = append(out, model.Order{Op: model.Forget, Job: id, Task: p.Task, Attempt: p.Attempt},
					model.Order{Op: model.Start, Job: id, Task: p.Task, Attempt: p.Attempt})
			}
		case !p.SeenInReport && (all || p.StartSentAt == 0):
			if p.Session != 0 && p.Session != m.Session {
				continue
			}
			if p.Inherited && p.Session == 0 && (p.Job.Spec.Kind == model.Gang || m.Token < a.token) {
				continue // decided when the worker has seen the current token
			}
			if p.Inherited && p.Session == 0 && a.led.OverLimit(p) {
				// The last leader may have known that the task had ended, and given its part
				// of the team's limit or its units to another task, before the end was
				// written. Both are recorded as placed, and starting both would exceed the
				// limit.
				a.led.MarkLost(p, model.CauseMachineLost)
				continue
			}
			if all {
				p.StartInAnswerAt = now
			} else if direct++; direct > ledger.MaxDirectStarts(p.Job.Spec.Priority) {
				continue // the answer to the next report has this start
			}
			p.Session, p.StartSentAt = m.Session, now
			out = append(out, model.Order{Op: model.Start, Job: id, Task: p.Task, Attempt: p.Attempt})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return orderRank(out[i].Op) < orderRank(out[j].Op) })
	return out
}

// orderRank puts forgets before stops and stops before starts, so that a worker forgets an
// attempt before it starts it again.
func orderRank(o model.Op) int { return [...]int{2, 1, 0}[o] }

const (
	// duplicateWindow is how long after the answer to a direct start a duplicate of it may
	// arrive. In that time the worker remembers the attempt even if the task is done. A
	// worker that had forgotten it executed the duplicate: while the next attempt ran on
	// another machine, while the team was at its limit, or long after the job was cancelled.
	duplicateWindow = 5 * time.Minute
)

// mayForget reports whether the worker may forget an exited attempt. Its end must be
// durable, and no duplicate of its start may be in flight, since a worker that has
// forgotten the attempt would execute the duplicate.
func (a *Actor) mayForget(m *ledger.Machine, t model.TaskReport) bool {
	if m.Token < a.token {
		return false
	}
	if _, ok := m.UnconfirmedStarts[t.Key()]; ok {
		return false
	}
	if at, ok := m.ConfirmedStarts[t.Key()]; ok && a.env.Now()-at < duplicateWindow {
		return false
	}
	j := a.led.Jobs[t.Job]
	if j == nil || t.Task >= len(j.Tasks) {
		return true
	}
	if p := j.Tasks[t.Task].CurrentPlacement; p != nil && p.Host == m && p.Attempt == t.Attempt {
		return false
	}
	return j.TaskDurable(t.Task)
}

// Push sends new orders directly to the worker, without waiting for its next report.
func (a *Actor) Push(m *ledger.Machine) {
	if a.pushing[m] || a.stopped {
		return
	}
	a.pushing[m] = true
	a.env.After(time.Millisecond, func() {
		delete(a.pushing, m)
		if !a.stopped && !m.Gone {
			a.push(m)
		}
	})
}

// call sends a request to the worker by the path on which its reports arrive.
func (a *Actor) call(m *ledger.Machine, c actor.Call) {
	if a.Send != nil {
		a.Send(m.ForwardedBy, c)
		return
	}
	a.env.Call(c)
}

func (a *Actor) push(m *ledger.Machine) {
	now := a.env.Now()
	if m.Addr == "" || !m.Reported || now-m.LastReport > 3*a.cfg.ReportInterval {
		return // the answer to its next report has the orders
	}
	for k, at := range m.ConfirmedStarts {
		if now-at >= duplicateWindow {
			delete(m.ConfirmedStarts, k)
		}
	}
	out := a.orders(m, false)
	if len(out) == 0 {
		return
	}
	session := m.Session
	for _, o := range out {
		if o.Op == model.Start {
			m.UnconfirmedStarts[o.Key()] = session
		}
	}
	m.DirectInFlight++
	a.call(m, actor.Call{Addr: m.Addr, Method: "POST", Path: wire.PathOrders, Timeout: directTimeout,
		Body: wire.Orders(a.token, session, out), Done: func(ans actor.Answer) {
			m.DirectInFlight--
			if a.stopped {
				return
			}
			if ans.Err != nil && !ans.Unsent() {
				// The command may be executed minutes later. The answer to a report
				// repeats the start, which makes the late copy harmless as long as
				// the worker doesn't forget the attempt.
				a.env.Log().Debug("no answer to a direct command", "machine", m.Name, "err", ans.Err)
				return
			}
			if m.Session == session {
				for _, o := range out {
					if o.Op == model.Start {
						delete(m.UnconfirmedStarts, o.Key())
						if ans.Err == nil && ans.Status == 200 {
							m.ConfirmedStarts[o.Key()] = a.env.Now()
						}
					}
				}
			}
			if ans.Err != nil || (ans.Status != 200 && ans.Status != 409) {
				return
			}
			r, err := wire.DecodeReport(ans.Body)
			if err != nil || r.Machine != m.Name {
				a.env.Log().Error("invalid response from a worker", "machine", m.Name, "err", err)
				return
			}
			a.applyReport(r, solicited)
		}})
}
