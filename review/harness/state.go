package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// bucket is a token bucket with bursts of one second's worth.
type bucket struct {
	rate, level float64
	last        time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

type stored struct {
	value         json.RawMessage
	stamp, permit uint64
}

type change struct {
	key    string
	value  json.RawMessage // nil: deleted
	stamp  uint64
	delete bool
}

type grant struct {
	ttl     time.Duration
	expires time.Time
}

// stateService is a stand-in for the state service: keys, transactions, leases and watches, with
// the limits of the settings.
type stateService struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	keys     map[string]stored
	epoch    uint64
	history  []change
	grants   map[uint64]*grant
	permits  uint64
	requests bucket
	writes   bucket
	facts    stateFacts
	refusals int
}

type stateFacts struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

func newStateService(f stateFacts) *stateService {
	now := time.Now()
	s := &stateService{changed: make(chan struct{}), keys: map[string]stored{}, epoch: 1, grants: map[uint64]*grant{}, facts: f,
		requests: bucket{f.rps, f.rps, now}, writes: bucket{f.writeRPS, f.writeRPS, now}}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *stateService) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.grants {
		if time.Now().After(g.expires) {
			s.end(id)
		}
	}
}

// end ends a lease and removes its keys.
func (s *stateService) end(id uint64) {
	delete(s.grants, id)
	for k, v := range s.keys {
		if v.permit == id {
			s.epoch++
			delete(s.keys, k)
			s.note(change{key: k, stamp: s.epoch, delete: true})
		}
	}
}

func (s *stateService) note(c change) {
	s.history = append(s.history, c)
	if len(s.history) > 10000 {
		s.history = s.history[len(s.history)-10000:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil || len(body) > 64<<10 {
		answer(w, 400, map[string]any{"error": "body"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.requests.take(1) {
		s.refusals++
		answer(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	switch p := r.URL.Path; {
	case p == "/keys" && r.Method == "GET":
		s.list(w, r)
	case strings.HasPrefix(p, "/keys/") && r.Method == "GET":
		key := strings.TrimPrefix(p, "/keys/")
		if v, ok := s.keys[key]; ok {
			m := map[string]any{"path": key, "value": v.value, "stamp": v.stamp}
			if v.permit != 0 {
				m["permit"] = v.permit
			}
			answer(w, 200, m)
			return
		}
		answer(w, 404, map[string]any{"epoch": s.epoch})
	case p == "/commit" && r.Method == "POST":
		s.commit(w, body)
	case p == "/grants" && r.Method == "POST":
		var x struct {
			TTL int `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &x) != nil || x.TTL < 100 || x.TTL > 600000 {
			answer(w, 400, map[string]any{"error": "ttl_ms"})
			return
		}
		s.permits++
		ttl := time.Duration(x.TTL) * time.Millisecond
		s.grants[s.permits] = &grant{ttl, time.Now().Add(ttl)}
		answer(w, 200, map[string]any{"permit": s.permits})
	case strings.HasPrefix(p, "/grants/"):
		rest, renew := strings.CutSuffix(strings.TrimPrefix(p, "/grants/"), "/renew")
		id, err := strconv.ParseUint(rest, 10, 64)
		g := s.grants[id]
		switch {
		case err != nil:
			answer(w, 400, map[string]any{"error": "permit"})
		case g == nil:
			answer(w, 404, map[string]any{"epoch": s.epoch})
		case renew && r.Method == "POST":
			g.expires = time.Now().Add(g.ttl)
			answer(w, 200, map[string]any{"permit": id})
		case !renew && r.Method == "DELETE":
			s.end(id)
			answer(w, 200, map[string]any{"epoch": s.epoch})
		default:
			answer(w, 400, map[string]any{"error": "method"})
		}
	case p == "/changes" && r.Method == "GET":
		s.watch(w, r)
	default:
		answer(w, 400, map[string]any{"error": "path"})
	}
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	under, from := r.URL.Query().Get("under"), r.URL.Query().Get("from")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, next := []any{}, 0, false
	for _, k := range keys {
		v := s.keys[k]
		size += len(k) + len(v.value) + 60
		if len(items) >= most || size > 512<<10 {
			next = true
			break
		}
		items = append(items, map[string]any{"path": k, "value": v.value, "stamp": v.stamp})
	}
	answer(w, 200, map[string]any{"items": items, "has_next": next, "epoch": s.epoch})
}

func (s *stateService) commit(w http.ResponseWriter, body []byte) {
	var t struct {
		When []struct {
			Path  string `json:"path"`
			Stamp uint64 `json:"stamp"`
		} `json:"when"`
		Apply []struct {
			Write  string          `json:"write"`
			Value  json.RawMessage `json:"value"`
			Permit uint64          `json:"permit"`
			Delete string          `json:"delete"`
		} `json:"apply"`
	}
	if json.Unmarshal(body, &t) != nil || len(t.Apply) > s.facts.txnOps || len(t.When) > 4*s.facts.txnOps {
		answer(w, 400, map[string]any{"error": "malformed transaction"})
		return
	}
	if len(t.Apply) > 0 && !s.writes.take(float64(len(t.Apply))) {
		s.refusals++
		answer(w, 429, map[string]any{"error": "too many changes"})
		return
	}
	for _, c := range t.Apply {
		key := c.Write + c.Delete
		if (c.Write == "") == (c.Delete == "") || len(key) > 200 || float64(len(c.Value)) > s.facts.valueKB*1024 {
			answer(w, 400, map[string]any{"error": "malformed change"})
			return
		}
		if c.Write != "" && c.Permit != 0 && s.grants[c.Permit] == nil {
			answer(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.When {
		if s.keys[c.Path].stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		answer(w, 409, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(t.Apply) > 0 {
		s.epoch++
	}
	for _, c := range t.Apply {
		if c.Delete != "" {
			if _, ok := s.keys[c.Delete]; ok {
				delete(s.keys, c.Delete)
				s.note(change{key: c.Delete, stamp: s.epoch, delete: true})
			}
			continue
		}
		v := append(json.RawMessage(nil), c.Value...)
		s.keys[c.Write] = stored{v, s.epoch, c.Permit}
		s.note(change{key: c.Write, value: v, stamp: s.epoch})
	}
	answer(w, 200, map[string]any{"epoch": s.epoch})
}

// watch answers once a key with the prefix has changed or the time is over. The caller holds the
// lock, which is given up while waiting.
func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	under := r.URL.Query().Get("under")
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	block, _ := strconv.Atoi(r.URL.Query().Get("block_ms"))
	end := time.Now().Add(time.Duration(min(block, 60000)) * time.Millisecond)
	for {
		if len(s.history) >= 10000 && s.history[0].stamp > from+1 {
			answer(w, 410, map[string]any{"epoch": s.epoch})
			return
		}
		news := []any{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].stamp > from })
		for _, c := range s.history[i:] {
			switch {
			case !strings.HasPrefix(c.key, under):
			case c.delete:
				news = append(news, map[string]any{"delete": c.key, "stamp": c.stamp})
			default:
				news = append(news, map[string]any{"write": c.key, "value": c.value, "stamp": c.stamp})
			}
		}
		if len(news) > 0 || !time.Now().Before(end) {
			answer(w, 200, map[string]any{"epoch": s.epoch, "news": news})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}
