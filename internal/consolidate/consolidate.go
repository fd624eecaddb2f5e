// Package consolidate is iterative partitioned consolidation, the paper's IPC
// (§4.1, Algorithm 1): it moves running tasks so that whole machines fall
// empty for requests that no single machine has room for.
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

// Config of the algorithm. The group size, the depth and the rounds are the
// paper's; the rest are the project's defaults.
type Config struct {
	Group    int           // machines in a group
	Depth    int           // longest ejection chain
	Rounds   int           // rounds of dividing and chaining
	Moves    int           // most moves of a pass
	MaxAge   time.Duration // array tasks that run for longer stay
	Steps    int           // bound on the work of a pass: targets and tasks looked at
	LockedAt model.Priority
}

// Default is the configuration of the design.
func Default() Config {
	return Config{Group: 500, Depth: 3, Rounds: 5, Moves: 8, MaxAge: 10 * time.Minute, Steps: 200_000, LockedAt: model.Production}
}

// Move is a task's move to another machine.
type Move struct {
	P  *ledger.Placement
	To *ledger.Machine
}

// Plan is what a pass would do for a waiting job.
type Plan struct {
	Job   *ledger.Job
	Empty *ledger.Machine // the machine that falls empty
	Moves []Move
}

// Triggered finds the first waiting job of which a task fits the summed free
// room but no single machine.
func Triggered(l *ledger.Ledger, v *placement.View, ms []*ledger.Machine, left []*ledger.Job) *ledger.Job {
	var no []*model.Spec // looked at in vain
	for _, j := range left {
		if j.Placed > 0 && j.Spec.Kind == model.Gang {
			continue
		}
		if t := l.Teams[j.Spec.Team]; t == nil || !t.WithinLimit(j.Spec.Resources) || l.TasksWithinUnits(j) < 1 {
			continue
		}
		if slices.ContainsFunc(no, func(s *model.Spec) bool {
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
		no = append(no, j.Spec)
	}
	return nil
}

// state is the picture a pass works on: where each task would be. It is made
// once for a group; what a chain has moved is taken back before the next
// machine is tried.
type state struct {
	cfg    Config
	v      *placement.View
	ms     []*ledger.Machine // of the group, the fullest first
	free   []model.Resources
	on     [][]*ledger.Placement
	at     map[*ledger.Placement]int // of those that were moved
	room   []int                     // machines that have, or had, room
	inRoom []bool
	out    int // the machine to be emptied: nothing may be moved there
	moves  []step
	target map[*ledger.Placement]bool
	steps  int // left to try
}

type step struct {
	p        *ledger.Placement
	from, to int
}

// Run looks for a machine that can be emptied for the job. It returns nil if
// none can within the limits.
func Run(l *ledger.Ledger, v *placement.View, ms []*ledger.Machine, j *ledger.Job, cfg Config, rng *rand.Rand) *Plan {
	notMovable := map[*ledger.Machine]bool{}
	steps := cfg.Steps
	for round := 0; round < cfg.Rounds; round++ {
		perm := append([]*ledger.Machine(nil), ms...)
		rng.Shuffle(len(perm), func(a, b int) { perm[a], perm[b] = perm[b], perm[a] })
		for len(perm) > 0 {
			n := min(cfg.Group, len(perm))
			group := perm[:n]
			perm = perm[n:]
			if p := partition(v, group, j, cfg, notMovable, &steps); p != nil {
				return p
			}
		}
		if len(ms) <= cfg.Group {
			// Another division would be the same: all marks stand.
			return nil
		}
	}
	return nil
}

// partition is Algorithm 1 for one group, ended by the first machine that
// serves the request.
func partition(v *placement.View, group []*ledger.Machine, j *ledger.Job, cfg Config, notMovable map[*ledger.Machine]bool, steps *int) *Plan {
	s := newState(v, group, cfg)
	s.steps = *steps
	defer func() { *steps = s.steps }()
	order := make([]int, len(s.ms))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(len(s.on[a]), len(s.on[b])), cmp.Compare(s.ms[a].Name, s.ms[b].Name))
	})
	for _, i := range order {
		m := s.ms[i]
		if notMovable[m] || len(m.Placements) == 0 || !placement.Allowed(j, m) || !j.Spec.Resources.Fits(m.Cap) {
			continue
		}
		if len(m.Placements) > cfg.Moves {
			return nil // and so have all that follow
		}
		if s.steps <= 0 {
			return nil
		}
		locked := slices.ContainsFunc(m.Placements, func(p *ledger.Placement) bool { return !Movable(p, v.Now, cfg) })
		if !locked && s.empty(i) {
			return s.plan(j, m)
		}
		s.undo(0)
		notMovable[m] = true
	}
	return nil
}

func (s *state) plan(j *ledger.Job, m *ledger.Machine) *Plan {
	p := &Plan{Job: j, Empty: m}
	for _, mv := range s.moves {
		p.Moves = append(p.Moves, Move{mv.p, s.ms[mv.to]})
	}
	return p
}

func newState(v *placement.View, group []*ledger.Machine, cfg Config) *state {
	s := &state{cfg: cfg, v: v, at: map[*ledger.Placement]int{}, target: map[*ledger.Placement]bool{}}
	for _, m := range group {
		if v.Holds[m] == nil && placement.Usable(m, v) {
			s.ms = append(s.ms, m)
		}
	}
	slices.SortFunc(s.ms, func(a, b *ledger.Machine) int {
		x, y := a.Free(), b.Free() // the fullest first: big holes are kept whole
		return cmp.Or(cmp.Compare(x.GPUs, y.GPUs), cmp.Compare(x.CPUs, y.CPUs), cmp.Compare(a.Name, b.Name))
	})
	s.free = make([]model.Resources, len(s.ms))
	s.on = make([][]*ledger.Placement, len(s.ms))
	s.inRoom = make([]bool, len(s.ms))
	for i, m := range s.ms {
		s.free[i] = m.Free()
		s.on[i] = m.Placements
		s.hasRoom(i)
	}
	return s
}

func (s *state) hasRoom(i int) {
	if f := s.free[i]; !s.inRoom[i] && (f.CPUs > 0 || f.GPUs > 0) {
		s.inRoom[i] = true
		s.room = append(s.room, i)
	}
}

// Movable says whether a task may be moved at all. Locked tasks stay: those of
// the locked priorities, gangs, tasks that are being stopped or have not begun
// to run, and array tasks that have run for too long or would lose their work.
func Movable(p *ledger.Placement, now time.Duration, cfg Config) bool {
	s := p.Job.Spec
	switch {
	case p.Stopping || !p.Durable || p.Job.Rolling || p.Job.Port > 0 || p.Job.Final != ledger.Open || s.Kind == model.Gang || s.Priority >= cfg.LockedAt:
		return false
	case p.Phase != model.Running:
		return false
	case s.Kind == model.Array:
		return now-p.RunSince < cfg.MaxAge && s.CheckpointS > 0
	}
	return true
}

func (s *state) empty(i int) bool {
	s.out = i
	tasks := slices.Clone(s.on[i])
	slices.SortStableFunc(tasks, func(a, b *ledger.Placement) int {
		x, y := a.Job.Spec.Resources, b.Job.Spec.Resources
		return cmp.Or(cmp.Compare(y.GPUs, x.GPUs), cmp.Compare(y.CPUs, x.CPUs))
	})
	for _, p := range tasks {
		if !s.eject(p, i, s.cfg.Depth) {
			return false
		}
	}
	return len(s.moves) <= s.cfg.Moves
}

// eject finds a target for a task, pushing tasks of the target onward where
// that makes room; depth is how many moves the chain may still have.
func (s *state) eject(p *ledger.Placement, from, depth int) bool {
	if depth == 0 || len(s.moves) >= s.cfg.Moves || s.target[p] || s.steps <= 0 || !Movable(p, s.v.Now, s.cfg) {
		return false
	}
	need := p.Job.Spec.Resources
	best := -1
	for _, i := range s.room {
		s.steps--
		if i == from || i == s.out || !need.Fits(s.free[i]) || (best >= 0 && !s.fuller(i, best)) || !s.allowed(p, i) {
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
		if i == from || i == s.out || !s.allowed(p, i) {
			continue
		}
		for _, q := range slices.Clone(s.on[i]) {
			if s.steps--; s.steps <= 0 {
				return false
			}
			// Where a task alike and as large could go, this one could go itself.
			if s.target[q] || !need.Fits(s.free[i].Add(q.Job.Spec.Resources)) || need.Fits(q.Job.Spec.Resources) && placement.SameConstraints(p.Job.Spec, q.Job.Spec) {
				continue
			}
			n := len(s.moves)
			s.target[p] = true // not to be chosen again further down the chain
			ok := s.eject(q, i, depth-1)
			delete(s.target, p)
			if ok && need.Fits(s.free[i]) {
				s.move(p, from, i)
				return true
			}
			s.undo(n)
		}
	}
	return false
}

func (s *state) fuller(a, b int) bool {
	x, y := s.free[a], s.free[b]
	if x.GPUs != y.GPUs {
		return x.GPUs < y.GPUs
	}
	if x.CPUs != y.CPUs {
		return x.CPUs < y.CPUs
	}
	return s.ms[a].Name < s.ms[b].Name
}

// allowed holds a target to the placement rules of the task's job, with the
// job's other tasks where the plan has them.
func (s *state) allowed(p *ledger.Placement, i int) bool {
	j, m := p.Job, s.ms[i]
	if !placement.Allowed(j, m) {
		return false
	}
	if !j.Spec.OneZone && !j.Spec.Spread {
		return true
	}
	in := 0
	for k := range j.Tasks {
		q := j.Tasks[k].CurrentPlacement
		if q == nil || q == p {
			continue
		}
		zone := q.Host.Zone
		if to, ok := s.at[q]; ok {
			zone = s.ms[to].Zone
		}
		if j.Spec.OneZone && zone != m.Zone {
			return false
		}
		// Until a moved task is gone it counts where it was, too.
		if zone == m.Zone || q.Host.Zone == m.Zone {
			in++
		}
	}
	return !j.Spec.Spread || in < j.Spec.MaxPerZone()
}

func (s *state) move(p *ledger.Placement, from, to int) {
	s.shift(p, from, to)
	s.at[p] = to
	s.moves = append(s.moves, step{p, from, to})
	s.target[p] = true
}

func (s *state) shift(p *ledger.Placement, from, to int) {
	n := p.Job.Spec.Resources
	s.free[from] = s.free[from].Add(n)
	s.free[to] = s.free[to].Sub(n)
	// The lists begin as the machines' own: they are replaced, never changed.
	i := slices.Index(s.on[from], p)
	s.on[from] = slices.Concat(s.on[from][:i], s.on[from][i+1:])
	s.on[to] = append(slices.Clone(s.on[to]), p)
	s.hasRoom(from)
}

// undo takes back the moves after the first n.
func (s *state) undo(n int) {
	for i := len(s.moves) - 1; i >= n; i-- {
		mv := s.moves[i]
		delete(s.target, mv.p)
		delete(s.at, mv.p)
		s.shift(mv.p, mv.to, mv.from)
	}
	s.moves = s.moves[:n]
}
