package placement

import (
	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Score rates a machine for a task of the job; higher is better. It counts the seconds
// saved until the task runs and, in the same unit, a preference for machines that are
// already in use.
func Score(l *ledger.Ledger, v *View, j *ledger.Job, m *ledger.Machine) float64 {
	s := 0.0
	mt := l.Types[m.Type]
	if _, ok := m.Images[j.Spec.Image]; !ok && mt != nil && mt.FetchGBs > 0 {
		// Concurrent fetches share the rate. If the same image is being fetched, a part
		// of it is already there.
		others := 0
		same := false
		for i, p := range m.Placements {
			if p.Phase != model.Fetching && p.SeenInReport {
				continue
			}
			image := p.Job.Spec.Image
			if image == j.Spec.Image {
				same = true
				continue
			}
			counted := false
			for _, q := range m.Placements[:i] {
				counted = counted || (q.Phase == model.Fetching || !q.SeenInReport) && q.Job.Spec.Image == image
			}
			if !counted {
				others++
			}
		}
		f := j.Spec.ImageGB / mt.FetchGBs
		if same {
			f *= 0.6
		}
		s -= f * float64(1+others)
	}
	if j.Spec.Kind != model.Service {
		s -= (m.Pace.Factor() - 1) * j.EstimateS()
	}
	if j.Spec.Priority >= model.High && m.TrackedStarts() >= ledger.MaxDirectStarts(j.Spec.Priority) {
		// The start is sent in the answer to the worker's next report, which comes earlier
		// from busy workers. Jobs of lower priority can wait for it, and go where they
		// fill machines best.
		s -= min(m.ReportGap, v.ReportInterval).Seconds() / 2
	}
	// Prefer machines that are in use to empty ones.
	used := 0.0
	if m.Cap.GPUs > 0 {
		used = (m.Used.GPUs + j.Spec.Resources.GPUs) / m.Cap.GPUs
	} else if m.Cap.CPUs > 0 {
		used = (m.Used.CPUs + j.Spec.Resources.CPUs) / m.Cap.CPUs
	}
	s += 15 * used
	if len(m.Placements) > 0 {
		s += 5
	}
	if m.Spot {
		s += spotGainS - spotLoss(l, j)
	}
	return s
}

const (
	// spotGainS is the value of a spot machine's lower price, in seconds. Tasks that lose
	// little by an interruption go there and leave the other machines to gangs.
	spotGainS = 10
	// restartS is the time until a task that lost its machine runs again, in seconds.
	restartS = 20
)

// spotLoss returns how many seconds of work are lost on average if one task of the job
// runs on a spot machine. If that machine is taken back, a gang stops as a whole.
func spotLoss(l *ledger.Ledger, j *ledger.Job) float64 {
	s := j.Spec
	lost := j.EstimateS() / 2
	if s.CheckpointS > 0 {
		lost = min(lost, s.CheckpointS/2+s.SaveS)
	}
	lost += restartS
	run := j.EstimateS()
	if s.Kind == model.Service {
		run = 3600
	}
	if s.Kind == model.Gang {
		lost *= float64(len(j.Tasks))
	}
	return l.SpotInterruptionRate() * run * lost
}
