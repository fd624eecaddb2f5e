package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"time"

	"brooklb/internal/dev"
	"brooklb/internal/procstat"
	"brooklb/internal/sim"
)

// Options of a run.
type Options struct {
	Fraction float64
	Seed     uint64
	Dir      string // settings and logs of the controllers
	// Controller makes the command of a controller with the settings file.
	Controller func(settingsFile string) *exec.Cmd
	Progress   io.Writer
}

// watchEvery is how often what the run itself uses is looked at.
const watchEvery = time.Second

// Run plays a profile at a fraction of its size on loopback sockets.
func Run(ctx context.Context, whole *Profile, o Options) (*Result, error) {
	p, err := whole.At(o.Fraction)
	if err != nil {
		return nil, err
	}
	if err := checkMachine(p); err != nil {
		return nil, err
	}
	began := time.Now()
	r := &loopbackRun{p: p, o: o}
	world := worldConfig(p, o.Seed)
	world.NodeZones = p.controllerZones()
	err = dev.Run(ctx, dev.Config{Controllers: p.Cluster.Controllers, Seed: o.Seed, Front: "127.0.0.1:0", Dir: o.Dir, World: &world,
		For: seconds(p.Run.SettleS+p.Run.MeasureS) + time.Minute, Network: &dev.Network{Delay: p.delay},
		Controller: o.Controller, Out: o.Progress, Log: slog.New(slog.DiscardHandler), Started: r.started, Work: r.work})
	if err != nil {
		return nil, err
	}
	r.result.WallSeconds = round(time.Since(began).Seconds(), 1)
	return r.result, nil
}

// controllerZones spreads the controllers over the regions and their zones.
func (p *Profile) controllerZones() []string {
	var zones []string
	for i := range p.Cluster.Controllers {
		zones = append(zones, p.Cluster.zoneName(i%p.Cluster.Zones))
	}
	return zones
}

// loopbackRun is a run in real time.
type loopbackRun struct {
	p       *Profile
	o       Options
	c       *dev.Cluster
	load    *load
	m       *measures
	played  []string
	result  *Result
	peakMem int64
	procs   int
}

func (r *loopbackRun) started(c *dev.Cluster) {
	r.c = c
	w := c.World()
	r.m = newMeasures(r.p, w)
	r.load = newLoad(w, r.p, r.o.Seed)
	r.load.onSet = r.m.set
	r.load.start()
	planTroubles(w, r.p, c.Crash, func(what string) { r.played = append(r.played, what) })
}

// sample is what had been used up to one moment.
type sample struct {
	at       time.Time
	leader   string
	procs    map[string]procstat.Sample // controllers by label
	standIns procstat.Sample
	traffic  map[dev.TrafficKey]dev.Totals
	asked    int
	changed  int
	refused  int
	census   sim.Census
}

func (r *loopbackRun) work(ctx context.Context) error {
	if err := r.watch(ctx, seconds(r.p.Run.SettleS)); err != nil {
		return err
	}
	first, err := r.sample()
	if err != nil {
		return err
	}
	if err := r.watch(ctx, seconds(r.p.Run.MeasureS)); err != nil {
		return err
	}
	last, err := r.sample()
	if err != nil {
		return err
	}
	r.c.Do(func(*sim.World) { r.summarize(first, last) })
	return nil
}

// watch waits, and ends the run when it takes more than it may.
func (r *loopbackRun) watch(ctx context.Context, d time.Duration) error {
	end := time.After(d)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("ended before its time: %w", ctx.Err())
		case <-end:
			return nil
		case <-ticker.C:
			if err := r.checkUse(); err != nil {
				return err
			}
		}
	}
}

func (r *loopbackRun) processes() []dev.Process {
	var out []dev.Process
	r.c.Do(func(*sim.World) { out = r.c.Processes() })
	return out
}

// checkUse adds up the memory of all processes of the run.
func (r *loopbackRun) checkUse() error {
	own, err := procstat.Read(os.Getpid())
	if err != nil {
		return err
	}
	mem, n := own.RSS, 1
	for _, x := range r.processes() {
		if s, err := procstat.Read(x.PID); err == nil && x.PID > 0 {
			mem += s.RSS
			n++
		}
	}
	r.peakMem, r.procs = max(r.peakMem, mem), max(r.procs, n)
	b := &r.p.Budget
	if gb := float64(mem) / 1e9; gb > b.RunMemGB || n > b.RunProcesses {
		return fmt.Errorf("the run takes %.1f GB in %d processes, of %.1f GB and %d: take a smaller --fraction", gb, n, b.RunMemGB, b.RunProcesses)
	}
	return nil
}

func (r *loopbackRun) sample() (*sample, error) {
	s := &sample{at: time.Now(), procs: map[string]procstat.Sample{}, traffic: r.c.Traffic().Totals()}
	for _, x := range r.processes() {
		if x.PID == 0 {
			continue
		}
		if p, err := procstat.Read(x.PID); err == nil { // else it has just ended
			s.procs[x.Label] = p
		}
	}
	var err error
	if s.standIns, err = procstat.Read(os.Getpid()); err != nil {
		return nil, err
	}
	r.c.Do(func(w *sim.World) {
		s.leader, s.census = w.State.LeaderName(), w.Census()
		for _, n := range w.State.Asked {
			s.asked += n
		}
		s.changed, s.refused = w.State.Changed, w.State.Limited
	})
	return s, nil
}

func (r *loopbackRun) summarize(first, last *sample) {
	x := newResult(Loopback, r.p, r.o.Fraction, r.o.Seed, r.m)
	span := last.at.Sub(first.at).Seconds()
	x.AtStart, x.AtEnd = first.census, last.census
	x.LeaderStayed = first.leader == last.leader && first.leader != "" && len(r.played) == 0
	x.Roles = []RoleResult{roleResult(RoleLeader, first, last, span), roleResult(RoleOther, first, last, span)}
	sums := map[dev.Interface]dev.Totals{}
	for k, t := range last.traffic {
		sums[k.Interface] = sums[k.Interface].Add(t.Sub(first.traffic[k]))
	}
	state := sums[dev.State]
	x.State = StateResult{Requests: round(float64(last.asked-first.asked)/span, 1), Changes: round(float64(last.changed-first.changed)/span, 1),
		Refused: round(float64(last.refused-first.refused)/span, 2), In: round(float64(state.FromController)/span, 0), Out: round(float64(state.ToController)/span, 0), Keys: last.census.Keys}
	workers := float64(max(1, last.census.Workers))
	bytes := sums[dev.Reports].Add(sums[dev.Orders])
	x.StandInsCPU = round((last.standIns.CPU-first.standIns.CPU).Seconds()/span, 3)
	x.Worker = WorkerResult{BytesPerS: round(float64(bytes.ToController+bytes.FromController)/span/workers, 0),
		Reports: round(float64(sums[dev.Reports].Messages)/span/workers, 3), Orders: round(float64(sums[dev.Orders].Messages)/span/workers, 3),
		CPUPercent: round(100*x.StandInsCPU/workers, 3), MemMB: round(float64(last.standIns.RSS)/1e6/workers, 3)}
	x.StandInsLagMS = round(float64(r.c.Lag().ValueAtQuantile(99))/1000, 1)
	x.Troubles = r.played
	x.RunMemGB, x.RunProcesses = round(float64(r.peakMem)/1e9, 2), r.procs
	r.result = x
}

// roleResult sums up the controllers of a role, by who leads at the end.
func roleResult(role Role, first, last *sample, span float64) RoleResult {
	x := RoleResult{Role: role, Interfaces: map[dev.Interface]Rates{}}
	for label, s := range last.procs {
		if (label == last.leader) != (role == RoleLeader) {
			continue
		}
		x.Processes++
		cpu := s.CPU
		if f, ok := first.procs[label]; ok && f.CPU <= s.CPU { // else it was started anew
			cpu -= f.CPU
		}
		cores, mem := cpu.Seconds()/span, float64(s.RSS)/1e6
		x.CPU, x.CPUMost = x.CPU+cores, max(x.CPUMost, cores)
		x.MemMB, x.MemMostMB = x.MemMB+mem, max(x.MemMostMB, float64(s.PeakRSS)/1e6)
		x.Sockets, x.SocketsMax = x.Sockets+float64(s.Sockets), max(x.SocketsMax, s.Sockets)
	}
	n := float64(max(1, x.Processes))
	x.CPU, x.CPUMost, x.MemMB, x.MemMostMB, x.Sockets = round(x.CPU/n, 4), round(x.CPUMost, 4), round(x.MemMB/n, 1), round(x.MemMostMB, 1), round(x.Sockets/n, 0)
	for k, t := range last.traffic {
		leaders := k.Controller == last.leader || k.Interface == dev.Orders // only a leader gives orders
		if leaders != (role == RoleLeader) || k.Controller == "" && k.Interface != dev.Orders {
			continue
		}
		d := t.Sub(first.traffic[k])
		f := x.Interfaces[k.Interface]
		x.Interfaces[k.Interface] = Rates{round(f.Messages+float64(d.Messages)/span/n, 2), round(f.ToController+float64(d.ToController)/span/n, 0), round(f.FromController+float64(d.FromController)/span/n, 0)}
	}
	return x
}

// planTroubles puts the profile's troubles on the world's clock.
func planTroubles(w *sim.World, p *Profile, crash func(label string, d time.Duration), played func(what string)) {
	for _, t := range p.Troubles {
		w.At(seconds(p.Run.SettleS+t.AtS), func() { played(play(w, p, t, crash)) })
	}
}

func play(w *sim.World, p *Profile, t Trouble, crash func(label string, d time.Duration)) string {
	d := seconds(t.ForS)
	switch t.Kind {
	case LeaderKill:
		leader := w.State.LeaderName()
		crash(leader, d)
		return fmt.Sprintf("%.0f s: leader %s killed, back after %.0f s", t.AtS, leader, t.ForS)
	case Rack:
		zone, n := p.Cluster.zoneName(t.Zone), 0
		for _, m := range w.Machines() {
			if m.Zone == zone && n < t.Count {
				m.Die()
				n++
			}
		}
		return fmt.Sprintf("%.0f s: %d workers of %s die", t.AtS, n, zone)
	case ZoneCut:
		zone := p.Cluster.zoneName(t.Zone)
		w.Partition([]string{zone}, d, false)
		return fmt.Sprintf("%.0f s: zone %s cut off for %.0f s", t.AtS, zone, t.ForS)
	default:
		zones := p.Cluster.zonesOf(t.Region)
		w.Partition(zones, d, false)
		return fmt.Sprintf("%.0f s: region %d (%s) cut off for %.0f s", t.AtS, t.Region, strings.Join(zones, ", "), t.ForS)
	}
}
