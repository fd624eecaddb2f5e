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

// intakeVersion is the version of the allocations (package intake) that this program takes and,
// as a leader, makes.
const intakeVersion = 1

const (
	// divideEvery is how often the leader divides the admission of submissions between the
	// nodes.
	divideEvery = time.Second
	// maxWriteBacklogS is how many seconds of the leader's writes may be pending. Above it, less
	// is admitted, and only urgent starts are planned, or none if those are behind, too.
	maxWriteBacklogS = 1.0
	// Each second, admission is multiplied by admitDecrease while the leader's writes are
	// behind, and otherwise rises by admitIncrease of the full rate. The other nodes keep at
	// least their base rate (intake.BaseRate).
	admitDecrease, admitIncrease = 0.75, 0.1
	// Submissions take at most this part of all writes, because each job causes more writes
	// later.
	submissionWriteFraction = 0.5
	// The tasks of unfinished jobs may take tasksMemoryFraction of a node's memory. Each takes
	// taskBytes for its placement, for its record in the replica and during a takeover.
	tasksMemoryFraction = 0.3
	taskBytes           = 600
	// maxBlockedClasses bounds how many pairs of team and class a leader blocks.
	maxBlockedClasses = 64
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
		return all - t.allocator.HeldByOthers(now)
	}
	if n.term == nil && n.election.SoleLeader() {
		return all - others // elected, but the state of the term isn't built yet
	}
	if n.legacyLeaderUntil > 0 && now < n.legacyLeaderUntil {
		return others / float64(len(n.settings.Peers)) // the leader's program makes no allocations
	}
	rate, _, _ := n.allocationHolder.Current(now)
	return intake.BaseRate(others, len(n.settings.Peers)) + rate
}

// legacyLeaderFor is how long after its last status a leader whose program makes no allocations
// is assumed to lead.
const legacyLeaderFor = 3 * time.Second

// onPeerStatus processes a peer's status.
func (n *Node) onPeerStatus(s *peer.Status) {
	now := n.env.Now()
	n.onPeerCancellations(s)
	n.onPeerForwarding(s)
	if s.IntakeVersion >= 1 {
		n.peerTimestamps[s.Label] = s.Timestamp
		if t := n.term; t != nil {
			applied := s.AppliedAllocation
			if s.AppliedToken != t.token {
				applied = 0
			}
			t.allocator.ObserveNode(s.Label, s.AppliedToken == t.token, applied, float64(s.IntakeDemand)/1000)
		}
	}
	if !s.Leading {
		return
	}
	if s.IntakeVersion < 1 {
		n.legacyLeaderUntil = now + legacyLeaderFor
		return
	}
	n.legacyLeaderUntil = 0
	n.allocationHolder.ObserveLeader(s.Token)
	if rate, ok := s.Allocations[n.settings.Label]; ok {
		n.allocationHolder.Apply(now, s.Token, s.AllocationNumber, s.TimestampEchoes[n.settings.Label], float64(rate)/1000)
	}
	if n.term == nil {
		n.blockClasses(s.BlockedClasses)
	}
}

func (n *Node) blockClasses(keys [][2]string) {
	n.submissionQueue.BlockedClasses = nil
	for i, k := range keys {
		if i == 0 {
			n.submissionQueue.BlockedClasses = map[fair.Key]bool{}
		}
		n.submissionQueue.BlockedClasses[fair.Key{Team: k[0], Class: k[1]}] = true
	}
}

// fillIntake sets the fields about the admission of submissions in a status.
func (n *Node) fillIntake(st *peer.Status) {
	now := n.env.Now()
	st.IntakeVersion, st.Timestamp, st.IntakeDemand = intakeVersion, n.allocationHolder.Timestamp(now), uint64(1000*n.submissionQueue.ArrivalRate(now))
	_, st.AppliedToken, st.AppliedAllocation = n.allocationHolder.Current(now)
	t := n.term
	if t == nil || !n.election.SoleLeader() {
		return
	}
	st.TimestampEchoes, st.BlockedClasses = n.peerTimestamps, t.blockedClasses
	if t.allocationNumber > 0 {
		t.allocator.Sent(now)
		st.Allocations, st.AllocationNumber = t.allocations, t.allocationNumber
	}
}

// divideAdmission divides the rate that all nodes together may admit. The rate is lower while
// the leader's own writes are behind, since every admitted job causes three more writes.
func (t *term) divideAdmission() {
	now := t.node.env.Now()
	if now-t.lastDivided < divideEvery || len(t.node.settings.Peers) == 0 || !t.node.election.SoleLeader() {
		return
	}
	t.lastDivided = now
	if t.ledger.WriteBacklogS(model.Low) > maxWriteBacklogS {
		t.admitFraction *= admitDecrease
	} else {
		t.admitFraction = min(1, t.admitFraction+admitIncrease)
	}
	ownRate, rates, number := t.allocator.Divide(now, t.admitFraction*submissionWriteFraction*t.node.store.TotalWriteRate(), t.node.submissionQueue.ArrivalRate(now))
	t.node.store.SetSubmissionRate(ownRate)
	t.allocationNumber = number
	t.allocations = map[string]uint64{}
	for label, rate := range rates {
		t.allocations[label] = uint64(1000 * rate)
	}
	t.blockedClasses = t.overfullClasses()
	t.node.blockClasses(t.blockedClasses)
}

// overfullClasses lists the classes that have more unfinished tasks than their share of what a
// node's memory holds, if all classes together exceed that memory.
func (t *term) overfullClasses() (out [][2]string) {
	maxTasks := t.node.settings.Facts.Limits.MemMB * (1 << 20) * tasksMemoryFraction / taskBytes
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
	if sum <= maxTasks {
		return nil
	}
	fair.ByTeam(maxTasks, list, t.node.weight)
	slices.SortStableFunc(list, func(a, b *fair.Share) int { return cmp.Compare(b.Demand-b.Allocated, a.Demand-a.Allocated) })
	for _, s := range list {
		if s.Demand > s.Allocated && len(out) < maxBlockedClasses {
			out = append(out, [2]string{s.Key.Team, s.Key.Class})
		}
	}
	return out
}
