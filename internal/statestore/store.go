// Package statestore is a client of the state service. It offers reads, conditional
// transactions and leases, and it keeps a replica of all keys of this program, which a
// watch updates. It stays within the request rates of the settings, and its results
// distinguish requests that were executed, that were not, and whose outcome is unknown.
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

// Prefix is the common prefix of all keys of this program.
const Prefix = "b/"

// Result is the result of a transaction.
type Result uint8

// The results. After Unknown the transaction may have been applied, or may be
// applied later as long as its conditions still hold.
const (
	OK Result = iota
	Conflict
	Refused // not executed
	Unknown
	NoLease
	Malformed // rejected as malformed, which is a fault of this program
)

// Item is the value of a key in the replica. Revision is the revision that wrote it.
type Item struct {
	Value    []byte
	Revision uint64
}

// Config holds the address and the limits of the state service. Nodes is the number of
// controllers that share the limits.
type Config struct {
	Addr          string
	RPS, WriteRPS float64
	Nodes         int
	TxnOps        int
	ValueBytes    int
}

// Store is the actor that owns the replica and the request and write budgets.
type Store struct {
	env         actor.Env
	cfg         Config
	requests    actor.Bucket
	writes      actor.Bucket
	leading     bool
	rps         float64      // this node's share of Config.RPS
	submissions actor.Bucket // submissions that a leader admits regardless of its own backlog
	// NoBacklog says that the leader has no changes of its own waiting to be written, so
	// that submissions may use its whole write budget. A new leader needs this in its
	// first seconds, when all users submit to it alone.
	NoBacklog bool
	// WriteShare returns how many changes a second this node may make now. It is called
	// before each use of the write budget.
	WriteShare func() float64

	items      map[string]Item
	tombstones map[string]uint64 // revisions of deletions that the watch has not reached yet
	revision   uint64            // the replica is complete up to this revision
	synced     bool
	generation int
	subs       []func(key string, it *Item)
	resync     []func()
	waits      []wait

	lastContact   time.Duration // last definite answer
	resumedAt     time.Duration // end of this process's last pause
	refusedAt     time.Duration
	readQueue     []*read
	readsInFlight int
	lastReadAt    time.Duration // of the last read
	readTimer     *actor.Timer
	// timeoutFactor multiplies the usual timeouts while the service answers slowly.
	timeoutFactor float64
	missedAnswers int // consecutive transactions without an answer
}

type wait struct {
	revision uint64
	f        func()
}

type read struct {
	key  string
	item *Item
	done func(it *Item, ok bool)
}

const (
	readTimeout = 1200 * time.Millisecond
	// A transaction without an answer is sent again after commitTimeout. Both copies
	// have the same conditions, so that the first one to be applied makes the other fail.
	commitTimeout = 700 * time.Millisecond
	userTimeout   = 350 * time.Millisecond // for transactions that a user waits for
	watchBlock    = 2 * time.Second
	// A renewal that was executed is valid even if its answer comes late.
	renewTimeout = 2500 * time.Millisecond
	// While the service answers slowly, timeouts grow up to these limits: of a node's own
	// transactions and watches, of transactions that a user waits for (up to 5 s, with four
	// attempts), and of polls, for which a user waits 2 s.
	ownTimeoutMax, userTimeoutMax, pollTimeoutMax = 4 * time.Second, 1100 * time.Millisecond, 1800 * time.Millisecond
	maxTimeoutFactor                              = 6
	minWatchInterval                              = 150 * time.Millisecond // between two watches of a follower
	minLeaderWatchInterval                        = 40 * time.Millisecond
	minReadInterval                               = 20 * time.Millisecond // between two batches of reads
	// Shares of the request budget. The leader writes most; the followers divide the
	// rest equally.
	leaderShare   = 0.46
	followerShare = 0.25 // at most
	usableShare   = 0.95 // of each budget, by all nodes together
	// followersWriteShare is the part of the write budget that all followers have together.
	followersWriteShare = 0.35
	// A leader's submissions leave this part of its write budget to its own work, apart
	// from those that SetSubmissionRate allows.
	ownWorkShare    = 0.75
	submissionBurst = 4
	// Requests for users leave this part of the node's request budget to its lease and
	// its watch. Watches and reads use no more than their shares.
	userReserve = 0.15
	watchShare  = 0.35
	readShare   = 0.4
	// A process starts with this part of a second's requests, because a process that
	// crashes repeatedly within tenths of a second would otherwise use a full burst each
	// time: seven such nodes, each reading all keys, used up the whole budget.
	// startMinimum covers reading the keys, a watch and an election.
	startShare, startMinimum = 0.25, 8
)

// New returns a Store with an empty replica, which Start fills.
func New(env actor.Env, cfg Config) *Store {
	s := &Store{env: env, cfg: cfg, items: map[string]Item{}, tombstones: map[string]uint64{}, lastContact: -time.Hour, lastReadAt: -time.Hour, timeoutFactor: 1}
	s.SetLeading(false)
	s.requests.Drain(max(startMinimum, s.rps*startShare))
	return s
}

// Config returns the store's configuration.
func (s *Store) Config() Config { return s.cfg }

// interval returns the time between requests of one kind that may use the given share of the
// node's request rate.
func (s *Store) interval(share float64, least time.Duration) time.Duration {
	return max(least, time.Duration(float64(time.Second)/(s.rps*share)))
}

// reserve returns how many requests must stay in the bucket after a request for a user.
func (s *Store) reserve() float64 { return min(3, s.rps*userReserve) }

// Subscribe registers a function that is called for every change of the replica. The item
// is nil when the key was deleted.
func (s *Store) Subscribe(f func(key string, it *Item)) { s.subs = append(s.subs, f) }

// OnResync registers a function that is called after the whole replica was read again,
// since individual changes were missed.
func (s *Store) OnResync(f func()) { s.resync = append(s.resync, f) }

// Synced reports whether the replica has been read completely once.
func (s *Store) Synced() bool { return s.synced }

// Revision returns the revision up to which the replica is complete.
func (s *Store) Revision() uint64 { return s.revision }

// LastContact returns the time of the last definite answer of the state service.
func (s *Store) LastContact() time.Duration { return s.lastContact }

// Paused is called after the process was paused. It fails all waiting reads at once,
// since the values they would return may be stale.
func (s *Store) Paused() {
	s.resumedAt = s.env.Now()
	waiting := s.readQueue
	s.readQueue = nil
	for _, r := range waiting {
		r.done(nil, false)
	}
}

// Peek returns a key's value in the replica, which may lag behind the state service.
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

// WhenCaughtUp calls f once the replica is complete up to the revision.
func (s *Store) WhenCaughtUp(revision uint64, f func()) {
	if s.synced && s.revision >= revision {
		f()
		return
	}
	s.waits = append(s.waits, wait{revision, f})
}

// WriteRoom returns how many changes the write budget allows now, at most WriteBurst.
func (s *Store) WriteRoom() float64 { return s.refreshWrites() }

// WriteRate returns how many changes a second this node may make at present.
func (s *Store) WriteRate() float64 {
	s.refreshWrites()
	return s.writes.Rate()
}

// WriteBurst returns the maximum of WriteRoom.
func (s *Store) WriteBurst() float64 { return s.writes.Burst() }

func (s *Store) call(method, path string, body []byte, timeout time.Duration, done func(actor.Answer)) {
	sent := s.env.Now()
	s.env.Call(actor.Call{Addr: s.cfg.Addr, Method: method, Path: path, Body: body, Timeout: timeout, Done: func(a actor.Answer) {
		if path == wire.PathCommit {
			s.adaptTimeouts(s.env.Now()-sent, a.Err != nil && !a.Unsent())
		}
		switch {
		case a.Err != nil:
		case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
			s.refusedAt = s.env.Now()
		default:
			s.lastContact = s.env.Now()
		}
		done(a)
	}})
}

// Start reads all keys into the replica and then watches them for changes.
func (s *Store) Start() {
	s.generation++
	generation := s.generation
	fetched := map[string]Item{}
	var firstRevision uint64
	var page func(after string)
	retry := func(after string) {
		s.env.After(300*time.Millisecond, func() {
			if s.generation == generation {
				page(after)
			}
		})
	}
	page = func(after string) {
		if !s.requests.Take(s.env.Now(), 1, 0) {
			retry(after)
			return
		}
		path := wire.PathKeys + "?under=" + Prefix + "&most=1000"
		if after != "" {
			path += "&from=" + after
		}
		s.call("GET", path, nil, 3*time.Second, func(a actor.Answer) {
			if s.generation != generation {
				return
			}
			p, err := wire.DecodePage(a.Body)
			if a.Err != nil || a.Status != 200 || err != nil || (p.HasNext && len(p.Items) == 0) {
				retry(after)
				return
			}
			if after == "" {
				firstRevision = p.Revision
			}
			for _, it := range p.Items {
				fetched[it.Path] = Item{append([]byte(nil), it.Value...), it.Revision}
			}
			if p.HasNext {
				page(p.Items[len(p.Items)-1].Path)
				return
			}
			resynced := s.synced
			s.items, s.revision, s.synced = fetched, firstRevision, true
			s.tombstones = map[string]uint64{}
			if resynced {
				for _, f := range s.resync {
					f()
				}
			} else {
				for _, f := range s.subs {
					s.Each("", func(k string, it Item) { f(k, &it) })
				}
			}
			s.runWaits()
			s.watch(generation)
		})
	}
	page("")
}

func (s *Store) runWaits() {
	var pending []wait
	waiting := s.waits
	s.waits = nil
	for _, w := range waiting {
		if s.revision >= w.revision {
			w.f()
		} else {
			pending = append(pending, w)
		}
	}
	s.waits = append(s.waits, pending...)
}

func (s *Store) watch(generation int) {
	if s.generation != generation {
		return
	}
	retry := func(d time.Duration) { s.env.After(d, func() { s.watch(generation) }) }
	if !s.requests.Take(s.env.Now(), 1, 0) {
		retry(50 * time.Millisecond)
		return
	}
	path := wire.PathChanges + "?under=" + Prefix + "&from=" + strconv.FormatUint(s.revision, 10) +
		"&block_ms=" + strconv.Itoa(int(watchBlock.Milliseconds()))
	sent := s.env.Now()
	// A watch that stays open past its time hangs because of a partition or an outage. A
	// new one is opened, since only an answer proves that no change was missed.
	s.call("GET", path, nil, watchBlock+s.answerTimeout(1500*time.Millisecond, ownTimeoutMax), func(a actor.Answer) {
		if s.generation != generation {
			return
		}
		if a.Err != nil || a.Status == 503 || a.Status == 429 {
			retry(250 * time.Millisecond)
			return
		}
		if a.Status == http.StatusGone {
			s.env.Log().Info("watch revision too old, reading all keys again", "epoch", s.revision)
			s.Start()
			return
		}
		n, err := wire.DecodeWatchResponse(a.Body)
		if a.Status != 200 || err != nil {
			s.env.Log().Error("invalid response to a watch", "status", a.Status, "err", err)
			retry(time.Second)
			return
		}
		sort.SliceStable(n.Events, func(i, j int) bool { return n.Events[i].Revision < n.Events[j].Revision })
		for i := range n.Events {
			e := &n.Events[i]
			if e.Delete != "" {
				s.drop(e.Delete, e.Revision)
			} else if e.Write != "" {
				s.put(e.Write, e.Value, e.Revision)
			}
		}
		if n.Revision > s.revision {
			s.revision = n.Revision
			for k, e := range s.tombstones {
				if e <= s.revision {
					delete(s.tombstones, k)
				}
			}
			s.runWaits()
		}
		interval := s.interval(watchShare, minWatchInterval)
		if s.leading {
			interval = s.interval(watchShare, minLeaderWatchInterval)
		}
		if s.env.Now()-sent >= interval {
			s.watch(generation)
		} else {
			retry(interval - (s.env.Now() - sent))
		}
	})
}

func (s *Store) put(key string, value []byte, revision uint64) {
	if old, ok := s.items[key]; ok && old.Revision >= revision {
		return
	}
	if s.tombstones[key] >= revision && revision > 0 {
		return
	}
	it := Item{append([]byte(nil), value...), revision}
	s.items[key] = it
	for _, f := range s.subs {
		f(key, &it)
	}
}

// Learn adds a record to the replica that another node has read from the state service.
func (s *Store) Learn(key string, value []byte, revision uint64) {
	if s.synced {
		s.put(key, value, revision)
	}
}

func (s *Store) drop(key string, revision uint64) {
	if revision > s.revision {
		s.tombstones[key] = max(s.tombstones[key], revision)
	}
	old, ok := s.items[key]
	if !ok || old.Revision > revision {
		return
	}
	delete(s.items, key)
	for _, f := range s.subs {
		f(key, nil)
	}
}
