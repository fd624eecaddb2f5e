package placement

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Hold is room kept for a job for which other tasks were stopped.
type Hold struct {
	Job   *ledger.Job
	Until time.Duration
	// Warm: the machine was chosen for the image it has.
	Warm bool
	// Move: the room is the target of a move, whose task still runs elsewhere.
	Move bool
}

const (
	// Room made for a job is kept for it this long.
	holdFor = 20 * time.Second
	// The rate of fetches is given or take a third.
	slowFetch = 1.5
	// A start that is stopped this soon counts for nobody.
	freshStart = 30 * time.Second
	// Seconds that stopping work of equal priority counts more. A machine may
	// be full of small tasks that each cost some seconds: they go first still.
	equalPenalty = 1000
)

type victim struct {
	p    *ledger.Placement
	loss float64
}

// loss is how many seconds of work stopping the task costs, ok false if it
// should not be stopped at all.
func loss(p *ledger.Placement, now time.Duration) (float64, bool) {
	s := p.Job.Spec
	if s.Kind == model.Gang && len(p.Job.Tasks) > 1 {
		return 0, false
	}
	if p.Stopping || p.Job.Faulty() {
		return 0, true
	}
	if p.Phase != model.Running && p.Phase != model.Saving {
		return 2 + (now-p.Since).Seconds()/2, true
	}
	ran := (now - p.RunSince).Seconds()
	cost := ran
	if s.CheckpointS > 0 {
		cost = min(ran, s.SaveS) + 2
	}
	if now-p.RunSince < freshStart {
		cost += 15
	}
	if s.Kind != model.Service && s.EstimateS > 0 && ran > 0.8*p.Job.EstimateS() {
		cost += 20 // about to complete by itself
	}
	return cost + 3, true
}

// mayStop says whether a job may take the place of a task. A larger claim on a
// guarantee never yields to a smaller one; with claims alike, work yields to higher
// priority; and what has no claim and runs beyond its team's guarantee yields,
// whatever its priority, to another team's claim. That is an
// order: if work of high priority beyond its team's guarantee could stop what
// is within, and the other way round, the two would take turns (tbilisi grown,
// rough: a task stopped fifty times). What runs within its class's floor yields only to
// another team's promise, from beyond its own team's guarantee; a floor by itself
// stops lower priority only.
func (st *Stops) mayStop(j *ledger.Job, p *ledger.Placement) bool {
	if p.Job == j || p.Job.Final != ledger.Open {
		return false
	}
	lower := p.Job.Spec.Priority < j.Spec.Priority
	mine, other := st.claims[j], st.claims[p.Job]
	switch {
	case other > mine:
		return false
	case other.floored() && (mine != Promised || other == FloorWithin || p.Job.Spec.Team == j.Spec.Team):
		return false
	case mine == Floor:
		return lower && other == NoClaim
	case other == Floor:
	case p.Job.Spec.Team == j.Spec.Team || other == mine || other != NoClaim:
		return lower
	}
	t := st.l.Teams[p.Job.Spec.Team]
	if lower || t == nil || (t.CPUs <= 0 && t.GPUs <= 0) {
		return true
	}
	u := t.Used
	return (t.GPUs > 0 && u.GPUs-p.Job.Spec.Need.GPUs >= t.GPUs-1e-6) || (t.CPUs > 0 && u.CPUs-p.Job.Spec.Need.CPUs >= t.CPUs-1e-6)
}

// Stops looks for tasks to stop, for several jobs in one go. What a machine
// could give up is found out once for all of them.
type Stops struct {
	l      *ledger.Ledger
	v      *View
	claims Claims
	on     map[*ledger.Machine]*stoppable
	failed []noStop
}

// stoppable is what a machine could give up, whoever asks.
type stoppable struct {
	tasks   int        // on the machine, when this was found out
	free    model.Need // with what is being stopped already
	victims []victim   // by loss
}

// noStop is a request for which nothing could be stopped.
type noStop struct {
	j     *ledger.Job
	n     int
	claim Claim
	image string
}

// NewStops begins a round of Preempt and Clear on a view.
func NewStops(l *ledger.Ledger, v *View, claims Claims) *Stops {
	return &Stops{l: l, v: v, claims: claims, on: map[*ledger.Machine]*stoppable{}}
}

func (st *Stops) of(m *ledger.Machine) *stoppable {
	if s := st.on[m]; s != nil && s.tasks == len(m.P) {
		return s
	}
	s := &stoppable{tasks: len(m.P), free: m.Free()}
	for _, p := range m.P {
		if p.Stopping {
			s.free = s.free.Add(p.Job.Spec.Need)
		} else if c, ok := loss(p, st.v.Now); ok {
			s.victims = append(s.victims, victim{p, c})
		}
	}
	slices.SortStableFunc(s.victims, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	st.on[m] = s
	return s
}

// hopeless reports whether the same was asked for in vain by a job that could
// stop as much and needs no more.
func (st *Stops) hopeless(j *ledger.Job, n int, image string) bool {
	for _, f := range st.failed {
		if f.n <= n && f.claim == st.claims[j] && f.image == image && f.j.Spec.Priority >= j.Spec.Priority && f.j.Spec.Team == j.Spec.Team &&
			f.j.Spec.Kind == j.Spec.Kind && f.j.Spec.Need.Fits(j.Spec.Need) && Alike(f.j.Spec, j.Spec) {
			return true
		}
	}
	return false
}

// Preempt makes room for a job that could not be placed by stopping what loses
// least. It returns the tasks to stop and holds their machines for the job, or
// nil if it can't be done. warm asks for machines that have the job's image.
func (st *Stops) Preempt(j *ledger.Job, warm bool) []*ledger.Placement {
	l, v := st.l, st.v
	s := j.Spec
	team := l.Teams[s.Team]
	n := j.Idle()
	home, known := homeZone(j)
	if team == nil || n == 0 || !known || j.Placed > 0 && s.Kind == model.Gang && !ledger.Forming(j) {
		return nil
	}
	if s.Kind == model.Gang {
		if !team.Within(s.Need.Times(float64(n))) {
			return nil
		}
	} else {
		for n > 0 && !team.Within(s.Need.Times(float64(n))) {
			n--
		}
	}
	if n = min(n, l.UnitsFor(j)); s.Kind == model.Gang && n < j.Idle() {
		return st.freeUnits(j) // room alone would not help it
	}
	if n <= 0 {
		return st.freeUnits(j)
	}
	image := ""
	if warm {
		image = s.Image
	}
	if st.hopeless(j, n, image) {
		return nil
	}
	type option struct {
		m     *ledger.Machine
		slots int
		stop  []*ledger.Placement
		cost  float64
	}
	byZone := map[string][]option{}
	risk := spotLoss(l, j)
	slots := map[string]int{}
	var zs []string
	var vs []victim
	for _, m := range v.Machines {
		if !Allowed(j, m) || !v.mayTake(j, m) || (home != "" && m.Zone != home) {
			continue
		}
		if _, ok := m.Images[s.Image]; warm && !ok {
			continue
		}
		on := st.of(m)
		free := on.free
		if len(on.victims) == 0 && !s.Need.Fits(free) {
			continue
		}
		vs = vs[:0]
		equal := false
		for _, x := range on.victims {
			if st.mayStop(j, x.p) {
				if x.p.Job.Spec.Priority >= s.Priority {
					// It waits for the same kind of room then: the last resort.
					x.loss += equalPenalty
					equal = true
				}
				vs = append(vs, x)
			}
		}
		if equal {
			slices.SortStableFunc(vs, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
		}
		o := option{m: m}
		for i := 0; i < len(vs) && !s.Need.Fits(free); i++ {
			free = free.Add(vs[i].p.Job.Spec.Need)
			o.stop = append(o.stop, vs[i].p)
			o.cost += vs[i].loss
		}
		if !s.Need.Fits(free) {
			continue
		}
		for s.Need.Fits(free) && o.slots < n {
			free = free.Sub(s.Need)
			o.slots++
		}
		// The image has to be fetched where it isn't yet.
		if t := l.Types[m.Type]; t != nil && t.FetchGBs > 0 {
			if _, ok := m.Images[s.Image]; !ok {
				o.cost += s.ImageGB / t.FetchGBs / 2
			}
		}
		if m.Spot {
			o.cost += risk * float64(o.slots)
		}
		z := ""
		if s.OneZone {
			z = m.Zone
		}
		if byZone[z] == nil {
			zs = append(zs, z)
		}
		byZone[z] = append(byZone[z], o)
		slots[z] += o.slots
	}
	slices.Sort(zs)
	var best []option
	bestCost := 0.0
	for _, z := range zs {
		if slots[z] < n && s.Kind == model.Gang {
			continue
		}
		os := byZone[z]
		slices.SortStableFunc(os, func(a, b option) int {
			return cmp.Compare(a.cost/float64(a.slots), b.cost/float64(b.slots))
		})
		var pick []option
		got, cost := 0, 0.0
		for _, o := range os {
			if got >= n {
				break
			}
			pick = append(pick, o)
			got += o.slots
			cost += o.cost
		}
		if len(pick) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = pick, cost
		}
	}
	if best == nil && home == "" && j.Zone == "" && j.Port == 0 {
		st.failed = append(st.failed, noStop{j, n, st.claims[j], image})
	}
	var out []*ledger.Placement
	for _, o := range best {
		v.Holds[o.m] = &Hold{Job: j, Until: v.Now + holdFor, Warm: warm}
		out = append(out, o.stop...)
	}
	return out
}

// Release drops holds that are over or no longer needed.
func Release(v *View) {
	for m, h := range v.Holds {
		if v.Now >= h.Until || m.Gone || (!h.Move && !Waiting(h.Job)) {
			delete(v.Holds, m)
		}
	}
}

// Clear stops lesser work on machines that have the job's image when fetching
// it to a free machine would take longer than the aim allows: a fetch can
// outlast the aim by itself. It returns the tasks to stop.
func (st *Stops) Clear(j *ledger.Job) []*ledger.Placement {
	l, v := st.l, st.v
	if j.Placed > 0 || v.Aims == nil {
		return nil
	}
	left := time.Duration(0)
	for _, t := range v.Aims.StartBy(j, false)[:len(v.Aims.wait[j.Spec.Class])] {
		if t > v.Now && (left == 0 || t-v.Now < left) {
			left = t - v.Now
		}
	}
	save := 3 * time.Second
	if left < save {
		return nil
	}
	fetch := time.Duration(0)
	free, _ := pickGang(l, v, v.Machines, j, len(j.Tasks)-j.NDone)
	for _, m := range free {
		fetch = max(fetch, fetchTime(l, j, m))
	}
	if free != nil && fetch < left {
		return nil
	}
	return st.Preempt(j, true)
}

func fetchTime(l *ledger.Ledger, j *ledger.Job, m *ledger.Machine) time.Duration {
	t := l.Types[m.Type]
	if _, ok := m.Images[j.Spec.Image]; ok || t == nil || t.FetchGBs <= 0 {
		return 0
	}
	return time.Duration(j.Spec.ImageGB / t.FetchGBs * slowFetch * float64(time.Second))
}
