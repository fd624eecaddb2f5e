package fleet

import (
	"time"

	"brooklb/internal/model"
	"brooklb/internal/placement"
)

// inflow is how much work of each priority has come lately.
type inflow [model.Production + 1][]work

// work is a job's, in machines times seconds.
type work struct {
	at     time.Duration
	amount float64
}

// inflowWindow is the time over which it is averaged.
const inflowWindow = 2 * time.Minute

func (in *inflow) add(at time.Duration, prio model.Priority, amount float64) {
	in[prio] = append(in[prio], work{at, amount})
}

// rate is how many machines the work of a priority that comes keeps busy. As with the
// headroom it came over the time since its oldest, not since this process began.
func (in *inflow) rate(prio model.Priority, now time.Duration) float64 {
	sum, oldest, k := 0.0, now, 0
	for _, w := range in[prio] {
		if now-w.at <= inflowWindow {
			in[prio][k] = w
			k++
			sum += w.amount
			oldest = min(oldest, w.at)
		}
	}
	in[prio] = in[prio][:k]
	return sum / max(leastSpan, now-oldest).Seconds()
}

// queued are the teams whose work beyond their limits (over, in machines times seconds)
// takes all that theirs leaves for as long as a boot.
func (a *Actor) queued(over map[string]float64) map[string]bool {
	busy := map[string]float64{}
	for _, j := range a.led.Order() {
		if j.Placed > 0 && over[j.Spec.Team] > 0 {
			busy[j.Spec.Team] += a.machines(j.Spec, j.Placed)
		}
	}
	boot := a.longestBoot()
	out := map[string]bool{}
	for team, x := range over {
		out[team] = x > busy[team]*boot
	}
	return out
}

// retaken is which part of what running tasks of each priority leave is taken again
// by what comes.
func (a *Actor) retaken() (r placement.Retaken) {
	var busy placement.Retaken
	for _, j := range a.led.Order() {
		if j.Placed > 0 {
			busy[j.Spec.Priority] += a.machines(j.Spec, j.Placed)
		}
	}
	for prio := range r {
		if busy[prio] > 0 {
			r[prio] = min(1, a.inflow.rate(model.Priority(prio), a.env.Now())/busy[prio])
		}
	}
	return r
}
