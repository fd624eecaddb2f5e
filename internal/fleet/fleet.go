// Package fleet rents machines for waiting work and returns those that cost
// more than they save. It also keeps the picture of what is rented true: the
// cloud's list lags, requests may be executed late, and machines may fail.
package fleet

import (
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/leader"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// TypesKey holds the machine types for the nodes that don't ask the cloud.
const TypesKey = statestore.Prefix + "types"

// Config of the slice.
type Config struct {
	Charter  uint64 // names rental requests, together with a count; it never recurs
	Cloud    string
	RPS      float64
	Share    float64 // of a core, that the process has; 0: all of it
	ListLag  time.Duration
	Report   time.Duration
	IdleKeep time.Duration // an idle machine beyond the headroom is returned after this
	Patience time.Duration // work is rented for if it would wait this much longer than a new machine takes
	Headroom float64       // part of the work arriving during a boot that is kept in idle machines
}

type pool struct {
	typ, zone string
	spot      bool
}

// Actor looks after the machines during one term.
type Actor struct {
	env     actor.Env
	led     *ledger.Ledger
	store   *statestore.Store
	token   uint64
	cfg     Config
	bucket  actor.Bucket
	began   time.Duration
	stopped bool

	charters  int
	refused   map[pool]time.Duration // no capacity: not asked again before
	renting   map[pool]int
	returning bool
	listing   bool
	listedAt  time.Duration
	typesAt   time.Duration
	watchedAt time.Duration
	ticked    time.Duration
	resumed   time.Duration // when planning went on after the proof of leading was gone
	behind    bool          // what was lost then is not planned or written again yet
	listOnce  bool
	seen      map[string]bool
	want      map[string]time.Duration // to be returned: name -> since
	arrivals  []arrival
	inflow    inflow
	counted   map[string]bool
	boots     *boots
	// OnChange is called when machines were added or removed.
	OnChange func()
}

type arrival struct {
	at     time.Duration
	size   float64 // in machines
	prompt bool    // of a class that is to start within a stated time
	prio   model.Priority
}

const callTimeout = 4 * time.Second

// After so long without a Tick there was no proof of leading: nothing could be placed on
// machines that fell empty, and new ones could not be heard. All of them were returned as idle
// as soon as a long outage was over, and as many rented again.
const away = 3 * time.Second

// New makes the actor of a term.
func New(env actor.Env, led *ledger.Ledger, store *statestore.Store, token uint64, cfg Config) *Actor {
	a := &Actor{env: env, led: led, store: store, token: token, cfg: cfg, began: env.Now(), refused: map[pool]time.Duration{},
		renting: map[pool]int{}, want: map[string]time.Duration{}, listedAt: -time.Hour, typesAt: -time.Hour, counted: map[string]bool{}, boots: newBoots()}
	a.bucket.SetRate(cfg.RPS*0.8, max(1, cfg.RPS*1.2))
	if it, ok := store.Peek(TypesKey); ok {
		if ts, err := DecodeTypes(it.Value); err == nil {
			a.setTypes(ts)
		}
	}
	return a
}

// Close ends the term.
func (a *Actor) Close() { a.stopped = true }

func (a *Actor) setTypes(ts []model.MachineType) {
	for i := range ts {
		a.led.Types[ts[i].Name] = &ts[i]
	}
	for _, m := range a.led.MachinesByName() {
		if m.Type != "" && !m.TypeKnown {
			a.led.Describe(m, m.Type, m.Zone, m.Spot)
		}
	}
}

// EncodeTypes makes the value of TypesKey.
func EncodeTypes(ts []model.MachineType) []byte {
	b, err := json.Marshal(ts)
	if err != nil {
		panic("fleet: " + err.Error())
	}
	return b
}

// DecodeTypes reads the value of TypesKey.
func DecodeTypes(b []byte) ([]model.MachineType, error) {
	var ts []model.MachineType
	err := json.Unmarshal(b, &ts)
	return ts, err
}

func (a *Actor) call(method, path string, body []byte, done func(actor.Answer)) bool {
	if !a.bucket.Take(a.env.Now(), 1, 0) {
		return false
	}
	a.env.Call(actor.Call{Addr: a.cfg.Cloud, Method: method, Path: path, Body: body, Timeout: callTimeout, Done: func(ans actor.Answer) {
		if !a.stopped {
			done(ans)
		}
	}})
	return true
}

// Tick does what is due: returns first, since they end costs and prove things
// gone, then the list, then the types.
func (a *Actor) Tick() {
	now := a.env.Now()
	if a.ticked > 0 && now-a.ticked > away {
		a.resumed, a.behind = now, true
	}
	if a.behind {
		// Nothing is planned while much waits to be written: that machines are idle then
		// says nothing.
		if a.behind = a.led.WriteBacklogS(model.Low) > 0; a.behind {
			a.resumed = now
		}
	}
	a.ticked = now
	if len(a.led.Types) == 0 || now-a.typesAt > 30*time.Second {
		a.askTypes()
	}
	a.boots.look(a.led, now)
	a.sendReturns()
	if !a.listing && now-a.listedAt > 3*time.Second {
		a.list()
	}
	if now-a.watchedAt >= time.Second {
		a.watchedAt = now
		a.watchMachines()
	}
}

func (a *Actor) askTypes() {
	now := a.env.Now()
	last := a.typesAt
	a.typesAt = now
	if !a.call("GET", wire.PathMachineTypes, nil, func(ans actor.Answer) {
		if ans.Err != nil || ans.Status != 200 {
			a.typesAt = a.env.Now() - 28*time.Second
			return
		}
		ts, err := wire.DecodeMachineTypes(ans.Body)
		if err != nil {
			a.env.Log().Error("bad answer of the cloud", "err", err)
			return
		}
		a.setTypes(ts)
		a.publish(ts)
	}) {
		a.typesAt = last
	}
}

// publish writes the types for the other nodes when their shapes changed;
// prices move all the time and matter to the leader only.
func (a *Actor) publish(ts []model.MachineType) {
	shape := append([]model.MachineType(nil), ts...)
	stamp := uint64(0)
	if it, ok := a.store.Peek(TypesKey); ok {
		stamp = it.Stamp
		old, err := DecodeTypes(it.Value)
		if err == nil && len(old) == len(shape) {
			same := true
			for i := range old {
				o, n := old[i], shape[i]
				if o.Name != n.Name || o.Cap != n.Cap || o.CacheGB != n.CacheGB || o.FetchGBs != n.FetchGBs || strings.Join(o.Zones, " ") != strings.Join(n.Zones, " ") {
					same = false
				}
			}
			if same {
				return
			}
		}
	}
	t := wire.Txn{When: []wire.Cond{{Path: leader.Key, Stamp: a.token}, {Path: TypesKey, Stamp: stamp}},
		Apply: []wire.Change{{Write: TypesKey, Value: EncodeTypes(shape)}}}
	a.store.Commit(t, true, func(r statestore.Result, _ uint64, _ []string) {
		if r != statestore.OK {
			a.typesAt = a.env.Now() - 28*time.Second
		}
	})
}
