package ledger

import (
	"testing"

	"brooklb/internal/model"
	"brooklb/internal/units"
)

// TestUnitsOfJobs guards what a new leader reads and what each kind of request
// holds: units for each task while the task is there, units for a whole job while any
// of its tasks is; inherited placements hold theirs before anything is placed.
func TestUnitsOfJobs(t *testing.T) {
	s := spec("j-1", 3)
	s.Units = []model.UnitAsk{{Name: "seat", N: 2}, {Name: "server", N: 1, PerJob: true}}
	r := NewRecord(s, 0, "", 50)
	if r.V <= ServiceFormat {
		t.Errorf("format %d would be started by programs that don't count", r.V)
	}
	_, l := start(t, map[string]string{JobKey("j-1"): string(r.Encode()), ChunkKey("j-1", 0): `{"v":2,"t":"1@vm-1 1@vm-1 0"}`,
		JobKey("j-2"): `{"v":4,"at":0,"k":1,"s":{"k":0}}`})
	if l.Jobs["j-2"] != nil {
		t.Error("a record of format 4 that asks for nothing was read")
	}
	j := l.Jobs["j-1"]
	seat, server := l.Units.Get("seat"), l.Units.Get("server")
	if seat.Used != 4 || server.Used != 1 || len(seat.Holders) != 2 {
		t.Fatalf("after a takeover %d seats and %d servers are in use", seat.Used, server.Used)
	}
	l.Units.Set("seat", &units.Record{V: 1, Count: 5}, 1)
	l.Units.Set("server", &units.Record{V: 1, Count: 1}, 1)
	if n := l.UnitsFor(j); n != 0 {
		t.Errorf("there are units for %d more tasks: one seat is free, a task needs two", n)
	}
	l.Units.Set("seat", &units.Record{V: 1, Count: 6}, 2)
	if n := l.UnitsFor(j); n != 1 {
		t.Errorf("there are units for %d more tasks, want 1: the job has its server", n)
	}
	use := map[*units.Resource]int{}
	if n := l.SomeUnits(j, 3, use); n != 1 || use[seat] != 2 || use[server] != 0 {
		t.Errorf("machines are wanted for %d tasks, with %d seats and %d servers", n, use[seat], use[server])
	}
	l.Lost(j.Tasks[0].P, "gone")
	if seat.Used != 2 || server.Used != 1 {
		t.Errorf("%d seats, %d servers with one task left", seat.Used, server.Used)
	}
	l.Finished(j, 1)
	if seat.Used != 0 || server.Used != 0 || len(server.Holders) != 0 {
		t.Errorf("%d seats, %d servers with no task left", seat.Used, server.Used)
	}
	l.Units.Set("server", &units.Record{V: 1, Count: 0}, 3)
	if x, need := l.Short(j, 1); x != server || need != 1 {
		t.Errorf("it is short of %+v", x)
	}
}
