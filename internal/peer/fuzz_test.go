package peer

import (
	"testing"
	"time"

	"brooklb/internal/httpx"
	"brooklb/internal/settings"

	"github.com/fxamacker/cbor/v2"
)

// FuzzMessages serves arbitrary messages of peers.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{Status{V: 1, Label: "n1", StateAgeMS: 400, JobFormat: 4}, relayedRequest{"GET", "/v2/runs/j-1", nil}, relayedResponse{200, 0, []byte("{}")}} {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a := New(&env{now: time.Minute}, []settings.Peer{{Label: "n1"}}, func() Status { return Status{Label: "n0"} })
		a.OnUserRequest = func(r *httpx.Request, reply func(httpx.Response)) { reply(httpx.Response{Status: 404}) }
		for _, path := range []string{StatusPath, RelayPath} {
			answered := 0
			a.Serve(&httpx.Request{Method: "POST", Path: path, Body: b}, func(r httpx.Response) { answered = r.Status })
			if answered != 200 && answered != 400 {
				t.Errorf("%s got %d", path, answered)
			}
		}
	})
}
