// Package sim is the repository's own simulated world: stand-ins for the state
// service, the cloud, workers and users, written from the protocol, and a
// network that delays, holds and resets what is sent. It runs several
// controllers in one thread from a seed, and checks every rule of the protocol
// against the stand-ins' own truth, never against what the service believes.
package sim

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/settings"
	"brooklb/internal/units"
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
	// MeterCPU measures the processor time that each simulated controller takes; the caller
	// keeps the world to one thread.
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

func (w *World) broke(rule, format string, a ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%8.3f %s: %s", w.now.Seconds(), rule, fmt.Sprintf(format, a...)))
}

func (w *World) secs(lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*w.rng.Float64()) * float64(time.Second))
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
