package wire

import (
	"strings"
	"testing"

	"brooklb/internal/model"
)

const good = `{"ref":"j-000412","lane":"train","crew":"vision","shape":"ensemble","urgency":"high","shards":16,
 "cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","size_gb":6.2,
 "hulls":["g8"],"yard":null,"same_place":true,"apart":false,"loaners":true,
 "expect_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0}`

func TestDecodeJob(t *testing.T) {
	s, err := DecodeJob([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "j-000412" || s.Kind != model.Gang || s.Priority != model.High || s.Tasks != 16 || s.Resources.GPUs != 1 ||
		!s.OneZone || s.Spread || !s.Spot || s.DeadlineS != 900 || s.Zone != "" || len(s.Types) != 1 {
		t.Fatalf("%+v", s)
	}
	for _, r := range [][2]string{{`"hulls":["g8"],`, ``}, {`"yard":null,`, ``}, {`,"due_s":900.0`, ``}, {`"ref"`, `"new":{"a":[1]},"ref"`}} {
		if _, err := DecodeJob([]byte(strings.Replace(good, r[0], r[1], 1))); err != nil {
			t.Errorf("with %q for %q: %v", r[1], r[0], err)
		}
	}
}

func TestDecodeJobRefuses(t *testing.T) {
	for _, r := range [][2]string{
		{`"ref":"j-000412"`, `"ref":"x-1"`}, {`"ref":"j-000412",`, ``}, {`"ref":"j-000412"`, `"ref":7`}, {`"j-000412"`, `"j-"`},
		{`"ensemble"`, `"gang"`}, {`"high"`, `"HIGH"`}, {`"shards":16`, `"shards":0`}, {`"shards":16`, `"shards":100001`},
		{`"shards":16`, `"shards":1.5`}, {`"cpus":8.0`, `"cpus":-1`}, {`"cpus":8.0`, `"cpus":1e400`}, {`"cpus":8.0`, `"cpus":1e12`},
		{`"cpus":8.0,`, ``}, {`"cpus":8.0`, `"cpus":"8"`}, {`"same_place":true`, `"same_place":1`}, {`"loaners":true,`, ``},
		{`"hulls":["g8"]`, `"hulls":"g8"`}, {`"hulls":["g8"]`, `"hulls":[""]`}, {`"bundle":"img-07"`, `"bundle":""`}, {`"due_s":900.0`, `"due_s":-5`},
		{good, `[]`}, {good, `null`}, {good, ``}, {good, `{`}, {good, good + `x`}, {good, `{"ref":`},
	} {
		if s, err := DecodeJob([]byte(strings.Replace(good, r[0], r[1], 1))); err == nil {
			t.Errorf("%q for %.20q was accepted: %+v", r[1], r[0], s)
		}
	}
}

func TestDecodeReport(t *testing.T) {
	r, err := DecodeReport([]byte(`{"host":"vm-000231","address":"10.1.0.232:9000","hull":"g8","yard":"a","loaners":true,
	 "tenure":1,"tick":88,"baton":41,"recall_s":null,"shards":[{"shard":"j-000412/3","launch":2,"phase":"running"},
	 {"shard":"j-000398/0","launch":1,"phase":"ended","cause":"halted","kept":true}]}`))
	if err != nil || r.InterruptionNotice || len(r.Tasks) != 2 || r.Tasks[0].Phase != model.Running || r.Tasks[1].Cause != model.CauseStopped || !r.Tasks[1].Saved || r.Tasks[1].Task != 0 {
		t.Fatalf("%+v %v", r, err)
	}
	for _, bad := range []string{``, `{}`, `{"host":"a b","hull":"g","tenure":1}`, `{"host":"a","hull":"g","tenure":1,"shards":[{"shard":"x","phase":"running"}]}`,
		`{"host":"a","hull":"g","tenure":1,"shards":[{"shard":"j-1/0","phase":"dancing"}]}`} {
		if _, err := DecodeReport([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// TestStrictAnswers checks that answers without the required fields are refused. An answer of
// null once decoded as a page without keys, and tasks were started twice.
func TestStrictAnswers(t *testing.T) {
	for _, b := range []string{``, `null`, `{}`, `[]`, `7`, `{"epoch":1}`, `{"items":[{}],"epoch":1,"news":[{}],"hosts":[{}]}`} {
		if p, err := DecodePage([]byte(b)); err == nil {
			t.Errorf("page %q: %+v", b, p)
		}
		if n, err := DecodeWatchResponse([]byte(b)); err == nil {
			t.Errorf("news %q: %+v", b, n)
		}
		if o, err := DecodeOutcome([]byte(b), true); err == nil {
			t.Errorf("conflict %q: %+v", b, o)
		}
		if it, err := DecodeItem([]byte(b), "k"); err == nil {
			t.Errorf("item %q: %+v", b, it)
		}
		if ms, _, err := DecodeMachines([]byte(b)); err == nil {
			t.Errorf("machines %q: %+v", b, ms)
		}
		if ts, err := DecodeMachineTypes([]byte(b)); err == nil {
			t.Errorf("types %q: %+v", b, ts)
		}
	}
	if o, err := DecodeOutcome([]byte(`{"epoch":0}`), false); err != nil || o.Revision != 0 {
		t.Errorf("answer of an empty store: %+v %v", o, err)
	}
	if p, err := DecodePage([]byte(`{"items":[],"has_next":false,"epoch":0}`)); err != nil || p.HasNext {
		t.Errorf("page of an empty store: %v", err)
	}
}
