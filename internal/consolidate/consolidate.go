// Package consolidate is iterative partitioned consolidation, the paper's IPC
// (§4.1, Algorithm 1): it moves running tasks so that whole machines fall
// empty for requests that no single machine has room for.
package consolidate

import (
	"math/rand/v2"
	"sort"
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
	LockedAt model.Priority
}

// Default is the configuration of the design.
func Default() Config {
	return Config{Group: 500, Depth: 3, Rounds: 5, Moves: 8, MaxAge: 10 * time.Minute, LockedAt: model.Production}
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
	for _, j := range left {
		if j.Placed > 0 && j.Spec.Kind == model.Gang {
			continue
		}
		if t := l.Teams[j.Spec.Team]; t == nil || !t.Within(j.Spec.Need) {
			continue
		}
		var sum model.Need
		single := false
		for _, m := range ms {
			if !placement.Allowed(j, m) || (v.Holds[m] != nil && v.Holds[m].Job != j) {
				continue
			}
			sum = sum.Add(m.Free())
			single = single || j.Spec.Need.Fits(m.Free())
		}
		if !single && j.Spec.Need.Fits(sum) {
			return j
		}
	}
	return nil
}

// state is the picture a pass works on: where each task would be.
type state struct {
	cfg    Config
	l      *ledger.Ledger
	v      *placement.View
	free   map[*ledger.Machine]model.Need
	at     map[*ledger.Placement]*ledger.Machine
	on     map[*ledger.Machine][]*ledger.Placement
	fixed  map[*ledger.Machine]bool // not movable
	moves  []Move
	target map[*ledger.Placement]bool
}

// Run looks for a machine that can be emptied for the job. It returns nil if
// none can within the limits.
func Run(l *ledger.Ledger, v *placement.View, ms []*ledger.Machine, j *ledger.Job, cfg Config, rng *rand.Rand) *Plan {
	notMovable := map[*ledger.Machine]bool{}
	for round := 0; round < cfg.Rounds; round++ {
		perm := append([]*ledger.Machine(nil), ms...)
		rng.Shuffle(len(perm), func(a, b int) { perm[a], perm[b] = perm[b], perm[a] })
		for len(perm) > 0 {
			n := min(cfg.Group, len(perm))
			group := perm[:n]
			perm = perm[n:]
			if p := partition(l, v, group, j, cfg, notMovable); p != nil {
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
func partition(l *ledger.Ledger, v *placement.View, group []*ledger.Machine, j *ledger.Job, cfg Config, notMovable map[*ledger.Machine]bool) *Plan {
	order := append([]*ledger.Machine(nil), group...)
	sort.Slice(order, func(a, b int) bool {
		if len(order[a].P) != len(order[b].P) {
			return len(order[a].P) < len(order[b].P)
		}
		return order[a].Name < order[b].Name
	})
	for _, m := range order {
		if notMovable[m] || len(m.P) == 0 || !placement.Allowed(j, m) || !j.Spec.Need.Fits(m.Cap) || v.Holds[m] != nil {
			continue
		}
		s := newState(l, v, order, cfg)
		if s.empty(m) {
			return &Plan{Job: j, Empty: m, Moves: s.moves}
		}
		notMovable[m] = true
	}
	return nil
}

func newState(l *ledger.Ledger, v *placement.View, group []*ledger.Machine, cfg Config) *state {
	s := &state{cfg: cfg, l: l, v: v, free: map[*ledger.Machine]model.Need{}, at: map[*ledger.Placement]*ledger.Machine{},
		on: map[*ledger.Machine][]*ledger.Placement{}, fixed: map[*ledger.Machine]bool{}, target: map[*ledger.Placement]bool{}}
	for _, m := range group {
		if v.Holds[m] != nil {
			continue
		}
		s.free[m] = m.Free()
		s.on[m] = m.List()
		for _, p := range s.on[m] {
			s.at[p] = m
		}
	}
	return s
}

// Movable says whether a task may be moved at all. Locked tasks stay: those of
// the locked priorities, gangs, tasks that are being stopped or have not begun
// to run, and array tasks that have run for too long or would lose their work.
func Movable(p *ledger.Placement, now time.Duration, cfg Config) bool {
	s := p.Job.Spec
	switch {
	case p.Stopping || !p.Durable || p.Job.Final != ledger.Open || s.Kind == model.Gang || s.Priority >= cfg.LockedAt:
		return false
	case p.Phase != model.Running:
		return false
	case s.Kind == model.Array:
		return now-p.RunSince < cfg.MaxAge && s.CheckpointS > 0
	}
	return true
}

func (s *state) empty(m *ledger.Machine) bool {
	delete(s.free, m) // nothing may be moved there
	tasks := append([]*ledger.Placement(nil), s.on[m]...)
	sort.SliceStable(tasks, func(a, b int) bool {
		x, y := tasks[a].Job.Spec.Need, tasks[b].Job.Spec.Need
		return x.GPUs > y.GPUs || (x.GPUs == y.GPUs && x.CPUs > y.CPUs)
	})
	for _, p := range tasks {
		if !s.eject(p, s.cfg.Depth) {
			return false
		}
	}
	return len(s.moves) <= s.cfg.Moves
}

// eject finds a target for a task, pushing tasks of the target onward where
// that makes room; depth is how many moves the chain may still have.
func (s *state) eject(p *ledger.Placement, depth int) bool {
	if depth == 0 || len(s.moves) >= s.cfg.Moves || s.target[p] || !Movable(p, s.v.Now, s.cfg) {
		return false
	}
	from := s.at[p]
	var ms []*ledger.Machine
	for m := range s.free {
		if m != from && s.allowed(p, m) {
			ms = append(ms, m)
		}
	}
	sort.Slice(ms, func(a, b int) bool {
		x, y := s.free[ms[a]], s.free[ms[b]]
		if x.GPUs != y.GPUs {
			return x.GPUs < y.GPUs // the fullest first: big holes are kept whole
		}
		if x.CPUs != y.CPUs {
			return x.CPUs < y.CPUs
		}
		return ms[a].Name < ms[b].Name
	})
	need := p.Job.Spec.Need
	for _, m := range ms {
		if need.Fits(s.free[m]) {
			s.move(p, m)
			return true
		}
	}
	if depth == 1 {
		return false
	}
	for _, m := range ms {
		for _, q := range append([]*ledger.Placement(nil), s.on[m]...) {
			if s.target[q] || !need.Fits(s.free[m].Add(q.Job.Spec.Need)) {
				continue
			}
			n := len(s.moves)
			s.target[p] = true // not to be chosen again further down the chain
			ok := s.eject(q, depth-1)
			delete(s.target, p)
			if ok && need.Fits(s.free[m]) {
				s.move(p, m)
				return true
			}
			s.undo(n)
		}
	}
	return false
}

// allowed holds a target to the placement rules of the task's job, with the
// job's other tasks where the plan has them.
func (s *state) allowed(p *ledger.Placement, m *ledger.Machine) bool {
	j := p.Job
	if !placement.Allowed(j, m) || !placement.Usable(m, s.v) {
		return false
	}
	if !j.Spec.OneZone && !j.Spec.Spread {
		return true
	}
	in := 0
	for i := range j.Tasks {
		q := j.Tasks[i].P
		if q == nil || q == p {
			continue
		}
		at := s.at[q]
		if at == nil {
			at = q.M
		}
		if j.Spec.OneZone && at.Zone != m.Zone {
			return false
		}
		// Until a moved task is gone it counts where it was, too.
		if at.Zone == m.Zone || q.M.Zone == m.Zone {
			in++
		}
	}
	return !j.Spec.Spread || in < j.Spec.MaxPerZone()
}

func (s *state) move(p *ledger.Placement, to *ledger.Machine) {
	s.shift(p, to)
	s.moves = append(s.moves, Move{p, to})
	s.target[p] = true
}

func (s *state) shift(p *ledger.Placement, to *ledger.Machine) {
	from := s.at[p]
	n := p.Job.Spec.Need
	if f, ok := s.free[from]; ok {
		s.free[from] = f.Add(n)
	}
	for i, q := range s.on[from] {
		if q == p {
			s.on[from] = append(append([]*ledger.Placement(nil), s.on[from][:i]...), s.on[from][i+1:]...)
			break
		}
	}
	if f, ok := s.free[to]; ok {
		s.free[to] = f.Sub(n)
	}
	s.on[to] = append(s.on[to], p)
	s.at[p] = to
}

// undo takes back the moves after the first n.
func (s *state) undo(n int) {
	for i := len(s.moves) - 1; i >= n; i-- {
		mv := s.moves[i]
		delete(s.target, mv.P)
		s.shift(mv.P, mv.P.M)
	}
	s.moves = s.moves[:n]
}
