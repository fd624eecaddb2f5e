package sim

import (
	"fmt"
	"time"

	"brooklb/internal/actor"
)

// unitCount is a count that an operator set, and when.
type unitCount struct {
	at    time.Duration
	count int
}

// SetUnits makes an operator send the settings of a resource until they are accepted or refused.
func (w *World) SetUnits(name string, body map[string]any, done func(status int, answer []byte)) {
	if n, ok := body["count"].(int); ok {
		// A start that was decided before the change may be executed after it: see checkUnits.
		w.units[name] = append(w.units[name], unitCount{w.now, n})
	}
	b := mustJSON(body)
	var ask func(n int)
	ask = func(n int) {
		w.request("POST", "/units/"+name, b, 5*time.Second, func(a actor.Answer) {
			switch {
			case a.Err == nil && a.Status < 500 && a.Status != 429:
				if done != nil {
					done(a.Status, a.Body)
				}
			case n < 200:
				w.after(time.Second, func() { ask(n + 1) })
			}
		})
	}
	ask(0)
}

// UnitsInUse counts the units that tasks on machines hold.
func (w *World) UnitsInUse(name string) (n int) {
	for _, m := range w.Cloud.machines {
		for _, r := range m.tasks {
			if r.phase != "ended" {
				n += r.job.units[name]
			}
		}
	}
	return n
}

// unitsGrace is how long starts may still use the old count after it was lowered, since
// they were decided before the leader received the change.
const unitsGrace = 15 * time.Second

// checkUnits checks, when a task is started, that no more units are in use than exist.
func (w *World) checkUnits(r *runner) {
	for name := range r.job.units {
		most := 0
		for i, s := range w.units[name] {
			if i == len(w.units[name])-1 || w.now-w.units[name][i+1].at < unitsGrace {
				most = max(most, s.count)
			}
		}
		if n := w.UnitsInUse(name); n > most {
			w.reportViolation("units", "%s starts, and %d units of %s are in use, but only %d exist", r.key, n, name, most)
		}
	}
}

// ProbeAddr is the address of the stand-in for a licence server, which reports the use of
// units outside the cluster.
const ProbeAddr = "10.2.0.9:7000"

// probe is the stand-in for the licence server.
type probe struct{ w *World }

func (p probe) hostName() string { return "probe" }
func (p probe) reachable() bool  { return true }
func (p probe) serve(_, _, _ string, _ []byte, reply func(int, []byte)) {
	if p.w.ExternalUse >= 0 {
		reply(200, fmt.Appendf(nil, `{"used":%d}`, p.w.ExternalUse))
	}
}
