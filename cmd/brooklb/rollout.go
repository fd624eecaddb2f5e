package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"brooklb/internal/wire"

	"github.com/spf13/cobra"
)

// rolloutCommand returns the command for roll-outs of services.
func rolloutCommand() *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "roll out new versions of services",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command rollout %q", args[0])}
			}
			return nil
		},
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("rollout: start, status, pause, resume, abort, withdraw, history or list")}
		}}
	c.AddCommand(rolloutStart(), rolloutStatus(), rolloutHistory(), rolloutList())
	for _, verb := range []struct{ name, short string }{
		{wire.VerbPause, "pause a roll-out; it is still rolled back if checks fail"},
		{wire.VerbResume, "resume a paused roll-out, or retry one that is stuck"},
		{wire.VerbAbort, "stop a roll-out and restore the old version"},
		{wire.VerbWithdraw, "stop a service and all its versions"},
	} {
		c.AddCommand(rolloutAction(verb.name, verb.short))
	}
	return c
}

// currentUser returns the name of the user for the history, or "" if it is unknown.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// serviceArgs checks that there are n arguments and that the first is a service name.
func serviceArgs(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{errors.New(what)}
		}
		if n > 0 && !wire.ValidService(args[0]) {
			return usageError{fmt.Errorf("%q is not a service name: up to 40 of a-z, 0-9 and -", args[0])}
		}
		return nil
	}
}

// servicePath returns the request path of a verb on a service.
func servicePath(service, verb string) string {
	return strings.TrimSuffix(wire.PathServices+"/"+service+"/"+verb, "/")
}

func rolloutStart() *cobra.Command {
	var flags clientFlags
	return flags.register(&cobra.Command{
		Use: "start SERVICE FILE", Short: "begin a roll-out described in JSON in a file or on standard input (-)",
		Args: serviceArgs(2, "rollout start takes a service and a file, or - for standard input"),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := readInput(c, args[1])
			if err != nil {
				return err
			}
			r, err := wire.DecodeRollout(body)
			if err != nil {
				return exitError{exitInvalid, fmt.Errorf("%s: %w", args[1], err)}
			}
			if r.By == "" {
				var m map[string]json.RawMessage
				if err := json.Unmarshal(body, &m); err == nil {
					m["by"] = wire.Encode(currentUser())
					body = wire.Encode(m)
				}
			}
			b, err := flags.request("POST", servicePath(args[0], wire.VerbStart), body)
			if err != nil {
				return err
			}
			return flags.printService(c.OutOrStdout(), b)
		}})
}

// rolloutAction returns the command that sends a verb for a service.
func rolloutAction(verb, short string) *cobra.Command {
	var flags clientFlags
	var why string
	c := flags.register(&cobra.Command{
		Use: verb + " SERVICE", Short: short, Args: serviceArgs(1, "rollout "+verb+" takes one service"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := flags.request("POST", servicePath(args[0], verb), wire.Encode(wire.RequestInfo{By: currentUser(), Why: why}))
			if err != nil {
				return err
			}
			return flags.printService(c.OutOrStdout(), b)
		}})
	c.Flags().StringVar(&why, "why", "", "the reason, for the history")
	return c
}

// printService prints a service and its roll-out.
func (flags *clientFlags) printService(w io.Writer, b []byte) error {
	if flags.printJSON {
		fmt.Fprintln(w, string(b))
		return nil
	}
	var v wire.ServiceView
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	fmt.Fprintln(w, serviceLine(&v))
	if r := v.Rollout; r != nil {
		if r.Why != "" {
			fmt.Fprintln(w, "why:", r.Why)
		}
		for _, e := range r.Evidence {
			fmt.Fprintln(w, "evidence:", e)
		}
		if live := r.Live; live != nil && live.CheckP50MS > 0 {
			fmt.Fprintf(w, "checks: every %.1f s, answered in %.1f ms (median), %.1f ms (99 of 100)\n", live.CheckEveryS, live.CheckP50MS, live.CheckP99MS)
		}
	}
	return nil
}

// serviceLine describes a service and its roll-out in one line.
func serviceLine(v *wire.ServiceView) string {
	s := v.Service + ": "
	switch {
	case v.Ended:
		s += "withdrawn"
	case v.Version != "":
		s += v.Version + " serves"
	default:
		s += "no version serves yet"
	}
	r := v.Rollout
	if r == nil {
		return s
	}
	s += fmt.Sprintf("; roll-out %s to %s: %s, step %d of %d, %d of %d instances new, %d old", r.ID, r.To, r.State, r.Step, r.Steps, r.New, r.All, r.Old)
	if r.Paused {
		s += ", paused"
	}
	if l := r.Live; l != nil {
		s += fmt.Sprintf(" (new: %d healthy, %d sick, %d unknown; old: %d healthy)", l.NewHealthy, l.NewSick, l.NewUnknown, l.OldHealthy)
	}
	return s
}

// getService requests a service, from the leader if possible: only the leader knows the
// health of the instances.
func (flags *clientFlags) getService(name string) ([]byte, *wire.ServiceView, error) {
	b, err := flags.requestLeader(servicePath(name, ""), func(b []byte) bool {
		var v wire.ServiceView
		return json.Unmarshal(b, &v) == nil && (v.Rollout == nil || v.Rollout.Live != nil)
	})
	if err != nil {
		return nil, nil, err
	}
	var v wire.ServiceView
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, nil, fmt.Errorf("malformed answer: %w", err)
	}
	return b, &v, nil
}

func rolloutStatus() *cobra.Command {
	var flags clientFlags
	var watch bool
	var every time.Duration
	c := flags.register(&cobra.Command{
		Use: "status SERVICE", Short: "show the state of a service and its roll-out, and the reason for it",
		Args: serviceArgs(1, "rollout status takes one service"),
		RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			last := ""
			for {
				b, v, err := flags.getService(args[0])
				if err != nil {
					return err
				}
				if !watch {
					return flags.printService(out, b)
				}
				now := serviceLine(v)
				if v.Rollout != nil && v.Rollout.Why != "" {
					now += "; " + v.Rollout.Why
				}
				switch {
				case flags.printJSON:
					fmt.Fprintln(out, string(b))
				case now != last:
					fmt.Fprintf(out, "%s  %s\n", time.Now().Format("15:04:05"), now)
				}
				last = now
				if v.Rollout == nil || v.Rollout.State == "stuck" {
					return flags.printOutcome(out, args[0], v)
				}
				time.Sleep(every)
			}
		}})
	c.Flags().BoolVar(&watch, "watch", false, "print each change until the roll-out is over; exit status 5 if it did not succeed")
	c.Flags().DurationVar(&every, "every", time.Second, "how often to ask, with --watch")
	return c
}

// exitFailed is the exit status if a watched roll-out did not succeed.
const exitFailed = 5

// printOutcome prints how a watched roll-out ended, or returns an error if it did not succeed.
func (flags *clientFlags) printOutcome(out io.Writer, name string, v *wire.ServiceView) error {
	if v.Rollout != nil {
		return exitError{exitFailed, fmt.Errorf("roll-out %s is stuck: %s", v.Rollout.ID, v.Rollout.Why)}
	}
	b, err := flags.request("GET", servicePath(name, wire.VerbHistory), nil)
	if err != nil {
		return err
	}
	var h struct {
		Rollouts []wire.RolloutView `json:"rollouts"`
	}
	if err := json.Unmarshal(b, &h); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	if len(h.Rollouts) == 0 {
		return nil
	}
	r := h.Rollouts[0]
	if r.State != "done" {
		return exitError{exitFailed, fmt.Errorf("roll-out %s: %s: %s", r.ID, r.State, r.Why)}
	}
	if !flags.printJSON {
		fmt.Fprintf(out, "roll-out %s: done\n", r.ID)
	}
	return nil
}

func rolloutHistory() *cobra.Command {
	var flags clientFlags
	return flags.register(&cobra.Command{
		Use: "history SERVICE", Short: "list the last roll-outs of a service: who began them, when, how they ended, and why",
		Args: serviceArgs(1, "rollout history takes one service"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := flags.request("GET", servicePath(args[0], wire.VerbHistory), nil)
			if err != nil {
				return err
			}
			if flags.printJSON {
				fmt.Fprintln(c.OutOrStdout(), string(b))
				return nil
			}
			var h struct {
				Rollouts []wire.RolloutView `json:"rollouts"`
			}
			if err := json.Unmarshal(b, &h); err != nil {
				return fmt.Errorf("malformed answer: %w", err)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "ROLL-OUT\tFROM\tTO\tBY\tBEGAN\tTOOK\tSTATE\tSTEP\tWHY")
			for _, r := range h.Rollouts {
				took := "under way"
				if r.EndMS > 0 {
					took = (time.Duration(r.EndMS-r.AtMS) * time.Millisecond).Round(time.Second).String()
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d of %d\t%s\n", r.ID, r.From, r.To, r.By, time.UnixMilli(r.AtMS).Format("2006-01-02 15:04:05"),
					took, r.State, r.Step, r.Steps, r.Why)
				for _, e := range r.Evidence {
					fmt.Fprintf(w, "\t\t\t\t\t\t\t\tevidence: %s\n", e)
				}
			}
			return w.Flush()
		}})
}

func rolloutList() *cobra.Command {
	var flags clientFlags
	return flags.register(&cobra.Command{
		Use: "list", Short: "list all services", Args: serviceArgs(0, "rollout list takes no arguments"),
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := flags.request("GET", wire.PathServices, nil)
			if err != nil {
				return err
			}
			if flags.printJSON {
				fmt.Fprintln(c.OutOrStdout(), string(b))
				return nil
			}
			var l struct {
				Services []wire.ServiceView `json:"services"`
				More     int                `json:"more"`
			}
			if err := json.Unmarshal(b, &l); err != nil {
				return fmt.Errorf("malformed answer: %w", err)
			}
			for i := range l.Services {
				fmt.Fprintln(c.OutOrStdout(), serviceLine(&l.Services[i]))
			}
			if l.More > 0 {
				fmt.Fprintf(c.OutOrStdout(), "and %d more\n", l.More)
			}
			return nil
		}})
}
