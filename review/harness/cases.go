package main

import (
	"os"
	"time"
)

// cases are the cases by name. Each gets its folder and ends the process.
var cases = map[string]func(folder string){
	"first-rollout": firstRollout,
	"many-tasks":    manyTasks,
	"many-types":    manyTypes,
}

// firstRollout rolls out a service. With the trouble the roll-out begins the service; without, it
// adopts a job that runs.
func firstRollout(folder string) {
	w := newWorld(folder, lisboa, 2, 2)
	w.ready("provisioning", "imsi-score")
	old := &job{ref: "j-000010", crew: "provisioning", lane: "activation-verify", shape: "standing", urgency: "high", shards: 2, cpus: 2, memoryGB: 2, bundle: "img-02", sizeGB: 0.2}
	if !w.submit(old, 20*time.Second) {
		w.fatal("the service was not accepted")
	}
	version := &job{ref: "j-000011", crew: "provisioning", lane: "activation-verify", shape: "standing", urgency: "high", shards: 2, cpus: 2, memoryGB: 2, bundle: "img-03", sizeGB: 0.2}
	w.mu.Lock()
	w.jobs[version.ref] = version
	w.mu.Unlock()
	plan := map[string]any{"job": version.description(), "surge": 2, "unavailable": 0, "window_s": 5.0}
	if !w.trouble {
		plan["from"] = old.ref
	}
	if status, _ := w.until(20*time.Second, "POST", "/services/verify/rollouts", plan); status != 201 && status != 200 {
		w.fatal("the roll-out was not accepted")
	}
	time.Sleep(4 * time.Second)
	later := &job{ref: "j-000100", crew: "risk-models", lane: "imsi-score", shape: "sweep", urgency: "standard", shards: 4, cpus: 2, memoryGB: 2, bundle: "img-01", sizeGB: 0.2, runs: 3 * time.Second}
	accepted := w.submit(later, 20*time.Second)
	at := time.Now()
	if !accepted {
		w.rec.add("user", "%s was not accepted in 20 s", later.ref)
	}
	// A machine that fits has room all the time, and the team has no limit.
	for time.Since(at) < 70*time.Second && (!w.begun(later.ref) || time.Since(at) < 30*time.Second) {
		time.Sleep(5 * time.Second)
		w.until(0, "GET", "/v2/runs/"+later.ref, nil)
	}
	w.until(0, "GET", "/services/verify", nil)
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	w.rec.add("harness", "%d times a controller ended by itself; %s: accepted %v, begun %v", ended, later.ref, accepted, w.begun(later.ref))
	if ended > 0 {
		w.violate("controllers ended by themselves %d times; accepted job %s begun after %.0f s: %v", ended, later.ref, time.Since(at).Seconds(), w.begun(later.ref))
	}
	w.finish()
}

// manyTasks submits an array of many tiny tasks beside a job of two larger tasks. Without the
// trouble the array has few tasks.
func manyTasks(folder string) {
	w := newWorld(folder, tbilisi, 2, 2)
	w.ready("quality", "call-score")
	beside := &job{ref: "j-000020", crew: "quality", lane: "call-score", shape: "sweep", urgency: "standard", shards: 2, cpus: 10, gpus: 1, memoryGB: 54, bundle: "img-01", sizeGB: 0.2, runs: 50 * time.Second}
	if !w.submit(beside, 20*time.Second) {
		w.fatal("the job was not accepted")
	}
	for start := time.Now(); !w.begun(beside.ref); time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			w.fatal("the job beside doesn't run")
		}
	}
	census := &job{ref: "j-000021", crew: "kutaisi-lab", lane: "dialect-atlas", shape: "sweep", urgency: "idle", shards: 20000, cpus: 0.05, memoryGB: 0.25, bundle: "img-04", sizeGB: 0.5, runs: 40 * time.Second}
	if !w.trouble {
		census.shards = 400
	}
	if !w.submit(census, 20*time.Second) {
		w.fatal("the array was not accepted")
	}
	at := time.Now()
	for time.Since(at) < 75*time.Second && (w.doneTasks(beside.ref) < beside.shards || w.doneTasks(census.ref) < census.shards) {
		time.Sleep(5 * time.Second)
		w.until(0, "GET", "/v2/runs/"+census.ref, nil)
		w.until(0, "GET", "/v2/runs/"+beside.ref, nil)
	}
	w.mu.Lock()
	expired, lines, refused := w.expired, w.longLines, w.refusals
	w.mu.Unlock()
	w.rec.add("harness", "leases run out: %d; answers with a line over 64 KiB: %d; reports refused: %v; tasks done: %s %d of %d, %s %d of %d", expired, lines, refused,
		beside.ref, w.doneTasks(beside.ref), beside.shards, census.ref, w.doneTasks(census.ref), census.shards)
	if lines > 0 {
		w.violate("%d answers to workers had a line of more than 64 KiB", lines)
	}
	if expired > 0 && len(refused) > 0 {
		w.violate("workers' leases ran out %d times, with all their tasks, because the controllers refused their reports", expired)
	}
	w.finish()
}

// manyTypes submits a job where the cloud offers 32 machine types, without the trouble three.
func manyTypes(folder string) {
	f := lisboa
	f.others = 2
	if os.Getenv("TROUBLE") != "0" {
		f.others = 31
	}
	w := newWorld(folder, f, 2, 2)
	time.Sleep(5 * time.Second)
	j := &job{ref: "j-000030", crew: "provisioning", lane: "imsi-score", shape: "sweep", urgency: "standard", shards: 4, cpus: 10, gpus: 1, memoryGB: 54, bundle: "img-01", sizeGB: 0.2, runs: 5 * time.Second}
	accepted := w.submit(j, 60*time.Second)
	at := time.Now()
	for time.Since(at) < 30*time.Second && w.doneTasks(j.ref) < j.shards {
		time.Sleep(time.Second)
	}
	w.rec.add("harness", "accepted: %v, begun: %v, tasks done: %d of %d", accepted, w.begun(j.ref), w.doneTasks(j.ref), j.shards)
	if !w.begun(j.ref) {
		w.violate("nothing_ran: no task was started; the job was accepted within 60 s: %v", accepted)
	}
	w.finish()
}
