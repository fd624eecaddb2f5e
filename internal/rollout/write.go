package rollout

import (
	"fmt"

	"brooklb/internal/leader"
	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// write commits a record and other changes in one transaction. Its conditions are that
// this node still leads and that neither the service's record nor the versions' job
// records have changed, so that a withdrawal and a step can't both succeed. The leader
// acts on the record when the replica receives it (Event).
func (a *Actor) write(s *service, c *Record, when []wire.Cond, apply []wire.Change) {
	if a.store.WriteRoom() < float64(len(apply)+1+reservedWrites) {
		s.waitReason = "the state service takes no more changes now"
		return
	}
	if c.Rollout != nil {
		c.Rollout.Ends = max(c.Rollout.Ends, s.newVersionEnds())
		c.Rollout.Evidence = s.evidence
	}
	s.unsavedSince = 0
	c.Nonce = fmt.Sprintf("%x", a.env.Rand().Uint64())
	t := wire.Txn{When: append([]wire.Cond{{Path: leader.Key, Revision: a.token}, {Path: Key(s.name), Revision: s.revision}}, when...),
		Apply: append(apply, wire.Change{Write: Key(s.name), Value: c.encodeWithin(a.store.Config().ValueBytes)})}
	for _, v := range []*version{s.record.Current, s.record.New} {
		if v == nil {
			continue
		}
		key := ledger.JobKey(v.Job)
		if it, ok := a.store.Peek(key); ok && !hasCondition(t.When, key) {
			t.When = append(t.When, wire.Cond{Path: key, Revision: it.Revision})
		}
	}
	s.writing = true
	a.commit(s, t, 4)
}

func hasCondition(when []wire.Cond, key string) bool {
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
			// The write is repeated with the same conditions: the copy that is applied
			// first makes the other fail.
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
			// This is a fault of the controller; an immediate retry would be refused, too.
			a.env.Log().Error("state service rejected a roll-out's write as malformed", "service", s.name)
			a.env.After(30*tickInterval, func() { s.writing = false })
		default:
			s.writing = false
		}
	})
}

// reread fetches keys that other processes have changed, so that the replica has them.
func (a *Actor) reread(s *service, keys []string) {
	if len(keys) == 0 {
		s.writing = false
		return
	}
	a.store.Get(keys[0], func(_ *statestore.Item, ok bool) {
		switch {
		case a.stopped:
		case !ok:
			a.env.After(tickInterval, func() {
				if !a.stopped {
					a.reread(s, keys)
				}
			})
		default:
			a.reread(s, keys[1:]) // the replica has the key and has called Event
		}
	})
}

// finish ends a roll-out, writes its history, and ends the job of the version that is
// no longer needed.
func (a *Actor) finish(s *service, state State, why string) {
	rec := s.record
	c := rec.copy()
	now := a.env.Wall().UnixMilli()
	rec.Rollout.Evidence = s.evidence
	past := rec.history(state, why, now)
	var ending []*version
	switch state {
	case Done:
		c.Current, ending = c.New, []*version{rec.Current}
		why = "replaced by " + rec.New.Job + " in roll-out " + rec.id(s.name)
	case RolledBack:
		ending = []*version{rec.New}
		why = "roll-out " + rec.id(s.name) + " was rolled back: " + why
	case Withdrawn:
		ending, c.Current, c.Ended = []*version{rec.Current, rec.New}, nil, true
	}
	c.New, c.Rollout = nil, nil
	when, apply, err := endingChanges(a.store, s.name, rec.Number, past, ending, why)
	if err != nil {
		s.waitReason = err.Error()
		return
	}
	a.env.Log().Info("roll-out is being ended", "id", rec.id(s.name), "state", string(state), "why", past.Why)
	a.write(s, c, when, apply)
}

// endingChanges returns the changes that end a roll-out besides the service's record:
// its history, the deletion of the oldest history, and the ends of the versions' jobs.
func endingChanges(store *statestore.Store, name string, n int, p *pastRollout, ending []*version, why string) (when []wire.Cond, apply []wire.Change, err error) {
	limit := store.Config().ValueBytes
	for _, v := range ending {
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
		rec.Cancel(clip(why), limit)
		when = append(when, wire.Cond{Path: key, Revision: it.Revision})
		apply = append(apply, wire.Change{Write: key, Value: rec.Encode()})
	}
	if p != nil {
		apply = append(apply, wire.Change{Write: HistoryKey(name, n), Value: p.encodeWithin(limit)})
		if _, ok := store.Peek(HistoryKey(name, n-maxHistory)); ok {
			apply = append(apply, wire.Change{Delete: HistoryKey(name, n-maxHistory)})
		}
	}
	return when, apply, nil
}
