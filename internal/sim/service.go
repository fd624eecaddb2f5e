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

// behaviour reads from the name of an image, after a colon, how the instances of a
// stand-in service behave: good, bad (answers 500), some (each third instance answers
// 500), late=20 (bad after 20 s), slow, flap (bad every other 4 s), mute (never answers),
// refuse (listens on no port), exit=5 (ends with an error after 5 s).
func behaviour(image string) (name string, after time.Duration) {
	_, b, _ := strings.Cut(image, ":")
	b, n, _ := strings.Cut(b, "=")
	s, _ := strconv.ParseFloat(n, 64)
	return b, time.Duration(s * float64(time.Second))
}

// exitsAfter is the run time after which an instance ends by itself, if it does.
func (j *userJob) exitsAfter() (time.Duration, bool) {
	b, after := behaviour(j.image)
	return after, b == "exit"
}

// ServiceAnswer is the answer to a check of an instance that has run for the time ran;
// status 0: it never answers.
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

// listenPort is the port of an instance, 0 if it has none.
func (r *runner) listenPort() int {
	if r.job.port > 0 && r.job.perTask {
		return r.job.port + r.task
	}
	return r.job.port
}

// healthyAt reports whether the instance runs and answers checks with 200 in less than 1 s.
func (r *runner) healthyAt(now time.Duration) bool {
	b, _ := behaviour(r.job.image)
	if r.phase != "running" || b == "refuse" {
		return false
	}
	status, delay := ServiceAnswer(r.job.image, r.task, now-r.startedAt)
	return status == 200 && delay < time.Second
}

// endpoint is a port of a machine on which instances of services may listen.
type endpoint struct {
	m    *Machine
	port string
}

func (e *endpoint) hostName() string { return e.m.Name }
func (e *endpoint) reachable() bool  { return e.m.up && !e.m.gone }

// runner is the instance that listens on the port.
func (e *endpoint) runner() *runner {
	for _, r := range e.m.sortedTasks() {
		if b, _ := behaviour(r.job.image); r.phase == "running" && strconv.Itoa(r.listenPort()) == e.port && b != "refuse" {
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
	status, delay := ServiceAnswer(r.job.image, r.task, w.now-r.startedAt)
	w.HealthChecks++
	if status == 0 {
		return
	}
	if status != 200 && r.job.firstUnhealthy == 0 {
		r.job.firstUnhealthy = w.now
	}
	w.after(delay, func() { reply(status, []byte("{}")) })
}

// userService is a service as its users and the stand-ins see it.
type userService struct {
	name     string
	versions []*userJob
	// The bounds on the number of instances during the newest roll-out.
	maxInstances, minInstances int
	// healthyGrace is how long an instance counts as healthy after it last was, since
	// the controllers cannot notice the change earlier.
	healthyGrace time.Duration
	// lastHealthy is when instances were last healthy; lostAt are the times at which
	// instances failed or were lost with their machines.
	lastHealthy map[*runner]time.Duration
	lostAt      []time.Duration
	// LastHalted is when a running instance was last stopped by an order, by version.
	LastHalted map[string]time.Duration
	withdrawn  bool // no instances need to be kept
}

// Version describes a version to roll out.
type Version struct {
	Service string
	Job     Job // of a service; its ID names the version
	From    string
	Plan    map[string]any // further fields of the request
	Health  map[string]any // nil: none
	// Surge and Unavailable are numbers of instances, sent with the plan.
	Surge, Unavailable int
}

// describe makes the job and its description as the protocol has it. In a description
// a lane is a class, a crew a team, a bundle an image, a yard a zone and a loaner a spot
// machine.
func (w *World) describe(d Job) (*userJob, map[string]any) {
	if d.Urgency == "" {
		d.Urgency = "standard"
	}
	j := &userJob{id: d.ID, kind: d.Kind, team: d.Team, image: d.Image, zone: d.Zone, urgency: d.Urgency, tasks: d.Tasks, cpus: d.CPUs, gpus: d.GPUs,
		imageGB: d.ImageGB, oneZone: d.OneZone, spread: d.Spread, spot: d.Spot, faulty: d.Faulty, runS: d.RunS, runSpread: d.RunSpread, checkpointS: d.CheckpointS, saveS: d.SaveS,
		results: map[int]bool{}, saved: map[int]time.Duration{}, requested: true, Submitted: w.now}
	class := d.Class
	if class == "" {
		class = "c-" + d.Kind
	}
	j.class = class
	var zone, due any
	if d.DeadlineS > 0 {
		due = d.DeadlineS
	}
	expect := d.EstimateS
	if expect == 0 {
		expect = d.RunS
	}
	if d.Zone != "" {
		zone = d.Zone
	}
	w.jobs[d.ID] = j
	unitRequests := []map[string]any{}
	var names []string
	for name := range d.Units {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		unitRequests = append(unitRequests, map[string]any{"name": name, "count": d.Units[name]})
	}
	j.units = d.Units
	return j, map[string]any{"units": unitRequests, "ref": d.ID, "lane": class, "crew": d.Team, "shape": d.Kind, "urgency": d.Urgency, "shards": d.Tasks,
		"cpus": d.CPUs, "gpus": d.GPUs, "memory_gb": 1.0, "bundle": d.Image, "size_gb": d.ImageGB, "hulls": d.Types, "yard": zone,
		"same_place": d.OneZone, "apart": d.Spread, "loaners": d.Spot, "expect_s": expect, "snapshot_s": d.CheckpointS, "stow_s": d.SaveS, "due_s": due}
}

// Rollout makes a user request a roll-out until it is accepted or refused permanently;
// done gets the status and the body.
func (w *World) Rollout(v Version, done func(status int, body []byte)) {
	v.Job.Kind = "standing"
	j, job := w.describe(v.Job)
	s := w.services[v.Service]
	if s == nil {
		s = &userService{name: v.Service, lastHealthy: map[*runner]time.Duration{}, LastHalted: map[string]time.Duration{}}
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
		x.cancelAsked = true // a roll-out may cancel it
	}
	j.cancelAsked = true
	body := map[string]any{"job": job, "by": "ana", "surge": v.Surge, "unavailable": v.Unavailable}
	if v.From != "" {
		body["from"] = v.From
	}
	for k, x := range v.Plan {
		body[k] = x
	}
	s.healthyGrace = 20 * time.Second
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
		w.request("POST", "/services/"+v.Service+"/rollouts", b, 5*time.Second, func(a actor.Answer) {
			switch {
			case a.Err == nil && (a.Status == 200 || a.Status == 201):
				s.versions = append(s.versions, j)
				s.maxInstances, s.minInstances = max(old, j.tasks)+v.Surge, max(0, min(old, j.tasks)-v.Unavailable)
				if old == 0 {
					s.minInstances = 0
				}
				done(a.Status, a.Body)
			case a.Err == nil && a.Status >= 400 && a.Status < 500 && a.Status != 429:
				done(a.Status, a.Body)
			case n < 200:
				w.after(time.Second, func() { ask(n + 1) })
			}
		})
	}
	// The roll-out may begin before the user gets the answer.
	s.maxInstances = max(s.maxInstances, max(old, j.tasks)+v.Surge)
	ask(0)
}

// AskService makes a user send a request about a service until it is accepted or refused.
func (w *World) AskService(name, verb string, done func(status int, body []byte)) {
	method, path := "POST", "/services/"+name+"/"+verb
	if verb == "" || verb == "history" {
		method, path = "GET", strings.TrimSuffix(path, "/")
	}
	var ask func(n int)
	ask = func(n int) {
		w.request(method, path, []byte(`{"by":"ana"}`), 5*time.Second, func(a actor.Answer) {
			switch {
			case a.Err == nil && a.Status < 500 && a.Status != 429:
				if verb == "withdraw" && a.Status == 200 {
					w.services[name].withdrawn = true
				}
				done(a.Status, a.Body)
			case n < 200:
				w.after(time.Second, func() { ask(n + 1) })
			}
		})
	}
	ask(0)
}

// instances are the attempts of the service's versions on machines that have not ended.
func (s *userService) instances(w *World) (out []*runner) {
	for _, m := range w.Machines() {
		for _, r := range m.sortedTasks() {
			if r.job.service == s.name && r.phase != "ended" && r.phase != "gone" {
				out = append(out, r)
			}
		}
	}
	return out
}

// HealthyInstances counts the instances of a version that are healthy now.
func (w *World) HealthyInstances(job string) (n int) {
	for _, m := range w.Machines() {
		for _, r := range m.sortedTasks() {
			if r.job.id == job && r.healthyAt(w.now) && !m.hanging() {
				n++
			}
		}
	}
	return n
}

// watchService tracks the health of the service's instances, every 250 ms.
func (w *World) watchService(s *userService) {
	w.after(250*time.Millisecond, func() { w.watchService(s) })
	for _, j := range w.jobs {
		// A version that a roll-out has replaced or rolled back counts as cancelled.
		if k := w.State.keys["b/j/"+j.id]; j.service == s.name && j.cancelledAt == 0 && k != nil && strings.Contains(string(k.value), `"f":"cancelled"`) {
			j.cancelledAt = w.now
		}
	}
	for _, r := range s.instances(w) {
		if r.healthyAt(w.now) && !r.m.hanging() {
			s.lastHealthy[r] = w.now
		}
	}
	for r, at := range s.lastHealthy {
		if w.now-at > s.healthyGrace {
			delete(s.lastHealthy, r)
		}
	}
	keep := s.lostAt[:0]
	for _, at := range s.lostAt {
		if w.now-at < 90*time.Second {
			keep = append(keep, at)
		}
	}
	s.lostAt = keep
}

// checkHalt checks the roll-out's lower bound when an order stops an instance: the other
// instances that are healthy, were healthy within healthyGrace, or were lost for another
// reason must number at least minInstances.
func (w *World) checkHalt(r *runner) {
	s := w.services[r.job.service]
	if s == nil || r.phase != "running" || s.withdrawn || w.cancellationDurable(r.job) {
		return
	}
	s.LastHalted[r.job.id] = w.now
	if b, _ := behaviour(r.job.image); b == "flap" || !r.healthyAt(w.now) {
		return // the controllers may still see a flapping instance as unhealthy when it is healthy
	}
	n := len(s.lostAt)
	for _, x := range s.instances(w) {
		if _, ok := s.lastHealthy[x]; x != r && x.phase == "running" && (ok || x.healthyAt(w.now)) {
			n++
		}
	}
	if n < s.minInstances {
		w.reportViolation("bound", "%s is stopped while %d others are healthy or were so just now, the bound is %d", r.key, n, s.minInstances)
	}
}

// cancellationDurable reports whether the job's cancellation is durable. Its tasks may be
// stopped from then on, even before the user's answer has arrived.
func (w *World) cancellationDurable(j *userJob) bool {
	k := w.State.keys["b/j/"+j.id]
	return j.cancelledAt > 0 || k != nil && bytes.Contains(k.value, []byte(`"f":"cancelled"`))
}

// checkSurge checks, when an instance is started, the roll-out's upper bound and that the
// instance's port is free on the machine.
func (w *World) checkSurge(r *runner) {
	s := w.services[r.job.service]
	if s == nil {
		return
	}
	for _, x := range r.m.sortedTasks() {
		if x != r && x.phase != "ended" && r.listenPort() > 0 && x.listenPort() == r.listenPort() {
			w.reportViolation("port", "%s starts on %s, where %s has the same port", r.key, r.m.Name, x.key)
		}
	}
	if n := len(s.instances(w)); s.maxInstances > 0 && n > s.maxInstances {
		w.reportViolation("bound", "%s starts as instance number %d of %s, the bound is %d", r.key, n, s.name, s.maxInstances)
	}
}

// instanceGone is called for every instance that ends.
func (w *World) instanceGone(r *runner, was string) {
	s := w.services[r.job.service]
	if s == nil {
		return
	}
	if r.phase == "gone" || r.cause == "error" {
		s.lostAt = append(s.lostAt, w.now)
	}
	delete(s.lastHealthy, r)
}

// ServiceRecord is the record of a service in the state service. The fields have the names
// of its JSON keys: the current and the new version (Cur, New) with their jobs (J) and the
// instances that are wanted (On), whether the service was withdrawn (End), the number of
// the newest roll-out (N), and the roll-out under way (R) with its state (S), whether it is
// paused (Z), its step (I) and the reason of its state (W).
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

// PastRollout is the n-th roll-out of a service once it is over: how it ended, why, and
// the evidence.
func (w *World) PastRollout(name string, n int) (state, why string, evidence []string) {
	var p struct {
		S, W string
		Ev   []string
	}
	if k := w.State.keys[fmt.Sprintf("b/h/%s/%d", name, n)]; k != nil {
		_ = json.Unmarshal(k.value, &p)
	}
	return p.S, p.W, p.Ev
}
