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
	// fillAt is when the first batch tasks are submitted, fillOver how long that takes.
	fillAt, fillOver = 3 * time.Second, 5 * time.Second
	// Batch tasks of a job run for so much longer or less than the job's usual time.
	runSpread = 0.3
	// A worker has room for so many more batch tasks than it has on average, and so many
	// CPUs for urgent tasks and gangs, of which each task takes so many.
	spareSlots, spareCPUs, smallCPUs = 1, 1, 0.02
	urgentRunS                       = 10
	// The first job's number; records of ended jobs have smaller ones.
	firstJob = 1_000_000_000
	// Counted resources whose counts change.
	resources = 20
	// A cancelled job is cancelled so long after its submission at most.
	cancelWithinS = 8.0
	images        = 10
	imageGB       = 0.05
	// daySeconds is how many seconds a day has.
	daySeconds = 24 * 60 * 60
	// Teams may use so many times their part of all CPUs.
	teamLimit = 1.5
)

// load submits jobs and changes configuration in open loop.
type load struct {
	w       *sim.World
	p       *Profile
	rng     *rand.Rand
	next    int
	counts  map[string]int // of resources, as last set
	onSet   func(name string, count int, at time.Duration)
	stopped bool
}

// worldConfig makes the stand-ins for a profile.
func worldConfig(p *Profile, seed uint64) sim.Config {
	c := &p.Cluster
	zones := c.zoneNames()
	perZone := (c.Workers + len(zones) - 1) / len(zones)
	cfg := sim.Config{Seed: seed, Nodes: c.Controllers, Zones: zones, RPS: p.State.RPS, WriteRPS: p.State.WriteRPS, CloudRPS: p.Cloud.RPS,
		Teams: teamsOf(p), Capacity: perZone, Initial: c.Workers, CPUs: c.WorkerCPUs, BootS: p.Workers.BootS,
		TxnOps: p.State.TxnOps, ValueKB: p.State.ValueKB, PageKeys: 1000, KeepChanges: 10000,
		Report: seconds(p.Workers.ReportS), Lease: seconds(p.Workers.LeaseS), Cancel: seconds(p.Workers.CancelS),
		CPUShare: p.Controller.CPUShare, MemMB: p.Controller.MemMB, Sockets: p.Controller.Sockets,
		Objectives: []settings.Objective{
			{Kind: "wait", Class: classUrgent, WithinS: p.Budget.UrgentStartS, Share: 0.99},
			{Kind: "wait", Class: classGang, WithinS: 30, Share: 0.95}}}
	return cfg
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func teamsOf(p *Profile) []settings.Team {
	all := float64(p.Cluster.Workers) * p.Cluster.WorkerCPUs
	part := all / float64(p.Cluster.Teams)
	// In a small cluster jobs are large beside a team's part.
	most := max(teamLimit*part, part+float64(2*p.Load.TasksPerJob)*p.batchCPUs())
	var teams []settings.Team
	for i := range p.Cluster.Teams {
		teams = append(teams, settings.Team{Name: teamName(i), CPUs: part / 2, CPUsMax: most})
	}
	return teams
}

func newLoad(w *sim.World, p *Profile, seed uint64) *load {
	return &load{w: w, p: p, rng: rand.New(rand.NewPCG(seed, 3)), next: firstJob, counts: map[string]int{}}
}

// start puts the first of everything on the world's clock.
func (l *load) start() {
	l.w.WatchCancelled()
	if n := l.p.Load.EndedJobs; n > 0 {
		l.w.State.Fill("b/j/j-", n, `{"v":2,"f":"done","at":1764633600000,"k":100,"c":243}`)
	}
	l.fill()
	begin := fillAt + fillOver
	d := &l.p.Load
	l.arrivals(begin, d.batchJobsPerS(), func() { l.submitBatch(d.batchRunS(), runSpread) })
	l.arrivals(begin, d.UrgentPerS, func() {
		l.submit(sim.Job{Class: classUrgent, Shape: "sweep", Urgency: "critical", Tasks: 1, CPUs: smallCPUs, RunS: urgentRunS})
	})
	l.arrivals(begin, d.GangsPerMinute/60, func() {
		l.submit(sim.Job{Class: classGang, Shape: "ensemble", Urgency: "high", Tasks: d.GangTasks, CPUs: smallCPUs, RunS: d.GangRunS, SamePlace: true, SnapshotS: 2, StowS: 1})
	})
	l.arrivals(begin, d.ChangesPerDay/daySeconds, l.change)
}

// gangStartsPerS is how many starts a second are of gangs.
func (d *Load) gangStartsPerS() float64 { return d.GangsPerMinute / 60 * float64(d.GangTasks) }

// batchStartsPerS makes up the starts that are neither urgent nor of gangs.
func (d *Load) batchStartsPerS() float64 {
	return max(0, d.StartsPerS-d.UrgentPerS-d.gangStartsPerS())
}

func (d *Load) batchJobsPerS() float64 { return d.batchStartsPerS() / float64(d.TasksPerJob) }

// batchTasks is how many batch tasks run at a time.
func (d *Load) batchTasks() int {
	return max(0, d.RunningTasks-int(d.UrgentPerS*urgentRunS+d.gangStartsPerS()*d.GangRunS))
}

// batchRunS is how long a batch task runs so that as many end as start.
func (d *Load) batchRunS() float64 {
	if d.batchStartsPerS() == 0 {
		return daySeconds
	}
	return max(1, float64(d.batchTasks())/d.batchStartsPerS())
}

// batchCPUs is what a batch task takes.
func (p *Profile) batchCPUs() float64 {
	slots := (p.Load.batchTasks()+p.Cluster.Workers-1)/p.Cluster.Workers + spareSlots
	return (p.Cluster.WorkerCPUs - spareCPUs) / float64(slots)
}

// fill submits what would run already had the load lasted for long: jobs that end evenly
// from now on.
func (l *load) fill() {
	n, per := l.p.Load.batchTasks(), l.p.Load.TasksPerJob
	jobs := (n + per - 1) / per
	for i := range jobs {
		at := fillAt + fillOver*time.Duration(i)/time.Duration(jobs)
		l.w.At(at, func() { l.submitBatch(l.p.Load.batchRunS()*(float64(i)+0.5)/float64(jobs), runSpread) })
	}
}

func (l *load) submitBatch(runS, spread float64) {
	job := sim.Job{Class: classBatch, Shape: "sweep", Urgency: "standard", Tasks: l.p.Load.TasksPerJob, CPUs: l.p.batchCPUs(), RunS: runS, RunSpread: spread}
	if l.rng.Float64() < l.p.Load.CancelShare {
		job.CancelAfter = seconds(0.2 + cancelWithinS*l.rng.Float64())
	}
	l.submit(job)
}

// arrivals calls f at exponential intervals of the given rate, whatever came of the calls
// before.
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
		l.w.At(at, next)
	}
	at += seconds(l.rng.ExpFloat64() / perSecond)
	l.w.At(at, next)
}

// submit has a user of some team submit the job.
func (l *load) submit(job sim.Job) {
	l.next++
	job.ID = fmt.Sprintf("j-%d", l.next)
	job.Team = teamName(l.rng.IntN(l.p.Cluster.Teams))
	job.Image, job.ImageGB = fmt.Sprintf("img-%d", l.rng.IntN(images)), imageGB
	l.w.Submit(job)
}

// change sets the count of a resource anew.
func (l *load) change() {
	name := fmt.Sprintf("seat-%02d", l.rng.IntN(resources))
	l.counts[name]++
	count, asked := 1000+l.counts[name], l.w.Now()
	l.w.SetUnits(name, map[string]any{"count": count, "by": "load"}, func(status int, _ []byte) {
		if status < 300 && l.onSet != nil {
			l.onSet(name, count, asked)
		}
	})
}
