package node

import (
	"time"

	"brooklb/internal/leader"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// settled reports whether tasks may be started. After a restore, tasks may run that were
// started after the snapshot was taken and that are missing in the records. The first leader
// answers workers and stops tasks that are not recorded. It starts nothing until the leases of
// all workers that have not reported to it have certainly expired.
func (t *term) settled() bool {
	if t.base.Settled {
		return true
	}
	f := &t.node.settings.Facts.Workers
	remaining := t.workers.Began() + t.node.hold + time.Duration(1.001*float64(seconds(f.LeaseS))) + 2*seconds(f.ReportS) - t.node.env.Now()
	if remaining > 0 {
		if !t.restoreWaitLogged {
			t.restoreWaitLogged = true
			t.node.env.Log().Info("cluster was restored, nothing is started until all earlier leases have expired", "in_s", roundToTenth(remaining.Seconds()))
		}
		return false
	}
	if t.settling {
		return false
	}
	it, ok := t.node.store.Peek(leader.BaseKey)
	if !ok {
		return false
	}
	t.settling = true
	b := t.base
	b.Settled = true
	txn := wire.Txn{When: []wire.Cond{{Path: leader.Key, Revision: t.token - t.base.Token}, {Path: leader.BaseKey, Revision: it.Revision}},
		Apply: []wire.Change{{Write: leader.BaseKey, Value: wire.Encode(b)}}}
	t.node.store.Commit(txn, true, func(r statestore.Result, _ uint64, _ []string) {
		t.settling = false
		if t.closed {
			return
		}
		if r == statestore.OK {
			t.base.Settled = true
			t.node.env.Log().Info("all leases from before the restore have expired, starts are allowed")
		}
		t.schedulePass()
	})
	return false
}
