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

// Faults is a file of troubles to play, at set times or from a seed.
type Faults struct {
	Fault []Fault `toml:"fault"`
	// Seed and EveryS draw troubles from a seed, one in every so many seconds.
	Seed   uint64  `toml:"seed"`
	EveryS float64 `toml:"every_s"`
}

// Fault is one trouble.
type Fault struct {
	AtS   float64 `toml:"at_s"`
	Kind  string  `toml:"kind"`
	Node  int     `toml:"node"`  // a controller, from 0; -1 and for crash_all: all
	ForS  float64 `toml:"for_s"` // until it is over, or the process is back
	Hold  bool    `toml:"hold"`  // a cut holds packets instead of resetting connections
	Times float64 `toml:"times"` // slow_boots: so many times as long
}

// The kinds of faults.
var kinds = []string{"crash", "crash_all", "freeze", "state_outage", "state_refuses", "state_cut", "cloud_outage", "machine_die", "machine_hang", "slow_boots"}

// LoadFaults reads and checks a file of faults; an error names the file, the field
// and the reason.
func LoadFaults(file string) (*Faults, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	var f Faults
	if err := settings.Decode(file, b, &f); err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	for i, x := range f.Fault {
		switch {
		case !slices.Contains(kinds, x.Kind):
			return nil, fmt.Errorf("faults: %s: fault[%d].kind: %q is none of %s", file, i, x.Kind, strings.Join(kinds, ", "))
		case !(x.AtS >= 0), !(x.ForS >= 0), !(x.Times >= 0):
			return nil, fmt.Errorf("faults: %s: fault[%d]: times must be 0 or more", file, i)
		}
	}
	if f.EveryS < 0 || f.EveryS > 0 && f.EveryS < 1 {
		return nil, fmt.Errorf("faults: %s: every_s: must be 1 or more, is %v", file, f.EveryS)
	}
	return &f, nil
}

// plan puts the faults on the world's clock.
func (c *Cluster) plan() {
	f := c.cfg.Faults
	if f == nil {
		return
	}
	for _, x := range f.Fault {
		c.world.At(seconds(x.AtS), func() { c.play(x) })
	}
	if f.EveryS > 0 {
		r := rand.New(rand.NewPCG(f.Seed, 9))
		var next func()
		next = func() {
			c.play(Fault{Kind: kinds[r.IntN(len(kinds))], Node: r.IntN(len(c.nodes)), ForS: 1 + 8*r.Float64(), Hold: r.IntN(2) == 0, Times: 4})
			c.world.At(c.world.Now()+seconds(f.EveryS*(0.5+r.Float64())), next)
		}
		c.world.At(seconds(f.EveryS), next)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Cluster) play(x Fault) {
	d := seconds(x.ForS)
	fmt.Fprintf(c.cfg.Out, "%7.1f s: %s, node %d, for %.1f s\n", c.world.Now().Seconds(), x.Kind, x.Node, x.ForS)
	w := c.world
	for i, k := range c.nodes {
		if x.Kind != "crash_all" && x.Node >= 0 && i != x.Node {
			continue
		}
		switch x.Kind {
		case "crash", "crash_all":
			k.crash(d)
		case "freeze":
			k.freeze(d)
		case "state_refuses":
			w.State.RefuseNode(k.set.Label, d)
		case "state_cut":
			w.Cut(k.set.Label, "state", d, x.Hold)
		}
	}
	switch x.Kind {
	case "state_outage":
		w.State.Outage(d)
	case "cloud_outage":
		w.Cloud.Outage(d)
	case "machine_die", "machine_hang":
		ms := w.Machines()
		if len(ms) == 0 {
			return
		}
		busiest := ms[0]
		for _, m := range ms {
			if m.Tasks() > busiest.Tasks() {
				busiest = m
			}
		}
		if x.Kind == "machine_die" {
			busiest.Die()
		} else {
			busiest.Hang(d)
		}
	case "slow_boots":
		w.Cloud.BootFactor = func(string) float64 { return max(1, x.Times) }
		w.At(w.Now()+d, func() { w.Cloud.BootFactor = nil })
	}
}
