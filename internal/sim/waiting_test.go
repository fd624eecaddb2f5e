package sim

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestWaitingRule checks the simulator's own rule on waiting jobs. Without controllers it must
// report an array and gangs that have room, and no job that has no room, is over its team's
// limit or was cancelled.
func TestWaitingRule(t *testing.T) {
	w := world(5)
	w.Run(10 * time.Second)
	for i := range w.nodes {
		w.Crash(i, time.Hour)
	}
	for id, j := range map[string]*userJob{
		"j-1": {kind: "sweep", team: "free", tasks: 3, cpus: 2},
		"j-2": {kind: "ensemble", team: "free", tasks: 6, cpus: 16},
		"j-3": {kind: "ensemble", team: "free", tasks: 7, cpus: 16},            // there are six machines
		"j-4": {kind: "sweep", team: "free", tasks: 1, cpus: 17},               // no machine is so large
		"j-5": {kind: "standing", team: "blue", tasks: 1, cpus: 1, gpus: 21},   // the limit is 20
		"j-6": {kind: "ensemble", team: "free", tasks: 3, cpus: 16, zone: "a"}, // zone a has two machines
		"j-7": {kind: "ensemble", team: "free", tasks: 3, cpus: 16, spread: true},
		"j-8": {kind: "ensemble", team: "free", tasks: 3, cpus: 16, oneZone: true},
		"j-9": {kind: "sweep", team: "free", tasks: 3, cpus: 2, cancelAsked: true},
	} {
		j.id, j.requested, j.accepted, j.results, j.saved = id, true, true, map[int]bool{}, map[int]time.Duration{}
		w.jobs[id] = j
	}
	w.FaultsEndAt = 20 * time.Second
	w.Run(100 * time.Second)
	if len(w.Violations) > 0 {
		t.Errorf("broken within 90 s: %v", w.Violations)
	}
	w.Run(130 * time.Second)
	all := strings.Join(w.Violations, "\n")
	for i := 1; i <= 9; i++ {
		if want, has := i == 1 || i == 2 || i == 7, strings.Contains(all, fmt.Sprintf("j-%d ", i)); want != has {
			t.Errorf("j-%d: reported as waiting: %v, want %v", i, has, want)
		}
	}
}

// waitingRegressionSeeds are seeds that once left jobs waiting. They run first.
var waitingRegressionSeeds = []uint64{25, 52, 59, 76, 82, 113}

// TestNoJobIsLeftWaiting draws random conditions that delay work: jobs that look faulty because
// their machines are, machines that leave as slow or faulty, wide gangs among small work, arrays
// bound to a zone that loses machines, teams at their limits, lost leaders and network cuts. Once
// all faults are over no job may wait for 90 s while there is room for it.
func TestNoJobIsLeftWaiting(t *testing.T) {
	for _, s := range append(waitingRegressionSeeds, seeds(t, 24)...) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w := world(60000 + s)
			if s%3 == 0 {
				w = sevenNodeWorld(60000 + s)
			}
			w.checkCancelled()
			for i := range 90 {
				id := fmt.Sprintf("j-%06d", i)
				w.At(w.randomSecs(3, 330), func() {
					j := w.randomJob(id)
					switch w.rng.IntN(5) {
					case 0: // a wide gang
						j.Kind, j.Tasks, j.CPUs, j.GPUs, j.Team, j.Spread = "ensemble", 3+w.rng.IntN(5), 16, 0, "free", false
					case 1:
						j.Kind, j.OneZone, j.Spread, j.Zone = []string{"sweep", "standing"}[w.rng.IntN(2)], true, false, ""
						j.Tasks, j.Team = 2+w.rng.IntN(12), "free"
					}
					if j.Kind == "standing" {
						j.CancelAfter = w.randomSecs(30, 250)
					}
					w.Submit(j)
				})
			}
			w.FaultsEndAt = 200 * time.Second
			for range 8 {
				w.At(w.randomSecs(10, 150), func() {
					r, ms := w.rng, w.Machines()
					switch r.IntN(7) {
					case 0: // some machines are faulty for a while: every task fails there
						for _, m := range ms {
							if r.IntN(2) == 0 {
								m.failsTasks = true
								w.after(w.randomSecs(5, 45), func() { m.failsTasks = false })
							}
						}
					case 1:
						for _, m := range ms {
							if r.IntN(4) == 0 {
								m.SlowFactor = 2 + 3*r.Float64()
								w.At(w.FaultsEndAt, func() { m.SlowFactor = 0 })
							}
						}
					case 2:
						w.Crash(max(0, w.Leader()), w.randomSecs(0.1, 8))
					case 3:
						w.CutZone(w.cfg.Zones[r.IntN(3)], w.randomSecs(5, 45), r.IntN(2) == 0)
					case 4:
						zone := w.cfg.Zones[r.IntN(3)]
						for _, m := range ms {
							if m.Zone == zone && r.IntN(2) == 0 {
								m.Fail()
							}
						}
					case 5:
						w.State.Outage(w.randomSecs(2, 40))
					default:
						for _, m := range ms {
							if r.IntN(3) == 0 {
								m.BlockOutbound(w.randomSecs(5, 45))
							}
						}
					}
				})
			}
			w.Run(1200 * time.Second)
			w.checkOutcome(t, 30)
			t.Logf("the longest wait while there was room: %v", w.LongestWait)
		})
	}
}
