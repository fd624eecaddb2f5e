package dev

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"brooklb/internal/settings"
)

// Network is how far places are from each other. A place is a zone, or "" for what is
// regional: users, the cloud and the state service.
type Network struct {
	// Delay is the way from one place to another.
	Delay func(from, to string) time.Duration
}

func (n *Network) delay(from, to string) time.Duration {
	if n == nil || n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

func (c *Cluster) distance(from, to string) time.Duration {
	if c.cfg.Network == nil {
		return 0
	}
	return c.cfg.Network.delay(c.world.Place(from), c.world.Place(to))
}

// peerNetwork carries what controllers say to each other through listeners of its own, one
// for each pair, so that it takes its time and can be cut.
type peerNetwork struct {
	c         *Cluster
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]struct{}
	closed    bool
}

// peerPath is the way between two controllers.
type peerPath struct {
	from, to string // labels
	delay    time.Duration
	target   string
	count    *Count
}

// openPeerNetwork replaces the addresses under which controllers know each other.
func (c *Cluster) openPeerNetwork() error {
	c.network = &peerNetwork{c: c, conns: map[net.Conn]struct{}{}}
	for i, s := range c.world.Set {
		peers := make([]settings.Peer, len(s.Peers))
		for k, p := range s.Peers {
			path := peerPath{from: s.Label, to: p.Label, delay: c.cfg.Network.delay(s.Location, p.Location), target: p.Endpoint, count: c.traffic.of(Peers, p.Label)}
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s.%d.%d:0", c.net, 252, i+1))
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
		go n.carry(conn, path)
	}
}

func (n *peerNetwork) carry(near net.Conn, path peerPath) {
	if !n.keep(near) {
		return
	}
	defer n.drop(near)
	if n.isCut(path) {
		return
	}
	far, err := net.DialTimeout("tcp4", path.target, time.Second)
	if err != nil || !n.keep(far) {
		return
	}
	defer n.drop(far)
	done := make(chan struct{}, 2)
	go n.pipe(far, near, path, done, true)
	go n.pipe(near, far, path, done, false)
	<-done // a connection that is closed on one side is closed on both
}

// chunk is some bytes on their way.
type chunk struct {
	due   time.Time
	bytes []byte
}

// pipe carries one direction of a connection.
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
	for range chunks { // its reader ends
	}
}

// isCut asks the stand-ins' thread.
func (n *peerNetwork) isCut(path peerPath) bool {
	got := make(chan bool, 1)
	n.c.post(func() {
		_, _, cut := n.c.world.Between(path.from, path.to)
		got <- cut
	})
	select {
	case cut := <-got:
		return cut
	case <-n.c.done:
		return true
	}
}

func (n *peerNetwork) keep(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return false
	}
	n.conns[conn] = struct{}{}
	return true
}

func (n *peerNetwork) drop(conn net.Conn) {
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
