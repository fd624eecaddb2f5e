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

// TestFloors holds floors to their bounds: together no more than their part of the
// cluster, apart from the first job of each class; each class that has unfinished jobs
// has one; the smallest jobs first.
func TestFloors(t *testing.T) {
	f := &Floors{Sharing: settings.DefaultSharing()}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		w := newWorld(seed, 4+r.IntN(60))
		for range 1 + r.IntN(60) {
			s := model.Spec{Team: []string{"red", "blue", "free"}[r.IntN(3)], Class: fmt.Sprint("c", r.IntN(4)), Tasks: 1 + r.IntN(30), Image: "i",
				Need: model.Need{CPUs: 1, GPUs: float64(1 + r.IntN(4)), MemGB: 1}, EstimateS: float64(10 + r.IntN(300)), Priority: model.Priority(r.IntN(4))}
			w.job(s)
		}
		whole := w.v.Whole()
		in := f.Within(w.l, w.v.Aims, whole, w.v.Now)
		sum, first, seen := 0.0, map[fair.Key]float64{}, map[fair.Key]bool{}
		for _, j := range w.l.Order() {
			k := fair.Key{Team: j.Spec.Team, Class: j.Spec.Class}
			seen[k] = true
			if in[j] {
				n := share(j.Spec.Need, whole) * float64(j.Size())
				sum += n
				first[k] = max(first[k], n)
			}
			for _, o := range w.l.Order() {
				if in[j] && !in[o] && o.Spec.Team == k.Team && o.Spec.Class == k.Class && work(o) < work(j) {
					t.Fatalf("seed %d: a larger job is within the floor, a smaller isn't", seed)
				}
			}
		}
		most := 2 * f.Most // the most urgent classes', and the others'
		for _, n := range first {
			most += n
		}
		if sum > most+1e-9 {
			t.Errorf("seed %d: floors of %.2f of the cluster", seed, sum)
		}
		if len(first) != len(seen) {
			t.Errorf("seed %d: %d of %d classes have a floor", seed, len(first), len(seen))
		}
	}
}

// TestFloorsOfInventedClasses guards against a team that gains by inventing classes.
func TestFloorsOfInventedClasses(t *testing.T) {
	w := newWorld(1, 100)
	for i := range 400 {
		w.job(model.Spec{Team: "red", Class: fmt.Sprint(i), Tasks: 4, Need: model.Need{GPUs: 1}, EstimateS: 100})
	}
	var honest []*ledger.Job
	for range 200 {
		honest = append(honest, w.job(model.Spec{Team: "blue", Class: "c", Tasks: 4, Need: model.Need{GPUs: 1}, EstimateS: 100}))
	}
	f := &Floors{Sharing: settings.DefaultSharing()}
	in := f.Within(w.l, w.v.Aims, w.v.Whole(), w.v.Now)
	n := 0
	for _, j := range honest {
		if in[j] {
			n++
		}
	}
	whole := w.v.Whole()
	if got := float64(n*4) / whole.GPUs; got < 0.45*f.Most {
		t.Errorf("the team with one class has a floor of %.2f", got)
	}
}

// TestFloorIsKept guards what runs within a floor from urgent work, also of its own
// team, which stops what is beyond it.
func TestFloorIsKept(t *testing.T) {
	w := newWorld(1, 10)
	w.v.Aims = NewAims([]settings.Objective{{Kind: "wait", Class: "urgent", WithinS: 60}})
	var low []*ledger.Job
	for range 10 {
		low = append(low, w.job(model.Spec{Team: "free", Class: "low", Tasks: 8, Need: model.Need{GPUs: 1}, EstimateS: 100, Image: "i", CheckpointS: 5}))
	}
	Run(w.l, w.v, Order(w.l, w.v, Claims{}), func(*ledger.Job) {})
	var urgent []*ledger.Job
	for range 10 {
		urgent = append(urgent, w.job(model.Spec{Team: "free", Class: "urgent", Tasks: 1, Need: model.Need{GPUs: 8}, EstimateS: 100, Image: "j", Priority: model.High}))
	}
	for _, floors := range []bool{true, false} {
		in := map[*ledger.Job]bool{}
		if floors {
			in = w.floored()
		}
		st := NewStops(w.l, w.v, NewClaims(w.l, w.v.Aims, in, w.v.Now))
		kept, stoppable := 0, 0
		for _, j := range low {
			if p := j.Tasks[0].P; p != nil {
				// Urgent work that is itself within a floor yields nothing either.
				if st.mayStop(urgent[9], p) {
					stoppable++
				} else {
					kept++
				}
				if in[j] == st.mayStop(urgent[9], p) {
					t.Errorf("floors %v: a job within its floor: %v, may be stopped: %v", floors, in[j], !in[j])
				}
			}
		}
		if floors && (kept == 0 || stoppable == 0) || !floors && kept > 0 {
			t.Errorf("floors %v: %d kept, %d may be stopped", floors, kept, stoppable)
		}
	}
}

// flooded is a full fleet of 1,300 machines with 10,000 jobs and 250,000 tasks waiting.
func flooded() *world {
	w, r := newWorld(1, 1300), rand.New(rand.NewPCG(1, 1))
	full := w.job(model.Spec{Team: "free", Tasks: 10400 - 8, Need: model.Need{CPUs: 1, GPUs: 1}, Image: "i", CheckpointS: 5, EstimateS: 60, Spot: true})
	Run(w.l, w.v, []*ledger.Job{full}, func(*ledger.Job) {})
	for i := range 10000 {
		w.job(model.Spec{Team: []string{"red", "blue", "free"}[r.IntN(3)], Class: fmt.Sprint("c", i%20), Tasks: 25, Need: model.Need{CPUs: 1, GPUs: float64(2 + r.IntN(7))}, Image: "i",
			Priority: model.Priority(r.IntN(4)), EstimateS: 60})
	}
	return w
}

// BenchmarkFloors measures the floors of a flooded fleet.
func BenchmarkFloors(b *testing.B) {
	w := flooded()
	b.ReportAllocs()
	for b.Loop() {
		w.floored()
	}
}

// BenchmarkFloodedPass measures a pass over a flooded fleet, without its floors.
func BenchmarkFloodedPass(b *testing.B) {
	w := flooded()
	in := w.floored()
	b.ReportAllocs()
	for b.Loop() {
		Run(w.l, w.v, Order(w.l, w.v, NewClaims(w.l, w.v.Aims, in, w.v.Now)), func(*ledger.Job) {})
	}
}
