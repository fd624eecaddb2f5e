package ledger

import (
	"brooklb/internal/model"
	"brooklb/internal/settings"
)

// Team with its use.
type Team struct {
	settings.Team
	Used model.Need
}

// Within reports whether n more stays inside the team's limit.
func (t *Team) Within(n model.Need) bool {
	u := t.Used.Add(n)
	return (t.CPUsMax <= 0 || u.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || u.GPUs <= t.GPUsMax+1e-6)
}

// Guarantees reports whether the team has a guarantee and n fits into it.
func (t *Team) Guarantees(n model.Need) bool {
	return (t.CPUs > 0 || t.GPUs > 0) && (t.CPUs <= 0 || n.CPUs <= t.CPUs+1e-6) && (t.GPUs <= 0 || n.GPUs <= t.GPUs+1e-6)
}
