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

type testCluster struct {
	t *testing.T
	l *ledger.Ledger
	v *placement.View
	n int
}

// newTestCluster returns a cluster of machines a, b, c… with the given numbers of GPUs.
func newTestCluster(t *testing.T, gpus ...float64) *testCluster {
	e := &env{rng: rand.New(rand.NewPCG(1, 1))}
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 8}), 1,
		[]settings.Team{{Name: "t"}})
	c := &testCluster{t: t, l: l, v: &placement.View{Now: e.Now(), SilentAfter: time.Minute, Holds: map[*ledger.Machine]*placement.Hold{}}}
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
	return c
}

func (c *testCluster) job(kind model.Kind, gpus float64) *ledger.Job {
	c.n++
	return c.jobOf(model.Spec{ID: fmt.Sprintf("j-%d", c.n), Team: "t", Kind: kind, Tasks: 1, Resources: model.Resources{GPUs: gpus}, CheckpointS: 5, SaveS: 1, Priority: model.Normal})
}

func (c *testCluster) jobOf(s model.Spec) *ledger.Job {
	rec := ledger.NewRecord(&s, 0, "", 48)
	c.l.ApplyJobRecord(ledger.JobKey(s.ID), &statestore.Item{Value: rec.Encode(), Revision: uint64(c.n)})
	return c.l.Jobs[s.ID]
}

// run places a running task of a new array on a machine.
func (c *testCluster) run(machine string, gpus float64) *ledger.Placement {
	return c.place(c.job(model.Array, gpus), 0, machine)
}

func (c *testCluster) place(j *ledger.Job, task int, machine string) *ledger.Placement {
	p := c.l.Plan(j, task, 1, c.l.Machines[machine])
	p.Durable, p.SeenInReport, p.Phase, p.RunSince = true, true, model.Running, c.v.Now-time.Second
	return p
}

func (c *testCluster) plan(j *ledger.Job, cfg Config) *Plan {
	ms := placement.Candidates(c.l, c.v)
	if FindBlockedJob(c.l, c.v, ms, []*ledger.Job{j}) == nil {
		return nil
	}
	p := Run(c.l, c.v, ms, j, cfg, rand.New(rand.NewPCG(3, 3)))
	if p != nil {
		c.check(p, cfg)
	}
	return p
}

// check applies a plan's moves, and checks that each is allowed and that no machine has more
// tasks afterwards than it has room for.
func (c *testCluster) check(p *Plan, cfg Config) {
	c.t.Helper()
	if len(p.Moves) > cfg.MaxMoves {
		c.t.Errorf("%d moves, at most %d are allowed", len(p.Moves), cfg.MaxMoves)
	}
	free := map[*ledger.Machine]model.Resources{}
	for _, m := range c.l.Machines {
		free[m] = m.Free()
	}
	seen := map[*ledger.Placement]bool{}
	for _, mv := range p.Moves {
		if seen[mv.P] || mv.To == mv.P.Host || mv.To == p.Empty {
			c.t.Errorf("bad move of %s from %s to %s", mv.P.Job.Spec.ID, mv.P.Host.Name, mv.To.Name)
		}
		seen[mv.P] = true
		if !Movable(mv.P, c.v.Now, cfg) || !placement.Allowed(mv.P.Job, mv.To) {
			c.t.Errorf("%s may not be moved to %s", mv.P.Job.Spec.ID, mv.To.Name)
		}
		free[mv.P.Host] = free[mv.P.Host].Add(mv.P.Job.Spec.Resources)
		free[mv.To] = free[mv.To].Sub(mv.P.Job.Spec.Resources)
	}
	for m, f := range free {
		if !(model.Resources{}).Fits(f) {
			c.t.Errorf("%s is overcommitted after the moves: %+v", m.Name, f)
		}
	}
	if !p.Job.Spec.Resources.Fits(free[p.Empty]) {
		c.t.Errorf("the job doesn't fit %s after the moves: %+v", p.Empty.Name, free[p.Empty])
	}
}

// chain returns a cluster and a waiting job of 10 GPUs, which needs machine a. The task on a
// can only go to the machine of the next smaller task, that task to the machine after it, and
// so on: emptying a takes the given number of moves.
func chain(t *testing.T, moves int) (*testCluster, *ledger.Job) {
	sizes := []float64{8, 7, 6, 5, 4}
	caps := []float64{10}
	for i := 0; i < moves; i++ {
		caps = append(caps, 0)
	}
	c := (*testCluster)(nil)
	// Machine i has a task of sizes[i] and 1 free GPU. The last machine is empty and
	// has exactly the size of the task before it.
	for i := 1; i <= moves; i++ {
		caps[i] = sizes[i] + 1
		if i == moves {
			caps[i] = sizes[i-1]
		}
	}
	c = newTestCluster(t, caps...)
	c.run("a", sizes[0])
	for i := 1; i < moves; i++ {
		c.run(string(rune('a'+i)), sizes[i])
	}
	return c, c.job(model.Gang, 10)
}

func TestChainOfThree(t *testing.T) {
	c, j := chain(t, 3)
	// A greedy search finds no machine for the task of a: b and c have 1 free GPU
	// each, and d, which is empty, is too small.
	for _, m := range []string{"b", "c", "d"} {
		if (model.Resources{GPUs: 8}).Fits(c.l.Machines[m].Free()) {
			t.Fatalf("a greedy search finds room on %s", m)
		}
	}
	p := c.plan(j, Default())
	if p == nil || p.Empty.Name != "a" || len(p.Moves) != 3 {
		t.Fatalf("plan %+v", p)
	}
	cfg := Default()
	cfg.MaxDepth = 2
	if p := c.plan(j, cfg); p != nil {
		t.Fatalf("a chain of 3 was found at depth 2: %+v", p)
	}
}

func TestChainOfFourIsRefused(t *testing.T) {
	c, j := chain(t, 4)
	if p := c.plan(j, Default()); p != nil {
		t.Fatalf("a chain of 4 was found at depth 3: %+v", p)
	}
	cfg := Default()
	cfg.MaxDepth = 4
	if p := c.plan(j, cfg); p == nil || len(p.Moves) != 4 {
		t.Fatalf("depth 4 should solve it: %+v", p)
	}
}

func TestFewestTasksFirstAndLocked(t *testing.T) {
	c := newTestCluster(t, 4, 4, 4)
	c.run("a", 1)
	c.run("a", 1)
	one := c.run("b", 1)
	c.run("c", 1)
	c.run("c", 1)
	j := c.job(model.Gang, 4)
	if p := c.plan(j, Default()); p == nil || p.Empty.Name != "b" || len(p.Moves) != 1 {
		t.Fatalf("plan %+v", p)
	}
	for name, lock := range map[string]func(){
		"priority": func() { one.Job.Spec.Priority = model.Production },
		"age":      func() { one.RunSince = c.v.Now - time.Hour },
		"unsaved":  func() { one.Job.Spec.CheckpointS = 0 },
		"gang":     func() { one.Job.Spec.Kind = model.Gang },
		"stopping": func() { one.Stopping = true },
	} {
		spec, p := *one.Job.Spec, *one
		lock()
		if plan := c.plan(j, Default()); plan == nil || plan.Empty.Name == "b" {
			t.Errorf("%s: plan %+v", name, plan)
		}
		*one.Job.Spec, *one = spec, p
	}
	cfg := Default()
	cfg.MaxMoves = 0
	if p := c.plan(j, cfg); p != nil {
		t.Errorf("a plan exceeds the limit of moves: %+v", p)
	}
}

func TestTrigger(t *testing.T) {
	c := newTestCluster(t, 4, 4)
	c.run("a", 1)
	j := c.job(model.Gang, 4)
	if p := c.plan(j, Default()); p != nil {
		t.Fatalf("machine b has room, nothing should move: %+v", p)
	}
	c.run("b", 3)
	if p := c.plan(c.job(model.Gang, 5), Default()); p != nil {
		t.Fatalf("no machine is that large: %+v", p)
	}
	if p := c.plan(j, Default()); p == nil {
		t.Fatal("no plan, though the task of a fits b")
	}
}

func TestZoneRules(t *testing.T) {
	c := newTestCluster(t, 4, 4, 4)
	c.l.Machines["c"].Zone = "y"
	s := model.Spec{ID: "j-77", Team: "t", Tasks: 2, OneZone: true, Resources: model.Resources{GPUs: 2}, CheckpointS: 5}
	c.n = 77
	pair := c.jobOf(s)
	c.place(pair, 0, "a")
	c.place(pair, 1, "b")
	c.run("b", 1)
	c.run("c", 1)
	// Task 0 would fit on c directly, but c is in another zone than task 1. It can
	// only go to b, after b's small task has moved to c.
	p := c.plan(c.job(model.Gang, 4), Default())
	if p == nil || p.Empty.Name != "a" || len(p.Moves) != 2 {
		t.Fatalf("plan %+v", p)
	}
	for _, mv := range p.Moves {
		if mv.P.Job == pair && mv.To.Name != "b" {
			t.Errorf("task of %s goes to %s", mv.P.Job.Spec.ID, mv.To.Name)
		}
	}
}

// TestRandomClusters checks that plans for random clusters keep to the machines' sizes, the
// placement rules and the limit of moves.
func TestRandomClusters(t *testing.T) {
	found := 0
	for seed := uint64(0); seed < 300; seed++ {
		r := rand.New(rand.NewPCG(seed, 9))
		caps := make([]float64, 3+r.IntN(30))
		for i := range caps {
			caps[i] = 8
		}
		c := newTestCluster(t, caps...)
		for _, m := range placement.Candidates(c.l, c.v) {
			for k := r.IntN(5); k > 0; k-- {
				if g := float64(1 + r.IntN(4)); g <= m.Free().GPUs {
					c.run(m.Name, g)
				}
			}
			if len(m.Placements) == 0 {
				c.run(m.Name, 1)
			}
		}
		cfg := Default()
		cfg.GroupSize = 3 + r.IntN(10)
		if c.plan(c.job(model.Gang, 8), cfg) != nil {
			found++
		}
	}
	if found < 50 {
		t.Errorf("only %d plans in 300 clusters", found)
	}
}
