package sim

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
)

// userJob is a job as its user and the truth know it.
type userJob struct {
	id, shape, team, image, yard string
	urgency, class               string
	gaveUp                       bool
	tasks                        int
	cpus, gpus, imageGB          float64
	samePlace, apart, spot, bad  bool
	runS, snapshotS, stowS       float64
	runSpread                    float64
	asked, accepted              bool
	cancelAsked                  bool
	cancelledAt                  time.Duration
	toldDone                     bool
	results                      map[int]bool
	attempts                     map[*runner]struct{} // that machines know
	saved                        map[int]time.Duration
	acceptedAt, doneTold         time.Duration
	Submitted                    time.Duration
	// StartedAt is when the first task ran.
	polls int
	units map[string]int // of counted resources, for each task
	// A version of a service: which one's, and where its instances are asked.
	service string
	port    int
	perTask bool
	// firstBad is when an instance of it first answered a check badly.
	firstBad time.Duration
	// starts counts the starts of its tasks.
	starts int
	// The node its user is connected to; since when no question about it was answered.
	front                int
	connected, forgotten bool
	silentSince          time.Duration
	body                 []byte // as it was submitted
	// Since when there has been room for what waits of it, without a break; 0: there is none.
	roomSince time.Duration
	waited    bool
}

// Mend has a job that was submitted with a mistake run from now on.
func (w *World) Mend(id string) { w.jobs[id].bad = false }

// Starts is how often tasks of the job were started.
func (w *World) Starts(id string) int { return w.jobs[id].starts }

// left is what remains to be run, never nothing.
func (j *userJob) left(task int) time.Duration {
	return max(100*time.Millisecond, time.Duration(j.runS*j.spread(task)*float64(time.Second))-j.saved[task])
}

// spread is by how much longer than the job's usual one a task runs.
func (j *userJob) spread(task int) float64 {
	if j.runSpread == 0 {
		return 1
	}
	r := rand.New(rand.NewPCG(uint64(task), uint64(len(j.id))+uint64(j.Submitted)))
	return 1 + j.runSpread*(2*r.Float64()-1)
}

func (j *userJob) save(task int, ran time.Duration) { j.saved[task] += ran }

// Job describes a job to submit.
type Job struct {
	ID, Shape, Team, Image, Yard string
	Urgency, Class               string // class "": by shape
	Tasks                        int
	CPUs, GPUs, ImageGB          float64
	SamePlace, Apart, Spot, Bad  bool
	RunS, SnapshotS, StowS       float64
	// RunSpread is the part of RunS by which tasks of an array run for longer or less.
	RunSpread     float64
	ExpectS, DueS float64 // the owner's estimate, 0: the truth; the deadline, 0: none
	CancelAfter   time.Duration
	Units         map[string]int // of counted resources, for each task
}

func (w *World) pick() *simNode {
	if w.Front != nil {
		if i := w.Front(); i >= 0 && w.nodes[i].up {
			return w.nodes[i]
		}
	}
	for i := 0; i < 5; i++ {
		s := w.nodes[w.rng.IntN(len(w.nodes))]
		if s.up && (w.now >= s.frozen || w.now-s.alive < 2500*time.Millisecond) {
			return s // the load balancer takes some time to notice a pause
		}
	}
	return w.nodes[0]
}

func (w *World) ask(method, path string, body []byte, timeout time.Duration, done func(a actor.Answer)) {
	w.askFor(nil, method, path, body, timeout, done)
}

// askFor has the job's user ask.
func (w *World) askFor(j *userJob, method, path string, body []byte, timeout time.Duration, done func(a actor.Answer)) {
	s := w.pick()
	if w.balance != nil && j != nil {
		s = w.front(j)
	}
	w.send("users", actor.Call{Addr: s.addr, Method: method, Path: path, Body: body, Timeout: timeout, Done: done})
}

// Submit has a user submit a job now, poll it and perhaps cancel it.
func (w *World) Submit(d Job) {
	j, desc := w.describe(d)
	body := mustJSON(desc)
	j.body = body
	if d.CancelAfter > 0 {
		w.after(d.CancelAfter, func() { w.cancel(j) })
	}
	w.submit(j, body, 0)
}

func (w *World) submit(j *userJob, body []byte, n int) {
	asked := w.now
	w.askFor(j, "POST", "/v2/runs", body, 5*time.Second, func(a actor.Answer) {
		w.record(j, OpSubmit, asked, a)
		switch {
		case a.Err == nil && (a.Status == 201 || a.Status == 200):
			if !j.accepted {
				j.accepted, j.acceptedAt = true, w.now
				if w.OnAccepted != nil {
					w.OnAccepted(w.now - j.Submitted)
				}
				w.after(w.secs(1, 5), func() { w.poll(j) })
			}
			w.answer(j, a.Body, asked)
			if w.rng.IntN(10) == 0 && n < 50 { // a retry, perhaps long after
				w.after(w.secs(1, 200), func() { w.submit(j, body, 100) })
			}
		case a.Err == nil && (a.Status == 400 || a.Status == 422):
			if j.accepted {
				w.broke("forgotten", "a repeated submission of %s got %d", j.id, a.Status)
			} else {
				w.broke("refused", "%s got %d %s", j.id, a.Status, a.Body)
			}
		default:
			wait := time.Second
			if a.Err == nil && a.Status == 429 {
				wait = max(wait, comeBack(a.Body))
				w.Turned++
			}
			if w.Patience > 0 && w.now+wait-j.Submitted > w.Patience {
				j.gaveUp = true
				return
			}
			w.after(wait, func() { w.submit(j, body, n+1) })
		}
	})
}

// comeBack is when a refusal says to come back; it says the same as Retry-After.
func comeBack(body []byte) time.Duration {
	_, rest, _ := strings.Cut(string(body), "come back in ")
	s, _, _ := strings.Cut(rest, " s")
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// Served counts, by class and team, the jobs that were submitted and not cancelled,
// those of them that were accepted, and those that are done.
func (w *World) Served() map[string][3]int {
	out := map[string][3]int{}
	for _, j := range w.jobs {
		if j.cancelAsked || j.cancelledAt > 0 {
			continue
		}
		k := j.class + " of " + j.team
		c := out[k]
		c[0]++
		if j.accepted {
			c[1]++
		}
		if j.toldDone {
			c[2]++
		}
		out[k] = c
	}
	return out
}

// SlowestAccepted is the longest time from first asking to acceptance of a class's
// jobs that were first submitted in the span.
func (w *World) SlowestAccepted(class string, from, to time.Duration) time.Duration {
	worst := time.Duration(0)
	for _, j := range w.jobs {
		if j.class == class && j.Submitted >= from && j.Submitted < to && !j.gaveUp {
			end := w.now
			if j.accepted {
				end = j.acceptedAt
			}
			worst = max(worst, end-j.Submitted)
		}
	}
	return worst
}

// answer checks what a user is told. A question that was already on its way
// when something newer was told may bring the older answer.
func (w *World) answer(j *userJob, body []byte, asked time.Duration) {
	var r struct{ Ref, Phase string }
	if err := json.Unmarshal(body, &r); err != nil || r.Ref != j.id {
		w.broke("limits", "answer %s about %s", body, j.id)
		return
	}
	if j.cancelledAt > 0 && asked > j.cancelledAt && r.Phase != "withdrawn" {
		w.broke("went_back", "%s was cancelled and is called %s", j.id, r.Phase)
	}
	if j.toldDone && asked > j.doneTold && r.Phase != "done" {
		w.broke("went_back", "%s was done and is called %s", j.id, r.Phase)
	}
	switch r.Phase {
	case "withdrawn":
		if !j.cancelAsked {
			w.broke("went_back", "%s is called cancelled, which nobody asked for", j.id)
		}
		if j.cancelledAt == 0 {
			j.cancelledAt = w.now
		}
	case "done":
		if len(j.results) < j.tasks || j.shape == "standing" {
			w.broke("not_done", "%s is called done with %d of %d tasks", j.id, len(j.results), j.tasks)
		}
		if !j.toldDone {
			j.toldDone, j.doneTold = true, w.now
			w.Done++
		}
	case "pending", "running":
	default:
		w.broke("limits", "phase %q", r.Phase)
	}
}

func (w *World) poll(j *userJob) {
	j.polls++
	w.Polls++
	asked := w.now
	w.askFor(j, "GET", "/v2/runs/"+j.id, nil, 2*time.Second, func(a actor.Answer) {
		w.record(j, OpPoll, asked, a)
		switch {
		case a.Err == nil && a.Status == 200:
			j.silentSince = 0
			w.Good++
			w.answer(j, a.Body, asked)
		case a.Err == nil && a.Status == 404:
			w.broke("forgotten", "%s got 404", j.id)
		case a.Err == nil && a.Status == 503:
			w.Refused++
			w.unanswered(j)
		default:
			w.unanswered(j)
		}
		next := w.secs(4, 6)
		if (j.toldDone || j.cancelledAt > 0) && j.silentSince == 0 {
			next = w.secs(30, 90) // they may ask again at any time
		}
		w.after(next, func() { w.poll(j) })
	})
}

func (w *World) cancel(j *userJob) {
	if !j.accepted {
		w.after(time.Second, func() { w.cancel(j) })
		return
	}
	j.cancelAsked = true
	asked := w.now
	w.askFor(j, "POST", "/v2/runs/"+j.id+"/withdraw", nil, 5*time.Second, func(a actor.Answer) {
		w.record(j, OpCancel, asked, a)
		if a.Err == nil && a.Status == 200 {
			w.answer(j, a.Body, asked)
			return
		}
		if a.Err == nil && a.Status == 404 {
			w.broke("forgotten", "cancelling %s got 404", j.id)
			return
		}
		w.after(time.Second, func() { w.cancel(j) })
	})
}

// PollUnknown asks for a job that nobody submitted.
func (w *World) PollUnknown() {
	w.ask("GET", "/v2/runs/j-99999999", nil, 2*time.Second, func(a actor.Answer) {
		if a.Err == nil && a.Status == 200 {
			w.broke("invented", "%s", a.Body)
		}
	})
}

// Workload submits random jobs over a span.
func (w *World) Workload(n int, over time.Duration) {
	w.checkCancelled()
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("j-%06d", w.rng.IntN(900000)+i*1000000)
		w.after(w.secs(0, over.Seconds()), func() {
			if w.rng.IntN(5) == 0 {
				w.PollUnknown()
			}
			w.Submit(w.randomJob(id))
		})
	}
}

func (w *World) randomJob(id string) Job {
	r := w.rng
	j := Job{ID: id, Shape: "sweep", Team: w.cfg.Teams[r.IntN(len(w.cfg.Teams))].Name, Image: fmt.Sprintf("img-%d", r.IntN(5)),
		ImageGB: 0.5 + 4*r.Float64(), Tasks: 1 + r.IntN(10), CPUs: float64(1 + r.IntN(int(w.cfg.CPUs/4))), GPUs: float64(r.IntN(2)),
		Spot: r.IntN(3) > 0, RunS: 2 + math.Exp(4*r.Float64()), Urgency: []string{"critical", "high", "standard", "idle"}[r.IntN(4)]}
	switch r.IntN(6) {
	case 0, 1:
		j.Shape, j.Tasks = "ensemble", 1+r.IntN(4)
		j.SamePlace = r.IntN(2) == 0
		if r.IntN(2) == 0 {
			j.CPUs = w.cfg.CPUs
		}
	case 2:
		j.Shape, j.Tasks = "standing", 1+r.IntN(3)
		j.CancelAfter = w.secs(20, 150)
	}
	switch r.IntN(8) {
	case 0:
		j.Tasks = 40 + r.IntN(80) // several chunks
		if j.Shape != "sweep" {
			j.Tasks = 5
		}
		j.CPUs, j.GPUs = 1, 0
	case 1:
		j.Yard = w.cfg.Zones[r.IntN(len(w.cfg.Zones))]
	case 2:
		if j.Shape != "ensemble" {
			j.Apart = true
			j.SamePlace = false
		}
	}
	if r.IntN(2) == 0 {
		j.SnapshotS, j.StowS = 5, 1
	}
	if r.IntN(6) == 0 && j.CancelAfter == 0 {
		j.CancelAfter = w.secs(0.1, 60)
	}
	return j
}

// Unfinished lists accepted jobs that should be over and aren't.
func (w *World) Unfinished() []string {
	var out []string
	for id, j := range w.jobs {
		if j.accepted && j.shape != "standing" && !j.bad && !j.toldDone && j.cancelledAt == 0 {
			out = append(out, fmt.Sprintf("%s (%s, %d of %d done)", id, j.shape, len(j.results), j.tasks))
		}
	}
	return out
}
