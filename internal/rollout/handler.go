package rollout

import (
	"fmt"
	"slices"
	"strings"

	"brooklb/internal/actor"
	"brooklb/internal/answer"
	"brooklb/internal/httpx"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// Handler answers users' requests about services, on every node. It writes what they
// request to the service's record, which the leader acts on.
type Handler struct {
	env   actor.Env
	store *statestore.Store
	teams map[string]settings.Team
	zones []string
	// Check reports why a job can never run. known is false while that can't be decided:
	// the machine types aren't known, or a controller doesn't count resources.
	Check func(s *model.Spec) (known bool, err error)
	// RolloutsSupported reports whether all controllers with a recent status can read the
	// records of roll-outs. During an upgrade some can't.
	RolloutsSupported func() bool
	// BeginningSupported reports whether all controllers with a recent status can carry out a
	// roll-out that begins a service (Version).
	BeginningSupported func() bool
	// Live returns the leader's view of a service's roll-out and why it doesn't advance,
	// nil on other nodes.
	Live func(name string) (*wire.RolloutLive, string)
}

// NewHandler returns the Handler of a node.
func NewHandler(env actor.Env, store *statestore.Store, teams []settings.Team, zones []string) *Handler {
	h := &Handler{env: env, store: store, teams: map[string]settings.Team{}, zones: zones}
	for _, t := range teams {
		h.teams[t.Name] = t
	}
	return h
}

// maxListed is how many services one answer lists at most.
const maxListed = 200

// Serve answers a request; it returns false for paths that are not of services.
func (h *Handler) Serve(r *httpx.Request, reply func(httpx.Response)) bool {
	if r.Path != wire.PathServices && !strings.HasPrefix(r.Path, wire.PathServices+"/") {
		return false
	}
	if !h.store.Synced() {
		reply(answer.Unavailable)
		return true
	}
	rest := strings.TrimPrefix(strings.TrimPrefix(r.Path, wire.PathServices), "/")
	name, verb, _ := strings.Cut(rest, "/")
	want := "POST"
	if verb == "" || verb == wire.VerbHistory {
		want = "GET"
	}
	switch {
	case r.Method != want:
		reply(answer.Refuse(405, 0, "%s only", want))
	case rest == "":
		h.list(reply)
	case !wire.ValidService(name):
		reply(answer.Refuse(404, 0, "%q is no name of a service: up to 40 of a-z, 0-9 and -", name))
	case verb == "":
		h.status(name, reply)
	case verb == wire.VerbHistory:
		h.history(name, reply)
	case verb == wire.VerbStart:
		h.start(name, r.Body, reply)
	case slices.Contains([]string{wire.VerbPause, wire.VerbResume, wire.VerbAbort, wire.VerbWithdraw}, verb):
		info, err := wire.DecodeRequestInfo(r.Body)
		if err != nil {
			reply(answer.Refuse(400, 0, "%v", err))
			return true
		}
		h.requestChange(name, verb, info, 4, reply)
	default:
		reply(answer.Refuse(404, 0, "no such path"))
	}
	return true
}

// read passes the current record of a service to then; rec is nil if there is none.
func (h *Handler) read(name string, reply func(httpx.Response), then func(rec *Record, revision uint64)) {
	h.store.Read(Key(name), func(it *statestore.Item, ok bool) {
		if !ok {
			reply(answer.Unavailable)
			return
		}
		if it == nil {
			then(nil, 0)
			return
		}
		rec, err := Decode(name, it.Value)
		if err != nil {
			h.env.Log().Error("service record can't be read, left unchanged", "key", Key(name), "err", err)
			reply(answer.Refuse(503, 5, "the record of service %s can't be read", name))
			return
		}
		then(rec, it.Revision)
	})
}

func (h *Handler) statusResponse(name string, rec *Record) httpx.Response {
	v := wire.ServiceView{Service: name, Ended: rec.Ended, Rollout: rec.view(name)}
	if rec.Current != nil {
		v.Version = rec.Current.Job
	}
	if v.Rollout != nil && h.Live != nil {
		live, waits := h.Live(name)
		if v.Rollout.Live = live; live != nil && v.Rollout.Why == "" {
			v.Rollout.Why = waits
		}
	}
	return httpx.Response{Status: 200, Body: wire.Encode(v)}
}

func (h *Handler) status(name string, reply func(httpx.Response)) {
	h.read(name, reply, func(rec *Record, _ uint64) {
		if rec == nil {
			reply(answer.Refuse(404, 0, "no service %s is known", name))
			return
		}
		reply(h.statusResponse(name, rec))
	})
}

// list answers with all services from the replica, which may lag by a moment.
func (h *Handler) list(reply func(httpx.Response)) {
	var out struct {
		Services []wire.ServiceView `json:"services"`
		More     int                `json:"more,omitempty"`
	}
	out.Services = []wire.ServiceView{}
	h.store.Each(Prefix, func(k string, it statestore.Item) {
		name := strings.TrimPrefix(k, Prefix)
		if len(out.Services) >= maxListed {
			out.More++
			return
		}
		v := wire.ServiceView{Service: name}
		if rec, err := Decode(name, it.Value); err == nil {
			v.Ended = rec.Ended
			if rec.Current != nil {
				v.Version = rec.Current.Job
			}
			if v.Rollout = rec.view(name); v.Rollout != nil {
				v.Rollout.Evidence = nil
			}
		} else {
			v.Version = "its record can't be read"
		}
		out.Services = append(out.Services, v)
	})
	reply(httpx.Response{Status: 200, Body: wire.Encode(out)})
}

func (h *Handler) history(name string, reply func(httpx.Response)) {
	h.read(name, reply, func(rec *Record, _ uint64) {
		if rec == nil {
			reply(answer.Refuse(404, 0, "no service %s is known", name))
			return
		}
		var out struct {
			Service  string             `json:"service"`
			Rollouts []wire.RolloutView `json:"rollouts"` // the newest first
		}
		out.Service, out.Rollouts = name, []wire.RolloutView{}
		if v := rec.view(name); v != nil {
			out.Rollouts = append(out.Rollouts, *v)
		}
		for n := rec.Number; n > max(0, rec.Number-maxHistory); n-- {
			it, ok := h.store.Peek(HistoryKey(name, n))
			if !ok {
				continue
			}
			p, err := decodePast(HistoryKey(name, n), it.Value)
			if err != nil {
				h.env.Log().Error("history record of a service can't be read, left unchanged", "err", err)
				out.Rollouts = append(out.Rollouts, wire.RolloutView{ID: fmt.Sprintf("%s/%d", name, n), Why: "its record can't be read"})
				continue
			}
			out.Rollouts = append(out.Rollouts, p.view(name))
		}
		reply(httpx.Response{Status: 200, Body: wire.Encode(out)})
	})
}

// inProgressResponse refuses a request that can't be carried out during a roll-out.
func inProgressResponse(name string, rec *Record) httpx.Response {
	return answer.Refuse(409, 30, "roll-out %s to %s is under way (%s, step %d of %d): wait for its end, or abort it", rec.id(name), rec.New.Job,
		rec.Rollout.State, rec.Rollout.Step+1, rec.steps())
}

// commit applies a transaction for a user. If its outcome is unknown, it is sent again
// with the same conditions.
func (h *Handler) commit(t wire.Txn, tries int, reply func(httpx.Response), done, conflict func()) {
	h.store.Commit(t, false, func(r statestore.Result, _ uint64, _ []string) {
		switch {
		case r == statestore.OK:
			done()
		case r == statestore.Conflict:
			conflict()
		case r == statestore.Unknown && tries > 0:
			h.commit(t, tries-1, reply, done, conflict)
		default:
			reply(answer.Unavailable)
		}
	})
}

// requestChange pauses, resumes or aborts a roll-out, or withdraws the service.
func (h *Handler) requestChange(name, verb string, info wire.RequestInfo, tries int, reply func(httpx.Response)) {
	h.read(name, reply, func(rec *Record, revision uint64) {
		if rec == nil {
			reply(answer.Refuse(404, 0, "no service %s is known", name))
			return
		}
		if verb == wire.VerbWithdraw {
			h.withdraw(name, rec, revision, info, tries, reply)
			return
		}
		if rec.Rollout == nil {
			reply(answer.Refuse(409, 0, "service %s has no roll-out under way", name))
			return
		}
		c := rec.copy()
		c.Nonce = fmt.Sprintf("%x", h.env.Rand().Uint64())
		now := h.env.Wall().UnixMilli()
		switch verb {
		case wire.VerbPause:
			if c.Rollout.State == RollingBack || c.Rollout.State == Stuck {
				reply(answer.Refuse(409, 0, "roll-out %s is %s, only its way forward can be paused", rec.id(name), c.Rollout.State))
				return
			}
			c.Rollout.Paused, c.Rollout.Why = true, clip(withReason("paused", info))
		case wire.VerbResume:
			switch {
			case c.Rollout.State == Stuck:
				c.Rollout.State, c.Rollout.Ends, c.Rollout.Evidence, c.Rollout.SinceMS = Rolling, 0, nil, now
				// The new number resets the leader's failure counts.
				c.Number, c.Rollout.Why = c.Number+1, clip(withReason("taken up again", info))
			case !c.Rollout.Paused:
				reply(h.statusResponse(name, rec))
				return
			default:
				c.Rollout.Paused, c.Rollout.Why, c.Rollout.SinceMS = false, "", now
			}
		case wire.VerbAbort:
			switch {
			case c.Current == nil:
				reply(answer.Refuse(409, 0, "service %s has no earlier version to go back to: withdraw it", name))
				return
			case c.Rollout.State == RollingBack:
				reply(h.statusResponse(name, rec))
				return
			}
			c.Rollout.State, c.Rollout.Paused, c.Rollout.SinceMS, c.Rollout.Why = RollingBack, false, now, clip(withReason("aborted", info))
		}
		t := wire.Txn{When: []wire.Cond{{Path: Key(name), Revision: revision}}, Apply: []wire.Change{{Write: Key(name), Value: c.encodeWithin(h.store.Config().ValueBytes)}}}
		h.commitChange(name, verb, info, t, c, tries, reply)
	})
}

func (h *Handler) commitChange(name, verb string, info wire.RequestInfo, t wire.Txn, c *Record, tries int, reply func(httpx.Response)) {
	h.commit(t, tries, reply, func() {
		h.env.Log().Info("roll-out or service changed by a user's request", "id", c.id(name), "verb", verb, "by", info.By, "why", info.Why)
		reply(h.statusResponse(name, c))
	}, func() {
		// The leader changed the record meanwhile, or an earlier attempt of this write
		// was applied.
		if tries == 0 {
			reply(answer.Refuse(503, 1, "the roll-out changes too often just now, come back"))
			return
		}
		h.requestChange(name, verb, info, tries-1, reply)
	})
}

func withReason(what string, info wire.RequestInfo) string {
	if info.By != "" {
		what += " by " + info.By
	}
	if info.Why != "" {
		what += ": " + info.Why
	}
	return what
}

// withdraw ends a service: all its versions, and its roll-out if there is one.
func (h *Handler) withdraw(name string, rec *Record, revision uint64, info wire.RequestInfo, tries int, reply func(httpx.Response)) {
	if rec.Ended {
		reply(h.statusResponse(name, rec))
		return
	}
	why := withReason("service "+name+" withdrawn", info)
	var p *pastRollout
	if rec.Rollout != nil {
		p = rec.history(Withdrawn, why, h.env.Wall().UnixMilli())
	}
	when, apply, err := endingChanges(h.store, name, rec.Number, p, []*version{rec.Current, rec.New}, why)
	if err != nil {
		reply(answer.Refuse(503, 5, "%v", err))
		return
	}
	c := rec.copy()
	c.Current, c.New, c.Rollout, c.Ended = nil, nil, nil, true
	c.Nonce = fmt.Sprintf("%x", h.env.Rand().Uint64())
	t := wire.Txn{When: append(when, wire.Cond{Path: Key(name), Revision: revision}), Apply: append(apply, wire.Change{Write: Key(name), Value: c.encodeWithin(h.store.Config().ValueBytes)})}
	h.commitChange(name, wire.VerbWithdraw, info, t, c, tries, reply)
}
