package sim

import (
	"encoding/json"
	"time"

	"brooklb/internal/actor"
)

// Totals are counts of the stand-ins at one moment.
type Totals struct {
	Workers int `json:"workers"` // that are up
	Running int `json:"running_tasks"`
	Waiting int `json:"waiting_tasks"` // fetching an image, or for their gang
	Keys    int `json:"state_keys"`
	Jobs    int `json:"accepted_jobs"`
}

// Totals counts workers, tasks, keys and jobs.
func (w *World) Totals() Totals {
	c := Totals{Keys: len(w.State.keys)}
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

// CPUTime is the processor time that a simulated controller has used (Config.MeterCPU).
func (w *World) CPUTime(node int) time.Duration { return w.nodes[node].cpuTime }

// CrashByLabel ends the process of the simulated controller with a label and starts it again
// after d.
func (w *World) CrashByLabel(label string, d time.Duration) {
	for i, s := range w.nodes {
		if s.host == label {
			w.Crash(i, d)
		}
	}
}

// WatchCancelled starts to look for tasks that run after the deadline of their job's
// cancellation.
func (w *World) WatchCancelled() { w.checkCancelled() }

// UnitCounts requests from a controller the counts of all counted resources that it knows;
// done gets nil if the controller doesn't answer.
func (w *World) UnitCounts(node int, done func(counts map[string]int)) {
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
