package statestore

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// pace learns how long to wait: twice as long after answers that did not come, and no
// longer than needed once they do. A service whose every answer takes a second is usable; with
// fixed times each transaction was given up and written again, and failed on its own copy.
func (s *Store) pace(took time.Duration, none bool) {
	if none {
		if s.missed++; s.missed > 1 { // a single one may be lost
			s.slow = min(mostSlow, 2*s.slow)
		}
	} else {
		s.missed = 0
		s.slow = min(s.slow, max(1, 2*float64(took)/float64(commitTimeout)))
	}
}

// patience is how long an answer is waited for now.
func (s *Store) patience(usual, most time.Duration) time.Duration {
	return min(most, time.Duration(s.slow*float64(usual)))
}

// Commit sends a transaction. own says that it is the leader's work, which may
// use the reserve. Changes that were made appear in the replica before done.
func (s *Store) Commit(t wire.Txn, own bool, done func(r Result, epoch uint64, failed []string)) {
	keep, keepW := 0.0, 0.0
	if !own {
		keep = s.reserve()
		if !s.leading {
			keepW = 1
		}
	}
	s.level()
	refuse := func() { s.env.After(0, func() { done(Refused, 0, nil) }) }
	if !s.requests.Take(s.env.Now(), 1, keep) {
		refuse()
		return
	}
	if len(t.Apply) > 0 && !s.writes.Take(s.env.Now(), float64(len(t.Apply)), keepW) {
		refuse()
		return
	}
	timeout := s.patience(commitTimeout, ownMost)
	if !own {
		timeout = s.patience(userTimeout, userMost)
	}
	s.call("POST", wire.PathCommit, wire.Encode(t), timeout, func(a actor.Answer) {
		o, err := wire.DecodeOutcome(a.Body, a.Status == 409)
		switch {
		case a.Unsent():
			done(Refused, 0, nil)
		case a.Err != nil:
			done(Maybe, 0, nil)
		case a.Status == 503 || a.Status == 429:
			done(Refused, 0, nil)
		case a.Status == 200 && err == nil && o.Epoch > 0:
			for _, c := range t.Apply {
				if c.Delete != "" {
					s.drop(c.Delete, o.Epoch)
				} else {
					s.put(c.Write, c.Value, o.Epoch)
				}
			}
			done(OK, o.Epoch, nil)
		case a.Status == 409 && err == nil:
			done(Conflict, o.Epoch, o.Failed)
		case a.Status == 400 && strings.Contains(string(a.Body), "lease"):
			done(NoLease, 0, nil)
		case a.Status == 400:
			s.env.Log().Error("the state service calls a transaction malformed", "body", string(a.Body))
			done(Malformed, 0, nil)
		default:
			s.env.Log().Error("bad answer to a transaction", "status", a.Status, "err", err)
			done(Maybe, 0, nil)
		}
	})
}

// Grant asks for a lease.
func (s *Store) Grant(ttl time.Duration, done func(permit uint64, ok bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(0, false) })
		return
	}
	s.call("POST", wire.PathGrants, wire.TTL(int(ttl.Milliseconds())), readTimeout, func(a actor.Answer) {
		if a.Err != nil || a.Status != 200 {
			done(0, false)
			return
		}
		p, err := wire.DecodeGrant(a.Body)
		done(p, err == nil)
	})
}

// Renew renews a lease; gone says that it has ended.
func (s *Store) Renew(permit uint64, done func(ok, gone bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(false, false) })
		return
	}
	s.call("POST", wire.PathGrants+"/"+strconv.FormatUint(permit, 10)+"/renew", nil, renewTimeout, func(a actor.Answer) {
		done(a.Err == nil && a.Status == 200, a.Err == nil && a.Status == 404)
	})
}

// Release ends a lease, if there is room for the request.
func (s *Store) Release(permit uint64) { s.End(permit, func(bool) {}) }

// End ends a lease; ok says that it has surely ended.
func (s *Store) End(permit uint64, done func(ok bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(false) })
		return
	}
	s.call("DELETE", wire.PathGrants+"/"+strconv.FormatUint(permit, 10), nil, readTimeout, func(a actor.Answer) {
		done(a.Err == nil && (a.Status == 200 || a.Status == 404))
	})
}
