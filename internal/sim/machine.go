package sim

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// Machine is the stand-in for a machine with its worker.
type Machine struct {
	w                    *World
	Name                 string
	Addr                 string
	Zone                 string
	Spot                 bool
	createdAt            time.Duration
	up                   bool
	gone                 bool
	failed               bool
	deleted              bool
	goneAt               time.Duration
	hangUntil            time.Duration
	inboundLostUntil     time.Duration
	outboundBlockedUntil time.Duration
	interruptionAt       time.Duration

	session, reportSeq, token uint64
	leaseStart                time.Duration // when the last answered report was sent
	node                      int           // index of the controller that it reports to
	reporting                 bool
	reportPending             bool
	lastReportAt              time.Duration
	tasks                     map[string]*runner
	images                    map[string]bool
	failsTasks                bool // every task fails on it
	// SlowFactor multiplies the run time of tasks on the machine; 0: 1.
	SlowFactor float64
}

// runner is one attempt of a task on a machine.
type runner struct {
	m               *Machine
	key             string
	job             *userJob
	task            int
	attempt         uint64
	phase           string
	cause           string
	kept            bool
	timerGeneration int // a scheduled step of an earlier generation is void
	startedAt       time.Duration
}

func (m *Machine) hostName() string { return m.Name }
func (m *Machine) reachable() bool  { return m.up && !m.gone }

// Hang makes the machine unresponsive for a while; its tasks make no progress.
func (m *Machine) Hang(d time.Duration) { m.hangUntil = max(m.hangUntil, m.w.now+d) }

func (m *Machine) hanging() bool { return m.w.now < m.hangUntil }

// terminate ends the machine and all tasks on it.
func (m *Machine) terminate() {
	if m.gone {
		return
	}
	m.gone, m.goneAt = true, m.w.now
	m.killTasks()
	if m.w.transport != nil {
		m.w.transport.Gone(m)
	}
}

// Fail terminates the machine as failed, without a request of the controllers.
func (m *Machine) Fail() {
	m.terminate()
	m.failed = true
}

// sortedTasks are the attempts on the machine in the order of their keys.
func (m *Machine) sortedTasks() []*runner {
	var out []*runner
	for _, r := range m.tasks {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

// killTasks ends and forgets all tasks on the machine.
func (m *Machine) killTasks() {
	for _, r := range m.sortedTasks() {
		m.removeAttempt(r)
		r.timerGeneration++
		was := r.phase
		r.phase = "gone"
		if was != "ended" {
			m.w.addUse(r, -1)
		}
		m.w.attemptEnded(r, was)
	}
}

// leaseCheck ends the session when the lease has expired. It also runs while the
// machine hangs, since a worker checks the lease before anything else when it resumes.
func (m *Machine) leaseCheck() {
	if m.gone {
		return
	}
	end := m.leaseStart + m.w.lease()
	if m.w.now >= end {
		for _, r := range m.tasks {
			if r.onMachine() {
				m.w.KilledByLease++
			}
		}
		m.killTasks()
		m.session++
		m.leaseStart = m.w.now
		m.reportSoon()
		end = m.leaseStart + m.w.lease()
	}
	m.w.after(min(end-m.w.now, time.Second), m.leaseCheck)
}

// reportSoon sends a report as soon as 500 ms have passed since the last one.
func (m *Machine) reportSoon() {
	if m.reportPending || !m.up || m.gone {
		return
	}
	m.reportPending = true
	m.w.after(max(0, m.lastReportAt+500*time.Millisecond-m.w.now), func() {
		m.reportPending = false
		m.report()
	})
}

// workerReport is a report of the protocol, and taskReport one task in it. On the wire a
// session is a tenure, a sequence number a tick, a token a baton, an interruption notice a
// recall, a task a shard and an attempt a launch; for the other words see listedMachine.
type workerReport struct {
	Host                string       `json:"host"`
	Address             string       `json:"address"`
	Type                string       `json:"hull"`
	Zone                string       `json:"yard"`
	Spot                bool         `json:"loaners"`
	Session             uint64       `json:"tenure"`
	Seq                 uint64       `json:"tick"`
	Token               uint64       `json:"baton"`
	InterruptionNoticeS *float64     `json:"recall_s"`
	Tasks               []taskReport `json:"shards"`
}

type taskReport struct {
	Task    string `json:"shard"`
	Attempt uint64 `json:"launch"`
	Phase   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Kept    bool   `json:"kept,omitempty"`
}

func (m *Machine) reportBody() []byte {
	m.reportSeq++
	report := workerReport{Host: m.Name, Address: m.Addr, Type: "big", Zone: m.Zone, Spot: m.Spot,
		Session: m.session, Seq: m.reportSeq, Token: m.token, Tasks: make([]taskReport, 0, len(m.tasks))}
	for _, r := range m.sortedTasks() {
		task := taskReport{Task: r.job.id + "/" + strconv.Itoa(r.task), Attempt: r.attempt, Phase: r.phase}
		if r.phase == "ended" {
			task.Cause, task.Kept = r.cause, r.kept
		}
		report.Tasks = append(report.Tasks, task)
	}
	if m.interruptionAt > 0 {
		left := (m.interruptionAt - m.w.now).Seconds()
		report.InterruptionNoticeS = &left
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
	sent, session := m.w.now, m.session
	m.lastReportAt = sent
	next := func(d time.Duration) {
		m.w.after(d, func() { m.reporting = false; m.report() })
	}
	m.w.send(m.Name, actor.Call{Addr: m.w.nodes[m.node].addr, Method: "POST", Path: "/hello", Body: m.reportBody(), Timeout: 4 * time.Second,
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
						next(m.w.randomSecs(0, 0.5))
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
				Token  uint64 `json:"baton"`
				Orders []order
			}
			if err := json.Unmarshal(a.Body, &r); err != nil {
				m.w.reportViolation("limits", "answer to a report: %s", a.Body)
			}
			if session == m.session && r.Token >= m.token && r.Token > 0 {
				if r.Token > m.token {
					m.token = r.Token
					m.reportSoon()
				}
				m.leaseStart = sent
				m.execute(r.Orders)
			}
			m.reporting = false
			every := m.w.cfg.ReportInterval.Seconds()
			m.w.after(m.w.randomSecs(0.75*every, 1.25*every)-(m.w.now-sent), func() {
				if m.lastReportAt == sent { // no report was sent meanwhile
					m.report()
				}
			})
		}})
}

// order is a command to a worker: start a task, halt it, or reap (forget) an ended one.
type order struct {
	Verb    string
	Task    string  `json:"shard"`
	Attempt uint64  `json:"launch"`
	Grace   float64 `json:"wind_down_s"`
}

func (m *Machine) serve(_, method, path string, body []byte, reply func(int, []byte)) {
	if path == "/status" {
		reply(200, m.reportBody())
		return
	}
	var r struct {
		Token   *uint64 `json:"baton"`
		Session *uint64 `json:"tenure"`
		Orders  []order
	}
	if path != "/orders" || json.Unmarshal(body, &r) != nil || r.Token == nil || r.Session == nil {
		m.w.reportViolation("limits", "invalid direct command %s %s", path, body)
		reply(400, []byte(`{}`))
		return
	}
	if *r.Token < m.token || *r.Session != m.session {
		reply(409, m.reportBody())
		return
	}
	if *r.Token > m.token {
		m.token = *r.Token
		m.reportSoon()
	}
	m.execute(r.Orders)
	reply(200, m.reportBody())
}

func (m *Machine) execute(orders []order) {
	for _, o := range orders {
		key := o.Task + "#" + strconv.FormatUint(o.Attempt, 10)
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
				m.removeAttempt(r)
				m.reportSoon()
			}
		default:
			m.w.reportViolation("limits", "order %q", o.Verb)
		}
	}
}

func (m *Machine) start(key string, o order) {
	w := m.w
	id, n, _ := strings.Cut(o.Task, "/")
	task, _ := strconv.Atoi(n)
	j := w.jobs[id]
	if j == nil && w.transport != nil { // the job's description was not uploaded
		r := &runner{m: m, key: key, job: &userJob{id: id, kind: "sweep", tasks: task + 1}, task: task, attempt: o.Attempt, phase: "pulling", startedAt: w.now}
		m.addAttempt(r)
		r.exit("unknown", false)
		return
	}
	if j == nil || !j.requested || task >= j.tasks {
		w.reportViolation("invented", "start of %s, which no user submitted", o.Task)
		return
	}
	r := &runner{m: m, key: key, job: j, task: task, attempt: o.Attempt, phase: "pulling", startedAt: w.now}
	m.addAttempt(r)
	j.starts++
	m.reportSoon()
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
		d = w.randomSecs(j.imageGB/0.7, j.imageGB/0.35)
	}
	r.schedule(d, func() {
		m.images[j.image] = true
		w.checkRunsOnce(r)
		if j.results[task] {
			r.exit("done", false)
			return
		}
		if m.failsTasks || j.faulty {
			r.phase = "running"
			r.schedule(300*time.Millisecond, func() { r.exit("error", false) })
			return
		}
		if j.kind == "ensemble" {
			r.phase = "waiting"
			m.reportSoon()
			w.gangOf(r).join(r)
			return
		}
		r.run()
	})
}

// schedule runs f after d unless the attempt has ended or something else was scheduled
// for it meanwhile. While the machine hangs, f waits.
func (r *runner) schedule(d time.Duration, f func()) {
	r.timerGeneration++
	gen := r.timerGeneration
	var fire func()
	fire = func() {
		if r.timerGeneration != gen || r.m.gone {
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

// slowed is the time that the machine takes for a run of length d.
func (m *Machine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(1, m.SlowFactor))
}

// run begins the task's run.
func (r *runner) run() {
	r.phase = "running"
	r.startedAt = r.m.w.now
	r.m.w.emitTaskEvent(TaskRunning, r)
	r.m.reportSoon()
	if r.job.kind == "standing" {
		if r.m.w.transport != nil && r.listenPort() > 0 {
			r.m.w.transport.Listen(r.m, r.key, r.listenPort())
		}
		if s, ok := r.job.exitsAfter(); ok {
			r.schedule(s, func() { r.exit("error", false) })
		}
		return
	}
	r.schedule(r.m.slowed(r.job.remaining(r.task)), func() {
		r.job.results[r.task] = true
		r.m.w.taskCompleted(r.job)
		r.exit("done", false)
	})
}

// exit ends the attempt. kept says that a checkpoint of its progress was saved.
func (r *runner) exit(cause string, kept bool) {
	was := r.phase
	r.timerGeneration++
	r.phase, r.cause, r.kept = "ended", cause, kept
	if was != "ended" {
		r.m.w.addUse(r, -1)
	}
	r.m.reportSoon()
	r.m.w.attemptEnded(r, was)
}

// halt carries out the order to stop the task. A running task of a job with checkpoints,
// other than a gang, saves one first if the grace period in seconds is long enough.
func (r *runner) halt(grace float64) {
	r.m.w.checkHalt(r)
	switch r.phase {
	case "ended", "gone":
	case "running":
		if r.job.kind == "ensemble" {
			r.m.w.gangOf(r).halt(r, grace)
			return
		}
		if r.job.checkpointS > 0 && grace >= r.job.saveS {
			r.phase = "flushing"
			r.job.saveProgress(r.task, time.Duration(float64(r.m.w.now-r.startedAt)/max(1, r.m.SlowFactor)))
			r.m.reportSoon()
			r.schedule(time.Duration(r.job.saveS*float64(time.Second)), func() { r.exit("halted", true) })
			return
		}
		r.exit("halted", false)
	case "flushing":
		if grace < r.job.saveS {
			r.exit("halted", false)
		}
	default:
		r.exit("halted", false)
	}
}
