package statestore

import (
	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// Read returns the current value of a key: the replica's value if the state service
// confirms that it is current, or else the value that the service returns. done gets
// ok false if the value could not be read. Waiting reads are confirmed together by
// the conditions of one transaction.
func (s *Store) Read(key string, done func(it *Item, ok bool)) {
	if !s.synced || len(s.readQueue) > 2000 {
		s.env.After(0, func() { done(nil, false) })
		return
	}
	s.readQueue = append(s.readQueue, &read{key: key, done: done})
	s.sendReads()
}

func (s *Store) sendReads() {
	if len(s.readQueue) == 0 || s.readsInFlight >= 2 || s.readTimer != nil {
		return
	}
	// Reads that arrive within this interval share one transaction.
	if d := s.lastReadAt + s.interval(readShare, minReadInterval) - s.env.Now(); d > 0 && len(s.readQueue) < 4*s.cfg.TxnOps {
		s.readTimer = s.env.After(d, func() { s.readTimer = nil; s.sendReads() })
		return
	}
	s.lastReadAt = s.env.Now()
	if !s.requests.Take(s.env.Now(), 1, s.reserve()) {
		waiting := s.readQueue
		s.readQueue = nil
		for _, r := range waiting {
			r.done(nil, false)
		}
		return
	}
	maxBatch := 4 * s.cfg.TxnOps
	n := min(len(s.readQueue), maxBatch)
	batch := append([]*read(nil), s.readQueue[:n]...)
	s.readQueue = append(s.readQueue[:0], s.readQueue[n:]...)
	var t wire.Txn
	listed := map[string]bool{}
	for _, r := range batch {
		if it, ok := s.items[r.key]; ok {
			c := it
			r.item = &c
		}
		if listed[r.key] {
			continue
		}
		listed[r.key] = true
		c := wire.Cond{Path: r.key}
		if r.item != nil {
			c.Revision = r.item.Revision
		}
		t.When = append(t.When, c)
	}
	s.readsInFlight++
	sent := s.env.Now()
	s.call("POST", wire.PathCommit, wire.Encode(t), s.answerTimeout(readTimeout, pollTimeoutMax), func(a actor.Answer) {
		s.readsInFlight--
		defer s.sendReads()
		if sent < s.resumedAt {
			// The answer may date from before a pause. Other nodes may have reported a newer
			// value to users since.
			a.Err = actor.ErrNoAnswer
		}
		o, err := wire.DecodeOutcome(a.Body, a.Status == 409)
		if a.Err != nil || (a.Status != 200 && a.Status != 409) || err != nil {
			for _, r := range batch {
				r.done(nil, false)
			}
			return
		}
		failed := map[string]bool{}
		for _, k := range o.Failed {
			failed[k] = true
		}
		for _, r := range batch {
			if a.Status == 409 && failed[r.key] {
				s.get(r)
			} else {
				r.done(r.item, true)
			}
		}
	})
}

func (s *Store) get(r *read) {
	s.Get(r.key, func(it *Item, ok bool) { r.done(it, ok) })
}

// Get reads one key from the state service itself.
func (s *Store) Get(key string, done func(it *Item, ok bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(nil, false) })
		return
	}
	sent := s.env.Now()
	s.call("GET", wire.PathKeys+"/"+key, nil, s.answerTimeout(readTimeout, 2*readTimeout), func(a actor.Answer) {
		switch {
		case sent < s.resumedAt:
			done(nil, false)
		case a.Err == nil && a.Status == 404 && wire.IsAbsent(a.Body):
			done(nil, true)
		case a.Err == nil && a.Status == 200:
			it, err := wire.DecodeItem(a.Body, key)
			if err != nil {
				s.env.Log().Error("invalid response from the state service", "key", key, "err", err)
				done(nil, false)
				return
			}
			s.put(key, it.Value, it.Revision)
			done(&Item{it.Value, it.Revision}, true)
		default:
			done(nil, false)
		}
	})
}
