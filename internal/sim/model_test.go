package sim

import (
	"testing"
	"time"
)

// The model covers the placement protocol alone: two leaders, of which one may have lost its
// leadership without knowing it, one task, two machines, and all messages in flight.
// TestModel visits every state that any order of events can reach.

// modelWrite is a write to the task's record that is in flight.
type modelWrite struct {
	exists                      bool
	leader, token, baseRevision int8
	attempt, machine            int8 // machine is -1 if the task is unplaced
	unawaited                   bool // the leader no longer waits for its answer
}

// modelStart is a start command in flight.
type modelStart struct {
	exists                  bool
	token, attempt, session int8
}

// modelLeader is what a controller believes about its leadership and the task.
type modelLeader struct {
	token            int8 // 0: it believes that it doesn't lead
	revision         int8 // of the task record that it has read
	attempt, machine int8
	ownPlacement     bool // it placed the task itself, and the write succeeded
	writing          bool // one of its writes is in flight
	startSent        bool // it has sent a start
	startUncertain   bool // that start may still arrive
}

// modelMachine is a worker and its lease session.
type modelMachine struct {
	session, token, running, newestAttempt int8 // newestAttempt is the newest attempt that the worker remembers
	gone                                   bool
}

// modelReportCopy is a duplicate or delayed copy of a report to a leader. It holds the state at
// the time of the original. stale marks the leaders that have received a newer message from the
// machine since; they drop the copy.
type modelReportCopy struct {
	exists                           bool
	machine, token, session, running int8
	stale                            [2]bool
}

// modelState is a state of the whole model.
type modelState struct {
	copy             modelReportCopy
	copiesMade       int8
	token, revision  int8
	attempt, machine int8
	leaders          [2]modelLeader
	writes           [2]modelWrite
	starts           [2]modelStart // at most one to each machine
	machines         [2]modelMachine
}

// modelConditions are the protocol's conditions. The test disables them one by one.
type modelConditions struct{ leader, version, uncertainStart, tokenSeen, absence, freshReport bool }

// dropOlderCopies records that the leader has received a message from the machine, so that it
// drops older copies of reports.
func (s *modelState) dropOlderCopies(leader int, machine int) {
	if s.copy.exists && int(s.copy.machine) == machine {
		s.copy.stale[leader] = true
	}
}

// The bounds of the model: elections and attempts of the task.
const modelMaxTokens, modelMaxAttempts = 2, 2

// modelBounds limits how often a machine's lease may expire and how many reports are copied.
type modelBounds struct{ sessions, copies int8 }

// forEachSuccessor calls do with each state that one event can lead to.
func (s modelState) forEachSuccessor(conditions modelConditions, b modelBounds, do func(what string, n modelState)) {
	for i := range s.leaders {
		l := s.leaders[i]
		if s.token < modelMaxTokens { // the lease expires; this controller is elected and reads the record
			n := s
			n.token++
			n.leaders[i] = modelLeader{token: n.token, revision: s.revision, attempt: s.attempt, machine: s.machine}
			n.copy.stale[i] = false // in its new term it has received no messages yet
			do("elected", n)
		}
		if l.token == 0 {
			continue
		}
		n := s
		n.leaders[i] = modelLeader{}
		do("crash", n)
		if l.writing { // no answer: it will write again under the same conditions
			n := s
			n.leaders[i].writing = false
			for k := range n.writes {
				if w := &n.writes[k]; w.exists && w.leader == int8(i) && w.token == l.token {
					w.unawaited = true
				}
			}
			do("no answer", n)
		}
		for k := range s.writes {
			if l.machine < 0 && !l.writing && !s.writes[k].exists && l.attempt < modelMaxAttempts {
				for m := range s.machines {
					if s.machines[m].gone {
						continue
					}
					n := s
					n.writes[k] = modelWrite{exists: true, leader: int8(i), token: l.token, baseRevision: l.revision, attempt: l.attempt + 1, machine: int8(m)}
					n.leaders[i].writing = true
					do("plan", n)
				}
				break
			}
		}
		if l.machine >= 0 && !s.starts[l.machine].exists && (l.ownPlacement || l.token > 0) {
			m := s.machines[l.machine]
			// For a placement by an earlier leader, a start is sent again only to a worker
			// that has seen this leader's token: the worker then rejects older copies.
			if !m.gone && (l.ownPlacement || !conditions.tokenSeen || m.token >= l.token) {
				n := s
				n.starts[l.machine] = modelStart{true, l.token, l.attempt, m.session}
				n.leaders[i].startSent, n.leaders[i].startUncertain = true, true
				do("start", n)
			}
		}
		for m := range s.machines {
			x := s.machines[m]
			if x.gone || x.token > l.token {
				continue // it follows a later leader; this one learns of that and resigns
			}
			// The answer to a report carries the token.
			n := s
			n.machines[m].token = l.token
			if s.copiesMade < b.copies && m == 0 { // the machines are alike
				n := s
				n.copy, n.copiesMade = modelReportCopy{exists: true, machine: int8(m), token: x.token, session: x.session, running: x.running}, s.copiesMade+1
				do("a report is copied", n)
			}
			n.dropOlderCopies(i, m)
			if l.machine == int8(m) && x.running != l.attempt {
				// The report proves that the task isn't there if no start can still arrive,
				// neither from this leader nor from an earlier one: the worker had seen this
				// leader's token before.
				sure := !(l.startUncertain && s.starts[m].exists) && (l.ownPlacement || x.token >= l.token)
				if !conditions.uncertainStart {
					sure = l.ownPlacement || x.token >= l.token
				}
				if !conditions.tokenSeen {
					sure = !(l.startUncertain && s.starts[m].exists)
				}
				if !conditions.absence || sure && (l.startSent || !l.ownPlacement) {
					n.leaders[i].machine, n.leaders[i].ownPlacement, n.leaders[i].startSent, n.leaders[i].startUncertain = -1, false, false, false
				}
			}
			do("report", n)
			n.machines[m].token = x.token
			do("report, its answer lost", n)
			if l.machine == int8(m) { // the cloud answers 200 when the machine is returned
				n := s
				n.machines[m] = modelMachine{gone: true}
				n.starts[m] = modelStart{}
				n.leaders[i].machine, n.leaders[i].ownPlacement, n.leaders[i].startSent, n.leaders[i].startUncertain = -1, false, false, false
				do("return", n)
			}
		}
	}
	for k, w := range s.writes {
		if !w.exists {
			continue
		}
		n := s
		n.writes[k] = modelWrite{}
		do("write lost", n)
		if (!conditions.leader || w.token == s.token) && (!conditions.version || w.baseRevision == s.revision) {
			n.revision, n.attempt, n.machine = s.revision+1, w.attempt, w.machine
			late := n // without an answer: the leader reads the record again, or no longer leads
			if l := &n.leaders[w.leader]; l.token == w.token && !w.unawaited {
				*l = modelLeader{token: l.token, revision: n.revision, attempt: w.attempt, machine: w.machine, ownPlacement: true}
			}
			do("written", n)
			do("written late", late)
		} else if l := &n.leaders[w.leader]; l.token == w.token && !w.unawaited {
			if w.token != s.token && conditions.leader {
				*l = modelLeader{} // it learns that another controller leads
			} else {
				l.writing, l.revision, l.attempt = false, s.revision, max(l.attempt, s.attempt) // it may write again
			}
			do("refused", n)
		}
	}
	if c := s.copy; c.exists {
		n := s
		n.copy = modelReportCopy{}
		do("copy lost", n)
		for i := range s.leaders {
			l := s.leaders[i]
			if l.token == 0 || c.stale[i] || c.token > l.token || l.machine != c.machine || c.running == l.attempt || s.machines[c.machine].gone {
				continue
			}
			// The leader concludes the same as from any report; the worker ignores the answer.
			// The model has no separate case for a placement that one copy shows and the next
			// doesn't: freshReport covers both.
			sure := !(l.startUncertain && s.starts[c.machine].exists) && (l.ownPlacement || c.token >= l.token || !conditions.freshReport)
			if sure && (l.startSent || !l.ownPlacement) {
				n := s
				n.leaders[i].machine, n.leaders[i].ownPlacement, n.leaders[i].startSent, n.leaders[i].startUncertain = -1, false, false, false
				do("copy", n)
			}
		}
	}
	for m := range s.machines {
		x := s.machines[m]
		if x.gone {
			continue
		}
		if c := s.starts[m]; c.exists {
			n := s
			n.starts[m] = modelStart{}
			do("start lost", n)
			if c.token >= x.token && c.session == x.session {
				n.machines[m].token = c.token
				for i := range n.leaders { // the leader that sent the start receives the answer
					if n.leaders[i].token == c.token {
						n.dropOlderCopies(i, m)
					}
				}
				if x.running == 0 && c.attempt > x.newestAttempt {
					n.machines[m].running, n.machines[m].newestAttempt = c.attempt, c.attempt
				}
				do("started", n)
			}
		}
		if x.running > 0 { // the task fails
			n := s
			n.machines[m].running = 0
			do("exit", n)
		}
		if x.session < b.sessions { // the worker's lease expires
			n := s
			n.machines[m] = modelMachine{session: x.session + 1, token: x.token}
			do("lease expires", n)
		}
	}
}

// exploreModel visits up to maxStates states. It returns their number and the first trace to a state
// in which the task runs twice.
func exploreModel(conditions modelConditions, b modelBounds, maxStates int) (states int, trace []string) {
	start := modelState{machine: -1}
	type from struct {
		s    modelState
		what string
	}
	seen := map[modelState]from{start: {}}
	queue := []modelState{start}
	for len(queue) > 0 && len(seen) < maxStates {
		s := queue[0]
		queue = queue[1:]
		var bad *modelState
		s.forEachSuccessor(conditions, b, func(what string, n modelState) {
			if _, ok := seen[n]; ok || bad != nil {
				return
			}
			seen[n] = from{s, what}
			queue = append(queue, n)
			if n.machines[0].running > 0 && n.machines[1].running > 0 {
				bad = &n
			}
		})
		if bad != nil {
			for at := *bad; at != start; at = seen[at].s {
				trace = append([]string{seen[at].what}, trace...)
			}
			return len(seen), trace
		}
	}
	return len(seen), nil
}

// TestModel checks that the task never runs twice in the model, and that it does run twice if
// any of the conditions is disabled.
func TestModel(t *testing.T) {
	t.Parallel()
	all := modelConditions{true, true, true, true, true, true}
	for _, b := range []modelBounds{{1, 0}, {0, 1}} {
		began := time.Now()
		n, trace := exploreModel(all, b, 8_000_000)
		if trace != nil {
			t.Fatalf("%+v: the task runs twice: %v", b, trace)
		}
		t.Logf("%+v: %d states in %v", b, n, time.Since(began).Round(time.Millisecond))
	}
	for _, c := range []struct {
		name    string
		disable func(conditions *modelConditions)
	}{
		{"the leader's key in a write's conditions", func(conditions *modelConditions) { conditions.leader = false }},
		{"the record's version in a write's conditions", func(conditions *modelConditions) { conditions.version = false }},
		{"waiting for a start that may still arrive", func(conditions *modelConditions) { conditions.uncertainStart = false }},
		{"requiring that the worker has seen the leader's token", func(conditions *modelConditions) { conditions.tokenSeen = false }},
		{"proof of absence", func(conditions *modelConditions) { conditions.absence = false }},
		{"dropping reports that may be old copies", func(conditions *modelConditions) { conditions.freshReport = false }},
	} {
		conditions := all
		c.disable(&conditions)
		b := modelBounds{1, 0}
		if !conditions.freshReport {
			b = modelBounds{0, 1}
		}
		n, trace := exploreModel(conditions, b, 3_000_000)
		if trace == nil {
			t.Errorf("without %s the task never runs twice in %d states", c.name, n)
		}
		t.Logf("without %s: after %d states %v", c.name, n, trace)
	}
}
