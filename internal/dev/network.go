package dev

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"brooklb/internal/settings"
)

// Network has the delays between places. A place is a zone, or "" for hosts that are in
// no zone: users, the cloud and the state service.
type Network struct {
	// Delay returns the one-way delay from one place to another.
	Delay func(from, to string) time.Duration
}

func (n *Network) delay(from, to string) time.Duration {
	if n == nil || n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

// networkDelay returns the one-way delay between two hosts.
func (c *Cluster) networkDelay(from, to string) time.Duration {
	if c.cfg.Network == nil {
		return 0
	}
	return c.cfg.Network.delay(c.world.ZoneOf(from), c.world.ZoneOf(to))
}

// peerNetwork proxies the traffic between controllers, with one listener for each
// directed pair of them, so that it can delay and partition the traffic.
type peerNetwork struct {
	cluster   *Cluster
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]struct{}
	closed    bool
}

// peerPath is the path from one controller to another.
type peerPath struct {
	from, to string // labels
	delay    time.Duration
	target   string
	count    *Counter
}

// openPeerNetwork starts the proxies and puts their addresses into the controllers'
// settings in place of the other controllers' addresses.
func (c *Cluster) openPeerNetwork() error {
	c.network = &peerNetwork{cluster: c, conns: map[net.Conn]struct{}{}}
	for i, s := range c.world.Settings {
		peers := make([]settings.Peer, len(s.Peers))
		for k, p := range s.Peers {
			path := peerPath{from: s.Label, to: p.Label, delay: c.cfg.Network.delay(s.Location, p.Location), target: p.Endpoint, count: c.traffic.counter(Peers, p.Label)}
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d.%d:0", c.loopbackNet, 252, i+1))
			if err != nil {
				return fmt.Errorf("network between controllers: %w", err)
			}
			c.network.listeners = append(c.network.listeners, ln)
			go c.network.accept(ln, path)
			peers[k] = settings.Peer{Label: p.Label, Location: p.Location, Endpoint: ln.Addr().String()}
		}
		s.Peers = peers
	}
	return nil
}

func (n *peerNetwork) accept(ln net.Listener, path peerPath) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go n.proxy(conn, path)
	}
}

// proxy forwards an accepted connection to its target until either side closes.
func (n *peerNetwork) proxy(near net.Conn, path peerPath) {
	if !n.track(near) {
		return
	}
	defer n.closeConn(near)
	if n.isCut(path) {
		return
	}
	far, err := net.DialTimeout("tcp4", path.target, time.Second)
	if err != nil || !n.track(far) {
		return
	}
	defer n.closeConn(far)
	done := make(chan struct{}, 2)
	go n.pipe(far, near, path, done, true)
	go n.pipe(near, far, path, done, false)
	<-done // once one side is closed, the deferred calls close both
}

// chunk is data in transit.
type chunk struct {
	due   time.Time
	bytes []byte
}

// pipe forwards one direction of a connection with the delay of its path.
func (n *peerNetwork) pipe(to, from net.Conn, path peerPath, done chan<- struct{}, requests bool) {
	defer func() { done <- struct{}{} }()
	chunks := make(chan chunk, 64)
	go func() {
		defer close(chunks)
		buffer := make([]byte, 16<<10)
		for {
			k, err := from.Read(buffer)
			if k > 0 {
				chunks <- chunk{time.Now().Add(path.delay), bytes.Clone(buffer[:k])}
			}
			if err != nil {
				return
			}
		}
	}()
	for ch := range chunks {
		time.Sleep(time.Until(ch.due))
		if n.isCut(path) {
			break
		}
		if requests {
			path.count.toController.Add(int64(len(ch.bytes)))
			if bytes.HasPrefix(ch.bytes, []byte("POST ")) {
				path.count.message()
			}
		} else {
			path.count.fromController.Add(int64(len(ch.bytes)))
		}
		if _, err := to.Write(ch.bytes); err != nil {
			break
		}
	}
	_ = from.Close()
	for range chunks { // unblocks the reading goroutine, which then ends
	}
}

// isCut reports whether a partition separates the two controllers or the cluster has ended.
func (n *peerNetwork) isCut(path peerPath) bool {
	got := make(chan bool, 1)
	n.cluster.post(func() {
		_, _, cut := n.cluster.world.CutBetween(path.from, path.to)
		got <- cut
	})
	select {
	case cut := <-got:
		return cut
	case <-n.cluster.done:
		return true
	}
}

// track registers a connection so that close closes it too. It returns false if the
// network is already closed.
func (n *peerNetwork) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return false
	}
	n.conns[conn] = struct{}{}
	return true
}

func (n *peerNetwork) closeConn(conn net.Conn) {
	_ = conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

func (n *peerNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
	for conn := range n.conns {
		_ = conn.Close()
	}
}
