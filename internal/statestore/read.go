package statestore

import (
	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// Read brings the current value of a key: the replica's, once the state
// service has confirmed that it is still current, or else what it answers.
// done gets ok false when the service can't be asked. Reads that wait are
// confirmed together in one comparing transaction.
func (s *Store) Read(key string, done func(it *Item, ok bool)) {
	if !s.synced || len(s.queue) > 2000 {
		s.env.After(0, func() { done(nil, false) })
		return
	}
	s.queue = append(s.queue, &read{key: key, done: done})
	s.pump()
}

func (s *Store) pump() {
	if len(s.queue) == 0 || s.reading >= 2 || s.readTimer != nil {
		return
	}
	// What comes within a short while is asked together.
	if d := s.readAt + s.gap(readShare, readGap) - s.env.Now(); d > 0 && len(s.queue) < 4*s.cfg.TxnOps {
		s.readTimer = s.env.After(d, func() { s.readTimer = nil; s.pump() })
		return
	}
	s.readAt = s.env.Now()
	if !s.requests.Take(s.env.Now(), 1, s.reserve()) {
		q := s.queue
		s.queue = nil
		for _, r := range q {
			r.done(nil, false)
		}
		return
	}
	most := 4 * s.cfg.TxnOps
	n := min(len(s.queue), most)
	batch := append([]*read(nil), s.queue[:n]...)
	s.queue = append(s.queue[:0], s.queue[n:]...)
	var t wire.Txn
	asked := map[string]bool{}
	for _, r := range batch {
		if it, ok := s.items[r.key]; ok {
			c := it
			r.item = &c
		}
		if asked[r.key] {
			continue
		}
		asked[r.key] = true
		c := wire.Cond{Path: r.key}
		if r.item != nil {
			c.Stamp = r.item.Stamp
		}
		t.When = append(t.When, c)
	}
	s.reading++
	sent := s.env.Now()
	s.call("POST", wire.PathCommit, wire.Encode(t), s.patience(readTimeout, pollMost), func(a actor.Answer) {
		s.reading--
		defer s.pump()
		if sent < s.woke {
			a.Err = actor.ErrNoAnswer // true then; others may have told users more since
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
	s.call("GET", wire.PathKeys+"/"+key, nil, s.patience(readTimeout, 2*readTimeout), func(a actor.Answer) {
		switch {
		case sent < s.woke:
			done(nil, false)
		case a.Err == nil && a.Status == 404 && wire.IsAbsent(a.Body):
			done(nil, true)
		case a.Err == nil && a.Status == 200:
			it, err := wire.DecodeItem(a.Body, key)
			if err != nil {
				s.env.Log().Error("bad answer of the state service", "key", key, "err", err)
				done(nil, false)
				return
			}
			s.put(key, it.Value, it.Stamp)
			done(&Item{it.Value, it.Stamp}, true)
		default:
			done(nil, false)
		}
	})
}
