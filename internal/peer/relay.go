package peer

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/httpx"

	"github.com/fxamacker/cbor/v2"
)

// RelayPath is the path on which a node relays a user's request that it can't answer
// itself, because the state service refuses just this node or isn't reachable from it.
// The user would otherwise be asked to retry after a second or more, and could then reach
// the same node again.
const RelayPath = "/peer/user"

const (
	relayTimeout = 1200 * time.Millisecond
	// maxRelays is how many requests may be under way to peers; further ones are refused.
	maxRelays = 40
	// relayMaxStateAge limits the time since the last answer that a peer got from the state
	// service. Requests are relayed only to peers within this limit.
	relayMaxStateAge = 2500 * time.Millisecond
)

type relayedRequest struct {
	Method string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}

type relayedResponse struct {
	Status     int    `cbor:"1,keyasint"`
	RetryAfter int    `cbor:"2,keyasint,omitempty"`
	Body       []byte `cbor:"3,keyasint,omitempty"`
}

// Relay relays a user's request to a peer that reaches the state service. It returns
// false if there is none, or if too many requests are under way. Otherwise done is called
// once; ok is false if the peer has not answered either.
func (a *Actor) Relay(r *httpx.Request, done func(resp httpx.Response, ok bool)) bool {
	if a.relaysInFlight >= maxRelays {
		return false
	}
	var candidates []string
	for _, p := range a.peers {
		k, ok := a.statuses[p.Label]
		if age := a.env.Now() - k.receivedAt; ok && age <= statusTTL && time.Duration(k.StateAgeMS)*time.Millisecond <= relayMaxStateAge {
			candidates = append(candidates, p.Endpoint)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	b, err := cbor.Marshal(relayedRequest{r.Method, r.Path, r.Body})
	if err != nil {
		panic("peer: " + err.Error())
	}
	a.relaysInFlight++
	a.env.Call(actor.Call{Addr: candidates[a.env.Rand().IntN(len(candidates))], Method: "POST", Path: RelayPath, Type: contentType, Body: b, Timeout: relayTimeout,
		Done: func(ans actor.Answer) {
			a.relaysInFlight--
			var x relayedResponse
			if ans.Err != nil || ans.Status != 200 || cbor.Unmarshal(ans.Body, &x) != nil || x.Status < 200 || x.Status > 599 {
				done(httpx.Response{}, false)
				return
			}
			done(httpx.Response{Status: x.Status, RetryAfter: x.RetryAfter, Body: x.Body}, true)
		}})
	return true
}

// serveRelayed answers a request that a peer relayed. It is not relayed again.
func (a *Actor) serveRelayed(r *httpx.Request, reply func(httpx.Response)) {
	var x relayedRequest
	if a.OnUserRequest == nil || cbor.Unmarshal(r.Body, &x) != nil {
		reply(httpx.Response{Status: 400})
		return
	}
	a.OnUserRequest(&httpx.Request{Method: x.Method, Path: x.Path, Body: x.Body}, func(resp httpx.Response) {
		b, err := cbor.Marshal(relayedResponse{resp.Status, resp.RetryAfter, resp.Body})
		if err != nil {
			panic("peer: " + err.Error())
		}
		reply(httpx.Response{Status: 200, Type: contentType, Body: b})
	})
}
