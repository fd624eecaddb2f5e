// Package dev runs a whole cluster on one computer: controllers as processes of
// this program, on loopback sockets, and the simulator's own stand-ins for the
// state service, the cloud, workers and users, in real time. Machines and images
// are simulated; tasks are waits, instances of services are small HTTP servers.
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

// Config of a cluster.
type Config struct {
	Controllers int
	Machines    int // the cloud has in each zone, of each kind
	Initial     int // up at the start
	BootS       float64
	Seed        uint64
	Front       string // address where users submit
	Dir         string // settings and logs of the controllers
	Faults      *Faults
	Users       int           // jobs that stand-in users submit
	For         time.Duration // the cluster ends by itself
	// World replaces the stand-ins' small cluster; nil: the one that Machines, Initial,
	// BootS and Seed describe.
	World *sim.Config
	// Network has distances between places, nil: everything is near.
	Network *Network
	// Started hears of the cluster once its controllers are started, on the stand-ins' thread.
	Started func(c *Cluster)
	// Controller makes the command of a controller with the settings file.
	Controller func(settingsFile string) *exec.Cmd
	// Work is done beside the cluster, which ends when it returns; nil: none.
	Work func(ctx context.Context) error
	Out  io.Writer // what a person is told
	Log  *slog.Logger
}

// Zones of the simulated cloud.
var zones = []string{"a", "b", "c"}

// Teams there are; the others borrow what blue and red don't use.
var teams = []settings.Team{{Name: "red", CPUs: 32, CPUsMax: 96}, {Name: "blue", CPUs: 32}, {Name: "free"}}

// Cluster is a running one.
type Cluster struct {
	cfg   Config
	world *sim.World
	start time.Time
	posts chan func()
	done  chan struct{}
	net   string
	ears  map[string]io.Closer // listeners, by what for
	nodes []*controller
	front int // the controller asked last
	over  bool
	// traffic counts what goes over each interface, links are the workers' connections,
	// network carries what controllers say to each other (Config.Network).
	traffic *Traffic
	links   map[string]*workerLink
	network *peerNetwork
	users   *http.Client
	lag     *hdrhistogram.Histogram // how late the stand-ins' events are, in microseconds
}

// errNet says that no part of the loopback network is free.
var errNet = errors.New("no addresses on the loopback network are free (127.20.0.0 to 127.250.0.0): is the system Linux?")

// freeNet finds a part of the loopback network that nobody uses, so that several
// clusters can run side by side.
func freeNet() (string, error) {
	for i := 20; i <= 250; i++ {
		n := fmt.Sprintf("127.%d", i)
		ln, err := net.Listen("tcp4", n+".1.1:2379")
		if err == nil {
			return n, ln.Close()
		}
	}
	return "", errNet
}

// onCluster hears of a cluster that runs, in tests.
var onCluster func(c *Cluster)

// Run runs a cluster until ctx ends or its time is over. It returns an error if it
// can't start or if a rule of the protocol was broken.
func Run(ctx context.Context, cfg Config) error {
	n, err := freeNet()
	if err != nil {
		return err
	}
	c := &Cluster{cfg: cfg, start: time.Now(), posts: make(chan func(), 4096), done: make(chan struct{}), net: n, ears: map[string]io.Closer{},
		traffic: newTraffic(), links: map[string]*workerLink{}, lag: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	world := cfg.World
	if world == nil {
		world = &sim.Config{Seed: cfg.Seed, Zones: zones, Teams: teams, Capacity: cfg.Machines, Initial: cfg.Initial, CPUs: 16, GPUs: 4, BootS: cfg.BootS,
			Objectives: []settings.Objective{{Kind: "wait", Class: "c-ensemble", WithinS: 30, Share: 0.9}}}
	}
	world.Nodes, world.Outside, world.Net, world.Log = cfg.Controllers, c, n, cfg.Log
	c.world = sim.New(*world)
	c.users = c.userClient()
	defer c.end()
	if err := c.open(); err != nil {
		return err
	}
	if cfg.Network != nil {
		if err := c.openPeerNetwork(); err != nil {
			return err
		}
	}
	for i, s := range c.world.Set {
		k := &controller{c: c, i: i, set: s}
		c.nodes = append(c.nodes, k)
		if err := k.write(); err != nil {
			return err
		}
		if err := k.launch(); err != nil {
			return err
		}
	}
	if cfg.Users > 0 {
		c.world.Workload(cfg.Users, cfg.For/2)
	}
	if onCluster != nil {
		onCluster(c)
	}
	c.plan()
	if cfg.Started != nil {
		cfg.Started(c)
	} else {
		c.welcome()
	}
	ctx, stop := context.WithTimeout(ctx, cfg.For)
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
	if n := len(c.world.Broken); n > 0 {
		return fmt.Errorf("%d rules of the protocol were broken", n)
	}
	return <-worked
}

func (c *Cluster) welcome() {
	fmt.Fprintf(c.cfg.Out, "a simulated cluster runs: %d controllers, a stand-in cloud with %d machines of 16 CPUs of each kind in zones a, b, c\n", len(c.nodes), c.cfg.Machines)
	fmt.Fprintf(c.cfg.Out, "submit to %s (a stand-in load balancer, which takes the descriptions for the workers, too); controllers:", c.cfg.Front)
	for _, k := range c.nodes {
		fmt.Fprintf(c.cfg.Out, " %s", k.set.Bind)
	}
	fmt.Fprintf(c.cfg.Out, "\nlogs in %s; it ends after %v, or with Ctrl-C\n", c.cfg.Dir, c.cfg.For)
}

// loop runs the stand-ins, one after the other, in real time.
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

// post has f run on the world's thread; it is dropped when the cluster has ended.
func (c *Cluster) post(f func()) {
	select {
	case c.posts <- f:
	case <-c.done:
	}
}

// end stops the controllers and closes all sockets.
func (c *Cluster) end() {
	close(c.done)
	c.over = true
	for _, k := range c.nodes {
		k.kill()
	}
	for _, e := range c.ears {
		_ = e.Close()
	}
	for _, l := range c.links {
		l.close()
	}
	if c.network != nil {
		c.network.close()
	}
}

// Dir makes a directory for a cluster's files.
func Dir() (string, error) { return os.MkdirTemp("", "brooklb-dev-") }
