package intake

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"brooklb/internal/fair"
)

// simulation has users submit to a queue, and retry when they are asked to if they are refused.
type simulation struct {
	queue     *FairQueue
	rng       *rand.Rand
	now, last time.Duration
	rate      float64
	tokens    float64
	attempts  []attempt
	admitted  map[fair.Key]int
	waited    map[fair.Key]time.Duration // the longest time from the first try to the admission
	abandoned map[fair.Key]int           // users who gave up after a minute
	tries     int
}

type attempt struct {
	at, first time.Duration
	key       fair.Key
}

func newSimulation(seed uint64, rate float64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := &simulation{rng: rng, rate: rate, admitted: map[fair.Key]int{}, waited: map[fair.Key]time.Duration{}, abandoned: map[fair.Key]int{}}
	s.queue = NewFairQueue(rng, nil)
	s.queue.TryAcquire = func() bool {
		s.tokens = min(2, s.tokens+s.rate*(s.now-s.last).Seconds())
		s.last = s.now
		if s.tokens < 1 {
			return false
		}
		s.tokens--
		return true
	}
	return s
}

// addAttempts schedules submissions of a class at a rate between two times.
func (s *simulation) addAttempts(k fair.Key, rate float64, from, to time.Duration) {
	for at := from; at < to; at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) {
		s.attempts = append(s.attempts, attempt{at, at, k})
	}
}

func (s *simulation) runUntil(until time.Duration) {
	for ; s.now < until; s.now += 20 * time.Millisecond {
		slices.SortStableFunc(s.attempts, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
		n := 0
		for n < len(s.attempts) && s.attempts[n].at <= s.now {
			n++
		}
		due := slices.Clone(s.attempts[:n])
		s.attempts = slices.Delete(s.attempts, 0, n)
		for _, v := range due {
			s.tries++
			s.queue.Offer(s.now, v.key, 1, func() {
				s.admitted[v.key]++
				s.waited[v.key] = max(s.waited[v.key], s.now-v.first)
			}, func(after int) {
				retryAt := s.now + max(time.Second, time.Duration(after)*time.Second)
				if after < 1 || after > 30 {
					panic(fmt.Sprint("asked to retry in ", after))
				}
				if retryAt-v.first > time.Minute {
					s.abandoned[v.key]++
					return
				}
				s.attempts = append(s.attempts, attempt{retryAt, v.first, v.key})
			})
		}
		s.queue.Dispatch(s.now)
	}
}

// TestQueueIsFair floods a queue with one class of one team. Others, who need at most a third
// of their share, must be admitted within a second, the capacity must be used, and refused
// users must not retry more than a few times.
func TestQueueIsFair(t *testing.T) {
	for seed := range uint64(6) {
		s := newSimulation(seed, 6)
		flood, same, other := fair.Key{Team: "a", Class: "flood"}, fair.Key{Team: "a", Class: "x"}, fair.Key{Team: "b", Class: "y"}
		s.addAttempts(flood, 80, 20*time.Second, 140*time.Second)
		s.addAttempts(same, 0.5, 0, 200*time.Second)
		s.addAttempts(other, 1, 0, 200*time.Second)
		n := len(s.attempts)
		s.runUntil(200 * time.Second)
		if w := max(s.waited[same], s.waited[other]); w > time.Second || s.abandoned[same]+s.abandoned[other] > 0 {
			t.Errorf("seed %d: other classes waited for up to %v, %d of their users gave up", seed, w, s.abandoned[same]+s.abandoned[other])
		}
		sum := s.admitted[flood] + s.admitted[same] + s.admitted[other]
		if got := float64(sum) / (6 * 130); got < 0.95 {
			t.Errorf("seed %d: %d admitted", seed, sum)
		}
		if s.tries > 5*n {
			t.Errorf("seed %d: %d tries of %d users", seed, s.tries, n)
		}
	}
}

// TestInventedClasses guards against a team that gets more by inventing classes, and
// against memory that grows with their number.
func TestInventedClasses(t *testing.T) {
	s := newSimulation(1, 6)
	for i := range 10000 {
		s.attempts = append(s.attempts, attempt{time.Duration(i) * 10 * time.Millisecond, time.Duration(i) * 10 * time.Millisecond, fair.Key{Team: "a", Class: fmt.Sprint(i)}})
	}
	honest := fair.Key{Team: "b", Class: "y"}
	s.addAttempts(honest, 10, 0, 100*time.Second)
	s.runUntil(100 * time.Second)
	others := 0
	for k, n := range s.admitted {
		if k != honest {
			others += n
		}
	}
	if s.admitted[honest] < 270 || others > 330 {
		t.Errorf("a team with one class got %d, one with 10,000 got %d", s.admitted[honest], others)
	}
	if n := len(s.queue.teams["a"].classes); n > maxClassesPerTeam+1 {
		t.Errorf("%d classes are remembered", n)
	}
}

// TestBlockedClasses checks that blocked classes are refused, and no others.
func TestBlockedClasses(t *testing.T) {
	s := newSimulation(2, 5)
	k, other := fair.Key{Team: "a", Class: "x"}, fair.Key{Team: "a", Class: "y"}
	s.queue.BlockedClasses = map[fair.Key]bool{k: true}
	s.addAttempts(k, 1, 0, 20*time.Second)
	s.addAttempts(other, 1, 0, 20*time.Second)
	s.runUntil(21 * time.Second)
	if s.admitted[k] != 0 || s.admitted[other] == 0 {
		t.Errorf("admitted %v", s.admitted)
	}
}

// BenchmarkRefusal measures the refusal of a submission while the queue is full.
func BenchmarkRefusal(b *testing.B) {
	q := NewFairQueue(rand.New(rand.NewPCG(1, 1)), nil)
	q.TryAcquire = func() bool { return false }
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		q.Offer(now, fair.Key{Team: "a", Class: "x"}, 1, func() {}, func(int) {})
	}
}

// TestSmallestAdmittedFirst guards against a flood of one class in which submissions are
// admitted regardless of size, so that less than half as many as possible are served. The
// smallest must be admitted first, and some of the large ones as well.
func TestSmallestAdmittedFirst(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	now, tokens := time.Duration(0), 0.0
	q := NewFairQueue(r, nil)
	q.Rate = func() float64 { return 10 }
	q.TryAcquire = func() bool {
		if tokens < 1 {
			return false
		}
		tokens--
		return true
	}
	arrived, admitted := [4]int{}, [4]int{}
	for range 60 * 50 {
		now += 20 * time.Millisecond
		tokens = min(3, tokens+0.2)
		for range r.IntN(3) { // 50 arrive a second, 10 are admitted
			size := r.Float64()
			arrived[int(4*size)]++
			q.Offer(now, fair.Key{Team: "a", Class: "x"}, size, func() { admitted[int(4*size)]++ }, func(int) {})
		}
		q.Dispatch(now)
	}
	if admitted[0] < arrived[0]/2 || admitted[3] == 0 || admitted[3] > admitted[0]/6 {
		t.Errorf("of %v by size %v were admitted", arrived, admitted)
	}
	if all := admitted[0] + admitted[1] + admitted[2] + admitted[3]; all < 570 || all > 610 {
		t.Errorf("%d were admitted, there is capacity for 600", all)
	}
}
