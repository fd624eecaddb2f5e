package client

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestAsk checks that the client retries temporary refusals after the pause that Retry-After
// asks for, continues with the next node after a failure, and doesn't retry final responses.
func TestAsk(t *testing.T) {
	n := 0
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		if n < 3 {
			w.Header().Set("Retry-After", "4")
			w.WriteHeader(503)
			return
		}
		b, _ := io.ReadAll(r.Body)
		w.WriteHeader(422)
		_, _ = w.Write([]byte(r.Method + r.URL.Path + string(b)))
	}))
	defer busy.Close()
	var slept []time.Duration
	c := &Client{Nodes: []string{"127.0.0.1:1", strings.TrimPrefix(busy.URL, "http://")}, RetryFor: 20 * time.Second,
		sleep: func(d time.Duration) { slept = append(slept, d) }}
	st, b, err := c.Do("POST", "/v2/runs", []byte("{}"))
	if st != 422 || string(b) != "POST/v2/runs{}" || err != nil || len(slept) != 2 || slept[0] != 4*time.Second {
		t.Errorf("%d %s %v after %v", st, b, err, slept)
	}
	n = -100
	if _, _, err := c.Do("GET", "/", nil); !errors.Is(err, ErrUnavailable) || !strings.Contains(err.Error(), "503") {
		t.Errorf("a node that always refuses: %v", err)
	}
}
