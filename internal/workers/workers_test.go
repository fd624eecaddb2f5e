package workers

import (
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

// env is an environment whose timers a test runs. Direct commands get no answer unless the
// test sets one.
type env struct {
	now    time.Duration
	timers actor.Timers
	calls  int
	answer func(actor.Call) actor.Answer // to direct commands; nil: no answer
}

func (e *env) Now() time.Duration { return e.now }
func (e *env) Wall() time.Time    { return time.Unix(0, 0) }
func (e *env) Rand() *rand.Rand   { return nil }
func (e *env) Log() *slog.Logger  { return slog.New(slog.DiscardHandler) }
func (e *env) After(d time.Duration, f func()) *actor.Timer {
	return e.timers.Add(e.now+d, f)
}
func (e *env) Call(c actor.Call) {
	if c.Path == "/orders" {
		e.calls++
		if e.answer != nil {
			c.Done(e.answer(c))
			return
		}
		c.Done(actor.Answer{Err: actor.ErrNoAnswer})
	}
}

// TestStuckStart guards against a start of unknown outcome that reserves resources
// permanently after its task was stopped, and against freeing the resources too early.
func TestStuckStart(t *testing.T) {
	e := &env{now: time.Minute}
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 10, WriteRPS: 10, Nodes: 1, TxnOps: 8}), 7, []settings.Team{{Name: "t"}})
	l.Types["g"] = &model.MachineType{Name: "g", Cap: model.Resources{CPUs: 8}}
	a := New(e, l, 7, Config{Lease: 30 * time.Second, Hold: 20 * time.Second, ReportInterval: 3 * time.Second})
	tokenRequests := 0
	a.OnStuckStart = func() { tokenRequests++ }
	rec := ledger.NewRecord(&model.Spec{ID: "j-1", Team: "t", Tasks: 1, Resources: model.Resources{CPUs: 1}, Image: "i"}, 0, "", 48)
	l.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Revision: 1})
	seq := uint64(0)
	report := func() []model.Order {
		seq++
		return a.Report(&model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 1, Seq: seq, Token: 7})
	}
	report()
	m := l.Machines["m"]
	p := l.Plan(l.Jobs["j-1"], 0, 1, m)
	p.Durable = true
	a.Push(m)
	e.now += 10 * time.Millisecond
	e.timers.Run(e.now)
	if e.calls == 0 || len(m.UnconfirmedStarts) != 1 {
		t.Fatalf("%d direct commands, %d starts of unknown outcome", e.calls, len(m.UnconfirmedStarts))
	}
	l.Stop(p, 0, "stopped by the test")
	for range 15 {
		e.now += 3 * time.Second
		for _, o := range report() {
			if o.Op == model.Start {
				t.Error("task started after it was stopped")
			}
		}
		if p.Gone {
			t.Fatal("resources freed while the start may still arrive")
		}
		a.Tick()
		if tokenRequests > 0 && e.now-p.StopSince < stuckTimeout {
			t.Fatal("new token requested too early")
		}
	}
	if tokenRequests == 0 {
		t.Fatal("no new token requested")
	}
	seq++
	a.Report(&model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 2, Seq: 1, Token: 7})
	if !p.Gone || m.Used.CPUs != 0 {
		t.Error("a later session doesn't free the resources")
	}
}

// TestStartsThatAreKept guards against more direct starts to a machine than its worker can
// remember while duplicates of them may arrive. The other starts go in the answer to a
// report, none is lost, and no directly started attempt, done or not, is forgotten while a
// duplicate may arrive.
func TestStartsThatAreKept(t *testing.T) {
	maxDirect := ledger.MaxDirectStarts(model.Low)
	tasks := 2*maxDirect + 5
	e := &env{now: time.Minute}
	e.answer = func(actor.Call) actor.Answer { return actor.Answer{Status: 200} }
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 10, WriteRPS: 10, Nodes: 1, TxnOps: 8}), 7, []settings.Team{{Name: "t"}})
	l.Types["g"] = &model.MachineType{Name: "g", Cap: model.Resources{CPUs: float64(tasks)}}
	a := New(e, l, 7, Config{Lease: 30 * time.Second, Hold: 20 * time.Second, ReportInterval: 3 * time.Second})
	rec := ledger.NewRecord(&model.Spec{ID: "j-1", Team: "t", Tasks: tasks, Resources: model.Resources{CPUs: 1}, Image: "i"}, 0, "", 48)
	l.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Revision: 1})
	seq := uint64(0)
	count := func(tasks ...model.TaskReport) (starts, forgets int) {
		seq++
		for _, o := range a.Report(&model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 1, Seq: seq, Token: 7, Tasks: tasks}) {
			switch o.Op {
			case model.Start:
				starts++
			case model.Forget:
				forgets++
			}
		}
		return starts, forgets
	}
	count()
	m := l.Machines["m"]
	for i := range tasks {
		l.Plan(l.Jobs["j-1"], i, 1, m).Durable = true
	}
	a.Push(m)
	e.now += 10 * time.Millisecond
	e.timers.Run(e.now)
	if e.calls != 1 || len(m.ConfirmedStarts) != maxDirect {
		t.Fatalf("%d commands with %d starts, want one with %d", e.calls, len(m.ConfirmedStarts), maxDirect)
	}
	var done []model.TaskReport
	for i := range tasks {
		if l.Jobs["j-1"].Tasks[i].CurrentPlacement.StartSentAt > 0 {
			done = append(done, model.TaskReport{Job: "j-1", Task: i, Attempt: 1, Phase: model.Exited, Cause: model.CauseDone})
		}
	}
	rec.Final = ledger.Cancelled // so that nothing of the job has to become durable any more
	if n, _ := count(); n != tasks {
		t.Errorf("%d starts in the answer to a report, want all %d", n, tasks)
	}
	l.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Revision: 2})
	if _, n := count(done...); n > 0 {
		t.Errorf("%d attempts forgotten while duplicates of their starts may arrive", n)
	}
	e.now += duplicateWindow
	if _, n := count(done...); n != maxDirect {
		t.Errorf("%d attempts forgotten after the window for duplicates, want %d", n, maxDirect)
	}
	if len(m.ConfirmedStarts) > 0 {
		t.Errorf("%d starts never forgotten", len(m.ConfirmedStarts))
	}
}
