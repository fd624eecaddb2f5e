package node

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/fair"
	"brooklb/internal/intake"
	"brooklb/internal/model"
	"brooklb/internal/peer"
)

// gateVersion is the version of the protocol in which a leader hands out parts of the rate of
// writes.
const gateVersion = 1

const (
	// divideEvery is how often the leader divides the admission of submissions between the
	// nodes.
	divideEvery = time.Second
	// maxBehindS is how many seconds of the leader's writes may be pending. Above it, less is
	// admitted and nothing more is planned.
	maxBehindS = 1.0
	// Each second, admission is multiplied by easeDown while the leader's writes are behind,
	// and otherwise rises by easeUp of the full rate.
	easeDown, easeUp = 0.75, 0.1
	// Submissions take at most this part of all writes, because each job causes more writes
	// later.
	admittedFraction = 0.5
	// The tasks of unfinished jobs may take tasksMemoryFraction of a node's memory. Each takes
	// taskBytes for its placement, for its record in the replica and during a takeover.
	tasksMemoryFraction = 0.3
	taskBytes           = 600
	// maxShut bounds how many pairs of team and class a leader lists as shut.
	maxShut = 64
)

// peerLabels returns the labels of the other nodes.
func (n *Node) peerLabels() []string {
	var out []string
	for _, p := range n.settings.Peers {
		out = append(out, p.Label)
	}
	return out
}

// Share is how many writes per second this node may make now. The sum over all nodes never
// exceeds the state service's limit, however often the leader changes: a leader uses only what
// the other nodes certainly don't hold, and only while no other node can lead.
func (n *Node) Share() float64 {
	all, others := n.store.TotalWriteRate(), n.store.FollowerWriteRate()
	if others <= 0 || len(n.settings.Peers) == 0 {
		return all
	}
	now := n.env.Now()
	if t := n.term; t != nil && n.election.SoleLeader() {
		return all - t.issuer.HeldByOthers(now)
	}
	if n.term == nil && n.election.SoleLeader() {
		return all - others // elected, but the state of the term isn't built yet
	}
	if n.oldLeaderUntil > 0 && now < n.oldLeaderUntil {
		return others / float64(len(n.settings.Peers)) // the leader's program has fixed shares only
	}
	part, _, _ := n.holder.Current(now)
	return intake.BaseRate(others, len(n.settings.Peers)) + part
}

// oldLeaderFor is how long after its last status a leader whose program hands out no parts is
// assumed to lead.
const oldLeaderFor = 3 * time.Second

// onPeerStatus processes a peer's status.
func (n *Node) onPeerStatus(s *peer.Status) {
	now := n.env.Now()
	n.onPeerCancellations(s)
	n.onPeerForwarding(s)
	if s.IntakeVersion >= 1 {
		n.marks[s.Label] = s.Timestamp
		if t := n.term; t != nil {
			applied := s.AppliedAllocation
			if s.AppliedToken != t.token {
				applied = 0
			}
			t.issuer.ObserveNode(s.Label, s.AppliedToken == t.token, applied, float64(s.IntakeDemand)/1000)
		}
	}
	if !s.Leading {
		return
	}
	if s.IntakeVersion < 1 {
		n.oldLeaderUntil = now + oldLeaderFor
		return
	}
	n.oldLeaderUntil = 0
	n.holder.ObserveLeader(s.Token)
	if part, ok := s.Allocations[n.settings.Label]; ok {
		n.holder.Apply(now, s.Token, s.AllocationNumber, s.TimestampEchoes[n.settings.Label], float64(part)/1000)
	}
	if n.term == nil {
		n.shut(s.BlockedClasses)
	}
}

func (n *Node) shut(keys [][2]string) {
	n.gate.BlockedClasses = nil
	for i, k := range keys {
		if i == 0 {
			n.gate.BlockedClasses = map[fair.Key]bool{}
		}
		n.gate.BlockedClasses[fair.Key{Team: k[0], Class: k[1]}] = true
	}
}

// fillParts sets the fields about parts in a status.
func (n *Node) fillParts(st *peer.Status) {
	now := n.env.Now()
	st.IntakeVersion, st.Timestamp, st.IntakeDemand = gateVersion, n.holder.Timestamp(now), uint64(1000*n.gate.ArrivalRate(now))
	_, st.AppliedToken, st.AppliedAllocation = n.holder.Current(now)
	t := n.term
	if t == nil || !n.election.SoleLeader() {
		return
	}
	st.TimestampEchoes, st.BlockedClasses = n.marks, t.shut
	if t.issue > 0 {
		t.issuer.Sent(now)
		st.Allocations, st.AllocationNumber = t.parts, t.issue
	}
}

// divide hands out anew what all nodes together may admit. It is less while the leader's own
// writes are behind, since every admitted job causes three more writes.
func (t *term) divide() {
	now := t.node.env.Now()
	if now-t.lastDivided < divideEvery || len(t.node.settings.Peers) == 0 || !t.node.election.SoleLeader() {
		return
	}
	t.lastDivided = now
	if t.ledger.WriteBacklogS(model.Low) > maxBehindS {
		t.ease *= easeDown
	} else {
		t.ease = min(1, t.ease+easeUp)
	}
	mine, parts, issue := t.issuer.Divide(now, t.ease*admittedFraction*t.node.store.TotalWriteRate(), t.node.gate.ArrivalRate(now))
	t.node.store.SetSubmissionRate(mine)
	t.issue = issue
	t.parts = map[string]uint64{}
	for label, p := range parts {
		t.parts[label] = uint64(1000 * p)
	}
	t.shut = t.overfullClasses()
	t.node.shut(t.shut)
}

// overfullClasses lists the classes that have more unfinished tasks than their share of what a
// node's memory holds, if all classes together exceed that memory.
func (t *term) overfullClasses() (out [][2]string) {
	room := t.node.settings.Facts.Limits.MemMB * (1 << 20) * tasksMemoryFraction / taskBytes
	shares := map[fair.Key]*fair.Share{}
	var list []*fair.Share
	sum := 0.0
	for _, j := range t.ledger.Order() {
		k := fair.Key{Team: j.Spec.Team, Class: j.Spec.Class}
		if shares[k] == nil {
			shares[k] = &fair.Share{Key: k}
			list = append(list, shares[k])
		}
		shares[k].Demand += float64(len(j.Tasks))
		sum += float64(len(j.Tasks))
	}
	if sum <= room {
		return nil
	}
	fair.ByTeam(room, list, t.node.weight)
	slices.SortStableFunc(list, func(a, b *fair.Share) int { return cmp.Compare(b.Demand-b.Allocated, a.Demand-a.Allocated) })
	for _, s := range list {
		if s.Demand > s.Allocated && len(out) < maxShut {
			out = append(out, [2]string{s.Key.Team, s.Key.Class})
		}
	}
	return out
}
