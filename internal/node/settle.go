package node

import (
	"time"

	"brooklb/internal/leader"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// settled reports whether anything may be started. After a restore, tasks may run that
// were started after the snapshot was taken, and of which the records know nothing:
// the first leader answers workers and stops what nobody placed, and starts nothing
// until the leases of all workers that were not heard have surely run out.
func (t *term) settled() bool {
	if t.base.Settled {
		return true
	}
	f := &t.n.set.Facts.Workers
	rest := t.workers.Began() + t.n.hold + time.Duration(1.001*float64(seconds(f.LeaseS))) + 2*seconds(f.ReportS) - t.n.env.Now()
	if rest > 0 {
		if !t.told {
			t.told = true
			t.n.env.Log().Info("a restored cluster: nothing is started until all earlier leases have run out", "in_s", tenth(rest.Seconds()))
		}
		return false
	}
	if t.settling {
		return false
	}
	it, ok := t.n.store.Peek(leader.BaseKey)
	if !ok {
		return false
	}
	t.settling = true
	b := t.base
	b.Settled = true
	txn := wire.Txn{When: []wire.Cond{{Path: leader.Key, Stamp: t.token - t.base.Token}, {Path: leader.BaseKey, Stamp: it.Stamp}},
		Apply: []wire.Change{{Write: leader.BaseKey, Value: wire.Encode(b)}}}
	t.n.store.Commit(txn, true, func(r statestore.Result, _ uint64, _ []string) {
		t.settling = false
		if t.closed {
			return
		}
		if r == statestore.OK {
			t.base.Settled = true
			t.n.env.Log().Info("the restored cluster has settled")
		}
		t.wake()
	})
	return false
}
