package httpx

import (
	"bytes"
	"testing"
)

// FuzzParse feeds requests and answers in one piece and in two: the parser takes
// the same from both, and never more than there is.
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
			if len(r.Body) > maxReqBody || r.Method == "" {
				t.Fatalf("%+v", r)
			}
			// A part of a whole request is either a fault already, or waits for more.
			if cut = cut & 0x7fffffff % n; cut > 0 {
				if _, m, err := ParseRequest(bytes.Clone(b[:cut])); err == nil && m > 0 {
					t.Fatalf("%d bytes make a request, %d of them make one of %d", n, cut, m)
				}
			}
		}
		for _, eof := range []bool{false, true} {
			_, body, _, n, err := ParseResponse(bytes.Clone(b), eof)
			if n < 0 || n > len(b) || len(body) > len(b) || err != nil && n > 0 {
				t.Fatalf("answer: %d of %d bytes, %v", n, len(b), err)
			}
		}
	})
}
