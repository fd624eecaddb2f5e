package sim

import "time"

// onMachine reports whether the attempt counts as being on its machine.
func (r *runner) onMachine() bool {
	return r.phase == "waiting" || r.phase == "running" || r.phase == "flushing"
}

// checkStart checks the rules for a start at the moment when a worker executes it.
func (w *World) checkStart(r *runner) {
	j := r.job
	if w.OnStart != nil {
		w.OnStart(r)
	}
	w.emitTaskEvent(TaskStarted, r)
	if j.cancelledAt > 0 && w.now > j.cancelledAt {
		w.StartsAfterCancel++
	}
	if j.cancelledAt > 0 && w.now > j.cancelledAt+w.cancelDeadline() {
		w.reportViolation("ran_cancelled", "%s starts %.1f s after its cancellation", r.key, (w.now - j.cancelledAt).Seconds())
	}
	if (j.zone != "" && j.zone != r.m.Zone) || (r.m.Spot && !j.spot) {
		w.reportViolation("wrong_place", "%s on %s (%s, spot %v)", r.key, r.m.Name, r.m.Zone, r.m.Spot)
	}
	inZone := 1
	for _, x := range j.runners() {
		if x == r || x.phase == "ended" {
			continue
		}
		if j.oneZone && x.m.Zone != r.m.Zone {
			w.reportViolation("wrong_place", "%s in %s while %s is in %s", r.key, r.m.Zone, x.key, x.m.Zone)
		}
		if x.m.Zone == r.m.Zone && x.task != r.task {
			inZone++
		}
	}
	if j.spread && inZone > (j.tasks+1)/2 {
		w.reportViolation("wrong_place", "%s starts, which makes %d of %d tasks in zone %s", r.key, inZone, j.tasks, r.m.Zone)
	}
	w.checkQuota(j.team)
	w.checkSurge(r)
	w.checkUnits(r)
}

// checkRunsOnce checks, when an attempt has its image, that no other attempt of the task is
// on a machine.
func (w *World) checkRunsOnce(r *runner) {
	w.Started++
	for _, x := range r.job.runners() {
		if x != r && x.task == r.task && x.onMachine() {
			w.reportViolation("ran_twice", "%s on %s while %s is on %s", r.key, r.m.Name, x.key, x.m.Name)
		}
	}
}

// checkQuota checks that the team is within its limit.
func (w *World) checkQuota(team string) {
	u := w.use[team]
	if t, ok := w.limits[team]; ok && u != nil && over(t, u.cpus, u.gpus) {
		w.reportViolation("quota", "team %s uses %v CPUs and %v GPUs", team, u.cpus, u.gpus)
	}
}

// attemptEnded is called for every attempt that ends, for any reason. was is its phase before.
func (w *World) attemptEnded(r *runner, was string) {
	if at := r.job.cancelledAt; at > 0 && was != "ended" && was != "pulling" {
		w.LongestCancelled = max(w.LongestCancelled, w.now-at)
		if w.now > at+w.cancelDeadline() {
			w.reportViolation("ran_cancelled", "%s was on %s until %.1f s after its cancellation", r.key, r.m.Name, (w.now - at).Seconds())
		}
	}
	if r.job.kind == "ensemble" {
		w.gangOf(r).memberEnded(r)
	}
	w.instanceGone(r, was)
	if w.transport != nil && r.listenPort() > 0 {
		w.transport.Unlisten(r.m, r.key)
	}
}

// runners lists the attempts of the job that machines know.
func (j *userJob) runners() []*runner {
	out := make([]*runner, 0, len(j.attempts))
	for r := range j.attempts {
		out = append(out, r)
	}
	return out
}

// checkCancelled looks every 500 ms for tasks that run after the deadline of their job's
// cancellation.
func (w *World) checkCancelled() {
	w.after(500*time.Millisecond, w.checkCancelled)
	for _, j := range w.jobs {
		if j.cancelledAt == 0 || w.now <= j.cancelledAt+w.cancelDeadline() {
			continue
		}
		for r := range j.attempts {
			if r.onMachine() {
				w.reportViolation("ran_cancelled", "%s is on %s %.1f s after its cancellation", r.key, r.m.Name, (w.now - j.cancelledAt).Seconds())
			}
		}
	}
}
