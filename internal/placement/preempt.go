package placement

import (
	"sort"
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
	// A start that is stopped this soon counts for nobody.
	freshStart = 30 * time.Second
	// Seconds that stopping work of equal priority counts more.
	equalPenalty = 60
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
	if p.Stopping {
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
	if s.Kind != model.Service && s.EstimateS > 0 && ran > 0.8*s.EstimateS {
		cost += 20 // about to complete by itself
	}
	return cost + 3, true
}

// mayStop says whether a job may take the place of a task: work of higher
// priority may, and work within its team's guarantee may where another team
// runs beyond its own.
func mayStop(l *ledger.Ledger, j *ledger.Job, within bool, p *ledger.Placement) bool {
	if p.Job == j || p.Job.Final != ledger.Open {
		return false
	}
	if p.Job.Spec.Priority < j.Spec.Priority {
		return true
	}
	if !within || p.Job.Spec.Team == j.Spec.Team {
		return false
	}
	t := l.Teams[p.Job.Spec.Team]
	if t == nil || (t.CPUs <= 0 && t.GPUs <= 0) {
		return t != nil
	}
	u := t.Used
	over := (t.GPUs > 0 && u.GPUs-p.Job.Spec.Need.GPUs >= t.GPUs-1e-6) || (t.CPUs > 0 && u.CPUs-p.Job.Spec.Need.CPUs >= t.CPUs-1e-6)
	return over
}

// Preempt makes room for a job that could not be placed by stopping what loses
// least. It returns the tasks to stop and holds their machines for the job, or
// nil if it can't be done. warm asks for machines that have the job's image.
func Preempt(l *ledger.Ledger, v *View, j *ledger.Job, within, warm bool) []*ledger.Placement {
	s := j.Spec
	team := l.Teams[s.Team]
	n := len(j.Tasks) - j.NDone - j.Placed
	if team == nil || n == 0 || j.Placed > 0 && s.Kind == model.Gang {
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
	if n == 0 {
		return nil
	}
	type option struct {
		m     *ledger.Machine
		slots int
		stop  []*ledger.Placement
		cost  float64
	}
	byZone := map[string][]option{}
	var zs []string
	for _, m := range Candidates(l, v) {
		if !Allowed(j, m) {
			continue
		}
		if h := v.Holds[m]; h != nil && h.Job != j {
			continue
		}
		if _, ok := m.Images[s.Image]; warm && !ok {
			continue
		}
		var vs []victim
		free := m.Free()
		for _, p := range m.List() {
			if p.Stopping {
				free = free.Add(p.Job.Spec.Need)
				continue
			}
			if c, ok := loss(p, v.Now); ok && mayStop(l, j, within, p) {
				if p.Job.Spec.Priority >= s.Priority {
					// It waits for the same kind of room then: the last resort.
					c += equalPenalty
				}
				vs = append(vs, victim{p, c})
			}
		}
		sort.SliceStable(vs, func(a, b int) bool { return vs[a].loss < vs[b].loss })
		o := option{m: m}
		for len(vs) > 0 && !s.Need.Fits(free) {
			free = free.Add(vs[0].p.Job.Spec.Need)
			o.stop = append(o.stop, vs[0].p)
			o.cost += vs[0].loss
			vs = vs[1:]
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
		z := ""
		if s.OneZone {
			z = m.Zone
		}
		if byZone[z] == nil {
			zs = append(zs, z)
		}
		byZone[z] = append(byZone[z], o)
	}
	sort.Strings(zs)
	var best []option
	bestCost := 0.0
	for _, z := range zs {
		os := byZone[z]
		sort.SliceStable(os, func(a, b int) bool {
			return os[a].cost/float64(os[a].slots) < os[b].cost/float64(os[b].slots)
		})
		var pick []option
		slots, cost := 0, 0.0
		for _, o := range os {
			if slots >= n {
				break
			}
			pick = append(pick, o)
			slots += o.slots
			cost += o.cost
		}
		if slots < n && s.Kind == model.Gang {
			continue
		}
		if len(pick) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = pick, cost
		}
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
func Clear(l *ledger.Ledger, v *View, j *ledger.Job, within bool) []*ledger.Placement {
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
	free := pick(l, v, j)
	for _, m := range free {
		fetch = max(fetch, fetchTime(l, j, m))
	}
	if free != nil && fetch < left {
		return nil
	}
	return Preempt(l, v, j, within, true)
}

func fetchTime(l *ledger.Ledger, j *ledger.Job, m *ledger.Machine) time.Duration {
	t := l.Types[m.Type]
	if _, ok := m.Images[j.Spec.Image]; ok || t == nil || t.FetchGBs <= 0 {
		return 0
	}
	return time.Duration(j.Spec.ImageGB / t.FetchGBs * float64(time.Second))
}

// pick is where a gang would go now.
func pick(l *ledger.Ledger, v *View, j *ledger.Job) []*ledger.Machine {
	ms := Candidates(l, v)
	zs := []string{""}
	if j.Spec.OneZone {
		zs = zonesOf(ms)
	}
	var top []*ledger.Machine
	best := 0.0
	for _, z := range zs {
		if p, s := pickGang(l, v, ms, j, z, len(j.Tasks)-j.NDone); p != nil && (top == nil || s > best) {
			top, best = p, s
		}
	}
	return top
}
