package rollout

import (
	"container/heap"
	"errors"
	"fmt"
	"math/bits"
	"net"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/wire"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxInFlight is the largest number of concurrent checks: each takes a socket.
	maxInFlight = 64
	// checkCost is the processor time of a check: half the time of a call in
	// httpx.BenchmarkOnce, which includes the server, and a margin of 50%. Checks use at
	// most checkShare of the processor time that the process may use.
	checkCost  = 200 * time.Microsecond
	checkShare = 0.2
	// jitter is the part of the interval by which checks are spread, so that they
	// don't all run at the same moment.
	jitter = 0.1
	// flapWindow is how many recent checks count when an instance alternates between
	// passing and failing.
	flapWindow = 20
	// healthyAfter is how long an instance without checks runs until it counts as
	// healthy.
	healthyAfter = 10 * time.Second
)

// checkedInstance is a running instance whose health is tracked.
type checkedInstance struct {
	job         *ledger.Job
	task        int
	attempt     uint64
	placement   *ledger.Placement
	spec        *wire.Health // nil: the instance has no checks
	nextCheck   time.Duration
	heapIndex   int // in checker.due, -1: it isn't there
	removed     bool
	passes      int // in a row
	fails       int
	results     uint32 // a bit for each, the newest lowest; 1: failed
	lastResult  time.Duration
	lastFailure string // reason of the last failure
}

// checker checks the health of the instances of services that are rolled out, with a
// limited number of sockets and limited processor time.
type checker struct {
	env            actor.Env
	reportInterval time.Duration
	instances      map[instanceID]*checkedInstance
	due            dueHeap
	inFlight       int
	bucket         actor.Bucket
	rate           float64 // checks per second
	generation     int     // increases at a pause: answers to checks sent before it are ignored
	timer          *actor.Timer
	latencies      *hdrhistogram.Histogram // of successful answers, in microseconds
}

type instanceID struct {
	job  string
	task int
}

type dueHeap []*checkedInstance

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].nextCheck < h[j].nextCheck }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *dueHeap) Push(x any)        { c := x.(*checkedInstance); c.heapIndex = len(*h); *h = append(*h, c) }
func (h *dueHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h, c.heapIndex = old[:len(old)-1], -1
	return c
}

func newChecker(env actor.Env, share float64, report time.Duration) *checker {
	if share <= 0 || share > 1 {
		share = 1
	}
	c := &checker{env: env, reportInterval: report, instances: map[instanceID]*checkedInstance{}, rate: checkShare * share / checkCost.Seconds(),
		latencies: hdrhistogram.New(1, 60_000_000, 2)}
	c.bucket.SetRate(c.rate, max(4, c.rate/4))
	return c
}

// watch begins to check a running instance. A new attempt of a task starts with no
// results.
func (c *checker) watch(j *ledger.Job, task int, spec *wire.Health) *checkedInstance {
	id := instanceID{j.Spec.ID, task}
	p := j.Tasks[task].CurrentPlacement
	x := c.instances[id]
	if p == nil || p.Phase != model.Running {
		if x != nil {
			c.forget(id, x)
		}
		return nil
	}
	if x != nil && x.attempt == p.Attempt && x.placement == p {
		return x
	}
	if x != nil {
		c.forget(id, x)
	}
	x = &checkedInstance{job: j, task: task, attempt: p.Attempt, placement: p, spec: spec, heapIndex: -1, lastResult: -time.Hour}
	c.instances[id] = x
	if spec != nil {
		delay := time.Duration(spec.DelayS * float64(time.Second))
		x.nextCheck = max(c.env.Now(), p.RunSince+delay) + c.randomDelay(time.Duration(spec.IntervalS*float64(time.Second)/4))
		heap.Push(&c.due, x)
		c.schedule()
	}
	return x
}

func (c *checker) randomDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.env.Rand().Float64())
}

func (c *checker) forget(id instanceID, x *checkedInstance) {
	x.removed = true
	if x.heapIndex >= 0 {
		heap.Remove(&c.due, x.heapIndex)
	}
	delete(c.instances, id)
}

// forgetJob ends the checks of a version's instances.
func (c *checker) forgetJob(job string, tasks int) {
	for i := range tasks {
		if x := c.instances[instanceID{job, i}]; x != nil {
			c.forget(instanceID{job, i}, x)
		}
	}
}

func (c *checker) schedule() {
	if c.timer != nil || len(c.due) == 0 {
		return
	}
	wait := max(10*time.Millisecond, c.due[0].nextCheck-c.env.Now())
	c.timer = c.env.After(wait, func() { c.timer = nil; c.runDue() })
}

func (c *checker) runDue() {
	now := c.env.Now()
	for len(c.due) > 0 && c.due[0].nextCheck <= now && c.inFlight < maxInFlight {
		if !c.bucket.Take(now, 1, 0) {
			break
		}
		c.send(heap.Pop(&c.due).(*checkedInstance))
	}
	if c.inFlight < maxInFlight { // otherwise the next answer calls schedule
		c.schedule()
	}
}

// address returns the address of an instance's checks, "" if it isn't known. The host
// is always the one in the cloud's list of machines.
func (x *checkedInstance) address() string {
	host, worker, err := net.SplitHostPort(x.placement.Host.ListedAddr)
	if err != nil || host == "" {
		return ""
	}
	port := x.spec.Port
	if x.spec.PerTask {
		port += x.task
	}
	if text := strconv.Itoa(port); text != worker { // the worker takes commands on its port
		return net.JoinHostPort(host, text)
	}
	return ""
}

func (x *checkedInstance) path() string {
	return strings.NewReplacer("{task}", strconv.Itoa(x.task), "{job}", x.job.Spec.ID).Replace(x.spec.Path)
}

func (c *checker) send(x *checkedInstance) {
	reschedule := func() {
		if x.removed {
			return
		}
		every := time.Duration(x.spec.IntervalS * float64(time.Second))
		x.nextCheck = c.env.Now() + every - time.Duration(float64(every)*jitter/2) + c.randomDelay(time.Duration(float64(every)*jitter))
		heap.Push(&c.due, x)
		c.schedule()
	}
	addr := x.address()
	if addr == "" {
		reschedule()
		return
	}
	c.inFlight++
	gen, sent := c.generation, c.env.Now()
	lastReport := x.placement.Host.LastReport
	c.env.Call(actor.Call{Addr: addr, Method: "GET", Path: x.path(), DisableKeepAlive: true, Timeout: time.Duration(x.spec.TimeoutS * float64(time.Second)),
		Done: func(a actor.Answer) {
			c.inFlight--
			if !x.removed && gen == c.generation {
				x.recordResult(c, a, sent, lastReport)
			}
			reschedule()
			if c.inFlight == maxInFlight-1 {
				c.schedule()
			}
		}})
}

// recordResult records the outcome of a check. A failure that the network or the
// machine may have caused is ignored.
func (x *checkedInstance) recordResult(c *checker, a actor.Answer, sent, lastReport time.Duration) {
	now := c.env.Now()
	took := now - sent
	// If the machine's worker reports on time, the network works, and a missing answer
	// is a failure of the instance.
	machineReports := now-max(lastReport, x.placement.Host.LastReport) <= c.reportInterval+c.reportInterval/2
	why := ""
	switch {
	case a.Err == nil && a.Status >= 200 && a.Status < 300:
		if slow := time.Duration(x.spec.SlowS * float64(time.Second)); took > slow {
			why = fmt.Sprintf("answered after %.1f s only", took.Seconds())
		}
		_ = c.latencies.RecordValue(max(1, took.Microseconds())) // within the histogram's range
	case a.Err == nil:
		why = fmt.Sprintf("answered %d", a.Status)
	case errors.Is(a.Err, actor.ErrRefused) && machineReports:
		why = "refused the connection"
	case a.Unsent() || !machineReports:
		return // the check was not sent, or the machine may be unreachable
	default:
		why = "did not answer"
	}
	x.lastResult = now
	x.results <<= 1
	if why == "" {
		x.passes++
		x.fails = 0
		return
	}
	x.results |= 1
	x.fails++
	x.passes = 0
	x.lastFailure = why
}

// staleAfter returns after how long without a result an instance's health counts as
// unknown. fullRound is how long it takes to check all instances once.
func (x *checkedInstance) staleAfter(fullRound time.Duration) time.Duration {
	every := max(fullRound, time.Duration(x.spec.IntervalS*float64(time.Second)))
	return 2*every + time.Duration(x.spec.TimeoutS*float64(time.Second)) + 2*time.Second
}

// fullRound returns how long it takes to check all instances at the permitted rate.
func (c *checker) fullRound() time.Duration {
	return time.Duration(float64(len(c.instances)) / c.rate * float64(time.Second))
}

// healthy reports whether the instance is known to be healthy.
func (x *checkedInstance) healthy(c *checker) bool {
	now := c.env.Now()
	if x.spec == nil {
		return now-x.placement.RunSince >= healthyAfter && now-x.placement.Host.LastReport <= 2*c.reportInterval
	}
	return x.passes >= x.spec.Passes && now-x.lastResult <= x.staleAfter(c.fullRound()) && !x.sick()
}

// sick reports whether the instance is known to fail: it failed too many checks in a
// row, or too many of the last flapWindow.
func (x *checkedInstance) sick() bool {
	return x.spec != nil && (x.fails >= x.spec.Fails || bits.OnesCount32(x.results&(1<<flapWindow-1)) >= x.spec.Flaps)
}

// evidence describes in a sentence why the instance is sick.
func (x *checkedInstance) evidence() string {
	where := fmt.Sprintf("%s/%d on %s", x.job.Spec.ID, x.task, x.placement.Host.Name)
	if x.fails >= x.spec.Fails {
		return fmt.Sprintf("%s failed %d checks in a row, it %s", where, x.fails, x.lastFailure)
	}
	return fmt.Sprintf("%s failed %d of its last %d checks, last it %s", where, bits.OnesCount32(x.results&(1<<flapWindow-1)), flapWindow, x.lastFailure)
}

// discardInFlight makes the checker ignore the answers to checks sent before a pause
// of the process.
func (c *checker) discardInFlight() { c.generation++ }
