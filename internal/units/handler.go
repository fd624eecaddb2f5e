package units

import (
	"fmt"
	"strings"

	"brooklb/internal/actor"
	"brooklb/internal/answer"
	"brooklb/internal/httpx"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// Handler answers operators' requests about resources, on every node.
type Handler struct {
	env   actor.Env
	store *statestore.Store
	teams map[string]bool
	// Live returns the leader's view of a resource, with its holders if requested; nil
	// on other nodes.
	Live func(name string, holders bool) *wire.UnitsLive
}

// NewHandler returns the Handler of a node.
func NewHandler(env actor.Env, store *statestore.Store, teams []string) *Handler {
	h := &Handler{env: env, store: store, teams: map[string]bool{}}
	for _, t := range teams {
		h.teams[t] = true
	}
	return h
}

// Find returns a resource's record from the replica, nil if there is none.
func (h *Handler) Find(name string) (*Record, error) {
	it, ok := h.store.Peek(Key(name))
	if !ok {
		if !ValidName(name) {
			return nil, BadName(name)
		}
		return nil, nil
	}
	rec, err := Decode(name, it.Value)
	if err != nil {
		return nil, fmt.Errorf("resource %s: %w", name, ErrUnreadable)
	}
	return rec, nil
}

// Check returns an error if a job could never have its units.
func (h *Handler) Check(s *model.Spec) error { return CheckSatisfiable(s, h.Find) }

// Serve answers a request; it returns false for paths that are not of resources.
func (h *Handler) Serve(r *httpx.Request, reply func(httpx.Response)) bool {
	if r.Path != wire.PathUnits && !strings.HasPrefix(r.Path, wire.PathUnits+"/") {
		return false
	}
	if !h.store.Synced() {
		reply(answer.Unavailable)
		return true
	}
	name, verb, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(r.Path, wire.PathUnits), "/"), "/")
	switch {
	case name == "" && r.Method == "GET":
		h.list(reply)
	case !ValidName(name):
		reply(answer.Refuse(400, 0, "%v", BadName(name)))
	case verb == "" && r.Method == "GET":
		h.read(name, reply, func(rec *Record, _ uint64) {
			if rec == nil {
				reply(answer.Refuse(404, 0, "no resource %s is known", name))
				return
			}
			reply(httpx.Response{Status: 200, Body: wire.Encode(h.view(name, rec, true))})
		})
	case verb == "" && r.Method == "POST":
		u, err := wire.DecodeUnits(r.Body)
		if err != nil {
			reply(answer.Refuse(400, 0, "%v", err))
			return true
		}
		h.change(name, func(rec *Record) error { return h.set(rec, u) }, 4, reply)
	case verb == wire.VerbRemove && r.Method == "POST":
		info, err := wire.DecodeRequestInfo(r.Body)
		if err != nil {
			reply(answer.Refuse(400, 0, "%v", err))
			return true
		}
		h.change(name, func(rec *Record) error {
			if rec.V == 0 {
				return fmt.Errorf("no resource %s is known", name)
			}
			rec.Removed, rec.By = true, info.By
			return nil
		}, 4, reply)
	default:
		reply(answer.Refuse(405, 0, "GET, or POST to set"))
	}
	return true
}

func (h *Handler) read(name string, reply func(httpx.Response), then func(rec *Record, revision uint64)) {
	h.store.Read(Key(name), func(it *statestore.Item, ok bool) {
		switch {
		case !ok:
			reply(answer.Unavailable)
		case it == nil:
			then(nil, 0)
		default:
			rec, err := Decode(name, it.Value)
			if err != nil {
				reply(answer.Refuse(503, 5, "the record of resource %s can't be read", name))
				return
			}
			then(rec, it.Revision)
		}
	})
}

var priorities = map[string]model.Priority{"low": model.Low, "normal": model.Normal, "high": model.High, "production": model.Production}

// set changes the fields that the operator's request has and leaves the others, except
// Shed and By, which it always sets.
func (h *Handler) set(rec *Record, u *wire.UnitsUpdate) error {
	if u.Count == nil && rec.V == 0 {
		return fmt.Errorf("field count is missing: the resource is new")
	}
	if u.Count != nil {
		rec.Count, rec.Removed = *u.Count, false
	}
	if u.External != nil {
		rec.External = *u.External
	}
	if u.Teams != nil {
		rec.Teams = map[string]TeamLimits{}
		for t, p := range u.Teams {
			if !h.teams[t] {
				return fmt.Errorf("field teams: unknown team %q", t)
			}
			rec.Teams[t] = TeamLimits(p)
		}
	}
	if u.Reserve != nil {
		rec.Reserve = [4]int{}
		for name, n := range u.Reserve {
			p, ok := priorities[name]
			if !ok {
				return fmt.Errorf("field reserve: %q is none of low, normal, high, production", name)
			}
			rec.Reserve[p] = n
		}
	}
	rec.Shed, rec.By = u.Shed, u.By
	return rec.Check()
}

// change applies f to the current record and writes the result on the condition that no
// other write has changed the record. It retries a failed write up to tries times.
func (h *Handler) change(name string, f func(rec *Record) error, tries int, reply func(httpx.Response)) {
	h.read(name, reply, func(rec *Record, revision uint64) {
		if rec == nil {
			rec = &Record{}
			n := 0
			h.store.Each(Prefix, func(string, statestore.Item) { n++ })
			if n >= MaxResources {
				reply(answer.Refuse(422, 0, "%d resources are known, which is the most", n))
				return
			}
		}
		c := *rec
		if err := f(&c); err != nil {
			status := 400
			if rec.V == 0 && strings.HasPrefix(err.Error(), "no resource") {
				status = 404
			}
			reply(answer.Refuse(status, 0, "%v", err))
			return
		}
		c.AtMS, c.Nonce = h.env.Wall().UnixMilli(), fmt.Sprintf("%x", h.env.Rand().Uint64())
		limit := h.store.Config().ValueBytes
		if size := c.shortenAndMeasure(rec, limit); size > limit {
			reply(answer.TooLong(size, limit, "name fewer teams"))
			return
		}
		t := wire.Txn{When: []wire.Cond{{Path: Key(name), Revision: revision}}, Apply: []wire.Change{{Write: Key(name), Value: c.Encode()}}}
		h.store.Commit(t, false, func(r statestore.Result, _ uint64, _ []string) {
			switch {
			case r == statestore.OK:
				h.env.Log().Info("resource set", "name", name, "count", c.Count, "removed", c.Removed, "by", c.By)
				reply(httpx.Response{Status: 200, Body: wire.Encode(h.view(name, &c, false))})
			case (r == statestore.Conflict || r == statestore.Unknown) && tries > 0:
				// Read the record again: an earlier attempt may have been applied, or the
				// leader may have stored the answer of a probe.
				h.change(name, f, tries-1, reply)
			default:
				reply(answer.Unavailable)
			}
		})
	})
}

// shortenAndMeasure returns the size that counts against the limit for values when the record
// replaces another: the size to which it may grow if teams are added, and otherwise its present one,
// since records that an older program has written may have no room to grow. A removed resource that
// doesn't fit loses its teams.
func (r *Record) shortenAndMeasure(replaced *Record, limit int) int {
	if r.Removed && len(r.Encode()) > limit {
		r.Teams = nil
	}
	if largest := r.LargestBytes(); largest > replaced.LargestBytes() {
		return largest
	}
	return len(r.Encode())
}

func (h *Handler) view(name string, rec *Record, holders bool) wire.UnitsView {
	v := wire.UnitsView{Name: name, Count: rec.Count, Removed: rec.Removed, External: rec.External, By: rec.By, AtMS: rec.AtMS}
	for t, p := range rec.Teams {
		if v.Teams == nil {
			v.Teams = map[string]wire.TeamLimits{}
		}
		v.Teams[t] = wire.TeamLimits(p)
	}
	for p, n := range rec.Reserve {
		if n > 0 {
			if v.Reserve == nil {
				v.Reserve = map[string]int{}
			}
			v.Reserve[model.Priority(p).String()] = n
		}
	}
	if h.Live != nil {
		v.Live = h.Live(name, holders)
	}
	return v
}

// maxListed is how many resources one answer lists at most.
const maxListed = 150

func (h *Handler) list(reply func(httpx.Response)) {
	var out struct {
		Units []wire.UnitsView `json:"units"`
		More  int              `json:"more,omitempty"`
	}
	out.Units = []wire.UnitsView{}
	h.store.Each(Prefix, func(k string, it statestore.Item) {
		name := strings.TrimPrefix(k, Prefix)
		if len(out.Units) >= maxListed {
			out.More++
			return
		}
		rec, err := Decode(name, it.Value)
		if err != nil {
			out.Units = append(out.Units, wire.UnitsView{Name: name, Trouble: "its record can't be read"})
			return
		}
		v := h.view(name, rec, false)
		v.Teams, v.Reserve = nil, nil
		out.Units = append(out.Units, v)
	})
	reply(httpx.Response{Status: 200, Body: wire.Encode(out)})
}
