package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// requestSoak sends valid requests of random sizes, with optional parts left out at random.
type requestSoak struct {
	w        *World
	accepted int
	refused  int
	ids      int
}

func (s *requestSoak) text(most int) string {
	letters := []string{"x", "<", `"`, "\\", "é", "\x01"} // of which JSON writes most as several bytes
	return strings.Repeat(letters[s.w.rng.IntN(len(letters))], 1+s.w.rng.IntN(most))
}

func (s *requestSoak) flip() bool { return s.w.rng.IntN(2) == 0 }

// ask sends a request until it gets a final answer and passes its status on.
func (s *requestSoak) ask(path string, body map[string]any, done func(status int)) {
	s.w.request("POST", path, mustJSON(body), 5*time.Second, func(a actor.Answer) {
		switch {
		case a.Err != nil || a.Status >= 500 || a.Status == 429:
			s.w.after(time.Second, func() { s.ask(path, body, done) })
			return
		case a.Status == 200 || a.Status == 201:
			s.accepted++
		default:
			s.refused++
		}
		if done != nil {
			done(a.Status)
		}
	})
}

// job describes a job of random size.
func (s *requestSoak) job(kind string) (*userJob, map[string]any) {
	s.ids++
	j := Job{ID: fmt.Sprintf("j-%d", s.ids), Kind: kind, Team: "free", Class: s.text(200), Image: s.text(100), ImageGB: 0.1, Tasks: 1 + s.w.rng.IntN(150), CPUs: 0.1, RunS: 5}
	if kind != "sweep" {
		j.Tasks = 1 + s.w.rng.IntN(6)
	}
	if s.flip() {
		j.Types = longTypes(s.w.rng.IntN(1024 * s.w.cfg.ValueKB))
	}
	return s.w.describe(j)
}

func (s *requestSoak) submit() {
	j, body := s.job([]string{"sweep", "ensemble", "standing"}[s.w.rng.IntN(3)])
	s.ask("/v2/runs", body, func(status int) {
		if j.accepted = status == 201 || status == 200; j.accepted {
			s.w.after(s.w.randomSecs(0, 30), func() { s.w.cancel(j) })
		}
	})
}

func (s *requestSoak) rollOut(name string) {
	j, job := s.job("standing")
	j.cancelAsked = true // a roll-out may cancel it
	body := map[string]any{"job": job}
	for _, optional := range []struct {
		field string
		value any
	}{
		{"by", s.text(150)}, {"surge", "50%"}, {"by_zone", true}, {"bake_s", 1.0}, {"window_s", 2.0}, {"stall_s", 20.0}, {"tolerate", 1}, {"ends", 5},
		{"health", map[string]any{"port": 8000, "per_task": true, "path": "/" + strings.Repeat("p", s.w.rng.IntN(199)), "interval_s": 0.5}},
	} {
		if s.flip() {
			body[optional.field] = optional.value
		}
	}
	s.ask("/services/"+name+"/rollouts", body, nil)
}

func (s *requestSoak) changeService(name string) {
	verb := []string{"pause", "resume", "abort", "withdraw"}[s.w.rng.IntN(4)]
	s.ask("/services/"+name+"/"+verb, map[string]any{"by": s.text(150), "why": s.text(150)}, nil)
}

func (s *requestSoak) changeResource(name string) {
	body := map[string]any{"count": s.w.rng.IntN(1_000_000), "by": s.text(150)}
	if s.flip() {
		body["teams"] = map[string]any{"red": map[string]int{"most": 3}, "blue": map[string]int{"share": s.w.rng.IntN(2)}}
	}
	path := "/units/" + name
	if s.w.rng.IntN(4) == 0 {
		path += "/remove"
	}
	s.ask(path, body, nil)
}

// step sends a random request, or changes the list of machine types or the leader.
func (s *requestSoak) step() {
	service := fmt.Sprintf("service-%d-%s", s.w.rng.IntN(3), strings.Repeat("n", 30))
	switch s.w.rng.IntN(12) {
	case 0, 1, 2, 3, 4:
		s.submit()
	case 5, 6:
		s.rollOut(service)
	case 7, 8:
		s.changeService(service)
	case 9:
		s.changeResource("seat")
	case 10:
		s.w.Cloud.OfferTypes(s.w.rng.IntN(150))
	case 11:
		s.w.Crash(max(0, s.w.Leader()), s.w.randomSecs(1, 4))
	}
}

// TestRequestSizes guards against requests that are accepted and later leave something that can't be
// written, or that end a controller: valid requests of random sizes, with optional parts left out,
// while machine types come and go and leaders end. Each size of a value is checked by the state
// service; in the end all jobs are cancelled and no roll-out hangs.
func TestRequestSizes(t *testing.T) {
	for _, seed := range seeds(t, 6) {
		w := worldOf(Config{Seed: 7700 + seed, Nodes: 3, ValueKB: []int{2, 4, 8}[seed%3]})
		w.checkCancelled()
		w.Run(15 * time.Second)
		s := &requestSoak{w: w}
		for range 120 {
			s.step()
			w.Run(w.now + w.randomSecs(0.5, 2.5))
		}
		for i := range 3 {
			s.ask(fmt.Sprintf("/services/service-%d-%s/withdraw", i, strings.Repeat("n", 30)), nil, nil)
		}
		w.Run(w.now + 90*time.Second)
		w.checkAllCancelled(t)
		for key, k := range w.State.keys {
			if strings.HasPrefix(key, "b/s/") && strings.Contains(string(k.value), `"r":`) {
				t.Errorf("seed %d: a roll-out of a service that was withdrawn goes on: %.200s", seed, k.value)
			}
		}
		w.checkNoBrokenRules(t)
		if s.accepted < 30 || s.refused < 5 {
			t.Errorf("seed %d: %d requests accepted, %d refused", seed, s.accepted, s.refused)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
