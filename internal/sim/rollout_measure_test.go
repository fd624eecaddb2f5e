package sim

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TestRolloutFailures rolls out versions that begin to fail at a random time. It measures the time
// from the first failed health check to the last stop of an old instance, and to the complete
// restoration of the old version. A failure is certain only after three failed checks in a row at
// an interval of 2 s, that is after 4 to 7 s.
func TestRolloutFailures(t *testing.T) {
	n := len(seeds(t, 10))
	toStop, toBack := hdrhistogram.New(1, 600_000, 3), hdrhistogram.New(1, 600_000, 3)
	replaced, changes := 0, 0
	for seed := range uint64(n) {
		w := serviceWorld(t, Config{Seed: 2000 + seed}, 12)
		late := 5 + w.rng.IntN(40)
		w.mustRollout(t, Version{Service: "shop", Job: versionJob("j-2", fmt.Sprintf("web:late=%d", late), 12), From: "j-1", Surge: 1 + w.rng.IntN(3), Unavailable: w.rng.IntN(2),
			Plan: map[string]any{"steps": []any{1, "25%", "50%"}, "bake_s": 8.0, "window_s": 30.0}, Health: healthCheck})
		before := w.State.Changes
		started := map[*runner]bool{}
		state := ""
		var at time.Duration
		for end := w.now + 20*time.Minute; state == "" && w.now < end; {
			w.Run(w.now + 100*time.Millisecond)
			for _, r := range w.services["shop"].instances(w) {
				if r.job.id == "j-2" {
					started[r] = true
				}
			}
			if state, _, _ = w.PastRollout("shop", 1); state != "" {
				at = w.now
			}
		}
		j := w.jobs["j-2"]
		if state != "rolled back" || j.firstUnhealthy == 0 {
			t.Fatalf("seed %d: %q, first failed check at %v", seed, state, j.firstUnhealthy)
		}
		replaced += len(started)
		changes += w.State.Changes - before
		_ = toStop.RecordValue(max(1, (w.services["shop"].LastHalted["j-1"] - j.firstUnhealthy).Milliseconds()))
		_ = toBack.RecordValue((at - j.firstUnhealthy).Milliseconds())
		if d := w.services["shop"].LastHalted["j-1"] - j.firstUnhealthy; d > 10*time.Second {
			t.Errorf("seed %d: an old instance was stopped %v after the first failed check", seed, d)
		}
		w.checkNoBrokenRules(t)
	}
	t.Logf("%d roll-outs: from the first failed check to the last replacement p50 %d, p99 %d ms; to the restored old version p50 %d, p90 %d, p99 %d ms",
		n, toStop.ValueAtQuantile(50), toStop.ValueAtQuantile(99), toBack.ValueAtQuantile(50), toBack.ValueAtQuantile(90), toBack.ValueAtQuantile(99))
	t.Logf("%d new instances started, %.1f changes in the state service for each", replaced, float64(changes)/float64(replaced))
}
