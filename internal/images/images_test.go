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

// TestRemembersAcrossLeaders guards against a new leader that takes all machines
// for cold: what others placed there, and what was over long ago, counts; a
// fetch that was given up does not.
func TestRemembersAcrossLeaders(t *testing.T) {
	e := &env{}
	a := New(e, statestore.New(e, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 1}))
	put := func(key, value string) { a.event(key, &statestore.Item{Value: []byte(value), Stamp: 1}) }
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
		t.Error("the image can't be there yet")
	}
	e.now = 10 * time.Second
	put(ledger.ChunkKey("j-1", 0), `{"v":2,"t":"d 1 1@vm-3"}`) // done on vm-1, given up on vm-2
	if !has("vm-1", "one") || has("vm-2", "one") || has("vm-3", "one") {
		t.Errorf("after a task was done: %v", a.Snapshot())
	}
	e.now = 50 * time.Second
	if !has("vm-3", "one") {
		t.Error("a task that has been there for 40 s has its image")
	}
	rec("j-2", "two", ledger.Open)
	put(ledger.ChunkKey("j-2", 0), `{"v":2,"t":"1@vm-1"}`)
	e.now += time.Second
	rec("j-2", "two", ledger.Done) // the end is written first, then the chunk goes
	a.event(ledger.ChunkKey("j-2", 0), nil)
	if !has("vm-1", "two") || !has("vm-1", "one") {
		t.Errorf("after a job was over: %v", a.Snapshot())
	}
	a.event(ledger.ChunkKey("j-1", 0), nil)
	if len(a.jobs) != 0 || len(a.chunks) != 0 {
		t.Errorf("kept of jobs that are over: %v %v", a.jobs, a.chunks)
	}
	e.now += 2 * keepFor
	a.prune()
	if len(a.has) != 0 {
		t.Errorf("never forgotten: %v", a.has)
	}
}
