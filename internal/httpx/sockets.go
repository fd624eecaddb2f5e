package httpx

import (
	"container/list"
	"log/slog"
	"time"
)

const (
	// reservedSockets, or the limit divided by reservedSocketsDivisor if that is more, are
	// sockets that the counts leave out: two listeners, the event loop's own descriptors, the
	// connection that it opens to itself, closed connections that the kernel still holds, and
	// connections that wait to be accepted.
	reservedSockets, reservedSocketsDivisor = 16, 32
	// Inbound connections can't use the outbound reserve. It is the limit divided by
	// outboundReserveDivisor, and at least minOutboundReserve: calls to the state service, the
	// cloud and the peers need some dozens, and calls to workers share the rest. Neither
	// reserve is more than a quarter of the limit.
	outboundReserveDivisor, minOutboundReserve = 16, 48
	// evictBatch is how many idle outbound connections are closed together when sockets run
	// out: a socket is free only after the loop's next iteration.
	evictBatch = 8
	// shortageLogInterval is the shortest time between two log lines about a shortage.
	shortageLogInterval = 15 * time.Second
)

// sockets counts the process's open connections and keeps them within the limit. In a large
// cluster, a connection in each direction for every worker would exceed the limit, so idle
// outbound connections are closed first, the longest idle before others.
type sockets struct {
	limit             int // 0: no limit
	inbound, outbound int
	closing           int        // outbound connections that are being closed to free sockets
	idle              *list.List // of *outbound, the longest idle first
	log               *slog.Logger
	lastLogged        time.Duration
	refused           int
}

func newSockets(limit int, log *slog.Logger) *sockets {
	return &sockets{limit: limit, idle: list.New(), log: log, lastLogged: -shortageLogInterval}
}

// maxConns is the largest number of connections in both directions.
func (s *sockets) maxConns() int {
	return s.limit - min(max(reservedSockets, s.limit/reservedSocketsDivisor), s.limit/4)
}

func (s *sockets) free() int { return s.maxConns() - s.inbound - s.outbound + s.closing }

// reservedOutbound is how many connections inbound ones can't use.
func (s *sockets) reservedOutbound() int {
	return max(s.limit/outboundReserveDivisor, min(minOutboundReserve, s.limit/4))
}

// acceptInbound counts an inbound connection. It returns false if the connection has to be
// closed.
func (s *sockets) acceptInbound(now time.Duration) bool {
	s.inbound++
	if s.limit <= 0 {
		return true
	}
	if s.free() < 0 {
		s.evictIdle()
	}
	if s.inbound <= s.maxConns()-s.reservedOutbound() && s.free()+s.idle.Len() >= 0 {
		return true
	}
	s.logShortage(now)
	return false
}

// reserveOutbound counts an outbound connection that is about to be opened. It returns false
// if there is no socket for it.
func (s *sockets) reserveOutbound(now time.Duration) bool {
	if s.limit > 0 && s.free() < 1 && !s.evictIdle() {
		s.logShortage(now)
		return false
	}
	s.outbound++
	return true
}

// evictIdle closes idle outbound connections. It returns false if there are none.
func (s *sockets) evictIdle() bool {
	n := 0
	for ; n < evictBatch && s.idle.Len() > 0; n++ {
		d := s.idle.Front().Value.(*outbound)
		s.removeIdle(d)
		d.evicted = true
		s.closing++
		d.closeIdle()
	}
	return n > 0
}

// logShortage counts a refused connection, and logs the shortage at most once in
// shortageLogInterval.
func (s *sockets) logShortage(now time.Duration) {
	s.refused++
	if now-s.lastLogged >= shortageLogInterval {
		s.lastLogged = now
		s.log.Info("out of sockets, connections are refused", "limit", s.limit, "opened_to_us", s.inbound, "by_us", s.outbound, "refused", s.refused)
	}
}

// outboundClosed removes a closed outbound connection from the counts.
func (s *sockets) outboundClosed(d *outbound) {
	s.removeIdle(d)
	s.outbound--
	if d.evicted {
		s.closing--
	}
}

func (s *sockets) addIdle(d *outbound) { d.idleElement = s.idle.PushBack(d) }

func (s *sockets) removeIdle(d *outbound) {
	if d.idleElement != nil {
		s.idle.Remove(d.idleElement)
		d.idleElement = nil
	}
}
