// Package intake limits what all controllers together take in. The leader hands parts
// of the cluster's limit to the nodes, by demand and for a short time; a node spends
// only what it holds, and shares that fairly between teams and, within them, classes.
package intake

import (
	"time"

	"brooklb/internal/fair"
)

const (
	// TTL is how long a part lasts, counted by its holder from the moment at which it
	// sent the mark that the leader's message echoes: before the part was handed out,
	// however late the message arrives. A pause doesn't stretch it, since the
	// steady clock runs on.
	TTL = 4 * time.Second
	// lasts is how long the leader counts a part as spent after it was last sent:
	// clocks drift apart by at most 0.05%.
	lasts = TTL + TTL/500
	// basePart is what of a node's even share it holds at any time, without a leader.
	basePart = 0.3
)

// Base is what each of n nodes that don't lead holds without having been handed
// anything, of the total for all of them.
func Base(total float64, n int) float64 {
	if n < 1 {
		return 0
	}
	return basePart * total / float64(n)
}

// grant is a part that may be in force.
type grant struct {
	issue uint64
	rate  float64
	until time.Duration
}

// Issuer divides a limit, a rate, between the nodes while its owner leads.
type Issuer struct {
	total float64 // all that nodes other than ours may hold together
	began time.Duration
	issue uint64
	nodes []string
	of    map[string]*dealt
}

// dealt is what one node was handed.
type dealt struct {
	grants []grant // the last is the newest; earlier ones may be in force still
	want   float64
	knows  bool // its program takes parts; else it may use its fixed share
	ours   bool // it said that it holds nothing of earlier leaders
}

// NewIssuer begins a term. Earlier leaders may have handed out all of the total: it
// counts as spent until that has surely ended.
func NewIssuer(now time.Duration, nodes []string, total float64) *Issuer {
	s := &Issuer{total: total, began: now, nodes: nodes, of: map[string]*dealt{}}
	for _, n := range nodes {
		s.of[n] = &dealt{}
	}
	return s
}

func (s *Issuer) base() float64 { return Base(s.total, len(s.nodes)) }

// settled reports whether all that earlier leaders handed out has ended: in time, or
// since all nodes have turned to us.
func (s *Issuer) settled(now time.Duration) bool {
	if now-s.began > lasts {
		return true
	}
	for _, d := range s.of {
		if !d.ours {
			return false
		}
	}
	return true
}

// Heard takes in what a node says: that it takes parts, whether it has turned to us
// (Holder.Lead), which part it has applied, and how much it would use, a second.
func (s *Issuer) Heard(node string, ours bool, applied uint64, want float64) {
	d := s.of[node]
	if d == nil {
		return
	}
	d.knows, d.ours, d.want = true, d.ours || ours, max(0, want)
	// What came before the part that it has applied is void.
	for len(d.grants) > 1 && d.grants[0].issue < applied && d.grants[1].issue <= applied {
		d.grants = d.grants[1:]
	}
}

// most is the largest part that may be in force at the node.
func (d *dealt) most(now time.Duration) float64 {
	keep := d.grants[:0]
	r := 0.0
	for _, g := range d.grants {
		if g.until > now {
			r = max(r, g.rate)
			keep = append(keep, g)
		}
	}
	d.grants = keep
	return r
}

// Held is how much the other nodes may spend together now, at most.
func (s *Issuer) Held(now time.Duration) float64 {
	if !s.settled(now) {
		return s.total
	}
	sum := 0.0
	for _, d := range s.of {
		sum += s.holds(d, now)
	}
	return sum
}

func (s *Issuer) holds(d *dealt, now time.Duration) float64 {
	if !d.knows {
		return s.total / float64(len(s.nodes)) // a program that knows nothing of parts
	}
	return s.base() + d.most(now)
}

// Divide divides upTo anew between all nodes by what they want, our own among them:
// its part is the first result. The others are handed theirs, beyond their base, as far
// as it is surely free. What nobody wants stays with the leader.
func (s *Issuer) Divide(now time.Duration, upTo, own float64) (mine float64, parts map[string]float64, issue uint64) {
	shares := []*fair.Share{{Demand: ahead(own)}}
	var ds []*dealt
	for _, n := range s.nodes {
		d := s.of[n]
		sh := &fair.Share{Key: fair.Key{Team: n}, Demand: ahead(d.want)}
		if !d.knows {
			sh.Demand = s.total / float64(len(s.nodes))
		}
		ds, shares = append(ds, d), append(shares, sh)
	}
	fair.Divide(upTo, shares)
	mine = shares[0].Allocated
	if !s.settled(now) {
		return mine, nil, 0
	}
	s.issue++
	parts = map[string]float64{}
	free := s.total - s.Held(now)
	for i, d := range ds {
		if !d.knows {
			continue
		}
		had := d.most(now)
		// More than before only of what nobody else may still be spending.
		got := min(max(0, shares[i+1].Allocated-s.base()), had+max(0, free))
		free -= max(0, got-had)
		d.grants = append(d.grants, grant{issue: s.issue, rate: got, until: now + lasts})
		parts[s.nodes[i]] = got
	}
	return mine, parts, s.issue
}

// ahead is what a node is given that wants so much: something more, so that a growing
// demand shows and finds room.
func ahead(want float64) float64 { return 1.3*want + 1 }

// Sent notes that the newest parts went out (again) now.
func (s *Issuer) Sent(now time.Duration) {
	for _, d := range s.of {
		if n := len(d.grants); n > 0 {
			d.grants[n-1].until = now + lasts
		}
	}
}

// Holder is what a node holds.
type Holder struct {
	nonce        uint64 // of this process
	token, issue uint64
	part         float64
	until        time.Duration
}

// markBits is how many bits of a mark count milliseconds.
const markBits = 40

// NewHolder makes the holder of a process; the nonce tells its marks from those of an
// earlier process.
func NewHolder(nonce uint64) *Holder { return &Holder{nonce: nonce << markBits} }

// Mark is what the leader is to echo: our time, and who we are.
func (h *Holder) Mark(now time.Duration) uint64 {
	return h.nonce | uint64(now.Milliseconds())&(1<<markBits-1)
}

// Lead hears of a leader. What an earlier one handed out is held no more, and what of it
// is under way is not taken.
func (h *Holder) Lead(token uint64) {
	if token > h.token {
		h.token, h.issue, h.part, h.until = token, 0, 0, 0
	}
}

// Take applies a part that a leader handed out, unless it is older than what is held,
// or its echo says that it is over.
func (h *Holder) Take(now time.Duration, token, issue, echo uint64, part float64) {
	at := time.Duration(echo&(1<<markBits-1)) * time.Millisecond
	h.Lead(token)
	if echo == 0 || echo&^uint64(1<<markBits-1) != h.nonce || at > now || now-at >= TTL ||
		token < h.token || issue < h.issue || !(part >= 0) {
		return
	}
	if issue == h.issue {
		h.until = max(h.until, at+TTL)
		return
	}
	h.issue, h.part, h.until = issue, part, at+TTL
}

// Part is what is held beyond the base now, and the issue it is of.
func (h *Holder) Part(now time.Duration) (part float64, token, issue uint64) {
	if now >= h.until {
		return 0, h.token, h.issue
	}
	return h.part, h.token, h.issue
}
