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

// userJob is a job as its user and the stand-ins see it.
type userJob struct {
	id, kind, team, image, zone   string
	urgency, class                string
	submitTimedOut                bool
	tasks                         int
	cpus, gpus, imageGB           float64
	oneZone, spread, spot, faulty bool
	runS, checkpointS, saveS      float64
	runSpread                     float64
	requested, accepted           bool
	cancelAsked                   bool
	cancelledAt                   time.Duration
	reportedDone                  bool
	results                       map[int]bool
	attempts                      map[*runner]struct{} // that machines know
	saved                         map[int]time.Duration
	acceptedAt, reportedDoneAt    time.Duration
	Submitted                     time.Duration
	polls                         int
	units                         map[string]int // of counted resources, for each task
	// service is the name of the service if the job is a version of one, port is where its
	// instances are checked.
	service string
	port    int
	perTask bool
	// firstUnhealthy is when an instance of it first answered a check with a status other than 200.
	firstUnhealthy time.Duration
	starts         int
	// nodeIndex is the node that its user is connected to, if connected. unansweredSince
	// is when the first poll since the last answered one failed; 0: the last was answered.
	nodeIndex                  int
	connected, silenceReported bool
	unansweredSince            time.Duration
	submission                 []byte // the body of the request that submits the job
	// startableSince is when machines began to have room for its waiting tasks, without an
	// interruption since; 0: there is no room.
	startableSince time.Duration
	waitReported   bool
}

// FixJob makes the tasks of a faulty job succeed from now on.
func (w *World) FixJob(id string) { w.jobs[id].faulty = false }

// Starts is the number of starts of the job's tasks.
func (w *World) Starts(id string) int { return w.jobs[id].starts }

// remaining is the run time that a task still needs, at least 100 ms.
func (j *userJob) remaining(task int) time.Duration {
	return max(100*time.Millisecond, time.Duration(j.runS*j.runFactor(task)*float64(time.Second))-j.saved[task])
}

// runFactor is the ratio of a task's run time to the job's usual one.
func (j *userJob) runFactor(task int) float64 {
	if j.runSpread == 0 {
		return 1
	}
	r := rand.New(rand.NewPCG(uint64(task), uint64(len(j.id))+uint64(j.Submitted)))
	return 1 + j.runSpread*(2*r.Float64()-1)
}

func (j *userJob) saveProgress(task int, ran time.Duration) { j.saved[task] += ran }

// Job describes a job to submit. Kind and Urgency have the values of the protocol: a sweep
// is an array, an ensemble a gang and standing a service; the urgencies are critical, high,
// standard and idle.
type Job struct {
	ID, Kind, Team, Image, Zone   string
	Urgency, Class                string   // Class "": derived from Kind
	Types                         []string // allowed machine types, nil: any
	Tasks                         int
	CPUs, GPUs, ImageGB           float64
	OneZone, Spread, Spot, Faulty bool
	RunS, CheckpointS, SaveS      float64
	// RunSpread is the fraction of RunS by which the run times of tasks vary at most.
	RunSpread            float64
	EstimateS, DeadlineS float64 // the owner's estimate, 0: RunS; the deadline, 0: none
	CancelAfter          time.Duration
	Units                map[string]int // of counted resources, for each task
}

// pickNode is the node that a request of a user goes to.
func (w *World) pickNode() *simNode {
	if w.UserNode != nil {
		if i := w.UserNode(); i >= 0 && w.nodes[i].up {
			return w.nodes[i]
		}
	}
	for i := 0; i < 5; i++ {
		s := w.nodes[w.rng.IntN(len(w.nodes))]
		if s.up && (w.now >= s.frozenUntil || w.now-s.lastRan < 2500*time.Millisecond) {
			return s // the load balancer takes some time to notice a pause
		}
	}
	return w.nodes[0]
}

// request sends a request of a user.
func (w *World) request(method, path string, body []byte, timeout time.Duration, done func(a actor.Answer)) {
	w.requestFor(nil, method, path, body, timeout, done)
}

// requestFor sends a request of the job's user, through the load balancer if there is one.
func (w *World) requestFor(j *userJob, method, path string, body []byte, timeout time.Duration, done func(a actor.Answer)) {
	s := w.pickNode()
	if w.backends != nil && j != nil {
		s = w.connectedNode(j)
	}
	w.send("users", actor.Call{Addr: s.addr, Method: method, Path: path, Body: body, Timeout: timeout, Done: done})
}

// Submit makes a user submit a job now, poll it and, with CancelAfter, cancel it.
func (w *World) Submit(d Job) {
	j, desc := w.describe(d)
	body := mustJSON(desc)
	j.submission = body
	if d.CancelAfter > 0 {
		w.after(d.CancelAfter, func() { w.cancel(j) })
	}
	w.submit(j, body, 0)
}

func (w *World) submit(j *userJob, body []byte, n int) {
	sentAt := w.now
	w.requestFor(j, "POST", "/v2/runs", body, 5*time.Second, func(a actor.Answer) {
		w.recordOp(j, OpSubmit, sentAt, a)
		switch {
		case a.Err == nil && (a.Status == 201 || a.Status == 200):
			if !j.accepted {
				j.accepted, j.acceptedAt = true, w.now
				if w.OnAccepted != nil {
					w.OnAccepted(w.now - j.Submitted)
				}
				w.after(w.randomSecs(1, 5), func() { w.poll(j) })
			}
			w.checkAnswer(j, a.Body, sentAt)
			if w.rng.IntN(10) == 0 && n < 50 { // a repeated submission, up to 200 s later
				w.after(w.randomSecs(1, 200), func() { w.submit(j, body, 100) })
			}
		case a.Err == nil && (a.Status == 400 || a.Status == 422):
			if j.accepted {
				w.reportViolation("forgotten", "a repeated submission of %s got %d", j.id, a.Status)
			} else {
				w.reportViolation("refused", "%s got %d %s", j.id, a.Status, a.Body)
			}
		default:
			wait := time.Second
			if a.Err == nil && a.Status == 429 {
				wait = max(wait, retryAfter(a.Body))
				w.RetryLater++
			}
			if w.SubmitTimeout > 0 && w.now+wait-j.Submitted > w.SubmitTimeout {
				j.submitTimedOut = true
				return
			}
			w.after(wait, func() { w.submit(j, body, n+1) })
		}
	})
}

// retryAfter is the delay after which a refusal's text asks for a retry; the Retry-After
// header has the same value.
func retryAfter(body []byte) time.Duration {
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
		if j.reportedDone {
			c[2]++
		}
		out[k] = c
	}
	return out
}

// SlowestAccepted is the longest time from the first submission to the acceptance of a
// class's jobs that were first submitted between from and to.
func (w *World) SlowestAccepted(class string, from, to time.Duration) time.Duration {
	worst := time.Duration(0)
	for _, j := range w.jobs {
		if j.class == class && j.Submitted >= from && j.Submitted < to && !j.submitTimedOut {
			end := w.now
			if j.accepted {
				end = j.acceptedAt
			}
			worst = max(worst, end-j.Submitted)
		}
	}
	return worst
}

// checkAnswer checks an answer to a user, whose request was sent at sentAt. If another answer
// arrived after sentAt, this answer may still show an older state.
func (w *World) checkAnswer(j *userJob, body []byte, sentAt time.Duration) {
	var r struct{ Ref, Phase string }
	if err := json.Unmarshal(body, &r); err != nil || r.Ref != j.id {
		w.reportViolation("limits", "answer %s about %s", body, j.id)
		return
	}
	if j.cancelledAt > 0 && sentAt > j.cancelledAt && r.Phase != "withdrawn" {
		w.reportViolation("went_back", "%s was cancelled and is reported as %s", j.id, r.Phase)
	}
	if j.reportedDone && sentAt > j.reportedDoneAt && r.Phase != "done" {
		w.reportViolation("went_back", "%s was done and is reported as %s", j.id, r.Phase)
	}
	switch r.Phase {
	case "withdrawn":
		if !j.cancelAsked {
			w.reportViolation("went_back", "%s is reported as cancelled, which no user requested", j.id)
		}
		if j.cancelledAt == 0 {
			j.cancelledAt = w.now
		}
	case "done":
		if len(j.results) < j.tasks || j.kind == "standing" {
			w.reportViolation("not_done", "%s is reported as done with %d of %d tasks", j.id, len(j.results), j.tasks)
		}
		if !j.reportedDone {
			j.reportedDone, j.reportedDoneAt = true, w.now
			w.Done++
		}
	case "pending", "running":
	default:
		w.reportViolation("limits", "phase %q", r.Phase)
	}
}

func (w *World) poll(j *userJob) {
	j.polls++
	w.Polls++
	sentAt := w.now
	w.requestFor(j, "GET", "/v2/runs/"+j.id, nil, 2*time.Second, func(a actor.Answer) {
		w.recordOp(j, OpPoll, sentAt, a)
		switch {
		case a.Err == nil && a.Status == 200:
			j.unansweredSince = 0
			w.AnsweredPolls++
			w.checkAnswer(j, a.Body, sentAt)
		case a.Err == nil && a.Status == 404:
			w.reportViolation("forgotten", "%s got 404", j.id)
		case a.Err == nil && a.Status == 503:
			w.RefusedPolls++
			w.recordUnanswered(j)
		default:
			w.recordUnanswered(j)
		}
		next := w.randomSecs(4, 6)
		if (j.reportedDone || j.cancelledAt > 0) && j.unansweredSince == 0 {
			next = w.randomSecs(30, 90) // users may also ask about jobs that are over
		}
		w.after(next, func() { w.poll(j) })
	})
}

// cancel makes the user cancel the job once it is accepted, and retry until the answer is 200 or 404.
func (w *World) cancel(j *userJob) {
	if !j.accepted {
		w.after(time.Second, func() { w.cancel(j) })
		return
	}
	j.cancelAsked = true
	sentAt := w.now
	w.requestFor(j, "POST", "/v2/runs/"+j.id+"/withdraw", nil, 5*time.Second, func(a actor.Answer) {
		w.recordOp(j, OpCancel, sentAt, a)
		if a.Err == nil && a.Status == 200 {
			w.checkAnswer(j, a.Body, sentAt)
			return
		}
		if a.Err == nil && a.Status == 404 {
			w.reportViolation("forgotten", "cancelling %s got 404", j.id)
			return
		}
		w.after(time.Second, func() { w.cancel(j) })
	})
}

// PollUnknown polls a job that no user submitted.
func (w *World) PollUnknown() {
	w.request("GET", "/v2/runs/j-99999999", nil, 2*time.Second, func(a actor.Answer) {
		if a.Err == nil && a.Status == 200 {
			w.reportViolation("invented", "%s", a.Body)
		}
	})
}

// Workload submits n random jobs, spread over a time span.
func (w *World) Workload(n int, over time.Duration) {
	w.checkCancelled()
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("j-%06d", w.rng.IntN(900000)+i*1000000)
		w.after(w.randomSecs(0, over.Seconds()), func() {
			if w.rng.IntN(5) == 0 {
				w.PollUnknown()
			}
			w.Submit(w.randomJob(id))
		})
	}
}

func (w *World) randomJob(id string) Job {
	r := w.rng
	j := Job{ID: id, Kind: "sweep", Team: w.cfg.Teams[r.IntN(len(w.cfg.Teams))].Name, Image: fmt.Sprintf("img-%d", r.IntN(5)),
		ImageGB: 0.5 + 4*r.Float64(), Tasks: 1 + r.IntN(10), CPUs: float64(1 + r.IntN(int(w.cfg.CPUs/4))), GPUs: float64(r.IntN(2)),
		Spot: r.IntN(3) > 0, RunS: 2 + math.Exp(4*r.Float64()), Urgency: []string{"critical", "high", "standard", "idle"}[r.IntN(4)]}
	switch r.IntN(6) {
	case 0, 1:
		j.Kind, j.Tasks = "ensemble", 1+r.IntN(4)
		j.OneZone = r.IntN(2) == 0
		if r.IntN(2) == 0 {
			j.CPUs = w.cfg.CPUs
		}
	case 2:
		j.Kind, j.Tasks = "standing", 1+r.IntN(3)
		j.CancelAfter = w.randomSecs(20, 150)
	}
	switch r.IntN(8) {
	case 0:
		j.Tasks = 40 + r.IntN(80) // their stored state takes several chunks
		if j.Kind != "sweep" {
			j.Tasks = 5
		}
		j.CPUs, j.GPUs = 1, 0
	case 1:
		j.Zone = w.cfg.Zones[r.IntN(len(w.cfg.Zones))]
	case 2:
		if j.Kind != "ensemble" {
			j.Spread = true
			j.OneZone = false
		}
	}
	if r.IntN(2) == 0 {
		j.CheckpointS, j.SaveS = 5, 1
	}
	if r.IntN(6) == 0 && j.CancelAfter == 0 {
		j.CancelAfter = w.randomSecs(0.1, 60)
	}
	return j
}

// Unfinished lists the accepted jobs that should be over and are not.
func (w *World) Unfinished() []string {
	var out []string
	for id, j := range w.jobs {
		if j.accepted && j.kind != "standing" && !j.faulty && !j.reportedDone && j.cancelledAt == 0 {
			out = append(out, fmt.Sprintf("%s (%s, %d of %d done)", id, j.kind, len(j.results), j.tasks))
		}
	}
	return out
}
