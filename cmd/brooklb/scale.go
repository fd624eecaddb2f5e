package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"

	"brooklb/internal/dev"
	"brooklb/internal/scale"

	"github.com/spf13/cobra"
)

// scaleFlags are the flags of scale.
type scaleFlags struct {
	fraction  float64
	seed      uint64
	simulated bool
	json      string
	logs      string
}

// scaleCommand returns the command that runs a cluster of a planned size, or a fraction
// of it.
func scaleCommand() *cobra.Command {
	var f scaleFlags
	c := &cobra.Command{
		Use: "scale PROFILE", Short: "run a cluster of a planned size, or a fraction of it, under load on this computer, and report what it took",
		Args: oneFileArg("PROFILE"),
		RunE: func(c *cobra.Command, args []string) error { return runScale(c, args[0], f) },
	}
	c.Flags().Float64Var(&f.fraction, "fraction", 0.01, "part of the profile's size, above 0 and at most 1")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the simulation and the load")
	c.Flags().BoolVar(&f.simulated, "simulated", false, "run in one process and in simulated time, without sockets")
	c.Flags().StringVar(&f.json, "json", "", "also write the result to this file")
	c.Flags().StringVar(&f.logs, "logs", "", "keep the controllers' settings and logs in this directory")
	c.AddCommand(slopesCommand(), pageCommand())
	return c
}

// pageCommand returns the command that writes the tables of the capacity page from the
// results of runs.
func pageCommand() *cobra.Command {
	var slopes, profile string
	var runs []string
	c := &cobra.Command{
		Use: "page FILE", Short: "update the tables of a capacity page from the results of runs",
		Args: oneFileArg("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			if slopes == "" || profile == "" {
				return usageError{errors.New("--slopes FILE and --profile FILE are needed")}
			}
			return updatePage(args[0], slopes, profile, runs)
		},
	}
	c.Flags().StringVar(&slopes, "slopes", "", "output of brooklb scale slopes")
	c.Flags().StringVar(&profile, "profile", "", "profile of the planned size")
	c.Flags().StringArrayVar(&runs, "run", nil, "NAME=FILE: a run's result, as written with --json; may be repeated")
	return c
}

func updatePage(page, slopesFile, profileFile string, runs []string) error {
	slopes, err := scale.LoadSlopes(slopesFile)
	if err != nil {
		return err
	}
	planned, err := scale.LoadProfile(profileFile)
	if err != nil {
		return err
	}
	var named []scale.NamedResult
	for _, run := range runs {
		name, file, found := strings.Cut(run, "=")
		if !found {
			return usageError{fmt.Errorf("--run %q is not NAME=FILE", run)}
		}
		r, err := scale.LoadResult(file)
		if err != nil {
			return err
		}
		named = append(named, scale.NamedResult{Name: name, Result: r})
	}
	return scale.UpdatePage(page, slopes, planned, named)
}

// slopesCommand returns the command that measures how the costs grow with each size.
func slopesCommand() *cobra.Command {
	var out, only string
	var parallel int
	c := &cobra.Command{
		Use: "slopes PROFILE", Short: "measure with series of small runs how the costs grow with each size",
		Args: oneFileArg("PROFILE"),
		RunE: func(c *cobra.Command, args []string) error {
			if out == "" || parallel < 1 || parallel > 8 {
				return usageError{errors.New("--out FILE is needed, --parallel is from 1 to 8")}
			}
			p, err := scale.LoadProfile(args[0])
			if err != nil {
				return err
			}
			return measureSlopes(c, p, args[0], out, scale.Variable(only), parallel)
		},
	}
	c.Flags().StringVar(&out, "out", "", "write the results to this file")
	c.Flags().StringVar(&only, "only", "", "measure only this series again, such as workers, and keep the others of the file")
	c.Flags().IntVar(&parallel, "parallel", 1, "number of concurrent runs")
	return c
}

func measureSlopes(c *cobra.Command, p *scale.Profile, profile, out string, only scale.Variable, parallel int) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	dir, err := dev.MakeTempDir()
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := fmt.Sprintf("brooklb scale slopes %s --out %s --parallel %d", profile, out, parallel)
	var earlier *scale.Slopes
	if only != "" {
		command += fmt.Sprintf(" --only %q", only)
		if earlier, err = scale.LoadSlopes(out); err != nil {
			return err
		}
	}
	s, err := scale.MeasureSlopes(ctx, p, scale.SlopesOptions{Command: command, Only: only, Earlier: earlier,
		SelfCommand: func(ctx context.Context, args ...string) *exec.Cmd { return exec.CommandContext(ctx, self, args...) },
		Dir:         dir, Parallel: parallel, Progress: c.ErrOrStderr()})
	if s != nil {
		if err := s.Save(out); err != nil {
			return fmt.Errorf("slopes: --out: %w", err)
		}
	}
	return err
}

// oneFileArg checks that there is exactly one argument.
func oneFileArg(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("%s takes one argument, %s", c.Name(), name)}
		}
		return nil
	}
}

func runScale(c *cobra.Command, file string, f scaleFlags) error {
	if !(f.fraction > 0 && f.fraction <= 1) {
		return usageError{errors.New("--fraction: above 0 and at most 1")}
	}
	p, err := scale.LoadProfile(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := runCluster(ctx, c, p, f)
	if err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	if f.json != "" {
		if err := r.Save(f.json); err != nil {
			return fmt.Errorf("scale: --json: %w", err)
		}
	}
	if err := r.WriteTable(c.OutOrStdout()); err != nil {
		return err
	}
	if n := len(r.BrokenRules); n > 0 {
		return fmt.Errorf("scale: %d rules of the protocol were broken", n)
	}
	return nil
}

func runCluster(ctx context.Context, c *cobra.Command, p *scale.Profile, f scaleFlags) (*scale.Result, error) {
	options := scale.Options{Fraction: f.fraction, Seed: f.seed, Dir: f.logs, Progress: c.ErrOrStderr()}
	if f.simulated {
		return scale.RunSimulated(p, options)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	options.Controller = func(file string) *exec.Cmd { return exec.Command(self, "--rollouts", "--units", "--config", file) }
	if options.Dir == "" {
		if options.Dir, err = dev.MakeTempDir(); err != nil {
			return nil, err
		}
		defer os.RemoveAll(options.Dir)
	} else if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("--logs: %w", err)
	}
	return scale.Run(ctx, p, options)
}
