package forward

import (
	"errors"
	"maps"
	"slices"
	"time"

	"brooklb/internal/actor"
)

// resultTimeout is how long the leader waits for the result of an order.
const resultTimeout = orderTimeout + time.Second

// Sender sends a leader's orders to workers through the controllers to which they report.
type Sender struct {
	env            actor.Env
	queues         map[string][]Order // by the controller's address
	pending        map[uint64]*pendingOrder
	nextID         uint64
	flushScheduled bool
	closed         bool
}

// pendingOrder is an order whose outcome isn't known yet.
type pendingOrder struct {
	call  actor.Call
	timer *actor.Timer
}

// sequenceBits is how many bits of an order's ID count the orders of a term.
const sequenceBits = 32

// NewSender creates the sender of a term. The IDs of its orders contain the term's token, so
// that the result of an order of an earlier term is never taken for that of an order of this term.
func NewSender(env actor.Env, token uint64) *Sender {
	return &Sender{env: env, queues: map[string][]Order{}, pending: map[uint64]*pendingOrder{}, nextID: token << sequenceBits}
}

// Close ends the term: no more orders are sent.
func (s *Sender) Close() { s.closed = true }

// Send sends a request to a worker through a controller.
func (s *Sender) Send(controller string, call actor.Call) {
	s.nextID++
	id := s.nextID
	s.pending[id] = &pendingOrder{call, s.env.After(resultTimeout, func() {
		s.complete(id, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("no result from the controller"))})
	})}
	s.queues[controller] = append(s.queues[controller], Order{id, call.Addr, call.Path, call.Body})
	if !s.flushScheduled {
		s.flushScheduled = true
		s.env.After(0, s.flush) // orders of one turn of the event loop share a message
	}
}

func (s *Sender) complete(id uint64, a actor.Answer) {
	p := s.pending[id]
	if p == nil {
		return
	}
	delete(s.pending, id)
	p.timer.Stop()
	p.call.Done(a)
}

func (s *Sender) flush() {
	s.flushScheduled = false
	queues := s.queues
	s.queues = map[string][]Order{}
	if s.closed {
		return
	}
	for _, addr := range slices.Sorted(maps.Keys(queues)) {
		orders := queues[addr]
		for len(orders) > 0 {
			n, size := 0, 0
			for n < len(orders) && (n == 0 || size+len(orders[n].Body) < maxBatchBytes) {
				size += len(orders[n].Body)
				n++
			}
			s.sendOrders(addr, orders[:n])
			orders = orders[n:]
		}
	}
}

func (s *Sender) sendOrders(addr string, orders []Order) {
	s.env.Call(actor.Call{Addr: addr, Method: "POST", Path: OrdersPath, Type: ContentType, Body: encode(Orders{Version, orders}), Timeout: batchTimeout, Done: func(a actor.Answer) {
		if s.closed || a.Err == nil && a.Status == 200 || a.Err != nil && !a.Unsent() {
			return // the results follow, or the orders time out
		}
		// The controller has not received the orders, or its program takes none: send them
		// directly to the workers.
		for _, o := range orders {
			if p := s.pending[o.ID]; p != nil {
				delete(s.pending, o.ID)
				p.timer.Stop()
				s.env.Call(p.call)
			}
		}
	}})
}

// HandleResults completes orders with their results.
func (s *Sender) HandleResults(results []Result) {
	for _, r := range results {
		switch r.Outcome {
		case Answered:
			s.complete(r.ID, actor.Answer{Status: r.Status, Body: r.Body})
		case NotSent:
			s.complete(r.ID, actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("the controller could not send the order"))})
		default:
			s.complete(r.ID, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("the controller got no answer from the worker"))})
		}
	}
}

// DecodeBatch decodes a batch from a controller.
func DecodeBatch(b []byte) (*Batch, error) { return decode(b, func(m *Batch) int { return m.V }) }

// EncodeAnswers encodes the answer to a batch.
func EncodeAnswers(leading bool, answers []Answer) []byte {
	return encode(Answers{Version, leading, answers})
}
