package node

import (
	"time"

	"brooklb/internal/httpx"
	"brooklb/internal/wire"
)

// seekingFor is how long a worker that came here in vain counts: it asks the
// leader meanwhile, gives up after 4 s, and comes to another of us a second later.
const seekingFor = 8 * time.Second

// noteSeeker notes a worker that came here. One that has never seen a token is new
// and asks anywhere; what waited while we were paused was sent long ago.
func (n *Node) noteSeeker(report []byte) {
	if host, _, token := wire.ReportHead(report); host != "" && token > 0 && n.env.Now()-n.woke > time.Second {
		n.seekers[host] = n.env.Now()
	}
}

// seeking is how many workers lately came here looking for the leader.
func (n *Node) seeking() int {
	for host, at := range n.seekers {
		if n.env.Now()-at > seekingFor {
			delete(n.seekers, host)
		}
	}
	return len(n.seekers)
}

func (n *Node) report(r *httpx.Request, reply func(httpx.Response)) {
	if r.Method != "POST" {
		reply(httpx.Response{Status: 405, Body: wire.Error("POST only")})
		return
	}
	switch to, kind := n.routeReport(r.Body); kind {
	case answerHere:
		n.answerReport(r.Body, reply)
	case passOn:
		n.forwarder.Report(r.Body, reply)
	default:
		reply(httpx.Response{Status: 421, Body: wire.ReportsTo(to)})
	}
}

// leaderLabel is the leader as far as known, "" if it isn't.
func (n *Node) leaderLabel() string {
	label := n.elect.Leader()
	if label == n.set.Label || n.env.Now()-n.store.Contact() > 4*time.Second {
		label = "" // not ready yet, or what we know may be old
	}
	if label == "" {
		label = n.peers.Leader()
	}
	return label
}

// answerReport is the leader's answer to a report that came straight to it.
func (n *Node) answerReport(body []byte, reply func(httpx.Response)) {
	n.answerReportVia("", body, reply)
}

// answerReportVia is the leader's answer to a report that came by way of a controller, "":
// straight.
func (n *Node) answerReportVia(via string, body []byte, reply func(httpx.Response)) {
	t := n.term
	if t == nil { // it led when the report was routed
		reply(httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("no longer leading")})
		return
	}
	if !t.mayAnswerWorkers() {
		// Another may lead by now, and a job may have been cancelled that we
		// don't know of: the workers' leases must be allowed to run out.
		if t.sentAway == 0 {
			t.sentAway = n.env.Now()
		}
		reply(httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("not sure to lead")})
		return
	}
	if !n.elect.HasProof() {
		t.unproven++
	}
	rep, err := wire.DecodeReport(body)
	if err != nil {
		n.env.Log().Error("bad report", "err", err)
		reply(httpx.Response{Status: 400, Body: wire.Error(err.Error())})
		return
	}
	orders := t.workers.ReportVia(via, rep)
	if n.term != t { // a higher token was seen
		reply(httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("no longer leading")})
		return
	}
	reply(httpx.Response{Status: 200, Body: wire.ReportAnswer(t.token, orders)})
}

// proof logs when the state service no longer proves that this node leads, and when it does
// again: meanwhile it starts nothing, and answers workers until its hold is over.
func (t *term) proof() {
	now := t.n.env.Now()
	switch sure := t.n.elect.HasProof(); {
	case !sure && t.unsure == 0:
		t.unsure = now
		t.n.env.Log().Info("no fresh proof of leading, nothing is started", "token", t.token, "hold_s", tenth(t.n.hold.Seconds()))
	case sure && t.unsure > 0:
		t.n.env.Log().Info("leading is proven again", "token", t.token, "after_s", tenth((now - t.unsure).Seconds()), "reports_answered", t.unproven)
		t.unsure, t.unproven = 0, 0
	}
}

// workersBack logs once how long the workers took to find this node.
func (t *term) workersBack() {
	if t.back {
		return
	}
	all, heard := t.workersHeard(time.Hour)
	if all > 0 && 10*heard >= 9*all {
		t.back = true
		t.n.env.Log().Info("workers found this node", "after_s", tenth((t.n.env.Now() - t.workers.Began()).Seconds()), "workers", all)
	}
}

// workersHeard counts the machines that should report, and those that did within
// the span.
func (t *term) workersHeard(span time.Duration) (all, heard int) {
	now := t.n.env.Now()
	for _, m := range t.led.Sorted() {
		if m.Leaving || (!m.Heard && len(m.P) == 0 && m.Listed != "running") {
			continue
		}
		all++
		if m.Heard && now-m.LastHeard < span {
			heard++
		}
	}
	return all, heard
}

const (
	// yieldFor is how long a leader that hears no workers leaves it to others
	// the first time.
	yieldFor = 8 * time.Second
	// Of fewer workers nothing is concluded.
	fewWorkers = 3
)

// deaf reports whether most workers don't reach this node, although it reaches
// the state service: a cut between it and them. Their leases would run out
// with all their tasks while another node may well hear them.
//
// The others say whether workers come to them looking for the leader. If none
// do, the workers are dead, hanging or cut off by themselves, and giving way
// helps nobody: two leaders in turn gave way to machines that had lost their
// network, and each takeover cost seconds (lumiar ops, inc-c203). Only while a
// peer is not heard either must it be tried; each time in vain the next term
// then lasts longer, since some leader has to lead long enough to prove that
// silent workers' tasks are gone.
func (t *term) deaf() bool {
	n := t.n
	if !n.elect.HasProof() {
		// Nobody can be elected while the state service is down, and if it refuses us
		// alone our lease is gone in any case.
		return false
	}
	report := seconds(n.set.Facts.Workers.ReportS)
	now := n.env.Now()
	// After a change of leader, workers need a failed report (4 s), a pause and
	// a redirection to get here.
	led := now - t.workers.Began()
	if led < 8*time.Second+report {
		return false
	}
	all, lately := t.workersHeard(3*report/2 + time.Second)
	_, heard := t.workersHeard(5 * report / 2)
	if all >= fewWorkers && heard*5 >= all*3 {
		n.yields = 0
	}
	if all < fewWorkers || lately*5 >= all*2 {
		return false
	}
	elsewhere, everybody := n.peers.Workers()
	if elsewhere >= fewWorkers && 2*elsewhere >= all-lately ||
		!everybody && heard*5 < all*2 && led >= (8*time.Second+report)<<min(n.yields, 5) {
		n.env.Log().Info("most workers don't reach this node", "workers", all, "heard", lately, "at_others", elsewhere, "all_peers_heard", everybody)
		return true
	}
	return false
}
