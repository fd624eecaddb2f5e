package sim

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// submitAt submits a job with the given machine types at one node and returns the answer's status.
func (w *World) submitAt(node int, id string, types ...string) int {
	_, description := w.describe(Job{ID: id, Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Types: types, Tasks: 1, CPUs: 2, RunS: 5})
	status := 0
	w.nodes[node].serve("users", "POST", "/v2/runs", mustJSON(description), func(s int, _ []byte) { status = s })
	w.Run(w.now + 2*time.Second)
	return status
}

// TestManyMachineTypes guards against a cluster that accepts no job for ever because the list of
// machine types is larger than a value of the state service may be.
func TestManyMachineTypes(t *testing.T) {
	for _, others := range []int{2, 31, 400} {
		t.Run(fmt.Sprintf("%d other types", others), func(t *testing.T) {
			w := worldOf(Config{Seed: 61, Nodes: 3})
			w.Cloud.OtherTypes = others
			w.Workload(10, 30*time.Second)
			w.Run(40 * time.Second)
			last := otherType(others - 1)
			for i := range w.nodes {
				if status := w.submitAt(i, fmt.Sprintf("j-8%d", i), last); status != 201 {
					t.Errorf("a job for the last of %d types got %d from node %d", others+1, status, i)
				}
			}
			// A node that reads the state service anew knows them, also while the cloud is away.
			w.Cloud.Outage(time.Minute)
			for i := range w.nodes {
				w.Crash(i, 2*time.Second)
			}
			w.Run(w.now + 20*time.Second)
			if status := w.submitAt(w.Leader(), "j-90", last); status != 201 {
				t.Errorf("after a restart of all controllers a job for the last type got %d", status)
			}
			w.Run(w.now + 5*time.Minute)
			for _, violation := range w.Violations {
				t.Error(violation)
			}
			if w.Started == 0 {
				t.Error("no task was started")
			}
		})
	}
}

// TestMachineTypesGrow guards against nodes that refuse jobs for new machine types as impossible, or
// accept jobs for types that are gone, because a list that has grown or shrunk did not reach them,
// and against requests for machines of types that are gone, which jobs accepted earlier still name.
func TestMachineTypesGrow(t *testing.T) {
	for _, seed := range seeds(t, 4) {
		w := worldOf(Config{Seed: 6200 + seed, Nodes: 3})
		w.Run(20 * time.Second)
		id := 0
		for _, others := range []int{1, 40, 300, 35, 2, 60} {
			w.Cloud.OfferTypes(others)
			if w.rng.IntN(2) == 0 {
				w.after(w.randomSecs(25, 35), func() { w.Crash(max(0, w.Leader()), 2*time.Second) }) // perhaps while the list is written
			}
			w.Run(w.now + 45*time.Second)
			for i := range w.nodes {
				for name, want := range map[string]int{otherType(others - 1): 201, otherType(others): 422} {
					id++
					if status := w.submitAt(i, fmt.Sprintf("j-%d", id), name); status != want {
						t.Errorf("seed %d: with %d other types a job for %s got %d from node %d, want %d", seed, others, name, status, i, want)
					}
				}
			}
		}
		for _, violation := range w.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// TestMachineTypesBesideOlderProgram guards against types that only one of two versions of the
// program reads: an older one reads and writes the list as a single value.
func TestMachineTypesBesideOlderProgram(t *testing.T) {
	w := worldOf(Config{Seed: 63, Nodes: 3})
	w.Cloud.OtherTypes = 3
	w.Run(20 * time.Second)
	small := w.State.keys["b/types"]
	if small == nil || w.State.keys["b/types/0"] != nil {
		t.Fatal("a list that fits is not stored as a single value")
	}
	list := string(small.value)
	// While the list is too large for one value, the older program keeps what it had.
	w.Cloud.OtherTypes = 50
	w.Run(w.now + 45*time.Second)
	if got := string(w.State.keys["b/types"].value); got != list {
		t.Errorf("the single value has changed to %.60s", got)
	}
	if status := w.submitAt(1, "j-1", otherType(49)); status != 201 {
		t.Errorf("a job for a new type got %d", status)
	}
	// A leader of the older program writes a list that fits again, and leaves the parts.
	var types []map[string]any
	if err := json.Unmarshal([]byte(list), &types); err != nil {
		t.Fatal(err)
	}
	w.Cloud.Outage(time.Minute)
	w.State.serve("n0", "POST", "/commit", mustJSON(map[string]any{"when": []any{}, "apply": []any{map[string]any{"write": "b/types", "value": types[:2]}}}), func(int, []byte) {})
	w.Run(w.now + 5*time.Second)
	for i := range w.nodes {
		if status := w.submitAt(i, fmt.Sprintf("j-2%d", i), otherType(49)); status != 422 {
			t.Errorf("a job for a type that is gone got %d from node %d", status, i)
		}
	}
}
