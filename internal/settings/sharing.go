package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Sharing configures how teams and classes share scarce capacity. Each class of a
// team has a minimum share of the cluster for its jobs, which the settings keys call its floor.
type Sharing struct {
	// MinShareFraction is the fraction of the cluster that minimum shares may take together.
	// It applies once to the classes with the highest priority and once to all other classes.
	// 0 disables minimum shares.
	MinShareFraction float64
	// MinShareJobFraction is the fraction of a class's unfinished jobs, smallest first, that the
	// size of its minimum share is computed from.
	MinShareJobFraction float64
	// MinSharePeriod is the time in which a minimum share is meant to complete the work of these jobs.
	MinSharePeriod time.Duration
	// Weights are the weights of teams in admission and for minimum shares. The weights of teams
	// that aren't listed follow from their guarantees.
	Weights map[string]float64
}

// DefaultSharing returns the defaults: minimum shares for half of each class's jobs, which leave most
// of the cluster to the normal order of jobs.
func DefaultSharing() *Sharing {
	return &Sharing{MinShareFraction: 0.15, MinShareJobFraction: 0.5, MinSharePeriod: 4 * time.Minute}
}

// Check returns an error if there is a weight for an unknown team.
func (s *Sharing) Check(teams []Team) error {
	for name := range s.Weights {
		if !slices.ContainsFunc(teams, func(t Team) bool { return t.Name == name }) {
			return fmt.Errorf("weight.%s: no such team", name)
		}
	}
	return nil
}

// Weight returns a function that gives the weight of each team. One half of a default weight
// is the same for all teams, and the other is proportional to the team's guarantee.
func (s *Sharing) Weight(teams []Team) func(team string) float64 {
	w := map[string]float64{}
	sum := 0.0
	for _, t := range teams {
		sum += teamGuarantee(t)
	}
	for _, t := range teams {
		w[t.Name] = 1
		if sum > 0 {
			w[t.Name] = 0.5 + 0.5*float64(len(teams))*teamGuarantee(t)/sum
		}
	}
	if s != nil {
		for t, x := range s.Weights {
			w[t] = x
		}
	}
	return func(team string) float64 { return w[team] }
}

// teamGuarantee is the team's guaranteed GPUs or, if it has none, its guaranteed CPUs.
func teamGuarantee(t Team) float64 {
	if t.GuaranteedGPUs > 0 {
		return t.GuaranteedGPUs
	}
	return t.GuaranteedCPUs
}

// set stores the value of a key floors.* or weight.TEAM.
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
		return number(&s.MinShareFraction, 0, 0.9)
	case key == "floors.part":
		return number(&s.MinShareJobFraction, 0.01, 1)
	case key == "floors.over":
		d, err := time.ParseDuration(v)
		if err != nil || d < 10*time.Second || d > time.Hour {
			return fmt.Errorf("%q is no time from 10s to 1h, for example 2m", v)
		}
		s.MinSharePeriod = d
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
