package rollout

import (
	"fmt"

	"brooklb/internal/leader"
	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// write makes a record durable, with other changes: conditional on our leadership,
// on the record it was made from and on both versions' job records, so that a
// withdrawal and a step can't both win. What it says is acted on when the replica
// has it (Event).
func (a *Actor) write(s *service, c *Record, when []wire.Cond, apply []wire.Change) {
	if a.store.WriteRoom() < float64(len(apply)+1+leaveWrites) {
		s.waits = "the state service takes no more changes now"
		return
	}
	if c.Roll != nil {
		c.Roll.Ends = max(c.Roll.Ends, s.newEnds())
		c.Roll.Proofs = s.proofs
	}
	s.dirty = 0
	c.Change = fmt.Sprintf("%x", a.env.Rand().Uint64())
	t := wire.Txn{When: append([]wire.Cond{{Path: leader.Key, Stamp: a.token}, {Path: Key(s.name), Stamp: s.stamp}}, when...),
		Apply: append(apply, wire.Change{Write: Key(s.name), Value: c.encode()})}
	for _, v := range []*version{s.rec.Cur, s.rec.New} {
		if v == nil {
			continue
		}
		key := ledger.JobKey(v.Job)
		if it, ok := a.store.Peek(key); ok && !has(t.When, key) {
			t.When = append(t.When, wire.Cond{Path: key, Stamp: it.Stamp})
		}
	}
	s.flying = true
	a.commit(s, t, 4)
}

func has(when []wire.Cond, key string) bool {
	for _, c := range when {
		if c.Path == key {
			return true
		}
	}
	return false
}

func (a *Actor) commit(s *service, t wire.Txn, tries int) {
	a.store.Commit(t, true, func(r statestore.Result, _ uint64, failed []string) {
		if a.stopped {
			return
		}
		switch {
		case r == statestore.Unknown && tries > 0:
			// Written again with the same versions: whichever comes first makes the
			// other fail.
			a.commit(s, t, tries-1)
		case r == statestore.Conflict && len(failed) > 0:
			for _, k := range failed {
				if k == leader.Key {
					if a.OnDeposed != nil {
						a.OnDeposed()
					}
					return
				}
			}
			a.reread(s, failed)
		case r == statestore.Malformed:
			// Ours to mend; asked again it would be refused again.
			a.env.Log().Error("a roll-out's record is refused as malformed", "service", s.name)
			a.env.After(30*tickEvery, func() { s.flying = false })
		default:
			s.flying = false
		}
	})
}

// reread learns what others have written meanwhile.
func (a *Actor) reread(s *service, keys []string) {
	if len(keys) == 0 {
		s.flying = false
		return
	}
	a.store.Get(keys[0], func(_ *statestore.Item, ok bool) {
		switch {
		case a.stopped:
		case !ok:
			a.env.After(tickEvery, func() {
				if !a.stopped {
					a.reread(s, keys)
				}
			})
		default:
			a.reread(s, keys[1:]) // the replica has it, and told us
		}
	})
}

// finish ends a roll-out, with its history, and the version that is needed no more.
func (a *Actor) finish(s *service, state State, why string) {
	rec := s.rec
	c := rec.copy()
	now := a.env.Wall().UnixMilli()
	rec.Roll.Proofs = s.proofs
	past := rec.history(state, why, now)
	var goes []*version
	switch state {
	case Done:
		c.Cur, goes = c.New, []*version{rec.Cur}
		why = "replaced by " + rec.New.Job + " in roll-out " + rec.id(s.name)
	case Returned:
		goes = []*version{rec.New}
		why = "roll-out " + rec.id(s.name) + " was rolled back: " + why
	case Withdrawn:
		goes, c.Cur, c.Ended = []*version{rec.Cur, rec.New}, nil, true
	}
	c.New, c.Roll = nil, nil
	when, apply, err := closing(a.store, s.name, rec.N, past, goes, why)
	if err != nil {
		s.waits = err.Error()
		return
	}
	a.env.Log().Info("roll-out ends", "id", rec.id(s.name), "state", string(state), "why", past.Why)
	a.write(s, c, when, apply)
}

// closing lists the changes that end a roll-out besides the service's record: its
// history, the oldest one's deletion, and the end of versions.
func closing(store *statestore.Store, name string, n int, p *past, goes []*version, why string) (when []wire.Cond, apply []wire.Change, err error) {
	for _, v := range goes {
		if v == nil {
			continue
		}
		key := ledger.JobKey(v.Job)
		it, ok := store.Peek(key)
		if !ok {
			continue
		}
		rec, err := ledger.DecodeRecord(v.Job, it.Value)
		if err != nil {
			return nil, nil, err
		}
		if rec.Final != ledger.Open {
			continue
		}
		rec.Final, rec.Why = ledger.Cancelled, clip(why)
		when = append(when, wire.Cond{Path: key, Stamp: it.Stamp})
		apply = append(apply, wire.Change{Write: key, Value: rec.Encode()})
	}
	if p != nil {
		apply = append(apply, wire.Change{Write: HistoryKey(name, n), Value: wire.Encode(p)})
		if _, ok := store.Peek(HistoryKey(name, n-keepHistory)); ok {
			apply = append(apply, wire.Change{Delete: HistoryKey(name, n-keepHistory)})
		}
	}
	return when, apply, nil
}
