package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Sharing is how teams and classes share what is short.
type Sharing struct {
	// Floors of what runs: of the cluster so much at most, by all of them together;
	// 0: no floors.
	Most float64
	// Part of a class's unfinished jobs, the smallest, has a floor.
	Part float64
	// Over is the time over which the work of these jobs is spread.
	Over time.Duration
	// Weights of teams, at the door and for floors; of those that aren't named they
	// follow from the guarantees.
	Weights map[string]float64
}

// DefaultSharing serves half of a class's jobs as long as that is possible, and leaves
// most of the cluster to the order.
func DefaultSharing() *Sharing {
	return &Sharing{Most: 0.15, Part: 0.5, Over: 4 * time.Minute}
}

// Check finds weights of teams that aren't there.
func (s *Sharing) Check(teams []Team) error {
	for name := range s.Weights {
		if !slices.ContainsFunc(teams, func(t Team) bool { return t.Name == name }) {
			return fmt.Errorf("weight.%s: no such team", name)
		}
	}
	return nil
}

// Weight is how much of what is short a team gets, beside the others: all alike for
// one half, by their guarantees for the other.
func (s *Sharing) Weight(teams []Team) func(team string) float64 {
	w := map[string]float64{}
	sum := 0.0
	for _, t := range teams {
		sum += guarantee(t)
	}
	for _, t := range teams {
		w[t.Name] = 1
		if sum > 0 {
			w[t.Name] = 0.5 + 0.5*float64(len(teams))*guarantee(t)/sum
		}
	}
	if s != nil {
		for t, x := range s.Weights {
			w[t] = x
		}
	}
	return func(team string) float64 { return w[team] }
}

func guarantee(t Team) float64 {
	if t.GPUs > 0 {
		return t.GPUs
	}
	return t.CPUs
}

// set takes in a setting of sharing: floors.* or weight.TEAM.
func (s *Sharing) set(key, v string) error {
	number := func(to *float64, lo, hi float64) error {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || !(x >= lo && x <= hi) {
			return fmt.Errorf("%q is no number from %v to %v", v, lo, hi)
		}
		*to = x
		return nil
	}
	switch {
	case key == "floors.most":
		return number(&s.Most, 0, 0.9)
	case key == "floors.part":
		return number(&s.Part, 0.01, 1)
	case key == "floors.over":
		d, err := time.ParseDuration(v)
		if err != nil || d < 10*time.Second || d > time.Hour {
			return fmt.Errorf("%q is no time from 10s to 1h, such as 2m", v)
		}
		s.Over = d
		return nil
	case strings.HasPrefix(key, "weight.") && len(key) > len("weight."):
		var x float64
		if err := number(&x, 0.01, 100); err != nil {
			return err
		}
		if s.Weights == nil {
			s.Weights = map[string]float64{}
		}
		s.Weights[strings.TrimPrefix(key, "weight.")] = x
		return nil
	}
	return fmt.Errorf("no such setting: floors.most, floors.part, floors.over or weight.TEAM")
}
