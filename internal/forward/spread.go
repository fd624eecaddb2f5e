package forward

import (
	"cmp"
	"slices"
	"time"
)

// RecentSet is a set of names that were seen recently.
type RecentSet struct {
	ttl       time.Duration
	lastSeen  map[string]time.Duration
	lastSweep time.Duration
}

// NewRecentSet creates a set that keeps a name for the given time after it was last seen.
func NewRecentSet(ttl time.Duration) *RecentSet {
	return &RecentSet{ttl: ttl, lastSeen: map[string]time.Duration{}}
}

// Add records that a name was seen.
func (r *RecentSet) Add(name string, now time.Duration) { r.lastSeen[name] = now }

// Has reports whether a name is in the set. Names expire when Count is called.
func (r *RecentSet) Has(name string) bool {
	_, ok := r.lastSeen[name]
	return ok
}

// Remove removes a name.
func (r *RecentSet) Remove(name string) { delete(r.lastSeen, name) }

// Count returns the number of names. It removes expired ones, at most once a second.
func (r *RecentSet) Count(now time.Duration) int {
	if now-r.lastSweep >= time.Second {
		r.lastSweep = now
		for name, at := range r.lastSeen {
			if now-at > r.ttl {
				delete(r.lastSeen, name)
			}
		}
	}
	return len(r.lastSeen)
}

// Receiver is a controller that takes reports.
type Receiver struct {
	Label, Zone string
	Workers     int // that report to it
}

const (
	// A controller takes up to maxShareFactor times its equal share of the workers, and
	// shareAllowance more.
	maxShareFactor, shareAllowance = 1.25, 8
)

// Overloaded reports whether a controller with the given number of workers should redirect
// further ones. all lists every controller that takes reports, including that one.
func Overloaded(own int, all []Receiver) bool {
	return float64(own) > maxShareFactor*equalShare(all)+shareAllowance
}

func equalShare(all []Receiver) float64 {
	n := 0
	for _, r := range all {
		n += r.Workers
	}
	return float64(n) / float64(max(1, len(all)))
}

// ChooseReceiver returns the controller to which a worker of the zone is redirected, of those
// with less than their equal share: one in its zone if there is one, then the one with the
// fewest workers. It returns "" if no controller has less than its share.
func ChooseReceiver(all []Receiver, zone string) string {
	most := equalShare(all)
	less := slices.DeleteFunc(slices.Clone(all), func(r Receiver) bool { return float64(r.Workers) >= most })
	if len(less) == 0 {
		return ""
	}
	best := slices.MinFunc(less, func(a, b Receiver) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Workers, b.Workers), cmp.Compare(a.Label, b.Label))
	})
	return best.Label
}
