// Package answer has the refusals that all slices give users alike.
package answer

import (
	"fmt"
	"net/http"

	"brooklb/internal/httpx"
	"brooklb/internal/wire"
)

// Refuse answers with a status, when to come back in seconds (0: not at all), and a
// line that says why.
func Refuse(status, after int, format string, args ...any) httpx.Response {
	return httpx.Response{Status: status, RetryAfter: after, Body: wire.Error(fmt.Sprintf(format, args...))}
}

// Unavailable is the answer while the state service can't be asked. Nodes that know
// of one that can pass such requests on.
var Unavailable = Refuse(http.StatusServiceUnavailable, 1, "the state service can't be asked, come back")
