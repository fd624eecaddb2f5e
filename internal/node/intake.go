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

// gateVersion is the version of the parts' protocol.
const gateVersion = 1

const (
	// divideEvery is how often the leader divides anew what is taken in.
	divideEvery = time.Second
	// behindFor is how many seconds of the leader's changes may wait to be written
	// until less is taken in and nothing more is planned.
	behindFor = 1.0
	// What is taken in falls by this factor a second, down to its least part, while the
	// leader's writes are behind, and rises by this part.
	easeDown, easeUp = 0.75, 0.1
	// Submissions take at most this part of all changes: each job asks for some more.
	doorMost = 0.5
	// Of a node's memory the tasks of unfinished jobs take at most this part, and each
	// so many bytes, with its placement, its record here and at a takeover.
	tasksMemory = 0.3
	taskBytes   = 600
	// mostShut bounds what a leader names as shut.
	mostShut = 64
)

// others are the labels of the other nodes.
func (n *Node) others() []string {
	var out []string
	for _, p := range n.set.Peers {
		out = append(out, p.Label)
	}
	return out
}

// Share is how many changes a second this node may make now. In sum over all nodes
// it never exceeds what the state service takes, however often the leader changes: a
// leader spends what the others surely don't hold, and only while nobody else can lead.
func (n *Node) Share() float64 {
	all, others := n.store.Writes(), n.store.OthersWrites()
	if others <= 0 || len(n.set.Peers) == 0 {
		return all
	}
	now := n.env.Now()
	if t := n.term; t != nil && n.elect.Alone() {
		return all - t.issuer.Held(now)
	}
	if n.term == nil && n.elect.Alone() {
		return all - others // elected, the picture isn't built yet
	}
	if n.oldLeader > 0 && now < n.oldLeader {
		return others / float64(len(n.set.Peers)) // its program knows fixed shares only
	}
	part, _, _ := n.holder.Part(now)
	return intake.Base(others, len(n.set.Peers)) + part
}

// oldLeads is for how long a leader whose program hands out nothing is believed to lead.
const oldLeads = 3 * time.Second

// heard takes in what a peer says about parts.
func (n *Node) heard(s *peer.Status) {
	now := n.env.Now()
	n.heardEnds(s)
	n.heardForwarding(s)
	if s.Gate >= 1 {
		n.marks[s.Label] = s.Mark
		if t := n.term; t != nil {
			applied := s.Applied
			if s.AppliedToken != t.token {
				applied = 0
			}
			t.issuer.Heard(s.Label, s.AppliedToken == t.token, applied, float64(s.Want)/1000)
		}
	}
	if !s.Leading {
		return
	}
	if s.Gate < 1 {
		n.oldLeader = now + oldLeads
		return
	}
	n.oldLeader = 0
	n.holder.Lead(s.Token)
	if part, ok := s.Parts[n.set.Label]; ok {
		n.holder.Take(now, s.Token, s.Issue, s.Echo[n.set.Label], float64(part)/1000)
	}
	if n.term == nil {
		n.shut(s.Shut)
	}
}

func (n *Node) shut(keys [][2]string) {
	n.gate.Shut = nil
	for i, k := range keys {
		if i == 0 {
			n.gate.Shut = map[fair.Key]bool{}
		}
		n.gate.Shut[fair.Key{Team: k[0], Class: k[1]}] = true
	}
}

// tellParts puts into a status what it says about parts.
func (n *Node) tellParts(st *peer.Status) {
	now := n.env.Now()
	st.Gate, st.Mark, st.Want = gateVersion, n.holder.Mark(now), uint64(1000*n.gate.Want(now))
	_, st.AppliedToken, st.Applied = n.holder.Part(now)
	t := n.term
	if t == nil || !n.elect.Alone() {
		return
	}
	st.Echo, st.Shut = n.marks, t.shut
	if t.issue > 0 {
		t.issuer.Sent(now)
		st.Parts, st.Issue = t.parts, t.issue
	}
}

// divide hands out anew what all nodes may take in together: less while the leader's
// own writes are behind, since every job that is taken in asks for three more.
func (t *term) divide() {
	now := t.n.env.Now()
	if now-t.divided < divideEvery || len(t.n.set.Peers) == 0 || !t.n.elect.Alone() {
		return
	}
	t.divided = now
	if t.led.Behind(model.Low) > behindFor {
		t.ease *= easeDown
	} else {
		t.ease = min(1, t.ease+easeUp)
	}
	mine, parts, issue := t.issuer.Divide(now, t.ease*doorMost*t.n.store.Writes(), t.n.gate.Want(now))
	t.n.store.SetDoor(mine)
	t.issue = issue
	t.parts = map[string]uint64{}
	for label, p := range parts {
		t.parts[label] = uint64(1000 * p)
	}
	t.shut = t.crowded()
	t.n.shut(t.shut)
}

// crowded are the classes that have more unfinished tasks than their part of what a
// node's memory holds, if all together have more.
func (t *term) crowded() (out [][2]string) {
	room := t.n.set.Facts.Limits.MemMB * (1 << 20) * tasksMemory / taskBytes
	shares := map[fair.Key]*fair.Share{}
	var list []*fair.Share
	sum := 0.0
	for _, j := range t.led.Order() {
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
	fair.ByTeam(room, list, t.n.weight)
	slices.SortStableFunc(list, func(a, b *fair.Share) int { return cmp.Compare(b.Demand-b.Allocated, a.Demand-a.Allocated) })
	for _, s := range list {
		if s.Demand > s.Allocated && len(out) < mostShut {
			out = append(out, [2]string{s.Key.Team, s.Key.Class})
		}
	}
	return out
}
