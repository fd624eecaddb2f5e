package sim

import (
	"slices"
	"time"
)

// partition separates some zones from all other places.
type partition struct {
	zones []string
	cut   cut
}

// Partition cuts zones, together, off from everything outside them.
func (w *World) Partition(zones []string, d time.Duration, hold bool) {
	w.parted = append(w.parted, partition{zones, cut{hold, w.now + d}})
}

// partitionBetween is the partition between two hosts, nil if there is none now.
func (w *World) partitionBetween(a, b string) *cut {
	if len(w.parted) == 0 {
		return nil
	}
	w.parted = slices.DeleteFunc(w.parted, func(p partition) bool { return w.now >= p.cut.until })
	for i := range w.parted {
		p := &w.parted[i]
		if slices.Contains(p.zones, w.Place(a)) != slices.Contains(p.zones, w.Place(b)) {
			c := p.cut
			return &c
		}
	}
	return nil
}

// PlaceOf is the zone of the host with an address, "" for what is regional or unknown.
func (w *World) PlaceOf(addr string) string {
	h := w.find(addr)
	if h == nil {
		return ""
	}
	return w.Place(h.hostName())
}

// Place is the zone of a host, "" for what is regional.
func (w *World) Place(host string) string {
	if m := w.Cloud.machines[host]; m != nil {
		return m.Zone
	}
	for _, s := range w.nodes {
		if s.host == host {
			return s.set.Location
		}
	}
	return ""
}
