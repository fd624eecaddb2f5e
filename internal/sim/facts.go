package sim

import (
	"encoding/json"
	"time"

	"brooklb/internal/actor"
)

// Census counts what there is at one moment.
type Census struct {
	Workers int `json:"workers"` // that are up
	Running int `json:"running_tasks"`
	Waiting int `json:"waiting_tasks"` // fetching an image, or for their gang
	Keys    int `json:"state_keys"`
	Jobs    int `json:"accepted_jobs"`
}

// Census looks at the stand-ins.
func (w *World) Census() Census {
	c := Census{Keys: len(w.State.keys)}
	for _, m := range w.Cloud.machines {
		if !m.reachable() {
			continue
		}
		c.Workers++
		for _, r := range m.tasks {
			switch r.phase {
			case "running", "flushing":
				c.Running++
			case "pulling", "waiting":
				c.Waiting++
			}
		}
	}
	for _, j := range w.jobs {
		if j.accepted {
			c.Jobs++
		}
	}
	return c
}

// Busy is how long a simulated controller has computed (Config.MeterCPU).
func (w *World) Busy(node int) time.Duration { return w.nodes[node].busy }

// Kill ends a simulated controller's process by its label; it is back after d.
func (w *World) Kill(label string, d time.Duration) {
	for i, s := range w.nodes {
		if s.host == label {
			w.Crash(i, d)
		}
	}
}

// WatchCancelled looks for tasks that outlive the cancellation of their job.
func (w *World) WatchCancelled() { w.checkCancelled() }

// Counts asks a controller for the counts of all counted resources that it knows; done
// gets nil if it doesn't answer.
func (w *World) Counts(node int, done func(counts map[string]int)) {
	w.send("users", actor.Call{Addr: w.nodes[node].addr, Method: "GET", Path: "/units", Timeout: 2 * time.Second, Done: func(a actor.Answer) {
		var list struct {
			Units []struct {
				Name  string
				Count int
			}
		}
		if a.Err != nil || a.Status != 200 || json.Unmarshal(a.Body, &list) != nil {
			done(nil)
			return
		}
		counts := map[string]int{}
		for _, u := range list.Units {
			counts[u.Name] = u.Count
		}
		done(counts)
	}})
}
