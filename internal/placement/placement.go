// Package placement decides which waiting task goes to which machine.
package placement

import (
	"container/heap"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// View is what the decision needs to know besides the ledger.
type View struct {
	Now    time.Duration
	Silent time.Duration // a machine not heard of for so long takes nothing new
	Report time.Duration // how often workers report
	// Machines are those that can take new tasks, in name order.
	Machines []*ledger.Machine
	// Holds tells for which job a machine's free room is kept.
	Holds map[*ledger.Machine]*Hold
	Aims  *Aims
	// Units says who may take counted resources; nil: nobody asks for any.
	Units *Queues
}

// Usable reports whether the machine can take new tasks at all.
func Usable(m *ledger.Machine, v *View) bool {
	return m.Known && m.Heard && !m.Gone && !m.Leaving && !m.Notice && v.Now >= m.NoPlace && v.Now-m.LastHeard <= v.Silent
}

// Whole is what the machines that can take tasks have together.
func (v *View) Whole() model.Need {
	var n model.Need
	for _, m := range v.Machines {
		n = n.Add(m.Cap)
	}
	return n
}

// Run places what can be placed and returns the jobs that still wait, both in
// the given order. refused hears of each of them before the next is tried: room
// that is to be made for a job must be held before lesser work takes the part
// of it that is free. Of a job that seems to be at fault neither is told: it
// gets what is free, until it has waited for so long that a machine is rented.
func Run(l *ledger.Ledger, v *View, order []*ledger.Job, refused func(*ledger.Job)) []*ledger.Job {
	var left []*ledger.Job
	r := newRoom(v)
	for _, j := range order {
		if !placeJob(l, v, r, j) && (!j.Faulty() || j.Overdue(v.Now)) {
			left = append(left, j)
			if !j.Faulty() {
				refused(j)
			}
		}
	}
	return left
}

// Candidates lists the machines that can take new tasks, in name order.
func Candidates(l *ledger.Ledger, v *View) []*ledger.Machine {
	var out []*ledger.Machine
	for _, m := range l.Sorted() {
		if Usable(m, v) {
			out = append(out, m)
		}
	}
	return out
}

// Allowed reports whether the job's rules let its tasks run on the machine,
// apart from room and from where its other tasks are.
func Allowed(j *ledger.Job, m *ledger.Machine) bool {
	s := j.Spec
	return s.AllowsType(m.Type) && (s.Zone == "" || s.Zone == m.Zone) && (j.Zone == "" || j.Zone == m.Zone) && (s.Spot || !m.Spot) && j.MayListen(m)
}

// zones counts the job's placements by zone; ok is false while one of them is
// on a machine whose zone isn't known.
func zones(j *ledger.Job) (count map[string]int, ok bool) {
	count = map[string]int{}
	if j.Placed == 0 || (!j.Spec.OneZone && !j.Spec.Spread) {
		return count, true
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].P; p != nil {
			if !p.M.Known {
				return nil, false
			}
			count[p.M.Zone]++
		}
	}
	return count, true
}

func zoneAllows(j *ledger.Job, count map[string]int, zone string) bool {
	if j.Spec.OneZone {
		for z := range count {
			if z != zone {
				return false
			}
		}
	}
	return !j.Spec.Spread || count[zone] < j.Spec.MaxPerZone()
}

func placeJob(l *ledger.Ledger, v *View, r *room, j *ledger.Job) bool {
	team := l.Teams[j.Spec.Team]
	if team == nil {
		j.Waits = "its team is not in the settings"
		return false
	}
	if j.Spec.Kind == model.Gang {
		return placeGang(l, v, r, j, team)
	}
	count, ok := zones(j)
	if !ok {
		j.Waits = "the zone of one of its machines isn't known yet"
		return false
	}
	s := j.Spec
	if r.hopeless(s, 1) && !v.holdsFor(j) && !wants(j) {
		j.Waits = "no machine has room"
		return false
	}
	all, plain := true, true
	var h choices
	built := false
	defer func() { r.drop(h.taken) }()
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Done || t.P != nil || t.Off {
			continue
		}
		if t.NotBefore > v.Now {
			j.Waits = "waits after a failure"
			if t.Ousted > 0 {
				j.Waits = "was stopped for others again and again, waits for their number to fall"
			}
			all = false
			continue
		}
		if !team.Within(s.Need) {
			j.Waits = "the team's limit is used up"
			return false
		}
		if !v.Units.Allow(l, j, 1) {
			return false
		}
		if w := t.Want; w != nil && v.Now < t.WantUntil && Usable(w, v) && Allowed(j, w) && s.Need.Fits(w.Free()) && zoneAllows(j, count, w.Zone) && j.PortFree(i, w) {
			l.Plan(j, i, t.Attempt+1, w) // its move was planned with all others of its machine
			count[w.Zone]++
			continue
		}
		if !built {
			built = true
			for _, m := range r.ms {
				if s.Need.Fits(m.Free()) && Allowed(j, m) && v.mayTake(j, m) {
					h.cs = append(h.cs, choice{m, Score(l, v, j, m)})
				}
			}
			if s.OneZone && j.Placed == 0 {
				fits := len(h.cs)
				h.cs = roomiest(h.cs, s.Need, j.Idle())
				plain = plain && len(h.cs) == fits // other zones have room, for others
			}
			heap.Init(&h)
		}
		plain = plain && t.Avoids(v.Now) == nil && j.Zone == "" && j.Port == 0
		m := h.next(v, j, i, count)
		if m == nil {
			j.Waits = "no machine has room"
			// Machines with room that this job alone can't use, since its other tasks are in
			// another zone, say, are there for those that are alike: one array bound to a
			// full zone once had all others wait beside empty machines.
			if plain && h.Len() == 0 {
				r.miss(s, 1)
			}
			return false
		}
		l.Plan(j, i, t.Attempt+1, m)
		if j.Faulty() {
			return true // one task is enough to see
		}
		count[m.Zone]++
		h.taken = append(h.taken, m)
		if s.Need.Fits(m.Free()) {
			heap.Push(&h, choice{m, Score(l, v, j, m)})
		}
	}
	return all
}

// wants reports whether a task of the job is being moved somewhere.
func wants(j *ledger.Job) bool {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Want != nil && t.P == nil && !t.Done && !t.Off {
			return true
		}
	}
	return false
}

// mayTake reports whether the machine's room isn't kept for another job.
func (v *View) mayTake(j *ledger.Job, m *ledger.Machine) bool {
	h := v.Holds[m]
	return h == nil || h.Job == j
}

func (v *View) holdsFor(j *ledger.Job) bool {
	for _, h := range v.Holds {
		if h.Job == j {
			return true
		}
	}
	return false
}
