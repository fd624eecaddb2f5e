// Package sim is a deterministic simulation: stand-ins for the state service,
// the cloud, workers and users, written from the protocol, and a network that
// delays, holds and resets messages. It runs several controllers in one thread
// from a seed, and checks the rules of the protocol against the state of the
// stand-ins, never against the controllers' own view.
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

// Config configures a World.
type Config struct {
	Seed  uint64
	Nodes int
	Zones []string
	// NodeZones are the zones of the controllers; nil: all zones.
	NodeZones []string
	// RPS and WriteRPS limit the state service; 0: 150 and 30.
	RPS, WriteRPS float64
	CloudRPS      float64 // 0: 4
	// TxnOps and ValueKB limit the changes of a transaction and the size of a value, 0: 12
	// and 4 KiB. A page of keys has at most PageKeys, 0: 7, since small pages find more
	// faults. Watches that begin before the last KeepChanges changes, 0: 300, are refused.
	TxnOps, ValueKB, PageKeys, KeepChanges int
	// ReportInterval is the mean interval of a worker's reports, 0: 3 s.
	ReportInterval time.Duration
	// CPUShare, MemMB and Sockets are a controller's limits, 0: no limit stated, 125 and 1,000.
	CPUShare, MemMB float64
	Sockets         int
	// MeterCPU measures the processor time of each simulated controller; the caller must
	// lock the world to one operating system thread.
	MeterCPU   bool
	Teams      []settings.Team
	Objectives []settings.Objective
	Capacity   int // on-demand machines, and spot machines, that each zone offers
	Initial    int // machines up at the start
	CPUs       float64
	GPUs       float64
	BootS      float64
	Log        *slog.Logger
	// NoMinShares runs the controllers without minimum shares of teams and classes.
	NoMinShares bool
	// Declared are the counted resources that the operator's file declares.
	Declared []units.Declared
	// Transport connects the stand-ins to real sockets; nil: the network is simulated.
	// With a Transport, Net is the prefix of their loopback addresses, such as "127.20".
	Transport Transport
	Net       string
	// Lease is the workers' lease, 0: 30 s. Cancel is the time within which the tasks of a
	// cancelled job must end, 0: 58 s; the controllers' settings state a time that is
	// longer by CancelOverstatement.
	Lease, Cancel, CancelOverstatement time.Duration
}

// World is one simulation with its stand-ins, controllers and network.
type World struct {
	cfg        Config
	rng        *rand.Rand
	now        time.Duration
	events     eventHeap
	seq        uint64
	Settings   []*settings.Settings
	nodes      []*simNode
	State      *State
	Cloud      *Cloud
	jobs       map[string]*userJob
	gangs      map[string]*gang
	services   map[string]*userService
	units      map[string][]unitCount
	cuts       map[[2]string]*cut
	partitions []partition
	Violations []string
	Started    int
	Done       int
	// Polls counts users' polls, RefusedPolls those that got 503, AnsweredPolls those that
	// got 200.
	Polls, RefusedPolls, AnsweredPolls int
	HealthChecks                       int // that instances of services received
	log                                *slog.Logger
	// One in GarbageOneIn answers to requests of controllers has an invalid body;
	// 0: none.
	GarbageOneIn int
	// One in StallOneIn requests and answers is delayed by up to two minutes, while
	// others pass; 0: none.
	StallOneIn int
	// One in DuplicateOneIn requests arrives a second time, up to a minute later, although
	// the first was executed and answered; 0: none.
	DuplicateOneIn int
	// OnSend is called with every request when it is sent.
	OnSend func(from string, c actor.Call)
	// RequestDelay returns an extra delay of a request, AnswerDelay of its answer.
	RequestDelay, AnswerDelay func(from string, c actor.Call) time.Duration
	transport                 Transport
	// Ops is the history of users' operations on jobs, if RecordOps is set.
	RecordOps bool
	Ops       []Op
	// UserNode returns the node that users send a request to; nil or a negative value:
	// any. SubmitTimeout is how long users retry a submission, 0: without limit.
	// RetryLater counts the submissions that got 429.
	UserNode      func() int
	SubmitTimeout time.Duration
	RetryLater    int
	// OlderNodes are the nodes, by name, whose program knows neither intake allocations nor
	// forwarding: it neither writes nor reads the fields of a status with numbers from 8 on.
	OlderNodes map[string]bool
	// Answered counts, by node, the workers' reports that were answered with 200 in time.
	Answered map[int]int
	// LongestCancelled is the longest time that a task was on its machine after its user
	// received the answer that the job is cancelled.
	LongestCancelled time.Duration
	// KilledByLease counts the tasks that ran when their worker's lease expired.
	KilledByLease int
	// OnStart is called with every start that a worker executes, OnEnd with every job whose
	// last task has completed.
	OnStart func(r *runner)
	OnEnd   func(j *userJob)
	// OnAccepted is called with the time from the first submission of a job to its acceptance.
	OnAccepted func(after time.Duration)
	// OnTask is called with every task event.
	OnTask func(TaskEvent)
	// use is what tasks on machines use, and limits what they may use, by team.
	use    map[string]*teamUse
	limits map[string]settings.Team
	// StartsAfterCancel counts the starts of jobs whose users had received the answer that
	// the job is cancelled.
	StartsAfterCancel int
	delayed           delayedMessages
	slowLinks         map[[2]int]slowLink
	// InvalidRefused counts the invalid submissions that were refused with the expected status.
	InvalidRefused, invalidSent int
	// cancelAtEndShare is the share of jobs that are cancelled as they end, until cancelAtEndUntil.
	cancelAtEndShare float64
	cancelAtEndUntil time.Duration
	// backends is the load balancer's view of the nodes (StartLoadBalancer), nil: there is no
	// load balancer.
	backends []backend
	// FaultsEndAt is when all injected faults are over; from then on the limits maxUnanswered
	// and maxWait apply to jobs. 0: they never apply.
	FaultsEndAt time.Duration
	// LongestWait is the longest time since then that a job was not started while there was room.
	LongestWait time.Duration
	// ExternalUse is the use that the probe of a resource reports; negative: it does not answer.
	ExternalUse int
}

// reportViolation records that a rule was broken.
func (w *World) reportViolation(rule, format string, a ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%8.3f %s: %s", w.now.Seconds(), rule, fmt.Sprintf(format, a...)))
}

// randomSecs returns a random duration between lo and hi seconds.
func (w *World) randomSecs(lo, hi float64) time.Duration {
	return time.Duration((lo + (hi-lo)*w.rng.Float64()) * float64(time.Second))
}

const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
)

// New makes a world and starts its simulated controllers.
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
	cfg.ReportInterval = cmp.Or(cfg.ReportInterval, 3*time.Second)
	cfg.MemMB, cfg.Sockets = cmp.Or(cfg.MemMB, 125), cmp.Or(cfg.Sockets, 1000)
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), jobs: map[string]*userJob{}, gangs: map[string]*gang{}, services: map[string]*userService{}, units: map[string][]unitCount{},
		use: map[string]*teamUse{}, limits: map[string]settings.Team{}, cuts: map[[2]string]*cut{}, slowLinks: map[[2]int]slowLink{}, Answered: map[int]int{}, log: cfg.Log, transport: cfg.Transport}
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
		if cfg.Transport != nil {
			// Each controller has its own address for the same stand-ins, so that they can
			// identify the sender.
			s.Bind, s.ClusterListen = fmt.Sprintf("%s.0.%d:8080", cfg.Net, i+1), fmt.Sprintf("%s.0.%d:8081", cfg.Net, i+1)
			s.External.State, s.External.Cloud = fmt.Sprintf("%s.1.%d:2379", cfg.Net, i+1), fmt.Sprintf("%s.1.%d:8443", cfg.Net, i+1)
		}
		f := &s.Facts
		f.Nodes, f.Zones, f.Teams, f.Objectives = cfg.Nodes, cfg.Zones, cfg.Teams, cfg.Objectives
		f.Workers.ReportS, f.Workers.LeaseS, f.Workers.GangWaitS, f.Workers.GangPeerS, f.Workers.CancelS = cfg.ReportInterval.Seconds(), w.lease().Seconds(), 30, 5, w.cancelDeadline().Seconds()+cfg.CancelOverstatement.Seconds()
		f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = cfg.RPS, cfg.WriteRPS, float64(cfg.ValueKB), cfg.TxnOps
		f.Cloud.RPS, f.Cloud.ListLagS = cfg.CloudRPS, 4
		f.Limits.CPUShare, f.Limits.MemMB, f.Limits.Sockets = cfg.CPUShare, cfg.MemMB, cfg.Sockets
		w.Settings = append(w.Settings, s)
	}
	for i, s := range w.Settings {
		for k, p := range w.Settings {
			if k != i {
				s.Peers = append(s.Peers, settings.Peer{Label: p.Label, Location: p.Location, Endpoint: p.ClusterListen})
			}
		}
		n := &simNode{w: w, host: s.Label, addr: s.Bind, settings: s, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100+i))),
			skew: 1 + (w.rng.Float64()-0.5)*0.001}
		w.nodes = append(w.nodes, n)
		if cfg.Transport == nil {
			w.startNode(i)
		}
	}
	for i := 0; i < cfg.Initial; i++ {
		w.Cloud.create(cfg.Zones[i%len(cfg.Zones)], false, 0.1)
	}
	return w
}

// NodeName is the host name of a controller, as Cut takes it.
func (w *World) NodeName(i int) string { return w.nodes[i].host }

// Machines lists the machines that exist, in the order of their names.
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
