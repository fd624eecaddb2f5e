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

// rolloutCommand has what people do with roll-outs of services.
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
		{wire.VerbPause, "hold a roll-out where it is; it still goes back if checks fail"},
		{wire.VerbResume, "go on with a paused roll-out, or try again with one that is stuck"},
		{wire.VerbAbort, "stop a roll-out and bring the old version back"},
		{wire.VerbWithdraw, "end a service with all its versions"},
	} {
		c.AddCommand(rolloutAsk(verb.name, verb.short))
	}
	return c
}

// whoami is who asks, for the history.
func whoami() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func services(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{errors.New(what)}
		}
		if n > 0 && !wire.ValidService(args[0]) {
			return usageError{fmt.Errorf("%q is no name of a service: up to 40 of a-z, 0-9 and -", args[0])}
		}
		return nil
	}
}

func path(service, verb string) string {
	return strings.TrimSuffix(wire.PathServices+"/"+service+"/"+verb, "/")
}

func rolloutStart() *cobra.Command {
	var a asker
	return a.flags(&cobra.Command{
		Use: "start SERVICE FILE", Short: "begin a roll-out described in JSON in a file or on standard input (-)",
		Args: services(2, "rollout start takes a service and a file, or - for standard input"),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := read(c, args[1])
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
					m["by"] = wire.Encode(whoami())
					body = wire.Encode(m)
				}
			}
			b, err := a.ask("POST", path(args[0], wire.VerbStart), body)
			if err != nil {
				return err
			}
			return a.service(c.OutOrStdout(), b)
		}})
}

func rolloutAsk(verb, short string) *cobra.Command {
	var a asker
	var why string
	c := a.flags(&cobra.Command{
		Use: verb + " SERVICE", Short: short, Args: services(1, "rollout "+verb+" takes one service"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := a.ask("POST", path(args[0], verb), wire.Encode(wire.RequestInfo{By: whoami(), Why: why}))
			if err != nil {
				return err
			}
			return a.service(c.OutOrStdout(), b)
		}})
	c.Flags().StringVar(&why, "why", "", "the reason, for the history")
	return c
}

// service shows a service and its roll-out.
func (a *asker) service(w io.Writer, b []byte) error {
	if a.asJSON {
		fmt.Fprintln(w, string(b))
		return nil
	}
	var v wire.ServiceView
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("the answer makes no sense: %w", err)
	}
	fmt.Fprintln(w, line(&v))
	if r := v.Rollout; r != nil {
		if r.Why != "" {
			fmt.Fprintln(w, "why:", r.Why)
		}
		for _, e := range r.Evidence {
			fmt.Fprintln(w, "evidence:", e)
		}
		if l := r.Live; l != nil && l.CheckP50MS > 0 {
			fmt.Fprintf(w, "checks: every %.1f s, answered in %.1f ms (median), %.1f ms (99 of 100)\n", l.CheckEveryS, l.CheckP50MS, l.CheckP99MS)
		}
	}
	return nil
}

// line is a service in one line.
func line(v *wire.ServiceView) string {
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

// look asks all nodes for a service: the leader knows most.
func (a *asker) look(name string) ([]byte, *wire.ServiceView, error) {
	b, err := a.leaders(path(name, ""), func(b []byte) bool {
		var v wire.ServiceView
		return json.Unmarshal(b, &v) == nil && (v.Rollout == nil || v.Rollout.Live != nil)
	})
	if err != nil {
		return nil, nil, err
	}
	var v wire.ServiceView
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, nil, fmt.Errorf("the answer makes no sense: %w", err)
	}
	return b, &v, nil
}

func rolloutStatus() *cobra.Command {
	var a asker
	var watch bool
	var every time.Duration
	c := a.flags(&cobra.Command{
		Use: "status SERVICE", Short: "how a service and its roll-out stand, and why",
		Args: services(1, "rollout status takes one service"),
		RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			last := ""
			for {
				b, v, err := a.look(args[0])
				if err != nil {
					return err
				}
				if !watch {
					return a.service(out, b)
				}
				now := line(v)
				if v.Rollout != nil && v.Rollout.Why != "" {
					now += "; " + v.Rollout.Why
				}
				switch {
				case a.asJSON:
					fmt.Fprintln(out, string(b))
				case now != last:
					fmt.Fprintf(out, "%s  %s\n", time.Now().Format("15:04:05"), now)
				}
				last = now
				if v.Rollout == nil || v.Rollout.State == "stuck" {
					return a.outcome(out, args[0], v)
				}
				time.Sleep(every)
			}
		}})
	c.Flags().BoolVar(&watch, "watch", false, "go on telling until the roll-out is over; status 5 if it did not succeed")
	c.Flags().DurationVar(&every, "every", time.Second, "how often to ask, with --watch")
	return c
}

// exitFailed is the status of a watch of a roll-out that did not succeed.
const exitFailed = 5

// outcome tells how a watched roll-out ended.
func (a *asker) outcome(out io.Writer, name string, v *wire.ServiceView) error {
	if v.Rollout != nil {
		return exitError{exitFailed, fmt.Errorf("roll-out %s is stuck: %s", v.Rollout.ID, v.Rollout.Why)}
	}
	b, err := a.ask("GET", path(name, wire.VerbHistory), nil)
	if err != nil {
		return err
	}
	var h struct {
		Rollouts []wire.RolloutView `json:"rollouts"`
	}
	if err := json.Unmarshal(b, &h); err != nil {
		return fmt.Errorf("the answer makes no sense: %w", err)
	}
	if len(h.Rollouts) == 0 {
		return nil
	}
	r := h.Rollouts[0]
	if r.State != "done" {
		return exitError{exitFailed, fmt.Errorf("roll-out %s: %s: %s", r.ID, r.State, r.Why)}
	}
	if !a.asJSON {
		fmt.Fprintf(out, "roll-out %s: done\n", r.ID)
	}
	return nil
}

func rolloutHistory() *cobra.Command {
	var a asker
	return a.flags(&cobra.Command{
		Use: "history SERVICE", Short: "the last roll-outs of a service: who, when, how they ended, and why",
		Args: services(1, "rollout history takes one service"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := a.ask("GET", path(args[0], wire.VerbHistory), nil)
			if err != nil {
				return err
			}
			if a.asJSON {
				fmt.Fprintln(c.OutOrStdout(), string(b))
				return nil
			}
			var h struct {
				Rollouts []wire.RolloutView `json:"rollouts"`
			}
			if err := json.Unmarshal(b, &h); err != nil {
				return fmt.Errorf("the answer makes no sense: %w", err)
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
	var a asker
	return a.flags(&cobra.Command{
		Use: "list", Short: "all services", Args: services(0, "rollout list takes no arguments"),
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := a.ask("GET", wire.PathServices, nil)
			if err != nil {
				return err
			}
			if a.asJSON {
				fmt.Fprintln(c.OutOrStdout(), string(b))
				return nil
			}
			var l struct {
				Services []wire.ServiceView `json:"services"`
				More     int                `json:"more"`
			}
			if err := json.Unmarshal(b, &l); err != nil {
				return fmt.Errorf("the answer makes no sense: %w", err)
			}
			for i := range l.Services {
				fmt.Fprintln(c.OutOrStdout(), line(&l.Services[i]))
			}
			if l.More > 0 {
				fmt.Fprintf(c.OutOrStdout(), "and %d more\n", l.More)
			}
			return nil
		}})
}
