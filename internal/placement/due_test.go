package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/settings"
)

// TestAllInTimeTogether guards against a large job that waits for all smaller ones that
// came later, though there is capacity for all of them to be on time. An order by the
// least work made it late.
func TestAllInTimeTogether(t *testing.T) {
	w := newWorld(1, 40)
	w.v.Objectives = NewObjectives([]settings.Objective{{Kind: "wait", Class: "c", WithinS: 250, Share: 0.6}})
	spec := func(tasks int) model.Spec {
		return model.Spec{Team: "free", Class: "c", Tasks: tasks, Image: "i", Resources: model.Resources{CPUs: 1, GPUs: 1}, EstimateS: 50}
	}
	runs := w.jobAt(spec(100), 0) // its placed tasks are the capacity that pickOnTime counts on
	Run(w.l, w.v, w.l.Order(), func(*ledger.Job) {})
	large := w.jobAt(spec(150), 10*time.Second)
	var small []*ledger.Job
	for i := range 5 {
		small = append(small, w.jobAt(spec(20), time.Duration(40+i)*time.Second))
	}
	at := func() (pos int) {
		for i, j := range Order(w.l, w.v, Claims{}) {
			if j == large {
				return i
			}
		}
		return -1
	}
	if runs.Placed != 100 || len(small) != 5 || at() != 0 {
		t.Errorf("%d tasks run; the large job, which is due first, has index %d in the order", runs.Placed, at())
	}
	// Under heavy overload the largest job goes last.
	for i := range 60 {
		w.jobAt(spec(20), time.Duration(10_001+i)*time.Millisecond)
	}
	if p := at(); p < 60 {
		t.Errorf("under overload the large job has index %d in the order", p)
	}
}

// TestOnTimeIsOptimal compares pickOnTime with a search of all subsets of random jobs on a
// capacity of one task: it must keep as many jobs as can be on time together.
func TestOnTimeIsOptimal(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		w := newWorld(seed, 4)
		w.v.Objectives = NewObjectives(nil)
		w.jobAt(model.Spec{Team: "free", Tasks: 1, Image: "i", Resources: model.Resources{CPUs: 1, GPUs: 1}, EstimateS: 100}, 0)
		Run(w.l, w.v, w.l.Order(), func(*ledger.Job) {})
		var rs []ranked
		for range 8 {
			run := float64(5 + r.IntN(60))
			j := w.jobAt(model.Spec{Team: "free", Tasks: 1, Image: "i", Resources: model.Resources{CPUs: 1, GPUs: 1}, EstimateS: run}, 0)
			rs = append(rs, ranked{j: j, work: remainingWork(j), due: w.v.Now + time.Duration(run+float64(r.IntN(200)))*time.Second})
		}
		best := 0
		for set := range 1 << len(rs) {
			var in []ranked
			for i := range rs {
				if set>>i&1 == 1 {
					in = append(in, rs[i])
				}
			}
			if feasible(in, w.v.Now) {
				best = max(best, len(in))
			}
		}
		pickOnTime(w.l, rs, w.v.Now)
		var kept []ranked
		for _, x := range rs {
			if !x.late {
				kept = append(kept, x)
			}
		}
		if len(kept) != best || !feasible(kept, w.v.Now) {
			t.Fatalf("seed %d: %d of 8 jobs are kept, feasible %v, %d can be on time", seed, len(kept), feasible(kept, w.v.Now), best)
		}
	}
}

// feasible reports whether the jobs can run one after the other, each ending by its due
// time.
func feasible(in []ranked, now time.Duration) bool {
	sorted := append([]ranked(nil), in...)
	for i := range sorted {
		for k := range i {
			if sorted[i].due < sorted[k].due {
				sorted[i], sorted[k] = sorted[k], sorted[i]
			}
		}
	}
	t := 0.0
	for i := range sorted {
		if t += sorted[i].work / capacityFraction; t > (sorted[i].due-now).Seconds()+1e-9 {
			return false
		}
	}
	return true
}

// BenchmarkOrder measures the ordering of many waiting jobs.
func BenchmarkOrder(b *testing.B) {
	w := newWorld(1, 100)
	w.v.Objectives = NewObjectives([]settings.Objective{{Kind: "wait", Class: "c", WithinS: 250, Share: 0.6}})
	for i := range 2000 {
		w.jobAt(model.Spec{Team: []string{"red", "blue", "free"}[i%3], Class: "c", Tasks: 8, Image: fmt.Sprint(i % 5), Resources: model.Resources{CPUs: 1, GPUs: 1}, EstimateS: 30 + float64(i%70)}, time.Duration(i)*20*time.Millisecond)
		if i == 50 {
			Run(w.l, w.v, w.l.Order(), func(*ledger.Job) {})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		Order(w.l, w.v, Claims{})
	}
}
