package dev

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"brooklb/internal/wire"
)

// serveFront stands in for the load balancer, and for the users' upload of their
// jobs' descriptions, which workers fetch.
func (c *Cluster) serveFront(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
	if err != nil || len(body) > mostBody {
		http.Error(w, `{"error":"body too large"}`, http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		c.upload(r.URL.Path, body)
	}
	for range 2 * len(c.nodes) {
		addr := c.next()
		ctx, stop := context.WithTimeout(r.Context(), 5*time.Second)
		req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			stop()
			http.Error(w, `{"error":"malformed"}`, http.StatusBadRequest)
			return
		}
		resp, err := web.Do(req)
		if err != nil {
			stop()
			continue
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		stop()
		if err != nil {
			continue
		}
		if v := resp.Header.Get("Retry-After"); v != "" {
			w.Header().Set("Retry-After", v)
		}
		if resp.StatusCode == 200 && strings.HasSuffix(r.URL.Path, "/"+wire.PathWithdraw) {
			if id, ok := strings.CutPrefix(strings.TrimSuffix(r.URL.Path, "/"+wire.PathWithdraw), wire.PathJobs+"/"); ok {
				c.post(func() { c.world.Forget(id) })
			}
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(b)
		return
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, `{"error":"no controller answers"}`, http.StatusServiceUnavailable)
}

// upload hands a description to the workers before a controller hears of the job.
// What makes no sense to them makes none to the controller either, which says so.
func (c *Cluster) upload(path string, body []byte) {
	ready := make(chan struct{})
	c.post(func() {
		defer close(ready)
		name, verb, _ := strings.Cut(strings.TrimPrefix(path, wire.PathServices+"/"), "/")
		switch {
		case path == wire.PathJobs:
			_ = c.world.Upload(body)
		case strings.HasPrefix(path, wire.PathServices+"/") && verb == wire.VerbStart:
			_ = c.world.UploadVersion(name, body)
		}
	})
	select {
	case <-ready:
	case <-c.done:
	}
}

// next is the controller to ask, in turn.
func (c *Cluster) next() string {
	got := make(chan string, 1)
	c.post(func() {
		c.front = (c.front + 1) % len(c.nodes)
		got <- c.nodes[c.front].set.Bind
	})
	select {
	case a := <-got:
		return a
	case <-c.done:
		return c.nodes[0].set.Bind
	}
}
