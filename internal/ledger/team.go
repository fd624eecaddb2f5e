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
	return (t.MaxCPUs <= 0 || u.CPUs <= t.MaxCPUs+1e-6) && (t.MaxGPUs <= 0 || u.GPUs <= t.MaxGPUs+1e-6)
}

// Guarantees reports whether the team has a guarantee and n fits into it.
func (t *Team) Guarantees(n model.Resources) bool {
	return (t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0) && (t.GuaranteedCPUs <= 0 || n.CPUs <= t.GuaranteedCPUs+1e-6) && (t.GuaranteedGPUs <= 0 || n.GPUs <= t.GuaranteedGPUs+1e-6)
}
