package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"brooklb/internal/units"
	"brooklb/internal/wire"

	"github.com/spf13/cobra"
)

// unitsCommand returns the command for counted resources.
func unitsCommand() *cobra.Command {
	c := &cobra.Command{Use: "units", Short: "show and set counted resources, such as licences of a tool",
		RunE: func(_ *cobra.Command, args []string) error {
			return usageError{errors.New("units: list, show, set or remove")}
		}}
	c.AddCommand(unitsList(), unitsShow(), unitsSet(), unitsRemove())
	return c
}

// resourceArg checks that there is one argument and that it is a resource name.
func resourceArg(what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{errors.New(what)}
		}
		if !units.ValidName(args[0]) {
			return usageError{units.BadName(args[0])}
		}
		return nil
	}
}

// requestLeader sends GET requests until the leader answers, because only the leader
// knows the live state. After a few attempts it returns another node's answer. live
// reports whether an answer has the live state.
func (flags *clientFlags) requestLeader(path string, live func(b []byte) bool) ([]byte, error) {
	b, err := flags.request("GET", path, nil)
	if err != nil || live(b) {
		return b, err
	}
	for range 4 { // an address may be a load balancer for several nodes
		found := false
		flags.client().GetFromEachNode(path, func(_ string, status int, x []byte, err error) {
			if !found && err == nil && status == 200 && live(x) {
				found, b = true, append([]byte(nil), x...)
			}
		})
		if found {
			break
		}
	}
	return b, nil
}

func unitsList() *cobra.Command {
	var flags clientFlags
	return flags.register(&cobra.Command{
		Use: "list", Short: "list all counted resources",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{errors.New("units list takes no arguments")}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			var l struct {
				Units []wire.UnitsView `json:"units"`
				More  int              `json:"more"`
			}
			b, err := flags.requestLeader(wire.PathUnits, func(b []byte) bool {
				return json.Unmarshal(b, &l) == nil && (len(l.Units) == 0 || l.Units[0].Live != nil)
			})
			if err != nil {
				return err
			}
			if flags.printJSON {
				fmt.Fprintln(c.OutOrStdout(), string(b))
				return nil
			}
			if err := json.Unmarshal(b, &l); err != nil {
				return fmt.Errorf("malformed answer: %w", err)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintln(w, "RESOURCE\tCOUNT\tUSED\tOUTSIDE\tFREE\tJOBS\tWAITING\tWAIT P50\tP99\t")
			for _, u := range l.Units {
				printUnitsRow(w, &u)
			}
			if l.More > 0 {
				fmt.Fprintf(w, "and %d more\n", l.More)
			}
			return w.Flush()
		}})
}

func printUnitsRow(w io.Writer, u *wire.UnitsView) {
	note := u.Trouble
	if u.Removed {
		note = "removed"
	}
	if l := u.Live; l != nil {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f s\t%.1f s\t%s\n", u.Name, u.Count, l.Used, u.External, l.Free, l.Jobs, l.Waiting, l.WaitP50, l.WaitP99, note)
		return
	}
	fmt.Fprintf(w, "%s\t%d\t?\t%d\t?\t?\t?\t\t\t%s\n", u.Name, u.Count, u.External, note)
}

func unitsShow() *cobra.Command {
	var flags clientFlags
	return flags.register(&cobra.Command{
		Use: "show RESOURCE", Short: "show who holds units of a resource, for how long, and when they are released",
		Args: resourceArg("units show takes one resource"),
		RunE: func(c *cobra.Command, args []string) error {
			var u wire.UnitsView
			b, err := flags.requestLeader(wire.PathUnits+"/"+args[0], func(b []byte) bool { return json.Unmarshal(b, &u) == nil && u.Live != nil })
			if err != nil {
				return err
			}
			return flags.printUnits(c.OutOrStdout(), b)
		}})
}

// printUnits prints a resource and its holders.
func (flags *clientFlags) printUnits(out io.Writer, b []byte) error {
	if flags.printJSON {
		fmt.Fprintln(out, string(b))
		return nil
	}
	var u wire.UnitsView
	if err := json.Unmarshal(b, &u); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "RESOURCE\tCOUNT\tUSED\tOUTSIDE\tFREE\tJOBS\tWAITING\tWAIT P50\tP99\t")
	printUnitsRow(w, &u)
	for t, p := range u.Teams {
		fmt.Fprintf(w, "team %s: share %d, at most %s\n", t, p.Share, formatLimit(float64(p.Most)))
	}
	for p, n := range u.Reserve {
		fmt.Fprintf(w, "%d kept for priority %s and above\n", n, p)
	}
	if u.Live == nil {
		fmt.Fprintln(w, "no leader answered: who holds what is not known")
		return w.Flush()
	}
	if len(u.Live.Holders) > 0 {
		fmt.Fprintln(w, "\nUNITS\tHOLDER\tATTEMPT\tMACHINE\tFOR\tFREE WHEN")
	}
	for _, h := range u.Live.Holders {
		holder := fmt.Sprintf("%s/%d", h.Job, h.Task)
		if h.Task < 0 {
			holder = h.Job + " (the whole job)"
		}
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%.0f s\t%s\n", h.Units, holder, h.Attempt, h.Machine, h.ForS, h.Until)
	}
	if u.Live.More > 0 {
		fmt.Fprintf(w, "and %d more\n", u.Live.More)
	}
	return w.Flush()
}

func unitsSet() *cobra.Command {
	var flags clientFlags
	var external int
	var stopExcess bool
	var teams, reserve []string
	c := flags.register(&cobra.Command{
		Use: "set RESOURCE [COUNT]", Short: "declare a resource, or change its count, limits and reserves",
		Args: func(c *cobra.Command, args []string) error {
			if len(args) == 0 || len(args) > 2 {
				return usageError{errors.New("units set takes a resource and, if it is to change, a count")}
			}
			return resourceArg("")(c, args[:1])
		},
		RunE: func(c *cobra.Command, args []string) error {
			body := map[string]any{"by": currentUser()}
			if len(args) == 2 {
				n, err := strconv.Atoi(args[1])
				if err != nil || n < 0 {
					return usageError{fmt.Errorf("%q is not a valid count", args[1])}
				}
				body["count"] = n
			}
			if c.Flags().Changed("external") {
				body["external"] = external
			}
			if stopExcess {
				body["shed"] = true
			}
			if len(teams) > 0 {
				m := map[string]wire.TeamLimits{}
				for _, t := range teams {
					f := strings.Split(t, ":")
					share, err := strconv.Atoi(f[min(1, len(f)-1)])
					if len(f) < 2 || len(f) > 3 || err != nil {
						return usageError{fmt.Errorf("--team %q is not of the form TEAM:SHARE or TEAM:SHARE:MOST", t)}
					}
					p := wire.TeamLimits{Share: share}
					if len(f) == 3 {
						if p.Most, err = strconv.Atoi(f[2]); err != nil {
							return usageError{fmt.Errorf("--team %q is not of the form TEAM:SHARE or TEAM:SHARE:MOST", t)}
						}
					}
					m[f[0]] = p
				}
				body["teams"] = m
			}
			if len(reserve) > 0 {
				m := map[string]int{}
				for _, r := range reserve {
					name, v, ok := strings.Cut(r, ":")
					n, err := strconv.Atoi(v)
					if !ok || err != nil {
						return usageError{fmt.Errorf("--reserve %q is not of the form PRIORITY:UNITS", r)}
					}
					m[name] = n
				}
				body["reserve"] = m
			}
			b, err := flags.request("POST", wire.PathUnits+"/"+args[0], wire.Encode(body))
			if err != nil {
				return err
			}
			return flags.printUnits(c.OutOrStdout(), b)
		}})
	c.Flags().IntVar(&external, "external", 0, "units in use outside the cluster")
	c.Flags().BoolVar(&stopExcess, "stop", false, "stop tasks whose units exceed the new count")
	c.Flags().StringArrayVar(&teams, "team", nil, "TEAM:SHARE or TEAM:SHARE:MOST; replaces the settings of all teams")
	c.Flags().StringArrayVar(&reserve, "reserve", nil, "PRIORITY:UNITS, reserved for that priority (low, normal, high, production) and above")
	return c
}

func unitsRemove() *cobra.Command {
	var flags clientFlags
	return flags.register(&cobra.Command{
		Use: "remove RESOURCE", Short: "remove a resource; jobs that ask for it wait",
		Args: resourceArg("units remove takes one resource"),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := flags.request("POST", wire.PathUnits+"/"+args[0]+"/"+wire.VerbRemove, wire.Encode(wire.RequestInfo{By: currentUser()}))
			if err != nil {
				return err
			}
			return flags.printUnits(c.OutOrStdout(), b)
		}})
}
