package workers

import (
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
)

// term is a leader's actor with token 7, and one task that an earlier leader placed on m.
func term(t *testing.T, kind model.Kind) (*env, *Actor, *ledger.Placement) {
	t.Helper()
	e := &env{now: time.Minute}
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 10, WriteRPS: 10, Nodes: 1, TxnOps: 8}), 7, []settings.Team{{Name: "t"}})
	l.Types["g"] = &model.MachineType{Name: "g", Cap: model.Resources{CPUs: 8}}
	a := New(e, l, 7, Config{Lease: 30 * time.Second, Hold: 20 * time.Second, Report: 3 * time.Second})
	rec := ledger.NewRecord(&model.Spec{ID: "j-1", Team: "t", Kind: kind, Tasks: 1, Resources: model.Resources{CPUs: 1}, Image: "i"}, 0, "", 48)
	l.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Stamp: 1})
	p := l.Plan(l.Jobs["j-1"], 0, 1, l.Machine("m"))
	p.Durable, p.Inherited = true, true
	return e, a, p
}

func said(token, seq uint64, tasks ...model.TaskReport) *model.Report {
	return &model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 1, Seq: seq, Token: token, Tasks: tasks}
}

func as(phase model.Phase, cause string) model.TaskReport {
	return model.TaskReport{Job: "j-1", Attempt: 1, Phase: phase, Cause: cause}
}

// TestCopiesOfOldReports guards against a new leader that takes a copy of an old report for
// the newest: a task that was started again since, as the same attempt, counted as gone,
// and was started elsewhere while it ran.
func TestCopiesOfOldReports(t *testing.T) {
	for _, c := range []struct {
		name string
		old  []*model.Report // copies that come before anything else
		now  *model.Report   // what the worker says itself then
		gone bool            // whether the task is
		done bool
	}{
		{"ended then, runs again now", []*model.Report{said(6, 3, as(model.Exited, model.CauseGangIncomplete))}, said(7, 9, as(model.Running, "")), false, false},
		{"stopped then, runs again now", []*model.Report{said(6, 3, as(model.Exited, model.CauseStopped))}, said(7, 9, as(model.Running, "")), false, false},
		{"ran then, not there after that, runs again now", []*model.Report{said(6, 3, as(model.Running, "")), said(6, 5)}, said(7, 9, as(model.Running, "")), false, false},
		{"ran in an earlier session, not there after that, runs again now", []*model.Report{said(6, 3, as(model.Running, "")), {Machine: "m", Type: "g", Session: 2, Seq: 5, Token: 6}},
			&model.Report{Machine: "m", Type: "g", Session: 2, Seq: 9, Token: 7, Tasks: []model.TaskReport{as(model.Running, "")}}, false, false},
		{"ran then, is gone", []*model.Report{said(6, 3, as(model.Running, ""))}, said(7, 9), true, false},
		{"ran then, has ended", []*model.Report{said(6, 3, as(model.Running, ""))}, said(7, 9, as(model.Exited, model.CausePeerLost)), true, false},
		{"was done then", []*model.Report{said(6, 3, as(model.Exited, model.CauseDone))}, said(7, 9), true, true},
	} {
		for _, kind := range []model.Kind{model.Gang, model.Array} {
			_, a, p := term(t, kind)
			for _, r := range c.old {
				a.Report(r)
				if p.Gone != c.done {
					t.Errorf("%s, %v: gone %v after an old copy", c.name, kind, p.Gone)
				}
			}
			a.Report(c.now)
			if p.Gone != c.gone {
				t.Errorf("%s, %v: gone %v, want %v", c.name, kind, p.Gone, c.gone)
			}
			if j := p.Job; j.Tasks[0].Done != c.done {
				t.Errorf("%s, %v: done %v", c.name, kind, j.Tasks[0].Done)
			}
		}
	}
}

// TestOldNotice guards against draining a machine by a copy of an old report.
func TestOldNotice(t *testing.T) {
	_, a, p := term(t, model.Array)
	r := said(6, 3, as(model.Running, ""))
	r.Spot, r.InterruptionNotice, r.InterruptionNoticeS = true, true, 8
	a.Report(r)
	if p.Host.InterruptionNotice || p.Stopping {
		t.Error("a notice of unknown age was acted on")
	}
	r = said(7, 4, as(model.Running, ""))
	r.InterruptionNotice = true
	if a.Report(r); !p.Host.InterruptionNotice {
		t.Error("a fresh notice was not heard")
	}
}

// TestStartInAnAnswerUnderWay guards against taking a task for absent since the answer to a
// command doesn't list it, while the answer to a report that starts it is still on its way:
// it was placed elsewhere and ran twice.
func TestStartInAnAnswerUnderWay(t *testing.T) {
	e, a, p := term(t, model.Array)
	p.Inherited = false
	started := false
	for _, o := range a.Report(said(7, 1)) {
		started = started || o.Op == model.Start
	}
	if !started {
		t.Fatal("not started in the answer")
	}
	a.led.Stop(p, 0, "called off")
	a.absorb(said(7, 2), asked)
	if p.Gone {
		t.Error("taken for absent while the answer with its start is under way")
	}
	e.now += 3 * time.Second
	a.Report(said(7, 3)) // sent after the answer was executed or given up
	if !p.Gone {
		t.Error("not taken for absent by the next report")
	}
	e, a, p = term(t, model.Array)
	p.Inherited = false
	a.Report(said(7, 1))
	a.led.Stop(p, 0, "called off")
	e.now += answerFor + time.Second
	if a.absorb(said(7, 2), asked); !p.Gone {
		t.Error("not taken for absent when the worker surely dropped the answer")
	}
}

// TestCopiesDontProlongALease guards against copies of reports that keep a dead machine's
// tasks from being started elsewhere.
func TestCopiesDontProlongALease(t *testing.T) {
	e, a, p := term(t, model.Array)
	a.Report(said(7, 5, as(model.Running, "")))
	dead := a.DeadAt(p.Host)
	for range 5 {
		e.now += 10 * time.Second
		a.Report(said(7, 4, as(model.Running, "")))
	}
	if a.DeadAt(p.Host) != dead {
		t.Errorf("copies have put off the end of the lease by %v", a.DeadAt(p.Host)-dead)
	}
	a.Tick()
	if !p.Gone {
		t.Error("a dead machine's task is not gone")
	}
}

// TestVoidStart guards against the start of a cancelled job that is under way for longer
// than the cancellation has, while the state service is down: the worker is answered for no
// longer than the hold from our last proof before we heard of the cancellation.
func TestVoidStart(t *testing.T) {
	for _, late := range []time.Duration{0, 15 * time.Second, 25 * time.Second} {
		e, a, p := term(t, model.Array)
		p.Inherited = false
		proven := e.now
		a.Proven = func() time.Duration { return proven }
		stuck := time.Duration(0)
		a.OnStuck = func() { stuck = e.now }
		a.Report(said(7, 1))
		a.Push(p.Host)
		p.StartSentAt = 0
		e.now += 5 * time.Millisecond
		e.timers.Run(e.now)
		if len(p.Host.UnconfirmedStarts) != 1 {
			t.Fatal("no start of unknown fate")
		}
		e.now += late // we hear of the cancellation so much later than of our last proof
		rec := *p.Job.Record
		rec.Final = ledger.Cancelled
		a.led.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Stamp: 2})
		for i := uint64(2); i < 40 && stuck == 0; i++ {
			e.now += time.Second
			a.Report(said(7, i))
			a.Tick()
		}
		want := max(proven+a.cfg.Hold, proven+late)
		if stuck == 0 || stuck > want+1100*time.Millisecond {
			t.Errorf("heard of it %v later: a new token is asked for after %v, want %v", late, stuck-proven, want-proven)
		}
		if p.Gone {
			t.Error("gone while its start may arrive")
		}
	}
}

// TestContradictingReports feeds a leader reports whose sessions and sequences go back, which
// contradict each other and name what nobody knows: what runs by right, as the newest honest
// report says, is neither stopped nor taken for gone, and a returned machine stays returned.
func TestContradictingReports(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		e, a, p := term(t, []model.Kind{model.Array, model.Gang, model.Service}[seed%3])
		a.Report(said(7, 100, as(model.Running, "")))
		for i := range uint64(60) {
			e.now += time.Duration(r.IntN(3000)) * time.Millisecond
			bad := &model.Report{Machine: []string{"m", "m", "m", "unknown", ""}[r.IntN(5)], Session: uint64(r.IntN(2)), Seq: uint64(r.IntN(100)), Token: uint64(r.IntN(7)),
				Type: []string{"g", "x", ""}[r.IntN(3)], Zone: "z"}
			for range r.IntN(4) {
				bad.Tasks = append(bad.Tasks, model.TaskReport{Job: []string{"j-1", "j-2", ""}[r.IntN(3)], Task: r.IntN(3) * 70000, Attempt: uint64(r.IntN(3)), Phase: model.Phase(r.IntN(6)),
					Cause: []string{model.CauseStopped, model.CauseError, model.CauseBusy, "?", ""}[r.IntN(5)]})
			}
			for _, o := range a.Report(bad) {
				if o.Job == "j-1" && o.Task == 0 && o.Attempt == 1 && o.Op != model.Start && bad.Machine == "m" {
					t.Fatalf("seed %d: %+v after %+v", seed, o, bad)
				}
			}
			if p.Gone || p.Stopping {
				t.Fatalf("seed %d: what runs by right is gone %v, stopping %v after %+v", seed, p.Gone, p.Stopping, bad)
			}
			a.Report(said(7, 100+i+1, as(model.Running, "")))
			a.Tick()
		}
		a.led.Remove(p.Host, "returned")
		a.Report(said(7, 1000, as(model.Running, "")))
		if a.led.Machines["m"] != nil {
			t.Fatal("a copied report brought a returned machine back")
		}
	}
}

// TestNewSessionHasALease guards against taking what was started in a new session for dead by
// the silence of the session before: the new one is known by the answer to a command only.
func TestNewSessionHasALease(t *testing.T) {
	e, a, p := term(t, model.Array)
	p.Inherited = false
	a.Report(said(7, 1, as(model.Running, "")))
	e.now = a.DeadAt(p.Host) + time.Minute
	a.absorb(&model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 2, Seq: 9, Token: 7}, asked)
	if !p.Gone {
		t.Fatal("a later session has none of the earlier one's tasks")
	}
	q := a.led.Plan(p.Job, 0, 2, p.Host)
	q.Durable, q.Session, q.SeenInReport = true, 2, true
	for end := e.now + a.cfg.Lease; e.now < end; e.now += time.Second {
		if a.Tick(); q.Gone {
			t.Fatal("taken for dead while its session's lease runs")
		}
	}
	e.now += 3 * time.Second
	if a.Tick(); !q.Gone {
		t.Error("still there after its lease has run out")
	}
}

// TestResultsAreKept guards against a worker that is told to forget a result which is not
// durable: a leader that ends just then leaves a task that runs again.
func TestResultsAreKept(t *testing.T) {
	_, a, p := term(t, model.Array)
	forgets := func(seq uint64) (n int) {
		for _, o := range a.Report(said(7, seq, as(model.Exited, model.CauseDone))) {
			if o.Op == model.Forget {
				n++
			}
		}
		return n
	}
	if n := forgets(1) + forgets(2); n > 0 || !p.Job.Tasks[0].Done {
		t.Errorf("told %d times to forget a result that isn't written, done %v", n, p.Job.Tasks[0].Done)
	}
	p.Job.Final = ledger.Done // which is written only once it is durable
	if forgets(3) != 1 {
		t.Error("not told to forget a result that is durable")
	}
}

// TestNotToldYet guards against a task of a gang that is durable, but whose start was not sent
// yet, and counts as lost since the worker's report doesn't list it: the gang was placed anew
// 90 times.
func TestNotToldYet(t *testing.T) {
	_, a, p := term(t, model.Gang)
	p.Inherited = false
	started := false
	for _, o := range a.Report(said(7, 1)) {
		started = started || o.Op == model.Start
	}
	if p.Gone || !started {
		t.Errorf("gone %v, started %v", p.Gone, started)
	}
}
