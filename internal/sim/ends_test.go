package sim

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"

	"github.com/anishathalye/porcupine"
)

// linearizable checks the recorded history; see TestHistories.
func (w *World) linearizable(t *testing.T, seed uint64) (ops, unknown int) {
	t.Helper()
	h := make([]porcupine.Operation, 0, len(w.Ops))
	open := map[[2]any]bool{}
	for i, op := range w.Ops {
		ret := int64(op.Return)
		if op.Return == noReturn {
			ret = math.MaxInt64
			unknown++
			// What one of them may do later, another of its kind can't do again.
			if k := [2]any{op.Job, op.Kind}; open[k] {
				continue
			} else {
				open[k] = true
			}
		}
		h = append(h, porcupine.Operation{ClientId: i, Input: op, Output: op.State, Call: int64(op.Call), Return: ret})
	}
	if r := porcupine.CheckOperationsTimeout(jobModel, h, 20*time.Second); r != porcupine.Ok {
		t.Errorf("seed %d: the history of %d operations: %v", seed, len(h), r)
	}
	return len(h), unknown
}

// endMeets is what else happens while jobs end and users cancel, ask and submit again.
type endMeets struct {
	name string
	lag  time.Duration // by so much the replicas of two nodes are behind
	lost float64       // the share of the controllers' writes whose answer is lost
	late float64       // and of those that get none and are carried out later
}

// TestEndMeets has the end of a job's last task meet cancellations, questions and repeated
// submissions, at three nodes at once, in each part of a second around it: while the result is
// on its way, while the end is written, after its answer was lost, at nodes that are behind.
// Each user gets one final word and never another; what users were told is linearizable; no
// start follows a confirmed cancellation by more than what was on its way.
func TestEndMeets(t *testing.T) {
	t.Parallel()
	total, done, cancelled := 0, 0, 0
	for _, c := range []endMeets{
		{name: "nothing else"},
		{name: "two nodes are behind", lag: 900 * time.Millisecond},
		{name: "answers are lost", lost: 0.4},
		{name: "writes are late", late: 0.3},
		{name: "both", lag: 500 * time.Millisecond, lost: 0.3, late: 0.2},
	} {
		for _, seed := range seeds(t, 2) {
			w := worldOf(Config{Seed: 990 + seed, Nodes: 3})
			w.RecordOps = true
			w.checkCancelled()
			w.Run(10 * time.Second)
			w.DelayWrites(c.late, 200*time.Second)
			w.AnswerDelay = func(from string, a actor.Call) time.Duration {
				switch {
				case c.lag > 0 && from != w.NodeName(0) && strings.HasPrefix(a.Path, "/changes"):
					return w.randomSecs(0, c.lag.Seconds())
				case c.lost > 0 && a.Path == "/commit" && strings.Contains(string(a.Body), `"write"`) && w.rng.Float64() < c.lost:
					return 20 * time.Second
				}
				return 0
			}
			for i := range 60 {
				w.At(w.randomSecs(10, 90), func() {
					w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: []string{"sweep", "ensemble", "sweep"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1 + i%3, CPUs: 1, RunS: 2 + float64(i%7)})
				})
			}
			// At the moment of the end, and within what it takes to become durable.
			w.OnEnd = func(j *userJob) {
				d := []time.Duration{0, w.randomSecs(0, 0.02), w.randomSecs(0, 0.2), w.randomSecs(0, 1.2)}[w.rng.IntN(4)]
				for k := range w.nodes {
					at := d + w.randomSecs(0, 0.05)*time.Duration(w.rng.IntN(2))
					w.after(at, func() {
						if w.rng.IntN(3) > 0 {
							w.cancelAt(k, j)
						}
						w.pollAt(k, j)
						if w.rng.IntN(2) == 0 {
							w.submitAt(k, j)
						}
					})
				}
			}
			w.Run(200 * time.Second)
			w.AnswerDelay = nil
			w.Run(400 * time.Second)
			w.checkNoBrokenRules(t)
			n, _ := w.linearizable(t, seed)
			total += n
			for _, j := range w.jobs {
				switch {
				case j.reportedDone && j.cancelledAt > 0:
					t.Errorf("%s, seed %d: %s was called both done and cancelled", c.name, seed, j.id)
				case j.reportedDone:
					done++
				case j.cancelledAt > 0:
					cancelled++
				default:
					t.Errorf("%s, seed %d: %s has no final word", c.name, seed, j.id)
				}
			}
		}
	}
	t.Logf("%d operations; %d jobs done, %d cancelled", total, done, cancelled)
	if done < 50 || cancelled < 50 {
		t.Error("the race was won by one side only: the meeting did not come about")
	}
}

// cancelAt, pollAt and submitAt have the job's user ask at the given node once.
func (w *World) cancelAt(k int, j *userJob) {
	j.cancelAsked = true
	w.askAt(k, j, OpCancel, "POST", "/v2/runs/"+j.id+"/withdraw", nil)
}
func (w *World) pollAt(k int, j *userJob) { w.askAt(k, j, OpPoll, "GET", "/v2/runs/"+j.id, nil) }
func (w *World) submitAt(k int, j *userJob) {
	w.askAt(k, j, OpSubmit, "POST", "/v2/runs", j.submission)
}

func (w *World) askAt(k int, j *userJob, op int, method, path string, body []byte) {
	asked := w.now
	w.send("users", actor.Call{Addr: w.nodes[k].addr, Method: method, Path: path, Body: body, Timeout: 5 * time.Second, Done: func(a actor.Answer) {
		w.recordOp(j, op, asked, a)
		switch {
		case a.Err == nil && (a.Status == 200 || a.Status == 201):
			w.checkAnswer(j, a.Body, asked)
		case a.Err == nil && (a.Status == 404 || a.Status == 400 || a.Status == 422):
			w.reportViolation("forgotten", "%s %s of %s got %d", method, path, j.id, a.Status)
		}
	}})
}
