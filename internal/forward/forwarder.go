package forward

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/httpx"
	"brooklb/internal/wire"
)

const (
	// A worker waits 4 s for the answer to its report. What has not been passed on for
	// want of a leader by then is refused: the worker tries elsewhere.
	reportWait = 3400 * time.Millisecond
	// One message is waited for this long.
	batchTimeout = 1500 * time.Millisecond
	// orderTimeout is how long a worker's answer to an order is waited for.
	orderTimeout = 2500 * time.Millisecond
	// A message follows the one before after this long at the earliest, so that what comes
	// meanwhile goes together: the leader has a message for some reports, not for each.
	gatherFor = 25 * time.Millisecond
	// retryPause is how long after a message that reached no leader the next is sent.
	retryPause = 100 * time.Millisecond
	// mostWaiting bounds the bytes of reports that wait.
	mostWaiting = 8 << 20
)

// Forwarder passes workers' reports on to the leader and the leader's orders to workers.
type Forwarder struct {
	env   actor.Env
	label string
	// leader is the address of the leader for other controllers, "" if it isn't known.
	leader  func() string
	queue   []*waiting
	bytes   int // of reports in the queue
	results []Result
	flying  int
	nextID  uint64
	paused  bool
	// gen counts the pauses: what was under way before one is given up.
	gen int
	// Refused hears of reports that could not be passed on.
	Refused func(body []byte)
}

// waiting is a report whose worker waits for the answer.
type waiting struct {
	id    uint64
	body  []byte
	until time.Duration
	reply func(httpx.Response)
}

// NewForwarder makes the forwarder of a node.
func NewForwarder(env actor.Env, label string, leader func() string) *Forwarder {
	return &Forwarder{env: env, label: label, leader: leader}
}

var refusal = httpx.Response{Status: 503, RetryAfter: 1, Body: wire.Error("the leader has not answered")}

// Report passes a worker's report on; reply is called once, with the leader's answer or a
// refusal.
func (f *Forwarder) Report(body []byte, reply func(httpx.Response)) {
	if f.bytes+len(body) > mostWaiting {
		reply(refusal)
		return
	}
	f.nextID++
	// The body is the connection's until the reply.
	w := &waiting{f.nextID, append([]byte(nil), body...), f.env.Now() + reportWait, reply}
	f.push(w)
	f.pump()
}

func (f *Forwarder) push(w *waiting) {
	f.queue = append(f.queue, w)
	f.bytes += len(w.body)
}

func (f *Forwarder) refuse(w *waiting) {
	if f.Refused != nil {
		f.Refused(w.body)
	}
	w.reply(refusal)
}

// Paused hears that the process was paused: the workers wait no more for what is queued.
func (f *Forwarder) Paused() {
	f.gen++
	f.flying = 0
	f.results = nil
	for _, w := range f.take() {
		w.reply(refusal)
	}
}

// take takes all reports out of the queue.
func (f *Forwarder) take() []*waiting {
	q := f.queue
	f.queue, f.bytes = nil, 0
	return q
}

// Drain has a node that leads now itself answer what waits.
func (f *Forwarder) Drain(answer func(body []byte, reply func(httpx.Response))) {
	for _, w := range f.take() {
		answer(w.body, w.reply)
	}
}

// pump sends what waits, as long as not too many messages are under way. While some are,
// more gathers: the busier the leader, the larger the batches.
func (f *Forwarder) pump() {
	f.expire()
	if f.flying >= mostFlying || f.paused || len(f.queue)+len(f.results) == 0 {
		return
	}
	addr := f.leader()
	if addr == "" {
		f.pause(retryPause)
		return
	}
	f.send(addr)
	f.pause(gatherFor)
}

// pause sends nothing for a while.
func (f *Forwarder) pause(d time.Duration) {
	if f.paused {
		return
	}
	f.paused = true
	f.env.After(d, func() {
		f.paused = false
		f.pump()
	})
}

// expire refuses reports that have waited for too long.
func (f *Forwarder) expire() {
	now := f.env.Now()
	for len(f.queue) > 0 && now >= f.queue[0].until {
		w := f.queue[0]
		f.queue = f.queue[1:]
		f.bytes -= len(w.body)
		f.refuse(w)
	}
}

// send sends one batch.
func (f *Forwarder) send(addr string) {
	batch := Batch{V: Version, From: f.label}
	size := 0
	for len(f.results) > 0 && size < mostBatch {
		size += len(f.results[0].Body)
		batch.Results = append(batch.Results, f.results[0])
		f.results = f.results[1:]
	}
	var sent []*waiting
	for len(f.queue) > 0 && (size == 0 || size+len(f.queue[0].body) < mostBatch) {
		w := f.queue[0]
		f.queue = f.queue[1:]
		f.bytes -= len(w.body)
		size += len(w.body)
		sent = append(sent, w)
		batch.Reports = append(batch.Reports, Report{w.id, w.body})
	}
	f.flying++
	gen := f.gen
	f.env.Call(actor.Call{Addr: addr, Method: "POST", Path: ReportsPath, Type: ContentType, Body: encode(batch), Timeout: batchTimeout, Done: func(a actor.Answer) {
		if f.gen != gen { // we was paused meanwhile
			f.refuseAll(sent)
			return
		}
		f.flying--
		f.answered(a, sent)
		f.pump()
	}})
}

func (f *Forwarder) refuseAll(ws []*waiting) {
	for _, w := range ws {
		f.refuse(w)
	}
}

// answered hands the leader's answers to the workers. What surely reached no leader is sent
// again, to the next one; what may have is not.
func (f *Forwarder) answered(a actor.Answer, sent []*waiting) {
	var m *Answers
	var err error
	if a.Err == nil && a.Status == 200 {
		m, err = decode(a.Body, func(m *Answers) int { return m.V })
	}
	switch {
	case a.Unsent(), a.Err == nil && a.Status != 200, m != nil && !m.Leading:
		f.queue = append(sent, f.queue...)
		for _, w := range sent {
			f.bytes += len(w.body)
		}
		f.pause(retryPause)
		return
	case a.Err != nil || err != nil:
		f.refuseAll(sent)
		return
	}
	byID := make(map[uint64]*Answer, len(m.Answers))
	for i := range m.Answers {
		byID[m.Answers[i].ID] = &m.Answers[i]
	}
	for _, w := range sent {
		x := byID[w.id]
		if x == nil || x.Status < 200 || x.Status > 599 {
			f.refuse(w)
			continue
		}
		w.reply(httpx.Response{Status: x.Status, RetryAfter: x.RetryAfter, Body: x.Body})
	}
}

// Orders sends what the leader has us send; the results go with the next batch.
func (f *Forwarder) Orders(body []byte) error {
	m, err := decode(body, func(m *Orders) int { return m.V })
	if err != nil {
		return err
	}
	for _, o := range m.Orders {
		f.order(o)
	}
	return nil
}

func (f *Forwarder) order(o Order) {
	gen := f.gen
	// Where reports are spread sockets are short: none is kept for a worker's next order.
	f.env.Call(actor.Call{Addr: o.Addr, Method: "POST", Path: o.Path, Body: o.Body, Timeout: orderTimeout, DisableKeepAlive: true, Done: func(a actor.Answer) {
		if f.gen != gen {
			return // the leader has given it up
		}
		r := Result{ID: o.ID, Outcome: Answered, Status: a.Status, Body: a.Body}
		switch {
		case a.Unsent():
			r = Result{ID: o.ID, Outcome: NotSent}
		case a.Err != nil || len(a.Body) >= mostBatch:
			r = Result{ID: o.ID, Outcome: NoAnswer}
		}
		f.results = append(f.results, r)
		f.pump()
	}})
}
