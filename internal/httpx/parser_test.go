package httpx

import (
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	whole := "POST /v2/runs?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	for n := 0; n < len(whole); n++ {
		if _, used, err := ParseRequest([]byte(whole[:n])); used != 0 || err != nil {
			t.Fatalf("a prefix of %d bytes gave %d, %v", n, used, err)
		}
	}
	r, n, err := ParseRequest([]byte(whole + "GET /"))
	if err != nil || n != len(whole) || r.Method != "POST" || r.Path != "/v2/runs" || r.Query != "x=1" || string(r.Body) != "hello" || r.Close {
		t.Fatalf("%+v %d %v", r, n, err)
	}
	r, _, err = ParseRequest([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"))
	if err != nil || string(r.Body) != "abcde" || !r.Close {
		t.Fatalf("%+v %v", r, err)
	}
}

func TestParseRequestRefuses(t *testing.T) {
	for _, s := range []string{
		"GET\r\n\r\n", "GET / FTP/1\r\n\r\n", "GET x HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nbad header\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n",
		"GET /" + strings.Repeat("a", 9000),
	} {
		if _, _, err := ParseRequest([]byte(s)); err == nil {
			t.Errorf("%.40q was accepted", s)
		}
	}
}

func TestResponseRoundTrip(t *testing.T) {
	b := AppendResponse(nil, Response{Status: 503, Body: []byte(`{"error":"x"}`), RetryAfter: 2, Close: true})
	st, body, closing, n, err := ParseResponse(b, false)
	if err != nil || st != 503 || string(body) != `{"error":"x"}` || !closing || n != len(b) || !strings.Contains(string(b), "Retry-After: 2\r\n") {
		t.Fatalf("%d %q %v %d %v", st, body, closing, n, err)
	}
	// A response without a length ends with the connection.
	raw := []byte("HTTP/1.1 200 OK\r\n\r\nabc")
	if _, _, _, n, err := ParseResponse(raw, false); n != 0 || err != nil {
		t.Fatal("a response without a length ended early")
	}
	if _, body, _, _, err := ParseResponse(raw, true); err != nil || string(body) != "abc" {
		t.Fatalf("%q %v", body, err)
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, n, err := ParseRequest(b)
		if n < 0 || n > len(b) || (err == nil && n > 0 && (r.Method == "" || r.Path == "" || len(r.Body) > maxRequestBody)) {
			t.Fatalf("%d of %d, %+v, %v", n, len(b), r, err)
		}
	})
}
