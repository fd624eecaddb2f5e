// Package placement decides on which machine each waiting task runs.
package placement

import (
	"container/heap"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// View holds the input of a placement pass besides the ledger.
type View struct {
	Now            time.Duration
	SilentAfter    time.Duration // machines that have not reported for longer get no new tasks
	ReportInterval time.Duration // interval between the reports of a worker
	// Machines lists those that can take new tasks, ordered by name.
	Machines []*ledger.Machine
	// Holds maps a machine to the job for which its free capacity is reserved.
	Holds      map[*ledger.Machine]*Hold
	Objectives *Objectives
	// Units decides which jobs may take counted resources. It may be nil if no job
	// requests any.
	Units *UnitQueues
}

// Usable reports whether the machine may be given new tasks.
func Usable(m *ledger.Machine, v *View) bool {
	return m.TypeKnown && m.Reported && !m.Gone && !m.Leaving && !m.InterruptionNotice && v.Now >= m.NoPlacementBefore && v.Now-m.LastReport <= v.SilentAfter
}

// TotalCapacity returns the sum of the capacities of all machines in the view.
func (v *View) TotalCapacity() model.Resources {
	var n model.Resources
	for _, m := range v.Machines {
		n = n.Add(m.Cap)
	}
	return n
}

// Run places as many tasks as it can and returns the jobs that still wait. It handles and
// returns jobs in the given order. Run calls refused for each job that it could not place
// completely, before it tries the next one: capacity that is freed for a job must be held
// before less urgent jobs take the part of it that is already free. Faulty jobs are the
// exception: Run doesn't call refused for them, and returns them only once they are
// overdue, when a machine may be rented for them.
func Run(l *ledger.Ledger, v *View, order []*ledger.Job, refused func(*ledger.Job)) []*ledger.Job {
	var left []*ledger.Job
	index := newMachineIndex(v)
	for _, j := range order {
		if !placeJob(l, v, index, j) && (!j.Faulty() || j.MayRentForTrial(v.Now)) {
			left = append(left, j)
			if !j.Faulty() {
				refused(j)
			}
		}
	}
	return left
}

// Candidates returns the machines that can take new tasks, ordered by name.
func Candidates(l *ledger.Ledger, v *View) []*ledger.Machine {
	var out []*ledger.Machine
	for _, m := range l.MachinesByName() {
		if Usable(m, v) {
			out = append(out, m)
		}
	}
	return out
}

// Allowed reports whether the constraints of the job permit its tasks to run on the
// machine. It checks neither free capacity nor where the job's other tasks are.
func Allowed(j *ledger.Job, m *ledger.Machine) bool {
	s := j.Spec
	return s.AllowsType(m.Type) && (s.Zone == "" || s.Zone == m.Zone) && (j.Zone == "" || j.Zone == m.Zone) && (s.Spot || !m.Spot) && j.AnyPortFree(m)
}

// placementsByZone counts the job's placed tasks by zone; ok is false while the zone of
// one of their machines is unknown. The counts stay empty for jobs without zone
// constraints.
func placementsByZone(j *ledger.Job) (count map[string]int, ok bool) {
	count = map[string]int{}
	if j.Placed == 0 || (!j.Spec.OneZone && !j.Spec.Spread) {
		return count, true
	}
	for i := range j.Tasks {
		if p := j.Tasks[i].CurrentPlacement; p != nil {
			if !p.Host.TypeKnown {
				return nil, false
			}
			count[p.Host.Zone]++
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

func placeJob(l *ledger.Ledger, v *View, index *machineIndex, j *ledger.Job) bool {
	team := l.Teams[j.Spec.Team]
	if team == nil {
		j.WaitReason = "its team is not in the settings"
		return false
	}
	if j.Spec.Kind == model.Gang {
		return placeGang(l, v, index, j, team)
	}
	count, ok := placementsByZone(j)
	if !ok {
		j.WaitReason = "the zone of one of its machines isn't known yet"
		return false
	}
	s := j.Spec
	if index.knownToFail(s, 1) && !v.hasHold(j) && !isBeingMoved(j) {
		j.WaitReason = "no machine has room"
		return false
	}
	all, onlyCapacity := true, true
	var h candidateHeap
	built := false
	defer func() { index.dropFull(h.taken) }()
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Done || t.CurrentPlacement != nil || t.Unwanted {
			continue
		}
		if t.NotBefore > v.Now {
			j.WaitReason = "waits after a failure"
			if t.Preemptions > 0 {
				j.WaitReason = "was stopped for others again and again, waits for their number to fall"
			}
			all = false
			continue
		}
		if !team.WithinLimit(s.Resources) {
			j.WaitReason = "the team's limit is used up"
			return false
		}
		if !v.Units.Allow(l, j, 1) {
			return false
		}
		if target := t.MoveTarget; target != nil && v.Now < t.MoveDeadline && Usable(target, v) && Allowed(j, target) && s.Resources.Fits(target.Free()) && zoneAllows(j, count, target.Zone) && j.PortFree(i, target) {
			l.Plan(j, i, t.Attempt+1, target) // consolidation chose the target together with those of its other moves
			count[target.Zone]++
			continue
		}
		if !built {
			built = true
			for _, m := range index.machines {
				if s.Resources.Fits(m.Free()) && Allowed(j, m) && v.mayUse(j, m) {
					h.candidates = append(h.candidates, candidate{m, Score(l, v, j, m)})
				}
			}
			if s.OneZone && j.Placed == 0 {
				fits := len(h.candidates)
				h.candidates = keepRoomiestZone(h.candidates, s.Resources, j.Idle())
				onlyCapacity = onlyCapacity && len(h.candidates) == fits // machines in other zones have room for other jobs
			}
			heap.Init(&h)
		}
		onlyCapacity = onlyCapacity && t.Avoids(v.Now) == nil && j.Zone == "" && j.Port == 0
		m := h.next(v, j, i, count)
		if m == nil {
			j.WaitReason = "no machine has room"
			// Record the miss only if no machine has room. A constraint of this job alone,
			// such as the zone of its other tasks, must not stop jobs with the same
			// constraints: one array bound to a full zone made the others wait while
			// machines elsewhere were empty.
			if onlyCapacity && h.Len() == 0 {
				index.recordMiss(s, 1)
			}
			return false
		}
		l.Plan(j, i, t.Attempt+1, m)
		if j.Faulty() {
			return true // one task is enough to try a faulty job
		}
		count[m.Zone]++
		h.taken = append(h.taken, m)
		if s.Resources.Fits(m.Free()) {
			heap.Push(&h, candidate{m, Score(l, v, j, m)})
		}
	}
	return all
}

// isBeingMoved reports whether a task of the job is waiting to move to a chosen machine.
func isBeingMoved(j *ledger.Job) bool {
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.MoveTarget != nil && t.CurrentPlacement == nil && !t.Done && !t.Unwanted {
			return true
		}
	}
	return false
}

// mayUse reports whether the machine is not held for another job.
func (v *View) mayUse(j *ledger.Job, m *ledger.Machine) bool {
	h := v.Holds[m]
	return h == nil || h.Job == j
}

func (v *View) hasHold(j *ledger.Job) bool {
	for _, h := range v.Holds {
		if h.Job == j {
			return true
		}
	}
	return false
}
