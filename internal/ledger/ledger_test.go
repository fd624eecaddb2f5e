package ledger

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/model"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// env stands in for the state service: it answers each request after 1 ms and records committed
// transactions.
type env struct {
	now      time.Duration
	timers   actor.Timers
	items    map[string]string
	revision uint64
	txns     []wire.Txn
}

func (e *env) Now() time.Duration                           { return e.now }
func (e *env) Wall() time.Time                              { return time.UnixMilli(e.now.Milliseconds()) }
func (e *env) Rand() *rand.Rand                             { return rand.New(rand.NewPCG(1, 1)) }
func (e *env) Log() *slog.Logger                            { return slog.New(slog.DiscardHandler) }
func (e *env) After(d time.Duration, f func()) *actor.Timer { return e.timers.Add(e.now+d, f) }

func (e *env) run(d time.Duration) {
	end := e.now + d
	for {
		at, ok := e.timers.Next()
		if !ok || at > end {
			break
		}
		e.now = max(e.now, at)
		e.timers.Run(e.now)
	}
	e.now = end
}

func (e *env) Call(c actor.Call) {
	body := "{}"
	switch {
	case c.Method == "GET" && strings.HasPrefix(c.Path, wire.PathKeys+"?"):
		var items []string
		for k, v := range e.items {
			items = append(items, fmt.Sprintf(`{"path":%q,"value":%s,"stamp":5}`, k, v))
		}
		sort.Strings(items)
		body = fmt.Sprintf(`{"items":[%s],"has_next":false,"epoch":%d}`, strings.Join(items, ","), e.revision)
	case c.Path == wire.PathCommit:
		var t wire.Txn
		if err := json.Unmarshal(c.Body, &t); err != nil {
			panic(err)
		}
		e.txns = append(e.txns, t)
		e.revision++
		body = fmt.Sprintf(`{"epoch":%d}`, e.revision)
	default:
		return // a watch is never answered
	}
	e.After(time.Millisecond, func() { c.Done(actor.Answer{Status: 200, Body: []byte(body)}) })
}

func newTestLedger(t testing.TB, items map[string]string) (*env, *Ledger) {
	t.Helper()
	e := &env{items: items, revision: 5}
	s := statestore.New(e, statestore.Config{RPS: 100, WriteRPS: 25, Nodes: 1, TxnOps: 12, ValueBytes: 4096})
	s.Start()
	e.run(time.Second)
	if !s.Synced() {
		t.Fatal("replica is not synced after 1 s")
	}
	l := New(e, s, 3, []settings.Team{{Name: "t"}})
	l.Types["g8"] = &model.MachineType{Name: "g8", Cap: model.Resources{CPUs: 1e6}}
	l.Load()
	return e, l
}

func spec(id string, tasks int) *model.Spec {
	return &model.Spec{ID: id, Team: "t", Tasks: tasks, Resources: model.Resources{CPUs: 1}, Image: "i"}
}

func record(id string, tasks, chunk int, final string) string {
	r := NewRecord(spec(id, tasks), 0, "", chunk)
	r.Final = final
	return string(r.Encode())
}

// TestChunksFitTheValueLimit guards against a value over the limit, which the state service
// would always refuse. With very long machine names, some placements must wait.
func TestChunksFitTheValueLimit(t *testing.T) {
	chunk := TasksPerChunk(4096)
	e, l := newTestLedger(t, map[string]string{JobKey("j-1"): record("j-1", 3*chunk, chunk, Open)})
	j := l.Jobs["j-1"]
	m := l.Machine("vm-" + strings.Repeat("x", 90))
	l.Describe(m, "g8", "z", false)
	durable := 0
	l.OnDurable = func(ps []*Placement) { durable += len(ps) }
	for i := range j.Tasks {
		l.Plan(j, i, 1, m)
	}
	for range 20 {
		l.FlushPending()
		e.run(250 * time.Millisecond)
	}
	for _, x := range e.txns {
		if len(x.Apply) > 12 {
			t.Errorf("transaction of %d changes, want at most 12", len(x.Apply))
		}
		for _, c := range x.Apply {
			if len(c.Value) > 4096 {
				t.Errorf("value of %d bytes, want at most 4096", len(c.Value))
			}
		}
	}
	if durable != j.Placed || durable < 60 || durable >= len(j.Tasks) {
		t.Errorf("%d tasks durable, %d placed of %d", durable, j.Placed, len(j.Tasks))
	}
	if m.Used.CPUs != float64(j.Placed) {
		t.Errorf("machine counts %v CPUs for %d tasks", m.Used.CPUs, j.Placed)
	}
}

// TestEndsGoFirst guards against a job's end, for which its user waits, being written after
// changes that only save repeated work after a failure.
func TestEndsGoFirst(t *testing.T) {
	items := map[string]string{}
	for i := range 30 {
		id := fmt.Sprintf("j-%d", i)
		items[JobKey(id)] = record(id, 2, 48, Open)
		items[ChunkKey(id, 0)] = `{"v":2,"t":"1@vm-1 1@vm-1"}`
	}
	e, l := newTestLedger(t, items)
	for i := range 30 {
		l.MarkFinished(l.Jobs[fmt.Sprintf("j-%d", i)], 0)
	}
	e.run(300 * time.Millisecond)
	if len(e.txns) > 0 {
		t.Errorf("%d transactions for task states that can wait", len(e.txns))
	}
	l.MarkFinished(l.Jobs["j-29"], 1)
	e.run(50 * time.Millisecond)
	if len(e.txns) == 0 || e.txns[0].Apply[0].Write != JobKey("j-29") {
		t.Fatalf("end of the job is not written first: %+v", e.txns)
	}
	for range 200 { // the leader's tick
		l.FlushPending()
		e.run(250 * time.Millisecond)
	}
	wrote := map[string]bool{}
	for _, x := range e.txns {
		for _, c := range x.Apply {
			wrote[c.Write+c.Delete] = true
		}
	}
	for i := range 30 {
		if !wrote[ChunkKey(fmt.Sprintf("j-%d", i), 0)] {
			t.Errorf("task states of j-%d were never written", i)
		}
	}
	if l.Jobs["j-29"] != nil {
		t.Error("completed job j-29 is still in the ledger")
	}
}

// TestOrphanChunks guards against keeping chunks of a completed job that were left behind by a
// crash, and against deleting those of a job whose record can't be read.
func TestOrphanChunks(t *testing.T) {
	e, l := newTestLedger(t, map[string]string{
		JobKey("j-1"): record("j-1", 2, 48, Done), ChunkKey("j-1", 0): `{"v":2,"t":"d d"}`,
		JobKey("j-2"): `{"v":99}`, ChunkKey("j-2", 0): `{"v":2,"t":"1@vm-1"}`,
		JobKey("j-3"): record("j-3", 60, 0, Open), ChunkKey("j-3", 1): `{"v":1,"t":"d 4@vm-1 d"}`})
	for range 20 {
		l.FlushPending()
		e.run(250 * time.Millisecond)
	}
	deleted := ""
	for _, x := range e.txns {
		for _, c := range x.Apply {
			deleted += c.Delete + " "
		}
	}
	if deleted != ChunkKey("j-1", 0)+" " {
		t.Errorf("deleted %q, want only the chunk of the completed job", deleted)
	}
	// In format 1 every chunk has 48 tasks.
	if j := l.Jobs["j-3"]; j == nil || !j.Tasks[48].Done || j.Tasks[49].CurrentPlacement == nil || j.Tasks[49].Attempt != 4 || j.DoneTasks != 2 {
		t.Errorf("job of format 1 was read as %+v", j)
	}
}
