package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// How an instance of a stand-in service behaves is in the name of its image, after
// a colon: good, bad (answers 500), some (each third instance does), late=20 (bad
// after 20 s), slow, flap, mute (never answers), refuse (listens nowhere), exit=5
// (ends with an error after 5 s).
func behaviour(image string) (name string, after time.Duration) {
	_, b, _ := strings.Cut(image, ":")
	b, n, _ := strings.Cut(b, "=")
	s, _ := strconv.ParseFloat(n, 64)
	return b, time.Duration(s * float64(time.Second))
}

// ends says after what time an instance ends by itself.
func (j *userJob) ends() (time.Duration, bool) {
	b, after := behaviour(j.image)
	return after, b == "exit"
}

// ServiceAnswer is what an instance that has run for so long answers to a check;
// status 0: it never does.
func ServiceAnswer(image string, task int, ran time.Duration) (status int, delay time.Duration) {
	b, after := behaviour(image)
	switch {
	case b == "bad", b == "late" && ran >= after, b == "some" && task%3 == 0, b == "flap" && int(ran/(4*time.Second))%2 == 1:
		return 500, time.Millisecond
	case b == "slow":
		return 200, 1500 * time.Millisecond
	case b == "mute":
		return 0, 0
	}
	return 200, time.Millisecond
}

// listens is the port of an instance, 0 if it has none.
func (r *runner) listens() int {
	if r.job.port > 0 && r.job.perTask {
		return r.job.port + r.task
	}
	return r.job.port
}

// wellAt says whether an instance that began to run serves, in truth.
func (r *runner) wellAt(now time.Duration) bool {
	b, _ := behaviour(r.job.image)
	if r.phase != "running" || b == "refuse" {
		return false
	}
	status, delay := ServiceAnswer(r.job.image, r.task, now-r.from)
	return status == 200 && delay < time.Second
}

// endpoint is a port of a machine other than its worker's.
type endpoint struct {
	m    *Machine
	port string
}

func (e *endpoint) hostName() string { return e.m.Name }
func (e *endpoint) reachable() bool  { return e.m.up && !e.m.gone }

// runner is the instance that listens on the port.
func (e *endpoint) runner() *runner {
	for _, r := range e.m.sorted() {
		if b, _ := behaviour(r.job.image); r.phase == "running" && strconv.Itoa(r.listens()) == e.port && b != "refuse" {
			return r
		}
	}
	return nil
}

func (e *endpoint) serve(_, _, _ string, _ []byte, reply func(int, []byte)) {
	r := e.runner()
	if r == nil {
		return
	}
	w := e.m.w
	status, delay := ServiceAnswer(r.job.image, r.task, w.now-r.from)
	w.Checks++
	if status == 0 {
		return
	}
	if status != 200 && r.job.firstBad == 0 {
		r.job.firstBad = w.now
	}
	w.after(delay, func() { reply(status, []byte("{}")) })
}

// userService is a service as its users and the truth know it.
type userService struct {
	name     string
	versions []*userJob
	// The bounds of the newest roll-out.
	most, least int
	// forgive is how long an instance counts as healthy after it was last: nobody
	// can know sooner.
	forgive time.Duration
	// wasWell has when instances were last healthy, lost when some were lost by
	// themselves or with their machines.
	wasWell map[*runner]time.Duration
	lost    []time.Duration
	// Halted is when an instance was last stopped by order, by version.
	Halted map[string]time.Duration
	free   bool // withdrawn: nothing is to be kept
}

// Version describes a version to roll out.
type Version struct {
	Service string
	Job     Job // a service; ID is its version's
	From    string
	Plan    map[string]any // further fields of the request
	Health  map[string]any // nil: none
	// Surge and Unavailable as instances; the plan gets them.
	Surge, Unavailable int
}

func (w *World) describe(d Job) (*userJob, map[string]any) {
	if d.Urgency == "" {
		d.Urgency = "standard"
	}
	j := &userJob{id: d.ID, shape: d.Shape, team: d.Team, image: d.Image, yard: d.Yard, urgency: d.Urgency, tasks: d.Tasks, cpus: d.CPUs, gpus: d.GPUs,
		imageGB: d.ImageGB, samePlace: d.SamePlace, apart: d.Apart, spot: d.Spot, bad: d.Bad, runS: d.RunS, runSpread: d.RunSpread, snapshotS: d.SnapshotS, stowS: d.StowS,
		results: map[int]bool{}, saved: map[int]time.Duration{}, asked: true, Submitted: w.now}
	lane := d.Class
	if lane == "" {
		lane = "c-" + d.Shape
	}
	j.class = lane
	var yard, due any
	if d.DueS > 0 {
		due = d.DueS
	}
	expect := d.ExpectS
	if expect == 0 {
		expect = d.RunS
	}
	if d.Yard != "" {
		yard = d.Yard
	}
	w.jobs[d.ID] = j
	asks := []map[string]any{}
	var names []string
	for name := range d.Units {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		asks = append(asks, map[string]any{"name": name, "count": d.Units[name]})
	}
	j.units = d.Units
	return j, map[string]any{"units": asks, "ref": d.ID, "lane": lane, "crew": d.Team, "shape": d.Shape, "urgency": d.Urgency, "shards": d.Tasks,
		"cpus": d.CPUs, "gpus": d.GPUs, "memory_gb": 1.0, "bundle": d.Image, "size_gb": d.ImageGB, "hulls": nil, "yard": yard,
		"same_place": d.SamePlace, "apart": d.Apart, "loaners": d.Spot, "expect_s": expect, "snapshot_s": d.SnapshotS, "stow_s": d.StowS, "due_s": due}
}

// Rollout has a user ask for a roll-out until it is accepted or refused for good;
// done gets the status and the body.
func (w *World) Rollout(v Version, done func(status int, body []byte)) {
	v.Job.Shape = "standing"
	j, job := w.describe(v.Job)
	s := w.services[v.Service]
	if s == nil {
		s = &userService{name: v.Service, wasWell: map[*runner]time.Duration{}, Halted: map[string]time.Duration{}}
		w.services[v.Service] = s
		w.watchService(s)
		if len(w.services) == 1 {
			w.checkCancelled()
		}
	}
	if f := w.jobs[v.From]; f != nil && f.service == "" {
		f.service = v.Service
		s.versions = append(s.versions, f)
	}
	j.service = v.Service
	old := 0
	for _, x := range s.versions {
		old = x.tasks
		x.cancelAsked = true // it may be replaced
	}
	j.cancelAsked = true
	body := map[string]any{"job": job, "by": "ana", "surge": v.Surge, "unavailable": v.Unavailable}
	if v.From != "" {
		body["from"] = v.From
	}
	for k, x := range v.Plan {
		body[k] = x
	}
	s.forgive = 20 * time.Second
	if v.Health != nil {
		body["health"] = v.Health
		j.port, _ = v.Health["port"].(int)
		j.perTask, _ = v.Health["per_task"].(bool)
		for _, x := range s.versions {
			if x.port == 0 {
				x.port, x.perTask = j.port, j.perTask
			}
		}
	}
	b := mustJSON(body)
	var ask func(n int)
	ask = func(n int) {
		w.ask("POST", "/services/"+v.Service+"/rollouts", b, 5*time.Second, func(a actor.Answer) {
			switch {
			case a.Err == nil && (a.Status == 200 || a.Status == 201):
				s.versions = append(s.versions, j)
				s.most, s.least = max(old, j.tasks)+v.Surge, max(0, min(old, j.tasks)-v.Unavailable)
				if old == 0 {
					s.least = 0
				}
				done(a.Status, a.Body)
			case a.Err == nil && a.Status >= 400 && a.Status < 500 && a.Status != 429:
				done(a.Status, a.Body)
			case n < 200:
				w.after(time.Second, func() { ask(n + 1) })
			}
		})
	}
	// It may begin before the user hears of it.
	s.most = max(s.most, max(old, j.tasks)+v.Surge)
	ask(0)
}

// AskService has a user ask for something until it is answered.
func (w *World) AskService(name, verb string, done func(status int, body []byte)) {
	method, path := "POST", "/services/"+name+"/"+verb
	if verb == "" || verb == "history" {
		method, path = "GET", strings.TrimSuffix(path, "/")
	}
	var ask func(n int)
	ask = func(n int) {
		w.ask(method, path, []byte(`{"by":"ana"}`), 5*time.Second, func(a actor.Answer) {
			switch {
			case a.Err == nil && a.Status < 500 && a.Status != 429:
				if verb == "withdraw" && a.Status == 200 {
					w.services[name].free = true
				}
				done(a.Status, a.Body)
			case n < 200:
				w.after(time.Second, func() { ask(n + 1) })
			}
		})
	}
	ask(0)
}

// instances are all that is left of the service's versions on machines.
func (s *userService) instances(w *World) (out []*runner) {
	for _, m := range w.Machines() {
		for _, r := range m.sorted() {
			if r.job.service == s.name && r.phase != "ended" && r.phase != "gone" {
				out = append(out, r)
			}
		}
	}
	return out
}

// Well counts the instances of a version that serve, in truth.
func (w *World) Well(job string) (n int) {
	for _, m := range w.Machines() {
		for _, r := range m.sorted() {
			if r.job.id == job && r.wellAt(w.now) && !m.hanging() {
				n++
			}
		}
	}
	return n
}

func (w *World) watchService(s *userService) {
	w.after(250*time.Millisecond, func() { w.watchService(s) })
	for _, j := range w.jobs {
		// What a roll-out has replaced or taken back is over as if its user had said so.
		if k := w.State.keys["b/j/"+j.id]; j.service == s.name && j.cancelledAt == 0 && k != nil && strings.Contains(string(k.value), `"f":"cancelled"`) {
			j.cancelledAt = w.now
		}
	}
	for _, r := range s.instances(w) {
		if r.wellAt(w.now) && !r.m.hanging() {
			s.wasWell[r] = w.now
		}
	}
	for r, at := range s.wasWell {
		if w.now-at > s.forgive {
			delete(s.wasWell, r)
		}
	}
	keep := s.lost[:0]
	for _, at := range s.lost {
		if w.now-at < 90*time.Second {
			keep = append(keep, at)
		}
	}
	s.lost = keep
}

// checkHalt holds when an instance is stopped by order: enough others must serve,
// or must have done so until just now, or were lost for another reason.
func (w *World) checkHalt(r *runner) {
	s := w.services[r.job.service]
	if s == nil || r.phase != "running" || s.free || w.cancelled(r.job) {
		return
	}
	s.Halted[r.job.id] = w.now
	if b, _ := behaviour(r.job.image); b == "flap" || !r.wellAt(w.now) {
		return // one that flaps may be known to be sick while it answers well
	}
	n := len(s.lost)
	for _, x := range s.instances(w) {
		if _, ok := s.wasWell[x]; x != r && x.phase == "running" && (ok || x.wellAt(w.now)) {
			n++
		}
	}
	if n < s.least {
		w.broke("bound", "%s is stopped while %d others serve or did so just now, the bound is %d", r.key, n, s.least)
	}
}

// cancelled reports whether the job's cancellation is durable: from then on its tasks are to
// be stopped, also before its user's answer has arrived.
func (w *World) cancelled(j *userJob) bool {
	k := w.State.keys["b/j/"+j.id]
	return j.cancelledAt > 0 || k != nil && bytes.Contains(k.value, []byte(`"f":"cancelled"`))
}

// checkSurge holds when an instance is started.
func (w *World) checkSurge(r *runner) {
	s := w.services[r.job.service]
	if s == nil {
		return
	}
	for _, x := range r.m.sorted() {
		if x != r && x.phase != "ended" && r.listens() > 0 && x.listens() == r.listens() {
			w.broke("port", "%s starts on %s beside %s, which has its port", r.key, r.m.Name, x.key)
		}
	}
	if n := len(s.instances(w)); s.most > 0 && n > s.most {
		w.broke("bound", "%s is the %d. instance of %s, the bound is %d", r.key, n, s.name, s.most)
	}
}

// instanceGone is told of every instance that ends.
func (w *World) instanceGone(r *runner, was string) {
	s := w.services[r.job.service]
	if s == nil {
		return
	}
	if r.phase == "gone" || r.cause == "error" {
		s.lost = append(s.lost, w.now)
	}
	delete(s.wasWell, r)
}

// ServiceRecord is the state service's record of a service, as JSON.
func (w *World) ServiceRecord(name string) (out struct {
	Cur, New *struct {
		J  string
		On string
	}
	End bool
	N   int
	R   *struct {
		S string
		Z bool
		I int
		W string
	}
}) {
	if k := w.State.keys["b/s/"+name]; k != nil {
		_ = json.Unmarshal(k.value, &out)
	}
	return out
}

// Past is the n-th roll-out of a service once it is over: how it ended, and why.
func (w *World) Past(name string, n int) (state, why string, proofs []string) {
	var p struct {
		S, W string
		Ev   []string
	}
	if k := w.State.keys[fmt.Sprintf("b/h/%s/%d", name, n)]; k != nil {
		_ = json.Unmarshal(k.value, &p)
	}
	return p.S, p.W, p.Ev
}
