// Package workers updates the ledger from the workers' reports and sends the workers
// the orders that the ledger requires. It decides when a task is proven absent and when
// a worker may forget an exited task.
package workers

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Config holds durations from the settings: of a worker's lease, of the time for which a
// leader still answers workers after its last proof of leading (Hold), and between two reports
// of a worker.
type Config struct {
	Lease, Hold    time.Duration
	ReportInterval time.Duration
}

// Actor handles the workers during one term.
type Actor struct {
	env            actor.Env
	led            *ledger.Ledger
	token          uint64
	cfg            Config
	began          time.Duration
	pushing        map[*ledger.Machine]bool
	stopped        bool
	statusRequests int // status requests without an answer yet
	tokensSent     int // workers that were sent the term's token
	// Callbacks of the term.
	OnHigherToken func()                  // a worker has seen a higher token
	OnFirstReport func(m *ledger.Machine) // a machine reports for the first time in the term
	OnStuckStart  func()                  // only a higher token can void a start
	// Proven returns the last time at which this leader certainly knew of all cancellations;
	// nil: always now.
	Proven func() time.Duration
	// StartsPaused reports whether no task may be started now, even if its placement is
	// recorded.
	StartsPaused func() bool
	// Send sends a call to a worker through the controller that forwards its reports; nil:
	// always directly.
	Send func(via string, c actor.Call)
	// OnServiceExit is called for a service's task that ended by itself.
	OnServiceExit func(p *ledger.Placement, cause string)
}

const (
	directTimeout = 2500 * time.Millisecond
	// clockDrift prolongs a lease, since monotonic clocks drift apart by at most 0.05%.
	clockDrift = 1.001
)

// New returns the actor of a term that begins now.
func New(env actor.Env, led *ledger.Ledger, token uint64, cfg Config) *Actor {
	a := &Actor{env: env, led: led, token: token, cfg: cfg, began: env.Now(), pushing: map[*ledger.Machine]bool{}}
	led.OnDurable = func(ps []*ledger.Placement) {
		for _, p := range ps {
			a.Push(p.Host)
		}
	}
	led.OnStop = func(p *ledger.Placement) { a.Push(p.Host) }
	led.OnCancelled = func(j *ledger.Job) {
		deadline := a.startDeadline()
		for i := range j.Tasks {
			if p := j.Tasks[i].CurrentPlacement; p != nil {
				p.StartDeadline = deadline
			}
		}
	}
	return a
}

// Began returns the start time of the term.
func (a *Actor) Began() time.Duration { return a.began }

// Close ends the term. The actor gives no more orders.
func (a *Actor) Close() { a.stopped = true }

// Report processes a report and returns the orders for its answer.
func (a *Actor) Report(r *model.Report) []model.Order { return a.ReportVia("", r) }

// ReportVia is Report for a report that another controller forwarded. Orders are sent
// through that controller, too, until a report arrives by another path.
func (a *Actor) ReportVia(via string, r *model.Report) []model.Order {
	if a.led.Returned[r.Machine] {
		return nil // sent before its machine was returned
	}
	m := a.led.Machine(r.Machine)
	now := a.env.Now()
	if !a.applyReport(r, unsolicited) {
		// The report is older than the last known state, because it was delayed or
		// duplicated. No worker receives the answer to a duplicate. A report that was overtaken
		// by the answer to a command was sent before that answer, and renews the lease only
		// up to then. When the lease counted from now, duplicates kept dead machines' tasks
		// from being started elsewhere.
		m.LastAnswered = max(m.LastAnswered, m.LastReport)
		return nil
	}
	m.LastAnswered = now
	m.ForwardedBy = via
	if a.hasStuckStart(m) && a.OnStuckStart != nil {
		// Its lease must not be renewed under this token.
		a.OnStuckStart()
		return nil
	}
	return a.orders(m, true)
}

// reportOrigin says whether a worker sent a report by itself (unsolicited), or as the
// answer to a command or a status request (solicited).
type reportOrigin uint8

const (
	unsolicited reportOrigin = iota
	solicited
)

// applyReport updates the ledger from a report. It returns false for a report that is not
// newer than the last one.
//
// Only a report with the current token, or an answer to a request, shows that the worker sent
// it in this term. Until then a report may be a late duplicate of an old one: tasks that it
// lists may have ended, and tasks that it doesn't list or calls ended may have been started
// since, even as the same attempt (of a gang that was placed again). From such a report
// the leader only concludes that tasks are done. The worker's next report, half a second
// after the first answer, shows the rest.
func (a *Actor) applyReport(r *model.Report, origin reportOrigin) bool {
	if a.led.Returned[r.Machine] {
		return false
	}
	now := a.env.Now()
	m := a.led.Machine(r.Machine)
	if r.Session < m.Session || (r.Session == m.Session && r.Seq <= m.Seq) {
		return false
	}
	first := !m.Reported
	m.ReportGap = now - m.LastReport
	m.Reported, m.LastReport = true, now
	m.Addr = r.Addr
	a.led.Describe(m, r.Type, r.Zone, r.Spot)
	if r.Session > m.Session {
		// Commands carry the session, so those to an earlier session are void.
		m.UnconfirmedStarts = map[model.TaskAttempt]uint64{}
		m.ConfirmedStarts = map[model.TaskAttempt]time.Duration{}
		m.SessionSeenAt = now
	}
	m.Session, m.Seq, m.Token = r.Session, r.Seq, r.Token
	m.MissedListings = 0
	if r.Token >= a.token && !m.TokenSeen {
		m.TokenSeen, m.TokenSeenAt = true, now
	}
	if r.Token > a.token && a.OnHigherToken != nil {
		a.OnHigherToken()
	}
	m.HasFreshReport = m.HasFreshReport || origin == solicited || r.Token >= a.token
	notice := m.HasFreshReport && r.InterruptionNotice && !m.InterruptionNotice
	m.InterruptionNotice = m.HasFreshReport && r.InterruptionNotice
	m.EndedTasks, m.UnexpectedTasks = m.EndedTasks[:0], m.UnexpectedTasks[:0]
	listed := make(map[*ledger.Placement]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		j := a.led.Jobs[t.Job]
		var p *ledger.Placement
		if j != nil && t.Task < len(j.Tasks) {
			if q := j.Tasks[t.Task].CurrentPlacement; q != nil && q.Host == m && q.Attempt == t.Attempt {
				p = q
			}
		}
		if p == nil {
			a.handleUnmatched(m, j, t)
			continue
		}
		listed[p] = true
		if t.Phase == model.Exited && !m.HasFreshReport && t.Cause != model.CauseDone {
			continue
		}
		p.SeenInReport, p.Session = true, r.Session
		if p.Phase != t.Phase {
			a.env.Log().Debug("task", "job", t.Job, "task", t.Task, "attempt", t.Attempt, "machine", m.Name, "phase", t.Phase.String(), "cause", t.Cause)
			p.Phase = t.Phase
			if t.Phase == model.Running {
				p.RunSince = now
				p.RunSinceUncertain = m.ReportGap > a.maxReportGap()
				j.Started = true
			}
		}
		if t.Phase == model.Running {
			a.led.MarkRunning(p)
		}
		if t.Phase == model.Running || t.Phase == model.Waiting || t.Phase == model.Saving || t.Cause == model.CauseDone {
			m.Images[j.Spec.Image] = now
			m.ImageGB[j.Spec.Image] = j.Spec.ImageGB
		}
		if t.Phase == model.Exited {
			m.EndedTasks = append(m.EndedTasks, t)
			a.handleExit(p, t)
		} else {
			p.RestartPending = false
		}
	}
	if m.HasFreshReport {
		for _, p := range m.PlacementsCopy() {
			if !listed[p] && p.Durable && !p.Gone {
				a.handleUnlisted(m, p, origin)
			}
		}
	}
	a.trimImageCache(m)
	if notice {
		if m.Spot {
			a.led.SpotInterruptions++
		}
		a.env.Log().Info("machine will be reclaimed", "machine", m.Name, "in_s", r.InterruptionNoticeS)
		a.drain(m, "machine is being taken away")
	}
	if first && a.OnFirstReport != nil {
		a.OnFirstReport(m)
	}
	return true
}

// trimImageCache removes the least recently used images from the record of a machine's image
// cache until the rest fits the cache.
func (a *Actor) trimImageCache(m *ledger.Machine) {
	t := a.led.Types[m.Type]
	if t == nil {
		return
	}
	for {
		sum, oldest := 0.0, ""
		for i, gb := range m.ImageGB {
			sum += gb
			if oldest == "" || m.Images[i] < m.Images[oldest] || (m.Images[i] == m.Images[oldest] && i < oldest) {
				oldest = i
			}
		}
		if sum <= t.CacheGB || len(m.ImageGB) <= 1 {
			return
		}
		delete(m.Images, oldest)
		delete(m.ImageGB, oldest)
	}
}

// handleUnmatched processes a reported task that the ledger doesn't have on the machine.
func (a *Actor) handleUnmatched(m *ledger.Machine, j *ledger.Job, t model.TaskReport) {
	if t.Phase == model.Exited {
		if t.Cause == model.CauseDone && j != nil && j.Final == ledger.Open && t.Task < len(j.Tasks) &&
			!j.Tasks[t.Task].Done && j.Tasks[t.Task].CurrentPlacement == nil {
			a.led.MarkFinished(j, t.Task)
		}
		m.EndedTasks = append(m.EndedTasks, t)
		return
	}
	a.env.Log().Info("worker reports a task that is not placed on its machine, stopping it", "job", t.Job, "task", t.Task, "attempt", t.Attempt, "machine", m.Name)
	m.UnexpectedTasks = append(m.UnexpectedTasks, t)
	if j != nil && t.Task < len(j.Tasks) {
		// The task must not be started elsewhere while this worker still reports it.
		j.Tasks[t.Task].NotBefore = max(j.Tasks[t.Task].NotBefore, a.env.Now()+2*a.cfg.ReportInterval)
	}
}

// drain evicts the tasks of a machine that is about to be returned or reclaimed, so that their
// progress is saved where that is possible. Evict leaves some running tasks in place.
func (a *Actor) drain(m *ledger.Machine, why string) {
	for _, p := range m.PlacementsCopy() {
		if p.Gone || p.Stopping {
			continue
		}
		a.Evict(p, why)
	}
	m.NoPlacementBefore = a.env.Now() + time.Hour
}

// Evict stops a task, or the whole gang it belongs to, and saves its progress if that is
// possible. A running task that isn't part of a gang and can't save its progress is left to
// complete.
func (a *Actor) Evict(p *ledger.Placement, why string) {
	if p.Job.Spec.Kind != model.Gang {
		if p.Job.Spec.CheckpointS <= 0 && p.Phase == model.Running {
			return // it can't save its progress, but may still complete
		}
		a.led.Stop(p, p.Grace(), why)
		return
	}
	if len(p.Job.Tasks) > 1 && ledger.Forming(p.Job) {
		a.led.Stop(p, 0, why) // the others wait for its replacement
		return
	}
	for i := range p.Job.Tasks {
		if q := p.Job.Tasks[i].CurrentPlacement; q != nil && !q.Stopping {
			a.led.Stop(q, q.Grace(), why)
		}
	}
	p.Job.Disbanding = p.Job.Placed > 0
}
