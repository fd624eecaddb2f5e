// Package statestore talks to the state service: reads, conditional
// transactions, leases, and a replica of all our keys fed by a watch. It stays
// inside the rates that the settings give, and it tells apart what surely
// happened, what surely did not, and what may yet happen.
package statestore

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/wire"
)

// Prefix is where all our keys lie.
const Prefix = "b/"

// Result of a transaction.
type Result uint8

// The results. After Maybe the transaction may have been applied, or may be
// applied later as long as its conditions still hold.
const (
	OK Result = iota
	Conflict
	Refused // surely not executed
	Maybe
	NoLease
	Malformed // refused as malformed: a fault of ours
)

// Item is a key of the replica.
type Item struct {
	Value []byte
	Stamp uint64
}

// Config of a Store.
type Config struct {
	Addr          string
	RPS, WriteRPS float64
	Nodes         int
	TxnOps        int
	ValueBytes    int
}

// Store is the actor that owns the replica and the budgets.
type Store struct {
	env      actor.Env
	cfg      Config
	requests actor.Bucket
	writes   actor.Bucket
	leading  bool
	rps      float64      // this node's share
	door     actor.Bucket // what a leader's door takes in any case
	// Relaxed says that nothing of the leader's own waits to be written: its door may
	// take what is there. Its first seconds, in which users come to it alone, need that.
	Relaxed bool
	// Share is how many changes a second this node may make now; it is asked each time.
	Share func() float64

	items  map[string]Item
	graves map[string]uint64 // keys known to be deleted at a revision the watch has not reached
	epoch  uint64            // the replica is complete up to here
	synced bool
	gen    int
	subs   []func(key string, it *Item)
	resync []func()
	waits  []wait

	contact   time.Duration // last definite answer
	woke      time.Duration // end of the last pause of ours
	refusedAt time.Duration
	queue     []*read
	reading   int
	readAt    time.Duration // of the last read
	readTimer *actor.Timer
	// slow is how many times as long as usual answers are waited for.
	slow   float64
	missed int // answers in a row that did not come
}

type wait struct {
	epoch uint64
	f     func()
}

type read struct {
	key  string
	item *Item
	done func(it *Item, ok bool)
}

const (
	readTimeout = 1200 * time.Millisecond
	// A transaction without an answer is written again after this long: with
	// the same conditions, whichever copy comes first makes the other fail.
	commitTimeout = 700 * time.Millisecond
	userTimeout   = 350 * time.Millisecond // somebody waits for it
	watchBlock    = 2 * time.Second
	// A renewal that is carried out counts, however late its answer is.
	renewTimeout = 2500 * time.Millisecond
	// Where answers take long, they are waited for up to these times: what we do for
	// ourselves, what a user waits for up to 5 s (and we try four times), and a poll, for
	// which he waits 2 s.
	ownMost, userMost, pollMost = 4 * time.Second, 1100 * time.Millisecond, 1800 * time.Millisecond
	mostSlow                    = 6
	watchGap                    = 150 * time.Millisecond // least time between watches of a node that doesn't lead
	leaderGap                   = 40 * time.Millisecond
	readGap                     = 20 * time.Millisecond // least time between reads
	// Shares of the budgets. The leader writes most; what is left is divided
	// among the others, however many they are.
	leaderShare   = 0.46
	followerShare = 0.25 // at most
	used          = 0.95 // of the budgets, by all together
	// Of the changes the nodes that don't lead may have so much together.
	othersWrites = 0.35
	// A leader's door leaves so much of its bucket to the leader's own work. In any
	// case it takes what SetDoor says.
	ownKeep   = 0.75
	doorBurst = 4
	// Of a node's own share, what it does for users leaves a reserve for its
	// lease and its watch, and watches and reads take no more than these.
	userReserve = 0.15
	watchShare  = 0.35
	readShare   = 0.4
	// A process begins with this part of a second's requests. One that ends again and
	// again after some tenths of a second would else take a full burst each time, and
	// reads of all keys by seven such nodes all that there is.
	// At least it needs the keys, a watch, and an election.
	freshPart, freshLeast = 0.25, 8
)

// New makes a Store; Start begins to fill its replica.
func New(env actor.Env, cfg Config) *Store {
	s := &Store{env: env, cfg: cfg, items: map[string]Item{}, graves: map[string]uint64{}, contact: -time.Hour, readAt: -time.Hour, slow: 1}
	s.SetLeading(false)
	s.requests.Drain(max(freshLeast, s.rps*freshPart))
	return s
}

// Config returns the limits in force.
func (s *Store) Config() Config { return s.cfg }

// gap is the time between requests of one kind that may take a part of the
// node's share.
func (s *Store) gap(part float64, least time.Duration) time.Duration {
	return max(least, time.Duration(float64(time.Second)/(s.rps*part)))
}

// reserve is what requests for users leave in the bucket.
func (s *Store) reserve() float64 { return min(3, s.rps*userReserve) }

// Subscribe registers a function that hears of every change of the replica;
// it is nil when the key is gone.
func (s *Store) Subscribe(f func(key string, it *Item)) { s.subs = append(s.subs, f) }

// OnResync registers a function that is called when the replica was read anew
// and single changes were missed.
func (s *Store) OnResync(f func()) { s.resync = append(s.resync, f) }

// Synced reports whether the replica has been read.
func (s *Store) Synced() bool { return s.synced }

// Epoch is the revision up to which the replica is complete.
func (s *Store) Epoch() uint64 { return s.epoch }

// Contact is the time of the last definite answer of the state service.
func (s *Store) Contact() time.Duration { return s.contact }

// Paused hears that the process was paused. Reads that wait are answered at
// once that they can't be had: what they would tell may be old by now.
func (s *Store) Paused() {
	s.woke = s.env.Now()
	q := s.queue
	s.queue = nil
	for _, r := range q {
		r.done(nil, false)
	}
}

// Peek returns what the replica holds, which may lag.
func (s *Store) Peek(key string) (Item, bool) {
	it, ok := s.items[key]
	return it, ok
}

// Each calls f for every key of the replica with the prefix, in key order.
func (s *Store) Each(prefix string, f func(key string, it Item)) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		f(k, s.items[k])
	}
}

// WhenAt calls f once the replica is complete up to the revision.
func (s *Store) WhenAt(epoch uint64, f func()) {
	if s.synced && s.epoch >= epoch {
		f()
		return
	}
	s.waits = append(s.waits, wait{epoch, f})
}

// WriteRoom is how many changes the budget holds now, WriteBurst at most.
func (s *Store) WriteRoom() float64 { return s.level() }

// WriteRate is how many changes a second this node may make now.
func (s *Store) WriteRate() float64 {
	s.level()
	return s.writes.Rate()
}

// WriteBurst is the most that WriteRoom can be.
func (s *Store) WriteBurst() float64 { return s.writes.Burst() }

func (s *Store) call(method, path string, body []byte, timeout time.Duration, done func(actor.Answer)) {
	asked := s.env.Now()
	s.env.Call(actor.Call{Addr: s.cfg.Addr, Method: method, Path: path, Body: body, Timeout: timeout, Done: func(a actor.Answer) {
		if path == wire.PathCommit {
			s.pace(s.env.Now()-asked, a.Err != nil && !a.Unsent())
		}
		switch {
		case a.Err != nil:
		case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
			s.refusedAt = s.env.Now()
		default:
			s.contact = s.env.Now()
		}
		done(a)
	}})
}

// Start reads all keys and keeps watching them.
func (s *Store) Start() {
	s.gen++
	gen := s.gen
	fresh := map[string]Item{}
	var first uint64
	var page func(after string)
	again := func(after string) {
		s.env.After(300*time.Millisecond, func() {
			if s.gen == gen {
				page(after)
			}
		})
	}
	page = func(after string) {
		if !s.requests.Take(s.env.Now(), 1, 0) {
			again(after)
			return
		}
		path := wire.PathKeys + "?under=" + Prefix + "&most=1000"
		if after != "" {
			path += "&from=" + after
		}
		s.call("GET", path, nil, 3*time.Second, func(a actor.Answer) {
			if s.gen != gen {
				return
			}
			p, err := wire.DecodePage(a.Body)
			if a.Err != nil || a.Status != 200 || err != nil || (p.HasNext && len(p.Items) == 0) {
				again(after)
				return
			}
			if after == "" {
				first = p.Epoch
			}
			for _, it := range p.Items {
				fresh[it.Path] = Item{append([]byte(nil), it.Value...), it.Stamp}
			}
			if p.HasNext {
				page(p.Items[len(p.Items)-1].Path)
				return
			}
			again := s.synced
			s.items, s.epoch, s.synced = fresh, first, true
			s.graves = map[string]uint64{}
			if again {
				for _, f := range s.resync {
					f()
				}
			} else {
				for _, f := range s.subs {
					s.Each("", func(k string, it Item) { f(k, &it) })
				}
			}
			s.wake()
			s.watch(gen)
		})
	}
	page("")
}

func (s *Store) wake() {
	var keep []wait
	ws := s.waits
	s.waits = nil
	for _, w := range ws {
		if s.epoch >= w.epoch {
			w.f()
		} else {
			keep = append(keep, w)
		}
	}
	s.waits = append(s.waits, keep...)
}

func (s *Store) watch(gen int) {
	if s.gen != gen {
		return
	}
	retry := func(d time.Duration) { s.env.After(d, func() { s.watch(gen) }) }
	if !s.requests.Take(s.env.Now(), 1, 0) {
		retry(50 * time.Millisecond)
		return
	}
	path := wire.PathChanges + "?under=" + Prefix + "&from=" + strconv.FormatUint(s.epoch, 10) +
		"&block_ms=" + strconv.Itoa(int(watchBlock.Milliseconds()))
	opened := s.env.Now()
	// A watch that stays open past its time hangs in a cut or an outage: a new
	// one is opened, since only an answer proves that nothing was missed.
	s.call("GET", path, nil, watchBlock+s.patience(1500*time.Millisecond, ownMost), func(a actor.Answer) {
		if s.gen != gen {
			return
		}
		if a.Err != nil || a.Status == 503 || a.Status == 429 {
			retry(250 * time.Millisecond)
			return
		}
		if a.Status == http.StatusGone {
			s.env.Log().Info("watch too old, reading all keys again", "epoch", s.epoch)
			s.Start()
			return
		}
		n, err := wire.DecodeNews(a.Body)
		if a.Status != 200 || err != nil {
			s.env.Log().Error("bad answer to a watch", "status", a.Status, "err", err)
			retry(time.Second)
			return
		}
		sort.SliceStable(n.News, func(i, j int) bool { return n.News[i].Stamp < n.News[j].Stamp })
		for i := range n.News {
			e := &n.News[i]
			if e.Delete != "" {
				s.drop(e.Delete, e.Stamp)
			} else if e.Write != "" {
				s.put(e.Write, e.Value, e.Stamp)
			}
		}
		if n.Epoch > s.epoch {
			s.epoch = n.Epoch
			for k, e := range s.graves {
				if e <= s.epoch {
					delete(s.graves, k)
				}
			}
			s.wake()
		}
		gap := s.gap(watchShare, watchGap)
		if s.leading {
			gap = s.gap(watchShare, leaderGap)
		}
		if s.env.Now()-opened >= gap {
			s.watch(gen)
		} else {
			retry(gap - (s.env.Now() - opened))
		}
	})
}

func (s *Store) put(key string, value []byte, stamp uint64) {
	if old, ok := s.items[key]; ok && old.Stamp >= stamp {
		return
	}
	if s.graves[key] >= stamp && stamp > 0 {
		return
	}
	it := Item{append([]byte(nil), value...), stamp}
	s.items[key] = it
	for _, f := range s.subs {
		f(key, &it)
	}
}

// Learn takes in a record that another node had of the state service.
func (s *Store) Learn(key string, value []byte, stamp uint64) {
	if s.synced {
		s.put(key, value, stamp)
	}
}

func (s *Store) drop(key string, stamp uint64) {
	if stamp > s.epoch {
		s.graves[key] = max(s.graves[key], stamp)
	}
	old, ok := s.items[key]
	if !ok || old.Stamp > stamp {
		return
	}
	delete(s.items, key)
	for _, f := range s.subs {
		f(key, nil)
	}
}
