// Package wire encodes and decodes the JSON messages of users, operators, workers, the
// cloud and the state service. It maps the names of the protocol (such as ref, shard, crew
// or baton) to the terms of package model, which the other packages use. Messages between
// controllers are not in this package: the packages that exchange them encode them.
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
	PathOverview     = "/overview" // not part of the protocol; read-only
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

// MaxTextBytes is the largest size of a short text in a request, such as its reason.
const MaxTextBytes = 120

// clip limits a text to MaxTextBytes and replaces quotes, backslashes and characters other
// than printable ASCII by dots, so that it can stand in a one-line error.
func clip(s string) string {
	if len(s) > MaxTextBytes {
		s = s[:MaxTextBytes]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r > '~' {
			return '.'
		}
		return r
	}, s)
}

// Encode returns v as JSON. It panics if a type in v can't be encoded.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("wire: " + err.Error()) // v has a type that JSON can't represent: a programming error
	}
	return b
}

// Error returns the JSON body of an error response.
func Error(text string) []byte {
	return Encode(struct {
		Error string `json:"error"`
	}{text})
}

// Decode parses JSON into v. It is for records that Encode has written.
func Decode(b []byte, v any) error { return json.Unmarshal(b, v) }
