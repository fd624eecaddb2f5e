package sim

import (
	"testing"
	"time"
)

// The model of a cancellation and its deadline, in steps of time: the leader that the task's
// worker reports to, one that may be elected after it, another node through which the user
// cancels, and the state service, which serves all, refuses the leader, or is down for all. The
// machine may hang at any time, and may reach no controller while commands reach it.

// Times in steps. A lease runs from when the report was sent; the hold and the lease together
// are as long as a cancellation has: whatever is there after more than cCancel steps was there
// for at least a step too long.
const (
	cLease, cHold = 3, 2
	cCancel       = cLease + cHold - 1
	// A worker waits so long for the answer to a report.
	cPatience = 1
)

// cVariant is what a model has besides the first leader.
type cVariant uint8

const (
	cNext  cVariant = iota // the next leader
	cPeers                 // what the others tell the first one
	cHop                   // a controller that passes the worker's reports on, and the next leader
)

// cReport is a report at a controller that passes it on.
type cReport struct {
	sent     int8 // steps since the worker sent it, -1: there is none
	answered bool // the leader has, and the answer is under way
	stops    bool // the answer says stop
	by       int8 // which leader's
}

type cLeader struct {
	leads bool
	knows bool // of the cancellation
	proof int8 // steps since the question was sent whose answer proved that it leads
	asked int8 // steps since a question was sent that has no answer yet, -1: none
	// Whether the question was asked after the cancellation, so that its answer brings it.
	askedAfter bool
	clear      int8 // steps since a question to the others whose answer said that it knows all
	peer       int8 // steps since a question was sent to the others, -1: none under way
	peerKnows  bool // what was answered, at some moment since, includes the cancellation
	answered   bool // the others have answered; the answer is under way
}

type cState struct {
	service  int8 // 0 serves all, 1 refuses the first leader, 2 is down
	told     int8 // steps since the user was told, -1: not yet
	elected  bool
	running  bool
	hung     bool // the machine hangs: its task neither goes on nor ends until it does
	lease    int8 // steps left
	token    int8 // that the worker has seen
	leaders  [2]cLeader
	otherCut bool // the other node is cut from the leaders
	report   cReport
}

type cGuards struct {
	hold   int8 // how long a leader without a proof answers
	asked  bool // a proof counts from its question
	order  bool // a leader that knows stops the task
	clears bool // an answer of the others counts from its question
	learns bool // and what they know is learned
	all    bool // all others have to be heard
	wakes  bool // a machine that goes on looks at its lease first
	passes bool // a controller answers nothing by itself
	sent   bool // a lease counts from when the report was sent, not from when its answer comes
}

// passOn is what happens to a report at a controller that passes it on.
func (s cState) passOn(g cGuards, do func(what string, n cState)) {
	r := s.report
	if r.sent < 0 {
		if !s.hung {
			n := s
			n.report = cReport{}
			do("sends a report", n)
		}
		return
	}
	n := s
	n.report = cReport{sent: -1}
	do("the report or its answer is lost", n)
	if !r.answered {
		for i, l := range s.leaders {
			if l.leads && min(l.proof, l.clear) <= g.hold {
				n := s
				n.report.answered, n.report.stops, n.report.by = true, l.knows && g.order, int8(i)
				do("a leader answers what was passed on", n)
			}
		}
		if !g.passes {
			n := s
			n.report.answered, n.report.by = true, s.token
			do("the controller answers by itself", n)
		}
		return
	}
	if s.hung || r.sent > cPatience || r.by < s.token {
		return // dropped
	}
	n.token, n.lease = r.by, cLease-r.sent
	if !g.sent {
		n.lease = cLease
	}
	if r.stops {
		n.running = false
	}
	do("the worker gets the answer", n)
}

func (s cState) next(g cGuards, v cVariant, do func(what string, n cState)) {
	peers := v == cPeers
	if v == cHop {
		s.passOn(g, do)
	}
	for v := range int8(3) {
		if v != s.service {
			n := s
			n.service = v
			do([]string{"serves all", "refuses the leader", "down"}[v], n)
		}
	}
	n := s
	n.hung = !s.hung
	if s.hung && s.lease == 0 && g.wakes {
		n.running = false
	}
	do(map[bool]string{false: "hangs", true: "goes on"}[s.hung], n)
	n = s
	if peers {
		n.otherCut = !s.otherCut
		do("cut between the nodes", n)
	}
	if s.told < 0 && s.service < 2 { // through the other node
		n := s
		n.told = 0
		do("the user is told", n)
	}
	if !s.elected && s.service < 2 && s.leaders[0].proof > 0 {
		n := s
		n.elected = true
		n.leaders[1] = cLeader{leads: !peers, knows: s.told >= 0, asked: -1, clear: 100, peer: -1}
		do("another is elected", n)
	}
	for i := range s.leaders {
		l := s.leaders[i]
		if !l.leads {
			continue
		}
		n := s
		n.leaders[i].leads = false
		do("a leader hears of another, or ends", n)
		serves := s.service == 0 || s.service == 1 && i == 1
		if l.asked < 0 && serves && (i == 1 || !s.elected) {
			n := s
			n.leaders[i].asked, n.leaders[i].askedAfter = 0, s.told >= 0
			do("asks whether it leads", n)
		}
		if l.asked > 0 && i == 1 {
			continue // its answers come at once: the first one's vary
		}
		if l.asked >= 0 { // the answer comes late, whatever the service does by now
			n := s
			x := &n.leaders[i]
			x.proof, x.knows, x.asked = l.asked, l.knows || l.askedAfter, -1
			if !g.asked {
				x.proof = 0
			}
			do("proof", n)
			n.leaders[i] = l
			n.leaders[i].asked = -1
			do("proof lost", n)
		}
		if peers && l.peer < 0 && !s.otherCut {
			n := s
			n.leaders[i].peer, n.leaders[i].answered = 0, false
			do("asks the others", n)
		}
		if l.peer >= 0 && !l.answered && (!s.otherCut || !g.all) && (i == 1 || !s.elected) {
			n := s
			n.leaders[i].answered, n.leaders[i].peerKnows = true, s.told >= 0 && !s.otherCut
			do("the others answer", n)
		}
		if l.peer >= 0 && l.answered {
			n := s
			x := &n.leaders[i]
			x.clear, x.peer, x.answered = l.peer, -1, false
			x.knows = l.knows || l.peerKnows && g.learns
			if !g.clears {
				x.clear = 0
			}
			do("hears the others", n)
		}
		if !s.hung && l.knows && g.order && int8(i) >= s.token { // one that reaches no controller hears it, too
			n := s
			n.running, n.token = false, int8(i)
			do("a command to stop", n)
		}
		if v != cHop && !s.hung && min(l.proof, l.clear) <= g.hold && int8(i) >= s.token { // a report is answered
			n := s
			n.lease, n.token = cLease, int8(i)
			if l.knows && g.order {
				n.running = false
			}
			do([]string{"answers a report", "the next answers a report"}[i], n)
		}
	}
	n = s
	if n.report.sent >= 0 {
		if n.report.sent++; n.report.sent > cPatience+1 {
			n.report = cReport{sent: -1}
		}
	}
	if n.told >= 0 {
		n.told = min(n.told+1, cCancel+1)
	}
	for i := range n.leaders {
		l := &n.leaders[i]
		l.proof, l.clear = min(l.proof+1, 100), min(l.clear+1, 100)
		if l.proof > g.hold {
			l.proof = 100
		}
		if l.clear > g.hold {
			l.clear = 100
		}
		if l.asked >= 0 {
			if l.asked++; l.asked > 2 {
				l.asked = -1 // given up
			}
		}
		if l.peer >= 0 {
			if l.peer++; l.peer > 2 {
				l.peer = -1
			}
		}
	}
	if n.lease--; n.lease <= 0 {
		n.lease, n.running = 0, n.running && n.hung
	}
	do("a step", n)
}

// exploreCancel goes through all states of a variant.
func exploreCancel(g cGuards, v cVariant, most int) (states int, way []string) {
	start := cState{running: true, lease: cLease, told: -1, report: cReport{sent: -1}}
	start.leaders[0] = cLeader{leads: true, asked: -1, clear: 100, peer: -1}
	type from struct {
		s    cState
		what string
	}
	seen := map[cState]from{start: {}}
	for queue := []cState{start}; len(queue) > 0 && len(seen) < most; queue = queue[1:] {
		s := queue[0]
		if !s.running {
			continue
		}
		var bad *cState
		s.next(g, v, func(what string, n cState) {
			if _, ok := seen[n]; ok || bad != nil {
				return
			}
			seen[n] = from{s, what}
			queue = append(queue, n)
			if n.running && !n.hung && n.told > cCancel {
				bad = &n
			}
		})
		if bad != nil {
			for at := *bad; at != start; at = seen[at].s {
				way = append([]string{seen[at].what}, way...)
			}
			return len(seen), way
		}
	}
	return len(seen), nil
}

// TestCancelModel proves of the model that a task whose cancellation was confirmed is gone in
// time, whatever the state service and the other nodes answer and when, and that it would not
// be with any of the conditions taken out.
func TestCancelModel(t *testing.T) {
	all := cGuards{hold: cHold, asked: true, order: true, clears: true, learns: true, all: true, wakes: true, passes: true, sent: true}
	const most = 4_000_000
	for _, v := range []cVariant{cNext, cPeers, cHop} {
		begun := time.Now()
		n, way := exploreCancel(all, v, most)
		if way != nil || n >= most {
			t.Fatalf("variant %d, %d states: the task outlives its cancellation: %v", v, n, way)
		}
		t.Logf("variant %d: %d states in %v", v, n, time.Since(begun).Round(time.Millisecond))
	}
	for _, c := range []struct {
		name    string
		variant cVariant
		out     func(g *cGuards)
	}{
		{"the end of the hold", cNext, func(g *cGuards) { g.hold = 50 }},
		{"a hold that fits", cNext, func(g *cGuards) { g.hold++ }},
		{"counting a proof from its question", cNext, func(g *cGuards) { g.asked = false }},
		{"orders to stop", cNext, func(g *cGuards) { g.order = false }},
		{"counting the others' answers from the question", cPeers, func(g *cGuards) { g.clears = false }},
		{"learning what the others know", cPeers, func(g *cGuards) { g.learns = false }},
		{"a look at the lease when a machine goes on", cNext, func(g *cGuards) { g.wakes = false }},
		{"hearing all others", cPeers, func(g *cGuards) { g.all = false }},
		{"passing every report on", cHop, func(g *cGuards) { g.passes = false }},
		{"counting a lease from when the report was sent", cHop, func(g *cGuards) { g.sent = false }},
		{"a hold that fits, with the hop", cHop, func(g *cGuards) { g.hold++ }},
		{"counting a proof from its question, with the hop", cHop, func(g *cGuards) { g.asked = false }},
		{"orders to stop, with the hop", cHop, func(g *cGuards) { g.order = false }},
		{"a look at the lease when a machine goes on, with the hop", cHop, func(g *cGuards) { g.wakes = false }},
	} {
		g := all
		c.out(&g)
		n, way := exploreCancel(g, c.variant, most)
		if way == nil {
			t.Errorf("without %s nothing happens in %d states", c.name, n)
		}
		t.Logf("without %s: after %d states %v", c.name, n, way)
	}
}
