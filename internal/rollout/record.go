// Package rollout replaces the instances of a service with those of a new version,
// in steps that begin only while health checks pass. If they fail, it restores the
// last good version without a user's request. docs/rollouts.md explains the design.
package rollout

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"brooklb/internal/ledger"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/bits-and-blooms/bitset"
	"github.com/segmentio/encoding/json"
)

// Prefixes of the keys: each service has a record, and so has each roll-out that is over.
const (
	Prefix        = statestore.Prefix + "s/"
	HistoryPrefix = statestore.Prefix + "h/"
	recordFormat  = 1
)

// Version is the version of the roll-outs that this program carries out. From version 1 on, a
// roll-out may begin a service, without a running job that it replaces. A leader of a program without
// a version ends when it reads the record of such a roll-out.
const Version = 1

const (
	// MaxInstances is the largest number of instances of a service that is rolled
	// out: the sets of its wanted instances have to fit into its record.
	MaxInstances = 4096
	// MaxServices is the largest number of services with a record.
	MaxServices = 1000
	// maxHistory is how many ended roll-outs of a service are kept.
	maxHistory   = 20
	maxTextBytes = ledger.MaxReasonBytes // of a reason or a piece of evidence
	maxEvidence  = 6
)

// State of a roll-out.
type State string

// The states. Only a user's request ends Stuck.
const (
	Waiting     State = "waiting"   // for another service's roll-out to succeed
	Rolling     State = "rolling"   // a step's instances are being replaced
	Baking      State = "baking"    // the instances of the step are observed before the next one begins
	Watching    State = "watching"  // all instances are replaced and are observed
	RollingBack State = "returning" // the old version is being restored
	Stuck       State = "stuck"     // there is no working version to return to; nothing is changed
	Done        State = "done"
	RolledBack  State = "rolled back"
	Withdrawn   State = "withdrawn"
)

// Over reports whether the roll-out has ended.
func (s State) Over() bool { return s == Done || s == RolledBack || s == Withdrawn }

// Key is the key of a service's record.
func Key(name string) string { return Prefix + name }

// HistoryKey is the key of the n-th roll-out of a service, once it is over.
func HistoryKey(name string, n int) string { return fmt.Sprintf("%s%s/%d", HistoryPrefix, name, n) }

// instanceSet is a set of a version's instances. Its JSON form is the bits in
// base64. A Roaring bitmap takes two bytes for each member of a scattered set: every
// second one of 4096 instances would take 4 KiB, the size limit of a stored value.
type instanceSet struct{ bitset.BitSet }

func fullSet(n int) instanceSet {
	var s instanceSet
	for i := range n {
		s.Set(uint(i))
	}
	return s
}

func (s *instanceSet) has(i int) bool { return s.Test(uint(i)) }
func (s *instanceSet) size() int      { return int(s.Count()) }
func (s *instanceSet) add(is []int) {
	for _, i := range is {
		s.Set(uint(i))
	}
}

func (s *instanceSet) remove(is []int) {
	for _, i := range is {
		s.Clear(uint(i))
	}
}

func (s *instanceSet) clone() instanceSet { return instanceSet{*s.Clone()} }

// MarshalJSON implements json.Marshaler.
func (s instanceSet) MarshalJSON() ([]byte, error) {
	words := s.Words()
	for len(words) > 0 && words[len(words)-1] == 0 {
		words = words[:len(words)-1]
	}
	b := make([]byte, 0, 8*len(words))
	for _, w := range words {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(b))
}

// UnmarshalJSON implements json.Unmarshaler. The library's decoder is not used: it
// allocates as many bits as a corrupt value claims to have.
func (s *instanceSet) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("set of instances: %w", err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("set of instances: %w", err)
	}
	if len(raw)%8 != 0 || len(raw) > MaxInstances/8 {
		return fmt.Errorf("set of instances: %d bytes", len(raw))
	}
	words := make([]uint64, len(raw)/8)
	for i := range words {
		words[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
	s.BitSet = *bitset.From(words)
	return nil
}

// version is a version of the service: a job.
type version struct {
	Job    string       `json:"j"`
	Tasks  int          `json:"k"`
	Wanted instanceSet  `json:"on"` // the instances that are to run
	Health *wire.Health `json:"h,omitempty"`
}

// Record is the stored state of a service.
type Record struct {
	V       int            `json:"v"`
	Current *version       `json:"cur,omitempty"` // the last good version, nil until the first roll-out is done if that began the service
	New     *version       `json:"new,omitempty"` // the version that is being rolled out, nil if none is
	Ended   bool           `json:"end,omitempty"` // withdrawn
	Number  int            `json:"n"`             // of the newest roll-out
	Rollout *activeRollout `json:"r,omitempty"`
	Nonce   string         `json:"c,omitempty"` // makes each write unique
}

// activeRollout is the roll-out in progress.
type activeRollout struct {
	Plan      *wire.Rollout `json:"p"`
	State     State         `json:"s"`
	Paused    bool          `json:"z,omitempty"`
	Step      int           `json:"i"`  // from 0
	StartedMS int64         `json:"at"` // wall clock, in ms
	SinceMS   int64         `json:"t"`  // wall clock at the last change of state or step, or resumption, in ms
	// Zones are the zones of the old instances when a roll-out by zone began, in the
	// order of their replacement.
	Zones    []string `json:"zs,omitempty"`
	Ends     int      `json:"e,omitempty"` // how often new instances ended by themselves
	Why      string   `json:"w,omitempty"`
	Evidence []string `json:"ev,omitempty"`
}

// pastRollout is the record of a roll-out that is over.
type pastRollout struct {
	V         int      `json:"v"`
	Number    int      `json:"n"`
	From      string   `json:"f,omitempty"`
	To        string   `json:"j"`
	By        string   `json:"by,omitempty"`
	StartedMS int64    `json:"at"`
	EndMS     int64    `json:"end"`
	State     State    `json:"s"`
	Step      int      `json:"i"`
	Steps     int      `json:"of"`
	All       int      `json:"k"`
	Why       string   `json:"w,omitempty"`
	Evidence  []string `json:"ev,omitempty"`
}

func clip(s string) string {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	return s
}

// Decode decodes a service's record. A record that can't be decoded is an error and
// never counts as an absent service.
func Decode(name string, b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("record of service %s: %w", name, err)
	}
	if r.V != recordFormat {
		return nil, fmt.Errorf("record of service %s: format %d is not known here", name, r.V)
	}
	for _, v := range []*version{r.Current, r.New} {
		if v != nil && (v.Job == "" || v.Tasks < 1 || v.Tasks > MaxInstances || hasMemberFrom(&v.Wanted, v.Tasks)) {
			return nil, fmt.Errorf("record of service %s: version %q with %d instances", name, v.Job, v.Tasks)
		}
	}
	if (r.Rollout != nil) != (r.New != nil) || r.Rollout != nil && r.Rollout.Plan == nil {
		return nil, fmt.Errorf("record of service %s: a roll-out without a plan or a new version", name)
	}
	if r.Rollout != nil && r.Rollout.State == RollingBack && r.Current == nil {
		return nil, fmt.Errorf("record of service %s: a roll-out is rolled back without an earlier version", name)
	}
	return &r, nil
}

func hasMemberFrom(s *instanceSet, n int) bool {
	_, found := s.NextSet(uint(n))
	return found
}

// copy returns a copy whose versions, evidence and roll-out state can be changed
// while r is still in force.
func (r *Record) copy() *Record {
	c := *r
	for _, v := range []**version{&c.Current, &c.New} {
		if *v != nil {
			x := **v
			x.Wanted = x.Wanted.clone()
			*v = &x
		}
	}
	if c.Rollout != nil {
		x := *c.Rollout
		x.Evidence = append([]string(nil), x.Evidence...)
		c.Rollout = &x
	}
	return &c
}

func (r *Record) encode() []byte { return wire.Encode(r) }

// encodeWithin encodes the record. While it is larger than limit bytes, it leaves out evidence and
// then the reason.
func (r *Record) encodeWithin(limit int) []byte {
	if r.Rollout == nil {
		return r.encode()
	}
	return encodeWithin(limit, r, &r.Rollout.Evidence, &r.Rollout.Why)
}

func (p *pastRollout) encodeWithin(limit int) []byte {
	return encodeWithin(limit, p, &p.Evidence, &p.Why)
}

// encodeWithin encodes a record. While it is larger than limit bytes, it empties the record's
// evidence, the last piece first, and then its reason. A limit of 0 means none.
func encodeWithin(limit int, record any, evidence *[]string, why *string) []byte {
	for {
		b := wire.Encode(record)
		switch {
		case limit <= 0 || len(b) <= limit:
			return b
		case len(*evidence) > 0:
			*evidence = (*evidence)[:len(*evidence)-1]
		case *why != "":
			*why = ""
		default:
			return b
		}
	}
}

// largestBytes returns the size to which the record of a roll-out that begins may grow, with a
// reason and a piece of evidence. Further evidence is left out where there is no room.
func (r *Record) largestBytes(zones []string) int {
	largest := r.copy()
	for _, v := range []*version{largest.Current, largest.New} {
		if v != nil {
			v.Wanted = fullSet(v.Tasks)
		}
	}
	text := strings.Repeat("x", maxTextBytes)
	rollout := largest.Rollout
	rollout.State, rollout.Paused, rollout.Ends = RollingBack, true, math.MaxInt32
	rollout.Why, rollout.Evidence = text, []string{text}
	if rollout.Plan.ByZone {
		rollout.Zones, rollout.Step = zones, len(zones)
	}
	return len(largest.encode())
}

// id is the ID of the newest roll-out, for users and the log.
func (r *Record) id(name string) string { return fmt.Sprintf("%s/%d", name, r.Number) }

// history returns the record of the current roll-out, which ends now.
func (r *Record) history(state State, why string, atMS int64) *pastRollout {
	p := &pastRollout{V: recordFormat, Number: r.Number, To: r.New.Job, By: r.Rollout.Plan.By, StartedMS: r.Rollout.StartedMS, EndMS: atMS, State: state,
		Step: r.Rollout.Step + 1, Steps: r.steps(), All: r.New.Tasks, Why: clip(why), Evidence: r.Rollout.Evidence}
	if r.Current != nil {
		p.From = r.Current.Job
	}
	return p
}

func decodePast(key string, b []byte) (*pastRollout, error) {
	var p pastRollout
	if err := json.Unmarshal(b, &p); err != nil || p.V != recordFormat {
		return nil, fmt.Errorf("roll-out %s can't be read (format %d): %w", key, p.V, err)
	}
	return &p, nil
}

// steps returns how many steps the roll-out has.
func (r *Record) steps() int {
	if r.Rollout.Plan.ByZone {
		return max(1, len(r.Rollout.Zones))
	}
	return len(r.Rollout.Plan.Steps)
}

// view returns what users see of the roll-out in progress, nil if there is none.
func (r *Record) view(name string) *wire.RolloutView {
	if r.Rollout == nil {
		return nil
	}
	v := &wire.RolloutView{ID: r.id(name), To: r.New.Job, By: r.Rollout.Plan.By, AtMS: r.Rollout.StartedMS, State: string(r.Rollout.State), Paused: r.Rollout.Paused,
		Step: r.Rollout.Step + 1, Steps: r.steps(), New: r.New.Wanted.size(), All: r.New.Tasks, Why: r.Rollout.Why, Evidence: r.Rollout.Evidence}
	if r.Current != nil {
		v.From, v.Old = r.Current.Job, r.Current.Wanted.size()
	}
	return v
}

func (p *pastRollout) view(name string) wire.RolloutView {
	return wire.RolloutView{ID: fmt.Sprintf("%s/%d", name, p.Number), From: p.From, To: p.To, By: p.By, AtMS: p.StartedMS, EndMS: p.EndMS, State: string(p.State),
		Step: p.Step, Steps: p.Steps, All: p.All, Why: p.Why, Evidence: p.Evidence}
}

// Jobs returns the IDs of the versions' jobs.
func (r *Record) Jobs() (out []string) {
	for _, v := range []*version{r.Current, r.New} {
		if v != nil {
			out = append(out, v.Job)
		}
	}
	return out
}
