// Package wire is the one place that knows the words the deployments use on
// the network. Everything else speaks the field's terms of package model.
package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"brooklb/internal/model"

	"github.com/segmentio/encoding/json"
)

// Paths of the interfaces.
const (
	PathJobs         = "/v2/runs"
	PathWithdraw     = "withdraw"
	PathHealth       = "/healthz"
	PathReport       = "/hello"
	PathOverview     = "/overview" // ours, read-only
	PathOrders       = "/orders"
	PathStatus       = "/status"
	PathMachineTypes = "/machine_types"
	PathMachines     = "/hosts"
	PathReturn       = "/hosts/return"
	PathKeys         = "/keys"
	PathCommit       = "/commit"
	PathGrants       = "/grants"
	PathChanges      = "/changes"
	jobPrefix        = "j-"
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100000

// States of jobs as users read them.
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

// No amount of the interfaces comes near this; what does is malformed.
const maxAmount = 1e9

// DecodeJob reads a submission. The error is for the user.
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
	amount("cpus", j.CPUs, &s.Need.CPUs)
	amount("gpus", j.GPUs, &s.Need.GPUs)
	amount("memory_gb", j.MemoryGB, &s.Need.MemGB)
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
		s.Units, err = decodeAsks(j.Units)
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

func clip(s string) string {
	if len(s) > 120 {
		s = s[:120]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r > '~' {
			return '.'
		}
		return r
	}, s)
}

// JobState is what a user is told.
type JobState struct {
	Ref     string `json:"ref"`
	Phase   string `json:"phase"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Why     string `json:"why,omitempty"`
}

// Encode makes JSON of a value whose types are known to be encodable.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("wire: " + err.Error()) // a type of ours that JSON cannot hold
	}
	return b
}

// Error is the body of a refusal.
func Error(text string) []byte {
	return Encode(struct {
		Error string `json:"error"`
	}{text})
}

// ReportsTo names the node that handles reports.
func ReportsTo(label string) []byte {
	if label == "" {
		return []byte(`{}`)
	}
	return Encode(struct {
		ReportsTo string `json:"reports_to"`
	}{label})
}

type taskBody struct {
	Shard  string `json:"shard"`
	Launch uint64 `json:"launch"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause"`
	Kept   bool   `json:"kept"`
}

type reportBody struct {
	Host    string     `json:"host"`
	Address string     `json:"address"`
	Hull    string     `json:"hull"`
	Yard    string     `json:"yard"`
	Loaners bool       `json:"loaners"`
	Tenure  uint64     `json:"tenure"`
	Tick    uint64     `json:"tick"`
	Baton   uint64     `json:"baton"`
	RecallS *float64   `json:"recall_s"`
	Shards  []taskBody `json:"shards"`
}

var phases = map[string]model.Phase{"pulling": model.Fetching, "waiting": model.Waiting, "running": model.Running,
	"flushing": model.Saving, "ended": model.Exited}
var causes = map[string]string{"done": model.CauseDone, "halted": model.CauseStopped, "peers": model.CausePeers,
	"incomplete": model.CauseAlone, "error": model.CauseError, "no_room": model.CauseNoRoom, "busy": model.CauseBusy,
	"unknown": model.CauseUnknown}

// SplitTask splits "j-000412/3".
func SplitTask(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 || !ValidJobID(s[:i]) {
		return "", 0, false
	}
	n, err := strconv.ParseUint(s[i+1:], 10, 31)
	if err != nil || n >= MaxTasks {
		return "", 0, false
	}
	return s[:i], int(n), true
}

// ReportHead reads only who sent a worker's report and the highest token it has
// seen; "" if it can't be read.
func ReportHead(b []byte) (host string, token uint64) {
	var r struct {
		Host  string `json:"host"`
		Baton uint64 `json:"baton"`
	}
	if json.Unmarshal(b, &r) != nil {
		return "", 0
	}
	return r.Host, r.Baton
}

// DecodeReport reads a worker's report.
func DecodeReport(b []byte) (*model.Report, error) {
	var r reportBody
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("report: %s", clip(err.Error()))
	}
	if r.Host == "" || strings.ContainsAny(r.Host, " @!/\"\\") || len(r.Host) > 100 || r.Hull == "" || r.Tenure == 0 {
		return nil, fmt.Errorf("report: host, hull or tenure is missing")
	}
	m := &model.Report{Machine: r.Host, Addr: r.Address, Type: r.Hull, Zone: r.Yard, Spot: r.Loaners,
		Session: r.Tenure, Seq: r.Tick, Token: r.Baton}
	if r.RecallS != nil {
		m.Notice, m.NoticeS = true, *r.RecallS
	}
	m.Tasks = make([]model.TaskReport, 0, len(r.Shards))
	for _, t := range r.Shards {
		job, n, ok := SplitTask(t.Shard)
		ph, ok2 := phases[t.Phase]
		if !ok || !ok2 {
			return nil, fmt.Errorf("report: task %q in phase %q is unknown", clip(t.Shard), clip(t.Phase))
		}
		tr := model.TaskReport{Job: job, Task: n, Attempt: t.Launch, Phase: ph, Saved: t.Kept}
		if ph == model.Exited {
			if tr.Cause, ok = causes[t.Cause]; !ok {
				tr.Cause = "exited: " + clip(t.Cause)
			}
		}
		m.Tasks = append(m.Tasks, tr)
	}
	return m, nil
}

var verbs = [...]string{"start", "halt", "reap"}

func appendOrders(b []byte, orders []model.Order) []byte {
	b = append(b, `"orders":[`...)
	for i, o := range orders {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"verb":"`...)
		b = append(b, verbs[o.Op]...)
		b = append(b, `","shard":"`...)
		b = append(b, o.Job...)
		b = append(b, '/')
		b = strconv.AppendInt(b, int64(o.Task), 10)
		b = append(b, `","launch":`...)
		b = strconv.AppendUint(b, o.Attempt, 10)
		if o.Op == model.Stop {
			b = append(b, `,"wind_down_s":`...)
			b = strconv.AppendFloat(b, o.GraceS, 'f', -1, 64)
		}
		b = append(b, '}')
	}
	return append(b, ']')
}

// ReportAnswer is the 200 to a report.
func ReportAnswer(token uint64, orders []model.Order) []byte {
	b := append(make([]byte, 0, 64+80*len(orders)), `{"baton":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}

// Orders is the body of a direct command.
func Orders(token, session uint64, orders []model.Order) []byte {
	b := append(make([]byte, 0, 64+80*len(orders)), `{"baton":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, `,"tenure":`...)
	b = strconv.AppendUint(b, session, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}

// DecodeMachineTypes reads the cloud's machine types.
func DecodeMachineTypes(b []byte) ([]model.MachineType, error) {
	var r struct {
		Hulls []struct {
			SKU      string   `json:"sku"`
			CPUs     float64  `json:"cpus"`
			GPUs     float64  `json:"gpus"`
			MemoryGB float64  `json:"memory_gb"`
			LocalGB  float64  `json:"local_gb"`
			Fetch    float64  `json:"fetch_gb_per_s"`
			Hourly   float64  `json:"hourly"`
			LowPrice float64  `json:"low_price"`
			ReadyS   float64  `json:"ready_s"`
			Yards    []string `json:"yards"`
		} `json:"hulls"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("machine types: %s", clip(err.Error()))
	}
	if len(r.Hulls) == 0 {
		return nil, fmt.Errorf("machine types: none")
	}
	var out []model.MachineType
	for _, h := range r.Hulls {
		if h.SKU == "" {
			return nil, fmt.Errorf("machine types: one has no name")
		}
		out = append(out, model.MachineType{Name: h.SKU, Cap: model.Need{CPUs: h.CPUs, GPUs: h.GPUs, MemGB: h.MemoryGB},
			CacheGB: h.LocalGB, FetchGBs: h.Fetch, Price: h.Hourly, SpotCost: h.LowPrice, BootS: h.ReadyS, Zones: h.Yards})
	}
	return out, nil
}

// Rent is the body of a rental request.
func Rent(charter, typ, zone string, spot bool, count int) []byte {
	return Encode(struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}{charter, typ, zone, spot, count})
}

// DecodeRented reads the names of rented machines.
func DecodeRented(b []byte) ([]string, error) {
	var r struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("rental: %s", clip(err.Error()))
	}
	return r.Hosts, nil
}

// Return is the body of a request to return machines.
func Return(names []string) []byte {
	return Encode(struct {
		Hosts []string `json:"hosts"`
	}{names})
}

var machineStates = map[string]string{"starting": "booting", "running": "running", "failed": "failed"}

// DecodeMachines reads one page of the machine list.
func DecodeMachines(b []byte) ([]model.Listed, bool, error) {
	var r struct {
		Hosts *[]struct {
			Ref     string  `json:"ref"`
			Address string  `json:"address"`
			Hull    string  `json:"hull"`
			Yard    string  `json:"yard"`
			Loaners bool    `json:"loaners"`
			Phase   string  `json:"phase"`
			HeldS   float64 `json:"held_s"`
		} `json:"hosts"`
		HasNext bool `json:"has_next"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, false, fmt.Errorf("machine list: %s", clip(err.Error()))
	}
	if r.Hosts == nil {
		return nil, false, fmt.Errorf("machine list: no hosts in %q", clip(string(b)))
	}
	out := make([]model.Listed, 0, len(*r.Hosts))
	for _, h := range *r.Hosts {
		if h.Ref == "" || strings.ContainsAny(h.Ref, " @!/\"\\") {
			return nil, false, fmt.Errorf("machine list: bad name %q", clip(h.Ref))
		}
		st, ok := machineStates[h.Phase]
		if !ok {
			return nil, false, fmt.Errorf("machine list: %s is %q", h.Ref, clip(h.Phase))
		}
		out = append(out, model.Listed{Name: h.Ref, Addr: h.Address, Type: h.Hull, Zone: h.Yard, Spot: h.Loaners, State: st, AgeS: h.HeldS})
	}
	return out, r.HasNext, nil
}

// Cond is a condition of a transaction: the key has this version (0: absent).
type Cond struct {
	Path  string `json:"path"`
	Stamp uint64 `json:"stamp"`
}

// Change is a put or a delete.
type Change struct {
	Write  string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction of the state service.
type Txn struct {
	When  []Cond   `json:"when"`
	Apply []Change `json:"apply,omitempty"`
}

// Item is a key with its value.
type Item struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}

// Page is the answer to a range read.
type Page struct {
	Items   []Item `json:"items"`
	HasNext bool   `json:"has_next"`
	Epoch   uint64 `json:"epoch"`
}

// Event is a change in a watch.
type Event struct {
	Write  string          `json:"write"`
	Value  json.RawMessage `json:"value"`
	Stamp  uint64          `json:"stamp"`
	Delete string          `json:"delete"`
}

// News is the answer of a watch.
type News struct {
	Epoch uint64  `json:"epoch"`
	News  []Event `json:"news"`
}

// Outcome is the answer to a transaction.
type Outcome struct {
	Epoch  uint64
	Failed []string
}

// The decoders of the state service's answers insist on the fields that the
// protocol promises. An answer such as null would otherwise read as a page
// without keys, or as a confirmation, and everything known would be dropped.

// Decode reads a value of ours.
func Decode(b []byte, v any) error { return json.Unmarshal(b, v) }

// DecodePage reads the answer to a range read.
func DecodePage(b []byte) (Page, error) {
	var r struct {
		Items   *[]Item `json:"items"`
		HasNext bool    `json:"has_next"`
		Epoch   *uint64 `json:"epoch"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Page{}, fmt.Errorf("page: %s", clip(err.Error()))
	}
	if r.Items == nil || r.Epoch == nil {
		return Page{}, fmt.Errorf("page: no items or epoch in %q", clip(string(b)))
	}
	for _, it := range *r.Items {
		if it.Path == "" || it.Stamp == 0 {
			return Page{}, fmt.Errorf("page: an item without path or stamp")
		}
	}
	return Page{*r.Items, r.HasNext, *r.Epoch}, nil
}

// DecodeNews reads the answer of a watch.
func DecodeNews(b []byte) (News, error) {
	var r struct {
		Epoch *uint64  `json:"epoch"`
		News  *[]Event `json:"news"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return News{}, fmt.Errorf("watch: %s", clip(err.Error()))
	}
	if r.Epoch == nil || r.News == nil {
		return News{}, fmt.Errorf("watch: no epoch or news in %q", clip(string(b)))
	}
	for _, e := range *r.News {
		if (e.Write == "") == (e.Delete == "") || e.Stamp == 0 {
			return News{}, fmt.Errorf("watch: an event that is neither a write nor a delete, or has no stamp")
		}
	}
	return News{*r.Epoch, *r.News}, nil
}

// DecodeOutcome reads the answer to a transaction; conflict says that it was a
// refusal, which names the keys that failed.
func DecodeOutcome(b []byte, conflict bool) (Outcome, error) {
	var r struct {
		Epoch  *uint64  `json:"epoch"`
		Failed []string `json:"failed"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Outcome{}, fmt.Errorf("transaction: %s", clip(err.Error()))
	}
	if r.Epoch == nil || conflict != (len(r.Failed) > 0) {
		return Outcome{}, fmt.Errorf("transaction: unexpected answer %q", clip(string(b)))
	}
	return Outcome{*r.Epoch, r.Failed}, nil
}

// DecodeItem reads the answer to a read of the key.
func DecodeItem(b []byte, key string) (Item, error) {
	var it Item
	if err := json.Unmarshal(b, &it); err != nil {
		return it, fmt.Errorf("key %s: %s", key, clip(err.Error()))
	}
	if it.Path != key || it.Stamp == 0 || len(it.Value) == 0 {
		return it, fmt.Errorf("key %s: unexpected answer %q", key, clip(string(b)))
	}
	return it, nil
}

// IsAbsent reports whether the body of a 404 to a read says that the key does
// not exist.
func IsAbsent(b []byte) bool {
	var r struct {
		Epoch *uint64 `json:"epoch"`
	}
	return json.Unmarshal(b, &r) == nil && r.Epoch != nil
}

// TTL is the body of a request for a lease.
func TTL(ms int) []byte { return []byte(`{"ttl_ms":` + strconv.Itoa(ms) + `}`) }

// DecodeGrant reads the lease from the answer.
func DecodeGrant(b []byte) (uint64, error) {
	var r struct {
		Permit uint64 `json:"permit"`
	}
	if err := json.Unmarshal(b, &r); err != nil || r.Permit == 0 {
		return 0, fmt.Errorf("lease: no permit in %q", clip(string(b)))
	}
	return r.Permit, nil
}
