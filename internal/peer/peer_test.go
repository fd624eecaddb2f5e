package peer

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/httpx"
	"brooklb/internal/settings"

	"github.com/fxamacker/cbor/v2"
)

type env struct{ now time.Duration }

func (e *env) Now() time.Duration                       { return e.now }
func (e *env) Wall() time.Time                          { return time.Unix(0, 0) }
func (e *env) Rand() *rand.Rand                         { return nil }
func (e *env) Log() *slog.Logger                        { return slog.New(slog.DiscardHandler) }
func (e *env) After(time.Duration, func()) *actor.Timer { return nil }
func (e *env) Call(actor.Call)                          {}

func TestStatus(t *testing.T) {
	e := &env{now: time.Minute}
	a := New(e, []settings.Peer{{Label: "n1"}}, func() Status { return Status{Label: "n0", State: 5} })
	tell := func(s any) int {
		b, err := cbor.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		a.Serve(&httpx.Request{Method: "POST", Path: Path, Body: b}, func(r httpx.Response) {
			got = r.Status
			var s Status
			if r.Status == 200 && (cbor.Unmarshal(r.Body, &s) != nil || s.Label != "n0") {
				t.Errorf("answer %x", r.Body)
			}
		})
		return got
	}
	if a.OthersReachState(time.Hour) {
		t.Error("nobody has said anything yet")
	}
	for _, bad := range []any{"x", 7, Status{Label: "n1"}, Status{V: 1, Label: "n9"}, Status{V: 1, Label: "n1", State: -1}} {
		if st := tell(bad); st != 400 {
			t.Errorf("%+v got %d", bad, st)
		}
	}
	if st := tell(Status{V: 1, Label: "n1", State: 400}); st != 200 {
		t.Errorf("got %d", st)
	}
	if !a.OthersReachState(time.Second) || a.OthersReachState(300*time.Millisecond) {
		t.Error("a contact 0.4 s ago")
	}
	// A peer whose program says nothing of formats, or of too old ones, holds back what
	// it could not read.
	if a.AllRead(3) {
		t.Error("a peer that doesn't say is taken to read format 3")
	}
	tell(Status{V: 1, Label: "n1", State: 400, Reads: 3})
	if !a.AllRead(3) || a.AllRead(4) {
		t.Error("a peer reads format 3")
	}
	e.now += 4 * time.Second
	if a.OthersReachState(time.Hour) {
		t.Error("what was said 4 s ago is still believed")
	}
}
