package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"brooklb/internal/client"
	"brooklb/internal/wire"

	"github.com/spf13/cobra"
)

// Exit statuses beside 0 (done), 1 (no answer, other failures) and 2 (usage).
const (
	exitUnknown = 3 // no such job
	exitInvalid = 4 // the request is malformed, can never succeed, or not now
)

// exitError ends the program with a status of its own.
type exitError struct {
	status int
	error
}

type asker struct {
	nodes    string
	patience time.Duration
	asJSON   bool
}

func (a *asker) flags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&a.nodes, "to", "127.0.0.1:8080", "addresses of the service's nodes, separated by commas")
	c.Flags().DurationVar(&a.patience, "for", time.Minute, "how long to try again what is refused for now")
	c.Flags().BoolVar(&a.asJSON, "json", false, "print the service's answer as it is")
	return c
}

func (a *asker) client() *client.Client {
	return &client.Client{Nodes: strings.Split(a.nodes, ","), RetryFor: a.patience}
}

// ask sends a request and turns its status into an error where it is one.
func (a *asker) ask(method, path string, body []byte) ([]byte, error) {
	status, b, err := a.client().Do(method, path, body)
	if err != nil {
		return nil, err
	}
	var e struct {
		Error string `json:"error"`
	}
	if status != 200 && status != 201 {
		if json.Unmarshal(b, &e) != nil || e.Error == "" {
			e.Error = fmt.Sprintf("status %d", status)
		}
	}
	switch status {
	case 200, 201:
		return b, nil
	case 404:
		return nil, exitError{exitUnknown, errors.New(e.Error)}
	case 400, 409, 422:
		return nil, exitError{exitInvalid, errors.New(e.Error)}
	}
	return nil, errors.New(e.Error)
}

// job asks about one job and shows the answer.
func (a *asker) job(w io.Writer, method, path string, body []byte) error {
	b, err := a.ask(method, path, body)
	if err != nil {
		return err
	}
	if a.asJSON {
		fmt.Fprintln(w, string(b))
		return nil
	}
	var s wire.JobState
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("the answer makes no sense: %w", err)
	}
	fmt.Fprintf(w, "%s: %s", s.Ref, s.Phase)
	if s.Done != nil && s.Running != nil {
		fmt.Fprintf(w, ", %d tasks done, %d running", *s.Done, *s.Running)
	}
	fmt.Fprintln(w)
	if s.Why != "" {
		fmt.Fprintln(w, "why:", s.Why)
	}
	return nil
}

func exactly(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("%s", what)}
		}
		for _, id := range args {
			if !wire.ValidJobID(id) {
				return usageError{fmt.Errorf("%q is no job id", id)}
			}
		}
		return nil
	}
}

// read brings a file's content, or standard input's for "-".
func read(c *cobra.Command, file string) ([]byte, error) {
	in := c.InOrStdin()
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	body, err := io.ReadAll(io.LimitReader(in, 64<<10+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return body, nil
}

func userCommands() []*cobra.Command {
	var submit, status, withdraw, overview asker
	return []*cobra.Command{
		submit.flags(&cobra.Command{
			Use: "submit FILE", Short: "submit a job, described in JSON in a file or on standard input (-)",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) != 1 {
					return usageError{errors.New("submit takes one file, or - for standard input")}
				}
				return nil
			},
			RunE: func(c *cobra.Command, args []string) error {
				body, err := read(c, args[0])
				if err != nil {
					return err
				}
				if _, err := wire.DecodeJob(body); err != nil {
					return exitError{exitInvalid, fmt.Errorf("%s: %w", args[0], err)}
				}
				return submit.job(c.OutOrStdout(), "POST", wire.PathJobs, body)
			}}),
		status.flags(&cobra.Command{
			Use: "status JOB", Short: "how a job stands, and why it waits or was stopped",
			Args: exactly(1, "status takes one job id"),
			RunE: func(c *cobra.Command, args []string) error {
				return status.job(c.OutOrStdout(), "GET", wire.PathJobs+"/"+args[0], nil)
			}}),
		withdraw.flags(&cobra.Command{
			Use: "withdraw JOB", Short: "cancel a job", Aliases: []string{"cancel"},
			Args: exactly(1, "withdraw takes one job id"),
			RunE: func(c *cobra.Command, args []string) error {
				return withdraw.job(c.OutOrStdout(), "POST", wire.PathJobs+"/"+args[0]+"/"+wire.PathWithdraw, nil)
			}}),
		overview.flags(&cobra.Command{
			Use: "overview", Short: "nodes, machines, teams and the queue",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) > 0 {
					return usageError{errors.New("overview takes no arguments")}
				}
				return nil
			},
			RunE: func(c *cobra.Command, _ []string) error { return overview.overview(c.OutOrStdout()) }}),
	}
}

// overview asks all nodes: each knows how it stands itself, the leader the rest.
func (a *asker) overview(out io.Writer) error {
	var last error
	answered := 0
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	if !a.asJSON {
		fmt.Fprintln(w, "NODE\tHEALTHY\tLEADS\tTOKEN\tFOR\tSTATE SERVICE SILENT\tCHANGES/S\tSUBMITTED/S\tACCEPTED/S\tREFUSED")
	}
	var leading *wire.Overview
	a.client().GetFromEachNode(wire.PathOverview, func(node string, status int, b []byte, err error) {
		var o wire.Overview
		if err == nil && status != 200 {
			err = fmt.Errorf("status %d", status)
		}
		if err == nil {
			err = json.Unmarshal(b, &o)
		}
		if err != nil {
			last = fmt.Errorf("%s: %w", node, err)
			if !a.asJSON {
				fmt.Fprintf(w, "%s\t%v\n", node, err)
			}
			return
		}
		answered++
		if a.asJSON {
			fmt.Fprintln(out, string(b))
			return
		}
		d := o.Admission
		if d == nil { // an older program
			d = &wire.AdmissionView{}
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%.0f s\t%.1f s\t%.1f\t%.1f\t%.1f\t%d\n", o.Node, o.Healthy, o.Leading, o.Token, o.LedS, o.StateSilentS,
			d.Changes, d.Wanted, d.Admitted, d.Refused)
		if o.Leading && (leading == nil || o.Token > leading.Token) {
			leading = &o
		}
	})
	if answered == 0 {
		return fmt.Errorf("%w: %w", client.ErrUnavailable, last)
	}
	if o := leading; o != nil {
		m := o.Machines
		fmt.Fprintf(w, "\nMACHINES\tSPOT\tBOOTING\tIDLE\tSILENT\tLEAVING\tRUNNING\tFETCHING\tWAITING\tSAVING\tROOM\n")
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", m.Total, m.Spot, m.Booting, m.Idle, m.Silent, m.Leaving,
			m.Running, m.Fetching, m.Waiting, m.Saving, m.Room)
		fmt.Fprintf(w, "\nTEAM\tCPUS\tGUARANTEE\tLIMIT\tGPUS\tGUARANTEE\tLIMIT\n")
		for _, t := range o.Teams {
			fmt.Fprintf(w, "%s\t%g\t%s\t%s\t%g\t%s\t%s\n", t.Name, t.CPUs, none(t.GuaranteedCPUs), none(t.MaxCPUs), t.GPUs, none(t.GuaranteedGPUs), none(t.MaxGPUs))
		}
		fmt.Fprintf(w, "\nCLASS\tTEAM\tJOBS\tWITHIN FLOOR\tTASKS WAITING\tPLACED\n")
		for _, c := range o.Classes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", c.Class, c.Team, c.Jobs, c.Floor, c.Waiting, c.Placed)
		}
		if d := o.Admission; d != nil && (d.AdmitFraction < 1 || len(d.ClosedClasses) > 0) {
			fmt.Fprintf(w, "\noverload: %.0f%% of what could be taken in is handed out, writes are %.1f s behind, shut: %s\n", 100*d.AdmitFraction, d.WriteBacklogS, strings.Join(d.ClosedClasses, ", "))
		}
		fmt.Fprintf(w, "\n%d jobs, %d waiting with %d tasks, %d at fault themselves\n", o.Jobs.Open, o.Jobs.Waiting, o.Jobs.WaitingTasks, o.Jobs.AtFault)
		if len(o.Queue) > 0 {
			fmt.Fprintf(w, "\nJOB\tCLASS\tTEAM\tTASKS\tDONE\tPLACED\tAGE\tWHY IT WAITS\n")
			for _, j := range o.Queue {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.0f s\t%s\n", j.Job, j.Class, j.Team, j.Tasks, j.Done, j.Placed, j.AgeS, j.Why)
			}
		}
	}
	return w.Flush()
}

func none(x float64) string {
	if x <= 0 {
		return "none"
	}
	return fmt.Sprintf("%g", x)
}
