// Package wire is the one place that knows the words the deployments use on
// the network. Everything else speaks the field's terms of package model.
package wire

import (
	"strings"

	"github.com/segmentio/encoding/json"
)

// Paths of the interfaces.
const (
	PathJobs         = "/v2/runs"
	PathWithdraw     = "withdraw"
	PathHealth       = "/healthz"
	PathReport       = "/hello"
	PathOverview     = "/overview" // ours, read-only
	PathOrders       = "/orders"
	PathStatus       = "/status"
	PathMachineTypes = "/machine_types"
	PathMachines     = "/hosts"
	PathReturn       = "/hosts/return"
	PathKeys         = "/keys"
	PathCommit       = "/commit"
	PathGrants       = "/grants"
	PathChanges      = "/changes"
	jobPrefix        = "j-"
)

func clip(s string) string {
	if len(s) > 120 {
		s = s[:120]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r > '~' {
			return '.'
		}
		return r
	}, s)
}

// Encode makes JSON of a value whose types are known to be encodable.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("wire: " + err.Error()) // a type of ours that JSON cannot hold
	}
	return b
}

// Error is the body of a refusal.
func Error(text string) []byte {
	return Encode(struct {
		Error string `json:"error"`
	}{text})
}

// Decode reads a value of ours.
func Decode(b []byte, v any) error { return json.Unmarshal(b, v) }
