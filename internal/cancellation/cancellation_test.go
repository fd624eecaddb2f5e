package cancellation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
)

// replica is a node's store by hand.
type replica struct {
	items  map[string]statestore.Item
	epoch  uint64
	synced bool
	subs   []func(string, *statestore.Item)
	resync []func()
}

func (r *replica) Subscribe(f func(string, *statestore.Item)) { r.subs = append(r.subs, f) }
func (r *replica) OnResync(f func())                          { r.resync = append(r.resync, f) }
func (r *replica) Synced() bool                               { return r.synced }
func (r *replica) Each(_ string, f func(string, statestore.Item)) {
	for k, it := range r.items {
		f(k, it)
	}
}
func (r *replica) put(key string, it statestore.Item) {
	if r.items[key].Stamp >= it.Stamp {
		return
	}
	r.items[key] = it
	for _, f := range r.subs {
		f(key, &it)
	}
}

func record(t testing.TB, i int, final string) []byte {
	rec := ledger.NewRecord(&model.Spec{ID: id(i), Team: "t", Tasks: 1, Image: "i"}, 0, "", 48)
	rec.Final = final
	return rec.Encode()
}

func id(i int) string { return fmt.Sprintf("j-%06d", i) }

// node is one controller of the model, with what it has under way.
type node struct {
	*replica
	t       *Teller
	elected bool
}

func start() *node {
	n := &node{replica: &replica{items: map[string]statestore.Item{}}}
	n.t = NewTeller(n.replica)
	return n
}

// told is a cancellation that a user was told of.
type told struct {
	key   string
	stamp uint64
	at    time.Duration
}

// TestNothingUnknownWasTold plays random days of one leader (node 0) and two other nodes
// with the real Teller and Listener: cancellations through any node, told at once or later;
// watches that lag; reads of single records; replicas read anew; nodes that the state service
// refuses, that end and come back, that are elected; messages that arrive late, in any order
// and twice. At no moment does the leader take the time as clear in which somebody told a
// user of a cancellation that it doesn't know of, or in which another was elected.
func TestNothingUnknownWasTold(t *testing.T) {
	seeds := 3000
	if s, err := strconv.Atoi(os.Getenv("SIM_SEEDS")); err == nil {
		seeds = s
	}
	cleared := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 3))
		now := time.Second
		state := map[string]statestore.Item{} // as the state service has it
		epoch := uint64(1)
		nodes := []*node{start(), start(), start()}
		peers := []string{"1", "2"}
		l := NewListener(7, peers)
		var users []told
		var electedAt time.Duration
		refused := make([]bool, 3)
		type question struct {
			to int
			q  Question
		}
		type answer struct {
			from int
			a    Answer
		}
		var asks []question
		var answers []answer
		sync := func(n *node) {
			if n.synced { // read anew
				n.items = map[string]statestore.Item{}
				for k, it := range state {
					n.items[k] = it
				}
				n.epoch = epoch
				for _, f := range n.resync {
					f()
				}
				return
			}
			for k, it := range state {
				n.put(k, it)
			}
			n.epoch, n.synced = epoch, true
		}
		for _, n := range nodes {
			sync(n)
		}
		for step := range 250 {
			k := r.IntN(3)
			n := nodes[k]
			switch r.IntN(24) {
			case 0, 1:
				now += time.Duration(r.IntN(3000)) * time.Millisecond
			case 2, 3: // a job is cancelled through the node
				if !refused[k] && n.synced {
					epoch++
					key := ledger.JobKey(id(step))
					it := statestore.Item{Value: record(t, step, ledger.Cancelled), Stamp: epoch}
					state[key] = it
					n.put(key, it)
					users = append(users, told{key, epoch, now})
				}
			case 4: // another record changes
				epoch++
				state[ledger.JobKey(id(1000+step))] = statestore.Item{Value: record(t, 1000+step, ledger.Open), Stamp: epoch}
			case 5: // the watch
				if !refused[k] && n.synced {
					for key, it := range state {
						n.put(key, it)
					}
					n.epoch = epoch
				}
			case 6: // a poll reads one record
				if !refused[k] && n.synced {
					for key, it := range state {
						n.put(key, it)
						if rec, _ := ledger.DecodeRecord(key[len(ledger.JobPrefix):], it.Value); rec.Final == ledger.Cancelled {
							users = append(users, told{key, it.Stamp, now})
						}
						break
					}
				}
			case 7: // refused, or an outage for all
				if r.IntN(3) == 0 {
					for i := range refused {
						refused[i] = true
					}
				} else {
					refused[k] = !refused[k]
				}
			case 8:
				if k > 0 && r.IntN(3) == 0 {
					nodes[k] = start()
				} else if !refused[k] && (k > 0 || !n.synced) {
					sync(n)
				}
			case 9:
				for i := range peers {
					asks = append(asks, question{1 + i, *l.Ask(now, nodes[0].epoch)})
				}
			case 10, 11, 12, 13:
				if k > 0 {
					if a := n.t.Tell(n.elected); a != nil {
						answers = append(answers, answer{k, Answer{a.Token, a.Clock, slices.Clone(a.Records), a.All}})
					}
				}
			case 14, 15, 16, 17:
				if len(asks) > 0 {
					q := asks[late(r, len(asks))] // in any order, and again
					nodes[q.to].t.Asked(q.q)
				}
			default:
				if len(answers) > 0 {
					a := answers[late(r, len(answers))]
					for _, rec := range a.a.Records {
						nodes[0].put(rec.Key, statestore.Item{Value: rec.Value, Stamp: rec.Stamp})
					}
					l.Heard(strconv.Itoa(a.from), &a.a)
				}
				if k > 0 && electedAt == 0 && r.IntN(30) == 0 {
					n.elected, electedAt = true, now
				}
			}
			if electedAt > 0 && slices.IndexFunc(nodes, func(n *node) bool { return n.elected }) < 0 {
				break // it ended: the next one's election counts
			}
			clear := l.Clear(now)
			if clear > 0 {
				cleared++
			}
			for _, u := range users {
				if nodes[0].items[u.key].Stamp < u.stamp && clear > u.at {
					t.Fatalf("seed %d, step %d: clear up to %v, a user was told of %s at %v", seed, step, clear, u.key, u.at)
				}
			}
			if electedAt > 0 && clear > electedAt {
				t.Fatalf("seed %d, step %d: clear up to %v, another was elected at %v", seed, step, clear, electedAt)
			}
		}
	}
	if cleared < seeds {
		t.Errorf("the leader knew of a clear time in %d steps only", cleared)
	}
	t.Logf("%d steps with a clear time", cleared)
}

// late picks one of the messages, mostly of the last ones.
func late(r *rand.Rand, n int) int {
	if r.IntN(4) == 0 {
		return r.IntN(n)
	}
	return n - 1 - r.IntN(min(n, 6))
}

// TestMoreThanIsKept: a node that knows of more cancellations than it keeps, or than fit a
// message, doesn't call it all.
func TestMoreThanIsKept(t *testing.T) {
	n := start()
	n.synced = true
	for i := range kept + 10 {
		n.put(ledger.JobKey(id(i)), statestore.Item{Value: record(t, i, ledger.Cancelled), Stamp: uint64(10 + i)})
	}
	for _, c := range []struct {
		epoch uint64
		all   bool
		n     int
	}{{5, false, kept}, {18, false, kept}, {19, true, kept}, {10 + kept + 9, true, 0}} {
		n.t.Asked(Question{Token: 7, Clock: c.epoch, Epoch: c.epoch})
		if a := n.t.Tell(false); a.All != c.all || len(a.Records) != c.n {
			t.Errorf("a leader that knows up to %d is told %d records, all %v", c.epoch, len(a.Records), a.All)
		}
	}
	n.put(ledger.JobKey(id(500)), statestore.Item{Value: []byte(`{"v":99}`), Stamp: 500})
	if a := n.t.Tell(false); a.All {
		t.Error("a record that can't be read may be a cancellation")
	}
	big := start()
	big.synced = true
	for i := range 30 {
		rec := ledger.NewRecord(&model.Spec{ID: id(i), Team: "t", Tasks: 1, Image: string(make([]byte, 300))}, 0, "", 48)
		rec.Final = ledger.Cancelled
		big.put(ledger.JobKey(id(i)), statestore.Item{Value: rec.Encode(), Stamp: uint64(10 + i)})
	}
	big.t.Asked(Question{Token: 7, Clock: 1, Epoch: 5})
	if a := big.t.Tell(false); a.All || len(a.Records) == 0 || len(a.Records) == 30 {
		t.Errorf("%d records in one message, all %v", len(a.Records), a.All)
	}
	if a := start().t; a.Tell(false) != nil {
		t.Error("an answer without a question")
	}
}

// TestReadAnew: what came into the replica while single changes were missed is not told of,
// and a leader that may not know it doesn't take the answer for all.
func TestReadAnew(t *testing.T) {
	n := start()
	n.synced = true
	n.put(ledger.JobKey(id(1)), statestore.Item{Value: record(t, 1, ledger.Cancelled), Stamp: 40})
	// The pages were read before this change, and have another that was missed.
	n.items = map[string]statestore.Item{ledger.JobKey(id(2)): {Value: record(t, 2, ledger.Cancelled), Stamp: 30}}
	for _, f := range n.resync {
		f()
	}
	for epoch, all := range map[uint64]bool{29: false, 39: false, 40: true} {
		n.t.last = Question{}
		n.t.Asked(Question{Token: 7, Clock: 1, Epoch: epoch})
		if a := n.t.Tell(false); a.All != all {
			t.Errorf("a leader that knows up to %d is told that it hears all: %v", epoch, a.All)
		}
	}
	m := start()
	m.synced = true
	m.items = map[string]statestore.Item{ledger.JobKey(id(2)): {Value: record(t, 2, ledger.Cancelled), Stamp: 30}}
	for _, f := range m.resync {
		f()
	}
	m.t.Asked(Question{Token: 7, Clock: 1, Epoch: 29})
	if m.t.Tell(false).All {
		t.Error("a record of the pages was overlooked")
	}
}
