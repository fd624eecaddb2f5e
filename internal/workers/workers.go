// Package workers turns workers' reports into facts of the ledger, and the
// ledger's wishes into orders. It decides when a task is proven absent and
// when an exited task may be removed from a worker's memory.
package workers

import (
	"math"
	"sort"
	"strconv"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/wire"
)

// Config of the slice, from the settings.
type Config struct {
	Lease, Hold time.Duration
	Report      time.Duration
}

// Actor handles the workers during one term.
type Actor struct {
	env     actor.Env
	led     *ledger.Ledger
	token   uint64
	cfg     Config
	began   time.Duration
	pushing map[*ledger.Machine]bool
	stopped bool
	asking  int // workers asked for their status that have not answered
	// Hooks of the term.
	OnNewer func()                  // a worker has seen a higher token
	OnTrust func(m *ledger.Machine) // a machine reports for the first time
	OnStuck func()                  // only a higher token can settle a start
	// Quiet reports whether nothing may be started yet, not even what is recorded.
	Quiet func() bool
	// OnEnded hears of a service's task that ended by itself.
	OnEnded func(p *ledger.Placement, cause string)
}

const (
	directTimeout = 2500 * time.Millisecond
	// Steady clocks drift apart by at most 0.05%.
	drift = 1.001
)

// New makes the actor of a term that began at the given time.
func New(env actor.Env, led *ledger.Ledger, token uint64, cfg Config) *Actor {
	a := &Actor{env: env, led: led, token: token, cfg: cfg, began: env.Now(), pushing: map[*ledger.Machine]bool{}}
	led.OnDurable = func(ps []*ledger.Placement) {
		for _, p := range ps {
			a.Push(p.M)
		}
	}
	led.OnStop = func(p *ledger.Placement) { a.Push(p.M) }
	return a
}

// Began is when the term began.
func (a *Actor) Began() time.Duration { return a.began }

// Close ends the term: no order is given any more.
func (a *Actor) Close() { a.stopped = true }

func key(t model.TaskReport) string {
	return t.Job + "/" + strconv.Itoa(t.Task) + "#" + strconv.FormatUint(t.Attempt, 10)
}

func orderKey(o model.Order) string {
	return o.Job + "/" + strconv.Itoa(o.Task) + "#" + strconv.FormatUint(o.Attempt, 10)
}

// Report takes in a report and returns the orders for the answer.
func (a *Actor) Report(r *model.Report) []model.Order {
	if a.led.Returned[r.Machine] {
		return nil // sent before its machine was returned
	}
	m := a.led.Machine(r.Machine)
	now := a.env.Now()
	newer := a.absorb(r)
	m.LastAnswered = now
	if !newer {
		// Held up on its way: what it says is older than what we know.
		return nil
	}
	return a.orders(m, true)
}

// absorb takes in a report, however it came. It returns false for one that is
// not newer than what is known.
func (a *Actor) absorb(r *model.Report) bool {
	if a.led.Returned[r.Machine] {
		return false
	}
	now := a.env.Now()
	m := a.led.Machine(r.Machine)
	if r.Session < m.Session || (r.Session == m.Session && r.Seq <= m.Seq) {
		return false
	}
	first := !m.Heard
	m.Gap = now - m.LastHeard
	m.Heard, m.LastHeard = true, now
	m.Addr = r.Addr
	a.led.Describe(m, r.Type, r.Zone, r.Spot)
	if r.Session > m.Session {
		// Commands carry the session: what was sent to an earlier one is void.
		m.Ambiguous = map[string]uint64{}
		m.Sent = map[string]time.Duration{}
	}
	m.Session, m.Seq, m.Token = r.Session, r.Seq, r.Token
	m.Missing = 0
	if r.Token >= a.token && !m.TokenSeen {
		m.TokenSeen, m.TokenAt = true, now
	}
	if r.Token > a.token && a.OnNewer != nil {
		a.OnNewer()
	}
	notice := r.Notice && !m.Notice
	m.Notice = r.Notice
	m.Ended, m.Strays = m.Ended[:0], m.Strays[:0]
	listed := make(map[*ledger.Placement]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		j := a.led.Jobs[t.Job]
		var p *ledger.Placement
		if j != nil && t.Task < len(j.Tasks) {
			if q := j.Tasks[t.Task].P; q != nil && q.M == m && q.Attempt == t.Attempt {
				p = q
			}
		}
		if p == nil {
			a.unmatched(m, j, t)
			continue
		}
		listed[p] = true
		p.Seen, p.Session = true, r.Session
		if p.Phase != t.Phase {
			a.env.Log().Debug("task", "job", t.Job, "task", t.Task, "attempt", t.Attempt, "machine", m.Name, "phase", t.Phase.String(), "cause", t.Cause)
			p.Phase = t.Phase
			if t.Phase == model.Running {
				p.RunSince = now
				p.Vague = m.Gap > a.vague()
				j.Started = true
			}
		}
		if t.Phase == model.Running || t.Phase == model.Waiting || t.Phase == model.Saving || t.Cause == model.CauseDone {
			m.Images[j.Spec.Image] = now
			m.ImageGB[j.Spec.Image] = j.Spec.ImageGB
		}
		if t.Phase == model.Exited {
			m.Ended = append(m.Ended, t)
			a.exited(p, t)
		} else {
			p.Again = false
		}
	}
	for _, p := range m.List() {
		if !listed[p] && p.Durable && !p.Gone {
			a.unlisted(m, p)
		}
	}
	a.trim(m)
	if notice {
		if m.Spot {
			a.led.SpotTaken++
		}
		a.env.Log().Info("machine is to be taken away", "machine", m.Name, "in_s", r.NoticeS)
		a.drain(m, "machine is being taken away")
	}
	if first && a.OnTrust != nil {
		a.OnTrust(m)
	}
	return true
}

// trim keeps what is remembered of a machine's image cache within its size.
func (a *Actor) trim(m *ledger.Machine) {
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

// unmatched is a reported task that the ledger doesn't have there.
func (a *Actor) unmatched(m *ledger.Machine, j *ledger.Job, t model.TaskReport) {
	if t.Phase == model.Exited {
		if t.Cause == model.CauseDone && j != nil && j.Final == ledger.Open && t.Task < len(j.Tasks) &&
			!j.Tasks[t.Task].Done && j.Tasks[t.Task].P == nil {
			a.led.Finished(j, t.Task)
		}
		m.Ended = append(m.Ended, t)
		return
	}
	a.env.Log().Info("task nobody placed there, stopping it", "job", t.Job, "task", t.Task, "attempt", t.Attempt, "machine", m.Name)
	m.Strays = append(m.Strays, t)
	if j != nil && t.Task < len(j.Tasks) {
		// It must not be started elsewhere while it is seen here.
		j.Tasks[t.Task].NotBefore = max(j.Tasks[t.Task].NotBefore, a.env.Now()+2*a.cfg.Report)
	}
}

// unlisted is a placement that the newest report doesn't list.
func (a *Actor) unlisted(m *ledger.Machine, p *ledger.Placement) {
	switch {
	case p.Session != 0 && p.Session < m.Session:
		// A later session has none of the earlier one's tasks.
		a.led.Lost(p, model.CauseSession)
	case p.Session != 0 && p.Seen:
		a.led.Lost(p, "vanished from the worker's report")
	case p.Session != 0:
		// We sent a start that the worker hasn't executed yet.
		if p.Stopping && !a.mayArrive(m, p) {
			a.led.Lost(p, model.CauseStopped)
		}
	case m.Token >= a.token && (p.Stopping || p.Job.Spec.Kind == model.Gang):
		// An earlier leader placed it. Its starts carry a lower token than the
		// worker has seen, so none can be executed any more.
		a.led.Lost(p, model.CauseLost)
	}
}

// mayArrive reports whether a start sent directly may still be executed.
func (a *Actor) mayArrive(m *ledger.Machine, p *ledger.Placement) bool {
	_, ok := m.Ambiguous[key(model.TaskReport{Job: p.Job.Spec.ID, Task: p.Task, Attempt: p.Attempt})]
	return ok
}

func (a *Actor) exited(p *ledger.Placement, t model.TaskReport) {
	now := a.env.Now()
	j, m := p.Job, p.M
	task := &j.Tasks[p.Task]
	if j.Spec.Kind == model.Service && a.OnEnded != nil && ownEnd(t.Cause) {
		a.OnEnded(p, t.Cause)
	}
	switch t.Cause {
	case model.CauseDone:
		task.Errors = 0
		m.Clear()
		if m.Gap <= a.vague() {
			a.led.Ran(p)
		}
		a.led.Finished(j, p.Task)
		if m.Pace.TooSlow() && !m.Leaving {
			a.setAside(m)
		}
		return
	case model.CauseError:
		task.Errors++
		task.NotBefore = now + backoff(task.Errors)
		task.Avoid(m, task.NotBefore+avoidFor)
		if j.Spec.Kind == model.Service && p.RunSince > 0 && now-p.RunSince > time.Minute {
			a.led.Worked(j)
		}
		a.blame(m, j)
	case model.CauseAlone:
		if a.again(p) {
			return
		}
	case model.CauseNoRoom:
		m.NoPlace = now + 5*time.Second
		task.NotBefore = now + time.Second
	case model.CauseBusy:
		task.NotBefore = now + 2*time.Second
	case model.CauseUnknown:
		task.Errors++
		task.NotBefore = now + backoff(task.Errors+1)
	}
	cause := t.Cause
	if t.Saved {
		cause += ", progress saved"
	}
	a.led.Lost(p, cause)
}

// ownEnd reports whether a task ended by itself, and was not stopped, refused or
// left alone.
func ownEnd(cause string) bool {
	switch cause {
	case model.CauseStopped, model.CausePeers, model.CauseAlone, model.CauseNoRoom, model.CauseBusy, model.CauseUnknown:
		return false
	}
	return true
}

// avoidFor is how long a task keeps off the machine it failed on.
const avoidFor = time.Minute

// mostAgain bounds how often a task of a gang is started again in one attempt.
const mostAgain = 12

// again reports whether a task that has waited in vain for the others of its
// gang is to wait once more. Fetches of one image differ by more than the
// longest wait: if the gang were started anew each time, the slowest fetch
// would be given up each time, and the gang would never come together. The task
// keeps its attempt and its place; its image is there.
func (a *Actor) again(p *ledger.Placement) bool {
	j := p.Job
	if (!p.Again && p.Retries >= mostAgain) || a.mayArrive(p.M, p) {
		return false
	}
	if !ledger.Forming(j) {
		return false
	}
	if !p.Again {
		p.Again = true
		p.Retries++
	}
	return true
}

func backoff(n int) time.Duration {
	return min(time.Minute, time.Second<<min(n, 6))
}

// blame finds out who is at fault for an error: a machine on which tasks of
// several jobs fail, or a job that fails on several machines.
func (a *Actor) blame(m *ledger.Machine, j *ledger.Job) {
	a.led.Failed(j, m)
	if j.Faulty() {
		return
	}
	if m.Suspects() >= 2 {
		a.env.Log().Info("machine set aside, tasks of several jobs failed on it", "machine", m.Name, "jobs", m.Suspects())
		m.NoPlace = a.env.Now() + time.Hour
		m.Leaving = true
	} else {
		m.NoPlace = max(m.NoPlace, a.env.Now()+10*time.Second)
	}
}

// vague is the gap between reports beyond which it isn't known closely when a
// task began or ended: a cut makes tasks look slow that are not.
func (a *Actor) vague() time.Duration { return 2 * a.cfg.Report }

// setAside has a machine returned on which tasks take much longer than the same
// jobs' tasks elsewhere. What can save goes on elsewhere at once.
func (a *Actor) setAside(m *ledger.Machine) {
	a.env.Log().Info("machine set aside, its tasks take much longer than elsewhere", "machine", m.Name, "factor", math.Round(100*m.Pace.Factor())/100)
	m.Leaving = true
	a.drain(m, "machine is too slow")
}

// drain saves what can be saved before a machine is taken.
func (a *Actor) drain(m *ledger.Machine, why string) {
	for _, p := range m.List() {
		if p.Gone || p.Stopping {
			continue
		}
		a.Evict(p, why)
	}
	m.NoPlace = a.env.Now() + time.Hour
}

// Evict stops a task, or the whole gang it belongs to, so that its progress is
// saved where that is possible.
func (a *Actor) Evict(p *ledger.Placement, why string) {
	if p.Job.Spec.Kind != model.Gang {
		if p.Job.Spec.CheckpointS <= 0 && p.Phase == model.Running {
			return // can't save: it may yet complete
		}
		a.led.Stop(p, p.Grace(), why)
		return
	}
	if len(p.Job.Tasks) > 1 && ledger.Forming(p.Job) {
		a.led.Stop(p, 0, why) // the others wait for its replacement
		return
	}
	for i := range p.Job.Tasks {
		if q := p.Job.Tasks[i].P; q != nil && !q.Stopping {
			a.led.Stop(q, q.Grace(), why)
		}
	}
	p.Job.Broken = p.Job.Placed > 0
}

// orders lists what the worker has to be told. In the answer to a report (all
// true) everything unfinished is repeated; a direct command has what is new.
func (a *Actor) orders(m *ledger.Machine, all bool) []model.Order {
	var out []model.Order
	now := a.env.Now()
	if all {
		for _, t := range m.Strays {
			out = append(out, model.Order{Op: model.Stop, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
		}
		for _, t := range m.Ended {
			if a.mayForget(m, t) {
				delete(m.Sent, key(t))
				out = append(out, model.Order{Op: model.Forget, Job: t.Job, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
	for _, p := range m.List() {
		id := p.Job.Spec.ID
		switch {
		case !p.Durable:
		case p.Stopping:
			if p.Phase == model.Saving && p.GraceS > 0 {
				continue
			}
			if (all || p.StopSent == 0) && (p.Seen || p.Session != 0) {
				p.StopSent = now
				out = append(out, model.Order{Op: model.Stop, Job: id, Task: p.Task, Attempt: p.Attempt, GraceS: p.GraceS})
			}
		case a.Quiet != nil && a.Quiet():
		case p.Again:
			// Only in an answer, which is executed at once or never: a copy that
			// came late would make the worker forget what it has done since.
			if all && m.Token >= a.token {
				out = append(out, model.Order{Op: model.Forget, Job: id, Task: p.Task, Attempt: p.Attempt},
					model.Order{Op: model.Start, Job: id, Task: p.Task, Attempt: p.Attempt})
			}
		case !p.Seen && (all || p.SentAt == 0):
			if p.Session != 0 && p.Session != m.Session {
				continue
			}
			if p.Inherited && p.Session == 0 && (p.Job.Spec.Kind == model.Gang || m.Token < a.token) {
				continue // decided when the worker has seen our token
			}
			if p.Inherited && p.Session == 0 && a.led.Over(p) {
				// Its end may have been known to the last leader, which gave what it held
				// to others, but was not written yet: both are in the record, and with both
				// started more would be in use than there is (TestLicences).
				a.led.Lost(p, model.CauseLost)
				continue
			}
			p.Session, p.SentAt = m.Session, now
			out = append(out, model.Order{Op: model.Start, Job: id, Task: p.Task, Attempt: p.Attempt})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return rank(out[i].Op) < rank(out[j].Op) })
	return out
}

func rank(o model.Op) int { return [...]int{2, 1, 0}[o] }

const (
	// A copy of a start that was carried out and answered may come so late. Until then
	// the worker keeps what it knows of the attempt, unless it was done (then the result
	// is kept in any case): one that had forgotten it started it again, beside the next
	// attempt elsewhere (sim.TestTroubledDays/11 with copies).
	copiesFor = 5 * time.Minute
	// More exits than this on one machine don't wait: each report lists them all.
	mostKept = 64
)

// mayForget says whether the worker may forget an exited attempt. Its end must
// be durable, and no copy of its start may be under way: after forgetting it,
// the worker would execute the copy.
func (a *Actor) mayForget(m *ledger.Machine, t model.TaskReport) bool {
	if m.Token < a.token {
		return false
	}
	if _, ok := m.Ambiguous[key(t)]; ok {
		return false
	}
	if at, ok := m.Sent[key(t)]; ok && t.Cause != model.CauseDone && a.env.Now()-at < copiesFor && len(m.Ended) <= mostKept {
		return false
	}
	j := a.led.Jobs[t.Job]
	if j == nil || t.Task >= len(j.Tasks) {
		return true
	}
	if p := j.Tasks[t.Task].P; p != nil && p.M == m && p.Attempt == t.Attempt {
		return false
	}
	return j.Clean(t.Task)
}

// Push sends what is new straight to the worker.
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

func (a *Actor) push(m *ledger.Machine) {
	now := a.env.Now()
	if m.Addr == "" || !m.Heard || now-m.LastHeard > 3*a.cfg.Report {
		return // the answer to its next report will tell it
	}
	out := a.orders(m, false)
	if len(out) == 0 {
		return
	}
	session := m.Session
	for _, o := range out {
		if o.Op == model.Start {
			m.Ambiguous[orderKey(o)] = session
		}
	}
	m.Direct++
	a.env.Call(actor.Call{Addr: m.Addr, Method: "POST", Path: wire.PathOrders, Timeout: directTimeout,
		Body: wire.Orders(a.token, session, out), Done: func(ans actor.Answer) {
			m.Direct--
			if a.stopped {
				return
			}
			if ans.Err != nil && !ans.Unsent() {
				// It may be executed minutes later. The repeated start in the
				// answer to a report makes the copy harmless, as long as the
				// worker isn't told to forget the attempt.
				a.env.Log().Debug("no answer to a direct command", "machine", m.Name, "err", ans.Err)
				return
			}
			if m.Session == session {
				for _, o := range out {
					if o.Op == model.Start {
						delete(m.Ambiguous, orderKey(o))
						if ans.Err == nil && ans.Status == 200 {
							m.Sent[orderKey(o)] = a.env.Now()
						}
					}
				}
			}
			if ans.Err != nil || (ans.Status != 200 && ans.Status != 409) {
				return
			}
			r, err := wire.DecodeReport(ans.Body)
			if err != nil || r.Machine != m.Name {
				a.env.Log().Error("bad answer of a worker", "machine", m.Name, "err", err)
				return
			}
			a.absorb(r)
		}})
}

const (
	// After a change of leader the workers come by themselves, most of them
	// within this time if their last leader's machine is there to refuse them.
	greetAfter = 700 * time.Millisecond
	// Those that still wait for an answer of a leader that stands still or is cut
	// off come seconds later. They are asked instead, so many at once.
	greetFor     = 8 * time.Second
	mostGreeted  = 32
	greetTimeout = 1500 * time.Millisecond
)

// Greet asks workers that have not found the new leader for their status, so
// that starts need not wait until they have.
func (a *Actor) Greet() {
	since := a.env.Now() - a.began
	if a.stopped || since < greetAfter || since > greetFor {
		return
	}
	for _, m := range a.led.Sorted() {
		if a.asking >= mostGreeted {
			return
		}
		if m.Heard || m.Greeted || m.Addr == "" || m.Leaving || m.Listed != "running" {
			continue
		}
		m.Greeted = true
		a.asking++
		a.env.Call(actor.Call{Addr: m.Addr, Method: "GET", Path: wire.PathStatus, Timeout: greetTimeout, Done: func(ans actor.Answer) {
			a.asking--
			if a.stopped {
				return
			}
			if ans.Err == nil && ans.Status == 200 && !m.Gone {
				if r, err := wire.DecodeReport(ans.Body); err == nil && r.Machine == m.Name {
					a.absorb(r)
				}
			}
			a.Greet()
		}})
	}
}

// DeadAt is when everything on a machine is surely gone if it stays silent.
func (a *Actor) DeadAt(m *ledger.Machine) time.Duration {
	last := a.began + a.cfg.Hold
	if m.TokenSeen {
		// Until it had seen our token an earlier leader may have answered it. It
		// may have learned the token by an order, before any report of its came
		// here: all its tasks were once taken for dead at once.
		last = max(m.LastAnswered, m.TokenAt)
	} else {
		last = max(last, m.LastAnswered)
	}
	return last + time.Duration(float64(a.cfg.Lease)*drift) + 1500*time.Millisecond
}

// Stood hears that we stood still for a while, yet lead still: reports that came
// meanwhile wait to be read, and nobody's silence is his own.
func (a *Actor) Stood(gap time.Duration) {
	for _, m := range a.led.Sorted() {
		if m.Heard {
			m.LastHeard += gap
		}
	}
}

// Tick looks for machines that have been silent for so long that their
// workers' leases have surely run out.
func (a *Actor) Tick() {
	now := a.env.Now()
	for _, m := range a.led.Sorted() {
		if a.stuck(m) && a.OnStuck != nil {
			a.OnStuck()
			return
		}
		if len(m.P) == 0 || now < a.DeadAt(m) {
			continue
		}
		a.env.Log().Info("machine silent, its lease has run out", "machine", m.Name, "tasks", len(m.P))
		for _, p := range m.List() {
			if p.Durable {
				a.led.Lost(p, model.CauseLost)
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
	if len(m.Ambiguous) == 0 {
		return false
	}
	now := a.env.Now()
	for _, p := range m.P {
		if p.Stopping && !p.Seen && now-p.StopSince > stuckFor && now-m.LastHeard < 2*a.cfg.Report && a.mayArrive(m, p) {
			return true
		}
	}
	return false
}
