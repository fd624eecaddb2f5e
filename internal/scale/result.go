package scale

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"brooklb/internal/dev"
	"brooklb/internal/sim"
)

// Mode says how a run was made.
type Mode string

// The modes.
const (
	Loopback  Mode = "loopback"  // processes on loopback sockets, in real time
	Simulated Mode = "simulated" // all in one process, in simulated time
)

// Role is the role of a controller.
type Role string

// The roles of controllers.
const (
	RoleLeader Role = "leader"
	RoleOther  Role = "other"
)

// Rates is the traffic of an interface per second.
type Rates struct {
	Messages       float64 `json:"messages_per_s"`
	ToController   float64 `json:"bytes_per_s_to_controller"`
	FromController float64 `json:"bytes_per_s_from_controller"`
}

// RoleResult is the resource usage per controller of a role.
type RoleResult struct {
	Role       Role                    `json:"role"`
	Processes  int                     `json:"processes"`
	CPU        float64                 `json:"cpu_cores_mean"`
	CPUMax     float64                 `json:"cpu_cores_most"`
	MemMB      float64                 `json:"mem_mb_mean"`
	MemPeakMB  float64                 `json:"mem_mb_peak"`
	Sockets    float64                 `json:"sockets_mean"`
	SocketsMax int                     `json:"sockets_most"`
	Interfaces map[dev.Interface]Rates `json:"interfaces"` // mean per process
}

// StateResult is the load on the state service.
type StateResult struct {
	Requests float64 `json:"requests_per_s"`
	Changes  float64 `json:"changes_per_s"`
	Refused  float64 `json:"refused_per_s"` // requests over its limits
	In       float64 `json:"bytes_per_s_in"`
	Out      float64 `json:"bytes_per_s_out"`
	Keys     int     `json:"keys"`
}

// WorkerResult is the cost of the control of one worker.
type WorkerResult struct {
	BytesPerS float64 `json:"bytes_per_s"`
	Reports   float64 `json:"reports_per_s"`
	Orders    float64 `json:"direct_orders_per_s"`
	// These are upper bounds, because one process runs the simulated workers and all other
	// stand-ins.
	CPUPercent float64 `json:"cpu_percent_of_a_core"`
	MemMB      float64 `json:"mem_mb"`
}

// ConfigResult describes how configuration changes came into force.
type ConfigResult struct {
	Changes   int     `json:"changes"`
	InForce   Latency `json:"in_force_at_the_last_controller"` // of the changes that were followed
	NotInTime int     `json:"not_in_force_in_time"`
	Missing   string  `json:"missing,omitempty"`
}

// Result is the result of a run.
type Result struct {
	Mode           Mode         `json:"mode"`
	Fraction       float64      `json:"fraction"`
	Seed           uint64       `json:"seed"`
	Profile        *Profile     `json:"profile"`
	Seconds        float64      `json:"measured_s"`
	AtStart        sim.Totals   `json:"at_start_of_measuring"`
	AtEnd          sim.Totals   `json:"at_end"`
	StartsPerS     []float64    `json:"starts_per_s_by_window"`
	StartsMean     float64      `json:"starts_per_s"`
	Urgent         Latency      `json:"urgent_start"`
	UrgentRuns     Latency      `json:"urgent_runs"`
	Batch          Latency      `json:"batch_start"`
	Gangs          Latency      `json:"gang_runs"`
	Accepted       Latency      `json:"accepted"`
	Config         ConfigResult `json:"config"`
	Roles          []RoleResult `json:"roles"`
	State          StateResult  `json:"state"`
	Worker         WorkerResult `json:"worker"`
	KilledByLeases int          `json:"tasks_killed_by_leases"`
	Faults         []string     `json:"troubles,omitempty"`
	BrokenRules    []string     `json:"rules_broken"`
	LeaderStayed   bool         `json:"leader_stayed"` // one controller led all the time
	// Resources that the run itself used.
	StandInsCPU   float64 `json:"stand_ins_cpu_cores"`
	StandInsLagMS float64 `json:"stand_ins_lag_p99_ms"`
	RunMemGB      float64 `json:"run_mem_gb_peak"`
	RunProcesses  int     `json:"run_processes"`
	WallSeconds   float64 `json:"wall_s"`
}

// missingConfig names the configuration that can't change while controllers run.
const missingConfig = "team limits and guarantees: missing, they are read when a controller starts"

// newResult returns a result with the values of the measurements; the caller adds the rest.
func newResult(mode Mode, p *Profile, fraction float64, seed uint64, m *measurements) *Result {
	r := &Result{Mode: mode, Fraction: fraction, Seed: seed, Profile: p, Seconds: p.Run.MeasureS, StartsPerS: m.startsPerS(),
		Urgent: m.urgent.latency(), UrgentRuns: m.urgentRuns.latency(), Batch: m.batch.latency(), Gangs: m.gangs.latency(), Accepted: m.accepted.latency(),
		Config: ConfigResult{m.changes, m.config.latency(), m.notInTime, missingConfig}, BrokenRules: slices.Clone(m.world.Violations), KilledByLeases: m.world.KilledByLease}
	n := 0
	for _, k := range m.windows {
		n += k
	}
	r.StartsMean = float64(n) / r.Seconds
	return r
}

// Save writes the result as JSON.
func (r *Result) Save(file string) error { return saveJSON(file, r) }

func saveJSON(file string, v any) error {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// loadJSON reads a file that saveJSON has written. ok reports whether it has the expected content.
func loadJSON[T any](file, kind string, ok func(*T) bool) (*T, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	var v T
	if err := json.Unmarshal(b, &v); err != nil || !ok(&v) {
		return nil, fmt.Errorf("%s: %s is damaged or of another kind", kind, file)
	}
	return &v, nil
}

// LoadResult reads a result that Save has written.
func LoadResult(file string) (*Result, error) {
	return loadJSON(file, "result of a run", func(r *Result) bool { return r.Profile != nil })
}

// row is a line of the table.
type row struct{ name, value, budget string }

// rows returns the lines of the table.
func (r *Result) rows() []row {
	b := &r.Profile.Budget
	rows := []row{
		{"workers up", fmt.Sprintf("%d, %d at the end", r.AtStart.Workers, r.AtEnd.Workers), fmt.Sprint(r.Profile.Cluster.Workers)},
		{"tasks running", fmt.Sprintf("%d, %d at the end", r.AtStart.Running, r.AtEnd.Running), fmt.Sprint(r.Profile.Load.RunningTasks)},
		{"starts a second", fmt.Sprintf("%.0f; by 10 s: %s", r.StartsMean, floats(r.StartsPerS)), fmt.Sprintf("%.0f asked for", r.Profile.Load.StartsPerS)},
		{"urgent, to the start", r.Urgent.String(), fmt.Sprintf("%.1f s", b.UrgentStartS)},
		{"urgent, to running", r.UrgentRuns.String(), ""},
		{"batch, to the start", r.Batch.String(), ""},
		{fmt.Sprintf("gangs of %d, to running", r.Profile.Load.GangTasks), r.Gangs.String(), ""},
		{"submissions, to acceptance", r.Accepted.String(), ""},
		{"configuration, in force at the last controller", fmt.Sprintf("counted resources: %s, not in time: %d; %s", r.Config.InForce, r.Config.NotInTime, r.Config.Missing), fmt.Sprintf("%.0f s", b.ConfigS)},
	}
	for _, x := range r.Roles {
		rows = append(rows, r.roleRow(x))
	}
	s := &r.State
	rows = append(rows,
		row{"state service", fmt.Sprintf("%.0f requests, %.0f changes, %.1f refused a second; %.0f KB/s in, %.0f KB/s out; %d keys", s.Requests, s.Changes, s.Refused, s.In/1000, s.Out/1000, s.Keys),
			fmt.Sprintf("%.0f requests, %.0f changes", r.Profile.State.RPS, r.Profile.State.WriteRPS)})
	if r.Mode == Loopback {
		w := &r.Worker
		rows = append(rows,
			row{"a worker's bytes", fmt.Sprintf("%.0f B/s (%.2f reports, %.2f direct orders a second)", w.BytesPerS, w.Reports, w.Orders), fmt.Sprintf("%.0f B/s", b.WorkerBytesPerS)},
			row{"a hollow worker, all stand-ins counted", fmt.Sprintf("%.2f%% of a core, %.2f MB", w.CPUPercent, w.MemMB), fmt.Sprintf("%.1f%%, %.0f MB", b.WorkerCPUPercent, b.WorkerMemMB)})
	}
	return append(rows,
		row{"tasks killed by leases", fmt.Sprint(r.KilledByLeases), ""},
		row{"troubles", cmp.Or(strings.Join(r.Faults, "; "), "none"), ""},
		row{"rules broken", fmt.Sprint(len(r.BrokenRules)), "0"},
		row{"the run itself", fmt.Sprintf("%.0f s, %d processes, %.1f GB; stand-ins %.2f cores, %.0f ms late (p99)", r.WallSeconds, r.RunProcesses, r.RunMemGB, r.StandInsCPU, r.StandInsLagMS),
			fmt.Sprintf("%d processes, %.0f GB", b.RunProcesses, b.RunMemGB)})
}

// roleRow returns the line of the controllers of a role.
func (r *Result) roleRow(x RoleResult) row {
	name := string(x.Role)
	if !r.LeaderStayed && x.Role == RoleLeader {
		name += " (at the end; it changed)"
	}
	value := fmt.Sprintf("%d: %.3f cores (most %.3f)", x.Processes, x.CPU, x.CPUMax)
	if r.Mode == Loopback {
		value += fmt.Sprintf(", %.0f MB (peak %.0f), %.0f sockets (most %d)", x.MemMB, x.MemPeakMB, x.Sockets, x.SocketsMax)
	}
	for _, i := range slices.Sorted(maps.Keys(x.Interfaces)) {
		f := x.Interfaces[i]
		value += fmt.Sprintf("; %s %.0f/s, %.1f + %.1f KB/s", i, f.Messages, f.ToController/1000, f.FromController/1000)
	}
	c := &r.Profile.Controller
	return row{"controller, " + name, value, fmt.Sprintf("%.2f cores, %.0f MB, %d sockets", c.CPUShare, c.MemMB, c.Sockets)}
}

// WriteTable writes the result as a text table.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s run at fraction %g, %.0f s measured after %.0f s\n\n", r.Mode, r.Fraction, r.Seconds, r.Profile.Run.SettleS)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, x := range r.rows() {
		fmt.Fprintf(t, "%s\t%s\t%s\n", x.name, x.value, x.budget)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, b := range r.BrokenRules[:min(len(r.BrokenRules), 20)] {
		fmt.Fprintln(w, "RULE BROKEN:", b)
	}
	return nil
}

func (l Latency) String() string {
	if l.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.2f, p99 %.2f, max %.2f s of %d", l.P50, l.P99, l.Max, l.Count)
}

func floats(xs []float64) string {
	var out []string
	for _, x := range xs {
		out = append(out, fmt.Sprintf("%.0f", x))
	}
	return strings.Join(out, " ")
}

func round(x float64, digits int) float64 {
	f := math.Pow10(digits)
	return math.Round(x*f) / f
}
