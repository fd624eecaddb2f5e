package sim

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestWaitingCanFail has the checker for jobs that are left waiting say so: on a day without
// controllers, for an array and for a gang, and not for what has no room, is over its team's
// limit or was cancelled.
func TestWaitingCanFail(t *testing.T) {
	w := world(5)
	w.Run(10 * time.Second)
	for i := range w.nodes {
		w.Crash(i, time.Hour)
	}
	for id, j := range map[string]*userJob{
		"j-1": {shape: "sweep", team: "free", tasks: 3, cpus: 2},
		"j-2": {shape: "ensemble", team: "free", tasks: 6, cpus: 16},
		"j-3": {shape: "ensemble", team: "free", tasks: 7, cpus: 16},            // there are six machines
		"j-4": {shape: "sweep", team: "free", tasks: 1, cpus: 17},               // none is so large
		"j-5": {shape: "standing", team: "blue", tasks: 1, cpus: 1, gpus: 21},   // the limit is 20
		"j-6": {shape: "ensemble", team: "free", tasks: 3, cpus: 16, yard: "a"}, // two are there
		"j-7": {shape: "ensemble", team: "free", tasks: 3, cpus: 16, apart: true},
		"j-8": {shape: "ensemble", team: "free", tasks: 3, cpus: 16, samePlace: true},
		"j-9": {shape: "sweep", team: "free", tasks: 3, cpus: 2, cancelAsked: true},
	} {
		j.id, j.asked, j.accepted, j.results, j.saved = id, true, true, map[int]bool{}, map[int]time.Duration{}
		w.jobs[id] = j
	}
	w.Calm = 20 * time.Second
	w.Run(100 * time.Second)
	if len(w.Broken) > 0 {
		t.Errorf("broken within 90 s: %v", w.Broken)
	}
	w.Run(130 * time.Second)
	all := strings.Join(w.Broken, "\n")
	for i := 1; i <= 9; i++ {
		if want, has := i == 1 || i == 2 || i == 7, strings.Contains(all, fmt.Sprintf("j-%d ", i)); want != has {
			t.Errorf("j-%d: left waiting %v, want %v", i, has, want)
		}
	}
}

// failedWaiting are seeds of days that left jobs waiting once; they are played first.
var failedWaiting = []uint64{25, 52, 59, 76, 82, 113}

// TestNobodyIsLeftWaiting draws days with what has work wait on purpose: jobs that look at
// fault since machines are, machines set aside as slow or faulty, wide gangs among small work,
// arrays bound to a zone that loses machines, teams at their limits, lost leaders, cuts. Once
// the troubles are over no job waits for 90 s while there is room for it.
func TestNobodyIsLeftWaiting(t *testing.T) {
	for _, s := range append(failedWaiting, seeds(t, 24)...) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w := world(60000 + s)
			if s%3 == 0 {
				w = seven(60000 + s)
			}
			w.checkCancelled()
			for i := range 90 {
				id := fmt.Sprintf("j-%06d", i)
				w.At(w.secs(3, 330), func() {
					j := w.randomJob(id)
					switch w.rng.IntN(5) {
					case 0: // wide
						j.Shape, j.Tasks, j.CPUs, j.GPUs, j.Team, j.Apart = "ensemble", 3+w.rng.IntN(5), 16, 0, "free", false
					case 1:
						j.Shape, j.SamePlace, j.Apart, j.Yard = []string{"sweep", "standing"}[w.rng.IntN(2)], true, false, ""
						j.Tasks, j.Team = 2+w.rng.IntN(12), "free"
					}
					if j.Shape == "standing" {
						j.CancelAfter = w.secs(30, 250)
					}
					w.Submit(j)
				})
			}
			w.Calm = 200 * time.Second
			for range 8 {
				w.At(w.secs(10, 150), func() {
					r, ms := w.rng, w.Machines()
					switch r.IntN(7) {
					case 0: // machines are faulty for a while: every task fails there
						for _, m := range ms {
							if r.IntN(2) == 0 {
								m.bad = true
								w.after(w.secs(5, 45), func() { m.bad = false })
							}
						}
					case 1:
						for _, m := range ms {
							if r.IntN(4) == 0 {
								m.Slow = 2 + 3*r.Float64()
								w.At(w.Calm, func() { m.Slow = 0 })
							}
						}
					case 2:
						w.Crash(max(0, w.Leader()), w.secs(0.1, 8))
					case 3:
						w.CutZone(w.cfg.Zones[r.IntN(3)], w.secs(5, 45), r.IntN(2) == 0)
					case 4:
						zone := w.cfg.Zones[r.IntN(3)]
						for _, m := range ms {
							if m.Zone == zone && r.IntN(2) == 0 {
								m.Die()
							}
						}
					case 5:
						w.State.Outage(w.secs(2, 40))
					default:
						for _, m := range ms {
							if r.IntN(3) == 0 {
								m.Mute(w.secs(5, 45))
							}
						}
					}
				})
			}
			w.Run(1200 * time.Second)
			w.verdict(t, 30)
			t.Logf("the longest wait beside room: %v", w.LongestWait)
		})
	}
}
