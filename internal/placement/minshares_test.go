package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"brooklb/internal/fair"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/settings"
)

// TestMinShares checks the minimum shares: together they are no more than their part of the
// cluster, apart from the first job of each class; each class with unfinished jobs has
// one; and the smallest jobs come first.
func TestMinShares(t *testing.T) {
	f := &MinShares{Sharing: settings.DefaultSharing()}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		w := newWorld(seed, 4+r.IntN(60))
		for range 1 + r.IntN(60) {
			s := model.Spec{Team: []string{"red", "blue", "free"}[r.IntN(3)], Class: fmt.Sprint("c", r.IntN(4)), Tasks: 1 + r.IntN(30), Image: "i",
				Resources: model.Resources{CPUs: 1, GPUs: float64(1 + r.IntN(4)), MemGB: 1}, EstimateS: float64(10 + r.IntN(300)), Priority: model.Priority(r.IntN(4))}
			w.job(s)
		}
		whole := w.v.TotalCapacity()
		in := f.JobsWithin(w.l, w.v.Objectives, whole, w.v.Now)
		sum, first, seen := 0.0, map[fair.Key]float64{}, map[fair.Key]bool{}
		for _, j := range w.l.Order() {
			k := fair.Key{Team: j.Spec.Team, Class: j.Spec.Class}
			seen[k] = true
			if in[j] {
				n := dominantShare(j.Spec.Resources, whole) * float64(j.WantedTasks())
				sum += n
				first[k] = max(first[k], n)
			}
			for _, o := range w.l.Order() {
				if in[j] && !in[o] && o.Spec.Team == k.Team && o.Spec.Class == k.Class && remainingWork(o) < remainingWork(j) {
					t.Fatalf("seed %d: a larger job is within the minimum share and a smaller one is not", seed)
				}
			}
		}
		most := 2 * f.MinShareFraction // one part for the most urgent classes and one for the others
		for _, n := range first {
			most += n
		}
		if sum > most+1e-9 {
			t.Errorf("seed %d: minimum shares add up to %.2f of the cluster", seed, sum)
		}
		if len(first) != len(seen) {
			t.Errorf("seed %d: %d of %d classes have a minimum share", seed, len(first), len(seen))
		}
	}
}

// TestMinSharesOfInventedClasses guards against a team that gains by inventing classes.
func TestMinSharesOfInventedClasses(t *testing.T) {
	w := newWorld(1, 100)
	for i := range 400 {
		w.job(model.Spec{Team: "red", Class: fmt.Sprint(i), Tasks: 4, Resources: model.Resources{GPUs: 1}, EstimateS: 100})
	}
	var honest []*ledger.Job
	for range 200 {
		honest = append(honest, w.job(model.Spec{Team: "blue", Class: "c", Tasks: 4, Resources: model.Resources{GPUs: 1}, EstimateS: 100}))
	}
	f := &MinShares{Sharing: settings.DefaultSharing()}
	in := f.JobsWithin(w.l, w.v.Objectives, w.v.TotalCapacity(), w.v.Now)
	n := 0
	for _, j := range honest {
		if in[j] {
			n++
		}
	}
	whole := w.v.TotalCapacity()
	if got := float64(n*4) / whole.GPUs; got < 0.45*f.MinShareFraction {
		t.Errorf("the team with one class has a minimum share of %.2f", got)
	}
}

// TestMinShareIsKept checks that an urgent job, also one of the same team, can't stop tasks
// within a minimum share, but can stop tasks beyond it.
func TestMinShareIsKept(t *testing.T) {
	w := newWorld(1, 10)
	w.v.Objectives = NewObjectives([]settings.Objective{{Kind: "wait", Class: "urgent", WithinS: 60}})
	var low []*ledger.Job
	for range 10 {
		low = append(low, w.job(model.Spec{Team: "free", Class: "low", Tasks: 8, Resources: model.Resources{GPUs: 1}, EstimateS: 100, Image: "i", CheckpointS: 5}))
	}
	Run(w.l, w.v, Order(w.l, w.v, Claims{}), func(*ledger.Job) {})
	var urgent []*ledger.Job
	for range 10 {
		urgent = append(urgent, w.job(model.Spec{Team: "free", Class: "urgent", Tasks: 1, Resources: model.Resources{GPUs: 8}, EstimateS: 100, Image: "j", Priority: model.High}))
	}
	for _, minShares := range []bool{true, false} {
		in := map[*ledger.Job]bool{}
		if minShares {
			in = w.jobsWithinMinShares()
		}
		st := NewPreemptor(w.l, w.v, NewClaims(w.l, w.v.Objectives, in, w.v.Now))
		kept, stoppable := 0, 0
		for _, j := range low {
			if p := j.Tasks[0].CurrentPlacement; p != nil {
				// The urgent job may itself be within a minimum share.
				if st.mayPreempt(urgent[9], p) {
					stoppable++
				} else {
					kept++
				}
				if in[j] == st.mayPreempt(urgent[9], p) {
					t.Errorf("minimum shares %v: a job within its minimum share: %v, may be stopped: %v", minShares, in[j], !in[j])
				}
			}
		}
		if minShares && (kept == 0 || stoppable == 0) || !minShares && kept > 0 {
			t.Errorf("minimum shares %v: %d kept, %d may be stopped", minShares, kept, stoppable)
		}
	}
}

// newOverloadedWorld returns a full cluster of 1,300 machines with 10,000 jobs and 250,000 tasks
// waiting.
func newOverloadedWorld() *world {
	w, r := newWorld(1, 1300), rand.New(rand.NewPCG(1, 1))
	full := w.job(model.Spec{Team: "free", Tasks: 10400 - 8, Resources: model.Resources{CPUs: 1, GPUs: 1}, Image: "i", CheckpointS: 5, EstimateS: 60, Spot: true})
	Run(w.l, w.v, []*ledger.Job{full}, func(*ledger.Job) {})
	for i := range 10000 {
		w.job(model.Spec{Team: []string{"red", "blue", "free"}[r.IntN(3)], Class: fmt.Sprint("c", i%20), Tasks: 25, Resources: model.Resources{CPUs: 1, GPUs: float64(2 + r.IntN(7))}, Image: "i",
			Priority: model.Priority(r.IntN(4)), EstimateS: 60})
	}
	return w
}

// BenchmarkMinShares measures computing the minimum shares on an overloaded cluster.
func BenchmarkMinShares(b *testing.B) {
	w := newOverloadedWorld()
	b.ReportAllocs()
	for b.Loop() {
		w.jobsWithinMinShares()
	}
}

// BenchmarkOverloadedPass measures a placement pass on an overloaded cluster, without its
// minimum shares.
func BenchmarkOverloadedPass(b *testing.B) {
	w := newOverloadedWorld()
	in := w.jobsWithinMinShares()
	b.ReportAllocs()
	for b.Loop() {
		Run(w.l, w.v, Order(w.l, w.v, NewClaims(w.l, w.v.Objectives, in, w.v.Now)), func(*ledger.Job) {})
	}
}
