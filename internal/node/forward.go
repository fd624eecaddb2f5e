package node

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/forward"
	"brooklb/internal/httpx"
	"brooklb/internal/peer"
	"brooklb/internal/settings"
	"brooklb/internal/wire"
)

// All controllers take workers' reports where the leader alone would run out of sockets or of
// processor time (package forward). The leader decides this by the size of the fleet and the
// limits of a controller in the settings, and announces it in its status.

const (
	// A leader keeps a socket for each worker's reports and one for its orders.
	socketsPerWorker = 2
	// spreadSocketsFraction is the part of a controller's sockets above which reports are
	// spread over all controllers.
	spreadSocketsFraction = 0.9
	// reportCost is the time of a whole core that a report takes a controller. All reports
	// together may take at most spreadCPUFraction of its processor share.
	reportCost        = 150 * time.Microsecond
	spreadCPUFraction = 0.25
	// The leader takes all reports alone again when the fleet has shrunk below this part of the
	// size at which reports are spread.
	gatherFraction = 0.6
	// A new leader doesn't know all machines immediately, so it doesn't take all reports alone
	// before this time.
	gatherAfter = time.Minute
	// A worker that reports to the leader counts as this many, because the leader has other
	// work.
	leaderWeight = 2
	// Each second, a leader redirects moveFraction of its surplus of workers, and at least
	// minMovesPerSecond workers.
	moveFraction, minMovesPerSecond = 0.2, 5
	// reporterWindowReports is for how many report intervals after its last report a worker
	// counts as reporting to this node.
	reporterWindowReports = 3
)

func reporterWindow(reportS float64) time.Duration { return seconds(reporterWindowReports * reportS) }

// reportRoute is what a node does with a report.
type reportRoute uint8

const (
	answerHere      reportRoute = iota // this node leads
	forwardToLeader                    // another node leads, and all nodes take reports
	redirect                           // the worker has to report to another node
)

// routeReport decides what to do with a worker's report. to is the node to which the worker is
// redirected, "" if that isn't known.
func (n *Node) routeReport(report []byte) (to string, route reportRoute) {
	if !n.spread {
		if n.term != nil {
			return "", answerHere
		}
		n.noteSeekingWorker(report)
		return n.leaderLabel(), redirect
	}
	host, zone, _ := wire.ReportHead(report)
	if n.term != nil {
		if to := n.term.moveTarget(host, zone, len(report)); to != "" {
			n.reporters.Remove(host)
			return to, redirect
		}
		n.reporters.Add(host, n.env.Now())
		return "", answerHere
	}
	if len(report) > forward.MaxReportBytes {
		return n.leaderLabel(), redirect
	}
	if own := n.reporters.Count(n.env.Now()); !n.reporters.Has(host) {
		all := n.listReceivers()
		if to := forward.ChooseReceiver(all, zone); forward.Overloaded(own, all) && to != "" && to != n.settings.Label {
			return to, redirect
		}
	}
	n.reporters.Add(host, n.env.Now())
	return "", forwardToLeader
}

// listReceivers lists the controllers that take reports, this one first.
func (n *Node) listReceivers() []forward.Receiver {
	all := []forward.Receiver{receiver(n.settings.Label, n.settings.Location, n.reporters.Count(n.env.Now()), n.term != nil)}
	n.peers.ForEachRecent(func(p settings.Peer, s *peer.Status) {
		if s.ForwardVersion >= forward.Version {
			all = append(all, receiver(p.Label, p.Location, int(s.ReportingWorkers), s.Leading))
		}
	})
	return all
}

func receiver(label, zone string, workers int, leads bool) forward.Receiver {
	if leads {
		workers *= leaderWeight
	}
	return forward.Receiver{Label: label, Zone: zone, Workers: workers}
}

// leaderEndpoint is the address to which reports are forwarded, "" if this node leads or no
// leader is known.
func (n *Node) leaderEndpoint() string {
	if n.term != nil {
		return ""
	}
	return n.peers.Endpoint(n.leaderLabel())
}

// fillForwarding sets the fields about forwarded reports in a status.
func (n *Node) fillForwarding(st *peer.Status) {
	st.ForwardVersion, st.ReportingWorkers = forward.Version, uint64(n.reporters.Count(n.env.Now()))
	st.SpreadReports = n.term != nil && n.spread
}

// onPeerForwarding processes what a peer's status says about forwarded reports.
func (n *Node) onPeerForwarding(s *peer.Status) {
	if t := n.term; t != nil {
		delete(t.moved, s.Label)
		return
	}
	if s.Leading && s.Token >= n.spreadToken {
		n.spreadToken = s.Token
		n.spread = s.SpreadReports && s.ForwardVersion >= forward.Version
	}
}

// notForwardedLogEvery is the least time between log messages about reports that could not be
// forwarded.
const notForwardedLogEvery = 15 * time.Second

// onNotForwarded is called for each report that could not be forwarded to the leader.
func (n *Node) onNotForwarded(report []byte) {
	n.noteSeekingWorker(report)
	n.notForwarded++
	if now := n.env.Now(); now-n.notForwardedLoggedAt >= notForwardedLogEvery {
		n.env.Log().Info("reports could not be forwarded to the leader", "leader", n.leaderLabel(), "refused", n.notForwarded)
		n.notForwarded, n.notForwardedLoggedAt = 0, now
	}
}

// serveForwarding answers the reports that other controllers forward, and sends workers the
// orders that a leader sends through this node. It returns false for other paths.
func (n *Node) serveForwarding(r *httpx.Request, reply func(httpx.Response)) bool {
	switch {
	case r.Method != "POST":
		return false
	case r.Path == forward.ReportsPath:
		n.serveForwardedReports(r.Body, reply)
	case r.Path == forward.OrdersPath:
		if err := n.forwarder.HandleOrders(r.Body); err != nil {
			n.rejectMessage(err, reply)
			return true
		}
		reply(httpx.Response{Status: 200, Type: forward.ContentType})
	default:
		return false
	}
	return true
}

func (n *Node) rejectMessage(err error, reply func(httpx.Response)) {
	n.env.Log().Error("invalid message from a peer", "err", err)
	reply(httpx.Response{Status: 400})
}

// serveForwardedReports answers a batch of reports from another controller.
func (n *Node) serveForwardedReports(body []byte, reply func(httpx.Response)) {
	batch, err := forward.DecodeBatch(body)
	if err != nil {
		n.rejectMessage(err, reply)
		return
	}
	if n.term == nil {
		reply(httpx.Response{Status: 200, Type: forward.ContentType, Body: forward.EncodeAnswers(false, nil)})
		return
	}
	n.term.sender.HandleResults(batch.Results)
	answers := make([]forward.Answer, 0, len(batch.Reports))
	for _, x := range batch.Reports {
		n.answerReportVia(batch.From, x.Body, func(resp httpx.Response) {
			answers = append(answers, forward.Answer{ID: x.ID, Status: resp.Status, RetryAfter: resp.RetryAfter, Body: resp.Body})
		})
	}
	reply(httpx.Response{Status: 200, Type: forward.ContentType, Body: forward.EncodeAnswers(true, answers)})
}

// send sends a call to a worker through the controller via, or directly if via is empty or not
// a peer.
func (t *term) send(via string, c actor.Call) {
	c.DisableKeepAlive = t.node.spread // sockets are scarce then
	if addr := t.node.peers.Endpoint(via); addr != "" {
		t.sender.Send(addr, c)
		return
	}
	t.node.env.Call(c)
}

// decideSpread decides whether all controllers take reports.
func (t *term) decideSpread() {
	size := float64(len(t.ledger.MachinesByName()))
	if t.node.spread {
		size /= gatherFraction
	}
	need := t.node.spreadNeeded(size)
	if need == t.node.spread || !need && t.node.env.Now()-t.workers.Began() < gatherAfter {
		return
	}
	t.node.spread = need
	t.node.env.Log().Info("workers' reports", "taken_by_all_controllers", need, "machines", len(t.ledger.MachinesByName()))
}

// spreadNeeded reports whether this number of machines is more than one controller can serve.
func (n *Node) spreadNeeded(machines float64) bool {
	f := &n.settings.Facts
	if len(n.settings.Peers) == 0 {
		return false
	}
	if f.Limits.Sockets > 0 && socketsPerWorker*machines > spreadSocketsFraction*float64(f.Limits.Sockets) {
		return true
	}
	cores := machines / f.Workers.ReportS * reportCost.Seconds()
	return f.Limits.CPUShare > 0 && cores > spreadCPUFraction*f.Limits.CPUShare
}

// moveTarget is the controller to which the leader redirects a worker that reports to it, "" if
// the worker stays. The surplus of workers is redirected over several seconds.
func (t *term) moveTarget(host, zone string, size int) string {
	n := t.node
	if size > forward.MaxReportBytes {
		return ""
	}
	now := n.env.Now()
	all := n.listReceivers()
	for i := range all {
		all[i].Workers += t.moved[all[i].Label]
	}
	own, sum := all[0].Workers, 0
	for _, r := range all {
		sum += r.Workers
	}
	surplus := float64(own) - float64(sum)/float64(len(all))
	rate := max(minMovesPerSecond, moveFraction*surplus)
	t.moveAllowance = min(rate, t.moveAllowance+rate*(now-t.moveAllowanceAt).Seconds())
	t.moveAllowanceAt = now
	if surplus < 1 || t.moveAllowance < 1 {
		return ""
	}
	to := forward.ChooseReceiver(all, zone)
	if to == "" {
		return ""
	}
	t.moveAllowance--
	t.moved[to]++
	return to
}
