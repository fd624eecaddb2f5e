package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/statestore"
)

// TestRanLearnsFromOwnTasksOnly guards against estimates that look better than
// they are after a takeover: when an inherited task began to run isn't known, and
// it was taken for the moment at which the new leader first heard of it.
func TestRanLearnsFromOwnTasksOnly(t *testing.T) {
	e, l := start(t, map[string]string{JobKey("j-1"): record("j-1", 200, 50, Open)})
	j := l.Jobs["j-1"]
	j.Spec.EstimateS = 10
	l.Describe(l.Machine("m"), "g8", "z", false)
	e.now = 100 * time.Second
	for i := range j.Tasks {
		p := l.Plan(j, i, 1, l.Machine("m"))
		p.RunSince, p.Inherited = e.now-20*time.Second, i < 100
		if p.Inherited {
			p.RunSince = e.now - time.Second
		}
		l.Ran(p)
	}
	if f := j.EstimateS(); f < 19 || f > 21 {
		t.Errorf("the estimate of 10 s is taken for %v s, the runs seen in whole took 20", f)
	}
}

// fleetLedger has 10,400 live tasks on 1,300 machines.
func fleetLedger(b *testing.B) (*env, *Ledger) {
	items := map[string]string{}
	for i := range 104 {
		id := fmt.Sprintf("j-%d", i)
		items[JobKey(id)] = record(id, 100, 48, Open)
		for c := range 3 {
			var places []string
			for k := c * 48; k < min(100, (c+1)*48); k++ {
				places = append(places, fmt.Sprintf("1@vm-%06d", (i*100+k)%1300))
			}
			items[ChunkKey(id, c)] = fmt.Sprintf(`{"v":2,"t":%q}`, strings.Join(places, " "))
		}
	}
	e, l := start(b, items)
	for i := range 1300 {
		l.Describe(l.Machine(fmt.Sprintf("vm-%06d", i)), "g8", "z", false)
	}
	return e, l
}

// benchmarkTasks starts and ends jobs, and times the one or the other: all that
// the ledger does, the state service's stand-in included, per task.
func benchmarkTasks(b *testing.B, tasks int, ends bool) {
	e, l := fleetLedger(b)
	n := 0
	b.ReportAllocs()
	settle := func() {
		for range 4 {
			e.run(500 * time.Millisecond)
			l.Kick()
		}
	}
	b.ResetTimer()
	for b.Loop() {
		b.StopTimer()
		n++
		id := fmt.Sprintf("j-9%06d", n)
		e.epoch++
		l.JobEvent(JobKey(id), &statestore.Item{Value: []byte(record(id, tasks, 48, Open)), Stamp: e.epoch})
		j := l.Jobs[id]
		e.txns = nil
		if !ends {
			b.StartTimer()
		}
		for i := range j.Tasks {
			l.Plan(j, i, 1, l.Machine(fmt.Sprintf("vm-%06d", (n*tasks+i)%1300)))
		}
		settle()
		if j.Tasks[0].P == nil || !j.Tasks[0].P.Durable {
			b.Fatal("a start isn't durable")
		}
		b.StopTimer()
		if ends {
			b.StartTimer()
		}
		for i := range j.Tasks {
			l.Finished(j, i)
		}
		settle()
		b.StopTimer()
		if l.Jobs[id] != nil {
			settle()
		}
		if l.Jobs[id] != nil && l.Jobs[id].Final != Done {
			b.Fatal("a job doesn't end")
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "us/task")
}

// BenchmarkStart measures what the starts of a job cost in the ledger and on their
// way to the state service, at fleet size.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{1, 8, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkTasks(b, n, false) })
	}
}

// BenchmarkEnd measures what the ends of a job's tasks cost, to the durable end of
// the job and the deletion of its chunks.
func BenchmarkEnd(b *testing.B) {
	for _, n := range []int{1, 8, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkTasks(b, n, true) })
	}
}

// BenchmarkLoad measures the picture that a new leader builds from its replica:
// 10,400 tasks on 1,300 machines, and ten times as many.
func BenchmarkLoad(b *testing.B) {
	e, l := fleetLedger(b)
	b.ReportAllocs()
	for b.Loop() {
		x := New(e, l.store, 4, nil)
		x.Load()
		if len(x.Machines) != 1300 {
			b.Fatal(len(x.Machines))
		}
	}
}
