// Package estimates learns by how much the owners' estimates of run times are too
// low. On some days most are; what is planned with them (projections, deadlines,
// the order of work) is planned with the corrected ones. It is a leader's
// knowledge: the next one learns anew.
package estimates

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Ratios are recorded in thousandths, up to a hundred times the estimate.
	unit, lowest, highest = 1000, 1, 100 * 1000
	// Windows of so many samples each; those before the last few are forgotten.
	windows, perWindow = 3, 400
	// Fewer samples say nothing.
	fewest = 30
	// An estimate is corrected upwards only, and by no more than this. One that is
	// too high makes plans careful, which costs little: corrected down by what was
	// seen, 15 of 1,000 jobs missed their deadlines on a day on which owners thought
	// twice the truth, without that 8 (sim.TestWrongEstimates).
	mostFactor = 2.5
	// Below this the estimates are as good as they are on a usual day: corrected
	// by a tenth or two, plans only moved about (docs/rounds.md).
	clearlyLow = 1.25
	// Users choose the classes' names: beyond so many they share one entry.
	mostClasses = 200
	others      = ""
)

// Class has what was seen of a class of jobs.
type Class struct {
	seen   *hdrhistogram.WindowedHistogram
	count  int // in the current window
	factor float64
}

// Book has all classes.
type Book map[string]*Class

// Class finds or makes the entry of a class.
func (b Book) Class(name string) *Class {
	c := b[name]
	if c == nil && len(b) >= mostClasses {
		name = others
		c = b[name]
	}
	if c == nil {
		c = &Class{factor: 1}
		b[name] = c
	}
	return c
}

// Ran notes that a task that was expected to run for so many seconds ran
// through, from its beginning, in the given time.
func (c *Class) Ran(expectedS float64, took time.Duration) {
	if expectedS <= 0 || took <= 0 {
		return
	}
	if c.seen == nil {
		c.seen = hdrhistogram.NewWindowed(windows, lowest, highest, 2)
	}
	if c.count >= perWindow {
		c.seen.Rotate()
		c.count = 0
	}
	c.count++
	r := int64(unit * took.Seconds() / expectedS)
	// Values are inside the bounds, so that recording can't fail.
	_ = c.seen.Current.RecordValue(min(max(r, lowest), highest))
	if c.count%25 == 0 {
		if all := c.seen.Merge(); all.TotalCount() >= fewest {
			c.factor = min(float64(all.ValueAtQuantile(50))/unit, mostFactor)
			if c.factor < clearlyLow {
				c.factor = 1
			}
		}
	}
}

// Factor is what an estimate of the class is to be multiplied by.
func (c *Class) Factor() float64 {
	if c == nil {
		return 1
	}
	return c.factor
}
