package placement

import (
	"sort"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Slot is a machine, rented or on its way, as the projection sees it.
type Slot struct {
	M    *ledger.Machine // nil: on its way
	Type string
	Zone string
	Spot bool
	Cap  model.Need
	free model.Need
	at   time.Duration // up from then on
	ends []end
}

type end struct {
	at   time.Duration
	need model.Need
}

// Projection estimates when waiting work will start if nothing is rented.
type Projection struct {
	now   time.Duration
	types map[string]*model.MachineType
	Slots []*Slot
}

// remaining estimates how long a placed task still takes.
func remaining(p *ledger.Placement, now time.Duration, fetch float64) time.Duration {
	s := p.Job.Spec
	if p.Stopping {
		return time.Duration((s.SaveS + 1) * float64(time.Second))
	}
	if s.Kind == model.Service {
		return time.Hour
	}
	est := time.Duration(s.EstimateS * float64(time.Second))
	if p.Phase != model.Running {
		return est + time.Duration(fetch*float64(time.Second)/2)
	}
	ran := now - p.RunSince
	// One that runs for longer than its owner thought will take longer still.
	return max(est-ran, ran/4, time.Second)
}

// NewProjection takes a snapshot of the machines in use.
func NewProjection(l *ledger.Ledger, v *View) *Projection {
	pr := &Projection{now: v.Now, types: l.Types}
	for _, m := range Candidates(l, v) {
		s := &Slot{M: m, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Cap: m.Cap, free: m.Free(), at: v.Now}
		t := l.Types[m.Type]
		for _, p := range m.List() {
			fetch := 0.0
			if t != nil && t.FetchGBs > 0 {
				fetch = p.Job.Spec.ImageGB / t.FetchGBs
			}
			s.ends = append(s.ends, end{v.Now + remaining(p, v.Now, fetch), p.Job.Spec.Need})
		}
		sort.Slice(s.ends, func(a, b int) bool { return s.ends[a].at < s.ends[b].at })
		pr.Slots = append(pr.Slots, s)
	}
	return pr
}

// Add puts in a machine that will be up at a time.
func (pr *Projection) Add(s *Slot, at time.Duration) {
	s.at, s.free = max(at, pr.now), s.Cap
	pr.Slots = append(pr.Slots, s)
}

func (s *Slot) allows(j *ledger.Job) bool {
	sp := j.Spec
	return sp.AllowsType(s.Type) && (sp.Zone == "" || sp.Zone == s.Zone) && (sp.Spot || !s.Spot)
}

// earliest is when the need fits on the slot.
func (s *Slot) earliest(n model.Need) (time.Duration, bool) {
	if n.Fits(s.free) {
		return s.at, true
	}
	free := s.free
	for _, e := range s.ends {
		free = free.Add(e.need)
		if n.Fits(free) {
			return max(e.at, s.at), true
		}
	}
	return 0, false
}

// take occupies the slot from a time on, for as long as the job runs.
func (s *Slot) take(at time.Duration, n model.Need, run time.Duration) {
	k := 0
	for k < len(s.ends) && !n.Fits(s.free) {
		s.free = s.free.Add(s.ends[k].need)
		k++
	}
	s.ends = s.ends[k:]
	s.free = s.free.Sub(n)
	s.at = max(s.at, at)
	e := end{at + run, n}
	i := sort.Search(len(s.ends), func(i int) bool { return s.ends[i].at > e.at })
	s.ends = append(s.ends, end{})
	copy(s.ends[i+1:], s.ends[i:])
	s.ends[i] = e
}

func (pr *Projection) fetch(j *ledger.Job, s *Slot) time.Duration {
	if s.M != nil {
		if _, ok := s.M.Images[j.Spec.Image]; ok {
			return 0
		}
	}
	if t := pr.types[s.Type]; t != nil && t.FetchGBs > 0 {
		return time.Duration(j.Spec.ImageGB / t.FetchGBs * float64(time.Second))
	}
	return 0
}

// Find says when n tasks of the job would run, n at once for a gang and one
// for the others, and where; ok is false if they never would.
func (pr *Projection) Find(j *ledger.Job, n int) (at time.Duration, where []*Slot, ok bool) {
	type cand struct {
		s    *Slot
		t, r time.Duration
	}
	var cs []cand
	for _, s := range pr.Slots {
		if !s.allows(j) {
			continue
		}
		if t, ok := s.earliest(j.Spec.Need); ok {
			cs = append(cs, cand{s, t, t + pr.fetch(j, s)})
		}
	}
	if len(cs) == 0 {
		return 0, nil, false
	}
	if n == 1 {
		best := 0
		for i := range cs {
			if cs[i].r < cs[best].r {
				best = i
			}
		}
		return cs[best].r, []*Slot{cs[best].s}, true
	}
	sort.SliceStable(cs, func(a, b int) bool { return cs[a].r < cs[b].r })
	byZone := map[string][]*Slot{}
	for _, c := range cs {
		z := ""
		if j.Spec.OneZone {
			z = c.s.Zone
		}
		// How many fit at once is left out: gangs mostly fill their machines.
		byZone[z] = append(byZone[z], c.s)
		if len(byZone[z]) == n {
			return c.r, byZone[z], true
		}
	}
	return 0, nil, false
}

// Take books what Find found.
func (pr *Projection) Take(j *ledger.Job, at time.Duration, where []*Slot) {
	run := time.Duration(j.Spec.EstimateS * float64(time.Second))
	if j.Spec.Kind == model.Service {
		run = time.Hour
	}
	for _, s := range where {
		s.take(at, j.Spec.Need, run)
	}
}
