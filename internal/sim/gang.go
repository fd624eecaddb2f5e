package sim

import (
	"fmt"
	"time"
)

// gang is one attempt of a gang.
type gang struct {
	job     *userJob
	attempt uint64
	in      map[int]*runner
	running bool
	stopped bool
	from    time.Duration
}

func (w *World) gangOf(r *runner) *gang {
	k := fmt.Sprintf("%s#%d", r.job.id, r.attempt)
	g := w.gangs[k]
	if g == nil {
		g = &gang{job: r.job, attempt: r.attempt, in: map[int]*runner{}}
		w.gangs[k] = g
	}
	return g
}

func (g *gang) members() []*runner {
	var out []*runner
	for i := 0; i < g.job.tasks; i++ {
		if r := g.in[i]; r != nil {
			out = append(out, r)
		}
	}
	return out
}

func (g *gang) joined(r *runner) {
	w := r.m.w
	g.in[r.task] = r
	r.in(30*time.Second, func() { r.exit("incomplete", false) })
	if g.running || len(g.in) < g.job.tasks {
		return
	}
	g.running, g.from = true, w.now
	left := time.Duration(0)
	for _, x := range g.members() {
		left = max(left, x.m.slowed(g.job.left(0)))
	}
	for _, x := range g.members() {
		x.phase, x.from = "running", w.now
		w.tell(TaskRunning, x)
		x.ends++
		x.m.changed()
	}
	w.after(left, func() { g.complete() })
}

func (g *gang) complete() {
	if g.stopped {
		return
	}
	for _, x := range g.members() {
		if x.m.hanging() { // the slowest machine holds all up
			x.m.w.after(time.Second, g.complete)
			return
		}
	}
	g.stopped = true
	w := g.members()[0].m.w
	for _, x := range g.members() {
		g.job.results[x.task] = true
	}
	w.completed(g.job)
	for _, x := range g.members() {
		x.exit("done", false)
	}
}

func (g *gang) halt(r *runner, grace float64) {
	w := r.m.w
	if g.stopped {
		r.exit("halted", false)
		return
	}
	r.exit("halted", false)
	_ = w
}

// lost is told of every task of the gang that is gone.
func (g *gang) lost(r *runner) {
	if g.in[r.task] == r {
		delete(g.in, r.task)
	}
	if !g.running || g.stopped {
		return
	}
	g.stopped = true
	w := r.m.w
	for _, x := range g.members() {
		x := x
		x.in(w.secs(0.5, 5), func() { x.exit("peers", false) })
	}
}
