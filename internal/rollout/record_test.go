package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"
)

// TestRecordsWithPartsMissing guards against a leader that ends with a nil pointer on a service's
// record: it evaluates every record that Decode accepts, with and without each optional part.
func TestRecordsWithPartsMissing(t *testing.T) {
	forEachRecord(func(name string, rec *Record) {
		t.Run(name, func(t *testing.T) {
			decoded, err := Decode("shop", rec.encode())
			withoutVersionToRestore := rec.Current == nil && rec.Rollout.State == RollingBack
			if (err != nil) != withoutVersionToRestore {
				t.Fatalf("decoding the record: %v", err)
			}
			if err != nil {
				return
			}
			evaluate(decoded)
		})
	})
}

// forEachRecord calls f with a record for each state of a roll-out and each combination of optional
// parts.
func forEachRecord(f func(name string, rec *Record)) {
	for _, state := range []State{Waiting, Rolling, Baking, Watching, RollingBack, Stuck} {
		for parts := range 1 << 5 {
			has := func(part int) bool { return parts&(1<<part) != 0 }
			updated := &version{Job: "j-2", Tasks: 3}
			rec := &Record{V: recordFormat, New: updated, Number: 1, Rollout: &activeRollout{State: state, Plan: &wire.Rollout{Ends: 2, StallS: 60}}}
			if has(0) {
				rec.Current = &version{Job: "j-1", Tasks: 2, Wanted: fullSet(2)}
			}
			if has(1) {
				updated.Health = testHealth()
			}
			if has(2) {
				updated.Wanted = fullSet(3)
			}
			if rec.Rollout.Plan.ByZone = has(3); !has(3) {
				rec.Rollout.Plan.Steps = []wire.Share{{N: 1}, {Percent: 100}}
			}
			if has(4) {
				rec.Rollout.Zones = []string{"a", "b"}
			}
			f(fmt.Sprintf("%s %05b", state, parts), rec)
		}
	}
}

// TestWritesFitAValue guards against a roll-out that never goes on, never goes back or never ends,
// because its record or history has grown beyond the limit for values since it was accepted: by
// started instances, zones, a reason and evidence.
func TestWritesFitAValue(t *testing.T) {
	const limit = 4096
	rec := &Record{V: recordFormat, Number: 1, Nonce: "0123456789abcdef", Current: &version{Job: "j-1", Tasks: MaxInstances, Wanted: fullSet(MaxInstances)},
		New: &version{Job: "j-2", Tasks: MaxInstances, Health: testHealth()}, Rollout: &activeRollout{State: Rolling, Plan: &wire.Rollout{Ends: 2, StallS: 60, ByZone: true}}}
	rec.New.Health.Path = "/" + strings.Repeat("p", limit-maxTextBytes*(maxEvidence+2)-len(rec.encode())) // as long as a request may be
	evidence := make([]string, maxEvidence)
	for i := range evidence {
		evidence[i] = strings.Repeat(string('a'+rune(i)), maxTextBytes)
	}
	rec.New.Wanted = fullSet(MaxInstances)
	rec.Rollout.Zones = []string{"a", "b", "c"}
	reason := strings.Repeat("w", maxTextBytes)
	for name, end := range map[string]func(a *Actor, s *service){
		"rolled back": func(a *Actor, s *service) { a.rollBack(s, reason) },
		"ended":       func(a *Actor, s *service) { a.finish(s, RolledBack, reason) },
		"step":        func(a *Actor, s *service) { a.write(s, s.record.copy(), nil, nil) },
	} {
		e := &fakeEnv{rng: rand.New(rand.NewPCG(1, 1)), now: time.Minute}
		written := 0
		e.answer = func(c actor.Call) (actor.Answer, time.Duration) {
			var txn wire.Txn
			if err := wire.Decode(c.Body, &txn); err != nil {
				t.Fatal(err)
			}
			for _, change := range txn.Apply {
				written++
				if len(change.Value) > limit {
					t.Errorf("%s: a value of %d bytes for %s", name, len(change.Value), change.Write)
				}
				if change.Write != Key("shop") {
					continue
				}
				got, err := Decode("shop", change.Value)
				if err != nil || name == "rolled back" && (got.Rollout.Why != reason || len(got.Rollout.Evidence) == 0) {
					t.Errorf("%s: %v, without its reason or any evidence", name, err)
				}
			}
			return actor.Answer{Status: 503}, time.Millisecond
		}
		store := newStore(e)
		a := New(e, ledger.New(e, store, 1, nil), store, 1, Config{ReportInterval: 3 * time.Second})
		s := &service{name: "shop", record: rec.copy(), revision: 1, evidence: evidence}
		end(a, s)
		if e.run(time.Second); written == 0 {
			t.Errorf("%s: nothing was written", name)
		}
	}
}

// evaluate passes a record through everything that a leader does with it. Both versions have a
// running instance.
func evaluate(rec *Record) {
	e := &fakeEnv{rng: rand.New(rand.NewPCG(1, 1)), now: time.Minute}
	e.answer = func(actor.Call) (actor.Answer, time.Duration) { return actor.Answer{Status: 503}, time.Millisecond }
	store := newStore(e)
	led := ledger.New(e, store, 1, nil)
	a := New(e, led, store, 1, Config{ReportInterval: 3 * time.Second})
	var placed []*ledger.Placement
	for i, id := range []string{"j-1", "j-2"} {
		job := ledger.NewRecord(&model.Spec{ID: id, Kind: model.Service, Tasks: 2 + i, Image: "i"}, 0, "", 100)
		job.SetService("shop")
		led.ApplyJobRecord(ledger.JobKey(id), &statestore.Item{Value: job.Encode(), Revision: 1})
		m := led.Machine("vm-" + id)
		m.Zone, m.ListedAddr = "a", "10.1.0.1:9000"
		p := led.Plan(led.Jobs[id], 0, 1, m)
		p.Phase, p.RunSince = model.Running, e.now
		placed = append(placed, p)
	}
	a.Event(Key("shop"), &statestore.Item{Value: rec.encode(), Revision: 2})
	for range 3 {
		e.run(time.Second)
		a.Tick()
	}
	for _, p := range placed {
		a.Ended(p, "error")
	}
	e.run(2 * time.Minute) // longer than the roll-out may stall
	a.Tick()
	a.Live("shop")
	rec.view("shop")
	rec.history(Withdrawn, "", 0).view("shop")
}
