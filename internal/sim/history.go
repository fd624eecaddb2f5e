package sim

import (
	"encoding/json"
	"time"

	"brooklb/internal/actor"
)

// The operations of a history. OpComplete is no user's operation: it records that the last
// task of a job completed, from when on the job may become done.
const (
	OpSubmit = iota
	OpPoll
	OpCancel
	OpComplete
)

// Op is an operation on a job, from its call to the return of its answer.
type Op struct {
	Job          string
	Kind         int
	Call, Return time.Duration
	// State is the job's state in the answer: "open" for pending and running, "none" for
	// 404, "" if no answer gave a state; the operation may still take effect then.
	State string
}

// noReturn is the return time of an operation without an answer.
const noReturn = time.Duration(1<<62 - 1)

// recordOp adds an operation and its answer to the history.
func (w *World) recordOp(j *userJob, kind int, call time.Duration, a actor.Answer) {
	if !w.RecordOps {
		return
	}
	op := Op{Job: j.id, Kind: kind, Call: call, Return: w.now}
	var r struct{ Phase string }
	switch {
	case a.Err == nil && a.Status == 404:
		op.State = "none"
	case a.Err == nil && (a.Status == 200 || a.Status == 201) && json.Unmarshal(a.Body, &r) == nil:
		op.State = r.Phase
		if r.Phase == "pending" || r.Phase == "running" {
			op.State = "open"
		}
	case kind == OpPoll:
		return // a poll whose answer gave no state has no effect
	default:
		op.Return = noReturn
	}
	w.Ops = append(w.Ops, op)
}

// taskCompleted is called when a task of the job has completed, and acts if it was the last.
func (w *World) taskCompleted(j *userJob) {
	if len(j.results) == j.tasks {
		if w.OnEnd != nil {
			w.OnEnd(j)
		}
		w.cancelAtEnd(j)
	}
	if w.RecordOps && len(j.results) == j.tasks {
		w.Ops = append(w.Ops, Op{Job: j.id, Kind: OpComplete, Call: w.now, Return: noReturn})
	}
}
