package forward

import (
	"errors"
	"maps"
	"slices"
	"time"

	"brooklb/internal/actor"
)

// resultWait is how long the leader waits for what came of an order.
const resultWait = orderTimeout + time.Second

// Sender is a leader's: it sends orders to workers by way of the controllers that they
// report to.
type Sender struct {
	env     actor.Env
	queues  map[string][]Order // by the controller's address
	pending map[uint64]*pendingOrder
	nextID  uint64
	soon    bool
	closed  bool
}

// pendingOrder is an order of which it isn't known what came of it.
type pendingOrder struct {
	call  actor.Call
	timer *actor.Timer
}

// termBits is how many bits of an order's number count within a term.
const termBits = 32

// NewSender makes the sender of a term. Orders are numbered by the term's token, so that a
// result for an earlier term's order is never taken for one of ours.
func NewSender(env actor.Env, token uint64) *Sender {
	return &Sender{env: env, queues: map[string][]Order{}, pending: map[uint64]*pendingOrder{}, nextID: token << termBits}
}

// Close ends the term; nothing is sent or heard any more.
func (s *Sender) Close() { s.closed = true }

// Send sends a request to a worker by way of a controller.
func (s *Sender) Send(controller string, call actor.Call) {
	s.nextID++
	id := s.nextID
	s.pending[id] = &pendingOrder{call, s.env.After(resultWait, func() {
		s.finish(id, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("no result from the controller"))})
	})}
	s.queues[controller] = append(s.queues[controller], Order{id, call.Addr, call.Path, call.Body})
	if !s.soon {
		s.soon = true
		s.env.After(0, s.flush) // what is ordered in one turn goes together
	}
}

func (s *Sender) finish(id uint64, a actor.Answer) {
	p := s.pending[id]
	if p == nil {
		return
	}
	delete(s.pending, id)
	p.timer.Stop()
	p.call.Done(a)
}

func (s *Sender) flush() {
	s.soon = false
	queues := s.queues
	s.queues = map[string][]Order{}
	if s.closed {
		return
	}
	for _, addr := range slices.Sorted(maps.Keys(queues)) {
		orders := queues[addr]
		for len(orders) > 0 {
			n, size := 0, 0
			for n < len(orders) && (n == 0 || size+len(orders[n].Body) < mostBatch) {
				size += len(orders[n].Body)
				n++
			}
			s.send(addr, orders[:n])
			orders = orders[n:]
		}
	}
}

func (s *Sender) send(addr string, orders []Order) {
	s.env.Call(actor.Call{Addr: addr, Method: "POST", Path: OrdersPath, Type: ContentType, Body: encode(Orders{Version, orders}), Timeout: batchTimeout, Done: func(a actor.Answer) {
		if s.closed || a.Err == nil && a.Status == 200 || a.Err != nil && !a.Unsent() {
			return // the results tell, or their time runs out
		}
		// The controller has seen nothing, or takes no orders: straight to the workers.
		for _, o := range orders {
			if p := s.pending[o.ID]; p != nil {
				delete(s.pending, o.ID)
				p.timer.Stop()
				s.env.Call(p.call)
			}
		}
	}})
}

// Results takes in what came of orders.
func (s *Sender) Results(results []Result) {
	for _, r := range results {
		switch r.Outcome {
		case Answered:
			s.finish(r.ID, actor.Answer{Status: r.Status, Body: r.Body})
		case NotSent:
			s.finish(r.ID, actor.Answer{Err: errors.Join(actor.ErrNotSent, errors.New("the controller could not send it"))})
		default:
			s.finish(r.ID, actor.Answer{Err: errors.Join(actor.ErrNoAnswer, errors.New("no answer at the controller"))})
		}
	}
}

// DecodeBatch reads what a controller passes on.
func DecodeBatch(b []byte) (*Batch, error) { return decode(b, func(m *Batch) int { return m.V }) }

// EncodeAnswers makes the answer to a batch.
func EncodeAnswers(leading bool, answers []Answer) []byte {
	return encode(Answers{Version, leading, answers})
}
