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
	a := New(e, []settings.Peer{{Label: "n1"}}, func() Status { return Status{Label: "n0", StateAgeMS: 5} })
	post := func(s any) int {
		b, err := cbor.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		a.Serve(&httpx.Request{Method: "POST", Path: StatusPath, Body: b}, func(r httpx.Response) {
			got = r.Status
			var s Status
			if r.Status == 200 && (cbor.Unmarshal(r.Body, &s) != nil || s.Label != "n0") {
				t.Errorf("answer %x", r.Body)
			}
		})
		return got
	}
	if a.OthersReachState(time.Hour) {
		t.Error("a peer without a status counts as reaching the state service")
	}
	for _, bad := range []any{"x", 7, Status{Label: "n1"}, Status{V: 1, Label: "n9"}, Status{V: 1, Label: "n1", StateAgeMS: -1}} {
		if st := post(bad); st != 400 {
			t.Errorf("%+v got %d", bad, st)
		}
	}
	if st := post(Status{V: 1, Label: "n1", StateAgeMS: 400}); st != 200 {
		t.Errorf("got %d", st)
	}
	if !a.OthersReachState(time.Second) || a.OthersReachState(300*time.Millisecond) {
		t.Error("a peer's last contact was 0.4 s ago, which must count within 1 s and not within 0.3 s")
	}
	// A peer whose program reports no format, or one that is too old, counts as unable to
	// read newer records.
	if a.AllCanRead(3) {
		t.Error("a peer that reports no format counts as reading format 3")
	}
	post(Status{V: 1, Label: "n1", StateAgeMS: 400, JobFormat: 3})
	if !a.AllCanRead(3) || a.AllCanRead(4) {
		t.Error("a peer that reads format 3 must count as reading format 3 and not format 4")
	}
	if a.AllRollOut(1) {
		t.Error("a peer that reports no version of roll-outs counts as carrying out version 1")
	}
	post(Status{V: 1, Label: "n1", StateAgeMS: 400, RolloutVersion: 1})
	if !a.AllRollOut(1) || a.AllRollOut(2) {
		t.Error("a peer that carries out version 1 of roll-outs must count as carrying out version 1 and not version 2")
	}
	e.now += 4 * time.Second
	if a.OthersReachState(time.Hour) {
		t.Error("a status of 4 s ago still counts as recent")
	}
}
