package snapshot

import (
	"fmt"
	"strconv"
	"strings"

	"brooklb/internal/leader"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/rollout"
	"brooklb/internal/settings"
	"brooklb/internal/units"
)

// Finding is an inconsistency in a state.
type Finding struct {
	Key  string `json:"key"`
	Rule string `json:"rule"` // the rule of the protocol that is violated, or "record"
	Text string `json:"text"`
	// Transient means that the state of a live cluster may have this finding for a while: the
	// end of a task is written some seconds after its capacity is used again, and an operator
	// may lower a count below the usage.
	Transient bool `json:"maybe,omitempty"`
}

// Counts counts the content of a state by kind.
type Counts struct {
	Keys      int            `json:"keys"`
	Bytes     int            `json:"bytes"`
	Jobs      map[string]int `json:"jobs"` // by state: open, done, cancelled
	Chunks    int            `json:"chunks"`
	Placed    int            `json:"tasks_placed"`
	DoneTasks int            `json:"tasks_done"` // of open jobs
	Machines  int            `json:"machines_with_tasks"`
	Services  int            `json:"services"`
	Resources int            `json:"resources"`
	Others    int            `json:"other_keys"`
	Leader    string         `json:"leader,omitempty"`
}

type verifier struct {
	s             *Snapshot
	jobs          map[string]*ledger.JobRecord
	machines      map[string]bool
	teams         map[string]settings.Team
	teamUse       map[string]model.Resources
	units         map[string]*units.Record
	unitsUsed     map[string]int
	countedPerJob map[string]bool
	services      map[string]*rollout.Record
	findings      []Finding
	counts        Counts
}

func (v *verifier) addFinding(key, rule, format string, a ...any) {
	v.findings = append(v.findings, Finding{Key: key, Rule: rule, Text: fmt.Sprintf(format, a...), Transient: rule == "quota" || rule == "units"})
}

// Verify checks a state against the invariants. teams has the limits from the settings; if it
// is nil, limits are not checked.
func Verify(s *Snapshot, teams []settings.Team) ([]Finding, Counts) {
	v := &verifier{s: s, jobs: map[string]*ledger.JobRecord{}, machines: map[string]bool{}, teamUse: map[string]model.Resources{}, units: map[string]*units.Record{},
		unitsUsed: map[string]int{}, countedPerJob: map[string]bool{}, services: map[string]*rollout.Record{}}
	if teams != nil {
		v.teams = map[string]settings.Team{}
		for _, t := range teams {
			v.teams[t.Name] = t
		}
	}
	v.counts.Jobs = map[string]int{}
	for i := range s.Items {
		it := &s.Items[i]
		v.counts.Keys++
		v.counts.Bytes += len(it.Path) + len(it.Value)
		if it.Revision > s.Revision {
			v.addFinding(it.Path, "record", "its revision %d is later than the state's, %d", it.Revision, s.Revision)
		}
		v.readRecord(it)
	}
	for i := range s.Items {
		if key := s.Items[i].Path; strings.HasPrefix(key, ledger.ChunkPrefix) {
			v.checkChunk(&s.Items[i])
		}
	}
	for name, u := range v.teamUse {
		if t := (&ledger.Team{Team: v.teams[name], Used: u}); v.teams != nil && !t.WithinLimit(model.Resources{}) {
			v.addFinding(ledger.JobPrefix, "quota", "team %q has tasks of %g CPUs and %g GPUs placed, its limits are %g and %g", name, u.CPUs, u.GPUs, t.MaxCPUs, t.MaxGPUs)
		}
	}
	for name, n := range v.unitsUsed {
		switch r := v.units[name]; {
		case r == nil:
			v.addFinding(units.Key(name), "units", "%d units are in use of a resource that has no record", n)
		case n > r.Count:
			v.addFinding(units.Key(name), "units", "%d units are in use, of which there are %d now", n, r.Count)
		}
	}
	v.checkServices()
	v.counts.Machines = len(v.machines)
	return v.findings, v.counts
}

// readRecord decodes a record other than a chunk. Chunks need the records of their jobs.
func (v *verifier) readRecord(it *Item) {
	key := it.Path
	switch {
	case strings.HasPrefix(key, ledger.JobPrefix):
		id := strings.TrimPrefix(key, ledger.JobPrefix)
		r, err := ledger.DecodeRecord(id, it.Value)
		if err != nil {
			v.addFinding(key, "record", "%v", err)
			return
		}
		v.jobs[id] = r
		phase := r.Final
		if phase == ledger.Open {
			phase = "open"
		}
		v.counts.Jobs[phase]++
	case strings.HasPrefix(key, ledger.ChunkPrefix):
		v.counts.Chunks++
	case strings.HasPrefix(key, rollout.Prefix):
		name := strings.TrimPrefix(key, rollout.Prefix)
		r, err := rollout.Decode(name, it.Value)
		if err != nil {
			v.addFinding(key, "record", "%v", err)
			return
		}
		v.counts.Services++
		v.services[name] = r
	case strings.HasPrefix(key, units.Prefix):
		name := strings.TrimPrefix(key, units.Prefix)
		r, err := units.Decode(name, it.Value)
		if err != nil {
			v.addFinding(key, "record", "%v", err)
			return
		}
		v.counts.Resources++
		v.units[name] = r
	case key == leader.Key:
		v.counts.Leader = string(it.Value)
	default:
		v.counts.Others++
	}
}

// checkChunk checks the placements in a chunk, and adds them to the usage of teams and units.
func (v *verifier) checkChunk(it *Item) {
	key := it.Path
	rest := strings.TrimPrefix(key, ledger.ChunkPrefix)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		v.addFinding(key, "record", "it is no key of a chunk")
		return
	}
	n, err := strconv.Atoi(rest[i+1:])
	id := rest[:i]
	r := v.jobs[id]
	if err != nil || n < 0 {
		v.addFinding(key, "record", "it is no key of a chunk")
		return
	}
	if r == nil {
		v.addFinding(key, "forgotten", "its job %s has no record that can be read", id)
		return
	}
	tasks, err := ledger.DecodeChunkTasks(key, it.Value)
	if err != nil {
		v.addFinding(key, "record", "%v", err)
		return
	}
	if n >= r.Chunks() || len(tasks) > r.TasksPerChunk || n*r.TasksPerChunk+len(tasks) > r.Tasks {
		v.addFinding(key, "record", "%d tasks from %d on, but job %s has %d in chunks of %d", len(tasks), n*r.TasksPerChunk, id, r.Tasks, r.TasksPerChunk)
		return
	}
	spec := r.JobSpec()
	attempts := map[uint64]bool{}
	for k, p := range tasks {
		switch {
		case p.Done:
			if r.Final == ledger.Open {
				v.counts.DoneTasks++
			}
		case p.Machine != "":
			v.counts.Placed++
			v.machines[p.Machine] = true
			attempts[p.Attempt] = true
			if p.Attempt == 0 {
				v.addFinding(key, "ran_twice", "task %d is placed on %s without an attempt", n*r.TasksPerChunk+k, p.Machine)
			}
			if r.Final == ledger.Done {
				v.addFinding(key, "not_done", "task %d is on %s, but job %s is done", n*r.TasksPerChunk+k, p.Machine, id)
			}
			if spec != nil {
				v.teamUse[spec.Team] = v.teamUse[spec.Team].Add(spec.Resources)
				for _, u := range spec.Units {
					if !u.PerJob {
						v.unitsUsed[u.Name] += u.Quantity
					} else if !v.countedPerJob[id+" "+u.Name] {
						v.countedPerJob[id+" "+u.Name] = true
						v.unitsUsed[u.Name] += u.Quantity
					}
				}
			}
		}
	}
	if spec != nil && spec.Kind == model.Gang && len(attempts) > 1 {
		v.addFinding(key, "record", "the tasks of gang %s have %d different attempts", id, len(attempts))
	}
}

// checkServices checks that services and the jobs that are their versions refer to each
// other.
func (v *verifier) checkServices() {
	for name, r := range v.services {
		for _, id := range r.Jobs() {
			j := v.jobs[id]
			switch {
			case j == nil:
				v.addFinding(rollout.Key(name), "forgotten", "its version %s has no record that can be read", id)
			case j.Service != name:
				v.addFinding(rollout.Key(name), "record", "its version %s says that it belongs to service %q", id, j.Service)
			}
		}
	}
	for id, j := range v.jobs {
		if j.Service != "" && j.Final == ledger.Open && v.services[j.Service] == nil {
			v.addFinding(ledger.JobKey(id), "record", "it is a version of service %s, which has no record that can be read", j.Service)
		}
	}
}

// Diff lists the keys that state b adds, removes and changes relative to a.
func Diff(a, b *Snapshot) (added, removed, changed []string) {
	old := map[string]*Item{}
	for i := range a.Items {
		old[a.Items[i].Path] = &a.Items[i]
	}
	for i := range b.Items {
		it := &b.Items[i]
		was := old[it.Path]
		delete(old, it.Path)
		switch {
		case was == nil:
			added = append(added, it.Path)
		case string(was.Value) != string(it.Value):
			changed = append(changed, it.Path)
		}
	}
	for i := range a.Items {
		if _, gone := old[a.Items[i].Path]; gone {
			removed = append(removed, a.Items[i].Path)
		}
	}
	return added, removed, changed
}
