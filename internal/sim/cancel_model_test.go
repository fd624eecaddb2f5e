package sim

import (
	"testing"
	"time"
)

// This file models a cancellation and its deadline in steps of time. It has the leader to which
// the task's worker reports, a leader that may be elected after it, another node through which
// the user cancels, and the state service, which serves all, refuses the leader, or is down for
// all. The machine may hang at any time. It may be unable to reach a controller while commands
// still reach it.

// Times in steps. A lease runs from the time when the report was sent. The hold is how long a
// leader answers workers without a fresh proof that it leads. The hold and the lease together
// must fit into the time for a cancellation: a task that runs more than cancelModelDeadline steps
// after the confirmation has run for at least one step too long.
const (
	cancelModelLease, cancelModelHold = 3, 2
	cancelModelDeadline               = cancelModelLease + cancelModelHold - 1
	// How long a worker waits for the answer to a report.
	cancelModelReportTimeout = 1
)

// cancelModelVariant selects what the model has besides the first leader.
type cancelModelVariant uint8

const (
	variantNextLeader cancelModelVariant = iota // a next leader
	variantPeers                                // the answers of the other controllers to the first leader
	variantForwarder                            // a controller that forwards the worker's reports, and a next leader
)

// cancelModelReport is a report that a controller forwards to the leader.
type cancelModelReport struct {
	sentAgo  int8 // steps since the worker sent it, -1: there is no report
	answered bool // the leader has answered, and the answer is in flight
	stop     bool // the answer orders the worker to stop the task
	leader   int8 // the leader that answered
}

// cancelModelLeader is the state of a leader. Ages count steps.
type cancelModelLeader struct {
	leads             bool
	knowsCancellation bool
	proofAge          int8 // since it sent the question whose answer proved that it leads
	questionAge       int8 // since it sent a question that has no answer yet, -1: none
	// Whether the question was sent after the cancellation, so that its answer includes it.
	askedAfterCancellation bool
	peerProofAge           int8 // since it sent the question by whose answers it knows of all cancellations
	peerQuestionAge        int8 // since it sent a question to the other controllers, -1: none in flight
	peerAnswerKnows        bool // the answer to it includes the cancellation
	peerAnswered           bool // the others have answered, and the answer is in flight
}

// cancelModelState is a state of the whole model.
type cancelModelState struct {
	service      int8 // 0 serves all, 1 refuses the first leader, 2 is down
	confirmedAgo int8 // steps since the user got the confirmation, -1: not yet
	nextElected  bool
	running      bool
	hung         bool // the machine hangs: its task makes no progress and doesn't end until it resumes
	lease        int8 // steps left
	token        int8 // the highest that the worker has seen
	leaders      [2]cancelModelLeader
	peerCut      bool // the other node is cut from the leaders
	report       cancelModelReport
}

// cancelModelConditions are the protocol's conditions. The test disables them one by one.
type cancelModelConditions struct {
	hold                  int8 // how long a leader answers without a fresh proof
	proofFromQuestion     bool // a proof counts from when its question was sent
	stopCommands          bool // a leader that knows of the cancellation stops the task
	peerProofFromQuestion bool // an answer of the others counts from when its question was sent
	learnFromPeers        bool // the leader learns the cancellations that the others know
	allPeers              bool // all others have to answer
	leaseCheckOnResume    bool // a machine that resumes checks its lease first
	forwardAll            bool // a controller that doesn't lead answers no report itself
	leaseFromSent         bool // a lease counts from when the report was sent, not from when its answer arrives
}

// forEachForwarding calls do with each state that the forwarding of a report can lead to.
func (s cancelModelState) forEachForwarding(conditions cancelModelConditions, do func(what string, n cancelModelState)) {
	r := s.report
	if r.sentAgo < 0 {
		if !s.hung {
			n := s
			n.report = cancelModelReport{}
			do("sends a report", n)
		}
		return
	}
	n := s
	n.report = cancelModelReport{sentAgo: -1}
	do("the report or its answer is lost", n)
	if !r.answered {
		for i, l := range s.leaders {
			if l.leads && min(l.proofAge, l.peerProofAge) <= conditions.hold {
				n := s
				n.report.answered, n.report.stop, n.report.leader = true, l.knowsCancellation && conditions.stopCommands, int8(i)
				do("a leader answers the forwarded report", n)
			}
		}
		if !conditions.forwardAll {
			n := s
			n.report.answered, n.report.leader = true, s.token
			do("the forwarding controller itself answers", n)
		}
		return
	}
	if s.hung || r.sentAgo > cancelModelReportTimeout || r.leader < s.token {
		return // the worker drops the answer
	}
	n.token, n.lease = r.leader, cancelModelLease-r.sentAgo
	if !conditions.leaseFromSent {
		n.lease = cancelModelLease
	}
	if r.stop {
		n.running = false
	}
	do("the worker gets the answer", n)
}

// forEachSuccessor calls do with each state that one event can lead to.
func (s cancelModelState) forEachSuccessor(conditions cancelModelConditions, v cancelModelVariant, do func(what string, n cancelModelState)) {
	peers := v == variantPeers
	if v == variantForwarder {
		s.forEachForwarding(conditions, do)
	}
	for v := range int8(3) {
		if v != s.service {
			n := s
			n.service = v
			do([]string{"serves all", "refuses the leader", "down"}[v], n)
		}
	}
	n := s
	n.hung = !s.hung
	if s.hung && s.lease == 0 && conditions.leaseCheckOnResume {
		n.running = false
	}
	do(map[bool]string{false: "hangs", true: "resumes"}[s.hung], n)
	n = s
	if peers {
		n.peerCut = !s.peerCut
		do("cut between the nodes", n)
	}
	if s.confirmedAgo < 0 && s.service < 2 { // through the node that doesn't lead
		n := s
		n.confirmedAgo = 0
		do("the user gets the confirmation", n)
	}
	if !s.nextElected && s.service < 2 && s.leaders[0].proofAge > 0 {
		n := s
		n.nextElected = true
		n.leaders[1] = cancelModelLeader{leads: !peers, knowsCancellation: s.confirmedAgo >= 0, questionAge: -1, peerProofAge: 100, peerQuestionAge: -1}
		do("another is elected", n)
	}
	for i := range s.leaders {
		l := s.leaders[i]
		if !l.leads {
			continue
		}
		n := s
		n.leaders[i].leads = false
		do("a leader learns of another, or ends", n)
		serves := s.service == 0 || s.service == 1 && i == 1
		if l.questionAge < 0 && serves && (i == 1 || !s.nextElected) {
			n := s
			n.leaders[i].questionAge, n.leaders[i].askedAfterCancellation = 0, s.confirmedAgo >= 0
			do("asks whether it leads", n)
		}
		if l.questionAge > 0 && i == 1 {
			continue // its answers come within the step; only the first leader's are delayed
		}
		if l.questionAge >= 0 { // the answer may come late, when the service is in another state
			n := s
			x := &n.leaders[i]
			x.proofAge, x.knowsCancellation, x.questionAge = l.questionAge, l.knowsCancellation || l.askedAfterCancellation, -1
			if !conditions.proofFromQuestion {
				x.proofAge = 0
			}
			do("proof", n)
			n.leaders[i] = l
			n.leaders[i].questionAge = -1
			do("proof lost", n)
		}
		if peers && l.peerQuestionAge < 0 && !s.peerCut {
			n := s
			n.leaders[i].peerQuestionAge, n.leaders[i].peerAnswered = 0, false
			do("asks the others", n)
		}
		if l.peerQuestionAge >= 0 && !l.peerAnswered && (!s.peerCut || !conditions.allPeers) && (i == 1 || !s.nextElected) {
			n := s
			n.leaders[i].peerAnswered, n.leaders[i].peerAnswerKnows = true, s.confirmedAgo >= 0 && !s.peerCut
			do("the others answer", n)
		}
		if l.peerQuestionAge >= 0 && l.peerAnswered {
			n := s
			x := &n.leaders[i]
			x.peerProofAge, x.peerQuestionAge, x.peerAnswered = l.peerQuestionAge, -1, false
			x.knowsCancellation = l.knowsCancellation || l.peerAnswerKnows && conditions.learnFromPeers
			if !conditions.peerProofFromQuestion {
				x.peerProofAge = 0
			}
			do("receives the others' answer", n)
		}
		if !s.hung && l.knowsCancellation && conditions.stopCommands && int8(i) >= s.token { // a worker that reaches no controller receives it, too
			n := s
			n.running, n.token = false, int8(i)
			do("a command to stop", n)
		}
		if v != variantForwarder && !s.hung && min(l.proofAge, l.peerProofAge) <= conditions.hold && int8(i) >= s.token { // the leader may answer a report
			n := s
			n.lease, n.token = cancelModelLease, int8(i)
			if l.knowsCancellation && conditions.stopCommands {
				n.running = false
			}
			do([]string{"answers a report", "the next answers a report"}[i], n)
		}
	}
	n = s
	if n.report.sentAgo >= 0 {
		if n.report.sentAgo++; n.report.sentAgo > cancelModelReportTimeout+1 {
			n.report = cancelModelReport{sentAgo: -1}
		}
	}
	if n.confirmedAgo >= 0 {
		n.confirmedAgo = min(n.confirmedAgo+1, cancelModelDeadline+1)
	}
	for i := range n.leaders {
		l := &n.leaders[i]
		l.proofAge, l.peerProofAge = min(l.proofAge+1, 100), min(l.peerProofAge+1, 100)
		if l.proofAge > conditions.hold {
			l.proofAge = 100
		}
		if l.peerProofAge > conditions.hold {
			l.peerProofAge = 100
		}
		if l.questionAge >= 0 {
			if l.questionAge++; l.questionAge > 2 {
				l.questionAge = -1 // it gives up waiting
			}
		}
		if l.peerQuestionAge >= 0 {
			if l.peerQuestionAge++; l.peerQuestionAge > 2 {
				l.peerQuestionAge = -1
			}
		}
	}
	if n.lease--; n.lease <= 0 {
		n.lease, n.running = 0, n.running && n.hung
	}
	do("a step", n)
}

// exploreCancelModel visits up to maxStates states of a variant. It returns their number and the first
// trace to a state in which the task has run past the deadline of its cancellation.
func exploreCancelModel(conditions cancelModelConditions, v cancelModelVariant, maxStates int) (states int, trace []string) {
	start := cancelModelState{running: true, lease: cancelModelLease, confirmedAgo: -1, report: cancelModelReport{sentAgo: -1}}
	start.leaders[0] = cancelModelLeader{leads: true, questionAge: -1, peerProofAge: 100, peerQuestionAge: -1}
	type from struct {
		s    cancelModelState
		what string
	}
	seen := map[cancelModelState]from{start: {}}
	for queue := []cancelModelState{start}; len(queue) > 0 && len(seen) < maxStates; queue = queue[1:] {
		s := queue[0]
		if !s.running {
			continue
		}
		var bad *cancelModelState
		s.forEachSuccessor(conditions, v, func(what string, n cancelModelState) {
			if _, ok := seen[n]; ok || bad != nil {
				return
			}
			seen[n] = from{s, what}
			queue = append(queue, n)
			if n.running && !n.hung && n.confirmedAgo > cancelModelDeadline {
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

// TestCancelModel checks that a task in the model ends before the deadline of its confirmed
// cancellation, for all answers of the state service and the other nodes and at all times, and
// that it runs longer if any of the conditions is disabled.
func TestCancelModel(t *testing.T) {
	all := cancelModelConditions{hold: cancelModelHold, proofFromQuestion: true, stopCommands: true, peerProofFromQuestion: true, learnFromPeers: true, allPeers: true, leaseCheckOnResume: true, forwardAll: true, leaseFromSent: true}
	const maxStates = 4_000_000
	for _, v := range []cancelModelVariant{variantNextLeader, variantPeers, variantForwarder} {
		began := time.Now()
		n, trace := exploreCancelModel(all, v, maxStates)
		if trace != nil || n >= maxStates {
			t.Fatalf("variant %d, %d states: the task runs past the deadline of its cancellation: %v", v, n, trace)
		}
		t.Logf("variant %d: %d states in %v", v, n, time.Since(began).Round(time.Millisecond))
	}
	for _, c := range []struct {
		name    string
		variant cancelModelVariant
		disable func(conditions *cancelModelConditions)
	}{
		{"the end of the hold", variantNextLeader, func(conditions *cancelModelConditions) { conditions.hold = 50 }},
		{"a hold that fits into the deadline", variantNextLeader, func(conditions *cancelModelConditions) { conditions.hold++ }},
		{"counting a proof from its question", variantNextLeader, func(conditions *cancelModelConditions) { conditions.proofFromQuestion = false }},
		{"commands to stop", variantNextLeader, func(conditions *cancelModelConditions) { conditions.stopCommands = false }},
		{"counting the others' answers from the question", variantPeers, func(conditions *cancelModelConditions) { conditions.peerProofFromQuestion = false }},
		{"learning what the others know", variantPeers, func(conditions *cancelModelConditions) { conditions.learnFromPeers = false }},
		{"a lease check when a machine resumes", variantNextLeader, func(conditions *cancelModelConditions) { conditions.leaseCheckOnResume = false }},
		{"requiring the answers of all others", variantPeers, func(conditions *cancelModelConditions) { conditions.allPeers = false }},
		{"forwarding every report", variantForwarder, func(conditions *cancelModelConditions) { conditions.forwardAll = false }},
		{"counting a lease from when the report was sent", variantForwarder, func(conditions *cancelModelConditions) { conditions.leaseFromSent = false }},
		{"a hold that fits into the deadline, with forwarding", variantForwarder, func(conditions *cancelModelConditions) { conditions.hold++ }},
		{"counting a proof from its question, with forwarding", variantForwarder, func(conditions *cancelModelConditions) { conditions.proofFromQuestion = false }},
		{"commands to stop, with forwarding", variantForwarder, func(conditions *cancelModelConditions) { conditions.stopCommands = false }},
		{"a lease check when a machine resumes, with forwarding", variantForwarder, func(conditions *cancelModelConditions) { conditions.leaseCheckOnResume = false }},
	} {
		conditions := all
		c.disable(&conditions)
		n, trace := exploreCancelModel(conditions, c.variant, maxStates)
		if trace == nil {
			t.Errorf("without %s the task always ends in time in %d states", c.name, n)
		}
		t.Logf("without %s: after %d states %v", c.name, n, trace)
	}
}
