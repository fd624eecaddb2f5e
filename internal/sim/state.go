package sim

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"
)

// State is the stand-in for the state service. Package wire explains the names in its
// messages.
type State struct {
	w        *World
	keys     map[string]*stateKey
	revision uint64
	history  []stateEvent
	oldest   uint64 // watches from an earlier revision get 410
	leases   map[uint64]*stateLease
	nextID   uint64
	watches  []*stateWatch
	// Until outageUntil every request gets 503, until refusedUntil those of one host.
	outageUntil   time.Duration
	refusedUntil  map[string]time.Duration
	SlowOneIn     int // one request in SlowOneIn takes 0.1 to 0.5 s longer; 0: none
	requestTokens float64
	writeTokens   float64
	lastRequest   time.Duration
	slowUntil     time.Duration
	// Limited counts the requests over the rate limit.
	Limited int
	// Changes counts the committed changes, Requests the requests by host.
	Changes  int
	Requests map[string]int
	// OnLease is called with every new lease.
	OnLease     func(host, id string)
	keepChanges int
}

type stateKey struct {
	value    json.RawMessage
	revision uint64
	lease    uint64
}

type stateEvent struct {
	Write    string          `json:"write,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Delete   string          `json:"delete,omitempty"`
	Revision uint64          `json:"stamp"`
}

type stateLease struct {
	ttl  time.Duration
	ends time.Duration
}

type stateWatch struct {
	from   uint64
	prefix string
	host   string
	reply  func(int, []byte)
	done   bool
}

func newState(w *World) *State {
	s := &State{w: w, keys: map[string]*stateKey{}, leases: map[uint64]*stateLease{}, refusedUntil: map[string]time.Duration{}, keepChanges: w.cfg.KeepChanges,
		requestTokens: w.cfg.RPS, writeTokens: w.cfg.WriteRPS, Requests: map[string]int{}}
	s.expireLeases()
	return s
}

func (s *State) hostName() string { return "state" }
func (s *State) reachable() bool  { return true }

// Outage makes the service refuse all requests for a while. At its end every lease is valid for
// its full time again.
func (s *State) Outage(d time.Duration) {
	s.outageUntil = s.w.now + d
	s.w.after(d, func() {
		for _, lease := range s.leases {
			lease.ends = s.w.now + lease.ttl
		}
		s.notifyWatches()
	})
}

// SlowDown delays every answer by 30 to 120 ms, and one in 40 by 1 to 6 s, for a while.
func (s *State) SlowDown(d time.Duration) { s.slowUntil = s.w.now + d }

// RefuseNode makes the service refuse the requests of one node.
func (s *State) RefuseNode(host string, d time.Duration) {
	s.refusedUntil[host] = s.w.now + d
	s.w.after(d, s.notifyWatches)
}

// Fill writes n keys with the same value. Watches from an earlier revision get 410.
func (s *State) Fill(prefix string, n int, value string) {
	for i := range n {
		s.revision++
		s.keys[prefix+strconv.Itoa(100000+i)] = &stateKey{value: json.RawMessage(value), revision: s.revision}
	}
	s.oldest = s.revision
}

// expireLeases deletes the leases that have expired, with their keys, every 50 ms.
func (s *State) expireLeases() {
	s.w.after(50*time.Millisecond, s.expireLeases)
	if s.w.now < s.outageUntil {
		return
	}
	var ids []uint64
	for id, lease := range s.leases {
		if s.w.now >= lease.ends {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		s.endLease(id)
	}
}

// endLease deletes a lease and its keys.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var ks []string
	for k, v := range s.keys {
		if v.lease == id {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	for _, k := range ks {
		s.revision++
		delete(s.keys, k)
		s.record(stateEvent{Delete: k, Revision: s.revision})
	}
	if len(ks) > 0 {
		s.notifyWatches()
	}
}

func (s *State) record(e stateEvent) {
	s.history = append(s.history, e)
	if len(s.history) > s.keepChanges {
		s.oldest = s.history[len(s.history)-s.keepChanges-1].Revision
		s.history = s.history[len(s.history)-s.keepChanges:]
	}
}

func (s *State) notifyWatches() {
	ws := s.watches
	s.watches = nil
	for _, x := range ws {
		if !x.done && !s.answerWatch(x) {
			s.watches = append(s.watches, x)
		}
	}
}

// refuses reports whether requests of the host get 503 now.
func (s *State) refuses(host string) bool {
	return s.w.now < s.outageUntil || s.w.now < s.refusedUntil[host]
}

// answerWatch answers a watch if there are changes for it, and reports whether it did.
func (s *State) answerWatch(x *stateWatch) bool {
	if s.refuses(x.host) {
		return false
	}
	var changes []stateEvent
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > x.from })
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Write+e.Delete, x.prefix) {
			changes = append(changes, e)
		}
	}
	if len(changes) == 0 {
		return false
	}
	s.finishWatch(x, changes)
	return true
}

func (s *State) finishWatch(x *stateWatch, changes []stateEvent) {
	if changes == nil {
		changes = []stateEvent{}
	}
	// The protocol does not promise an order within an answer.
	s.w.rng.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	x.done = true
	x.reply(200, mustJSON(map[string]any{"epoch": s.revision, "news": changes}))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// allow reports whether the rate limits admit a request with the given number of changes.
func (s *State) allow(writes int) bool {
	dt := (s.w.now - s.lastRequest).Seconds()
	s.lastRequest = s.w.now
	s.requestTokens = min(s.w.cfg.RPS, s.requestTokens+dt*s.w.cfg.RPS)
	s.writeTokens = min(s.w.cfg.WriteRPS, s.writeTokens+dt*s.w.cfg.WriteRPS)
	if s.requestTokens < 1 || s.writeTokens < float64(writes) {
		s.Limited++
		return false
	}
	s.requestTokens--
	s.writeTokens -= float64(writes)
	return true
}

func (s *State) serve(from, method, path string, body []byte, reply func(int, []byte)) {
	if s.refuses(from) {
		reply(503, []byte(`{"error":"away"}`))
		return
	}
	p, query, _ := strings.Cut(path, "?")
	q := map[string]string{}
	for _, kv := range strings.Split(query, "&") {
		k, v, _ := strings.Cut(kv, "=")
		q[k] = v
	}
	var t struct {
		When []struct {
			Path     string
			Revision uint64 `json:"stamp"`
		}
		Apply []struct {
			Write, Delete string
			Value         json.RawMessage
			LeaseID       uint64 `json:"permit"`
		}
		TTL float64 `json:"ttl_ms"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &t); err != nil {
			reply(400, []byte(`{"error":"malformed"}`))
			return
		}
	}
	s.Requests[from]++
	if !s.allow(len(t.Apply)) {
		reply(429, []byte(`{}`))
		return
	}
	if s.w.now < s.slowUntil {
		inner, d := reply, s.w.randomSecs(0.03, 0.12)
		if s.w.rng.IntN(40) == 0 {
			d = s.w.randomSecs(1, 6)
		}
		reply = func(st int, b []byte) { s.w.after(d, func() { inner(st, b) }) }
	}
	if s.SlowOneIn > 0 && s.w.rng.IntN(s.SlowOneIn) == 0 {
		inner := reply
		reply = func(st int, b []byte) { s.w.after(s.w.randomSecs(0.1, 0.5), func() { inner(st, b) }) }
	}
	switch {
	case method == "GET" && strings.HasPrefix(p, "/keys/"):
		key := p[len("/keys/"):]
		k := s.keys[key]
		if k == nil {
			reply(404, mustJSON(map[string]any{"epoch": s.revision}))
			return
		}
		reply(200, mustJSON(map[string]any{"path": key, "value": k.value, "stamp": k.revision, "permit": k.lease}))
	case method == "GET" && p == "/keys":
		var ks []string
		for k := range s.keys {
			if strings.HasPrefix(k, q["under"]) && k > q["from"] {
				ks = append(ks, k)
			}
		}
		sort.Strings(ks)
		most, _ := strconv.Atoi(q["most"])
		most = min(most, s.w.cfg.PageKeys)
		more := len(ks) > most
		items := []map[string]any{}
		for _, k := range ks[:min(len(ks), most)] {
			items = append(items, map[string]any{"path": k, "value": s.keys[k].value, "stamp": s.keys[k].revision})
		}
		reply(200, mustJSON(map[string]any{"items": items, "has_next": more, "epoch": s.revision}))
	case method == "POST" && p == "/commit":
		if len(t.Apply) > s.w.cfg.TxnOps || len(t.When) > 4*s.w.cfg.TxnOps || len(body) > 64<<10 {
			s.w.reportViolation("limits", "a transaction of %d changes, %d conditions, %d bytes", len(t.Apply), len(t.When), len(body))
			reply(400, []byte(`{"error":"too large"}`))
			return
		}
		for _, a := range t.Apply {
			if a.LeaseID != 0 && s.leases[a.LeaseID] == nil {
				reply(400, []byte(`{"error":"no such lease"}`))
				return
			}
			if len(a.Value) > 1024*s.w.cfg.ValueKB {
				s.w.reportViolation("limits", "a value of %d bytes for %s", len(a.Value), a.Write)
				reply(400, []byte(`{"error":"malformed"}`))
				return
			}
		}
		failed := []string{}
		for _, c := range t.When {
			have := uint64(0)
			if k := s.keys[c.Path]; k != nil {
				have = k.revision
			}
			if have != c.Revision {
				failed = append(failed, c.Path)
			}
		}
		if len(failed) > 0 {
			reply(409, mustJSON(map[string]any{"failed": failed, "epoch": s.revision}))
			return
		}
		if len(t.Apply) > 0 {
			s.revision++
			s.Changes += len(t.Apply)
			for _, a := range t.Apply {
				if a.Delete != "" {
					if s.keys[a.Delete] != nil {
						delete(s.keys, a.Delete)
						s.record(stateEvent{Delete: a.Delete, Revision: s.revision})
					}
					continue
				}
				s.keys[a.Write] = &stateKey{append(json.RawMessage(nil), a.Value...), s.revision, a.LeaseID}
				s.record(stateEvent{Write: a.Write, Value: s.keys[a.Write].value, Revision: s.revision})
			}
			s.notifyWatches()
		}
		reply(200, mustJSON(map[string]any{"epoch": s.revision}))
	case method == "POST" && p == "/grants":
		s.nextID++
		ttl := time.Duration(t.TTL * float64(time.Millisecond))
		s.leases[s.nextID] = &stateLease{ttl, s.w.now + ttl}
		if s.OnLease != nil {
			s.OnLease(from, strconv.FormatUint(s.nextID, 10))
		}
		reply(200, mustJSON(map[string]any{"permit": s.nextID}))
	case strings.HasPrefix(p, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(p[len("/grants/"):], "/renew"), 10, 64)
		lease := s.leases[id]
		switch {
		case lease == nil:
			reply(404, []byte(`{}`))
		case method == "DELETE":
			s.endLease(id)
			reply(200, []byte(`{}`))
		default:
			lease.ends = s.w.now + lease.ttl
			reply(200, mustJSON(map[string]any{"permit": id}))
		}
	case p == "/changes":
		since, _ := strconv.ParseUint(q["from"], 10, 64)
		if since < s.oldest {
			reply(410, []byte(`{}`))
			return
		}
		ms, _ := strconv.Atoi(q["block_ms"])
		x := &stateWatch{from: since, prefix: q["under"], host: from, reply: reply}
		if s.answerWatch(x) {
			return
		}
		s.watches = append(s.watches, x)
		s.w.after(time.Duration(ms)*time.Millisecond, func() {
			if !x.done && !s.refuses(x.host) {
				s.finishWatch(x, nil)
			}
		})
	default:
		reply(400, []byte(`{"error":"no such path"}`))
	}
}

// Wipe deletes all data of the service, whose revisions start from 1 again.
func (s *State) Wipe() {
	s.keys, s.leases, s.history, s.revision, s.oldest = map[string]*stateKey{}, map[uint64]*stateLease{}, nil, 0, 0
	for _, x := range s.watches {
		x.done = true
	}
	s.watches = nil
}

// Ask sends a request of an operator's tool and waits for the answer. It runs the world meanwhile.
func (s *State) Ask(method, path string, body []byte) (status int, answer []byte, err error) {
	limited := s.Limited
	s.requestTokens, s.writeTokens = s.w.cfg.RPS, s.w.cfg.WriteRPS // the operator's tool limits its own rate
	s.serve("operator", method, path, body, func(st int, b []byte) { status, answer = st, b })
	s.Limited = limited
	for end := s.w.now + 10*time.Second; status == 0 && s.w.now < end; {
		s.w.Run(s.w.now + time.Millisecond)
	}
	return status, answer, nil
}

// LeaderName is the label of the controller that holds the leader key, "" if none does.
func (s *State) LeaderName() string {
	k := s.keys["b/leader"]
	if k == nil {
		return ""
	}
	var holder struct{ Node string }
	if json.Unmarshal(k.value, &holder) != nil {
		return ""
	}
	return holder.Node
}
