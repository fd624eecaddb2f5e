package estimates

import (
	"fmt"
	"testing"
	"time"
)

// TestFactor checks that few samples change nothing, that the factor follows the median of
// recent samples and never falls below 1, and that memory is bounded.
func TestFactor(t *testing.T) {
	b := Classes{}
	c := b.Class("x")
	feed := func(n int, ratio float64) {
		for i := range n {
			r := ratio
			if i%5 == 0 {
				r = 50 // a few outliers
			}
			c.RecordRun(10, time.Duration(10*r*float64(time.Second)))
		}
	}
	for _, step := range []struct {
		n         int
		ratio     float64
		low, high float64
	}{{20, 2, 1, 1}, {100, 2, 1.95, 2.05}, {3000, 0.5, 1, 1}, {3000, 9, 2.5, 2.5}, {3000, 1.3, 1.25, 1.35}, {3000, 1.2, 1, 1}} {
		feed(step.n, step.ratio)
		if f := c.Factor(); f < step.low || f > step.high {
			t.Errorf("after %d at %v: factor %v, want %v to %v", step.n, step.ratio, f, step.low, step.high)
		}
	}
	c.RecordRun(0, time.Second)
	c.RecordRun(10, 0)
	for i := range 10000 {
		b.Class(fmt.Sprint("c", i)).RecordRun(1, time.Second)
	}
	if len(b) > maxClasses+1 {
		t.Errorf("%d classes are kept", len(b))
	}
	if (*Class)(nil).Factor() != 1 {
		t.Error("a class without an entry has a factor other than 1")
	}
}

// BenchmarkRecordRun measures the cost of recording the end of a task.
func BenchmarkRecordRun(b *testing.B) {
	c := Classes{}.Class("x")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.RecordRun(10, time.Duration(5+i%20)*time.Second)
	}
}
