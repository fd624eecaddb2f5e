package images

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
)

type env struct{ now time.Duration }

func (e *env) Now() time.Duration                       { return e.now }
func (e *env) Wall() time.Time                          { return time.UnixMilli(0) }
func (e *env) Rand() *rand.Rand                         { return rand.New(rand.NewPCG(1, 1)) }
func (e *env) Log() *slog.Logger                        { return slog.New(slog.DiscardHandler) }
func (e *env) After(time.Duration, func()) *actor.Timer { return nil }
func (e *env) Call(actor.Call)                          {}

// TestRemembersAcrossLeaders guards against a new leader that takes all image caches for
// empty. Tasks that others placed count, also those that ended long ago; an interrupted
// fetch doesn't.
func TestRemembersAcrossLeaders(t *testing.T) {
	e := &env{}
	a := New(e, statestore.New(e, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 1}))
	put := func(key, value string) { a.onChange(key, &statestore.Item{Value: []byte(value), Revision: 1}) }
	rec := func(id, image, final string) {
		r := ledger.NewRecord(&model.Spec{ID: id, Tasks: 3, Image: image, ImageGB: 4}, 0, "", 48)
		if r.Final = final; final == ledger.Done {
			r.Spec = nil
		}
		put(ledger.JobKey(id), string(r.Encode()))
	}
	has := func(machine, image string) bool { _, ok := a.Snapshot()[machine][image]; return ok }

	rec("j-1", "one", ledger.Open)
	put(ledger.ChunkKey("j-1", 0), `{"v":2,"t":"1@vm-1 1@vm-2 0"}`)
	if has("vm-1", "one") {
		t.Error("vm-1 has the image of a task that was just placed")
	}
	e.now = 10 * time.Second
	put(ledger.ChunkKey("j-1", 0), `{"v":2,"t":"d 1 1@vm-3"}`) // done on vm-1, stopped on vm-2
	if !has("vm-1", "one") || has("vm-2", "one") || has("vm-3", "one") {
		t.Errorf("after a task ended: %v", a.Snapshot())
	}
	e.now = 50 * time.Second
	if !has("vm-3", "one") {
		t.Error("vm-3 lacks the image of a task that has been there for 40 s")
	}
	rec("j-2", "two", ledger.Open)
	put(ledger.ChunkKey("j-2", 0), `{"v":2,"t":"1@vm-1"}`)
	e.now += time.Second
	rec("j-2", "two", ledger.Done) // the end of the job is written before its chunk is deleted
	a.onChange(ledger.ChunkKey("j-2", 0), nil)
	if !has("vm-1", "two") || !has("vm-1", "one") {
		t.Errorf("after the job ended: %v", a.Snapshot())
	}
	a.onChange(ledger.ChunkKey("j-1", 0), nil)
	if len(a.jobs) != 0 || len(a.chunks) != 0 {
		t.Errorf("entries of jobs that have ended: %v %v", a.jobs, a.chunks)
	}
	e.now += 2 * retention
	a.prune()
	if len(a.cached) != 0 {
		t.Errorf("images after the retention time: %v", a.cached)
	}
}
