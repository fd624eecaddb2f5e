package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
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
	cfg     Config
	check   *checker
	all     map[string]*service
	active  []*service // those with a roll-out, by name
	began   time.Duration
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

// New makes the actor of a term. listed tells a machine's address by the cloud's
// list.
func New(env actor.Env, led *ledger.Ledger, store *statestore.Store, token uint64, cfg Config) *Actor {
	return &Actor{env: env, led: led, store: store, token: token, cfg: cfg, all: map[string]*service{}, began: env.Now(),
		check: newChecker(env, cfg.Share, cfg.Report, func(m *ledger.Machine) string { return m.ListedAddr })}
}

// Load reads the services' records from the replica. Until then nothing of a
// service is started or stopped.
func (a *Actor) Load() {
	a.store.Each(Prefix, func(k string, it statestore.Item) { a.Event(k, &it) })
}

// Close ends the term.
func (a *Actor) Close() { a.stopped = true; a.check.timer.Stop() }

// Stood hears that the process stood still.
func (a *Actor) Stood(gap time.Duration) {
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
			if p := j.Tasks[i].P; p != nil && j.Tasks[i].Off && !p.Stopping {
				grace := 0.0
				if j.Spec.CheckpointS > 0 && p.Phase == model.Running {
					grace = j.Spec.SaveS + 1
				}
				a.led.Stop(p, grace, "replaced in roll-out "+s.rec.id(s.name))
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
	if s == nil || s.rec.Roll == nil || p.Stopping || p.Job.Tasks[p.Task].Off {
		return
	}
	r := s.rec.Roll
	back := r.State == Returning
	if back == (s.rec.New.Job == p.Job.Spec.ID) { // only the version that comes counts
		return
	}
	s.ends[instanceID{p.Job.Spec.ID, p.Task}]++
	s.note(fmt.Sprintf("%s/%d on %s ended by itself: %s", p.Job.Spec.ID, p.Task, p.M.Name, cause))
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
		p := j.Tasks[i].P
		if p == nil {
			continue
		}
		x.Here, x.Zone = true, p.M.Zone
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
		v.EveryS = max(s.rec.New.Check.IntervalS, a.check.every().Seconds())
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

// step moves one roll-out on, by at most one write.
func (a *Actor) step(s *service) {
	rec := s.rec
	r := rec.Roll
	newOver, ok := a.over(rec.New)
	if !ok {
		s.waits = "the record of " + rec.New.Job + " can't be read"
		return
	}
	if rec.Cur != nil {
		curOver, ok := a.over(rec.Cur)
		if !ok {
			s.waits = "the record of " + rec.Cur.Job + " can't be read"
			return
		}
		if curOver {
			a.finish(s, Withdrawn, "its version "+rec.Cur.Job+" was withdrawn by its user")
			return
		}
	}
	if j := a.led.Jobs[rec.New.Job]; j != nil && !j.Rolling {
		a.apply(s, nil) // the job's record came after the service's
	}
	a.watch(s)
	old, young := a.side(rec.Cur, s), a.side(rec.New, s)
	switch {
	case r.State == Stuck:
		s.waits = r.Why
	case newOver && r.State != Returning:
		a.turn(s, rec.New.Job+" was withdrawn by its user")
	case r.State == Returning:
		a.back(s, old, young, newOver)
	case r.State == Waiting:
		a.await(s)
	default:
		a.forward(s, old, young)
	}
	if s.dirty > 0 && !s.flying && a.env.Now()-s.dirty > noteAfter && s.rec.Roll != nil {
		a.write(s, rec.copy(), nil, nil)
	}
}

// watch has the running instances of both versions checked.
func (a *Actor) watch(s *service) {
	for _, v := range []*version{s.rec.Cur, s.rec.New} {
		if v == nil {
			continue
		}
		j := a.led.Jobs[v.Job]
		if j == nil {
			a.check.forgetJob(v.Job, v.Tasks)
			continue
		}
		for i := 0; i < v.Tasks && i < len(j.Tasks); i++ {
			if v.On.has(i) {
				a.check.watch(j, i, v.Check)
			} else if x := a.check.all[instanceID{v.Job, i}]; x != nil {
				a.check.forget(instanceID{v.Job, i}, x)
			}
		}
	}
}

func (a *Actor) bounds(rec *Record) bounds {
	old := 0
	if rec.Cur != nil {
		old = rec.Cur.Tasks
	}
	p, n := rec.Roll.Plan, rec.New.Tasks
	return boundsOf(old, n, p.Surge.Of(n), p.Unavailable.Of(n))
}

// failed says why the new version must not go on, "" if nothing speaks against it.
func (a *Actor) failed(s *service, young side) string {
	p := s.rec.Roll.Plan
	tolerate := p.Tolerate.Of(s.rec.New.Tasks)
	sick := 0
	for i := range young {
		if !young[i].On || !young[i].Sick {
			continue
		}
		sick++
		if c := a.check.all[instanceID{s.rec.New.Job, i}]; c != nil && c.sick() {
			s.note(c.proof())
		}
	}
	all := s.rec.Roll.Ends
	if s.dirty > 0 {
		all = max(all, s.newEnds())
	}
	switch {
	case sick > tolerate:
		return fmt.Sprintf("%d of %d new instances are sick: %s", sick, young.on(), s.last())
	case all >= p.Ends+tolerate+young.on()/10:
		return fmt.Sprintf("new instances ended by themselves %d times: %s", all, s.last())
	}
	return ""
}

func (s *service) newEnds() (n int) {
	for id, k := range s.ends {
		if id.job == s.rec.New.Job {
			n += k
		}
	}
	return n
}

func (s *service) last() string {
	if len(s.proofs) == 0 {
		return "no evidence was kept"
	}
	return s.proofs[len(s.proofs)-1]
}

// forward moves a roll-out on whose new version does well so far.
func (a *Actor) forward(s *service, old, young side) {
	rec, r := s.rec, s.rec.Roll
	if why := a.failed(s, young); why != "" {
		a.turn(s, why)
		return
	}
	now := a.env.Now()
	tolerate := r.Plan.Tolerate.Of(rec.New.Tasks)
	if n := young.healthy(); n > s.best {
		s.best, s.progress = n, now
	}
	stall := time.Duration(r.Plan.StallS * float64(time.Second))
	if r.Plan.ByZone && r.Zones == nil && rec.Cur != nil {
		a.findZones(s, old)
		return
	}
	t := rec.target(old)
	t.k = max(t.k, young.on())
	well := young.healthy() >= t.k-tolerate
	since := time.Duration(a.env.Wall().UnixMilli()-r.Since) * time.Millisecond
	switch r.State {
	case Rolling:
		s.waits = a.waiting(s, young, t)
		if r.Paused {
			s.waits, s.progress = "paused", now
			return
		}
		if now-s.progress > stall {
			a.turn(s, fmt.Sprintf("no progress for %.0f s: %s", (now-s.progress).Seconds(), s.waits))
			return
		}
		done := young.on() >= t.k && well && old.on() <= t.keep && old.gone() && young.gone()
		on, off := swap(young, old, t.k, t.keep, a.bounds(rec), func(i int) bool { return t.zone == "" || rec.mayGo(old[i].Zone) })
		if len(on)+len(off) > 0 {
			c := rec.copy()
			c.enable(c.New, on)
			c.disable(c.Cur, off)
			c.Roll.Why = clip(s.waits)
			a.write(s, c, nil, nil)
			return
		}
		if done {
			c := rec.copy()
			c.Roll.Since, c.Roll.Why = a.env.Wall().UnixMilli(), ""
			c.Roll.State = Baking
			if t.last {
				c.Roll.State = Watching
			}
			a.write(s, c, nil, nil)
		}
	case Baking, Watching:
		last := r.State == Watching
		wait := r.Plan.BakeS
		if last {
			wait = max(r.Plan.WindowS, r.Plan.BakeS)
		}
		rest := time.Duration(wait*float64(time.Second)) - since
		s.waits = fmt.Sprintf("watched for another %.0f s", max(0, rest.Seconds()))
		switch {
		case r.Paused:
			s.waits, s.progress = "paused", now
		case rest > 0:
			s.progress = now
		case !well:
			s.waits = a.waiting(s, young, t)
			if now-s.progress > stall {
				a.turn(s, fmt.Sprintf("no progress for %.0f s: %s", (now-s.progress).Seconds(), s.waits))
			}
		case last:
			a.finish(s, Done, "")
		default:
			c := rec.copy()
			c.Roll.State, c.Roll.Step, c.Roll.Since = Rolling, r.Step+1, a.env.Wall().UnixMilli()
			a.write(s, c, nil, nil)
		}
	}
}

// mayGo reports whether instances in the zone may be replaced by now.
func (r *Record) mayGo(zone string) bool {
	i := slices.Index(r.Roll.Zones, zone)
	return i <= r.Roll.Step // unknown ones too
}

func (r *Record) enable(v *version, is []int) {
	for _, i := range is {
		v.On.Set(uint(i))
	}
}

func (r *Record) disable(v *version, is []int) {
	for _, i := range is {
		v.On.Clear(uint(i))
	}
}

// waiting says in a sentence what a roll-out waits for.
func (a *Actor) waiting(s *service, young side, t target) string {
	text := fmt.Sprintf("%d of %d new instances are healthy", young.healthy(), t.k)
	unknown, placed := 0, 0
	for i := range young {
		if x := &young[i]; x.On && x.Here {
			placed++
			if !x.Healthy && !x.Sick {
				unknown++
			}
		}
	}
	if j := a.led.Jobs[s.rec.New.Job]; j != nil && placed < young.on() && j.Waits != "" {
		return text + ", others have no machine: " + j.Waits
	}
	if unknown > 0 {
		text += fmt.Sprintf(", of %d nothing is known yet or any more", unknown)
	}
	return text
}

// findZones fixes the order of the zones of a roll-out that goes by zone.
func (a *Actor) findZones(s *service, old side) {
	zones := []string{}
	for i := range old {
		if x := &old[i]; x.On && x.Zone != "" && !slices.Contains(zones, x.Zone) {
			zones = append(zones, x.Zone)
		}
	}
	if len(zones) == 0 {
		s.waits = "no instance of the old version is known to run"
		return
	}
	slices.Sort(zones)
	c := s.rec.copy()
	c.Roll.Zones = zones
	a.write(s, c, nil, nil)
}

// await begins a roll-out that waits for another service's.
func (a *Actor) await(s *service) {
	after := s.rec.Roll.Plan.After
	other := a.all[after]
	s.waits = "waits for the roll-out of " + after
	if other == nil || other.rec.Roll != nil {
		return
	}
	it, ok := a.store.Peek(HistoryKey(after, other.rec.N))
	if !ok {
		return
	}
	p, err := decodePast(after, it.Value)
	if err != nil {
		s.waits = err.Error()
		return
	}
	if p.State != Done {
		a.finish(s, Returned, fmt.Sprintf("not begun: roll-out %s/%d of another service ended as %s", after, p.N, p.State))
		return
	}
	c := s.rec.copy()
	c.Roll.State, c.Roll.Since = Rolling, a.env.Wall().UnixMilli()
	a.write(s, c, nil, nil)
}

// turn stops a roll-out: the old version comes back, if there is one.
func (a *Actor) turn(s *service, why string) {
	c := s.rec.copy()
	c.Roll.State, c.Roll.Why, c.Roll.Since, c.Roll.Paused = Returning, clip(why), a.env.Wall().UnixMilli(), false
	if c.Cur == nil {
		c.Roll.State, c.Roll.Why = Stuck, clip(why+"; there is no earlier version to go back to, what runs is kept")
	}
	a.env.Log().Info("roll-out stops", "id", c.id(s.name), "state", string(c.Roll.State), "why", why)
	a.write(s, c, nil, nil)
}

// back moves a return to the old version on.
func (a *Actor) back(s *service, old, young side, newOver bool) {
	rec := s.rec
	tolerate := rec.Roll.Plan.Tolerate.Of(rec.New.Tasks)
	sick := 0
	for i := range old {
		if old[i].On && old[i].Here && old[i].Sick {
			sick++
			if c := a.check.all[instanceID{rec.Cur.Job, i}]; c != nil && c.sick() {
				s.note(c.proof())
			}
		}
	}
	if sick > tolerate {
		c := rec.copy()
		c.Roll.State, c.Roll.Since = Stuck, a.env.Wall().UnixMilli()
		c.Roll.Why = clip(fmt.Sprintf("the old version %s fails, too: %s; what runs is kept; first it had been: %s", rec.Cur.Job, s.last(), rec.Roll.Why))
		a.env.Log().Error("roll-out is stuck", "id", rec.id(s.name), "why", c.Roll.Why)
		a.write(s, c, nil, nil)
		return
	}
	on, off := swap(old, young, len(old), 0, a.bounds(rec), func(int) bool { return true })
	if newOver { // its instances go by themselves
		off = nil
		for i, ok := rec.New.On.NextSet(0); ok; i, ok = rec.New.On.NextSet(i + 1) {
			off = append(off, int(i))
		}
	}
	if len(on)+len(off) > 0 {
		c := rec.copy()
		c.enable(c.Cur, on)
		c.disable(c.New, off)
		a.write(s, c, nil, nil)
		return
	}
	s.waits = fmt.Sprintf("%d of %d instances of the old version are healthy again", old.healthy(), len(old))
	if old.on() == len(old) && old.healthy() >= len(old)-tolerate && young.on() == 0 && young.gone() {
		a.finish(s, Returned, rec.Roll.Why)
	}
}
