package httpx

import (
	"container/list"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"brooklb/internal/actor"

	"github.com/panjf2000/gnet/v2"
)

// pool keeps the open connections to one address.
type pool struct {
	addr string
	idle []*dialed
}

// dialed is a connection that we opened.
type dialed struct {
	p     *pool
	c     gnet.Conn
	call  *actor.Call
	timer *actor.Timer
	idle  *actor.Timer
	gone  bool
	spot  *list.Element // among the idle ones, nil while it is in use
	freed bool          // being closed for want of sockets
}

// Call implements actor.Env.
func (l *Loop) Call(call actor.Call) {
	if time.Since(l.start)-l.now >= actor.LongPause {
		// We were paused between the decision and here: another may have
		// decided otherwise meanwhile.
		l.After(0, func() {
			call.Done(actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("the process was paused before sending"))})
		})
		return
	}
	p := l.pools[call.Addr]
	if p == nil {
		p = &pool{addr: call.Addr}
		if !call.DisableKeepAlive {
			l.pools[call.Addr] = p
		}
	}
	for len(p.idle) > 0 && !call.DisableKeepAlive {
		d := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if d.gone {
			continue
		}
		d.idle.Stop()
		l.sockets.unpark(d)
		d.call = &call
		d.timer = l.After(call.Timeout, func() { l.expire(d) })
		l.send(d)
		return
	}
	if !l.sockets.dial(l.now) {
		l.After(0, func() {
			call.Done(actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("out of sockets"))})
		})
		return
	}
	d := &dialed{p: p, call: &call}
	d.timer = l.After(call.Timeout, func() { l.expire(d) })
	timeout := min(call.Timeout, dialTimeout)
	go func() {
		c, err := net.DialTimeout("tcp4", call.Addr, timeout)
		if err == nil {
			_, err = l.eng.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), d))
			if err != nil {
				_ = c.Close()
			}
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Join(actor.ErrRefused, err)
		}
		if err != nil {
			_ = l.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
				l.refresh()
				l.sockets.dialed--
				l.finish(d, actor.Answer{Err: errors.Join(actor.ErrNotSent, err)})
				return nil
			}))
		}
	}()
}

func (l *Loop) opened(d *dialed) {
	if d.call == nil { // given up meanwhile; keep the connection for the next call
		if l.pools[d.p.addr] != d.p {
			d.gone = true
			_ = d.c.Close()
			return
		}
		l.park(d)
		return
	}
	l.send(d)
}

func (l *Loop) send(d *dialed) {
	l.out = AppendRequest(l.out[:0], d.call.Method, d.call.Addr, d.call.Path, d.call.Type, d.call.Body)
	if _, err := d.c.Write(l.out); err != nil {
		d.gone = true
		l.finish(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, err)})
		_ = d.c.Close()
	}
}

func (l *Loop) finish(d *dialed, a actor.Answer) {
	call := d.call
	if call == nil {
		return
	}
	d.call = nil
	d.timer.Stop()
	call.Done(a)
}

func (l *Loop) expire(d *dialed) {
	if d.call == nil {
		return
	}
	if d.c == nil {
		l.finish(d, actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("dial timed out"))})
		return
	}
	d.gone = true
	l.finish(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("timed out"))})
	_ = d.c.Close()
}

func (l *Loop) park(d *dialed) {
	d.p.idle = append(d.p.idle, d)
	l.sockets.park(d)
	d.idle = l.After(idleDialed, func() {
		if d.call == nil && !d.gone {
			d.retire()
		}
	})
}

// drop takes a connection out of those that wait for a call.
func (p *pool) drop(d *dialed) {
	for i, x := range p.idle {
		if x == d {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// retire closes a connection that nothing is asked on.
func (d *dialed) retire() {
	d.gone = true
	d.idle.Stop()
	d.p.drop(d)
	_ = d.c.Close()
}

func (l *Loop) closed(d *dialed, c gnet.Conn) {
	d.gone = true
	l.sockets.closed(d)
	d.idle.Stop()
	d.p.drop(d)
	if d.call != nil {
		if b, err := c.Peek(c.InboundBuffered()); err == nil && len(b) > 0 {
			if st, body, _, n, err := ParseResponse(b, true); err == nil && n > 0 {
				l.finish(d, actor.Answer{Status: st, Body: body})
				return
			}
		}
		l.finish(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("connection closed"))})
	}
}

func (l *Loop) answer(d *dialed, c gnet.Conn, eof bool) gnet.Action {
	if d.gone {
		return gnet.Close
	}
	b, err := c.Peek(c.InboundBuffered())
	if err != nil {
		return gnet.Close
	}
	if d.call == nil { // nothing was asked
		return gnet.Close
	}
	st, body, closing, n, err := ParseResponse(b, eof)
	if err != nil {
		d.gone = true
		l.finish(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, err)})
		return gnet.Close
	}
	if n == 0 {
		return gnet.None
	}
	// The answer is copied: the continuation may send on this connection.
	body = append([]byte(nil), body...)
	_, _ = c.Discard(n)
	if closing || d.call.DisableKeepAlive {
		d.gone = true
	} else {
		call := d.call
		d.call = nil
		d.timer.Stop()
		l.park(d)
		call.Done(actor.Answer{Status: st, Body: body})
		return gnet.None
	}
	l.finish(d, actor.Answer{Status: st, Body: body})
	return gnet.Close
}
