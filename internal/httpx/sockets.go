package httpx

import (
	"container/list"
	"log/slog"
	"time"
)

const (
	// Of the sockets so many, or this part, are no connections of the count: two that
	// listen, the loop's own, the one that it opened to itself, those that are closed but
	// not gone yet, and those that wait to be accepted.
	notConns, notConnsPart = 16, 32
	// For calls of ours a part is kept that nobody who connects to us can take: to the
	// state service, the cloud and the peers some dozens, to workers in turn what is there.
	ownPart, ownLeast = 16, 48
	// retired is how many idle connections of ours are closed at once when sockets are
	// short: closing takes until the loop's next turn.
	retired = 8
	// shortEvery is how often the log says so.
	shortEvery = 15 * time.Second
)

// sockets counts what the process has open. At the size of a fleet every worker has a
// connection to us and we one to it, more than there are sockets: connections of ours
// that wait for the next call are closed first, the one that waits longest before others.
type sockets struct {
	most           int // 0: no limit
	served, dialed int
	closing        int        // of dialed: about to be closed for want of sockets
	idle           *list.List // of *dialed, the longest idle first
	log            *slog.Logger
	told           time.Duration
	refused        int
}

func newSockets(most int, log *slog.Logger) *sockets {
	return &sockets{most: most, idle: list.New(), log: log, told: -shortEvery}
}

// conns is how many connections there may be.
func (s *sockets) conns() int {
	return s.most - min(max(notConns, s.most/notConnsPart), s.most/4)
}

func (s *sockets) free() int { return s.conns() - s.served - s.dialed + s.closing }

// own is what nobody who connects to us can take.
func (s *sockets) own() int { return max(s.most/ownPart, min(ownLeast, s.most/4)) }

// accepted counts a connection that was opened to us; false: it has to be closed.
func (s *sockets) accepted(now time.Duration) bool {
	s.served++
	if s.most <= 0 {
		return true
	}
	if s.free() < 0 {
		s.retire()
	}
	if s.served <= s.conns()-s.own() && s.free()+s.idle.Len() >= 0 {
		return true
	}
	s.short(now)
	return false
}

// dial counts a connection that we want to open; false: there is no socket for it.
func (s *sockets) dial(now time.Duration) bool {
	if s.most > 0 && s.free() < 1 && !s.retire() {
		s.short(now)
		return false
	}
	s.dialed++
	return true
}

// retire closes connections of ours that wait for a call; false if there are none.
func (s *sockets) retire() bool {
	n := 0
	for ; n < retired && s.idle.Len() > 0; n++ {
		d := s.idle.Front().Value.(*dialed)
		s.unpark(d)
		d.freed = true
		s.closing++
		d.retire()
	}
	return n > 0
}

// short says in the log that there are too few sockets.
func (s *sockets) short(now time.Duration) {
	s.refused++
	if now-s.told >= shortEvery {
		s.told = now
		s.log.Info("out of sockets, connections are refused", "limit", s.most, "opened_to_us", s.served, "by_us", s.dialed, "refused", s.refused)
	}
}

// closed counts a connection of ours that is gone.
func (s *sockets) closed(d *dialed) {
	s.unpark(d)
	s.dialed--
	if d.freed {
		s.closing--
	}
}

func (s *sockets) park(d *dialed) { d.spot = s.idle.PushBack(d) }

func (s *sockets) unpark(d *dialed) {
	if d.spot != nil {
		s.idle.Remove(d.spot)
		d.spot = nil
	}
}
