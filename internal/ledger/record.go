package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"brooklb/internal/model"
	"brooklb/internal/statestore"

	"github.com/segmentio/encoding/json"
)

// The layout of our keys: one record a job, and the states of its tasks in
// chunks, since values are small and arrays are long.
const (
	JobPrefix   = statestore.Prefix + "j/"
	ChunkPrefix = statestore.Prefix + "t/"
	// Format is the version of the records written. Version 1 had 48 tasks in
	// every chunk; it is read, too.
	Format = 2
	// ServiceFormat is the version of records of jobs that are versions of a
	// service. A program that knows no roll-outs must not take them for jobs whose
	// tasks are all to be started: it leaves them alone.
	ServiceFormat = 3
	// UnitsFormat is the version of records of jobs that ask for counted resources,
	// which programs that don't count must not start.
	UnitsFormat = 4
)

// Tasks in a chunk. A task's state rarely takes more than taskBytes: the number
// of the attempt and the name of a machine. Where names are longer, placements
// wait until there is room in the value (Ledger.flush).
const (
	oldChunkTasks = 48 // of records that don't say
	taskBytes     = 32
	chunkExtra    = 400 // what a chunk holds besides
)

// ChunkTasks is how many tasks a chunk holds where values have a limit.
func ChunkTasks(valueBytes int) int { return max(1, (valueBytes-chunkExtra)/taskBytes) }

// Final phases of a job record.
const (
	Open      = ""
	Done      = "done"
	Cancelled = "cancelled"
)

// JobKey is the key of a job's record.
func JobKey(id string) string { return JobPrefix + id }

// ChunkKey is the key of a chunk of a job's tasks.
func ChunkKey(id string, n int) string { return ChunkPrefix + id + "/" + strconv.Itoa(n) }

// JobRecord is what the state service keeps of a job.
type JobRecord struct {
	V     int         `json:"v"`
	Final string      `json:"f,omitempty"`
	At    int64       `json:"at"` // ms of the time of day at acceptance
	Nonce string      `json:"n,omitempty"`
	Why   string      `json:"w,omitempty"`
	Tasks int         `json:"k"`
	Chunk int         `json:"c,omitempty"` // tasks in a chunk
	Spec  *specRecord `json:"s,omitempty"`
	// Service is the name of the service that the job is a version of.
	Service string      `json:"svc,omitempty"`
	spec    *model.Spec `json:"-"`
}

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

// unitRecord is what a job asks of a counted resource.
type unitRecord struct {
	Name string `json:"n"`
	N    int    `json:"k"`
	Job  bool   `json:"j,omitempty"`
}

// NewRecord is the record of a job just accepted, its tasks in chunks of the
// given size.
func NewRecord(s *model.Spec, atMS int64, nonce string, chunk int) *JobRecord {
	var units []unitRecord
	v := Format
	for _, u := range s.Units {
		v = UnitsFormat
		units = append(units, unitRecord{u.Name, u.N, u.PerJob})
	}
	return &JobRecord{V: v, At: atMS, Nonce: nonce, Tasks: s.Tasks, Chunk: chunk, Spec: &specRecord{
		Class: s.Class, Team: s.Team, Kind: uint8(s.Kind), Prio: uint8(s.Priority),
		CPUs: s.Need.CPUs, GPUs: s.Need.GPUs, Mem: s.Need.MemGB, Image: s.Image, GB: s.ImageGB,
		Any: s.Types == nil, Types: s.Types, Zone: s.Zone, One: s.OneZone, Apart: s.Spread, Spot: s.Spot,
		Est: s.EstimateS, Ckpt: s.CheckpointS, Save: s.SaveS, Due: s.DeadlineS, Units: units}}
}

// OfService makes the job a version of a service.
func (r *JobRecord) OfService(name string) { r.V, r.Service = max(r.V, ServiceFormat), name }

// Encode makes the value of the record.
func (r *JobRecord) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic("ledger: " + err.Error())
	}
	return b
}

// DecodeRecord reads a job record. A record that can't be read is an error,
// never an absent job.
func DecodeRecord(id string, b []byte) (*JobRecord, error) {
	var r JobRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("job record %s: %w", id, err)
	}
	if r.V < 1 || r.V > UnitsFormat || r.V == ServiceFormat && r.Service == "" || r.V == UnitsFormat && r.Final == Open && (r.Spec == nil || len(r.Spec.Units) == 0) {
		return nil, fmt.Errorf("job record %s: format %d is not known here", id, r.V)
	}
	if r.Chunk == 0 {
		r.Chunk = oldChunkTasks
	}
	if r.Chunk < 1 || r.Tasks < 1 {
		return nil, fmt.Errorf("job record %s: %d tasks in chunks of %d", id, r.Tasks, r.Chunk)
	}
	if r.Final == Open && r.Spec == nil {
		return nil, fmt.Errorf("job record %s: no description", id)
	}
	if s := r.Spec; s != nil {
		r.spec = &model.Spec{ID: id, Class: s.Class, Team: s.Team, Kind: model.Kind(s.Kind), Priority: model.Priority(s.Prio),
			Tasks: r.Tasks, Need: model.Need{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.Mem}, Image: s.Image, ImageGB: s.GB,
			Types: s.Types, Zone: s.Zone, OneZone: s.One, Spread: s.Apart, Spot: s.Spot,
			EstimateS: s.Est, CheckpointS: s.Ckpt, SaveS: s.Save, DeadlineS: s.Due}
		for _, u := range s.Units {
			if u.N < 1 || u.Name == "" {
				return nil, fmt.Errorf("job record %s: %d units of %q", id, u.N, u.Name)
			}
			r.spec.Units = append(r.spec.Units, model.UnitAsk{Name: u.Name, N: u.N, PerJob: u.Job})
		}
		if !s.Any && s.Types == nil {
			r.spec.Types = []string{}
		}
	}
	return &r, nil
}

// JobSpec is the description, nil for a job that is over.
func (r *JobRecord) JobSpec() *model.Spec { return r.spec }

// Chunks is how many chunks the job's tasks take.
func (r *JobRecord) Chunks() int { return (r.Tasks + r.Chunk - 1) / r.Chunk }

type chunkRecord struct {
	V int    `json:"v"`
	T string `json:"t"`           // states of the tasks, see encodeTasks
	W string `json:"w,omitempty"` // why a task last stopped
}

// taskState is a task as recorded: done, or with the number of its last
// attempt and the machine it was given to.
type taskState struct {
	done    bool
	attempt uint64
	machine string
}

func (c *chunkRecord) states() ([]taskState, error) {
	words := strings.Fields(c.T)
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
	if c.V < 1 || c.V > Format {
		return nil, "", fmt.Errorf("chunk %s: format %d is not known here", key, c.V)
	}
	st, err := c.states()
	if err != nil {
		return nil, "", fmt.Errorf("chunk %s: %w", key, err)
	}
	return st, c.W, nil
}

// CountChunk tells for display how many tasks of a recorded chunk are done and
// how many have a machine.
func CountChunk(key string, b []byte) (done, placed int, why string, err error) {
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

// TaskPlace is where a recorded task is.
type TaskPlace struct {
	Done    bool
	Attempt uint64
	Machine string
}

// ChunkMachines tells where a recorded chunk's tasks are.
func ChunkMachines(key string, b []byte) ([]TaskPlace, error) {
	st, _, err := decodeChunk(key, b)
	out := make([]TaskPlace, len(st))
	for i, s := range st {
		out[i] = TaskPlace{s.done, s.attempt, s.machine}
	}
	return out, err
}
