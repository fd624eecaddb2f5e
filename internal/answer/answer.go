// Package answer has the error responses that the packages serving users' requests share.
package answer

import (
	"fmt"
	"net/http"

	"brooklb/internal/httpx"
	"brooklb/internal/wire"
)

// Refuse returns a response with a status, a time in seconds after which to retry (0: none is
// given) and a reason.
func Refuse(status, retryAfter int, format string, args ...any) httpx.Response {
	return httpx.Response{Status: status, RetryAfter: retryAfter, Body: wire.Error(fmt.Sprintf(format, args...))}
}

// Unavailable is the response while the state service can't be used: it doesn't answer or
// refuses, this node's request budget for it is spent, or the replica isn't complete yet.
// Package admission may relay such a request to a node that reaches the service.
var Unavailable = Refuse(http.StatusServiceUnavailable, 1, "the state service can't be asked, come back")

// TooLong returns the response to a request whose record may grow to size bytes and would then not
// fit a value of the state service. advice says what to shorten.
func TooLong(size, limit int, advice string) httpx.Response {
	return Refuse(http.StatusBadRequest, 0, "the description is too long: its record may take %d bytes, and the state service stores %d: %s", size, limit, advice)
}
