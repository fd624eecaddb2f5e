package statestore

// SetLeading sets the node's share of the budgets; the leader's is the largest.
func (s *Store) SetLeading(on bool) {
	s.leading = on
	share := usableShare
	switch {
	case s.cfg.Nodes <= 1:
	case on:
		share = leaderShare
	default:
		share = min(followerShare, (usableShare-leaderShare)/float64(s.cfg.Nodes-1))
	}
	s.rps = s.cfg.RPS * share
	s.requests.SetRate(s.rps, max(4, s.rps))
	s.NoBacklog = false
	s.SetSubmissionRate(s.FollowerWriteRate() / float64(max(1, s.cfg.Nodes)))
	s.refreshWrites()
}

// SetSubmissionRate sets how many submissions a second a leader admits even if its own
// changes need the rest of the write budget.
func (s *Store) SetSubmissionRate(rate float64) {
	s.submissions.SetRate(rate, max(submissionBurst, rate))
}

// TotalWriteRate returns how many changes a second all nodes together may make.
func (s *Store) TotalWriteRate() float64 { return usableShare * s.cfg.WriteRPS }

// FollowerWriteRate returns how many changes a second all followers together may make.
func (s *Store) FollowerWriteRate() float64 {
	if s.cfg.Nodes <= 1 {
		return 0
	}
	return followersWriteShare * s.cfg.WriteRPS
}

// refreshWrites updates the write bucket and returns its level. The time since the last update
// counts at the old or the new rate, whichever is lower.
func (s *Store) refreshWrites() float64 {
	now := s.env.Now()
	w := s.TotalWriteRate()
	if s.WriteShare != nil {
		w = s.WriteShare()
	} else if s.cfg.Nodes > 1 {
		w -= s.FollowerWriteRate()
	}
	if w > s.writes.Rate() {
		s.writes.Take(now, 0, 0) // credits the elapsed time at the old rate
	}
	s.writes.SetRate(w, max(float64(s.cfg.TxnOps), w))
	return s.writes.Level(now)
}

// SubmissionRate returns how many submissions a second the write budget allows. It is at least
// a follower's equal share of FollowerWriteRate: after a change of leader the nodes have less,
// but only until the new leader sends them allocations.
func (s *Store) SubmissionRate() float64 {
	if s.cfg.Nodes <= 1 {
		return s.WriteRate()
	}
	r := s.submissions.Rate()
	if !s.leading {
		r = s.WriteRate()
	}
	return max(r, s.FollowerWriteRate()/float64(s.cfg.Nodes-1))
}

// AdmitSubmission reports whether the budgets allow a submission. On a leader its own work
// goes first, except before the submissions that SetSubmissionRate allows. One change is
// kept for cancellations and one for elections.
func (s *Store) AdmitSubmission() bool {
	level := s.refreshWrites()
	if s.requests.Level(s.env.Now()) < 1+s.reserve() {
		return false
	}
	if !s.leading || s.NoBacklog {
		return level >= 3
	}
	return level >= 1+ownWorkShare*s.writes.Burst() || level >= 1 && s.submissions.Take(s.env.Now(), 1, 0)
}
