package node

import (
	"strings"

	"brooklb/internal/cancellation"
	"brooklb/internal/ledger"
	"brooklb/internal/peer"
)

// listen makes what a term hears of cancellations; nil if some controllers are no peers of
// ours.
func (n *Node) listen(token uint64) *cancellation.Listener {
	if len(n.set.Peers)+1 < n.set.Facts.Nodes {
		return nil
	}
	return cancellation.NewListener(token, n.others())
}

// tellEnds puts into a status what it says about cancellations.
func (n *Node) tellEnds(st *peer.Status) {
	if t := n.term; t != nil && t.ends != nil {
		st.Question = t.ends.Ask(n.env.Now(), n.store.Epoch())
	}
	st.Answer = n.teller.Tell(n.elect.Token() != 0)
}

// heardEnds takes in what a peer says about cancellations.
func (n *Node) heardEnds(s *peer.Status) {
	if s.Leading && s.Question != nil && s.Question.Token == s.Token {
		n.teller.Asked(*s.Question)
	}
	if n.term == nil || n.term.ends == nil || s.Answer == nil || s.Answer.Token != n.term.token {
		return
	}
	for _, r := range s.Answer.Records {
		id := strings.TrimPrefix(r.Key, ledger.JobPrefix)
		if rec, err := ledger.DecodeRecord(id, r.Value); err != nil || rec.Final != ledger.Cancelled || ledger.JobKey(id) != r.Key {
			n.env.Log().Error("bad record of a peer", "peer", s.Label, "key", r.Key, "err", err)
			return
		}
		n.store.Learn(r.Key, r.Value, r.Stamp)
	}
	if t := n.term; t != nil {
		t.ends.Heard(s.Label, s.Answer)
	}
}

// mayAnswerWorkers reports whether workers may be answered: nobody can have been told for longer than
// the hold of a cancellation that we don't know of. That is certain up to our last proof, or
// up to what all other nodes have told us.
func (t *term) mayAnswerWorkers() bool {
	now := t.n.env.Now()
	if now-t.n.elect.Proven() <= t.n.hold {
		return true
	}
	return t.ends != nil && now-t.ends.Clear(now) <= t.n.hold
}
