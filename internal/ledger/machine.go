package ledger

import (
	"sort"
	"time"

	"brooklb/internal/estimates"
	"brooklb/internal/model"
)

// Free returns the unused resources of the machine.
func (m *Machine) Free() model.Resources { return m.Cap.Sub(m.Used) }

func (l *Ledger) machineIndex(name string) int {
	return sort.Search(len(l.byName), func(i int) bool { return l.byName[i].Name >= name })
}

// MachinesByName lists the machines in name order. Machines may be added or removed only once
// the caller has finished with the list.
func (l *Ledger) MachinesByName() []*Machine { return l.byName }

// Describe sets the type, zone and capacity of a machine.
func (l *Ledger) Describe(m *Machine, typ, zone string, spot bool) {
	m.Type, m.Zone, m.Spot = typ, zone, spot
	if t := l.Types[typ]; t != nil {
		m.Cap = t.Cap
		m.TypeKnown = true
	}
}

// Remove removes a machine that is gone, with all placements on it.
func (l *Ledger) Remove(m *Machine, why string) {
	m.Gone = true
	l.Returned[m.Name] = true
	for _, p := range m.PlacementsCopy() {
		l.MarkLost(p, why)
	}
	if l.Machines[m.Name] == m {
		delete(l.Machines, m.Name)
		i := l.machineIndex(m.Name)
		// Build a new list, since a caller may be iterating over the old one.
		l.byName = append(append(make([]*Machine, 0, len(l.byName)), l.byName[:i]...), l.byName[i+1:]...)
	}
}

// PlacementsCopy returns a copy of the machine's placements, by job and task. The originals may
// change while the caller iterates over the copy.
func (m *Machine) PlacementsCopy() []*Placement { return append([]*Placement(nil), m.Placements...) }

// placementIndex returns the index of a job's task among the machine's placements, or where to
// insert it.
func (m *Machine) placementIndex(id string, task int) int {
	return sort.Search(len(m.Placements), func(i int) bool {
		q := m.Placements[i]
		return q.Job.Spec.ID > id || (q.Job.Spec.ID == id && q.Task >= task)
	})
}

const (
	// baseDirectStarts bounds the attempts that a worker keeps because duplicates of their
	// start commands may arrive. Each report lists all of them. At the limit, starts are sent in
	// answers to reports, whose duplicates are not executed.
	baseDirectStarts = 64
	// extraHighPriorityStarts are allowed beyond that for high priorities.
	extraHighPriorityStarts = 16
)

// MaxDirectStarts returns how many attempts a worker may keep before starts of the priority
// are no longer sent to it directly.
func MaxDirectStarts(p model.Priority) int {
	if p >= model.High {
		return baseDirectStarts + extraHighPriorityStarts
	}
	return baseDirectStarts
}

// TrackedStarts returns how many starts were sent directly to the worker and may still arrive
// as duplicates.
func (m *Machine) TrackedStarts() int { return len(m.ConfirmedStarts) + len(m.UnconfirmedStarts) }

// Machine is a rented machine as the leader knows it.
type Machine struct {
	Name, Addr, Type, Zone string
	ForwardedBy            string // the controller that forwards its reports; "": the worker sends them to the leader
	ListedAddr             string // address in the cloud's list, which may differ from the reported one
	Spot                   bool
	TypeKnown              bool // type and zone are known
	Cap                    model.Resources
	Used                   model.Resources
	Placements             []*Placement // by job and task
	Session, Seq, Token    uint64
	Reported               bool // has reported in this term
	StatusRequested        bool // the worker was asked for its status in this term
	LastReport             time.Duration
	LastAnswered           time.Duration // last report that was answered with the leader's token
	TokenSeen              bool          // the worker has seen the leader's token
	TokenSeenAt            time.Duration // when TokenSeen was set
	SessionSeenAt          time.Duration // when the leader received the first report of this session
	// HasFreshReport says that a report was received that the worker certainly sent in this
	// term. Reports before that may be old duplicates.
	HasFreshReport     bool
	InterruptionNotice bool
	Leaving            bool // no new work; to be returned to the cloud
	ReturnSent         bool
	Gone               bool
	ListedState        string
	ListedAt           time.Duration
	FirstSeen          time.Duration
	RentedAt           time.Duration // time of the rental request, on this node's monotonic clock
	Booting            bool          // rented in this term and has not reported yet
	IdleSince          time.Duration
	WantedAt           time.Duration // last time waiting work was expected to use it
	NoPlacementBefore  time.Duration // the machine gets no new placements before this time
	failedJobs         map[*Job]bool
	UnconfirmedStarts  map[model.TaskAttempt]uint64 // direct starts without an answer, which may still arrive, with their session
	// ConfirmedStarts has the direct starts of this session that the worker answered, with the
	// time of the answer. Duplicates of them may still arrive.
	ConfirmedStarts map[model.TaskAttempt]time.Duration
	Images          map[string]time.Duration
	ImageGB         map[string]float64
	DirectInFlight  int                // direct commands without an answer yet
	EndedTasks      []model.TaskReport // exited tasks in the last report
	UnexpectedTasks []model.TaskReport // tasks in the last report that were not placed there
	MissedListings  int                // cloud lists without the machine since it last reported or was listed
	Pace            estimates.Pace
	ReportGap       time.Duration // time between the last two reports
}

// Machine returns the entry of a machine, and creates it if there is none.
func (l *Ledger) Machine(name string) *Machine {
	m := l.Machines[name]
	if m == nil {
		m = &Machine{Name: name, FirstSeen: l.env.Now(), IdleSince: l.env.Now(),
			Images: map[string]time.Duration{}, ImageGB: map[string]float64{}, UnconfirmedStarts: map[model.TaskAttempt]uint64{}, ConfirmedStarts: map[model.TaskAttempt]time.Duration{}, RentedAt: l.env.Now()}
		if l.RestoreImages != nil {
			l.RestoreImages(m)
		}
		l.Machines[name] = m
		i := l.machineIndex(name)
		l.byName = append(l.byName, nil)
		copy(l.byName[i+1:], l.byName[i:])
		l.byName[i] = m
	}
	return m
}
