package intake

import (
	"encoding/binary"
	"math"
	"slices"
	"testing"
	"time"
)

// model is a state of the parts' protocol: two nodes that hold, two leaders one after
// the other, messages that may come late, twice or never.
type model struct {
	now     time.Duration
	changed time.Duration // when the second leader took over; 0: not yet
	issuers [2]*Issuer
	holders [2]*Holder
	marks   [2][2]uint64 // the last mark that each leader had of each node
	air     []flying
	sent    int
}

type flying struct {
	leader, node int
	issue, echo  uint64
	part         float64
}

var names = []string{"a", "b"}

func (m *model) clone() *model {
	c := *m
	for i, s := range m.issuers {
		if s == nil {
			continue
		}
		x := *s
		x.of = map[string]*dealt{}
		for n, d := range s.of {
			y := *d
			y.grants = slices.Clone(d.grants)
			x.of[n] = &y
		}
		c.issuers[i] = &x
	}
	for i, h := range m.holders {
		x := *h
		c.holders[i] = &x
	}
	c.air = slices.Clone(m.air)
	return &c
}

func (m *model) key() string {
	b := make([]byte, 0, 256)
	add := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	add(uint64(m.now), uint64(m.changed), uint64(m.sent))
	for i, h := range m.holders {
		add(h.token, h.issue, math.Float64bits(h.part), uint64(h.until), m.marks[0][i], m.marks[1][i])
	}
	for _, f := range m.air {
		add(uint64(f.leader), uint64(f.node), f.issue, f.echo, math.Float64bits(f.part))
	}
	for _, s := range m.issuers {
		if s == nil {
			continue
		}
		add(uint64(s.began), s.issue)
		for _, n := range names {
			add(math.Float64bits(s.of[n].want), uint64(len(s.of[n].grants)))
			for _, g := range s.of[n].grants {
				add(g.issue, math.Float64bits(g.rate), uint64(g.until))
			}
		}
	}
	return string(b)
}

// without takes a condition out of the protocol.
type without struct{ echo, blackout, earlier, order, turned bool }

const (
	modelTotal = 10.0
	modelStep  = 2 * time.Second
	modelEnd   = 10 * time.Second
	mostSent   = 3
)

// explore goes through all states and returns how many there are, and the first in
// which the nodes hold more than there is.
func explore(w without) (states int, broken *model) {
	start := &model{issuers: [2]*Issuer{NewIssuer(-time.Minute, names, modelTotal), nil}, holders: [2]*Holder{NewHolder(1), NewHolder(2)}}
	seen := map[string]bool{start.key(): true}
	todo := []*model{start}
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		sum := 0.0
		for _, h := range m.holders {
			part, _, _ := h.Part(m.now)
			sum += Base(modelTotal, 2) + part
		}
		if sum > modelTotal+1e-9 {
			return len(seen), m
		}
		step := func(f func(c *model)) {
			c := m.clone()
			f(c)
			if k := c.key(); !seen[k] {
				seen[k] = true
				todo = append(todo, c)
			}
		}
		if m.now < modelEnd {
			step(func(c *model) { c.now += modelStep })
		}
		if m.changed == 0 && m.now >= modelStep && m.now <= 2*modelStep {
			step(func(c *model) {
				began := c.now
				if w.blackout { // which ends early once all have turned to the new leader
					began -= time.Minute
				}
				c.changed, c.issuers[1] = c.now, NewIssuer(began, names, modelTotal)
			})
		}
		leader := 0
		if m.changed > 0 {
			leader = 1
		}
		if m.sent < mostSent {
			// The nodes' status comes and the leader answers: one of them wants all.
			for who := range 2 {
				step(func(c *model) {
					s := c.issuers[leader]
					for i, h := range c.holders {
						_, token, applied := h.Part(c.now)
						if token != uint64(leader+1) {
							applied = 0
						}
						want := 0.0
						if i == who {
							want = 20
						}
						if i == who || c.marks[leader][i] == 0 {
							c.marks[leader][i] = h.Mark(c.now)
						}
						s.Heard(names[i], w.turned || token == uint64(leader+1), applied, want)
					}
					_, parts, issue := s.Divide(c.now, modelTotal, 0)
					s.Sent(c.now)
					if w.earlier {
						for _, d := range s.of {
							d.grants = d.grants[max(0, len(d.grants)-1):]
						}
					}
					for i, n := range names {
						c.air = append(c.air, flying{leader, i, issue, c.marks[leader][i], parts[n]})
					}
					c.sent++
				})
			}
		}
		for k := range m.air {
			if k > 0 && m.air[k] == m.air[k-1] {
				continue
			}
			step(func(c *model) {
				f := c.air[k]
				c.air = slices.Delete(c.air, k, k+1)
				h := c.holders[f.node]
				if w.echo {
					f.echo = h.Mark(c.now)
				}
				if h.Lead(uint64(f.leader + 1)); f.issue == 0 {
					return
				}
				if w.order && uint64(f.leader+1) == h.token {
					h.issue = 0
				}
				h.Take(c.now, uint64(f.leader+1), f.issue, f.echo, f.part)
			})
		}
	}
	return len(seen), nil
}

// TestPartsModel explores the parts' protocol exhaustively: two nodes, two leaders,
// messages that are lost, late or overtaken, expiry. What the nodes hold
// together never exceeds the limit; with a condition taken out it does.
func TestPartsModel(t *testing.T) {
	n, broken := explore(without{})
	if broken != nil {
		t.Fatalf("at %v nodes hold more than there is: %+v %+v", broken.now, *broken.holders[0], *broken.holders[1])
	}
	if n < 10000 {
		t.Errorf("only %d states", n)
	}
	t.Logf("%d states", n)
	for name, w := range map[string]without{"echo": {echo: true}, "blackout": {blackout: true}, "earlier parts": {earlier: true}, "order": {order: true}, "turning to the new leader": {turned: true}} {
		if n, broken := explore(w); broken == nil {
			t.Errorf("without %s nothing breaks in %d states", name, n)
		}
	}
}

// TestMarkOfAnotherProcess guards against a part that an earlier process was handed.
func TestMarkOfAnotherProcess(t *testing.T) {
	h := NewHolder(1)
	echo := h.Mark(3 * time.Second)
	if h.Take(4*time.Second, 5, 1, echo, 2); h.part != 2 {
		t.Fatal("a good part isn't taken")
	}
	again := NewHolder(2)
	if again.Take(4*time.Second, 5, 1, echo, 2); again.part != 0 {
		t.Error("a part of an earlier process is taken")
	}
	if h.Take(4*time.Second, 4, 9, echo, 7); h.part != 2 {
		t.Error("a part of an earlier leader is taken")
	}
	if p, _, _ := h.Part(7 * time.Second); p != 0 {
		t.Errorf("a part of %v is in force after its end", p)
	}
}

// TestUnusedParts guards against parts that lie idle: with demand at one node only it
// holds nearly all of the limit within 5 s of its first demand.
func TestUnusedParts(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "f"}
	s := NewIssuer(-time.Minute, nodes, 21)
	hs := map[string]*Holder{}
	for i, n := range nodes {
		hs[n] = NewHolder(uint64(i + 1))
	}
	got := 0.0
	for now := time.Second; now <= 15*time.Second; now += time.Second {
		for n, h := range hs {
			_, _, applied := h.Part(now)
			want := 1.0
			if n == "c" && now > 10*time.Second {
				want = 500
			} else if now > 10*time.Second {
				want = 0
			}
			s.Heard(n, true, applied, want)
		}
		_, parts, issue := s.Divide(now, 21, 0)
		s.Sent(now)
		sum := 0.0
		for n, h := range hs {
			h.Take(now, 1, issue, h.Mark(now), parts[n])
			p, _, _ := h.Part(now)
			sum += p + s.base()
			if n == "c" {
				got = p + s.base()
			}
		}
		if sum > 21+1e-9 {
			t.Fatalf("%v held of 21 at %v", sum, now)
		}
	}
	// The others keep their bases.
	if got < 0.95*(21-5*s.base()) {
		t.Errorf("the only node with demand holds %v", got)
	}
}

// TestOldPrograms guards a rolling restart: a node whose program knows nothing of parts
// may use its fixed share, and nobody else is handed that.
func TestOldPrograms(t *testing.T) {
	nodes := []string{"a", "b", "c"}
	s := NewIssuer(-time.Minute, nodes, 12)
	if s.Held(0) != 12 {
		t.Errorf("before anybody is heard %v of 12 counts as held", s.Held(0))
	}
	for now := time.Second; now < 12*time.Second; now += time.Second {
		s.Heard("a", true, s.issue, 100)
		s.Heard("b", true, s.issue, 100)
		_, parts, _ := s.Divide(now, 12, 0)
		s.Sent(now)
		if sum := parts["a"] + parts["b"] + 2*s.base(); sum > 8+1e-9 || parts["c"] != 0 {
			t.Fatalf("%v is handed out beside a fixed share of 4", parts)
		}
	}
	s.Heard("c", true, 0, 0)
	_, parts, _ := s.Divide(12*time.Second, 12, 0)
	if sum := parts["a"] + parts["b"]; sum < 6 {
		t.Errorf("after the upgrade only %v is handed out", parts)
	}
}
