// Command harness runs the cases of the review: it starts controllers as separate processes with
// the run line of the deploy file, and has small stand-ins for the state service, the cloud, the
// workers and the users, all on loopback addresses and the real clock.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %-9s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// job is a job as its user describes it, and what the workers have to know of it.
type job struct {
	ref, crew, lane, shape, urgency string
	shards                          int
	cpus, gpus, memoryGB            float64
	bundle                          string
	sizeGB                          float64
	runs                            time.Duration // how long a task really runs
}

func (j *job) description() map[string]any {
	return map[string]any{"ref": j.ref, "lane": j.lane, "crew": j.crew, "shape": j.shape, "urgency": j.urgency, "shards": j.shards,
		"cpus": j.cpus, "gpus": j.gpus, "memory_gb": j.memoryGB, "bundle": j.bundle, "size_gb": j.sizeGB, "hulls": nil, "yard": nil,
		"same_place": false, "apart": false, "loaners": true, "expect_s": j.runs.Seconds(), "snapshot_s": 0.0, "stow_s": 0.0, "due_s": nil}
}

// facts are the settings of a deployment.
type facts struct {
	zones                    []string // of the three controllers
	teams                    string   // the teams' part of the settings
	classes                  string   // the objectives' part
	reportS, leaseS, cancelS float64
	state                    stateFacts
	cloudRPS, lagS           float64
	limits                   string
	hull                     machineType
	others                   int // further machine types that the cloud offers
}

// types lists the machine types of the cloud, by name.
func (f facts) types() []*machineType {
	out := []*machineType{&f.hull}
	for i := range f.others {
		t := f.hull
		t.SKU, t.CPUs, t.MemoryGB, t.GPUs = fmt.Sprintf("%s-%02d", f.hull.SKU, i+2), float64(4+2*i), float64(16+8*i), float64(i%5)
		out = append(out, &t)
	}
	return out
}

const team = "[[facts.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n\n"

// lisboa is lumiar-activation-lisboa, tbilisi is mtsvane-scripts-tbilisi-ops.
var (
	lisboa = facts{zones: []string{"lisboa-a", "porto-b", "lisboa-a"},
		teams:   fmt.Sprintf(team, "provisioning", 0.0, 0.0) + fmt.Sprintf(team, "risk-models", 0.0, 0.0),
		classes: "[[facts.objectives]]\nkind = \"finished\"\nclass = \"imsi-score\"\nwithin_s = 250.0\nshare = 0.9\n\n",
		reportS: 3, leaseS: 36, cancelS: 61, state: stateFacts{rps: 120, writeRPS: 25, valueKB: 4, txnOps: 12}, cloudRPS: 2, lagS: 4,
		limits: "cpu_share = 0.12\nmem_mb = 125.0\nsockets = 1200\n",
		hull:   machineType{SKU: "tejo-g48", CPUs: 48, GPUs: 4, MemoryGB: 288, LocalGB: 200, Fetch: 1, Hourly: 13.58, LowPrice: 3.56, ReadyS: 60, Yards: []string{"lisboa-a", "porto-b"}}}
	tbilisi = facts{zones: []string{"tbilisi-1", "rustavi-2", "tbilisi-1"},
		teams: fmt.Sprintf(team, "speech", 136.0, 496.0) + fmt.Sprintf(team, "scripting", 112.0, 328.0) + fmt.Sprintf(team, "quality", 64.0, 200.0) +
			fmt.Sprintf(team, "kutaisi-lab", 0.0, 0.0),
		classes: "[[facts.objectives]]\nkind = \"deadline\"\nclass = \"call-score\"\nwithin_s = 0.0\nshare = 0.85\n\n",
		reportS: 3, leaseS: 32, cancelS: 62, state: stateFacts{rps: 250, writeRPS: 30, valueKB: 8, txnOps: 16}, cloudRPS: 6, lagS: 5,
		limits: "cpu_share = 0.3\nmem_mb = 342.0\nsockets = 3500\n",
		hull:   machineType{SKU: "mtkvari-g96", CPUs: 96, GPUs: 8, MemoryGB: 576, LocalGB: 200, Fetch: 1, Hourly: 27.23, LowPrice: 9.94, ReadyS: 35, Yards: []string{"rustavi-2", "tbilisi-1"}}}
)

type controller struct {
	w             *world
	label, zone   string
	bind, cluster string
	state, cloud  string
	file, log     string
	cmd           *exec.Cmd
	mu            sync.Mutex
	stopping      bool
}

type world struct {
	dir, root   string
	trouble     bool
	rec         *recorder
	facts       facts
	state       *stateService
	cloud       *cloud
	controllers []*controller
	net         string

	mu         sync.Mutex
	jobs       map[string]*job
	places     map[string]string // where a task runs now
	started    map[string]int    // tasks started, by job
	finished   map[string]map[string]bool
	firstStart map[string]time.Time
	ended      int // controllers that ended by themselves
	expired    int // leases that ran out
	longLines  int
	refusals   map[string]int
	violations []string
}

func (w *world) fatal(format string, args ...any) {
	w.rec.add("harness", "can't run: "+format, args...)
	fmt.Printf("can't run: "+format+"\n", args...)
	w.close()
	os.Exit(2)
}

func (w *world) machineIP(name string) string {
	n := 0
	_, _ = fmt.Sscanf(name, "vm-%d", &n)
	return fmt.Sprintf("%s.%d.%d", w.net, 1+n/200, 1+n%200)
}

func (w *world) index(label string) int {
	for i, c := range w.controllers {
		if c.label == label {
			return i
		}
	}
	return -1
}

func (w *world) find(ref string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[ref]
}

// on notes that a task is on a machine, off that it is not any more.
func (w *world) on(t *task, machine string) {
	w.mu.Lock()
	other, twice := w.places[t.shard]
	w.places[t.shard] = machine
	w.started[t.job.ref]++
	if w.firstStart[t.job.ref].IsZero() {
		w.firstStart[t.job.ref] = time.Now()
	}
	w.mu.Unlock()
	if t.job.shards <= 20 {
		w.rec.add(machine, "%s launch %d runs", t.shard, t.launch)
	}
	if twice && other != machine {
		w.violate("ran_twice: %s started on %s while it is on %s", t.shard, machine, other)
	}
}

func (w *world) off(t *task, machine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.places[t.shard] == machine {
		delete(w.places, t.shard)
	}
}

func (w *world) done(t *task) {
	w.mu.Lock()
	if w.finished[t.job.ref] == nil {
		w.finished[t.job.ref] = map[string]bool{}
	}
	w.finished[t.job.ref][t.shard] = true
	w.mu.Unlock()
	if t.job.shards <= 20 {
		w.rec.add("worker", "%s launch %d is done", t.shard, t.launch)
	}
}

func (w *world) doneTasks(ref string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.finished[ref])
}

func (w *world) begun(ref string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.firstStart[ref].IsZero()
}

func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.rec.add("RULE", "broken: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, text)
}

func (w *world) leaseExpired(machine string, tasks int, refused map[int]int, largest int) {
	w.rec.add(machine, "lease runs out with %d tasks; answers since its last renewal, by status (0: none): %v; longest report so far %d bytes", tasks, refused, largest)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expired++
}

func (w *world) answeredWorker(machine, label string, status, sent, line int, text string) {
	if line > 64<<10 {
		w.rec.add(label, "answers %s with a line of %d bytes", machine, line)
		w.mu.Lock()
		w.longLines++
		w.mu.Unlock()
	}
	if status == 200 || status == 421 || status == 503 {
		return
	}
	w.rec.add(label, "answers the report of %s (%d bytes) with %d %s", machine, sent, status, text)
	w.mu.Lock()
	w.refusals[machine]++
	w.mu.Unlock()
}

func (w *world) freePort(ip string) string {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		w.fatal("%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (w *world) listen(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.fatal("%v", err)
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

// newWorld starts the stand-ins, with machines up at the start, and three controllers.
func newWorld(folder string, f facts, machines, capacity int) *world {
	root, err := filepath.Abs(filepath.Join(folder, "../.."))
	if err != nil {
		panic(err)
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("can't run:", err)
		os.Exit(2)
	}
	w := &world{root: root, trouble: os.Getenv("TROUBLE") != "0", rec: &recorder{f: out, began: time.Now()}, jobs: map[string]*job{}, places: map[string]string{},
		started: map[string]int{}, finished: map[string]map[string]bool{}, firstStart: map[string]time.Time{}, refusals: map[string]int{},
		net: fmt.Sprintf("127.%d", 60+rand.IntN(150))}
	w.facts = f
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		w.fatal("%v", err)
	}
	w.rec.add("harness", "trouble: %v", w.trouble)
	w.state = newStateService(w.facts.state)
	w.cloud = &cloud{w: w, capacity: capacity, lag: time.Duration(f.lagS * float64(time.Second)), requests: bucket{f.cloudRPS, 2 * f.cloudRPS, time.Now()},
		charters: map[string][]string{}, types: f.types()}
	for i, zone := range f.zones {
		w.controllers = append(w.controllers, &controller{w: w, label: fmt.Sprintf("berth-%d", i), zone: zone, bind: w.freePort("127.0.0.1"), cluster: w.freePort("127.0.0.1"),
			state: w.listen(w.state), cloud: w.listen(w.cloud)})
	}
	for _, c := range w.controllers {
		c.write()
		c.start()
	}
	w.cloud.start(machines, f.zones[0])
	time.AfterFunc(117*time.Second, func() { w.fatal("the case took too long") })
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
		w.fatal("ended by %v", <-ended)
	}()
	return w
}

// write writes the settings file, as the platform would.
func (c *controller) write() {
	w := c.w
	var b strings.Builder
	fmt.Fprintf(&b, "label = %q\nlocation = %q\nbind = %q\ncluster_listen = %q\n\n", c.label, c.zone, c.bind, c.cluster)
	for _, p := range w.controllers {
		if p != c {
			fmt.Fprintf(&b, "[[peers]]\nlabel = %q\nlocation = %q\nendpoint = %q\n\n", p.label, p.zone, p.cluster)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n\n[facts]\nnodes = 3\nzones = [%q, %q]\nskew_ms = 250.0\n\n%s%s", c.cloud, c.state, w.facts.hull.Yards[0], w.facts.hull.Yards[1],
		w.facts.teams, w.facts.classes)
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n\n", w.facts.reportS, w.facts.leaseS, w.facts.cancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", w.facts.state.rps, w.facts.state.writeRPS, w.facts.state.valueKB, w.facts.state.txnOps)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n[facts.limits]\n%s", w.facts.cloudRPS, w.facts.lagS, w.facts.limits)
	c.file, c.log = filepath.Join(w.dir, c.label+".toml"), filepath.Join(w.dir, c.label+".log")
	if err := os.WriteFile(c.file, []byte(b.String()), 0o600); err != nil {
		w.fatal("%v", err)
	}
}

// start starts the controller with the run line of the deploy file. If it ends by itself it is
// started again after 8 s.
func (c *controller) start() {
	w := c.w
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy/service.toml"))
	if err != nil {
		w.fatal("%v", err)
	}
	_, line, _ := strings.Cut(string(deploy), "run = \"")
	line, _, ok := strings.Cut(line, "\"")
	args := strings.Fields(line)
	if !ok || len(args) == 0 {
		w.fatal("deploy/service.toml has no run line")
	}
	log, err := os.OpenFile(c.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		w.fatal("%v", err)
	}
	cmd := exec.Command(filepath.Join(w.root, args[0]), append(args[1:], c.file)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.SysProcAttr = w.root, log, log, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.mu.Lock()
	if c.stopping {
		c.mu.Unlock()
		return
	}
	failed := make(chan error)
	launches <- func() { failed <- cmd.Start() }
	err = <-failed
	c.cmd = cmd
	c.mu.Unlock()
	_ = log.Close()
	if err != nil {
		w.fatal("%v: run the build of the deploy file first", err)
	}
	w.rec.add(c.label, "started")
	go func() {
		err := cmd.Wait()
		c.mu.Lock()
		stopping := c.stopping
		c.mu.Unlock()
		if stopping {
			return
		}
		w.mu.Lock()
		w.ended++
		w.mu.Unlock()
		w.rec.add(c.label, "ended by itself: %v; its log: %s", err, c.lastPanic())
		time.AfterFunc(8*time.Second, c.start)
	}()
}

// launches has the starts of processes. One thread makes all of them, since a process is ended with
// the thread that started it.
var launches = make(chan func())

func launch() {
	runtime.LockOSThread()
	for f := range launches {
		f()
	}
}

// lastPanic returns the last panic of the log and the function that it came from.
func (c *controller) lastPanic() string {
	b, _ := os.ReadFile(c.log)
	i := bytes.LastIndex(b, []byte("\npanic: "))
	if i < 0 {
		return "no panic"
	}
	out := ""
	for _, l := range strings.Split(string(b[i+1:]), "\n") {
		if strings.HasPrefix(l, "panic: ") || strings.HasPrefix(l, "brooklb/") {
			out += strings.SplitN(l, "(0x", 2)[0] + " | "
		}
		if strings.Count(out, "|") == 3 {
			break
		}
	}
	return out
}

func (w *world) close() {
	for _, c := range w.controllers {
		c.mu.Lock()
		c.stopping = true
		if c.cmd != nil && c.cmd.Process != nil {
			_ = c.cmd.Process.Kill() // fails for one that has ended
		}
		c.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// finish ends everything and exits with 1 if the rule was broken.
func (w *world) finish() {
	w.mu.Lock()
	broken := w.violations
	w.mu.Unlock()
	w.close()
	if len(broken) > 0 {
		fmt.Println("rule broken:", broken[0])
		w.rec.add("harness", "result: broken")
		os.Exit(1)
	}
	w.rec.add("harness", "result: held")
	fmt.Println("rule held")
	os.Exit(0)
}

var users = &http.Client{Timeout: 5 * time.Second}

// ask sends a user's request to a controller. The status is 0 if there is no answer.
func (w *world) ask(node int, method, path string, body any) (int, []byte) {
	var in io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+w.controllers[node].bind+path, in)
	if err != nil {
		w.fatal("%v", err)
	}
	resp, err := users.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// until repeats a user's request at one node after the other, a second apart, until it gets a
// final answer or the time is over.
func (w *world) until(limit time.Duration, method, path string, body any) (int, []byte) {
	end := time.Now().Add(limit)
	for node := rand.IntN(len(w.controllers)); ; node = (node + 1) % len(w.controllers) {
		status, b := w.ask(node, method, path, body)
		w.rec.add("user", "%s %s at %s: %d %.200s", method, path, w.controllers[node].label, status, b)
		switch status {
		case 0, 429, 503, 504:
		default:
			return status, b
		}
		if time.Now().After(end) {
			return status, b
		}
		time.Sleep(time.Second)
	}
}

// submit uploads a job's description for the workers and submits it. It reports whether the job
// was accepted.
func (w *world) submit(j *job, limit time.Duration) bool {
	w.mu.Lock()
	w.jobs[j.ref] = j
	w.mu.Unlock()
	status, _ := w.until(limit, "POST", "/v2/runs", j.description())
	return status == 201 || status == 200
}

// ready waits until some controller accepts and runs a first job.
func (w *world) ready(crew, lane string) {
	first := &job{ref: "j-000001", crew: crew, lane: lane, shape: "sweep", urgency: "standard", shards: 2, cpus: 1, memoryGB: 1, bundle: "img-01", sizeGB: 0.2, runs: time.Second}
	if !w.submit(first, 25*time.Second) {
		w.fatal("no controller accepts a job")
	}
	for start := time.Now(); w.doneTasks(first.ref) < first.shards; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 25*time.Second {
			w.fatal("the first job doesn't run")
		}
	}
	w.rec.add("harness", "the cluster runs jobs")
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: harness CASE FOLDER")
		os.Exit(2)
	}
	go launch()
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(2)
	}
	run(os.Args[2])
}
