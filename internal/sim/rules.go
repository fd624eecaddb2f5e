package sim

import "time"

// onMachine says whether a task counts as being on its machine.
func (r *runner) onMachine() bool {
	return r.phase == "waiting" || r.phase == "running" || r.phase == "flushing"
}

// checkStart holds at the moment a start is executed.
func (w *World) checkStart(r *runner) {
	j := r.job
	if w.OnStart != nil {
		w.OnStart(r)
	}
	w.tell(TaskStarted, r)
	if j.cancelledAt > 0 && w.now > j.cancelledAt {
		w.StartsAfterCancel++
	}
	if j.cancelledAt > 0 && w.now > j.cancelledAt+w.cancelWithin() {
		w.broke("ran_cancelled", "%s starts %.1f s after its cancellation", r.key, (w.now - j.cancelledAt).Seconds())
	}
	if (j.yard != "" && j.yard != r.m.Zone) || (r.m.Spot && !j.spot) {
		w.broke("wrong_place", "%s on %s (%s, spot %v)", r.key, r.m.Name, r.m.Zone, r.m.Spot)
	}
	inZone := 1
	for _, x := range j.runners() {
		if x == r || x.phase == "ended" {
			continue
		}
		if j.samePlace && x.m.Zone != r.m.Zone {
			w.broke("wrong_place", "%s in %s while %s is in %s", r.key, r.m.Zone, x.key, x.m.Zone)
		}
		if x.m.Zone == r.m.Zone && x.task != r.task {
			inZone++
		}
	}
	if j.apart && inZone > (j.tasks+1)/2 {
		w.broke("wrong_place", "%s is the %d. of %d in %s", r.key, inZone, j.tasks, r.m.Zone)
	}
	w.checkQuota(j.team)
	w.checkSurge(r)
	w.checkUnits(r)
}

// checkOn holds when a task has its image.
func (w *World) checkOn(r *runner) {
	w.Started++
	for _, x := range r.job.runners() {
		if x != r && x.task == r.task && x.onMachine() {
			w.broke("ran_twice", "%s on %s while %s is on %s", r.key, r.m.Name, x.key, x.m.Name)
		}
	}
}

func (w *World) checkQuota(team string) {
	u := w.use[team]
	if t, ok := w.limits[team]; ok && u != nil && over(t, u.cpus, u.gpus) {
		w.broke("quota", "team %s uses %v CPUs and %v GPUs", team, u.cpus, u.gpus)
	}
}

// left is told of every task that ends, whatever the reason.
func (w *World) left(r *runner, was string) {
	if at := r.job.cancelledAt; at > 0 && was != "ended" && was != "pulling" {
		w.LongestCancelled = max(w.LongestCancelled, w.now-at)
		if w.now > at+w.cancelWithin() {
			w.broke("ran_cancelled", "%s was on %s until %.1f s after its cancellation", r.key, r.m.Name, (w.now - at).Seconds())
		}
	}
	if r.job.shape == "ensemble" {
		w.gangOf(r).lost(r)
	}
	w.instanceGone(r, was)
	if w.outside != nil && r.listens() > 0 {
		w.outside.Unlisten(r.m, r.key)
	}
}

// runners are the attempts of the job that machines know.
func (j *userJob) runners() []*runner {
	out := make([]*runner, 0, len(j.attempts))
	for r := range j.attempts {
		out = append(out, r)
	}
	return out
}

// checkCancelled looks for tasks of jobs that were cancelled too long ago.
func (w *World) checkCancelled() {
	w.after(500*time.Millisecond, w.checkCancelled)
	for _, j := range w.jobs {
		if j.cancelledAt == 0 || w.now <= j.cancelledAt+w.cancelWithin() {
			continue
		}
		for r := range j.attempts {
			if r.onMachine() {
				w.broke("ran_cancelled", "%s is on %s %.1f s after its cancellation", r.key, r.m.Name, (w.now - j.cancelledAt).Seconds())
			}
		}
	}
}
