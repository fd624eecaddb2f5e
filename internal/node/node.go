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
	env   actor.Env
	set   *settings.Settings
	store *statestore.Store
	elect *leader.Actor
	adm   *admission.Actor
	door  *rollout.Door
	desk  *units.Door
	opt   Options
	peers *peer.Actor
	warm  *images.Actor
	term  *term
	hold  time.Duration
	// woke is when this process last went on after being paused: until then
	// the state service's silence was our own.
	woke time.Duration
	// yields counts how often we gave way since we last heard the workers.
	yields int
	// view is the last overview that was asked for.
	view   []byte
	viewAt time.Duration
	// The door for submissions, what this node holds of what all may take in, the last
	// mark heard of each peer, and until when a leader of an older program is believed
	// to lead.
	gate      *intake.Gate
	holder    *intake.Holder
	marks     map[string]uint64
	weight    func(team string) float64
	floors    *placement.MinShares
	oldLeader time.Duration
	// seekers has the workers that came here looking for the leader.
	seekers map[string]time.Duration
	teller  *cancellation.Teller
	// forwarder passes reports on while another leads; reporters are the workers that
	// report to this node. spread is whether the newest leader has all nodes take reports,
	// spreadToken which one that is.
	forwarder   *forward.Forwarder
	reporters   *forward.Recent
	spread      bool
	spreadToken uint64
	// notPassed counts the reports that were not passed on since the log said so.
	notPassed     int
	notPassedTold time.Duration
}

// term is everything that exists only while this node leads.
type term struct {
	n *Node
	// token is what workers, the cloud and peers know; the leader key's revision, to
	// which a restored cluster's base is added.
	token     uint64
	base      leader.Base
	led       *ledger.Ledger
	workers   *workers.Actor
	fleet     *fleet.Actor
	rollouts  *rollout.Actor
	units     *units.Actor
	queues    *placement.UnitQueues
	lastCount time.Duration
	scheduled bool
	closed    bool
	lastPass  time.Duration
	lastRent  time.Duration
	lastView  time.Duration
	lastMoves time.Duration
	lastLook  time.Duration // for a reason to consolidate
	// What of a takeover has been reported: first starts, workers back.
	started, back  bool
	told, settling bool
	// When something to stop was last looked for, for jobs that wait: on
	// machines with their image, and anywhere.
	cleared, preempted map[*ledger.Job]time.Duration
	left               []*ledger.Job
	holds              map[*ledger.Machine]*placement.Hold
	aims               *placement.Objectives
	// What all nodes take in: how it is divided, by how much it is eased, what is shut.
	issuer  *intake.Issuer
	ends    *cancellation.Listener
	issue   uint64
	parts   map[string]uint64
	divided time.Duration
	ease    float64
	shut    [][2]string
	// floored are the jobs that were within a floor in the last pass.
	floored    map[*ledger.Job]bool
	lastFloors time.Duration
	// Since when there is no fresh proof that this node leads, and how many reports were
	// answered since.
	unsure   time.Duration
	unproven int
	// sender gives orders by way of other controllers. moved counts, by controller, the
	// workers that were sent there since its last status; movedAt and moving limit how
	// many are.
	sender  *forward.Sender
	moved   map[string]int
	moving  float64
	movedAt time.Duration
	// sentAway is since when workers were refused for want of a proof, 0: they are not.
	sentAway time.Duration
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Options are what an operator may turn on beyond the platform's settings.
type Options struct {
	// Rollouts lets users roll out services. A leader moves roll-outs on that are
	// there in any case.
	Rollouts bool
	// Units lets operators set counted resources; Declared are those of their file.
	Units    bool
	Declared []units.Declared
	// Sharing is how teams and classes share what is short; nil: no floors, weights by
	// guarantees.
	Sharing *settings.Sharing
}

// New makes a node; Start sets it going.
func New(env actor.Env, set *settings.Settings, opt Options) *Node {
	f := &set.Facts
	n := &Node{env: env, set: set, opt: opt, seekers: map[string]time.Duration{}, woke: -time.Hour, notPassedTold: -refusedEvery, marks: map[string]uint64{}}
	// A leader that can't reach the state service may keep workers' leases
	// alive for so long that a job cancelled through another node is still gone
	// in time: the hold, then a lease, with a margin for drift and delays.
	n.hold = max(500*time.Millisecond, seconds(f.Workers.CancelS-f.Workers.LeaseS-4))
	n.store = statestore.New(env, statestore.Config{Addr: set.External.State, RPS: f.State.RPS, WriteRPS: f.State.WriteRPS,
		Nodes: f.Nodes, TxnOps: f.State.TxnOps, ValueBytes: int(f.State.ValueKB * 1024)})
	n.store.Share = n.Share
	n.warm = images.New(env, n.store)
	n.teller = cancellation.NewTeller(n.store)
	n.adm = admission.New(env, n.store, f.Teams, f.Zones)
	n.holder = intake.NewHolder(env.Rand().Uint64())
	n.weight = opt.Sharing.Weight(f.Teams)
	if opt.Sharing != nil {
		n.floors = &placement.MinShares{Sharing: opt.Sharing, Weight: n.weight}
	}
	n.gate = intake.NewGate(env.Rand(), n.weight)
	n.gate.Room, n.gate.Rate = n.store.DoorOpen, n.store.DoorRate
	n.adm.Gate = n.gate
	n.door = rollout.NewDoor(env, n.store, f.Teams)
	n.door.Check = n.adm.Check
	var teams []string
	for _, t := range f.Teams {
		teams = append(teams, t.Name)
	}
	n.desk = units.NewDoor(env, n.store, teams)
	n.desk.Live = func(name string, holders bool) *wire.UnitsLive {
		if n.term == nil {
			return nil
		}
		return n.term.unitsLive(name, holders)
	}
	n.adm.Units = func(s *model.Spec) (understood bool, err error) {
		return n.peers.AllRead(ledger.UnitsFormat), n.desk.Check(s)
	}
	n.peers = peer.New(env, set.Peers, n.status)
	n.peers.OnLeader = n.newer
	n.peers.OnStatus = n.heard
	n.reporters = forward.NewRecent(reportersFor(f.Workers.ReportS))
	n.forwarder = forward.NewForwarder(env, set.Label, n.leaderEndpoint)
	n.forwarder.Refused = n.notPassedOn
	n.door.Understood = func() bool { return n.peers.AllRead(ledger.ServiceFormat) }
	n.door.Live = func(name string) (*wire.RolloutLive, string) {
		if n.term == nil {
			return nil, ""
		}
		return n.term.rollouts.Live(name)
	}
	n.adm.Live = n.live
	n.adm.Healthy = n.healthy
	n.adm.Elsewhere = func(r *httpx.Request, done func(httpx.Response, bool)) bool {
		sent := n.env.Now()
		return n.peers.Relay(r, func(resp httpx.Response, ok bool) {
			done(resp, ok && sent >= n.woke) // true then; others may have told users more since
		})
	}
	n.peers.OnUser = func(r *httpx.Request, reply func(httpx.Response)) {
		if !n.adm.Serve(r, true, reply) {
			reply(httpx.Response{Status: 404, Body: wire.Error("no such path")})
		}
	}
	n.store.Subscribe(func(key string, it *statestore.Item) {
		if t := n.term; t != nil && len(key) > len(ledger.JobPrefix) && key[:len(ledger.JobPrefix)] == ledger.JobPrefix {
			t.led.JobEvent(key, it)
		} else if t != nil && strings.HasPrefix(key, rollout.Prefix) {
			t.rollouts.Event(key, it)
		} else if t != nil && strings.HasPrefix(key, units.Prefix) {
			t.units.Event(key, it)
		}
	})
	n.elect = leader.New(env, n.store, set.Label, n.lead, n.lose)
	n.elect.Reluctant = func() bool {
		others, _ := n.peers.Workers()
		return others >= fewWorkers && n.seeking() == 0
	}
	n.store.OnResync(func() { n.elect.Resign("changes of the state service were missed") })
	return n
}

// Start begins to work.
func (n *Node) Start() {
	n.store.Start()
	n.elect.Start()
	n.peers.Start()
}

// Leading reports whether the node leads, and its token.
func (n *Node) Leading() (uint64, bool) { return n.elect.Token(), n.term != nil }

// Quiet is the longest time of this node's term in which starts or ends waited to be
// written and nothing was.
func (n *Node) Quiet() time.Duration {
	if n.term == nil {
		return 0
	}
	return n.term.led.Quiet
}

func (n *Node) status() peer.Status {
	st := peer.Status{Label: n.set.Label, State: (n.env.Now() - n.store.Contact()).Milliseconds(), Leading: n.term != nil, Workers: n.seeking(), Reads: ledger.UnitsFormat}
	if n.term != nil {
		st.Token = n.term.token
	}
	n.tellParts(&st)
	n.tellEnds(&st)
	n.tellForwarding(&st)
	return st
}

// newer hears of a leader. One that the state service refuses alone learns only
// so that another leads; it would answer the workers until its hold is over, and
// the new leader would hear nobody and give way (tbilisi grown, apart).
func (n *Node) newer(token uint64) {
	if t := n.term; t != nil && token > t.token {
		n.elect.Deposed(t.token - t.base.Token)
	}
}

const (
	// A node that the state service alone refuses sends its users elsewhere
	// after this long.
	aloneFor = 3 * time.Second
	// A node that hears nothing of anybody does so after this long.
	lostFor = 15 * time.Second
)

// healthy tells whether users are better off here than elsewhere. In an outage
// of the state service they are no better off anywhere, and a node that called
// itself unhealthy would only come back later than the service does.
func (n *Node) healthy() bool {
	if !n.store.Synced() {
		return false
	}
	silent := n.env.Now() - max(n.store.Contact(), n.woke)
	if silent >= aloneFor && n.peers.OthersReachState(aloneFor) {
		return false
	}
	return silent < lostFor || !n.peers.OthersReachState(lostFor) && n.peers.Heard()
}

func (n *Node) live(id string) (done, running int, why string, ok bool) {
	if n.term == nil {
		return 0, 0, "", false
	}
	j := n.term.led.Jobs[id]
	if j == nil {
		return 0, 0, "", false
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].P; p != nil && (p.Phase == model.Running || p.Phase == model.Saving) {
			running++
		}
	}
	why = j.Why
	if j.Waits != "" && (running == 0 || j.Asks() && placement.Waiting(j)) {
		why = j.Waits
	}
	if fault := j.Fault(); fault != "" {
		why = fault + "; last: " + j.Why
	}
	return j.NDone, running, why, true
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
		// Counting takes time on a small machine: at most once a second.
		if now := n.env.Now(); n.view == nil || now-n.viewAt >= time.Second {
			n.view, n.viewAt = wire.Encode(n.Overview()), now
		}
		reply(httpx.Response{Status: 200, Body: n.view})
		return
	}
	if n.adm.Serve(r, false, reply) || n.opt.Rollouts && n.door.Serve(r, reply) || n.opt.Units && n.desk.Serve(r, reply) {
		return
	}
	reply(httpx.Response{Status: 404, Body: wire.Error("no such path")})
}

// Paused hears that this process was paused while its clocks ran on, before it
// does anything else. What it knows of others' silence is its own.
func (n *Node) Paused(gap time.Duration) {
	n.env.Log().Info("process paused", "for_s", tenth(gap.Seconds()), "leading", n.term != nil)
	n.woke = n.env.Now()
	n.store.Paused()
	n.elect.Paused()
	n.adm.Paused()
	n.forwarder.Paused()
	if t := n.term; t != nil {
		t.workers.Paused(gap)
		t.rollouts.Paused(gap)
		t.units.Paused(gap)
	}
}

func (n *Node) lead(token uint64) {
	f := &n.set.Facts
	base, _ := leader.ReadBase(n.store) // else we would not have been elected
	t := &term{n: n, token: token + base.Token, base: base, cleared: map[*ledger.Job]time.Duration{}, preempted: map[*ledger.Job]time.Duration{}, holds: map[*ledger.Machine]*placement.Hold{}, lastMoves: -consolidateEvery, aims: placement.NewObjectives(f.Objectives)}
	t.issuer, t.ease = intake.NewIssuer(n.env.Now(), n.others(), n.store.OthersWrites()), 1
	t.ends = n.listen(t.token)
	t.led = ledger.New(n.env, n.store, token, f.Teams)
	t.led.Attempts = base.Attempts
	t.fleet = fleet.New(n.env, t.led, n.store, token, fleet.Config{Charter: t.token, Cloud: n.set.External.Cloud, RPS: f.Cloud.RPS, Share: f.Limits.CPUShare,
		ListLag: seconds(f.Cloud.ListLagS), Report: seconds(f.Workers.ReportS), IdleKeep: 15 * time.Second, Patience: 45 * time.Second, Headroom: 0.5})
	warm := n.warm.Snapshot()
	t.led.Warm = func(m *ledger.Machine) {
		for image, x := range warm[m.Name] {
			m.Images[image], m.ImageGB[image] = x.At, x.GB
		}
	}
	t.units = units.NewActor(n.env, n.store, token, t.led.Units, n.opt.Declared)
	t.queues = placement.NewUnitQueues()
	t.lastCount = n.env.Now()
	t.units.Load()
	t.led.Load()
	t.rollouts = rollout.New(n.env, t.led, n.store, token, rollout.Config{Share: f.Limits.CPUShare, Report: seconds(f.Workers.ReportS)})
	t.rollouts.OnDeposed = func() { n.elect.Deposed(token) }
	t.units.OnDeposed, t.units.OnChange = t.rollouts.OnDeposed, t.wake
	t.workers = workers.New(n.env, t.led, t.token, workers.Config{Lease: seconds(f.Workers.LeaseS), Hold: n.hold, Report: seconds(f.Workers.ReportS)})
	t.rollouts.Load()
	t.workers.OnEnded = t.rollouts.Ended
	// Without a fresh proof that we lead, a job may have been cancelled whose start is
	// recorded: nothing is started then, in no answer either.
	t.workers.Quiet = func() bool { return !t.base.Settled || !n.elect.HasProof() }
	t.workers.Proven = n.elect.Proven
	t.workers.OnNewer = func() { n.elect.Deposed(token) }
	t.workers.OnStuck = func() { n.elect.Resign("a start that was called off may still arrive, a new token makes it void") }
	t.workers.OnTrust = func(*ledger.Machine) { t.wake() }
	t.led.OnDeposed = func() { n.elect.Deposed(token) }
	t.led.OnChange = t.wake
	started := t.led.OnDurable
	t.led.OnDurable = func(ps []*ledger.Placement) {
		if !t.started {
			t.started = true
			n.env.Log().Info("first starts of this term", "after_s", tenth((n.env.Now() - t.workers.Began()).Seconds()))
		}
		started(ps)
	}
	t.fleet.OnChange = t.wake
	t.sender, t.moved = forward.NewSender(n.env, t.token), map[string]int{}
	t.workers.Send = t.send
	n.term = t
	n.env.Log().Info("leading", "token", t.token, "jobs", len(t.led.Jobs))
	n.forwarder.Drain(n.answerReport)
	t.tick()
}

func (n *Node) lose() {
	if t := n.term; t != nil {
		t.closed = true
		if t.unsure > 0 {
			n.env.Log().Info("led without a fresh proof until now", "token", t.token, "for_s", tenth((n.env.Now() - t.unsure).Seconds()), "reports_answered", t.unproven)
		}
		t.led.Close()
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
	t.n.env.After(250*time.Millisecond, t.tick)
	if t.sentAway > 0 && t.mayAnswerWorkers() {
		// That they were not heard was our doing: machines were returned for it, and the
		// leader resigned, as soon as a long outage was over.
		t.workers.Paused(t.n.env.Now() - t.sentAway)
		t.sentAway = 0
	}
	if t.deaf() {
		t.n.yields++
		t.n.elect.Yield("most workers don't reach this node", min(2*time.Minute, yieldFor<<t.n.yields))
		return
	}
	t.workers.Tick()
	t.workers.Greet()
	if t.closed {
		return
	}
	if t.n.elect.HasProof() {
		// The cloud doesn't know tokens: a leader that may be none any more
		// must not return machines that another is using.
		t.fleet.Tick()
		t.rollouts.Tick()
		t.units.Tick()
	}
	if t.closed {
		return
	}
	t.proof()
	t.n.store.Relaxed = t.led.Behind(model.Low) <= 0
	t.divide()
	t.decideSpread()
	t.countUnits()
	t.led.Kick()
	t.workersBack()
	t.overview()
	if t.n.env.Now()-t.lastPass > time.Second {
		t.wake()
	}
}

// overviewEvery is how often the leader logs how the cluster stands.
const overviewEvery = 15 * time.Second

// overview logs what the machines are doing: where money goes when it does not
// go into work.
func (t *term) overview() {
	now := t.n.env.Now()
	if now-t.lastView < overviewEvery {
		return
	}
	t.lastView = now
	m, j := t.census()
	t.n.env.Log().Info("overview", "machines", m.Total, "spot", m.Spot, "booting", m.Booting, "idle", m.Idle, "silent", m.Silent, "leaving", m.Leaving,
		"running", m.Running, "fetching", m.Fetching, "waiting", m.Waiting, "saving", m.Saving, "room", m.Room,
		"jobs", j.Open, "at_fault", j.AtFault, "waiting_jobs", j.Waiting, "waiting_tasks", j.WaitingTasks)
	c := &t.led.Changes
	t.n.env.Log().Info("written in this term", "for_s", tenth((now - t.workers.Began()).Seconds()), "starts", c.Starts, "tasks", c.Tasks, "ends", c.Ends,
		"marks", c.Marks, "drops", c.Drops)
	t.n.env.Log().Info("door", "ease", tenth(t.ease), "behind_s", tenth(t.led.Behind(model.Low)), "others_hold", tenth(t.issuer.Held(now)), "wanted", tenth(t.n.gate.Want(now)),
		"admitted", tenth(t.n.gate.Admitted(now)), "refused", t.n.gate.Refused, "shut", len(t.shut), "longest_quiet_s", tenth(t.led.Quiet.Seconds()), "floored", len(t.floored))
	if teams := t.teamsLine(); teams != "" {
		t.n.env.Log().Info("teams", "use", teams)
	}
}

func part(n, whole model.Need) float64 {
	if whole.GPUs > 0 {
		return n.GPUs / whole.GPUs
	}
	if whole.CPUs > 0 {
		return n.CPUs / whole.CPUs
	}
	return 0
}

func tenth(x float64) float64 { return math.Round(10*x) / 10 }
