// Package placement decides which waiting task goes to which machine.
package placement

import (
	"sort"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// View is what the decision needs to know besides the ledger.
type View struct {
	Now    time.Duration
	Silent time.Duration // a machine not heard of for so long takes nothing new
	// Holds tells for which job a machine's free room is kept.
	Holds map[*ledger.Machine]*Hold
	Aims  *Aims
}

// Usable reports whether the machine can take new tasks at all.
func Usable(m *ledger.Machine, v *View) bool {
	return m.Known && m.Heard && !m.Gone && !m.Leaving && !m.Notice && v.Now >= m.NoPlace && v.Now-m.LastHeard <= v.Silent
}

// Order lists the open jobs with idle tasks, most urgent first: priority, then
// work within a team's guarantee, then jobs that can still meet an aim, then
// the least work left. When there is too much work, going by age makes
// everybody late; the small jobs first keeps the most of them in time. What
// has waited long counts as smaller, so that nothing starves.
func Order(l *ledger.Ledger, v *View) []*ledger.Job {
	var out []*ledger.Job
	within := Within(l)
	type rank struct {
		lost bool
		work float64
	}
	ranks := map[*ledger.Job]rank{}
	for _, j := range l.Order() {
		if !Waiting(j) {
			continue
		}
		out = append(out, j)
		r := rank{lost: v.Aims != nil && v.Aims.Lost(j, within[j], v.Now)}
		n := float64(len(j.Tasks) - j.NDone)
		size := max(j.Spec.Need.CPUs, j.Spec.Need.GPUs, 1)
		waited := max(0, v.Now-j.Since).Seconds()
		r.work = n * size * max(1, j.Spec.EstimateS) / (1 + waited/starve.Seconds())
		ranks[j] = r
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.Spec.Priority != y.Spec.Priority {
			return x.Spec.Priority > y.Spec.Priority
		}
		if within[x] != within[y] {
			return within[x]
		}
		p, q := ranks[x], ranks[y]
		if p.lost != q.lost {
			return q.lost
		}
		if p.work != q.work {
			return p.work < q.work
		}
		return x.Since < y.Since
	})
	return out
}

// starve is how long a job waits until it counts as half its size.
const starve = time.Minute

// Within tells which open jobs fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func Within(l *ledger.Ledger) map[*ledger.Job]bool {
	within := map[*ledger.Job]bool{}
	use := map[string]model.Need{}
	for _, j := range l.Order() {
		if t := l.Teams[j.Spec.Team]; t != nil && j.Final == ledger.Open && (t.CPUs > 0 || t.GPUs > 0) {
			u := use[j.Spec.Team].Add(j.Spec.Need.Times(float64(len(j.Tasks) - j.NDone)))
			if (t.CPUs <= 0 || u.CPUs <= t.CPUs+1e-6) && (t.GPUs <= 0 || u.GPUs <= t.GPUs+1e-6) {
				within[j] = true
				use[j.Spec.Team] = u
			}
		}
	}
	return within
}

// Waiting reports whether a job has tasks that want a machine.
func Waiting(j *ledger.Job) bool {
	return j.Final == ledger.Open && !j.Broken && j.Readable() && j.NDone+j.Placed < len(j.Tasks)
}

// Run places what can be placed and returns the jobs that still wait.
func Run(l *ledger.Ledger, v *View) []*ledger.Job {
	var left []*ledger.Job
	machines := Candidates(l, v)
	for _, j := range Order(l, v) {
		if !placeJob(l, v, machines, j) {
			left = append(left, j)
		}
	}
	return left
}

// Candidates lists the machines that can take new tasks, in name order.
func Candidates(l *ledger.Ledger, v *View) []*ledger.Machine {
	var out []*ledger.Machine
	for _, m := range l.Machines {
		if Usable(m, v) {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Allowed reports whether the job's rules let its tasks run on the machine,
// apart from room and from where its other tasks are.
func Allowed(j *ledger.Job, m *ledger.Machine) bool {
	s := j.Spec
	return s.AllowsType(m.Type) && (s.Zone == "" || s.Zone == m.Zone) && (s.Spot || !m.Spot)
}

// zones counts the job's placements by zone; ok is false while one of them is
// on a machine whose zone isn't known.
func zones(j *ledger.Job) (count map[string]int, ok bool) {
	count = map[string]int{}
	if j.Placed == 0 || (!j.Spec.OneZone && !j.Spec.Spread) {
		return count, true
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].P; p != nil {
			if !p.M.Known {
				return nil, false
			}
			count[p.M.Zone]++
		}
	}
	return count, true
}

func zoneAllows(j *ledger.Job, count map[string]int, zone string) bool {
	if j.Spec.OneZone {
		for z := range count {
			if z != zone {
				return false
			}
		}
	}
	return !j.Spec.Spread || count[zone] < j.Spec.MaxPerZone()
}

func placeJob(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job) bool {
	team := l.Teams[j.Spec.Team]
	if team == nil {
		j.Waits = "its team is not in the settings"
		return false
	}
	if j.Spec.Kind == model.Gang {
		return placeGang(l, v, machines, j, team)
	}
	count, ok := zones(j)
	if !ok {
		j.Waits = "the zone of one of its machines isn't known yet"
		return false
	}
	all := true
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Done || t.P != nil {
			continue
		}
		if t.NotBefore > v.Now {
			j.Waits = "waits after a failure"
			all = false
			continue
		}
		if !team.Within(j.Spec.Need) {
			j.Waits = "the team's limit is used up"
			return false
		}
		m := best(l, v, machines, j, t, count)
		if m == nil {
			j.Waits = "no machine has room"
			return false
		}
		l.Plan(j, i, t.Attempt+1, m)
		count[m.Zone]++
	}
	return all
}

func best(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job, t *ledger.Task, count map[string]int) *ledger.Machine {
	if w := t.Want; w != nil && v.Now < t.WantUntil && Usable(w, v) && Allowed(j, w) && j.Spec.Need.Fits(w.Free()) && zoneAllows(j, count, w.Zone) {
		return w // its move was planned with all others of its machine
	}
	var top *ledger.Machine
	topScore := 0.0
	for _, m := range machines {
		if !Allowed(j, m) || !j.Spec.Need.Fits(m.Free()) || m == t.Avoid || !zoneAllows(j, count, m.Zone) {
			continue
		}
		if h := v.Holds[m]; h != nil && h.Job != j {
			continue
		}
		if s := Score(l, v, j, m); top == nil || s > topScore {
			top, topScore = m, s
		}
	}
	return top
}

// Score rates a machine for a task of the job: seconds saved until it runs,
// then how little whole room is broken.
func Score(l *ledger.Ledger, v *View, j *ledger.Job, m *ledger.Machine) float64 {
	s := 0.0
	mt := l.Types[m.Type]
	if _, ok := m.Images[j.Spec.Image]; !ok && mt != nil && mt.FetchGBs > 0 {
		// Others that fetch share the rate; one that fetches the same image
		// has a part of it already.
		others := map[string]bool{}
		same := false
		for p := range m.P {
			if p.Phase == model.Fetching || !p.Seen {
				if p.Job.Spec.Image == j.Spec.Image {
					same = true
				} else {
					others[p.Job.Spec.Image] = true
				}
			}
		}
		f := j.Spec.ImageGB / mt.FetchGBs
		if same {
			f *= 0.6
		}
		s -= f * float64(1+len(others))
	}
	// Fill machines that are in use before empty ones.
	used := 0.0
	if m.Cap.GPUs > 0 {
		used = (m.Used.GPUs + j.Spec.Need.GPUs) / m.Cap.GPUs
	} else if m.Cap.CPUs > 0 {
		used = (m.Used.CPUs + j.Spec.Need.CPUs) / m.Cap.CPUs
	}
	s += 15 * used
	if len(m.P) > 0 {
		s += 5
	}
	if m.Spot {
		s += 2
	}
	return s
}

func placeGang(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job, team *ledger.Team) bool {
	if j.Placed > 0 {
		j.Waits = "its last attempt isn't gone yet"
		return false
	}
	attempt := uint64(0)
	n := 0
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.NotBefore > v.Now {
			j.Waits = "waits after a failure"
			return false
		}
		if !t.Done {
			n++
		}
		attempt = max(attempt, t.Attempt)
	}
	if !team.Within(j.Spec.Need.Times(float64(n))) {
		j.Waits = "the team's limit is used up"
		return false
	}
	zs := []string{""}
	if j.Spec.OneZone {
		zs = zonesOf(machines)
	}
	var top []*ledger.Machine
	topScore := 0.0
	for _, z := range zs {
		pick, score := pickGang(l, v, machines, j, z, n)
		if pick != nil && (top == nil || score > topScore) {
			top, topScore = pick, score
		}
	}
	if top == nil {
		j.Waits = "not enough machines have room at once"
		return false
	}
	k := 0
	for i := range j.Tasks {
		if !j.Tasks[i].Done {
			l.Plan(j, i, attempt+1, top[k])
			k++
		}
	}
	return true
}

func zonesOf(machines []*ledger.Machine) []string {
	var zs []string
	seen := map[string]bool{}
	for _, m := range machines {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			zs = append(zs, m.Zone)
		}
	}
	sort.Strings(zs)
	return zs
}

// waitsForHold says that room is being made for the job on machines that have
// its image, so that others aren't worth a fetch.
func waitsForHold(v *View, j *ledger.Job, m *ledger.Machine) bool {
	if _, ok := m.Images[j.Spec.Image]; ok || v.Holds[m] != nil {
		return false
	}
	for _, h := range v.Holds {
		if h.Job == j && h.Warm {
			return true
		}
	}
	return false
}

// pickGang finds machines for n tasks of a gang, all in the zone if one is
// named. The score is that of the slowest.
func pickGang(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job, zone string, n int) ([]*ledger.Machine, float64) {
	type cand struct {
		m *ledger.Machine
		s float64
	}
	var cs []cand
	avoid := map[*ledger.Machine]bool{}
	for i := range j.Tasks {
		if a := j.Tasks[i].Avoid; a != nil {
			avoid[a] = true
		}
	}
	for _, m := range machines {
		if (zone != "" && m.Zone != zone) || !Allowed(j, m) || !j.Spec.Need.Fits(m.Free()) || avoid[m] {
			continue
		}
		if h := v.Holds[m]; h != nil && h.Job != j {
			continue
		}
		if waitsForHold(v, j, m) {
			continue
		}
		cs = append(cs, cand{m, Score(l, v, j, m)})
	}
	sort.SliceStable(cs, func(a, b int) bool { return cs[a].s > cs[b].s })
	var out []*ledger.Machine
	count := map[string]int{}
	score := 0.0
	for _, c := range cs {
		free := c.m.Free()
		for len(out) < n && j.Spec.Need.Fits(free) && zoneAllows(j, count, c.m.Zone) {
			free = free.Sub(j.Spec.Need)
			out = append(out, c.m)
			count[c.m.Zone]++
			score = c.s
		}
		if len(out) == n {
			return out, score
		}
	}
	return nil, 0
}
