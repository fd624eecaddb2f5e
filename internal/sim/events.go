package sim

import (
	"container/heap"
	"time"
)

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

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, &event{w.now + max(0, d), w.seq, f})
}

// At runs f at a time of the day.
func (w *World) At(t time.Duration, f func()) { w.after(t-w.now, f) }

// Now is the true time.
func (w *World) Now() time.Duration { return w.now }

// Run plays until the given time, checking the rules after each step.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.f()
	}
	w.now = until
}
