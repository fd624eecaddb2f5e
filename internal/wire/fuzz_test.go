package wire

import (
	"strings"
	"testing"
)

// Every test run includes the seed inputs of the fuzz tests; `go test -fuzz NAME` searches
// for more (docs/testing.md). The decoders accept each input or return a one-line error.

func oneLine(t *testing.T, err error) {
	if err != nil && strings.ContainsAny(err.Error(), "\n\r") {
		t.Errorf("error has more than one line: %q", err)
	}
}

func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"ref":"j-000412","lane":"train","crew":"vision","shape":"ensemble","urgency":"high","shards":16,"cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","size_gb":6.2,"hulls":["g8"],"yard":null,"same_place":true,"apart":false,"loaners":true,"expect_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0,"units":[{"name":"seat","count":2}]}`))
	f.Add([]byte(`{"ref":"j-1","shards":1e99}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeJob(b)
		oneLine(t, err)
		if err == nil && (s.Tasks < 1 || s.Tasks > MaxTasks || !ValidJobID(s.ID) || !(s.Resources.CPUs >= 0) || s.Image == "") {
			t.Errorf("accepted %+v", s)
		}
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"host":"vm-000231","address":"10.1.0.232:9000","hull":"g8","yard":"a","loaners":true,"tenure":1,"tick":88,"baton":41,"recall_s":null,"shards":[{"shard":"j-000412/3","launch":2,"phase":"running"},{"shard":"j-000398/0","launch":1,"phase":"ended","cause":"done"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeReport(b)
		oneLine(t, err)
		if err == nil && (r.Machine == "" || r.Session == 0) {
			t.Errorf("accepted %+v", r)
		}
		_, _, _ = ReportHead(b)
	})
}

func FuzzStateService(f *testing.F) {
	f.Add([]byte(`{"items":[{"path":"b/j/j-1","value":{},"stamp":4}],"has_next":true,"epoch":431}`))
	f.Add([]byte(`{"epoch":433,"news":[{"write":"c/9","value":{},"stamp":433},{"delete":"c/d","stamp":432}]}`))
	f.Add([]byte(`{"failed":["a/b"],"epoch":431}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := DecodePage(b)
		oneLine(t, err)
		for _, it := range p.Items {
			if err == nil && (it.Path == "" || it.Revision == 0) {
				t.Errorf("accepted %+v", it)
			}
		}
		_, err = DecodeWatchResponse(b)
		oneLine(t, err)
		_, err = DecodeOutcome(b, true)
		oneLine(t, err)
		_, err = DecodeItem(b, "b/x")
		oneLine(t, err)
		_, err = DecodeGrant(b)
		oneLine(t, err)
	})
}

func FuzzCloud(f *testing.F) {
	f.Add([]byte(`{"hulls":[{"sku":"g8","cpus":96,"gpus":8,"memory_gb":768,"local_gb":200,"fetch_gb_per_s":1.0,"hourly":12.0,"low_price":4.5,"ready_s":45,"yards":["a","b"]}]}`))
	f.Add([]byte(`{"hosts":[{"ref":"vm-1","address":"10.1.0.1:9000","hull":"g8","yard":"a","loaners":false,"phase":"running","held_s":3}],"has_next":false}`))
	f.Add([]byte(`{"hosts":["vm-000231"]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := DecodeMachineTypes(b)
		oneLine(t, err)
		_, _, err = DecodeMachines(b)
		oneLine(t, err)
		_, err = DecodeRented(b)
		oneLine(t, err)
	})
}

func FuzzServicesAndUnits(f *testing.F) {
	f.Add([]byte(`{"job":{"ref":"j-2"},"steps":[1,"50%"],"surge":"25%","health":{"port":8000,"path":"/healthz/{task}"}}`))
	f.Add([]byte(`{"count":5,"teams":{"red":{"most":1}},"reserve":{"high":1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRollout(b)
		oneLine(t, err)
		if err == nil && r.Health != nil && (r.Health.Path[0] != '/' || r.Health.Port < 1 || r.Health.Port > 65535) {
			t.Errorf("accepted %+v", r.Health)
		}
		u, err := DecodeUnits(b)
		oneLine(t, err)
		if err == nil && u.Count != nil && *u.Count < 0 {
			t.Errorf("accepted %+v", u)
		}
		_, err = DecodeRequestInfo(b)
		oneLine(t, err)
	})
}
