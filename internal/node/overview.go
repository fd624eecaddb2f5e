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

// maxListed bounds how many waiting jobs, and how many classes, an overview lists. The answer
// must stay small, since controllers run on small machines.
const maxListed = 60

// Overview returns the state of this node and, if it leads, of the cluster.
func (n *Node) Overview() wire.Overview {
	now := n.env.Now()
	o := wire.Overview{Node: n.settings.Label, Leader: n.election.Leader(), Healthy: n.healthy()}
	if n.store.Synced() {
		o.StateSilentS = roundToTenth((now - n.store.LastContact()).Seconds())
	}
	o.Admission = &wire.AdmissionView{Changes: roundToTenth(n.Share()), Wanted: roundToTenth(n.submissionQueue.ArrivalRate(now)), Admitted: roundToTenth(n.submissionQueue.AdmissionRate(now)), Waiting: n.submissionQueue.Waiting(), Refused: n.submissionQueue.Refused}
	t := n.term
	if t == nil {
		return o
	}
	o.Admission.AdmitFraction, o.Admission.WriteBacklogS = roundToTenth(t.admitFraction), roundToTenth(t.ledger.WriteBacklogS(model.Low))
	for _, k := range t.blockedClasses {
		o.Admission.BlockedClasses = append(o.Admission.BlockedClasses, k[1]+" of "+k[0])
	}
	o.Classes = t.classes()
	o.Leading, o.Token, o.LedS = true, t.token, roundToTenth((now - t.workers.Began()).Seconds())
	m, j := t.countMachinesAndJobs()
	o.Machines, o.Jobs = &m, &j
	for _, c := range n.settings.Facts.Teams {
		u := t.ledger.Teams[c.Name].Used
		o.Teams = append(o.Teams, wire.TeamView{Name: c.Name, CPUs: u.CPUs, GPUs: u.GPUs, GuaranteedCPUs: c.GuaranteedCPUs, GuaranteedGPUs: c.GuaranteedGPUs,
			MaxCPUs: c.MaxCPUs, MaxGPUs: c.MaxGPUs})
	}
	for _, j := range t.ledger.Order() {
		if !placement.Waiting(j) {
			continue
		}
		if len(o.Queue) == maxListed {
			break
		}
		why := j.FaultReason()
		if why == "" {
			why = j.WaitReason
		}
		o.Queue = append(o.Queue, wire.JobView{Job: j.Spec.ID, Class: j.Spec.Class, Team: j.Spec.Team, Tasks: len(j.Tasks), Done: j.DoneTasks,
			Placed: j.Placed, AgeS: roundToTenth((now - j.AcceptedAt).Seconds()), Why: why, LastStopReason: j.StopReason})
	}
	return o
}

// classes counts the unfinished jobs by class and team.
func (t *term) classes() []wire.ClassView {
	at := map[fair.Key]int{}
	var out []wire.ClassView
	for _, j := range t.ledger.Order() {
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
		if t.withinMinShare[j] {
			c.WithinMinShare++
		}
	}
	slices.SortStableFunc(out, func(a, b wire.ClassView) int { return cmp.Compare(b.Waiting+b.Placed, a.Waiting+a.Placed) })
	return out[:min(len(out), maxListed)]
}

// maxLoggedTeams bounds how many teams the log names.
const maxLoggedTeams = 8

// teamUsage says for the log what the teams nearest to their limits use. The jobs of a team at
// its limit wait for the team's other jobs, and more machines don't help them.
func (t *term) teamUsage() string {
	type use struct {
		name       string
		used, most float64
		unit       string
	}
	var us []use
	for _, c := range t.node.settings.Facts.Teams {
		u := t.ledger.Teams[c.Name].Used
		if c.MaxCPUs > 0 {
			us = append(us, use{c.Name, u.CPUs, c.MaxCPUs, "cpus"})
		}
		if c.MaxGPUs > 0 {
			us = append(us, use{c.Name, u.GPUs, c.MaxGPUs, "gpus"})
		}
	}
	slices.SortStableFunc(us, func(a, b use) int { return cmp.Compare(b.used/b.most, a.used/a.most) })
	var sb strings.Builder
	for _, u := range us[:min(len(us), maxLoggedTeams)] {
		if sb.Len() > 0 {
			sb.WriteString(", ")
		}
		fmt.Fprintf(&sb, "%s %.0f of %.0f %s", u.name, u.used, u.most, u.unit)
	}
	return sb.String()
}

// countMachinesAndJobs counts the machines, by what they are doing, and the jobs.
func (t *term) countMachinesAndJobs() (c wire.MachinesView, jobs wire.JobsView) {
	now := t.node.env.Now()
	silent := 3 * time.Duration(t.node.settings.Facts.Workers.ReportS*float64(time.Second))
	c.Total = len(t.ledger.MachinesByName())
	for _, m := range t.ledger.MachinesByName() {
		switch {
		case m.Leaving:
			c.Leaving++
			continue
		case !m.Reported:
			c.Booting++
			continue
		case now-m.LastReport > silent:
			c.Silent++
		case len(m.Placements) == 0:
			c.Idle++
		}
		if m.Spot {
			c.Spot++
		}
		if len(m.Placements) > 0 {
			c.Room += fractionOf(m.Free(), m.Cap)
		}
		for _, p := range m.Placements {
			x := fractionOf(p.Job.Spec.Resources, m.Cap)
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
		*x = roundToTenth(*x)
	}
	jobs.Open, jobs.Waiting = len(t.ledger.Order()), len(t.unplaced)
	for _, j := range t.ledger.Order() {
		if j.Faulty() {
			jobs.AtFault++
		}
	}
	for _, j := range t.unplaced {
		jobs.WaitingTasks += j.Idle()
	}
	return c, jobs
}
