package dev

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"brooklb/internal/settings"
)

// Faults is a file of faults to inject, at given times or at random.
type Faults struct {
	Fault []Fault `toml:"fault"`
	// Seed is the seed of the random faults, EveryS is the mean time between them.
	// There are none if EveryS is 0.
	Seed   uint64  `toml:"seed"`
	EveryS float64 `toml:"every_s"`
}

// Fault is one fault to inject.
type Fault struct {
	AtS        float64 `toml:"at_s"`
	Kind       string  `toml:"kind"`
	Node       int     `toml:"node"`  // index of a controller; -1 means all, which crash_all implies
	ForS       float64 `toml:"for_s"` // duration of the fault, or time until the process restarts
	Hold       bool    `toml:"hold"`  // a partition delays packets instead of resetting connections
	BootFactor float64 `toml:"times"` // slow_boots: factor by which boots take longer
}

// faultKinds are the valid kinds of faults.
var faultKinds = []string{"crash", "crash_all", "freeze", "state_outage", "state_refuses", "state_cut", "cloud_outage", "machine_die", "machine_hang", "slow_boots"}

// LoadFaults reads and checks a file of faults. Its errors name the file, the field and
// the reason.
func LoadFaults(file string) (*Faults, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	var f Faults
	if err := settings.Decode(file, b, &f); err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	for i, fault := range f.Fault {
		switch {
		case !slices.Contains(faultKinds, fault.Kind):
			return nil, fmt.Errorf("faults: %s: fault[%d].kind: %q is not one of %s", file, i, fault.Kind, strings.Join(faultKinds, ", "))
		case !(fault.AtS >= 0), !(fault.ForS >= 0), !(fault.BootFactor >= 0):
			return nil, fmt.Errorf("faults: %s: fault[%d]: at_s, for_s and times must be 0 or more", file, i)
		}
	}
	if f.EveryS < 0 || f.EveryS > 0 && f.EveryS < 1 {
		return nil, fmt.Errorf("faults: %s: every_s: must be 1 or more, is %v", file, f.EveryS)
	}
	return &f, nil
}

// scheduleFaults adds the faults to the simulator's events.
func (c *Cluster) scheduleFaults() {
	f := c.cfg.Faults
	if f == nil {
		return
	}
	for _, fault := range f.Fault {
		c.world.At(seconds(fault.AtS), func() { c.inject(fault) })
	}
	if f.EveryS > 0 {
		r := rand.New(rand.NewPCG(f.Seed, 9))
		var next func()
		next = func() {
			c.inject(Fault{Kind: faultKinds[r.IntN(len(faultKinds))], Node: r.IntN(len(c.controllers)), ForS: 1 + 8*r.Float64(), Hold: r.IntN(2) == 0, BootFactor: 4})
			c.world.At(c.world.Now()+seconds(f.EveryS*(0.5+r.Float64())), next)
		}
		c.world.At(seconds(f.EveryS), next)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// inject prints the fault and makes it happen now.
func (c *Cluster) inject(fault Fault) {
	d := seconds(fault.ForS)
	fmt.Fprintf(c.cfg.Out, "%7.1f s: %s, node %d, for %.1f s\n", c.world.Now().Seconds(), fault.Kind, fault.Node, fault.ForS)
	w := c.world
	for i, k := range c.controllers {
		if fault.Kind != "crash_all" && fault.Node >= 0 && i != fault.Node {
			continue
		}
		switch fault.Kind {
		case "crash", "crash_all":
			k.crash(d)
		case "freeze":
			k.freeze(d)
		case "state_refuses":
			w.State.RefuseNode(k.settings.Label, d)
		case "state_cut":
			w.Cut(k.settings.Label, "state", d, fault.Hold)
		}
	}
	switch fault.Kind {
	case "state_outage":
		w.State.Outage(d)
	case "cloud_outage":
		w.Cloud.Outage(d)
	case "machine_die", "machine_hang":
		machines := w.Machines()
		if len(machines) == 0 {
			return
		}
		busiest := machines[0]
		for _, m := range machines {
			if m.Tasks() > busiest.Tasks() {
				busiest = m
			}
		}
		if fault.Kind == "machine_die" {
			busiest.Fail()
		} else {
			busiest.Hang(d)
		}
	case "slow_boots":
		w.Cloud.BootFactor = func(string) float64 { return max(1, fault.BootFactor) }
		w.At(w.Now()+d, func() { w.Cloud.BootFactor = nil })
	}
}
