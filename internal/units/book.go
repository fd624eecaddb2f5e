package units

import (
	"fmt"
	"time"

	"brooklb/internal/model"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Holder is who holds units: a placement, or a job for units asked for by the whole
// job.
type Holder any

// Resource is one counted resource as the leader knows it.
type Resource struct {
	Name   string
	Rec    *Record // nil: never declared
	Stamp  uint64
	Broken bool // its record can't be read
	// External is how many are taken outside now.
	External int
	Used     int
	byPrio   [4]int
	byTeam   map[string]int
	// Holders have their units.
	Holders map[Holder]int
	// BusyS and IdleS are unit seconds in use, and free while jobs waited, in this term.
	BusyS, IdleS float64
	waits        *hdrhistogram.Histogram // of jobs until their first start, in ms
	// Asked is how many jobs ask for it that are not over.
	Asked int
}

// Book has all resources of a term, by a dense index.
type Book struct {
	All    []*Resource
	byName map[string]int
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{byName: map[string]int{}} }

// Index finds or makes the entry of a name.
func (b *Book) Index(name string) int {
	i, ok := b.byName[name]
	if !ok {
		i = len(b.All)
		b.All = append(b.All, &Resource{Name: name, byTeam: map[string]int{}, Holders: map[Holder]int{}})
		b.byName[name] = i
	}
	return i
}

// Get is the entry of a name, nil if there is none.
func (b *Book) Get(name string) *Resource {
	if i, ok := b.byName[name]; ok {
		return b.All[i]
	}
	return nil
}

// Set takes in a resource's record; nil says that it can't be read.
func (b *Book) Set(name string, rec *Record, stamp uint64) {
	r := b.All[b.Index(name)]
	if stamp < r.Stamp {
		return
	}
	r.Stamp, r.Broken = stamp, rec == nil
	if rec != nil {
		r.Rec, r.External = rec, rec.External
	}
}

// There is how many units brooklb may use in all.
func (r *Resource) There() int {
	if r.Rec == nil || r.Rec.Gone || r.Broken {
		return 0
	}
	return max(0, r.Rec.Count-r.External)
}

// Free is how many units a team's job of a priority may take now, less than 0 where
// more are in use than there are.
func (r *Resource) Free(team string, prio model.Priority) int {
	there := r.There()
	free := there - r.Used
	if r.Rec == nil {
		return 0
	}
	below := 0
	for q := range r.byPrio {
		// What is reserved for q and above is not for those below.
		if q > int(prio) && r.Rec.Reserve[q] > 0 {
			free = min(free, there-r.Rec.Reserve[q]-below)
		}
		below += r.byPrio[q]
	}
	if p, ok := r.Rec.Teams[team]; ok && p.Most > 0 {
		free = min(free, p.Most-r.byTeam[team])
	}
	return free
}

// Under reports whether the team uses less than its share.
func (r *Resource) Under(team string) bool {
	return r.Rec != nil && r.byTeam[team] < r.Rec.Teams[team].Share
}

// Take notes that the holder has n units.
func (r *Resource) Take(h Holder, team string, prio model.Priority, n int) {
	r.Used += n
	r.byPrio[prio] += n
	r.byTeam[team] += n
	r.Holders[h] += n
}

// Give notes that the holder has none any more.
func (r *Resource) Give(h Holder, team string, prio model.Priority) {
	n := r.Holders[h]
	delete(r.Holders, h)
	r.Used -= n
	r.byPrio[prio] -= n
	if r.byTeam[team] -= n; r.byTeam[team] == 0 {
		delete(r.byTeam, team)
	}
}

// Waited notes how long a job has waited until it had its first units.
func (r *Resource) Waited(d time.Duration) {
	if r.waits == nil {
		r.waits = hdrhistogram.New(1, longestWait, 1)
	}
	_ = r.waits.RecordValue(min(max(1, d.Milliseconds()), longestWait)) // inside the bounds
}

const longestWait = 24 * 3600 * 1000

// WaitS is how long so many of a hundred jobs waited at most, in seconds.
func (r *Resource) WaitS(percent float64) float64 {
	if r.waits == nil {
		return 0
	}
	return float64(r.waits.ValueAtQuantile(percent)) / 1000
}

// Count notes a span in which the resource stood as it does, and jobs waited for it.
func (r *Resource) Count(d time.Duration, waiting bool) {
	r.BusyS += float64(r.Used) * d.Seconds()
	if free := r.There() - r.Used; waiting && free > 0 {
		r.IdleS += float64(free) * d.Seconds()
	}
}

// Why says why there are not n units for a job now.
func (r *Resource) Why(n int, team string, prio model.Priority) string {
	switch {
	case r.Broken:
		return fmt.Sprintf("the record of resource %s can't be read", r.Name)
	case r.Rec == nil:
		return fmt.Sprintf("resource %s is not declared", r.Name)
	case r.Rec.Gone:
		return fmt.Sprintf("resource %s was removed", r.Name)
	case n > r.Rec.Count:
		return fmt.Sprintf("it asks for %d units of %s at once, of which there are %d now", n, r.Name, r.Rec.Count)
	}
	s := fmt.Sprintf("it needs %d units of %s: %d of %d are in use", n, r.Name, r.Used, r.Rec.Count)
	if r.External > 0 {
		s += fmt.Sprintf(", %d outside", r.External)
	}
	if p := r.Rec.Teams[team]; p.Most > 0 && p.Most-r.byTeam[team] < n {
		s += fmt.Sprintf(", its team has %d of at most %d", r.byTeam[team], p.Most)
	} else if r.There()-r.Used >= n {
		s += ", the others are reserved for a higher priority"
	}
	return s
}

// CanEver says why a job could never have its units, nil if it could: as resources
// are declared now.
func CanEver(s *model.Spec, find func(name string) (rec *Record, err error)) error {
	for _, u := range s.Units {
		rec, err := find(u.Name)
		if err != nil {
			return err
		}
		if rec == nil || rec.Gone {
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
