// Package dev runs a whole cluster on one computer in real time. The controllers
// are processes of this program that use loopback sockets. The simulator provides
// the state service, the cloud, the workers and the users. Machines and images are
// simulated, a task only waits, and an instance of a service is a small HTTP server.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"

	"brooklb/internal/settings"
	"brooklb/internal/sim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes a cluster.
type Config struct {
	Controllers      int
	Machines         int // machines that the cloud has in each zone, of each kind
	Initial          int // machines that are up at the start
	BootS            float64
	Seed             uint64
	LoadBalancerAddr string // address to which users submit jobs
	Dir              string // directory for the settings and logs of the controllers
	Faults           *Faults
	UserJobs         int           // jobs that the simulated users submit
	Duration         time.Duration // the cluster stops after this time
	// Simulation configures the simulator. If it is nil, Run uses a small cluster with
	// Machines, Initial, BootS and Seed.
	Simulation *sim.Config
	// Network has the network delays between places; nil means no delays.
	Network *Network
	// Started is called on the simulator's goroutine once the controllers are started.
	Started func(c *Cluster)
	// ControllerCommand returns the command that runs a controller with the settings file.
	ControllerCommand func(settingsFile string) *exec.Cmd
	// Work runs concurrently with the cluster, which stops when Work returns; nil
	// means no work.
	Work func(ctx context.Context) error
	Out  io.Writer // receives the progress messages for the user
	Log  *slog.Logger
}

// zones are the zones of the simulated cloud.
var zones = []string{"a", "b", "c"}

// teams are the configured teams. Team free has no guarantee and uses what red and
// blue leave over.
var teams = []settings.Team{{Name: "red", GuaranteedCPUs: 32, MaxCPUs: 96}, {Name: "blue", GuaranteedCPUs: 32}, {Name: "free"}}

// Cluster is a running cluster.
type Cluster struct {
	cfg         Config
	world       *sim.World
	start       time.Time
	posts       chan func()
	done        chan struct{}
	loopbackNet string
	servers     map[string]io.Closer // HTTP servers by the name of the simulated service
	controllers []*controller
	lastAsked   int // index of the controller that got the last request from the load balancer
	ended       bool
	// traffic counts the messages and bytes on each interface. links are the workers'
	// connections. network carries the traffic between controllers if Config.Network is set.
	traffic  *Traffic
	links    map[string]*workerLink
	network  *peerNetwork
	userHTTP *http.Client
	lag      *hdrhistogram.Histogram // delay of simulated events in microseconds
}

// errNoLoopbackNet means that no part of the loopback network is free.
var errNoLoopbackNet = errors.New("no addresses on the loopback network are free (127.20.0.0 to 127.250.0.0): is the system Linux?")

// freeLoopbackNet returns the prefix of an unused part of the loopback network, so that
// several clusters can run at the same time.
func freeLoopbackNet() (string, error) {
	for i := 20; i <= 250; i++ {
		n := fmt.Sprintf("127.%d", i)
		ln, err := net.Listen("tcp4", n+".1.1:2379")
		if err == nil {
			return n, ln.Close()
		}
	}
	return "", errNoLoopbackNet
}

// onClusterStart is called with each started cluster; only tests set it.
var onClusterStart func(c *Cluster)

// Run runs a cluster until ctx ends, cfg.Duration has passed or cfg.Work returns. It
// returns an error if the cluster can't start, if cfg.Work fails or, unless cfg.Started
// is set, if a rule of the protocol was broken.
func Run(ctx context.Context, cfg Config) error {
	loopbackNet, err := freeLoopbackNet()
	if err != nil {
		return err
	}
	c := &Cluster{cfg: cfg, start: time.Now(), posts: make(chan func(), 4096), done: make(chan struct{}), loopbackNet: loopbackNet, servers: map[string]io.Closer{},
		traffic: newTraffic(), links: map[string]*workerLink{}, lag: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	simulation := cfg.Simulation
	if simulation == nil {
		simulation = &sim.Config{Seed: cfg.Seed, Zones: zones, Teams: teams, Capacity: cfg.Machines, Initial: cfg.Initial, CPUs: 16, GPUs: 4, BootS: cfg.BootS,
			Objectives: []settings.Objective{{Kind: "wait", Class: "c-ensemble", WithinS: 30, Share: 0.9}}}
	}
	simulation.Nodes, simulation.Transport, simulation.Net, simulation.Log = cfg.Controllers, c, loopbackNet, cfg.Log
	c.world = sim.New(*simulation)
	c.userHTTP = c.userClient()
	defer c.shutDown()
	if err := c.openServers(); err != nil {
		return err
	}
	if cfg.Network != nil {
		if err := c.openPeerNetwork(); err != nil {
			return err
		}
	}
	for i, s := range c.world.Settings {
		k := &controller{cluster: c, index: i, settings: s}
		c.controllers = append(c.controllers, k)
		if err := k.writeSettings(); err != nil {
			return err
		}
		if err := k.start(); err != nil {
			return err
		}
	}
	if cfg.UserJobs > 0 {
		c.world.Workload(cfg.UserJobs, cfg.Duration/2)
	}
	if onClusterStart != nil {
		onClusterStart(c)
	}
	c.scheduleFaults()
	if cfg.Started != nil {
		cfg.Started(c)
	} else {
		c.printIntroduction()
	}
	ctx, stop := context.WithTimeout(ctx, cfg.Duration)
	defer stop()
	worked := make(chan error, 1)
	if cfg.Work != nil {
		go func() {
			worked <- cfg.Work(ctx)
			stop()
		}()
	} else {
		worked <- nil
	}
	c.loop(ctx)
	if cfg.Started != nil {
		return <-worked
	}
	fmt.Fprintf(cfg.Out, "\nthe simulated cluster ends after %.0f s: %s\n", time.Since(c.start).Seconds(), c.world.Summary())
	if n := len(c.world.Violations); n > 0 {
		return fmt.Errorf("%d rules of the protocol were broken", n)
	}
	return <-worked
}

func (c *Cluster) printIntroduction() {
	fmt.Fprintf(c.cfg.Out, "a simulated cluster runs: %d controllers, a stand-in cloud with %d machines of 16 CPUs of each kind in zones a, b, c\n", len(c.controllers), c.cfg.Machines)
	fmt.Fprintf(c.cfg.Out, "submit to %s (a stand-in load balancer, which takes the descriptions for the workers, too); controllers:", c.cfg.LoadBalancerAddr)
	for _, k := range c.controllers {
		fmt.Fprintf(c.cfg.Out, " %s", k.settings.Bind)
	}
	fmt.Fprintf(c.cfg.Out, "\nlogs in %s; it ends after %v, or with Ctrl-C\n", c.cfg.Dir, c.cfg.Duration)
}

// loop runs the simulator in real time on the calling goroutine.
func (c *Cluster) loop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	due := time.Duration(0)
	for {
		now := time.Since(c.start)
		if due > 0 && now > due {
			_ = c.lag.RecordValue(min(int64((now-due)/time.Microsecond), c.lag.HighestTrackableValue()))
		}
		next := c.world.Advance(now)
		due = next
		t.Reset(max(time.Millisecond, next-time.Since(c.start)))
		select {
		case <-ctx.Done():
			return
		case f := <-c.posts:
			c.world.Advance(time.Since(c.start))
			f()
		case <-t.C:
		}
	}
}

// post queues f for the simulator's goroutine. It drops f if the cluster has ended.
func (c *Cluster) post(f func()) {
	select {
	case c.posts <- f:
	case <-c.done:
	}
}

// shutDown kills the controllers and closes all sockets.
func (c *Cluster) shutDown() {
	close(c.done)
	c.ended = true
	for _, k := range c.controllers {
		k.kill()
	}
	for _, e := range c.servers {
		_ = e.Close()
	}
	for _, l := range c.links {
		l.close()
	}
	if c.network != nil {
		c.network.close()
	}
}

// MakeTempDir creates a temporary directory for a cluster's files.
func MakeTempDir() (string, error) { return os.MkdirTemp("", "brooklb-dev-") }
