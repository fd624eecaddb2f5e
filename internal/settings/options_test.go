package settings

import (
	"strings"
	"testing"
	"time"
)

// TestOptions checks the values of a valid options file, and that each invalid line gives a
// one-line error that names the file and the reason.
func TestOptions(t *testing.T) {
	o, err := ParseOptions("o", []byte("# seats\nunits.enabled = true\nunits.seat.count = 5\nunits.seat.probe = 10.0.0.9:7000/used\nunits.seat.probe.keep = 1m\nunits.other.count: 0\nfloors.most=0.3\nweight.red=2\n"))
	if err != nil || !o.Units || o.Rollouts || len(o.Declared) != 2 || o.Declared[1].Count != 5 || o.Declared[1].Probe.Path != "/used" ||
		o.Declared[1].Probe.Keep != time.Minute || o.Declared[1].Probe.Cautious != -1 || o.Declared[0].Probe != nil || o.Sharing.MinShareFraction != 0.3 || o.Sharing.MinShareJobFraction != 0.5 || o.Sharing.Weights["red"] != 2 {
		t.Fatalf("%+v %v", o, err)
	}
	for _, c := range [][2]string{{"units.Seat.count=1", "small letters"}, {"units.seat.count=-1", "units.seat.count"}, {"units.seat.count=1.5", "whole number"},
		{"units.seat.probe=10.0.0.9:7000/x", "count: missing"}, {"units.seat.count=1\nunits.seat.probe=host/x", "IP:port"}, {"units.seat.count=1\nunits.seat.probe.every=5", "no time"},
		{"units.seat.count=1\nunits.seat.probe.every=5s", "probe: missing"}, {"units.seat.number=1", "no such setting"}, {"color=red", "no such setting"}, {"units.enabled=maybe", "neither"},
		{"floors.most=1", "no number from 0 to 0.9"}, {"floors.part=x", "no number"}, {"floors.over=5", "no time"}, {"floors.more=1", "no such setting"}, {"weight.=1", "no such setting"}, {"weight.a=-1", "no number"}} {
		_, err := ParseOptions("o.properties", []byte(c[0]))
		if err == nil || !strings.Contains(err.Error(), c[1]) || !strings.Contains(err.Error(), "o.properties") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q got %v", c[0], err)
		}
	}
}
