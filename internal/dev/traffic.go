package dev

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// Interface is one of the cluster's protocols.
type Interface string

// The interfaces.
const (
	Reports Interface = "reports" // workers to controllers
	Orders  Interface = "orders"  // controllers to workers
	Users   Interface = "users"
	State   Interface = "state"
	Cloud   Interface = "cloud"
	Peers   Interface = "peers" // controllers among themselves
)

// interfaceOf is the interface that a stand-in serves, by its name.
func interfaceOf(standIn string) Interface {
	switch {
	case strings.HasPrefix(standIn, "state"):
		return State
	case strings.HasPrefix(standIn, "cloud"):
		return Cloud
	case standIn == "front":
		return Users
	}
	return Orders
}

// controllerOf is the controller that asks a stand-in with the name, "" if it isn't known.
func controllerOf(standIn string) string {
	kind, label, _ := strings.Cut(standIn, " ")
	if kind != "state" && kind != "cloud" {
		return ""
	}
	return label
}

// Count counts requests, and the bytes of both directions above TCP.
type Count struct {
	messages, toController, fromController atomic.Int64
}

func (c *Count) message() { c.messages.Add(1) }

// Totals are a Count at one moment.
type Totals struct {
	Messages       int64 `json:"messages"`
	ToController   int64 `json:"bytes_to_controller"`
	FromController int64 `json:"bytes_from_controller"`
}

// Sub is what was counted since an earlier moment.
func (t Totals) Sub(earlier Totals) Totals {
	return Totals{t.Messages - earlier.Messages, t.ToController - earlier.ToController, t.FromController - earlier.FromController}
}

// Add sums two totals.
func (t Totals) Add(x Totals) Totals {
	return Totals{t.Messages + x.Messages, t.ToController + x.ToController, t.FromController + x.FromController}
}

// TrafficKey names a counter: an interface and, where it is known, the controller.
type TrafficKey struct {
	Interface  Interface
	Controller string
}

// Traffic is all counters of a cluster.
type Traffic struct {
	mu     sync.Mutex
	counts map[TrafficKey]*Count
}

func newTraffic() *Traffic { return &Traffic{counts: map[TrafficKey]*Count{}} }

func (t *Traffic) of(i Interface, controller string) *Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := TrafficKey{i, controller}
	c := t.counts[k]
	if c == nil {
		c = &Count{}
		t.counts[k] = c
	}
	return c
}

// Totals is what was counted so far.
func (t *Traffic) Totals() map[TrafficKey]Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[TrafficKey]Totals{}
	for k, c := range t.counts {
		out[k] = Totals{c.messages.Load(), c.toController.Load(), c.fromController.Load()}
	}
	return out
}

// countingListener counts what goes over the connections that it accepts: controllers
// opened them.
type countingListener struct {
	net.Listener
	count *Count
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, &l.count.toController, &l.count.fromController}, nil
}

// countingConn counts what is read and written.
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
