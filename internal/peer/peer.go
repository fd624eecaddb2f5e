// Package peer exchanges the statuses of the controllers, in CBOR: how long ago the
// state service answered them, and whether they lead. It elects no leader. It lets a
// node distinguish an outage of the state service, which affects all nodes, from a
// refusal of this node alone, and lets a leader step down as soon as it learns of a
// newer one.
package peer

import (
	"fmt"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/cancellation"
	"brooklb/internal/httpx"
	"brooklb/internal/settings"

	"github.com/fxamacker/cbor/v2"
)

// StatusPath is the path of the status exchange.
const StatusPath = "/peer/status"

const contentType = "application/cbor"

// Status is the status of a node.
type Status struct {
	V          int    `cbor:"1,keyasint"`
	Label      string `cbor:"2,keyasint"`
	StateAgeMS int64  `cbor:"3,keyasint"` // ms since the state service's last definite answer
	Leading    bool   `cbor:"4,keyasint"`
	Token      uint64 `cbor:"5,keyasint,omitempty"` // of the term in which it leads
	// SeekingWorkers is how many workers recently reported to the node while looking for the
	// leader.
	SeekingWorkers int `cbor:"6,keyasint,omitempty"`
	// JobFormat is the newest format of job records that its program reads, 0 for
	// programs that don't report it.
	JobFormat int `cbor:"7,keyasint,omitempty"`
	// IntakeVersion is the version of the allocations (package intake) that its program
	// takes and, as a leader, makes; 0: none.
	IntakeVersion int `cbor:"8,keyasint,omitempty"`
	// Timestamp is the value that the leader is to echo.
	Timestamp uint64 `cbor:"9,keyasint,omitempty"`
	// IntakeDemand is the rate of submissions that arrive at the node, in thousandths per
	// second.
	IntakeDemand uint64 `cbor:"10,keyasint,omitempty"`
	// AppliedAllocation is the number of the allocation that the node has applied, and
	// AppliedToken the token of the leader that made it.
	AppliedAllocation uint64 `cbor:"11,keyasint,omitempty"`
	AppliedToken      uint64 `cbor:"12,keyasint,omitempty"`
	// Allocations are a leader's allocations to the nodes by label, in thousandths of a
	// change per second, AllocationNumber is their number, and TimestampEchoes are the last
	// timestamps received from the nodes.
	Allocations      map[string]uint64 `cbor:"13,keyasint,omitempty"`
	AllocationNumber uint64            `cbor:"14,keyasint,omitempty"`
	TimestampEchoes  map[string]uint64 `cbor:"15,keyasint,omitempty"`
	// BlockedClasses are the teams and classes of which no submissions are admitted now.
	BlockedClasses [][2]string `cbor:"16,keyasint,omitempty"`
	// Question is what a leader asks about cancellations, and Answer what another node
	// answers (package cancellation).
	Question *cancellation.Question `cbor:"17,keyasint,omitempty"`
	Answer   *cancellation.Answer   `cbor:"18,keyasint,omitempty"`
	// ForwardVersion is the version of the messages (package forward) in which its program
	// forwards workers' reports; 0: it doesn't. ReportingWorkers is how many workers
	// report to the node.
	ForwardVersion   int    `cbor:"19,keyasint,omitempty"`
	ReportingWorkers uint64 `cbor:"20,keyasint,omitempty"`
	// SpreadReports says that the leader has all controllers take reports.
	SpreadReports bool `cbor:"21,keyasint,omitempty"`
	// RolloutVersion is the version of the roll-outs (rollout.Version) that its program carries
	// out; 0 for programs that don't report it.
	RolloutVersion int `cbor:"22,keyasint,omitempty"`
}

const (
	statusVersion    = 1
	exchangeInterval = time.Second
	exchangeTimeout  = 800 * time.Millisecond
	// statusTTL is how long a peer's status counts as recent.
	statusTTL = 3 * time.Second
)

type receivedStatus struct {
	Status
	receivedAt time.Duration
}

// Actor exchanges statuses with the peers.
type Actor struct {
	env       actor.Env
	peers     []settings.Peer
	ownStatus func() Status
	statuses  map[string]receivedStatus
	// OnUserRequest answers a user's request that a peer could not answer.
	OnUserRequest  func(r *httpx.Request, reply func(httpx.Response))
	relaysInFlight int
	// OnLeader is called with the token of a peer that leads.
	OnLeader func(token uint64)
	// OnStatus is called with each peer's status.
	OnStatus func(s *Status)
}

// New creates the actor; ownStatus returns the node's current status.
func New(env actor.Env, peers []settings.Peer, ownStatus func() Status) *Actor {
	return &Actor{env: env, peers: peers, ownStatus: ownStatus, statuses: map[string]receivedStatus{}}
}

// Start begins the exchange of statuses. Of two nodes only the one with the smaller
// label sends requests, since a request carries as much as its answer: with seven nodes,
// requests in both directions were 42 a second on very small machines.
func (a *Actor) Start() {
	body := a.encode()
	me := a.ownStatus().Label
	for _, p := range a.peers {
		label := p.Label
		if label < me {
			continue
		}
		a.env.Call(actor.Call{Addr: p.Endpoint, Method: "POST", Path: StatusPath, Type: contentType, Body: body, Timeout: exchangeTimeout, Done: func(ans actor.Answer) {
			if ans.Err != nil || ans.Status != 200 {
				return
			}
			if err := a.recordStatus(ans.Body, label); err != nil {
				a.env.Log().Error("invalid response from a peer", "peer", label, "err", err)
			}
		}})
	}
	a.env.After(exchangeInterval, a.Start)
}

func (a *Actor) encode() []byte {
	s := a.ownStatus()
	s.V = statusVersion
	b, err := cbor.Marshal(s)
	if err != nil {
		panic("peer: " + err.Error()) // a type of this package can't be encoded
	}
	return b
}

// recordStatus records a status. It must be that of the peer with the label; "": of any peer.
func (a *Actor) recordStatus(b []byte, label string) error {
	var s Status
	if err := cbor.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if s.V < 1 || s.StateAgeMS < 0 || s.SeekingWorkers < 0 || (label != "" && s.Label != label) {
		return fmt.Errorf("invalid status of %q, version %d", s.Label, s.V)
	}
	for _, p := range a.peers {
		if p.Label == s.Label {
			a.statuses[s.Label] = receivedStatus{s, a.env.Now()}
			if s.Leading && s.Token > 0 && a.OnLeader != nil {
				a.OnLeader(s.Token)
			}
			if a.OnStatus != nil {
				a.OnStatus(&s)
			}
			return nil
		}
	}
	return fmt.Errorf("status of %q, which is not a peer", s.Label)
}

// Serve answers a peer's request.
func (a *Actor) Serve(r *httpx.Request, reply func(httpx.Response)) {
	if r.Path == RelayPath && r.Method == "POST" {
		a.serveRelayed(r, reply)
		return
	}
	if r.Path != StatusPath || r.Method != "POST" {
		reply(httpx.Response{Status: 404})
		return
	}
	if err := a.recordStatus(r.Body, ""); err != nil {
		a.env.Log().Error("invalid message from a peer", "err", err)
		reply(httpx.Response{Status: 400})
		return
	}
	reply(httpx.Response{Status: 200, Type: contentType, Body: a.encode()})
}

// ForEachRecent calls f for each peer with a recent status, in the order of the settings.
func (a *Actor) ForEachRecent(f func(p settings.Peer, s *Status)) {
	for _, p := range a.peers {
		if k, ok := a.statuses[p.Label]; ok && a.env.Now()-k.receivedAt <= statusTTL {
			f(p, &k.Status)
		}
	}
}

// Endpoint returns the address of a peer for other controllers, "" if there is no such peer.
func (a *Actor) Endpoint(label string) string {
	for _, p := range a.peers {
		if p.Label == label {
			return p.Endpoint
		}
	}
	return ""
}

// OthersReachState reports whether a peer with a recent status has had an answer from
// the state service within the span.
func (a *Actor) OthersReachState(span time.Duration) bool {
	now := a.env.Now()
	for _, k := range a.statuses {
		if age := now - k.receivedAt; age <= statusTTL && time.Duration(k.StateAgeMS)*time.Millisecond+age <= span {
			return true
		}
	}
	return false
}

// Leader returns the label of the peer that leads according to the recent statuses, of
// several the one with the highest token; "" if none does.
func (a *Actor) Leader() string {
	label, token := "", uint64(0)
	for _, k := range a.statuses {
		if k.Leading && k.Token > token && a.env.Now()-k.receivedAt <= statusTTL {
			label, token = k.Label, k.Token
		}
	}
	return label
}

// SeekingWorkers returns how many workers reported to the peers while looking for the leader,
// according to the recent statuses. complete says that the statuses of all peers are recent.
func (a *Actor) SeekingWorkers() (n int, complete bool) {
	recent := 0
	for _, k := range a.statuses {
		if a.env.Now()-k.receivedAt <= statusTTL {
			recent++
			n += k.SeekingWorkers
		}
	}
	return n, recent == len(a.peers)
}

// AllCanRead reports whether all peers with a recent status read job records of the
// format. During an upgrade some don't.
func (a *Actor) AllCanRead(format int) bool {
	return a.all(func(s *Status) bool { return s.JobFormat >= format })
}

// AllRollOut reports whether all peers with a recent status carry out roll-outs of the version.
func (a *Actor) AllRollOut(version int) bool {
	return a.all(func(s *Status) bool { return s.RolloutVersion >= version })
}

// all reports whether the condition holds for all recent statuses.
func (a *Actor) all(holds func(s *Status) bool) bool {
	for _, k := range a.statuses {
		if a.env.Now()-k.receivedAt <= statusTTL && !holds(&k.Status) {
			return false
		}
	}
	return true
}

// HasRecentStatus reports whether any peer has a recent status.
func (a *Actor) HasRecentStatus() bool {
	for _, k := range a.statuses {
		if a.env.Now()-k.receivedAt <= statusTTL {
			return true
		}
	}
	return false
}
