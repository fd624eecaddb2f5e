package sim

import (
	"fmt"
	"time"
)

// gang is one attempt of a gang job.
type gang struct {
	job       *userJob
	attempt   uint64
	tasks     map[int]*runner
	running   bool
	stopped   bool
	startedAt time.Duration
}

// gangOf is the gang that the attempt belongs to.
func (w *World) gangOf(r *runner) *gang {
	k := fmt.Sprintf("%s#%d", r.job.id, r.attempt)
	g := w.gangs[k]
	if g == nil {
		g = &gang{job: r.job, attempt: r.attempt, tasks: map[int]*runner{}}
		w.gangs[k] = g
	}
	return g
}

// members are the attempts that have joined and not ended, in the order of their tasks.
func (g *gang) members() []*runner {
	var out []*runner
	for i := 0; i < g.job.tasks; i++ {
		if r := g.tasks[i]; r != nil {
			out = append(out, r)
		}
	}
	return out
}

// join adds an attempt, which waits up to 30 s for the others. The gang runs when all its
// tasks have joined.
func (g *gang) join(r *runner) {
	w := r.m.w
	g.tasks[r.task] = r
	r.schedule(30*time.Second, func() { r.exit("incomplete", false) })
	if g.running || len(g.tasks) < g.job.tasks {
		return
	}
	g.running, g.startedAt = true, w.now
	left := time.Duration(0)
	for _, x := range g.members() {
		left = max(left, x.m.slowed(g.job.remaining(0)))
	}
	for _, x := range g.members() {
		x.phase, x.startedAt = "running", w.now
		w.emitTaskEvent(TaskRunning, x)
		x.timerGeneration++
		x.m.reportSoon()
	}
	w.after(left, func() { g.complete() })
}

// complete ends a gang that has run to its end.
func (g *gang) complete() {
	if g.stopped {
		return
	}
	for _, x := range g.members() {
		if x.m.hanging() { // a gang completes only when all its tasks do
			x.m.w.after(time.Second, g.complete)
			return
		}
	}
	g.stopped = true
	w := g.members()[0].m.w
	for _, x := range g.members() {
		g.job.results[x.task] = true
	}
	w.taskCompleted(g.job)
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

// memberEnded is called for every task of the gang that ends. If the gang runs, the other
// tasks end soon after, because their peer is missing.
func (g *gang) memberEnded(r *runner) {
	if g.tasks[r.task] == r {
		delete(g.tasks, r.task)
	}
	if !g.running || g.stopped {
		return
	}
	g.stopped = true
	w := r.m.w
	for _, x := range g.members() {
		x := x
		x.schedule(w.randomSecs(0.5, 5), func() { x.exit("peers", false) })
	}
}
