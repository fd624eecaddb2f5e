package node

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"brooklb/internal/fair"
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
	o.Door = &wire.DoorView{Changes: tenth(n.Share()), Wanted: tenth(n.gate.Want(now)), Admitted: tenth(n.gate.Admitted(now)), Waiting: n.gate.Waiting(), Refused: n.gate.Refused}
	t := n.term
	if t == nil {
		return o
	}
	o.Door.Ease, o.Door.BehindS = tenth(t.ease), tenth(t.led.Behind(model.Low))
	for _, k := range t.shut {
		o.Door.Shut = append(o.Door.Shut, k[1]+" of "+k[0])
	}
	o.Classes = t.classes()
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

// classes counts the unfinished jobs by class and team.
func (t *term) classes() []wire.ClassView {
	at := map[fair.Key]int{}
	var out []wire.ClassView
	for _, j := range t.led.Order() {
		k := fair.Key{Team: j.Spec.Team, Class: j.Spec.Class}
		i, ok := at[k]
		if !ok {
			i = len(out)
			at[k] = i
			out = append(out, wire.ClassView{Class: k.Class, Team: k.Team})
		}
		c := &out[i]
		c.Jobs++
		c.Waiting += j.Idle()
		c.Placed += j.Placed
		if t.floored[j] {
			c.Floor++
		}
	}
	slices.SortStableFunc(out, func(a, b wire.ClassView) int { return cmp.Compare(b.Waiting+b.Placed, a.Waiting+a.Placed) })
	return out[:min(len(out), longestQueue)]
}

// mostTeams bounds how many teams the log names.
const mostTeams = 8

// teamsLine is what the teams nearest to their limits use, for the log: a team that is
// at its limit waits for itself, and no machine helps it.
func (t *term) teamsLine() string {
	type use struct {
		name       string
		used, most float64
		unit       string
	}
	var us []use
	for _, c := range t.n.set.Facts.Teams {
		u := t.led.Teams[c.Name].Used
		if c.CPUsMax > 0 {
			us = append(us, use{c.Name, u.CPUs, c.CPUsMax, "cpus"})
		}
		if c.GPUsMax > 0 {
			us = append(us, use{c.Name, u.GPUs, c.GPUsMax, "gpus"})
		}
	}
	slices.SortStableFunc(us, func(a, b use) int { return cmp.Compare(b.used/b.most, a.used/a.most) })
	var sb strings.Builder
	for _, u := range us[:min(len(us), mostTeams)] {
		if sb.Len() > 0 {
			sb.WriteString(", ")
		}
		fmt.Fprintf(&sb, "%s %.0f of %.0f %s", u.name, u.used, u.most, u.unit)
	}
	return sb.String()
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
