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

// TestServiceRecords guards versions of services from being taken for ordinary jobs:
// their records have a format that older programs refuse, and none of their tasks
// is wanted until the service's record says so. Older records are read as before.
func TestServiceRecords(t *testing.T) {
	r := NewRecord(spec("j-2", 3), 0, "", 50)
	r.OfService("shop")
	if r.V <= Format {
		t.Errorf("format %d would be read by programs that know no services", r.V)
	}
	_, l := start(t, map[string]string{JobKey("j-1"): record("j-1", 3, 50, Open), JobKey("j-2"): string(r.Encode()),
		JobKey("j-3"): `{"v":3,"at":0,"k":1,"s":{"k":0}}`})
	if j := l.Jobs["j-1"]; j.Idle() != 3 || j.Service != "" {
		t.Errorf("a job of format %d has %d idle tasks", Format, j.Idle())
	}
	j := l.Jobs["j-2"]
	if j.Idle() != 0 || j.Service != "shop" {
		t.Errorf("%d tasks of a version nobody asked for yet want a machine", j.Idle())
	}
	if l.Jobs["j-3"] != nil {
		t.Error("a record of format 3 without a service was read")
	}
	l.SetWanted(j, func(i int) bool { return i == 1 })
	m := l.Machine("m")
	l.Describe(m, "g8", "z", false)
	p := l.Plan(j, 1, 1, m)
	l.SetWanted(j, func(i int) bool { return i != 1 })
	if j.Idle() != 2 || j.Placed != 1 || j.Size() != 3 {
		t.Errorf("%d idle, %d placed", j.Idle(), j.Placed)
	}
	l.Lost(p, "gone")
	if j.Idle() != 2 || j.Placed != 0 || j.Size() != 2 {
		t.Errorf("%d idle, %d placed after the end of what isn't wanted", j.Idle(), j.Placed)
	}
	j.Port, j.PerTask = 8000, true
	other := l.Jobs["j-1"]
	other.Port = 8002
	l.Plan(other, 0, 1, m)
	if j.PortFree(2, m) || !j.PortFree(1, m) || !j.MayListen(m) || other.PortFree(1, m) {
		t.Error("ports on one machine are mixed up")
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
