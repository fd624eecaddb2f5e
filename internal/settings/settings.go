// Package settings reads and validates the platform's settings file and the operator's
// options file.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Peer is another controller of the cluster.
type Peer struct {
	Label    string `toml:"label"`
	Location string `toml:"location"`
	Endpoint string `toml:"endpoint"`
}

// Team is a team with its guaranteed resources and its limits. 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of the operators.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Settings is the content of the platform's file.
type Settings struct {
	Label         string `toml:"label"`
	Location      string `toml:"location"`
	Bind          string `toml:"bind"`
	ClusterListen string `toml:"cluster_listen"`
	Peers         []Peer `toml:"peers"`
	External      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Facts struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		SkewMS     float64     `toml:"skew_ms"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64 `toml:"rps"`
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPUShare float64 `toml:"cpu_share"`
			MemMB    float64 `toml:"mem_mb"`
			Sockets  int     `toml:"sockets"`
		} `toml:"limits"`
	} `toml:"facts"`
}

// Load reads and validates the file. It ignores unknown fields. An error names the file, the
// field and the reason in one line.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, b)
}

// Parse is like Load, but takes the content. Errors contain name.
func Parse(name string, b []byte) (*Settings, error) {
	var s Settings
	if err := Decode(name, b, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", name, err)
	}
	return &s, nil
}

// Decode decodes TOML into a value. The error names the file, the position, the field and
// the reason in one line.
func Decode(name string, b []byte, into any) error {
	err := toml.Unmarshal(b, into)
	if err == nil {
		return nil
	}
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		return fmt.Errorf("%s: %s", name, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	row, col := de.Position()
	// The library's error names the Go struct and its field; only the type is kept.
	reason, rest, found := strings.Cut(strings.TrimPrefix(de.Error(), "toml: "), " into struct field")
	if i := strings.LastIndex(rest, " of type "); found && i >= 0 {
		reason += " as " + rest[i+len(" of type "):]
	}
	return fmt.Errorf("%s:%d:%d: field %s: %s", name, row, col, strings.Join(de.Key(), "."), reason)
}

func checkAddr(field, v string) error {
	if v == "" {
		return fmt.Errorf("field %s: missing", field)
	}
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("field %s: %q is no address of the form IP:port", field, v)
	}
	if ip := net.ParseIP(host); ip == nil || ip.To4() == nil {
		return fmt.Errorf("field %s: %q is no IPv4 address", field, host)
	}
	if p, err := strconv.Atoi(port); err != nil || p < 1 || p > 65535 {
		return fmt.Errorf("field %s: %q is no port", field, port)
	}
	return nil
}

func checkPositive(field string, v float64) error {
	if !(v > 0) || math.IsInf(v, 0) {
		return fmt.Errorf("field %s: must be a positive number, is %v", field, v)
	}
	return nil
}

func (s *Settings) check() error {
	if s.Label == "" {
		return fmt.Errorf("field label: missing")
	}
	for _, a := range [][2]string{{"bind", s.Bind}, {"cluster_listen", s.ClusterListen},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State}} {
		if err := checkAddr(a[0], a[1]); err != nil {
			return err
		}
	}
	seen := map[string]bool{s.Label: true}
	for i, p := range s.Peers {
		if p.Label == "" {
			return fmt.Errorf("field peers[%d].label: missing", i)
		}
		if seen[p.Label] {
			return fmt.Errorf("field peers[%d].label: %q is there twice", i, p.Label)
		}
		seen[p.Label] = true
		if err := checkAddr(fmt.Sprintf("peers[%d].endpoint", i), p.Endpoint); err != nil {
			return err
		}
	}
	f := &s.Facts
	if f.Nodes == 0 {
		f.Nodes = len(s.Peers) + 1
	}
	for _, v := range []struct {
		n string
		v float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.gang_wait_s", f.Workers.GangWaitS}, {"facts.workers.gang_peer_s", f.Workers.GangPeerS},
		{"facts.workers.cancel_s", f.Workers.CancelS},
		{"facts.state.rps", f.State.RPS}, {"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB}, {"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS}, {"facts.limits.mem_mb", f.Limits.MemMB},
		{"facts.limits.sockets", float64(f.Limits.Sockets)},
	} {
		if err := checkPositive(v.n, v.v); err != nil {
			return err
		}
	}
	// There is a connection in each direction for every peer, and there are some to the state
	// service and the cloud. With fewer sockets none are left for users and workers.
	if least := 2*len(s.Peers) + 32; f.Limits.Sockets < least {
		return fmt.Errorf("field facts.limits.sockets: %d are too few with %d peers, at least %d are needed", f.Limits.Sockets, len(s.Peers), least)
	}
	zones := map[string]bool{}
	for i, z := range f.Zones {
		if z == "" || zones[z] {
			return fmt.Errorf("field facts.zones[%d]: %q is empty or there twice", i, z)
		}
		zones[z] = true
	}
	if f.Workers.CancelS <= f.Workers.LeaseS {
		return fmt.Errorf("field facts.workers.cancel_s: must be above lease_s (%v), is %v", f.Workers.LeaseS, f.Workers.CancelS)
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		if t.Name == "" {
			return fmt.Errorf("field facts.teams[%d].name: missing", i)
		}
		if names[t.Name] {
			return fmt.Errorf("field facts.teams[%d].name: %q is there twice", i, t.Name)
		}
		names[t.Name] = true
		for _, v := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("field facts.teams[%d]: amounts of %q must be 0 or more", i, t.Name)
			}
		}
	}
	return nil
}
