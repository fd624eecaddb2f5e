package sim

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	snap "brooklb/internal/snapshot"
)

// TestRestore wipes the state service 5 to 60 s after a snapshot was taken, while tasks
// that are not in the snapshot keep running, and restores the snapshot with interruptions.
// The restored cluster runs no task twice, its tokens are higher than any that workers have
// seen, and all jobs of the snapshot are done in the end.
func TestRestore(t *testing.T) {
	for _, seed := range seeds(t, 5) {
		w := worldOf(Config{Seed: 4000 + seed, Nodes: 3})
		w.Workload(30, 50*time.Second)
		w.Run(75 * time.Second)
		s, err := snap.Fetch(w.State, func() time.Time { return time.UnixMilli(w.now.Milliseconds()) })
		if err != nil {
			t.Fatal(err)
		}
		var file bytes.Buffer
		if err := s.Write(&file); err != nil {
			t.Fatal(err)
		}
		findings, counts := snap.Verify(s, w.cfg.Teams)
		for _, f := range findings {
			if f.Transient {
				continue
			}
			t.Errorf("seed %d: verifying the snapshot of a live state found %+v", seed, f)
		}
		w.Run(75*time.Second + w.randomSecs(5, 60))
		token := uint64(0)
		for _, m := range w.Machines() {
			token = max(token, m.token)
		}
		for i := range w.nodes {
			w.Crash(i, 25*time.Second)
		}
		w.State.Wipe()
		if s, err = snap.Read(&file); err != nil {
			t.Fatal(err)
		}
		lostWrites := 0
		ask := askFunc(func(method, path string, body []byte) (int, []byte, error) {
			if method == "POST" && w.rng.IntN(4) == 0 {
				if lostWrites++; w.rng.IntN(2) == 0 {
					_, _, _ = w.State.Ask(method, path, body) // applied, but its answer is lost
				}
				return 0, nil, errors.New("no answer")
			}
			return w.State.Ask(method, path, body)
		})
		for tries := 0; ; tries++ {
			if err = snap.Restore(ask, s, 8, nil); err == nil {
				break
			}
			if tries > 200 {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		other := *s
		other.Items = other.Items[1:]
		if err := snap.Restore(w.State, &other, 8, nil); !errors.Is(err, snap.ErrNotEmpty) {
			t.Errorf("a restore over live state got %v", err)
		}
		fetched, err := snap.Fetch(w.State, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		added, removed, changed := snap.Diff(s, fetched)
		if len(changed) > 0 || len(removed) > 1 || len(added) > 1 { // the leader's key and the base key may differ
			t.Errorf("seed %d: restored with %v added, %v removed, %v changed", seed, added, removed, changed)
		}
		restored := w.now
		w.Run(restored + 40*time.Second)
		started := w.Started
		w.Run(restored + 60*time.Second)
		if err := snap.Restore(w.State, s, 8, nil); !errors.Is(err, snap.ErrNotEmpty) {
			t.Errorf("a second restore over a running cluster got %v", err)
		}
		w.Run(restored + 700*time.Second)
		for _, violation := range w.Violations {
			// What happened after the snapshot is lost, so a job can return to an earlier state.
			if !strings.Contains(violation, " went_back:") && !strings.Contains(violation, " ran_cancelled:") {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
		if u := w.Unfinished(); len(u) > 0 {
			t.Errorf("seed %d: unfinished %v", seed, u)
		}
		for _, m := range w.Machines() {
			if m.up && !m.hanging() && m.token <= token {
				t.Errorf("seed %d: %s has token %d, not above %d, the highest before the restore", seed, m.Name, m.token, token)
			}
		}
		t.Logf("seed %d: %d keys, %d tasks placed in it, %d writes without an answer, %d tasks started until 40 s after the restore, %d later", seed, counts.Keys, counts.Placed, lostWrites, started, w.Started-started)
	}
}

// TestRestoreLargeValues guards against a restore that always fails because large values, such as
// the parts of a list of machine types, make a transaction larger than the state service accepts.
func TestRestoreLargeValues(t *testing.T) {
	w := worldOf(Config{Seed: 76, Nodes: 3, ValueKB: 8, TxnOps: 16})
	w.Cloud.OfferTypes(600)
	w.Run(60 * time.Second)
	s, err := snap.Fetch(w.State, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	for i := range w.nodes {
		w.Crash(i, 5*time.Second)
	}
	w.State.Wipe()
	if err := snap.Restore(w.State, s, w.cfg.TxnOps, nil); err != nil {
		t.Error(err)
	}
	w.Cloud.Outage(time.Minute)
	w.Run(w.now + 30*time.Second)
	if status := w.submitAt(0, "j-1", otherType(599)); status != 201 {
		t.Errorf("after the restore a job for the last type got %d", status)
	}
	w.checkNoBrokenRules(t)
}

// askFunc is a function that implements the snapshot package's access to the state service.
type askFunc func(method, path string, body []byte) (int, []byte, error)

func (f askFunc) Ask(method, path string, body []byte) (int, []byte, error) {
	return f(method, path, body)
}
