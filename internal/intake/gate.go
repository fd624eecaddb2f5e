package intake

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"brooklb/internal/fair"
)

const (
	// longestWait is how long a submission waits at the door at most: a flood of one
	// class delays others' by less than a second.
	longestWait = 900 * time.Millisecond
	// mostWaiting bounds the queue.
	mostWaiting = 256
	// mostClasses of a team are told apart; what comes beside them shares a queue.
	mostClasses = 32
	// credit is how many turns a class or team that came less often than it might is
	// given at once: single users come in bursts, too, and were sent away for seconds
	// by a flood of others.
	credit = 6
	// forget is after how long of silence a class is forgotten.
	forget = 2 * time.Minute
	// longestAfter is the longest that a user is told to stay away.
	longestAfter = 30 * time.Second
	// rateOver is the time over which rates are averaged.
	rateOver = 3 * time.Second
	// Where more of a class comes than can be taken, its smallest go in first: as many as
	// can be are served. One turn in so many is for one of any size, which keeps its place.
	anyEvery = 8
	// others is the class of what isn't told apart; no class has this name.
	others = "\x00others"
)

// meter is a rate that fades.
type meter struct {
	rate float64
	at   time.Duration
}

func (m *meter) now(now time.Duration) float64 {
	if now > m.at {
		m.rate *= math.Exp(-(now - m.at).Seconds() / rateOver.Seconds())
		m.at = now
	}
	return m.rate
}

func (m *meter) add(now time.Duration) { m.rate = m.now(now) + 1/rateOver.Seconds() }

type entry struct {
	at   time.Duration
	size float64 // of its work
	any  bool    // keeps its place, whatever its size
	run  func()
	late func(after int)
}

type class struct {
	team    *team
	name    string
	queue   []entry
	virtual float64 // start-time fair queueing: who has had least goes first
	out     meter   // admitted
	seen    time.Duration
	// slots is when the next one who was refused may come back: those who stay away
	// are given times one after the other at the rate that can be taken.
	slots time.Duration
}

type team struct {
	name    string
	weight  float64
	virtual float64
	clock   float64 // of the virtual time of its classes
	classes map[string]*class
	list    []*class // the same, as first seen
	waiting int
}

// Gate is the door of a node for submissions.
type Gate struct {
	rng    *rand.Rand
	weight func(team string) float64
	// Room takes what one submission needs, if it is there.
	Room func() bool
	// Rate is how many a second there is room for in any case; nil: not known. After an
	// outage nobody has been let in for a while, and users who were refused then were
	// told to stay away for half a minute.
	Rate    func() float64
	teams   map[string]*team
	order   []*team // as first seen
	waiting int
	in, out meter
	clock   float64 // of the virtual time of teams
	// Refused counts those who were told to come back.
	Refused int
	// Shut are the classes that have more in the cluster than their part of what it
	// can hold; nothing of them is taken until the leader says otherwise.
	Shut map[fair.Key]bool
}

// NewGate makes a door; weight says how teams share it, nil: alike.
func NewGate(rng *rand.Rand, weight func(team string) float64) *Gate {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	return &Gate{rng: rng, weight: weight, teams: map[string]*team{}}
}

func (g *Gate) class(k fair.Key, now time.Duration) *class {
	t := g.teams[k.Team]
	if t == nil {
		t = &team{name: k.Team, weight: max(0.01, g.weight(k.Team)), classes: map[string]*class{}}
		g.teams[k.Team] = t
		g.order = append(g.order, t)
	}
	c := t.classes[k.Class]
	if c == nil && len(t.classes) >= mostClasses {
		t.list = slices.DeleteFunc(t.list, func(x *class) bool {
			old := now-x.seen > forget && len(x.queue) == 0
			if old {
				delete(t.classes, x.name)
			}
			return old
		})
		if len(t.classes) >= mostClasses {
			k.Class = others
			c = t.classes[others]
		}
	}
	if c == nil {
		c = &class{team: t, name: k.Class}
		t.classes[k.Class] = c
		t.list = append(t.list, c)
	}
	c.seen = now
	return c
}

// Offer brings a submission of a team that exists, with how much work it asks for. One
// of the two functions is called: run, now or later, when it is let in, or late with
// when to come back, in seconds.
func (g *Gate) Offer(now time.Duration, k fair.Key, size float64, run func(), late func(after int)) {
	c := g.class(k, now)
	g.in.add(now)
	if g.Shut[k] {
		g.refuse(now, c, late)
		return
	}
	if g.waiting == 0 && g.Room() {
		g.admit(now, c, run)
		return
	}
	if g.waiting >= mostWaiting || len(c.queue) >= max(credit, int(longestWait/g.pause(c, now))) {
		// One that is larger comes back in its place.
		i := c.largest()
		if i < 0 || c.anyOne() >= 0 && c.queue[i].size <= size {
			g.refuse(now, c, late)
			return
		}
		g.refuse(now, c, g.take(c, i).late)
	}
	if len(c.queue) == 0 {
		if c.team.waiting == 0 {
			c.team.virtual = max(c.team.virtual, g.clock-credit/c.team.weight)
		}
		c.virtual = max(c.virtual, c.team.clock-credit)
	}
	c.queue = append(c.queue, entry{now, size, c.anyOne() < 0, run, late})
	c.team.waiting++
	g.waiting++
}

// pause is the time between two of the class that are let in, as things are.
func (g *Gate) pause(c *class, now time.Duration) time.Duration {
	all := max(0.5, g.out.now(now))
	if g.Rate != nil {
		all = max(all, g.Rate())
	}
	weights, classes := 0.0, 0
	for _, t := range g.order {
		if t.waiting > 0 || t == c.team {
			weights += t.weight
		}
	}
	for _, x := range c.team.list {
		if len(x.queue) > 0 || x == c {
			classes++
		}
	}
	rate := max(c.out.now(now), all*c.team.weight/weights/float64(classes))
	return time.Duration(float64(time.Second) / rate)
}

func (g *Gate) refuse(now time.Duration, c *class, late func(after int)) {
	g.Refused++
	pause := g.pause(c, now)
	c.slots = max(c.slots, now+time.Second) + pause
	after := c.slots - now
	if after > longestAfter {
		// More than can be taken in that time: spread over the later half of it.
		c.slots = now + longestAfter
		after = longestAfter/2 + time.Duration(g.rng.Int64N(int64(longestAfter/2)))
	}
	late(int(math.Ceil(after.Seconds())))
}

func (g *Gate) admit(now time.Duration, c *class, run func()) {
	c.out.add(now)
	g.out.add(now)
	run()
}

// Pump lets in what there is room for, who had least first, and refuses what has
// waited for too long. It reports whether anything waits still.
func (g *Gate) Pump(now time.Duration) bool {
	for g.waiting > 0 {
		c := g.next()
		if now-c.queue[0].at >= longestWait {
			g.refuse(now, c, g.take(c, 0).late)
			continue
		}
		if !g.Room() {
			break
		}
		e := g.take(c, g.turn(c))
		g.clock, c.team.clock = max(g.clock, c.team.virtual), max(c.team.clock, c.virtual)
		c.team.virtual += 1 / c.team.weight
		c.virtual++
		g.admit(now, c, e.run)
	}
	g.giveUp(now, longestWait) // others than whose turn it is
	return g.waiting > 0
}

// turn is whose turn it is in the class: the smallest's, now and then that of any size.
func (g *Gate) turn(c *class) int {
	if i := c.anyOne(); i >= 0 && g.rng.IntN(anyEvery) == 0 {
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

// anyOne is the one that keeps its place whatever its size, -1 if there is none.
func (c *class) anyOne() int {
	return slices.IndexFunc(c.queue, func(e entry) bool { return e.any })
}

// largest is the largest one of the others, -1 if there is none.
func (c *class) largest() int {
	best := -1
	for i := range c.queue {
		if !c.queue[i].any && (best < 0 || c.queue[i].size > c.queue[best].size) {
			best = i
		}
	}
	return best
}

// take takes one out of a class's queue, in which the oldest comes first.
func (g *Gate) take(c *class, i int) entry {
	e := c.queue[i]
	c.queue = slices.Delete(c.queue, i, i+1)
	c.team.waiting--
	g.waiting--
	return e
}

// giveUp refuses all that have waited for so long.
func (g *Gate) giveUp(now, least time.Duration) {
	for _, t := range g.order {
		for _, c := range t.list {
			for len(c.queue) > 0 && now-c.queue[0].at >= least {
				g.refuse(now, c, g.take(c, 0).late)
			}
		}
	}
}

// next is the class whose turn it is; something waits.
func (g *Gate) next() *class {
	var t *team
	for _, x := range g.order {
		if x.waiting > 0 && (t == nil || x.virtual < t.virtual) {
			t = x
		}
	}
	var c *class
	for _, x := range t.list {
		if len(x.queue) > 0 && (c == nil || x.virtual < c.virtual || x.virtual == c.virtual && x.name < c.name) {
			c = x
		}
	}
	return c
}

// Want is how many submissions come here, a second.
func (g *Gate) Want(now time.Duration) float64 { return g.in.now(now) }

// Admitted is how many are let in, a second.
func (g *Gate) Admitted(now time.Duration) float64 { return g.out.now(now) }

// Waiting is how many wait at the door.
func (g *Gate) Waiting() int { return g.waiting }

// Drop refuses all that wait: their users may have given up.
func (g *Gate) Drop(now time.Duration) { g.giveUp(now, 0) }
