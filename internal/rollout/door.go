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

// Door answers what users ask about services, on every node. What they want is
// written to the service's record, where the leader finds it.
type Door struct {
	env   actor.Env
	store *statestore.Store
	teams map[string]settings.Team
	// Check finds out whether a job can ever run.
	Check func(s *model.Spec) (known bool, err error)
	// Understood reports whether all controllers that were heard of read records of
	// roll-outs.
	Understood func() bool
	// Live is what a leader sees, nil on other nodes.
	Live func(name string) (*wire.RolloutLive, string)
}

// NewDoor makes the door of a node.
func NewDoor(env actor.Env, store *statestore.Store, teams []settings.Team) *Door {
	d := &Door{env: env, store: store, teams: map[string]settings.Team{}}
	for _, t := range teams {
		d.teams[t.Name] = t
	}
	return d
}

// mostListed bounds how many services one answer lists.
const mostListed = 200

// Serve answers a request; it returns false for paths of others.
func (d *Door) Serve(r *httpx.Request, reply func(httpx.Response)) bool {
	if r.Path != wire.PathServices && !strings.HasPrefix(r.Path, wire.PathServices+"/") {
		return false
	}
	if !d.store.Synced() {
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
		d.list(reply)
	case !wire.ValidService(name):
		reply(answer.Refuse(404, 0, "%q is no name of a service: up to 40 of a-z, 0-9 and -", name))
	case verb == "":
		d.status(name, reply)
	case verb == wire.VerbHistory:
		d.history(name, reply)
	case verb == wire.VerbStart:
		d.start(name, r.Body, reply)
	case slices.Contains([]string{wire.VerbPause, wire.VerbResume, wire.VerbAbort, wire.VerbWithdraw}, verb):
		asked, err := wire.DecodeRequestInfo(r.Body)
		if err != nil {
			reply(answer.Refuse(400, 0, "%v", err))
			return true
		}
		d.ask(name, verb, asked, 4, reply)
	default:
		reply(answer.Refuse(404, 0, "no such path"))
	}
	return true
}

// read brings a service's record as it is now; rec is nil if there is none.
func (d *Door) read(name string, reply func(httpx.Response), then func(rec *Record, stamp uint64)) {
	d.store.Read(Key(name), func(it *statestore.Item, ok bool) {
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
			d.env.Log().Error("service record can't be read, kept as it is", "key", Key(name), "err", err)
			reply(answer.Refuse(503, 5, "the record of service %s can't be read", name))
			return
		}
		then(rec, it.Stamp)
	})
}

func (d *Door) tell(name string, rec *Record) httpx.Response {
	v := wire.ServiceView{Service: name, Ended: rec.Ended, Rollout: rec.view(name)}
	if rec.Cur != nil {
		v.Version = rec.Cur.Job
	}
	if v.Rollout != nil && d.Live != nil {
		live, waits := d.Live(name)
		if v.Rollout.Live = live; live != nil && v.Rollout.Why == "" {
			v.Rollout.Why = waits
		}
	}
	return httpx.Response{Status: 200, Body: wire.Encode(v)}
}

func (d *Door) status(name string, reply func(httpx.Response)) {
	d.read(name, reply, func(rec *Record, _ uint64) {
		if rec == nil {
			reply(answer.Refuse(404, 0, "no service %s is known", name))
			return
		}
		reply(d.tell(name, rec))
	})
}

// list shows all services from the replica, which may lag by a moment.
func (d *Door) list(reply func(httpx.Response)) {
	var out struct {
		Services []wire.ServiceView `json:"services"`
		More     int                `json:"more,omitempty"`
	}
	out.Services = []wire.ServiceView{}
	d.store.Each(Prefix, func(k string, it statestore.Item) {
		name := strings.TrimPrefix(k, Prefix)
		if len(out.Services) >= mostListed {
			out.More++
			return
		}
		v := wire.ServiceView{Service: name}
		if rec, err := Decode(name, it.Value); err == nil {
			v.Ended = rec.Ended
			if rec.Cur != nil {
				v.Version = rec.Cur.Job
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

func (d *Door) history(name string, reply func(httpx.Response)) {
	d.read(name, reply, func(rec *Record, _ uint64) {
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
		for n := rec.N; n > max(0, rec.N-keepHistory); n-- {
			it, ok := d.store.Peek(HistoryKey(name, n))
			if !ok {
				continue
			}
			p, err := decodePast(HistoryKey(name, n), it.Value)
			if err != nil {
				d.env.Log().Error("history can't be read, kept as it is", "err", err)
				out.Rollouts = append(out.Rollouts, wire.RolloutView{ID: fmt.Sprintf("%s/%d", name, n), Why: "its record can't be read"})
				continue
			}
			out.Rollouts = append(out.Rollouts, p.view(name))
		}
		reply(httpx.Response{Status: 200, Body: wire.Encode(out)})
	})
}

// underWay is the refusal of what can't be done during a roll-out.
func underWay(name string, rec *Record) httpx.Response {
	return answer.Refuse(409, 30, "roll-out %s to %s is under way (%s, step %d of %d): wait for its end, or abort it", rec.id(name), rec.New.Job,
		rec.Roll.State, rec.Roll.Step+1, rec.steps())
}

// commit writes for a user. A write without an answer is written again under the
// same conditions.
func (d *Door) commit(t wire.Txn, tries int, reply func(httpx.Response), done, conflict func()) {
	d.store.Commit(t, false, func(r statestore.Result, _ uint64, _ []string) {
		switch {
		case r == statestore.OK:
			done()
		case r == statestore.Conflict:
			conflict()
		case r == statestore.Unknown && tries > 0:
			d.commit(t, tries-1, reply, done, conflict)
		default:
			reply(answer.Unavailable)
		}
	})
}

// ask changes what a user may change of a roll-out, or ends the service.
func (d *Door) ask(name, verb string, asked wire.RequestInfo, tries int, reply func(httpx.Response)) {
	d.read(name, reply, func(rec *Record, stamp uint64) {
		if rec == nil {
			reply(answer.Refuse(404, 0, "no service %s is known", name))
			return
		}
		if verb == wire.VerbWithdraw {
			d.withdraw(name, rec, stamp, asked, tries, reply)
			return
		}
		if rec.Roll == nil {
			reply(answer.Refuse(409, 0, "service %s has no roll-out under way", name))
			return
		}
		c := rec.copy()
		c.Change = fmt.Sprintf("%x", d.env.Rand().Uint64())
		now := d.env.Wall().UnixMilli()
		switch verb {
		case wire.VerbPause:
			if c.Roll.State == Returning || c.Roll.State == Stuck {
				reply(answer.Refuse(409, 0, "roll-out %s is %s, only its way forward can be paused", rec.id(name), c.Roll.State))
				return
			}
			c.Roll.Paused, c.Roll.Why = true, clip(by("paused", asked))
		case wire.VerbResume:
			switch {
			case c.Roll.State == Stuck:
				c.Roll.State, c.Roll.Ends, c.Roll.Proofs, c.Roll.Since = Rolling, 0, nil, now
				c.N, c.Roll.Why = c.N+1, clip(by("taken up again", asked)) // counts anew
			case !c.Roll.Paused:
				reply(d.tell(name, rec))
				return
			default:
				c.Roll.Paused, c.Roll.Why, c.Roll.Since = false, "", now
			}
		case wire.VerbAbort:
			switch {
			case c.Cur == nil:
				reply(answer.Refuse(409, 0, "service %s has no earlier version to go back to: withdraw it", name))
				return
			case c.Roll.State == Returning:
				reply(d.tell(name, rec))
				return
			}
			c.Roll.State, c.Roll.Paused, c.Roll.Since, c.Roll.Why = Returning, false, now, clip(by("aborted", asked))
		}
		t := wire.Txn{When: []wire.Cond{{Path: Key(name), Stamp: stamp}}, Apply: []wire.Change{{Write: Key(name), Value: c.encode()}}}
		d.settle(name, verb, asked, t, c, tries, reply)
	})
}

func (d *Door) settle(name, verb string, asked wire.RequestInfo, t wire.Txn, c *Record, tries int, reply func(httpx.Response)) {
	d.commit(t, tries, reply, func() {
		d.env.Log().Info("roll-out: a user asks", "id", c.id(name), "verb", verb, "by", asked.By, "why", asked.Why)
		reply(d.tell(name, c))
	}, func() {
		// The leader wrote meanwhile, or it was an earlier copy of ours.
		if tries == 0 {
			reply(answer.Refuse(503, 1, "the roll-out changes too often just now, come back"))
			return
		}
		d.ask(name, verb, asked, tries-1, reply)
	})
}

func by(what string, a wire.RequestInfo) string {
	if a.By != "" {
		what += " by " + a.By
	}
	if a.Why != "" {
		what += ": " + a.Why
	}
	return what
}

// withdraw ends a service: all its versions, and the roll-out if there is one.
func (d *Door) withdraw(name string, rec *Record, stamp uint64, asked wire.RequestInfo, tries int, reply func(httpx.Response)) {
	if rec.Ended {
		reply(d.tell(name, rec))
		return
	}
	why := by("service "+name+" withdrawn", asked)
	var p *past
	if rec.Roll != nil {
		p = rec.history(Withdrawn, why, d.env.Wall().UnixMilli())
	}
	when, apply, err := closing(d.store, name, rec.N, p, []*version{rec.Cur, rec.New}, why)
	if err != nil {
		reply(answer.Refuse(503, 5, "%v", err))
		return
	}
	c := rec.copy()
	c.Cur, c.New, c.Roll, c.Ended = nil, nil, nil, true
	c.Change = fmt.Sprintf("%x", d.env.Rand().Uint64())
	t := wire.Txn{When: append(when, wire.Cond{Path: Key(name), Stamp: stamp}), Apply: append(apply, wire.Change{Write: Key(name), Value: c.encode()})}
	d.settle(name, wire.VerbWithdraw, asked, t, c, tries, reply)
}
