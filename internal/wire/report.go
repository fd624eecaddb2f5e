package wire

import (
	"fmt"
	"strconv"
	"strings"

	"brooklb/internal/model"

	"github.com/segmentio/encoding/json"
)

// ReportsTo returns the body that names the node to which workers send their reports. An
// empty label means that none is known.
func ReportsTo(label string) []byte {
	if label == "" {
		return []byte(`{}`)
	}
	return Encode(struct {
		ReportsTo string `json:"reports_to"`
	}{label})
}

// taskBody is a task in a worker's report. The protocol calls a task a shard and an attempt
// a launch.
type taskBody struct {
	Shard  string `json:"shard"`
	Launch uint64 `json:"launch"`
	Phase  string `json:"phase"`
	Cause  string `json:"cause"`
	Kept   bool   `json:"kept"`
}

// reportBody is a worker's report. The protocol calls the worker's session its tenure, the
// report's sequence number tick, the leader's token baton, and the time until a spot
// machine is taken away recall_s.
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

var causes = map[string]string{"done": model.CauseDone, "halted": model.CauseStopped, "peers": model.CausePeerLost,
	"incomplete": model.CauseGangIncomplete, "error": model.CauseError, "no_room": model.CauseNoRoom, "busy": model.CauseBusy,
	"unknown": model.CauseUnknown}

// SplitTask splits a task's name, such as "j-000412/3", into the job and the task's number.
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

// ReportHead decodes only the sender of a worker's report, its zone, and the highest token
// that the worker has seen. The host is "" if the report can't be decoded.
func ReportHead(b []byte) (host, zone string, token uint64) {
	var r struct {
		Host  string `json:"host"`
		Yard  string `json:"yard"`
		Baton uint64 `json:"baton"`
	}
	if json.Unmarshal(b, &r) != nil {
		return "", "", 0
	}
	return r.Host, r.Yard, r.Baton
}

// DecodeReport decodes a worker's report.
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
		m.InterruptionNotice, m.InterruptionNoticeS = true, *r.RecallS
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

// ReportAnswer returns the body of the 200 answer to a report.
func ReportAnswer(token uint64, orders []model.Order) []byte {
	b := append(make([]byte, 0, 64+80*len(orders)), `{"baton":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}

// Orders returns the body of a request that the leader sends to a worker.
func Orders(token, session uint64, orders []model.Order) []byte {
	b := append(make([]byte, 0, 64+80*len(orders)), `{"baton":`...)
	b = strconv.AppendUint(b, token, 10)
	b = append(b, `,"tenure":`...)
	b = strconv.AppendUint(b, session, 10)
	b = append(b, ',')
	b = appendOrders(b, orders)
	return append(b, '}')
}
