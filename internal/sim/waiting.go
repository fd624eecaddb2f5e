package sim

import (
	"time"

	"brooklb/internal/settings"
)

// maxWait is the longest time, once all injected faults are over, that users accept for a
// job that is not started although machines have room and its team is under its limit.
const maxWait = 90 * time.Second

// view is the state of the stand-ins at one moment.
type view struct {
	machines []*Machine // that are up, reachable and not about to be reclaimed
	runners  map[*userJob][]*runner
	use      map[string][2]float64 // by team, CPUs and GPUs
	free     map[*Machine][2]float64
}

func (w *World) view() *view {
	v := &view{runners: map[*userJob][]*runner{}, use: map[string][2]float64{}, free: map[*Machine][2]float64{}}
	for _, m := range w.Machines() {
		cpus, gpus := w.cfg.CPUs, w.cfg.GPUs
		for _, r := range m.sortedTasks() {
			if r.phase == "ended" {
				continue
			}
			v.runners[r.job] = append(v.runners[r.job], r)
			cpus -= r.job.cpus
			gpus -= r.job.gpus
			u := v.use[r.job.team]
			v.use[r.job.team] = [2]float64{u[0] + r.job.cpus, u[1] + r.job.gpus}
		}
		if m.up && m.interruptionAt == 0 && !m.hanging() && !m.outboundBlocked() && !m.losesInbound() && !w.cutOff(m) {
			v.machines = append(v.machines, m)
			v.free[m] = [2]float64{cpus, gpus}
		}
	}
	return v
}

// cutOff reports whether the network between the machine and some controller is cut.
func (w *World) cutOff(m *Machine) bool {
	for _, s := range w.nodes {
		if w.cutBetween(s.host, m.Name) != nil {
			return true
		}
	}
	return false
}

// unstarted is the number of the job's tasks that are neither done nor on a machine.
func (v *view) unstarted(j *userJob) int {
	on := map[int]bool{}
	for _, r := range v.runners[j] {
		on[r.task] = true
	}
	n := 0
	for k := range j.tasks {
		if !on[k] && !j.results[k] {
			n++
		}
	}
	return n
}

// fits reports whether waiting tasks of the job could be started now: one task of an array
// or a service, all missing tasks of a gang.
func (w *World) fits(v *view, j *userJob) bool {
	unstarted := v.unstarted(j)
	if unstarted == 0 {
		return false
	}
	n := 1
	if j.kind == "ensemble" {
		n = unstarted
	}
	for _, t := range w.cfg.Teams {
		if u := v.use[t.Name]; t.Name == j.team && over(t, u[0]+float64(n)*j.cpus, u[1]+float64(n)*j.gpus) {
			return false
		}
	}
	tasksByZone := map[string]int{} // the job's tasks by zone
	zoneInUse := ""
	for _, r := range v.runners[j] {
		tasksByZone[r.m.Zone]++
		zoneInUse = r.m.Zone
	}
	byZone := map[string]int{}
	for _, m := range v.machines {
		if j.zone != "" && m.Zone != j.zone || m.Spot && !j.spot || j.oneZone && zoneInUse != "" && m.Zone != zoneInUse {
			continue
		}
		k, f := n, v.free[m]
		for k > 0 && (float64(k)*j.cpus > f[0]+1e-6 || float64(k)*j.gpus > f[1]+1e-6) {
			k--
		}
		byZone[m.Zone] += k
	}
	all, most := 0, 0
	for z, k := range byZone {
		if j.spread {
			k = min(k, (j.tasks+1)/2-tasksByZone[z])
		}
		all += max(0, k)
		most = max(most, k)
	}
	if j.oneZone {
		return most >= n
	}
	return all >= n
}

// over reports whether the use exceeds the team's limit.
func over(t settings.Team, cpus, gpus float64) bool {
	return t.MaxCPUs > 0 && cpus > t.MaxCPUs+1e-6 || t.MaxGPUs > 0 && gpus > t.MaxGPUs+1e-6
}

// watchWaiting looks, from the end of all injected faults on, for jobs that are not started
// while there is room for them. It reads only the state of machines and users, not that of
// the controllers.
func (w *World) watchWaiting() {
	w.after(time.Second, w.watchWaiting)
	if w.FaultsEndAt == 0 || w.now < w.FaultsEndAt {
		return
	}
	v := w.view()
	for _, id := range w.jobIDs() {
		j := w.jobs[id]
		if !j.accepted || j.cancelAsked || j.cancelledAt > 0 || j.reportedDone || j.faulty || j.service != "" || len(j.units) > 0 || !w.fits(v, j) {
			j.startableSince = 0
			continue
		}
		if j.startableSince == 0 {
			j.startableSince = w.now
		}
		wait := w.now - max(j.startableSince, j.acceptedAt)
		w.LongestWait = max(w.LongestWait, wait)
		if wait > maxWait && !j.waitReported {
			j.waitReported = true
			w.reportViolation("waited", "%s (%s of %d, %v CPUs, %v GPUs, %s) has %d tasks that were not started since %.1f s, although there is room", j.id, j.kind, j.tasks, j.cpus, j.gpus, j.team, v.unstarted(j), j.startableSince.Seconds())
		}
	}
}
