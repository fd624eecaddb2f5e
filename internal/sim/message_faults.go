package sim

import (
	"strings"
	"time"

	"brooklb/internal/actor"
)

// This file has faults that may overlap: messages of one sender that are executed late and
// out of order, repeated old reports, machines that receive nothing, an isolated controller.

// delayedMessages are the shares of transactions that are late and of reports that are
// repeated, and until when.
type delayedMessages struct {
	writes, reports           float64
	writesUntil, reportsUntil time.Duration
}

// DelayWrites makes a share of the controllers' transactions get no answer and be executed
// 2 to 12 s later, possibly after newer ones of the same controller.
func (w *World) DelayWrites(share float64, d time.Duration) {
	w.delayed.writes, w.delayed.writesUntil = share, w.now+d
}

// RepeatReports makes a share of the workers' reports arrive a second time, from 2 s to 2.5
// leases later, also at a process or a leader that started since.
func (w *World) RepeatReports(share float64, d time.Duration) {
	w.delayed.reports, w.delayed.reportsUntil = share, w.now+d
}

// LoseInbound loses answers and direct commands to the machine, while its reports arrive.
func (m *Machine) LoseInbound(d time.Duration) {
	m.inboundLostUntil = max(m.inboundLostUntil, m.w.now+d)
}

func (m *Machine) losesInbound() bool { return m.w.now < m.inboundLostUntil }

// BlockOutbound prevents the machine from opening connections to controllers, while direct
// commands reach it and are answered.
func (m *Machine) BlockOutbound(d time.Duration) {
	m.outboundBlockedUntil = max(m.outboundBlockedUntil, m.w.now+d)
}

func (m *Machine) outboundBlocked() bool { return m.w.now < m.outboundBlockedUntil }

// The kinds of hosts between which links can be slow.
const (
	KindNode = iota
	KindMachine
	KindUsers
	KindState
	KindCloud
	kinds
)

func (w *World) hostKind(host string) int {
	switch {
	case host == "state":
		return KindState
	case host == "cloud":
		return KindCloud
	case w.Cloud.machines[host] != nil:
		return KindMachine
	case strings.HasPrefix(host, "n"):
		return KindNode
	}
	return KindUsers
}

// slowLink is the extra delay in seconds of messages between two kinds of hosts, and its end.
type slowLink struct {
	lo, hi float64
	until  time.Duration
}

// SlowLinks delays each message between two kinds of hosts by lo to hi seconds.
func (w *World) SlowLinks(a, b int, lo, hi float64, d time.Duration) {
	w.slowLinks[[2]int{min(a, b), max(a, b)}] = slowLink{lo, hi, w.now + d}
}

func (w *World) linkDelay(a, b string) time.Duration {
	if len(w.slowLinks) == 0 {
		return 0
	}
	x, y := w.hostKind(a), w.hostKind(b)
	if l, ok := w.slowLinks[[2]int{min(x, y), max(x, y)}]; ok && w.now < l.until {
		return w.randomSecs(l.lo, l.hi)
	}
	return 0
}

// Isolate cuts a controller off from the state service and the other controllers, but not
// from workers and users.
func (w *World) Isolate(i int, d time.Duration, hold bool) {
	w.Cut(w.NodeName(i), "state", d, hold)
	w.CutPeers(i, d, hold)
}

// CutPeers cuts a controller off from the other controllers.
func (w *World) CutPeers(i int, d time.Duration, hold bool) {
	for k := range w.nodes {
		if k != i {
			w.Cut(w.NodeName(i), w.NodeName(k), d, hold)
		}
	}
}

// injectMessageFault delays or repeats a request. It reports whether it delayed the
// request, which then gets no answer.
func (w *World) injectMessageFault(from string, c actor.Call, h host, body []byte) bool {
	l := &w.delayed
	if w.now < l.writesUntil && strings.HasPrefix(c.Path, "/commit") && w.rng.Float64() < l.writes {
		w.after(w.randomSecs(2, 12), func() { h.serve(from, c.Method, c.Path, body, func(int, []byte) {}) })
		return true
	}
	if w.now < l.reportsUntil && c.Path == "/hello" && w.rng.Float64() < l.reports {
		w.after(w.randomSecs(2, 2.5*w.lease().Seconds()), func() {
			if h.reachable() {
				h.serve(from, c.Method, c.Path, body, func(int, []byte) {})
			}
		})
	}
	return false
}

func (w *World) lease() time.Duration {
	if w.cfg.Lease > 0 {
		return w.cfg.Lease
	}
	return 30 * time.Second
}

func (w *World) cancelDeadline() time.Duration {
	if w.cfg.Cancel > 0 {
		return w.cfg.Cancel
	}
	return 58 * time.Second
}

// backend is the load balancer's view of a node.
type backend struct {
	healthy, known      bool
	successes, failures int
	unhealthySince      time.Duration // when it was marked unhealthy
	readmitAfter        time.Duration // before it is marked healthy again
}

// StartLoadBalancer starts a load balancer that checks the health of all nodes once a
// second, as the protocol requires. Users stay with the node of their connection until the
// connection is reset or the node has been unhealthy for 5 s.
func (w *World) StartLoadBalancer() {
	w.backends = make([]backend, len(w.nodes))
	var probe func()
	probe = func() {
		w.after(time.Second, probe)
		for i := range w.nodes {
			w.send("lb", actor.Call{Addr: w.nodes[i].addr, Method: "GET", Path: "/healthz", Timeout: time.Second, Done: func(a actor.Answer) {
				w.backends[i].recordCheck(w.now, a.Err == nil && a.Status == 200)
			}})
		}
	}
	w.after(0, probe)
}

// recordCheck counts a health check. Two failures in a row mark the node unhealthy; two
// successes in a row mark it healthy again once readmitAfter has passed. That time is 3 s,
// and doubles up to a minute if the node becomes unhealthy again within 2 minutes.
func (b *backend) recordCheck(now time.Duration, ok bool) {
	switch {
	case ok:
		b.successes, b.failures = b.successes+1, 0
		if !b.healthy && (!b.known || b.successes >= 2 && now-b.unhealthySince >= b.readmitAfter) {
			b.healthy, b.known = true, true
		}
	default:
		b.successes, b.failures = 0, b.failures+1
		if b.healthy && b.failures >= 2 {
			if now-b.unhealthySince < 2*time.Minute {
				b.readmitAfter = min(time.Minute, max(3*time.Second, 2*b.readmitAfter))
			} else {
				b.readmitAfter = 3 * time.Second
			}
			b.healthy, b.unhealthySince = false, now
		}
	}
}

// connectedNode is the node that the job's user is connected to through the load balancer.
func (w *World) connectedNode(j *userJob) *simNode {
	if j.connected {
		if b := &w.backends[j.nodeIndex]; w.nodes[j.nodeIndex].up && (b.healthy || w.now-b.unhealthySince < 5*time.Second) {
			return w.nodes[j.nodeIndex]
		}
	}
	var candidates []int
	for i := range w.nodes {
		if w.backends[i].healthy && w.nodes[i].up {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		j.connected = false
		return w.nodes[w.rng.IntN(len(w.nodes))]
	}
	j.nodeIndex, j.connected = candidates[w.rng.IntN(len(candidates))], true
	return w.nodes[j.nodeIndex]
}

// maxUnanswered is the longest time for which all polls of a job may stay unanswered once
// all injected faults are over.
const maxUnanswered = 75 * time.Second

// recordUnanswered records a poll of the job that was not answered.
func (w *World) recordUnanswered(j *userJob) {
	j.connected = j.connected && w.rng.IntN(2) == 0
	if j.unansweredSince == 0 {
		j.unansweredSince = w.now
	}
	if since := max(j.unansweredSince, w.FaultsEndAt); w.FaultsEndAt > 0 && w.now-since > maxUnanswered && !j.silenceReported {
		j.silenceReported = true
		w.reportViolation("forgotten", "no poll of %s was answered since %.1f s, and all faults ended at %.1f s", j.id, j.unansweredSince.Seconds(), w.FaultsEndAt.Seconds())
	}
}
