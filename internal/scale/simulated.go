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

// RunSimulated plays a profile in one process and in simulated time. Processor times are
// those of the controllers' own steps, without sockets and HTTP; memory by controller and
// bytes are not known.
func RunSimulated(whole *Profile, o Options) (*Result, error) {
	p, err := whole.At(o.Fraction)
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
	r := &simulatedRun{p: p, w: w, messages: map[dev.TrafficKey]int{}}
	r.labels()
	w.OnSend = r.sent
	w.Delay = func(from string, c actor.Call) time.Duration { return p.delay(w.Place(from), w.PlaceOf(c.Addr)) }
	w.Lag = w.Delay
	r.m = newMeasures(p, w)
	l := newLoad(w, p, o.Seed)
	l.onSet = r.m.set
	l.start()
	var played []string
	planTroubles(w, p, w.Kill, func(what string) { played = append(played, what) })
	w.Run(seconds(p.Run.SettleS))
	first := r.sample()
	w.Run(seconds(p.Run.SettleS + p.Run.MeasureS))
	last := r.sample()
	x := newResult(Simulated, p, o.Fraction, o.Seed, r.m)
	r.summarize(x, first, last)
	x.Troubles, x.LeaderStayed = played, first.leader == last.leader && len(played) == 0
	own, err := procstat.Read(os.Getpid())
	if err != nil {
		return nil, err
	}
	x.RunMemGB, x.RunProcesses = round(float64(own.PeakRSS)/1e9, 2), 1
	x.WallSeconds = round(time.Since(began).Seconds(), 1)
	return x, nil
}

// simulatedRun counts what is sent.
type simulatedRun struct {
	p        *Profile
	w        *sim.World
	m        *measures
	messages map[dev.TrafficKey]int
	byAddr   map[string]string // controllers' labels
}

func (r *simulatedRun) labels() {
	r.byAddr = map[string]string{}
	for _, s := range r.w.Set {
		for _, addr := range []string{s.Bind, s.ClusterListen} {
			r.byAddr[addr] = s.Label
		}
	}
}

// sent counts a request by its interface and controller.
func (r *simulatedRun) sent(from string, c actor.Call) {
	key := dev.TrafficKey{Interface: dev.Cloud, Controller: from}
	switch to := r.byAddr[c.Addr]; {
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

// simulatedSample is what had been used up to one moment of simulated time.
type simulatedSample struct {
	leader   string
	busy     []time.Duration
	messages map[dev.TrafficKey]int
	census   sim.Census
	changed  int
	refused  int
}

func (r *simulatedRun) sample() simulatedSample {
	s := simulatedSample{leader: r.w.State.LeaderName(), messages: map[dev.TrafficKey]int{}, census: r.w.Census(), changed: r.w.State.Changed, refused: r.w.State.Limited}
	for i := range r.w.Set {
		s.busy = append(s.busy, r.w.Busy(i))
	}
	for k, n := range r.messages {
		s.messages[k] = n
	}
	return s
}

func (r *simulatedRun) summarize(x *Result, first, last simulatedSample) {
	span := r.p.Run.MeasureS
	x.AtStart, x.AtEnd = first.census, last.census
	x.State = StateResult{Changes: round(float64(last.changed-first.changed)/span, 1), Refused: round(float64(last.refused-first.refused)/span, 2), Keys: last.census.Keys}
	for _, role := range []Role{RoleLeader, RoleOther} {
		y := RoleResult{Role: role, Interfaces: map[dev.Interface]Rates{}}
		for i, s := range r.w.Set {
			if (s.Label == last.leader) != (role == RoleLeader) {
				continue
			}
			y.Processes++
			cores := (last.busy[i] - first.busy[i]).Seconds() / span
			y.CPU, y.CPUMost = y.CPU+cores, max(y.CPUMost, cores)
		}
		n := float64(max(1, y.Processes))
		y.CPU, y.CPUMost = round(y.CPU/n, 4), round(y.CPUMost, 4)
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
