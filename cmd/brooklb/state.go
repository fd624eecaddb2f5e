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

// exitFindings is the status of a check that found something.
const exitFindings = 6

// stateAsker asks the state service within a rate.
type stateAsker struct {
	addr     string
	patience time.Duration
	rps      float64
	last     time.Time
}

func (a *stateAsker) flags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&a.addr, "state", "", "address of the state service")
	c.Flags().DurationVar(&a.patience, "for", time.Minute, "how long to try again what is refused for now")
	c.Flags().Float64Var(&a.rps, "rps", 5, "requests a second: what the controllers don't need of the service's limit")
	return c
}

func (a *stateAsker) check() error {
	if a.addr == "" {
		return usageError{errors.New("--state IP:PORT is missing")}
	}
	if !(a.rps > 0) || a.rps > 1000 {
		return usageError{errors.New("--rps: above 0, up to 1000")}
	}
	return nil
}

// Ask implements snapshot.Asker.
func (a *stateAsker) Ask(method, path string, body []byte) (int, []byte, error) {
	time.Sleep(time.Until(a.last.Add(time.Duration(float64(time.Second) / a.rps))))
	a.last = time.Now()
	return (&client.Client{Nodes: []string{a.addr}, RetryFor: a.patience}).Do(method, path, body)
}

func load(file string) (*snapshot.Snapshot, error) {
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

// stateCommand has what operators do with the state of a cluster.
func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "copy, look into, check and restore the state of a cluster",
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("state: export, inspect, verify, check, diff or restore")}
		}}
	c.AddCommand(stateExport(), stateInspect(), stateVerify(), stateCheck(), stateDiff(), stateRestore())
	return c
}

func files(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{errors.New(what)}
		}
		return nil
	}
}

func stateExport() *cobra.Command {
	var a stateAsker
	return a.flags(&cobra.Command{Use: "export FILE", Short: "copy all state at one revision from a live cluster into a file",
		Args: files(1, "state export takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			if err := a.check(); err != nil {
				return err
			}
			s, err := snapshot.Fetch(&a, time.Now)
			if err != nil {
				return err
			}
			// Never half a file under the name that was asked for.
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
				err = os.Link(f.Name(), args[0]) // not over another file
			}
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d keys at revision %d in %s\n", len(s.Items), s.Epoch, args[0])
			return nil
		}})
}

func stateInspect() *cobra.Command {
	var asJSON bool
	var key string
	c := &cobra.Command{Use: "inspect FILE", Short: "what a file has, by kind, or one key of it",
		Args: files(1, "state inspect takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := load(args[0])
			if err != nil {
				return err
			}
			if key != "" {
				for i := range s.Items {
					if it := &s.Items[i]; it.Path == key {
						fmt.Fprintf(c.OutOrStdout(), "%s\nrevision %d\n%s\n", it.Path, it.Stamp, it.Value)
						return nil
					}
				}
				return exitError{exitUnknown, fmt.Errorf("%s: no key %s", args[0], key)}
			}
			_, n := snapshot.Verify(s, nil)
			return counts(c.OutOrStdout(), s, n, asJSON)
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().StringVar(&key, "key", "", "show this key's value")
	return c
}

func counts(out io.Writer, s *snapshot.Snapshot, n snapshot.Counts, asJSON bool) error {
	if asJSON {
		b, err := json.Marshal(struct {
			Epoch uint64 `json:"epoch"`
			AtMS  int64  `json:"at_ms"`
			snapshot.Counts
		}{s.Epoch, s.AtMS, n})
		fmt.Fprintln(out, string(b))
		return err
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "taken\t%s, revision %d\n", time.UnixMilli(s.AtMS).Format("2006-01-02 15:04:05"), s.Epoch)
	fmt.Fprintf(w, "keys\t%d, %d bytes\n", n.Keys, n.Bytes)
	fmt.Fprintf(w, "jobs\t%d open, %d done, %d cancelled\n", n.Jobs["open"], n.Jobs["done"], n.Jobs["cancelled"])
	fmt.Fprintf(w, "tasks\t%d placed on %d machines, %d done of open jobs, in %d chunks\n", n.Placed, n.Machines, n.DoneTasks, n.Chunks)
	fmt.Fprintf(w, "services\t%d\nresources\t%d\nother keys\t%d\n", n.Services, n.Resources, n.Others)
	if n.Leader != "" {
		fmt.Fprintf(w, "leader\t%s\n", n.Leader)
	}
	return w.Flush()
}

// checking is how a state is to be checked.
type checking struct {
	config string
	asJSON bool
}

func (k *checking) flags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&k.config, "config", "", "settings file, for the teams' limits")
	c.Flags().BoolVar(&k.asJSON, "json", false, "print JSON")
	return c
}

// findings prints what a check found.
func (k *checking) findings(out io.Writer, s *snapshot.Snapshot) error {
	var teams []settings.Team
	if k.config != "" {
		set, err := settings.Load(k.config)
		if err != nil {
			return err
		}
		teams = set.Facts.Teams
	}
	fs, n := snapshot.Verify(s, teams)
	if k.asJSON {
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
			sure := ""
			if f.Transient {
				sure = "(may be so for a while)"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Key, f.Rule, f.Text, sure)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	sure := 0
	for _, f := range fs {
		if !f.Transient {
			sure++
		}
	}
	if sure > 0 {
		return exitError{exitFindings, fmt.Errorf("%d findings in %d keys", sure, n.Keys)}
	}
	if !k.asJSON {
		fmt.Fprintf(out, "nothing wrong in %d keys\n", n.Keys)
	}
	return nil
}

func stateVerify() *cobra.Command {
	var k checking
	c := &cobra.Command{Use: "verify FILE", Short: "check a file against what always holds",
		Args: files(1, "state verify takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := load(args[0])
			if err != nil {
				return err
			}
			return k.findings(c.OutOrStdout(), s)
		}}
	return k.flags(c)
}

func stateCheck() *cobra.Command {
	var a stateAsker
	var k checking
	c := a.flags(&cobra.Command{Use: "check", Short: "check the state of a live cluster; changes nothing",
		Args: files(0, "state check takes no arguments"),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := a.check(); err != nil {
				return err
			}
			s, err := snapshot.Fetch(&a, time.Now)
			if err != nil {
				return err
			}
			return k.findings(c.OutOrStdout(), s)
		}})
	return k.flags(c)
}

func stateDiff() *cobra.Command {
	return &cobra.Command{Use: "diff FILE FILE", Short: "the keys in which two files differ; status 6 if there are any",
		Args: files(2, "state diff takes two files"),
		RunE: func(c *cobra.Command, args []string) error {
			x, err := load(args[0])
			if err != nil {
				return err
			}
			y, err := load(args[1])
			if err != nil {
				return err
			}
			added, removed, changed := snapshot.Diff(x, y)
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
	var a stateAsker
	var ops int
	c := a.flags(&cobra.Command{Use: "restore FILE", Short: "put a file's state into an empty state service; goes on where it was interrupted",
		Args: files(1, "state restore takes one file"),
		RunE: func(c *cobra.Command, args []string) error {
			if err := a.check(); err != nil {
				return err
			}
			if ops < 2 || ops > 1000 {
				return usageError{errors.New("--ops: from 2 to 1000")}
			}
			s, err := load(args[0])
			if err != nil {
				return err
			}
			if fs, _ := snapshot.Verify(s, nil); len(fs) > 0 {
				fmt.Fprintf(c.ErrOrStderr(), "brooklb: %s has %d findings (state verify tells), it is restored as it is\n", args[0], len(fs))
			}
			last := -1
			if err := snapshot.Restore(&a, s, ops, func(done, all int) {
				if p := 10 * done / max(1, all); p != last {
					last = p
					fmt.Fprintf(c.OutOrStdout(), "%d of %d keys\n", done, all)
				}
			}); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "restored: start the controllers; nothing is started until all earlier leases have run out")
			return nil
		}})
	c.Flags().IntVar(&ops, "ops", 8, "changes in a transaction, up to the service's limit")
	return c
}
