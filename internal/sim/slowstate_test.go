package sim

import (
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestEveryAnswerIsSlow delays every answer of the state service for a minute, by 0.8 s to 3.3 s.
// Tasks must still start, at a lower rate, the leader must stay, and most polls must be answered.
// With the longest delay answers take longer than a proof of leadership is valid, so nothing
// starts; the bounds for starts and polls apply to the shorter delays.
func TestEveryAnswerIsSlow(t *testing.T) {
	for _, slow := range []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		w := worldOf(Config{Seed: 51, Nodes: 3})
		w.submitSteadily("steady", 1, time.Second, 5*time.Second, 150*time.Second, func(int) Job {
			return Job{Kind: "sweep", Team: "free", Tasks: 1, CPUs: 2, RunS: 5, ImageGB: 0.1, Image: "i"}
		})
		w.AnswerDelay = func(from string, c actor.Call) time.Duration {
			if c.Addr == stateAddr && w.now > 40*time.Second && w.now < 100*time.Second {
				return slow + w.randomSecs(0, 0.3)
			}
			return 0
		}
		w.Run(45 * time.Second)
		token := w.leaderToken()
		started, polls, refused, answered := w.Started, w.Polls, w.RefusedPolls, w.AnsweredPolls
		w.Run(100 * time.Second)
		if w.leaderToken() != token {
			t.Errorf("answers after %v: the leader has changed", slow)
		}
		if n := w.Started - started; slow < 2*time.Second && n < 35 {
			t.Errorf("answers after %v: %d tasks started in 55 s", slow, n)
		}
		if n := w.AnsweredPolls - answered; slow < 2*time.Second && 3*n < 2*(w.Polls-polls) {
			t.Errorf("answers after %v: %d of %d polls were answered", slow, n, w.Polls-polls)
		}
		t.Logf("answers after %v: %d tasks started in 55 s, of %d polls %d were answered, %d refused", slow, w.Started-started, w.Polls-polls, w.AnsweredPolls-answered, w.RefusedPolls-refused)
		w.Run(500 * time.Second)
		w.checkOutcome(t, 100)
	}
}
