package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/statestore"
)

// TestLearnRunTimeOfOwnTasksOnly guards against too short run times after a change of leader. The
// new leader doesn't know when an inherited task started, and took the time of its first report of
// the task for the start.
func TestLearnRunTimeOfOwnTasksOnly(t *testing.T) {
	e, l := newTestLedger(t, map[string]string{JobKey("j-1"): record("j-1", 200, 50, Open)})
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
		l.LearnRunTime(p)
	}
	if f := j.EstimateS(); f < 19 || f > 21 {
		t.Errorf("corrected estimate is %v s, want about 20 s: the complete runs took 20 s", f)
	}
}

// TestServiceRecords guards against treating versions of services as ordinary jobs: their records
// must have a format that older programs refuse, and none of their tasks may be wanted until the
// service's record says so. Older records must still be read.
func TestServiceRecords(t *testing.T) {
	r := NewRecord(spec("j-2", 3), 0, "", 50)
	r.SetService("shop")
	if r.V <= RecordFormat {
		t.Errorf("format %d would be read by programs without support for services", r.V)
	}
	_, l := newTestLedger(t, map[string]string{JobKey("j-1"): record("j-1", 3, 50, Open), JobKey("j-2"): string(r.Encode()),
		JobKey("j-3"): `{"v":3,"at":0,"k":1,"s":{"k":0}}`})
	if j := l.Jobs["j-1"]; j.Idle() != 3 || j.Service != "" {
		t.Errorf("a job of format %d has %d idle tasks", RecordFormat, j.Idle())
	}
	j := l.Jobs["j-2"]
	if j.Idle() != 0 || j.Service != "shop" {
		t.Errorf("%d idle tasks of a version that is not wanted yet", j.Idle())
	}
	if l.Jobs["j-3"] != nil {
		t.Error("record of format 3 without a service was read")
	}
	l.SetWanted(j, func(i int) bool { return i == 1 })
	m := l.Machine("m")
	l.Describe(m, "g8", "z", false)
	p := l.Plan(j, 1, 1, m)
	l.SetWanted(j, func(i int) bool { return i != 1 })
	if j.Idle() != 2 || j.Placed != 1 || j.WantedTasks() != 3 {
		t.Errorf("%d idle, %d placed", j.Idle(), j.Placed)
	}
	l.MarkLost(p, "gone")
	if j.Idle() != 2 || j.Placed != 0 || j.WantedTasks() != 2 {
		t.Errorf("%d idle, %d placed after the end of the unwanted task", j.Idle(), j.Placed)
	}
	j.Port, j.PerTask = 8000, true
	other := l.Jobs["j-1"]
	other.Port = 8002
	l.Plan(other, 0, 1, m)
	if j.PortFree(2, m) || !j.PortFree(1, m) || !j.AnyPortFree(m) || other.PortFree(1, m) {
		t.Error("wrong free ports on a machine with tasks of two jobs")
	}
}

// loadedTestLedger returns a ledger with 10,400 live tasks on 1,300 machines.
func loadedTestLedger(b *testing.B) (*env, *Ledger) {
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
	e, l := newTestLedger(b, items)
	for i := range 1300 {
		l.Describe(l.Machine(fmt.Sprintf("vm-%06d", i)), "g8", "z", false)
	}
	return e, l
}

// benchmarkTasks starts and ends jobs, and measures either the starts or the ends: the time per
// task in the ledger and in the state service's stand-in.
func benchmarkTasks(b *testing.B, tasks int, ends bool) {
	e, l := loadedTestLedger(b)
	n := 0
	b.ReportAllocs()
	settle := func() {
		for range 4 {
			e.run(500 * time.Millisecond)
			l.FlushPending()
		}
	}
	b.ResetTimer()
	for b.Loop() {
		b.StopTimer()
		n++
		id := fmt.Sprintf("j-9%06d", n)
		e.revision++
		l.ApplyJobRecord(JobKey(id), &statestore.Item{Value: []byte(record(id, tasks, 48, Open)), Revision: e.revision})
		j := l.Jobs[id]
		e.txns = nil
		if !ends {
			b.StartTimer()
		}
		for i := range j.Tasks {
			l.Plan(j, i, 1, l.Machine(fmt.Sprintf("vm-%06d", (n*tasks+i)%1300)))
		}
		settle()
		if j.Tasks[0].CurrentPlacement == nil || !j.Tasks[0].CurrentPlacement.Durable {
			b.Fatal("start is not durable")
		}
		b.StopTimer()
		if ends {
			b.StartTimer()
		}
		for i := range j.Tasks {
			l.MarkFinished(j, i)
		}
		settle()
		b.StopTimer()
		if l.Jobs[id] != nil {
			settle()
		}
		if l.Jobs[id] != nil && l.Jobs[id].Final != Done {
			b.Fatal("job does not end")
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*tasks), "us/task")
}

// BenchmarkStart measures the cost of a job's starts in the ledger and in requests to the state
// service, with a large number of machines.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{1, 8, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkTasks(b, n, false) })
	}
}

// BenchmarkEnd measures the cost of the ends of a job's tasks, until the job's end is durable and
// its chunks are deleted.
func BenchmarkEnd(b *testing.B) {
	for _, n := range []int{1, 8, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkTasks(b, n, true) })
	}
}

// BenchmarkLoad measures how long a new leader takes to load 10,400 tasks on 1,300 machines from
// its replica.
func BenchmarkLoad(b *testing.B) {
	e, l := loadedTestLedger(b)
	b.ReportAllocs()
	for b.Loop() {
		x := New(e, l.store, 4, nil)
		x.Load()
		if len(x.Machines) != 1300 {
			b.Fatal(len(x.Machines))
		}
	}
}
