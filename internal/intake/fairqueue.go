package intake

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"brooklb/internal/fair"
)

const (
	// maxQueueTime is how long a submission may be queued, so that a flood of one class
	// delays the others by less than a second.
	maxQueueTime = 900 * time.Millisecond
	// maxQueued is how many submissions may be queued.
	maxQueued = 256
	// maxClassesPerTeam is how many classes of a team have queues of their own. All others
	// share one.
	maxClassesPerTeam = 32
	// burstCredit is how many turns a class or team that used less than its share may have
	// at once. Single users submit in bursts, too, and without the credit a flood of other
	// submissions caused theirs to be refused for seconds.
	burstCredit = 6
	// classIdleTimeout is the time without submissions after which a class may be forgotten.
	classIdleTimeout = 2 * time.Minute
	// maxRetryAfter is the longest time after which a user is asked to retry.
	maxRetryAfter = 30 * time.Second
	// rateWindow is the time over which rates are averaged.
	rateWindow = 3 * time.Second
	// Where more of a class arrives than can be admitted, its smallest submissions are
	// admitted first, so that as many as possible are served. On average, one turn in
	// exemptEvery is for the exempt submission, which keeps its place regardless of its size.
	exemptEvery = 8
	// otherClasses names the queue that the other classes of a team share. No class has
	// this name.
	otherClasses = "\x00others"
)

// rateMeter measures a rate with exponential decay.
type rateMeter struct {
	rate      float64
	updatedAt time.Duration
}

func (m *rateMeter) current(now time.Duration) float64 {
	if now > m.updatedAt {
		m.rate *= math.Exp(-(now - m.updatedAt).Seconds() / rateWindow.Seconds())
		m.updatedAt = now
	}
	return m.rate
}

func (m *rateMeter) add(now time.Duration) { m.rate = m.current(now) + 1/rateWindow.Seconds() }

type entry struct {
	queuedAt time.Duration
	size     float64 // the amount of work that it asks for
	exempt   bool    // keeps its place in the queue, regardless of its size
	onAdmit  func()
	onRefuse func(after int)
}

type class struct {
	team        *team
	name        string
	queue       []entry
	virtualTime float64 // for start-time fair queueing: the lowest goes first
	admissions  rateMeter
	lastSeen    time.Duration
	// nextRetry is when the next refused user may retry. Refused users are given
	// successive times, at the rate of admission.
	nextRetry time.Duration
}

type team struct {
	name         string
	weight       float64
	virtualTime  float64
	virtualClock float64 // the virtual time of its classes
	classes      map[string]*class
	list         []*class // the same classes, in the order in which they were first seen
	queued       int
}

// FairQueue queues a node's submissions and admits them fairly by team and, within each team,
// by class.
type FairQueue struct {
	rng    *rand.Rand
	weight func(team string) float64
	// TryAcquire takes the capacity that one submission needs, if it is available.
	TryAcquire func() bool
	// Rate returns how many submissions a second there is capacity for at least; nil:
	// unknown. After an outage the measured rate of admission is low, and with that rate alone
	// refused users were asked to retry after half a minute.
	Rate                 func() float64
	teams                map[string]*team
	order                []*team // in the order in which they were first seen
	queued               int
	arrivals, admissions rateMeter
	virtualClock         float64 // the virtual time of the teams
	// Refused counts the refused submissions.
	Refused int
	// BlockedClasses are the classes that have more tasks in unfinished jobs than their share of
	// the tasks that fit into a controller's memory. The leader determines them; none of their
	// submissions is admitted.
	BlockedClasses map[fair.Key]bool
}

// NewFairQueue creates a queue; weight returns a team's weight, nil: all teams weigh the same.
func NewFairQueue(rng *rand.Rand, weight func(team string) float64) *FairQueue {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	return &FairQueue{rng: rng, weight: weight, teams: map[string]*team{}}
}

func (q *FairQueue) classFor(k fair.Key, now time.Duration) *class {
	t := q.teams[k.Team]
	if t == nil {
		t = &team{name: k.Team, weight: max(0.01, q.weight(k.Team)), classes: map[string]*class{}}
		q.teams[k.Team] = t
		q.order = append(q.order, t)
	}
	c := t.classes[k.Class]
	if c == nil && len(t.classes) >= maxClassesPerTeam {
		t.list = slices.DeleteFunc(t.list, func(x *class) bool {
			old := now-x.lastSeen > classIdleTimeout && len(x.queue) == 0
			if old {
				delete(t.classes, x.name)
			}
			return old
		})
		if len(t.classes) >= maxClassesPerTeam {
			k.Class = otherClasses
			c = t.classes[otherClasses]
		}
	}
	if c == nil {
		c = &class{team: t, name: k.Class}
		t.classes[k.Class] = c
		t.list = append(t.list, c)
	}
	c.lastSeen = now
	return c
}

// Offer queues a submission of an existing team, with the amount of work that it asks for.
// One of the two functions is called, now or later: onAdmit, or onRefuse with the number of
// seconds after which to retry.
func (q *FairQueue) Offer(now time.Duration, k fair.Key, size float64, onAdmit func(), onRefuse func(after int)) {
	c := q.classFor(k, now)
	q.arrivals.add(now)
	if q.BlockedClasses[k] {
		q.refuse(now, c, onRefuse)
		return
	}
	if q.queued == 0 && q.TryAcquire() {
		q.admit(now, c, onAdmit)
		return
	}
	if q.queued >= maxQueued || len(c.queue) >= max(burstCredit, int(maxQueueTime/q.admissionInterval(c, now))) {
		// The largest submission is refused instead if it is larger, or if no submission
		// is exempt, so that this one becomes exempt.
		i := c.largestIndex()
		if i < 0 || c.exemptIndex() >= 0 && c.queue[i].size <= size {
			q.refuse(now, c, onRefuse)
			return
		}
		q.refuse(now, c, q.remove(c, i).onRefuse)
	}
	if len(c.queue) == 0 {
		if c.team.queued == 0 {
			c.team.virtualTime = max(c.team.virtualTime, q.virtualClock-burstCredit/c.team.weight)
		}
		c.virtualTime = max(c.virtualTime, c.team.virtualClock-burstCredit)
	}
	c.queue = append(c.queue, entry{now, size, c.exemptIndex() < 0, onAdmit, onRefuse})
	c.team.queued++
	q.queued++
}

// admissionInterval returns the expected time between two admissions of the class.
func (q *FairQueue) admissionInterval(c *class, now time.Duration) time.Duration {
	all := max(0.5, q.admissions.current(now))
	if q.Rate != nil {
		all = max(all, q.Rate())
	}
	weights, classes := 0.0, 0
	for _, t := range q.order {
		if t.queued > 0 || t == c.team {
			weights += t.weight
		}
	}
	for _, x := range c.team.list {
		if len(x.queue) > 0 || x == c {
			classes++
		}
	}
	rate := max(c.admissions.current(now), all*c.team.weight/weights/float64(classes))
	return time.Duration(float64(time.Second) / rate)
}

func (q *FairQueue) refuse(now time.Duration, c *class, onRefuse func(after int)) {
	q.Refused++
	interval := q.admissionInterval(c, now)
	c.nextRetry = max(c.nextRetry, now+time.Second) + interval
	after := c.nextRetry - now
	if after > maxRetryAfter {
		// More than can be admitted in that time: retries are spread over its second half.
		c.nextRetry = now + maxRetryAfter
		after = maxRetryAfter/2 + time.Duration(q.rng.Int64N(int64(maxRetryAfter/2)))
	}
	onRefuse(int(math.Ceil(after.Seconds())))
}

func (q *FairQueue) admit(now time.Duration, c *class, onAdmit func()) {
	c.admissions.add(now)
	q.admissions.add(now)
	onAdmit()
}

// Dispatch admits what there is capacity for, in the order of virtual times, and refuses
// what has been queued for too long. It reports whether anything is still queued.
func (q *FairQueue) Dispatch(now time.Duration) bool {
	for q.queued > 0 {
		c := q.nextClass()
		if now-c.queue[0].queuedAt >= maxQueueTime {
			q.refuse(now, c, q.remove(c, 0).onRefuse)
			continue
		}
		if !q.TryAcquire() {
			break
		}
		e := q.remove(c, q.nextEntry(c))
		q.virtualClock, c.team.virtualClock = max(q.virtualClock, c.team.virtualTime), max(c.team.virtualClock, c.virtualTime)
		c.team.virtualTime += 1 / c.team.weight
		c.virtualTime++
		q.admit(now, c, e.onAdmit)
	}
	q.refuseOlderThan(now, maxQueueTime) // of the other classes, too
	return q.queued > 0
}

// nextEntry returns the index of the submission of the class to admit next: the smallest one,
// or the exempt one on average once in exemptEvery turns.
func (q *FairQueue) nextEntry(c *class) int {
	if i := c.exemptIndex(); i >= 0 && q.rng.IntN(exemptEvery) == 0 {
		return i
	}
	best := 0
	for i := range c.queue {
		if c.queue[i].size < c.queue[best].size {
			best = i
		}
	}
	return best
}

// exemptIndex returns the index of the exempt submission, -1 if there is none.
func (c *class) exemptIndex() int {
	return slices.IndexFunc(c.queue, func(e entry) bool { return e.exempt })
}

// largestIndex returns the index of the largest submission that isn't exempt, -1 if there is
// none.
func (c *class) largestIndex() int {
	best := -1
	for i := range c.queue {
		if !c.queue[i].exempt && (best < 0 || c.queue[i].size > c.queue[best].size) {
			best = i
		}
	}
	return best
}

// remove removes a submission from the queue of a class, which begins with the oldest one.
func (q *FairQueue) remove(c *class, i int) entry {
	e := c.queue[i]
	c.queue = slices.Delete(c.queue, i, i+1)
	c.team.queued--
	q.queued--
	return e
}

// refuseOlderThan refuses all submissions that have been queued for at least minAge.
func (q *FairQueue) refuseOlderThan(now, minAge time.Duration) {
	for _, t := range q.order {
		for _, c := range t.list {
			for len(c.queue) > 0 && now-c.queue[0].queuedAt >= minAge {
				q.refuse(now, c, q.remove(c, 0).onRefuse)
			}
		}
	}
}

// nextClass returns the class whose turn it is. The queue must not be empty.
func (q *FairQueue) nextClass() *class {
	var t *team
	for _, x := range q.order {
		if x.queued > 0 && (t == nil || x.virtualTime < t.virtualTime) {
			t = x
		}
	}
	var c *class
	for _, x := range t.list {
		if len(x.queue) > 0 && (c == nil || x.virtualTime < c.virtualTime || x.virtualTime == c.virtualTime && x.name < c.name) {
			c = x
		}
	}
	return c
}

// ArrivalRate returns how many submissions arrive here per second.
func (q *FairQueue) ArrivalRate(now time.Duration) float64 { return q.arrivals.current(now) }

// AdmissionRate returns how many submissions are admitted per second.
func (q *FairQueue) AdmissionRate(now time.Duration) float64 { return q.admissions.current(now) }

// Waiting returns how many submissions are queued.
func (q *FairQueue) Waiting() int { return q.queued }

// RefuseAll refuses all queued submissions, whose users may have given up.
func (q *FairQueue) RefuseAll(now time.Duration) { q.refuseOlderThan(now, 0) }
