package node

import (
	"time"

	"brooklb/internal/model"
	"brooklb/internal/placement"
	"brooklb/internal/wire"
)

// longestQueue bounds how many waiting jobs an overview lists; an answer must
// stay small on machines that are.
const longestQueue = 60

// Overview tells how this node and, if it leads, the cluster stand.
func (n *Node) Overview() wire.Overview {
	now := n.env.Now()
	o := wire.Overview{Node: n.set.Label, Leader: n.elect.Leader(), Healthy: n.healthy()}
	if n.store.Synced() {
		o.StateSilentS = tenth((now - n.store.Contact()).Seconds())
	}
	t := n.term
	if t == nil {
		return o
	}
	o.Leading, o.Token, o.LedS = true, t.token, tenth((now - t.workers.Began()).Seconds())
	m, j := t.census()
	o.Machines, o.Jobs = &m, &j
	for _, c := range n.set.Facts.Teams {
		u := t.led.Teams[c.Name].Used
		o.Teams = append(o.Teams, wire.TeamView{Name: c.Name, CPUs: u.CPUs, GPUs: u.GPUs, GuaranteedCPUs: c.CPUs, GuaranteedGPUs: c.GPUs,
			MostCPUs: c.CPUsMax, MostGPUs: c.GPUsMax})
	}
	for _, j := range t.led.Order() {
		if !placement.Waiting(j) {
			continue
		}
		if len(o.Queue) == longestQueue {
			break
		}
		why := j.Fault()
		if why == "" {
			why = j.Waits
		}
		o.Queue = append(o.Queue, wire.JobView{Job: j.Spec.ID, Class: j.Spec.Class, Team: j.Spec.Team, Tasks: len(j.Tasks), Done: j.NDone,
			Placed: j.Placed, AgeS: tenth((now - j.Since).Seconds()), Why: why, Last: j.Why})
	}
	return o
}

// census counts the machines, by what they are doing, and the jobs.
func (t *term) census() (c wire.MachinesView, jobs wire.JobsView) {
	now := t.n.env.Now()
	silent := 3 * time.Duration(t.n.set.Facts.Workers.ReportS*float64(time.Second))
	c.Total = len(t.led.Sorted())
	for _, m := range t.led.Sorted() {
		switch {
		case m.Leaving:
			c.Leaving++
			continue
		case !m.Heard:
			c.Booting++
			continue
		case now-m.LastHeard > silent:
			c.Silent++
		case len(m.P) == 0:
			c.Idle++
		}
		if m.Spot {
			c.Spot++
		}
		if len(m.P) > 0 {
			c.Room += part(m.Free(), m.Cap)
		}
		for _, p := range m.P {
			x := part(p.Job.Spec.Need, m.Cap)
			switch p.Phase {
			case model.Running:
				c.Running += x
			case model.Waiting:
				c.Waiting += x
			case model.Saving:
				c.Saving += x
			default:
				c.Fetching += x
			}
		}
	}
	for _, x := range []*float64{&c.Running, &c.Fetching, &c.Waiting, &c.Saving, &c.Room} {
		*x = tenth(*x)
	}
	jobs.Open, jobs.Waiting = len(t.led.Order()), len(t.left)
	for _, j := range t.led.Order() {
		if j.Faulty() {
			jobs.AtFault++
		}
	}
	for _, j := range t.left {
		jobs.WaitingTasks += j.Idle()
	}
	return c, jobs
}
