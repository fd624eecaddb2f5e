package scale

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
)

// UpdatePage replaces the text between these lines by a table made from the output of runs, so
// that no figure is typed by hand.
const (
	beginMark = "<!-- generated: %s -->"
	endMark   = "<!-- end -->"
)

// NamedResult is the result of a run with the name that tables show.
type NamedResult struct {
	Name   string
	Result *Result
}

// Names of a page's sections in beginMark.
const (
	sectionSlopes   = "slopes"
	sectionEstimate = "estimate"
	sectionTime     = "time"
	sectionFailures = "failures"
	sectionRuns     = "runs"
)

// UpdatePage replaces the tables of a page and leaves its text unchanged.
func UpdatePage(file string, slopes *Slopes, planned *Profile, runs []NamedResult) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	text := string(b)
	for _, section := range []struct{ name, table string }{
		{sectionSlopes, slopes.slopesTable()},
		{sectionEstimate, slopes.estimateTable(planned, runs)},
		{sectionTime, slopes.timeTable(planned)},
		{sectionFailures, failuresTable(planned)},
		{sectionRuns, runsTable(runs)},
	} {
		if text, err = replaceSection(text, section.name, section.table); err != nil {
			return fmt.Errorf("page: %s: %w", file, err)
		}
	}
	return os.WriteFile(file, []byte(text), 0o644)
}

// replaceSection replaces the table between the section's marks.
func replaceSection(text, name, table string) (string, error) {
	begin := fmt.Sprintf(beginMark, name)
	before, rest, found := strings.Cut(text, begin)
	if !found {
		return "", fmt.Errorf("the line %s is missing", begin)
	}
	_, after, found := strings.Cut(rest, endMark)
	if !found {
		return "", fmt.Errorf("the line %s after %s is missing", endMark, begin)
	}
	return before + begin + "\n\n" + table + "\n" + endMark + after, nil
}

// table builds a Markdown table.
type table struct{ b strings.Builder }

func (t *table) row(cells ...string) {
	t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) head(cells ...string) {
	t.row(cells...)
	t.row(strings.Split(strings.Repeat("---,", len(cells)-1)+"---", ",")...)
}

// slopeUnit is the increase of a variable for which the slopes table shows a slope.
func slopeUnit(v Variable) float64 {
	switch v {
	case VaryWorkers, VaryTasks:
		return 1000
	case VaryEndedJobs, VaryChanges:
		return 100000
	case VaryStarts, VaryTeams:
		return 100
	}
	return 1
}

// formatNumber formats a number with about three significant digits.
func formatNumber(x float64) string {
	if x == 0 {
		return "0"
	}
	n := 2 - int(math.Floor(math.Log10(math.Abs(x))))
	if n <= 0 {
		return fmt.Sprintf("%.0f", x)
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.*f", min(n, 6), x), "0"), ".")
}

// slopesTable shows each metric at the base profile, which the page calls "the middle", and its
// significant slopes.
func (s *Slopes) slopesTable() string {
	var t table
	t.head("figure", "unit", "middle", "scatter", "slopes (largest distance of a point from the line)")
	for _, m := range metrics() {
		mean, scatter := s.scatter(m.value)
		var slopes []string
		for _, x := range allSeries() {
			if line, ok := s.significantFit(x.variable, m.value, scatter); ok {
				per := slopeUnit(x.variable)
				slopes = append(slopes, fmt.Sprintf("%s for %s %s (%s)", formatNumber(line.slope*per), formatNumber(per), x.variable, formatNumber(line.residual)))
			}
		}
		t.row(m.name, cmp.Or(m.unit, "count"), formatNumber(mean), "±"+formatNumber(scatter), cmp.Or(strings.Join(slopes, "; "), "none above the scatter"))
	}
	fmt.Fprintf(&t.b, "\nThe middle: %d workers, %d controllers, %d teams, %d running tasks, %s starts and %s jobs a second, gangs of %d, %s changes of configuration a day; %d runs. ",
		s.Base.Cluster.Workers, s.Base.Cluster.Controllers, s.Base.Cluster.Teams, s.Base.Load.RunningTasks, formatNumber(s.Base.Load.StartsPerS), formatNumber(s.Base.sizes()[VaryJobs]), s.Base.Load.GangTasks, formatNumber(s.Base.Load.ChangesPerDay), baseRuns)
	var ranges []string
	for _, x := range allSeries() {
		var sizes []string
		for _, size := range x.sizes {
			sizes = append(sizes, formatNumber(size))
		}
		ranges = append(ranges, fmt.Sprintf("%s %s", x.variable, strings.Join(sizes, ", ")))
	}
	fmt.Fprintf(&t.b, "Measured: %s. Command: `%s`, %s.\n", strings.Join(ranges, "; "), s.Command, s.Taken.Format("2006-01-02"))
	return t.b.String()
}

// budgetOf returns the budget of a metric, and false if the profile sets none.
func budgetOf(name, unit string, p *Profile) (float64, bool) {
	switch name + " " + unit {
	case "leader, processor cores", "other controller, processor cores":
		return p.Controller.CPUShare, true
	case "leader, memory MB", "other controller, memory MB":
		return p.Controller.MemMB, true
	case "leader, sockets ", "other controller, sockets ":
		return float64(p.Controller.Sockets), true
	case "leader, cloud calls/s":
		return p.Cloud.RPS, true
	case "state service, requests /s":
		return p.State.RPS, true
	case "state service, changes /s":
		return p.State.WriteRPS, true
	case "all workers' messages B/s":
		return p.Budget.WorkerBytesPerS, true
	case "all hollow workers, processor % of a core":
		return p.Budget.WorkerCPUPercent, true
	case "all hollow workers, memory MB":
		return p.Budget.WorkerMemMB, true
	}
	return 0, false
}

// budgetSteps is the number of steps per planned size in the search for an exceeded budget.
const budgetSteps = 1000

// metricEstimate estimates a metric at a size, per worker for metrics that sum over all workers.
func (s *Slopes) metricEstimate(m metric, at *Profile) float64 {
	x := s.estimate(m.value, at)
	if m.perWorker {
		x /= float64(max(1, at.Cluster.Workers))
	}
	return x
}

// jointMetricEstimate is jointEstimate for a metric, per worker for metrics that sum over all
// workers.
func (s *Slopes) jointMetricEstimate(m metric, planned *Profile, fraction float64) (float64, bool) {
	x, ok := s.jointEstimate(m.value, planned, fraction)
	if m.perWorker {
		x /= fraction * float64(planned.Cluster.Workers)
	}
	return x, ok
}

// budgetExceededAt returns the smallest fraction of the planned size at which the joint estimate
// of a metric exceeds a budget. The search begins at the smallest fraction that was run and
// returns infinity if the budget suffices up to twice the planned size.
func (s *Slopes) budgetExceededAt(m metric, planned *Profile, budget float64) float64 {
	for i := int(fractions[0] * budgetSteps); i <= 2*budgetSteps; i++ {
		fraction := float64(i) / budgetSteps
		if x, ok := s.jointMetricEstimate(m, planned, fraction); ok && x > budget {
			return fraction
		}
	}
	return math.Inf(1)
}

// extrapolation describes the variable by which the planned size exceeds the measured range by
// the largest factor.
func (s *Slopes) extrapolation(value func(*Result) float64, planned *Profile) string {
	_, scatter := s.scatter(value)
	sizes, factor, variableName := planned.sizes(), 1.0, ""
	for _, x := range allSeries() {
		if line, ok := s.significantFit(x.variable, value, scatter); ok && sizes[x.variable] > factor*line.measuredTo {
			factor, variableName = sizes[x.variable]/line.measuredTo, string(x.variable)
		}
	}
	if variableName == "" {
		return "no"
	}
	return fmt.Sprintf("%s times in %s", formatNumber(factor), variableName)
}

// estimateTable compares the estimates of each metric at the planned size with a simulated run
// of that size and with the budget.
func (s *Slopes) estimateTable(planned *Profile, runs []NamedResult) string {
	var t table
	var full *Result
	for _, r := range runs {
		if r.Result.Fraction == 1 && full == nil {
			full = r.Result
		}
	}
	t.head("figure", "unit", "slopes of single sizes added up", "stretched", "all sizes together", "simulated whole", "budget", "the budget ends at")
	for _, m := range metrics() {
		simulated := "not simulated: needs sockets"
		if full != nil && m.value(full) != 0 {
			simulated = formatNumber(m.value(full))
		}
		name := m.name
		if m.perWorker {
			name = "one of " + name
		}
		budget, ends := "none set", "no budget"
		if limit, ok := budgetOf(m.name, m.unit, planned); ok {
			budget = formatNumber(limit)
			if at := s.budgetExceededAt(m, planned, limit); at <= 2 {
				ends = fmt.Sprintf("%s of the size (%s workers)", formatNumber(at), formatNumber(at*float64(planned.Cluster.Workers)))
			} else {
				ends = "beyond twice the size"
			}
		}
		joint := "not measured"
		if x, ok := s.jointMetricEstimate(m, planned, 1); ok {
			joint = formatNumber(x)
		}
		t.row(name, cmp.Or(m.unit, "count"), formatNumber(s.metricEstimate(m, planned)), s.extrapolation(m.value, planned), joint, simulated, budget, ends)
	}
	return t.b.String()
}

// The planned number of jobs, and the periods that timeTable covers.
const (
	jobsPerDay        = 180000
	daysInTwoYears    = 731
	perThousand       = 1000
	attemptRetentionS = 300 // how long a worker keeps a directly started attempt
)

// timeTable shows figures that don't follow from sizes: the growth over time, and the latency
// of urgent starts.
func (s *Slopes) timeTable(p *Profile) string {
	var t table
	t.head("figure", "value", "from")
	for _, role := range []Role{RoleLeader, RoleOther} {
		xs, ys := s.pointsOf(VaryEndedJobs, func(r *Result) float64 { return r.role(role).MemMB })
		perJob := fitLine(xs, ys).slope // MB
		t.row(fmt.Sprintf("memory of a job that is over, controller (%s)", role), formatNumber(perJob*perThousand)+" KB", "slope of ended jobs")
		t.row("the same of a day's jobs", formatNumber(perJob*jobsPerDay)+" MB", fmt.Sprintf("%d jobs a day", jobsPerDay))
		t.row("a controller's memory is full after", formatNumber(p.Controller.MemMB/(perJob*jobsPerDay))+" days", formatNumber(p.Controller.MemMB)+" MB")
		t.row("memory after two years", formatNumber(perJob*jobsPerDay*daysInTwoYears/perThousand)+" GB", "the same")
	}
	t.row("pages read at the start of a process after two years", formatNumber(jobsPerDay*daysInTwoYears/perThousand), "1,000 records on a page")
	perWorker := p.Load.StartsPerS / float64(p.Cluster.Workers)
	t.row("attempts that a worker keeps and lists in each report", formatNumber(perWorker*attemptRetentionS), fmt.Sprintf("%s starts a second and worker for %d s", formatNumber(perWorker), attemptRetentionS))
	_, p99 := s.pointsOf("", func(r *Result) float64 { return r.Urgent.P99 })
	t.row("p99 of urgent starts in the middle, before", fmt.Sprintf("%s to %s s", formatNumber(slices.Min(p99)), formatNumber(slices.Max(p99))), fmt.Sprintf("%d equal runs, budget %s s", len(p99), formatNumber(p.Budget.UrgentStartS)))
	return t.b.String()
}

// failure is an event that stops workers.
type failure struct {
	name    string
	workers float64
	perDay  float64
}

// Planned rates of failures. The number of machines in a rack is assumed.
const (
	failedMachinesPerDay, restartedMachinesPerDay = 92, 1100
	rackWorkers                                   = 40
	daysPerWeek, daysInTwoMonths                  = 7, 61
	daysPerRegionCut                              = 30
)

// failuresTable shows the workers and tasks that each failure stops, and the starts that follow.
func failuresTable(p *Profile) string {
	var t table
	perWorker := float64(p.Load.RunningTasks) / float64(p.Cluster.Workers)
	zone := float64(p.Cluster.Workers) / float64(p.Cluster.Zones)
	regionWorkers := float64(p.Cluster.Workers) / float64(p.Cluster.Regions)
	t.head("failure", "how often a day", "workers at once", "tasks at once", "starts a second, spread over the day", "time to start them at the peak rate")
	for _, f := range []failure{
		{"a machine fails", 1, failedMachinesPerDay},
		{"a machine is restarted or replaced", 1, restartedMachinesPerDay},
		{"a rack or switch (assumed)", rackWorkers, 1.0 / daysPerWeek},
		{"a zone", zone, 1.0 / daysInTwoMonths},
		{"a region is cut off for an hour (assumed once a month)", regionWorkers, 1.0 / daysPerRegionCut},
	} {
		tasks := f.workers * perWorker
		t.row(f.name, formatNumber(f.perDay), formatNumber(f.workers), formatNumber(tasks), formatNumber(f.perDay*tasks/secondsPerDay), formatNumber(tasks/p.Load.StartsPerS)+" s")
	}
	return t.b.String()
}

// runsTable shows the results of runs in columns, with the rows of the first run.
func runsTable(runs []NamedResult) string {
	var t table
	head := []string{"figure"}
	for _, r := range runs {
		head = append(head, r.Name)
	}
	t.head(append(head, "budget of the first")...)
	if len(runs) == 0 {
		return t.b.String()
	}
	columns := make([][]row, len(runs))
	for i, r := range runs {
		columns[i] = r.Result.rows()
	}
	for _, x := range columns[0] {
		cells := []string{x.name}
		for _, column := range columns {
			cells = append(cells, valueOf(column, x.name))
		}
		t.row(append(cells, cmp.Or(x.budget, "none set"))...)
	}
	return t.b.String()
}

// valueOf returns the value of a row. Names also match if just one of them has an addition in
// parentheses.
func valueOf(rows []row, name string) string {
	for _, x := range rows {
		if x.name == name || strings.HasPrefix(x.name, name+" (") || strings.HasPrefix(name, x.name+" (") {
			return x.value
		}
	}
	return "not measured: simulated, without sockets"
}
