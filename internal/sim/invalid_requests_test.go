package sim

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/wire"
)

// TestInvalidRequests sends every node jobs with each field absent, null, of a wrong type and out
// of range, and jobs that can never run: without faults, just after a node has restarted, and while
// the state service refuses a node. The answers must be 400 or 422 as in the protocol, or 503 if a
// node can't decide, and never 201. Users also repeat submissions of jobs in every state, and
// cancel jobs that are done.
func TestInvalidRequests(t *testing.T) {
	for _, seed := range seeds(t, 2) {
		w := world(46000 + seed)
		w.Workload(30, 100*time.Second)
		userNode := 0
		w.UserNode = func() int { return userNode }
		sent := 0
		for i := range w.nodes {
			for k := range invalidJobs {
				w.At(60*time.Second+time.Duration(i*len(invalidJobs)+k)*100*time.Millisecond, func() {
					userNode = i
					sent++
					w.submitInvalid(k)
					userNode = w.rng.IntN(len(w.nodes))
				})
			}
		}
		w.At(55*time.Second, func() { w.UnusualRequests(200 * time.Second) })
		w.Run(60*time.Second + time.Duration(3*len(invalidJobs))*100*time.Millisecond + 10*time.Second)
		if w.InvalidRefused < sent {
			t.Errorf("seed %d: only %d of %d invalid requests were refused without faults", seed, w.InvalidRefused, sent)
		}
		for i := range 30 {
			w.At(w.now+w.randomSecs(1, 150), func() {
				switch k := w.rng.IntN(len(w.nodes)); i % 3 {
				case 0:
					w.Crash(k, w.randomSecs(0.1, 3))
				case 1:
					w.State.RefuseNode(w.NodeName(k), w.randomSecs(1, 10))
				default:
					w.Cut(w.NodeName(k), "state", w.randomSecs(1, 10), true)
				}
			})
		}
		w.UnusualRequests(150 * time.Second)
		w.Run(900 * time.Second)
		w.checkOutcome(t, 15)
	}
}

// TestPermanentRefusalOnlyIfUnknown guards against refusing a repeated submission of an accepted
// job with 422, as if the job were lost. A node whose replica is behind, and which knows other
// machine types than the node that accepted the job, must ask the state service first.
func TestPermanentRefusalOnlyIfUnknown(t *testing.T) {
	w := world(47)
	w.Run(20 * time.Second)
	behind := (w.Leader() + 1) % 3
	j, desc := w.describe(Job{ID: "j-000001", Kind: "sweep", Team: "free", Image: "i", ImageGB: 1, Tasks: 1, CPUs: 20, RunS: 500})
	body := mustJSON(desc)
	got := 0
	ask := func() {
		w.nodes[behind].serve("users", "POST", "/v2/runs", body, func(status int, _ []byte) { got = status })
		w.Run(w.now + time.Second)
	}
	if ask(); got != 422 {
		t.Fatalf("a job that fits no machine got %d", got)
	}
	// A node that knows larger machines accepts the job; this node's replica doesn't show it yet.
	spec, err := wire.DecodeJob(body)
	if err != nil {
		t.Fatal(err)
	}
	w.AnswerDelay = func(from string, c actor.Call) time.Duration {
		if from == w.NodeName(behind) && strings.HasPrefix(c.Path, "/changes") {
			return 20 * time.Second
		}
		return 0
	}
	key := ledger.JobKey(j.id)
	w.State.serve("users", "POST", "/commit", mustJSON(map[string]any{"when": []any{}, "apply": []any{map[string]any{"write": key,
		"value": json.RawMessage(ledger.NewRecord(spec, 0, "x", 48).Encode())}}}), func(status int, b []byte) {
		if status != 200 {
			t.Fatalf("%d %s", status, b)
		}
	})
	if ask(); got != 200 && got != 503 {
		t.Errorf("the repeated submission got %d", got)
	}
	if w.Run(w.now + 30*time.Second); got == 503 {
		ask()
	}
	if got != 200 {
		t.Errorf("the repeated submission got %d in the end", got)
	}
}
