package settings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/units"

	"github.com/magiconair/properties"
)

// Options are the operator's settings, in addition to the platform's.
type Options struct {
	Rollouts bool
	Units    bool
	Declared []units.Declared
	Sharing  *Sharing
}

// Defaults of a probe.
const (
	defaultProbeInterval = 10 * time.Second
	defaultProbeKeep     = 2 * time.Minute
)

// LoadOptions reads and validates an options file, which has the format of a properties
// file. An error names the file, the key and the reason in one line.
func LoadOptions(file string) (*Options, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return ParseOptions(file, b)
}

// ParseOptions is like LoadOptions, but takes the content. Errors contain name.
func ParseOptions(name string, b []byte) (*Options, error) {
	// Expansion is disabled because ${...} in a value would read the process's environment.
	loader := &properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(b)
	if err != nil {
		return nil, fmt.Errorf("options: %s: %s", name, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	o := &Options{Sharing: DefaultSharing()}
	byName := map[string]*units.Declared{}
	for _, key := range p.Keys() {
		v, _ := p.Get(key) // the key exists
		if err := o.set(key, strings.TrimSpace(v), byName); err != nil {
			return nil, fmt.Errorf("options: %s: %s: %w", name, key, err)
		}
	}
	for n, d := range byName {
		if d.Count < 0 {
			return nil, fmt.Errorf("options: %s: units.%s.count: missing", name, n)
		}
		if d.Probe != nil && d.Probe.Addr == "" {
			return nil, fmt.Errorf("options: %s: units.%s.probe: missing, but it has settings", name, n)
		}
		o.Declared = append(o.Declared, *d)
	}
	slices.SortFunc(o.Declared, func(a, b units.Declared) int { return strings.Compare(a.Name, b.Name) })
	if len(o.Declared) > units.MaxResources {
		return nil, fmt.Errorf("options: %s: %d resources, at most %d", name, len(o.Declared), units.MaxResources)
	}
	return o, nil
}

// set stores the value of one key. byName collects the declared resources.
func (o *Options) set(key, v string, byName map[string]*units.Declared) error {
	flag := func(to *bool) (err error) {
		if *to, err = strconv.ParseBool(v); err != nil {
			return fmt.Errorf("%q is neither true nor false", v)
		}
		return nil
	}
	switch key {
	case "rollouts.enabled":
		return flag(&o.Rollouts)
	case "units.enabled":
		return flag(&o.Units)
	}
	if strings.HasPrefix(key, "floors.") || strings.HasPrefix(key, "weight.") {
		return o.Sharing.set(key, v)
	}
	rest, ok := strings.CutPrefix(key, "units.")
	if !ok {
		return fmt.Errorf("no such setting")
	}
	name, setting, _ := strings.Cut(rest, ".")
	if !units.ValidName(name) {
		return units.BadName(name)
	}
	d := byName[name]
	if d == nil {
		d = &units.Declared{Name: name, Count: -1}
		byName[name] = d
	}
	probe := func() *units.Probe {
		if d.Probe == nil {
			d.Probe = &units.Probe{Every: defaultProbeInterval, Keep: defaultProbeKeep, Cautious: -1}
		}
		return d.Probe
	}
	duration := func(to *time.Duration, lo time.Duration) (err error) {
		if *to, err = time.ParseDuration(v); err != nil || *to < lo || *to > 24*time.Hour {
			return fmt.Errorf("%q is no time from %v to 24h, for example 30s", v, lo)
		}
		return nil
	}
	number := func(to *int) (err error) {
		if *to, err = strconv.Atoi(v); err != nil || *to < 0 || *to > units.MaxCount {
			return fmt.Errorf("%q is no whole number from 0 to %d", v, units.MaxCount)
		}
		return nil
	}
	switch setting {
	case "count":
		return number(&d.Count)
	case "probe":
		host, path, _ := strings.Cut(v, "/")
		if err := checkAddr(key, host); err != nil {
			return fmt.Errorf("%q is not of the form IP:port/path", v)
		}
		if _, _, err := net.SplitHostPort(host); err != nil || strings.ContainsAny(path, " \t#") {
			return fmt.Errorf("%q is not of the form IP:port/path", v)
		}
		probe().Addr, probe().Path = host, "/"+path
		return nil
	case "probe.every":
		return duration(&probe().Every, time.Second)
	case "probe.keep":
		return duration(&probe().Keep, time.Second)
	case "probe.cautious":
		if v == "all" {
			probe().Cautious = -1
			return nil
		}
		return number(&probe().Cautious)
	}
	return fmt.Errorf("no such setting of a resource: count, probe, probe.every, probe.keep or probe.cautious")
}
