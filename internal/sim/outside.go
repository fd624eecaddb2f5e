package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// Outside carries what a World's stand-ins say over real sockets. Its methods are
// called on the world's thread and must not block.
type Outside interface {
	// Send sends a request of a worker or user; Done is called on the world's thread.
	Send(from string, c actor.Call)
	// Up and Gone hear of machines, Listen and Unlisten of instances of services.
	Up(m *Machine)
	Gone(m *Machine)
	Listen(m *Machine, instance string, port int)
	Unlisten(m *Machine, instance string)
}

// Advance plays what is due at the given time and says when there is more.
func (w *World) Advance(now time.Duration) (next time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= now {
		w.Run(w.events[0].at)
	}
	w.now = max(w.now, now)
	if len(w.events) == 0 {
		return now + time.Second
	}
	return w.events[0].at
}

// SetUp tells that a controller on real sockets is there, or not.
func (w *World) SetUp(i int, up bool) { w.nodes[i].up = up }

// Between tells whether the network between two hosts is cut, until when, and
// whether what is sent waits for the end.
func (w *World) Between(a, b string) (until time.Duration, hold, is bool) {
	c := w.cutBetween(a, b)
	if c == nil {
		return 0, false, false
	}
	return c.until, c.hold, true
}

// Ask has a stand-in ("state", "cloud" or a machine) answer a request that came in.
func (w *World) Ask(to, from, method, path string, body []byte, reply func(status int, body []byte)) {
	switch to {
	case "state":
		w.State.serve(from, method, path, body, reply)
	case "cloud":
		w.Cloud.serve(from, method, path, body, reply)
	default:
		m := w.Cloud.machines[to]
		if m == nil || !m.reachable() {
			return
		}
		if m.hanging() { // read when it goes on
			w.after(m.hangUntil-w.now+time.Millisecond, func() { w.Ask(to, from, method, path, body, reply) })
			return
		}
		m.serve(from, method, path, body, reply)
	}
}

// Check has an instance of a service answer; ok is false if it is not there.
func (w *World) Check(m *Machine, instance string, reply func(status int)) bool {
	r := m.tasks[instance]
	if r == nil || r.phase != "running" {
		return false
	}
	status, delay := ServiceAnswer(r.job.image, r.task, w.now-r.from)
	w.Checks++
	if status > 0 && !m.hanging() {
		w.after(delay, func() { reply(status) })
	}
	return true
}

// Refuses reports whether an instance of the service listens nowhere.
func (w *World) Refuses(m *Machine, instance string) bool {
	r := m.tasks[instance]
	if r == nil {
		return true
	}
	b, _ := behaviour(r.job.image)
	return b == "refuse"
}

var errDescription = errors.New("the description makes no sense to the workers' stand-in")

// Upload takes a job's description for the workers, who fetch it themselves; users
// upload it. What is there already stays.
func (w *World) Upload(body []byte) error {
	var d struct {
		Ref, Crew, Shape, Urgency, Bundle string
		Yard                              *string
		Shards                            int
		CPUs, GPUs                        float64
		SizeGB                            float64 `json:"size_gb"`
		SamePlace                         bool    `json:"same_place"`
		Apart, Loaners                    bool
		ExpectS                           float64 `json:"expect_s"`
		SnapshotS                         float64 `json:"snapshot_s"`
		StowS                             float64 `json:"stow_s"`
	}
	if err := json.Unmarshal(body, &d); err != nil || d.Ref == "" || d.Shards < 1 {
		return errDescription
	}
	if w.jobs[d.Ref] != nil {
		return nil
	}
	j := &userJob{id: d.Ref, shape: d.Shape, team: d.Crew, image: d.Bundle, urgency: d.Urgency, tasks: d.Shards, cpus: d.CPUs, gpus: d.GPUs,
		imageGB: d.SizeGB, samePlace: d.SamePlace, apart: d.Apart, spot: d.Loaners, runS: d.ExpectS, snapshotS: d.SnapshotS, stowS: d.StowS,
		results: map[int]bool{}, saved: map[int]time.Duration{}, asked: true, Submitted: w.now}
	if d.Yard != nil {
		j.yard = *d.Yard
	}
	w.jobs[d.Ref] = j
	return nil
}

// UploadVersion takes the description of a service's new version, and what its
// instances listen on.
func (w *World) UploadVersion(service string, body []byte) error {
	var d struct {
		Job    json.RawMessage
		From   string
		Health struct {
			Port    int
			PerTask bool `json:"per_task"`
		}
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return errDescription
	}
	if err := w.Upload(d.Job); err != nil {
		return err
	}
	var ref struct{ Ref string }
	_ = json.Unmarshal(d.Job, &ref) // it was read just now
	for _, id := range []string{ref.Ref, d.From} {
		if j := w.jobs[id]; j != nil && j.service == "" {
			j.service, j.port, j.perTask = service, d.Health.Port, d.Health.PerTask
			if id == d.From {
				w.listenAgain(j)
			}
		}
	}
	return nil
}

// listenAgain has instances that run already listen.
func (w *World) listenAgain(j *userJob) {
	for _, r := range j.runners() {
		if w.outside != nil && r.phase == "running" && r.listens() > 0 {
			w.outside.Listen(r.m, r.key, r.listens())
		}
	}
}

// Forget notes that a job was withdrawn by its user, as of the answer.
func (w *World) Forget(id string) {
	if j := w.jobs[id]; j != nil && j.cancelledAt == 0 {
		j.cancelAsked, j.cancelledAt = true, w.now
	}
}

// Summary tells in a line what the stand-ins have seen.
func (w *World) Summary() string {
	ms, tasks := w.Machines(), 0
	up := 0
	for _, m := range ms {
		if m.up {
			up++
		}
		tasks += len(m.tasks)
	}
	return fmt.Sprintf("%d machines (%d up), %d tasks on them, %d started so far, %d checks of services, %d requests over the state service's rate, %d over the cloud's, rules broken: %s",
		len(ms), up, tasks, w.Started, w.Checks, w.State.Limited, w.Cloud.Limited, strings.Join(append([]string{fmt.Sprint(len(w.Broken))}, w.Broken...), "; "))
}

// Tasks is how many tasks are on the machine.
func (m *Machine) Tasks() int { return len(m.tasks) }
