package rollout

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// fakeEnv is an actor.Env with a simulated clock that answers every call by the answer
// function.
type fakeEnv struct {
	now          time.Duration
	timers       actor.Timers
	rng          *rand.Rand
	answer       func(c actor.Call) (a actor.Answer, after time.Duration)
	calls        int
	inFlight     int
	peakInFlight int
	last         actor.Call
}

func (e *fakeEnv) Now() time.Duration                           { return e.now }
func (e *fakeEnv) Wall() time.Time                              { return time.UnixMilli(e.now.Milliseconds()) }
func (e *fakeEnv) Rand() *rand.Rand                             { return e.rng }
func (e *fakeEnv) Log() *slog.Logger                            { return slog.New(slog.DiscardHandler) }
func (e *fakeEnv) After(d time.Duration, f func()) *actor.Timer { return e.timers.Add(e.now+d, f) }
func (e *fakeEnv) Call(c actor.Call) {
	e.calls++
	e.inFlight++
	e.peakInFlight = max(e.peakInFlight, e.inFlight)
	e.last = c
	a, after := e.answer(c)
	e.After(after, func() { e.inFlight--; c.Done(a) })
}

func (e *fakeEnv) run(d time.Duration) {
	end := e.now + d
	for {
		at, ok := e.timers.Next()
		if !ok || at > end {
			break
		}
		e.now = max(e.now, at)
		e.timers.Run(e.now)
	}
	e.now = end
}

// newTestChecker returns a checker with n running instances, ten on a machine.
func newTestChecker(n int, share float64, spec *wire.Health) (*fakeEnv, *checker, *ledger.Job) {
	e := &fakeEnv{rng: rand.New(rand.NewPCG(1, 1)), now: time.Minute}
	e.answer = func(actor.Call) (actor.Answer, time.Duration) { return actor.Answer{Status: 200}, 2 * time.Millisecond }
	l := ledger.New(e, newStore(e), 1, nil)
	rec := ledger.NewRecord(&model.Spec{ID: "j-2", Kind: model.Service, Tasks: n, Image: "i"}, 0, "", 100)
	l.ApplyJobRecord(ledger.JobKey("j-2"), &statestore.Item{Value: rec.Encode(), Revision: 1})
	j := l.Jobs["j-2"]
	c := newChecker(e, share, 3*time.Second)
	for i := range n {
		m := l.Machine(fmt.Sprintf("vm-%05d", i/10))
		m.ListedAddr, m.Addr, m.LastReport = fmt.Sprintf("10.1.%d.%d:9000", i/2500, i/10%250+1), "192.168.0.1:1", e.now
		p := l.Plan(j, i, 1, m)
		p.Phase, p.RunSince = model.Running, e.now
		c.watch(j, i, spec)
	}
	return e, c, j
}

func testHealth() *wire.Health {
	return &wire.Health{Port: 8000, PerTask: true, Path: "/h/{task}", IntervalS: 5, TimeoutS: 2, SlowS: 1, Passes: 2, Fails: 3, Flaps: 6}
}

// TestChecks guards against wrong conclusions from checks: a check that could not be
// sent or whose machine is silent must not make an instance sick, and checks must go
// only to the machine that the cloud listed.
func TestChecks(t *testing.T) {
	refused := errors.Join(actor.ErrNotSent, actor.ErrRefused)
	for _, c := range []struct {
		name          string
		a             actor.Answer
		after         time.Duration
		silent        bool
		healthy, sick bool
	}{
		{"good", actor.Answer{Status: 200}, time.Millisecond, false, true, false},
		{"good, machine silent", actor.Answer{Status: 204}, time.Millisecond, true, true, false},
		{"bad", actor.Answer{Status: 503}, time.Millisecond, false, false, true},
		{"slow", actor.Answer{Status: 200}, 1500 * time.Millisecond, false, false, true},
		{"refused", actor.Answer{Err: refused}, time.Millisecond, false, false, true},
		{"refused, machine silent", actor.Answer{Err: refused}, time.Millisecond, true, false, false},
		{"no answer", actor.Answer{Err: actor.ErrNoAnswer}, 2 * time.Second, false, false, true},
		{"no answer, machine silent", actor.Answer{Err: actor.ErrNoAnswer}, 2 * time.Second, true, false, false},
		{"not sent", actor.Answer{Err: actor.ErrNotSent}, 2 * time.Second, false, false, false},
	} {
		e, ch, j := newTestChecker(1, 1, testHealth())
		e.answer = func(actor.Call) (actor.Answer, time.Duration) { return c.a, c.after }
		m := j.Tasks[0].CurrentPlacement.Host
		for range 40 {
			if !c.silent {
				m.LastReport = e.now
			}
			e.run(time.Second)
		}
		x := ch.instances[instanceID{"j-2", 0}]
		if x.healthy(ch) != c.healthy || x.sick() != c.sick {
			t.Errorf("%s: got healthy %v, sick %v", c.name, x.healthy(ch), x.sick())
		}
		if e.last.Addr != "10.1.0.1:8000" || e.last.Path != "/h/0" || !e.last.DisableKeepAlive {
			t.Errorf("checked %s%s, want 10.1.0.1:8000/h/0", e.last.Addr, e.last.Path)
		}
		if x.sick() && x.evidence() == "" {
			t.Error("a sick instance has no evidence")
		}
		// A check in flight during a pause must be ignored.
		if c.sick {
			before := x.fails
			ch.discardInFlight()
			e.run(c.after)
			if x.fails > before && e.inFlight > 0 {
				t.Errorf("%s: a check sent before a pause counted", c.name)
			}
		}
	}
	// No check goes to a machine that the cloud didn't list, even if its worker reports
	// an address.
	e, ch, j := newTestChecker(1, 1, testHealth())
	j.Tasks[0].CurrentPlacement.Host.ListedAddr = ""
	e.run(30 * time.Second)
	if e.calls != 0 || ch.instances[instanceID{"j-2", 0}].healthy(ch) {
		t.Errorf("%d checks of a machine that is not listed", e.calls)
	}
}

// TestManyChecks guards against using too many sockets or too much processor time when
// thousands of instances are checked on 12% of a core and many don't answer. Checks
// come less often then, and nearly all instances must still be checked.
func TestManyChecks(t *testing.T) {
	e, c, _ := newTestChecker(4096, 0.12, testHealth())
	slow := 0
	e.answer = func(actor.Call) (actor.Answer, time.Duration) {
		if slow++; slow%4 == 0 {
			return actor.Answer{Err: actor.ErrNoAnswer}, 2 * time.Second
		}
		return actor.Answer{Status: 200}, 2 * time.Millisecond
	}
	e.run(20 * time.Second)
	start := e.calls
	e.run(2 * time.Minute)
	rate := float64(e.calls-start) / 120
	if e.peakInFlight > maxInFlight || rate > c.rate*1.05 {
		t.Errorf("%d sockets at once, %.0f checks a second, want at most %.0f", e.peakInFlight, rate, c.rate)
	}
	seen := 0
	for _, x := range c.instances {
		if x.lastResult > 0 {
			seen++
		}
	}
	if seen < 4000 {
		t.Errorf("%d of 4096 instances were not checked within 140 s, want at most 96", 4096-seen)
	}
	t.Logf("%.0f checks a second of 4096 instances, each every %.0f s, %d sockets at most", rate, c.fullRound().Seconds(), e.peakInFlight)
}

// BenchmarkCheck measures the processor time of a check without its socket, which
// httpx.BenchmarkOnce measures.
func BenchmarkCheck(b *testing.B) {
	e, _, _ := newTestChecker(4096, 1, testHealth())
	e.run(10 * time.Second)
	before := e.calls
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		e.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(e.calls-before), "us/check")
}

// BenchmarkTick measures the evaluation of a roll-out of 4096 instances.
func BenchmarkTick(b *testing.B) {
	e, c, j := newTestChecker(4096, 0.12, testHealth())
	e.run(10 * time.Second)
	a := &Actor{env: e, checker: c, ledger: ledger.New(e, newStore(e), 1, nil), services: map[string]*service{}}
	a.ledger.Jobs["j-2"] = j
	v := &version{Job: "j-2", Tasks: 4096, Wanted: fullSet(4096), Health: testHealth()}
	s := &service{name: "shop", ends: map[instanceID]int{}, record: &Record{New: v, Rollout: &activeRollout{Plan: &wire.Rollout{Ends: 2}}}}
	b.ReportAllocs()
	for b.Loop() {
		a.watch(s)
		updated := a.instancesOf(v, s)
		swap(updated, nil, 4096, 0, bounds{4096, 0}, func(int) bool { return true })
	}
}

func newStore(e *fakeEnv) *statestore.Store {
	return statestore.New(e, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 8, ValueBytes: 4096})
}
