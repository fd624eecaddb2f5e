package sim

import (
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"

	"github.com/anishathalye/porcupine"
)

// jobModel is the sequential model of a job as its users see it. Each operation takes
// effect at one moment between its call and its answer; one without an answer takes
// effect at any later moment, or never.
var jobModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byJob := map[string][]porcupine.Operation{}
		var ids []string
		for _, o := range h {
			id := o.Input.(Op).Job
			if byJob[id] == nil {
				ids = append(ids, id)
			}
			byJob[id] = append(byJob[id], o)
		}
		out := make([][]porcupine.Operation, 0, len(ids))
		for _, id := range ids {
			out = append(out, byJob[id])
		}
		return out
	},
	Init: func() any { return "none" },
	Step: func(state, input, output any) (bool, any) {
		current, op, answered := state.(string), input.(Op), output.(string)
		next := current
		switch op.Kind {
		case OpSubmit:
			if current == "none" {
				next = "open"
			}
		case OpCancel:
			if current == "open" {
				next = "withdrawn"
			}
		case OpComplete:
			if current == "open" {
				next = "done"
			}
			return true, next
		}
		return answered == "" || answered == next, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestHistories checks that the answers to users about each job are linearizable under
// random faults: submissions, their repetitions, polls and cancellations, at all nodes.
func TestHistories(t *testing.T) {
	ops, unknown := 0, 0
	for _, seed := range seeds(t, 12) {
		w := worldOf(Config{Seed: 5000 + seed, Nodes: 3})
		w.RecordOps = true
		w.GarbageOneIn, w.State.SlowOneIn = 200, 20
		w.Workload(25, 120*time.Second)
		w.OnSend = func(from string, c actor.Call) {
			// Users cancel while the record of their job's end is on its way to the state service.
			if c.Path != "/commit" || !strings.HasPrefix(from, "n") || !strings.Contains(string(c.Body), `"f":"done"`) {
				return
			}
			for id, j := range w.jobs {
				if j.accepted && !j.cancelAsked && strings.Contains(string(c.Body), `"write":"b/j/`+id+`"`) {
					w.cancel(j)
				}
			}
		}
		for at := 10 * time.Second; at < 200*time.Second; at += w.randomSecs(5, 25) {
			w.At(at, func() {
				i := w.rng.IntN(len(w.nodes))
				switch w.rng.IntN(8) {
				case 0:
					w.Crash(i, w.randomSecs(0.5, 6))
				case 1:
					for i := range w.nodes {
						w.Crash(i, w.randomSecs(0.5, 6))
					}
				case 2:
					w.State.Outage(w.randomSecs(1, 15))
				case 3:
					w.State.RefuseNode(w.NodeName(i), w.randomSecs(2, 20))
				case 4:
					w.Cut(w.NodeName(i), "state", w.randomSecs(2, 25), w.rng.IntN(2) == 0)
				case 5:
					w.Cut(w.NodeName(i), "users", w.randomSecs(2, 15), true)
				case 6:
					w.Freeze(i, w.randomSecs(2, 9))
				case 7:
					w.State.SlowDown(w.randomSecs(3, 15))
				}
			})
		}
		w.Run(330 * time.Second)
		w.checkNoBrokenRules(t)
		n, u := w.linearizable(t, seed)
		ops, unknown = ops+n, unknown+u
	}
	if ops < 2000 {
		t.Errorf("only %d operations", ops)
	}
	t.Logf("%d operations, %d of them without an answer", ops, unknown)
}
