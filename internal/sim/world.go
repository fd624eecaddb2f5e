// Package sim is the repository's own simulated world: stand-ins for the state
// service, the cloud, workers and users, written from the protocol, and a
// network that delays, holds and resets what is sent. It runs several
// controllers in one thread from a seed, and checks every rule of the protocol
// against the stand-ins' own truth, never against what the service believes.
package sim

import (
	"bytes"
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/httpx"
	"brooklb/internal/node"
	"brooklb/internal/peer"
	"brooklb/internal/settings"
	"brooklb/internal/units"

	"github.com/fxamacker/cbor/v2"
)

// Config of a world.
type Config struct {
	Seed  uint64
	Nodes int
	Zones []string
	// NodeZones are where the controllers are; nil: in all zones.
	NodeZones []string
	// RPS and WriteRPS limit the state service; 0: 150 and 30.
	RPS, WriteRPS float64
	CloudRPS      float64 // 0: 4
	// TxnOps and ValueKB limit a transaction's changes and a value, 0: 12 and 4 KiB. A page
	// of keys has at most PageKeys, 0: 7, since small pages find more faults. Watches from
	// before the last KeepChanges changes, 0: 300, are too old.
	TxnOps, ValueKB, PageKeys, KeepChanges int
	// Report is how often workers report, 0: every 3 s.
	Report time.Duration
	// CPUShare, MemMB and Sockets are what a controller may use, 0: unstated, 125 and 1,000.
	CPUShare, MemMB float64
	Sockets         int
	// MeterCPU measures the time that each simulated controller takes.
	MeterCPU   bool
	Teams      []settings.Team
	Objectives []settings.Objective
	Capacity   int // machines of each kind in each zone
	Initial    int // machines up at the start
	CPUs       float64
	GPUs       float64
	BootS      float64
	Log        *slog.Logger
	// NoFloors leaves out the floors of what runs.
	NoFloors bool
	// Declared are the counted resources of the operator's file.
	Declared []units.Declared
	// Outside has the stand-ins on real sockets; nil: all is simulated. Then Net is
	// the part of the loopback network that they have, such as "127.20".
	Outside Outside
	Net     string
	// Lease and Cancel are the workers' lease and the time that a cancellation has, 0: 30 s
	// and 58 s. ToldLonger is by how much longer the controllers think that time to be.
	Lease, Cancel, ToldLonger time.Duration
}

// World is one simulated day.
type World struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	seq      uint64
	Set      []*settings.Settings
	nodes    []*simNode
	State    *State
	Cloud    *Cloud
	jobs     map[string]*userJob
	gangs    map[string]*gang
	services map[string]*userService
	units    map[string][]unitsSet
	cuts     map[[2]string]*cut
	parted   []partition
	Broken   []string
	Started  int
	Done     int
	// Polls counts users' polls, Refused those that got 503, Good those that were answered.
	Polls, Refused, Good int
	Checks               int // of services' health
	log                  *slog.Logger
	// Garbage is how seldom (one in so many) an answer to a controller has a
	// body that makes no sense; 0: never.
	Garbage int
	// Stuck is how seldom (one in so many) a request or an answer is held up
	// alone for up to two minutes, while others pass; 0: never.
	Stuck int
	// Copies is how seldom (one in so many) a request arrives a second time, up to a
	// minute later, though it was carried out and answered; 0: never.
	Copies int
	// OnSend sees every request as it is sent.
	OnSend func(from string, c actor.Call)
	// Delay holds a single request up on its way, Lag a single answer.
	Delay, Lag func(from string, c actor.Call) time.Duration
	outside    Outside
	// Ops is the history of what users asked and were told, if Record is set.
	Record bool
	Ops    []Op
	// Front says to which node users go, nil or less than 0: to any. Patience is for
	// how long they try again, 0: for ever; Turned counts how often they were told to
	// come back later.
	Front    func() int
	Patience time.Duration
	Turned   int
	// Older are the nodes whose program knows nothing of parts: it neither says nor
	// reads what the field numbers from 8 on say.
	Older map[string]bool
	// Answered counts, by node, the reports that were answered with 200 in time.
	Answered map[int]int
	// LongestCancelled is the longest that a task was on its machine after its user was
	// told of the job's cancellation.
	LongestCancelled time.Duration
	// KilledByLease counts the tasks that ran when their worker's lease ran out.
	KilledByLease int
	// OnStart sees every start that is carried out, OnEnd every job whose last task has
	// completed.
	OnStart func(r *runner)
	OnEnd   func(j *userJob)
	// OnAccepted hears how long after its first submission a job was accepted.
	OnAccepted func(after time.Duration)
	// OnTask hears of what happens to tasks.
	OnTask func(TaskEvent)
	// use is what runs, and limits what may run, by team.
	use    map[string]*teamUse
	limits map[string]settings.Team
	// StartsAfterCancel counts the starts of jobs whose users had been told of their
	// cancellation.
	StartsAfterCancel int
	late              lateness
	slow              map[[2]int]slowLink
	// OddRefused counts the jobs that can't run or lack a field and were refused as such.
	OddRefused, oddSent int
	// cancelsAtEnd is the share of jobs that are cancelled as they end, until then.
	cancelsAtEnd      float64
	cancelsAtEndUntil time.Duration
	// balance is how a load balancer takes the nodes to be (Balance), nil: there is none.
	balance []balanced
	// Calm is when all troubles are over, 0: no job is held against silence and mostWait.
	Calm time.Duration
	// LongestWait is the longest that a job was left waiting since then while there was room.
	LongestWait time.Duration
	// Taken is what the probe of a resource answers, less than 0: nothing.
	Taken int
}

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, &event{w.now + max(0, d), w.seq, f})
}

// At runs f at a time of the day.
func (w *World) At(t time.Duration, f func()) { w.after(t-w.now, f) }

// Now is the true time.
func (w *World) Now() time.Duration { return w.now }

// Run plays until the given time, checking the rules after each step.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.f()
	}
	w.now = until
}

func (w *World) broke(rule, format string, a ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%8.3f %s: %s", w.now.Seconds(), rule, fmt.Sprintf(format, a...)))
}

func (w *World) secs(lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*w.rng.Float64()) * float64(time.Second))
}

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
	// The process stands still until frozen; alive is when it last ran.
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
func (e *nodeEnv) Wall() time.Time  { return time.Unix(1700000000, 0).Add(e.s.w.now) }
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

// Freeze has a controller stand still while its clocks run on. What is sent to
// it waits.
func (w *World) Freeze(i int, d time.Duration) {
	s := w.nodes[i]
	if s.up {
		s.frozen = max(s.frozen, w.now+d)
	}
}

// run does f in the node's process, now or when it goes on. Like the real loop
// it notices first that it stood still.
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
		began := time.Now()
		defer func() { s.busy += time.Since(began) }()
	}
	if gap >= actor.Standstill {
		s.n.Stood(gap)
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

type cut struct {
	hold  bool
	until time.Duration
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut interrupts the network between two hosts. With hold, packets are
// delivered when it ends; otherwise connections are reset.
func (w *World) Cut(a, b string, d time.Duration, hold bool) {
	w.cuts[pair(a, b)] = &cut{hold, w.now + d}
}

// CutZone cuts a zone's controllers and machines off from everything outside.
func (w *World) CutZone(zone string, d time.Duration, hold bool) {
	in, out := []string{}, []string{"state", "cloud", "users"}
	add := func(z, host string) {
		if z == zone {
			in = append(in, host)
		} else {
			out = append(out, host)
		}
	}
	for _, s := range w.nodes {
		add(s.set.Location, s.host)
	}
	for _, m := range w.Machines() {
		add(m.Zone, m.Name)
	}
	for _, a := range in {
		for _, b := range out {
			w.Cut(a, b, d, hold)
		}
	}
}

// Roll restarts all controllers, one after the other.
func (w *World) Roll(every, back time.Duration) {
	for i := range w.nodes {
		w.after(time.Duration(i)*every, func() { w.Crash(i, back) })
	}
}

func (w *World) cutBetween(a, b string) *cut {
	c := w.cuts[pair(a, b)]
	if c == nil || w.now >= c.until {
		return w.partitionBetween(a, b)
	}
	return c
}

func (w *World) latency() time.Duration {
	if w.Stuck > 0 && w.rng.IntN(w.Stuck) == 0 {
		return w.secs(1, 10) * time.Duration(1+w.rng.IntN(12))
	}
	if w.rng.IntN(200) == 0 {
		return w.secs(0.1, 0.4) // a lost packet, sent again
	}
	return w.secs(0.0005, 0.003)
}

type host interface {
	hostName() string
	reachable() bool
	serve(from, method, path string, body []byte, reply func(status int, body []byte))
}

func (w *World) find(addr string) host {
	switch {
	case addr == stateAddr:
		return w.State
	case addr == cloudAddr:
		return w.Cloud
	case addr == ProbeAddr:
		return probed{w}
	}
	for _, s := range w.nodes {
		if s.addr == addr || s.set.ClusterListen == addr {
			return s
		}
	}
	if m := w.Cloud.byAddr[addr]; m != nil {
		return m
	}
	ip, port, _ := strings.Cut(addr, ":")
	if m := w.Cloud.byHost[ip]; m != nil {
		return &endpoint{m, port}
	}
	return nil
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
func (s *simNode) reachable() bool  { return s.up }
func (s *simNode) serve(from, method, path string, body []byte, reply func(int, []byte)) {
	gen := s.gen
	p, q, _ := strings.Cut(path, "?")
	older := s.w.Older[s.host] || s.w.Older[from]
	if older && p == peer.Path {
		body = withoutParts(body)
	}
	s.run(gen, func() {
		s.n.Serve(&httpx.Request{Method: method, Path: p, Query: q, Body: body}, strings.HasPrefix(p, "/peer/"), func(r httpx.Response) {
			if s.gen == gen {
				b := append([]byte(nil), r.Body...)
				if older && p == peer.Path {
					b = withoutParts(b)
				}
				reply(r.Status, b)
			}
		})
	})
}

// send carries a request and its answer. What a cut holds arrives when the cut
// ends, whether or not the sender still waits.
func (w *World) send(from string, c actor.Call) {
	if w.outside != nil {
		w.outside.Send(from, c)
		return
	}
	if w.OnSend != nil {
		w.OnSend(from, c)
	}
	finished := false
	finish := func(a actor.Answer) {
		if !finished {
			finished = true
			c.Done(a)
		}
	}
	body := bytes.Clone(c.Body)
	h := w.find(c.Addr)
	if h == nil {
		w.after(c.Timeout, func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	connected := true
	if m := w.Cloud.machines[from]; m != nil && m.mute() {
		w.after(w.latency(), func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	if ct := w.cutBetween(from, h.hostName()); ct != nil && !ct.hold {
		w.after(w.latency(), func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	} else if ct != nil && w.rng.IntN(2) == 0 {
		connected = false // no connection was open: an attempt given up never completes
	}
	if s, ok := h.(*simNode); ok && !s.up {
		w.after(w.latency(), func() { finish(actor.Answer{Err: actor.ErrNotSent}) })
		return
	}
	if e, ok := h.(*endpoint); ok {
		switch {
		case e.m.gone || !e.m.up || e.m.hanging():
			connected = false // nobody completes the connection
		case connected && e.runner() == nil:
			w.after(w.latency(), func() { finish(actor.Answer{Err: errors.Join(actor.ErrNotSent, actor.ErrRefused)}) })
			return
		}
	}
	w.after(c.Timeout, func() {
		if connected {
			finish(actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("timed out"))})
		} else {
			finish(actor.Answer{Err: actor.ErrNotSent})
		}
	})
	if !connected {
		return
	}
	if w.meddle(from, c, h, body) {
		return
	}
	if w.Copies > 0 && w.rng.IntN(w.Copies) == 0 {
		w.after(w.secs(0.02, 4)*time.Duration(1+w.rng.IntN(15)), func() {
			if m, ok := h.(*Machine); ok && (m.gone || w.now < m.hangUntil) || w.cutBetween(from, h.hostName()) != nil || !h.reachable() {
				return
			}
			h.serve(from, c.Method, c.Path, body, func(int, []byte) {})
		})
	}
	var deliver func()
	deliver = func() {
		if ct := w.cutBetween(from, h.hostName()); ct != nil {
			if ct.hold {
				w.after(ct.until-w.now+w.latency(), deliver)
			} else {
				finish(actor.Answer{Err: actor.ErrNoAnswer})
			}
			return
		}
		if m, ok := h.(*Machine); ok && (m.gone || m.deaf()) {
			return
		} else if ok && w.now < m.hangUntil {
			w.after(m.hangUntil-w.now+w.latency(), deliver) // read when it resumes
			return
		}
		if !h.reachable() {
			finish(actor.Answer{Err: actor.ErrNoAnswer})
			return
		}
		answered := func() {}
		if s, ok := h.(*simNode); ok {
			answered = s.took(func() { finish(actor.Answer{Err: actor.ErrNoAnswer}) })
		}
		h.serve(from, c.Method, c.Path, body, func(status int, answer []byte) {
			answered()
			if strings.HasPrefix(from, "n") && w.Garbage > 0 && w.rng.IntN(w.Garbage) == 0 {
				answer = []byte([]string{``, `{`, `[]`, `null`, `{"epoch":"x"}`, `"text"`, `{"items":7,"news":{},"hosts":[{"ref":" "}],"hulls":null}`}[w.rng.IntN(7)])
			}
			var back func()
			back = func() {
				if ct := w.cutBetween(from, h.hostName()); ct != nil {
					if ct.hold {
						w.after(ct.until-w.now+w.latency(), back)
					} else {
						finish(actor.Answer{Err: actor.ErrNoAnswer})
					}
					return
				}
				if m := w.Cloud.machines[from]; m != nil && m.deaf() {
					return
				}
				finish(actor.Answer{Status: status, Body: answer})
			}
			late := time.Duration(0)
			if w.Lag != nil {
				late = w.Lag(from, c)
			}
			w.after(late+w.linkDelay(from, h.hostName())+w.latency(), back)
		})
	}
	late := time.Duration(0)
	if w.Delay != nil {
		late = w.Delay(from, c)
	}
	w.after(late+w.linkDelay(from, h.hostName())+w.latency(), deliver)
}

const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
)

// New makes a world with its controllers running.
func New(cfg Config) *World {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.NodeZones == nil {
		cfg.NodeZones = cfg.Zones
	}
	if cfg.RPS == 0 {
		cfg.RPS, cfg.WriteRPS = 150, 30
	}
	cfg.CloudRPS = cmp.Or(cfg.CloudRPS, 4)
	cfg.TxnOps, cfg.ValueKB = cmp.Or(cfg.TxnOps, 12), cmp.Or(cfg.ValueKB, 4)
	cfg.PageKeys, cfg.KeepChanges = cmp.Or(cfg.PageKeys, 7), cmp.Or(cfg.KeepChanges, 300)
	cfg.Report = cmp.Or(cfg.Report, 3*time.Second)
	cfg.MemMB, cfg.Sockets = cmp.Or(cfg.MemMB, 125), cmp.Or(cfg.Sockets, 1000)
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), jobs: map[string]*userJob{}, gangs: map[string]*gang{}, services: map[string]*userService{}, units: map[string][]unitsSet{},
		use: map[string]*teamUse{}, limits: map[string]settings.Team{}, cuts: map[[2]string]*cut{}, slow: map[[2]int]slowLink{}, Answered: map[int]int{}, log: cfg.Log, outside: cfg.Outside}
	for _, t := range cfg.Teams {
		w.limits[t.Name] = t
	}
	w.after(time.Second, w.watchWaiting)
	w.State = newState(w)
	w.Cloud = newCloud(w)
	for i := 0; i < cfg.Nodes; i++ {
		s := &settings.Settings{Label: fmt.Sprintf("n%d", i), Location: cfg.NodeZones[i%len(cfg.NodeZones)],
			Bind: fmt.Sprintf("10.0.0.%d:8080", i+1), ClusterListen: fmt.Sprintf("10.0.0.%d:8081", i+1)}
		s.External.State, s.External.Cloud = stateAddr, cloudAddr
		if cfg.Outside != nil {
			// Each controller has its own address of the same stand-ins, so that they
			// know who asks.
			s.Bind, s.ClusterListen = fmt.Sprintf("%s.0.%d:8080", cfg.Net, i+1), fmt.Sprintf("%s.0.%d:8081", cfg.Net, i+1)
			s.External.State, s.External.Cloud = fmt.Sprintf("%s.1.%d:2379", cfg.Net, i+1), fmt.Sprintf("%s.1.%d:8443", cfg.Net, i+1)
		}
		f := &s.Facts
		f.Nodes, f.Zones, f.Teams, f.Objectives = cfg.Nodes, cfg.Zones, cfg.Teams, cfg.Objectives
		f.Workers.ReportS, f.Workers.LeaseS, f.Workers.GangWaitS, f.Workers.GangPeerS, f.Workers.CancelS = cfg.Report.Seconds(), w.lease().Seconds(), 30, 5, w.cancelWithin().Seconds()+cfg.ToldLonger.Seconds()
		f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = cfg.RPS, cfg.WriteRPS, float64(cfg.ValueKB), cfg.TxnOps
		f.Cloud.RPS, f.Cloud.ListLagS = cfg.CloudRPS, 4
		f.Limits.CPUShare, f.Limits.MemMB, f.Limits.Sockets = cfg.CPUShare, cfg.MemMB, cfg.Sockets
		w.Set = append(w.Set, s)
	}
	for i, s := range w.Set {
		for k, p := range w.Set {
			if k != i {
				s.Peers = append(s.Peers, settings.Peer{Label: p.Label, Location: p.Location, Endpoint: p.ClusterListen})
			}
		}
		n := &simNode{w: w, host: s.Label, addr: s.Bind, set: s, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100+i))),
			skew: 1 + (w.rng.Float64()-0.5)*0.001}
		w.nodes = append(w.nodes, n)
		if cfg.Outside == nil {
			w.boot(i)
		}
	}
	for i := 0; i < cfg.Initial; i++ {
		w.Cloud.create(cfg.Zones[i%len(cfg.Zones)], false, 0.1)
	}
	return w
}

// NodeName is the host name of a controller, for Cut.
func (w *World) NodeName(i int) string { return w.nodes[i].host }

// Machines lists the machines that exist, in name order.
func (w *World) Machines() []*Machine {
	var out []*Machine
	for _, m := range w.Cloud.machines {
		if !m.gone {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
