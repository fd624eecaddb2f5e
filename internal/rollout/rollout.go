package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// Config configures an Actor.
type Config struct {
	CPUShare       float64       // part of a core that the process may use; 0: a whole core
	ReportInterval time.Duration // between the reports of a worker
}

// Actor advances the roll-outs of all services during one term of the leader.
type Actor struct {
	env      actor.Env
	ledger   *ledger.Ledger
	store    *statestore.Store
	token    uint64
	checker  *checker
	services map[string]*service
	active   []*service // services with a roll-out, sorted by name
	lastTick time.Duration
	stopped  bool
	// OnDeposed is called when a write shows that another node leads.
	OnDeposed func()
}

// service is a service's record and the leader's state of its roll-out.
type service struct {
	name     string
	record   *Record
	revision uint64
	writing  bool
	// lastProgress is when the roll-out last came nearer to its end.
	lastProgress time.Duration
	mostHealthy  int // largest number of healthy instances of the new version so far
	ends         map[instanceID]int
	evidence     []string
	loggedState  string
	waitReason   string        // why the roll-out doesn't advance now
	unsavedSince time.Duration // first end of an instance that isn't in the record yet; 0: none
}

const (
	// tickInterval is how often a roll-out is evaluated.
	tickInterval = 500 * time.Millisecond
	// saveEndsAfter is how long after the first unsaved exit of an instance the number of
	// such exits is written. Exits on an order to stop don't count.
	saveEndsAfter = 2 * time.Second
	// reservedWrites is how many changes of the write budget are left for other work.
	reservedWrites = 4
)

// New returns the Actor of a term.
func New(env actor.Env, led *ledger.Ledger, store *statestore.Store, token uint64, cfg Config) *Actor {
	return &Actor{env: env, ledger: led, store: store, token: token, services: map[string]*service{},
		checker: newChecker(env, cfg.CPUShare, cfg.ReportInterval)}
}

// Load reads the services' records from the replica. Until then no instance of a
// service is started or stopped.
func (a *Actor) Load() {
	a.store.Each(Prefix, func(k string, it statestore.Item) { a.Event(k, &it) })
}

// Close ends the term.
func (a *Actor) Close() { a.stopped = true; a.checker.timer.Stop() }

// Paused is called after the process was paused for gap, which doesn't count as time
// without progress.
func (a *Actor) Paused(gap time.Duration) {
	a.checker.discardInFlight()
	for _, s := range a.active {
		s.lastProgress += gap
	}
}

// Event handles a change of a service's record. The change is durable, so the leader
// acts on it.
func (a *Actor) Event(key string, it *statestore.Item) {
	name := strings.TrimPrefix(key, Prefix)
	s := a.services[name]
	if it == nil {
		if s != nil {
			a.env.Log().Error("service record was deleted unexpectedly", "service", name)
		}
		return
	}
	if s != nil && s.revision >= it.Revision {
		return
	}
	rec, err := Decode(name, it.Value)
	if err != nil {
		a.env.Log().Error("service record can't be read, left unchanged; no instance of the service is started or stopped", "key", key, "err", err)
		return
	}
	if s == nil {
		s = &service{name: name, ends: map[instanceID]int{}}
		a.services[name] = s
	}
	previous := s.record
	s.record, s.revision = rec, it.Revision
	s.lastProgress = a.env.Now()
	if previous == nil || previous.Number != rec.Number || previous.Rollout == nil || rec.Rollout == nil || previous.Rollout.Step != rec.Rollout.Step {
		s.mostHealthy = 0
	}
	if previous == nil || previous.Number != rec.Number {
		s.ends, s.evidence, s.waitReason = map[instanceID]int{}, nil, ""
		if rec.Rollout != nil {
			s.evidence = rec.Rollout.Evidence // collected by an earlier leader
		}
	}
	a.logState(s)
	i, found := slices.BinarySearchFunc(a.active, name, func(x *service, n string) int { return strings.Compare(x.name, n) })
	switch {
	case rec.Rollout != nil && !found:
		a.active = slices.Insert(a.active, i, s)
	case rec.Rollout == nil && found:
		a.active = slices.Delete(a.active, i, i+1)
	}
	a.updateLedger(s, previous)
}

// logState logs the state of a roll-out when it has changed.
func (a *Actor) logState(s *service) {
	r := s.record
	if r.Rollout == nil {
		if s.loggedState != "" {
			a.env.Log().Info("roll-out ended", "id", r.id(s.name), "service", s.name)
			s.loggedState = ""
		}
		return
	}
	text := fmt.Sprint(r.Rollout.State, r.Rollout.Step, r.Rollout.Paused)
	if text != s.loggedState {
		s.loggedState = text
		a.env.Log().Info("roll-out", "id", r.id(s.name), "state", string(r.Rollout.State), "step", r.Rollout.Step+1, "of", r.steps(), "to", r.New.Job,
			"new", r.New.Wanted.size(), "paused", r.Rollout.Paused, "why", r.Rollout.Why)
	}
}

// updateLedger makes the ledger follow the record: wanted instances may be started,
// the others are stopped.
func (a *Actor) updateLedger(s *service, previous *Record) {
	for _, v := range []*version{s.record.Current, s.record.New} {
		if v == nil {
			continue
		}
		j := a.ledger.Jobs[v.Job]
		if j == nil {
			continue
		}
		j.Rolling = s.record.Rollout != nil
		j.Zone, j.Port, j.PerTask = "", 0, false
		if v.Health != nil {
			j.Port, j.PerTask = v.Health.Port, v.Health.PerTask
		}
		if v == s.record.New && s.record.Rollout.Plan.ByZone && s.record.Rollout.State == Rolling {
			j.Zone = s.record.target(a.instancesOf(s.record.Current, s)).zone
		}
		a.ledger.SetWanted(j, func(i int) bool { return i < v.Tasks && v.Wanted.has(i) })
		for i := range j.Tasks {
			if p := j.Tasks[i].CurrentPlacement; p != nil && j.Tasks[i].Unwanted && !p.Stopping {
				a.ledger.Stop(p, p.Grace(), "replaced in roll-out "+s.record.id(s.name))
			}
		}
	}
	if previous != nil {
		for _, v := range []*version{previous.Current, previous.New} {
			if v != nil && s.record.Rollout == nil {
				a.checker.forgetJob(v.Job, v.Tasks)
			}
		}
	}
}

// Ended handles the end of a service's task that ended by itself.
func (a *Actor) Ended(p *ledger.Placement, cause string) {
	if p.Job.Service == "" {
		return
	}
	s := a.services[p.Job.Service]
	if s == nil || s.record.Rollout == nil || p.Stopping || p.Job.Tasks[p.Task].Unwanted {
		return
	}
	r := s.record.Rollout
	rollingBack := r.State == RollingBack
	if rollingBack == (s.record.New.Job == p.Job.Spec.ID) { // only ends of the incoming version count
		return
	}
	s.ends[instanceID{p.Job.Spec.ID, p.Task}]++
	s.addEvidence(fmt.Sprintf("%s/%d on %s ended by itself: %s", p.Job.Spec.ID, p.Task, p.Host.Name, cause))
	if s.unsavedSince == 0 {
		s.unsavedSince = a.env.Now()
	}
}

func (s *service) addEvidence(text string) {
	if len(s.evidence) < maxEvidence && !slices.Contains(s.evidence, clip(text)) {
		s.evidence = append(s.evidence, clip(text))
	}
}

// instancesOf returns the current state of a version's instances.
func (a *Actor) instancesOf(v *version, s *service) instances {
	if v == nil {
		return nil
	}
	out := make(instances, v.Tasks)
	j := a.ledger.Jobs[v.Job]
	for i := range out {
		x := &out[i]
		x.Wanted = v.Wanted.has(i)
		if j == nil || i >= len(j.Tasks) {
			continue
		}
		x.Sick = len(s.ends) > 0 && s.ends[instanceID{v.Job, i}] >= s.record.maxEnds()
		p := j.Tasks[i].CurrentPlacement
		if p == nil {
			continue
		}
		x.Placed, x.Zone = true, p.Host.Zone
		if c := a.checker.instances[instanceID{v.Job, i}]; c != nil && c.placement == p {
			x.Healthy, x.Sick = c.healthy(a.checker) && !x.Sick, x.Sick || c.sick()
		}
	}
	return out
}

func (r *Record) maxEnds() int {
	if r.Rollout == nil {
		return 1 << 30
	}
	return r.Rollout.Plan.Ends
}

// Live returns the state of the instances in a service's roll-out and why it doesn't
// advance now; nil if there is no roll-out.
func (a *Actor) Live(name string) (*wire.RolloutLive, string) {
	s := a.services[name]
	if s == nil || s.record.Rollout == nil {
		return nil, ""
	}
	v := &wire.RolloutLive{}
	updated := a.instancesOf(s.record.New, s)
	v.NewHealthy, v.NewSick = updated.healthy(), updated.sick()
	v.NewUnknown = updated.wanted() - v.NewHealthy - v.NewSick
	v.OldHealthy = a.instancesOf(s.record.Current, s).healthy()
	if s.record.New.Health != nil {
		if a.checker.latencies.TotalCount() > 0 {
			v.CheckP50MS = float64(a.checker.latencies.ValueAtQuantile(50)) / 1000
			v.CheckP99MS = float64(a.checker.latencies.ValueAtQuantile(99)) / 1000
		}
		v.CheckEveryS = max(s.record.New.Health.IntervalS, a.checker.fullRound().Seconds())
	}
	return v, s.waitReason
}

// Tick advances all roll-outs.
func (a *Actor) Tick() {
	now := a.env.Now()
	if a.stopped || len(a.active) == 0 || now-a.lastTick < tickInterval {
		return
	}
	a.lastTick = now
	for _, s := range slices.Clone(a.active) {
		if !s.writing && s.record.Rollout != nil {
			a.step(s)
		}
		if a.stopped {
			return
		}
	}
}

// jobOver reports whether a version's job is over; ok is false while its record is
// missing or can't be read.
func (a *Actor) jobOver(v *version) (over, ok bool) {
	if j := a.ledger.Jobs[v.Job]; j != nil {
		return j.Final != ledger.Open, j.Readable()
	}
	it, found := a.store.Peek(ledger.JobKey(v.Job))
	if !found {
		return false, false
	}
	rec, err := ledger.DecodeRecord(v.Job, it.Value)
	return err == nil && rec.Final != ledger.Open, err == nil
}
