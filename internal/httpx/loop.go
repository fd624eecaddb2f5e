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

// Handler answers requests. It runs on the loop and must not block; reply may
// be called later, once, from the loop.
type Handler interface {
	Serve(r *Request, peer bool, reply func(Response))
	// Paused hears that the process was paused, before anything else happens.
	Paused(gap time.Duration)
}

// Loop is one gnet event loop that runs everything a process does: it accepts
// users and workers, dials the cloud, the state service, workers and peers,
// and fires the timers. It is the Env of the process's actors.
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
	tick        = 10 * time.Millisecond
	dialTimeout = 1500 * time.Millisecond
	// A connection that does not complete its request in this time is closed.
	slowRequest = 10 * time.Second
	// Idle connections of users and workers are kept this long.
	idleServed = 90 * time.Second
	idleDialed = 30 * time.Second
)

// NewLoop prepares a loop that listens on the two addresses. most is how many
// sockets the process may have, 0: as many as it likes.
func NewLoop(bind, peerBind string, most int, seed uint64, log *slog.Logger) *Loop {
	return &Loop{bind: bind, peerBind: peerBind, sockets: newSockets(most, log), log: log,
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

// refresh is called before anything that came from outside is handled: what a
// process decided before it was paused must not go on as if nothing had been.
func (l *Loop) refresh() {
	gap := time.Since(l.start) - l.now
	l.now += gap
	if gap >= actor.LongPause && l.loop != nil {
		l.handler.Paused(gap)
	}
}

type quiet struct{ log *slog.Logger }

func (q quiet) Debugf(f string, a ...any) {}
func (q quiet) Infof(f string, a ...any)  {}
func (q quiet) Warnf(f string, a ...any)  { q.log.Debug("gnet: " + fmt.Sprintf(f, a...)) }
func (q quiet) Errorf(f string, a ...any) { q.log.Debug("gnet: " + fmt.Sprintf(f, a...)) }
func (q quiet) Fatalf(f string, a ...any) { q.log.Error("gnet: " + fmt.Sprintf(f, a...)) }

var _ logging.Logger = quiet{}

// Run serves until ctx ends. boot runs on the loop once it is up.
func (l *Loop) Run(ctx context.Context, h Handler, boot func()) error {
	l.handler, l.boot = h, boot
	go func() {
		// The loop that owns everything is learnt from a connection to
		// ourselves: gnet gives no other handle to run code on its loop.
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
			gnet.WithReadBufferCap(16<<10), gnet.WithWriteBufferCap(16<<10), gnet.WithLogger(quiet{l.log}))
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

// OnTick runs on gnet's ticker goroutine and hands over to the loop.
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
	return tick, gnet.None
}

type selfConn struct{}

// served is a connection that somebody opened to us.
type served struct {
	l        *Loop
	c        gnet.Conn
	peer     bool
	gone     bool
	busy     bool
	closing  bool
	deadline *actor.Timer
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
	case *dialed:
		x.c = c
		l.opened(x)
	default:
		s := &served{l: l, c: c, peer: c.LocalAddr().String() == l.peerBind}
		c.SetContext(s)
		if !l.sockets.accepted(l.now) {
			// Out of sockets: answer at once rather than starve our own calls.
			l.out = AppendResponse(l.out[:0], Response{Status: 503, RetryAfter: 2, Close: true})
			return append([]byte(nil), l.out...), gnet.Close
		}
		s.arm(idleServed)
	}
	return nil, gnet.None
}

func (s *served) arm(d time.Duration) {
	s.deadline.Stop()
	s.deadline = s.l.After(d, func() {
		if !s.gone {
			_ = s.c.Close()
		}
	})
}

// OnClose implements gnet.EventHandler.
func (l *Loop) OnClose(c gnet.Conn, err error) gnet.Action {
	l.refresh()
	switch x := c.Context().(type) {
	case *served:
		x.gone = true
		x.deadline.Stop()
		l.sockets.served--
	case *dialed:
		l.closed(x, c)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.refresh()
	switch x := c.Context().(type) {
	case *served:
		return x.traffic()
	case *dialed:
		return l.answer(x, c, false)
	default:
		_, _ = c.Discard(-1)
	}
	return gnet.None
}

func (s *served) traffic() gnet.Action {
	for !s.busy && !s.gone {
		n := s.c.InboundBuffered()
		if n == 0 {
			return gnet.None
		}
		b, err := s.c.Peek(n)
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
			s.arm(slowRequest)
			return gnet.None
		}
		s.busy = true
		s.closing = r.Close
		answered := false
		inline := true
		closeNow := false
		s.l.handler.Serve(&r, s.peer, func(resp Response) {
			if answered || s.gone {
				answered = true
				return
			}
			answered = true
			s.busy = false
			if s.closing {
				resp.Close = true
			}
			s.write(resp)
			s.arm(idleServed)
			if inline {
				closeNow = resp.Close
			} else if resp.Close {
				_ = s.c.Close()
			} else if s.c.InboundBuffered() > 0 {
				if s.traffic() == gnet.Close {
					_ = s.c.Close()
				}
			}
		})
		inline = false
		if s.gone {
			return gnet.None
		}
		_, _ = s.c.Discard(used)
		if closeNow {
			return gnet.Close
		}
	}
	return gnet.None
}

func (s *served) write(r Response) {
	s.l.out = AppendResponse(s.l.out[:0], r)
	_, _ = s.c.Write(s.l.out)
}
