package ledger

import (
	"brooklb/internal/model"
	"brooklb/internal/settings"
)

// Team is a team's settings and the resources that its placements use.
type Team struct {
	settings.Team
	Used model.Resources
}

// WithinLimit reports whether the team stays within its limit if it uses n more.
func (t *Team) WithinLimit(n model.Resources) bool {
	u := t.Used.Add(n)
	return (t.CPUsMax <= 0 || u.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || u.GPUs <= t.GPUsMax+1e-6)
}

// Guarantees reports whether the team has a guarantee and n fits into it.
func (t *Team) Guarantees(n model.Resources) bool {
	return (t.CPUs > 0 || t.GPUs > 0) && (t.CPUs <= 0 || n.CPUs <= t.CPUs+1e-6) && (t.GPUs <= 0 || n.GPUs <= t.GPUs+1e-6)
}
