package scale

import (
	"time"

	"brooklb/internal/sim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowLength is the length of the windows in which starts are counted.
const windowLength = 10 * time.Second

// Latency is a distribution of times, in seconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// recorder collects times in a histogram, in microseconds.
type recorder struct{ histogram *hdrhistogram.Histogram }

func newRecorder() recorder {
	return recorder{hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

func (r recorder) record(d time.Duration) {
	_ = r.histogram.RecordValue(min(max(1, int64(d/time.Microsecond)), r.histogram.HighestTrackableValue()))
}

func (r recorder) latency() Latency {
	s := func(micros int64) float64 { return float64(micros) / 1e6 }
	return Latency{r.histogram.TotalCount(), s(r.histogram.ValueAtQuantile(50)), s(r.histogram.ValueAtQuantile(99)), s(r.histogram.Max())}
}

// measurements collects the latencies and starts that the stand-ins observe while the run is
// measured.
type measurements struct {
	profile          *Profile
	world            *sim.World
	from, until      time.Duration
	windows          []int // starts in each window
	urgent           recorder
	urgentRuns       recorder
	batch            recorder
	gangs            recorder
	accepted         recorder
	config           recorder
	gangTasksRunning map[string]int // running tasks of each gang
	following        bool           // whether a change is being followed
	changes          int
	notInTime        int // changes that some controller did not apply within configFollowTimeout
}

func newMeasurements(p *Profile, w *sim.World) *measurements {
	m := &measurements{profile: p, world: w, from: seconds(p.Run.SettleS), until: seconds(p.Run.SettleS + p.Run.MeasureS), urgent: newRecorder(), urgentRuns: newRecorder(),
		batch: newRecorder(), gangs: newRecorder(), accepted: newRecorder(), config: newRecorder(), gangTasksRunning: map[string]int{}}
	w.OnTask = m.recordTask
	w.OnAccepted = func(after time.Duration) {
		if m.active() {
			m.accepted.record(after)
		}
	}
	return m
}

// active reports whether the time of measuring has begun and is not over.
func (m *measurements) active() bool { return m.world.Now() >= m.from && m.world.Now() < m.until }

// recordTask counts a start, and records how long after its submission a task started or ran.
func (m *measurements) recordTask(e sim.TaskEvent) {
	if !m.active() {
		return
	}
	after := e.At - e.Submitted
	if e.Kind == sim.TaskStarted {
		m.countStart(e.At)
	}
	// Jobs submitted before the measuring began don't count for the latencies.
	if e.Submitted < m.from {
		return
	}
	switch {
	case e.Class == classUrgent && e.Kind == sim.TaskStarted:
		m.urgent.record(after)
	case e.Class == classUrgent:
		m.urgentRuns.record(after)
	case e.Class == classBatch && e.Kind == sim.TaskStarted:
		m.batch.record(after)
	case e.Class == classGang && e.Kind == sim.TaskRunning:
		if m.gangTasksRunning[e.Job]++; m.gangTasksRunning[e.Job] == e.Tasks {
			m.gangs.record(after)
		}
	}
}

func (m *measurements) countStart(at time.Duration) {
	i := int((at - m.from) / windowLength)
	for len(m.windows) <= i {
		m.windows = append(m.windows, 0)
	}
	m.windows[i]++
}

// startsPerS returns the rate of starts in each window. The last window may be shorter.
func (m *measurements) startsPerS() []float64 {
	out := make([]float64, len(m.windows))
	for i, n := range m.windows {
		span := min(windowLength, m.until-m.from-time.Duration(i)*windowLength)
		out[i] = float64(n) / span.Seconds()
	}
	return out
}

const (
	// A followed change is polled every configPollInterval, for at most configFollowTimeout.
	configPollInterval  = 100 * time.Millisecond
	configFollowTimeout = 30 * time.Second
)

// followChange counts an accepted change of a resource's count. Unless it follows another one,
// it polls all controllers until each answers with this count or a newer one, which is larger.
func (m *measurements) followChange(name string, count int, requestedAt time.Duration) {
	if !m.active() {
		return
	}
	m.changes++
	if m.following {
		return
	}
	m.following = true
	pending := map[int]bool{}
	for i := range m.profile.Cluster.Controllers {
		pending[i] = true
	}
	var poll func()
	poll = func() {
		if len(pending) == 0 {
			m.config.record(m.world.Now() - requestedAt)
			m.following = false
			return
		}
		if m.world.Now()-requestedAt > configFollowTimeout {
			m.notInTime++
			m.following = false
			return
		}
		for i := range pending {
			m.world.UnitCounts(i, func(counts map[string]int) {
				if counts[name] >= count {
					delete(pending, i)
				}
			})
		}
		m.world.At(m.world.Now()+configPollInterval, poll)
	}
	poll()
}
