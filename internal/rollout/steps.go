package rollout

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"
)

// step advances one roll-out, with at most one write.
func (a *Actor) step(s *service) {
	rec := s.record
	r := rec.Rollout
	newOver, ok := a.jobOver(rec.New)
	if !ok {
		s.waitReason = "the record of " + rec.New.Job + " can't be read"
		return
	}
	if rec.Current != nil {
		curOver, ok := a.jobOver(rec.Current)
		if !ok {
			s.waitReason = "the record of " + rec.Current.Job + " can't be read"
			return
		}
		if curOver {
			a.finish(s, Withdrawn, "its version "+rec.Current.Job+" was withdrawn by its user")
			return
		}
	}
	if j := a.ledger.Jobs[rec.New.Job]; j != nil && !j.Rolling {
		a.updateLedger(s, nil) // the job's record arrived after the service's
	}
	a.watch(s)
	old, updated := a.instancesOf(rec.Current, s), a.instancesOf(rec.New, s)
	switch {
	case r.State == Stuck:
		s.waitReason = r.Why
	case newOver && r.State != RollingBack:
		a.rollBack(s, rec.New.Job+" was withdrawn by its user")
	case r.State == RollingBack:
		a.continueRollback(s, old, updated, newOver)
	case r.State == Waiting:
		a.awaitOther(s)
	default:
		a.advance(s, old, updated)
	}
	if s.unsavedSince > 0 && !s.writing && a.env.Now()-s.unsavedSince > saveEndsAfter && s.record.Rollout != nil {
		a.write(s, rec.copy(), nil, nil)
	}
}

// watch begins the checks of both versions' wanted instances and ends those of others.
func (a *Actor) watch(s *service) {
	for _, v := range []*version{s.record.Current, s.record.New} {
		if v == nil {
			continue
		}
		j := a.ledger.Jobs[v.Job]
		if j == nil {
			a.checker.forgetJob(v.Job, v.Tasks)
			continue
		}
		for i := 0; i < v.Tasks && i < len(j.Tasks); i++ {
			if v.Wanted.has(i) {
				a.checker.watch(j, i, v.Health)
			} else if x := a.checker.instances[instanceID{v.Job, i}]; x != nil {
				a.checker.forget(instanceID{v.Job, i}, x)
			}
		}
	}
}

func (a *Actor) bounds(rec *Record) bounds {
	old := 0
	if rec.Current != nil {
		old = rec.Current.Tasks
	}
	p, n := rec.Rollout.Plan, rec.New.Tasks
	return newBounds(old, n, p.Surge.Of(n), p.Unavailable.Of(n))
}

// failureReason returns why the roll-out of the new version must stop, "" if it may
// continue.
func (a *Actor) failureReason(s *service, updated instances) string {
	p := s.record.Rollout.Plan
	tolerate := p.Tolerate.Of(s.record.New.Tasks)
	sick := 0
	for i := range updated {
		if !updated[i].Wanted || !updated[i].Sick {
			continue
		}
		sick++
		if c := a.checker.instances[instanceID{s.record.New.Job, i}]; c != nil && c.sick() {
			s.addEvidence(c.evidence())
		}
	}
	all := s.record.Rollout.Ends
	if s.unsavedSince > 0 {
		all = max(all, s.newVersionEnds())
	}
	switch {
	case sick > tolerate:
		return fmt.Sprintf("%d of %d new instances are sick: %s", sick, updated.wanted(), s.latestEvidence())
	case all >= p.Ends+tolerate+updated.wanted()/10:
		return fmt.Sprintf("new instances ended by themselves %d times: %s", all, s.latestEvidence())
	}
	return ""
}

func (s *service) newVersionEnds() (n int) {
	for id, k := range s.ends {
		if id.job == s.record.New.Job {
			n += k
		}
	}
	return n
}

func (s *service) latestEvidence() string {
	if len(s.evidence) == 0 {
		return "no evidence was kept"
	}
	return s.evidence[len(s.evidence)-1]
}

// advance moves a roll-out towards the new version. It rolls back if the new version
// fails or makes no progress for too long.
func (a *Actor) advance(s *service, old, updated instances) {
	rec, r := s.record, s.record.Rollout
	if why := a.failureReason(s, updated); why != "" {
		a.rollBack(s, why)
		return
	}
	if r.State == Rolling && updated.wanted() == 0 {
		if port := a.conflictingPort(rec.New); port > 0 {
			a.finish(s, RolledBack, fmt.Sprintf("not begun: port %d is the workers' own", port))
			return
		}
	}
	if n := updated.healthy(); n > s.mostHealthy {
		s.mostHealthy, s.lastProgress = n, a.env.Now()
	}
	if r.Plan.ByZone && r.Zones == nil && rec.Current != nil {
		a.recordZones(s, old)
		return
	}
	t := rec.target(old)
	t.newCount = max(t.newCount, updated.wanted())
	healthyEnough := updated.healthy() >= t.newCount-r.Plan.Tolerate.Of(rec.New.Tasks)
	switch r.State {
	case Rolling:
		a.replaceInstances(s, old, updated, t, healthyEnough)
	case Baking, Watching:
		a.observe(s, updated, t, healthyEnough)
	}
}

// replaceInstances starts and stops instances until a step's target is reached. Then the step is
// observed.
func (a *Actor) replaceInstances(s *service, old, updated instances, t target, healthyEnough bool) {
	rec := s.record
	s.waitReason = a.waitReason(s, updated, t)
	if rec.Rollout.Paused {
		s.waitReason, s.lastProgress = "paused", a.env.Now()
		return
	}
	if a.rollBackIfStalled(s) {
		return
	}
	reached := updated.wanted() >= t.newCount && healthyEnough && old.wanted() <= t.oldCount && old.allStopped() && updated.allStopped()
	mayStop := func(i int) bool { return t.zone == "" || rec.mayReplace(old[i].Zone) }
	start, stop := swap(updated, old, t.newCount, t.oldCount, a.bounds(rec), mayStop)
	if len(start)+len(stop) > 0 {
		c := rec.copy()
		c.New.Wanted.add(start)
		if c.Current != nil { // a roll-out that begins a service replaces nothing
			c.Current.Wanted.remove(stop)
		}
		c.Rollout.Why = clip(s.waitReason)
		a.write(s, c, nil, nil)
		return
	}
	if reached {
		c := rec.copy()
		c.Rollout.SinceMS, c.Rollout.Why = a.env.Wall().UnixMilli(), ""
		c.Rollout.State = Baking
		if t.last {
			c.Rollout.State = Watching
		}
		a.write(s, c, nil, nil)
	}
}

// observe waits until a step has been observed for as long as planned, and then begins the next one
// or ends the roll-out.
func (a *Actor) observe(s *service, updated instances, t target, healthyEnough bool) {
	r := s.record.Rollout
	last := r.State == Watching
	wait := r.Plan.BakeS
	if last {
		wait = max(r.Plan.WindowS, r.Plan.BakeS)
	}
	observed := time.Duration(a.env.Wall().UnixMilli()-r.SinceMS) * time.Millisecond
	rest := time.Duration(wait*float64(time.Second)) - observed
	s.waitReason = fmt.Sprintf("watched for another %.0f s", max(0, rest.Seconds()))
	switch {
	case r.Paused:
		s.waitReason, s.lastProgress = "paused", a.env.Now()
	case rest > 0:
		s.lastProgress = a.env.Now()
	case !healthyEnough:
		s.waitReason = a.waitReason(s, updated, t)
		a.rollBackIfStalled(s)
	case last:
		a.finish(s, Done, "")
	default:
		c := s.record.copy()
		c.Rollout.State, c.Rollout.Step, c.Rollout.SinceMS = Rolling, r.Step+1, a.env.Wall().UnixMilli()
		a.write(s, c, nil, nil)
	}
}

// rollBackIfStalled rolls back if there was no progress for longer than the plan allows, and
// reports whether it did.
func (a *Actor) rollBackIfStalled(s *service) bool {
	stall := time.Duration(s.record.Rollout.Plan.StallS * float64(time.Second))
	without := a.env.Now() - s.lastProgress
	if without <= stall {
		return false
	}
	a.rollBack(s, fmt.Sprintf("no progress for %.0f s: %s", without.Seconds(), s.waitReason))
	return true
}

// conflictingPort returns a port of the version's checks that is also the port of a
// machine's worker, 0 if there is none.
func (a *Actor) conflictingPort(v *version) int {
	if v.Health == nil {
		return 0
	}
	last := v.Health.Port
	if v.Health.PerTask {
		last += v.Tasks - 1
	}
	for _, m := range a.ledger.MachinesByName() {
		if _, text, err := net.SplitHostPort(m.ListedAddr); err == nil {
			if port, err := strconv.Atoi(text); err == nil && port >= v.Health.Port && port <= last {
				return port
			}
		}
	}
	return 0
}

// mayReplace reports whether instances in the zone may be replaced in this step.
func (r *Record) mayReplace(zone string) bool {
	i := slices.Index(r.Rollout.Zones, zone)
	return i <= r.Rollout.Step // also for zones that are not in the list: i is -1
}

// waitReason describes in a sentence what a roll-out waits for.
func (a *Actor) waitReason(s *service, updated instances, t target) string {
	text := fmt.Sprintf("%d of %d new instances are healthy", updated.healthy(), t.newCount)
	unknown, placed := 0, 0
	for i := range updated {
		if x := &updated[i]; x.Wanted && x.Placed {
			placed++
			if !x.Healthy && !x.Sick {
				unknown++
			}
		}
	}
	if j := a.ledger.Jobs[s.record.New.Job]; j != nil && placed < updated.wanted() && j.WaitReason != "" {
		return text + ", others have no machine: " + j.WaitReason
	}
	if unknown > 0 {
		text += fmt.Sprintf(", of %d nothing is known yet or any more", unknown)
	}
	return text
}

// recordZones writes the order in which a roll-out by zone replaces the instances.
func (a *Actor) recordZones(s *service, old instances) {
	zones := []string{}
	for i := range old {
		if x := &old[i]; x.Wanted && x.Zone != "" && !slices.Contains(zones, x.Zone) {
			zones = append(zones, x.Zone)
		}
	}
	if len(zones) == 0 {
		s.waitReason = "no instance of the old version is known to run"
		return
	}
	slices.Sort(zones)
	c := s.record.copy()
	c.Rollout.Zones = zones
	a.write(s, c, nil, nil)
}

// awaitOther begins a roll-out once the roll-out of another service, for which it
// waits, has succeeded.
func (a *Actor) awaitOther(s *service) {
	after := s.record.Rollout.Plan.After
	other := a.services[after]
	s.waitReason = "waits for the roll-out of " + after
	if other == nil || other.record.Rollout != nil {
		return
	}
	it, ok := a.store.Peek(HistoryKey(after, other.record.Number))
	if !ok {
		return
	}
	p, err := decodePast(after, it.Value)
	if err != nil {
		s.waitReason = err.Error()
		return
	}
	if p.State != Done {
		a.finish(s, RolledBack, fmt.Sprintf("not begun: roll-out %s/%d of another service ended as %s", after, p.Number, p.State))
		return
	}
	c := s.record.copy()
	c.Rollout.State, c.Rollout.SinceMS = Rolling, a.env.Wall().UnixMilli()
	a.write(s, c, nil, nil)
}

// rollBack begins the return to the old version. Without an old version the roll-out
// becomes stuck.
func (a *Actor) rollBack(s *service, why string) {
	c := s.record.copy()
	c.Rollout.State, c.Rollout.Why, c.Rollout.SinceMS, c.Rollout.Paused = RollingBack, clip(why), a.env.Wall().UnixMilli(), false
	if c.Current == nil {
		c.Rollout.State, c.Rollout.Why = Stuck, clip(why+"; there is no earlier version to go back to, what runs is kept")
	}
	a.env.Log().Info("roll-out stopped", "id", c.id(s.name), "state", string(c.Rollout.State), "why", why)
	a.write(s, c, nil, nil)
}

// continueRollback advances the return to the old version.
func (a *Actor) continueRollback(s *service, old, updated instances, newOver bool) {
	rec := s.record
	tolerate := rec.Rollout.Plan.Tolerate.Of(rec.New.Tasks)
	sick := 0
	for i := range old {
		if old[i].Wanted && old[i].Placed && old[i].Sick {
			sick++
			if c := a.checker.instances[instanceID{rec.Current.Job, i}]; c != nil && c.sick() {
				s.addEvidence(c.evidence())
			}
		}
	}
	if sick > tolerate {
		c := rec.copy()
		c.Rollout.State, c.Rollout.SinceMS = Stuck, a.env.Wall().UnixMilli()
		c.Rollout.Why = clip(fmt.Sprintf("the old version %s fails, too: %s; what runs is kept; first it had been: %s", rec.Current.Job, s.latestEvidence(), rec.Rollout.Why))
		a.env.Log().Error("roll-out is stuck", "id", rec.id(s.name), "why", c.Rollout.Why)
		a.write(s, c, nil, nil)
		return
	}
	start, stop := swap(old, updated, len(old), 0, a.bounds(rec), func(int) bool { return true })
	if newOver { // its instances are stopped with the job
		stop = nil
		for i, ok := rec.New.Wanted.NextSet(0); ok; i, ok = rec.New.Wanted.NextSet(i + 1) {
			stop = append(stop, int(i))
		}
	}
	if len(start)+len(stop) > 0 {
		c := rec.copy()
		c.Current.Wanted.add(start)
		c.New.Wanted.remove(stop)
		a.write(s, c, nil, nil)
		return
	}
	s.waitReason = fmt.Sprintf("%d of %d instances of the old version are healthy again", old.healthy(), len(old))
	if old.wanted() == len(old) && old.healthy() >= len(old)-tolerate && updated.wanted() == 0 && updated.allStopped() {
		a.finish(s, RolledBack, rec.Rollout.Why)
	}
}
