package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// Transport connects a World's stand-ins to real sockets. Its methods are called on the
// world's thread and must not block.
type Transport interface {
	// Send sends a request of a worker or user; Done is called on the world's thread.
	Send(from string, c actor.Call)
	// Up and Gone are called when a machine comes up or ends, Listen and Unlisten when an
	// instance of a service opens or closes its port.
	Up(m *Machine)
	Gone(m *Machine)
	Listen(m *Machine, instance string, port int)
	Unlisten(m *Machine, instance string)
}

// Advance runs the events that are due at the given time and returns the time of the next.
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

// SetNodeUp states whether a controller on real sockets is running.
func (w *World) SetNodeUp(i int, up bool) { w.nodes[i].up = up }

// CutBetween reports whether the network between two hosts is cut, until when, and
// whether messages wait for the end of the cut.
func (w *World) CutBetween(a, b string) (until time.Duration, hold, isCut bool) {
	c := w.cutBetween(a, b)
	if c == nil {
		return 0, false, false
	}
	return c.until, c.hold, true
}

// HandleRequest makes a stand-in ("state", "cloud" or a machine) answer a received request.
func (w *World) HandleRequest(to, from, method, path string, body []byte, reply func(status int, body []byte)) {
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
		if m.hanging() { // read when the machine resumes
			w.after(m.hangUntil-w.now+time.Millisecond, func() { w.HandleRequest(to, from, method, path, body, reply) })
			return
		}
		m.serve(from, method, path, body, reply)
	}
}

// CheckInstance makes an instance of a service answer a health check. It reports whether
// the instance runs.
func (w *World) CheckInstance(m *Machine, instance string, reply func(status int)) bool {
	r := m.tasks[instance]
	if r == nil || r.phase != "running" {
		return false
	}
	status, delay := ServiceAnswer(r.job.image, r.task, w.now-r.startedAt)
	w.HealthChecks++
	if status > 0 && !m.hanging() {
		w.after(delay, func() { reply(status) })
	}
	return true
}

// RefusesConnections reports whether an instance of a service is missing or listens on no port.
func (w *World) RefusesConnections(m *Machine, instance string) bool {
	r := m.tasks[instance]
	if r == nil {
		return true
	}
	b, _ := behaviour(r.job.image)
	return b == "refuse"
}

var errDescription = errors.New("the workers' stand-in can't read the job description")

// Upload stores a job's description, which users upload and workers fetch. An existing
// description stays.
func (w *World) Upload(body []byte) error {
	var d struct {
		Ref, Urgency string
		Kind         string  `json:"shape"`
		Team         string  `json:"crew"`
		Image        string  `json:"bundle"`
		Zone         *string `json:"yard"`
		Tasks        int     `json:"shards"`
		CPUs, GPUs   float64
		SizeGB       float64 `json:"size_gb"`
		SamePlace    bool    `json:"same_place"`
		Apart        bool
		Spot         bool    `json:"loaners"`
		ExpectS      float64 `json:"expect_s"`
		SnapshotS    float64 `json:"snapshot_s"`
		SaveS        float64 `json:"stow_s"`
	}
	if err := json.Unmarshal(body, &d); err != nil || d.Ref == "" || d.Tasks < 1 {
		return errDescription
	}
	if w.jobs[d.Ref] != nil {
		return nil
	}
	j := &userJob{id: d.Ref, kind: d.Kind, team: d.Team, image: d.Image, urgency: d.Urgency, tasks: d.Tasks, cpus: d.CPUs, gpus: d.GPUs,
		imageGB: d.SizeGB, oneZone: d.SamePlace, spread: d.Apart, spot: d.Spot, runS: d.ExpectS, checkpointS: d.SnapshotS, saveS: d.SaveS,
		results: map[int]bool{}, saved: map[int]time.Duration{}, requested: true, Submitted: w.now}
	if d.Zone != nil {
		j.zone = *d.Zone
	}
	w.jobs[d.Ref] = j
	return nil
}

// UploadVersion stores the description of a service's new version, and the port of its
// instances.
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
	_ = json.Unmarshal(d.Job, &ref) // Upload has decoded it
	for _, id := range []string{ref.Ref, d.From} {
		if j := w.jobs[id]; j != nil && j.service == "" {
			j.service, j.port, j.perTask = service, d.Health.Port, d.Health.PerTask
			if id == d.From {
				w.openPorts(j)
			}
		}
	}
	return nil
}

// openPorts makes the instances of the job that already run listen on their ports.
func (w *World) openPorts(j *userJob) {
	for _, r := range j.runners() {
		if w.transport != nil && r.phase == "running" && r.listenPort() > 0 {
			w.transport.Listen(r.m, r.key, r.listenPort())
		}
	}
}

// MarkCancelled records that the job's user received the answer that it is cancelled.
func (w *World) MarkCancelled(id string) {
	if j := w.jobs[id]; j != nil && j.cancelledAt == 0 {
		j.cancelAsked, j.cancelledAt = true, w.now
	}
}

// Summary returns a line with the counts of the stand-ins.
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
		len(ms), up, tasks, w.Started, w.HealthChecks, w.State.Limited, w.Cloud.Limited, strings.Join(append([]string{fmt.Sprint(len(w.Violations))}, w.Violations...), "; "))
}

// Tasks is the number of task attempts that the machine knows.
func (m *Machine) Tasks() int { return len(m.tasks) }
