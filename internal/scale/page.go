package scale

import (
	"fmt"
	"math"
	"os"
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
		t.row(f.name, cmpOr(f.unit, "count"), digits(mean), "±"+digits(scatter), cmpOr(strings.Join(slopes, "; "), "none above the scatter"))
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
	case "urgent start, p99 s":
		return p.Budget.UrgentStartS, true
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

// endsAt is the fraction of the planned size at which the estimate passes a budget; 1 or
// more: not within the planned size. Smaller than what was measured nothing is said.
func (s *Slopes) endsAt(f figure, planned *Profile, budget float64) float64 {
	least := int(budgetSteps * s.Base.sizes()[VaryWorkers] / planned.sizes()[VaryWorkers])
	for i := max(1, least); i <= 2*budgetSteps; i++ {
		fraction := float64(i) / budgetSteps
		if s.figureAt(f, planned.times(fraction)) > budget {
			return fraction
		}
	}
	return math.Inf(1)
}

// times is a size that is so many times as large in all that is varied but the number of
// controllers, tasks of a gang and changes of configuration.
func (p *Profile) times(factor float64) *Profile {
	q := *p
	q.Cluster.Workers = int(float64(p.Cluster.Workers) * factor)
	q.Cluster.Teams = int(float64(p.Cluster.Teams) * factor)
	q.Load.RunningTasks = int(float64(p.Load.RunningTasks) * factor)
	q.Load.StartsPerS *= factor
	q.Load.UrgentPerS *= factor
	q.Load.GangsPerMinute *= factor
	q.Load.EndedJobs = int(float64(p.Load.EndedJobs) * factor)
	return &q
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
	t.head("figure", "unit", "by the slopes at the planned size", "stretched", "simulated whole", "budget", "the budget ends at")
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
		t.row(name, cmpOr(f.unit, "count"), digits(s.figureAt(f, planned)), s.stretched(f.of, planned), simulated, budget, ends)
	}
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
	t.head(append(head, "budget")...)
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
		t.row(append(cells, cmpOr(x.budget, "none set"))...)
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
