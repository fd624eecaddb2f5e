// Package actor holds what every actor of a process shares: the clock it is
// given, timers, outgoing calls and the single queue on which all actors of a
// process run one after the other. Nothing in it reads the real clock, opens a
// socket or starts a goroutine, so that a simulator can run several processes
// in one thread with a seed.
package actor

import (
	"container/heap"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

// Env is the world as an actor sees it. All methods are called from the one
// thread that runs the actors, and every continuation runs there too.
type Env interface {
	// Now is the steady clock, counted from the start of the process.
	Now() time.Duration
	// Wall is the time of day, which wanders within the configured bound.
	Wall() time.Time
	Rand() *rand.Rand
	After(d time.Duration, f func()) *Timer
	// Call sends one HTTP request; Done is called exactly once, later.
	Call(c Call)
	Log() *slog.Logger
}

// Call is one outgoing request.
type Call struct {
	Addr    string
	Method  string
	Path    string
	Body    []byte
	Type    string // content type, JSON when empty
	Timeout time.Duration
	Once    bool // on a connection of its own, which is closed after the answer
	Done    func(Answer)
}

// ErrNotSent says that no connection could be had: the peer has seen nothing.
var ErrNotSent = errors.New("not sent")

// ErrRefused says, together with ErrNotSent, that the host itself refused the
// connection: nobody listens there.
var ErrRefused = errors.New("connection refused")

// ErrNoAnswer says that the request may have been executed, or may still be.
var ErrNoAnswer = errors.New("no answer")

// Answer is what came of a Call. Status is 0 when Err is set.
type Answer struct {
	Status int
	Body   []byte
	Err    error
}

// Unsent reports whether the request certainly reached nobody.
func (a Answer) Unsent() bool { return errors.Is(a.Err, ErrNotSent) }

// LongPause is from how long on a gap in a process's own time counts as one it
// did not live through: its clocks ran on, but nothing was read, sent or decided.
// It is longer than a busy processor's pauses and shorter than every lease.
const LongPause = 1500 * time.Millisecond

// Timer is a pending call of a function.
type Timer struct {
	at   time.Duration
	seq  uint64
	f    func()
	pos  int
	dead bool
}

// Stop prevents the timer from firing.
func (t *Timer) Stop() {
	if t != nil {
		t.dead = true
		t.f = nil
	}
}

// Timers is the queue of an Env's pending timers.
type Timers struct {
	h   timerHeap
	seq uint64
}

// Add schedules f at the given time of the steady clock.
func (q *Timers) Add(at time.Duration, f func()) *Timer {
	q.seq++
	t := &Timer{at: at, seq: q.seq, f: f}
	heap.Push(&q.h, t)
	return t
}

// Next returns the time of the earliest timer.
func (q *Timers) Next() (time.Duration, bool) {
	for len(q.h) > 0 && q.h[0].dead {
		heap.Pop(&q.h)
	}
	if len(q.h) == 0 {
		return 0, false
	}
	return q.h[0].at, true
}

// Run fires every timer due at now, in order.
func (q *Timers) Run(now time.Duration) {
	for {
		at, ok := q.Next()
		if !ok || at > now {
			return
		}
		t := heap.Pop(&q.h).(*Timer)
		f := t.f
		t.dead = true
		f()
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos = i; h[j].pos = j }
func (h *timerHeap) Push(x any)   { t := x.(*Timer); t.pos = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// Bucket is a token bucket that never lets more than rate per second through,
// with one second's worth in a burst.
type Bucket struct {
	rate, burst, level float64
	last               time.Duration
	started            bool
}

// SetRate changes the rate and the burst.
func (b *Bucket) SetRate(rate, burst float64) {
	b.rate, b.burst = rate, burst
	if !b.started {
		b.level = burst
		b.started = true
	}
	b.level = min(b.level, burst)
}

// Drain leaves no more than the given level.
func (b *Bucket) Drain(to float64) { b.level = min(b.level, to) }

// Take takes n if at least n+keep are there.
func (b *Bucket) Take(now time.Duration, n, keep float64) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.level < n+keep {
		return false
	}
	b.level -= n
	return true
}

// Level is how much could be taken now.
func (b *Bucket) Level(now time.Duration) float64 {
	return min(b.burst, b.level+b.rate*(now-b.last).Seconds())
}

// Rate is how much comes in a second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst is the most that Level can be.
func (b *Bucket) Burst() float64 { return b.burst }
