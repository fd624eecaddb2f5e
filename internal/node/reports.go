package node

import (
	"time"

	"brooklb/internal/httpx"
	"brooklb/internal/wire"
)

// seekingWindow is how long a worker counts as looking for the leader after its report here has
// not reached the leader. In that time it reports to the leader that the answer names, gives up
// after 4 s, and reports to another node a second later.
const seekingWindow = 8 * time.Second

// noteSeekingWorker records a worker that reported here while looking for the leader. It
// ignores workers that have never seen a token, because new workers ask any node, and reports
// that were queued while this process was paused, because they are old.
func (n *Node) noteSeekingWorker(report []byte) {
	if host, _, token := wire.ReportHead(report); host != "" && token > 0 && n.env.Now()-n.resumedAt > time.Second {
		n.seekingLeader[host] = n.env.Now()
	}
}

// workersSeekingLeader is how many workers recently reported here while looking for the leader.
func (n *Node) workersSeekingLeader() int {
	for host, at := range n.seekingLeader {
		if n.env.Now()-at > seekingWindow {
			delete(n.seekingLeader, host)
		}
	}
	return len(n.seekingLeader)
}

func (n *Node) report(r *httpx.Request, reply func(httpx.Response)) {
	if r.Method != "POST" {
		reply(httpx.Response{Status: 405, Body: wire.Error("POST only")})
		return
	}
	switch to, kind := n.routeReport(r.Body); kind {
	case answerHere:
		n.answerReport(r.Body, reply)
	case forwardToLeader:
		n.forwarder.Report(r.Body, reply)
	default:
		reply(httpx.Response{Status: 421, Body: wire.ReportsTo(to)})
	}
}

// leaderLabel is the label of the leader, "" if it isn't known.
func (n *Node) leaderLabel() string {
	label := n.election.Leader()
	if label == n.settings.Label || n.env.Now()-n.store.LastContact() > 4*time.Second {
		label = "" // this node is not ready to lead yet, or its replica may be outdated
	}
	if label == "" {
		label = n.peers.Leader()
	}
	return label
}

// answerReport answers, as the leader, a report that came directly from its worker.
func (n *Node) answerReport(body []byte, reply func(httpx.Response)) {
	n.answerReportVia("", body, reply)
}

// answerReportVia answers, as the leader, a report that came through the controller via, or
// directly if via is empty.
func (n *Node) answerReportVia(via string, body []byte, reply func(httpx.Response)) {
	t := n.term
	if t == nil { // this node led when the report was routed
		reply(httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("no longer leading")})
		return
	}
	if !t.mayAnswerWorkers() {
		// Another node may lead by now, and a user may have cancelled a job without this
		// node's knowledge: the workers' leases must be allowed to expire.
		if t.refusingSince == 0 {
			t.refusingSince = n.env.Now()
		}
		reply(httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("not sure to lead")})
		return
	}
	if !n.election.HasProof() {
		t.unprovenReports++
	}
	rep, err := wire.DecodeReport(body)
	if err != nil {
		n.env.Log().Error("invalid report from a worker", "err", err)
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

// logProof logs when the state service no longer proves that this node leads, and when it does
// again. In between, the node starts nothing and answers workers only while mayAnswerWorkers
// allows it.
func (t *term) logProof() {
	now := t.node.env.Now()
	switch proven := t.node.election.HasProof(); {
	case !proven && t.unprovenSince == 0:
		t.unprovenSince = now
		t.node.env.Log().Info("no fresh proof of leading, nothing is started", "token", t.token, "hold_s", roundToTenth(t.node.hold.Seconds()))
	case proven && t.unprovenSince > 0:
		t.node.env.Log().Info("leading is proven again", "token", t.token, "after_s", roundToTenth((now - t.unprovenSince).Seconds()), "reports_answered", t.unprovenReports)
		t.unprovenSince, t.unprovenReports = 0, 0
	}
}

// logWorkersBack logs once how long it took until nine in ten workers had reported to this
// node.
func (t *term) logWorkersBack() {
	if t.workersBackLogged {
		return
	}
	all, reported := t.workersReporting(time.Hour)
	if all > 0 && 10*reported >= 9*all {
		t.workersBackLogged = true
		t.node.env.Log().Info("most workers have reported to this node", "after_s", roundToTenth((t.node.env.Now() - t.workers.Began()).Seconds()), "workers", all)
	}
}

// workersReporting counts the machines that should report, and those that did within the span.
func (t *term) workersReporting(span time.Duration) (all, reported int) {
	now := t.node.env.Now()
	for _, m := range t.ledger.MachinesByName() {
		if m.Leaving || (!m.Reported && len(m.Placements) == 0 && m.ListedState != "running") {
			continue
		}
		all++
		if m.Reported && now-m.LastReport < span {
			reported++
		}
	}
	return all, reported
}

const (
	// A leader that most workers don't reach yields to other nodes for yieldFor, doubled for
	// each yield in a row, the first one included.
	yieldFor = 8 * time.Second
	// Nothing is concluded from fewer workers than this.
	minWorkersToJudge = 3
)

// workersUnreachable reports whether most workers don't reach this node, although it reaches
// the state service. A network partition between it and the workers does that. Their leases
// would expire with all their tasks, while another node may still get their reports.
//
// The peers report how many workers come to them looking for the leader. If none do, the
// workers are dead, hanging or cut off themselves, and yielding does not help: two leaders in
// turn yielded because of machines that had lost their network, and each takeover cost seconds.
// Without such workers at the peers, the leader yields only if some peer is silent, too. Each
// yield that doesn't help makes the next term last longer, since some leader has to lead long
// enough to prove that silent workers' tasks are gone.
func (t *term) workersUnreachable() bool {
	n := t.node
	if !n.election.HasProof() {
		// No node can be elected while the state service is down, and if only this node can't
		// reach it, this node loses its lease anyway.
		return false
	}
	reportEvery := seconds(n.settings.Facts.Workers.ReportS)
	now := n.env.Now()
	// After a change of leader, a worker reaches this node only after a failed report (4 s), a
	// pause and a redirection.
	leadingFor := now - t.workers.Began()
	if leadingFor < 8*time.Second+reportEvery {
		return false
	}
	all, reportedRecently := t.workersReporting(3*reportEvery/2 + time.Second)
	_, reported := t.workersReporting(5 * reportEvery / 2)
	if all >= minWorkersToJudge && reported*5 >= all*3 {
		n.yields = 0
	}
	if all < minWorkersToJudge || reportedRecently*5 >= all*2 {
		return false
	}
	seekingAtPeers, allPeersRecent := n.peers.SeekingWorkers()
	if seekingAtPeers >= minWorkersToJudge && 2*seekingAtPeers >= all-reportedRecently ||
		!allPeersRecent && reported*5 < all*2 && leadingFor >= (8*time.Second+reportEvery)<<min(n.yields, 5) {
		n.env.Log().Info("most workers don't reach this node", "workers", all, "heard", reportedRecently, "at_others", seekingAtPeers, "all_peers_heard", allPeersRecent)
		return true
	}
	return false
}
