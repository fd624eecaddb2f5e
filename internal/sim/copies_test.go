package sim

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestCopiesOfStarts delivers three copies of each direct start, 2 s to 4 min after the original.
// Most arrive when the task is done and the worker was ordered to forget it, while the task's team
// is at its limit or its job was cancelled, also after a change of leader. A worker that had
// forgotten a done task started it again, which broke the rules `quota` and `ran_cancelled`.
func TestCopiesOfStarts(t *testing.T) {
	t.Parallel()
	atLimit, cancelled := 0, 0
	for _, seed := range seeds(t, 4) {
		w := world(45000 + seed)
		w.checkCancelled()
		w.submitSteadily("short", 1, 1200*time.Millisecond, 5*time.Second, 240*time.Second, func(i int) Job {
			j := Job{Kind: "sweep", Team: "red", Tasks: 3, CPUs: 8, RunS: float64(4 + i%6)}
			if i%16 == 0 { // when it is cancelled, some tasks are done and others wait
				j.Tasks, j.CancelAfter = 60, 25*time.Second
			}
			return j
		})
		// Another team's load varies, so that machines have room when the first team is at its limit.
		w.submitSteadily("others", 2, 4*time.Second, 5*time.Second, 300*time.Second, func(i int) Job {
			return Job{Kind: "sweep", Team: "free", Tasks: 1 + i%12, CPUs: 6, RunS: float64(5 + i%9)}
		})
		w.OnSend = func(from string, c actor.Call) {
			m := w.Cloud.byAddr[c.Addr]
			if m == nil || c.Path != "/orders" || !bytes.Contains(c.Body, []byte(`"start"`)) {
				return
			}
			body := bytes.Clone(c.Body)
			copied := func() {
				if !m.reachable() {
					return
				}
				v := w.view()
				for _, j := range w.jobsOfDoneTasks(m, body) {
					if v.use[j.team][0]+j.cpus > 160 && v.free[m][0] >= j.cpus {
						atLimit++
					}
					if j.cancelledAt > 0 && w.now > j.cancelledAt+w.cancelDeadline() {
						cancelled++
					}
				}
				m.serve(from, c.Method, c.Path, body, func(int, []byte) {})
			}
			for range 3 {
				w.after(w.randomSecs(2, 240), copied)
			}
		}
		if seed%2 == 0 {
			w.At(120*time.Second, func() { w.Crash(max(0, w.Leader()), 3*time.Second) })
		}
		w.Run(600 * time.Second)
		w.checkOutcome(t, 100)
	}
	t.Logf("copies of starts of done tasks: %d arrived while their team was at its limit, %d long after a cancellation", atLimit, cancelled)
	if atLimit < 30 || cancelled < 30 {
		t.Error("too few copies arrived in the states under test")
	}
}

// jobsOfDoneTasks returns the job of each task that a direct command starts although it is done.
// A worker that had forgotten the task would start it again. The result is empty if the worker
// rejects the command.
func (w *World) jobsOfDoneTasks(m *Machine, body []byte) (out []*userJob) {
	var r struct {
		Baton, Tenure uint64
		Orders        []order
	}
	if json.Unmarshal(body, &r) != nil || r.Baton < m.token || r.Tenure != m.session {
		return nil
	}
	for _, o := range r.Orders {
		id, n, _ := strings.Cut(o.Task, "/")
		task, _ := strconv.Atoi(n)
		if j := w.jobs[id]; o.Verb == "start" && j != nil && j.results[task] {
			out = append(out, j)
		}
	}
	return out
}
