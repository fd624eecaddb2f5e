// Package brooklb is a cluster scheduler. A program that embeds it calls New with a Config
// and then Run, as the daemon in cmd/brooklb does.
package brooklb

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"

	"brooklb/internal/httpx"
	"brooklb/internal/node"
	"brooklb/internal/settings"
)

// Config configures a controller.
type Config struct {
	// SettingsFile is the platform's TOML file.
	SettingsFile string
	// Rollouts lets users roll out new versions of services.
	Rollouts bool
	// Units lets operators set counted resources.
	Units bool
	// OptionsFile is the operator's properties file; "" means none.
	OptionsFile string
	// Log receives the log; nil means the default logger.
	Log *slog.Logger
}

// Service is a controller of the cluster.
type Service struct {
	set *settings.Settings
	opt node.Options
	log *slog.Logger
}

// New reads and validates the settings. It doesn't start anything; Run does.
func New(c Config) (*Service, error) {
	set, err := settings.Load(c.SettingsFile)
	if err != nil {
		return nil, err
	}
	opt := node.Options{Rollouts: c.Rollouts, Units: c.Units, Sharing: settings.DefaultSharing()}
	if c.OptionsFile != "" {
		o, err := settings.LoadOptions(c.OptionsFile)
		if err != nil {
			return nil, err
		}
		opt.Rollouts, opt.Units, opt.Declared = opt.Rollouts || o.Rollouts, opt.Units || o.Units, o.Declared
		if err := o.Sharing.Check(set.Facts.Teams); err != nil {
			return nil, fmt.Errorf("options: %s: %w", c.OptionsFile, err)
		}
		opt.Sharing = o.Sharing
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return &Service{set: set, opt: opt, log: c.Log.With("node", set.Label)}, nil
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	// A controller has a fraction of a core, so that a second processor would only add
	// context switches. The garbage collector has to respect the memory limit.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(s.set.Facts.Limits.MemMB * 0.6 * (1 << 20)))
	lim := s.set.Facts.Limits
	loop := httpx.NewLoop(s.set.Bind, s.set.ClusterListen, lim.Sockets, hash(s.set.Label), s.log)
	n := node.New(loop, s.set, s.opt)
	s.log.Info("starting", "listen", s.set.Bind)
	return loop.Run(ctx, n, n.Start)
}

// hash is the 64-bit FNV-1a hash.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
