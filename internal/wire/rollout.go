package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"brooklb/internal/model"

	"github.com/segmentio/encoding/json"
)

// Paths of services and their roll-outs, which aren't part of the protocol.
const (
	PathServices = "/services"
	VerbStart    = "rollouts"
	VerbPause    = "pause"
	VerbResume   = "resume"
	VerbAbort    = "abort"
	VerbWithdraw = "withdraw"
	VerbHistory  = "history"
)

// Share is a number of instances or a percentage of all instances. In JSON it is a number
// such as 2 or a string such as "25%".
type Share struct {
	N       int
	Percent float64 // used if above 0
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Share) UnmarshalJSON(b []byte) error {
	t := strings.Trim(string(b), `"`)
	if p, ok := strings.CutSuffix(t, "%"); ok {
		x, err := strconv.ParseFloat(p, 64)
		if err != nil || !(x >= 0) || x > 100 {
			return fmt.Errorf("%q is no percentage from 0%% to 100%%", clip(t))
		}
		*s = Share{Percent: x}
		return nil
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < 0 || n > MaxTasks {
		return fmt.Errorf("%q is neither a count nor a percentage", clip(t))
	}
	*s = Share{N: n}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (s Share) MarshalJSON() ([]byte, error) { return []byte(strconv.Quote(s.String())), nil }

func (s Share) String() string {
	if s.Percent > 0 {
		return strconv.FormatFloat(s.Percent, 'g', 6, 64) + "%"
	}
	return strconv.Itoa(s.N)
}

// Of returns the share of n instances as a number. A percentage is rounded up.
func (s Share) Of(n int) int {
	if s.Percent > 0 {
		return min(n, int(math.Ceil(float64(n)*s.Percent/100-1e-9)))
	}
	return s.N
}

// Health configures the HTTP health check of a service's instances. The check goes to the
// instance's own machine.
type Health struct {
	Port int `json:"port"`
	// PerTask means that task k listens on Port+k, so that several tasks fit on one machine.
	PerTask bool `json:"per_task,omitempty"`
	// Path may contain {task} and {job}.
	Path      string  `json:"path"`
	IntervalS float64 `json:"interval_s,omitempty"`
	TimeoutS  float64 `json:"timeout_s,omitempty"`
	// SlowS is the longest time an answer may take; a slower answer is a failure.
	SlowS  float64 `json:"slow_s,omitempty"`
	DelayS float64 `json:"delay_s,omitempty"` // delay before the first check
	Passes int     `json:"passes,omitempty"`  // consecutive successes until the instance is healthy
	Fails  int     `json:"fails,omitempty"`   // consecutive failures until the instance is sick
	Flaps  int     `json:"flaps,omitempty"`   // failures among the last 20 checks until it is sick
}

// Rollout is a user's request to roll out a new version of a service.
type Rollout struct {
	Job *model.Spec `json:"-"`
	// From is the running service job that the roll-out replaces. It is for the first
	// roll-out of a service.
	From string `json:"from,omitempty"`
	By   string `json:"by,omitempty"`
	// Steps lists how many instances run the new version after each step. The last step
	// covers all instances.
	Steps []Share `json:"steps,omitempty"`
	// ByZone replaces the instances zone by zone, one step for each zone.
	ByZone      bool  `json:"by_zone,omitempty"`
	Surge       Share `json:"surge"`       // most instances above the normal number
	Unavailable Share `json:"unavailable"` // most healthy instances missing from the normal number
	// BakeS is how long the roll-out observes a step before the next one begins, WindowS
	// how long it observes the last step, and StallS how long it may make no progress.
	BakeS   float64 `json:"bake_s,omitempty"`
	WindowS float64 `json:"window_s,omitempty"`
	StallS  float64 `json:"stall_s,omitempty"`
	// Tolerate is how many sick instances the roll-out accepts. Ends is how often an
	// instance ends by itself until it counts as sick.
	Tolerate Share `json:"tolerate"`
	Ends     int   `json:"ends,omitempty"`
	// After is a service whose roll-out must succeed first.
	After  string  `json:"after,omitempty"`
	Health *Health `json:"health,omitempty"`
}

// MaxServiceName is the largest size of a service's name in bytes.
const MaxServiceName = 40

// ValidService reports whether name is a valid name of a service.
func ValidService(name string) bool {
	if name == "" || len(name) > MaxServiceName {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' && i > 0) {
			return false
		}
	}
	return true
}

// Defaults of fields that a request leaves out, and the longest time, all in seconds.
const (
	defaultInterval = 5
	defaultStall    = 900
	maxDurationS    = 7 * 24 * 3600
)

// DecodeRollout decodes and validates a request for a roll-out, and sets defaults for the
// fields that it leaves out. The error text is sent to the user.
func DecodeRollout(b []byte) (*Rollout, error) {
	t := bytes.TrimLeft(b, " \t\r\n")
	if len(t) == 0 || t[0] != '{' || !json.Valid(b) {
		return nil, errors.New("not a JSON object")
	}
	var x struct {
		Rollout
		Job         json.RawMessage `json:"job"`
		Surge       *Share          `json:"surge"`
		Unavailable Share           `json:"unavailable"`
		Health      *struct {
			Health
			Host any `json:"host"`
		} `json:"health"`
	}
	if err := json.Unmarshal(b, &x); err != nil {
		return nil, fmt.Errorf("malformed: %s", clip(err.Error()))
	}
	r := x.Rollout
	r.Unavailable, r.Surge = x.Unavailable, Share{N: 1}
	if x.Surge != nil {
		r.Surge = *x.Surge
	}
	if x.Health != nil {
		if x.Health.Host != nil {
			return nil, errors.New("field health.host: a check goes to the instance's own machine, only its port and path can be chosen")
		}
		h := x.Health.Health
		r.Health = &h
	}
	if len(x.Job) == 0 {
		return nil, errors.New("field job is missing: the description of the new version, as it would be submitted")
	}
	var err error
	if r.Job, err = DecodeJob(x.Job); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return &r, nil
}

func (r *Rollout) check() error {
	if r.From != "" && !ValidJobID(r.From) {
		return fmt.Errorf("field from: %q is no job id", clip(r.From))
	}
	if r.From == r.Job.ID {
		return errors.New("field from is the new version itself: a version has its own job id")
	}
	if r.After != "" && !ValidService(r.After) {
		return fmt.Errorf("field after: %q is no name of a service", clip(r.After))
	}
	r.By = clip(r.By)
	if len(r.By) > 60 {
		r.By = r.By[:60]
	}
	if len(r.Steps) > 20 {
		return errors.New("field steps: at most 20")
	}
	if r.ByZone && len(r.Steps) > 0 {
		return errors.New("fields steps and by_zone: either the one or the other")
	}
	for _, f := range []struct {
		name     string
		x        *float64
		fallback float64
	}{{"bake_s", &r.BakeS, 0}, {"window_s", &r.WindowS, 0}, {"stall_s", &r.StallS, defaultStall}} {
		if !(*f.x >= 0) || *f.x > maxDurationS {
			return fmt.Errorf("field %s is not a time up to a week", f.name)
		}
		if *f.x == 0 {
			*f.x = f.fallback
		}
	}
	if r.Ends < 0 || r.Ends > 1000 {
		return errors.New("field ends is invalid")
	}
	if r.Ends == 0 {
		r.Ends = 2
	}
	n := r.Job.Tasks
	if r.Surge.Of(n) == 0 && r.Unavailable.Of(n) == 0 {
		return errors.New("fields surge and unavailable are both 0: no instance could ever be replaced")
	}
	last := 0
	for i, s := range r.Steps {
		k := s.Of(n)
		if k > n {
			return fmt.Errorf("field steps: step %d is %s of %d instances", i+1, s, n)
		}
		if k <= last {
			return fmt.Errorf("field steps: step %d (%s: %d of %d instances) is no further than the one before it, and could never end anything", i+1, s, k, n)
		}
		last = k
	}
	if last < n && !r.ByZone {
		r.Steps = append(r.Steps, Share{Percent: 100})
	}
	if r.Health != nil {
		return r.Health.check(n)
	}
	return nil
}

func (h *Health) check(tasks int) error {
	last := h.Port
	if h.PerTask {
		last += tasks - 1
	}
	if h.Port < 1 || last > 65535 {
		return fmt.Errorf("field health.port: %d to %d are not ports", h.Port, last)
	}
	if h.Path == "" || h.Path[0] != '/' || strings.HasPrefix(h.Path, "//") || len(h.Path) > 200 {
		return errors.New("field health.path is not a path on the instance's machine, such as /healthz")
	}
	for _, c := range []byte(h.Path) {
		if c <= ' ' || c > '~' || c == '#' || c == '\\' {
			return errors.New("field health.path has characters that can't be in a path")
		}
	}
	for _, f := range []struct {
		name         string
		x            *float64
		fallback, lo float64
		hi           float64
	}{{"interval_s", &h.IntervalS, defaultInterval, 0.5, 3600}, {"timeout_s", &h.TimeoutS, 2, 0.05, 30}, {"delay_s", &h.DelayS, 0, 0, 3600}} {
		if *f.x == 0 {
			*f.x = f.fallback
		}
		if !(*f.x >= f.lo) || *f.x > f.hi {
			return fmt.Errorf("field health.%s is not from %g to %g", f.name, f.lo, f.hi)
		}
	}
	if h.SlowS == 0 {
		h.SlowS = h.TimeoutS
	}
	if !(h.SlowS > 0) || h.SlowS > h.TimeoutS {
		return errors.New("field health.slow_s is not a time up to timeout_s")
	}
	for _, f := range []struct {
		name     string
		x        *int
		fallback int
	}{{"passes", &h.Passes, 2}, {"fails", &h.Fails, 3}, {"flaps", &h.Flaps, 6}} {
		if *f.x == 0 {
			*f.x = f.fallback
		}
		if *f.x < 1 || *f.x > 20 {
			return fmt.Errorf("field health.%s is not from 1 to 20", f.name)
		}
	}
	return nil
}

// RequestInfo names who makes a request and why.
type RequestInfo struct {
	By  string `json:"by,omitempty"`
	Why string `json:"why,omitempty"`
}

// DecodeRequestInfo decodes a request's body, which may be empty.
func DecodeRequestInfo(b []byte) (RequestInfo, error) {
	var a RequestInfo
	if len(bytes.TrimSpace(b)) == 0 {
		return a, nil
	}
	if err := json.Unmarshal(b, &a); err != nil {
		return a, fmt.Errorf("malformed: %s", clip(err.Error()))
	}
	a.By, a.Why = clip(a.By), clip(a.Why)
	return a, nil
}

// ServiceView is the state of a service and of its roll-out.
type ServiceView struct {
	Service string       `json:"service"`
	Version string       `json:"version,omitempty"` // the job that is the service's current version
	Ended   bool         `json:"ended,omitempty"`   // the service was withdrawn
	Rollout *RolloutView `json:"rollout,omitempty"`
}

// RolloutView is the state of a roll-out under way or the result of a finished one.
type RolloutView struct {
	ID    string `json:"id"` // service/number
	From  string `json:"from,omitempty"`
	To    string `json:"to"`
	By    string `json:"by,omitempty"`
	AtMS  int64  `json:"at_ms"`            // start, in Unix milliseconds
	EndMS int64  `json:"end_ms,omitempty"` // 0 while the roll-out is under way
	// State is waiting, rolling, baking, watching, returning or stuck, and after the end
	// done, rolled back or withdrawn.
	State  string `json:"state"`
	Paused bool   `json:"paused,omitempty"`
	Step   int    `json:"step"` // counted from 1
	Steps  int    `json:"steps"`
	New    int    `json:"new"` // intended instances of the new version
	Old    int    `json:"old"` // the same of the old version
	All    int    `json:"all"`
	// Why says in one sentence why the roll-out is paused, stopped or rolled back.
	Why      string   `json:"why,omitempty"`
	Evidence []string `json:"evidence,omitempty"`
	// Live is the current state of the instances. Only the leader knows it.
	Live *RolloutLive `json:"live,omitempty"`
}

// RolloutLive is the current state of a roll-out's instances.
type RolloutLive struct {
	NewHealthy  int     `json:"new_healthy"`
	NewSick     int     `json:"new_sick"`
	NewUnknown  int     `json:"new_unknown"` // checks are impossible or too few so far
	OldHealthy  int     `json:"old_healthy"`
	CheckP50MS  float64 `json:"check_p50_ms,omitempty"`
	CheckP99MS  float64 `json:"check_p99_ms,omitempty"`
	CheckEveryS float64 `json:"check_every_s,omitempty"` // actual interval between the checks of an instance
}
