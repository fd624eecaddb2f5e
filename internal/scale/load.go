package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"brooklb/internal/settings"
	"brooklb/internal/sim"
)

// Classes of jobs.
const (
	classBatch  = "batch"
	classUrgent = "urgent"
	classGang   = "gang"
)

const (
	// The batch tasks that run at first are submitted from fillStart on, over fillDuration.
	fillStart, fillDuration = 3 * time.Second, 5 * time.Second
	// Run times of a job's batch tasks differ from its usual time by up to this fraction.
	runSpread = 0.3
	// A worker has room for spareSlots more batch tasks than it runs on average, and keeps
	// spareCPUs for urgent and gang tasks, which take smallTaskCPUs each.
	spareSlots, spareCPUs, smallTaskCPUs = 1, 1, 0.02
	urgentRunS                           = 10
	// Job numbers start above firstJobNumber; the ended jobs that are there from the start have
	// smaller ones.
	firstJobNumber = 1_000_000_000
	// Number of counted resources whose counts change.
	resourceCount = 20
	// A cancellation follows a short delay after the submission, plus a random time of up to
	// cancelSpreadS.
	cancelSpreadS = 8.0
	imageCount    = 10
	imageGB       = 0.05
	secondsPerDay = 24 * 60 * 60
	// A team's limit is this multiple of an equal share of all CPUs.
	teamLimitFactor = 1.5
)

// load submits jobs and changes configuration in open loop: it doesn't wait for the results.
type load struct {
	world           *sim.World
	profile         *Profile
	rng             *rand.Rand
	lastJobNumber   int
	resourceChanges map[string]int // changes so far, by resource
	onChanged       func(name string, count int, at time.Duration)
	stopped         bool
}

// worldConfig returns the configuration of the stand-ins for a profile.
func worldConfig(p *Profile, seed uint64) sim.Config {
	c := &p.Cluster
	zones := c.zoneNames()
	perZone := (c.Workers + len(zones) - 1) / len(zones)
	cfg := sim.Config{Seed: seed, Nodes: c.Controllers, Zones: zones, RPS: p.State.RPS, WriteRPS: p.State.WriteRPS, CloudRPS: p.Cloud.RPS,
		Teams: teamsOf(p), Capacity: perZone, Initial: c.Workers, CPUs: c.WorkerCPUs, BootS: p.Workers.BootS,
		TxnOps: p.State.TxnOps, ValueKB: p.State.ValueKB, PageKeys: 1000, KeepChanges: 10000,
		ReportInterval: seconds(p.Workers.ReportS), Lease: seconds(p.Workers.LeaseS), Cancel: seconds(p.Workers.CancelS),
		CPUShare: p.Controller.CPUShare, MemMB: p.Controller.MemMB, Sockets: p.Controller.Sockets,
		Objectives: []settings.Objective{
			{Kind: "wait", Class: classUrgent, WithinS: p.Budget.UrgentStartS, Share: 0.99},
			{Kind: "wait", Class: classGang, WithinS: 30, Share: 0.95}}}
	return cfg
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// teamsOf returns equal teams. Half of each team's share of the CPUs is guaranteed.
func teamsOf(p *Profile) []settings.Team {
	all := float64(p.Cluster.Workers) * p.Cluster.WorkerCPUs
	share := all / float64(p.Cluster.Teams)
	// In a small cluster a job can exceed a team's share, so a limit leaves room for two jobs.
	cpusMax := max(teamLimitFactor*share, share+float64(2*p.Load.TasksPerJob)*p.batchCPUs())
	var teams []settings.Team
	for i := range p.Cluster.Teams {
		teams = append(teams, settings.Team{Name: teamName(i), GuaranteedCPUs: share / 2, MaxCPUs: cpusMax})
	}
	return teams
}

func newLoad(w *sim.World, p *Profile, seed uint64) *load {
	return &load{world: w, profile: p, rng: rand.New(rand.NewPCG(seed, 3)), lastJobNumber: firstJobNumber, resourceChanges: map[string]int{}}
}

// start writes the records of ended jobs, and schedules the jobs that run at first and all
// later submissions and configuration changes.
func (l *load) start() {
	l.world.WatchCancelled()
	if n := l.profile.Load.EndedJobs; n > 0 {
		l.world.State.Fill("b/j/j-", n, `{"v":2,"f":"done","at":1764633600000,"k":100,"c":243}`)
	}
	l.fillCluster()
	begin := fillStart + fillDuration
	d := &l.profile.Load
	l.arrivals(begin, d.batchJobsPerS(), func() { l.submitBatch(d.batchRunS(), runSpread) })
	l.arrivals(begin, d.UrgentPerS, func() {
		l.submit(sim.Job{Class: classUrgent, Kind: "sweep", Urgency: "critical", Tasks: 1, CPUs: smallTaskCPUs, RunS: urgentRunS})
	})
	l.arrivals(begin, d.GangsPerMinute/60, func() {
		l.submit(sim.Job{Class: classGang, Kind: "ensemble", Urgency: "high", Tasks: d.GangTasks, CPUs: smallTaskCPUs, RunS: d.GangRunS, OneZone: true, CheckpointS: 2, SaveS: 1})
	})
	l.arrivals(begin, d.ChangesPerDay/secondsPerDay, l.changeResource)
}

// gangStartsPerS is the rate at which gang tasks start.
func (d *Load) gangStartsPerS() float64 { return d.GangsPerMinute / 60 * float64(d.GangTasks) }

// batchStartsPerS is the rest of the profile's starts, which are neither urgent nor of gangs.
func (d *Load) batchStartsPerS() float64 {
	return max(0, d.StartsPerS-d.UrgentPerS-d.gangStartsPerS())
}

func (d *Load) batchJobsPerS() float64 { return d.batchStartsPerS() / float64(d.TasksPerJob) }

// batchTasks is the number of batch tasks that run at the same time.
func (d *Load) batchTasks() int {
	return max(0, d.RunningTasks-int(d.UrgentPerS*urgentRunS+d.gangStartsPerS()*d.GangRunS))
}

// batchRunS is the run time at which as many batch tasks end as start.
func (d *Load) batchRunS() float64 {
	if d.batchStartsPerS() == 0 {
		return secondsPerDay
	}
	return max(1, float64(d.batchTasks())/d.batchStartsPerS())
}

// batchCPUs is the number of CPUs that a batch task requests.
func (p *Profile) batchCPUs() float64 {
	slots := (p.Load.batchTasks()+p.Cluster.Workers-1)/p.Cluster.Workers + spareSlots
	return (p.Cluster.WorkerCPUs - spareCPUs) / float64(slots)
}

// fillCluster submits the batch jobs that would be running under a load that has lasted for a
// long time. Their run times differ so that they end at an even rate.
func (l *load) fillCluster() {
	n, tasksPerJob := l.profile.Load.batchTasks(), l.profile.Load.TasksPerJob
	jobs := (n + tasksPerJob - 1) / tasksPerJob
	for i := range jobs {
		at := fillStart + fillDuration*time.Duration(i)/time.Duration(jobs)
		l.world.At(at, func() { l.submitBatch(l.profile.Load.batchRunS()*(float64(i)+0.5)/float64(jobs), runSpread) })
	}
}

func (l *load) submitBatch(runS, spread float64) {
	job := sim.Job{Class: classBatch, Kind: "sweep", Urgency: "standard", Tasks: l.profile.Load.TasksPerJob, CPUs: l.profile.batchCPUs(), RunS: runS, RunSpread: spread}
	if l.rng.Float64() < l.profile.Load.CancelShare {
		job.CancelAfter = seconds(0.2 + cancelSpreadS*l.rng.Float64())
	}
	l.submit(job)
}

// arrivals calls f at the given rate with exponentially distributed intervals. The results of
// earlier calls don't delay it.
func (l *load) arrivals(from time.Duration, perSecond float64, f func()) {
	if perSecond <= 0 {
		return
	}
	at := from
	var next func()
	next = func() {
		if l.stopped {
			return
		}
		f()
		at += seconds(l.rng.ExpFloat64() / perSecond)
		l.world.At(at, next)
	}
	at += seconds(l.rng.ExpFloat64() / perSecond)
	l.world.At(at, next)
}

// submit submits the job under the next number, for a random team and with a random image.
func (l *load) submit(job sim.Job) {
	l.lastJobNumber++
	job.ID = fmt.Sprintf("j-%d", l.lastJobNumber)
	job.Team = teamName(l.rng.IntN(l.profile.Cluster.Teams))
	job.Image, job.ImageGB = fmt.Sprintf("img-%d", l.rng.IntN(imageCount)), imageGB
	l.world.Submit(job)
}

// changeResource sets the count of a random resource, one higher at each change.
func (l *load) changeResource() {
	name := fmt.Sprintf("seat-%02d", l.rng.IntN(resourceCount))
	l.resourceChanges[name]++
	count, requestedAt := 1000+l.resourceChanges[name], l.world.Now()
	l.world.SetUnits(name, map[string]any{"count": count, "by": "load"}, func(status int, _ []byte) {
		if status < 300 && l.onChanged != nil {
			l.onChanged(name, count, requestedAt)
		}
	})
}
