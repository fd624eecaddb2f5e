package sim

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"
)

// State is the stand-in of the state service.
type State struct {
	w       *World
	keys    map[string]*stateKey
	epoch   uint64
	history []stateEvent
	oldest  uint64 // watches from before this get 410
	grants  map[uint64]*stateGrant
	nextID  uint64
	watches []*stateWatch
	// Outage: every request gets 503; Refuse: one node's do.
	outageUntil time.Duration
	refuse      map[string]time.Duration
	Slow        int // one request in so many takes long; 0: none
	bucket      float64
	writes      float64
	last        time.Duration
	slowUntil   time.Duration
	// Limited counts requests over the rate, Asked all of them by host.
	Limited int
	// Changed counts the changes made.
	Changed int
	Asked   map[string]int
	// OnGrant sees every lease that is given out.
	OnGrant func(host, id string)
	keep    int
}

type stateKey struct {
	value json.RawMessage
	stamp uint64
	grant uint64
}

type stateEvent struct {
	Write  string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete string          `json:"delete,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type stateGrant struct {
	ttl  time.Duration
	ends time.Duration
}

type stateWatch struct {
	from  uint64
	under string
	host  string
	reply func(int, []byte)
	done  bool
}

func newState(w *World) *State {
	s := &State{w: w, keys: map[string]*stateKey{}, grants: map[uint64]*stateGrant{}, refuse: map[string]time.Duration{}, keep: w.cfg.KeepChanges,
		bucket: w.cfg.RPS, writes: w.cfg.WriteRPS, Asked: map[string]int{}}
	s.sweep()
	return s
}

func (s *State) hostName() string { return "state" }
func (s *State) reachable() bool  { return true }

// Outage makes the service refuse everybody; leases get their full time after.
func (s *State) Outage(d time.Duration) {
	s.outageUntil = s.w.now + d
	s.w.after(d, func() {
		for _, g := range s.grants {
			g.ends = s.w.now + g.ttl
		}
		s.notify()
	})
}

// GetSlow makes every answer take some 15 times as long for a while.
func (s *State) GetSlow(d time.Duration) { s.slowUntil = s.w.now + d }

// RefuseNode makes the service refuse one node alone.
func (s *State) RefuseNode(host string, d time.Duration) {
	s.refuse[host] = s.w.now + d
	s.w.after(d, s.notify)
}

// Fill writes so many keys of one value, as if they had been there from the beginning.
func (s *State) Fill(prefix string, n int, value string) {
	for i := range n {
		s.epoch++
		s.keys[prefix+strconv.Itoa(100000+i)] = &stateKey{value: json.RawMessage(value), stamp: s.epoch}
	}
	s.oldest = s.epoch
}

func (s *State) sweep() {
	s.w.after(50*time.Millisecond, s.sweep)
	if s.w.now < s.outageUntil {
		return
	}
	var ids []uint64
	for id, g := range s.grants {
		if s.w.now >= g.ends {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		s.end(id)
	}
}

func (s *State) end(id uint64) {
	delete(s.grants, id)
	var ks []string
	for k, v := range s.keys {
		if v.grant == id {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	for _, k := range ks {
		s.epoch++
		delete(s.keys, k)
		s.record(stateEvent{Delete: k, Stamp: s.epoch})
	}
	if len(ks) > 0 {
		s.notify()
	}
}

func (s *State) record(e stateEvent) {
	s.history = append(s.history, e)
	if len(s.history) > s.keep {
		s.oldest = s.history[len(s.history)-s.keep-1].Stamp
		s.history = s.history[len(s.history)-s.keep:]
	}
}

func (s *State) notify() {
	ws := s.watches
	s.watches = nil
	for _, x := range ws {
		if !x.done && !s.answer(x) {
			s.watches = append(s.watches, x)
		}
	}
}

func (s *State) away(host string) bool {
	return s.w.now < s.outageUntil || s.w.now < s.refuse[host]
}

func (s *State) answer(x *stateWatch) bool {
	if s.away(x.host) {
		return false
	}
	var news []stateEvent
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > x.from })
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Write+e.Delete, x.under) {
			news = append(news, e)
		}
	}
	if len(news) == 0 {
		return false
	}
	s.finish(x, news)
	return true
}

func (s *State) finish(x *stateWatch, news []stateEvent) {
	if news == nil {
		news = []stateEvent{}
	}
	// The order inside an answer isn't promised.
	s.w.rng.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
	x.done = true
	x.reply(200, mustJSON(map[string]any{"epoch": s.epoch, "news": news}))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (s *State) allow(writes int) bool {
	dt := (s.w.now - s.last).Seconds()
	s.last = s.w.now
	s.bucket = min(s.w.cfg.RPS, s.bucket+dt*s.w.cfg.RPS)
	s.writes = min(s.w.cfg.WriteRPS, s.writes+dt*s.w.cfg.WriteRPS)
	if s.bucket < 1 || s.writes < float64(writes) {
		s.Limited++
		return false
	}
	s.bucket--
	s.writes -= float64(writes)
	return true
}

func (s *State) serve(from, method, path string, body []byte, reply func(int, []byte)) {
	if s.away(from) {
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
			Path  string
			Stamp uint64
		}
		Apply []struct {
			Write, Delete string
			Value         json.RawMessage
			Permit        uint64
		}
		TTL float64 `json:"ttl_ms"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &t); err != nil {
			reply(400, []byte(`{"error":"malformed"}`))
			return
		}
	}
	s.Asked[from]++
	if !s.allow(len(t.Apply)) {
		reply(429, []byte(`{}`))
		return
	}
	if s.w.now < s.slowUntil {
		inner, d := reply, s.w.secs(0.03, 0.12)
		if s.w.rng.IntN(40) == 0 {
			d = s.w.secs(1, 6)
		}
		reply = func(st int, b []byte) { s.w.after(d, func() { inner(st, b) }) }
	}
	if s.Slow > 0 && s.w.rng.IntN(s.Slow) == 0 {
		inner := reply
		reply = func(st int, b []byte) { s.w.after(s.w.secs(0.1, 0.5), func() { inner(st, b) }) }
	}
	switch {
	case method == "GET" && strings.HasPrefix(p, "/keys/"):
		key := p[len("/keys/"):]
		k := s.keys[key]
		if k == nil {
			reply(404, mustJSON(map[string]any{"epoch": s.epoch}))
			return
		}
		reply(200, mustJSON(map[string]any{"path": key, "value": k.value, "stamp": k.stamp, "permit": k.grant}))
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
			items = append(items, map[string]any{"path": k, "value": s.keys[k].value, "stamp": s.keys[k].stamp})
		}
		reply(200, mustJSON(map[string]any{"items": items, "has_next": more, "epoch": s.epoch}))
	case method == "POST" && p == "/commit":
		if len(t.Apply) > s.w.cfg.TxnOps || len(t.When) > 4*s.w.cfg.TxnOps || len(body) > 64<<10 {
			s.w.broke("limits", "a transaction of %d changes, %d conditions, %d bytes", len(t.Apply), len(t.When), len(body))
			reply(400, []byte(`{"error":"too large"}`))
			return
		}
		for _, a := range t.Apply {
			if a.Permit != 0 && s.grants[a.Permit] == nil {
				reply(400, []byte(`{"error":"no such lease"}`))
				return
			}
			if len(a.Value) > 1024*s.w.cfg.ValueKB {
				s.w.broke("limits", "a value of %d bytes", len(a.Value))
			}
		}
		failed := []string{}
		for _, c := range t.When {
			have := uint64(0)
			if k := s.keys[c.Path]; k != nil {
				have = k.stamp
			}
			if have != c.Stamp {
				failed = append(failed, c.Path)
			}
		}
		if len(failed) > 0 {
			reply(409, mustJSON(map[string]any{"failed": failed, "epoch": s.epoch}))
			return
		}
		if len(t.Apply) > 0 {
			s.epoch++
			s.Changed += len(t.Apply)
			for _, a := range t.Apply {
				if a.Delete != "" {
					if s.keys[a.Delete] != nil {
						delete(s.keys, a.Delete)
						s.record(stateEvent{Delete: a.Delete, Stamp: s.epoch})
					}
					continue
				}
				s.keys[a.Write] = &stateKey{append(json.RawMessage(nil), a.Value...), s.epoch, a.Permit}
				s.record(stateEvent{Write: a.Write, Value: s.keys[a.Write].value, Stamp: s.epoch})
			}
			s.notify()
		}
		reply(200, mustJSON(map[string]any{"epoch": s.epoch}))
	case method == "POST" && p == "/grants":
		s.nextID++
		ttl := time.Duration(t.TTL * float64(time.Millisecond))
		s.grants[s.nextID] = &stateGrant{ttl, s.w.now + ttl}
		if s.OnGrant != nil {
			s.OnGrant(from, strconv.FormatUint(s.nextID, 10))
		}
		reply(200, mustJSON(map[string]any{"permit": s.nextID}))
	case strings.HasPrefix(p, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(p[len("/grants/"):], "/renew"), 10, 64)
		g := s.grants[id]
		switch {
		case g == nil:
			reply(404, []byte(`{}`))
		case method == "DELETE":
			s.end(id)
			reply(200, []byte(`{}`))
		default:
			g.ends = s.w.now + g.ttl
			reply(200, mustJSON(map[string]any{"permit": id}))
		}
	case p == "/changes":
		since, _ := strconv.ParseUint(q["from"], 10, 64)
		if since < s.oldest {
			reply(410, []byte(`{}`))
			return
		}
		ms, _ := strconv.Atoi(q["block_ms"])
		x := &stateWatch{from: since, under: q["under"], host: from, reply: reply}
		if s.answer(x) {
			return
		}
		s.watches = append(s.watches, x)
		s.w.after(time.Duration(ms)*time.Millisecond, func() {
			if !x.done && !s.away(x.host) {
				s.finish(x, nil)
			}
		})
	default:
		reply(400, []byte(`{"error":"no such path"}`))
	}
}

// Wipe loses everything, as if the service began anew: its revisions count from 1.
func (s *State) Wipe() {
	s.keys, s.grants, s.history, s.epoch, s.oldest = map[string]*stateKey{}, map[uint64]*stateGrant{}, nil, 0, 0
	for _, x := range s.watches {
		x.done = true
	}
	s.watches = nil
}

// Ask waits for an answer, for what works beside the controllers.
func (s *State) Ask(method, path string, body []byte) (status int, answer []byte, err error) {
	limited := s.Limited
	s.bucket, s.writes = s.w.cfg.RPS, s.w.cfg.WriteRPS // it keeps to a rate of its own
	s.serve("operator", method, path, body, func(st int, b []byte) { status, answer = st, b })
	s.Limited = limited
	for end := s.w.now + 10*time.Second; status == 0 && s.w.now < end; {
		s.w.Run(s.w.now + time.Millisecond)
	}
	return status, answer, nil
}

// LeaderName is the label of the controller that holds the leader's key, "" if none does.
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
