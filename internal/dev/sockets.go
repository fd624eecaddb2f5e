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
	// The protocol limits bodies to 64 KiB.
	maxBodyBytes = 64 << 10
	// Requests must outlast a watch of the state service, which blocks for up to a minute.
	requestTimeout = 70 * time.Second
)

// serve starts an HTTP server at an address. It replaces the server with the same name.
func (c *Cluster) serve(name, addr string, h http.HandlerFunc) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("simulated service %s: %w", name, err)
	}
	ln = countingListener{ln, c.traffic.counter(interfaceOf(name), controllerOf(name))}
	s := &http.Server{Handler: h, ReadTimeout: requestTimeout, ReadHeaderTimeout: 10 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	if old := c.servers[name]; old != nil {
		_ = old.Close()
	}
	c.servers[name] = s
	go func() { _ = s.Serve(ln) }()
	return nil
}

// stopServing closes the HTTP server with the name, if there is one.
func (c *Cluster) stopServing(name string) {
	if e := c.servers[name]; e != nil {
		delete(c.servers, name)
		go func() { _ = e.Close() }()
	}
}

// openServers starts the servers of the state service, the cloud and the load balancer.
func (c *Cluster) openServers() error {
	for _, s := range c.world.Settings {
		from := s.Label
		if err := c.serve("state "+from, s.External.State, c.simulatedHandler("state", from)); err != nil {
			return err
		}
		if err := c.serve("cloud "+from, s.External.Cloud, c.simulatedHandler("cloud", from)); err != nil {
			return err
		}
	}
	return c.serve("front", c.cfg.LoadBalancerAddr, c.serveLoadBalancer)
}

type response struct {
	status int
	body   []byte
}

// simulatedHandler passes requests to a simulated service or machine. During a partition,
// requests and responses are delayed until its end or the connection is reset.
func (c *Cluster) simulatedHandler(to, from string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		if err != nil || len(body) > maxBodyBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.traffic.counter(interfaceOf(to), from).message()
		caller := from // "" if the request doesn't show which controller sent it
		got := make(chan response, 1)
		reset := make(chan struct{}, 1)
		c.post(func() {
			if caller == "" {
				caller = c.world.State.LeaderName() // only the leader sends requests to workers
			}
			c.deliver(caller, to, reset, func() {
				c.world.HandleRequest(to, caller, r.Method, r.URL.RequestURI(), body, func(status int, b []byte) {
					c.deliver(to, caller, reset, func() { got <- response{status, bytes.Clone(b)} })
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
		case <-time.After(requestTimeout):
			panic(http.ErrAbortHandler)
		}
	}
}

// deliver calls f when a message between two hosts arrives. It signals reset instead if
// a partition resets the connection.
func (c *Cluster) deliver(from, to string, reset chan struct{}, f func()) {
	until, hold, cut := c.world.CutBetween(from, to)
	switch {
	case !cut && c.cfg.Network == nil:
		f()
	case !cut:
		c.world.At(c.world.Now()+c.cfg.Network.delay(c.world.ZoneOf(from), c.world.ZoneOf(to)), f)
	case hold:
		c.world.At(until, f)
	default:
		select {
		case reset <- struct{}{}:
		default:
		}
	}
}

// Send implements sim.Transport. It sends a worker's or a user's request to a controller.
func (c *Cluster) Send(from string, call actor.Call) {
	to := ""
	for _, k := range c.controllers {
		if k.settings.Bind == call.Addr {
			to = k.settings.Label
		}
	}
	body := bytes.Clone(call.Body)
	if d := c.networkDelay(from, to); d > 0 {
		finish := call.Done
		call.Done = func(a actor.Answer) { c.world.At(c.world.Now()+d, func() { finish(a) }) }
		c.world.At(c.world.Now()+d, func() { c.send(from, to, call, body) })
		return
	}
	c.send(from, to, call, body)
}

func (c *Cluster) send(from, to string, call actor.Call, body []byte) {
	finish := func(a actor.Answer) { c.post(func() { call.Done(a) }) }
	if until, hold, cut := c.world.CutBetween(from, to); cut && hold {
		// The request reaches the controller late, after the partition. The sender gets a
		// time-out and never sees the answer.
		c.world.At(max(until, c.world.Now()), func() { c.sendNow(from, to, call, body, func(actor.Answer) {}) })
		c.world.At(c.world.Now()+call.Timeout, func() { call.Done(actor.Answer{Err: actor.ErrNoAnswer}) })
		return
	} else if cut {
		c.world.At(c.world.Now()+time.Millisecond, func() { call.Done(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	c.sendNow(from, to, call, body, finish)
}

// controllerHTTP is the load balancer's client to the controllers.
var controllerHTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}

// userClient returns the users' HTTP client, which counts the bytes of each controller.
func (c *Cluster) userClient() *http.Client {
	labels := map[string]string{}
	for _, s := range c.world.Settings {
		labels[s.Bind] = s.Label
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		count := c.traffic.counter(Users, labels[addr])
		return countingConn{conn, &count.toController, &count.fromController}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}}
}

// sendNow sends a request without the simulated network. Workers use their own
// connection, users share an HTTP client.
func (c *Cluster) sendNow(from, to string, call actor.Call, body []byte, done func(actor.Answer)) {
	if from != "users" {
		count := c.traffic.counter(Reports, to)
		count.message()
		link := c.links[from]
		if link == nil {
			link = &workerLink{}
			c.links[from] = link
		}
		go func() { done(link.roundTrip(call, body, count)) }()
		return
	}
	c.traffic.counter(Users, to).message()
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), call.Timeout)
		defer stop()
		req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Addr+call.Path, bytes.NewReader(body))
		if err != nil {
			done(actor.Answer{Err: errors.Join(actor.ErrNotSent, err)})
			return
		}
		resp, err := c.userHTTP.Do(req)
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

// Up implements sim.Transport. It starts the server of a machine's worker.
func (c *Cluster) Up(m *sim.Machine) {
	if err := c.serve(m.Name, m.Addr, c.simulatedHandler(m.Name, "")); err != nil {
		c.cfg.Log.Error("worker can't listen", "machine", m.Name, "err", err)
	}
}

// Gone implements sim.Transport. It closes the connections of a machine that is gone.
func (c *Cluster) Gone(m *sim.Machine) {
	c.stopServing(m.Name)
	if l := c.links[m.Name]; l != nil {
		delete(c.links, m.Name)
		go l.close()
	}
}

// Listen implements sim.Transport. It starts the HTTP server of a service's instance.
func (c *Cluster) Listen(m *sim.Machine, instance string, port int) {
	if c.world.RefusesConnections(m, instance) {
		return
	}
	host, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		return
	}
	name := m.Name + " " + instance
	err = c.serve(name, net.JoinHostPort(host, strconv.Itoa(port)), func(w http.ResponseWriter, r *http.Request) {
		got := make(chan int, 1)
		gone := make(chan struct{}, 1)
		c.post(func() {
			if !c.world.CheckInstance(m, instance, func(status int) { got <- status }) {
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
		case <-time.After(requestTimeout):
		}
	})
	if err != nil {
		c.cfg.Log.Error("instance can't listen", "machine", m.Name, "instance", instance, "err", err)
	}
}

// Unlisten implements sim.Transport. It stops the HTTP server of a service's instance.
func (c *Cluster) Unlisten(m *sim.Machine, instance string) { c.stopServing(m.Name + " " + instance) }
