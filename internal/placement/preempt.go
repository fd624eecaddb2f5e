package placement

import (
	"cmp"
	"slices"
	"time"

	"brooklb/internal/ledger"
	"brooklb/internal/model"
)

// Hold reserves the free capacity of a machine for a job.
type Hold struct {
	Job   *ledger.Job
	Until time.Duration
	// Warm means that the machine was chosen because it has the job's image.
	Warm bool
	// Move means that the machine is the target of a move whose task still runs elsewhere.
	Move bool
}

const (
	// holdFor is how long capacity that was freed for a job is held for it.
	holdFor = 20 * time.Second
	// fetchTimeMargin multiplies fetch times, as rates of fetches vary by a third.
	fetchTimeMargin = 1.5
	// freshStart is the run time below which a stopped start doesn't count as a start for
	// its job.
	freshStart = 30 * time.Second
	// equalPriorityPenalty is added, in seconds, to the loss of stopping a task whose
	// priority is not lower. It is large because a machine may be full of small tasks of
	// lower priority that each lose some seconds, and these must still be stopped first.
	equalPriorityPenalty = 1000
)

// victim is a task that may be stopped, with the seconds of work that this loses.
type victim struct {
	p    *ledger.Placement
	loss float64
}

// lossOf returns how many seconds of work are lost by stopping the task. ok is false if
// the task must not be stopped because its gang has other tasks.
func lossOf(p *ledger.Placement, now time.Duration) (float64, bool) {
	s := p.Job.Spec
	if s.Kind == model.Gang && len(p.Job.Tasks) > 1 {
		return 0, false
	}
	if p.Stopping || p.Job.Faulty() {
		return 0, true
	}
	if p.Phase != model.Running && p.Phase != model.Saving {
		return 2 + (now-p.PlacedAt).Seconds()/2, true
	}
	ran := (now - p.RunSince).Seconds()
	cost := ran
	if s.CheckpointS > 0 {
		cost = min(ran, s.SaveS) + 2
	}
	if now-p.RunSince < freshStart {
		cost += 15
	}
	if s.Kind != model.Service && s.EstimateS > 0 && ran > 0.8*p.Job.EstimateS() {
		cost += 20 // it will probably end soon
	}
	return cost + 3, true
}

// mayPreempt reports whether a task may be stopped for a job. A task never yields to a job
// with a smaller claim. If it has a claim, or the claims are equal, or both belong to one
// team, it yields only to higher priority. A task without a claim that runs beyond its
// team's guarantee also yields, regardless of its priority, to another team's job with a claim
// on a guarantee.
//
// A task within its class's minimum share yields only to an entitled job of another team,
// and only if it is not within its own team's guarantee and either has lower priority or
// runs beyond that guarantee. A job that has only a minimum share stops only tasks of
// lower priority without a claim.
//
// This relation must be asymmetric. If jobs of high priority beyond their team's guarantee
// could stop tasks within a guarantee, and the other way round, they would preempt each
// other repeatedly: one task was stopped fifty times.
func (pr *Preemptor) mayPreempt(j *ledger.Job, p *ledger.Placement) bool {
	if p.Job == j || p.Job.Final != ledger.Open {
		return false
	}
	lower := p.Job.Spec.Priority < j.Spec.Priority
	jobClaim, taskClaim := pr.claims[j], pr.claims[p.Job]
	switch {
	case taskClaim > jobClaim:
		return false
	case taskClaim.hasMinShare() && (jobClaim != Entitled || taskClaim == MinShareAndGuarantee || p.Job.Spec.Team == j.Spec.Team):
		return false
	case jobClaim == MinShare:
		return lower && taskClaim == NoClaim
	case taskClaim == MinShare:
	case p.Job.Spec.Team == j.Spec.Team || taskClaim == jobClaim || taskClaim != NoClaim:
		return lower
	}
	t := pr.l.Teams[p.Job.Spec.Team]
	if lower || t == nil || (t.GuaranteedCPUs <= 0 && t.GuaranteedGPUs <= 0) {
		return true
	}
	u := t.Used
	return (t.GuaranteedGPUs > 0 && u.GPUs-p.Job.Spec.Resources.GPUs >= t.GuaranteedGPUs-1e-6) || (t.GuaranteedCPUs > 0 && u.CPUs-p.Job.Spec.Resources.CPUs >= t.GuaranteedCPUs-1e-6)
}

// Preemptor chooses tasks to stop for the jobs of a pass. It computes once per machine
// what could be stopped there, for all jobs.
type Preemptor struct {
	l              *ledger.Ledger
	v              *View
	claims         Claims
	byMachine      map[*ledger.Machine]*preemptible
	failedRequests []failedRequest
}

// preemptible describes what could be freed on a machine, regardless of the job.
type preemptible struct {
	taskCount int             // number of tasks on the machine when this was computed
	free      model.Resources // free capacity, with that of tasks that are being stopped
	victims   []victim        // sorted by loss
}

// failedRequest is a request for which stopping tasks could not free enough capacity.
type failedRequest struct {
	j     *ledger.Job
	n     int
	claim Claim
	image string
}

// NewPreemptor returns a Preemptor for one pass over a view.
func NewPreemptor(l *ledger.Ledger, v *View, claims Claims) *Preemptor {
	return &Preemptor{l: l, v: v, claims: claims, byMachine: map[*ledger.Machine]*preemptible{}}
}

func (pr *Preemptor) optionsOn(m *ledger.Machine) *preemptible {
	if s := pr.byMachine[m]; s != nil && s.taskCount == len(m.Placements) {
		return s
	}
	s := &preemptible{taskCount: len(m.Placements), free: m.Free()}
	for _, p := range m.Placements {
		if p.Stopping {
			s.free = s.free.Add(p.Job.Spec.Resources)
		} else if c, ok := lossOf(p, pr.v.Now); ok {
			s.victims = append(s.victims, victim{p, c})
		}
	}
	slices.SortStableFunc(s.victims, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	pr.byMachine[m] = s
	return s
}

// knownToFail reports whether the same request failed before for a job that may stop at
// least the same tasks and needs no more.
func (pr *Preemptor) knownToFail(j *ledger.Job, n int, image string) bool {
	for _, f := range pr.failedRequests {
		if f.n <= n && f.claim == pr.claims[j] && f.image == image && f.j.Spec.Priority >= j.Spec.Priority && f.j.Spec.Team == j.Spec.Team &&
			f.j.Spec.Kind == j.Spec.Kind && f.j.Spec.Resources.Fits(j.Spec.Resources) && SameConstraints(f.j.Spec, j.Spec) {
			return true
		}
	}
	return false
}

// Preempt chooses tasks to stop for a job that could not be placed, those that lose the
// least work. It returns these tasks and holds their machines for the job, or returns nil
// if stopping tasks can't help. warm restricts the choice to machines that have the job's
// image.
func (pr *Preemptor) Preempt(j *ledger.Job, warm bool) []*ledger.Placement {
	l, v := pr.l, pr.v
	s := j.Spec
	team := l.Teams[s.Team]
	n := j.Idle()
	boundTo, known := boundZone(j)
	if team == nil || n == 0 || !known || j.Placed > 0 && s.Kind == model.Gang && !ledger.Forming(j) {
		return nil
	}
	if s.Kind == model.Gang {
		if !team.WithinLimit(s.Resources.Times(float64(n))) {
			return nil
		}
	} else {
		for n > 0 && !team.WithinLimit(s.Resources.Times(float64(n))) {
			n--
		}
	}
	if n = min(n, l.TasksWithinUnits(j)); s.Kind == model.Gang && n < j.Idle() {
		return pr.preemptForUnits(j) // capacity without units would not help the job
	}
	if n <= 0 {
		return pr.preemptForUnits(j)
	}
	image := ""
	if warm {
		image = s.Image
	}
	if pr.knownToFail(j, n, image) {
		return nil
	}
	type option struct {
		m     *ledger.Machine
		slots int
		stop  []*ledger.Placement
		cost  float64
	}
	byZone := map[string][]option{}
	risk := spotLoss(l, j)
	slots := map[string]int{}
	var zs []string
	var vs []victim
	for _, m := range v.Machines {
		if !Allowed(j, m) || !v.mayUse(j, m) || (boundTo != "" && m.Zone != boundTo) {
			continue
		}
		if _, ok := m.Images[s.Image]; warm && !ok {
			continue
		}
		options := pr.optionsOn(m)
		free := options.free
		if len(options.victims) == 0 && !s.Resources.Fits(free) {
			continue
		}
		vs = vs[:0]
		equal := false
		for _, x := range options.victims {
			if pr.mayPreempt(j, x.p) {
				if x.p.Job.Spec.Priority >= s.Priority {
					// The stopped task then competes for similar capacity: a last resort.
					x.loss += equalPriorityPenalty
					equal = true
				}
				vs = append(vs, x)
			}
		}
		if equal {
			slices.SortStableFunc(vs, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
		}
		o := option{m: m}
		for i := 0; i < len(vs) && !s.Resources.Fits(free); i++ {
			free = free.Add(vs[i].p.Job.Spec.Resources)
			o.stop = append(o.stop, vs[i].p)
			o.cost += vs[i].loss
		}
		if !s.Resources.Fits(free) {
			continue
		}
		for s.Resources.Fits(free) && o.slots < n {
			free = free.Sub(s.Resources)
			o.slots++
		}
		// A machine without the image has to fetch it first.
		if t := l.Types[m.Type]; t != nil && t.FetchGBs > 0 {
			if _, ok := m.Images[s.Image]; !ok {
				o.cost += s.ImageGB / t.FetchGBs / 2
			}
		}
		if m.Spot {
			o.cost += risk * float64(o.slots)
		}
		z := ""
		if s.OneZone {
			z = m.Zone
		}
		if byZone[z] == nil {
			zs = append(zs, z)
		}
		byZone[z] = append(byZone[z], o)
		slots[z] += o.slots
	}
	slices.Sort(zs)
	var best []option
	bestCost := 0.0
	for _, z := range zs {
		if slots[z] < n && s.Kind == model.Gang {
			continue
		}
		os := byZone[z]
		slices.SortStableFunc(os, func(a, b option) int {
			return cmp.Compare(a.cost/float64(a.slots), b.cost/float64(b.slots))
		})
		var pick []option
		got, cost := 0, 0.0
		for _, o := range os {
			if got >= n {
				break
			}
			pick = append(pick, o)
			got += o.slots
			cost += o.cost
		}
		if len(pick) > 0 && (best == nil || cost < bestCost) {
			best, bestCost = pick, cost
		}
	}
	if best == nil && boundTo == "" && j.Zone == "" && j.Port == 0 {
		pr.failedRequests = append(pr.failedRequests, failedRequest{j, n, pr.claims[j], image})
	}
	var out []*ledger.Placement
	for _, o := range best {
		v.Holds[o.m] = &Hold{Job: j, Until: v.Now + holdFor, Warm: warm}
		out = append(out, o.stop...)
	}
	return out
}

// ReleaseHolds deletes the holds that have expired or whose job no longer waits.
func ReleaseHolds(v *View) {
	for m, h := range v.Holds {
		if v.Now >= h.Until || m.Gone || (!h.Move && !Waiting(h.Job)) {
			delete(v.Holds, m)
		}
	}
}

// PreemptWarm chooses tasks to stop on machines that have the job's image, if fetching the
// image to free machines would take longer than the wait objective allows: a fetch alone
// can exceed it. It returns these tasks.
func (pr *Preemptor) PreemptWarm(j *ledger.Job) []*ledger.Placement {
	l, v := pr.l, pr.v
	if j.Placed > 0 || v.Objectives == nil {
		return nil
	}
	left := time.Duration(0)
	for _, t := range v.Objectives.StartBy(j, false)[:len(v.Objectives.wait[j.Spec.Class])] {
		if t > v.Now && (left == 0 || t-v.Now < left) {
			left = t - v.Now
		}
	}
	minLeft := 3 * time.Second
	if left < minLeft {
		return nil
	}
	fetch := time.Duration(0)
	free, _ := pickGang(l, v, v.Machines, j, len(j.Tasks)-j.DoneTasks)
	for _, m := range free {
		fetch = max(fetch, fetchTime(l, j, m))
	}
	if free != nil && fetch < left {
		return nil
	}
	return pr.Preempt(j, true)
}

func fetchTime(l *ledger.Ledger, j *ledger.Job, m *ledger.Machine) time.Duration {
	t := l.Types[m.Type]
	if _, ok := m.Images[j.Spec.Image]; ok || t == nil || t.FetchGBs <= 0 {
		return 0
	}
	return time.Duration(j.Spec.ImageGB / t.FetchGBs * fetchTimeMargin * float64(time.Second))
}
