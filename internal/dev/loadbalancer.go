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

// serveLoadBalancer acts as the load balancer. It also gives the workers the job
// descriptions that users submit; in production, users upload them for the workers.
func (c *Cluster) serveLoadBalancer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		http.Error(w, `{"error":"body too large"}`, http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		c.upload(r.URL.Path, body)
	}
	for range 2 * len(c.controllers) {
		addr := c.nextController()
		ctx, stop := context.WithTimeout(r.Context(), 5*time.Second)
		req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			stop()
			http.Error(w, `{"error":"malformed"}`, http.StatusBadRequest)
			return
		}
		resp, err := controllerHTTP.Do(req)
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
				c.post(func() { c.world.MarkCancelled(id) })
			}
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(b)
		return
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, `{"error":"no controller answers"}`, http.StatusServiceUnavailable)
}

// upload gives a job description to the simulated workers before a controller gets the
// job. It ignores malformed descriptions, because the controller rejects those.
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

// nextController returns the address of the next controller in round-robin order.
func (c *Cluster) nextController() string {
	got := make(chan string, 1)
	c.post(func() {
		c.lastAsked = (c.lastAsked + 1) % len(c.controllers)
		got <- c.controllers[c.lastAsked].settings.Bind
	})
	select {
	case a := <-got:
		return a
	case <-c.done:
		return c.controllers[0].settings.Bind
	}
}
