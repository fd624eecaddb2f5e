package sim

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// writeKinds classifies the controllers' transactions by what they write.
var writeKinds = []struct {
	name    string
	matches func(body string) bool
}{
	{"acceptance", func(b string) bool { return strings.Contains(b, `"write":"b/j/`) && strings.Contains(b, `"stamp":0`) }},
	{"cancellation", func(b string) bool { return strings.Contains(b, `"f":"cancelled"`) }},
	{"end", func(b string) bool { return strings.Contains(b, `"f":"done"`) }},
	{"start", func(b string) bool { return strings.Contains(b, `"write":"b/t/`) && strings.Contains(b, "@vm-") }},
	{"record of done tasks", func(b string) bool {
		return strings.Contains(b, `"write":"b/t/`) && (strings.Contains(b, `"d `) || strings.Contains(b, ` d `) || strings.Contains(b, ` d"`))
	}},
	{"deletion of a chunk", func(b string) bool { return strings.Contains(b, `"delete":"b/t/`) }},
	{"claim", func(b string) bool { return strings.Contains(b, `"write":"b/leader"`) }},
	{"proof", func(b string) bool { return strings.Contains(b, `"b/leader"`) && !strings.Contains(b, `"apply":[{`) }},
	{"types", func(b string) bool { return strings.Contains(b, `"write":"b/types"`) }},
}

// TestLateWritesByKind delays, loses the answers of, or duplicates most transactions of one kind
// while the leader changes and users cancel. Delayed and duplicated ones arrive 2 to 12 s later,
// after newer ones of the same controller. No rule may be broken, and a duplicate of a transaction
// that was carried out must change nothing.
func TestLateWritesByKind(t *testing.T) {
	for _, kind := range writeKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			late, twice := 0, 0
			for _, seed := range seeds(t, 3) {
				w := world(47000 + seed)
				w.checkCancelled()
				for i, m := range w.Machines() { // tasks of a job end at very different times, so that writes record done tasks
					if i%2 == 0 {
						m.SlowFactor = 12
					}
				}
				from := 15 * time.Second
				if kind.name == "types" { // the types are written once, at the start
					from = 0
				}
				for i := range 50 {
					w.At(w.randomSecs(15, 130), func() {
						w.Submit(Job{ID: fmt.Sprintf("j-9%02d", i), Kind: []string{"sweep", "ensemble", "standing"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 1 + i%4, CPUs: 3, RunS: 3 + float64(i%25), CheckpointS: 5, SaveS: 1,
							CancelAfter: time.Duration(i%3/2)*30*time.Second + time.Duration(i%7/6)*4*time.Second})
					})
				}
				w.AnswerDelay = func(sender string, a actor.Call) time.Duration {
					if a.Path != "/commit" || w.now < from || w.now > 160*time.Second || !kind.matches(string(a.Body)) {
						return 0
					}
					if w.rng.IntN(3) == 0 {
						late++
						return 20 * time.Second // the transaction is carried out, its answer is lost
					}
					body := bytes.Clone(a.Body)
					w.after(w.randomSecs(2, 12), func() {
						changed := w.State.Changes
						w.State.serve(sender, "POST", "/commit", body, func(status int, _ []byte) {
							twice++
							if status == 200 && w.State.Changes > changed {
								t.Errorf("%v: a duplicate was carried out: %.300s", w.now, body)
							}
						})
					})
					return 0
				}
				w.RequestDelay = func(_ string, a actor.Call) time.Duration {
					if a.Path == "/commit" && w.now >= from && w.now < 160*time.Second && kind.matches(string(a.Body)) && w.rng.IntN(3) == 0 {
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
			t.Logf("%d writes were late or unanswered, %d arrived a second time", late, twice)
			if late+twice < 3 {
				t.Error("too few writes were late or duplicated")
			}
		})
	}
}
