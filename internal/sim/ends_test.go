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

// linearizable checks that the recorded history is linearizable, see TestHistories. It returns the
// number of operations and how many of them got no answer.
func (w *World) linearizable(t *testing.T, seed uint64) (ops, unknown int) {
	t.Helper()
	h := make([]porcupine.Operation, 0, len(w.Ops))
	open := map[[2]any]bool{}
	for i, op := range w.Ops {
		ret := int64(op.Return)
		if op.Return == noReturn {
			ret = math.MaxInt64
			unknown++
			// An unanswered operation may take effect at any later time. A second one of the
			// same kind on the same job can't add an effect, so one is enough.
			if k := [2]any{op.Job, op.Kind}; open[k] {
				continue
			} else {
				open[k] = true
			}
		}
		h = append(h, porcupine.Operation{ClientId: i, Input: op, Output: op.State, Call: int64(op.Call), Return: ret})
	}
	if r := porcupine.CheckOperationsTimeout(jobModel, h, 20*time.Second); r != porcupine.Ok {
		t.Errorf("seed %d: linearizability of the history of %d operations: %v", seed, len(h), r)
	}
	return len(h), unknown
}

// jobEndCase is the set of faults that occur while jobs end and users cancel, poll and resubmit.
type jobEndCase struct {
	name        string
	replicaLag  time.Duration // the longest delay of the replicas of two nodes
	lostAnswers float64       // the share of the controllers' writes whose answer is lost
	lateWrites  float64       // the share of those that get no answer and are carried out later
}

// TestJobEndRaces lets the end of a job's last task coincide with cancellations, polls and
// repeated submissions at three nodes: while the result is in flight, while the end is written,
// after the answer to that write was lost, and at nodes whose replicas are behind. Each user must
// get one final state that never changes, the answers must be linearizable, and after a confirmed
// cancellation only starts that were already in flight may arrive.
func TestJobEndRaces(t *testing.T) {
	t.Parallel()
	total, done, cancelled := 0, 0, 0
	for _, c := range []jobEndCase{
		{name: "nothing else"},
		{name: "two nodes are behind", replicaLag: 900 * time.Millisecond},
		{name: "answers are lost", lostAnswers: 0.4},
		{name: "writes are late", lateWrites: 0.3},
		{name: "both", replicaLag: 500 * time.Millisecond, lostAnswers: 0.3, lateWrites: 0.2},
	} {
		for _, seed := range seeds(t, 2) {
			w := worldOf(Config{Seed: 990 + seed, Nodes: 3})
			w.RecordOps = true
			w.checkCancelled()
			w.Run(10 * time.Second)
			w.DelayWrites(c.lateWrites, 200*time.Second)
			w.AnswerDelay = func(from string, a actor.Call) time.Duration {
				switch {
				case c.replicaLag > 0 && from != w.NodeName(0) && strings.HasPrefix(a.Path, "/changes"):
					return w.randomSecs(0, c.replicaLag.Seconds())
				case c.lostAnswers > 0 && a.Path == "/commit" && strings.Contains(string(a.Body), `"write"`) && w.rng.Float64() < c.lostAnswers:
					return 20 * time.Second
				}
				return 0
			}
			for i := range 60 {
				w.At(w.randomSecs(10, 90), func() {
					w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: []string{"sweep", "ensemble", "sweep"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1 + i%3, CPUs: 1, RunS: 2 + float64(i%7)})
				})
			}
			// Users act at the moment of the end and until the end is durable.
			w.OnEnd = func(j *userJob) {
				d := []time.Duration{0, w.randomSecs(0, 0.02), w.randomSecs(0, 0.2), w.randomSecs(0, 1.2)}[w.rng.IntN(4)]
				for k := range w.nodes {
					at := d + w.randomSecs(0, 0.05)*time.Duration(w.rng.IntN(2))
					w.after(at, func() {
						if w.rng.IntN(3) > 0 {
							w.cancelAtNode(k, j)
						}
						w.pollAtNode(k, j)
						if w.rng.IntN(2) == 0 {
							w.submitAtNode(k, j)
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
					t.Errorf("%s, seed %d: %s was reported both done and cancelled", c.name, seed, j.id)
				case j.reportedDone:
					done++
				case j.cancelledAt > 0:
					cancelled++
				default:
					t.Errorf("%s, seed %d: %s has no final state", c.name, seed, j.id)
				}
			}
		}
	}
	t.Logf("%d operations; %d jobs done, %d cancelled", total, done, cancelled)
	if done < 50 || cancelled < 50 {
		t.Error("almost all jobs ended the same way: the simulation did not reach the state under test")
	}
}

// cancelAtNode, pollAtNode and submitAtNode send one request of the job's user to the k-th node.
func (w *World) cancelAtNode(k int, j *userJob) {
	j.cancelAsked = true
	w.askAtNode(k, j, OpCancel, "POST", "/v2/runs/"+j.id+"/withdraw", nil)
}
func (w *World) pollAtNode(k int, j *userJob) {
	w.askAtNode(k, j, OpPoll, "GET", "/v2/runs/"+j.id, nil)
}
func (w *World) submitAtNode(k int, j *userJob) {
	w.askAtNode(k, j, OpSubmit, "POST", "/v2/runs", j.submission)
}

// askAtNode sends a request of the job's user to the k-th node and checks the answer.
func (w *World) askAtNode(k int, j *userJob, op int, method, path string, body []byte) {
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
