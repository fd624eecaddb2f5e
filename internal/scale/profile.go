// Package scale runs a cluster of a planned size, or a fraction of it, on one computer. The
// controllers are real; stand-ins simulate the workers, the cloud, the state service and the
// users. The package loads the cluster in open loop and reports its latencies, its throughput
// and the resources that it used.
package scale

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"brooklb/internal/settings"
)

// Profile describes a cluster, its load and its budgets.
type Profile struct {
	Cluster    Cluster    `toml:"cluster" json:"cluster"`
	Workers    Workers    `toml:"workers" json:"workers"`
	Controller Controller `toml:"controller" json:"controller"`
	State      State      `toml:"state" json:"state"`
	Cloud      Cloud      `toml:"cloud" json:"cloud"`
	Network    Network    `toml:"network" json:"network"`
	Load       Load       `toml:"load" json:"load"`
	Run        Timing     `toml:"run" json:"run"`
	Budget     Budget     `toml:"budget" json:"budget"`
	Faults     []Fault    `toml:"trouble" json:"trouble,omitempty"` // files call a fault a trouble
}

// Cluster has the sizes of a cluster.
type Cluster struct {
	Workers     int     `toml:"workers" json:"workers"`
	WorkerCPUs  float64 `toml:"worker_cpus" json:"worker_cpus"`
	Controllers int     `toml:"controllers" json:"controllers"`
	Regions     int     `toml:"regions" json:"regions"`
	Zones       int     `toml:"zones" json:"zones"`
	Teams       int     `toml:"teams" json:"teams"`
}

// Workers has the intervals and time-outs of the workers' protocol.
type Workers struct {
	ReportS float64 `toml:"report_s" json:"report_s"`
	LeaseS  float64 `toml:"lease_s" json:"lease_s"`
	CancelS float64 `toml:"cancel_s" json:"cancel_s"`
	BootS   float64 `toml:"boot_s" json:"boot_s"`
}

// Controller has the resource limits of one controller.
type Controller struct {
	CPUShare float64 `toml:"cpu_share" json:"cpu_share"`
	MemMB    float64 `toml:"mem_mb" json:"mem_mb"`
	Sockets  int     `toml:"sockets" json:"sockets"`
}

// State has the limits of the state service for all controllers together.
type State struct {
	RPS      float64 `toml:"rps" json:"rps"`
	WriteRPS float64 `toml:"write_rps" json:"write_rps"`
	ValueKB  int     `toml:"value_kb" json:"value_kb"`
	TxnOps   int     `toml:"txn_ops" json:"txn_ops"`
}

// Cloud has the request limit of the cloud.
type Cloud struct {
	RPS float64 `toml:"rps" json:"rps"`
}

// Network has the one-way delays between places.
type Network struct {
	ZoneMS   float64 `toml:"zone_ms" json:"zone_ms"`     // between zones of a region, and from a zone of the first region to its regional services
	RegionMS float64 `toml:"region_ms" json:"region_ms"` // between regions
}

// Load is the load on the cluster, in open loop.
type Load struct {
	RunningTasks   int     `toml:"running_tasks" json:"running_tasks"`
	StartsPerS     float64 `toml:"starts_per_s" json:"starts_per_s"`
	TasksPerJob    int     `toml:"tasks_per_job" json:"tasks_per_job"`
	UrgentPerS     float64 `toml:"urgent_per_s" json:"urgent_per_s"`
	GangsPerMinute float64 `toml:"gangs_per_minute" json:"gangs_per_minute"`
	GangTasks      int     `toml:"gang_tasks" json:"gang_tasks"`
	GangRunS       float64 `toml:"gang_run_s" json:"gang_run_s"`
	CancelShare    float64 `toml:"cancel_share" json:"cancel_share"` // of the batch jobs
	ChangesPerDay  float64 `toml:"changes_per_day" json:"changes_per_day"`
	EndedJobs      int     `toml:"ended_jobs" json:"ended_jobs"` // with records from the start of the run
}

// Timing has the lengths of a run's phases.
type Timing struct {
	SettleS  float64 `toml:"settle_s" json:"settle_s"`
	MeasureS float64 `toml:"measure_s" json:"measure_s"`
}

// Budget has the limits for the results of a run. A loopback run that exceeds RunMemGB or
// RunProcesses ends with an error.
type Budget struct {
	UrgentStartS     float64 `toml:"urgent_start_s" json:"urgent_start_s"`
	ConfigS          float64 `toml:"config_s" json:"config_s"`
	WorkerCPUPercent float64 `toml:"worker_cpu_percent" json:"worker_cpu_percent"`
	WorkerMemMB      float64 `toml:"worker_mem_mb" json:"worker_mem_mb"`
	WorkerBytesPerS  float64 `toml:"worker_bytes_per_s" json:"worker_bytes_per_s"`
	RunMemGB         float64 `toml:"run_mem_gb" json:"run_mem_gb"`       // memory of all processes of a run
	RunProcesses     int     `toml:"run_processes" json:"run_processes"` // processes of a run
}

// FaultKind names a kind of injected fault.
type FaultKind string

// The kinds of faults.
const (
	LeaderKill FaultKind = "leader_kill" // the leader's process ends and restarts
	Rack       FaultKind = "rack"        // workers of one zone fail together
	ZoneCut    FaultKind = "zone_cut"    // a zone is disconnected from everything else
	RegionCut  FaultKind = "region_cut"  // a region is disconnected
)

// Fault is injected at a time after the cluster has settled.
type Fault struct {
	AtS    float64   `toml:"at_s" json:"at_s"`
	Kind   FaultKind `toml:"kind" json:"kind"`
	ForS   float64   `toml:"for_s" json:"for_s"`
	Count  int       `toml:"count" json:"count,omitempty"`   // workers of a rack
	Zone   int       `toml:"zone" json:"zone,omitempty"`     // from 0
	Region int       `toml:"region" json:"region,omitempty"` // from 0
}

// LoadProfile reads and checks a profile. The error names the file, the field and the
// reason in one line.
func LoadProfile(file string) (*Profile, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	var p Profile
	if err := settings.Decode(file, b, &p); err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("profile: %s: %w", file, err)
	}
	return &p, nil
}

// fieldRange is the value of a field and the range that it must be in.
type fieldRange struct {
	field         string
	value, lo, hi float64
}

// check returns an error that names the first field out of its range.
func (p *Profile) check() error {
	c, l := &p.Cluster, &p.Load
	for _, x := range []fieldRange{
		{"cluster.workers", float64(c.Workers), 1, 60000},
		{"cluster.worker_cpus", c.WorkerCPUs, 4, 1024},
		{"cluster.controllers", float64(c.Controllers), 1, 64},
		{"cluster.regions", float64(c.Regions), 1, 16},
		{"cluster.zones", float64(c.Zones), float64(c.Regions), 64},
		{"cluster.teams", float64(c.Teams), 1, 10000},
		{"workers.report_s", p.Workers.ReportS, 1, 60},
		{"workers.lease_s", p.Workers.LeaseS, 10, 600},
		{"workers.cancel_s", p.Workers.CancelS, p.Workers.LeaseS + 4.5, 1200},
		{"workers.boot_s", p.Workers.BootS, 0, 600},
		{"controller.cpu_share", p.Controller.CPUShare, 0.05, 1},
		{"controller.mem_mb", p.Controller.MemMB, 64, 1 << 20},
		{"controller.sockets", float64(p.Controller.Sockets), 100, 1 << 20},
		{"state.rps", p.State.RPS, 1, 1e6},
		{"state.write_rps", p.State.WriteRPS, 1, 1e6},
		{"state.value_kb", float64(p.State.ValueKB), 1, 64},
		{"state.txn_ops", float64(p.State.TxnOps), 1, 1000},
		{"cloud.rps", p.Cloud.RPS, 0.1, 1e6},
		{"network.zone_ms", p.Network.ZoneMS, 0, 1000},
		{"network.region_ms", p.Network.RegionMS, 0, 1000},
		{"load.running_tasks", float64(l.RunningTasks), 1, 1e7},
		{"load.starts_per_s", l.StartsPerS, 0.1, 1e5},
		{"load.tasks_per_job", float64(l.TasksPerJob), 1, 100000},
		{"load.urgent_per_s", l.UrgentPerS, 0, 1e4},
		{"load.gangs_per_minute", l.GangsPerMinute, 0, 1e5},
		{"load.gang_tasks", float64(l.GangTasks), 1, 1000},
		{"load.gang_run_s", l.GangRunS, 0.1, 3600},
		{"load.cancel_share", l.CancelShare, 0, 1},
		{"load.changes_per_day", l.ChangesPerDay, 0, 1e8},
		{"load.ended_jobs", float64(l.EndedJobs), 0, 1e7},
		{"run.settle_s", p.Run.SettleS, 1, 3600},
		{"run.measure_s", p.Run.MeasureS, 1, 3600},
		{"budget.urgent_start_s", p.Budget.UrgentStartS, 0.1, 3600},
		{"budget.config_s", p.Budget.ConfigS, 0.1, 3600},
		{"budget.worker_cpu_percent", p.Budget.WorkerCPUPercent, 0.01, 100},
		{"budget.worker_mem_mb", p.Budget.WorkerMemMB, 1, 1e6},
		{"budget.worker_bytes_per_s", p.Budget.WorkerBytesPerS, 1, 1e9},
		{"budget.run_mem_gb", p.Budget.RunMemGB, 0.1, 1e4},
		{"budget.run_processes", float64(p.Budget.RunProcesses), 2, 1e5},
	} {
		if !(x.value >= x.lo && x.value <= x.hi) {
			return fmt.Errorf("field %s: %v is not from %v to %v", x.field, x.value, x.lo, x.hi)
		}
	}
	for i, fault := range p.Faults {
		if err := p.checkFault(fault); err != nil {
			return fmt.Errorf("field trouble[%d]: %w", i, err)
		}
	}
	return nil
}

func (p *Profile) checkFault(fault Fault) error {
	switch fault.Kind {
	case LeaderKill, Rack, ZoneCut, RegionCut:
	default:
		return fmt.Errorf("kind %q is none of %s, %s, %s, %s", fault.Kind, LeaderKill, Rack, ZoneCut, RegionCut)
	}
	switch {
	case !(fault.AtS >= 0) || !(fault.ForS >= 0):
		return errors.New("at_s and for_s must be 0 or more")
	case fault.AtS > p.Run.MeasureS:
		return fmt.Errorf("at_s %v is after the end of the run", fault.AtS)
	case fault.Kind == Rack && fault.Count < 1:
		return errors.New("count must be 1 or more")
	case fault.Zone < 0 || fault.Zone >= p.Cluster.Zones:
		return fmt.Errorf("there is no zone %d", fault.Zone)
	case fault.Region < 0 || fault.Region >= p.Cluster.Regions:
		return fmt.Errorf("there is no region %d", fault.Region)
	}
	return nil
}

// Minimum sizes of a fraction of a profile.
const (
	minWorkers     = 20
	minControllers = 3
	minTeams       = 4

	minUrgentPerS     = 1
	minGangsPerMinute = 4
)

// AtFraction returns the profile at a fraction of its size: fewer workers, controllers, teams,
// tasks and requests, and lower limits of the state service and the cloud. The sizes of a
// single worker, job or gang stay, except that a gang has at most half as many tasks as there
// are workers. Regions, zones and all times stay, and so do configuration changes, because each
// goes to every controller. The rates of urgent jobs and gangs have minimums, so that their
// latencies form a distribution.
func (p *Profile) AtFraction(fraction float64) (*Profile, error) {
	if !(fraction > 0 && fraction <= 1) {
		return nil, fmt.Errorf("fraction %v must be above 0 and at most 1", fraction)
	}
	q := *p
	scaled := func(n int) int { return int(math.Round(float64(n) * fraction)) }
	q.Cluster.Workers = scaled(p.Cluster.Workers)
	if q.Cluster.Workers < minWorkers {
		return nil, fmt.Errorf("fraction %v leaves %d workers, fewer than %d", fraction, q.Cluster.Workers, minWorkers)
	}
	q.Cluster.Controllers = max(min(minControllers, p.Cluster.Controllers), scaled(p.Cluster.Controllers))
	q.Cluster.Teams = max(min(minTeams, p.Cluster.Teams), scaled(p.Cluster.Teams))
	q.State.RPS = max(200, p.State.RPS*fraction)
	q.State.WriteRPS = max(50, p.State.WriteRPS*fraction)
	q.Cloud.RPS = max(5, p.Cloud.RPS*fraction)
	l := &q.Load
	l.RunningTasks, l.EndedJobs = scaled(l.RunningTasks), scaled(l.EndedJobs)
	l.StartsPerS *= fraction
	l.UrgentPerS = max(l.UrgentPerS*fraction, min(l.UrgentPerS, minUrgentPerS))
	l.GangsPerMinute = max(l.GangsPerMinute*fraction, min(l.GangsPerMinute, minGangsPerMinute))
	l.GangTasks = min(l.GangTasks, q.Cluster.Workers/2)
	q.Faults = append([]Fault(nil), p.Faults...)
	for i := range q.Faults {
		if q.Faults[i].Kind == Rack {
			q.Faults[i].Count = max(1, scaled(q.Faults[i].Count))
		}
	}
	return &q, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// regionOf returns the region of a zone. Zones are assigned to the regions in turn.
func (c *Cluster) regionOf(zone int) int { return zone % c.Regions }

func (c *Cluster) zoneName(zone int) string { return fmt.Sprintf("r%d-z%d", c.regionOf(zone), zone) }

func (c *Cluster) zoneNames() []string {
	var names []string
	for i := range c.Zones {
		names = append(names, c.zoneName(i))
	}
	return names
}

// zonesOf returns the names of the zones of a region.
func (c *Cluster) zonesOf(region int) []string {
	var names []string
	for i := range c.Zones {
		if c.regionOf(i) == region {
			names = append(names, c.zoneName(i))
		}
	}
	return names
}

// homeRegion is the region of the state service, the cloud's interface and the users.
const homeRegion = 0

// delay returns the one-way delay between two places. A place is the name of a zone, or empty
// for the regional services of homeRegion.
func (p *Profile) delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	if region(from) == region(to) {
		return time.Duration(p.Network.ZoneMS * float64(time.Millisecond))
	}
	return time.Duration(p.Network.RegionMS * float64(time.Millisecond))
}

// region returns the region's part of a zone's name, or homeRegion for an empty place.
func region(place string) string {
	if place == "" {
		return fmt.Sprintf("r%d", homeRegion)
	}
	name, _, _ := strings.Cut(place, "-")
	return name
}
