package httpx

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"brooklb/internal/actor"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// Handler answers requests. It runs on the loop and must not block. It calls reply once, on
// the loop, either within Serve or later.
type Handler interface {
	Serve(r *Request, peer bool, reply func(Response))
	// Paused is called first after the process was paused, before any other event.
	Paused(gap time.Duration)
}

// Loop is the single gnet event loop of a process. It accepts connections of users, workers
// and peers, connects to the cloud, the state service, workers and peers, and runs the
// timers. It implements actor.Env for the process's actors.
type Loop struct {
	gnet.BuiltinEventEngine
	bind, peerBind string
	sockets        *sockets
	log            *slog.Logger
	rng            *rand.Rand
	start          time.Time
	now            time.Duration
	timers         actor.Timers
	handler        Handler
	boot           func()
	eng            gnet.Engine
	pools          map[string]*pool
	loop           gnet.EventLoop
	booted         chan struct{}
	bootOnce       sync.Once
	tickMu         sync.Mutex
	tickPending    bool
	out            []byte
}

const (
	tickInterval = 10 * time.Millisecond
	dialTimeout  = 1500 * time.Millisecond
	// A connection with an incomplete request is closed if no more of it arrives in this time.
	requestTimeout = 10 * time.Second
	// Idle connections are closed after this time.
	inboundIdleTimeout  = 90 * time.Second
	outboundIdleTimeout = 30 * time.Second
)

// NewLoop prepares a loop that listens on the two addresses. maxSockets limits the sockets
// of the process; 0 means no limit.
func NewLoop(bind, peerBind string, maxSockets int, seed uint64, log *slog.Logger) *Loop {
	return &Loop{bind: bind, peerBind: peerBind, sockets: newSockets(maxSockets, log), log: log,
		rng: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))), start: time.Now(),
		pools: map[string]*pool{}, booted: make(chan struct{})}
}

// Now implements actor.Env.
func (l *Loop) Now() time.Duration { return l.now }

// Wall implements actor.Env.
func (l *Loop) Wall() time.Time { return time.Now() }

// Rand implements actor.Env.
func (l *Loop) Rand() *rand.Rand { return l.rng }

// Log implements actor.Env.
func (l *Loop) Log() *slog.Logger { return l.log }

// After implements actor.Env.
func (l *Loop) After(d time.Duration, f func()) *actor.Timer { return l.timers.Add(l.now+d, f) }

// refresh updates the clock before any external event is handled. After a pause it calls
// the handler's Paused first, so that decisions from before the pause are dropped.
func (l *Loop) refresh() {
	gap := time.Since(l.start) - l.now
	l.now += gap
	if gap >= actor.LongPause && l.loop != nil {
		l.handler.Paused(gap)
	}
}

// gnetLogger writes gnet's warnings and errors to the process's log at level debug, and its
// fatal errors at level error.
type gnetLogger struct{ log *slog.Logger }

func (q gnetLogger) Debugf(f string, a ...any) {}
func (q gnetLogger) Infof(f string, a ...any)  {}
func (q gnetLogger) Warnf(f string, a ...any)  { q.log.Debug("gnet: " + fmt.Sprintf(f, a...)) }
func (q gnetLogger) Errorf(f string, a ...any) { q.log.Debug("gnet: " + fmt.Sprintf(f, a...)) }
func (q gnetLogger) Fatalf(f string, a ...any) { q.log.Error("gnet: " + fmt.Sprintf(f, a...)) }

var _ logging.Logger = gnetLogger{}

// Run serves until ctx ends. boot runs on the loop as soon as the loop is running.
func (l *Loop) Run(ctx context.Context, h Handler, boot func()) error {
	l.handler, l.boot = h, boot
	go func() {
		// The process connects to itself, because gnet offers the event loop, which is
		// needed to run code on it, only through a connection.
		<-l.booted
		for ctx.Err() == nil {
			c, err := net.DialTimeout("tcp4", l.bind, dialTimeout)
			if err == nil {
				if _, err = l.eng.Register(gnet.NewContext(gnet.NewNetConnContext(ctx, c), &selfConn{})); err == nil {
					return
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	errc := make(chan error, 1)
	go func() {
		errc <- gnet.Rotate(l, []string{"tcp4://" + l.bind, "tcp4://" + l.peerBind},
			gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithTicker(true),
			gnet.WithReadBufferCap(16<<10), gnet.WithWriteBufferCap(16<<10), gnet.WithLogger(gnetLogger{l.log}))
	}()
	select {
	case err := <-errc:
		return err
	case <-ctx.Done():
		sctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = l.eng.Stop(sctx)
		return nil
	}
}

// OnBoot implements gnet.EventHandler.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	l.eng = eng
	l.bootOnce.Do(func() { close(l.booted) })
	return gnet.None
}

// OnTick implements gnet.EventHandler. It runs on gnet's ticker goroutine and schedules the
// timers on the loop.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	l.tickMu.Lock()
	defer l.tickMu.Unlock()
	if l.loop != nil && !l.tickPending {
		l.tickPending = true
		_ = l.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			l.tickMu.Lock()
			l.tickPending = false
			l.tickMu.Unlock()
			l.refresh()
			l.timers.Run(l.now)
			return nil
		}))
	}
	return tickInterval, gnet.None
}

// selfConn marks the process's connection to itself.
type selfConn struct{}

// inbound is a connection that another process opened.
type inbound struct {
	loop       *Loop
	conn       gnet.Conn
	peer       bool
	closed     bool
	busy       bool
	closing    bool
	closeTimer *actor.Timer
}

// OnOpen implements gnet.EventHandler.
func (l *Loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.refresh()
	switch x := c.Context().(type) {
	case *selfConn:
		l.tickMu.Lock()
		first := l.loop == nil
		l.loop = c.EventLoop()
		l.tickMu.Unlock()
		if first {
			l.boot()
		}
	case *outbound:
		x.conn = c
		l.outboundOpened(x)
	default:
		s := &inbound{loop: l, conn: c, peer: c.LocalAddr().String() == l.peerBind}
		c.SetContext(s)
		if !l.sockets.acceptInbound(l.now) {
			// Out of sockets: refuse the connection to keep sockets for outbound calls.
			l.out = AppendResponse(l.out[:0], Response{Status: 503, RetryAfter: 2, Close: true})
			return append([]byte(nil), l.out...), gnet.Close
		}
		s.closeAfter(inboundIdleTimeout)
	}
	return nil, gnet.None
}

// closeAfter closes the connection after d, unless it is called again before.
func (s *inbound) closeAfter(d time.Duration) {
	s.closeTimer.Stop()
	s.closeTimer = s.loop.After(d, func() {
		if !s.closed {
			_ = s.conn.Close()
		}
	})
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	l.refresh()
	switch x := c.Context().(type) {
	case *inbound:
		x.closed = true
		x.closeTimer.Stop()
		l.sockets.inbound--
	case *outbound:
		l.outboundClosed(x, c)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.refresh()
	switch x := c.Context().(type) {
	case *inbound:
		return x.handleRequests()
	case *outbound:
		return l.handleResponse(x, c, false)
	default:
		_, _ = c.Discard(-1)
	}
	return gnet.None
}

func (s *inbound) handleRequests() gnet.Action {
	for !s.busy && !s.closed {
		n := s.conn.InboundBuffered()
		if n == 0 {
			return gnet.None
		}
		b, err := s.conn.Peek(n)
		if err != nil {
			return gnet.Close
		}
		r, used, err := ParseRequest(b)
		if err != nil {
			s.closing = true
			s.write(Response{Status: 400, Body: []byte(`{"error":"` + err.Error() + `"}`), Close: true})
			return gnet.Close
		}
		if used == 0 {
			s.closeAfter(requestTimeout)
			return gnet.None
		}
		s.busy = true
		s.closing = r.Close
		answered := false
		inline := true
		closeNow := false
		s.loop.handler.Serve(&r, s.peer, func(resp Response) {
			if answered || s.closed {
				answered = true
				return
			}
			answered = true
			s.busy = false
			if s.closing {
				resp.Close = true
			}
			s.write(resp)
			s.closeAfter(inboundIdleTimeout)
			if inline {
				closeNow = resp.Close
			} else if resp.Close {
				_ = s.conn.Close()
			} else if s.conn.InboundBuffered() > 0 {
				if s.handleRequests() == gnet.Close {
					_ = s.conn.Close()
				}
			}
		})
		inline = false
		if s.closed {
			return gnet.None
		}
		_, _ = s.conn.Discard(used)
		if closeNow {
			return gnet.Close
		}
	}
	return gnet.None
}

func (s *inbound) write(r Response) {
	s.loop.out = AppendResponse(s.loop.out[:0], r)
	_, _ = s.conn.Write(s.loop.out)
}
