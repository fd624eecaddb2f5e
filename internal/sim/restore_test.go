package sim

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	snap "brooklb/internal/snapshot"
)

// TestRestore loses the state service with all that it had, a minute after a snapshot
// was taken, while tasks that the snapshot knows nothing of run on. The restored
// cluster runs no task twice, its tokens are above all that workers have seen, and all
// jobs of the snapshot are done in the end. The restore is interrupted on its way.
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
		fs, n := snap.Verify(s, w.cfg.Teams)
		for _, f := range fs {
			if f.Transient {
				continue
			}
			t.Errorf("seed %d: a live state has %+v", seed, f)
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
		broken := 0
		ask := asker(func(method, path string, body []byte) (int, []byte, error) {
			if method == "POST" && w.rng.IntN(4) == 0 {
				if broken++; w.rng.IntN(2) == 0 {
					_, _, _ = w.State.Ask(method, path, body) // applied, but nobody hears of it
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
		back, err := snap.Fetch(w.State, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		added, removed, changed := snap.Diff(s, back)
		if len(changed) > 0 || len(removed) > 1 || len(added) > 1 { // the leader's key, the base
			t.Errorf("seed %d: restored with %v added, %v removed, %v changed", seed, added, removed, changed)
		}
		restored := w.now
		w.Run(restored + 40*time.Second)
		started := w.Started
		w.Run(restored + 60*time.Second)
		if err := snap.Restore(w.State, s, 8, nil); !errors.Is(err, snap.ErrNotEmpty) {
			t.Errorf("a second restore over a cluster that runs got %v", err)
		}
		w.Run(restored + 700*time.Second)
		for _, b := range w.Violations {
			// What users were told after the snapshot is lost, nothing can mend that.
			if !strings.Contains(b, " went_back:") && !strings.Contains(b, " ran_cancelled:") {
				t.Errorf("seed %d: %s", seed, b)
			}
		}
		if u := w.Unfinished(); len(u) > 0 {
			t.Errorf("seed %d: unfinished %v", seed, u)
		}
		for _, m := range w.Machines() {
			if m.up && !m.hanging() && m.token <= token {
				t.Errorf("seed %d: %s obeys token %d, it had seen %d", seed, m.Name, m.token, token)
			}
		}
		t.Logf("seed %d: %d keys, %d tasks placed in it, %d writes lost on the way, %d tasks started until then, %d after", seed, n.Keys, n.Placed, broken, started, w.Started-started)
	}
}

type asker func(method, path string, body []byte) (int, []byte, error)

func (f asker) Ask(method, path string, body []byte) (int, []byte, error) {
	return f(method, path, body)
}
