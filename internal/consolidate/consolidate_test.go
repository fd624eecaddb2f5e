package consolidate

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/placement"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
)

type env struct {
	timers actor.Timers
	rng    *rand.Rand
}

func (e *env) Now() time.Duration                           { return 100 * time.Second }
func (e *env) Wall() time.Time                              { return time.Unix(0, 0) }
func (e *env) Rand() *rand.Rand                             { return e.rng }
func (e *env) Log() *slog.Logger                            { return slog.New(slog.DiscardHandler) }
func (e *env) Call(actor.Call)                              {}
func (e *env) After(d time.Duration, f func()) *actor.Timer { return e.timers.Add(d, f) }

type world struct {
	t *testing.T
	l *ledger.Ledger
	v *placement.View
	n int
}

// newWorld has machines a, b, c… with the given numbers of GPUs.
func newWorld(t *testing.T, gpus ...float64) *world {
	e := &env{rng: rand.New(rand.NewPCG(1, 1))}
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 8}), 1,
		[]settings.Team{{Name: "t"}})
	w := &world{t: t, l: l, v: &placement.View{Now: e.Now(), SilentAfter: time.Minute, Holds: map[*ledger.Machine]*placement.Hold{}}}
	for i, g := range gpus {
		name := string(rune('a' + i))
		if i >= 26 {
			name = fmt.Sprintf("m%03d", i)
		}
		typ := fmt.Sprintf("g%v", g)
		l.Types[typ] = &model.MachineType{Name: typ, Cap: model.Resources{CPUs: 100, GPUs: g, MemGB: 100}}
		m := l.Machine(name)
		m.Reported, m.LastReport = true, e.Now()
		l.Describe(m, typ, "z", false)
	}
	return w
}

func (w *world) job(kind model.Kind, gpus float64) *ledger.Job {
	w.n++
	return w.jobOf(model.Spec{ID: fmt.Sprintf("j-%d", w.n), Team: "t", Kind: kind, Tasks: 1, Resources: model.Resources{GPUs: gpus}, CheckpointS: 5, SaveS: 1, Priority: model.Normal})
}

func (w *world) jobOf(s model.Spec) *ledger.Job {
	rec := ledger.NewRecord(&s, 0, "", 48)
	w.l.ApplyJobRecord(ledger.JobKey(s.ID), &statestore.Item{Value: rec.Encode(), Stamp: uint64(w.n)})
	return w.l.Jobs[s.ID]
}

// run puts a running task of a new array on a machine.
func (w *world) run(machine string, gpus float64) *ledger.Placement {
	return w.place(w.job(model.Array, gpus), 0, machine)
}

func (w *world) place(j *ledger.Job, task int, machine string) *ledger.Placement {
	p := w.l.Plan(j, task, 1, w.l.Machines[machine])
	p.Durable, p.SeenInReport, p.Phase, p.RunSince = true, true, model.Running, w.v.Now-time.Second
	return p
}

func (w *world) plan(j *ledger.Job, cfg Config) *Plan {
	ms := placement.Candidates(w.l, w.v)
	if Triggered(w.l, w.v, ms, []*ledger.Job{j}) == nil {
		return nil
	}
	p := Run(w.l, w.v, ms, j, cfg, rand.New(rand.NewPCG(3, 3)))
	if p != nil {
		w.check(p, cfg)
	}
	return p
}

// check replays the moves from the last to the first: the end of a chain makes
// room for what comes before it. In the end nothing may be over-full.
func (w *world) check(p *Plan, cfg Config) {
	w.t.Helper()
	if len(p.Moves) > cfg.Moves {
		w.t.Errorf("%d moves, at most %d are allowed", len(p.Moves), cfg.Moves)
	}
	free := map[*ledger.Machine]model.Resources{}
	for _, m := range w.l.Machines {
		free[m] = m.Free()
	}
	seen := map[*ledger.Placement]bool{}
	for _, mv := range p.Moves {
		if seen[mv.P] || mv.To == mv.P.Host || mv.To == p.Empty {
			w.t.Errorf("bad move of %s from %s to %s", mv.P.Job.Spec.ID, mv.P.Host.Name, mv.To.Name)
		}
		seen[mv.P] = true
		if !Movable(mv.P, w.v.Now, cfg) || !placement.Allowed(mv.P.Job, mv.To) {
			w.t.Errorf("%s may not be moved to %s", mv.P.Job.Spec.ID, mv.To.Name)
		}
		free[mv.P.Host] = free[mv.P.Host].Add(mv.P.Job.Spec.Resources)
		free[mv.To] = free[mv.To].Sub(mv.P.Job.Spec.Resources)
	}
	for m, f := range free {
		if !(model.Resources{}).Fits(f) {
			w.t.Errorf("%s is over-full after the moves: %+v", m.Name, f)
		}
	}
	if !p.Job.Spec.Resources.Fits(free[p.Empty]) {
		w.t.Errorf("%s doesn't take the job after the moves: %+v", p.Empty.Name, free[p.Empty])
	}
}

// chain has a task of 4 GPUs waiting, machine a of 4 GPUs with a task of 3, and
// a row of machines on which each task is smaller by what the next has free:
// the task fits only if the row moves along, by as many moves as asked.
func chain(t *testing.T, moves int) (*world, *ledger.Job) {
	sizes := []float64{8, 7, 6, 5, 4}
	caps := []float64{10}
	for i := 0; i < moves; i++ {
		caps = append(caps, 0)
	}
	w := (*world)(nil)
	// Machine i holds a task of sizes[i]; all but the last have 1 GPU free
	// beside it, the last takes the task before it as it is.
	for i := 1; i <= moves; i++ {
		caps[i] = sizes[i] + 1
		if i == moves {
			caps[i] = sizes[i-1]
		}
	}
	w = newWorld(t, caps...)
	w.run("a", sizes[0])
	for i := 1; i < moves; i++ {
		w.run(string(rune('a'+i)), sizes[i])
	}
	return w, w.job(model.Gang, 10)
}

func TestChainOfThree(t *testing.T) {
	w, j := chain(t, 3)
	// Greedily, the task of machine a fits nowhere: b has 1 free, c has 1, and
	// d, which is empty, is too small for it.
	for _, m := range []string{"b", "c", "d"} {
		if (model.Resources{GPUs: 8}).Fits(w.l.Machines[m].Free()) {
			t.Fatalf("a greedy fit solves it on %s", m)
		}
	}
	p := w.plan(j, Default())
	if p == nil || p.Empty.Name != "a" || len(p.Moves) != 3 {
		t.Fatalf("plan %+v", p)
	}
	cfg := Default()
	cfg.Depth = 2
	if p := w.plan(j, cfg); p != nil {
		t.Fatalf("a chain of 3 was found at depth 2: %+v", p)
	}
}

func TestChainOfFourIsRefused(t *testing.T) {
	w, j := chain(t, 4)
	if p := w.plan(j, Default()); p != nil {
		t.Fatalf("a chain of 4 was found at depth 3: %+v", p)
	}
	cfg := Default()
	cfg.Depth = 4
	if p := w.plan(j, cfg); p == nil || len(p.Moves) != 4 {
		t.Fatalf("depth 4 should solve it: %+v", p)
	}
}

func TestFewestTasksFirstAndLocked(t *testing.T) {
	w := newWorld(t, 4, 4, 4)
	w.run("a", 1)
	w.run("a", 1)
	one := w.run("b", 1)
	w.run("c", 1)
	w.run("c", 1)
	j := w.job(model.Gang, 4)
	if p := w.plan(j, Default()); p == nil || p.Empty.Name != "b" || len(p.Moves) != 1 {
		t.Fatalf("plan %+v", p)
	}
	for name, lock := range map[string]func(){
		"priority": func() { one.Job.Spec.Priority = model.Production },
		"age":      func() { one.RunSince = w.v.Now - time.Hour },
		"unsaved":  func() { one.Job.Spec.CheckpointS = 0 },
		"gang":     func() { one.Job.Spec.Kind = model.Gang },
		"stopping": func() { one.Stopping = true },
	} {
		spec, p := *one.Job.Spec, *one
		lock()
		if plan := w.plan(j, Default()); plan == nil || plan.Empty.Name == "b" {
			t.Errorf("%s: plan %+v", name, plan)
		}
		*one.Job.Spec, *one = spec, p
	}
	cfg := Default()
	cfg.Moves = 0
	if p := w.plan(j, cfg); p != nil {
		t.Errorf("moves beyond the cap: %+v", p)
	}
}

func TestTrigger(t *testing.T) {
	w := newWorld(t, 4, 4)
	w.run("a", 1)
	j := w.job(model.Gang, 4)
	if p := w.plan(j, Default()); p != nil {
		t.Fatalf("machine b has room, nothing should move: %+v", p)
	}
	w.run("b", 3)
	if p := w.plan(w.job(model.Gang, 5), Default()); p != nil {
		t.Fatalf("no machine is that large: %+v", p)
	}
	if p := w.plan(j, Default()); p == nil {
		t.Fatal("a can be emptied into b")
	}
}

func TestZoneRules(t *testing.T) {
	w := newWorld(t, 4, 4, 4)
	w.l.Machines["c"].Zone = "y"
	s := model.Spec{ID: "j-77", Team: "t", Tasks: 2, OneZone: true, Resources: model.Resources{GPUs: 2}, CheckpointS: 5}
	w.n = 77
	pair := w.jobOf(s)
	w.place(pair, 0, "a")
	w.place(pair, 1, "b")
	w.run("b", 1)
	w.run("c", 1)
	// Task 0 would fit on c at once, but that is in another zone than task 1:
	// it can only go to b, after b's small task has gone to c.
	p := w.plan(w.job(model.Gang, 4), Default())
	if p == nil || p.Empty.Name != "a" || len(p.Moves) != 2 {
		t.Fatalf("plan %+v", p)
	}
	for _, mv := range p.Moves {
		if mv.P.Job == pair && mv.To.Name != "b" {
			t.Errorf("task of %s goes to %s", mv.P.Job.Spec.ID, mv.To.Name)
		}
	}
}

// TestRandomWorlds holds plans for random worlds to fit, rules and cap.
func TestRandomWorlds(t *testing.T) {
	found := 0
	for seed := uint64(0); seed < 300; seed++ {
		r := rand.New(rand.NewPCG(seed, 9))
		caps := make([]float64, 3+r.IntN(30))
		for i := range caps {
			caps[i] = 8
		}
		w := newWorld(t, caps...)
		for _, m := range placement.Candidates(w.l, w.v) {
			for k := r.IntN(5); k > 0; k-- {
				if g := float64(1 + r.IntN(4)); g <= m.Free().GPUs {
					w.run(m.Name, g)
				}
			}
			if len(m.Placements) == 0 {
				w.run(m.Name, 1)
			}
		}
		cfg := Default()
		cfg.Group = 3 + r.IntN(10)
		if w.plan(w.job(model.Gang, 8), cfg) != nil {
			found++
		}
	}
	if found < 50 {
		t.Errorf("only %d plans in 300 worlds", found)
	}
}
