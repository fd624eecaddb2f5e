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

// All controllers take workers' reports where one alone would run out of sockets or of
// processor time (package forward). The leader decides by the size of the fleet and by what
// the settings give a controller, and says so in its status.

const (
	// A leader keeps a socket for each worker's reports and one for its orders.
	socketsPerWorker = 2
	// spreadSockets is the part of a controller's sockets beyond which reports are spread.
	spreadSockets = 0.9
	// A report takes a controller so long of a whole core, and all of them at most this
	// part of its share.
	reportCost  = 150 * time.Microsecond
	spreadShare = 0.25
	// Once spread, reports are taken by the leader alone again below this part of the size
	// at which they were spread.
	gatherPart = 0.6
	// A new leader doesn't know all machines at once: it gathers no reports before.
	gatherAfter = time.Minute
	// A worker that reports to the leader itself counts so often: the leader has other
	// work.
	leaderWeight = 2
	// A leader sends this part of its surplus of workers away each second, and so many at
	// least.
	movePart, leastMoves = 0.2, 5
	// heardReports is how many reports' time a worker counts as reporting here.
	heardReports = 3
)

func reportersFor(reportS float64) time.Duration { return seconds(heardReports * reportS) }

// reportRoute is what a node does with a report.
type reportRoute uint8

const (
	answerHere reportRoute = iota // it leads
	passOn                        // to the leader
	redirect                      // to another node
)

// routeReport decides what to do with a worker's report; to is the node to which the
// worker is sent, "": it isn't known.
func (n *Node) routeReport(report []byte) (to string, route reportRoute) {
	if !n.spread {
		if n.term != nil {
			return "", answerHere
		}
		n.noteSeeker(report)
		return n.leaderLabel(), redirect
	}
	host, zone, _ := wire.ReportHead(report)
	if n.term != nil {
		if to := n.term.moveAway(host, zone, len(report)); to != "" {
			n.reporters.Remove(host)
			return to, redirect
		}
		n.reporters.Add(host, n.env.Now())
		return "", answerHere
	}
	if len(report) > forward.MostReport {
		return n.leaderLabel(), redirect
	}
	if own := n.reporters.Count(n.env.Now()); !n.reporters.Has(host) {
		all := n.reportersOf()
		if to := forward.Choose(all, zone); forward.Full(own, all) && to != "" && to != n.set.Label {
			return to, redirect
		}
	}
	n.reporters.Add(host, n.env.Now())
	return "", passOn
}

// reportersOf lists the controllers that take reports, this one first.
func (n *Node) reportersOf() []forward.Reporter {
	all := []forward.Reporter{reporter(n.set.Label, n.set.Location, n.reporters.Count(n.env.Now()), n.term != nil)}
	n.peers.Lately(func(p settings.Peer, s *peer.Status) {
		if s.Forward >= forward.Version {
			all = append(all, reporter(p.Label, p.Location, int(s.Reporters), s.Leading))
		}
	})
	return all
}

func reporter(label, zone string, workers int, leads bool) forward.Reporter {
	if leads {
		workers *= leaderWeight
	}
	return forward.Reporter{Label: label, Zone: zone, Workers: workers}
}

// leaderEndpoint is where reports are passed on to, "" if there is nobody.
func (n *Node) leaderEndpoint() string {
	if n.term != nil {
		return ""
	}
	return n.peers.Endpoint(n.leaderLabel())
}

// tellForwarding puts into a status what it says about reports.
func (n *Node) tellForwarding(st *peer.Status) {
	st.Forward, st.Reporters = forward.Version, uint64(n.reporters.Count(n.env.Now()))
	st.Spread = n.term != nil && n.spread
}

// heardForwarding takes in what a peer says about reports.
func (n *Node) heardForwarding(s *peer.Status) {
	if t := n.term; t != nil {
		delete(t.moved, s.Label)
		return
	}
	if s.Leading && s.Token >= n.spreadToken {
		n.spreadToken = s.Token
		n.spread = s.Spread && s.Forward >= forward.Version
	}
}

// refusedEvery is how often the log says that reports are not passed on.
const refusedEvery = 15 * time.Second

// notPassedOn hears of a report that could not be passed on to the leader.
func (n *Node) notPassedOn(report []byte) {
	n.noteSeeker(report)
	n.notPassed++
	if now := n.env.Now(); now-n.notPassedTold >= refusedEvery {
		n.env.Log().Info("reports are not passed on", "leader", n.leaderLabel(), "refused", n.notPassed)
		n.notPassed, n.notPassedTold = 0, now
	}
}

// serveForwarding answers what other controllers pass on, and what a leader has us send; it
// returns false for other paths.
func (n *Node) serveForwarding(r *httpx.Request, reply func(httpx.Response)) bool {
	switch {
	case r.Method != "POST":
		return false
	case r.Path == forward.ReportsPath:
		n.passedOn(r.Body, reply)
	case r.Path == forward.OrdersPath:
		if err := n.forwarder.Orders(r.Body); err != nil {
			n.badMessage(err, reply)
			return true
		}
		reply(httpx.Response{Status: 200, Type: forward.ContentType})
	default:
		return false
	}
	return true
}

func (n *Node) badMessage(err error, reply func(httpx.Response)) {
	n.env.Log().Error("bad message of a peer", "err", err)
	reply(httpx.Response{Status: 400})
}

// passedOn answers a batch of reports of another controller.
func (n *Node) passedOn(body []byte, reply func(httpx.Response)) {
	batch, err := forward.DecodeBatch(body)
	if err != nil {
		n.badMessage(err, reply)
		return
	}
	if n.term == nil {
		reply(httpx.Response{Status: 200, Type: forward.ContentType, Body: forward.EncodeAnswers(false, nil)})
		return
	}
	n.term.sender.Results(batch.Results)
	answers := make([]forward.Answer, 0, len(batch.Reports))
	for _, x := range batch.Reports {
		n.answerReportVia(batch.From, x.Body, func(resp httpx.Response) {
			answers = append(answers, forward.Answer{ID: x.ID, Status: resp.Status, RetryAfter: resp.RetryAfter, Body: resp.Body})
		})
	}
	reply(httpx.Response{Status: 200, Type: forward.ContentType, Body: forward.EncodeAnswers(true, answers)})
}

// send sends a call to a worker by way of the controller it reports to, "": straight.
func (t *term) send(via string, c actor.Call) {
	c.Once = t.n.spread // sockets are short then
	if addr := t.n.peers.Endpoint(via); addr != "" {
		t.sender.Send(addr, c)
		return
	}
	t.n.env.Call(c)
}

// decideSpread decides whether all controllers take reports.
func (t *term) decideSpread() {
	size := float64(len(t.led.Sorted()))
	if t.n.spread {
		size /= gatherPart
	}
	need := t.n.spreadNeeded(size)
	if need == t.n.spread || !need && t.n.env.Now()-t.workers.Began() < gatherAfter {
		return
	}
	t.n.spread = need
	t.n.env.Log().Info("workers' reports", "taken_by_all_controllers", need, "machines", len(t.led.Sorted()))
}

// spreadNeeded reports whether so many machines are more than one controller can serve.
func (n *Node) spreadNeeded(machines float64) bool {
	f := &n.set.Facts
	if len(n.set.Peers) == 0 {
		return false
	}
	if f.Limits.Sockets > 0 && socketsPerWorker*machines > spreadSockets*float64(f.Limits.Sockets) {
		return true
	}
	cores := machines / f.Workers.ReportS * reportCost.Seconds()
	return f.Limits.CPUShare > 0 && cores > spreadShare*f.Limits.CPUShare
}

// moveAway is the controller to which a worker of the leader's is sent, "" if it stays.
// The surplus leaves over some seconds.
func (t *term) moveAway(host, zone string, size int) string {
	n := t.n
	if size > forward.MostReport {
		return ""
	}
	now := n.env.Now()
	all := n.reportersOf()
	for i := range all {
		all[i].Workers += t.moved[all[i].Label]
	}
	own, sum := all[0].Workers, 0
	for _, r := range all {
		sum += r.Workers
	}
	surplus := float64(own) - float64(sum)/float64(len(all))
	rate := max(leastMoves, movePart*surplus)
	t.moving = min(rate, t.moving+rate*(now-t.movedAt).Seconds())
	t.movedAt = now
	if surplus < 1 || t.moving < 1 {
		return ""
	}
	to := forward.Choose(all, zone)
	if to == "" {
		return ""
	}
	t.moving--
	t.moved[to]++
	return to
}
