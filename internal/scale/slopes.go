package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Variable is the size that a series of runs varies while all others stay equal.
type Variable string

// The variables.
const (
	VaryWorkers     Variable = "workers"
	VaryTasks       Variable = "running tasks"
	VaryStarts      Variable = "starts a second"
	VaryJobs        Variable = "jobs a second"
	VaryTeams       Variable = "teams"
	VaryGangTasks   Variable = "tasks of a gang"
	VaryEndedJobs   Variable = "ended jobs"
	VaryChanges     Variable = "configuration changes a day"
	VaryControllers Variable = "controllers"
	// VaryFraction varies all sizes together, as a fraction of the planned size.
	VaryFraction Variable = "fraction of the plan"
)

// fractions has the fractions of the planned size that are run.
var fractions = []float64{0.0125, 0.025, 0.05, 0.1}

// series is a variable and the sizes that are run, which span a factor of eight.
type series struct {
	variable Variable
	sizes    []float64
	apply    func(p *Profile, x float64)
}

// baseProfile is the profile that all series share except for their own variable.
func baseProfile(planned *Profile) *Profile {
	p := *planned
	p.Faults = nil
	p.Cluster.Workers, p.Cluster.Controllers, p.Cluster.Teams = 400, 3, 45
	p.State.RPS, p.State.WriteRPS, p.Cloud.RPS = 3000, 1000, 20
	l := &p.Load
	l.RunningTasks, l.StartsPerS, l.TasksPerJob = 4800, 50, 25
	l.UrgentPerS, l.GangsPerMinute, l.GangTasks, l.GangRunS, l.CancelShare = 2, 12, 16, 10, 0
	l.EndedJobs = 0
	p.Run = Timing{SettleS: 30, MeasureS: 25}
	return &p
}

func allSeries() []series {
	return []series{
		{VaryWorkers, []float64{200, 400, 800, 1600}, func(p *Profile, x float64) { p.Cluster.Workers = int(x) }},
		{VaryTasks, []float64{2400, 4800, 9600, 19200}, func(p *Profile, x float64) { p.Load.RunningTasks = int(x) }},
		{VaryStarts, []float64{25, 50, 100, 200}, func(p *Profile, x float64) {
			// The rate of jobs stays the same.
			p.Load.StartsPerS, p.Load.TasksPerJob = x, int(x/2)
		}},
		{VaryJobs, []float64{1, 2, 4, 8}, func(p *Profile, x float64) { p.Load.TasksPerJob = int(50 / x) }},
		{VaryTeams, []float64{45, 90, 180, 360}, func(p *Profile, x float64) { p.Cluster.Teams = int(x) }},
		{VaryGangTasks, []float64{8, 16, 32, 64}, func(p *Profile, x float64) { p.Load.GangTasks = int(x) }},
		{VaryEndedJobs, []float64{12500, 25000, 50000, 100000}, func(p *Profile, x float64) { p.Load.EndedJobs = int(x) }},
		{VaryChanges, []float64{23500, 47000, 94000, 188000}, func(p *Profile, x float64) { p.Load.ChangesPerDay = x }},
		{VaryControllers, []float64{3, 6, 12, 24}, func(p *Profile, x float64) { p.Cluster.Controllers = int(x) }},
	}
}

// baseRuns is the number of equal runs of the base profile, which show the scatter.
const baseRuns = 4

// Point is one run of a series.
type Point struct {
	Variable Variable `json:"variable"` // "" for the base profile
	X        float64  `json:"x"`
	Result   *Result  `json:"result"`
}

// Slopes has the results of all series.
type Slopes struct {
	Command string    `json:"command"`
	Taken   time.Time `json:"taken"`
	Base    *Profile  `json:"base"`
	Points  []Point   `json:"points"`
}

// SlopesOptions configures the runs of the series.
type SlopesOptions struct {
	Command string
	// SelfCommand returns the command that runs this program with arguments.
	SelfCommand func(ctx context.Context, args ...string) *exec.Cmd
	Dir         string // for profiles and results
	Parallel    int    // number of runs at the same time
	Progress    io.Writer
	// Only is the one series to measure; its value "" means all. The others come from Earlier.
	Only    Variable
	Earlier *Slopes
}

// runStagger is the delay between the starts of two runs, which would otherwise take the same
// addresses.
const runStagger = 3 * time.Second

// MeasureSlopes runs the series, with a separate process for each run.
func MeasureSlopes(ctx context.Context, planned *Profile, o SlopesOptions) (*Slopes, error) {
	base := baseProfile(planned)
	s := &Slopes{Command: o.Command, Taken: time.Now().UTC().Truncate(time.Second), Base: base}
	var profiles []*Profile
	add := func(v Variable, x float64, p *Profile) {
		s.Points = append(s.Points, Point{Variable: v, X: x})
		profiles = append(profiles, p)
	}
	if o.Only == "" {
		for range baseRuns {
			add("", 0, base)
		}
	}
	for _, t := range allSeries() {
		for _, x := range t.sizes {
			p := *base
			t.apply(&p, x)
			if o.Only == "" || o.Only == t.variable {
				add(t.variable, x, &p)
			}
		}
	}
	for _, x := range fractions {
		p, err := planned.AtFraction(x)
		if err != nil {
			return nil, err
		}
		p.Faults, p.Run = nil, base.Run
		if o.Only == "" || o.Only == VaryFraction {
			add(VaryFraction, x, p)
		}
	}
	slots := make(chan struct{}, max(1, o.Parallel))
	failures := make([]error, len(profiles))
	var running sync.WaitGroup
	for i, p := range profiles {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			s.Points[i].Result, failures[i] = runChild(ctx, p, i, o)
			fmt.Fprintf(o.Progress, "%d of %d: %s %g: %v\n", i+1, len(profiles), s.Points[i].Variable, s.Points[i].X, outcome(failures[i]))
		})
		time.Sleep(runStagger)
	}
	running.Wait()
	if o.Earlier != nil {
		s.Command, s.Taken = o.Earlier.Command+"; "+s.Command, o.Earlier.Taken
		for _, p := range o.Earlier.Points {
			if p.Variable != o.Only {
				s.Points = append(s.Points, p)
			}
		}
	}
	return s, errors.Join(failures...)
}

func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "done"
}

// runChild runs a profile in a separate process and returns its result.
func runChild(ctx context.Context, p *Profile, i int, o SlopesOptions) (*Result, error) {
	b, err := toml.Marshal(p)
	if err != nil {
		return nil, err
	}
	profile := filepath.Join(o.Dir, fmt.Sprintf("run-%02d.toml", i))
	result := filepath.Join(o.Dir, fmt.Sprintf("run-%02d.json", i))
	if err := os.WriteFile(profile, b, 0o600); err != nil {
		return nil, err
	}
	out, err := o.SelfCommand(ctx, "scale", profile, "--fraction", "1", "--seed", strconv.Itoa(i+1), "--json", result).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("run %d: %w: %s", i+1, err, out)
	}
	return LoadResult(result)
}

// Save writes the results of the series as JSON.
func (s *Slopes) Save(file string) error { return saveJSON(file, s) }

// LoadSlopes reads a file that Slopes.Save has written.
func LoadSlopes(file string) (*Slopes, error) {
	return loadJSON(file, "slopes", func(s *Slopes) bool { return s.Base != nil })
}
