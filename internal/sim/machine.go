package sim

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// Machine is the stand-in of a machine with its worker.
type Machine struct {
	w         *World
	Name      string
	Addr      string
	Zone      string
	Spot      bool
	born      time.Duration
	up        bool
	gone      bool
	failed    bool
	deleted   bool
	goneAt    time.Duration
	hangUntil time.Duration
	deafUntil time.Duration
	muteUntil time.Duration
	recallAt  time.Duration

	tenure, tick, baton uint64
	leaseFrom           time.Duration // when the last answered report was sent
	node                int
	reporting           bool
	again               bool
	lastReport          time.Duration
	tasks               map[string]*runner
	images              map[string]bool
	bad                 bool // every task fails here
	// Slow is how many times as long tasks take here; 0: as long as usual.
	Slow float64
}

// runner is one attempt of a task on a machine.
type runner struct {
	m       *Machine
	key     string
	job     *userJob
	task    int
	attempt uint64
	phase   string
	cause   string
	kept    bool
	ends    int // generation of the pending end
	from    time.Duration
}

func (m *Machine) hostName() string { return m.Name }
func (m *Machine) reachable() bool  { return m.up && !m.gone }

// Hang stops the machine for a while.
func (m *Machine) Hang(d time.Duration) { m.hangUntil = max(m.hangUntil, m.w.now+d) }

func (m *Machine) hanging() bool { return m.w.now < m.hangUntil }

// vanish ends the machine and all that is on it.
func (m *Machine) vanish() {
	if m.gone {
		return
	}
	m.gone, m.goneAt = true, m.w.now
	m.kill()
	if m.w.outside != nil {
		m.w.outside.Gone(m)
	}
}

// Die ends the machine on its own.
func (m *Machine) Die() {
	m.vanish()
	m.failed = true
}

func (m *Machine) sorted() []*runner {
	var out []*runner
	for _, r := range m.tasks {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

func (m *Machine) kill() {
	for _, r := range m.sorted() {
		m.forget(r)
		r.ends++
		was := r.phase
		r.phase = "gone"
		if was != "ended" {
			m.w.addUse(r, -1)
		}
		m.w.left(r, was)
	}
}

// leaseCheck ends the session when the lease has run out. It also runs on a
// hanging machine: the worker looks at its clock before it does anything else.
func (m *Machine) leaseCheck() {
	if m.gone {
		return
	}
	end := m.leaseFrom + m.w.lease()
	if m.w.now >= end {
		for _, r := range m.tasks {
			if r.onMachine() {
				m.w.KilledByLease++
			}
		}
		m.kill()
		m.tenure++
		m.leaseFrom = m.w.now
		m.changed()
		end = m.leaseFrom + m.w.lease()
	}
	m.w.after(min(end-m.w.now, time.Second), m.leaseCheck)
}

func (m *Machine) changed() {
	if m.again || !m.up || m.gone {
		return
	}
	m.again = true
	m.w.after(max(0, m.lastReport+500*time.Millisecond-m.w.now), func() {
		m.again = false
		m.report()
	})
}

// workerReport and taskReport are a report as the protocol has it.
type workerReport struct {
	Host    string       `json:"host"`
	Address string       `json:"address"`
	Type    string       `json:"hull"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"tenure"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	RecallS *float64     `json:"recall_s"`
	Tasks   []taskReport `json:"shards"`
}

type taskReport struct {
	Task    string `json:"shard"`
	Attempt uint64 `json:"launch"`
	Phase   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Kept    bool   `json:"kept,omitempty"`
}

func (m *Machine) body() []byte {
	m.tick++
	report := workerReport{Host: m.Name, Address: m.Addr, Type: "big", Zone: m.Zone, Spot: m.Spot,
		Session: m.tenure, Seq: m.tick, Token: m.baton, Tasks: make([]taskReport, 0, len(m.tasks))}
	for _, r := range m.sorted() {
		task := taskReport{Task: r.job.id + "/" + strconv.Itoa(r.task), Attempt: r.attempt, Phase: r.phase}
		if r.phase == "ended" {
			task.Cause, task.Kept = r.cause, r.kept
		}
		report.Tasks = append(report.Tasks, task)
	}
	if m.recallAt > 0 {
		left := (m.recallAt - m.w.now).Seconds()
		report.RecallS = &left
	}
	return mustJSON(report)
}

func (m *Machine) report() {
	if m.gone || !m.up || m.reporting {
		return
	}
	if m.hanging() {
		m.w.after(m.hangUntil-m.w.now, m.report)
		return
	}
	m.reporting = true
	sent, tenure := m.w.now, m.tenure
	m.lastReport = sent
	next := func(d time.Duration) {
		m.w.after(d, func() { m.reporting = false; m.report() })
	}
	m.w.send(m.Name, actor.Call{Addr: m.w.nodes[m.node].addr, Method: "POST", Path: "/hello", Body: m.body(), Timeout: 4 * time.Second,
		Done: func(a actor.Answer) {
			if m.gone {
				return
			}
			if m.hanging() {
				a = actor.Answer{Err: actor.ErrNoAnswer}
			}
			if a.Err == nil && a.Status == 200 {
				m.w.Answered[m.node]++
			}
			if a.Err == nil && a.Status == 421 {
				var r struct {
					To string `json:"reports_to"`
				}
				_ = json.Unmarshal(a.Body, &r)
				for i := range m.w.nodes {
					if r.To == m.w.nodes[i].host && i != m.node {
						m.node = i
						next(m.w.secs(0, 0.5))
						return
					}
				}
			}
			if a.Err != nil || a.Status != 200 {
				m.node = (m.node + 1) % len(m.w.nodes)
				next(time.Second)
				return
			}
			var r struct {
				Baton  uint64
				Orders []order
			}
			if err := json.Unmarshal(a.Body, &r); err != nil {
				m.w.broke("limits", "answer to a report: %s", a.Body)
			}
			if tenure == m.tenure && r.Baton >= m.baton && r.Baton > 0 {
				if r.Baton > m.baton {
					m.baton = r.Baton
					m.changed()
				}
				m.leaseFrom = sent
				m.execute(r.Orders)
			}
			m.reporting = false
			every := m.w.cfg.Report.Seconds()
			m.w.after(m.w.secs(0.75*every, 1.25*every)-(m.w.now-sent), func() {
				if m.lastReport == sent { // nothing has changed meanwhile
					m.report()
				}
			})
		}})
}

type order struct {
	Verb   string
	Shard  string
	Launch uint64
	Grace  float64 `json:"wind_down_s"`
}

func (m *Machine) serve(_, method, path string, body []byte, reply func(int, []byte)) {
	if path == "/status" {
		reply(200, m.body())
		return
	}
	var r struct {
		Baton, Tenure *uint64
		Orders        []order
	}
	if path != "/orders" || json.Unmarshal(body, &r) != nil || r.Baton == nil || r.Tenure == nil {
		m.w.broke("limits", "direct command %s %s", path, body)
		reply(400, []byte(`{}`))
		return
	}
	if *r.Baton < m.baton || *r.Tenure != m.tenure {
		reply(409, m.body())
		return
	}
	if *r.Baton > m.baton {
		m.baton = *r.Baton
		m.changed()
	}
	m.execute(r.Orders)
	reply(200, m.body())
}

func (m *Machine) execute(orders []order) {
	for _, o := range orders {
		key := o.Shard + "#" + strconv.FormatUint(o.Launch, 10)
		r := m.tasks[key]
		switch o.Verb {
		case "start":
			if r == nil {
				m.start(key, o)
			}
		case "halt":
			if r != nil {
				r.halt(o.Grace)
			}
		case "reap":
			if r != nil && r.phase == "ended" {
				m.forget(r)
				m.changed()
			}
		default:
			m.w.broke("limits", "order %q", o.Verb)
		}
	}
}

func (m *Machine) start(key string, o order) {
	w := m.w
	id, n, _ := strings.Cut(o.Shard, "/")
	task, _ := strconv.Atoi(n)
	j := w.jobs[id]
	if j == nil && w.outside != nil { // its description was not uploaded
		r := &runner{m: m, key: key, job: &userJob{id: id, shape: "sweep", tasks: task + 1}, task: task, attempt: o.Launch, phase: "pulling", from: w.now}
		m.add(r)
		r.exit("unknown", false)
		return
	}
	if j == nil || !j.asked || task >= j.tasks {
		w.broke("invented", "start of %s, which nobody submitted", o.Shard)
		return
	}
	r := &runner{m: m, key: key, job: j, task: task, attempt: o.Launch, phase: "pulling", from: w.now}
	m.add(r)
	j.starts++
	m.changed()
	cpus, gpus := j.cpus, j.gpus
	for _, x := range m.tasks {
		if x != r && x.phase != "ended" {
			cpus += x.job.cpus
			gpus += x.job.gpus
			if x.job == j && x.task == task {
				r.exit("busy", false)
				return
			}
		}
	}
	if cpus > w.cfg.CPUs+1e-6 || gpus > w.cfg.GPUs+1e-6 {
		r.exit("no_room", false)
		return
	}
	w.checkStart(r)
	d := 10 * time.Millisecond
	if !m.images[j.image] {
		d = w.secs(j.imageGB/0.7, j.imageGB/0.35)
	}
	r.in(d, func() {
		m.images[j.image] = true
		w.checkOn(r)
		if j.results[task] {
			r.exit("done", false)
			return
		}
		if m.bad || j.bad {
			r.phase = "running"
			r.in(300*time.Millisecond, func() { r.exit("error", false) })
			return
		}
		if j.shape == "ensemble" {
			r.phase = "waiting"
			m.changed()
			w.gangOf(r).joined(r)
			return
		}
		r.run()
	})
}

// in runs f later unless the runner has ended or was told something else
// meanwhile. A hanging machine does not execute its tasks.
func (r *runner) in(d time.Duration, f func()) {
	r.ends++
	gen := r.ends
	var fire func()
	fire = func() {
		if r.ends != gen || r.m.gone {
			return
		}
		if r.m.hanging() {
			r.m.w.after(r.m.hangUntil-r.m.w.now+time.Millisecond, fire)
			return
		}
		f()
	}
	r.m.w.after(d, fire)
}

// slowed is how long the machine takes for something.
func (m *Machine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(1, m.Slow))
}

func (r *runner) run() {
	r.phase = "running"
	r.from = r.m.w.now
	r.m.w.tell(TaskRunning, r)
	r.m.changed()
	if r.job.shape == "standing" {
		if r.m.w.outside != nil && r.listens() > 0 {
			r.m.w.outside.Listen(r.m, r.key, r.listens())
		}
		if s, ok := r.job.ends(); ok {
			r.in(s, func() { r.exit("error", false) })
		}
		return
	}
	r.in(r.m.slowed(r.job.left(r.task)), func() {
		r.job.results[r.task] = true
		r.m.w.completed(r.job)
		r.exit("done", false)
	})
}

func (r *runner) exit(cause string, kept bool) {
	was := r.phase
	r.ends++
	r.phase, r.cause, r.kept = "ended", cause, kept
	if was != "ended" {
		r.m.w.addUse(r, -1)
	}
	r.m.changed()
	r.m.w.left(r, was)
}

func (r *runner) halt(grace float64) {
	r.m.w.checkHalt(r)
	switch r.phase {
	case "ended", "gone":
	case "running":
		if r.job.shape == "ensemble" {
			r.m.w.gangOf(r).halt(r, grace)
			return
		}
		if r.job.snapshotS > 0 && grace >= r.job.stowS {
			r.phase = "flushing"
			r.job.save(r.task, time.Duration(float64(r.m.w.now-r.from)/max(1, r.m.Slow)))
			r.m.changed()
			r.in(time.Duration(r.job.stowS*float64(time.Second)), func() { r.exit("halted", true) })
			return
		}
		r.exit("halted", false)
	case "flushing":
		if grace < r.job.stowS {
			r.exit("halted", false)
		}
	default:
		r.exit("halted", false)
	}
}
