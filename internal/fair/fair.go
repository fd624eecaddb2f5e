// Package fair divides a scarce amount between teams and, within each team, between its
// classes, by weighted max-min fairness: no participant gets more than its demand, and
// none gets more by weight than one whose demand is unmet. It is used for minimum shares
// of the cluster and for parts of the admitted load.
package fair

import (
	"cmp"
	"slices"
)

// Key identifies a participant in a division: a team, or a class of a team.
type Key struct{ Team, Class string }

// Share holds the demand and the result of one participant.
type Share struct {
	Key       Key
	Demand    float64 // in the unit of what is divided; values below 0 count as 0
	Weight    float64 // values of 0 or less count as 1
	Allocated float64 // set by Divide and ByTeam
}

// Divide gives the shares what they demand or, if the total doesn't suffice, what their
// weights allow them. It returns the part of the total that no share demands.
func Divide(total float64, shares []*Share) float64 {
	weight := func(s *Share) float64 {
		if s.Weight <= 0 {
			return 1
		}
		return s.Weight
	}
	sorted := slices.Clone(shares)
	slices.SortStableFunc(sorted, func(a, b *Share) int { return cmp.Compare(max(0, a.Demand)/weight(a), max(0, b.Demand)/weight(b)) })
	sum := 0.0
	for _, s := range sorted {
		sum += weight(s)
	}
	for _, s := range sorted {
		s.Allocated = min(max(0, s.Demand), max(0, total)*weight(s)/sum)
		total -= s.Allocated
		sum -= weight(s)
	}
	return max(0, total)
}

// ByTeam divides the total between the teams by the given weights (nil means equal), and
// the part of each team between its shares. A team gains nothing by inventing classes,
// because they only divide its own part.
func ByTeam(total float64, shares []*Share, weight func(team string) float64) float64 {
	var teams []*Share
	of := map[string][]*Share{}
	for _, s := range shares {
		if of[s.Key.Team] == nil {
			t := &Share{Key: Key{Team: s.Key.Team}}
			if weight != nil {
				t.Weight = weight(s.Key.Team)
			}
			teams = append(teams, t)
		}
		of[s.Key.Team] = append(of[s.Key.Team], s)
	}
	for _, t := range teams {
		for _, s := range of[t.Key.Team] {
			t.Demand += max(0, s.Demand)
		}
	}
	left := Divide(total, teams)
	for _, t := range teams {
		Divide(t.Allocated, of[t.Key.Team])
	}
	return left
}
