package sim

import (
	"strconv"
	"testing"
	"time"
)

// meet makes one of the meetings' troubles begin, for about d.
func (w *World) meet(kind int, d time.Duration) {
	r, n := w.rng, len(w.nodes)
	l := max(0, w.Leader())
	switch kind {
	case 0: // the state service refuses the leader alone
		w.State.RefuseNode(w.NodeName(l), d)
	case 1: // and everybody, perhaps for longer than a cancellation has
		w.State.Outage(min(d, 75*time.Second))
	case 2:
		w.Alone(l, d, r.IntN(2) == 0)
	case 3:
		w.LateWrites(0.05+0.4*r.Float64(), d)
	case 4:
		w.LateReports(0.05+0.4*r.Float64(), d)
	case 5: // some machines hear nothing, perhaps for longer than a lease
		share := 0.1 + 0.6*r.Float64()
		for _, m := range w.Machines() {
			if r.Float64() < share {
				m.Deafen(d)
			}
		}
	case 6: // the leader ends while machines can't be reached
		for _, m := range w.Machines() {
			if r.IntN(2) == 0 {
				for i := range w.nodes {
					w.Cut(w.NodeName(i), m.Name, d/2, r.IntN(2) == 0)
				}
			}
		}
		w.after(w.secs(0, 4), func() { w.Crash(max(0, w.Leader()), w.secs(0.1, 8)) })
	case 7: // handed over and back, all end, one returns
		for k := range 1 + r.IntN(3) {
			w.after(time.Duration(k)*w.secs(0.1, 2), func() { w.Crash(max(0, w.Leader()), w.soon()) })
		}
		w.after(w.secs(0, 3), func() {
			first := r.IntN(n)
			for i := range n {
				back := w.secs(2, 12)
				if i == first {
					back = w.soon()
				}
				w.Crash(i, back)
			}
		})
	case 8:
		w.State.GetSlow(d)
	case 9: // a machine or a controller is held up, and goes on
		ms := w.Machines()
		for range 1 + r.IntN(3) {
			ms[r.IntN(len(ms))].Hang(w.secs(1, 29))
		}
		w.Freeze(l, w.secs(1, 25))
	case 10: // single commands, reports and answers are held up
		old := w.Stuck
		w.Stuck = 60
		w.after(d, func() { w.Stuck = old })
	default:
		w.trouble()
	}
}

const meetings = 12

// TestMeetings draws days on which the troubles that the users have met come together in
// twos and threes, while users cancel and ask.
func TestMeetings(t *testing.T) {
	for _, s := range seeds(t, 32) {
		t.Run(strconv.FormatUint(s, 10), func(t *testing.T) {
			t.Parallel()
			w := world(20000 + s)
			if s%3 == 0 {
				w = seven(20000 + s)
			}
			w.Balance()
			w.State.Slow, w.Stuck, w.Copies = 50, 700, 150
			w.Workload(60, 200*time.Second)
			end := 100 * time.Second
			for range 5 {
				at, together := w.secs(10, 220), 2+w.rng.IntN(2)
				for range together {
					kind, from, d := w.rng.IntN(meetings), at+w.secs(0, 15), w.secs(3, 100)
					w.At(from, func() { w.meet(kind, d) })
					end = max(end, from+3*d) // of the other troubles, some last longer
				}
			}
			w.Calm = end + 15*time.Second
			w.At(w.Calm, func() { w.State.Slow, w.Stuck, w.Copies = 0, 0, 0 })
			w.Run(1500 * time.Second)
			w.verdict(t, 25)
		})
	}
}
