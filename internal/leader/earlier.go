package leader

import "time"

const (
	// A process may be back long before the lease of the one before it runs out. What
	// that one left is looked for only while ours is so young: should two processes be
	// run under one label by mistake, they would else end each other's terms for ever.
	youngFor = 8 * time.Second
	// After an attempt in vain to end it, the next comes so much later.
	endAgain = 400 * time.Millisecond
)

// endEarlier ends the lease that an earlier process under our own label left behind.
// That process has ended, so that nobody leads with it: everybody would wait for a lease
// that nobody renews. We neither take it for our own nor renew it. The key is gone when
// its lease is, and whoever writes it first under that condition leads next. Should that
// process live against all rules, its writes fail as those of any leader that lost its
// key.
func (a *Actor) endEarlier() {
	now := a.env.Now()
	if a.token != 0 || a.trying || a.known.Node != a.label || a.known.Nonce == a.nonce || a.known.Permit == 0 || now >= youngFor || now < a.endAt {
		return
	}
	permit := a.known.Permit
	a.endAt = now + endAgain
	a.store.End(permit, func(ok bool) {
		if ok {
			a.env.Log().Info("ended the lease of the process before this one", "token", a.knownAt)
		}
	})
}
