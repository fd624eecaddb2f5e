package scale

import (
	"log/slog"
	"os"
	"runtime"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/dev"
	"brooklb/internal/procstat"
	"brooklb/internal/sim"
	"brooklb/internal/wire"
)

// RunSimulated runs a profile in one process and in simulated time. Processor times are those
// of the controllers' own steps, without sockets and HTTP. The result has no memory and sockets
// per controller and no numbers of bytes.
func RunSimulated(planned *Profile, o Options) (*Result, error) {
	p, err := planned.AtFraction(o.Fraction)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	world := worldConfig(p, o.Seed)
	world.NodeZones = p.controllerZones()
	world.MeterCPU = true
	world.Log = slog.New(slog.DiscardHandler)
	w := sim.New(world)
	r := &simulatedRun{profile: p, world: w, messages: map[dev.TrafficKey]int{}}
	r.indexLabels()
	w.OnSend = r.countRequest
	w.RequestDelay = func(from string, c actor.Call) time.Duration { return p.delay(w.ZoneOf(from), w.ZoneOfAddr(c.Addr)) }
	w.AnswerDelay = w.RequestDelay
	r.measurements = newMeasurements(p, w)
	l := newLoad(w, p, o.Seed)
	l.onChanged = r.measurements.followChange
	l.start()
	var injected []string
	scheduleFaults(w, p, w.CrashByLabel, func(description string) { injected = append(injected, description) })
	w.Run(seconds(p.Run.SettleS))
	first := r.sample()
	w.Run(seconds(p.Run.SettleS + p.Run.MeasureS))
	last := r.sample()
	x := newResult(Simulated, p, o.Fraction, o.Seed, r.measurements)
	r.summarize(x, first, last)
	x.Faults, x.LeaderStayed = injected, first.leader == last.leader && len(injected) == 0
	own, err := procstat.Read(os.Getpid())
	if err != nil {
		return nil, err
	}
	x.RunMemGB, x.RunProcesses = round(float64(own.PeakRSS)/1e9, 2), 1
	x.WallSeconds = round(time.Since(began).Seconds(), 1)
	return x, nil
}

// simulatedRun is a run in simulated time.
type simulatedRun struct {
	profile      *Profile
	world        *sim.World
	measurements *measurements
	messages     map[dev.TrafficKey]int
	labelByAddr  map[string]string // labels of the controllers
}

// indexLabels maps the addresses of each controller to its label.
func (r *simulatedRun) indexLabels() {
	r.labelByAddr = map[string]string{}
	for _, s := range r.world.Settings {
		for _, addr := range []string{s.Bind, s.ClusterListen} {
			r.labelByAddr[addr] = s.Label
		}
	}
}

// countRequest counts a request by its interface and controller.
func (r *simulatedRun) countRequest(from string, c actor.Call) {
	key := dev.TrafficKey{Interface: dev.Cloud, Controller: from}
	switch to := r.labelByAddr[c.Addr]; {
	case to != "" && from == "users":
		key = dev.TrafficKey{Interface: dev.Users, Controller: to}
	case to != "" && c.Path == wire.PathReport:
		key = dev.TrafficKey{Interface: dev.Reports, Controller: to}
	case to != "":
		key = dev.TrafficKey{Interface: dev.Peers, Controller: to}
	case c.Path == wire.PathOrders || c.Path == wire.PathStatus:
		key.Interface = dev.Orders
	case strings.HasPrefix(c.Path, wire.PathKeys) || c.Path == wire.PathCommit || strings.HasPrefix(c.Path, wire.PathGrants) || strings.HasPrefix(c.Path, wire.PathChanges):
		key.Interface = dev.State
	}
	r.messages[key]++
}

// simulatedSample is the usage at one moment of simulated time, counted since the start.
type simulatedSample struct {
	leader   string
	cpuTimes []time.Duration
	messages map[dev.TrafficKey]int
	totals   sim.Totals
	changes  int
	refused  int
}

func (r *simulatedRun) sample() simulatedSample {
	s := simulatedSample{leader: r.world.State.LeaderName(), messages: map[dev.TrafficKey]int{}, totals: r.world.Totals(), changes: r.world.State.Changes, refused: r.world.State.Limited}
	for i := range r.world.Settings {
		s.cpuTimes = append(s.cpuTimes, r.world.CPUTime(i))
	}
	for k, n := range r.messages {
		s.messages[k] = n
	}
	return s
}

// summarize sets the result's usage from the samples at the start and the end of measuring.
func (r *simulatedRun) summarize(x *Result, first, last simulatedSample) {
	span := r.profile.Run.MeasureS
	x.AtStart, x.AtEnd = first.totals, last.totals
	x.State = StateResult{Changes: round(float64(last.changes-first.changes)/span, 1), Refused: round(float64(last.refused-first.refused)/span, 2), Keys: last.totals.Keys}
	for _, role := range []Role{RoleLeader, RoleOther} {
		y := RoleResult{Role: role, Interfaces: map[dev.Interface]Rates{}}
		for i, s := range r.world.Settings {
			if (s.Label == last.leader) != (role == RoleLeader) {
				continue
			}
			y.Processes++
			cores := (last.cpuTimes[i] - first.cpuTimes[i]).Seconds() / span
			y.CPU, y.CPUMax = y.CPU+cores, max(y.CPUMax, cores)
		}
		n := float64(max(1, y.Processes))
		y.CPU, y.CPUMax = round(y.CPU/n, 4), round(y.CPUMax, 4)
		for k, m := range last.messages {
			d := float64(m-first.messages[k]) / span
			if k.Interface == dev.State && role == RoleLeader {
				x.State.Requests += d
			}
			if (k.Controller == last.leader) == (role == RoleLeader) {
				f := y.Interfaces[k.Interface]
				f.Messages = round(f.Messages+d/n, 2)
				y.Interfaces[k.Interface] = f
			}
		}
		x.Roles = append(x.Roles, y)
	}
	x.State.Requests = round(x.State.Requests, 1)
}
