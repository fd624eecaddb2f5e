package admission

import (
	"strings"
	"testing"

	"brooklb/internal/model"
	"brooklb/internal/settings"
)

// TestNeverRuns checks that a job is refused if it can never run. There are two machine types,
// of which neither is in every zone, and team limits in CPUs.
func TestNeverRuns(t *testing.T) {
	a := &Actor{teams: map[string]settings.Team{"t": {Name: "t", GuaranteedCPUs: 10, MaxCPUs: 40}, "free": {Name: "free"}}, types: []model.MachineType{
		{Name: "small", Cap: model.Resources{CPUs: 4, MemGB: 16}, Zones: []string{"a", "b"}},
		{Name: "large", Cap: model.Resources{CPUs: 16, MemGB: 64}, Zones: []string{"a", "c"}},
	}}
	for _, c := range []struct {
		name, why string // "": it can run
		s         model.Spec
	}{
		{"fits both", "", model.Spec{Team: "free", Resources: model.Resources{CPUs: 4, MemGB: 16}}},
		{"fits the large one only", "", model.Spec{Team: "free", Resources: model.Resources{CPUs: 4.2, MemGB: 10}}},
		{"the large one is not in the zone", "fits no", model.Spec{Team: "free", Zone: "b", Resources: model.Resources{CPUs: 4.2, MemGB: 10}}},
		{"the allowed type is not in the zone", "fits no", model.Spec{Team: "free", Zone: "c", Types: []string{"small"}, Resources: model.Resources{CPUs: 1}}},
		{"too much memory", "fits no", model.Spec{Team: "free", Resources: model.Resources{CPUs: 1, MemGB: 64.1}}},
		{"too many CPUs", "fits no", model.Spec{Team: "free", Resources: model.Resources{CPUs: 16.1, MemGB: 1}}},
		{"no machine has GPUs", "fits no", model.Spec{Team: "free", Resources: model.Resources{CPUs: 1, GPUs: 1}}},
		{"an unknown type", "fits no", model.Spec{Team: "free", Types: []string{"huge"}, Resources: model.Resources{CPUs: 1}}},
		{"an unknown zone", "fits no", model.Spec{Team: "free", Zone: "z", Resources: model.Resources{CPUs: 1}}},
		{"an unknown team", "unknown team", model.Spec{Team: "nobody", Resources: model.Resources{CPUs: 1}}},
		{"an array of which one task is within the limit", "", model.Spec{Team: "t", Resources: model.Resources{CPUs: 16}}},
		{"a gang beyond the limit", "limit", model.Spec{Team: "t", Kind: model.Gang, Tasks: 3, Resources: model.Resources{CPUs: 16}}},
		{"a service within the limit", "", model.Spec{Team: "t", Kind: model.Service, Tasks: 2, Resources: model.Resources{CPUs: 16}}},
	} {
		c.s.Tasks = max(c.s.Tasks, 100)
		if c.s.Kind != model.Array {
			c.s.Tasks = map[string]int{"limit": 3, "": 2}[c.why]
		}
		err := a.check(&c.s)
		if (err == nil) != (c.why == "") || err != nil && !strings.Contains(err.Error(), c.why) {
			t.Errorf("%s: %v, want %q", c.name, err, c.why)
		}
	}
	a.teams["t"] = settings.Team{Name: "t", MaxCPUs: 3}
	if err := a.check(&model.Spec{Team: "t", Tasks: 5, Resources: model.Resources{CPUs: 4}}); err == nil || !strings.Contains(err.Error(), "limit") {
		t.Errorf("a limit below one task: %v", err)
	}
}
