package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// task is one attempt of a task on a worker.
type task struct {
	shard  string
	launch uint64
	phase  string
	cause  string
	job    *job
	timer  *time.Timer
}

type taskBody struct {
	Shard  string `json:"shard"`
	Launch uint64 `json:"launch"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause,omitempty"`
}

type orderBody struct {
	Verb   string  `json:"verb"`
	Shard  string  `json:"shard"`
	Launch uint64  `json:"launch"`
	WindS  float64 `json:"wind_down_s"`
}

// worker is a stand-in for the worker of a machine. It runs arrays and services, whose tasks only
// wait, and keeps no checkpoints.
type worker struct {
	w      *world
	m      *machine
	ln     net.Listener
	client *http.Client

	mu        sync.Mutex
	up        time.Time
	removed   bool
	tenure    uint64
	tick      uint64
	baton     uint64
	leaseFrom time.Time // when the last answered report was sent, or the session began
	tasks     []*task
	images    map[string]time.Time // when the image is there
	changed   bool
	batonAt   time.Time // when a higher token last counted as a change
	lastSent  time.Time
	refused   map[int]int // reports of this session refused, by status; 0: no answer
	largest   int         // longest report in bytes
}

func newWorker(w *world, m *machine) *worker {
	ln, err := net.Listen("tcp4", w.machineIP(m.name)+":0")
	if err != nil {
		w.fatal("worker %s: %v", m.name, err)
	}
	return &worker{w: w, m: m, ln: ln, client: &http.Client{Transport: &http.Transport{MaxIdleConns: 1}, Timeout: 4 * time.Second}, tenure: 1, images: map[string]time.Time{}, refused: map[int]int{}}
}

func (k *worker) address() string { return k.ln.Addr().String() }

func (k *worker) upSince() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up
}

func (k *worker) start() {
	k.mu.Lock()
	if k.removed {
		k.mu.Unlock()
		return
	}
	k.up, k.leaseFrom = time.Now(), time.Now()
	k.mu.Unlock()
	k.w.rec.add(k.m.name, "is up, its worker listens")
	go func() { _ = http.Serve(k.ln, http.HandlerFunc(k.serve)) }()
	go k.report()
	go func() {
		for !k.isRemoved() {
			time.Sleep(50 * time.Millisecond)
			k.checkLease()
		}
	}()
}

func (k *worker) isRemoved() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.removed
}

func (k *worker) remove(why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removed {
		return
	}
	k.removed = true
	k.killAll(why)
	_ = k.ln.Close()
}

// killAll ends and forgets all tasks. The caller holds the lock.
func (k *worker) killAll(why string) {
	running := 0
	byJob := map[string]int{}
	for _, t := range k.tasks {
		if t.phase != "ended" {
			running++
			byJob[t.job.ref]++
			t.timer.Stop()
			k.w.off(t, k.m.name)
		}
	}
	k.tasks = nil
	if running > 0 {
		k.w.rec.add(k.m.name, "%d tasks killed (%v): %s", running, byJob, why)
	}
}

func (k *worker) checkLease() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removed || time.Since(k.leaseFrom).Seconds() <= k.w.facts.leaseS {
		return
	}
	k.w.leaseExpired(k.m.name, len(k.tasks), k.refused, k.largest)
	k.killAll("the worker's lease has run out")
	k.tenure++
	k.leaseFrom, k.changed = time.Now(), true
	k.refused = map[int]int{}
}

// body returns the worker's report. The caller holds the lock.
func (k *worker) body() []byte {
	k.tick++
	tasks := make([]taskBody, 0, len(k.tasks))
	for _, t := range k.tasks {
		tasks = append(tasks, taskBody{t.shard, t.launch, t.phase, t.cause})
	}
	b, _ := json.Marshal(map[string]any{"host": k.m.name, "address": k.address(), "hull": k.m.hull.SKU, "yard": k.m.yard, "loaners": k.m.loaner,
		"tenure": k.tenure, "tick": k.tick, "baton": k.baton, "recall_s": nil, "shards": tasks})
	k.largest = max(k.largest, len(b))
	return b
}

// seen notes a token. It returns false if a message with it must be dropped. The caller holds the
// lock.
func (k *worker) seen(baton uint64) bool {
	if baton == 0 || baton < k.baton {
		return false
	}
	if baton > k.baton {
		k.baton = baton
		if time.Since(k.batonAt).Seconds() > k.w.facts.leaseS/2 {
			k.changed, k.batonAt = true, time.Now()
		}
	}
	return true
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	k.mu.Lock()
	defer k.mu.Unlock()
	send := func(status int) {
		b := k.body()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(b)
	}
	if r.URL.Path == "/status" {
		send(200)
		return
	}
	var x struct {
		Baton  *uint64     `json:"baton"`
		Tenure *uint64     `json:"tenure"`
		Orders []orderBody `json:"orders"`
	}
	if r.URL.Path != "/orders" || json.Unmarshal(body, &x) != nil || x.Baton == nil || x.Tenure == nil {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if *x.Tenure != k.tenure || !k.seen(*x.Baton) || k.removed {
		send(409)
		return
	}
	k.execute(x.Orders)
	send(200)
}

// execute carries out orders. The caller holds the lock.
func (k *worker) execute(orders []orderBody) {
	for _, o := range orders {
		at := -1
		for i, t := range k.tasks {
			if t.shard == o.Shard && t.launch == o.Launch {
				at = i
			}
		}
		switch {
		case o.Verb == "start" && at < 0:
			k.begin(o)
		case o.Verb == "halt" && at >= 0 && k.tasks[at].phase != "ended":
			k.finish(k.tasks[at], "halted")
		case o.Verb == "reap" && at >= 0 && k.tasks[at].phase == "ended":
			k.tasks = append(k.tasks[:at], k.tasks[at+1:]...)
			k.changed = true
		}
	}
}

func (k *worker) begin(o orderBody) {
	ref, _, _ := strings.Cut(o.Shard, "/")
	t := &task{shard: o.Shard, launch: o.Launch, phase: "ended", job: k.w.find(ref)}
	k.tasks, k.changed = append(k.tasks, t), true
	if t.job == nil {
		t.cause = "unknown"
		return
	}
	used := [3]float64{t.job.cpus, t.job.gpus, t.job.memoryGB}
	for _, x := range k.tasks {
		if x == t || x.phase == "ended" {
			continue
		}
		if x.shard == t.shard {
			t.cause = "busy"
			return
		}
		used[0] += x.job.cpus
		used[1] += x.job.gpus
		used[2] += x.job.memoryGB
	}
	if h := k.m.hull; used[0] > h.CPUs+1e-3 || used[1] > h.GPUs+1e-3 || used[2] > h.MemoryGB+1e-3 {
		t.cause = "no_room"
		return
	}
	t.phase = "pulling"
	there, ok := k.images[t.job.bundle]
	if !ok {
		there = time.Now().Add(time.Duration(t.job.sizeGB / k.m.hull.Fetch * float64(time.Second)))
		k.images[t.job.bundle] = there
	}
	t.timer = time.AfterFunc(time.Until(there), func() { k.run(t) })
}

func (k *worker) run(t *task) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.removed || t.phase != "pulling" {
		return
	}
	t.phase, k.changed = "running", true
	k.w.on(t, k.m.name)
	if t.job.shape != "standing" {
		t.timer = time.AfterFunc(t.job.runs, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if t.phase == "running" && !k.removed && k.has(t) {
				k.finish(t, "done")
			}
		})
	}
}

func (k *worker) has(t *task) bool {
	for _, x := range k.tasks {
		if x == t {
			return true
		}
	}
	return false
}

func (k *worker) finish(t *task, cause string) {
	t.timer.Stop()
	was := t.phase
	t.phase, t.cause, k.changed = "ended", cause, true
	if was == "running" {
		k.w.off(t, k.m.name)
	}
	if cause == "done" {
		k.w.done(t)
	}
}

// report sends reports until the machine is gone.
func (k *worker) report() {
	to, pause := rand.IntN(len(k.w.controllers)), time.Duration(0)
	for {
		next := time.Duration(k.w.facts.reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		if pause > 0 {
			next = pause
		}
		for start := time.Now(); time.Since(start) < next; time.Sleep(20 * time.Millisecond) {
			k.mu.Lock()
			early := k.changed && pause == 0 && time.Since(k.lastSent) >= 500*time.Millisecond || k.removed
			k.mu.Unlock()
			if early {
				break
			}
		}
		k.mu.Lock()
		if k.removed {
			k.mu.Unlock()
			return
		}
		b, tenure, sent := k.body(), k.tenure, time.Now()
		k.changed, k.lastSent = false, sent
		k.mu.Unlock()
		status, answered := k.send(to, b)
		pause = 0
		var x struct {
			Baton  uint64      `json:"baton"`
			Orders []orderBody `json:"orders"`
			To     string      `json:"reports_to"`
		}
		switch {
		case status == 200 && json.Unmarshal(answered, &x) == nil:
			k.mu.Lock()
			if tenure == k.tenure && k.seen(x.Baton) && !k.removed {
				k.leaseFrom = sent
				k.refused = map[int]int{}
				k.execute(x.Orders)
			}
			k.mu.Unlock()
		case status == 421 && json.Unmarshal(answered, &x) == nil && k.w.index(x.To) >= 0 && k.w.index(x.To) != to:
			to, pause = k.w.index(x.To), 100*time.Millisecond
		default:
			to, pause = (to+1)%len(k.w.controllers), time.Second
		}
		if status != 200 && status != 421 {
			k.mu.Lock()
			k.refused[status]++
			k.mu.Unlock()
		}
	}
}

// send sends a report and returns the answer's status, 0 if there is none.
func (k *worker) send(to int, b []byte) (int, []byte) {
	resp, err := k.client.Post("http://"+k.w.controllers[to].bind+"/hello", "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answered, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	longest := 0
	for _, line := range bytes.Split(answered, []byte("\n")) {
		longest = max(longest, len(line))
	}
	k.w.answeredWorker(k.m.name, k.w.controllers[to].label, resp.StatusCode, len(b), longest, fmt.Sprintf("%.80s", answered))
	return resp.StatusCode, answered
}
