package sim

import (
	"bytes"
	"errors"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// cut is an interruption of the network between two places.
type cut struct {
	hold  bool
	until time.Duration
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut interrupts the network between two hosts for a while. With hold, messages are
// delivered when the cut ends; otherwise connections are reset.
func (w *World) Cut(a, b string, d time.Duration, hold bool) {
	w.cuts[pair(a, b)] = &cut{hold, w.now + d}
}

// CutZone cuts a zone's controllers and machines off from all hosts outside it.
func (w *World) CutZone(zone string, d time.Duration, hold bool) {
	in, out := []string{}, []string{"state", "cloud", "users"}
	add := func(z, host string) {
		if z == zone {
			in = append(in, host)
		} else {
			out = append(out, host)
		}
	}
	for _, s := range w.nodes {
		add(s.settings.Location, s.host)
	}
	for _, m := range w.Machines() {
		add(m.Zone, m.Name)
	}
	for _, a := range in {
		for _, b := range out {
			w.Cut(a, b, d, hold)
		}
	}
}

// cutBetween is the cut or partition between two hosts, nil if there is none now.
func (w *World) cutBetween(a, b string) *cut {
	c := w.cuts[pair(a, b)]
	if c == nil || w.now >= c.until {
		return w.partitionBetween(a, b)
	}
	return c
}

func (w *World) latency() time.Duration {
	if w.StallOneIn > 0 && w.rng.IntN(w.StallOneIn) == 0 {
		return w.randomSecs(1, 10) * time.Duration(1+w.rng.IntN(12))
	}
	if w.rng.IntN(200) == 0 {
		return w.randomSecs(0.1, 0.4) // a retransmitted packet
	}
	return w.randomSecs(0.0005, 0.003)
}

// host is an endpoint of the simulated network.
type host interface {
	hostName() string
	reachable() bool
	serve(from, method, path string, body []byte, reply func(status int, body []byte))
}

func (w *World) hostAt(addr string) host {
	switch {
	case addr == stateAddr:
		return w.State
	case addr == cloudAddr:
		return w.Cloud
	case addr == ProbeAddr:
		return probe{w}
	}
	for _, s := range w.nodes {
		if s.addr == addr || s.settings.ClusterListen == addr {
			return s
		}
	}
	if m := w.Cloud.byAddr[addr]; m != nil {
		return m
	}
	ip, port, _ := strings.Cut(addr, ":")
	if m := w.Cloud.byHost[ip]; m != nil {
		return &endpoint{m, port}
	}
	return nil
}

// send transmits a request and its answer. Messages that a cut holds arrive when the cut
// ends, even if the sender no longer waits.
func (w *World) send(from string, c actor.Call) {
	if w.transport != nil {
		w.transport.Send(from, c)
		return
	}
	if w.OnSend != nil {
		w.OnSend(from, c)
	}
	finished := false
	finish := func(a actor.Answer) {
		if !finished {
			finished = true
			c.Done(a)
		}
	}
	body := bytes.Clone(c.Body)
	h := w.hostAt(c.Addr)
	if h == nil {
		w.after(c.Timeout, func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	connected := true
	if m := w.Cloud.machines[from]; m != nil && m.outboundBlocked() {
		w.after(w.latency(), func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	if ct := w.cutBetween(from, h.hostName()); ct != nil && !ct.hold {
		w.after(w.latency(), func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	} else if ct != nil && w.rng.IntN(2) == 0 {
		connected = false // no connection was open, and a new one can't be established
	}
	if s, ok := h.(*simNode); ok && !s.up {
		w.after(w.latency(), func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	if e, ok := h.(*endpoint); ok {
		switch {
		case e.m.gone || !e.m.up || e.m.hanging():
			connected = false // the connection is not accepted
		case connected && e.runner() == nil:
			w.after(w.latency(), func() { finish(actor.Answer{Err: errors.Join(actor.ErrNotSent, actor.ErrRefused)}) })
			return
		}
	}
	w.after(c.Timeout, func() {
		if connected {
			finish(actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("timed out"))})
		} else {
			finish(actor.Answer{Err: actor.ErrNotSent})
		}
	})
	if !connected {
		return
	}
	if w.injectMessageFault(from, c, h, body) {
		return
	}
	if w.DuplicateOneIn > 0 && w.rng.IntN(w.DuplicateOneIn) == 0 {
		w.after(w.randomSecs(0.02, 4)*time.Duration(1+w.rng.IntN(15)), func() {
			if m, ok := h.(*Machine); ok && (m.gone || w.now < m.hangUntil) || w.cutBetween(from, h.hostName()) != nil || !h.reachable() {
				return
			}
			h.serve(from, c.Method, c.Path, body, func(int, []byte) {})
		})
	}
	var deliver func()
	deliver = func() {
		if ct := w.cutBetween(from, h.hostName()); ct != nil {
			if ct.hold {
				w.after(ct.until-w.now+w.latency(), deliver)
			} else {
				finish(actor.Answer{Err: actor.ErrNoAnswer})
			}
			return
		}
		if m, ok := h.(*Machine); ok && (m.gone || m.losesInbound()) {
			return
		} else if ok && w.now < m.hangUntil {
			w.after(m.hangUntil-w.now+w.latency(), deliver) // read when the machine resumes
			return
		}
		if !h.reachable() {
			finish(actor.Answer{Err: actor.ErrNoAnswer})
			return
		}
		answered := func() {}
		if s, ok := h.(*simNode); ok {
			answered = s.trackRequest(func() { finish(actor.Answer{Err: actor.ErrNoAnswer}) })
		}
		h.serve(from, c.Method, c.Path, body, func(status int, answer []byte) {
			answered()
			if strings.HasPrefix(from, "n") && w.GarbageOneIn > 0 && w.rng.IntN(w.GarbageOneIn) == 0 {
				answer = []byte([]string{``, `{`, `[]`, `null`, `{"epoch":"x"}`, `"text"`, `{"items":7,"news":{},"hosts":[{"ref":" "}],"hulls":null}`}[w.rng.IntN(7)])
			}
			var deliverAnswer func()
			deliverAnswer = func() {
				if ct := w.cutBetween(from, h.hostName()); ct != nil {
					if ct.hold {
						w.after(ct.until-w.now+w.latency(), deliverAnswer)
					} else {
						finish(actor.Answer{Err: actor.ErrNoAnswer})
					}
					return
				}
				if m := w.Cloud.machines[from]; m != nil && m.losesInbound() {
					return
				}
				finish(actor.Answer{Status: status, Body: answer})
			}
			extra := time.Duration(0)
			if w.AnswerDelay != nil {
				extra = w.AnswerDelay(from, c)
			}
			w.after(extra+w.linkDelay(from, h.hostName())+w.latency(), deliverAnswer)
		})
	}
	extra := time.Duration(0)
	if w.RequestDelay != nil {
		extra = w.RequestDelay(from, c)
	}
	w.after(extra+w.linkDelay(from, h.hostName())+w.latency(), deliver)
}
