package sim

import (
	"strings"
	"time"

	"brooklb/internal/actor"
)

// The troubles that meet: messages of one sender that are carried out late and out of
// order, copies of old reports, machines that hear nothing, a controller that is alone.

// lateness is which messages are late now.
type lateness struct {
	writes, reports           float64
	writesUntil, reportsUntil time.Duration
}

// LateWrites has a share of the controllers' transactions get no answer and be carried
// out 2 to 12 s later, after newer ones of the same controller.
func (w *World) LateWrites(share float64, d time.Duration) {
	w.late.writes, w.late.writesUntil = share, w.now+d
}

// LateReports has copies of a share of the workers' reports arrive again, from 2 s to well
// over a lease later, also at a process or a leader that came since.
func (w *World) LateReports(share float64, d time.Duration) {
	w.late.reports, w.late.reportsUntil = share, w.now+d
}

// Deafen has the machine's reports arrive, while answers and direct commands are lost.
func (m *Machine) Deafen(d time.Duration) { m.deafUntil = max(m.deafUntil, m.w.now+d) }

func (m *Machine) deaf() bool { return m.w.now < m.deafUntil }

// Mute has the machine open no connection to a controller, while direct commands reach it
// and are answered.
func (m *Machine) Mute(d time.Duration) { m.muteUntil = max(m.muteUntil, m.w.now+d) }

func (m *Machine) mute() bool { return m.w.now < m.muteUntil }

// Kinds of hosts, between which links can be slow.
const (
	KindNode = iota
	KindMachine
	KindUsers
	KindState
	KindCloud
	kinds
)

func (w *World) kind(host string) int {
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

// slowLink is for how long what goes between two kinds of hosts takes, each way.
type slowLink struct {
	lo, hi float64
	until  time.Duration
}

// SlowLinks has each message between the kinds of hosts take lo to hi seconds.
func (w *World) SlowLinks(a, b int, lo, hi float64, d time.Duration) {
	w.slow[[2]int{min(a, b), max(a, b)}] = slowLink{lo, hi, w.now + d}
}

func (w *World) linkDelay(a, b string) time.Duration {
	if len(w.slow) == 0 {
		return 0
	}
	x, y := w.kind(a), w.kind(b)
	if l, ok := w.slow[[2]int{min(x, y), max(x, y)}]; ok && w.now < l.until {
		return w.secs(l.lo, l.hi)
	}
	return 0
}

// Alone cuts a controller off from the state service and the other controllers, not from
// workers and users.
func (w *World) Alone(i int, d time.Duration, hold bool) {
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

// meddle has a message be late, or come a second time; true: it gets no answer.
func (w *World) meddle(from string, c actor.Call, h host, body []byte) bool {
	l := &w.late
	if w.now < l.writesUntil && strings.HasPrefix(c.Path, "/commit") && w.rng.Float64() < l.writes {
		w.after(w.secs(2, 12), func() { h.serve(from, c.Method, c.Path, body, func(int, []byte) {}) })
		return true
	}
	if w.now < l.reportsUntil && c.Path == "/hello" && w.rng.Float64() < l.reports {
		w.after(w.secs(2, 2.5*w.lease().Seconds()), func() {
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

func (w *World) cancelWithin() time.Duration {
	if w.cfg.Cancel > 0 {
		return w.cfg.Cancel
	}
	return 58 * time.Second
}

// balanced is how the load balancer takes a node to be.
type balanced struct {
	healthy, known bool
	good, bad      int
	since          time.Duration // when it was marked unhealthy
	pause          time.Duration // before it is marked healthy again
}

// Balance has a load balancer ask all nodes for their health once a second, as the
// protocol says, and users keep to the node of their connection until that is reset.
func (w *World) Balance() {
	w.balance = make([]balanced, len(w.nodes))
	var probe func()
	probe = func() {
		w.after(time.Second, probe)
		for i := range w.nodes {
			w.send("lb", actor.Call{Addr: w.nodes[i].addr, Method: "GET", Path: "/healthz", Timeout: time.Second, Done: func(a actor.Answer) {
				w.balance[i].heard(w.now, a.Err == nil && a.Status == 200)
			}})
		}
	}
	w.after(0, probe)
}

func (b *balanced) heard(now time.Duration, ok bool) {
	switch {
	case ok:
		b.good, b.bad = b.good+1, 0
		if !b.healthy && (!b.known || b.good >= 2 && now-b.since >= b.pause) {
			b.healthy, b.known = true, true
		}
	default:
		b.good, b.bad = 0, b.bad+1
		if b.healthy && b.bad >= 2 {
			if now-b.since < 2*time.Minute {
				b.pause = min(time.Minute, max(3*time.Second, 2*b.pause))
			} else {
				b.pause = 3 * time.Second
			}
			b.healthy, b.since = false, now
		}
	}
}

// front is the node that the job's user is connected to, through the load balancer.
func (w *World) front(j *userJob) *simNode {
	if j.connected {
		if b := &w.balance[j.front]; w.nodes[j.front].up && (b.healthy || w.now-b.since < 5*time.Second) {
			return w.nodes[j.front]
		}
	}
	var fit []int
	for i := range w.nodes {
		if w.balance[i].healthy && w.nodes[i].up {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		j.connected = false
		return w.nodes[w.rng.IntN(len(w.nodes))]
	}
	j.front, j.connected = fit[w.rng.IntN(len(fit))], true
	return w.nodes[j.front]
}

// silence is for how long no question about a job may go unanswered once all troubles
// are over.
const silence = 75 * time.Second

// unanswered notes a question about the job that was not answered.
func (w *World) unanswered(j *userJob) {
	j.connected = j.connected && w.rng.IntN(2) == 0
	if j.silentSince == 0 {
		j.silentSince = w.now
	}
	if since := max(j.silentSince, w.Calm); w.Calm > 0 && w.now-since > silence && !j.forgotten {
		j.forgotten = true
		w.broke("forgotten", "no question about %s was answered from %.1f s on, all troubles are over since %.1f s", j.id, j.silentSince.Seconds(), w.Calm.Seconds())
	}
}
