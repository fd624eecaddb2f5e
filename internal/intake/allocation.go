// Package intake limits the rate of submissions that all controllers admit together. The
// leader allocates parts of the cluster's limit to the nodes, by demand and for a short
// time. A node uses only its allocation, which it divides fairly between teams and, within
// each team, between classes.
package intake

import (
	"time"

	"brooklb/internal/fair"
)

const (
	// TTL is how long an allocation lasts. Its holder counts from when it sent the
	// timestamp that the leader's message echoes, which is before the allocation was made,
	// however late the message arrives. A pause of the process doesn't extend it, since
	// the monotonic clock runs on.
	TTL = 4 * time.Second
	// allocationLifetime is how long the leader counts an allocation as in use after it
	// was last sent: clocks drift apart by at most 0.05%.
	allocationLifetime = TTL + TTL/500
	// baseShare is the part of its equal share that a node holds at any time, also without
	// a leader.
	baseShare = 0.3
)

// BaseRate returns the rate that each of n nodes that don't lead holds without an
// allocation, of the total for all of them.
func BaseRate(total float64, n int) float64 {
	if n < 1 {
		return 0
	}
	return baseShare * total / float64(n)
}

// allocation is a rate, beyond the base rate, that may be in force at a node.
type allocation struct {
	number  uint64
	rate    float64
	expires time.Duration
}

// Allocator divides a limit, which is a rate, between the nodes while its owner leads.
type Allocator struct {
	total  float64 // the part of the limit that the other nodes may hold together
	began  time.Duration
	number uint64
	nodes  []string
	states map[string]*nodeState
}

// nodeState is what the allocator knows of one node.
type nodeState struct {
	allocations  []allocation // the last is the newest; earlier ones may still be in force
	demand       float64
	participates bool // its program takes allocations; otherwise it may use its fixed share
	acknowledged bool // it has reported that it holds nothing from earlier leaders
}

// NewAllocator creates the allocator of a term. Earlier leaders may have allocated the whole
// total, which counts as in use until those allocations have certainly expired.
func NewAllocator(now time.Duration, nodes []string, total float64) *Allocator {
	a := &Allocator{total: total, began: now, nodes: nodes, states: map[string]*nodeState{}}
	for _, n := range nodes {
		a.states[n] = &nodeState{}
	}
	return a
}

func (a *Allocator) base() float64 { return BaseRate(a.total, len(a.nodes)) }

// predecessorsExpired reports whether the allocations of all earlier leaders are void: they
// have expired, or all nodes have reported that they hold none.
func (a *Allocator) predecessorsExpired(now time.Duration) bool {
	if now-a.began > allocationLifetime {
		return true
	}
	for _, state := range a.states {
		if !state.acknowledged {
			return false
		}
	}
	return true
}

// ObserveNode records what a node reports: that it takes allocations, whether it has
// acknowledged this node as the leader (Holder.ObserveLeader), which allocation it has applied, and
// how much it would use per second.
func (a *Allocator) ObserveNode(node string, acknowledged bool, applied uint64, demand float64) {
	state := a.states[node]
	if state == nil {
		return
	}
	state.participates, state.acknowledged, state.demand = true, state.acknowledged || acknowledged, max(0, demand)
	// Allocations before the one that the node has applied are void.
	for len(state.allocations) > 1 && state.allocations[0].number < applied && state.allocations[1].number <= applied {
		state.allocations = state.allocations[1:]
	}
}

// maxRate drops expired allocations and returns the highest rate that may be in force at the
// node.
func (s *nodeState) maxRate(now time.Duration) float64 {
	keep := s.allocations[:0]
	r := 0.0
	for _, alloc := range s.allocations {
		if alloc.expires > now {
			r = max(r, alloc.rate)
			keep = append(keep, alloc)
		}
	}
	s.allocations = keep
	return r
}

// HeldByOthers returns the highest rate that the other nodes may use together now.
func (a *Allocator) HeldByOthers(now time.Duration) float64 {
	if !a.predecessorsExpired(now) {
		return a.total
	}
	sum := 0.0
	for _, state := range a.states {
		sum += a.heldBy(state, now)
	}
	return sum
}

func (a *Allocator) heldBy(state *nodeState, now time.Duration) float64 {
	if !state.participates {
		return a.total / float64(len(a.nodes)) // a program that takes no allocations
	}
	return a.base() + state.maxRate(now)
}

// Divide divides the limit between all nodes, including this one, by their demand. It returns
// this node's rate and the allocations of the others, which are rates beyond the base rate. An
// allocation grows only by what no other node may still hold. Capacity that exceeds the demand
// isn't allocated and stays with the leader.
func (a *Allocator) Divide(now time.Duration, limit, ownDemand float64) (ownRate float64, rates map[string]float64, number uint64) {
	shares := []*fair.Share{{Demand: withMargin(ownDemand)}}
	var ordered []*nodeState
	for _, n := range a.nodes {
		state := a.states[n]
		share := &fair.Share{Key: fair.Key{Team: n}, Demand: withMargin(state.demand)}
		if !state.participates {
			share.Demand = a.total / float64(len(a.nodes))
		}
		ordered, shares = append(ordered, state), append(shares, share)
	}
	fair.Divide(limit, shares)
	ownRate = shares[0].Allocated
	if !a.predecessorsExpired(now) {
		return ownRate, nil, 0
	}
	a.number++
	rates = map[string]float64{}
	free := a.total - a.HeldByOthers(now)
	for i, state := range ordered {
		if !state.participates {
			continue
		}
		had := state.maxRate(now)
		// An increase must come from what no other node may still be using.
		got := min(max(0, shares[i+1].Allocated-a.base()), had+max(0, free))
		free -= max(0, got-had)
		state.allocations = append(state.allocations, allocation{number: a.number, rate: got, expires: now + allocationLifetime})
		rates[a.nodes[i]] = got
	}
	return ownRate, rates, a.number
}

// withMargin adds a margin to a node's demand, so that growing demand can be measured and
// served.
func withMargin(demand float64) float64 { return 1.3*demand + 1 }

// Sent records that the newest allocations are sent now, possibly again.
func (a *Allocator) Sent(now time.Duration) {
	for _, state := range a.states {
		if n := len(state.allocations); n > 0 {
			state.allocations[n-1].expires = now + allocationLifetime
		}
	}
}

// Holder keeps the allocation that a node holds.
type Holder struct {
	nonce         uint64 // of this process
	token, number uint64
	rate          float64
	expires       time.Duration
}

// timestampBits is how many bits of a timestamp count milliseconds.
const timestampBits = 40

// NewHolder creates the holder of a process. The nonce distinguishes its timestamps from
// those of an earlier process.
func NewHolder(nonce uint64) *Holder { return &Holder{nonce: nonce << timestampBits} }

// Timestamp returns the value that the leader is to echo: this node's time and the nonce.
func (h *Holder) Timestamp(now time.Duration) uint64 {
	return h.nonce | uint64(now.Milliseconds())&(1<<timestampBits-1)
}

// ObserveLeader records a leader's token. Allocations of earlier leaders are void from then
// on, including those that arrive later.
func (h *Holder) ObserveLeader(token uint64) {
	if token > h.token {
		h.token, h.number, h.rate, h.expires = token, 0, 0, 0
	}
}

// Apply applies an allocation from a leader, unless it is older than the current one, or the
// echo of this node's timestamp shows that it has expired or isn't for this process.
func (h *Holder) Apply(now time.Duration, token, number, echo uint64, rate float64) {
	at := time.Duration(echo&(1<<timestampBits-1)) * time.Millisecond
	h.ObserveLeader(token)
	if echo == 0 || echo&^uint64(1<<timestampBits-1) != h.nonce || at > now || now-at >= TTL ||
		token < h.token || number < h.number || !(rate >= 0) {
		return
	}
	if number == h.number {
		h.expires = max(h.expires, at+TTL)
		return
	}
	h.number, h.rate, h.expires = number, rate, at+TTL
}

// Current returns the rate held beyond the base rate now, and the leader's token and the
// number of the newest allocation.
func (h *Holder) Current(now time.Duration) (rate float64, token, number uint64) {
	if now >= h.expires {
		return 0, h.token, h.number
	}
	return h.rate, h.token, h.number
}
