// Package fleet rents machines for waiting work and returns those that are idle,
// silent or faulty. It also keeps the record of the rented machines up to date: the
// cloud's list lags, requests may be executed late, and machines may fail.
package fleet

import (
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
)

// Config holds the settings of an Actor.
type Config struct {
	RentalID       uint64 // part of the IDs of all rental requests of a term; no other term ever has the same
	CloudAddr      string
	RPS            float64
	CPUShare       float64 // part of a core that the process may use; 0: a whole core
	ListLag        time.Duration
	ReportInterval time.Duration
	IdleTimeout    time.Duration // after which an idle machine beyond the headroom is returned
	WaitTolerance  time.Duration // a machine is rented for work that would otherwise start later by more than this
	Headroom       float64       // part of the work arriving during a boot for which idle machines are kept
}

type pool struct {
	typ, zone string
	spot      bool
}

// Actor manages the rented machines during one term.
type Actor struct {
	env     actor.Env
	led     *ledger.Ledger
	store   *statestore.Store
	token   uint64
	cfg     Config
	bucket  actor.Bucket
	began   time.Duration
	stopped bool

	rentalCount  int
	refusedUntil map[pool]time.Duration // after a refusal: no request before this time
	renting      map[pool]int
	returning    bool
	listing      bool
	listedAt     time.Duration
	typesAt      time.Duration
	publishing   bool // of the machine types
	checkedAt    time.Duration
	tickedAt     time.Duration
	resumedAt    time.Duration // when planning resumed after a time without proof of leading
	catchingUp   bool          // since then, changes are still waiting to be written
	hasList      bool
	listedNames  map[string]bool
	toReturn     map[string]time.Duration // machine name -> since when
	arrivals     []arrival
	inflow       inflow
	countedJobs  map[string]bool
	boots        *bootEstimator
	// OnChange is called when machines or their availability may have changed.
	OnChange func()
}

type arrival struct {
	at     time.Duration
	size   float64 // in machines
	prompt bool    // its class has an objective for the start
	prio   model.Priority
}

const callTimeout = 4 * time.Second

// maxTickGap is the longest time between Ticks while the node has proof of leading. Without
// proof nothing is placed on machines that become idle, and new machines can't report: right
// after a long outage all of them were returned as idle, and as many were rented again.
const maxTickGap = 3 * time.Second

// New creates the actor of a term.
func New(env actor.Env, led *ledger.Ledger, store *statestore.Store, token uint64, cfg Config) *Actor {
	a := &Actor{env: env, led: led, store: store, token: token, cfg: cfg, began: env.Now(), refusedUntil: map[pool]time.Duration{},
		renting: map[pool]int{}, toReturn: map[string]time.Duration{}, listedAt: -time.Hour, typesAt: -time.Hour, countedJobs: map[string]bool{}, boots: newBootEstimator()}
	a.bucket.SetRate(cfg.RPS*0.8, max(1, cfg.RPS*1.2))
	if types, err := StoredTypes(store); err == nil {
		a.setTypes(types)
	}
	return a
}

// Close ends the term.
func (a *Actor) Close() { a.stopped = true }

func (a *Actor) call(method, path string, body []byte, done func(actor.Answer)) bool {
	if !a.bucket.Take(a.env.Now(), 1, 0) {
		return false
	}
	a.env.Call(actor.Call{Addr: a.cfg.CloudAddr, Method: method, Path: path, Body: body, Timeout: callTimeout, Done: func(ans actor.Answer) {
		if !a.stopped {
			done(ans)
		}
	}})
	return true
}

// Tick sends the requests to the cloud that are due, and checks the machines. Returns precede
// the list of machines, since they end costs and confirm that machines are gone.
func (a *Actor) Tick() {
	now := a.env.Now()
	if a.tickedAt > 0 && now-a.tickedAt > maxTickGap {
		a.resumedAt, a.catchingUp = now, true
	}
	if a.catchingUp {
		// Nothing is planned while changes wait to be written, so that a machine may be
		// idle although there is work for it.
		if a.catchingUp = a.led.WriteBacklogS(model.Low) > 0; a.catchingUp {
			a.resumedAt = now
		}
	}
	a.tickedAt = now
	if len(a.led.Types) == 0 || now-a.typesAt > typesInterval {
		a.askTypes()
	}
	a.boots.update(a.led, now)
	a.sendReturns()
	if !a.listing && now-a.listedAt > 3*time.Second {
		a.list()
	}
	if now-a.checkedAt >= time.Second {
		a.checkedAt = now
		a.checkMachines()
	}
}
