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

// Options configures a run.
type Options struct {
	Fraction float64
	Seed     uint64
	Dir      string // settings and logs of the controllers
	// Controller returns the command that starts a controller with a settings file.
	Controller func(settingsFile string) *exec.Cmd
	Progress   io.Writer
}

// budgetCheckInterval is the interval at which a run checks its own memory and processes.
const budgetCheckInterval = time.Second

// Run runs a profile at a fraction of its size in real time, with controller processes on
// loopback sockets.
func Run(ctx context.Context, planned *Profile, o Options) (*Result, error) {
	p, err := planned.AtFraction(o.Fraction)
	if err != nil {
		return nil, err
	}
	if err := checkHostLimits(p); err != nil {
		return nil, err
	}
	began := time.Now()
	r := &loopbackRun{profile: p, options: o}
	world := worldConfig(p, o.Seed)
	world.NodeZones = p.controllerZones()
	err = dev.Run(ctx, dev.Config{Controllers: p.Cluster.Controllers, Seed: o.Seed, LoadBalancerAddr: "127.0.0.1:0", Dir: o.Dir, Simulation: &world,
		Duration: seconds(p.Run.SettleS+p.Run.MeasureS) + time.Minute, Network: &dev.Network{Delay: p.delay},
		ControllerCommand: o.Controller, Out: o.Progress, Log: slog.New(slog.DiscardHandler), Started: r.started, Work: r.work})
	if err != nil {
		return nil, err
	}
	r.result.WallSeconds = round(time.Since(began).Seconds(), 1)
	return r.result, nil
}

// controllerZones returns each controller's zone. The controllers are spread over all zones.
func (p *Profile) controllerZones() []string {
	var zones []string
	for i := range p.Cluster.Controllers {
		zones = append(zones, p.Cluster.zoneName(i%p.Cluster.Zones))
	}
	return zones
}

// loopbackRun is a run in real time.
type loopbackRun struct {
	profile      *Profile
	options      Options
	cluster      *dev.Cluster
	load         *load
	measurements *measurements
	injected     []string
	result       *Result
	peakMemory   int64
	maxProcesses int
}

// started begins the load and schedules the faults once the controllers run.
func (r *loopbackRun) started(c *dev.Cluster) {
	r.cluster = c
	w := c.World()
	r.measurements = newMeasurements(r.profile, w)
	r.load = newLoad(w, r.profile, r.options.Seed)
	r.load.onChanged = r.measurements.followChange
	r.load.start()
	scheduleFaults(w, r.profile, c.Crash, func(description string) { r.injected = append(r.injected, description) })
}

// sample is the usage at one moment, counted since the start of the run.
type sample struct {
	at          time.Time
	leader      string
	controllers map[string]procstat.Sample // by label
	standIns    procstat.Sample
	traffic     map[dev.TrafficKey]dev.Totals
	requests    int
	changes     int
	refused     int
	totals      sim.Totals
}

// work waits for the cluster to settle, then measures.
func (r *loopbackRun) work(ctx context.Context) error {
	if err := r.waitWithinBudget(ctx, seconds(r.profile.Run.SettleS)); err != nil {
		return err
	}
	first, err := r.sample()
	if err != nil {
		return err
	}
	if err := r.waitWithinBudget(ctx, seconds(r.profile.Run.MeasureS)); err != nil {
		return err
	}
	last, err := r.sample()
	if err != nil {
		return err
	}
	r.cluster.Do(func(*sim.World) { r.summarize(first, last) })
	return nil
}

// waitWithinBudget waits for d, or returns an error when the run exceeds its budget.
func (r *loopbackRun) waitWithinBudget(ctx context.Context, d time.Duration) error {
	end := time.After(d)
	ticker := time.NewTicker(budgetCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("interrupted: %w", ctx.Err())
		case <-end:
			return nil
		case <-ticker.C:
			if err := r.checkBudget(); err != nil {
				return err
			}
		}
	}
}

func (r *loopbackRun) processes() []dev.Process {
	var out []dev.Process
	r.cluster.Do(func(*sim.World) { out = r.cluster.Processes() })
	return out
}

// checkBudget adds up the memory of all processes of the run, and returns an error if they
// exceed the budget.
func (r *loopbackRun) checkBudget() error {
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
	r.peakMemory, r.maxProcesses = max(r.peakMemory, mem), max(r.maxProcesses, n)
	b := &r.profile.Budget
	if gb := float64(mem) / 1e9; gb > b.RunMemGB || n > b.RunProcesses {
		return fmt.Errorf("the run uses %.1f GB in %d processes, more than its budget of %.1f GB and %d processes: take a smaller --fraction", gb, n, b.RunMemGB, b.RunProcesses)
	}
	return nil
}

func (r *loopbackRun) sample() (*sample, error) {
	s := &sample{at: time.Now(), controllers: map[string]procstat.Sample{}, traffic: r.cluster.Traffic().Totals()}
	for _, x := range r.processes() {
		if x.PID == 0 {
			continue
		}
		if p, err := procstat.Read(x.PID); err == nil { // otherwise the process has just ended
			s.controllers[x.Label] = p
		}
	}
	var err error
	if s.standIns, err = procstat.Read(os.Getpid()); err != nil {
		return nil, err
	}
	r.cluster.Do(func(w *sim.World) {
		s.leader, s.totals = w.State.LeaderName(), w.Totals()
		for _, n := range w.State.Requests {
			s.requests += n
		}
		s.changes, s.refused = w.State.Changes, w.State.Limited
	})
	return s, nil
}

// summarize sets the result from the samples at the start and the end of measuring.
func (r *loopbackRun) summarize(first, last *sample) {
	x := newResult(Loopback, r.profile, r.options.Fraction, r.options.Seed, r.measurements)
	span := last.at.Sub(first.at).Seconds()
	x.AtStart, x.AtEnd = first.totals, last.totals
	x.LeaderStayed = first.leader == last.leader && first.leader != "" && len(r.injected) == 0
	x.Roles = []RoleResult{roleResult(RoleLeader, first, last, span), roleResult(RoleOther, first, last, span)}
	sums := map[dev.Interface]dev.Totals{}
	for k, t := range last.traffic {
		sums[k.Interface] = sums[k.Interface].Add(t.Sub(first.traffic[k]))
	}
	state := sums[dev.State]
	x.State = StateResult{Requests: round(float64(last.requests-first.requests)/span, 1), Changes: round(float64(last.changes-first.changes)/span, 1),
		Refused: round(float64(last.refused-first.refused)/span, 2), In: round(float64(state.FromController)/span, 0), Out: round(float64(state.ToController)/span, 0), Keys: last.totals.Keys}
	workers := float64(max(1, last.totals.Workers))
	bytes := sums[dev.Reports].Add(sums[dev.Orders])
	x.StandInsCPU = round((last.standIns.CPU-first.standIns.CPU).Seconds()/span, 3)
	x.Worker = WorkerResult{BytesPerS: round(float64(bytes.ToController+bytes.FromController)/span/workers, 0),
		Reports: round(float64(sums[dev.Reports].Messages)/span/workers, 3), Orders: round(float64(sums[dev.Orders].Messages)/span/workers, 3),
		CPUPercent: round(100*x.StandInsCPU/workers, 3), MemMB: round(float64(last.standIns.RSS)/1e6/workers, 3)}
	x.StandInsLagMS = round(float64(r.cluster.Lag().ValueAtQuantile(99))/1000, 1)
	x.Faults = r.injected
	x.RunMemGB, x.RunProcesses = round(float64(r.peakMemory)/1e9, 2), r.maxProcesses
	r.result = x
}

// roleResult summarizes the controllers of a role. The leader is the one at the end of the run.
func roleResult(role Role, first, last *sample, span float64) RoleResult {
	x := RoleResult{Role: role, Interfaces: map[dev.Interface]Rates{}}
	for label, s := range last.controllers {
		if (label == last.leader) != (role == RoleLeader) {
			continue
		}
		x.Processes++
		cpu := s.CPU
		if f, ok := first.controllers[label]; ok && f.CPU <= s.CPU { // otherwise the process was restarted
			cpu -= f.CPU
		}
		cores, mem := cpu.Seconds()/span, float64(s.RSS)/1e6
		x.CPU, x.CPUMax = x.CPU+cores, max(x.CPUMax, cores)
		x.MemMB, x.MemPeakMB = x.MemMB+mem, max(x.MemPeakMB, float64(s.PeakRSS)/1e6)
		x.Sockets, x.SocketsMax = x.Sockets+float64(s.Sockets), max(x.SocketsMax, s.Sockets)
	}
	n := float64(max(1, x.Processes))
	x.CPU, x.CPUMax, x.MemMB, x.MemPeakMB, x.Sockets = round(x.CPU/n, 4), round(x.CPUMax, 4), round(x.MemMB/n, 1), round(x.MemPeakMB, 1), round(x.Sockets/n, 0)
	for k, t := range last.traffic {
		leaders := k.Controller == last.leader || k.Interface == dev.Orders // only the leader sends orders
		if leaders != (role == RoleLeader) || k.Controller == "" && k.Interface != dev.Orders {
			continue
		}
		d := t.Sub(first.traffic[k])
		f := x.Interfaces[k.Interface]
		x.Interfaces[k.Interface] = Rates{round(f.Messages+float64(d.Messages)/span/n, 2), round(f.ToController+float64(d.ToController)/span/n, 0), round(f.FromController+float64(d.FromController)/span/n, 0)}
	}
	return x
}

// scheduleFaults schedules the profile's faults, and calls injected with a description of each
// when it is injected.
func scheduleFaults(w *sim.World, p *Profile, crash func(label string, d time.Duration), injected func(description string)) {
	for _, fault := range p.Faults {
		w.At(seconds(p.Run.SettleS+fault.AtS), func() { injected(injectFault(w, p, fault, crash)) })
	}
}

// injectFault injects a fault and returns its description.
func injectFault(w *sim.World, p *Profile, fault Fault, crash func(label string, d time.Duration)) string {
	d := seconds(fault.ForS)
	switch fault.Kind {
	case LeaderKill:
		leader := w.State.LeaderName()
		crash(leader, d)
		return fmt.Sprintf("%.0f s: leader %s killed, back after %.0f s", fault.AtS, leader, fault.ForS)
	case Rack:
		zone, n := p.Cluster.zoneName(fault.Zone), 0
		for _, m := range w.Machines() {
			if m.Zone == zone && n < fault.Count {
				m.Fail()
				n++
			}
		}
		return fmt.Sprintf("%.0f s: %d workers of %s die", fault.AtS, n, zone)
	case ZoneCut:
		zone := p.Cluster.zoneName(fault.Zone)
		w.Partition([]string{zone}, d, false)
		return fmt.Sprintf("%.0f s: zone %s cut off for %.0f s", fault.AtS, zone, fault.ForS)
	default:
		zones := p.Cluster.zonesOf(fault.Region)
		w.Partition(zones, d, false)
		return fmt.Sprintf("%.0f s: region %d (%s) cut off for %.0f s", fault.AtS, fault.Region, strings.Join(zones, ", "), fault.ForS)
	}
}
