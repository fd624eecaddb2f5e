// Command brooklb is the controller daemon and the command-line client of a running service.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"brooklb"

	"github.com/spf13/cobra"
)

// version is the product's version.
const version = "0.1.0"

// usageError marks errors of the command line, for which the exit status is 2.
type usageError struct{ error }

func main() {
	err := execute(rootCommand(), os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "brooklb:", err)
	}
	os.Exit(exitStatus(err))
}

// execute executes the command line. A first word that is not a command is an error even
// with --help, for which cobra would show the program's help.
func execute(c *cobra.Command, args []string) error {
	if cmd, _, err := c.Find(args); err == nil && cmd == c && len(args) > 0 && args[0] != "" && args[0][0] != '-' && args[0] != "help" && args[0] != "completion" {
		return usageError{fmt.Errorf("unknown command or argument %q", args[0])}
	}
	c.SetArgs(args)
	return c.ExecuteContext(context.Background())
}

func exitStatus(err error) int {
	var u usageError
	var e exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &u):
		return 2
	case errors.As(err, &e):
		return e.status
	}
	return 1
}

func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

func rootCommand() *cobra.Command {
	var config, options string
	var check, rollouts, units bool
	c := &cobra.Command{
		Use:           "brooklb",
		Short:         "a cluster scheduler with replicated controllers that need no disks",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command or argument %q", args[0])}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if config == "" {
				return usageError{errors.New("--config FILE is missing")}
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
			s, err := brooklb.New(brooklb.Config{SettingsFile: config, Rollouts: rollouts, Units: units, OptionsFile: options, Log: log})
			if err != nil || check {
				if err == nil {
					fmt.Println("settings are good")
				}
				return err
			}
			return s.Run(context.Background())
		},
	}
	c.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML)")
	c.Flags().BoolVar(&rollouts, "rollouts", false, "let users roll out new versions of services")
	c.Flags().BoolVar(&units, "units", false, "let operators set counted resources")
	c.Flags().StringVar(&options, "options", "", "the operator's own settings (properties file)")
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	c.AddCommand(&cobra.Command{Use: "version", Short: "print the version", Run: func(*cobra.Command, []string) { fmt.Println("brooklb", version) }})
	c.AddCommand(userCommands()...)
	c.AddCommand(rolloutCommand(), unitsCommand(), stateCommand(), devCommand(), scaleCommand())
	return c
}
