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

// What users do beside submitting, polling and cancelling: cancel many jobs at once, cancel
// at the moment of the end, repeat submissions, send jobs that can't run.

// ids are the jobs in the order of their names.
func (w *World) ids() []string { return slices.Sorted(maps.Keys(w.jobs)) }

// CancelNow has users cancel so many jobs that run and have long to go within a fifth of a
// second. With hang, up to eight of their machines hang for so long. It returns the jobs.
func (w *World) CancelNow(n int, hang time.Duration) (out []string) {
	hung := 0
	for _, id := range w.ids() {
		j := w.jobs[id]
		if len(out) == n {
			break
		}
		if !j.accepted || j.cancelAsked || j.toldDone || len(j.results) == j.tasks {
			continue
		}
		long := false
		var on []*Machine
		for _, r := range j.runners() {
			if r.onMachine() && (j.shape == "standing" || r.from+j.left(r.task) > w.now+20*time.Second) {
				long = true
				on = append(on, r.m)
			}
		}
		if !long {
			continue
		}
		out = append(out, id)
		w.after(w.secs(0, 0.2), func() { w.cancel(j) })
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

// CancelAtEnd has a share of the jobs that end be cancelled at the moment of their end.
func (w *World) CancelAtEnd(share float64, d time.Duration) {
	w.cancelsAtEnd, w.cancelsAtEndUntil = share, w.now+d
}

// cancelAtEnd: the job's last task has completed just now.
func (w *World) cancelAtEnd(j *userJob) {
	if w.now >= w.cancelsAtEndUntil || j.cancelAsked || w.rng.Float64() >= w.cancelsAtEnd {
		return
	}
	// Just before the result is reported, as it is, or as its end is written.
	w.after(w.secs(0, 0.3), func() { w.cancel(j) })
}

// OddRequests has users repeat submissions and cancellations of jobs in any state, and send
// jobs that can't run or lack a field, for a while.
func (w *World) OddRequests(d time.Duration) {
	end := w.now + d
	var next func()
	next = func() {
		if w.now >= end {
			return
		}
		w.after(w.secs(0.1, 0.8), next)
		ids := w.ids()
		if len(ids) == 0 {
			return
		}
		j := w.jobs[ids[w.rng.IntN(len(ids))]]
		switch w.rng.IntN(3) {
		case 0:
			if j.accepted && j.body != nil {
				w.submit(j, j.body, 100)
			}
		case 1:
			if j.toldDone && !j.cancelAsked {
				w.cancel(j)
			}
		case 2:
			w.odd(w.rng.IntN(math.MaxInt32))
		}
	}
	next()
}

// odds are jobs that must be refused, each by what it changes in one that could run, with the
// status that the protocol gives.
var odds = func() (out []oddJob) {
	set := func(status int, field string, values ...any) {
		for _, v := range values {
			out = append(out, oddJob{status, map[string]any{field: v}})
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
		out = append(out, oddJob{422, map[string]any{"crew": "red", "shape": shape, "shards": 11, "cpus": 16.0}},
			oddJob{422, map[string]any{"crew": "blue", "shape": shape, "shards": 6, "gpus": 4.0}},
			oddJob{422, map[string]any{"shape": shape, "shards": 2, "same_place": true, "apart": true}},
			oddJob{422, map[string]any{"shape": shape, "shards": 2, "yard": "a", "apart": true}})
	}
	return out
}()

type oddJob struct {
	status int
	change map[string]any
}

// absent is the value of a field that isn't there.
var absent any = struct{ absent bool }{true}

// odd has a user send the k-th of the jobs that must be refused, with a number of its own.
func (w *World) odd(k int) {
	o := odds[k%len(odds)]
	w.oddSent++
	_, desc := w.describe(Job{ID: "j-odd", Shape: "sweep", Team: "free", Image: "i", ImageGB: 1, Tasks: 1, CPUs: 1, RunS: 5})
	delete(w.jobs, "j-odd")
	desc["ref"] = fmt.Sprintf("j-77%03d", w.oddSent%1000)
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
	w.ask("POST", "/v2/runs", body, 5*time.Second, func(a actor.Answer) {
		if a.Err == nil && a.Status != o.status && a.Status < 500 && a.Status != 429 {
			w.broke("odd", "%s got %d %s, not %d", body, a.Status, a.Body, o.status)
		}
		if a.Err == nil && a.Status == o.status {
			w.OddRefused++
		}
	})
}
