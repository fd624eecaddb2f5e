package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"brooklb"
	"brooklb/internal/client"
)

// TestMain runs the test program as a controller if the environment names a settings file.
func TestMain(m *testing.M) {
	if file := os.Getenv("BROOKLB_TEST_CONTROLLER"); file != "" {
		s, err := brooklb.New(brooklb.Config{SettingsFile: file, Rollouts: true, Log: slog.New(slog.NewTextHandler(os.Stderr, nil))})
		if err == nil {
			err = s.Run(context.Background())
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// outputBuffer collects a cluster's output from several goroutines.
type outputBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *outputBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *outputBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// runCluster runs a cluster until work returns, and returns the cluster's output.
func runCluster(t *testing.T, faults *Faults, work func(cl *client.Client) error) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loadBalancerAddr := ln.Addr().String()
	ln.Close()
	dir, out := t.TempDir(), &outputBuffer{}
	err = Run(context.Background(), Config{Controllers: 3, Machines: 6, Initial: 6, BootS: 1, Seed: 5, LoadBalancerAddr: loadBalancerAddr, Dir: dir, Faults: faults, Duration: 90 * time.Second,
		Out: out, Log: slog.New(slog.DiscardHandler), ControllerCommand: func(file string) *exec.Cmd {
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), "BROOKLB_TEST_CONTROLLER="+file)
			return c
		},
		Work: func(context.Context) error {
			return work(&client.Client{Nodes: []string{loadBalancerAddr}, RetryFor: 20 * time.Second})
		}})
	if err != nil {
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, f := range logs {
			b, _ := os.ReadFile(f)
			t.Logf("%s: %s", filepath.Base(f), b[max(0, len(b)-3000):])
		}
		t.Fatalf("%v\n%s", err, out.String())
	}
	return out.String()
}

const jobFormat = `{"ref":%q,"lane":"web","crew":"free","shape":"standing","urgency":"high","shards":4,"cpus":2.0,"gpus":0.0,"memory_gb":1.0,
 "bundle":%q,"size_gb":0.1,"hulls":null,"yard":null,"same_place":false,"apart":false,"loaners":false,"expect_s":0.0,"snapshot_s":0.0,"stow_s":0.0}`

type serviceView struct {
	Version string
	Rollout *struct {
		ID, State, Why string
		New, Old, Step int
	}
	Rollouts []struct {
		ID, State, Why string
		Evidence       []string
	}
}

// TestFailingVersionGoesBack rolls out a version whose health checks start to fail during
// the roll-out, and kills all controllers in the second step. No further instance may
// be replaced, and all instances must go back to the old version. Controllers are real
// processes and instances are real HTTP servers.
func TestFailingVersionGoesBack(t *testing.T) {
	var began time.Time
	maxNew, killed := 0, false
	faults := &Faults{}
	var cluster *Cluster
	onClusterStart = func(c *Cluster) { cluster = c }
	defer func() { onClusterStart = nil }()
	ask := func(cl *client.Client, method, path, body string) (int, serviceView, error) {
		status, b, err := cl.Do(method, path, []byte(body))
		var v serviceView
		if err == nil && json.Unmarshal(b, &v) != nil {
			err = fmt.Errorf("%s %s: %d %s", method, path, status, b)
		}
		return status, v, err
	}
	out := runCluster(t, faults, func(cl *client.Client) error {
		if status, _, err := ask(cl, "POST", "/v2/runs", fmt.Sprintf(jobFormat, "j-1", "web:good")); err != nil || status != 201 {
			return fmt.Errorf("submission: %d %w", status, err)
		}
		for {
			_, b, err := cl.Do("GET", "/v2/runs/j-1", nil)
			if err != nil {
				return err
			}
			if strings.Contains(string(b), `"running":4`) {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(9 * time.Second) // controllers check instances only on machines that the cloud has listed, which takes this long
		body := fmt.Sprintf(`{"from":"j-1","job":%s,"steps":[1,2],"surge":1,"bake_s":9,"window_s":9,
			"health":{"port":9200,"per_task":true,"path":"/healthz","interval_s":0.5,"timeout_s":0.4,"passes":2,"fails":3}}`, fmt.Sprintf(jobFormat, "j-2", "web:late=20"))
		if status, v, err := ask(cl, "POST", "/services/web/rollouts", body); err != nil || status != 201 {
			return fmt.Errorf("roll-out: %d %+v %w", status, v, err)
		}
		if status, _, err := ask(cl, "POST", "/services/web/rollouts", strings.Replace(body, "j-2", "j-3", 1)); err != nil || status != 409 {
			return fmt.Errorf("second roll-out: got status %d, want 409: %w", status, err)
		}
		began = time.Now()
		for time.Since(began) < 60*time.Second {
			_, v, err := ask(cl, "GET", "/services/web", "")
			if err != nil {
				return err
			}
			if v.Rollout == nil {
				break
			}
			maxNew = max(maxNew, v.Rollout.New)
			if !killed && v.Rollout.Step >= 2 {
				killed = true
				cluster.post(func() { cluster.inject(Fault{Kind: "crash_all", Node: -1, ForS: 1}) })
			}
			time.Sleep(100 * time.Millisecond)
		}
		_, v, err := ask(cl, "GET", "/services/web/history", "")
		if err != nil {
			return err
		}
		if len(v.Rollouts) != 1 || v.Rollouts[0].State != "rolled back" || !strings.Contains(v.Rollouts[0].Why, "answered 500") || len(v.Rollouts[0].Evidence) == 0 {
			return fmt.Errorf("history: %+v", v.Rollouts)
		}
		_, b, err := cl.Do("GET", "/v2/runs/j-1", nil)
		if err != nil || !strings.Contains(string(b), `"running":4`) {
			return fmt.Errorf("the old version: %s %w", b, err)
		}
		return nil
	})
	if !killed {
		t.Error("the roll-out never reached its second step")
	}
	if maxNew > 2 {
		t.Errorf("%d of 4 instances were replaced, want at most 2 in step 2", maxNew)
	}
	if !strings.Contains(out, "rules broken: 0") {
		t.Error(out)
	}
	t.Logf("rolled back %v after the roll-out began, %d new instances at most", time.Since(began).Round(time.Second), maxNew)
}

// TestFaults checks that invalid fault files are rejected, and that all jobs finish on a
// cluster with several injected faults.
func TestFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.toml")
	for _, c := range [][2]string{{"[[fault]]\nkind = \"quake\"\n", "fault[0].kind"}, {"[[fault]]\nkind = \"crash\"\nat_s = -1.0\n", "fault[0]"},
		{"every_s = 0.1\n", "every_s"}, {"fault = 7\n", "f.toml"}} {
		if err := os.WriteFile(file, []byte(c[0]), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadFaults(file); err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q got %v", c[0], err)
		}
	}
	if _, err := LoadFaults("../../deploy/faults.toml"); err != nil {
		t.Error(err)
	}
	fs := &Faults{Fault: []Fault{{AtS: 4, Kind: "crash", Node: 0, ForS: 1}, {AtS: 6, Kind: "state_outage", ForS: 2}, {AtS: 9, Kind: "machine_die"},
		{AtS: 10, Kind: "state_cut", Node: 1, ForS: 3}, {AtS: 11, Kind: "freeze", Node: 2, ForS: 2}}}
	runCluster(t, fs, func(cl *client.Client) error {
		const arrayJobFormat = `{"ref":"j-%d","lane":"w","crew":"free","shape":"sweep","urgency":"standard","shards":6,"cpus":4.0,"gpus":0.0,"memory_gb":1.0,
			"bundle":"i","size_gb":0.1,"hulls":null,"yard":null,"same_place":false,"apart":false,"loaners":true,"expect_s":4.0,"snapshot_s":0.0,"stow_s":0.0}`
		for i := range 5 {
			if status, b, err := cl.Do("POST", "/v2/runs", fmt.Appendf(nil, arrayJobFormat, i+1)); err != nil || status > 201 {
				return fmt.Errorf("submission: %d %s %w", status, b, err)
			}
			time.Sleep(2 * time.Second)
		}
		for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
			done := 0
			for i := range 5 {
				if _, b, err := cl.Do("GET", fmt.Sprintf("/v2/runs/j-%d", i+1), nil); err == nil && strings.Contains(string(b), `"phase":"done"`) {
					done++
				}
			}
			if done == 5 {
				return nil
			}
		}
		return fmt.Errorf("not all jobs were done")
	})
}
