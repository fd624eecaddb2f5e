package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// The layout of the stored keys: one record per job, and the states of its tasks in chunks,
// since the size of values is limited and arrays are long.
const (
	JobPrefix   = statestore.Prefix + "j/"
	ChunkPrefix = statestore.Prefix + "t/"
	// RecordFormat is the version of ordinary records. Version 1, which is still read, had 48
	// tasks in every chunk.
	RecordFormat = 2
	// ServiceFormat is the version of records of jobs that are versions of a service. Programs
	// without support for roll-outs must ignore them, and not start all their tasks.
	ServiceFormat = 3
	// UnitsFormat is the version of records of jobs that request counted resources. Programs
	// without support for these must not start them.
	UnitsFormat = 4
)

// Sizes for the number of tasks in a chunk. A task's state consists of an attempt number and a
// machine name, and rarely takes more than taskStateBytes. If names are longer, placements wait
// until the value has room (see Ledger.shrink).
const (
	format1TasksPerChunk = 48 // for records without a chunk size
	taskStateBytes       = 32
	chunkOverheadBytes   = 400 // the rest of a chunk's value
)

// TasksPerChunk returns how many tasks a chunk holds if values are limited to valueBytes.
func TasksPerChunk(valueBytes int) int { return max(1, (valueBytes-chunkOverheadBytes)/taskStateBytes) }

// Final phases of a job record.
const (
	Open      = ""
	Done      = "done"
	Cancelled = "cancelled"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// ChunkKey returns the key of a chunk of a job's tasks.
func ChunkKey(id string, n int) string { return ChunkPrefix + id + "/" + strconv.Itoa(n) }

// JobRecord is the stored record of a job.
type JobRecord struct {
	V              int         `json:"v"`
	Final          string      `json:"f,omitempty"`
	AcceptedUnixMS int64       `json:"at"` // time of acceptance, in ms since the Unix epoch
	Nonce          string      `json:"n,omitempty"`
	Why            string      `json:"w,omitempty"`
	Tasks          int         `json:"k"`
	TasksPerChunk  int         `json:"c,omitempty"`
	Spec           *specRecord `json:"s,omitempty"`
	// Service is the name of the service that the job is a version of.
	Service string      `json:"svc,omitempty"`
	spec    *model.Spec `json:"-"`
}

// specRecord is the stored form of a model.Spec. One stands for OneZone, Apart for Spread, Due
// for DeadlineS, and Any for no restriction of machine types.
type specRecord struct {
	Class string       `json:"c"`
	Team  string       `json:"t"`
	Kind  uint8        `json:"k"`
	Prio  uint8        `json:"p"`
	CPUs  float64      `json:"cp"`
	GPUs  float64      `json:"gp"`
	Mem   float64      `json:"mg"`
	Image string       `json:"i"`
	GB    float64      `json:"ig"`
	Any   bool         `json:"any,omitempty"`
	Types []string     `json:"ty,omitempty"`
	Zone  string       `json:"z,omitempty"`
	One   bool         `json:"o,omitempty"`
	Apart bool         `json:"ap,omitempty"`
	Spot  bool         `json:"sp,omitempty"`
	Est   float64      `json:"e,omitempty"`
	Ckpt  float64      `json:"ck,omitempty"`
	Save  float64      `json:"sv,omitempty"`
	Due   float64      `json:"du,omitempty"`
	Units []unitRecord `json:"u,omitempty"`
}

// unitRecord is the stored request of a job for a counted resource.
type unitRecord struct {
	Name     string `json:"n"`
	Quantity int    `json:"k"`
	Job      bool   `json:"j,omitempty"`
}

// NewRecord returns the record of a job that was just accepted.
func NewRecord(s *model.Spec, atMS int64, nonce string, tasksPerChunk int) *JobRecord {
	var units []unitRecord
	v := RecordFormat
	for _, u := range s.Units {
		v = UnitsFormat
		units = append(units, unitRecord{u.Name, u.Quantity, u.PerJob})
	}
	return &JobRecord{V: v, AcceptedUnixMS: atMS, Nonce: nonce, Tasks: s.Tasks, TasksPerChunk: tasksPerChunk, Spec: &specRecord{
		Class: s.Class, Team: s.Team, Kind: uint8(s.Kind), Prio: uint8(s.Priority),
		CPUs: s.Resources.CPUs, GPUs: s.Resources.GPUs, Mem: s.Resources.MemGB, Image: s.Image, GB: s.ImageGB,
		Any: s.Types == nil, Types: s.Types, Zone: s.Zone, One: s.OneZone, Apart: s.Spread, Spot: s.Spot,
		Est: s.EstimateS, Ckpt: s.CheckpointS, Save: s.SaveS, Due: s.DeadlineS, Units: units}}
}

// MaxReasonBytes is the largest size of the reason in the record of a cancelled job.
const MaxReasonBytes = 200

// ReasonUser is the reason in the record of a job that its user cancelled.
const ReasonUser = "cancelled by its user"

// Cancel makes the record that of a cancelled job. If it doesn't fit a value of limit bytes, parts
// are left out that nothing reads of a cancelled job, and the reason as the last one. What counts
// against limits until the tasks are gone stays.
func (r *JobRecord) Cancel(why string, limit int) {
	r.Final, r.Why = Cancelled, why
	for _, leaveOut := range []func(){
		func() { r.Spec.Any, r.Spec.Types = true, nil },
		func() { r.Spec.Image = "" },
		func() { r.Nonce = "" },
		func() { r.Why = "" },
	} {
		if limit <= 0 || len(r.Encode()) <= limit {
			return
		}
		leaveOut()
	}
}

// LargestBytes returns the size to which the record may grow: its job may be cancelled, and a
// service's may before become a version of a service that a roll-out ends with a reason of its own.
func (r *JobRecord) LargestBytes() int {
	largest := *r
	largest.Final, largest.Why = Cancelled, ReasonUser
	if model.Kind(r.Spec.Kind) == model.Service {
		largest.SetService(strings.Repeat("x", wire.MaxServiceName))
		largest.Why = strings.Repeat("x", MaxReasonBytes)
	}
	return len(largest.Encode())
}

// SetService makes the job a version of a service.
func (r *JobRecord) SetService(name string) { r.V, r.Service = max(r.V, ServiceFormat), name }

// Encode returns the stored form of the record.
func (r *JobRecord) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("ledger: " + err.Error())
	}
	return b
}

// DecodeRecord decodes a job record. A record that can't be read is an error and must not be
// treated as an absent job.
func DecodeRecord(id string, b []byte) (*JobRecord, error) {
	var r JobRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("job record %s: %w", id, err)
	}
	if r.V < 1 || r.V > UnitsFormat || r.V == ServiceFormat && r.Service == "" || r.V == UnitsFormat && r.Final == Open && (r.Spec == nil || len(r.Spec.Units) == 0) {
		return nil, fmt.Errorf("job record %s: format %d is not known here", id, r.V)
	}
	if r.TasksPerChunk == 0 {
		r.TasksPerChunk = format1TasksPerChunk
	}
	if r.TasksPerChunk < 1 || r.Tasks < 1 {
		return nil, fmt.Errorf("job record %s: %d tasks in chunks of %d", id, r.Tasks, r.TasksPerChunk)
	}
	if r.Final == Open && r.Spec == nil {
		return nil, fmt.Errorf("job record %s: no description", id)
	}
	if s := r.Spec; s != nil {
		r.spec = &model.Spec{ID: id, Class: s.Class, Team: s.Team, Kind: model.Kind(s.Kind), Priority: model.Priority(s.Prio),
			Tasks: r.Tasks, Resources: model.Resources{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.Mem}, Image: s.Image, ImageGB: s.GB,
			Types: s.Types, Zone: s.Zone, OneZone: s.One, Spread: s.Apart, Spot: s.Spot,
			EstimateS: s.Est, CheckpointS: s.Ckpt, SaveS: s.Save, DeadlineS: s.Due}
		for _, u := range s.Units {
			if u.Quantity < 1 || u.Name == "" {
				return nil, fmt.Errorf("job record %s: %d units of %q", id, u.Quantity, u.Name)
			}
			r.spec.Units = append(r.spec.Units, model.UnitRequest{Name: u.Name, Quantity: u.Quantity, PerJob: u.Job})
		}
		if !s.Any && s.Types == nil {
			r.spec.Types = []string{}
		}
	}
	return &r, nil
}

// JobSpec returns the job's description. It is nil if the record has none, as for a completed
// job.
func (r *JobRecord) JobSpec() *model.Spec { return r.spec }

// Chunks returns the number of chunks that hold the job's tasks.
func (r *JobRecord) Chunks() int { return (r.Tasks + r.TasksPerChunk - 1) / r.TasksPerChunk }

type chunkRecord struct {
	V          int    `json:"v"`
	TaskStates string `json:"t"`           // states of the tasks, see Ledger.encodeChunk
	Why        string `json:"w,omitempty"` // why a task last stopped
}

// taskState is the recorded state of a task: done, or the number of its last attempt and, while
// it is placed, its machine.
type taskState struct {
	done    bool
	attempt uint64
	machine string
}

func (c *chunkRecord) parseTaskStates() ([]taskState, error) {
	words := strings.Fields(c.TaskStates)
	out := make([]taskState, 0, len(words))
	for _, w := range words {
		if w == "d" {
			out = append(out, taskState{done: true})
			continue
		}
		num, machine, _ := strings.Cut(w, "@")
		n, err := strconv.ParseUint(num, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("task state %q", w)
		}
		out = append(out, taskState{attempt: n, machine: machine})
	}
	return out, nil
}

func decodeChunk(key string, b []byte) ([]taskState, string, error) {
	var c chunkRecord
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, "", fmt.Errorf("chunk %s: %w", key, err)
	}
	if c.V < 1 || c.V > RecordFormat {
		return nil, "", fmt.Errorf("chunk %s: format %d is not known here", key, c.V)
	}
	st, err := c.parseTaskStates()
	if err != nil {
		return nil, "", fmt.Errorf("chunk %s: %w", key, err)
	}
	return st, c.Why, nil
}

// CountChunkTasks returns, for display, how many tasks of a recorded chunk are done and how many
// have a machine.
func CountChunkTasks(key string, b []byte) (done, placed int, why string, err error) {
	st, why, err := decodeChunk(key, b)
	for _, s := range st {
		if s.done {
			done++
		} else if s.machine != "" {
			placed++
		}
	}
	return done, placed, why, err
}

// RecordedTask is the recorded state of a task, with its machine if it is placed.
type RecordedTask struct {
	Done    bool
	Attempt uint64
	Machine string
}

// DecodeChunkTasks returns the states of a recorded chunk's tasks.
func DecodeChunkTasks(key string, b []byte) ([]RecordedTask, error) {
	st, _, err := decodeChunk(key, b)
	out := make([]RecordedTask, len(st))
	for i, s := range st {
		out[i] = RecordedTask{s.done, s.attempt, s.machine}
	}
	return out, err
}
