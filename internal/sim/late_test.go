package sim

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// writeKinds tells transactions of controllers apart, by what they write.
var writeKinds = []struct {
	name string
	is   func(body string) bool
}{
	{"acceptance", func(b string) bool { return strings.Contains(b, `"write":"b/j/`) && strings.Contains(b, `"stamp":0`) }},
	{"cancellation", func(b string) bool { return strings.Contains(b, `"f":"cancelled"`) }},
	{"end", func(b string) bool { return strings.Contains(b, `"f":"done"`) }},
	{"start", func(b string) bool { return strings.Contains(b, `"write":"b/t/`) && strings.Contains(b, "@vm-") }},
	{"mark of what is done", func(b string) bool {
		return strings.Contains(b, `"write":"b/t/`) && (strings.Contains(b, `"d `) || strings.Contains(b, ` d `) || strings.Contains(b, ` d"`))
	}},
	{"deletion of a chunk", func(b string) bool { return strings.Contains(b, `"delete":"b/t/`) }},
	{"claim", func(b string) bool { return strings.Contains(b, `"write":"b/leader"`) }},
	{"proof", func(b string) bool { return strings.Contains(b, `"b/leader"`) && !strings.Contains(b, `"apply":[{`) }},
	{"types", func(b string) bool { return strings.Contains(b, `"write":"b/types"`) }},
}

// TestLateWritesByKind has, kind by kind, most transactions get no answer and be carried out 2
// to 12 s later, after newer ones of the same controller, and has those that were answered come
// a second time, while the leader changes and users cancel. No rule breaks, and nothing that was
// carried out is carried out again, but what asks only.
func TestLateWritesByKind(t *testing.T) {
	for _, kind := range writeKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			late, twice := 0, 0
			for _, seed := range seeds(t, 3) {
				w := world(47000 + seed)
				w.checkCancelled()
				for i, m := range w.Machines() { // tasks of a job end far apart, so that there are marks
					if i%2 == 0 {
						m.SlowFactor = 12
					}
				}
				from := 15 * time.Second
				if kind.name == "types" { // they are written once
					from = 0
				}
				for i := range 50 {
					w.At(w.randomSecs(15, 130), func() {
						w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: []string{"sweep", "ensemble", "standing"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1 + i%4, CPUs: 3, RunS: 3 + float64(i%25), SnapshotS: 5, SaveS: 1,
							CancelAfter: time.Duration(i%3/2)*30*time.Second + time.Duration(i%7/6)*4*time.Second})
					})
				}
				w.AnswerDelay = func(sender string, a actor.Call) time.Duration {
					if a.Path != "/commit" || w.now < from || w.now > 160*time.Second || !kind.is(string(a.Body)) {
						return 0
					}
					if w.rng.IntN(3) == 0 {
						late++
						return 20 * time.Second // it was carried out, nobody hears of it
					}
					body := bytes.Clone(a.Body)
					w.after(w.randomSecs(2, 12), func() {
						changed := w.State.Changes
						w.State.serve(sender, "POST", "/commit", body, func(status int, _ []byte) {
							twice++
							if status == 200 && w.State.Changes > changed {
								t.Errorf("%v: carried out again: %.300s", w.now, body)
							}
						})
					})
					return 0
				}
				w.RequestDelay = func(_ string, a actor.Call) time.Duration {
					if a.Path == "/commit" && w.now >= from && w.now < 160*time.Second && kind.is(string(a.Body)) && w.rng.IntN(3) == 0 {
						late++
						return w.randomSecs(2, 12)
					}
					return 0
				}
				for range 3 {
					w.At(w.randomSecs(30, 140), func() { w.Crash(max(0, w.Leader()), w.randomSecs(0.1, 5)) })
				}
				w.FaultsEndAt = 200 * time.Second
				w.Run(700 * time.Second)
				w.checkOutcome(t, 10)
			}
			t.Logf("%d were late or unanswered, %d came a second time", late, twice)
			if late+twice < 3 {
				t.Error("the meeting did not come about")
			}
		})
	}
}
