package sim

import (
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestRelay guards against refusing users at a node that the state service refuses alone or that is
// cut from it, although another node can answer them immediately. Such refusals caused most late
// submissions.
func TestRelay(t *testing.T) {
	for _, cut := range []string{"refuse", "hold", "reset"} {
		w := world(51)
		w.Run(10 * time.Second)
		i := (w.Leader() + 1) % 3
		s := w.nodes[i]
		if cut == "refuse" {
			w.State.RefuseNode(s.host, 30*time.Second)
		} else {
			w.Cut(s.host, "state", 30*time.Second, cut == "hold")
		}
		w.Run(12 * time.Second)
		job := &userJob{id: "j-1", kind: "sweep", team: "free", image: "i", urgency: "high", tasks: 1, cpus: 1, runS: 5, requested: true,
			results: map[int]bool{}, saved: map[int]time.Duration{}}
		w.jobs["j-1"] = job
		ask := func(method, path string, body []byte, want, within string) {
			t.Helper()
			at, d := w.now, time.Duration(0)
			got := ""
			w.send("users", actor.Call{Addr: s.addr, Method: method, Path: path, Body: body, Timeout: 5 * time.Second, Done: func(a actor.Answer) {
				d, got = w.now-at, string(a.Body)
			}})
			w.Run(w.now + 5*time.Second)
			most, _ := time.ParseDuration(within)
			if !strings.Contains(got, want) || d > most {
				t.Errorf("%s, %s %s: %q after %v", cut, method, path, got, d)
			}
		}
		ask("POST", "/v2/runs", mustJSON(map[string]any{"ref": "j-1", "lane": "c", "crew": "free", "shape": "sweep", "urgency": "high", "shards": 1,
			"cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "bundle": "i", "size_gb": 0.1, "hulls": nil, "yard": nil, "same_place": false, "apart": false,
			"loaners": false, "expect_s": 5.0, "snapshot_s": 0.0, "stow_s": 0.0, "due_s": nil}), `"pending"`, "1200ms")
		ask("GET", "/v2/runs/j-1", nil, `"j-1"`, "2s")
		ask("GET", "/v2/runs/j-77", nil, "no such job", "2s")
		ask("POST", "/v2/runs/j-1/withdraw", nil, `"ref"`, "3s")
		// In an outage for all nodes, the node refuses without asking another node.
		w.State.Outage(20 * time.Second)
		w.Run(w.now + 4*time.Second)
		ask("POST", "/v2/runs/j-2/withdraw", nil, "can't be asked", "2s")
		for _, violation := range w.Violations {
			t.Error(violation)
		}
	}
}
