package sim

import (
	"fmt"
	"testing"
	"time"
)

// TestZoneCutOff cuts off a zone with workers and a controller for longer than lease_s, with the
// leader inside or outside. Meanwhile jobs are cancelled and others submitted outside. At the end
// delayed messages are delivered, and users poll the controller inside, whose replica is old.
// Cancelled tasks must end within cancel_s, users must get no outdated answers, and lost tasks must
// run elsewhere.
func TestZoneCutOff(t *testing.T) {
	for _, inside := range []bool{true, false} {
		for _, hold := range []bool{true, false} {
			for _, nodes := range []int{3, 7} {
				t.Run(fmt.Sprintf("inside=%v,hold=%v,nodes=%d", inside, hold, nodes), func(t *testing.T) {
					t.Parallel()
					for _, seed := range seeds(t, 2) {
						zoneCutOff(t, seed, nodes, inside, hold)
					}
				})
			}
		}
	}
}

// zoneCutOff simulates one cut. With hold, messages are delayed until the end of the cut; otherwise
// connections are reset.
func zoneCutOff(t *testing.T, seed uint64, nodes int, inside, hold bool) {
	t.Helper()
	const from = 60 * time.Second
	w := worldOf(Config{Seed: 970 + seed, Nodes: nodes})
	w.checkCancelled()
	lasts := w.lease() + w.randomSecs(5, 40)
	w.At(5*time.Second, func() {
		for i := range 12 {
			w.Submit(Job{ID: fmt.Sprintf("j-9%d", i), Kind: []string{"sweep", "standing", "ensemble"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3, CPUs: 2, RunS: 100, CheckpointS: 10, SaveS: 2})
		}
	})
	insideNode, zoneTasks, confirmed := -1, 0, 0
	zone := ""
	w.At(from, func() {
		l := w.Leader()
		zone = w.nodes[l].settings.Location
		for i := range w.nodes {
			if !inside && w.nodes[i].settings.Location != zone {
				zone = w.nodes[i].settings.Location
				break
			}
		}
		for i := range w.nodes {
			if w.nodes[i].settings.Location == zone {
				insideNode = i
			}
		}
		for _, m := range w.Machines() {
			if m.Zone == zone {
				zoneTasks += len(m.tasks)
			}
		}
		w.CutZone(zone, lasts, hold)
		w.UserNode = func() int {
			if w.now < from+lasts { // users outside go to the controllers outside
				for i := range w.nodes {
					if w.nodes[i].settings.Location != zone && w.rng.IntN(2) == 0 {
						return i
					}
				}
			}
			if w.now < from+lasts+15*time.Second {
				return insideNode
			}
			return -1
		}
		w.after(w.randomSecs(1, 15), func() {
			for i := range 6 {
				w.cancel(w.jobs[fmt.Sprintf("j-9%d", i)])
			}
		})
		for i := range 20 {
			w.after(w.randomSecs(1, lasts.Seconds()), func() {
				w.Submit(Job{ID: fmt.Sprintf("j-8%02d", i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 2, CPUs: 2, RunS: 10})
			})
		}
	})
	w.At(from+lasts-time.Second, func() {
		for i := range 6 {
			if w.jobs[fmt.Sprintf("j-9%d", i)].cancelledAt > 0 {
				confirmed++
			}
		}
	})
	w.At(from+lasts, func() { // users poll and resubmit all jobs at the node that was cut off
		for _, id := range w.jobIDs() {
			if w.jobs[id].accepted {
				w.poll(w.jobs[id])
				w.submit(w.jobs[id], w.jobs[id].submission, 100)
			}
		}
		w.after(60*time.Second, func() {
			for i := 6; i < 12; i++ {
				if j := w.jobs[fmt.Sprintf("j-9%d", i)]; j.kind == "standing" {
					w.cancel(j)
				}
			}
		})
	})
	w.FaultsEndAt = from + lasts
	w.Run(700 * time.Second)
	w.checkOutcome(t, 20)
	if zoneTasks == 0 || confirmed < 6 {
		t.Errorf("seed %d: %d tasks in the zone, %d of 6 cancellations confirmed outside: the simulation did not reach the state under test", seed, zoneTasks, confirmed)
	}
}

// TestOneZoneLosesMachines runs gangs, arrays and services that are bound to one zone and lose some
// or all machines there. The machines fail, or a cut separates them while their tasks still run.
// The rule for one zone forbids a start elsewhere until those tasks are known to be gone. Then the
// work must continue, in the same zone or in another.
func TestOneZoneLosesMachines(t *testing.T) {
	for _, c := range []struct {
		name           string
		share          float64
		die            bool
		lasts          time.Duration
		apart          bool
		crash          bool
		pinned         bool // some jobs also name the zone in `yard`
		controllersToo bool // the zone's controllers are also cut off
		noNewMachines  bool // no new machine comes up in the zone for 150 s
	}{
		{name: "all die", share: 1, die: true},
		{name: "half die", share: 0.5, die: true},
		{name: "all die, no new ones", share: 1, die: true, noNewMachines: true},
		{name: "cut off for less than a lease", share: 1, lasts: 20 * time.Second},
		{name: "cut off for longer", share: 1, lasts: 70 * time.Second},
		{name: "cut ends while tasks move to another zone", share: 1, lasts: 58 * time.Second, noNewMachines: true},
		{name: "half cut off for longer", share: 0.5, lasts: 70 * time.Second, apart: true},
		{name: "cut off, the leader changes", share: 1, lasts: 70 * time.Second, crash: true},
		{name: "pinned there", share: 1, lasts: 70 * time.Second, pinned: true, crash: true},
		{name: "with its controllers", share: 1, lasts: 80 * time.Second, controllersToo: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range seeds(t, 3) {
				const from = 60 * time.Second
				w := worldOf(Config{Seed: 980 + seed, Nodes: 3, NodeZones: []string{"b", "c", "b"}})
				if c.controllersToo {
					w = worldOf(Config{Seed: 980 + seed, Nodes: 3})
				}
				w.checkCancelled()
				w.At(5*time.Second, func() {
					for i := range 9 {
						j := Job{ID: fmt.Sprintf("j-9%d", i), Kind: []string{"sweep", "ensemble", "standing"}[i%3], Team: "free", Image: "i", ImageGB: 0.1, Tasks: 3 + i%3, CPUs: 4, RunS: 60 + float64(10*i), CheckpointS: 10, SaveS: 2,
							OneZone: true, CancelAfter: time.Duration(i%3/2) * 300 * time.Second}
						if c.apart && i%2 == 0 {
							j.OneZone, j.Spread = false, true
						}
						if c.pinned && i < 3 {
							j.Zone = "a"
						}
						w.Submit(j)
					}
				})
				hit, there := 0, map[string]bool{}
				w.At(from, func() {
					count := map[string]int{} // tasks by zone; the zone with most tasks is hit
					for _, m := range w.Machines() {
						count[m.Zone] += len(m.tasks)
					}
					zone := "a"
					if !c.pinned && !c.controllersToo {
						for _, z := range w.cfg.Zones {
							if count[z] > count[zone] {
								zone = z
							}
						}
					}
					for k, m := range w.Machines() {
						if m.Zone != zone || c.share < 1 && k%2 == 0 {
							continue
						}
						for _, r := range m.sortedTasks() {
							hit++
							there[r.job.id] = true
						}
						if c.die {
							m.Fail()
						} else if !c.controllersToo {
							for i := range w.nodes {
								w.Cut(w.NodeName(i), m.Name, c.lasts, seed%2 == 0)
							}
						}
					}
					if c.controllersToo {
						w.CutZone(zone, c.lasts, seed%2 == 0)
					}
					if c.noNewMachines {
						w.Cloud.BootFactor = func(z string) float64 {
							if z == zone && w.now < from+150*time.Second {
								return -1
							}
							return 1
						}
					}
				})
				if c.crash {
					w.At(from+10*time.Second, func() { w.Crash(max(0, w.Leader()), 2*time.Second) })
				}
				w.FaultsEndAt = from + max(c.lasts, time.Second)
				w.Run(900 * time.Second)
				w.checkOutcome(t, 6)
				if hit < 3 || len(there) < 2 {
					t.Errorf("seed %d: %d tasks of %d jobs were hit: the simulation did not reach the state under test", seed, hit, len(there))
				}
			}
		})
	}
}
