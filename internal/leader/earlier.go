package leader

import "time"

const (
	// A restarted process may be back long before the lease of its predecessor expires. It
	// tries to end that lease only in its own first seconds. Otherwise two processes that run
	// under one label by mistake would end each other's terms repeatedly.
	endEarlierWithin = 8 * time.Second
	// endEarlierRetry is the time between attempts to end it.
	endEarlierRetry = 400 * time.Millisecond
)

// endEarlier ends the lease that an earlier process with this node's label left behind. That
// process has ended, so it doesn't lead, and all nodes would wait for a lease that no process
// renews. This process neither adopts nor renews the lease. The leader key disappears with its
// lease, and the first node that creates the key again leads next. If the earlier process runs
// nevertheless, its writes fail like those of any leader that has lost its key.
func (a *Actor) endEarlier() {
	now := a.env.Now()
	if a.token != 0 || a.claiming || a.keyRecord.Node != a.label || a.keyRecord.Nonce == a.nonce || a.keyRecord.LeaseID == 0 || now >= endEarlierWithin || now < a.endEarlierAt {
		return
	}
	leaseID := a.keyRecord.LeaseID
	a.endEarlierAt = now + endEarlierRetry
	a.store.End(leaseID, func(ok bool) {
		if ok {
			a.env.Log().Info("ended the lease of an earlier process of this node", "token", a.keyRevision)
		}
	})
}
