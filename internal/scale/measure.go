package scale

import (
	"time"

	"brooklb/internal/sim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowFor is the span over which starts are counted.
const windowFor = 10 * time.Second

// Latency is a distribution of times, in seconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// recorder collects a distribution.
type recorder struct{ h *hdrhistogram.Histogram }

func newRecorder() recorder {
	return recorder{hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

func (r recorder) record(d time.Duration) {
	_ = r.h.RecordValue(min(max(1, int64(d/time.Microsecond)), r.h.HighestTrackableValue()))
}

func (r recorder) latency() Latency {
	s := func(micros int64) float64 { return float64(micros) / 1e6 }
	return Latency{r.h.TotalCount(), s(r.h.ValueAtQuantile(50)), s(r.h.ValueAtQuantile(99)), s(r.h.Max())}
}

// measures is what the stand-ins saw while measuring.
type measures struct {
	p           *Profile
	w           *sim.World
	from, until time.Duration
	windows     []int // starts
	urgent      recorder
	urgentRuns  recorder
	batch       recorder
	gangs       recorder
	accepted    recorder
	config      recorder
	gangRuns    map[string]int // tasks that run, by gang
	checking    bool           // whether a change is in force everywhere
	changes     int
	unseen      int // changes that were not in force everywhere within the time looked at
}

func newMeasures(p *Profile, w *sim.World) *measures {
	m := &measures{p: p, w: w, from: seconds(p.Run.SettleS), until: seconds(p.Run.SettleS + p.Run.MeasureS), urgent: newRecorder(), urgentRuns: newRecorder(),
		batch: newRecorder(), gangs: newRecorder(), accepted: newRecorder(), config: newRecorder(), gangRuns: map[string]int{}}
	w.OnTask = m.task
	w.OnAccepted = func(after time.Duration) {
		if m.on() {
			m.accepted.record(after)
		}
	}
	return m
}

func (m *measures) on() bool { return m.w.Now() >= m.from && m.w.Now() < m.until }

func (m *measures) task(e sim.TaskEvent) {
	if !m.on() {
		return
	}
	after := e.At - e.Submitted
	if e.Kind == sim.TaskStarted {
		m.started(e.At)
	}
	// Only what was submitted while measuring counts for the times.
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
		if m.gangRuns[e.Job]++; m.gangRuns[e.Job] == e.Tasks {
			m.gangs.record(after)
		}
	}
}

func (m *measures) started(at time.Duration) {
	i := int((at - m.from) / windowFor)
	for len(m.windows) <= i {
		m.windows = append(m.windows, 0)
	}
	m.windows[i]++
}

// startsPerS is the rate of starts in each window; the last may be shorter.
func (m *measures) startsPerS() []float64 {
	out := make([]float64, len(m.windows))
	for i, n := range m.windows {
		span := min(windowFor, m.until-m.from-time.Duration(i)*windowFor)
		out[i] = float64(n) / span.Seconds()
	}
	return out
}

const (
	// Whether a change is in force is asked so often, and for so long.
	checkEvery = 100 * time.Millisecond
	checkFor   = 30 * time.Second
)

// set hears of a change that was accepted. One at a time is followed until every
// controller answers with it or a newer one.
func (m *measures) set(name string, count int, asked time.Duration) {
	if !m.on() {
		return
	}
	m.changes++
	if m.checking {
		return
	}
	m.checking = true
	lacking := map[int]bool{}
	for i := range m.p.Cluster.Controllers {
		lacking[i] = true
	}
	var ask func()
	ask = func() {
		if len(lacking) == 0 {
			m.config.record(m.w.Now() - asked)
			m.checking = false
			return
		}
		if m.w.Now()-asked > checkFor {
			m.unseen++
			m.checking = false
			return
		}
		for i := range lacking {
			m.w.Counts(i, func(counts map[string]int) {
				if counts[name] >= count {
					delete(lacking, i)
				}
			})
		}
		m.w.At(m.w.Now()+checkEvery, ask)
	}
	ask()
}
