// Package peer is what controllers tell each other, in CBOR: how they stand
// with the state service, and whether they lead. Nothing in it makes a leader; it
// helps a node to tell an outage, which everybody has, from a refusal that it
// has alone, and a leader that hears of a newer one to give way at once.
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

// Path of the status exchange.
const Path = "/peer/status"

const contentType = "application/cbor"

// Status of a node.
type Status struct {
	V       int    `cbor:"1,keyasint"`
	Label   string `cbor:"2,keyasint"`
	State   int64  `cbor:"3,keyasint"` // ms since the state service's last definite answer
	Leading bool   `cbor:"4,keyasint"`
	Token   uint64 `cbor:"5,keyasint,omitempty"` // with which it leads
	// Workers is how many workers lately came here looking for the leader.
	Workers int `cbor:"6,keyasint,omitempty"`
	// Reads is the newest format of job records that its program reads, 0 for
	// programs that don't say.
	Reads int `cbor:"7,keyasint,omitempty"`
	// Gate is the version of the parts (package intake) that its program takes and, as
	// a leader, hands out; 0: none.
	Gate int `cbor:"8,keyasint,omitempty"`
	// Mark is what the leader is to echo.
	Mark uint64 `cbor:"9,keyasint,omitempty"`
	// Want is how many thousandths of a submission come to it a second.
	Want uint64 `cbor:"10,keyasint,omitempty"`
	// Applied is the part that it holds, and whose.
	Applied      uint64 `cbor:"11,keyasint,omitempty"`
	AppliedToken uint64 `cbor:"12,keyasint,omitempty"`
	// What a leader hands out: to each node by label, in thousandths of a change a
	// second, with the number of the issue, and the last mark it had of each.
	Parts map[string]uint64 `cbor:"13,keyasint,omitempty"`
	Issue uint64            `cbor:"14,keyasint,omitempty"`
	Echo  map[string]uint64 `cbor:"15,keyasint,omitempty"`
	// Shut are teams and classes of which nothing more is taken now.
	Shut [][2]string `cbor:"16,keyasint,omitempty"`
	// What a leader asks about cancellations, and what the others answer (package cancellation).
	Question *cancellation.Question `cbor:"17,keyasint,omitempty"`
	Answer   *cancellation.Answer   `cbor:"18,keyasint,omitempty"`
	// Forward is the version of the messages (package forward) in which its program passes
	// workers' reports on, 0: it doesn't. Reporters is how many workers report to it.
	Forward   int    `cbor:"19,keyasint,omitempty"`
	Reporters uint64 `cbor:"20,keyasint,omitempty"`
	// Spread: the leader has all controllers take reports.
	Spread bool `cbor:"21,keyasint,omitempty"`
}

const (
	version = 1
	every   = time.Second
	timeout = 800 * time.Millisecond
	// What a peer said is believed for this long.
	fresh = 3 * time.Second
)

type known struct {
	Status
	at time.Duration
}

// Actor exchanges statuses with the peers.
type Actor struct {
	env   actor.Env
	peers []settings.Peer
	own   func() Status
	known map[string]known
	// OnUser answers a user's request that a peer could not.
	OnUser   func(r *httpx.Request, reply func(httpx.Response))
	relaying int
	// OnLeader hears that a peer leads, and with which token.
	OnLeader func(token uint64)
	// OnStatus hears what a peer says.
	OnStatus func(s *Status)
}

// New makes the actor; own tells the node's current status.
func New(env actor.Env, peers []settings.Peer, own func() Status) *Actor {
	return &Actor{env: env, peers: peers, own: own, known: map[string]known{}}
}

// Start begins to tell the peers. Of two, the one with the smaller label asks:
// a question tells as much as its answer, and with seven nodes every pair
// asking both ways was 42 requests a second on machines that are tiny.
func (a *Actor) Start() {
	body := a.encode()
	me := a.own().Label
	for _, p := range a.peers {
		label := p.Label
		if label < me {
			continue
		}
		a.env.Call(actor.Call{Addr: p.Endpoint, Method: "POST", Path: Path, Type: contentType, Body: body, Timeout: timeout, Done: func(ans actor.Answer) {
			if ans.Err != nil || ans.Status != 200 {
				return
			}
			if err := a.learn(ans.Body, label); err != nil {
				a.env.Log().Error("bad answer of a peer", "peer", label, "err", err)
			}
		}})
	}
	a.env.After(every, a.Start)
}

func (a *Actor) encode() []byte {
	s := a.own()
	s.V = version
	b, err := cbor.Marshal(s)
	if err != nil {
		panic("peer: " + err.Error()) // a type of ours that CBOR cannot hold
	}
	return b
}

// learn takes in a status; label is whose it has to be, "" for any peer's.
func (a *Actor) learn(b []byte, label string) error {
	var s Status
	if err := cbor.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if s.V < 1 || s.State < 0 || s.Workers < 0 || (label != "" && s.Label != label) {
		return fmt.Errorf("status of %q, version %d, is not what was asked for", s.Label, s.V)
	}
	for _, p := range a.peers {
		if p.Label == s.Label {
			a.known[s.Label] = known{s, a.env.Now()}
			if s.Leading && s.Token > 0 && a.OnLeader != nil {
				a.OnLeader(s.Token)
			}
			if a.OnStatus != nil {
				a.OnStatus(&s)
			}
			return nil
		}
	}
	return fmt.Errorf("status of %q, who is no peer", s.Label)
}

// Serve answers a peer.
func (a *Actor) Serve(r *httpx.Request, reply func(httpx.Response)) {
	if r.Path == RelayPath && r.Method == "POST" {
		a.serveRelayed(r, reply)
		return
	}
	if r.Path != Path || r.Method != "POST" {
		reply(httpx.Response{Status: 404})
		return
	}
	if err := a.learn(r.Body, ""); err != nil {
		a.env.Log().Error("bad message of a peer", "err", err)
		reply(httpx.Response{Status: 400})
		return
	}
	reply(httpx.Response{Status: 200, Type: contentType, Body: a.encode()})
}

// Lately calls f for every peer that was heard of lately, in the settings' order.
func (a *Actor) Lately(f func(p settings.Peer, s *Status)) {
	for _, p := range a.peers {
		if k, ok := a.known[p.Label]; ok && a.env.Now()-k.at <= fresh {
			f(p, &k.Status)
		}
	}
}

// Endpoint is the address of a peer for other controllers, "" if there is none.
func (a *Actor) Endpoint(label string) string {
	for _, p := range a.peers {
		if p.Label == label {
			return p.Endpoint
		}
	}
	return ""
}

// OthersReachState reports whether a peer has had an answer of the state
// service within the span, by what it said lately.
func (a *Actor) OthersReachState(span time.Duration) bool {
	now := a.env.Now()
	for _, k := range a.known {
		if age := now - k.at; age <= fresh && time.Duration(k.State)*time.Millisecond+age <= span {
			return true
		}
	}
	return false
}

// Leader is the peer that lately said it leads, with the highest token; "" if
// none did.
func (a *Actor) Leader() string {
	label, token := "", uint64(0)
	for _, k := range a.known {
		if k.Leading && k.Token > token && a.env.Now()-k.at <= fresh {
			label, token = k.Label, k.Token
		}
	}
	return label
}

// Workers is how many workers, by what the peers said lately, came to them
// looking for the leader; all says that every peer was heard.
func (a *Actor) Workers() (n int, all bool) {
	heard := 0
	for _, k := range a.known {
		if a.env.Now()-k.at <= fresh {
			heard++
			n += k.Workers
		}
	}
	return n, heard == len(a.peers)
}

// AllRead reports whether every peer that was heard of lately reads job records of
// the format. During an upgrade some don't.
func (a *Actor) AllRead(format int) bool {
	for _, k := range a.known {
		if a.env.Now()-k.at <= fresh && k.Reads < format {
			return false
		}
	}
	return true
}

// Heard reports whether any peer has said something lately.
func (a *Actor) Heard() bool {
	for _, k := range a.known {
		if a.env.Now()-k.at <= fresh {
			return true
		}
	}
	return false
}
