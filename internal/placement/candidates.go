package placement

import (
	"container/heap"

	"brooklb/internal/ledger"
)

// candidateHeap holds the machines that have room for a task of a job, best first.
type candidateHeap struct {
	candidates []candidate
	taken      []*ledger.Machine
}

type candidate struct {
	machine *ledger.Machine
	score   float64
}

func better(a, b candidate) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.machine.Name < b.machine.Name
}

func (h *candidateHeap) Len() int { return len(h.candidates) }

func (h *candidateHeap) Less(a, b int) bool { return better(h.candidates[a], h.candidates[b]) }

func (h *candidateHeap) Swap(a, b int) {
	h.candidates[a], h.candidates[b] = h.candidates[b], h.candidates[a]
}

func (h *candidateHeap) Push(x any) { h.candidates = append(h.candidates, x.(candidate)) }

func (h *candidateHeap) Pop() any {
	x := h.candidates[len(h.candidates)-1]
	h.candidates = h.candidates[:len(h.candidates)-1]
	return x
}

// next removes the best machine for the task from the heap and returns it, or nil. It puts
// back the machines that only this task can't use.
func (h *candidateHeap) next(v *View, j *ledger.Job, task int, count map[string]int) *ledger.Machine {
	t := &j.Tasks[task]
	var unusable []candidate
	defer func() {
		for _, c := range unusable {
			heap.Push(h, c)
		}
	}()
	for len(h.candidates) > 0 {
		c := heap.Pop(h).(candidate)
		if c.machine == t.Avoids(v.Now) || !zoneAllows(j, count, c.machine.Zone) || !j.PortFree(task, c.machine) {
			unusable = append(unusable, c)
			continue
		}
		return c.machine
	}
	return nil
}
