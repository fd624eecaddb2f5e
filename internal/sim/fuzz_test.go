package sim

import (
	"testing"

	"brooklb/internal/ledger"
	"brooklb/internal/rollout"
	"brooklb/internal/settings"
	"brooklb/internal/units"
)

// FuzzRecords fuzzes the decoders of records in the state service and of settings.
func FuzzRecords(f *testing.F) {
	for _, s := range []string{`{"v":2,"at":1,"k":4,"c":10,"s":{"t":"red","k":1,"cp":4,"any":true}}`, `{"v":4,"at":1,"k":1,"s":{"u":[{"n":"seat","k":1}]}}`, `{"v":2,"t":"1@vm-1 d 3"}`,
		`{"v":1,"n":1,"cur":{"j":"j-1","k":4,"on":"AQAAAAAAAAA"}}`, `{"v":1,"n":5,"t":{"red":{"most":1}},"r":[0,0,1,0]}`, "label = \"n0\"\n", "units.seat.count=5\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := ledger.DecodeRecord("j-1", b); err == nil && (r.Tasks < 1 || r.TasksPerChunk < 1 || r.Chunks() < 1) {
			t.Errorf("accepted %+v", r)
		}
		_, _ = ledger.DecodeChunkTasks("b/t/j-1/0", b)
		_, _ = rollout.Decode("shop", b)
		if r, err := units.Decode("seat", b); err == nil && r.Count < 0 {
			t.Errorf("accepted %+v", r)
		}
		_, _ = settings.Parse("f", b)
		_, _ = settings.ParseOptions("f", b)
	})
}
