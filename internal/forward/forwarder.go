package forward

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/httpx"
	"brooklb/internal/wire"
)

const (
	// reportTimeout is how long a report may be queued, for example while there is no leader.
	// It is then refused, so that the worker, which waits 4 s for the answer, tries another
	// controller.
	reportTimeout = 3400 * time.Millisecond
	// batchTimeout limits the wait for another controller's answer to a message.
	batchTimeout = 1500 * time.Millisecond
	// orderTimeout limits the wait for a worker's answer to an order.
	orderTimeout = 2500 * time.Millisecond
	// batchInterval is the shortest time between two messages. Reports that arrive in the
	// meantime share one, so that the leader doesn't receive a message for each report.
	batchInterval = 25 * time.Millisecond
	// retryDelay is how long after a message that reached no leader the next one is sent.
	retryDelay = 100 * time.Millisecond
	// maxQueuedBytes limits the total size of queued reports.
	maxQueuedBytes = 8 << 20
)

// Forwarder forwards workers' reports to the leader and the leader's orders to workers.
type Forwarder struct {
	env   actor.Env
	label string
	// leader returns the leader's address for other controllers, "" if it isn't known.
	leader      func() string
	queue       []*pendingReport
	queuedBytes int // of reports in the queue
	results     []Result
	inFlight    int
	nextID      uint64
	sendDelayed bool
	// generation counts the pauses of the process. Answers to messages and orders that were
	// sent before the last pause are ignored.
	generation int
	// OnRefused is called with each report that is refused because it was queued for too long
	// or got no valid answer from the leader, but not with those that a full queue or
	// AbortPending refuses.
	OnRefused func(body []byte)
}

// pendingReport is a report whose worker waits for the answer.
type pendingReport struct {
	id       uint64
	body     []byte
	deadline time.Duration
	reply    func(httpx.Response)
}

// NewForwarder creates the forwarder of a node.
func NewForwarder(env actor.Env, label string, leader func() string) *Forwarder {
	return &Forwarder{env: env, label: label, leader: leader}
}

var refusal = httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("the leader has not answered")}

// Report forwards a worker's report; reply is called once, with the leader's answer or a
// refusal.
func (f *Forwarder) Report(body []byte, reply func(httpx.Response)) {
	if f.queuedBytes+len(body) > maxQueuedBytes {
		reply(refusal)
		return
	}
	f.nextID++
	// The body of the request is valid only until its handler returns.
	report := &pendingReport{f.nextID, append([]byte(nil), body...), f.env.Now() + reportTimeout, reply}
	f.enqueue(report)
	f.trySend()
}

func (f *Forwarder) enqueue(report *pendingReport) {
	f.queue = append(f.queue, report)
	f.queuedBytes += len(report.body)
}

func (f *Forwarder) refuse(report *pendingReport) {
	if f.OnRefused != nil {
		f.OnRefused(report.body)
	}
	report.reply(refusal)
}

// AbortPending gives up what is queued or under way after a pause of the process, since the
// workers no longer wait for it.
func (f *Forwarder) AbortPending() {
	f.generation++
	f.inFlight = 0
	f.results = nil
	for _, report := range f.takeQueue() {
		report.reply(refusal)
	}
}

// takeQueue empties the queue and returns its reports.
func (f *Forwarder) takeQueue() []*pendingReport {
	q := f.queue
	f.queue, f.queuedBytes = nil, 0
	return q
}

// Drain has all queued reports answered by the node itself, which leads now.
func (f *Forwarder) Drain(answer func(body []byte, reply func(httpx.Response))) {
	for _, report := range f.takeQueue() {
		answer(report.body, report.reply)
	}
}

// trySend sends what is queued, unless too many messages are under way. In that case the
// queue grows, so that a busy leader receives larger batches.
func (f *Forwarder) trySend() {
	f.refuseExpired()
	if f.inFlight >= maxBatchesInFlight || f.sendDelayed || len(f.queue)+len(f.results) == 0 {
		return
	}
	addr := f.leader()
	if addr == "" {
		f.delaySending(retryDelay)
		return
	}
	f.sendBatch(addr)
	f.delaySending(batchInterval)
}

// delaySending sends nothing for the given time.
func (f *Forwarder) delaySending(d time.Duration) {
	if f.sendDelayed {
		return
	}
	f.sendDelayed = true
	f.env.After(d, func() {
		f.sendDelayed = false
		f.trySend()
	})
}

// refuseExpired refuses reports that have been queued for too long.
func (f *Forwarder) refuseExpired() {
	now := f.env.Now()
	for len(f.queue) > 0 && now >= f.queue[0].deadline {
		report := f.queue[0]
		f.queue = f.queue[1:]
		f.queuedBytes -= len(report.body)
		f.refuse(report)
	}
}

// sendBatch sends one batch of results and reports.
func (f *Forwarder) sendBatch(addr string) {
	batch := Batch{V: Version, From: f.label}
	size := 0
	for len(f.results) > 0 && size < maxBatchBytes {
		size += len(f.results[0].Body)
		batch.Results = append(batch.Results, f.results[0])
		f.results = f.results[1:]
	}
	var sent []*pendingReport
	for len(f.queue) > 0 && (size == 0 || size+len(f.queue[0].body) < maxBatchBytes) {
		report := f.queue[0]
		f.queue = f.queue[1:]
		f.queuedBytes -= len(report.body)
		size += len(report.body)
		sent = append(sent, report)
		batch.Reports = append(batch.Reports, Report{report.id, report.body})
	}
	f.inFlight++
	generation := f.generation
	f.env.Call(actor.Call{Addr: addr, Method: "POST", Path: ReportsPath, Type: ContentType, Body: encode(batch), Timeout: batchTimeout, Done: func(a actor.Answer) {
		if f.generation != generation { // the process was paused in the meantime
			f.refuseAll(sent)
			return
		}
		f.inFlight--
		f.handleAnswers(a, sent)
		f.trySend()
	}})
}

func (f *Forwarder) refuseAll(reports []*pendingReport) {
	for _, report := range reports {
		f.refuse(report)
	}
}

// handleAnswers passes the leader's answers to the workers. Reports that certainly reached no
// leader are queued again; those that may have reached one are refused.
func (f *Forwarder) handleAnswers(a actor.Answer, sent []*pendingReport) {
	var m *Answers
	var err error
	if a.Err == nil && a.Status == 200 {
		m, err = decode(a.Body, func(m *Answers) int { return m.V })
	}
	switch {
	case a.Unsent(), a.Err == nil && a.Status != 200, m != nil && !m.Leading:
		f.queue = append(sent, f.queue...)
		for _, report := range sent {
			f.queuedBytes += len(report.body)
		}
		f.delaySending(retryDelay)
		return
	case a.Err != nil || err != nil:
		f.refuseAll(sent)
		return
	}
	byID := make(map[uint64]*Answer, len(m.Answers))
	for i := range m.Answers {
		byID[m.Answers[i].ID] = &m.Answers[i]
	}
	for _, report := range sent {
		x := byID[report.id]
		if x == nil || x.Status < 200 || x.Status > 599 {
			f.refuse(report)
			continue
		}
		report.reply(httpx.Response{Status: x.Status, RetryAfter: x.RetryAfter, Body: x.Body})
	}
}

// HandleOrders sends the leader's orders to the workers. The results go with the next batch.
func (f *Forwarder) HandleOrders(body []byte) error {
	m, err := decode(body, func(m *Orders) int { return m.V })
	if err != nil {
		return err
	}
	for _, o := range m.Orders {
		f.sendOrder(o)
	}
	return nil
}

func (f *Forwarder) sendOrder(o Order) {
	generation := f.generation
	// Reports go through all controllers where sockets are scarce, so no connection is kept
	// for the worker's next order.
	f.env.Call(actor.Call{Addr: o.Addr, Method: "POST", Path: o.Path, Body: o.Body, Timeout: orderTimeout, DisableKeepAlive: true, Done: func(a actor.Answer) {
		if f.generation != generation {
			return // the leader has timed it out
		}
		r := Result{ID: o.ID, Outcome: Answered, Status: a.Status, Body: a.Body}
		switch {
		case a.Unsent():
			r = Result{ID: o.ID, Outcome: NotSent}
		case a.Err != nil || len(a.Body) >= maxBatchBytes:
			r = Result{ID: o.ID, Outcome: NoAnswer}
		}
		f.results = append(f.results, r)
		f.trySend()
	}})
}
