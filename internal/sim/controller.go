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

// simNode is the process of one controller.
type simNode struct {
	w          *World
	host       string
	addr       string
	settings   *settings.Settings
	node       *node.Node
	generation int
	up         bool
	startedAt  time.Duration
	timers     actor.Timers
	rng        *rand.Rand
	alarmAt    time.Duration
	alarm      int // identifies the event that will run the timers; 0: none
	alarmCount int
	skew       float64
	// openRequests are the requests that it has not answered, each with the function that
	// resets the caller's connection when the process ends.
	openRequests map[int]func()
	requestCount int
	// The process is paused until frozenUntil; lastRan is when it last ran.
	frozenUntil time.Duration
	lastRan     time.Duration
	cpuTime     time.Duration // processor time that it has used (Config.MeterCPU)
}

type nodeEnv struct {
	node       *simNode
	generation int
}

func (e *nodeEnv) Now() time.Duration {
	return time.Duration(float64(e.node.w.now-e.node.startedAt) * e.node.skew)
}

func (e *nodeEnv) Wall() time.Time { return time.Unix(1700000000, 0).Add(e.node.w.now) }

func (e *nodeEnv) Rand() *rand.Rand { return e.node.rng }

func (e *nodeEnv) Log() *slog.Logger {
	return e.node.w.log.With("node", e.node.host, "t", fmt.Sprintf("%.3f", e.node.w.now.Seconds()))
}

func (e *nodeEnv) After(d time.Duration, f func()) *actor.Timer {
	t := e.node.timers.Add(e.Now()+d, f)
	e.node.armAlarm()
	return t
}

func (e *nodeEnv) Call(c actor.Call) {
	gen := e.generation
	done := c.Done
	c.Done = func(a actor.Answer) {
		e.node.run(gen, func() { done(a) })
	}
	e.node.w.send(e.node.host, c)
}

// Freeze pauses a controller's process for a while. Its clock continues, and requests and
// answers to it wait.
func (w *World) Freeze(i int, d time.Duration) {
	s := w.nodes[i]
	if s.up {
		s.frozenUntil = max(s.frozenUntil, w.now+d)
	}
}

// run executes f in the node's process, now or when a pause ends. Like the real event
// loop it first reports a long pause to the node.
func (s *simNode) run(gen int, f func()) {
	if s.generation != gen || !s.up {
		return
	}
	if s.w.now < s.frozenUntil {
		s.w.after(s.frozenUntil-s.w.now, func() { s.run(gen, f) })
		return
	}
	gap := s.w.now - s.lastRan
	s.lastRan = s.w.now
	if s.w.cfg.MeterCPU {
		began := procstat.ThreadCPU()
		defer func() { s.cpuTime += procstat.ThreadCPU() - began }()
	}
	if gap >= actor.LongPause {
		s.node.Paused(gap)
	}
	f()
	s.armAlarm()
}

// armAlarm schedules an event for the next timer that is due.
func (s *simNode) armAlarm() {
	at, ok := s.timers.Next()
	if !ok || (s.alarm != 0 && at >= s.alarmAt) {
		return
	}
	s.alarmAt = at
	s.alarmCount++
	s.alarm = s.alarmCount
	gen, alarm := s.generation, s.alarm
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

// Crash ends a controller's process and starts it again after the delay.
func (w *World) Crash(i int, back time.Duration) {
	s := w.nodes[i]
	if !s.up {
		return
	}
	s.up = false
	s.generation++
	for _, k := range slices.Sorted(maps.Keys(s.openRequests)) {
		w.after(w.latency(), s.openRequests[k]) // its connections are reset
	}
	s.openRequests = nil
	w.after(back, func() { w.startNode(i) })
}

func (w *World) startNode(i int) {
	s := w.nodes[i]
	s.up, s.startedAt, s.alarm, s.frozenUntil, s.lastRan = true, w.now, 0, 0, w.now
	s.timers = actor.Timers{}
	s.generation++
	opt := node.Options{Rollouts: true, Units: true, Declared: w.cfg.Declared, Sharing: settings.DefaultSharing()}
	if w.cfg.NoMinShares {
		opt.Sharing = nil
	}
	s.node = node.New(&nodeEnv{s, s.generation}, s.settings, opt)
	s.node.Start()
	s.armAlarm()
}

// Shares is how many writes per second the running controllers may make together.
func (w *World) Shares() float64 {
	sum := 0.0
	for _, s := range w.nodes {
		if s.up {
			sum += s.node.Share()
		}
	}
	return sum
}

// withoutNewerFields is a status without the fields that older programs don't know.
func withoutNewerFields(b []byte) []byte {
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

// Leader is the index of the node that leads with the newest token, -1 if none leads.
func (w *World) Leader() int {
	best, at := -1, uint64(0)
	for i, s := range w.nodes {
		if s.up {
			if tok, ok := s.node.Leading(); ok && tok > at {
				best, at = i, tok
			}
		}
	}
	return best
}

// RollingRestart restarts all controllers, one after the other.
func (w *World) RollingRestart(every, back time.Duration) {
	for i := range w.nodes {
		w.after(time.Duration(i)*every, func() { w.Crash(i, back) })
	}
}

// trackRequest records a request until answered is called. If the process ends before, it
// calls reset.
func (s *simNode) trackRequest(reset func()) (answered func()) {
	if s.openRequests == nil {
		s.openRequests = map[int]func(){}
	}
	s.requestCount++
	k := s.requestCount
	s.openRequests[k] = reset
	return func() { delete(s.openRequests, k) }
}

func (s *simNode) hostName() string { return s.host }

func (s *simNode) reachable() bool { return s.up }

func (s *simNode) serve(from, method, path string, body []byte, reply func(int, []byte)) {
	gen := s.generation
	p, q, _ := strings.Cut(path, "?")
	older := s.w.OlderNodes[s.host] || s.w.OlderNodes[from]
	if older && p == peer.StatusPath {
		body = withoutNewerFields(body)
	}
	if older && (p == forward.ReportsPath || p == forward.OrdersPath) {
		reply(404, nil)
		return
	}
	s.run(gen, func() {
		s.node.Serve(&httpx.Request{Method: method, Path: p, Query: q, Body: body}, strings.HasPrefix(p, "/peer/"), func(r httpx.Response) {
			if s.generation == gen {
				b := append([]byte(nil), r.Body...)
				if older && p == peer.StatusPath {
					b = withoutNewerFields(b)
				}
				reply(r.Status, b)
			}
		})
	})
}
