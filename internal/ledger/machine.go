package ledger

import (
	"sort"
	"time"

	"brooklb/internal/estimates"
	"brooklb/internal/model"
)

// Free is what is left on the machine.
func (m *Machine) Free() model.Need { return m.Cap.Sub(m.Used) }

func (l *Ledger) place(name string) int {
	return sort.Search(len(l.byName), func(i int) bool { return l.byName[i].Name >= name })
}

// Sorted lists the machines in name order. Machines may be added or removed
// only after the caller is through with the list.
func (l *Ledger) Sorted() []*Machine { return l.byName }

// Describe fills in what a machine is.
func (l *Ledger) Describe(m *Machine, typ, zone string, spot bool) {
	m.Type, m.Zone, m.Spot = typ, zone, spot
	if t := l.Types[typ]; t != nil {
		m.Cap = t.Cap
		m.Known = true
	}
}

// Remove forgets a machine that is gone; everything on it is gone too.
func (l *Ledger) Remove(m *Machine, why string) {
	m.Gone = true
	l.Returned[m.Name] = true
	for _, p := range m.List() {
		l.Lost(p, why)
	}
	if l.Machines[m.Name] == m {
		delete(l.Machines, m.Name)
		i := l.place(m.Name)
		// A new list: somebody may be walking through the old one.
		l.byName = append(append(make([]*Machine, 0, len(l.byName)), l.byName[:i]...), l.byName[i+1:]...)
	}
}

// List is a copy of the machine's placements, by job and task: they may be
// changed while the caller goes through them.
func (m *Machine) List() []*Placement { return append([]*Placement(nil), m.P...) }

// find is the place of a job's task among the machine's placements.
func (m *Machine) find(id string, task int) int {
	return sort.Search(len(m.P), func(i int) bool {
		q := m.P[i]
		return q.Job.Spec.ID > id || (q.Job.Spec.ID == id && q.Task >= task)
	})
}

const (
	// mostDirectStarts bounds the attempts that a worker keeps because copies of their
	// starts may come, since each report lists them all. While there are as many, starts
	// go in answers to reports, of which no copy is executed.
	mostDirectStarts = 64
	// urgentDirectStarts more are for work of high priority.
	urgentDirectStarts = 16
)

// DirectStarts is how many attempts a worker may keep for starts of the priority to be
// sent to it directly.
func DirectStarts(p model.Priority) int {
	if p >= model.High {
		return mostDirectStarts + urgentDirectStarts
	}
	return mostDirectStarts
}

// Kept is how many starts have gone straight to the worker of which copies may come.
func (m *Machine) Kept() int { return len(m.Sent) + len(m.Ambiguous) }

// Machine is a rented machine as far as known.
type Machine struct {
	Name, Addr, Type, Zone string
	Via                    string // the controller that passes its reports on; "": they come straight to us
	ListedAddr             string // by the cloud's list, not by its own report
	Spot                   bool
	Known                  bool // type and zone are known
	Cap                    model.Need
	Used                   model.Need
	P                      []*Placement // by job and task
	Session, Seq, Token    uint64
	Heard                  bool          // has reported in this term
	Greeted                bool          // was asked for its status in this term
	LastHeard              time.Duration // last report
	LastAnswered           time.Duration // last report that we answered with our token
	TokenSeen              bool          // the worker has seen our token
	TokenAt                time.Duration // when we learned that
	SessionAt              time.Duration // when we first heard of this session
	// Fresh: something that the worker sent in this term was heard. Whatever came before
	// may be a copy from long ago.
	Fresh      bool
	Notice     bool
	Leaving    bool // to be returned
	ReturnSent bool
	Gone       bool
	Listed     string
	ListedAt   time.Duration
	FirstSeen  time.Duration
	RentedAt   time.Duration // request, on our steady clock
	Booting    bool          // rented in this term and not heard yet
	IdleSince  time.Duration
	WantedAt   time.Duration // last time waiting work was expected to use it
	NoPlace    time.Duration // no new placements before
	blamed     map[*Job]bool
	Ambiguous  map[model.TaskAttempt]uint64 // starts that may yet arrive, with their session
	// Sent has the starts that went straight to the worker in this session and were
	// answered: copies of them may come still.
	Sent    map[model.TaskAttempt]time.Duration
	Images  map[string]time.Duration
	ImageGB map[string]float64
	Direct  int // direct commands under way
	Ended   []model.TaskReport
	Strays  []model.TaskReport
	Missing int
	Pace    estimates.Pace
	Gap     time.Duration // between the last two reports
}

// Machine finds or makes the entry of a machine.
func (l *Ledger) Machine(name string) *Machine {
	m := l.Machines[name]
	if m == nil {
		m = &Machine{Name: name, FirstSeen: l.env.Now(), IdleSince: l.env.Now(),
			Images: map[string]time.Duration{}, ImageGB: map[string]float64{}, Ambiguous: map[model.TaskAttempt]uint64{}, Sent: map[model.TaskAttempt]time.Duration{}, RentedAt: l.env.Now()}
		if l.Warm != nil {
			l.Warm(m)
		}
		l.Machines[name] = m
		i := l.place(name)
		l.byName = append(l.byName, nil)
		copy(l.byName[i+1:], l.byName[i:])
		l.byName[i] = m
	}
	return m
}
