package intake

import (
	"encoding/binary"
	"math"
	"slices"
	"testing"
	"time"
)

// protocolState is a state of the allocation protocol, with two nodes that hold allocations,
// two successive leaders, and messages that may arrive late, twice or never.
type protocolState struct {
	now          time.Duration
	secondTermAt time.Duration // when the second leader took over; 0: not yet
	allocators   [2]*Allocator
	holders      [2]*Holder
	timestamps   [2][2]uint64 // the last timestamp that each leader received from each node
	inFlight     []message
	sent         int
}

type message struct {
	leader, node int
	number, echo uint64
	rate         float64
}

var nodeNames = []string{"a", "b"}

func (m *protocolState) clone() *protocolState {
	c := *m
	for i, s := range m.allocators {
		if s == nil {
			continue
		}
		x := *s
		x.states = map[string]*nodeState{}
		for n, d := range s.states {
			y := *d
			y.allocations = slices.Clone(d.allocations)
			x.states[n] = &y
		}
		c.allocators[i] = &x
	}
	for i, h := range m.holders {
		x := *h
		c.holders[i] = &x
	}
	c.inFlight = slices.Clone(m.inFlight)
	return &c
}

func (m *protocolState) key() string {
	b := make([]byte, 0, 256)
	add := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	add(uint64(m.now), uint64(m.secondTermAt), uint64(m.sent))
	for i, h := range m.holders {
		add(h.token, h.number, math.Float64bits(h.rate), uint64(h.expires), m.timestamps[0][i], m.timestamps[1][i])
	}
	for _, f := range m.inFlight {
		add(uint64(f.leader), uint64(f.node), f.number, f.echo, math.Float64bits(f.rate))
	}
	for _, s := range m.allocators {
		if s == nil {
			continue
		}
		add(uint64(s.began), s.number)
		for _, n := range nodeNames {
			add(math.Float64bits(s.states[n].demand), uint64(len(s.states[n].allocations)))
			for _, g := range s.states[n].allocations {
				add(g.number, math.Float64bits(g.rate), uint64(g.expires))
			}
		}
	}
	return string(b)
}

// omitted says which conditions of the protocol are left out.
type omitted struct{ echo, expiryWait, earlier, order, acknowledgement bool }

const (
	modelTotal = 10.0
	modelStep  = 2 * time.Second
	modelEnd   = 10 * time.Second
	maxSent    = 3
)

// explore visits all states and returns their number, and the first one in which the nodes
// hold more than the total.
func explore(w omitted) (states int, broken *protocolState) {
	start := &protocolState{allocators: [2]*Allocator{NewAllocator(-time.Minute, nodeNames, modelTotal), nil}, holders: [2]*Holder{NewHolder(1), NewHolder(2)}}
	seen := map[string]bool{start.key(): true}
	todo := []*protocolState{start}
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		sum := 0.0
		for _, h := range m.holders {
			rate, _, _ := h.Current(m.now)
			sum += BaseRate(modelTotal, 2) + rate
		}
		if sum > modelTotal+1e-9 {
			return len(seen), m
		}
		step := func(f func(c *protocolState)) {
			c := m.clone()
			f(c)
			if k := c.key(); !seen[k] {
				seen[k] = true
				todo = append(todo, c)
			}
		}
		if m.now < modelEnd {
			step(func(c *protocolState) { c.now += modelStep })
		}
		if m.secondTermAt == 0 && m.now >= modelStep && m.now <= 2*modelStep {
			step(func(c *protocolState) {
				began := c.now
				if w.expiryWait { // the wait ends early if all nodes have acknowledged the new leader
					began -= time.Minute
				}
				c.secondTermAt, c.allocators[1] = c.now, NewAllocator(began, nodeNames, modelTotal)
			})
		}
		leader := 0
		if m.secondTermAt > 0 {
			leader = 1
		}
		if m.sent < maxSent {
			// The leader receives the nodes' statuses and answers; one node wants everything.
			for wanting := range 2 {
				step(func(c *protocolState) {
					a := c.allocators[leader]
					for i, h := range c.holders {
						_, token, applied := h.Current(c.now)
						if token != uint64(leader+1) {
							applied = 0
						}
						want := 0.0
						if i == wanting {
							want = 20
						}
						if i == wanting || c.timestamps[leader][i] == 0 {
							c.timestamps[leader][i] = h.Timestamp(c.now)
						}
						a.ObserveNode(nodeNames[i], w.acknowledgement || token == uint64(leader+1), applied, want)
					}
					_, rates, number := a.Divide(c.now, modelTotal, 0)
					a.Sent(c.now)
					if w.earlier {
						for _, d := range a.states {
							d.allocations = d.allocations[max(0, len(d.allocations)-1):]
						}
					}
					for i, n := range nodeNames {
						c.inFlight = append(c.inFlight, message{leader, i, number, c.timestamps[leader][i], rates[n]})
					}
					c.sent++
				})
			}
		}
		for k := range m.inFlight {
			if k > 0 && m.inFlight[k] == m.inFlight[k-1] {
				continue
			}
			step(func(c *protocolState) {
				f := c.inFlight[k]
				c.inFlight = slices.Delete(c.inFlight, k, k+1)
				h := c.holders[f.node]
				if w.echo {
					f.echo = h.Timestamp(c.now)
				}
				if h.ObserveLeader(uint64(f.leader + 1)); f.number == 0 {
					return
				}
				if w.order && uint64(f.leader+1) == h.token {
					h.number = 0
				}
				h.Apply(c.now, uint64(f.leader+1), f.number, f.echo, f.rate)
			})
		}
	}
	return len(seen), nil
}

// TestAllocationModel explores the allocation protocol exhaustively: two nodes, two leaders,
// messages that are lost, late or overtaken, and expiry. The sum of the rates that the nodes
// hold must never exceed the limit, and must exceed it if a condition of the protocol is left
// out.
func TestAllocationModel(t *testing.T) {
	n, broken := explore(omitted{})
	if broken != nil {
		t.Fatalf("at %v the nodes hold more than the total: %+v %+v", broken.now, *broken.holders[0], *broken.holders[1])
	}
	if n < 10000 {
		t.Errorf("only %d states", n)
	}
	t.Logf("%d states", n)
	for name, w := range map[string]omitted{"echo": {echo: true}, "waiting until earlier leaders' allocations have expired": {expiryWait: true}, "earlier allocations": {earlier: true}, "order": {order: true}, "acknowledging the new leader": {acknowledgement: true}} {
		if n, broken := explore(w); broken == nil {
			t.Errorf("without the condition %q the limit holds in all %d states", name, n)
		}
	}
}

// TestTimestampOfAnotherProcess guards against applying an allocation for an earlier process
// of the node.
func TestTimestampOfAnotherProcess(t *testing.T) {
	h := NewHolder(1)
	echo := h.Timestamp(3 * time.Second)
	if h.Apply(4*time.Second, 5, 1, echo, 2); h.rate != 2 {
		t.Fatal("a valid allocation isn't applied")
	}
	restarted := NewHolder(2)
	if restarted.Apply(4*time.Second, 5, 1, echo, 2); restarted.rate != 0 {
		t.Error("an allocation for an earlier process is applied")
	}
	if h.Apply(4*time.Second, 4, 9, echo, 7); h.rate != 2 {
		t.Error("an allocation from an earlier leader is applied")
	}
	if p, _, _ := h.Current(7 * time.Second); p != 0 {
		t.Errorf("an allocation of %v is in force after it expired", p)
	}
}

// TestUnusedAllocations guards against allocations that stay unused. If only one node has
// demand, it must hold nearly all of the limit within 5 s of its first demand.
func TestUnusedAllocations(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f"}
	a := NewAllocator(-time.Minute, nodes, 21)
	hs := map[string]*Holder{}
	for i, n := range nodes {
		hs[n] = NewHolder(uint64(i + 1))
	}
	got := 0.0
	for now := time.Second; now <= 15*time.Second; now += time.Second {
		for n, h := range hs {
			_, _, applied := h.Current(now)
			want := 1.0
			if n == "c" && now > 10*time.Second {
				want = 500
			} else if now > 10*time.Second {
				want = 0
			}
			a.ObserveNode(n, true, applied, want)
		}
		_, rates, number := a.Divide(now, 21, 0)
		a.Sent(now)
		sum := 0.0
		for n, h := range hs {
			h.Apply(now, 1, number, h.Timestamp(now), rates[n])
			p, _, _ := h.Current(now)
			sum += p + a.base()
			if n == "c" {
				got = p + a.base()
			}
		}
		if sum > 21+1e-9 {
			t.Fatalf("%v held of 21 at %v", sum, now)
		}
	}
	// The other nodes keep their base rates.
	if got < 0.95*(21-5*a.base()) {
		t.Errorf("the only node with demand holds %v", got)
	}
}

// TestOldPrograms covers a rolling restart: a node whose program takes no allocations may
// use its fixed share, which must not be allocated to others.
func TestOldPrograms(t *testing.T) {
	nodes := []string{"a", "b", "c"}
	a := NewAllocator(-time.Minute, nodes, 12)
	if a.HeldByOthers(0) != 12 {
		t.Errorf("before any node has reported, %v of 12 counts as held", a.HeldByOthers(0))
	}
	for now := time.Second; now < 12*time.Second; now += time.Second {
		a.ObserveNode("a", true, a.number, 100)
		a.ObserveNode("b", true, a.number, 100)
		_, rates, _ := a.Divide(now, 12, 0)
		a.Sent(now)
		if sum := rates["a"] + rates["b"] + 2*a.base(); sum > 8+1e-9 || rates["c"] != 0 {
			t.Fatalf("%v is allocated in addition to a fixed share of 4", rates)
		}
	}
	a.ObserveNode("c", true, 0, 0)
	_, rates, _ := a.Divide(12*time.Second, 12, 0)
	if sum := rates["a"] + rates["b"]; sum < 6 {
		t.Errorf("after the upgrade only %v is allocated", rates)
	}
}
