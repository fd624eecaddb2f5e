package dev

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// Interface is one of the cluster's protocols.
type Interface string

// The protocols between the cluster's parts.
const (
	Reports Interface = "reports" // workers to controllers
	Orders  Interface = "orders"  // controllers to workers
	Users   Interface = "users"
	State   Interface = "state"
	Cloud   Interface = "cloud"
	Peers   Interface = "peers" // controllers among themselves
)

// interfaceOf returns the interface of the server with the given name.
func interfaceOf(server string) Interface {
	switch {
	case strings.HasPrefix(server, "state"):
		return State
	case strings.HasPrefix(server, "cloud"):
		return Cloud
	case server == "front":
		return Users
	}
	return Orders
}

// controllerOf returns the label of the only controller that calls the named server, or
// "" if the name has none.
func controllerOf(server string) string {
	kind, label, _ := strings.Cut(server, " ")
	if kind != "state" && kind != "cloud" {
		return ""
	}
	return label
}

// Counter counts requests and the bytes of TCP payload in both directions.
type Counter struct {
	messages, toController, fromController atomic.Int64
}

func (c *Counter) message() { c.messages.Add(1) }

// Totals are the values of a Counter at one moment.
type Totals struct {
	Messages       int64 `json:"messages"`
	ToController   int64 `json:"bytes_to_controller"`
	FromController int64 `json:"bytes_from_controller"`
}

// Sub returns what was counted since an earlier moment.
func (t Totals) Sub(earlier Totals) Totals {
	return Totals{t.Messages - earlier.Messages, t.ToController - earlier.ToController, t.FromController - earlier.FromController}
}

// Add returns the sum of two totals.
func (t Totals) Add(x Totals) Totals {
	return Totals{t.Messages + x.Messages, t.ToController + x.ToController, t.FromController + x.FromController}
}

// TrafficKey identifies a Counter by its interface and its controller, which is "" if it
// is unknown.
type TrafficKey struct {
	Interface  Interface
	Controller string
}

// Traffic has all counters of a cluster.
type Traffic struct {
	mu     sync.Mutex
	counts map[TrafficKey]*Counter
}

func newTraffic() *Traffic { return &Traffic{counts: map[TrafficKey]*Counter{}} }

func (t *Traffic) counter(i Interface, controller string) *Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := TrafficKey{i, controller}
	c := t.counts[key]
	if c == nil {
		c = &Counter{}
		t.counts[key] = c
	}
	return c
}

// Totals returns the current values of all counters.
func (t *Traffic) Totals() map[TrafficKey]Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[TrafficKey]Totals{}
	for k, c := range t.counts {
		out[k] = Totals{c.messages.Load(), c.toController.Load(), c.fromController.Load()}
	}
	return out
}

// countingListener counts the bytes of the connections that it accepts. It counts the
// connecting side as the controller.
type countingListener struct {
	net.Listener
	count *Counter
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, &l.count.toController, &l.count.fromController}, nil
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	written, read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
