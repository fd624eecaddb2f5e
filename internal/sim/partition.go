package sim

import (
	"slices"
	"time"
)

// partition separates some zones from all other zones and the regional services.
type partition struct {
	zones []string
	cut   cut
}

// Partition cuts a set of zones off from all hosts outside them; within the set the network
// works.
func (w *World) Partition(zones []string, d time.Duration, hold bool) {
	w.partitions = append(w.partitions, partition{zones, cut{hold, w.now + d}})
}

// partitionBetween is the partition between two hosts, nil if there is none now.
func (w *World) partitionBetween(a, b string) *cut {
	if len(w.partitions) == 0 {
		return nil
	}
	w.partitions = slices.DeleteFunc(w.partitions, func(p partition) bool { return w.now >= p.cut.until })
	for i := range w.partitions {
		p := &w.partitions[i]
		if slices.Contains(p.zones, w.ZoneOf(a)) != slices.Contains(p.zones, w.ZoneOf(b)) {
			c := p.cut
			return &c
		}
	}
	return nil
}

// ZoneOfAddr is the zone of the host with an address, "" if the host is regional or unknown.
func (w *World) ZoneOfAddr(addr string) string {
	h := w.hostAt(addr)
	if h == nil {
		return ""
	}
	return w.ZoneOf(h.hostName())
}

// ZoneOf is the zone of a host, "" if the host is regional.
func (w *World) ZoneOf(host string) string {
	if m := w.Cloud.machines[host]; m != nil {
		return m.Zone
	}
	for _, s := range w.nodes {
		if s.host == host {
			return s.settings.Location
		}
	}
	return ""
}
