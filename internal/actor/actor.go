// Package actor defines what all actors of a process share: a clock, timers, outgoing calls and
// the single thread on which they run one after the other. Nothing in it reads the real clock,
// opens a socket or starts a goroutine, so that a simulator can run several processes in one
// thread, reproducibly from a seed.
package actor

import (
	"container/heap"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

// Env is an actor's environment. All methods are called from the one thread that runs the
// actors, and every continuation runs there too.
type Env interface {
	// Now is the time of the monotonic clock since the start of the process.
	Now() time.Duration
	// Wall is the time of day, which may be wrong within the configured bound.
	Wall() time.Time
	Rand() *rand.Rand
	After(d time.Duration, f func()) *Timer
	// Call sends one HTTP request; Done is called exactly once, later.
	Call(c Call)
	Log() *slog.Logger
}

// Call is one outgoing request.
type Call struct {
	Addr             string
	Method           string
	Path             string
	Body             []byte
	Type             string // content type, JSON when empty
	Timeout          time.Duration
	DisableKeepAlive bool // use a new connection and close it after the answer
	Done             func(Answer)
}

// ErrNotSent means that no connection could be made, so the recipient has received nothing.
var ErrNotSent = errors.New("not sent")

// ErrRefused means, together with ErrNotSent, that the host itself refused the connection
// because nothing listens there.
var ErrRefused = errors.New("connection refused")

// ErrNoAnswer means that the request may have been executed, or may still be.
var ErrNoAnswer = errors.New("no answer")

// Answer is the result of a Call. Status is 0 when Err is set.
type Answer struct {
	Status int
	Body   []byte
	Err    error
}

// Unsent reports whether the request certainly did not reach its recipient.
func (a Answer) Unsent() bool { return errors.Is(a.Err, ErrNotSent) }

// LongPause is the shortest gap in a process's clock that counts as a pause of the process: its
// clocks ran on, but it read, sent and decided nothing. It is longer than delays on a busy
// processor and shorter than every lease.
const LongPause = 1500 * time.Millisecond

// Timer is a pending call of a function.
type Timer struct {
	at       time.Duration
	seq      uint64
	callback func()
	index    int
	done     bool
}

// Stop prevents the timer from firing.
func (t *Timer) Stop() {
	if t != nil {
		t.done = true
		t.callback = nil
	}
}

// Timers is the queue of an Env's pending timers.
type Timers struct {
	pending timerHeap
	seq     uint64
}

// Add schedules f at the given time of the monotonic clock.
func (q *Timers) Add(at time.Duration, f func()) *Timer {
	q.seq++
	t := &Timer{at: at, seq: q.seq, callback: f}
	heap.Push(&q.pending, t)
	return t
}

// Next returns the time of the earliest timer.
func (q *Timers) Next() (time.Duration, bool) {
	for len(q.pending) > 0 && q.pending[0].done {
		heap.Pop(&q.pending)
	}
	if len(q.pending) == 0 {
		return 0, false
	}
	return q.pending[0].at, true
}

// Run fires every timer due at now, in order.
func (q *Timers) Run(now time.Duration) {
	for {
		at, ok := q.Next()
		if !ok || at > now {
			return
		}
		t := heap.Pop(&q.pending).(*Timer)
		f := t.callback
		t.done = true
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
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index = i; h[j].index = j }
func (h *timerHeap) Push(x any)   { t := x.(*Timer); t.index = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// Bucket is a token bucket with a rate per second and a burst.
type Bucket struct {
	rate, burst, level float64
	last               time.Duration
	started            bool
}

// SetRate changes the rate and the burst. The first call fills the bucket.
func (b *Bucket) SetRate(rate, burst float64) {
	b.rate, b.burst = rate, burst
	if !b.started {
		b.level = burst
		b.started = true
	}
	b.level = min(b.level, burst)
}

// Drain lowers the level to at most the given one.
func (b *Bucket) Drain(to float64) { b.level = min(b.level, to) }

// Take removes n tokens if at least n+keep are available, and reports whether it did.
func (b *Bucket) Take(now time.Duration, n, keep float64) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.level < n+keep {
		return false
	}
	b.level -= n
	return true
}

// Level is how many tokens are available now.
func (b *Bucket) Level(now time.Duration) float64 {
	return min(b.burst, b.level+b.rate*(now-b.last).Seconds())
}

// Rate is how many tokens are added per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst is the highest possible level.
func (b *Bucket) Burst() float64 { return b.burst }
