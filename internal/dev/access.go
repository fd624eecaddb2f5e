package dev

import (
	"time"

	"brooklb/internal/sim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Process is a controller's process.
type Process struct {
	Label string
	PID   int // 0 if the process is not running
}

// World returns the simulator. Only code on the simulator's goroutine may use it.
func (c *Cluster) World() *sim.World { return c.world }

// Do runs f on the simulator's goroutine and waits for it. It returns false if the
// cluster has ended.
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

// Traffic returns the message and byte counters of the interfaces.
func (c *Cluster) Traffic() *Traffic { return c.traffic }

// Lag returns the delays of simulated events in microseconds. Call it only on the
// simulator's goroutine.
func (c *Cluster) Lag() *hdrhistogram.Histogram { return c.lag }

// Processes lists the controllers' processes. Call it only on the simulator's goroutine.
func (c *Cluster) Processes() []Process {
	var out []Process
	for _, k := range c.controllers {
		p := Process{Label: k.settings.Label}
		select {
		case <-k.exited:
		default:
			p.PID = k.cmd.Process.Pid
		}
		out = append(out, p)
	}
	return out
}

// Crash kills a controller and restarts it after d. Call it only on the simulator's
// goroutine.
func (c *Cluster) Crash(label string, d time.Duration) {
	for _, k := range c.controllers {
		if k.settings.Label == label {
			k.crash(d)
		}
	}
}
