package sim

import (
	"container/heap"
	"time"
)

// event is a function to run at a time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after runs f when d has passed.
func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, &event{w.now + max(0, d), w.seq, f})
}

// At runs f at a time of the simulation.
func (w *World) At(t time.Duration, f func()) { w.after(t-w.now, f) }

// Now is the time of the simulation, which the clocks of hosts may deviate from.
func (w *World) Now() time.Duration { return w.now }

// Run executes all events up to the given time.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.f()
	}
	w.now = until
}
