package forward

import (
	"cmp"
	"slices"
	"time"
)

// Recent is who was heard lately.
type Recent struct {
	span  time.Duration
	seen  map[string]time.Duration
	swept time.Duration
}

// NewRecent makes a set that forgets after the span.
func NewRecent(span time.Duration) *Recent {
	return &Recent{span: span, seen: map[string]time.Duration{}}
}

// Add notes that somebody was heard.
func (r *Recent) Add(name string, now time.Duration) { r.seen[name] = now }

// Has reports whether somebody was heard lately.
func (r *Recent) Has(name string) bool {
	_, ok := r.seen[name]
	return ok
}

// Remove forgets somebody.
func (r *Recent) Remove(name string) { delete(r.seen, name) }

// Count is how many were heard lately; it looks at all at most once a second.
func (r *Recent) Count(now time.Duration) int {
	if now-r.swept >= time.Second {
		r.swept = now
		for name, at := range r.seen {
			if now-at > r.span {
				delete(r.seen, name)
			}
		}
	}
	return len(r.seen)
}

// Reporter is a controller that takes reports.
type Reporter struct {
	Label, Zone string
	Workers     int // that report to it
}

const (
	// A controller takes so many times its equal share of the workers, and some more.
	mostOfShare, moreThanShare = 1.25, 8
)

// Full reports whether a controller with so many workers should send further ones to
// others; all has every controller that takes reports, itself included.
func Full(own int, all []Reporter) bool {
	return float64(own) > mostOfShare*share(all)+moreThanShare
}

func share(all []Reporter) float64 {
	n := 0
	for _, r := range all {
		n += r.Workers
	}
	return float64(n) / float64(max(1, len(all)))
}

// Choose is the controller to which a worker is sent: one of its zone that has less than
// its share, else the one with the fewest workers; "" if all have their share.
func Choose(all []Reporter, zone string) string {
	most := share(all)
	less := slices.DeleteFunc(slices.Clone(all), func(r Reporter) bool { return float64(r.Workers) >= most })
	if len(less) == 0 {
		return ""
	}
	best := slices.MinFunc(less, func(a, b Reporter) int {
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
