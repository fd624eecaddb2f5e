// Package estimates learns by how much the owners' estimates of run times are too low.
// Sometimes most of them are. Projections, deadlines and the order of jobs then use
// corrected estimates. Only the leader keeps these statistics, and a new leader starts
// without any.
package estimates

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Ratios of the actual to the estimated time are recorded in thousandths, up to a
	// hundred times the estimate.
	ratioScale, minRatio, maxRatio = 1000, 1, 100 * 1000
	// The histogram has this many windows of this many samples each. Older samples are
	// dropped.
	windows, samplesPerWindow = 3, 400
	// With fewer samples the factor is not updated.
	minSamples = 30
	// Estimates are only corrected upwards, and by at most this factor. An estimate that
	// is too high makes plans cautious, which costs little. With downward corrections, 15
	// of 1,000 jobs missed their deadlines when the owners estimated twice the actual
	// time; without them, 8 did (sim.TestWrongEstimates).
	maxFactor = 2.5
	// Smaller factors are within the usual error of estimates. Corrections by ten or
	// twenty percent only made plans change often.
	minFactor = 1.25
	// Users choose the names of classes. Classes beyond this number share the entry
	// sharedClass.
	maxClasses  = 200
	sharedClass = ""
)

// Class holds the statistics of a class of jobs.
type Class struct {
	ratios *hdrhistogram.WindowedHistogram
	count  int // samples in the current window
	factor float64
}

// Classes maps the names of classes to their statistics.
type Classes map[string]*Class

// Class returns the entry of a class and creates it if necessary.
func (cs Classes) Class(name string) *Class {
	c := cs[name]
	if c == nil && len(cs) >= maxClasses {
		name = sharedClass
		c = cs[name]
	}
	if c == nil {
		c = &Class{factor: 1}
		cs[name] = c
	}
	return c
}

// RecordRun records that a task with an estimate of expectedS seconds ran from beginning
// to end in the given time.
func (c *Class) RecordRun(expectedS float64, took time.Duration) {
	if expectedS <= 0 || took <= 0 {
		return
	}
	if c.ratios == nil {
		c.ratios = hdrhistogram.NewWindowed(windows, minRatio, maxRatio, 2)
	}
	if c.count >= samplesPerWindow {
		c.ratios.Rotate()
		c.count = 0
	}
	c.count++
	r := int64(ratioScale * took.Seconds() / expectedS)
	// The value is within the bounds of the histogram, so recording can't fail.
	_ = c.ratios.Current.RecordValue(min(max(r, minRatio), maxRatio))
	if c.count%25 == 0 {
		if all := c.ratios.Merge(); all.TotalCount() >= minSamples {
			c.factor = min(float64(all.ValueAtQuantile(50))/ratioScale, maxFactor)
			if c.factor < minFactor {
				c.factor = 1
			}
		}
	}
}

// Factor returns the factor by which to multiply estimates of the class.
func (c *Class) Factor() float64 {
	if c == nil {
		return 1
	}
	return c.factor
}
