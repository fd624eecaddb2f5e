package ledger

import (
	"testing"

	"brooklb/internal/model"
	"brooklb/internal/units"
)

// TestUnitsOfJobs checks the units that a new leader reads and that each kind of request holds:
// units per task while the task is placed, and units for the whole job while any of its tasks is
// placed. Inherited placements must hold theirs before anything else is placed.
func TestUnitsOfJobs(t *testing.T) {
	s := spec("j-1", 3)
	s.Units = []model.UnitRequest{{Name: "seat", Quantity: 2}, {Name: "server", Quantity: 1, PerJob: true}}
	r := NewRecord(s, 0, "", 50)
	if r.V <= ServiceFormat {
		t.Errorf("format %d would be started by programs without support for counted resources", r.V)
	}
	_, l := newTestLedger(t, map[string]string{JobKey("j-1"): string(r.Encode()), ChunkKey("j-1", 0): `{"v":2,"t":"1@vm-1 1@vm-1 0"}`,
		JobKey("j-2"): `{"v":4,"at":0,"k":1,"s":{"k":0}}`})
	if l.Jobs["j-2"] != nil {
		t.Error("record of format 4 without requests for units was read")
	}
	j := l.Jobs["j-1"]
	seat, server := l.Units.Get("seat"), l.Units.Get("server")
	if seat.Used != 4 || server.Used != 1 || len(seat.Holders) != 2 {
		t.Fatalf("after a change of leader %d seats and %d servers are in use", seat.Used, server.Used)
	}
	l.Units.Set("seat", &units.Record{V: 1, Count: 5}, 1)
	l.Units.Set("server", &units.Record{V: 1, Count: 1}, 1)
	if n := l.TasksWithinUnits(j); n != 0 {
		t.Errorf("units are free for %d more tasks, want 0: one seat is free, a task needs two", n)
	}
	l.Units.Set("seat", &units.Record{V: 1, Count: 6}, 2)
	if n := l.TasksWithinUnits(j); n != 1 {
		t.Errorf("units are free for %d more tasks, want 1: the job has its server", n)
	}
	use := map[*units.Resource]int{}
	if n := l.AllotUnits(j, 3, use); n != 1 || use[seat] != 2 || use[server] != 0 {
		t.Errorf("units allotted to %d tasks, with %d seats and %d servers; want 1, 2, 0", n, use[seat], use[server])
	}
	l.MarkLost(j.Tasks[0].CurrentPlacement, "gone")
	if seat.Used != 2 || server.Used != 1 {
		t.Errorf("%d seats, %d servers with one task left", seat.Used, server.Used)
	}
	l.MarkFinished(j, 1)
	if seat.Used != 0 || server.Used != 0 || len(server.Holders) != 0 {
		t.Errorf("%d seats, %d servers with no task left", seat.Used, server.Used)
	}
	l.Units.Set("server", &units.Record{V: 1, Count: 0}, 3)
	if x, need := l.FirstShortage(j, 1); x != server || need != 1 {
		t.Errorf("shortage of %+v, want one server", x)
	}
}
