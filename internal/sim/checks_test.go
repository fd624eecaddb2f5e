package sim

import (
	"strings"
	"testing"
	"time"
)

// TestChecksCanFail breaks each rule on purpose in the stand-ins' state and expects the rule's
// check to report it.
func TestChecksCanFail(t *testing.T) {
	for rule, breakIt := range map[string]func(w *World, m []*Machine){
		"ran_twice": func(w *World, m []*Machine) {
			m[0].execute([]order{{Verb: "start", Task: "j-1/0", Attempt: 1}})
			m[1].execute([]order{{Verb: "start", Task: "j-1/0", Attempt: 2}})
		},
		"quota": func(w *World, m []*Machine) {
			for i := range 6 {
				m[i].execute([]order{{Verb: "start", Task: "j-2/" + string(rune('0'+i)), Attempt: 1}})
			}
		},
		"wrong_place": func(w *World, m []*Machine) {
			m[0].execute([]order{{Verb: "start", Task: "j-3/0", Attempt: 1}})
			m[1].execute([]order{{Verb: "start", Task: "j-3/1", Attempt: 1}})
		},
		"ran_cancelled": func(w *World, m []*Machine) {
			w.jobs["j-1"].cancelledAt = w.now - 59*time.Second
			m[0].execute([]order{{Verb: "start", Task: "j-1/0", Attempt: 1}})
		},
		"invented": func(w *World, m []*Machine) {
			m[0].execute([]order{{Verb: "start", Task: "j-9/0", Attempt: 1}})
		},
		"not_done": func(w *World, m []*Machine) {
			w.checkAnswer(w.jobs["j-1"], []byte(`{"ref":"j-1","phase":"done"}`), w.now)
		},
		"went_back": func(w *World, m []*Machine) {
			w.jobs["j-1"].cancelledAt = w.now - time.Second
			w.checkAnswer(w.jobs["j-1"], []byte(`{"ref":"j-1","phase":"pending"}`), w.now)
		},
		"forgotten": func(w *World, m []*Machine) {
			w.jobs["j-7"] = &userJob{id: "j-7", requested: true, accepted: true, results: map[int]bool{}}
			w.poll(w.jobs["j-7"])
		},
	} {
		w := world(3)
		w.Run(10 * time.Second)
		m := w.Machines()
		for id, j := range map[string]*userJob{
			"j-1": {team: "free", kind: "standing", tasks: 1, cpus: 1},
			"j-2": {team: "blue", kind: "standing", tasks: 6, cpus: 1, gpus: 4},
			"j-3": {team: "free", kind: "standing", tasks: 2, cpus: 1, oneZone: true},
		} {
			j.id, j.requested, j.accepted, j.results, j.saved = id, true, true, map[int]bool{}, map[int]time.Duration{}
			w.jobs[id] = j
		}
		// All controllers are down, so that only the changes made here have an effect.
		if rule != "forgotten" {
			for i := range 3 {
				w.Crash(i, time.Hour)
			}
			w.Run(70 * time.Second)
		}
		breakIt(w, m)
		w.Run(w.Now() + 5*time.Second)
		if !strings.Contains(strings.Join(w.Violations, "\n"), rule) {
			t.Errorf("%s was broken, but no check reported it: %v", rule, w.Violations)
		}
	}
}
