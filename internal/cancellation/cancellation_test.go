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

// replica is a node's store, which the test changes directly.
type replica struct {
	items    map[string]statestore.Item
	revision uint64
	synced   bool
	subs     []func(string, *statestore.Item)
	resync   []func()
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
	if r.items[key].Revision >= it.Revision {
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

// node is one controller of the simulation.
type node struct {
	*replica
	responder *Responder
	elected   bool
}

func newNode() *node {
	n := &node{replica: &replica{items: map[string]statestore.Item{}}}
	n.responder = NewResponder(n.replica)
	return n
}

// userAnswer is a cancellation that a user was informed of.
type userAnswer struct {
	key      string
	revision uint64
	at       time.Duration
}

// TestNoUnknownCancellationReported simulates random histories of one leader (node 0) and two
// other nodes with the real Responder and Tracker: cancellations through any node, of which
// users learn at once or later; watches that lag; reads of single records; replicas that are read
// again; nodes that the state service refuses, that restart or are elected; messages that
// arrive late, in any order and twice. CompleteUntil never passes a time at which a user
// learned of a cancellation that the leader doesn't know, or at which another node was elected.
func TestNoUnknownCancellationReported(t *testing.T) {
	seeds := 3000
	if s, err := strconv.Atoi(os.Getenv("SIM_SEEDS")); err == nil {
		seeds = s
	}
	stepsWithTime := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 3))
		now := time.Second
		state := map[string]statestore.Item{} // of the state service
		revision := uint64(1)
		nodes := []*node{newNode(), newNode(), newNode()}
		peers := []string{"1", "2"}
		tracker := NewTracker(7, peers)
		var userAnswers []userAnswer
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
		var questions []question
		var answers []answer
		readReplica := func(n *node) {
			if n.synced { // a resync
				n.items = map[string]statestore.Item{}
				for k, it := range state {
					n.items[k] = it
				}
				n.revision = revision
				for _, f := range n.resync {
					f()
				}
				return
			}
			for k, it := range state {
				n.put(k, it)
			}
			n.revision, n.synced = revision, true
		}
		for _, n := range nodes {
			readReplica(n)
		}
		for step := range 250 {
			k := r.IntN(3)
			n := nodes[k]
			switch r.IntN(24) {
			case 0, 1:
				now += time.Duration(r.IntN(3000)) * time.Millisecond
			case 2, 3: // a job is cancelled through the node
				if !refused[k] && n.synced {
					revision++
					key := ledger.JobKey(id(step))
					it := statestore.Item{Value: record(t, step, ledger.Cancelled), Revision: revision}
					state[key] = it
					n.put(key, it)
					userAnswers = append(userAnswers, userAnswer{key, revision, now})
				}
			case 4: // another record changes
				revision++
				state[ledger.JobKey(id(1000+step))] = statestore.Item{Value: record(t, 1000+step, ledger.Open), Revision: revision}
			case 5: // the watch delivers all changes
				if !refused[k] && n.synced {
					for key, it := range state {
						n.put(key, it)
					}
					n.revision = revision
				}
			case 6: // a user's poll reads one record
				if !refused[k] && n.synced {
					for key, it := range state {
						n.put(key, it)
						if rec, _ := ledger.DecodeRecord(key[len(ledger.JobPrefix):], it.Value); rec.Final == ledger.Cancelled {
							userAnswers = append(userAnswers, userAnswer{key, it.Revision, now})
						}
						break
					}
				}
			case 7: // the state service refuses one node, or all in an outage
				if r.IntN(3) == 0 {
					for i := range refused {
						refused[i] = true
					}
				} else {
					refused[k] = !refused[k]
				}
			case 8:
				if k > 0 && r.IntN(3) == 0 {
					nodes[k] = newNode()
				} else if !refused[k] && (k > 0 || !n.synced) {
					readReplica(n)
				}
			case 9:
				for i := range peers {
					questions = append(questions, question{1 + i, *tracker.NewQuestion(now, nodes[0].revision)})
				}
			case 10, 11, 12, 13:
				if k > 0 {
					if a := n.responder.Respond(n.elected); a != nil {
						answers = append(answers, answer{k, Answer{a.Token, a.Clock, slices.Clone(a.Records), a.Complete}})
					}
				}
			case 14, 15, 16, 17:
				if len(questions) > 0 {
					q := questions[pickMessage(r, len(questions))] // in any order, and possibly twice
					nodes[q.to].responder.HandleQuestion(q.q)
				}
			default:
				if len(answers) > 0 {
					a := answers[pickMessage(r, len(answers))]
					for _, rec := range a.a.Records {
						nodes[0].put(rec.Key, statestore.Item{Value: rec.Value, Revision: rec.Revision})
					}
					tracker.HandleAnswer(strconv.Itoa(a.from), &a.a)
				}
				if k > 0 && electedAt == 0 && r.IntN(30) == 0 {
					n.elected, electedAt = true, now
				}
			}
			if electedAt > 0 && slices.IndexFunc(nodes, func(n *node) bool { return n.elected }) < 0 {
				break // the elected node restarted: the next election counts
			}
			completeUntil := tracker.CompleteUntil(now)
			if completeUntil > 0 {
				stepsWithTime++
			}
			for _, u := range userAnswers {
				if nodes[0].items[u.key].Revision < u.revision && completeUntil > u.at {
					t.Fatalf("seed %d, step %d: complete until %v, but a user was informed of %s at %v", seed, step, completeUntil, u.key, u.at)
				}
			}
			if electedAt > 0 && completeUntil > electedAt {
				t.Fatalf("seed %d, step %d: complete until %v, but another node was elected at %v", seed, step, completeUntil, electedAt)
			}
		}
	}
	if stepsWithTime < seeds {
		t.Errorf("the leader's knowledge was complete up to some time in only %d steps", stepsWithTime)
	}
	t.Logf("%d steps with complete knowledge up to some time", stepsWithTime)
}

// pickMessage returns the index of one of n messages, mostly of the latest ones.
func pickMessage(r *rand.Rand, n int) int {
	if r.IntN(4) == 0 {
		return r.IntN(n)
	}
	return n - 1 - r.IntN(min(n, 6))
}

// TestMoreThanIsKept checks that the answer of a node is marked as incomplete if it lacks
// cancellations that the node doesn't remember or that don't fit into a message.
func TestMoreThanIsKept(t *testing.T) {
	n := newNode()
	n.synced = true
	for i := range maxRecent + 10 {
		n.put(ledger.JobKey(id(i)), statestore.Item{Value: record(t, i, ledger.Cancelled), Revision: uint64(10 + i)})
	}
	for _, c := range []struct {
		revision uint64
		all      bool
		n        int
	}{{5, false, maxRecent}, {18, false, maxRecent}, {19, true, maxRecent}, {10 + maxRecent + 9, true, 0}} {
		n.responder.HandleQuestion(Question{Token: 7, Clock: c.revision, Revision: c.revision})
		if a := n.responder.Respond(false); a.Complete != c.all || len(a.Records) != c.n {
			t.Errorf("a leader that knows up to %d gets %d records, complete %v", c.revision, len(a.Records), a.Complete)
		}
	}
	n.put(ledger.JobKey(id(500)), statestore.Item{Value: []byte(`{"v":99}`), Revision: 500})
	if a := n.responder.Respond(false); a.Complete {
		t.Error("answer is complete despite a record that can't be decoded, which may be a cancellation")
	}
	big := newNode()
	big.synced = true
	for i := range 30 {
		rec := ledger.NewRecord(&model.Spec{ID: id(i), Team: "t", Tasks: 1, Image: string(make([]byte, 300))}, 0, "", 48)
		rec.Final = ledger.Cancelled
		big.put(ledger.JobKey(id(i)), statestore.Item{Value: rec.Encode(), Revision: uint64(10 + i)})
	}
	big.responder.HandleQuestion(Question{Token: 7, Clock: 1, Revision: 5})
	if a := big.responder.Respond(false); a.Complete || len(a.Records) == 0 || len(a.Records) == 30 {
		t.Errorf("%d records in one message, complete %v", len(a.Records), a.Complete)
	}
	if a := newNode().responder; a.Respond(false) != nil {
		t.Error("a node answered without a question")
	}
}

// TestResync checks that after a resync, which may have missed individual changes, the answer
// to a leader that may lack one of them is marked as incomplete.
func TestResync(t *testing.T) {
	n := newNode()
	n.synced = true
	n.put(ledger.JobKey(id(1)), statestore.Item{Value: record(t, 1, ledger.Cancelled), Revision: 40})
	// The resync read its pages before this change, and they contain another change that
	// the watch had missed.
	n.items = map[string]statestore.Item{ledger.JobKey(id(2)): {Value: record(t, 2, ledger.Cancelled), Revision: 30}}
	for _, f := range n.resync {
		f()
	}
	for revision, all := range map[uint64]bool{29: false, 39: false, 40: true} {
		n.responder.lastQuestion = Question{}
		n.responder.HandleQuestion(Question{Token: 7, Clock: 1, Revision: revision})
		if a := n.responder.Respond(false); a.Complete != all {
			t.Errorf("a leader that knows up to %d gets an answer with complete %v", revision, a.Complete)
		}
	}
	m := newNode()
	m.synced = true
	m.items = map[string]statestore.Item{ledger.JobKey(id(2)): {Value: record(t, 2, ledger.Cancelled), Revision: 30}}
	for _, f := range m.resync {
		f()
	}
	m.responder.HandleQuestion(Question{Token: 7, Clock: 1, Revision: 29})
	if m.responder.Respond(false).Complete {
		t.Error("answer is complete despite a missed change in the pages")
	}
}
