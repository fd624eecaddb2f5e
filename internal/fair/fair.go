// Package fair divides what is short between teams and, within each team, between its
// classes, so that nobody gets more than it wants while another, by its weight, has
// less than it wants (max-min fairness). Floors of what runs and parts of what is
// taken in are divided by it alike.
package fair

import (
	"cmp"
	"slices"
)

// Key is who shares: a team, or a class of a team.
type Key struct{ Team, Class string }

// Share is one who wants a part.
type Share struct {
	Key    Key
	Want   float64 // in the unit of what is divided; less than 0 counts as 0
	Weight float64 // 0 or less: 1
	Got    float64 // set by Divide and ByTeam
}

// Divide gives the shares what they want, or where the total doesn't suffice what
// their weights allow them. It returns what nobody wanted.
func Divide(total float64, shares []*Share) float64 {
	weight := func(s *Share) float64 {
		if s.Weight <= 0 {
			return 1
		}
		return s.Weight
	}
	sorted := slices.Clone(shares)
	slices.SortStableFunc(sorted, func(a, b *Share) int { return cmp.Compare(max(0, a.Want)/weight(a), max(0, b.Want)/weight(b)) })
	sum := 0.0
	for _, s := range sorted {
		sum += weight(s)
	}
	for _, s := range sorted {
		s.Got = min(max(0, s.Want), max(0, total)*weight(s)/sum)
		total -= s.Got
		sum -= weight(s)
	}
	return max(0, total)
}

// ByTeam divides the total between teams by the given weights (nil: alike), and what each
// team got between its shares. Classes that a team invents only divide its own part.
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
			t.Want += max(0, s.Want)
		}
	}
	left := Divide(total, teams)
	for _, t := range teams {
		Divide(t.Got, of[t.Key.Team])
	}
	return left
}
