// Package rollout replaces the instances of a service by those of a new version,
// in steps that begin only while health checks pass, and brings the last good
// version back by itself where they fail. docs/rollouts.md says why it is built
// this way.
package rollout

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/bits-and-blooms/bitset"
	"github.com/segmentio/encoding/json"
)

// Keys: a record for each service, and one for each roll-out that is over.
const (
	Prefix        = statestore.Prefix + "s/"
	HistoryPrefix = statestore.Prefix + "h/"
	format        = 1
)

const (
	// MostInstances bounds a service that is rolled out: which of its instances are
	// wanted has to fit into its record.
	MostInstances = 4096
	// MostServices bounds the services that are remembered.
	MostServices = 1000
	// keepHistory is how many roll-outs of a service are remembered.
	keepHistory = 20
	mostText    = 200 // bytes of a reason or a piece of evidence
	mostProofs  = 6
)

// State of a roll-out.
type State string

// The states. Stuck is left by a user only.
const (
	Waiting   State = "waiting"   // for another service's roll-out
	Rolling   State = "rolling"   // a step's instances are being replaced
	Baking    State = "baking"    // the step is watched
	Watching  State = "watching"  // all is replaced, and watched
	Returning State = "returning" // the old version comes back
	Stuck     State = "stuck"     // neither version does; nothing is changed
	Done      State = "done"
	Returned  State = "rolled back"
	Withdrawn State = "withdrawn"
)

// Over reports whether nothing is done any more.
func (s State) Over() bool { return s == Done || s == Returned || s == Withdrawn }

// Key is the key of a service's record.
func Key(name string) string { return Prefix + name }

// HistoryKey is the key of the n-th roll-out of a service, once it is over.
func HistoryKey(name string, n int) string { return fmt.Sprintf("%s%s/%d", HistoryPrefix, name, n) }

// set is a set of a version's instances, in JSON the bits in base64. (A Roaring
// bitmap takes two bytes for each member of a small scattered set: 4 KiB for every
// other of 4096 instances, which is a whole value.)
type set struct{ bitset.BitSet }

func setOf(n int) set {
	var s set
	for i := range n {
		s.Set(uint(i))
	}
	return s
}

func (s *set) has(i int) bool { return s.Test(uint(i)) }
func (s *set) size() int      { return int(s.Count()) }
func (s *set) add(is []int) {
	for _, i := range is {
		s.Set(uint(i))
	}
}

func (s *set) remove(is []int) {
	for _, i := range is {
		s.Clear(uint(i))
	}
}

func (s *set) clone() set { return set{*s.Clone()} }

// MarshalJSON implements json.Marshaler.
func (s set) MarshalJSON() ([]byte, error) {
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

// UnmarshalJSON implements json.Unmarshaler. The library's own reader makes room
// for as many bits as a damaged value names.
func (s *set) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("set of instances: %w", err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("set of instances: %w", err)
	}
	if len(raw)%8 != 0 || len(raw) > MostInstances/8 {
		return fmt.Errorf("set of instances: %d bytes", len(raw))
	}
	words := make([]uint64, len(raw)/8)
	for i := range words {
		words[i] = binary.LittleEndian.Uint64(raw[8*i:])
	}
	s.BitSet = *bitset.From(words)
	return nil
}

// version is one job that is a version of the service.
type version struct {
	Job   string       `json:"j"`
	Tasks int          `json:"k"`
	On    set          `json:"on"` // the instances that are wanted
	Check *wire.Health `json:"h,omitempty"`
}

// Record is what the state service keeps of a service.
type Record struct {
	V      int      `json:"v"`
	Cur    *version `json:"cur,omitempty"` // the last good version
	New    *version `json:"new,omitempty"` // the one that is rolled out, nil if none is
	Ended  bool     `json:"end,omitempty"` // withdrawn
	N      int      `json:"n"`             // number of the newest roll-out
	Roll   *roll    `json:"r,omitempty"`
	Change string   `json:"c,omitempty"` // names the write
}

// roll is the roll-out under way.
type roll struct {
	Plan   *wire.Rollout `json:"p"`
	State  State         `json:"s"`
	Paused bool          `json:"z,omitempty"`
	Step   int           `json:"i"`  // from 0
	At     int64         `json:"at"` // ms of the time of day at its start
	Since  int64         `json:"t"`  // ms of the time of day at the last step forward
	// Zones are the old instances' when the roll-out began, where it goes by zone.
	Zones  []string `json:"zs,omitempty"`
	Ends   int      `json:"e,omitempty"` // new instances that ended by themselves
	Why    string   `json:"w,omitempty"`
	Proofs []string `json:"ev,omitempty"`
}

// past is a roll-out that is over.
type past struct {
	V      int      `json:"v"`
	N      int      `json:"n"`
	From   string   `json:"f,omitempty"`
	To     string   `json:"j"`
	By     string   `json:"by,omitempty"`
	At     int64    `json:"at"`
	EndAt  int64    `json:"end"`
	State  State    `json:"s"`
	Step   int      `json:"i"`
	Steps  int      `json:"of"`
	All    int      `json:"k"`
	Why    string   `json:"w,omitempty"`
	Proofs []string `json:"ev,omitempty"`
}

func clip(s string) string {
	if len(s) > mostText {
		s = s[:mostText]
	}
	return s
}

// Decode reads a service's record. One that can't be read is an error, never an
// absent service.
func Decode(name string, b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("record of service %s: %w", name, err)
	}
	if r.V != format {
		return nil, fmt.Errorf("record of service %s: format %d is not known here", name, r.V)
	}
	for _, v := range []*version{r.Cur, r.New} {
		if v != nil && (v.Job == "" || v.Tasks < 1 || v.Tasks > MostInstances || beyond(&v.On, v.Tasks)) {
			return nil, fmt.Errorf("record of service %s: version %q with %d instances", name, v.Job, v.Tasks)
		}
	}
	if (r.Roll != nil) != (r.New != nil) || r.Roll != nil && r.Roll.Plan == nil {
		return nil, fmt.Errorf("record of service %s: a roll-out without a plan or a new version", name)
	}
	return &r, nil
}

func beyond(s *set, n int) bool {
	_, found := s.NextSet(uint(n))
	return found
}

// copy is a record that can be changed while the old one is still in force.
func (r *Record) copy() *Record {
	c := *r
	for _, v := range []**version{&c.Cur, &c.New} {
		if *v != nil {
			x := **v
			x.On = x.On.clone()
			*v = &x
		}
	}
	if c.Roll != nil {
		x := *c.Roll
		x.Proofs = append([]string(nil), x.Proofs...)
		c.Roll = &x
	}
	return &c
}

func (r *Record) encode() []byte { return wire.Encode(r) }

// id names the newest roll-out to people and in the log.
func (r *Record) id(name string) string { return fmt.Sprintf("%s/%d", name, r.N) }

// history is the record of the roll-out that ends now.
func (r *Record) history(state State, why string, atMS int64) *past {
	p := &past{V: format, N: r.N, To: r.New.Job, By: r.Roll.Plan.By, At: r.Roll.At, EndAt: atMS, State: state,
		Step: r.Roll.Step + 1, Steps: r.steps(), All: r.New.Tasks, Why: clip(why), Proofs: r.Roll.Proofs}
	if r.Cur != nil {
		p.From = r.Cur.Job
	}
	return p
}

func decodePast(key string, b []byte) (*past, error) {
	var p past
	if err := json.Unmarshal(b, &p); err != nil || p.V != format {
		return nil, fmt.Errorf("roll-out %s can't be read (format %d): %w", key, p.V, err)
	}
	return &p, nil
}

// steps is how many steps the roll-out has.
func (r *Record) steps() int {
	if r.Roll.Plan.ByZone {
		return max(1, len(r.Roll.Zones))
	}
	return len(r.Roll.Plan.Steps)
}

// view shows the roll-out under way.
func (r *Record) view(name string) *wire.RolloutView {
	if r.Roll == nil {
		return nil
	}
	v := &wire.RolloutView{ID: r.id(name), To: r.New.Job, By: r.Roll.Plan.By, AtMS: r.Roll.At, State: string(r.Roll.State), Paused: r.Roll.Paused,
		Step: r.Roll.Step + 1, Steps: r.steps(), New: r.New.On.size(), All: r.New.Tasks, Why: r.Roll.Why, Evidence: r.Roll.Proofs}
	if r.Cur != nil {
		v.From, v.Old = r.Cur.Job, r.Cur.On.size()
	}
	return v
}

func (p *past) view(name string) wire.RolloutView {
	return wire.RolloutView{ID: fmt.Sprintf("%s/%d", name, p.N), From: p.From, To: p.To, By: p.By, AtMS: p.At, EndMS: p.EndAt, State: string(p.State),
		Step: p.Step, Steps: p.Steps, All: p.All, Why: p.Why, Evidence: p.Proofs}
}

// Jobs are the versions that the record names.
func (r *Record) Jobs() (out []string) {
	for _, v := range []*version{r.Cur, r.New} {
		if v != nil {
			out = append(out, v.Job)
		}
	}
	return out
}
