package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"brooklb/internal/client"
	"brooklb/internal/dev"
	"brooklb/internal/wire"

	"github.com/spf13/cobra"
)

// devCommand returns the command that runs a whole cluster on this computer.
func devCommand() *cobra.Command {
	var controllers, machines, initial, users int
	var bootTime, duration time.Duration
	var seed uint64
	var listenAddr, faults, logs string
	var demo bool
	c := &cobra.Command{
		Use: "dev", Short: "run a simulated cluster on this computer: real controllers, everything else simulated",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{errors.New("dev takes no arguments")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case controllers < 1 || controllers > 9:
				return usageError{errors.New("--controllers: from 1 to 9")}
			case machines < 1 || machines > 200 || initial < 0 || initial > 100:
				return usageError{errors.New("--machines: from 1 to 200, --initial: from 0 to 100")}
			case users < 0 || users > 5000:
				return usageError{errors.New("--users: from 0 to 5000 jobs")}
			case duration < time.Second || duration > 24*time.Hour || bootTime < 0 || bootTime > time.Hour:
				return usageError{errors.New("--for: from 1s to 24h, --boot: up to 1h")}
			}
			cfg := dev.Config{Controllers: controllers, Machines: machines, Initial: initial, BootS: bootTime.Seconds(), Seed: seed, LoadBalancerAddr: listenAddr, UserJobs: users, Duration: duration,
				Dir: logs, Out: c.OutOrStdout(), Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))}
			if faults != "" {
				f, err := dev.LoadFaults(faults)
				if err != nil {
					return err
				}
				cfg.Faults = f
			}
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("dev: %w", err)
			}
			cfg.ControllerCommand = func(file string) *exec.Cmd { return exec.Command(self, "--rollouts", "--units", "--config", file) }
			if cfg.Dir == "" {
				if cfg.Dir, err = dev.MakeTempDir(); err != nil {
					return fmt.Errorf("dev: %w", err)
				}
				defer os.RemoveAll(cfg.Dir)
			} else if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
				return fmt.Errorf("dev: --logs: %w", err)
			}
			if demo {
				cfg.Work = func(ctx context.Context) error { return runDemo(ctx, c.OutOrStdout(), listenAddr) }
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return dev.Run(ctx, cfg)
		},
	}
	f := c.Flags()
	f.IntVar(&controllers, "controllers", 3, "number of controllers, each in its own process")
	f.IntVar(&machines, "machines", 8, "simulated machines of each kind in each of the cloud's three zones")
	f.IntVar(&initial, "initial", 6, "simulated machines that are up at the start")
	f.DurationVar(&bootTime, "boot", 3*time.Second, "how long a simulated machine takes to boot")
	f.Uint64Var(&seed, "seed", 1, "seed of the simulation")
	f.StringVar(&listenAddr, "listen", "127.0.0.1:8080", "address to which users submit jobs")
	f.IntVar(&users, "users", 0, "jobs that simulated users submit, in the first half of the time")
	f.StringVar(&faults, "faults", "", "file of faults to inject (deploy/faults.toml is an example)")
	f.BoolVar(&demo, "demo", false, "submit one job, wait until it is done, and exit")
	f.DurationVar(&duration, "for", time.Hour, "stop after this time")
	f.StringVar(&logs, "logs", "", "keep the controllers' settings and logs in this directory")
	return c
}

// demoJob is an array of eight tasks that wait for three seconds each.
const demoJob = `{"ref":"j-1","lane":"demo","crew":"free","shape":"sweep","urgency":"standard","shards":8,"cpus":4.0,"gpus":0.0,"memory_gb":1.0,
 "bundle":"demo","size_gb":0.1,"hulls":null,"yard":null,"same_place":false,"apart":false,"loaners":true,"expect_s":3.0,"snapshot_s":0.0,"stow_s":0.0,"due_s":null}`

// runDemo submits a job and waits until it is done.
func runDemo(ctx context.Context, out io.Writer, listenAddr string) error {
	cl := &client.Client{Nodes: []string{listenAddr}, RetryFor: 30 * time.Second}
	status, b, err := cl.Do("POST", wire.PathJobs, []byte(demoJob))
	if err != nil || status != 201 {
		return fmt.Errorf("demo: the job was not accepted: %d %s %w", status, b, errOrUnexpected(err))
	}
	fmt.Fprintln(out, "demo: job j-1 with 8 tasks of 3 s is accepted")
	last := ""
	for ctx.Err() == nil {
		status, b, err := cl.Do("GET", wire.PathJobs+"/j-1", nil)
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		var s wire.JobState
		if status != 200 || json.Unmarshal(b, &s) != nil || s.Done == nil || s.Running == nil {
			return fmt.Errorf("demo: malformed answer: %d %s", status, b)
		}
		if now := fmt.Sprintf("%s, %d tasks done, %d running", s.Phase, *s.Done, *s.Running); now != last {
			fmt.Fprintln(out, "demo: j-1 is", now)
			last = now
		}
		if s.Phase == wire.JobDone {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errors.New("demo: the job was not done in time")
}

// errOrUnexpected returns err, or an error about an unexpected answer if err is nil.
func errOrUnexpected(err error) error {
	if err == nil {
		return errors.New("(unexpected answer)")
	}
	return err
}
