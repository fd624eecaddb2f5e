package httpx

import (
	"bytes"
	"testing"
)

// FuzzParse parses requests, their prefixes, and responses. No prefix of a request parses as
// a complete request, and the parser never uses more bytes than there are.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /v2/runs HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET"), 20)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 40)
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		r, n, err := ParseRequest(bytes.Clone(b))
		if n < 0 || n > len(b) || err != nil && n > 0 {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		if n > 0 {
			if len(r.Body) > maxRequestBody || r.Method == "" {
				t.Fatalf("%+v", r)
			}
			// A prefix of a request is either an error or needs more bytes.
			if cut = cut & 0x7fffffff % n; cut > 0 {
				if _, m, err := ParseRequest(bytes.Clone(b[:cut])); err == nil && m > 0 {
					t.Fatalf("a request has %d bytes, but its first %d bytes parse as a request of %d", n, cut, m)
				}
			}
		}
		for _, eof := range []bool{false, true} {
			_, body, _, n, err := ParseResponse(bytes.Clone(b), eof)
			if n < 0 || n > len(b) || len(body) > len(b) || err != nil && n > 0 {
				t.Fatalf("response: %d of %d bytes, %v", n, len(b), err)
			}
		}
	})
}
