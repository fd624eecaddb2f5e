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

// pool holds the idle connections to one address.
type pool struct {
	addr string
	idle []*outbound
}

// outbound is a connection that this process opens.
type outbound struct {
	pool        *pool
	conn        gnet.Conn
	call        *actor.Call
	callTimer   *actor.Timer
	idleTimer   *actor.Timer
	closed      bool
	idleElement *list.Element // in the list of idle connections; nil while in use
	evicted     bool          // closed to free its socket
}

// Call implements actor.Env.
func (l *Loop) Call(call actor.Call) {
	if time.Since(l.start)-l.now >= actor.LongPause {
		// The process was paused between the decision to call and this point: another
		// node may have decided otherwise since then.
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
		if d.closed {
			continue
		}
		d.idleTimer.Stop()
		l.sockets.removeIdle(d)
		d.call = &call
		d.callTimer = l.After(call.Timeout, func() { l.timeOut(d) })
		l.sendRequest(d)
		return
	}
	if !l.sockets.reserveOutbound(l.now) {
		l.After(0, func() {
			call.Done(actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("out of sockets"))})
		})
		return
	}
	d := &outbound{pool: p, call: &call}
	d.callTimer = l.After(call.Timeout, func() { l.timeOut(d) })
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
				l.sockets.outbound--
				l.finishCall(d, actor.Answer{Err: errors.Join(actor.ErrNotSent, err)})
				return nil
			}))
		}
	}()
}

func (l *Loop) outboundOpened(d *outbound) {
	if d.call == nil { // the call has timed out; keep the connection for the next one
		if l.pools[d.pool.addr] != d.pool {
			d.closed = true
			_ = d.conn.Close()
			return
		}
		l.addIdle(d)
		return
	}
	l.sendRequest(d)
}

func (l *Loop) sendRequest(d *outbound) {
	l.out = AppendRequest(l.out[:0], d.call.Method, d.call.Addr, d.call.Path, d.call.Type, d.call.Body)
	if _, err := d.conn.Write(l.out); err != nil {
		d.closed = true
		l.finishCall(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, err)})
		_ = d.conn.Close()
	}
}

func (l *Loop) finishCall(d *outbound, a actor.Answer) {
	call := d.call
	if call == nil {
		return
	}
	d.call = nil
	d.callTimer.Stop()
	call.Done(a)
}

func (l *Loop) timeOut(d *outbound) {
	if d.call == nil {
		return
	}
	if d.conn == nil {
		l.finishCall(d, actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("dial timed out"))})
		return
	}
	d.closed = true
	l.finishCall(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("timed out"))})
	_ = d.conn.Close()
}

func (l *Loop) addIdle(d *outbound) {
	d.pool.idle = append(d.pool.idle, d)
	l.sockets.addIdle(d)
	d.idleTimer = l.After(outboundIdleTimeout, func() {
		if d.call == nil && !d.closed {
			d.closeIdle()
		}
	})
}

// removeIdle removes a connection from the idle ones.
func (p *pool) removeIdle(d *outbound) {
	for i, x := range p.idle {
		if x == d {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// closeIdle closes a connection that has no call in progress.
func (d *outbound) closeIdle() {
	d.closed = true
	d.idleTimer.Stop()
	d.pool.removeIdle(d)
	_ = d.conn.Close()
}

func (l *Loop) outboundClosed(d *outbound, c gnet.Conn) {
	d.closed = true
	l.sockets.outboundClosed(d)
	d.idleTimer.Stop()
	d.pool.removeIdle(d)
	if d.call != nil {
		if b, err := c.Peek(c.InboundBuffered()); err == nil && len(b) > 0 {
			if st, body, _, n, err := ParseResponse(b, true); err == nil && n > 0 {
				l.finishCall(d, actor.Answer{Status: st, Body: body})
				return
			}
		}
		l.finishCall(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("connection closed"))})
	}
}

func (l *Loop) handleResponse(d *outbound, c gnet.Conn, eof bool) gnet.Action {
	if d.closed {
		return gnet.Close
	}
	b, err := c.Peek(c.InboundBuffered())
	if err != nil {
		return gnet.Close
	}
	if d.call == nil { // an answer without a request
		return gnet.Close
	}
	st, body, closing, n, err := ParseResponse(b, eof)
	if err != nil {
		d.closed = true
		l.finishCall(d, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, err)})
		return gnet.Close
	}
	if n == 0 {
		return gnet.None
	}
	// The body is copied because Done may send another request on this connection.
	body = append([]byte(nil), body...)
	_, _ = c.Discard(n)
	if closing || d.call.DisableKeepAlive {
		d.closed = true
	} else {
		call := d.call
		d.call = nil
		d.callTimer.Stop()
		l.addIdle(d)
		call.Done(actor.Answer{Status: st, Body: body})
		return gnet.None
	}
	l.finishCall(d, actor.Answer{Status: st, Body: body})
	return gnet.Close
}
