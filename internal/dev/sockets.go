package dev

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/sim"
)

const (
	// Bodies are at most 64 KiB by the protocol.
	mostBody = 64 << 10
	// A watch of the state service blocks for at most a minute.
	longest = 70 * time.Second
)

// hear serves HTTP at an address.
func (c *Cluster) hear(name, addr string, h http.HandlerFunc) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", name, err)
	}
	ln = countingListener{ln, c.traffic.of(interfaceOf(name), controllerOf(name))}
	s := &http.Server{Handler: h, ReadTimeout: longest, ReadHeaderTimeout: 10 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	if old := c.ears[name]; old != nil {
		_ = old.Close()
	}
	c.ears[name] = s
	go func() { _ = s.Serve(ln) }()
	return nil
}

func (c *Cluster) deaf(name string) {
	if e := c.ears[name]; e != nil {
		delete(c.ears, name)
		go func() { _ = e.Close() }()
	}
}

// open opens the sockets of the state service, the cloud and the load balancer.
func (c *Cluster) open() error {
	for _, s := range c.world.Set {
		from := s.Label
		if err := c.hear("state "+from, s.External.State, c.standIn("state", from)); err != nil {
			return err
		}
		if err := c.hear("cloud "+from, s.External.Cloud, c.standIn("cloud", from)); err != nil {
			return err
		}
	}
	return c.hear("front", c.cfg.Front, c.serveFront)
}

type answer struct {
	status int
	body   []byte
}

// standIn hands requests to a stand-in. What a cut holds waits for its end, on the
// way there and back; what it resets is reset.
func (c *Cluster) standIn(to, from string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
		if err != nil || len(body) > mostBody {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.traffic.of(interfaceOf(to), from).message()
		who := from // "": some controller, which of them doesn't show
		got := make(chan answer, 1)
		reset := make(chan struct{}, 1)
		c.post(func() {
			if who == "" {
				who = c.world.State.LeaderName() // only a leader calls workers
			}
			c.cross(who, to, reset, func() {
				c.world.Ask(to, who, r.Method, r.URL.RequestURI(), body, func(status int, b []byte) {
					c.cross(to, who, reset, func() { got <- answer{status, bytes.Clone(b)} })
				})
			})
		})
		select {
		case a := <-got:
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(a.status)
			_, _ = w.Write(a.body)
		case <-reset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
		case <-c.done:
			panic(http.ErrAbortHandler)
		case <-time.After(longest):
			panic(http.ErrAbortHandler)
		}
	}
}

// cross carries something over the network between two hosts.
func (c *Cluster) cross(from, to string, reset chan struct{}, f func()) {
	until, hold, cut := c.world.Between(from, to)
	switch {
	case !cut && c.cfg.Network == nil:
		f()
	case !cut:
		c.world.At(c.world.Now()+c.cfg.Network.delay(c.world.Place(from), c.world.Place(to)), f)
	case hold:
		c.world.At(until, f)
	default:
		select {
		case reset <- struct{}{}:
		default:
		}
	}
}

// Send implements sim.Outside: a worker's or a user's request to a controller.
func (c *Cluster) Send(from string, call actor.Call) {
	to := ""
	for _, k := range c.nodes {
		if k.set.Bind == call.Addr {
			to = k.set.Label
		}
	}
	body := bytes.Clone(call.Body)
	if d := c.distance(from, to); d > 0 {
		finish := call.Done
		call.Done = func(a actor.Answer) { c.world.At(c.world.Now()+d, func() { finish(a) }) }
		c.world.At(c.world.Now()+d, func() { c.send(from, to, call, body) })
		return
	}
	c.send(from, to, call, body)
}

func (c *Cluster) send(from, to string, call actor.Call, body []byte) {
	finish := func(a actor.Answer) { c.post(func() { call.Done(a) }) }
	if until, hold, cut := c.world.Between(from, to); cut && hold {
		// It is given up by then; a report that comes late is as old as it is.
		c.world.At(max(until, c.world.Now()), func() { c.do(from, to, call, body, func(actor.Answer) {}) })
		c.world.At(c.world.Now()+call.Timeout, func() { call.Done(actor.Answer{Err: actor.ErrNoAnswer}) })
		return
	} else if cut {
		c.world.At(c.world.Now()+time.Millisecond, func() { call.Done(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	c.do(from, to, call, body, finish)
}

var web = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}

// userClient is what users send requests with; their bytes are counted.
func (c *Cluster) userClient() *http.Client {
	labels := map[string]string{}
	for _, s := range c.world.Set {
		labels[s.Bind] = s.Label
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		count := c.traffic.of(Users, labels[addr])
		return countingConn{conn, &count.toController, &count.fromController}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

func (c *Cluster) do(from, to string, call actor.Call, body []byte, done func(actor.Answer)) {
	if from != "users" {
		count := c.traffic.of(Reports, to)
		count.message()
		link := c.links[from]
		if link == nil {
			link = &workerLink{}
			c.links[from] = link
		}
		go func() { done(link.roundTrip(call, body, count)) }()
		return
	}
	c.traffic.of(Users, to).message()
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), call.Timeout)
		defer stop()
		req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, bytes.NewReader(body))
		if err != nil {
			done(actor.Answer{Err: errors.Join(actor.ErrNotSent, err)})
			return
		}
		resp, err := c.users.Do(req)
		if err != nil {
			kind := actor.ErrNoAnswer
			if errors.Is(err, syscall.ECONNREFUSED) {
				kind = actor.ErrNotSent
			}
			done(actor.Answer{Err: errors.Join(kind, err)})
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
		if err != nil {
			done(actor.Answer{Err: errors.Join(actor.ErrNoAnswer, err)})
			return
		}
		done(actor.Answer{Status: resp.StatusCode, Body: b})
	}()
}

// Up implements sim.Outside: a machine's worker listens.
func (c *Cluster) Up(m *sim.Machine) {
	if err := c.hear(m.Name, m.Addr, c.standIn(m.Name, "")); err != nil {
		c.cfg.Log.Error("a machine's worker can't listen", "machine", m.Name, "err", err)
	}
}

// Gone implements sim.Outside.
func (c *Cluster) Gone(m *sim.Machine) {
	c.deaf(m.Name)
	if l := c.links[m.Name]; l != nil {
		delete(c.links, m.Name)
		go l.close()
	}
}

// Listen implements sim.Outside: an instance of a service serves HTTP.
func (c *Cluster) Listen(m *sim.Machine, instance string, port int) {
	if c.world.Refuses(m, instance) {
		return
	}
	host, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		return
	}
	name := m.Name + " " + instance
	err = c.hear(name, net.JoinHostPort(host, strconv.Itoa(port)), func(w http.ResponseWriter, r *http.Request) {
		got := make(chan int, 1)
		gone := make(chan struct{}, 1)
		c.post(func() {
			if !c.world.Check(m, instance, func(status int) { got <- status }) {
				gone <- struct{}{}
			}
		})
		select {
		case status := <-got:
			w.WriteHeader(status)
			fmt.Fprintf(w, "{\"instance\":%q}\n", instance)
		case <-gone:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
		case <-c.done:
		case <-time.After(longest):
		}
	})
	if err != nil {
		c.cfg.Log.Error("an instance can't listen", "machine", m.Name, "instance", instance, "err", err)
	}
}

// Unlisten implements sim.Outside.
func (c *Cluster) Unlisten(m *sim.Machine, instance string) { c.deaf(m.Name + " " + instance) }
