package sim

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/settings"
)

// fleetWorld returns a world with the given number of machines, as large deployments
// have them, with eight tasks on each, in arrays of a hundred.
func fleetWorld(machines int) *World {
	w := New(Config{Seed: 71, Nodes: 3, Zones: []string{"a", "b", "c"}, Capacity: machines, Initial: machines, CPUs: 16, GPUs: 4, BootS: 15,
		RPS: 250, WriteRPS: 30, CloudRPS: 6, Teams: []settings.Team{{Name: "free"}}})
	for i := range machines * 8 / 100 {
		w.At(time.Duration(2000+100*i)*time.Millisecond, func() {
			w.Submit(Job{ID: fmt.Sprintf("j-%05d", i), Kind: "sweep", Team: "free", Image: fmt.Sprint("i", i%10), ImageGB: 0.1, Tasks: 100, CPUs: 1.9,
				RunS: 1000, CheckpointS: 10, SaveS: 1})
		})
	}
	w.Run(40*time.Second + time.Duration(machines*8/100)*100*time.Millisecond)
	return w
}

// liveTasks counts the tasks on machines.
func (w *World) liveTasks() (n int) {
	for _, m := range w.Machines() {
		n += len(m.tasks)
	}
	return n
}

// heapMB returns the size of the heap, with controllers and stand-ins, in MB.
func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// TestFleetRecovery crashes all controllers of a fleet at once while work waits:
// starts must resume within the leader's lease, the restart and 3 s, no machine may
// lose its tasks, and the new leader must not rent machines that it does not need.
func TestFleetRecovery(t *testing.T) {
	const machines, restart = 2000, 5 * time.Second
	w := fleetWorld(machines)
	before := w.liveTasks()
	if before < machines*8*95/100 {
		t.Fatalf("%d tasks run on %d machines", before, machines)
	}
	var crashed, elected, firstStart time.Duration
	reports := 0
	w.OnSend = func(from string, c actor.Call) {
		switch {
		case c.Path == "/hello" && firstStart == 0:
			reports++
		case c.Path == "/orders" && firstStart == 0 && strings.Contains(string(c.Body), `"start"`):
			firstStart = w.now
		case c.Path == "/commit" && elected == 0 && strings.Contains(string(c.Body), `"write":"b/leader"`):
			elected = w.now
		}
	}
	rented := len(w.Cloud.machines)
	crashed = w.now
	for i := range w.nodes {
		w.Crash(i, restart)
	}
	w.after(time.Second, func() { // work that waits for the new leader
		for i := range 20 {
			w.Submit(Job{ID: fmt.Sprintf("j-9%04d", i), Kind: "sweep", Team: "free", Image: "i0", ImageGB: 0.1, Tasks: 1, CPUs: 0.01, RunS: 5})
		}
	})
	w.Run(crashed + 40*time.Second)
	for _, violation := range w.Violations {
		t.Error(violation)
	}
	if firstStart == 0 || firstStart-crashed > 3*time.Second+restart+3*time.Second {
		t.Errorf("the first start came %v after the crash", firstStart-crashed)
	}
	if n := w.liveTasks(); n < before {
		t.Errorf("%d tasks of %d are left", n, before)
	}
	if n := len(w.Cloud.machines) - rented; n > machines/50 {
		t.Errorf("%d machines were rented, though all work fits the existing ones", n)
	}
	t.Logf("after the crash: election %v, first start %v, %d reports until then", elected-crashed, firstStart-crashed, reports)
}

// BenchmarkReport measures how long the leader takes for a worker's report in steady
// operation at fleet size, without the encoding by the stand-in.
func BenchmarkReport(b *testing.B) {
	w := fleetWorld(1300)
	ms, s := w.Machines(), w.nodes[w.Leader()]
	bodies := make([][]byte, 0, 4000)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		if n%cap(bodies) == 0 {
			b.StopTimer()
			w.Run(w.now + 100*time.Millisecond)
			bodies = bodies[:0]
			for i := range cap(bodies) {
				bodies = append(bodies, ms[(n+i)%len(ms)].reportBody())
			}
			b.StartTimer()
		}
		s.serve("m", "POST", "/hello", bodies[n%cap(bodies)], func(int, []byte) {})
		n++
	}
}

// BenchmarkTakeover measures the processing time of all processes and stand-ins from a
// leader's crash until the next one leads, some three simulated seconds with 10,400
// live tasks, and the heap that they hold then.
func BenchmarkTakeover(b *testing.B) {
	w := fleetWorld(1300)
	b.ReportAllocs()
	for b.Loop() {
		w.Crash(w.Leader(), time.Second)
		for w.Leader() < 0 {
			w.Run(w.now + 50*time.Millisecond)
		}
	}
	b.ReportMetric(heapMB(), "MB-held")
	runtime.KeepAlive(w) // keeps the world in the heap until heapMB has measured it
}

// TestTenTimesTheFleet has ten times as many machines as a large deployment appear at
// once, listed and reporting, of which no controller knew: the leader returns them
// without exceeding the controllers' memory, and jobs submitted meanwhile are done.
func TestTenTimesTheFleet(t *testing.T) {
	const machines = 13_000
	w := New(Config{Seed: 72, Nodes: 3, Zones: []string{"a", "b", "c"}, Capacity: 100, Initial: 20, CPUs: 16, GPUs: 4, BootS: 15,
		RPS: 250, WriteRPS: 30, CloudRPS: 6, Teams: []settings.Team{{Name: "free"}}})
	w.Run(10 * time.Second)
	for i := range machines {
		w.Cloud.create(w.cfg.Zones[i%3], false, 0.1)
	}
	before := heapMB()
	most, asked := 0.0, w.now
	w.At(asked+time.Second, func() {
		for i := range 30 {
			w.Submit(Job{ID: fmt.Sprintf("j-8%04d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 4, CPUs: 4, RunS: 5})
		}
	})
	for w.now < asked+25*time.Second {
		w.Run(w.now + 5*time.Second)
		// The snapshots that the cloud stand-in keeps for its lagging lists are left out.
		n := len(w.Cloud.snapshots)
		w.Cloud.snapshots = append([]snapshot(nil), w.Cloud.snapshots[n-1])
		most = max(most, heapMB()-before)
	}
	for _, violation := range w.Violations {
		t.Error(violation)
	}
	if w.Done < 30 {
		t.Errorf("%d of 30 jobs are done", w.Done)
	}
	if left := len(w.Machines()); left > machines-1000 {
		t.Errorf("%d of %d machines are still there", left, machines)
	}
	// The bound covers three controllers and the machines' stand-ins.
	if most > 125 {
		t.Errorf("the heap grew by %.0f MB", most)
	}
	t.Logf("%d machines are left after %v, the heap grew by at most %.0f MB, stand-ins included", len(w.Machines()), w.now-asked, most)
}
