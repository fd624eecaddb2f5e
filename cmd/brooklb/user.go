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

// Exit statuses besides 0 (success), 1 (no answer, other failures) and 2 (usage).
const (
	exitUnknown = 3 // not found
	exitInvalid = 4 // the request is malformed, can never succeed or conflicts with the current state
)

// exitError makes the program exit with its status.
type exitError struct {
	status int
	error
}

// clientFlags are the flags of the commands that send requests to the service.
type clientFlags struct {
	nodes     string
	retryFor  time.Duration
	printJSON bool
}

func (flags *clientFlags) register(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&flags.nodes, "to", "127.0.0.1:8080", "addresses of the service's nodes, separated by commas")
	c.Flags().DurationVar(&flags.retryFor, "for", time.Minute, "how long to retry requests that fail or are refused temporarily")
	c.Flags().BoolVar(&flags.printJSON, "json", false, "print the service's JSON answer")
	return c
}

func (flags *clientFlags) client() *client.Client {
	return &client.Client{Nodes: strings.Split(flags.nodes, ","), RetryFor: flags.retryFor}
}

// request sends a request. It returns an error if the status is neither 200 nor 201.
func (flags *clientFlags) request(method, path string, body []byte) ([]byte, error) {
	status, b, err := flags.client().Do(method, path, body)
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

// requestJob sends a request about one job and prints the answer.
func (flags *clientFlags) requestJob(w io.Writer, method, path string, body []byte) error {
	b, err := flags.request(method, path, body)
	if err != nil {
		return err
	}
	if flags.printJSON {
		fmt.Fprintln(w, string(b))
		return nil
	}
	var s wire.JobState
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
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

// jobArgs checks that there are n arguments, all of them job ids.
func jobArgs(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("%s", what)}
		}
		for _, id := range args {
			if !wire.ValidJobID(id) {
				return usageError{fmt.Errorf("%q is not a job id", id)}
			}
		}
		return nil
	}
}

// readInput reads a file, or standard input if file is "-".
func readInput(c *cobra.Command, file string) ([]byte, error) {
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
	var submit, status, withdraw, overview clientFlags
	return []*cobra.Command{
		submit.register(&cobra.Command{
			Use: "submit FILE", Short: "submit a job, described in JSON in a file or on standard input (-)",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) != 1 {
					return usageError{errors.New("submit takes one file, or - for standard input")}
				}
				return nil
			},
			RunE: func(c *cobra.Command, args []string) error {
				body, err := readInput(c, args[0])
				if err != nil {
					return err
				}
				if _, err := wire.DecodeJob(body); err != nil {
					return exitError{exitInvalid, fmt.Errorf("%s: %w", args[0], err)}
				}
				return submit.requestJob(c.OutOrStdout(), "POST", wire.PathJobs, body)
			}}),
		status.register(&cobra.Command{
			Use: "status JOB", Short: "show a job's state, and why it waits or was stopped",
			Args: jobArgs(1, "status takes one job id"),
			RunE: func(c *cobra.Command, args []string) error {
				return status.requestJob(c.OutOrStdout(), "GET", wire.PathJobs+"/"+args[0], nil)
			}}),
		withdraw.register(&cobra.Command{
			Use: "withdraw JOB", Short: "cancel a job", Aliases: []string{"cancel"},
			Args: jobArgs(1, "withdraw takes one job id"),
			RunE: func(c *cobra.Command, args []string) error {
				return withdraw.requestJob(c.OutOrStdout(), "POST", wire.PathJobs+"/"+args[0]+"/"+wire.PathWithdraw, nil)
			}}),
		overview.register(&cobra.Command{
			Use: "overview", Short: "show nodes, machines, teams and the queue",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) > 0 {
					return usageError{errors.New("overview takes no arguments")}
				}
				return nil
			},
			RunE: func(c *cobra.Command, _ []string) error { return overview.printOverview(c.OutOrStdout()) }}),
	}
}

// printOverview prints the state of the cluster. It asks all nodes, because each knows
// only its own state; the leader also knows the machines, teams and jobs.
func (flags *clientFlags) printOverview(out io.Writer) error {
	var last error
	answered := 0
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	if !flags.printJSON {
		fmt.Fprintln(w, "NODE\tHEALTHY\tLEADS\tTOKEN\tFOR\tSTATE SERVICE SILENT\tCHANGES/S\tSUBMITTED/S\tACCEPTED/S\tREFUSED")
	}
	var leading *wire.Overview
	flags.client().GetFromEachNode(wire.PathOverview, func(node string, status int, b []byte, err error) {
		var o wire.Overview
		if err == nil && status != 200 {
			err = fmt.Errorf("status %d", status)
		}
		if err == nil {
			err = json.Unmarshal(b, &o)
		}
		if err != nil {
			last = fmt.Errorf("%s: %w", node, err)
			if !flags.printJSON {
				fmt.Fprintf(w, "%s\t%v\n", node, err)
			}
			return
		}
		answered++
		if flags.printJSON {
			fmt.Fprintln(out, string(b))
			return
		}
		admission := o.Admission
		if admission == nil { // the node runs an older version
			admission = &wire.AdmissionView{}
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%d\t%.0f s\t%.1f s\t%.1f\t%.1f\t%.1f\t%d\n", o.Node, o.Healthy, o.Leading, o.Token, o.LedS, o.StateSilentS,
			admission.Changes, admission.Wanted, admission.Admitted, admission.Refused)
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
			fmt.Fprintf(w, "%s\t%g\t%s\t%s\t%g\t%s\t%s\n", t.Name, t.CPUs, formatLimit(t.GuaranteedCPUs), formatLimit(t.MaxCPUs), t.GPUs, formatLimit(t.GuaranteedGPUs), formatLimit(t.MaxGPUs))
		}
		fmt.Fprintf(w, "\nCLASS\tTEAM\tJOBS\tWITHIN FLOOR\tTASKS WAITING\tPLACED\n")
		for _, c := range o.Classes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", c.Class, c.Team, c.Jobs, c.WithinMinShare, c.Waiting, c.Placed)
		}
		if admission := o.Admission; admission != nil && (admission.AdmitFraction < 1 || len(admission.BlockedClasses) > 0) {
			fmt.Fprintf(w, "\noverload: %.0f%% of what could be taken in is handed out, writes are %.1f s behind, shut: %s\n", 100*admission.AdmitFraction, admission.WriteBacklogS, strings.Join(admission.BlockedClasses, ", "))
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

// formatLimit formats a guarantee or limit; 0 means that there is none.
func formatLimit(x float64) string {
	if x <= 0 {
		return "none"
	}
	return fmt.Sprintf("%g", x)
}
