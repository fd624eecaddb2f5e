package sim

import (
	"encoding/json"
	"time"

	"brooklb/internal/actor"
)

// The operations of a history. OpComplete is nobody's: the last task of a job was
// completed, and from then on the job may become done.
const (
	OpSubmit = iota
	OpPoll
	OpCancel
	OpComplete
)

// Op is an operation on a job, from its call to its answer.
type Op struct {
	Job       string
	Kind      int
	Call, Ret time.Duration
	// Told is the state that the answer named: pending and running as open, none for
	// 404, "" if there was no answer that says anything: it may yet take effect.
	Told string
}

const never = time.Duration(1<<62 - 1)

// record notes an operation and its answer.
func (w *World) record(j *userJob, kind int, call time.Duration, a actor.Answer) {
	if !w.Record {
		return
	}
	op := Op{Job: j.id, Kind: kind, Call: call, Ret: w.now}
	var r struct{ Phase string }
	switch {
	case a.Err == nil && a.Status == 404:
		op.Told = "none"
	case a.Err == nil && (a.Status == 200 || a.Status == 201) && json.Unmarshal(a.Body, &r) == nil:
		op.Told = r.Phase
		if r.Phase == "pending" || r.Phase == "running" {
			op.Told = "open"
		}
	case kind == OpPoll:
		return // it changed nothing and told nothing
	default:
		op.Ret = never
	}
	w.Ops = append(w.Ops, op)
}

// completed notes that all tasks of a job are completed.
func (w *World) completed(j *userJob) {
	if len(j.results) == j.tasks {
		if w.OnEnd != nil {
			w.OnEnd(j)
		}
		w.cancelAtEnd(j)
	}
	if w.Record && len(j.results) == j.tasks {
		w.Ops = append(w.Ops, Op{Job: j.id, Kind: OpComplete, Call: w.now, Ret: never})
	}
}
