// Package admission serves users on every node: it accepts, shows and cancels jobs. It reports
// only durable state, and refuses a request immediately if it can't determine that state.
package admission

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/answer"
	"brooklb/internal/fair"
	"brooklb/internal/fleet"
	"brooklb/internal/httpx"
	"brooklb/internal/intake"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
	"brooklb/internal/units"
	"brooklb/internal/wire"
)

// Actor serves users' requests about jobs.
type Actor struct {
	env   actor.Env
	store *statestore.Store
	teams map[string]settings.Team
	types []model.MachineType
	zones map[string]bool
	// Live returns the leader's own counts of a job. ok is false if this node doesn't lead or
	// doesn't know the job.
	Live func(id string) (done, running int, why string, ok bool)
	// Relay relays a request to a node that may be able to answer it. It returns false if
	// there is none.
	Relay func(r *httpx.Request, done func(resp httpx.Response, ok bool)) bool
	// CheckUnits returns an error if a job could never have the counted resources that it asks
	// for. understood is false while a controller runs whose program doesn't count them.
	CheckUnits func(s *model.Spec) (understood bool, err error)
	// Queue admits submissions. If it is nil, all are admitted.
	Queue   *intake.FairQueue
	pumping bool
	// Healthy reports whether the node can take requests.
	Healthy func() bool
}

// New returns the actor of a node.
func New(env actor.Env, store *statestore.Store, teams []settings.Team, zones []string) *Actor {
	a := &Actor{env: env, store: store, teams: map[string]settings.Team{}, zones: map[string]bool{}}
	for _, t := range teams {
		a.teams[t.Name] = t
	}
	for _, z := range zones {
		a.zones[z] = true
	}
	store.Subscribe(func(key string, _ *statestore.Item) {
		if fleet.IsTypesKey(key) {
			a.loadTypes()
		}
	})
	store.OnResync(a.loadTypes)
	return a
}

// loadTypes takes the machine types from the replica, if it has them.
func (a *Actor) loadTypes() {
	types, err := fleet.StoredTypes(a.store)
	switch {
	case err != nil:
		a.env.Log().Error("machine types can't be read, left unchanged", "key", fleet.TypesKey, "err", err)
	case len(types) > 0:
		a.types = types
	}
}

// Serve answers a user's request; it returns false for paths that other packages serve. A
// request whose answer would be answer.Unavailable is relayed once to another node, unless
// another node has relayed it to this one.
func (a *Actor) Serve(r *httpx.Request, relayed bool, reply func(httpx.Response)) bool {
	if relayed || a.Relay == nil || r.Path == wire.PathHealth {
		return a.serve(r, reply)
	}
	// The request's buffer may be reused before the answer comes.
	saved := &httpx.Request{Method: r.Method, Path: r.Path, Body: append([]byte(nil), r.Body...)}
	return a.serve(r, func(resp httpx.Response) {
		if resp.Status != answer.Unavailable.Status || !bytes.Equal(resp.Body, answer.Unavailable.Body) ||
			// Polls are frequent and repeated, so they are relayed only if this node is cut
			// off.
			saved.Method == "GET" && !a.cutOff() ||
			!a.Relay(saved, func(other httpx.Response, ok bool) {
				if !ok {
					other = resp
				}
				reply(other)
			}) {
			reply(resp)
		}
	})
}

// cutOffAfter is how long the state service must have been silent for a node to count as cut
// off.
const cutOffAfter = 700 * time.Millisecond

func (a *Actor) cutOff() bool { return a.env.Now()-a.store.LastContact() >= cutOffAfter }

func (a *Actor) serve(r *httpx.Request, reply func(httpx.Response)) bool {
	switch {
	case r.Path == wire.PathHealth:
		if r.Method != "GET" {
			reply(answer.Refuse(405, 0, "GET only"))
		} else if a.Healthy() {
			reply(httpx.Response{Status: 200, Body: []byte(`{}`)})
		} else {
			reply(answer.Refuse(503, 1, "not ready"))
		}
	case r.Path == wire.PathJobs:
		if r.Method != "POST" {
			reply(answer.Refuse(405, 0, "POST only"))
			return true
		}
		a.submit(r.Body, reply)
	case strings.HasPrefix(r.Path, wire.PathJobs+"/"):
		rest := r.Path[len(wire.PathJobs)+1:]
		id, verb, _ := strings.Cut(rest, "/")
		switch {
		case verb == "" && !strings.Contains(rest, "/"):
			if r.Method != "GET" {
				reply(answer.Refuse(405, 0, "GET only"))
			} else if !wire.ValidJobID(id) {
				reply(answer.Refuse(404, 0, "no such job"))
			} else {
				a.poll(id, reply)
			}
		case verb == wire.PathWithdraw:
			if r.Method != "POST" {
				reply(answer.Refuse(405, 0, "POST only"))
			} else if !wire.ValidJobID(id) {
				reply(answer.Refuse(404, 0, "no such job"))
			} else {
				a.cancel(id, 4, reply)
			}
		default:
			reply(answer.Refuse(404, 0, "no such path"))
		}
	default:
		return false
	}
	return true
}

// Check returns an error if the job can never run. known is false while that can't be decided:
// the machine types aren't known, or a controller doesn't count resources.
func (a *Actor) Check(s *model.Spec) (known bool, err error) {
	if len(a.types) == 0 {
		return false, nil
	}
	if err := a.check(s); err != nil || len(s.Units) == 0 || a.CheckUnits == nil {
		return true, err
	}
	return a.CheckUnits(s)
}

func (a *Actor) check(s *model.Spec) error {
	team, ok := a.teams[s.Team]
	if !ok {
		return fmt.Errorf("unknown team %q", s.Team)
	}
	fits := false
	for i := range a.types {
		t := &a.types[i]
		if !s.AllowsType(t.Name) || !s.Resources.Fits(t.Cap) {
			continue
		}
		if s.Zone == "" {
			fits = true
		}
		for _, z := range t.Zones {
			fits = fits || z == s.Zone
		}
	}
	if !fits {
		return fmt.Errorf("a task fits no allowed machine type")
	}
	n := 1.0
	if s.Kind != model.Array {
		n = float64(s.Tasks)
	}
	t := ledger.Team{Team: team}
	if !t.WithinLimit(s.Resources.Times(n)) {
		return fmt.Errorf("the job needs more than the limit of team %q", s.Team)
	}
	if s.Spread && s.Tasks > 1 && s.Kind != model.Array && (s.OneZone || s.Zone != "") {
		return fmt.Errorf("the tasks can't be both in one zone and apart")
	}
	return nil
}

func (a *Actor) submit(body []byte, reply func(httpx.Response)) {
	s, err := wire.DecodeJob(body)
	if err != nil {
		reply(answer.Refuse(400, 0, "%v", err))
		return
	}
	if !a.store.Synced() {
		reply(answer.Unavailable)
		return
	}
	key := ledger.JobKey(s.ID)
	if _, ok := a.store.Peek(key); ok {
		a.poll(s.ID, reply)
		return
	}
	if len(a.types) == 0 {
		reply(answer.Refuse(503, 1, "the machine types aren't known yet"))
		return
	}
	if err := a.check(s); err != nil {
		a.refuseUnlessRecorded(s.ID, answer.Refuse(422, 0, "%v", err), reply)
		return
	}
	if len(s.Units) > 0 && a.CheckUnits != nil {
		understood, err := a.CheckUnits(s)
		if errors.Is(err, units.ErrUnreadable) {
			reply(answer.Refuse(503, 5, "%v", err))
			return
		}
		if err != nil {
			a.refuseUnlessRecorded(s.ID, answer.Refuse(422, 0, "%v", err), reply)
			return
		}
		if !understood {
			reply(answer.Refuse(503, 30, "a controller runs a program that counts no resources: finish the upgrade first"))
			return
		}
	}
	nonce := fmt.Sprintf("%x", a.env.Rand().Uint64())
	rec := ledger.NewRecord(s, a.env.Wall().UnixMilli(), nonce, ledger.TasksPerChunk(a.store.Config().ValueBytes))
	t := wire.Txn{When: []wire.Cond{{Path: key}}, Apply: []wire.Change{{Write: key, Value: rec.Encode()}}}
	if size, limit := rec.LargestBytes(), a.store.Config().ValueBytes; size > limit {
		a.refuseUnlessRecorded(s.ID, answer.TooLong(size, limit, "name fewer machine types in hulls"), reply)
		return
	}
	if a.Queue == nil {
		a.create(s, t, nonce, 4, reply)
		return
	}
	a.Queue.Offer(a.env.Now(), fair.Key{Team: s.Team, Class: s.Class}, s.Work(), func() { a.create(s, t, nonce, 4, reply) }, func(after int) {
		reply(answer.Refuse(429, after, "more jobs of class %q of team %q come than can be taken, come back in %d s", s.Class, s.Team, after))
	})
	if a.Queue.Waiting() > 0 && !a.pumping {
		a.pumping = true
		a.env.After(pumpEvery, a.pump)
	}
}

// refuseUnlessRecorded answers with the refusal, unless the state service has a record of the
// job. Otherwise a node whose replica is behind could answer a repeated submission with 422
// although another node, which knew other machine types, has accepted the job. Its user would
// then regard the accepted job as lost.
func (a *Actor) refuseUnlessRecorded(id string, refusal httpx.Response, reply func(httpx.Response)) {
	a.store.Read(ledger.JobKey(id), func(it *statestore.Item, ok bool) {
		switch {
		case !ok:
			reply(answer.Unavailable)
		case it == nil:
			reply(refusal)
		default:
			a.replyWithJob(id, it, reply)
		}
	})
}

// pumpEvery is how often the queue admits or refuses submissions while some wait.
const pumpEvery = 20 * time.Millisecond

func (a *Actor) pump() {
	a.pumping = a.Queue.Dispatch(a.env.Now())
	if a.pumping {
		a.env.After(pumpEvery, a.pump)
	}
}

// Paused is called when the process was paused. It refuses the submissions that wait, since
// their users may have given up.
func (a *Actor) Paused() {
	if a.Queue != nil {
		a.Queue.RefuseAll(a.env.Now())
	}
}

func (a *Actor) create(s *model.Spec, t wire.Txn, nonce string, tries int, reply func(httpx.Response)) {
	accepted := func() {
		a.env.Log().Info("job accepted", "job", s.ID, "class", s.Class, "team", s.Team, "tasks", s.Tasks, "estimate_s", s.EstimateS)
		reply(httpx.Response{Status: 201, Body: wire.Encode(wire.JobState{Ref: s.ID, Phase: wire.JobPending})})
	}
	a.store.Commit(t, false, func(r statestore.Result, _ uint64, _ []string) {
		switch r {
		case statestore.OK:
			accepted()
		case statestore.Conflict:
			// The job exists already, by a retry or by an earlier copy of this write.
			a.store.Get(t.When[0].Path, func(it *statestore.Item, ok bool) {
				if !ok || it == nil {
					reply(answer.Unavailable)
					return
				}
				rec, err := ledger.DecodeRecord(s.ID, it.Value)
				if err == nil && rec.Nonce == nonce && rec.Final == ledger.Open {
					accepted()
					return
				}
				a.replyWithJob(s.ID, it, reply)
			})
		case statestore.Unknown:
			if tries > 3 || tries > 0 && !a.cutOff() {
				a.create(s, t, nonce, tries-1, reply)
				return
			}
			reply(answer.Unavailable)
		default:
			reply(answer.Unavailable)
		}
	})
}

func (a *Actor) poll(id string, reply func(httpx.Response)) {
	if !a.store.Synced() {
		reply(answer.Unavailable)
		return
	}
	key := ledger.JobKey(id)
	if it, ok := a.store.Peek(key); ok {
		if rec, err := ledger.DecodeRecord(id, it.Value); err == nil && rec.Final != ledger.Open {
			a.replyWithJob(id, &it, reply) // an ended job doesn't change any more
			return
		}
	}
	a.refuseUnlessRecorded(id, answer.Refuse(404, 0, "no such job"), reply)
}

// replyWithJob answers with a job's state, by its record and the counts of its tasks.
func (a *Actor) replyWithJob(id string, it *statestore.Item, reply func(httpx.Response)) {
	rec, err := ledger.DecodeRecord(id, it.Value)
	if err != nil {
		a.env.Log().Error("job record can't be read, left unchanged", "key", ledger.JobKey(id), "err", err)
		reply(answer.Refuse(503, 5, "the job's record can't be read"))
		return
	}
	done, running := 0, 0
	st := wire.JobState{Ref: id, Done: &done, Running: &running, Why: rec.Why}
	switch rec.Final {
	case ledger.Done:
		st.Phase, done = wire.JobDone, rec.Tasks
	case ledger.Cancelled:
		st.Phase = wire.JobCancelled
	default:
		var ok bool
		if a.Live != nil {
			done, running, st.Why, ok = a.Live(id)
		}
		if !ok {
			done, running, st.Why = a.countTasks(id, rec.Chunks())
		}
		st.Phase = wire.JobPending
		if running > 0 {
			st.Phase = wire.JobRunning
		}
	}
	reply(httpx.Response{Status: 200, Body: wire.Encode(st)})
}

func (a *Actor) countTasks(id string, chunks int) (done, running int, why string) {
	for n := range chunks {
		key := ledger.ChunkKey(id, n)
		if it, ok := a.store.Peek(key); ok {
			d, r, w, err := ledger.CountChunkTasks(key, it.Value)
			if err != nil {
				a.env.Log().Error("chunk can't be read, left unchanged", "key", key, "err", err)
				continue
			}
			done += d
			running += r
			if w != "" {
				why = w
			}
		}
	}
	return done, running, why
}

func (a *Actor) cancel(id string, tries int, reply func(httpx.Response)) {
	if !a.store.Synced() {
		reply(answer.Unavailable)
		return
	}
	key := ledger.JobKey(id)
	a.store.Read(key, func(it *statestore.Item, ok bool) {
		if !ok {
			reply(answer.Unavailable)
			return
		}
		if it == nil {
			reply(answer.Refuse(404, 0, "no such job"))
			return
		}
		rec, err := ledger.DecodeRecord(id, it.Value)
		if err != nil {
			reply(answer.Refuse(503, 5, "the job's record can't be read"))
			return
		}
		if rec.Final != ledger.Open {
			phase := wire.JobDone
			if rec.Final == ledger.Cancelled {
				phase = wire.JobCancelled
			}
			reply(httpx.Response{Status: 200, Body: wire.Encode(wire.JobState{Ref: id, Phase: phase})})
			return
		}
		rec.Cancel(ledger.ReasonUser, a.store.Config().ValueBytes)
		t := wire.Txn{When: []wire.Cond{{Path: key, Revision: it.Revision}}, Apply: []wire.Change{{Write: key, Value: rec.Encode()}}}
		a.store.Commit(t, false, func(r statestore.Result, _ uint64, _ []string) {
			switch {
			case r == statestore.OK:
				_, placed, _ := a.countTasks(id, rec.Chunks())
				a.env.Log().Info("job cancelled", "job", id, "placed", placed)
				reply(httpx.Response{Status: 200, Body: wire.Encode(wire.JobState{Ref: id, Phase: wire.JobCancelled})})
			case (r == statestore.Conflict || r == statestore.Unknown) && tries > 0:
				// Read the record again: the job may be done, or an earlier copy of this write
				// may have been applied.
				a.env.After(20*time.Millisecond, func() { a.cancel(id, tries-1, reply) })
			default:
				reply(answer.Unavailable)
			}
		})
	})
}
