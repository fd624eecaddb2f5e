package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"brooklb/internal/model"

	"github.com/segmentio/encoding/json"
)

// Paths and bounds of counted resources, which aren't part of the protocol.
const (
	PathUnits    = "/units"
	VerbRemove   = "remove"
	maxUnitAsks  = 8
	maxUnitCount = 1_000_000
)

// unitAsk is a request for units of a counted resource. The field of the submission is
// optional and not part of the protocol.
type unitAsk struct {
	Name  string   `json:"name"`
	Count *float64 `json:"count"` // default 1
	Per   string   `json:"per"`   // "task" (default) or "job"
}

// decodeCount returns x as an integer from lo to hi. JSON numbers such as 2.0 are accepted.
func decodeCount(field string, x float64, lo, hi int) (int, error) {
	if x != math.Trunc(x) || !(x >= float64(lo)) || x > float64(hi) {
		return 0, fmt.Errorf("field %s: %v is no whole number from %d to %d", field, x, lo, hi)
	}
	return int(x), nil
}

func decodeUnitAsks(asks []unitAsk) ([]model.UnitRequest, error) {
	if len(asks) > maxUnitAsks {
		return nil, fmt.Errorf("field units: at most %d resources", maxUnitAsks)
	}
	var out []model.UnitRequest
	seen := map[string]bool{}
	for _, a := range asks {
		if a.Name == "" || len(a.Name) > 200 {
			return nil, errors.New("field units: a name is missing or too long")
		}
		if seen[a.Name] {
			return nil, fmt.Errorf("field units: %q is there twice", clip(a.Name))
		}
		seen[a.Name] = true
		u := model.UnitRequest{Name: a.Name, Quantity: 1}
		if a.Count != nil {
			var err error
			if u.Quantity, err = decodeCount("units: count of "+clip(a.Name), *a.Count, 1, maxUnitCount); err != nil {
				return nil, err
			}
		}
		switch a.Per {
		case "", "task":
		case "job":
			u.PerJob = true
		default:
			return nil, fmt.Errorf("field units: per is %q, neither task nor job", clip(a.Per))
		}
		out = append(out, u)
	}
	return out, nil
}

// UnitsUpdate is an operator's change to a resource. Fields that are nil keep their values.
type UnitsUpdate struct {
	Count    *int
	External *int
	Teams    map[string]TeamLimits
	Reserve  map[string]int // keyed by priority: low, normal, high, production
	Shed     bool           // stop tasks until usage is within the count
	By       string
}

// TeamLimits is a team's limit of units of a resource, and the number of units below which the
// team's jobs go first.
type TeamLimits struct {
	Most  int `json:"most,omitempty"`
	Share int `json:"share,omitempty"`
}

// DecodeUnits decodes an operator's change to a resource. The error text is sent to the
// operator.
func DecodeUnits(b []byte) (*UnitsUpdate, error) {
	if t := bytes.TrimLeft(b, " \t\r\n"); len(t) == 0 || t[0] != '{' || !json.Valid(b) {
		return nil, errors.New("not a JSON object")
	}
	var x struct {
		Count    *float64              `json:"count"`
		External *float64              `json:"external"`
		Teams    map[string]TeamLimits `json:"teams"`
		Reserve  map[string]float64    `json:"reserve"`
		Shed     bool                  `json:"shed"`
		By       string                `json:"by"`
	}
	if err := json.Unmarshal(b, &x); err != nil {
		return nil, fmt.Errorf("malformed: %s", clip(err.Error()))
	}
	u := &UnitsUpdate{Teams: x.Teams, Shed: x.Shed, By: clip(x.By)}
	for _, f := range []struct {
		name string
		from *float64
		to   **int
	}{{"count", x.Count, &u.Count}, {"external", x.External, &u.External}} {
		if f.from == nil {
			continue
		}
		n, err := decodeCount(f.name, *f.from, 0, maxUnitCount)
		if err != nil {
			return nil, err
		}
		*f.to = &n
	}
	for name, v := range x.Reserve {
		n, err := decodeCount("reserve", v, 0, maxUnitCount)
		if err != nil {
			return nil, err
		}
		if u.Reserve == nil {
			u.Reserve = map[string]int{}
		}
		u.Reserve[name] = n
	}
	return u, nil
}

// UnitsView is the state of a resource.
type UnitsView struct {
	Name     string                `json:"name"`
	Count    int                   `json:"count"`
	Removed  bool                  `json:"removed,omitempty"`
	External int                   `json:"external,omitempty"`
	Teams    map[string]TeamLimits `json:"teams,omitempty"`
	Reserve  map[string]int        `json:"reserve,omitempty"`
	By       string                `json:"by,omitempty"`
	AtMS     int64                 `json:"at_ms,omitempty"`
	Trouble  string                `json:"trouble,omitempty"`
	// Live is the current usage. Only the leader knows it.
	Live *UnitsLive `json:"live,omitempty"`
}

// UnitsLive is the current usage of a resource.
type UnitsLive struct {
	Used    int     `json:"used"`
	Free    int     `json:"free"`
	Jobs    int     `json:"jobs"`    // unfinished jobs that request the resource
	Waiting int     `json:"waiting"` // jobs among them with waiting tasks
	BusyS   float64 `json:"busy_s"`  // unit-seconds in use during this term
	IdleS   float64 `json:"idle_s"`  // unit-seconds free while jobs waited
	WaitP50 float64 `json:"wait_p50_s,omitempty"`
	WaitP99 float64 `json:"wait_p99_s,omitempty"`
	// Holders is set only in the overview of a single resource.
	Holders []HolderView `json:"holders,omitempty"`
	More    int          `json:"more,omitempty"`
}

// HolderView is a holder of units: for how long it has held them, and which event releases
// them.
type HolderView struct {
	Units   int     `json:"units"`
	Job     string  `json:"job"`
	Task    int     `json:"task"` // -1 if the whole job holds the units
	Attempt uint64  `json:"attempt,omitempty"`
	Machine string  `json:"machine,omitempty"`
	ForS    float64 `json:"for_s"`
	Until   string  `json:"until"`
}
