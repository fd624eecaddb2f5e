package scale

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
)

// The tables of a capacity page stand between these lines, so that its figures are made
// from the output of runs and never typed.
const (
	beginMark = "<!-- generated: %s -->"
	endMark   = "<!-- end -->"
)

// Named is the result of a run with a name for people.
type Named struct {
	Name   string
	Result *Result
}

// Sections of a page.
const (
	sectionSlopes   = "slopes"
	sectionEstimate = "estimate"
	sectionTime     = "time"
	sectionFailures = "failures"
	sectionRuns     = "runs"
)

// UpdatePage writes the tables anew into a page; its text stays.
func UpdatePage(file string, slopes *Slopes, planned *Profile, runs []Named) error {
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

// perUnit is by how much of each variable a slope is given.
func perUnit(v Variable) float64 {
	switch v {
	case VaryWorkers, VaryTasks:
		return 1000
	case VaryEnded, VaryChanges:
		return 100000
	case VaryStarts, VaryTeams:
		return 100
	}
	return 1
}

// digits shows a number with about three digits that say something.
func digits(x float64) string {
	if x == 0 {
		return "0"
	}
	n := 2 - int(math.Floor(math.Log10(math.Abs(x))))
	if n <= 0 {
		return fmt.Sprintf("%.0f", x)
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.*f", min(n, 6), x), "0"), ".")
}

func (s *Slopes) slopesTable() string {
	var t table
	t.head("figure", "unit", "middle", "scatter", "slopes (largest distance of a point from the line)")
	for _, f := range figures() {
		mean, scatter := s.scatter(f.of)
		var slopes []string
		for _, x := range allSeries() {
			if line, ok := s.significant(x.variable, f.of, scatter); ok {
				per := perUnit(x.variable)
				slopes = append(slopes, fmt.Sprintf("%s for %s %s (%s)", digits(line.slope*per), digits(per), x.variable, digits(line.residual)))
			}
		}
		t.row(f.name, cmp.Or(f.unit, "count"), digits(mean), "±"+digits(scatter), cmp.Or(strings.Join(slopes, "; "), "none above the scatter"))
	}
	fmt.Fprintf(&t.b, "\nThe middle: %d workers, %d controllers, %d teams, %d running tasks, %s starts and %s jobs a second, gangs of %d, %s changes of configuration a day; %d runs. ",
		s.Base.Cluster.Workers, s.Base.Cluster.Controllers, s.Base.Cluster.Teams, s.Base.Load.RunningTasks, digits(s.Base.Load.StartsPerS), digits(s.Base.sizes()[VaryJobs]), s.Base.Load.GangTasks, digits(s.Base.Load.ChangesPerDay), baseRuns)
	var ranges []string
	for _, x := range allSeries() {
		var sizes []string
		for _, size := range x.sizes {
			sizes = append(sizes, digits(size))
		}
		ranges = append(ranges, fmt.Sprintf("%s %s", x.variable, strings.Join(sizes, ", ")))
	}
	fmt.Fprintf(&t.b, "Measured: %s. Command: `%s`, %s.\n", strings.Join(ranges, "; "), s.Command, s.Taken.Format("2006-01-02"))
	return t.b.String()
}

// budgetOf is what a figure may be at the planned size; false: nothing is set.
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

// steps of the search for where a budget ends.
const budgetSteps = 1000

// figureAt is a figure's estimate at a size, of one worker if it is a sum of all.
func (s *Slopes) figureAt(f figure, at *Profile) float64 {
	x := s.estimate(f.of, at)
	if f.perWorker {
		x /= float64(max(1, at.Cluster.Workers))
	}
	return x
}

// togetherAt is a figure along all sizes together, of one worker if it is a sum of all.
func (s *Slopes) togetherAt(f figure, planned *Profile, fraction float64) (float64, bool) {
	x, ok := s.together(f.of, planned, fraction)
	if f.perWorker {
		x /= fraction * float64(planned.Cluster.Workers)
	}
	return x, ok
}

// endsAt is the fraction of the planned size, of which the smallest is the smallest that was
// run, at which a figure passes a budget along all sizes together; infinite: not within
// twice the planned size.
func (s *Slopes) endsAt(f figure, planned *Profile, budget float64) float64 {
	for i := int(fractions[0] * budgetSteps); i <= 2*budgetSteps; i++ {
		fraction := float64(i) / budgetSteps
		if x, ok := s.togetherAt(f, planned, fraction); ok && x > budget {
			return fraction
		}
	}
	return math.Inf(1)
}

// stretched is by how much the planned size is beyond what was measured, at the most.
func (s *Slopes) stretched(of func(*Result) float64, planned *Profile) string {
	_, scatter := s.scatter(of)
	sizes, most, by := planned.sizes(), 1.0, ""
	for _, x := range allSeries() {
		if line, ok := s.significant(x.variable, of, scatter); ok && sizes[x.variable] > most*line.to {
			most, by = sizes[x.variable]/line.to, string(x.variable)
		}
	}
	if by == "" {
		return "no"
	}
	return fmt.Sprintf("%s times in %s", digits(most), by)
}

func (s *Slopes) estimateTable(planned *Profile, runs []Named) string {
	var t table
	var whole *Result
	for _, r := range runs {
		if r.Result.Fraction == 1 && whole == nil {
			whole = r.Result
		}
	}
	t.head("figure", "unit", "slopes of single sizes added up", "stretched", "all sizes together", "simulated whole", "budget", "the budget ends at")
	for _, f := range figures() {
		simulated := "not simulated: needs sockets"
		if whole != nil && f.of(whole) != 0 {
			simulated = digits(f.of(whole))
		}
		name := f.name
		if f.perWorker {
			name = "one of " + name
		}
		budget, ends := "none set", "no budget"
		if most, ok := budgetOf(f.name, f.unit, planned); ok {
			budget = digits(most)
			if at := s.endsAt(f, planned, most); at <= 2 {
				ends = fmt.Sprintf("%s of the size (%s workers)", digits(at), digits(at*float64(planned.Cluster.Workers)))
			} else {
				ends = "beyond twice the size"
			}
		}
		along := "not measured"
		if x, ok := s.togetherAt(f, planned, 1); ok {
			along = digits(x)
		}
		t.row(name, cmp.Or(f.unit, "count"), digits(s.figureAt(f, planned)), s.stretched(f.of, planned), along, simulated, budget, ends)
	}
	return t.b.String()
}

// What the plan says of jobs, and a time for which their records are kept.
const (
	jobsPerDay   = 180000
	daysOfTwoYrs = 731
	perThousand  = 1000
	keptSeconds  = 300 // for which a worker keeps a directly started attempt
)

// timeTable has what doesn't add up with sizes: what grows with time, and urgent starts.
func (s *Slopes) timeTable(p *Profile) string {
	var t table
	t.head("figure", "value", "from")
	for _, role := range []Role{RoleLeader, RoleOther} {
		xs, ys := s.series(VaryEnded, func(r *Result) float64 { return r.role(role).MemMB })
		perJob := fitLine(xs, ys).slope // MB
		t.row(fmt.Sprintf("memory of a job that is over, controller (%s)", role), digits(perJob*perThousand)+" KB", "slope of ended jobs")
		t.row("the same of a day's jobs", digits(perJob*jobsPerDay)+" MB", fmt.Sprintf("%d jobs a day", jobsPerDay))
		t.row("a controller's memory is full after", digits(p.Controller.MemMB/(perJob*jobsPerDay))+" days", digits(p.Controller.MemMB)+" MB")
		t.row("memory after two years", digits(perJob*jobsPerDay*daysOfTwoYrs/perThousand)+" GB", "the same")
	}
	t.row("pages read at the start of a process after two years", digits(jobsPerDay*daysOfTwoYrs/perThousand), "1,000 records on a page")
	perWorker := p.Load.StartsPerS / float64(p.Cluster.Workers)
	t.row("attempts that a worker keeps and lists in each report", digits(perWorker*keptSeconds), fmt.Sprintf("%s starts a second and worker for %d s", digits(perWorker), keptSeconds))
	_, p99 := s.series("", func(r *Result) float64 { return r.Urgent.P99 })
	t.row("p99 of urgent starts in the middle, before", fmt.Sprintf("%s to %s s", digits(slices.Min(p99)), digits(slices.Max(p99))), fmt.Sprintf("%d equal runs, budget %s s", len(p99), digits(p.Budget.UrgentStartS)))
	return t.b.String()
}

// failure is something that takes workers away.
type failure struct {
	name    string
	workers float64
	perDay  float64
}

// What the plan says of failures; machines of a rack are assumed.
const (
	failedPerDay, restartedPerDay = 92, 1100
	rackWorkers                   = 40
	daysPerWeek, daysOfTwoMonths  = 7, 61
	regionCutEvery                = 30
)

func failuresTable(p *Profile) string {
	var t table
	perWorker := float64(p.Load.RunningTasks) / float64(p.Cluster.Workers)
	zone := float64(p.Cluster.Workers) / float64(p.Cluster.Zones)
	regionWorkers := float64(p.Cluster.Workers) / float64(p.Cluster.Regions)
	t.head("failure", "how often a day", "workers at once", "tasks at once", "starts a second, spread over the day", "time to start them at the peak rate")
	for _, f := range []failure{
		{"a machine fails", 1, failedPerDay},
		{"a machine is restarted or replaced", 1, restartedPerDay},
		{"a rack or switch (assumed)", rackWorkers, 1.0 / daysPerWeek},
		{"a zone", zone, 1.0 / daysOfTwoMonths},
		{"a region is cut off for an hour (assumed once a month)", regionWorkers, 1.0 / regionCutEvery},
	} {
		tasks := f.workers * perWorker
		t.row(f.name, digits(f.perDay), digits(f.workers), digits(tasks), digits(f.perDay*tasks/daySeconds), digits(tasks/p.Load.StartsPerS)+" s")
	}
	return t.b.String()
}

func runsTable(runs []Named) string {
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
		cells := []string{x.what}
		for _, column := range columns {
			cells = append(cells, valueOf(column, x.what))
		}
		t.row(append(cells, cmp.Or(x.budget, "none set"))...)
	}
	return t.b.String()
}

func valueOf(rows []row, what string) string {
	for _, x := range rows {
		if x.what == what || strings.HasPrefix(x.what, what+" (") || strings.HasPrefix(what, x.what+" (") {
			return x.value
		}
	}
	return "not measured: simulated, without sockets"
}
