package units

import (
	"fmt"
	"time"

	"brooklb/internal/model"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Holder identifies the holder of units: a placement, or a job for units that the whole
// job requests once.
type Holder any

// Resource is the leader's state of one counted resource.
type Resource struct {
	Name       string
	Record     *Record // nil: never declared
	Revision   uint64
	Unreadable bool // the record can't be decoded
	// External is how many units are in use outside the cluster now.
	External   int
	Used       int
	byPriority [4]int
	byTeam     map[string]int
	// Holders has the number of units that each holder has.
	Holders map[Holder]int
	// BusyS and IdleS are the unit-seconds of this term in use, and free while jobs
	// waited.
	BusyS, IdleS float64
	waits        *hdrhistogram.Histogram // of jobs until their first start, in ms
	// RequestingJobs is how many jobs that are not over request the resource.
	RequestingJobs int
}

// Inventory has all resources of a term, by a dense index.
type Inventory struct {
	All    []*Resource
	byName map[string]int
}

// NewInventory returns an empty Inventory.
func NewInventory() *Inventory { return &Inventory{byName: map[string]int{}} }

// Index returns the index of a resource and adds the resource if it is missing.
func (inv *Inventory) Index(name string) int {
	i, ok := inv.byName[name]
	if !ok {
		i = len(inv.All)
		inv.All = append(inv.All, &Resource{Name: name, byTeam: map[string]int{}, Holders: map[Holder]int{}})
		inv.byName[name] = i
	}
	return i
}

// Get returns the resource of a name, nil if there is none.
func (inv *Inventory) Get(name string) *Resource {
	if i, ok := inv.byName[name]; ok {
		return inv.All[i]
	}
	return nil
}

// Set stores a resource's record unless a newer one is stored; a nil record is one that
// can't be decoded.
func (inv *Inventory) Set(name string, rec *Record, revision uint64) {
	r := inv.All[inv.Index(name)]
	if revision < r.Revision {
		return
	}
	r.Revision, r.Unreadable = revision, rec == nil
	if rec != nil {
		r.Record, r.External = rec, rec.External
	}
}

// Capacity returns how many units brooklb may use in total.
func (r *Resource) Capacity() int {
	if r.Record == nil || r.Record.Removed || r.Unreadable {
		return 0
	}
	return max(0, r.Record.Count-r.External)
}

// Free returns how many units a team's job of a priority may take now. It is negative
// if more are in use than permitted.
func (r *Resource) Free(team string, prio model.Priority) int {
	capacity := r.Capacity()
	free := capacity - r.Used
	if r.Record == nil {
		return 0
	}
	lowerPriority := 0
	for q := range r.byPriority {
		// Lower priorities may not use the units reserved for q and above.
		if q > int(prio) && r.Record.Reserve[q] > 0 {
			free = min(free, capacity-r.Record.Reserve[q]-lowerPriority)
		}
		lowerPriority += r.byPriority[q]
	}
	if p, ok := r.Record.Teams[team]; ok && p.Most > 0 {
		free = min(free, p.Most-r.byTeam[team])
	}
	return free
}

// UnderShare reports whether the team uses less than its share.
func (r *Resource) UnderShare(team string) bool {
	return r.Record != nil && r.byTeam[team] < r.Record.Teams[team].Share
}

// Take gives n units to the holder.
func (r *Resource) Take(h Holder, team string, prio model.Priority, n int) {
	r.Used += n
	r.byPriority[prio] += n
	r.byTeam[team] += n
	r.Holders[h] += n
}

// Release takes back all units of the holder.
func (r *Resource) Release(h Holder, team string, prio model.Priority) {
	n := r.Holders[h]
	delete(r.Holders, h)
	r.Used -= n
	r.byPriority[prio] -= n
	if r.byTeam[team] -= n; r.byTeam[team] == 0 {
		delete(r.byTeam, team)
	}
}

// RecordWait records how long a job waited for its first units.
func (r *Resource) RecordWait(d time.Duration) {
	if r.waits == nil {
		r.waits = hdrhistogram.New(1, maxWaitMS, 1)
	}
	_ = r.waits.RecordValue(min(max(1, d.Milliseconds()), maxWaitMS)) // within the histogram's range
}

const maxWaitMS = 24 * 3600 * 1000

// WaitPercentileS returns a percentile of the jobs' waits, in seconds.
func (r *Resource) WaitPercentileS(percent float64) float64 {
	if r.waits == nil {
		return 0
	}
	return float64(r.waits.ValueAtQuantile(percent)) / 1000
}

// RecordUsage adds a period of length d with the current use to the busy and idle
// times. waiting reports whether jobs waited for the resource.
func (r *Resource) RecordUsage(d time.Duration, waiting bool) {
	r.BusyS += float64(r.Used) * d.Seconds()
	if free := r.Capacity() - r.Used; waiting && free > 0 {
		r.IdleS += float64(free) * d.Seconds()
	}
}

// ShortageReason returns why a job can't have n units now.
func (r *Resource) ShortageReason(n int, team string, prio model.Priority) string {
	switch {
	case r.Unreadable:
		return fmt.Sprintf("the record of resource %s can't be read", r.Name)
	case r.Record == nil:
		return fmt.Sprintf("resource %s is not declared", r.Name)
	case r.Record.Removed:
		return fmt.Sprintf("resource %s was removed", r.Name)
	case n > r.Record.Count:
		return fmt.Sprintf("it asks for %d units of %s at once, of which there are %d now", n, r.Name, r.Record.Count)
	}
	s := fmt.Sprintf("it needs %d units of %s: %d of %d are in use", n, r.Name, r.Used, r.Record.Count)
	if r.External > 0 {
		s += fmt.Sprintf(", %d outside", r.External)
	}
	if p := r.Record.Teams[team]; p.Most > 0 && p.Most-r.byTeam[team] < n {
		s += fmt.Sprintf(", its team has %d of at most %d", r.byTeam[team], p.Most)
	} else if r.Capacity()-r.Used >= n {
		s += ", the others are reserved for a higher priority"
	}
	return s
}

// CheckSatisfiable returns an error if a job could never have its units with the current
// records of the resources.
func CheckSatisfiable(s *model.Spec, find func(name string) (rec *Record, err error)) error {
	for _, u := range s.Units {
		rec, err := find(u.Name)
		if err != nil {
			return err
		}
		if rec == nil || rec.Removed {
			return fmt.Errorf("resource %q is not declared", u.Name)
		}
		n := s.UnitsToStart(u)
		if n > rec.Count {
			return fmt.Errorf("it asks for %d units of %q at once, of which there are %d", n, u.Name, rec.Count)
		}
		if most := rec.Teams[s.Team].Most; most > 0 && n > most {
			return fmt.Errorf("it asks for %d units of %q at once, of which team %q may have %d", n, u.Name, s.Team, most)
		}
		for q := int(s.Priority) + 1; q < len(rec.Reserve); q++ {
			if n > rec.Count-rec.Reserve[q] {
				return fmt.Errorf("it asks for %d units of %q at once, of which %d of %d are kept for a higher priority", n, u.Name, rec.Reserve[q], rec.Count)
			}
		}
	}
	return nil
}
