package placement

import (
	"container/heap"

	"brooklb/internal/ledger"
)

// choices are the machines that have room for a task of a job, the best first.
type choices struct {
	cs    []choice
	taken []*ledger.Machine
}

type choice struct {
	m *ledger.Machine
	s float64
}

func better(a, b choice) bool {
	if a.s != b.s {
		return a.s > b.s
	}
	return a.m.Name < b.m.Name
}

func (h *choices) Len() int { return len(h.cs) }

func (h *choices) Less(a, b int) bool { return better(h.cs[a], h.cs[b]) }

func (h *choices) Swap(a, b int) { h.cs[a], h.cs[b] = h.cs[b], h.cs[a] }

func (h *choices) Push(x any) { h.cs = append(h.cs, x.(choice)) }

func (h *choices) Pop() any {
	x := h.cs[len(h.cs)-1]
	h.cs = h.cs[:len(h.cs)-1]
	return x
}

// next takes the best machine for the task out of the heap. Those that only
// this task must not use are put back.
func (h *choices) next(v *View, j *ledger.Job, task int, count map[string]int) *ledger.Machine {
	t := &j.Tasks[task]
	var back []choice
	defer func() {
		for _, c := range back {
			heap.Push(h, c)
		}
	}()
	for len(h.cs) > 0 {
		c := heap.Pop(h).(choice)
		if c.m == t.Avoids(v.Now) || !zoneAllows(j, count, c.m.Zone) || !j.PortFree(task, c.m) {
			back = append(back, c)
			continue
		}
		return c.m
	}
	return nil
}
