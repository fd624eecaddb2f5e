package rollout

import (
	"fmt"

	"brooklb/internal/answer"
	"brooklb/internal/httpx"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// start begins a roll-out after checking the request.
func (h *Handler) start(name string, body []byte, reply func(httpx.Response)) {
	plan, err := wire.DecodeRollout(body)
	if err != nil {
		reply(answer.Refuse(400, 0, "%v", err))
		return
	}
	s := plan.Job
	if s.Kind != model.Service {
		reply(answer.Refuse(422, 0, "only services are rolled out: %s is a job whose tasks end by themselves", s.ID))
		return
	}
	if s.Tasks > MaxInstances {
		reply(answer.Refuse(422, 0, "a service that is rolled out has at most %d instances", MaxInstances))
		return
	}
	known, err := h.Check(s)
	if !known {
		reply(answer.Refuse(503, 1, "the machine types aren't known yet"))
		return
	}
	if err != nil {
		reply(answer.Refuse(422, 0, "%v", err))
		return
	}
	if plan.After == name {
		reply(answer.Refuse(422, 0, "field after names the service itself"))
		return
	}
	if h.RolloutsSupported != nil && !h.RolloutsSupported() {
		reply(answer.Refuse(503, 30, "a controller runs a program that knows no roll-outs: finish the upgrade first"))
		return
	}
	h.read(name, reply, func(rec *Record, revision uint64) {
		if refusal := h.checkStart(name, rec, plan); refusal != nil {
			reply(*refusal)
			return
		}
		from := plan.From
		if rec != nil && rec.Current != nil {
			from = rec.Current.Job
		}
		h.store.Read(ledger.JobKey(s.ID), func(it *statestore.Item, ok bool) {
			switch {
			case !ok:
				reply(answer.Unavailable)
			case it != nil:
				reply(answer.Refuse(409, 0, "there is a job %s already: each version has an id of its own, which never returns", s.ID))
			case from == "" && h.BeginningSupported != nil && !h.BeginningSupported():
				reply(answer.Refuse(503, 30, "a controller runs a program that can't begin a service by a roll-out: finish the upgrade first, or name a running job in from"))
			case from == "":
				h.create(name, rec, revision, plan, nil, 0, reply)
			default:
				h.store.Read(ledger.JobKey(from), func(it *statestore.Item, ok bool) {
					if !ok {
						reply(answer.Unavailable)
						return
					}
					if it == nil {
						reply(answer.Refuse(404, 0, "no job %s is known", from))
						return
					}
					old, err := ledger.DecodeRecord(from, it.Value)
					if err != nil {
						reply(answer.Refuse(503, 5, "the record of job %s can't be read", from))
						return
					}
					h.create(name, rec, revision, plan, old, it.Revision, reply)
				})
			}
		})
	})
}

// checkStart returns the answer to a request that can't begin a roll-out or that has
// done so already, nil if the roll-out can begin.
func (h *Handler) checkStart(name string, rec *Record, plan *wire.Rollout) *httpx.Response {
	respond := func(r httpx.Response) *httpx.Response { return &r }
	if rec == nil {
		n := 0
		h.store.Each(Prefix, func(string, statestore.Item) { n++ })
		if n >= MaxServices {
			return respond(answer.Refuse(422, 0, "%d services are known, which is the most", n))
		}
	}
	if rec != nil && rec.Rollout != nil {
		if rec.New.Job == plan.Job.ID {
			return respond(h.statusResponse(name, rec)) // the request was repeated
		}
		return respond(inProgressResponse(name, rec))
	}
	if rec != nil && rec.Current != nil {
		if rec.Current.Job == plan.Job.ID {
			return respond(h.statusResponse(name, rec))
		}
		if plan.From != "" && plan.From != rec.Current.Job {
			return respond(answer.Refuse(409, 0, "service %s is %s, not %s", name, rec.Current.Job, plan.From))
		}
	}
	// Services that wait for each other would never begin.
	for after, k := plan.After, 0; after != ""; k++ {
		it, ok := h.store.Peek(Key(after))
		if !ok {
			return respond(answer.Refuse(422, 0, "field after: no service %s is known", after))
		}
		other, err := Decode(after, it.Value)
		if err != nil {
			return respond(answer.Refuse(503, 5, "the record of service %s can't be read", after))
		}
		if k > 20 || other.Rollout != nil && other.Rollout.Plan.After == name {
			return respond(answer.Refuse(422, 0, "field after: service %s waits for %s itself", after, name))
		}
		after = ""
		if other.Rollout != nil {
			after = other.Rollout.Plan.After
		}
	}
	return nil
}

// create writes the new version and the roll-out to it in one transaction. old is the record of the
// job that the roll-out replaces, nil if it replaces none.
func (h *Handler) create(name string, rec *Record, revision uint64, plan *wire.Rollout, old *ledger.JobRecord, oldRevision uint64, reply func(httpx.Response)) {
	s := plan.Job
	from := plan.From
	c := &Record{V: recordFormat}
	if rec != nil {
		c = rec.copy()
		if c.Current != nil {
			from = c.Current.Job
		}
	}
	t := wire.Txn{When: []wire.Cond{{Path: Key(name), Revision: revision}, {Path: ledger.JobKey(s.ID)}}}
	if old != nil {
		if refusal := h.checkAdoption(name, from, plan, old); refusal != nil {
			reply(*refusal)
			return
		}
		t.When = append(t.When, wire.Cond{Path: ledger.JobKey(from), Revision: oldRevision})
		if old.Service == "" {
			// The job becomes a version of this service, and can't be one of another.
			old.SetService(name)
			t.Apply = append(t.Apply, wire.Change{Write: ledger.JobKey(from), Value: old.Encode()})
		}
		if tasks := old.JobSpec().Tasks; c.Current == nil {
			c.Current = &version{Job: from, Tasks: tasks, Wanted: fullSet(tasks), Health: plan.Health}
		}
	}
	now := h.env.Wall().UnixMilli()
	c.begin(plan, now)
	c.Nonce = fmt.Sprintf("%x", h.env.Rand().Uint64())
	job := ledger.NewRecord(s, now, c.Nonce, ledger.TasksPerChunk(h.store.Config().ValueBytes))
	job.SetService(name)
	if refusal := h.checkSizes(c, job, old); refusal != nil {
		reply(*refusal)
		return
	}
	// The job's record comes first, so that the leader sees it before the service's.
	t.Apply = append(t.Apply, wire.Change{Write: ledger.JobKey(s.ID), Value: job.Encode()}, wire.Change{Write: Key(name), Value: c.encode()})
	h.commit(t, 4, reply, func() {
		h.env.Log().Info("roll-out accepted", "id", c.id(name), "from", from, "to", s.ID, "by", plan.By)
		resp := h.statusResponse(name, c)
		resp.Status = 201
		reply(resp)
	}, func() { h.answerAfterConflict(name, s.ID, reply) })
}

// begin adds a roll-out to the record.
func (r *Record) begin(plan *wire.Rollout, atMS int64) {
	r.V, r.Number, r.Ended = recordFormat, r.Number+1, false
	r.New = &version{Job: plan.Job.ID, Tasks: plan.Job.Tasks, Health: plan.Health}
	kept := *plan
	kept.Health = nil // the versions keep it
	r.Rollout = &activeRollout{Plan: &kept, State: Rolling, StartedMS: atMS, SinceMS: atMS}
	if plan.After != "" {
		r.Rollout.State = Waiting
	}
}

// checkAdoption returns the answer to a request whose roll-out can't replace the running job from,
// nil if it can.
func (h *Handler) checkAdoption(name, from string, plan *wire.Rollout, old *ledger.JobRecord) *httpx.Response {
	refuse := func(status int, format string, args ...any) *httpx.Response {
		r := answer.Refuse(status, 0, format, args...)
		return &r
	}
	spec := old.JobSpec()
	switch {
	case old.Final != ledger.Open:
		return refuse(409, "job %s is over, it can't be replaced", from)
	case spec.Kind != model.Service:
		return refuse(422, "only services are rolled out: %s is a job whose tasks end by themselves", from)
	case spec.Tasks > MaxInstances:
		return refuse(422, "a service that is rolled out has at most %d instances", MaxInstances)
	case old.Service != "" && old.Service != name:
		return refuse(409, "job %s is a version of service %s", from, old.Service)
	}
	if why := h.limitConflict(plan, spec); why != "" {
		return refuse(422, "%s", why)
	}
	return nil
}

// checkSizes returns the answer to a request if one of its records doesn't fit a value of the state
// service or may grow beyond it, nil if all have room. old is the record of the adopted job, nil if
// none is adopted.
func (h *Handler) checkSizes(service *Record, job, old *ledger.JobRecord) *httpx.Response {
	limit := h.store.Config().ValueBytes
	refusal := func(size int, advice string) *httpx.Response {
		r := answer.TooLong(size, limit, advice)
		return &r
	}
	if size := job.LargestBytes(); size > limit {
		return refusal(size, "name fewer machine types in hulls")
	}
	// A leader of an older program leaves out no evidence.
	if size := max(service.largestBytes(h.zones), len(service.encode())+maxTextBytes*(maxEvidence+2)); size > limit {
		return refusal(size, "shorten health.path or name fewer steps")
	}
	if old != nil {
		if size := len(old.Encode()); size > limit {
			return refusal(size, "the description of the running job leaves no room for the service's name, so it can't be adopted")
		}
	}
	return nil
}

// limitConflict returns why the team's limit makes it impossible to replace any
// instance, "" if it doesn't.
func (h *Handler) limitConflict(plan *wire.Rollout, old *model.Spec) string {
	s := plan.Job
	t := ledger.Team{Team: h.teams[s.Team]}
	if old.Team != s.Team || plan.Unavailable.Of(s.Tasks) > 0 {
		return ""
	}
	if n := old.Resources.Times(float64(old.Tasks)).Add(s.Resources); !t.WithinLimit(n) {
		return fmt.Sprintf("the limit of team %q leaves no room for one more instance beside all old ones, and none may be missing: allow some with answer.Unavailable", s.Team)
	}
	return ""
}

// answerAfterConflict answers a request whose write found a changed record. An earlier
// attempt of the same request may have changed it.
func (h *Handler) answerAfterConflict(name, job string, reply func(httpx.Response)) {
	h.read(name, reply, func(rec *Record, _ uint64) {
		switch {
		case rec != nil && (rec.New != nil && rec.New.Job == job || rec.Current != nil && rec.Current.Job == job):
			reply(h.statusResponse(name, rec))
		case rec != nil && rec.Rollout != nil:
			reply(inProgressResponse(name, rec))
		default:
			reply(answer.Refuse(503, 1, "something changed meanwhile, come back"))
		}
	})
}
