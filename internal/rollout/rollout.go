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

// Config of the leader's actor.
type Config struct {
	Share  float64       // of a core that the process has; 0: all
	Report time.Duration // between a worker's reports
}

// Actor moves the roll-outs of all services on, during one term.
type Actor struct {
	env     actor.Env
	led     *ledger.Ledger
	store   *statestore.Store
	token   uint64
	check   *checker
	all     map[string]*service
	active  []*service // those with a roll-out, by name
	ticked  time.Duration
	stopped bool
	// OnDeposed hears that another leads.
	OnDeposed func()
}

// service is a service as its record says, and what is known besides.
type service struct {
	name   string
	rec    *Record
	stamp  uint64
	flying bool
	// progress is when the roll-out last came nearer to its end.
	progress time.Duration
	best     int // healthy instances of the version that comes, at most so far
	ends     map[instanceID]int
	proofs   []string
	told     string
	waits    string // why it comes no further now
	dirty    time.Duration
}

const (
	// tickEvery is how often a roll-out is looked at.
	tickEvery = 500 * time.Millisecond
	// Ends by itself are written this long after the first.
	noteAfter = 2 * time.Second
	// So many changes of the state service are left for others.
	leaveWrites = 4
)

// New makes the actor of a term.
func New(env actor.Env, led *ledger.Ledger, store *statestore.Store, token uint64, cfg Config) *Actor {
	return &Actor{env: env, led: led, store: store, token: token, all: map[string]*service{},
		check: newChecker(env, cfg.Share, cfg.Report)}
}

// Load reads the services' records from the replica. Until then nothing of a
// service is started or stopped.
func (a *Actor) Load() {
	a.store.Each(Prefix, func(k string, it statestore.Item) { a.Event(k, &it) })
}

// Close ends the term.
func (a *Actor) Close() { a.stopped = true; a.check.timer.Stop() }

// Paused hears that the process was paused.
func (a *Actor) Paused(gap time.Duration) {
	a.check.stood()
	for _, s := range a.active {
		s.progress += gap
	}
}

// Event hears of a service record's change; it is durable then, and acted on.
func (a *Actor) Event(key string, it *statestore.Item) {
	name := strings.TrimPrefix(key, Prefix)
	s := a.all[name]
	if it == nil {
		if s != nil {
			a.env.Log().Error("a service's record has vanished", "service", name)
		}
		return
	}
	if s != nil && s.stamp >= it.Stamp {
		return
	}
	rec, err := Decode(name, it.Value)
	if err != nil {
		a.env.Log().Error("service record can't be read, kept as it is, nothing of it is started or stopped", "key", key, "err", err)
		return
	}
	if s == nil {
		s = &service{name: name, ends: map[instanceID]int{}}
		a.all[name] = s
	}
	was := s.rec
	s.rec, s.stamp = rec, it.Stamp
	s.progress = a.env.Now()
	if was == nil || was.N != rec.N || was.Roll == nil || rec.Roll == nil || was.Roll.Step != rec.Roll.Step {
		s.best = 0
	}
	if was == nil || was.N != rec.N {
		s.ends, s.proofs, s.waits = map[instanceID]int{}, nil, ""
		if rec.Roll != nil {
			s.proofs = rec.Roll.Proofs // of an earlier leader
		}
	}
	a.tell(s)
	i, found := slices.BinarySearchFunc(a.active, name, func(x *service, n string) int { return strings.Compare(x.name, n) })
	switch {
	case rec.Roll != nil && !found:
		a.active = slices.Insert(a.active, i, s)
	case rec.Roll == nil && found:
		a.active = slices.Delete(a.active, i, i+1)
	}
	a.apply(s, was)
}

// tell logs where a roll-out stands.
func (a *Actor) tell(s *service) {
	r := s.rec
	if r.Roll == nil {
		if s.told != "" {
			a.env.Log().Info("roll-out over", "id", r.id(s.name), "service", s.name)
			s.told = ""
		}
		return
	}
	text := fmt.Sprint(r.Roll.State, r.Roll.Step, r.Roll.Paused)
	if text != s.told {
		s.told = text
		a.env.Log().Info("roll-out", "id", r.id(s.name), "state", string(r.Roll.State), "step", r.Roll.Step+1, "of", r.steps(), "to", r.New.Job,
			"new", r.New.On.size(), "paused", r.Roll.Paused, "why", r.Roll.Why)
	}
}

// apply makes the ledger follow the record: what is wanted may be started, what
// is not is stopped.
func (a *Actor) apply(s *service, was *Record) {
	for _, v := range []*version{s.rec.Cur, s.rec.New} {
		if v == nil {
			continue
		}
		j := a.led.Jobs[v.Job]
		if j == nil {
			continue
		}
		j.Rolling = s.rec.Roll != nil
		j.Zone, j.Port, j.PerTask = "", 0, false
		if v.Check != nil {
			j.Port, j.PerTask = v.Check.Port, v.Check.PerTask
		}
		if v == s.rec.New && s.rec.Roll.Plan.ByZone && s.rec.Roll.State == Rolling {
			j.Zone = s.rec.target(a.side(s.rec.Cur, s)).zone
		}
		a.led.SetWanted(j, func(i int) bool { return i < v.Tasks && v.On.has(i) })
		for i := range j.Tasks {
			if p := j.Tasks[i].CurrentPlacement; p != nil && j.Tasks[i].Unwanted && !p.Stopping {
				a.led.Stop(p, p.Grace(), "replaced in roll-out "+s.rec.id(s.name))
			}
		}
	}
	if was != nil {
		for _, v := range []*version{was.Cur, was.New} {
			if v != nil && s.rec.Roll == nil {
				a.check.forgetJob(v.Job, v.Tasks)
			}
		}
	}
}

// Ended hears that a task of a service ended by itself.
func (a *Actor) Ended(p *ledger.Placement, cause string) {
	if p.Job.Service == "" {
		return
	}
	s := a.all[p.Job.Service]
	if s == nil || s.rec.Roll == nil || p.Stopping || p.Job.Tasks[p.Task].Unwanted {
		return
	}
	r := s.rec.Roll
	back := r.State == Returning
	if back == (s.rec.New.Job == p.Job.Spec.ID) { // only the version that comes counts
		return
	}
	s.ends[instanceID{p.Job.Spec.ID, p.Task}]++
	s.note(fmt.Sprintf("%s/%d on %s ended by itself: %s", p.Job.Spec.ID, p.Task, p.Host.Name, cause))
	if s.dirty == 0 {
		s.dirty = a.env.Now()
	}
}

func (s *service) note(proof string) {
	if len(s.proofs) < mostProofs && !slices.Contains(s.proofs, clip(proof)) {
		s.proofs = append(s.proofs, clip(proof))
	}
}

// side is what is known of a version's instances now.
func (a *Actor) side(v *version, s *service) side {
	if v == nil {
		return nil
	}
	out := make(side, v.Tasks)
	j := a.led.Jobs[v.Job]
	for i := range out {
		x := &out[i]
		x.On = v.On.has(i)
		if j == nil || i >= len(j.Tasks) {
			continue
		}
		x.Sick = len(s.ends) > 0 && s.ends[instanceID{v.Job, i}] >= s.rec.ends()
		p := j.Tasks[i].CurrentPlacement
		if p == nil {
			continue
		}
		x.Here, x.Zone = true, p.Host.Zone
		if c := a.check.all[instanceID{v.Job, i}]; c != nil && c.p == p {
			x.Healthy, x.Sick = c.healthy(a.check) && !x.Sick, x.Sick || c.sick()
		}
	}
	return out
}

func (r *Record) ends() int {
	if r.Roll == nil {
		return 1 << 30
	}
	return r.Roll.Plan.Ends
}

// Live is what the leader sees of a service's roll-out, and why it comes no further
// now; nil if there is none.
func (a *Actor) Live(name string) (*wire.RolloutLive, string) {
	s := a.all[name]
	if s == nil || s.rec.Roll == nil {
		return nil, ""
	}
	v := &wire.RolloutLive{}
	young := a.side(s.rec.New, s)
	v.NewHealthy, v.NewSick = young.healthy(), young.sick()
	v.NewUnknown = young.on() - v.NewHealthy - v.NewSick
	v.OldHealthy = a.side(s.rec.Cur, s).healthy()
	if s.rec.New.Check != nil {
		if a.check.took.TotalCount() > 0 {
			v.CheckP50MS = float64(a.check.took.ValueAtQuantile(50)) / 1000
			v.CheckP99MS = float64(a.check.took.ValueAtQuantile(99)) / 1000
		}
		v.CheckEveryS = max(s.rec.New.Check.IntervalS, a.check.every().Seconds())
	}
	return v, s.waits
}

// Tick moves all roll-outs on.
func (a *Actor) Tick() {
	now := a.env.Now()
	if a.stopped || len(a.active) == 0 || now-a.ticked < tickEvery {
		return
	}
	a.ticked = now
	for _, s := range slices.Clone(a.active) {
		if !s.flying && s.rec.Roll != nil {
			a.step(s)
		}
		if a.stopped {
			return
		}
	}
}

// over reports whether a version's job is over; ok is false while its record
// can't be read.
func (a *Actor) over(v *version) (over, ok bool) {
	if j := a.led.Jobs[v.Job]; j != nil {
		return j.Final != ledger.Open, j.Readable()
	}
	it, found := a.store.Peek(ledger.JobKey(v.Job))
	if !found {
		return false, false
	}
	rec, err := ledger.DecodeRecord(v.Job, it.Value)
	return err == nil && rec.Final != ledger.Open, err == nil
}
