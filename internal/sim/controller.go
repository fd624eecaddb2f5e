package sim

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/forward"
	"brooklb/internal/httpx"
	"brooklb/internal/node"
	"brooklb/internal/peer"
	"brooklb/internal/procstat"
	"brooklb/internal/settings"

	"github.com/fxamacker/cbor/v2"
)

// simNode is one controller's process.
type simNode struct {
	w      *World
	host   string
	addr   string
	set    *settings.Settings
	n      *node.Node
	gen    int
	up     bool
	since  time.Duration
	timers actor.Timers
	rng    *rand.Rand
	armed  time.Duration
	alarm  int // the event that will run the timers; 0: none
	alarms int
	skew   float64
	// open are the requests that it has not answered, each with what its caller sees
	// when the process ends.
	open   map[int]func()
	opened int
	// The process is paused until frozen; alive is when it last ran.
	frozen time.Duration
	alive  time.Duration
	busy   time.Duration // how long it has computed (Config.MeterCPU)
}

type nodeEnv struct {
	s   *simNode
	gen int
}

func (e *nodeEnv) Now() time.Duration {
	return time.Duration(float64(e.s.w.now-e.s.since) * e.s.skew)
}

func (e *nodeEnv) Wall() time.Time { return time.Unix(1700000000, 0).Add(e.s.w.now) }

func (e *nodeEnv) Rand() *rand.Rand { return e.s.rng }

func (e *nodeEnv) Log() *slog.Logger {
	return e.s.w.log.With("node", e.s.host, "t", fmt.Sprintf("%.3f", e.s.w.now.Seconds()))
}

func (e *nodeEnv) After(d time.Duration, f func()) *actor.Timer {
	t := e.s.timers.Add(e.Now()+d, f)
	e.s.arm()
	return t
}

func (e *nodeEnv) Call(c actor.Call) {
	gen := e.gen
	done := c.Done
	c.Done = func(a actor.Answer) {
		e.s.run(gen, func() { done(a) })
	}
	e.s.w.send(e.s.host, c)
}

// Freeze has a controller be paused while its clocks run on. What is sent to
// it waits.
func (w *World) Freeze(i int, d time.Duration) {
	s := w.nodes[i]
	if s.up {
		s.frozen = max(s.frozen, w.now+d)
	}
}

// run does f in the node's process, now or when it goes on. Like the real loop
// it notices first that it was paused.
func (s *simNode) run(gen int, f func()) {
	if s.gen != gen || !s.up {
		return
	}
	if s.w.now < s.frozen {
		s.w.after(s.frozen-s.w.now, func() { s.run(gen, f) })
		return
	}
	gap := s.w.now - s.alive
	s.alive = s.w.now
	if s.w.cfg.MeterCPU {
		began := procstat.ThreadCPU()
		defer func() { s.busy += procstat.ThreadCPU() - began }()
	}
	if gap >= actor.LongPause {
		s.n.Paused(gap)
	}
	f()
	s.arm()
}

func (s *simNode) arm() {
	at, ok := s.timers.Next()
	if !ok || (s.alarm != 0 && at >= s.armed) {
		return
	}
	s.armed = at
	s.alarms++
	s.alarm = s.alarms
	gen, alarm := s.gen, s.alarm
	env := &nodeEnv{s, gen}
	s.w.after(time.Duration(float64(at-env.Now())/s.skew)+time.Millisecond, func() {
		s.run(gen, func() {
			if s.alarm == alarm {
				s.alarm = 0
				s.timers.Run(env.Now())
			}
		})
	})
}

// Crash ends a controller; it is back after the delay.
func (w *World) Crash(i int, back time.Duration) {
	s := w.nodes[i]
	if !s.up {
		return
	}
	s.up = false
	s.gen++
	for _, k := range slices.Sorted(maps.Keys(s.open)) {
		w.after(w.latency(), s.open[k]) // its connections are reset
	}
	s.open = nil
	w.after(back, func() { w.boot(i) })
}

func (w *World) boot(i int) {
	s := w.nodes[i]
	s.up, s.since, s.alarm, s.frozen, s.alive = true, w.now, 0, 0, w.now
	s.timers = actor.Timers{}
	s.gen++
	opt := node.Options{Rollouts: true, Units: true, Declared: w.cfg.Declared, Sharing: settings.DefaultSharing()}
	if w.cfg.NoFloors {
		opt.Sharing = nil
	}
	s.n = node.New(&nodeEnv{s, s.gen}, s.set, opt)
	s.n.Start()
	s.arm()
}

// Shares is how many changes a second the controllers that are up would make
// together, each by what it holds.
func (w *World) Shares() float64 {
	sum := 0.0
	for _, s := range w.nodes {
		if s.up {
			sum += s.n.Share()
		}
	}
	return sum
}

// withoutParts is a status as an older program says or reads it.
func withoutParts(b []byte) []byte {
	var m map[int]any
	if cbor.Unmarshal(b, &m) != nil {
		return b
	}
	for k := range m {
		if k >= 8 {
			delete(m, k)
		}
	}
	out, err := cbor.Marshal(m)
	if err != nil {
		panic("sim: " + err.Error())
	}
	return out
}

// Leader is the index of the node that leads, -1 if none does.
func (w *World) Leader() int {
	best, at := -1, uint64(0)
	for i, s := range w.nodes {
		if s.up {
			if tok, ok := s.n.Leading(); ok && tok > at {
				best, at = i, tok
			}
		}
	}
	return best
}

// Roll restarts all controllers, one after the other.
func (w *World) Roll(every, back time.Duration) {
	for i := range w.nodes {
		w.after(time.Duration(i)*every, func() { w.Crash(i, back) })
	}
}

// took notes a request whose caller sees a reset if the process ends before it has
// answered.
func (s *simNode) took(reset func()) (answered func()) {
	if s.open == nil {
		s.open = map[int]func(){}
	}
	s.opened++
	k := s.opened
	s.open[k] = reset
	return func() { delete(s.open, k) }
}

func (s *simNode) hostName() string { return s.host }

func (s *simNode) reachable() bool { return s.up }

func (s *simNode) serve(from, method, path string, body []byte, reply func(int, []byte)) {
	gen := s.gen
	p, q, _ := strings.Cut(path, "?")
	older := s.w.Older[s.host] || s.w.Older[from]
	if older && p == peer.StatusPath {
		body = withoutParts(body)
	}
	if older && (p == forward.ReportsPath || p == forward.OrdersPath) {
		reply(404, nil)
		return
	}
	s.run(gen, func() {
		s.n.Serve(&httpx.Request{Method: method, Path: p, Query: q, Body: body}, strings.HasPrefix(p, "/peer/"), func(r httpx.Response) {
			if s.gen == gen {
				b := append([]byte(nil), r.Body...)
				if older && p == peer.StatusPath {
					b = withoutParts(b)
				}
				reply(r.Status, b)
			}
		})
	})
}
