package node

import (
	"strings"

	"brooklb/internal/cancellation"
	"brooklb/internal/ledger"
	"brooklb/internal/peer"
)

// newCancellationTracker returns a term's tracker of cancellations, or nil if some controllers
// are not peers of this one.
func (n *Node) newCancellationTracker(token uint64) *cancellation.Tracker {
	if len(n.settings.Peers)+1 < n.settings.Facts.Nodes {
		return nil
	}
	return cancellation.NewTracker(token, n.peerLabels())
}

// fillCancellations sets the fields about cancellations in a status.
func (n *Node) fillCancellations(st *peer.Status) {
	if t := n.term; t != nil && t.cancellations != nil {
		st.Question = t.cancellations.NewQuestion(n.env.Now(), n.store.Revision())
	}
	st.Answer = n.responder.Respond(n.election.Token() != 0)
}

// onPeerCancellations processes what a peer's status says about cancellations.
func (n *Node) onPeerCancellations(s *peer.Status) {
	if s.Leading && s.Question != nil && s.Question.Token == s.Token {
		n.responder.HandleQuestion(*s.Question)
	}
	if n.term == nil || n.term.cancellations == nil || s.Answer == nil || s.Answer.Token != n.term.token {
		return
	}
	for _, r := range s.Answer.Records {
		id := strings.TrimPrefix(r.Key, ledger.JobPrefix)
		if rec, err := ledger.DecodeRecord(id, r.Value); err != nil || rec.Final != ledger.Cancelled || ledger.JobKey(id) != r.Key {
			n.env.Log().Error("invalid cancellation record from a peer", "peer", s.Label, "key", r.Key, "err", err)
			return
		}
		n.store.Learn(r.Key, r.Value, r.Revision)
	}
	if t := n.term; t != nil {
		t.cancellations.HandleAnswer(s.Label, s.Answer)
	}
}

// mayAnswerWorkers reports whether workers may be answered. They may if this node knows every
// cancellation of which a user was informed longer ago than the hold. It knows all of them up to
// the last proof that it leads, and up to the time for which all other nodes have sent theirs.
func (t *term) mayAnswerWorkers() bool {
	now := t.node.env.Now()
	if now-t.node.election.Proven() <= t.node.hold {
		return true
	}
	return t.cancellations != nil && now-t.cancellations.CompleteUntil(now) <= t.node.hold
}
