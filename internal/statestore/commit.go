package statestore

import (
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// adaptTimeouts doubles the timeouts while answers are missing, and shortens them again to
// what the answers need. A service that takes a second for each answer is usable, but with
// fixed timeouts each transaction timed out, was sent again and failed on its own copy.
func (s *Store) adaptTimeouts(took time.Duration, noAnswer bool) {
	if noAnswer {
		if s.missedAnswers++; s.missedAnswers > 1 { // a single answer may have been lost
			s.timeoutFactor = min(maxTimeoutFactor, 2*s.timeoutFactor)
		}
	} else {
		s.missedAnswers = 0
		s.timeoutFactor = min(s.timeoutFactor, max(1, 2*float64(took)/float64(commitTimeout)))
	}
}

// answerTimeout returns the timeout for an answer at the service's present speed.
func (s *Store) answerTimeout(usual, longest time.Duration) time.Duration {
	return min(longest, time.Duration(s.timeoutFactor*float64(usual)))
}

// Commit sends a transaction. own says that it is the leader's own work, which may use
// the reserve. Applied changes are in the replica before done is called.
func (s *Store) Commit(t wire.Txn, own bool, done func(r Result, revision uint64, failed []string)) {
	keepRequests, keepWrites := 0.0, 0.0
	if !own {
		keepRequests = s.reserve()
		if !s.leading {
			keepWrites = 1
		}
	}
	s.refreshWrites()
	refuse := func() { s.env.After(0, func() { done(Refused, 0, nil) }) }
	if !s.requests.Take(s.env.Now(), 1, keepRequests) {
		refuse()
		return
	}
	if len(t.Apply) > 0 && !s.writes.Take(s.env.Now(), float64(len(t.Apply)), keepWrites) {
		refuse()
		return
	}
	timeout := s.answerTimeout(commitTimeout, ownTimeoutMax)
	if !own {
		timeout = s.answerTimeout(userTimeout, userTimeoutMax)
	}
	s.call("POST", wire.PathCommit, wire.Encode(t), timeout, func(a actor.Answer) {
		o, err := wire.DecodeOutcome(a.Body, a.Status == 409)
		switch {
		case a.Unsent():
			done(Refused, 0, nil)
		case a.Err != nil:
			done(Unknown, 0, nil)
		case a.Status == 503 || a.Status == 429:
			done(Refused, 0, nil)
		case a.Status == 200 && err == nil && o.Revision > 0:
			for _, c := range t.Apply {
				if c.Delete != "" {
					s.drop(c.Delete, o.Revision)
				} else {
					s.put(c.Write, c.Value, o.Revision)
				}
			}
			done(OK, o.Revision, nil)
		case a.Status == 409 && err == nil:
			done(Conflict, o.Revision, o.Failed)
		case a.Status == 400 && strings.Contains(string(a.Body), "lease"):
			done(NoLease, 0, nil)
		case a.Status == 400:
			key, size := largestWrite(t)
			s.env.Log().Error("state service rejected a transaction as malformed", "body", string(a.Body), "changes", len(t.Apply),
				"largest_key", key, "largest_bytes", size, "limit_bytes", s.cfg.ValueBytes)
			done(Malformed, 0, nil)
		default:
			s.env.Log().Error("invalid response to a transaction", "status", a.Status, "err", err)
			done(Unknown, 0, nil)
		}
	})
}

// largestWrite returns the key and the size of a transaction's largest value.
func largestWrite(t wire.Txn) (key string, size int) {
	for _, c := range t.Apply {
		if len(c.Value) > size {
			key, size = c.Write, len(c.Value)
		}
	}
	return key, size
}

// Grant requests a lease. leaseID is its ID.
func (s *Store) Grant(ttl time.Duration, done func(leaseID uint64, ok bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(0, false) })
		return
	}
	s.call("POST", wire.PathGrants, wire.LeaseRequest(int(ttl.Milliseconds())), readTimeout, func(a actor.Answer) {
		if a.Err != nil || a.Status != 200 {
			done(0, false)
			return
		}
		p, err := wire.DecodeGrant(a.Body)
		done(p, err == nil)
	})
}

// Renew renews a lease. gone says that the lease has ended.
func (s *Store) Renew(leaseID uint64, done func(ok, gone bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(false, false) })
		return
	}
	s.call("POST", wire.PathGrants+"/"+strconv.FormatUint(leaseID, 10)+"/renew", nil, renewTimeout, func(a actor.Answer) {
		done(a.Err == nil && a.Status == 200, a.Err == nil && a.Status == 404)
	})
}

// Release ends a lease if the request budget allows it.
func (s *Store) Release(leaseID uint64) { s.End(leaseID, func(bool) {}) }

// End ends a lease. ok says that the state service confirmed its end.
func (s *Store) End(leaseID uint64, done func(ok bool)) {
	if !s.requests.Take(s.env.Now(), 1, 0) {
		s.env.After(0, func() { done(false) })
		return
	}
	s.call("DELETE", wire.PathGrants+"/"+strconv.FormatUint(leaseID, 10), nil, readTimeout, func(a actor.Answer) {
		done(a.Err == nil && (a.Status == 200 || a.Status == 404))
	})
}
