// Package placement decides which waiting task goes to which machine.
package placement

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// View is what the decision needs to know besides the ledger.
type View struct {
	Now    time.Duration
	Silent time.Duration // a machine not heard of for so long takes nothing new
	// Machines are those that can take new tasks, in name order.
	Machines []*ledger.Machine
	// Holds tells for which job a machine's free room is kept.
	Holds map[*ledger.Machine]*Hold
	Aims  *Aims
	// Units says who may take counted resources; nil: nobody asks for any.
	Units *Queues
}

// Usable reports whether the machine can take new tasks at all.
func Usable(m *ledger.Machine, v *View) bool {
	return m.Known && m.Heard && !m.Gone && !m.Leaving && !m.Notice && v.Now >= m.NoPlace && v.Now-m.LastHeard <= v.Silent
}

// Whole is what the machines that can take tasks have together.
func (v *View) Whole() model.Need {
	var n model.Need
	for _, m := range v.Machines {
		n = n.Add(m.Cap)
	}
	return n
}

// Order lists the open jobs with idle tasks, most urgent first: the larger claim on
// a team's guarantee (Claim), then priority (the order in which Stops lets work be
// stopped, too), then jobs that can still meet an aim, then
// the least work left. When there is too much work, going by age makes
// everybody late; the small jobs first keeps the most of them in time. What
// has waited long counts as smaller, so that nothing starves.
func Order(l *ledger.Ledger, v *View, claims Claims) []*ledger.Job {
	var rs []ranked
	gangs := map[level]bool{}
	for _, j := range l.Order() {
		if !Waiting(j) {
			continue
		}
		if j.Faulty() && !j.Trial(v.Now) {
			continue
		}
		c := claims[j]
		r := ranked{j: j, claim: c, lost: j.Faulty() || v.Aims != nil && v.Aims.Lost(j, c == Promised, v.Now)}
		r.work = work(j)
		if r.lost {
			// Being first no longer helps it to anything that was promised.
			if !c.floored() {
				r.claim = NoClaim
			}
			waited := max(0, v.Now-j.Since).Seconds()
			r.work /= 1 + waited/starve.Seconds()
		} else if v.Aims != nil {
			r.due = v.Aims.due(j, c == Promised, v.Now)
		}
		if j.Spec.Kind != model.Array {
			gangs[r.level()] = true
		}
		rs = append(rs, r)
	}
	if v.Aims != nil {
		pickOnTime(l, rs, v.Now)
	}
	slices.SortStableFunc(rs, func(x, y ranked) int {
		if c := cmp.Or(cmp.Compare(y.claim, x.claim), cmp.Compare(y.j.Spec.Priority, x.j.Spec.Priority)); c != 0 {
			return c
		}
		if x.lost != y.lost {
			return first(y.lost)
		}
		if !x.lost && v.Aims != nil && !gangs[x.level()] {
			if x.late != y.late {
				return first(y.late)
			}
			if c := cmp.Compare(x.due, y.due); !x.late && c != 0 {
				return c
			}
		}
		return cmp.Or(cmp.Compare(x.work, y.work), cmp.Compare(x.j.Since, y.j.Since))
	})
	out := make([]*ledger.Job, len(rs))
	for i := range rs {
		out[i] = rs[i].j
	}
	return out
}

func first(yes bool) int {
	if yes {
		return -1
	}
	return 1
}

// shortFor is how long a gang that has not begun waits for the replacement of a
// lost task; its other machines stand idle meanwhile.
const shortFor = 25 * time.Second

// starve is how long a job waits until it counts as half its size.
const starve = time.Minute

// Waiting reports whether a job has tasks that want a machine.
func Waiting(j *ledger.Job) bool {
	return j.Final == ledger.Open && !j.Broken && j.Readable() && j.Idle() > 0
}

// Run places what can be placed and returns the jobs that still wait, both in
// the given order. refused hears of each of them before the next is tried: room
// that is to be made for a job must be held before lesser work takes the part
// of it that is free. Of a job that seems to be at fault neither is told: it
// gets what is free, until it has waited for so long that a machine is rented.
func Run(l *ledger.Ledger, v *View, order []*ledger.Job, refused func(*ledger.Job)) []*ledger.Job {
	var left []*ledger.Job
	r := newRoom(v)
	for _, j := range order {
		if !placeJob(l, v, r, j) && (!j.Faulty() || j.Overdue(v.Now)) {
			left = append(left, j)
			if !j.Faulty() {
				refused(j)
			}
		}
	}
	return left
}

// room is what a run of placements knows of the machines: those with anything
// left, and which needs were found to fit nowhere. Most machines of a busy
// fleet are full, and most jobs that wait are alike, so that looking at all
// machines for each of them would take most of a small processor.
type room struct {
	ms     []*ledger.Machine
	failed []miss
}

// miss is a need that no allowed machine had room for.
type miss struct {
	like *model.Spec
	need model.Need
	n    int
}

func newRoom(v *View) *room {
	r := &room{}
	for _, m := range v.Machines {
		if f := m.Free(); f.CPUs > 1e-6 || f.GPUs > 1e-6 {
			r.ms = append(r.ms, m)
		}
	}
	return r
}

// drop forgets machines that have become full.
func (r *room) drop(full []*ledger.Machine) {
	for _, m := range full {
		if f := m.Free(); f.CPUs <= 1e-6 || (m.Cap.GPUs > 0 && f.GPUs <= 1e-6 && f.CPUs <= 1e-6) {
			if i, ok := slices.BinarySearchFunc(r.ms, m, func(a, b *ledger.Machine) int { return cmp.Compare(a.Name, b.Name) }); ok {
				r.ms = slices.Delete(r.ms, i, i+1)
			}
		}
	}
}

// hopeless reports whether something alike that needs no more, and no more at
// once, has found no room.
func (r *room) hopeless(s *model.Spec, n int) bool {
	for _, f := range r.failed {
		if f.n <= n && f.need.Fits(s.Need) && Alike(f.like, s) {
			return true
		}
	}
	return false
}

func (r *room) miss(s *model.Spec, n int) { r.failed = append(r.failed, miss{s, s.Need, n}) }

// Alike reports whether two jobs may use the same machines.
func Alike(a, b *model.Spec) bool {
	return a.Spot == b.Spot && a.Zone == b.Zone && a.OneZone == b.OneZone && !a.Spread && !b.Spread &&
		(a.Types == nil) == (b.Types == nil) && slices.Equal(a.Types, b.Types)
}

// Candidates lists the machines that can take new tasks, in name order.
func Candidates(l *ledger.Ledger, v *View) []*ledger.Machine {
	var out []*ledger.Machine
	for _, m := range l.Sorted() {
		if Usable(m, v) {
			out = append(out, m)
		}
	}
	return out
}

// Allowed reports whether the job's rules let its tasks run on the machine,
// apart from room and from where its other tasks are.
func Allowed(j *ledger.Job, m *ledger.Machine) bool {
	s := j.Spec
	return s.AllowsType(m.Type) && (s.Zone == "" || s.Zone == m.Zone) && (j.Zone == "" || j.Zone == m.Zone) && (s.Spot || !m.Spot) && j.MayListen(m)
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

func placeJob(l *ledger.Ledger, v *View, r *room, j *ledger.Job) bool {
	team := l.Teams[j.Spec.Team]
	if team == nil {
		j.Waits = "its team is not in the settings"
		return false
	}
	if j.Spec.Kind == model.Gang {
		return placeGang(l, v, r, j, team)
	}
	count, ok := zones(j)
	if !ok {
		j.Waits = "the zone of one of its machines isn't known yet"
		return false
	}
	s := j.Spec
	if r.hopeless(s, 1) && !v.holdsFor(j) && !wants(j) {
		j.Waits = "no machine has room"
		return false
	}
	all, plain := true, true
	var h choices
	built := false
	defer func() { r.drop(h.taken) }()
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Done || t.P != nil || t.Off {
			continue
		}
		if t.NotBefore > v.Now {
			j.Waits = "waits after a failure"
			if t.Ousted > 0 {
				j.Waits = "was stopped for others again and again, waits for their number to fall"
			}
			all = false
			continue
		}
		if !team.Within(s.Need) {
			j.Waits = "the team's limit is used up"
			return false
		}
		if !v.Units.Allow(l, j, 1) {
			return false
		}
		if w := t.Want; w != nil && v.Now < t.WantUntil && Usable(w, v) && Allowed(j, w) && s.Need.Fits(w.Free()) && zoneAllows(j, count, w.Zone) && j.PortFree(i, w) {
			l.Plan(j, i, t.Attempt+1, w) // its move was planned with all others of its machine
			count[w.Zone]++
			continue
		}
		if !built {
			built = true
			for _, m := range r.ms {
				if s.Need.Fits(m.Free()) && Allowed(j, m) && v.mayTake(j, m) {
					h.cs = append(h.cs, choice{m, Score(l, v, j, m)})
				}
			}
			if s.OneZone && j.Placed == 0 {
				fits := len(h.cs)
				h.cs = roomiest(h.cs, s.Need, j.Idle())
				plain = plain && len(h.cs) == fits // other zones have room, for others
			}
			heap.Init(&h)
		}
		plain = plain && t.Avoids(v.Now) == nil && j.Zone == "" && j.Port == 0
		m := h.next(v, j, i, count)
		if m == nil {
			j.Waits = "no machine has room"
			// Machines with room that this job alone can't use, since its other tasks are in
			// another zone, say, are there for those that are alike: one array bound to a
			// full zone once had all others wait beside empty machines.
			if plain && h.Len() == 0 {
				r.miss(s, 1)
			}
			return false
		}
		l.Plan(j, i, t.Attempt+1, m)
		if j.Faulty() {
			return true // one task is enough to see
		}
		count[m.Zone]++
		h.taken = append(h.taken, m)
		if s.Need.Fits(m.Free()) {
			heap.Push(&h, choice{m, Score(l, v, j, m)})
		}
	}
	return all
}

// slotsIn is how many tasks the room holds, at most so many; of those that need nothing, one.
func slotsIn(free, need model.Need, most int) (n int) {
	for n < most && need.Fits(free) {
		n++
		if need == (model.Need{}) {
			break
		}
		free = free.Sub(need)
	}
	return n
}

// roomiest leaves the machines of one zone: where all n tasks have room at once, or else most
// of them. The first task that is placed binds the others, which waited for machines of a full
// zone beside empty ones of another. Of zones that are alike the one with the best machine.
func roomiest(cs []choice, need model.Need, n int) []choice {
	slots, best := map[string]int{}, map[string]choice{}
	for _, c := range cs {
		slots[c.m.Zone] += slotsIn(c.m.Free(), need, n-slots[c.m.Zone])
		if b, ok := best[c.m.Zone]; !ok || better(c, b) {
			best[c.m.Zone] = c
		}
	}
	zone := ""
	for z, k := range slots {
		if zone == "" || k > slots[zone] || k == slots[zone] && better(best[z], best[zone]) {
			zone = z
		}
	}
	return slices.DeleteFunc(cs, func(c choice) bool { return c.m.Zone != zone })
}

// wants reports whether a task of the job is being moved somewhere.
func wants(j *ledger.Job) bool {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Want != nil && t.P == nil && !t.Done && !t.Off {
			return true
		}
	}
	return false
}

// mayTake reports whether the machine's room isn't kept for another job.
func (v *View) mayTake(j *ledger.Job, m *ledger.Machine) bool {
	h := v.Holds[m]
	return h == nil || h.Job == j
}

func (v *View) holdsFor(j *ledger.Job) bool {
	for _, h := range v.Holds {
		if h.Job == j {
			return true
		}
	}
	return false
}

// choices are the machines that have room for a task of a job, the best first.
type choices struct {
	cs    []choice
	taken []*ledger.Machine
}

type choice struct {
	m *ledger.Machine
	s float64
}

func better(a, b choice) bool {
	if a.s != b.s {
		return a.s > b.s
	}
	return a.m.Name < b.m.Name
}

func (h *choices) Len() int           { return len(h.cs) }
func (h *choices) Less(a, b int) bool { return better(h.cs[a], h.cs[b]) }
func (h *choices) Swap(a, b int)      { h.cs[a], h.cs[b] = h.cs[b], h.cs[a] }
func (h *choices) Push(x any)         { h.cs = append(h.cs, x.(choice)) }
func (h *choices) Pop() any {
	x := h.cs[len(h.cs)-1]
	h.cs = h.cs[:len(h.cs)-1]
	return x
}

// next takes the best machine for the task out of the heap. Those that only
// this task must not use are put back.
func (h *choices) next(v *View, j *ledger.Job, task int, count map[string]int) *ledger.Machine {
	t := &j.Tasks[task]
	var back []choice
	defer func() {
		for _, c := range back {
			heap.Push(h, c)
		}
	}()
	for len(h.cs) > 0 {
		c := heap.Pop(h).(choice)
		if c.m == t.Avoids(v.Now) || !zoneAllows(j, count, c.m.Zone) || !j.PortFree(task, c.m) {
			back = append(back, c)
			continue
		}
		return c.m
	}
	return nil
}

// Score rates a machine for a task of the job: seconds saved until it runs,
// then how little whole room is broken.
func Score(l *ledger.Ledger, v *View, j *ledger.Job, m *ledger.Machine) float64 {
	s := 0.0
	mt := l.Types[m.Type]
	if _, ok := m.Images[j.Spec.Image]; !ok && mt != nil && mt.FetchGBs > 0 {
		// Others that fetch share the rate; one that fetches the same image
		// has a part of it already.
		others := 0
		same := false
		for i, p := range m.P {
			if p.Phase != model.Fetching && p.Seen {
				continue
			}
			image := p.Job.Spec.Image
			if image == j.Spec.Image {
				same = true
				continue
			}
			counted := false
			for _, q := range m.P[:i] {
				counted = counted || (q.Phase == model.Fetching || !q.Seen) && q.Job.Spec.Image == image
			}
			if !counted {
				others++
			}
		}
		f := j.Spec.ImageGB / mt.FetchGBs
		if same {
			f *= 0.6
		}
		s -= f * float64(1+others)
	}
	if j.Spec.Kind != model.Service {
		s -= (m.Pace.Factor() - 1) * j.EstimateS()
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
		s += spotGain - spotLoss(l, j)
	}
	return s
}

const (
	// Seconds that a spot machine's price is worth: what loses little by being
	// taken away goes there and leaves the others to gangs.
	spotGain = 10
	// Seconds until a task that lost its machine runs again.
	restart = 20
)

// spotLoss is how many seconds of work are lost on average if one task of the
// job runs on a spot machine. If that is taken away a gang stops as a whole.
func spotLoss(l *ledger.Ledger, j *ledger.Job) float64 {
	s := j.Spec
	lost := j.EstimateS() / 2
	if s.CheckpointS > 0 {
		lost = min(lost, s.CheckpointS/2+s.SaveS)
	}
	lost += restart
	run := j.EstimateS()
	if s.Kind == model.Service {
		run = 3600
	}
	if s.Kind == model.Gang {
		lost *= float64(len(j.Tasks))
	}
	return l.SpotRisk() * run * lost
}

func placeGang(l *ledger.Ledger, v *View, r *room, j *ledger.Job, team *ledger.Team) bool {
	if j.Placed > 0 && !ledger.Forming(j) {
		j.Waits = "its last attempt isn't gone yet"
		return false
	}
	if j.Placed > 0 && j.Short > 0 && v.Now-j.Short > shortFor {
		j.Waits = "a task that was lost could not be replaced in time"
		l.GiveUp(j)
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
		if !t.Done && t.P == nil {
			n++
		}
		attempt = max(attempt, t.Attempt)
	}
	if j.Placed == 0 {
		attempt++ // else a replacement in the attempt that waits for it
	}
	if !team.Within(j.Spec.Need.Times(float64(n))) {
		j.Waits = "the team's limit is used up"
		return false
	}
	if !v.Units.Allow(l, j, n) {
		return false
	}
	const waits = "not enough machines have room at once"
	if r.hopeless(j.Spec, n) && !v.holdsFor(j) {
		j.Waits = waits
		return false
	}
	top, plain := pickGang(l, v, r.ms, j, n)
	if top == nil {
		if plain {
			r.miss(j.Spec, n)
		}
		j.Waits = waits
		return false
	}
	k := 0
	for i := range j.Tasks {
		if !j.Tasks[i].Done && j.Tasks[i].P == nil {
			l.Plan(j, i, attempt, top[k])
			k++
		}
	}
	r.drop(top)
	return true
}

// warmHold says that room is being made for the job on machines that have its
// image, so that others aren't worth a fetch.
func (v *View) warmHold(j *ledger.Job) bool {
	for _, h := range v.Holds {
		if h.Job == j && h.Warm {
			return true
		}
	}
	return false
}

// homeZone is the zone that the job's placements bind it to, "" for none;
// known is false while one of them is on a machine whose zone isn't known.
func homeZone(j *ledger.Job) (zone string, known bool) {
	count, ok := zones(j)
	if !ok {
		return "", false
	}
	if j.Spec.OneZone {
		for z := range count {
			return z, true
		}
	}
	return "", true
}

// pickGang finds machines for n tasks of a gang, all in one zone if the job
// asks for that: the zone where the slowest of them is fastest. plain says that
// what was left out was so for lack of room, not for this job alone.
func pickGang(l *ledger.Ledger, v *View, machines []*ledger.Machine, j *ledger.Job, n int) (out []*ledger.Machine, plain bool) {
	plain = true
	var avoid []*ledger.Machine
	for i := range j.Tasks {
		if a := j.Tasks[i].Avoids(v.Now); a != nil {
			avoid = append(avoid, a)
		}
	}
	home, known := homeZone(j)
	if !known {
		return nil, false
	}
	count, _ := zones(j)
	warm := v.warmHold(j)
	var fits []*ledger.Machine
	slots := map[string]int{}
	for _, m := range machines {
		free := m.Free()
		if !j.Spec.Need.Fits(free) || !Allowed(j, m) || !v.mayTake(j, m) {
			continue
		}
		if home != "" && m.Zone != home {
			plain = false
			continue
		}
		cold := false
		if warm && v.Holds[m] == nil {
			_, has := m.Images[j.Spec.Image]
			cold = !has
		}
		if cold || slices.Contains(avoid, m) {
			plain = false
			continue
		}
		fits = append(fits, m)
		slots[m.Zone] += slotsIn(free, j.Spec.Need, n-slots[m.Zone])
	}
	var cs []choice
	for _, m := range fits {
		// Machines are rated only where the gang can come together.
		if !j.Spec.OneZone || slots[m.Zone] >= n {
			cs = append(cs, choice{m, Score(l, v, j, m)})
		}
	}
	slices.SortStableFunc(cs, func(a, b choice) int { return cmp.Compare(b.s, a.s) })
	picks := map[string][]*ledger.Machine{}
	for _, c := range cs {
		z := ""
		if j.Spec.OneZone {
			z = c.m.Zone
		}
		free := c.m.Free()
		for j.Spec.Need.Fits(free) && (j.Spec.OneZone || zoneAllows(j, count, c.m.Zone)) {
			free = free.Sub(j.Spec.Need)
			picks[z] = append(picks[z], c.m)
			count[c.m.Zone]++
			// They come in the order of their rating: the first zone that is
			// complete has the best slowest machine.
			if len(picks[z]) == n {
				return picks[z], plain
			}
		}
	}
	return nil, plain
}
