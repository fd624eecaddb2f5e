package dev

import (
	"time"

	"brooklb/internal/sim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Process is a controller's process.
type Process struct {
	Label string
	PID   int // 0: it is not there now
}

// World is the stand-ins' world; only what runs on its thread may use it.
func (c *Cluster) World() *sim.World { return c.world }

// Do runs f on the stand-ins' thread and waits; false: the cluster has ended.
func (c *Cluster) Do(f func(w *sim.World)) bool {
	done := make(chan struct{})
	c.post(func() {
		defer close(done)
		f(c.world)
	})
	select {
	case <-done:
		return true
	case <-c.done:
		return false
	}
}

// Traffic counts what goes over the interfaces.
func (c *Cluster) Traffic() *Traffic { return c.traffic }

// Lag is how late the stand-ins' events are, in microseconds; for their thread.
func (c *Cluster) Lag() *hdrhistogram.Histogram { return c.lag }

// Processes lists the controllers; for the stand-ins' thread.
func (c *Cluster) Processes() []Process {
	var out []Process
	for _, k := range c.nodes {
		p := Process{Label: k.set.Label}
		select {
		case <-k.gone:
		default:
			p.PID = k.cmd.Process.Pid
		}
		out = append(out, p)
	}
	return out
}

// Crash kills a controller, which is back after d; for the stand-ins' thread.
func (c *Cluster) Crash(label string, d time.Duration) {
	for _, k := range c.nodes {
		if k.set.Label == label {
			k.crash(d)
		}
	}
}
