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
)

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
}

type cGuards struct {
	hold   int8 // how long a leader without a proof answers
	asked  bool // a proof counts from its question
	order  bool // a leader that knows stops the task
	clears bool // an answer of the others counts from its question
	learns bool // and what they know is learned
	all    bool // all others have to be heard
	wakes  bool // a machine that goes on looks at its lease first
}

func (s cState) next(g cGuards, peers bool, do func(what string, n cState)) {
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
		if !s.hung && min(l.proof, l.clear) <= g.hold && int8(i) >= s.token { // a report is answered
			n := s
			n.lease, n.token = cLease, int8(i)
			if l.knows && g.order {
				n.running = false
			}
			do([]string{"answers a report", "the next answers a report"}[i], n)
		}
	}
	n = s
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

// exploreCancel goes through all states: of the first leader and the next, or of the first
// alone with what the others tell it.
func exploreCancel(g cGuards, peers bool, most int) (states int, way []string) {
	start := cState{running: true, lease: cLease, told: -1}
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
		s.next(g, peers, func(what string, n cState) {
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
	all := cGuards{cHold, true, true, true, true, true, true}
	const most = 4_000_000
	for _, peers := range []bool{false, true} {
		begun := time.Now()
		n, way := exploreCancel(all, peers, most)
		if way != nil || n >= most {
			t.Fatalf("%d states: the task outlives its cancellation: %v", n, way)
		}
		t.Logf("others tell %v: %d states in %v", peers, n, time.Since(begun).Round(time.Millisecond))
	}
	for _, c := range []struct {
		name  string
		peers bool
		out   func(g *cGuards)
	}{
		{"the end of the hold", false, func(g *cGuards) { g.hold = 50 }},
		{"a hold that fits", false, func(g *cGuards) { g.hold++ }},
		{"counting a proof from its question", false, func(g *cGuards) { g.asked = false }},
		{"orders to stop", false, func(g *cGuards) { g.order = false }},
		{"counting the others' answers from the question", true, func(g *cGuards) { g.clears = false }},
		{"learning what the others know", true, func(g *cGuards) { g.learns = false }},
		{"a look at the lease when a machine goes on", false, func(g *cGuards) { g.wakes = false }},
		{"hearing all others", true, func(g *cGuards) { g.all = false }},
	} {
		g := all
		c.out(&g)
		n, way := exploreCancel(g, c.peers, most)
		if way == nil {
			t.Errorf("without %s nothing happens in %d states", c.name, n)
		}
		t.Logf("without %s: after %d states %v", c.name, n, way)
	}
}
