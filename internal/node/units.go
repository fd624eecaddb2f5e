package node

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/units"
	"brooklb/internal/wire"
)

const (
	// countEvery is how often the use of the resources is recorded.
	countEvery = time.Second
	// maxHolders bounds how many holders one answer lists.
	maxHolders = 200
)

// countUnits records the use of the resources, and stops the tasks that exceed a resource's
// count where the operator wants that.
func (t *term) countUnits() {
	now := t.node.env.Now()
	span := now - t.lastUnitsCount
	if span < countEvery {
		return
	}
	t.lastUnitsCount = now
	for _, r := range t.ledger.Units.All {
		if r.RequestingJobs == 0 && r.Used == 0 {
			continue
		}
		r.RecordUsage(span, t.queues.Waiting(r) > 0)
		if r.Record != nil && r.Record.Shed && !r.Unreadable && r.Used > r.Capacity() {
			t.shed(r)
		}
	}
}

// shed stops the tasks that exceed a lowered count: those of the lowest priority first, and
// among these the newest first.
func (t *term) shed(r *units.Resource) {
	over := r.Used - r.Capacity()
	var ps []*ledger.Placement
	for who, n := range r.Holders {
		switch h := who.(type) {
		case *ledger.Placement:
			if h.Stopping {
				over -= n
			} else {
				ps = append(ps, h)
			}
		case *ledger.Job:
			for i := range h.Tasks {
				if p := h.Tasks[i].CurrentPlacement; p != nil && p.Stopping {
					over -= n
					break
				}
			}
		}
	}
	slices.SortFunc(ps, func(a, b *ledger.Placement) int {
		return cmp.Or(cmp.Compare(a.Job.Spec.Priority, b.Job.Spec.Priority), cmp.Compare(b.PlacedAt, a.PlacedAt), cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID), cmp.Compare(a.Task, b.Task))
	})
	for _, p := range ps {
		if over <= 0 {
			return
		}
		over -= r.Holders[p]
		t.node.env.Log().Info("stopping a placement that exceeds a resource's count", "resource", r.Name, "job", p.Job.Spec.ID, "task", p.Task, "machine", p.Host.Name)
		t.ledger.Stop(p, p.Grace(), "resource "+r.Name+" has fewer units now")
	}
}

// unitsLive returns the leader's current view of a resource, with its holders if they are asked
// for.
func (t *term) unitsLive(name string, holders bool) *wire.UnitsLive {
	r := t.ledger.Units.Get(name)
	if r == nil {
		return &wire.UnitsLive{}
	}
	v := &wire.UnitsLive{Used: r.Used, Free: max(0, r.Capacity()-r.Used), Jobs: r.RequestingJobs, Waiting: t.queues.Waiting(r), BusyS: roundToTenth(r.BusyS), IdleS: roundToTenth(r.IdleS),
		WaitP50: roundToTenth(r.WaitPercentileS(50)), WaitP99: roundToTenth(r.WaitPercentileS(99))}
	if !holders {
		return v
	}
	now := t.node.env.Now()
	for who, n := range r.Holders {
		h := wire.HolderView{Units: n, Task: -1}
		switch x := who.(type) {
		case *ledger.Placement:
			h.Job, h.Task, h.Attempt, h.Machine = x.Job.Spec.ID, x.Task, x.Attempt, x.Host.Name
			h.ForS, h.Until = roundToTenth((now - x.PlacedAt).Seconds()), t.until(x)
		case *ledger.Job:
			h.Job, h.Until = x.Spec.ID, fmt.Sprintf("the last of its %d tasks that have a machine is gone", x.Placed)
			for i := range x.Tasks {
				if p := x.Tasks[i].CurrentPlacement; p != nil {
					h.ForS = max(h.ForS, roundToTenth((now - p.PlacedAt).Seconds()))
				}
			}
		}
		v.Holders = append(v.Holders, h)
	}
	slices.SortFunc(v.Holders, func(a, b wire.HolderView) int {
		return cmp.Or(cmp.Compare(b.ForS, a.ForS), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	if n := len(v.Holders); n > maxHolders {
		v.Holders, v.More = v.Holders[:maxHolders], n-maxHolders
	}
	return v
}

// until says what must happen before a placement's units are free.
func (t *term) until(p *ledger.Placement) string {
	now, m := t.node.env.Now(), p.Host
	switch {
	case !p.Durable:
		return "its start is being written"
	case m.ReturnSent || m.Leaving:
		return "the cloud says that its machine is gone, or its end is reported"
	case !m.Reported:
		return fmt.Sprintf("its machine reports, or its lease has surely run out (in %.0f s)", max(0, (t.workers.LeaseExpiry(m)-now).Seconds()))
	case now-m.LastReport > 3*seconds(t.node.settings.Facts.Workers.ReportS):
		return fmt.Sprintf("its machine, silent for %.0f s, reports again, or its lease has surely run out (in %.0f s)", (now - m.LastReport).Seconds(),
			max(0, (t.workers.LeaseExpiry(m)-now).Seconds()))
	case p.Stopping:
		return "its end is reported: it was told to stop"
	case p.Phase == model.Fetching || !p.SeenInReport:
		return "its end is reported: it is being started"
	}
	return "its end is reported: it runs"
}
