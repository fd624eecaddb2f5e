package sim

import (
	"fmt"
	"time"

	"brooklb/internal/actor"
)

// unitsSet is a count that an operator set, and since when.
type unitsSet struct {
	at    time.Duration
	count int
}

// SetUnits has an operator set a resource until that is answered.
func (w *World) SetUnits(name string, body map[string]any, done func(status int, answer []byte)) {
	if n, ok := body["count"].(int); ok {
		// A start that was decided before may come later: see checkUnits.
		w.units[name] = append(w.units[name], unitsSet{w.now, n})
	}
	b := mustJSON(body)
	var ask func(n int)
	ask = func(n int) {
		w.ask("POST", "/units/"+name, b, 5*time.Second, func(a actor.Answer) {
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

// UnitsInUse counts the units that tasks on machines hold, in truth.
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

// unitsGrace is how long a count that was lowered may still be used up: by starts
// decided before the leader heard of it.
const unitsGrace = 15 * time.Second

// checkUnits holds when a task is started: never more units in use than there are.
func (w *World) checkUnits(r *runner) {
	for name := range r.job.units {
		most := 0
		for i, s := range w.units[name] {
			if i == len(w.units[name])-1 || w.now-w.units[name][i+1].at < unitsGrace {
				most = max(most, s.count)
			}
		}
		if n := w.UnitsInUse(name); n > most {
			w.broke("units", "%s starts, and %d units of %s are in use, of which there are %d", r.key, n, name, most)
		}
	}
}

// ProbeAddr is where the stand-in of a licence server tells what is taken outside.
const ProbeAddr = "10.2.0.9:7000"

type probed struct{ w *World }

func (p probed) hostName() string { return "probe" }
func (p probed) reachable() bool  { return true }
func (p probed) serve(_, _, _ string, _ []byte, reply func(int, []byte)) {
	if p.w.Taken >= 0 {
		reply(200, fmt.Appendf(nil, `{"used":%d}`, p.w.Taken))
	}
}
