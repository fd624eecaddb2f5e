package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"brooklb"
)

const controllerEnv = "BROOKLB_TEST_CONTROLLER"

// TestMain runs a controller instead of the tests when the environment has its settings file.
func TestMain(m *testing.M) {
	file := os.Getenv(controllerEnv)
	if file == "" {
		os.Exit(m.Run())
	}
	s, err := brooklb.New(brooklb.Config{SettingsFile: file, Rollouts: true, Units: true, Log: slog.New(slog.NewTextHandler(os.Stderr, nil))})
	if err == nil {
		err = s.Run(context.Background())
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

const exampleProfile = "../../examples/scale.toml"

func example(t *testing.T) *Profile {
	t.Helper()
	p, err := LoadProfile(exampleProfile)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func options(t *testing.T) Options {
	t.Helper()
	return Options{Fraction: 0.01, Seed: 1, Dir: t.TempDir(), Progress: io.Discard, Controller: func(file string) *exec.Cmd {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), controllerEnv+"="+file)
		return c
	}}
}

// check checks the result of a run at a hundredth of the planned size.
func check(t *testing.T, r *Result) {
	t.Helper()
	for _, b := range r.BrokenRules {
		t.Error(b)
	}
	if r.AtStart.Workers < 126 || r.AtStart.Running < 2500 {
		t.Errorf("%d workers with %d tasks at the start of measuring", r.AtStart.Workers, r.AtStart.Running)
	}
	if r.StartsMean < 1 || r.Urgent.Count == 0 || r.Accepted.Count == 0 {
		t.Errorf("%v starts a second, urgent %v, accepted %v", r.StartsMean, r.Urgent, r.Accepted)
	}
	if r.Config.InForce.Count == 0 || r.Config.NotInTime > 0 || r.Config.InForce.Max > r.Profile.Budget.ConfigS {
		t.Errorf("configuration: %+v", r.Config)
	}
}

// TestLoopback runs a hundredth of the planned size on loopback sockets, while a rack fails and
// the leader is killed.
func TestLoopback(t *testing.T) {
	p := example(t)
	p.Run = Timing{SettleS: 16, MeasureS: 14}
	p.Load.ChangesPerDay *= 2
	p.Faults = []Fault{{AtS: 1, Kind: Rack, Count: 200, Zone: 1}, {AtS: 4, Kind: LeaderKill, ForS: 2}}
	r, err := Run(t.Context(), p, options(t))
	if err != nil {
		t.Fatal(err)
	}
	check(t, r)
	if len(r.Faults) != 2 || r.LeaderStayed || r.Worker.BytesPerS <= 0 || r.RunProcesses != 4 {
		t.Errorf("%+v", r)
	}
	file := filepath.Join(t.TempDir(), "result.json")
	if err := r.Save(file); err != nil {
		t.Fatal(err)
	}
	again, err := LoadResult(file)
	if err != nil {
		t.Fatal(err)
	}
	var one, two strings.Builder
	if r.WriteTable(&one) != nil || again.WriteTable(&two) != nil || one.String() != two.String() {
		t.Errorf("the table of the saved result differs:\n%s\n%s", one.String(), two.String())
	}
}

// TestSimulated runs the same size in simulated time, while a zone and a region are disconnected.
func TestSimulated(t *testing.T) {
	p := example(t)
	p.Run = Timing{SettleS: 30, MeasureS: 90}
	p.Faults = []Fault{{AtS: 5, Kind: ZoneCut, Zone: 2, ForS: 10}, {AtS: 25, Kind: RegionCut, Region: 3, ForS: 50}}
	r, err := RunSimulated(p, options(t))
	if err != nil {
		t.Fatal(err)
	}
	check(t, r)
	if len(r.Faults) != 2 || r.KilledByLeases == 0 {
		t.Errorf("faults %v, %d tasks killed by leases: a region that is disconnected for longer than a lease loses its tasks", r.Faults, r.KilledByLeases)
	}
}

// TestMemoryBound checks that a run with more processes than its budget ends with an error.
func TestMemoryBound(t *testing.T) {
	p := example(t)
	p.Run = Timing{SettleS: 20, MeasureS: 5}
	p.Budget.RunProcesses = 2
	if _, err := Run(t.Context(), p, options(t)); err == nil || !strings.Contains(err.Error(), "take a smaller --fraction") {
		t.Errorf("got %v", err)
	}
}

// TestBadProfiles checks that the error names the file, the field and the reason in one line.
func TestBadProfiles(t *testing.T) {
	good, err := os.ReadFile(exampleProfile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"workers = 14000", "workers = 0", "field cluster.workers: 0 is not from 1 to 60000"},
		{"workers = 14000", "workers = \"many\"", "field cluster.workers: cannot decode TOML string as int"},
		{"regions = 4", "regions = 40", "field cluster.regions: 40"},
		{"zones = 14", "zones = 3", "field cluster.zones: 3 is not from 4 to 64"},
		{"cancel_s = 62.0", "cancel_s = 33.0", "field workers.cancel_s"},
		{"cpu_share = 1.0", "cpu_share = nan", "field controller.cpu_share: NaN"},
		{"[budget]", "[[trouble]]\nkind = \"flood\"\n[budget]", `field trouble[0]: kind "flood" is none of`},
		{"[budget]", "[[trouble]]\nkind = \"rack\"\n[budget]", "field trouble[0]: count must be 1 or more"},
		{"[budget]", "[[trouble]]\nkind = \"zone_cut\"\nzone = 14\n[budget]", "field trouble[0]: there is no zone 14"},
		{"[budget]", "[[trouble]]\nkind = \"region_cut\"\nat_s = 61.0\n[budget]", "after the end of the run"},
		{"[cluster]", "[cluster", "profile:"},
	} {
		text := strings.Replace(string(good), c.from, c.to, 1)
		file := filepath.Join(t.TempDir(), "profile.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadProfile(file)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %s", c.to, err, c.want)
		}
	}
	if _, err := LoadProfile("no-such-file.toml"); err == nil {
		t.Error("no error for a missing file")
	}
}

// TestFractions checks that fractions that can't be run are rejected.
func TestFractions(t *testing.T) {
	p := example(t)
	for _, f := range []float64{0, -1, 1.1, math.NaN(), 0.001} {
		if _, err := p.AtFraction(f); err == nil {
			t.Errorf("a fraction of %v was accepted", f)
		}
	}
	q, err := p.AtFraction(0.1)
	if err != nil || q.Cluster.Workers != 1400 || q.Cluster.Controllers != 3 || q.Load.GangTasks != 64 || p.Cluster.Workers != 14000 {
		t.Errorf("%+v, %v", q, err)
	}
	huge := *p
	huge.Cluster.Workers = 60000
	if err := checkHostLimits(&huge); err == nil {
		t.Error("no error for 60,000 workers on this computer")
	}
}

// TestFit checks that the fit finds a line through points that scatter, and that the estimate
// ignores a series that only scatters.
func TestFit(t *testing.T) {
	f := fitLine([]float64{1, 2, 4, 8}, []float64{3.1, 4.9, 9.1, 16.9})
	if math.Abs(f.slope-2) > 0.05 || math.Abs(f.intercept-1) > 0.2 || f.residual > 0.2 || f.measuredFrom != 1 || f.measuredTo != 8 {
		t.Errorf("%+v", f)
	}
	s := &Slopes{Base: &Profile{}}
	add := func(v Variable, x, cpu float64) {
		s.Points = append(s.Points, Point{v, x, &Result{Roles: []RoleResult{{Role: RoleLeader, CPU: cpu}}}})
	}
	add("", 0, 0.10)
	add("", 0, 0.12)
	for i, x := range []float64{200, 400, 800, 1600} {
		add(VaryWorkers, x, x/1000)
		add(VaryTeams, x, 0.11+0.01*float64(i%2))
	}
	s.Base.Cluster.Workers = 400
	at := &Profile{}
	at.Cluster.Workers, at.Cluster.Teams = 14000, 360
	if got := s.estimate(func(r *Result) float64 { return r.role(RoleLeader).CPU }, at); math.Abs(got-13.71) > 0.05 {
		t.Errorf("estimate %v", got)
	}
}
