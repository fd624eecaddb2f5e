package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"brooklb/internal/client"
	"brooklb/internal/settings"
	"brooklb/internal/snapshot"

	"github.com/spf13/cobra"
)

// exitFindings is the exit status if a check has findings or a comparison differences.
const exitFindings = 6

// stateClient sends requests to the state service at a limited rate.
type stateClient struct {
	addr     string
	retryFor time.Duration
	rps      float64
	last     time.Time
}

func (state *stateClient) register(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&state.addr, "state", "", "address of the state service")
	c.Flags().DurationVar(&state.retryFor, "for", time.Minute, "how long to retry requests that fail or are refused temporarily")
	c.Flags().Float64Var(&state.rps, "rps", 5, "requests per second: the part of the service's limit that the controllers don't need")
	return c
}

func (state *stateClient) check() error {
	if state.addr == "" {
		return usageError{errors.New("--state IP:PORT is missing")}
	}
	if !(state.rps > 0) || state.rps > 1000 {
		return usageError{errors.New("--rps: above 0, up to 1000")}
	}
	return nil
}

// Ask implements snapshot.Asker.
func (state *stateClient) Ask(method, path string, body []byte) (int, []byte, error) {
	time.Sleep(time.Until(state.last.Add(time.Duration(float64(time.Second) / state.rps))))
	state.last = time.Now()
	return (&client.Client{Nodes: []string{state.addr}, RetryFor: state.retryFor}).Do(method, path, body)
}

func loadSnapshot(file string) (*snapshot.Snapshot, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s, err := snapshot.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// stateCommand returns the command for copies and checks of a cluster's state.
func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "copy, inspect, check and restore the state of a cluster",
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("state: export, inspect, verify, check, diff or restore")}
		}}
	c.AddCommand(stateExport(), stateInspect(), stateVerify(), stateCheck(), stateDiff(), stateRestore())
	return c
}

func fileArgs(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{errors.New(what)}
		}
		return nil
	}
}

func stateExport() *cobra.Command {
	var state stateClient
	return state.register(&cobra.Command{Use: "export FILE", Short: "copy all state at one revision from a live cluster into a file",
		Args: fileArgs(1, "state export takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			if err := state.check(); err != nil {
				return err
			}
			s, err := snapshot.Fetch(&state, time.Now)
			if err != nil {
				return err
			}
			// A partial file must never get the requested name.
			f, err := os.CreateTemp(filepath.Dir(args[0]), ".brooklb-state-")
			if err != nil {
				return err
			}
			defer os.Remove(f.Name())
			if err = s.Write(f); err == nil {
				err = f.Sync()
			}
			if e := f.Close(); err == nil {
				err = e
			}
			if err == nil {
				err = os.Link(f.Name(), args[0]) // fails if the file exists
			}
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d keys at revision %d in %s\n", len(s.Items), s.Revision, args[0])
			return nil
		}})
}

func stateInspect() *cobra.Command {
	var asJSON bool
	var key string
	c := &cobra.Command{Use: "inspect FILE", Short: "show a file's contents by kind, or one of its keys",
		Args: fileArgs(1, "state inspect takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := loadSnapshot(args[0])
			if err != nil {
				return err
			}
			if key != "" {
				for i := range s.Items {
					if it := &s.Items[i]; it.Path == key {
						fmt.Fprintf(c.OutOrStdout(), "%s\nrevision %d\n%s\n", it.Path, it.Revision, it.Value)
						return nil
					}
				}
				return exitError{exitUnknown, fmt.Errorf("%s: no key %s", args[0], key)}
			}
			_, n := snapshot.Verify(s, nil)
			return printCounts(c.OutOrStdout(), s, n, asJSON)
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().StringVar(&key, "key", "", "show this key's value")
	return c
}

func printCounts(out io.Writer, s *snapshot.Snapshot, n snapshot.Counts, asJSON bool) error {
	if asJSON {
		b, err := json.Marshal(struct {
			Revision uint64 `json:"epoch"`
			AtMS     int64  `json:"at_ms"`
			snapshot.Counts
		}{s.Revision, s.AtMS, n})
		fmt.Fprintln(out, string(b))
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "taken\t%s, revision %d\n", time.UnixMilli(s.AtMS).Format("2006-01-02 15:04:05"), s.Revision)
	fmt.Fprintf(w, "keys\t%d, %d bytes\n", n.Keys, n.Bytes)
	fmt.Fprintf(w, "jobs\t%d open, %d done, %d cancelled\n", n.Jobs["open"], n.Jobs["done"], n.Jobs["cancelled"])
	fmt.Fprintf(w, "tasks\t%d placed on %d machines, %d done of open jobs, in %d chunks\n", n.Placed, n.Machines, n.DoneTasks, n.Chunks)
	fmt.Fprintf(w, "services\t%d\nresources\t%d\nother keys\t%d\n", n.Services, n.Resources, n.Others)
	if n.Leader != "" {
		fmt.Fprintf(w, "leader\t%s\n", n.Leader)
	}
	return w.Flush()
}

// checkFlags are the flags of the commands that check a state.
type checkFlags struct {
	config    string
	printJSON bool
}

func (k *checkFlags) register(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&k.config, "config", "", "settings file, for the teams' limits")
	c.Flags().BoolVar(&k.printJSON, "json", false, "print JSON")
	return c
}

// printFindings checks a state and prints the findings.
func (k *checkFlags) printFindings(out io.Writer, s *snapshot.Snapshot) error {
	var teams []settings.Team
	if k.config != "" {
		loaded, err := settings.Load(k.config)
		if err != nil {
			return err
		}
		teams = loaded.Facts.Teams
	}
	fs, n := snapshot.Verify(s, teams)
	if k.printJSON {
		b, err := json.Marshal(struct {
			Findings []snapshot.Finding `json:"findings"`
			Counts   snapshot.Counts    `json:"counts"`
		}{fs, n})
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(b))
	} else {
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		for _, f := range fs {
			note := ""
			if f.Transient {
				note = "(may be so for a while)"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Key, f.Rule, f.Text, note)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	definite := 0
	for _, f := range fs {
		if !f.Transient {
			definite++
		}
	}
	if definite > 0 {
		return exitError{exitFindings, fmt.Errorf("%d findings in %d keys", definite, n.Keys)}
	}
	if !k.printJSON {
		fmt.Fprintf(out, "nothing wrong in %d keys\n", n.Keys)
	}
	return nil
}

func stateVerify() *cobra.Command {
	var k checkFlags
	c := &cobra.Command{Use: "verify FILE", Short: "check a file for broken invariants",
		Args: fileArgs(1, "state verify takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := loadSnapshot(args[0])
			if err != nil {
				return err
			}
			return k.printFindings(c.OutOrStdout(), s)
		}}
	return k.register(c)
}

func stateCheck() *cobra.Command {
	var state stateClient
	var k checkFlags
	c := state.register(&cobra.Command{Use: "check", Short: "check the state of a live cluster; changes nothing",
		Args: fileArgs(0, "state check takes no arguments"),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := state.check(); err != nil {
				return err
			}
			s, err := snapshot.Fetch(&state, time.Now)
			if err != nil {
				return err
			}
			return k.printFindings(c.OutOrStdout(), s)
		}})
	return k.register(c)
}

func stateDiff() *cobra.Command {
	return &cobra.Command{Use: "diff FILE FILE", Short: "list the keys in which two files differ; exit status 6 if there are any",
		Args: fileArgs(2, "state diff takes two files"),
		RunE: func(c *cobra.Command, args []string) error {
			first, err := loadSnapshot(args[0])
			if err != nil {
				return err
			}
			second, err := loadSnapshot(args[1])
			if err != nil {
				return err
			}
			added, removed, changed := snapshot.Diff(first, second)
			for _, l := range []struct {
				sign string
				keys []string
			}{{"+", added}, {"-", removed}, {"~", changed}} {
				for _, k := range l.keys {
					fmt.Fprintln(c.OutOrStdout(), l.sign, k)
				}
			}
			if n := len(added) + len(removed) + len(changed); n > 0 {
				return exitError{exitFindings, fmt.Errorf("%d keys differ: %d added, %d removed, %d changed", n, len(added), len(removed), len(changed))}
			}
			return nil
		}}
}

func stateRestore() *cobra.Command {
	var state stateClient
	var ops int
	c := state.register(&cobra.Command{Use: "restore FILE", Short: "write a file's state to an empty state service; continues an interrupted restore",
		Args: fileArgs(1, "state restore takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			if err := state.check(); err != nil {
				return err
			}
			if ops < 2 || ops > 1000 {
				return usageError{errors.New("--ops: from 2 to 1000")}
			}
			s, err := loadSnapshot(args[0])
			if err != nil {
				return err
			}
			if fs, _ := snapshot.Verify(s, nil); len(fs) > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "brooklb: %s has %d findings (see state verify), restoring it unchanged\n", args[0], len(fs))
			}
			last := -1
			if err := snapshot.Restore(&state, s, ops, func(done, all int) {
				if p := 10 * done / max(1, all); p != last {
					last = p
					fmt.Fprintf(c.OutOrStdout(), "%d of %d keys\n", done, all)
				}
			}); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "restored: start the controllers; nothing is started until all earlier leases have expired")
			return nil
		}})
	c.Flags().IntVar(&ops, "ops", 8, "changes in a transaction, up to the service's limit")
	return c
}
