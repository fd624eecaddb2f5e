package settings

import (
	"strings"
	"testing"
)

const good = `label = "n0"
location = "a"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
unknown = 3
[[peers]]
label = "n1"
endpoint = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
nodes = 2
[[facts.teams]]
name = "t"
gpus_max = 4.0
[facts.workers]
report_s = 3.0
lease_s = 36.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 61.0
[facts.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[facts.cloud]
rps = 2.0
list_lag_s = 4.0
[facts.limits]
cpu_share = 0.12
mem_mb = 125.0
sockets = 1200
`

func TestParse(t *testing.T) {
	s, err := Parse("f.toml", []byte(good))
	if err != nil || s.Facts.Teams[0].MaxGPUs != 4 || s.Peers[0].Endpoint != "10.0.0.2:8081" {
		t.Fatalf("%+v %v", s, err)
	}
	for _, c := range [][3]string{
		{`label = "n0"` + "\n", ``, "label"}, {`"10.0.0.1:8080"`, `"host:1"`, "bind"}, {`lease_s = 36.0`, `lease_s = "x"`, "facts.workers.lease_s"},
		{`lease_s = 36.0`, ``, "facts.workers.lease_s"}, {`cancel_s = 61.0`, `cancel_s = 30.0`, "cancel_s"}, {`rps = 120.0`, `rps = nan`, "facts.state.rps"},
		{`state = "10.2.0.1:2379"`, ``, "external.state"}, {`label = "n1"`, `label = "n0"`, "peers[0].label"}, {`gpus_max = 4.0`, `gpus_max = -4.0`, "facts.teams[0]"},
		{`sockets = 1200`, `sockets = 20`, "facts.limits.sockets"}, {`nodes = 2`, `zones = ["a", "b", "a"]`, "facts.zones[2]"},
		{`[[facts.teams]]`, "[[facts.teams]]\nname = \"t\"\n[[facts.teams]]", "facts.teams[1].name"},
	} {
		_, err := Parse("f.toml", []byte(strings.Replace(good, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) || !strings.Contains(err.Error(), "f.toml") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v", c[1], c[0], err)
		}
	}
}
