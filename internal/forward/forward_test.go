package forward

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/httpx"

	"github.com/fxamacker/cbor/v2"
)

// env records calls, which the test answers.
type env struct {
	now    time.Duration
	timers actor.Timers
	calls  []actor.Call
}

func (e *env) Now() time.Duration { return e.now }
func (e *env) Wall() time.Time    { return time.Unix(0, 0) }
func (e *env) Rand() *rand.Rand   { return rand.New(rand.NewPCG(1, 1)) }
func (e *env) Log() *slog.Logger  { return slog.New(slog.DiscardHandler) }
func (e *env) Call(c actor.Call)  { e.calls = append(e.calls, c) }
func (e *env) After(d time.Duration, f func()) *actor.Timer {
	return e.timers.Add(e.now+d, f)
}

func (e *env) advance(d time.Duration) {
	e.now += d
	e.timers.Run(e.now)
}

// takeCall returns the oldest call that has not been answered.
func (e *env) takeCall(t *testing.T, path string) actor.Call {
	t.Helper()
	if len(e.calls) == 0 || e.calls[0].Path != path {
		t.Fatalf("no call of %s: %+v", path, e.calls)
	}
	c := e.calls[0]
	e.calls = e.calls[1:]
	return c
}

var (
	unsent   = actor.Answer{Err: actor.ErrNotSent}
	noAnswer = actor.Answer{Err: actor.ErrNoAnswer}
)

// testNode is a forwarder and the answers that its workers received.
type testNode struct {
	*Forwarder
	env     *env
	leader  string
	answers map[string]httpx.Response // by report
	refused []string
}

func newTestNode() *testNode {
	n := &testNode{env: &env{now: time.Minute}, leader: "leader", answers: map[string]httpx.Response{}}
	n.Forwarder = NewForwarder(n.env, "n1", func() string { return n.leader })
	n.OnRefused = func(body []byte) { n.refused = append(n.refused, string(body)) }
	return n
}

func (n *testNode) report(t *testing.T, body string) {
	t.Helper()
	n.Report([]byte(body), func(r httpx.Response) {
		if _, twice := n.answers[body]; twice {
			t.Errorf("%.20s was answered twice", body)
		}
		n.answers[body] = r
	})
}

// answerAll answers all reports that are forwarded.
func (n *testNode) answerAll(t *testing.T) {
	t.Helper()
	for len(n.env.calls) > 0 {
		answer(t, n.env.takeCall(t, ReportsPath))
		n.env.advance(batchInterval)
	}
}

// batch decodes the body of a call to the leader.
func batch(t *testing.T, c actor.Call) *Batch {
	t.Helper()
	b, err := DecodeBatch(c.Body)
	if err != nil || len(c.Body) > 64<<10 {
		t.Fatalf("%d bytes, %v", len(c.Body), err)
	}
	return b
}

// answer answers the reports of a call, each with a text of its own.
func answer(t *testing.T, c actor.Call) {
	t.Helper()
	var answers []Answer
	for _, r := range batch(t, c).Reports {
		answers = append(answers, Answer{ID: r.ID, Status: 200, Body: append([]byte("to "), r.Body...)})
	}
	slices.Reverse(answers)
	c.Done(actor.Answer{Status: 200, Body: EncodeAnswers(true, answers)})
}

// TestReports checks that reports are forwarded in batches and that each worker gets the
// leader's answer to its own report.
func TestReports(t *testing.T) {
	n := newTestNode()
	for _, r := range []string{"a", "b", "c"} {
		n.report(t, r)
	}
	if len(n.env.calls) != 1 {
		t.Fatalf("%d messages, want one, with the other reports queued", len(n.env.calls))
	}
	for _, r := range []string{"d", "e", "f", "g"} {
		n.env.advance(batchInterval)
		n.report(t, r)
	}
	if len(n.env.calls) != maxBatchesInFlight || len(batch(t, n.env.calls[1]).Reports) != 2 {
		t.Fatalf("%d messages are under way, want %d, the second with two reports", len(n.env.calls), maxBatchesInFlight)
	}
	n.answerAll(t)
	for _, r := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if got := n.answers[r]; got.Status != 200 || string(got.Body) != "to "+r {
			t.Errorf("%s got %d %s", r, got.Status, got.Body)
		}
	}
}

// TestNothingIsForwardedTwice checks that reports that may have reached a leader are refused,
// and that those that certainly have not are sent again.
func TestNothingIsForwardedTwice(t *testing.T) {
	for _, c := range []struct {
		name  string
		with  actor.Answer
		again bool
	}{
		{"no connection", unsent, true},
		{"not leading", actor.Answer{Status: 200, Body: EncodeAnswers(false, nil)}, true},
		{"an older program", actor.Answer{Status: 404}, true},
		{"no answer", noAnswer, false},
		{"an invalid answer", actor.Answer{Status: 200, Body: []byte("x")}, false},
		{"no answer to this report", actor.Answer{Status: 200, Body: EncodeAnswers(true, []Answer{{ID: 7, Status: 200}})}, false},
	} {
		n := newTestNode()
		n.report(t, "a")
		n.env.takeCall(t, ReportsPath).Done(c.with)
		n.env.advance(retryDelay)
		if again := len(n.env.calls) == 1; again != c.again {
			t.Errorf("%s: sent again %v", c.name, again)
			continue
		}
		if c.again {
			answer(t, n.env.takeCall(t, ReportsPath))
		}
		if got := n.answers["a"].Status; c.again && got != 200 || !c.again && (got != 503 || len(n.refused) != 1) {
			t.Errorf("%s: got %d, refused %v", c.name, got, n.refused)
		}
	}
}

// TestNoLeader checks that reports are queued for the next leader, for less time than a worker
// waits.
func TestNoLeader(t *testing.T) {
	n := newTestNode()
	n.leader = ""
	n.report(t, "early")
	n.env.advance(2 * time.Second)
	n.report(t, "late")
	n.env.advance(reportTimeout - 2*time.Second)
	if n.answers["early"].Status != 503 || len(n.answers) != 1 {
		t.Errorf("answers %v", n.answers)
	}
	n.leader = "next"
	n.env.advance(retryDelay)
	c := n.env.takeCall(t, ReportsPath)
	if answer(t, c); c.Addr != "next" || n.answers["late"].Status != 200 {
		t.Errorf("to %s, answers %v", c.Addr, n.answers)
	}
	if reportTimeout >= 4*time.Second {
		t.Error("a worker gives up before a queued report is refused")
	}
}

// TestLeadsItself checks that a newly elected node answers the queued reports itself.
func TestLeadsItself(t *testing.T) {
	n := newTestNode()
	n.leader = ""
	n.report(t, "a")
	n.Drain(func(body []byte, reply func(httpx.Response)) { reply(httpx.Response{Status: 200, Body: body}) })
	n.env.advance(time.Minute)
	if n.answers["a"].Status != 200 || len(n.env.calls) > 0 {
		t.Errorf("answers %v, %d calls", n.answers, len(n.env.calls))
	}
}

// TestPause checks that answers and results of messages sent before a pause of the process
// are ignored.
func TestPause(t *testing.T) {
	n := newTestNode()
	for _, r := range []string{"a", "b", "c", "d", "queued"} {
		n.report(t, r)
		n.env.advance(batchInterval)
	}
	if err := n.HandleOrders(encode(Orders{Version, []Order{{1, "w", "/orders", nil}}})); err != nil {
		t.Fatal(err)
	}
	calls := n.env.calls
	n.env.calls = nil
	n.AbortPending()
	if n.answers["queued"].Status != 503 {
		t.Error("a queued report was not refused")
	}
	for _, c := range calls[:maxBatchesInFlight] {
		answer(t, c)
	}
	calls[maxBatchesInFlight].Done(actor.Answer{Status: 200})
	n.env.advance(time.Second)
	if n.answers["a"].Status != 503 || len(n.env.calls) > 0 {
		t.Errorf("answers %v, %d calls", n.answers, len(n.env.calls))
	}
	n.report(t, "new")
	n.env.advance(batchInterval)
	if n.answerAll(t); n.answers["new"].Status != 200 {
		t.Error("a report after the pause was not forwarded")
	}
}

// TestSizes checks that messages stay within the limit of a request, and the queue within its
// own.
func TestSizes(t *testing.T) {
	n := newTestNode()
	big := strings.Repeat("x", MaxReportBytes-100)
	for i := range maxBatchesInFlight + 3 {
		n.report(t, string(rune('a'+i))+big)
	}
	n.answerAll(t)
	if len(n.answers) != maxBatchesInFlight+3 {
		t.Errorf("%d reports were answered", len(n.answers))
	}
	n.leader = ""
	for i := range maxQueuedBytes/MaxReportBytes + 10 {
		n.report(t, string(rune(1000+i))+big)
	}
	if n.queuedBytes > maxQueuedBytes {
		t.Errorf("%d bytes are queued", n.queuedBytes)
	}
}

// TestOrders checks that a leader's orders are sent, and their results forwarded.
func TestOrders(t *testing.T) {
	n := newTestNode()
	err := n.HandleOrders(encode(Orders{Version, []Order{{1, "w1", "/orders", []byte("x")}, {2, "w2", "/orders", nil}, {3, "w3", "/orders", nil}}}))
	if err != nil || len(n.env.calls) != 3 {
		t.Fatalf("%v, %d calls", err, len(n.env.calls))
	}
	n.env.takeCall(t, "/orders").Done(actor.Answer{Status: 409, Body: []byte("state")})
	n.env.takeCall(t, "/orders").Done(unsent)
	n.env.takeCall(t, "/orders").Done(noAnswer)
	var got []Result
	for len(n.env.calls) > 0 {
		got = append(got, batch(t, n.env.takeCall(t, ReportsPath)).Results...)
		n.env.advance(batchInterval)
	}
	if len(got) != 3 || got[0].Outcome != Answered || got[0].Status != 409 || string(got[0].Body) != "state" || got[1].Outcome != NotSent || got[2].Outcome != NoAnswer {
		t.Errorf("%+v", got)
	}
	if n.HandleOrders([]byte("x")) == nil || n.HandleOrders(encode(Orders{})) == nil {
		t.Error("invalid orders were accepted")
	}
}

// testSender is a sender and the outcomes of its calls.
type testSender struct {
	*Sender
	env      *env
	outcomes []actor.Answer
}

func newTestSender() *testSender {
	e := &env{now: time.Minute}
	return &testSender{Sender: NewSender(e, 7), env: e}
}

func (l *testSender) order(addr string) {
	l.Send("n1", actor.Call{Addr: addr, Method: "POST", Path: "/orders", Done: func(a actor.Answer) { l.outcomes = append(l.outcomes, a) }})
}

// ids returns the IDs of the orders in a call.
func ids(t *testing.T, c actor.Call) []uint64 {
	t.Helper()
	var m Orders
	if err := cbor.Unmarshal(c.Body, &m); err != nil {
		t.Fatal(err)
	}
	var out []uint64
	for _, o := range m.Orders {
		out = append(out, o.ID)
	}
	return out
}

// TestSender checks that orders of one turn of the event loop are sent together, and that each
// caller gets its outcome once.
func TestSender(t *testing.T) {
	l := newTestSender()
	l.order("w1")
	l.order("w2")
	l.order("w3")
	l.env.advance(0)
	c := l.env.takeCall(t, OrdersPath)
	id := ids(t, c)
	if len(id) != 3 || len(l.env.calls) > 0 {
		t.Fatalf("%d orders, %d more calls", len(id), len(l.env.calls))
	}
	c.Done(actor.Answer{Status: 200})
	l.HandleResults([]Result{{ID: id[0], Outcome: Answered, Status: 200, Body: []byte("r")}, {ID: id[1], Outcome: NotSent}, {ID: 12345, Outcome: Answered, Status: 200}})
	l.HandleResults([]Result{{ID: id[0], Outcome: NoAnswer}})
	if len(l.outcomes) != 2 || l.outcomes[0].Status != 200 || string(l.outcomes[0].Body) != "r" || !l.outcomes[1].Unsent() {
		t.Fatalf("%+v", l.outcomes)
	}
	l.env.advance(resultTimeout)
	if len(l.outcomes) != 3 || !errors.Is(l.outcomes[2].Err, actor.ErrNoAnswer) || l.outcomes[2].Unsent() {
		t.Errorf("%+v", l.outcomes)
	}
	l.HandleResults([]Result{{ID: id[2], Outcome: Answered, Status: 200}})
	if len(l.outcomes) != 3 || len(l.pending) > 0 {
		t.Errorf("a late result was accepted, or %d orders are still pending", len(l.pending))
	}
}

// TestControllerThatIsGone checks that orders are sent directly to the workers if the
// controller has certainly not received them, and only then.
func TestControllerThatIsGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		with   actor.Answer
		direct bool
	}{{"no connection", unsent, true}, {"an older program", actor.Answer{Status: 404}, true}, {"no answer", noAnswer, false}, {"accepted", actor.Answer{Status: 200}, false}} {
		l := newTestSender()
		l.order("w1")
		l.env.advance(0)
		l.env.takeCall(t, OrdersPath).Done(c.with)
		if direct := len(l.env.calls) == 1 && l.env.calls[0].Addr == "w1"; direct != c.direct {
			t.Errorf("%s: sent directly to the worker %v", c.name, direct)
		}
		l.env.advance(resultTimeout)
		if want := map[bool]int{true: 0, false: 1}[c.direct]; len(l.outcomes) != want {
			t.Errorf("%s: %d outcomes", c.name, len(l.outcomes))
		}
	}
	l := newTestSender()
	l.order("w1")
	l.Close()
	l.env.advance(time.Second)
	if len(l.env.calls) > 0 {
		t.Error("an order was sent after the term had ended")
	}
}

// TestChoose checks that workers are divided equally, with preference for their zones.
func TestChoose(t *testing.T) {
	all := []Receiver{{"n0", "a", 90}, {"n1", "b", 0}, {"n2", "c", 0}}
	for zone, want := range map[string]string{"a": "n1", "b": "n1", "c": "n2", "d": "n1"} {
		if got := ChooseReceiver(all, zone); got != want {
			t.Errorf("zone %s: %s, want %s", zone, got, want)
		}
	}
	if got := ChooseReceiver([]Receiver{{"n0", "a", 30}, {"n1", "b", 30}}, "a"); got != "" {
		t.Errorf("%s, although no controller has less than its share", got)
	}
	if !Overloaded(90, all) || Overloaded(30, all) {
		t.Error("a controller with three times its share isn't overloaded, or one with its share is")
	}
	r := NewRecentSet(time.Minute)
	r.Add("x", 0)
	r.Add("y", 50*time.Second)
	if n := r.Count(61 * time.Second); n != 1 || r.Has("x") || !r.Has("y") {
		t.Errorf("%d names are in the set", n)
	}
}

// FuzzMessages decodes arbitrary messages between controllers.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{Batch{1, "n1", []Report{{1, []byte("x")}}, []Result{{1, Answered, 200, nil}}}, Answers{1, true, []Answer{{1, 200, 0, nil}}}, Orders{1, []Order{{1, "a", "/orders", nil}}}} {
		f.Add(encode(v))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, l := newTestNode(), newTestSender()
		_ = n.HandleOrders(b)
		if m, err := DecodeBatch(b); err == nil {
			l.HandleResults(m.Results)
		}
		n.env.calls = nil
		n.report(t, "a")
		n.env.takeCall(t, ReportsPath).Done(actor.Answer{Status: 200, Body: b})
		if s := n.answers["a"].Status; s != 0 && (s < 200 || s > 599) {
			t.Errorf("a worker got %d", s)
		}
	})
}
