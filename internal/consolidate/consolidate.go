// Package consolidate implements iterative partitioned consolidation, IPC, of the paper
// "Heterogeneity at Hyperscale" (§4.1, Algorithm 1): it plans moves of running tasks that
// empty whole machines for requests that no single machine has room for.
package consolidate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/placement"
)

// Config holds the limits of the algorithm.
type Config struct {
	GroupSize      int            // machines per group
	MaxDepth       int            // longest ejection chain
	Rounds         int            // rounds of dividing the machines into groups and searching each
	MaxMoves       int            // moves per plan
	MaxAge         time.Duration  // array tasks that have run for longer are not moved
	MaxSteps       int            // targets and tasks examined by a call of Run
	LockedPriority model.Priority // tasks of this priority or higher are not moved
}

// Default returns the default configuration. Group size, depth and rounds are those of the
// paper.
func Default() Config {
	return Config{GroupSize: 500, MaxDepth: 3, Rounds: 5, MaxMoves: 8, MaxAge: 10 * time.Minute, MaxSteps: 200_000, LockedPriority: model.Production}
}

// Move is the move of a task to another machine.
type Move struct {
	P  *ledger.Placement
	To *ledger.Machine
}

// Plan is a set of moves that empties a machine for a waiting job.
type Plan struct {
	Job   *ledger.Job
	Empty *ledger.Machine // the machine that the moves empty
	Moves []Move
}

// FindBlockedJob returns the first waiting job of which a task fits the sum of the free
// resources, but no single machine. It returns nil if there is none.
func FindBlockedJob(l *ledger.Ledger, v *placement.View, ms []*ledger.Machine, waiting []*ledger.Job) *ledger.Job {
	var rejected []*model.Spec // of jobs that don't qualify
	for _, j := range waiting {
		if j.Placed > 0 && j.Spec.Kind == model.Gang {
			continue
		}
		if t := l.Teams[j.Spec.Team]; t == nil || !t.WithinLimit(j.Spec.Resources) || l.TasksWithinUnits(j) < 1 {
			continue
		}
		if slices.ContainsFunc(rejected, func(s *model.Spec) bool {
			return s.Resources == j.Spec.Resources && placement.SameConstraints(s, j.Spec)
		}) {
			continue
		}
		var sum model.Resources
		single := false
		for _, m := range ms {
			if !placement.Allowed(j, m) || (v.Holds[m] != nil && v.Holds[m].Job != j) {
				continue
			}
			sum = sum.Add(m.Free())
			single = single || j.Spec.Resources.Fits(m.Free())
		}
		if !single && j.Spec.Resources.Fits(sum) {
			return j
		}
		rejected = append(rejected, j.Spec)
	}
	return nil
}

// search is the planned state of one group: the machine of each task after the planned moves.
// It is built once for a group. The moves of a failed attempt are undone before the next
// machine is tried.
type search struct {
	cfg            Config
	v              *placement.View
	ms             []*ledger.Machine // of the group, ordered by free resources, least first
	free           []model.Resources
	placements     [][]*ledger.Placement
	movedTo        map[*ledger.Placement]int // target machines of the moved tasks
	withRoom       []int                     // machines that have, or had, free resources
	listedWithRoom []bool                    // machines that are in withRoom
	emptying       int                       // the machine to be emptied, which can't be a target
	moves          []plannedMove
	taken          map[*ledger.Placement]bool // tasks that are moved or in the current chain
	steps          int                        // remaining steps of Config.MaxSteps
}

type plannedMove struct {
	p        *ledger.Placement
	from, to int
}

// Run searches for a machine that can be emptied for the job. It returns nil if there is
// none within the limits.
func Run(l *ledger.Ledger, v *placement.View, ms []*ledger.Machine, j *ledger.Job, cfg Config, rng *rand.Rand) *Plan {
	notEmptiable := map[*ledger.Machine]bool{}
	steps := cfg.MaxSteps
	for round := 0; round < cfg.Rounds; round++ {
		shuffled := append([]*ledger.Machine(nil), ms...)
		rng.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		for len(shuffled) > 0 {
			n := min(cfg.GroupSize, len(shuffled))
			group := shuffled[:n]
			shuffled = shuffled[n:]
			if p := partition(v, group, j, cfg, notEmptiable, &steps); p != nil {
				return p
			}
		}
		if len(ms) <= cfg.GroupSize {
			// There is only one group, so that another round would find the same.
			return nil
		}
	}
	return nil
}

// partition runs Algorithm 1 on one group and stops at the first machine that can be
// emptied.
func partition(v *placement.View, group []*ledger.Machine, j *ledger.Job, cfg Config, notEmptiable map[*ledger.Machine]bool, steps *int) *Plan {
	s := newSearch(v, group, cfg)
	s.steps = *steps
	defer func() { *steps = s.steps }()
	order := make([]int, len(s.ms))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(s.placements[a]), len(s.placements[b])), cmp.Compare(s.ms[a].Name, s.ms[b].Name))
	})
	for _, i := range order {
		m := s.ms[i]
		if notEmptiable[m] || len(m.Placements) == 0 || !placement.Allowed(j, m) || !j.Spec.Resources.Fits(m.Cap) {
			continue
		}
		if len(m.Placements) > cfg.MaxMoves {
			return nil // all following machines have at least as many tasks
		}
		if s.steps <= 0 {
			return nil
		}
		locked := slices.ContainsFunc(m.Placements, func(p *ledger.Placement) bool { return !Movable(p, v.Now, cfg) })
		if !locked && s.emptyMachine(i) {
			return s.plan(j, m)
		}
		s.undo(0)
		notEmptiable[m] = true
	}
	return nil
}

func (s *search) plan(j *ledger.Job, m *ledger.Machine) *Plan {
	p := &Plan{Job: j, Empty: m}
	for _, mv := range s.moves {
		p.Moves = append(p.Moves, Move{mv.p, s.ms[mv.to]})
	}
	return p
}

func newSearch(v *placement.View, group []*ledger.Machine, cfg Config) *search {
	s := &search{cfg: cfg, v: v, movedTo: map[*ledger.Placement]int{}, taken: map[*ledger.Placement]bool{}}
	for _, m := range group {
		if v.Holds[m] == nil && placement.Usable(m, v) {
			s.ms = append(s.ms, m)
		}
	}
	slices.SortFunc(s.ms, func(a, b *ledger.Machine) int {
		x, y := a.Free(), b.Free() // least free resources first, to keep large free blocks whole
		return cmp.Or(cmp.Compare(x.GPUs, y.GPUs), cmp.Compare(x.CPUs, y.CPUs), cmp.Compare(a.Name, b.Name))
	})
	s.free = make([]model.Resources, len(s.ms))
	s.placements = make([][]*ledger.Placement, len(s.ms))
	s.listedWithRoom = make([]bool, len(s.ms))
	for i, m := range s.ms {
		s.free[i] = m.Free()
		s.placements[i] = m.Placements
		s.listIfRoom(i)
	}
	return s
}

func (s *search) listIfRoom(i int) {
	if f := s.free[i]; !s.listedWithRoom[i] && (f.CPUs > 0 || f.GPUs > 0) {
		s.listedWithRoom[i] = true
		s.withRoom = append(s.withRoom, i)
	}
}

// Movable reports whether a task may be moved. The task must be running and not being stopped,
// its placement must be durable, and no roll-out or port may bind it to its machine. Its job
// must not have ended, be a gang or have a locked priority. A task of an array must also be able
// to save its progress and not have run for too long.
func Movable(p *ledger.Placement, now time.Duration, cfg Config) bool {
	s := p.Job.Spec
	switch {
	case p.Stopping || !p.Durable || p.Job.Rolling || p.Job.Port > 0 || p.Job.Final != ledger.Open || s.Kind == model.Gang || s.Priority >= cfg.LockedPriority:
		return false
	case p.Phase != model.Running:
		return false
	case s.Kind == model.Array:
		return now-p.RunSince < cfg.MaxAge && s.CheckpointS > 0
	}
	return true
}

// emptyMachine plans the moves of all tasks of machine i, the largest first, and reports
// whether that succeeded.
func (s *search) emptyMachine(i int) bool {
	s.emptying = i
	tasks := slices.Clone(s.placements[i])
	slices.SortStableFunc(tasks, func(a, b *ledger.Placement) int {
		x, y := a.Job.Spec.Resources, b.Job.Spec.Resources
		return cmp.Or(cmp.Compare(y.GPUs, x.GPUs), cmp.Compare(y.CPUs, x.CPUs))
	})
	for _, p := range tasks {
		if !s.eject(p, i, s.cfg.MaxDepth) {
			return false
		}
	}
	return len(s.moves) <= s.cfg.MaxMoves
}

// eject plans the move of a task to another machine, and first of a task of that machine to
// a third one if it has no room. depth is how many moves the chain may still have.
func (s *search) eject(p *ledger.Placement, from, depth int) bool {
	if depth == 0 || len(s.moves) >= s.cfg.MaxMoves || s.taken[p] || s.steps <= 0 || !Movable(p, s.v.Now, s.cfg) {
		return false
	}
	need := p.Job.Spec.Resources
	best := -1
	for _, i := range s.withRoom {
		s.steps--
		if i == from || i == s.emptying || !need.Fits(s.free[i]) || (best >= 0 && !s.fuller(i, best)) || !s.allowed(p, i) {
			continue
		}
		best = i
	}
	if best >= 0 {
		s.move(p, from, best)
		return true
	}
	if depth == 1 {
		return false
	}
	for i := range s.ms {
		if i == from || i == s.emptying || !s.allowed(p, i) {
			continue
		}
		for _, q := range slices.Clone(s.placements[i]) {
			if s.steps--; s.steps <= 0 {
				return false
			}
			// If q is at least as large as p and may use the same machines, p fits wherever q does.
			if s.taken[q] || !need.Fits(s.free[i].Add(q.Job.Spec.Resources)) || need.Fits(q.Job.Spec.Resources) && placement.SameConstraints(p.Job.Spec, q.Job.Spec) {
				continue
			}
			n := len(s.moves)
			s.taken[p] = true // excludes p from the rest of the chain
			ok := s.eject(q, i, depth-1)
			delete(s.taken, p)
			if ok && need.Fits(s.free[i]) {
				s.move(p, from, i)
				return true
			}
			s.undo(n)
		}
	}
	return false
}

func (s *search) fuller(a, b int) bool {
	x, y := s.free[a], s.free[b]
	if x.GPUs != y.GPUs {
		return x.GPUs < y.GPUs
	}
	if x.CPUs != y.CPUs {
		return x.CPUs < y.CPUs
	}
	return s.ms[a].Name < s.ms[b].Name
}

// allowed reports whether the placement rules of the task's job allow machine i, with the
// job's other tasks on their planned machines.
func (s *search) allowed(p *ledger.Placement, i int) bool {
	j, m := p.Job, s.ms[i]
	if !placement.Allowed(j, m) {
		return false
	}
	if !j.Spec.OneZone && !j.Spec.Spread {
		return true
	}
	inZone := 0
	for k := range j.Tasks {
		q := j.Tasks[k].CurrentPlacement
		if q == nil || q == p {
			continue
		}
		zone := q.Host.Zone
		if to, ok := s.movedTo[q]; ok {
			zone = s.ms[to].Zone
		}
		if j.Spec.OneZone && zone != m.Zone {
			return false
		}
		// A moved task also counts in its old zone until it is gone from there.
		if zone == m.Zone || q.Host.Zone == m.Zone {
			inZone++
		}
	}
	return !j.Spec.Spread || inZone < j.Spec.MaxPerZone()
}

func (s *search) move(p *ledger.Placement, from, to int) {
	s.shift(p, from, to)
	s.movedTo[p] = to
	s.moves = append(s.moves, plannedMove{p, from, to})
	s.taken[p] = true
}

func (s *search) shift(p *ledger.Placement, from, to int) {
	n := p.Job.Spec.Resources
	s.free[from] = s.free[from].Add(n)
	s.free[to] = s.free[to].Sub(n)
	// The task lists are initially the machines' own, so they are copied, not modified.
	i := slices.Index(s.placements[from], p)
	s.placements[from] = slices.Concat(s.placements[from][:i], s.placements[from][i+1:])
	s.placements[to] = append(slices.Clone(s.placements[to]), p)
	s.listIfRoom(from)
}

// undo reverts all moves after the first n.
func (s *search) undo(n int) {
	for i := len(s.moves) - 1; i >= n; i-- {
		mv := s.moves[i]
		delete(s.taken, mv.p)
		delete(s.movedTo, mv.p)
		s.shift(mv.p, mv.to, mv.from)
	}
	s.moves = s.moves[:n]
}
