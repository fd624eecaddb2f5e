// Package node wires the actors of one controller together.
package node

import (
	"math"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/admission"
	"brooklb/internal/cancellation"
	"brooklb/internal/fleet"
	"brooklb/internal/forward"
	"brooklb/internal/httpx"
	"brooklb/internal/images"
	"brooklb/internal/intake"
	"brooklb/internal/leader"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/peer"
	"brooklb/internal/placement"
	"brooklb/internal/rollout"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
	"brooklb/internal/units"
	"brooklb/internal/wire"
	"brooklb/internal/workers"
)

// Node is one controller.
type Node struct {
	env        actor.Env
	settings   *settings.Settings
	store      *statestore.Store
	election   *leader.Actor
	admission  *admission.Actor
	rolloutAPI *rollout.Handler
	unitsAPI   *units.Handler
	options    Options
	peers      *peer.Actor
	images     *images.Actor
	term       *term
	// hold is how long a leader may answer workers after the time up to which it certainly
	// knows all cancellations (mayAnswerWorkers).
	hold time.Duration
	// resumedAt is when this process last resumed after a pause. Until then, the silence of the
	// state service was due to the pause.
	resumedAt time.Duration
	// yields counts how often this node has yielded leadership since most workers last reported
	// to it.
	yields int
	// cachedOverview is the last encoded overview, from cachedOverviewAt.
	cachedOverview   []byte
	cachedOverviewAt time.Duration
	// submissionQueue admits submissions. allocationHolder has this node's allocation of the
	// cluster's write rate. peerTimestamps has the last timestamp received from each peer, which
	// a leader echoes. legacyLeaderUntil is the time until which a leader whose program makes no
	// allocations is assumed to lead.
	submissionQueue   *intake.FairQueue
	allocationHolder  *intake.Holder
	peerTimestamps    map[string]uint64
	weight            func(team string) float64
	minShares         *placement.MinShares
	legacyLeaderUntil time.Duration
	// seekingLeader has, by host, when a worker last reported here while looking for the
	// leader.
	seekingLeader map[string]time.Duration
	responder     *cancellation.Responder
	// forwarder forwards reports while another node leads. reporters are the workers that
	// report to this node. spread says whether the newest known leader has all nodes take
	// reports; spreadToken is that leader's token.
	forwarder   *forward.Forwarder
	reporters   *forward.RecentSet
	spread      bool
	spreadToken uint64
	// notForwarded counts the reports that could not be forwarded since the log message of
	// notForwardedLoggedAt.
	notForwarded         int
	notForwardedLoggedAt time.Duration
}

// term is the state of one term of leadership; it exists only while this node leads.
type term struct {
	node *Node
	// token is the token that workers, the cloud and peers see: the revision of the leader key
	// plus the base of a restored cluster.
	token                  uint64
	base                   leader.Base
	ledger                 *ledger.Ledger
	workers                *workers.Actor
	fleet                  *fleet.Actor
	rollouts               *rollout.Actor
	units                  *units.Actor
	queues                 *placement.UnitQueues
	lastUnitsCount         time.Duration
	passScheduled          bool
	closed                 bool
	lastPass               time.Duration
	lastRent               time.Duration
	lastOverviewLog        time.Duration
	lastConsolidation      time.Duration
	lastConsolidationCheck time.Duration // for a job that needs a machine emptied
	// These fields say whether the first starts, the return of the workers and the wait after a
	// restore have been logged, and whether the end of that wait is being recorded.
	startsLogged, workersBackLogged bool
	restoreWaitLogged, settling     bool
	// These maps have the times at which placements to preempt were last searched for a waiting
	// job, on machines that have its image and on all machines.
	lastWarmSearch, lastPreemptSearch map[*ledger.Job]time.Duration
	unplaced                          []*ledger.Job
	holds                             map[*ledger.Machine]*placement.Hold
	objectives                        *placement.Objectives
	// The leader divides the admission of submissions between the nodes. allocations has the
	// newest allocations by node, in thousandths per second, and allocationNumber their number.
	// admitFraction is the factor, at most 1, to which admission is reduced while the leader's
	// writes are behind. blockedClasses lists the teams and classes whose submissions are
	// refused.
	allocator        *intake.Allocator
	cancellations    *cancellation.Tracker
	allocationNumber uint64
	allocations      map[string]uint64
	lastDivided      time.Duration
	admitFraction    float64
	blockedClasses   [][2]string
	// withinMinShare has the jobs that were within the minimum share of their class and team
	// when the minimum shares were last computed.
	withinMinShare map[*ledger.Job]bool
	lastMinShares  time.Duration
	// unprovenSince is since when there is no fresh proof that this node leads, 0 while there
	// is one. unprovenReports counts the reports answered since then.
	unprovenSince   time.Duration
	unprovenReports int
	// sender sends orders through other controllers. moved counts, by controller, the workers
	// that were redirected there since its last status. moveAllowance, as of moveAllowanceAt,
	// limits how many are redirected.
	sender          *forward.Sender
	moved           map[string]int
	moveAllowance   float64
	moveAllowanceAt time.Duration
	// refusingSince is since when workers' reports are refused for lack of a proof that this
	// node leads; 0 while they are answered.
	refusingSince time.Duration
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Options are the features that an operator may turn on beyond the platform's settings.
type Options struct {
	// Rollouts lets users roll out services. A leader continues existing roll-outs even without
	// it.
	Rollouts bool
	// Units lets operators set counted resources; Declared are those in the operator's file.
	Units    bool
	Declared []units.Declared
	// Sharing says how teams and classes share scarce resources. If it is nil, there are no
	// minimum shares, and weights follow the guarantees.
	Sharing *settings.Sharing
}

// New returns a node that is not yet started.
func New(env actor.Env, set *settings.Settings, opt Options) *Node {
	f := &set.Facts
	n := &Node{env: env, settings: set, options: opt, seekingLeader: map[string]time.Duration{}, resumedAt: -time.Hour, notForwardedLoggedAt: -notForwardedLogEvery, peerTimestamps: map[string]uint64{}}
	// A leader that can't reach the state service keeps renewing workers' leases for the hold.
	// The tasks of a job cancelled through another node end at the latest after the hold and
	// one more lease, which must be within cancel_s. The margin of 4 s covers clock drift and
	// delays.
	n.hold = max(500*time.Millisecond, seconds(f.Workers.CancelS-f.Workers.LeaseS-4))
	n.store = statestore.New(env, statestore.Config{Addr: set.External.State, RPS: f.State.RPS, WriteRPS: f.State.WriteRPS,
		Nodes: f.Nodes, TxnOps: f.State.TxnOps, ValueBytes: int(f.State.ValueKB * 1024)})
	n.store.WriteShare = n.Share
	n.images = images.New(env, n.store)
	n.responder = cancellation.NewResponder(n.store)
	n.admission = admission.New(env, n.store, f.Teams, f.Zones)
	n.allocationHolder = intake.NewHolder(env.Rand().Uint64())
	n.weight = opt.Sharing.Weight(f.Teams)
	if opt.Sharing != nil {
		n.minShares = &placement.MinShares{Sharing: opt.Sharing, Weight: n.weight}
	}
	n.submissionQueue = intake.NewFairQueue(env.Rand(), n.weight)
	n.submissionQueue.TryAcquire, n.submissionQueue.Rate = n.store.AdmitSubmission, n.store.SubmissionRate
	n.admission.Queue = n.submissionQueue
	n.rolloutAPI = rollout.NewHandler(env, n.store, f.Teams, f.Zones)
	n.rolloutAPI.Check = n.admission.Check
	var teams []string
	for _, t := range f.Teams {
		teams = append(teams, t.Name)
	}
	n.unitsAPI = units.NewHandler(env, n.store, teams)
	n.unitsAPI.Live = func(name string, holders bool) *wire.UnitsLive {
		if n.term == nil {
			return nil
		}
		return n.term.unitsLive(name, holders)
	}
	n.admission.CheckUnits = func(s *model.Spec) (understood bool, err error) {
		return n.peers.AllCanRead(ledger.UnitsFormat), n.unitsAPI.Check(s)
	}
	n.peers = peer.New(env, set.Peers, n.status)
	n.peers.OnLeader = n.onPeerLeads
	n.peers.OnStatus = n.onPeerStatus
	n.reporters = forward.NewRecentSet(reporterWindow(f.Workers.ReportS))
	n.forwarder = forward.NewForwarder(env, set.Label, n.leaderEndpoint)
	n.forwarder.OnRefused = n.onNotForwarded
	n.rolloutAPI.RolloutsSupported = func() bool { return n.peers.AllCanRead(ledger.ServiceFormat) }
	n.rolloutAPI.BeginningSupported = func() bool { return n.peers.AllRollOut(rollout.Version) }
	n.rolloutAPI.Live = func(name string) (*wire.RolloutLive, string) {
		if n.term == nil {
			return nil, ""
		}
		return n.term.rollouts.Live(name)
	}
	n.admission.Live = n.liveJob
	n.admission.Healthy = n.healthy
	n.admission.Relay = func(r *httpx.Request, done func(httpx.Response, bool)) bool {
		sent := n.env.Now()
		return n.peers.Relay(r, func(resp httpx.Response, ok bool) {
			done(resp, ok && sent >= n.resumedAt) // the answer to a request from before a pause may be outdated
		})
	}
	n.peers.OnUserRequest = func(r *httpx.Request, reply func(httpx.Response)) {
		if !n.admission.Serve(r, true, reply) {
			reply(httpx.Response{Status: 404, Body: wire.Error("no such path")})
		}
	}
	n.store.Subscribe(func(key string, it *statestore.Item) {
		if t := n.term; t != nil && len(key) > len(ledger.JobPrefix) && key[:len(ledger.JobPrefix)] == ledger.JobPrefix {
			t.ledger.ApplyJobRecord(key, it)
		} else if t != nil && strings.HasPrefix(key, rollout.Prefix) {
			t.rollouts.Event(key, it)
		} else if t != nil && strings.HasPrefix(key, units.Prefix) {
			t.units.Event(key, it)
		}
	})
	n.election = leader.New(env, n.store, set.Label, n.beginTerm, n.endTerm)
	n.election.ShouldDefer = func() bool {
		others, _ := n.peers.SeekingWorkers()
		return others >= minWorkersToJudge && n.workersSeekingLeader() == 0
	}
	n.store.OnResync(func() { n.election.Resign("changes of the state service were missed") })
	return n
}

// Start starts the replica of the state service, the election and the exchange with peers.
func (n *Node) Start() {
	n.store.Start()
	n.election.Start()
	n.peers.Start()
}

// Leading returns the election's token and reports whether the node leads.
func (n *Node) Leading() (uint64, bool) { return n.election.Token(), n.term != nil }

// LongestWriteStall is the longest time in this node's term in which starts or ends waited and
// nothing was written. It is 0 if the node does not lead.
func (n *Node) LongestWriteStall() time.Duration {
	if n.term == nil {
		return 0
	}
	return n.term.ledger.LongestWriteStall
}

func (n *Node) status() peer.Status {
	st := peer.Status{Label: n.settings.Label, StateAgeMS: (n.env.Now() - n.store.LastContact()).Milliseconds(), Leading: n.term != nil, SeekingWorkers: n.workersSeekingLeader(),
		JobFormat: ledger.UnitsFormat, RolloutVersion: rollout.Version}
	if n.term != nil {
		st.Token = n.term.token
	}
	n.fillIntake(&st)
	n.fillCancellations(&st)
	n.fillForwarding(&st)
	return st
}

// onPeerLeads ends the term of this node if a peer leads with a higher token. A leader that
// alone can't reach the state service learns this way that another node leads. Otherwise it
// would answer the workers until its hold is over, and the new leader would get no reports and
// yield.
func (n *Node) onPeerLeads(token uint64) {
	if t := n.term; t != nil && token > t.token {
		n.election.Deposed(t.token - t.base.Token)
	}
}

const (
	// A node that can't reach the state service, although a peer can, reports itself unhealthy
	// after this time, so that its users go to other nodes.
	stateCutAfter = 3 * time.Second
	// A node that receives nothing from either the state service or its peers reports itself
	// unhealthy after this time.
	isolatedAfter = 15 * time.Second
)

// healthy reports whether this node should take users' requests. In an outage of the state
// service no other node can serve users better, and a node that reported itself unhealthy would
// come back later than the service does.
func (n *Node) healthy() bool {
	if !n.store.Synced() {
		return false
	}
	silent := n.env.Now() - max(n.store.LastContact(), n.resumedAt)
	if silent >= stateCutAfter && n.peers.OthersReachState(stateCutAfter) {
		return false
	}
	return silent < isolatedAfter || !n.peers.OthersReachState(isolatedAfter) && n.peers.HasRecentStatus()
}

func (n *Node) liveJob(id string) (done, running int, why string, ok bool) {
	if n.term == nil {
		return 0, 0, "", false
	}
	j := n.term.ledger.Jobs[id]
	if j == nil {
		return 0, 0, "", false
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].CurrentPlacement; p != nil && (p.Phase == model.Running || p.Phase == model.Saving) {
			running++
		}
	}
	why = j.StopReason
	if j.WaitReason != "" && (running == 0 || j.RequestsUnits() && placement.Waiting(j)) {
		why = j.WaitReason
	}
	if fault := j.FaultReason(); fault != "" {
		why = fault + "; last: " + j.StopReason
	}
	return j.DoneTasks, running, why, true
}

// Serve implements httpx.Handler.
func (n *Node) Serve(r *httpx.Request, fromPeer bool, reply func(httpx.Response)) {
	if fromPeer {
		if !n.serveForwarding(r, reply) {
			n.peers.Serve(r, reply)
		}
		return
	}
	switch r.Path {
	case wire.PathReport:
		n.report(r, reply)
		return
	case wire.PathOverview:
		if r.Method != "GET" {
			reply(httpx.Response{Status: 405, Body: wire.Error("GET only")})
			return
		}
		// Counting takes time on a small machine, so it is done at most once a second.
		if now := n.env.Now(); n.cachedOverview == nil || now-n.cachedOverviewAt >= time.Second {
			n.cachedOverview, n.cachedOverviewAt = wire.Encode(n.Overview()), now
		}
		reply(httpx.Response{Status: 200, Body: n.cachedOverview})
		return
	}
	if n.admission.Serve(r, false, reply) || n.options.Rollouts && n.rolloutAPI.Serve(r, reply) || n.options.Units && n.unitsAPI.Serve(r, reply) {
		return
	}
	reply(httpx.Response{Status: 404, Body: wire.Error("no such path")})
}

// Paused is called when this process was paused while its clocks ran on, before anything else
// runs. The silence of others during the pause proves nothing about them.
func (n *Node) Paused(gap time.Duration) {
	n.env.Log().Info("process paused", "for_s", roundToTenth(gap.Seconds()), "leading", n.term != nil)
	n.resumedAt = n.env.Now()
	n.store.Paused()
	n.election.Paused()
	n.admission.Paused()
	n.forwarder.AbortPending()
	if t := n.term; t != nil {
		t.workers.Paused(gap)
		t.rollouts.Paused(gap)
		t.units.Paused(gap)
	}
}

func (n *Node) beginTerm(token uint64) {
	f := &n.settings.Facts
	base, _ := leader.ReadBase(n.store) // a node that can't read it does not stand for election
	t := &term{node: n, token: token + base.Token, base: base, lastWarmSearch: map[*ledger.Job]time.Duration{}, lastPreemptSearch: map[*ledger.Job]time.Duration{}, holds: map[*ledger.Machine]*placement.Hold{}, lastConsolidation: -consolidateEvery, objectives: placement.NewObjectives(f.Objectives)}
	t.allocator, t.admitFraction = intake.NewAllocator(n.env.Now(), n.peerLabels(), n.store.FollowerWriteRate()), 1
	t.cancellations = n.newCancellationTracker(t.token)
	t.ledger = ledger.New(n.env, n.store, token, f.Teams)
	t.ledger.AttemptOffset = base.Attempts
	t.fleet = fleet.New(n.env, t.ledger, n.store, token, fleet.Config{RentalID: t.token, CloudAddr: n.settings.External.Cloud, RPS: f.Cloud.RPS, CPUShare: f.Limits.CPUShare,
		ListLag: seconds(f.Cloud.ListLagS), ReportInterval: seconds(f.Workers.ReportS), IdleTimeout: 15 * time.Second, WaitTolerance: 45 * time.Second, Headroom: 0.5})
	warm := n.images.Snapshot()
	t.ledger.RestoreImages = func(m *ledger.Machine) {
		for image, x := range warm[m.Name] {
			m.Images[image], m.ImageGB[image] = x.At, x.GB
		}
	}
	t.units = units.NewActor(n.env, n.store, token, t.ledger.Units, n.options.Declared)
	t.queues = placement.NewUnitQueues()
	t.lastUnitsCount = n.env.Now()
	t.units.Load()
	t.ledger.Load()
	t.rollouts = rollout.New(n.env, t.ledger, n.store, token, rollout.Config{CPUShare: f.Limits.CPUShare, ReportInterval: seconds(f.Workers.ReportS)})
	t.rollouts.OnDeposed = func() { n.election.Deposed(token) }
	t.units.OnDeposed, t.units.OnChange = t.rollouts.OnDeposed, t.schedulePass
	t.workers = workers.New(n.env, t.ledger, t.token, workers.Config{Lease: seconds(f.Workers.LeaseS), Hold: n.hold, ReportInterval: seconds(f.Workers.ReportS)})
	t.rollouts.Load()
	t.workers.OnServiceExit = t.rollouts.Ended
	// Without a fresh proof that this node leads, a job whose start is recorded may have been
	// cancelled. Then nothing is started, not even in answers to reports.
	t.workers.StartsPaused = func() bool { return !t.base.Settled || !n.election.HasProof() }
	t.workers.Proven = n.election.Proven
	t.workers.OnHigherToken = func() { n.election.Deposed(token) }
	t.workers.OnStuckStart = func() {
		n.election.Resign("a revoked start may still reach its worker; only a higher token makes it void")
	}
	t.workers.OnFirstReport = func(*ledger.Machine) { t.schedulePass() }
	t.ledger.OnDeposed = func() { n.election.Deposed(token) }
	t.ledger.OnChange = t.schedulePass
	onDurable := t.ledger.OnDurable
	t.ledger.OnDurable = func(ps []*ledger.Placement) {
		if !t.startsLogged {
			t.startsLogged = true
			n.env.Log().Info("first starts of this term", "after_s", roundToTenth((n.env.Now() - t.workers.Began()).Seconds()))
		}
		onDurable(ps)
	}
	t.fleet.OnChange = t.schedulePass
	t.sender, t.moved = forward.NewSender(n.env, t.token), map[string]int{}
	t.workers.Send = t.send
	n.term = t
	n.env.Log().Info("leading", "token", t.token, "jobs", len(t.ledger.Jobs))
	n.forwarder.Drain(n.answerReport)
	t.tick()
}

func (n *Node) endTerm() {
	if t := n.term; t != nil {
		t.closed = true
		if t.unprovenSince > 0 {
			n.env.Log().Info("led without a fresh proof until now", "token", t.token, "for_s", roundToTenth((n.env.Now() - t.unprovenSince).Seconds()), "reports_answered", t.unprovenReports)
		}
		t.ledger.Close()
		t.workers.Close()
		t.rollouts.Close()
		t.units.Close()
		t.fleet.Close()
		t.sender.Close()
		n.term = nil
	}
}

func (t *term) tick() {
	if t.closed {
		return
	}
	t.node.env.After(250*time.Millisecond, t.tick)
	if t.refusingSince > 0 && t.mayAnswerWorkers() {
		// The workers were silent because this node refused their reports. When that silence
		// counted against them, machines were returned and the leader resigned as soon as a
		// long outage was over.
		t.workers.Paused(t.node.env.Now() - t.refusingSince)
		t.refusingSince = 0
	}
	if t.workersUnreachable() {
		t.node.yields++
		t.node.election.Yield("most workers don't reach this node", min(2*time.Minute, yieldFor<<t.node.yields))
		return
	}
	t.workers.Tick()
	t.workers.RequestStatuses()
	if t.closed {
		return
	}
	if t.node.election.HasProof() {
		// The cloud does not check tokens: a node that may no longer lead must not return
		// machines that another leader uses.
		t.fleet.Tick()
		t.rollouts.Tick()
		t.units.Tick()
	}
	if t.closed {
		return
	}
	t.logProof()
	t.node.store.NoBacklog = t.ledger.WriteBacklogS(model.Low) <= 0
	t.divideAdmission()
	t.decideSpread()
	t.countUnits()
	t.ledger.FlushPending()
	t.logWorkersBack()
	t.logOverview()
	if t.node.env.Now()-t.lastPass > time.Second {
		t.schedulePass()
	}
}

// overviewEvery is how often the leader logs the state of the cluster.
const overviewEvery = 15 * time.Second

// logOverview logs what the machines are doing, which shows the paid machine time that runs no
// tasks.
func (t *term) logOverview() {
	now := t.node.env.Now()
	if now-t.lastOverviewLog < overviewEvery {
		return
	}
	t.lastOverviewLog = now
	m, j := t.countMachinesAndJobs()
	t.node.env.Log().Info("overview", "machines", m.Total, "spot", m.Spot, "booting", m.Booting, "idle", m.Idle, "silent", m.Silent, "leaving", m.Leaving,
		"running", m.Running, "fetching", m.Fetching, "waiting", m.Waiting, "saving", m.Saving, "room", m.Room,
		"jobs", j.Open, "at_fault", j.AtFault, "waiting_jobs", j.Waiting, "waiting_tasks", j.WaitingTasks)
	c := &t.ledger.Changes
	t.node.env.Log().Info("written in this term", "for_s", roundToTenth((now - t.workers.Began()).Seconds()), "starts", c.Starts, "tasks", c.Tasks, "ends", c.Ends,
		"marks", c.StateUpdates, "drops", c.Deletions)
	// In the log, "door" means the admission of submissions, "shut" the number of blocked classes
	// and "floored" the number of jobs within a minimum share.
	t.node.env.Log().Info("door", "ease", roundToTenth(t.admitFraction), "behind_s", roundToTenth(t.ledger.WriteBacklogS(model.Low)), "others_hold", roundToTenth(t.allocator.HeldByOthers(now)), "wanted", roundToTenth(t.node.submissionQueue.ArrivalRate(now)),
		"admitted", roundToTenth(t.node.submissionQueue.AdmissionRate(now)), "refused", t.node.submissionQueue.Refused, "shut", len(t.blockedClasses), "longest_quiet_s", roundToTenth(t.ledger.LongestWriteStall.Seconds()), "floored", len(t.withinMinShare))
	if teams := t.teamUsage(); teams != "" {
		t.node.env.Log().Info("teams", "use", teams)
	}
}

func fractionOf(n, whole model.Resources) float64 {
	if whole.GPUs > 0 {
		return n.GPUs / whole.GPUs
	}
	if whole.CPUs > 0 {
		return n.CPUs / whole.CPUs
	}
	return 0
}

func roundToTenth(x float64) float64 { return math.Round(10*x) / 10 }
