package sim

import (
	"time"

	"brooklb/internal/settings"
)

// mostWait is for how long no job may be left waiting, once all troubles are over, while a
// machine that fits has room and its team is under its limit: the users' judgement.
const mostWait = 90 * time.Second

// look is what the stand-ins know at one moment.
type look struct {
	machines []*Machine // that are up, reachable and not about to be taken
	runners  map[*userJob][]*runner
	use      map[string][2]float64 // by team, CPUs and GPUs
	free     map[*Machine][2]float64
}

func (w *World) look() *look {
	l := &look{runners: map[*userJob][]*runner{}, use: map[string][2]float64{}, free: map[*Machine][2]float64{}}
	for _, m := range w.Machines() {
		cpus, gpus := w.cfg.CPUs, w.cfg.GPUs
		for _, r := range m.sorted() {
			if r.phase == "ended" {
				continue
			}
			l.runners[r.job] = append(l.runners[r.job], r)
			cpus -= r.job.cpus
			gpus -= r.job.gpus
			u := l.use[r.job.team]
			l.use[r.job.team] = [2]float64{u[0] + r.job.cpus, u[1] + r.job.gpus}
		}
		if m.up && m.recallAt == 0 && !m.hanging() && !m.mute() && !m.deaf() && !w.cutOff(m) {
			l.machines = append(l.machines, m)
			l.free[m] = [2]float64{cpus, gpus}
		}
	}
	return l
}

// cutOff: some controller and the machine don't reach each other.
func (w *World) cutOff(m *Machine) bool {
	for _, s := range w.nodes {
		if w.cutBetween(s.host, m.Name) != nil {
			return true
		}
	}
	return false
}

// idle is how many of the job's tasks are neither done nor on a machine.
func (l *look) idle(j *userJob) int {
	on := map[int]bool{}
	for _, r := range l.runners[j] {
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

// fits reports whether what waits of the job could be started now: one task of an array or a
// service, all that is missing of a gang.
func (w *World) fits(l *look, j *userJob) bool {
	idle := l.idle(j)
	if idle == 0 {
		return false
	}
	n := 1
	if j.shape == "ensemble" {
		n = idle
	}
	for _, t := range w.cfg.Teams {
		if u := l.use[t.Name]; t.Name == j.team && over(t, u[0]+float64(n)*j.cpus, u[1]+float64(n)*j.gpus) {
			return false
		}
	}
	there := map[string]int{} // the job's tasks by zone
	only := ""
	for _, r := range l.runners[j] {
		there[r.m.Zone]++
		only = r.m.Zone
	}
	byZone := map[string]int{}
	for _, m := range l.machines {
		if j.yard != "" && m.Zone != j.yard || m.Spot && !j.spot || j.samePlace && only != "" && m.Zone != only {
			continue
		}
		k, f := n, l.free[m]
		for k > 0 && (float64(k)*j.cpus > f[0]+1e-6 || float64(k)*j.gpus > f[1]+1e-6) {
			k--
		}
		byZone[m.Zone] += k
	}
	all, most := 0, 0
	for z, k := range byZone {
		if j.apart {
			k = min(k, (j.tasks+1)/2-there[z])
		}
		all += max(0, k)
		most = max(most, k)
	}
	if j.samePlace {
		return most >= n
	}
	return all >= n
}

// over reports whether so much is more than the team's limit.
func over(t settings.Team, cpus, gpus float64) bool {
	return t.CPUsMax > 0 && cpus > t.CPUsMax+1e-6 || t.GPUsMax > 0 && gpus > t.GPUsMax+1e-6
}

// watchWaiting looks, from the end of all troubles on, for jobs that are left waiting while
// there is room for them. It asks the machines and the users, never the controllers.
func (w *World) watchWaiting() {
	w.after(time.Second, w.watchWaiting)
	if w.Calm == 0 || w.now < w.Calm {
		return
	}
	l := w.look()
	for _, id := range w.ids() {
		j := w.jobs[id]
		if !j.accepted || j.cancelAsked || j.cancelledAt > 0 || j.toldDone || j.bad || j.service != "" || len(j.units) > 0 || !w.fits(l, j) {
			j.roomSince = 0
			continue
		}
		if j.roomSince == 0 {
			j.roomSince = w.now
		}
		wait := w.now - max(j.roomSince, j.acceptedAt)
		w.LongestWait = max(w.LongestWait, wait)
		if wait > mostWait && !j.waited {
			j.waited = true
			w.broke("waited", "%s (%s of %d, %v CPUs, %v GPUs, %s) has %d tasks not started since %.1f s, though there is room", j.id, j.shape, j.tasks, j.cpus, j.gpus, j.team, l.idle(j), j.roomSince.Seconds())
		}
	}
}
