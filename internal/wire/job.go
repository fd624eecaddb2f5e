package wire

import (
	"bytes"
	"fmt"
	"math"

	"brooklb/internal/model"

	"github.com/segmentio/encoding/json"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100000

// States of a job in answers to users.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool {
	if len(id) <= len(jobPrefix) || len(id) > 64 || id[:len(jobPrefix)] != jobPrefix {
		return false
	}
	for i := len(jobPrefix); i < len(id); i++ {
		if id[i] < '0' || id[i] > '9' {
			return false
		}
	}
	return true
}

// jobBody is a submission. In the protocol a lane is a class, a crew is a team, a shape is
// a kind of job, a shard is a task, a bundle is an image and loaners are spot machines.
type jobBody struct {
	Ref       *string   `json:"ref"`
	Lane      *string   `json:"lane"`
	Crew      *string   `json:"crew"`
	Shape     *string   `json:"shape"`
	Urgency   *string   `json:"urgency"`
	Shards    *int64    `json:"shards"`
	CPUs      *float64  `json:"cpus"`
	GPUs      *float64  `json:"gpus"`
	MemoryGB  *float64  `json:"memory_gb"`
	Bundle    *string   `json:"bundle"`
	SizeGB    *float64  `json:"size_gb"`
	Hulls     *[]string `json:"hulls"`
	Yard      *string   `json:"yard"`
	SamePlace *bool     `json:"same_place"`
	Apart     *bool     `json:"apart"`
	Loaners   *bool     `json:"loaners"`
	ExpectS   *float64  `json:"expect_s"`
	SnapshotS *float64  `json:"snapshot_s"`
	StowS     *float64  `json:"stow_s"`
	DueS      *float64  `json:"due_s"`
	Units     []unitAsk `json:"units"`
}

var kinds = map[string]model.Kind{"sweep": model.Array, "ensemble": model.Gang, "standing": model.Service}

var priorities = map[string]model.Priority{"critical": model.Production, "high": model.High, "standard": model.Normal, "idle": model.Low}

// maxAmount bounds CPUs, GPUs, gigabytes and seconds. No real amount comes near it; larger
// values are malformed.
const maxAmount = 1e9

// DecodeJob decodes and validates a submission. The error text is sent to the user.
func DecodeJob(b []byte) (*model.Spec, error) {
	t := bytes.TrimLeft(b, " \t\r\n")
	if len(t) == 0 || t[0] != '{' {
		return nil, fmt.Errorf("not a JSON object")
	}
	if !json.Valid(b) {
		return nil, fmt.Errorf("not JSON")
	}
	var j jobBody
	if err := json.Unmarshal(b, &j); err != nil {
		return nil, fmt.Errorf("malformed: %s", clip(err.Error()))
	}
	s := &model.Spec{}
	var err error
	text := func(name string, p *string, to *string) {
		if err == nil && (p == nil || *p == "" || len(*p) > 200) {
			err = fmt.Errorf("field %s is missing or invalid", name)
		} else if err == nil {
			*to = *p
		}
	}
	amount := func(name string, p *float64, to *float64) {
		if err == nil && (p == nil || !(*p >= 0) || *p > maxAmount || math.IsNaN(*p)) {
			err = fmt.Errorf("field %s is missing or invalid", name)
		} else if err == nil {
			*to = *p
		}
	}
	flag := func(name string, p *bool, to *bool) {
		if err == nil && p == nil {
			err = fmt.Errorf("field %s is missing or invalid", name)
		} else if err == nil {
			*to = *p
		}
	}
	var kind, prio string
	text("ref", j.Ref, &s.ID)
	if err == nil && !ValidJobID(s.ID) {
		err = fmt.Errorf("field ref is not of the form %s000412", jobPrefix)
	}
	text("lane", j.Lane, &s.Class)
	text("crew", j.Crew, &s.Team)
	text("shape", j.Shape, &kind)
	text("urgency", j.Urgency, &prio)
	if err == nil {
		var ok bool
		if s.Kind, ok = kinds[kind]; !ok {
			err = fmt.Errorf("field shape is invalid")
		} else if s.Priority, ok = priorities[prio]; !ok {
			err = fmt.Errorf("field urgency is invalid")
		}
	}
	if err == nil && (j.Shards == nil || *j.Shards < 1 || *j.Shards > MaxTasks) {
		err = fmt.Errorf("field shards is missing or invalid")
	} else if err == nil {
		s.Tasks = int(*j.Shards)
	}
	amount("cpus", j.CPUs, &s.Resources.CPUs)
	amount("gpus", j.GPUs, &s.Resources.GPUs)
	amount("memory_gb", j.MemoryGB, &s.Resources.MemGB)
	text("bundle", j.Bundle, &s.Image)
	amount("size_gb", j.SizeGB, &s.ImageGB)
	if err == nil && j.Hulls != nil {
		s.Types = *j.Hulls
		if s.Types == nil {
			s.Types = []string{}
		}
		for _, h := range s.Types {
			if h == "" || len(h) > 200 {
				err = fmt.Errorf("field hulls is invalid")
			}
		}
	}
	if err == nil && j.Yard != nil {
		text("yard", j.Yard, &s.Zone)
	}
	flag("same_place", j.SamePlace, &s.OneZone)
	flag("apart", j.Apart, &s.Spread)
	flag("loaners", j.Loaners, &s.Spot)
	amount("expect_s", j.ExpectS, &s.EstimateS)
	amount("snapshot_s", j.SnapshotS, &s.CheckpointS)
	amount("stow_s", j.StowS, &s.SaveS)
	if err == nil && j.DueS != nil {
		amount("due_s", j.DueS, &s.DeadlineS)
	}
	if err == nil {
		s.Units, err = decodeUnitAsks(j.Units)
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// JobState is the answer to a user's request for the state of a job.
type JobState struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Why     string `json:"why,omitempty"`
}
