package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCommands runs the command line against a test server that answers as documented, and
// checks the output and the exit status.
func TestCommands(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := func(status int, body string) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
		switch r.Method + " " + r.URL.Path {
		case "POST /v2/runs":
			answer(201, `{"ref":"j-000412","phase":"pending"}`)
		case "GET /v2/runs/j-000412":
			answer(200, `{"ref":"j-000412","phase":"running","done":3,"running":13,"why":"task 2 attempt 1 on vm-000007: machine lost"}`)
		case "POST /v2/runs/j-000412/withdraw":
			answer(200, `{"ref":"j-000412","phase":"withdrawn"}`)
		case "GET /units":
			answer(200, `{"units":[{"name":"seat","count":5,"live":{"used":3,"free":2,"jobs":4,"waiting":1,"wait_p50_s":1.5}},{"name":"old","count":1,"removed":true}]}`)
		case "GET /units/seat":
			answer(200, `{"name":"seat","count":5,"teams":{"red":{"share":1,"most":2}},"reserve":{"high":1},"live":{"used":3,"holders":[{"units":3,"job":"j-1","task":-1,"for_s":9,"until":"the last is gone"}]}}`)
		case "POST /units/seat", "POST /units/seat/remove":
			answer(200, `{"name":"seat","count":7}`)
		case "GET /services/shop":
			answer(200, `{"service":"shop","version":"j-1","rollout":{"id":"shop/3","from":"j-1","to":"j-2","at_ms":5,"state":"baking","paused":true,"step":2,"steps":3,"new":4,"old":5,"all":9,
				"why":"watched for another 5 s","evidence":["j-2/0 on vm-1 failed"],"live":{"new_healthy":3,"new_sick":1,"old_healthy":5,"check_p50_ms":2,"check_every_s":5}}}`)
		case "GET /services/till":
			answer(200, `{"service":"till","version":"j-1"}`)
		case "GET /services/till/history":
			answer(200, `{"rollouts":[{"id":"till/1","from":"j-1","to":"j-2","by":"ana","at_ms":5,"end_ms":90005,"state":"rolled back","step":1,"steps":3,"why":"answered 500"}]}`)
		case "GET /services":
			answer(200, `{"services":[{"service":"shop","version":"j-1"},{"service":"gone","ended":true}],"more":3}`)
		case "POST /services/shop/rollouts":
			answer(409, `{"error":"roll-out shop/3 is under way"}`)
		case "POST /services/shop/pause", "POST /services/shop/abort":
			answer(200, `{"service":"shop","version":"j-1"}`)
		case "GET /overview":
			answer(200, `{"node":"n0","healthy":true,"leading":true,"leader":"n0","token":7,"led_s":12,"state_silent_s":0.1,
				"machines":{"total":5,"running":3.5},"jobs":{"open":2,"waiting":1,"waiting_tasks":4,"at_fault":1},
				"teams":[{"name":"red","cpus":4,"guaranteed_cpus":60}],
				"queue":[{"job":"j-1","class":"train","team":"red","tasks":4,"age_s":9,"why":"no machine has room"}]}`)
		default:
			answer(404, `{"error":"no such job"}`)
		}
	}))
	defer srv.Close()
	to := "--to=" + strings.TrimPrefix(srv.URL, "http://")
	file := filepath.Join(t.TempDir(), "job.json")
	job := `{"ref":"j-000412","lane":"train","crew":"vision","shape":"ensemble","urgency":"high","shards":16,"cpus":8.0,"gpus":1.0,"memory_gb":64.0,
		"bundle":"img-07","size_gb":6.2,"hulls":["g8"],"yard":null,"same_place":true,"apart":false,"loaners":true,
		"expect_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0}`
	if err := os.WriteFile(file, []byte(job), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		in     string
		want   string
		status int
	}{
		{args: []string{"submit", to, file}, want: "j-000412: pending"},
		{args: []string{"submit", to, "-"}, in: job, want: "j-000412: pending"},
		{args: []string{"submit", to, "-"}, in: `{"ref":"j-1"}`, status: exitInvalid},
		{args: []string{"submit", to, "-"}, in: `]`, status: exitInvalid},
		{args: []string{"submit", to, file + "x"}, status: 1},
		{args: []string{"submit", to}, status: 2},
		{args: []string{"status", to, "j-000412"}, want: "3 tasks done, 13 running\nwhy: task 2 attempt 1 on vm-000007: machine lost"},
		{args: []string{"status", to, "--json", "j-000412"}, want: `"phase":"running"`},
		{args: []string{"status", to, "j-9"}, status: exitUnknown},
		{args: []string{"status", to, "nine"}, status: 2},
		{args: []string{"status", "--to=127.0.0.1:1", "--for=0s", "j-9"}, status: 1},
		{args: []string{"withdraw", to, "j-000412"}, want: "withdrawn"},
		{args: []string{"overview", to}, want: "no machine has room"},
		{args: []string{"overview", "--to=127.0.0.1:1"}, status: 1},
		{args: []string{"overview", "--nonsense"}, status: 2},
		{args: []string{"nonsense"}, status: 2},
		{args: []string{"rollout", "status", to, "shop"}, want: "shop: j-1 serves; roll-out shop/3 to j-2: baking, step 2 of 3, 4 of 9 instances new, 5 old, paused (new: 3 healthy, 1 sick, 0 unknown; old: 5 healthy)\nwhy: watched"},
		{args: []string{"rollout", "status", to, "--json", "shop"}, want: `"state":"baking"`},
		{args: []string{"rollout", "status", to, "--watch", "till"}, want: "till: j-1 serves", status: exitFailed},
		{args: []string{"rollout", "status", to, "nobody"}, status: exitUnknown},
		{args: []string{"rollout", "status", to, "Not a name"}, status: 2},
		{args: []string{"rollout", "history", to, "till"}, want: "1m30s"},
		{args: []string{"rollout", "list", to}, want: "gone: withdrawn\nand 3 more"},
		{args: []string{"rollout", "start", to, "shop", "-"}, in: `{}`, status: exitInvalid},
		{args: []string{"rollout", "start", to, "shop", "../../examples/rollout-good.json"}, status: exitInvalid},
		{args: []string{"rollout", "pause", to, "--why=lunch", "shop"}, want: "shop: j-1 serves"},
		{args: []string{"rollout", "abort", to}, status: 2},
		{args: []string{"rollout", "undo"}, status: 2},
		{args: []string{"rollout"}, status: 2},
		{args: []string{"dev", "--controllers=0"}, status: 2},
		{args: []string{"units", "list", to}, want: "1.5 s"},
		{args: []string{"units", "show", to, "seat"}, want: "j-1 (the whole job)"},
		{args: []string{"units", "show", to, "Seat"}, status: 2},
		{args: []string{"units", "show", to, "none"}, status: exitUnknown},
		{args: []string{"units", "set", to, "seat", "7", "--team=red:1:2", "--reserve=high:1", "--stop", "--external=1"}, want: "seat"},
		{args: []string{"units", "set", to, "seat", "-7"}, status: 2},
		{args: []string{"units", "set", to, "seat", "x"}, status: 2},
		{args: []string{"units", "set", to, "seat", "--team=red"}, status: 2},
		{args: []string{"units", "set", to, "seat", "--reserve=high"}, status: 2},
		{args: []string{"units", "remove", to, "seat"}, want: "seat"},
		{args: []string{"units"}, status: 2},
		{args: []string{"bogus", "--help"}, status: 2},
		{args: []string{"dev", "--for=never"}, status: 2},
		{args: []string{"dev", "--faults=/no/such/file", "--for=1s"}, status: 1},
	} {
		var out bytes.Buffer
		r := rootCommand()
		r.SetIn(strings.NewReader(c.in))
		r.SetOut(&out)
		err := execute(r, c.args)
		if got := exitStatus(err); got != c.status || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: status %d (%v), %q, want %d, %q", c.args, got, err, out.String(), c.status, c.want)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: more than a line: %v", c.args, errors.Unwrap(err))
		}
	}
}
