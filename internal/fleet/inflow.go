package fleet

import (
	"time"

	"brooklb/internal/model"
	"brooklb/internal/placement"
)

// inflow is the work of each priority that arrived within inflowWindow.
type inflow [model.Production + 1][]work

// work is the work of one job, in machines times seconds.
type work struct {
	at     time.Duration
	amount float64
}

// inflowWindow is the time over which the inflow is averaged.
const inflowWindow = 2 * time.Minute

func (in *inflow) add(at time.Duration, prio model.Priority, amount float64) {
	in[prio] = append(in[prio], work{at, amount})
}

// rate returns how many machines the arriving work of a priority keeps busy. It is averaged
// over the time since the oldest arrival, not since the process began, as in headroom.
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
	return sum / max(minArrivalSpan, now-oldest).Seconds()
}

// saturatedTeams reports for each team whether its work beyond its limit (overLimit, in
// machines times seconds) is more than its machines in use can do during a boot.
func (a *Actor) saturatedTeams(overLimit map[string]float64) map[string]bool {
	busy := map[string]float64{}
	for _, j := range a.led.Order() {
		if j.Placed > 0 && overLimit[j.Spec.Team] > 0 {
			busy[j.Spec.Team] += a.machines(j.Spec, j.Placed)
		}
	}
	boot := a.longestBoot()
	out := map[string]bool{}
	for team, x := range overLimit {
		out[team] = x > busy[team]*boot
	}
	return out
}

// retaken estimates, for each priority, which fraction of the capacity that its running tasks
// free is taken again by arriving work of the same priority.
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
