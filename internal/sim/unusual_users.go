package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// This file has unusual behaviour of users: they cancel many jobs at once, cancel a job at
// the moment of its end, repeat submissions, and submit jobs that can't run.

// jobIDs are the IDs of the jobs in ascending order.
func (w *World) jobIDs() []string { return slices.Sorted(maps.Keys(w.jobs)) }

// CancelRunning makes users cancel up to n running jobs within 200 ms; each is a service or
// has a task that runs for over 20 s more. If hang is not 0, up to eight of their machines
// hang for that time. It returns the jobs.
func (w *World) CancelRunning(n int, hang time.Duration) (out []string) {
	hung := 0
	for _, id := range w.jobIDs() {
		j := w.jobs[id]
		if len(out) == n {
			break
		}
		if !j.accepted || j.cancelAsked || j.reportedDone || len(j.results) == j.tasks {
			continue
		}
		long := false
		var on []*Machine
		for _, r := range j.runners() {
			if r.onMachine() && (j.kind == "standing" || r.startedAt+j.remaining(r.task) > w.now+20*time.Second) {
				long = true
				on = append(on, r.m)
			}
		}
		if !long {
			continue
		}
		out = append(out, id)
		w.after(w.randomSecs(0, 0.2), func() { w.cancel(j) })
		slices.SortFunc(on, func(a, b *Machine) int { return strings.Compare(a.Name, b.Name) })
		for _, m := range on {
			if hang > 0 && hung < 8 && !m.hanging() {
				hung++
				m.Hang(hang)
			}
		}
	}
	return out
}

// CancelAtEnd makes users cancel a share of the jobs at the moment of their end, for a while.
func (w *World) CancelAtEnd(share float64, d time.Duration) {
	w.cancelAtEndShare, w.cancelAtEndUntil = share, w.now+d
}

// cancelAtEnd is called when the job's last task has completed.
func (w *World) cancelAtEnd(j *userJob) {
	if w.now >= w.cancelAtEndUntil || j.cancelAsked || w.rng.Float64() >= w.cancelAtEndShare {
		return
	}
	// The cancellation arrives before or while the result is reported or the end is written.
	w.after(w.randomSecs(0, 0.3), func() { w.cancel(j) })
}

// UnusualRequests makes users repeat submissions, cancel jobs that are done, and submit
// invalid jobs, for a while.
func (w *World) UnusualRequests(d time.Duration) {
	end := w.now + d
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.after(w.randomSecs(0.1, 0.8), next)
		ids := w.jobIDs()
		if len(ids) == 0 {
			return
		}
		j := w.jobs[ids[w.rng.IntN(len(ids))]]
		switch w.rng.IntN(3) {
		case 0:
			if j.accepted && j.submission != nil {
				w.submit(j, j.submission, 100)
			}
		case 1:
			if j.reportedDone && !j.cancelAsked {
				w.cancel(j)
			}
		case 2:
			w.submitInvalid(w.rng.IntN(math.MaxInt32))
		}
	}
	next()
}

// invalidJobs are jobs that must be refused, each with the status that the protocol requires
// and the fields in which it differs from a valid job.
var invalidJobs = func() (out []invalidJob) {
	set := func(status int, field string, values ...any) {
		for _, v := range values {
			out = append(out, invalidJob{status, map[string]any{field: v}})
		}
	}
	for _, field := range []string{"ref", "lane", "crew", "shape", "urgency", "bundle"} {
		set(400, field, absent, nil, 7, "", []string{"x"})
	}
	set(400, "shape", "circle")
	set(400, "urgency", "soon")
	set(400, "ref", "x-1", "j-", "j-1/2", "j-1 2", "J-000412")
	set(400, "shards", absent, nil, 0, -1, 1.5, "3", 100001, 1e30)
	for _, field := range []string{"cpus", "gpus", "memory_gb", "size_gb", "expect_s", "snapshot_s", "stow_s"} {
		set(400, field, absent, nil, -1.0, "1", []int{1}, true)
	}
	for _, field := range []string{"same_place", "apart", "loaners"} {
		set(400, field, absent, nil, 1, "true")
	}
	set(400, "hulls", "big", []int{1}, map[string]any{})
	set(400, "yard", 1, []string{"a"}, false)
	set(400, "due_s", "soon", -1.0, []int{})
	set(422, "crew", "nobody")
	set(422, "hulls", []string{}, []string{"small"})
	set(422, "yard", "z")
	set(422, "cpus", 16.5, 1e6)
	set(422, "gpus", 4.5)
	set(422, "memory_gb", 513.0)
	for _, shape := range []string{"ensemble", "standing"} {
		out = append(out, invalidJob{422, map[string]any{"crew": "red", "shape": shape, "shards": 11, "cpus": 16.0}},
			invalidJob{422, map[string]any{"crew": "blue", "shape": shape, "shards": 6, "gpus": 4.0}},
			invalidJob{422, map[string]any{"shape": shape, "shards": 2, "same_place": true, "apart": true}},
			invalidJob{422, map[string]any{"shape": shape, "shards": 2, "yard": "a", "apart": true}})
	}
	return out
}()

type invalidJob struct {
	status int
	change map[string]any
}

// absent marks a field to leave out.
var absent any = struct{ absent bool }{true}

// submitInvalid makes a user submit one of the invalid jobs, with an ID of its own.
func (w *World) submitInvalid(k int) {
	o := invalidJobs[k%len(invalidJobs)]
	w.invalidSent++
	_, desc := w.describe(Job{ID: "j-odd", Kind: "sweep", Team: "free", Image: "i", ImageGB: 1, Tasks: 1, CPUs: 1, RunS: 5})
	delete(w.jobs, "j-odd")
	desc["ref"] = fmt.Sprintf("j-77%03d", w.invalidSent%1000)
	for f, v := range o.change {
		if v == absent {
			delete(desc, f)
		} else {
			desc[f] = v
		}
	}
	body, err := json.Marshal(desc)
	if err != nil {
		panic("sim: " + err.Error())
	}
	w.request("POST", "/v2/runs", body, 5*time.Second, func(a actor.Answer) {
		if a.Err == nil && a.Status != o.status && a.Status < 500 && a.Status != 429 {
			w.reportViolation("odd", "%s got %d %s, expected %d", body, a.Status, a.Body, o.status)
		}
		if a.Err == nil && a.Status == o.status {
			w.InvalidRefused++
		}
	})
}
