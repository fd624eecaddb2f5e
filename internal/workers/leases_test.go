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

// newTerm returns a leader's actor with token 7, and a task that an earlier leader placed on
// machine m.
func newTerm(t *testing.T, kind model.Kind) (*env, *Actor, *ledger.Placement) {
	t.Helper()
	e := &env{now: time.Minute}
	l := ledger.New(e, statestore.New(e, statestore.Config{RPS: 10, WriteRPS: 10, Nodes: 1, TxnOps: 8}), 7, []settings.Team{{Name: "t"}})
	l.Types["g"] = &model.MachineType{Name: "g", Cap: model.Resources{CPUs: 8}}
	a := New(e, l, 7, Config{Lease: 30 * time.Second, Hold: 20 * time.Second, ReportInterval: 3 * time.Second})
	rec := ledger.NewRecord(&model.Spec{ID: "j-1", Team: "t", Kind: kind, Tasks: 1, Resources: model.Resources{CPUs: 1}, Image: "i"}, 0, "", 48)
	l.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Revision: 1})
	p := l.Plan(l.Jobs["j-1"], 0, 1, l.Machine("m"))
	p.Durable, p.Inherited = true, true
	return e, a, p
}

// newReport returns a report of machine m in its first session.
func newReport(token, seq uint64, tasks ...model.TaskReport) *model.Report {
	return &model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 1, Seq: seq, Token: token, Tasks: tasks}
}

// taskReport returns a report of attempt 1 of job j-1's task 0.
func taskReport(phase model.Phase, cause string) model.TaskReport {
	return model.TaskReport{Job: "j-1", Attempt: 1, Phase: phase, Cause: cause}
}

// TestCopiesOfOldReports guards against a new leader that takes a duplicate of an old report
// for the newest one. A task that had been started again since, as the same attempt, counted
// as lost and was started on another machine while it ran.
func TestCopiesOfOldReports(t *testing.T) {
	for _, c := range []struct {
		name string
		old  []*model.Report // duplicates that arrive first
		now  *model.Report   // the worker's own next report
		gone bool            // whether the placement is gone then
		done bool            // whether the task is done then
	}{
		{"had ended, runs again", []*model.Report{newReport(6, 3, taskReport(model.Exited, model.CauseGangIncomplete))}, newReport(7, 9, taskReport(model.Running, "")), false, false},
		{"was stopped, runs again", []*model.Report{newReport(6, 3, taskReport(model.Exited, model.CauseStopped))}, newReport(7, 9, taskReport(model.Running, "")), false, false},
		{"ran, then unlisted, runs again", []*model.Report{newReport(6, 3, taskReport(model.Running, "")), newReport(6, 5)}, newReport(7, 9, taskReport(model.Running, "")), false, false},
		{"ran in an earlier session, then unlisted, runs again", []*model.Report{newReport(6, 3, taskReport(model.Running, "")), {Machine: "m", Type: "g", Session: 2, Seq: 5, Token: 6}},
			&model.Report{Machine: "m", Type: "g", Session: 2, Seq: 9, Token: 7, Tasks: []model.TaskReport{taskReport(model.Running, "")}}, false, false},
		{"ran, is gone", []*model.Report{newReport(6, 3, taskReport(model.Running, ""))}, newReport(7, 9), true, false},
		{"ran, has ended", []*model.Report{newReport(6, 3, taskReport(model.Running, ""))}, newReport(7, 9, taskReport(model.Exited, model.CausePeerLost)), true, false},
		{"was done", []*model.Report{newReport(6, 3, taskReport(model.Exited, model.CauseDone))}, newReport(7, 9), true, true},
	} {
		for _, kind := range []model.Kind{model.Gang, model.Array} {
			_, a, p := newTerm(t, kind)
			for _, r := range c.old {
				a.Report(r)
				if p.Gone != c.done {
					t.Errorf("%s, %v: gone %v after a duplicate of an old report", c.name, kind, p.Gone)
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

// TestOldNotice guards against draining a machine because of a duplicate of an old report.
func TestOldNotice(t *testing.T) {
	_, a, p := newTerm(t, model.Array)
	r := newReport(6, 3, taskReport(model.Running, ""))
	r.Spot, r.InterruptionNotice, r.InterruptionNoticeS = true, true, 8
	a.Report(r)
	if p.Host.InterruptionNotice || p.Stopping {
		t.Error("a notice of unknown age was acted on")
	}
	r = newReport(7, 4, taskReport(model.Running, ""))
	r.InterruptionNotice = true
	if a.Report(r); !p.Host.InterruptionNotice {
		t.Error("a current notice was ignored")
	}
}

// TestStartInAnAnswerUnderWay guards against counting a task as absent because the answer to
// a command doesn't list it, while the answer to a report with its start is still in
// flight: it was placed on another machine and ran twice.
func TestStartInAnAnswerUnderWay(t *testing.T) {
	e, a, p := newTerm(t, model.Array)
	p.Inherited = false
	started := false
	for _, o := range a.Report(newReport(7, 1)) {
		started = started || o.Op == model.Start
	}
	if !started {
		t.Fatal("not started in the answer")
	}
	a.led.Stop(p, 0, "stopped by the test")
	a.applyReport(newReport(7, 2), solicited)
	if p.Gone {
		t.Error("counted as absent while the answer with its start is in flight")
	}
	e.now += 3 * time.Second
	a.Report(newReport(7, 3)) // sent after the answer was executed or had timed out
	if !p.Gone {
		t.Error("not counted as absent after the next report")
	}
	e, a, p = newTerm(t, model.Array)
	p.Inherited = false
	a.Report(newReport(7, 1))
	a.led.Stop(p, 0, "stopped by the test")
	e.now += answerWindow + time.Second
	if a.applyReport(newReport(7, 2), solicited); !p.Gone {
		t.Error("not counted as absent after the answer must have timed out")
	}
}

// TestCopiesDontProlongALease guards against duplicates of reports that keep a dead
// machine's tasks from being started on other machines.
func TestCopiesDontProlongALease(t *testing.T) {
	e, a, p := newTerm(t, model.Array)
	a.Report(newReport(7, 5, taskReport(model.Running, "")))
	expiry := a.LeaseExpiry(p.Host)
	for range 5 {
		e.now += 10 * time.Second
		a.Report(newReport(7, 4, taskReport(model.Running, "")))
	}
	if a.LeaseExpiry(p.Host) != expiry {
		t.Errorf("duplicates have prolonged the lease by %v", a.LeaseExpiry(p.Host)-expiry)
	}
	a.Tick()
	if !p.Gone {
		t.Error("a dead machine's task is not gone")
	}
}

// TestVoidStart guards against a start of a cancelled job that is in flight for longer than
// a cancellation may take, while the state service is down. The worker is answered for no
// longer than Config.Hold after the leader's last proof before it learned of the
// cancellation.
func TestVoidStart(t *testing.T) {
	for _, late := range []time.Duration{0, 15 * time.Second, 25 * time.Second} {
		e, a, p := newTerm(t, model.Array)
		p.Inherited = false
		proven := e.now
		a.Proven = func() time.Duration { return proven }
		stuck := time.Duration(0)
		a.OnStuckStart = func() { stuck = e.now }
		a.Report(newReport(7, 1))
		a.Push(p.Host)
		p.StartSentAt = 0
		e.now += 5 * time.Millisecond
		e.timers.Run(e.now)
		if len(p.Host.UnconfirmedStarts) != 1 {
			t.Fatal("no start of unknown outcome")
		}
		e.now += late // from the last proof until the leader learns of the cancellation
		rec := *p.Job.Record
		rec.Final = ledger.Cancelled
		a.led.ApplyJobRecord(ledger.JobKey("j-1"), &statestore.Item{Value: rec.Encode(), Revision: 2})
		for i := uint64(2); i < 40 && stuck == 0; i++ {
			e.now += time.Second
			a.Report(newReport(7, i))
			a.Tick()
		}
		want := max(proven+a.cfg.Hold, proven+late)
		if stuck == 0 || stuck > want+1100*time.Millisecond {
			t.Errorf("cancellation learned %v after the proof: new token requested after %v, want %v", late, stuck-proven, want-proven)
		}
		if p.Gone {
			t.Error("task gone while its start may still arrive")
		}
	}
}

// TestContradictingReports feeds a leader reports whose sessions and sequence numbers go back,
// which contradict each other and name unknown jobs and machines. A placed task that runs
// according to the newest valid report is neither stopped nor counted as gone, and a returned
// machine stays returned.
func TestContradictingReports(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		e, a, p := newTerm(t, []model.Kind{model.Array, model.Gang, model.Service}[seed%3])
		a.Report(newReport(7, 100, taskReport(model.Running, "")))
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
				t.Fatalf("seed %d: running task is gone %v, stopping %v after %+v", seed, p.Gone, p.Stopping, bad)
			}
			a.Report(newReport(7, 100+i+1, taskReport(model.Running, "")))
			a.Tick()
		}
		a.led.Remove(p.Host, "returned")
		a.Report(newReport(7, 1000, taskReport(model.Running, "")))
		if a.led.Machines["m"] != nil {
			t.Fatal("a duplicate of a report added a returned machine again")
		}
	}
}

// TestNewSessionHasALease guards against counting tasks of a new session as lost because the
// previous session was silent, when only the answer to a command has shown the new session.
func TestNewSessionHasALease(t *testing.T) {
	e, a, p := newTerm(t, model.Array)
	p.Inherited = false
	a.Report(newReport(7, 1, taskReport(model.Running, "")))
	e.now = a.LeaseExpiry(p.Host) + time.Minute
	a.applyReport(&model.Report{Machine: "m", Addr: "x", Type: "g", Zone: "z", Session: 2, Seq: 9, Token: 7}, solicited)
	if !p.Gone {
		t.Fatal("a task of the earlier session is not gone")
	}
	q := a.led.Plan(p.Job, 0, 2, p.Host)
	q.Durable, q.Session, q.SeenInReport = true, 2, true
	for end := e.now + a.cfg.Lease; e.now < end; e.now += time.Second {
		if a.Tick(); q.Gone {
			t.Fatal("task counted as lost before its session's lease expired")
		}
	}
	e.now += 3 * time.Second
	if a.Tick(); !q.Gone {
		t.Error("task not lost after its lease has expired")
	}
}

// TestResultsAreKept guards against ordering a worker to forget a result that is not
// durable: if the leader fails just then, the task runs again.
func TestResultsAreKept(t *testing.T) {
	_, a, p := newTerm(t, model.Array)
	forgets := func(seq uint64) (n int) {
		for _, o := range a.Report(newReport(7, seq, taskReport(model.Exited, model.CauseDone))) {
			if o.Op == model.Forget {
				n++
			}
		}
		return n
	}
	if n := forgets(1) + forgets(2); n > 0 || !p.Job.Tasks[0].Done {
		t.Errorf("%d orders to forget a result that isn't durable, done %v", n, p.Job.Tasks[0].Done)
	}
	p.Job.Final = ledger.Done // set only once the result is durable
	if forgets(3) != 1 {
		t.Error("no order to forget a durable result")
	}
}

// TestStartNotSentYet guards against counting a gang's task as lost because the worker's report
// doesn't list it, when its placement is durable but its start was not sent yet: a gang was
// placed again 90 times.
func TestStartNotSentYet(t *testing.T) {
	_, a, p := newTerm(t, model.Gang)
	p.Inherited = false
	started := false
	for _, o := range a.Report(newReport(7, 1)) {
		started = started || o.Op == model.Start
	}
	if p.Gone || !started {
		t.Errorf("gone %v, started %v", p.Gone, started)
	}
}
