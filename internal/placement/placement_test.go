package placement

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
)

type env struct{ rng *rand.Rand }

func (e env) Now() time.Duration                           { return time.Minute }
func (e env) Wall() time.Time                              { return time.UnixMilli(60_000) }
func (e env) Rand() *rand.Rand                             { return e.rng }
func (e env) After(d time.Duration, f func()) *actor.Timer { return (&actor.Timers{}).Add(d, f) }
func (e env) Call(actor.Call)                              {}
func (e env) Log() *slog.Logger                            { return slog.New(slog.DiscardHandler) }

// world is a ledger with machines of 8 GPUs in two zones.
type world struct {
	l *ledger.Ledger
	v *View
	n int
}

func newWorld(seed uint64, machines int) *world {
	e := env{rand.New(rand.NewPCG(seed, 1))}
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 8, ValueBytes: 4096}), 1,
		[]settings.Team{{Name: "red", GuaranteedGPUs: 24}, {Name: "blue", GuaranteedGPUs: 16, MaxGPUs: 64}, {Name: "free"}})
	l.Types["g8"] = &model.MachineType{Name: "g8", Cap: model.Resources{CPUs: 96, GPUs: 8, MemGB: 500}, FetchGBs: 0.5}
	for i := range machines {
		m := l.Machine(fmt.Sprintf("m%03d", i))
		m.Reported, m.LastReport = true, e.Now()
		l.Describe(m, "g8", []string{"x", "y"}[i%2], i%3 == 0)
	}
	w := &world{l: l, v: &View{Now: e.Now(), SilentAfter: time.Minute, Holds: map[*ledger.Machine]*Hold{}, Objectives: NewObjectives(nil)}}
	w.v.Machines = Candidates(l, w.v)
	return w
}

func (w *world) job(s model.Spec) *ledger.Job { return w.jobAt(s, 0) }

// jobAt adds a job that was accepted at the given time since the start.
func (w *world) jobAt(s model.Spec, at time.Duration) *ledger.Job {
	w.n++
	s.ID = fmt.Sprintf("j-%d", w.n)
	rec := ledger.NewRecord(&s, at.Milliseconds()+int64(w.n), "", 48)
	w.l.ApplyJobRecord(ledger.JobKey(s.ID), &statestore.Item{Value: rec.Encode(), Revision: uint64(w.n)})
	return w.l.Jobs[s.ID]
}

func (w *world) randomJob(r *rand.Rand) *ledger.Job {
	s := model.Spec{Team: []string{"red", "blue", "free"}[r.IntN(3)], Tasks: 1 + r.IntN(6), Image: "i", CheckpointS: 5, SaveS: 1,
		Priority: model.Priority(r.IntN(4)), Resources: model.Resources{CPUs: 1, GPUs: float64(1 + r.IntN(4)), MemGB: 1}, Spot: true, EstimateS: 60}
	if r.IntN(3) == 0 {
		s.Kind, s.OneZone, s.Resources.GPUs = model.Gang, r.IntN(2) == 0, 8
		s.Tasks = 1 + r.IntN(3)
	}
	return w.job(s)
}

func (w *world) jobsWithinMinShares() map[*ledger.Job]bool {
	return (&MinShares{Sharing: settings.DefaultSharing()}).JobsWithin(w.l, w.v.Objectives, w.v.TotalCapacity(), w.v.Now)
}

// TestPreemptionIsAsymmetric guards against jobs that preempt each other repeatedly: if a job
// may stop a task, the task's own job may never stop a task of that job.
func TestPreemptionIsAsymmetric(t *testing.T) {
	pairs := 0
	for seed := uint64(0); seed < 200; seed++ {
		r := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(seed, 12)
		for range 12 {
			w.randomJob(r)
		}
		claims := NewClaims(w.l, w.v.Objectives, w.jobsWithinMinShares(), w.v.Now)
		Run(w.l, w.v, Order(w.l, w.v, claims), func(*ledger.Job) {})
		st := NewPreemptor(w.l, w.v, claims)
		for _, a := range w.l.Order() {
			for _, b := range w.l.Order() {
				pa, pb := a.Tasks[0].CurrentPlacement, b.Tasks[0].CurrentPlacement
				if a == b || pa == nil || pb == nil {
					continue
				}
				if st.mayPreempt(a, pb) {
					pairs++
					if st.mayPreempt(b, pa) {
						t.Fatalf("seed %d: %s and %s may stop each other", seed, a.Spec.ID, b.Spec.ID)
					}
				}
			}
		}
	}
	if pairs < 1000 {
		t.Errorf("only %d pairs of a job and a task that it may stop were checked", pairs)
	}
}

// TestRunKeepsTheRules checks that a placement pass respects capacities, limits, zones and
// holds, and leaves no array task waiting that fits somewhere.
func TestRunKeepsTheRules(t *testing.T) {
	placed := 0
	for seed := uint64(0); seed < 300; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(seed, 4+r.IntN(20))
		for range 3 + r.IntN(25) {
			w.randomJob(r)
		}
		held := w.v.Machines[0]
		w.v.Holds[held] = &Hold{Job: w.l.Order()[0], Until: time.Hour}
		left := Run(w.l, w.v, Order(w.l, w.v, NewClaims(w.l, w.v.Objectives, w.jobsWithinMinShares(), w.v.Now)), func(*ledger.Job) {})
		for _, m := range w.v.Machines {
			if !(model.Resources{}).Fits(m.Free()) {
				t.Fatalf("seed %d: %s is overcommitted: %+v", seed, m.Name, m.Free())
			}
			for _, p := range m.Placements {
				placed++
				if m == held && p.Job != w.v.Holds[held].Job {
					t.Fatalf("seed %d: a machine held for another job was used", seed)
				}
				if s := p.Job.Spec; s.Kind == model.Gang && s.OneZone && m.Zone != p.Job.Tasks[0].CurrentPlacement.Host.Zone {
					t.Fatalf("seed %d: a gang is in two zones", seed)
				}
			}
		}
		if u := w.l.Teams["blue"].Used.GPUs; u > 64 {
			t.Fatalf("seed %d: blue uses %v GPUs", seed, u)
		}
		for _, j := range left {
			if j.Spec.Kind == model.Gang || !w.l.Teams[j.Spec.Team].WithinLimit(j.Spec.Resources) {
				continue
			}
			for _, m := range w.v.Machines {
				if j.Spec.Resources.Fits(m.Free()) && w.v.mayUse(j, m) {
					t.Fatalf("seed %d: a task of %s would fit on %s", seed, j.Spec.ID, m.Name)
				}
			}
		}
	}
	if placed < 3000 {
		t.Errorf("only %d tasks placed", placed)
	}
}

// TestSpotRisk guards against gangs on spot machines, where the loss of one machine stops
// the whole gang, and against spot machines that stay unused.
func TestSpotRisk(t *testing.T) {
	w := newWorld(1, 24) // 8 of them spot machines
	gang := w.job(model.Spec{Team: "free", Kind: model.Gang, Tasks: 12, Resources: model.Resources{GPUs: 8}, Image: "i", EstimateS: 100, CheckpointS: 45, SaveS: 5, Spot: true})
	array := w.job(model.Spec{Team: "free", Tasks: 32, Resources: model.Resources{GPUs: 1}, Image: "i", EstimateS: 100, CheckpointS: 10, SaveS: 1, Spot: true})
	Run(w.l, w.v, []*ledger.Job{gang, array}, func(j *ledger.Job) { t.Errorf("%s waits", j.Spec.ID) })
	for _, m := range w.v.Machines {
		for _, p := range m.Placements {
			if m.Spot != (p.Job == array) {
				t.Errorf("a task of %s is on %s, spot %v", p.Job.Spec.ID, m.Name, m.Spot)
			}
		}
	}
	before := w.l.SpotInterruptionRate()
	w.l.SpotInterruptions, w.l.SpotHours = 50, 4
	if w.l.SpotInterruptionRate() < 5*before {
		t.Errorf("50 spot machines taken in 4 machine hours changed the risk from %v to %v only", before, w.l.SpotInterruptionRate())
	}
}

// TestClaimPassesOn guards against late jobs that hold their team's guarantee. The
// guarantee belongs to entitled jobs, then to those that can still be on time, the least
// work first, and claims never exceed it.
func TestClaimPassesOn(t *testing.T) {
	w := newWorld(1, 4)
	w.v.Objectives = NewObjectives([]settings.Objective{{Kind: "guarantee", WithinS: 20}})
	add := func(at time.Duration, gpus int, est, due float64) *ledger.Job {
		return w.jobAt(model.Spec{Team: "red", Tasks: gpus, Resources: model.Resources{GPUs: 1}, EstimateS: est, DeadlineS: due}, at)
	}
	late, large, small := add(0, 8, 600, 30), add(time.Second, 16, 100, 900), add(2*time.Second, 12, 10, 900)
	// By age the two oldest jobs take all 24 GPUs, 8 and 16. Once all tasks have begun, the
	// late job has no claim and the least work goes first: the tiny job takes 4 and the
	// small one 12, which leaves too few for the large one.
	tiny := add(3*time.Second, 4, 20, 900)
	if in := NewClaims(w.l, w.v.Objectives, nil, w.v.Now); in[late] != Entitled || in[large] != Entitled {
		t.Errorf("late %v, large %v: they are entitled and have not begun", in[late], in[large])
	}
	for _, j := range []*ledger.Job{late, large, small, tiny} {
		j.EverPlaced = len(j.Tasks)
	}
	in := NewClaims(w.l, w.v.Objectives, nil, w.v.Now)
	if in[late] != NoClaim || in[large] != NoClaim || in[small] != SpareGuarantee || in[tiny] != SpareGuarantee {
		t.Errorf("late %v, large %v, small %v, tiny %v", in[late], in[large], in[small], in[tiny])
	}
	// A new job is entitled if it fits together with all earlier ones.
	for _, j := range []*ledger.Job{late, large} {
		j.DoneTasks = len(j.Tasks) - 2
	}
	if young := add(50*time.Second, 4, 500, 30); NewClaims(w.l, w.v.Objectives, nil, w.v.Now)[young] != Entitled {
		t.Error("a new job that fits into the guarantee is not entitled")
	}
	for seed := uint64(0); seed < 200; seed++ {
		w, r := newWorld(seed, 4), rand.New(rand.NewPCG(seed, 4))
		w.v.Objectives = NewObjectives([]settings.Objective{{Kind: "guarantee", WithinS: 40}})
		for range 20 {
			w.jobAt(model.Spec{Team: "red", Tasks: 1 + r.IntN(12), Resources: model.Resources{GPUs: 1}, EstimateS: float64(r.IntN(300)),
				DeadlineS: float64(30 + r.IntN(300)), Priority: model.Priority(r.IntN(3))}, time.Duration(r.IntN(60))*time.Second)
		}
		sum := 0
		for j, c := range NewClaims(w.l, w.v.Objectives, w.jobsWithinMinShares(), w.v.Now) {
			if c != MinShare { // a minimum share counts beyond the guarantee
				sum += len(j.Tasks)
			}
		}
		if sum > 24 {
			t.Errorf("seed %d: claims on %d of 24 GPUs", seed, sum)
		}
	}
}

// BenchmarkPass measures a placement pass over a full cluster with waiting jobs: 1,300
// machines, 150 jobs with 9,900 waiting tasks.
func BenchmarkPass(b *testing.B) {
	w, r := newWorld(1, 1300), rand.New(rand.NewPCG(1, 1))
	full := w.job(model.Spec{Team: "free", Tasks: 10400 - 8, Resources: model.Resources{CPUs: 1, GPUs: 1}, Image: "i", CheckpointS: 5, EstimateS: 60, Spot: true})
	Run(w.l, w.v, []*ledger.Job{full}, func(*ledger.Job) {})
	for range 150 {
		w.job(model.Spec{Team: []string{"red", "blue", "free"}[r.IntN(3)], Tasks: 66, Resources: model.Resources{CPUs: 1, GPUs: float64(2 + r.IntN(7))}, Image: "i",
			Priority: model.Priority(r.IntN(4)), EstimateS: 60, DeadlineS: float64(30 + r.IntN(600))})
	}
	b.ReportAllocs()
	for b.Loop() {
		claims := NewClaims(w.l, w.v.Objectives, w.jobsWithinMinShares(), w.v.Now)
		if n := len(Run(w.l, w.v, Order(w.l, w.v, claims), func(*ledger.Job) {})); n < 140 {
			b.Fatal(n)
		}
	}
}

// TestBoundToAFullZone guards against an array that is bound to a full zone by its other
// tasks, and makes jobs with the same constraints wait while machines elsewhere are empty;
// and against the first task of an array going to a zone without room for the rest.
func TestBoundToAFullZone(t *testing.T) {
	w := newWorld(1, 4) // m000 and m002 in x, the others in y
	spec := func(tasks int, kind model.Kind) model.Spec {
		return model.Spec{Team: "free", Kind: kind, Tasks: tasks, Image: "i", Resources: model.Resources{CPUs: 1, GPUs: 4}, OneZone: true, Spot: true, EstimateS: 60}
	}
	run := func(js ...*ledger.Job) { Run(w.l, w.v, js, func(*ledger.Job) {}) }
	full := w.job(spec(6, model.Array))
	run(full) // 4 tasks fill a zone, two wait for room there
	if full.Placed != 4 {
		t.Fatalf("%d tasks were placed, a zone has room for 4", full.Placed)
	}
	for _, kind := range []model.Kind{model.Array, model.Service} {
		alike := w.job(spec(2, kind))
		if run(full, alike); alike.Placed != 2 {
			t.Errorf("%d of 2 tasks were placed while an array is bound to a full zone", alike.Placed)
		}
	}
	w = newWorld(2, 5) // x has three machines, y two
	for i, m := range w.l.MachinesByName() {
		if m.Zone == "x" && i > 0 {
			w.l.Plan(w.job(spec(1, model.Array)), 0, 1, m)
		}
	}
	m := w.l.MachinesByName()[0]
	m.Images["i"], m.Zone = w.v.Now, "x" // the best machine for a single task
	wide := w.job(spec(4, model.Array))
	for _, o := range w.l.MachinesByName() {
		if o.Zone == "x" && o != m {
			w.l.Plan(w.job(spec(1, model.Array)), 0, 1, o)
		}
	}
	if run(wide); wide.Placed != 4 {
		t.Errorf("%d of 4 tasks were placed, %s has room for all: %q", wide.Placed, "y", wide.WaitReason)
	}
}
