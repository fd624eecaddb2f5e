package statestore

// SetLeading chooses the share of the budgets: the leader writes most.
func (s *Store) SetLeading(on bool) {
	s.leading = on
	part := used
	switch {
	case s.cfg.Nodes <= 1:
	case on:
		part = leaderShare
	default:
		part = min(followerShare, (used-leaderShare)/float64(s.cfg.Nodes-1))
	}
	s.rps = s.cfg.RPS * part
	s.requests.SetRate(s.rps, max(4, s.rps))
	s.Relaxed = false
	s.SetDoor(s.OthersWrites() / float64(max(1, s.cfg.Nodes)))
	s.level()
}

// SetDoor says how many submissions a second a leader's door takes whatever else is
// to be written.
func (s *Store) SetDoor(rate float64) { s.door.SetRate(rate, max(doorBurst, rate)) }

// Writes is how many changes a second all nodes together may make.
func (s *Store) Writes() float64 { return used * s.cfg.WriteRPS }

// OthersWrites is how many of them the nodes that don't lead may make together.
func (s *Store) OthersWrites() float64 {
	if s.cfg.Nodes <= 1 {
		return 0
	}
	return othersWrites * s.cfg.WriteRPS
}

// level brings the bucket of changes up to now, at the lower of the rates that were
// in force, and tells what is in it.
func (s *Store) level() float64 {
	now := s.env.Now()
	w := s.Writes()
	if s.Share != nil {
		w = s.Share()
	} else if s.cfg.Nodes > 1 {
		w -= s.OthersWrites()
	}
	if w > s.writes.Rate() {
		s.writes.Take(now, 0, 0) // what has passed counts at the old rate
	}
	s.writes.SetRate(w, max(float64(s.cfg.TxnOps), w))
	return s.writes.Level(now)
}

// DoorRate is how many submissions a second there is room for, or will be again once
// nodes hold more than their bases after a change of leader.
func (s *Store) DoorRate() float64 {
	if s.cfg.Nodes <= 1 {
		return s.WriteRate()
	}
	r := s.door.Rate()
	if !s.leading {
		r = s.WriteRate()
	}
	return max(r, s.OthersWrites()/float64(s.cfg.Nodes-1))
}

// DoorOpen reports whether there is room for a submission: on a leader, of what its
// own work leaves. One change is kept for cancellations, one for elections.
func (s *Store) DoorOpen() bool {
	level := s.level()
	if s.requests.Level(s.env.Now()) < 1+s.reserve() {
		return false
	}
	if !s.leading || s.Relaxed {
		return level >= 3
	}
	return level >= 1+ownKeep*s.writes.Burst() || level >= 1 && s.door.Take(s.env.Now(), 1, 0)
}
