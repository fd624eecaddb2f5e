package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"brooklb/internal/leader"
	"brooklb/internal/settings"
)

func sample(n int) *Snapshot {
	s := &Snapshot{Revision: 900, AtMS: 5}
	for i := range n {
		s.Items = append(s.Items, Item{fmt.Sprintf("b/j/j-%04d", i), json.RawMessage(fmt.Sprintf(`{"v":2,"f":"done","at":5,"k":%d}`, i+1)), uint64(i + 1)})
	}
	return s
}

// TestFile checks that a written file is read back, and that a damaged file is either read
// with its original content or refused with a one-line error.
func TestFile(t *testing.T) {
	s := sample(300)
	var w bytes.Buffer
	if err := s.Write(&w); err != nil {
		t.Fatal(err)
	}
	file := w.Bytes()
	got, err := Read(bytes.NewReader(file))
	if err != nil || got.Revision != 900 || got.AtMS != 5 || len(got.Items) != 300 || got.Sum() != s.Sum() {
		t.Fatalf("%v %v", got, err)
	}
	plain := 0
	for i := range s.Items {
		plain += len(s.Items[i].Path) + len(s.Items[i].Value)
	}
	t.Logf("%d keys with %d bytes take %d bytes in the file", len(s.Items), plain, len(file))
	rng := rand.New(rand.NewPCG(1, 1))
	bad := func(name string, b []byte) {
		got, err := Read(bytes.NewReader(b))
		if err == nil && got.Sum() != s.Sum() {
			t.Errorf("%s: read with different content", name)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error has more than one line: %v", name, err)
		}
	}
	for range 300 {
		b := bytes.Clone(file)
		switch rng.IntN(3) {
		case 0:
			b = b[:rng.IntN(len(b))]
			if _, err := Read(bytes.NewReader(b)); err == nil {
				t.Fatal("a truncated file was read")
			}
		case 1:
			b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
		case 2:
			b = append(b, byte(rng.IntN(256)))
		}
		bad("damaged", b)
	}
	for name, b := range map[string]string{"empty": "", "foreign": "PK\x03\x04 something else that is long enough", "newer": "brooklb state 2\nxyz"} {
		if _, err := Read(strings.NewReader(b)); err == nil {
			t.Errorf("%s: was read", name)
		} else if name == "newer" && !strings.Contains(err.Error(), "later") {
			t.Errorf("%s: %v", name, err)
		}
	}
	other := sample(300)
	other.Items[7].Value = json.RawMessage(`{"v":2,"f":"done","at":5,"k":99}`)
	other.Items = append(other.Items[:20], other.Items[21:]...)
	added, removed, changed := Diff(s, other)
	if len(added) != 0 || len(removed) != 1 || len(changed) != 1 || removed[0] != "b/j/j-0020" {
		t.Errorf("%v %v %v", added, removed, changed)
	}
}

// service is a state service whose keys change between any two answers.
type service struct {
	rng           *rand.Rand
	keys          map[string]Item
	revision      uint64
	history       []string // key of each revision
	keptRevisions int
	fault         string
}

func (s *service) change() {
	s.revision++
	key := fmt.Sprintf("b/j/j-%03d", s.rng.IntN(400))
	if _, ok := s.keys[key]; ok && s.rng.IntN(3) == 0 {
		delete(s.keys, key)
	} else {
		s.keys[key] = Item{key, json.RawMessage(strconv.FormatUint(s.revision, 10)), s.revision}
	}
	s.history = append(s.history, key)
}

func (s *service) Ask(method, path string, body []byte) (int, []byte, error) {
	for range s.rng.IntN(4) {
		s.change()
	}
	q := map[string]string{}
	_, query, _ := strings.Cut(path, "?")
	for _, kv := range strings.Split(query, "&") {
		k, v, _ := strings.Cut(kv, "=")
		q[k] = v
	}
	enc := func(v any) []byte { b, _ := json.Marshal(v); return b }
	if strings.HasPrefix(path, "/changes") {
		from, _ := strconv.ParseUint(q["from"], 10, 64)
		if int(s.revision-from) > s.keptRevisions {
			return 410, []byte("{}"), nil
		}
		news := []map[string]any{}
		for e := from + 1; e <= s.revision; e++ {
			key := s.history[e-1]
			if it, ok := s.keys[key]; ok && it.Revision == e {
				news = append(news, map[string]any{"write": key, "value": it.Value, "stamp": e})
			} else if !ok {
				news = append(news, map[string]any{"delete": key, "stamp": e})
			}
		}
		s.rng.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
		return 200, enc(map[string]any{"epoch": s.revision, "news": news}), nil
	}
	items := []Item{}
	for i := range 400 {
		key := fmt.Sprintf("b/j/j-%03d", i)
		if it, ok := s.keys[key]; ok && key > q["from"] && len(items) < 30 {
			items = append(items, it)
		}
	}
	more := len(items) == 30
	switch s.fault {
	case "order":
		s.rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	case "again":
		if q["from"] != "" {
			return 200, enc(map[string]any{"items": []Item{{"b/j/j-000", json.RawMessage("1"), 1}}, "has_next": true, "epoch": s.revision}), nil
		}
	case "garbage":
		return 200, []byte("null"), nil
	}
	return 200, enc(map[string]any{"items": items, "has_next": more, "epoch": s.revision}), nil
}

// TestFetch checks copies of a live cluster. The copy is of one revision although keys
// change between the pages and the service sends keys and events in any order. Malformed
// answers are refused.
func TestFetch(t *testing.T) {
	for seed := range uint64(200) {
		s := &service{rng: rand.New(rand.NewPCG(seed, 2)), keys: map[string]Item{}, keptRevisions: 10_000, fault: []string{"", "order"}[seed%2]}
		for range 600 {
			s.change()
		}
		var want map[string]Item
		got, err := Fetch(s, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		// Nothing has changed since the last answer, so the copy must equal the current keys.
		if got.Revision != s.revision {
			t.Fatalf("seed %d: the copy has revision %d, the last answer had %d", seed, got.Revision, s.revision)
		}
		want = s.keys
		if len(got.Items) != len(want) {
			t.Fatalf("seed %d: the copy has %d keys, the service %d", seed, len(got.Items), len(want))
		}
		for i, it := range got.Items {
			if w := want[it.Path]; w.Revision != it.Revision || string(w.Value) != string(it.Value) || i > 0 && got.Items[i-1].Path >= it.Path {
				t.Fatalf("seed %d: %s is %s (%d), not %s (%d)", seed, it.Path, it.Value, it.Revision, w.Value, w.Revision)
			}
		}
	}
	for fault, why := range map[string]string{"again": "only later ones", "garbage": "no items"} {
		s := &service{rng: rand.New(rand.NewPCG(1, 2)), keys: map[string]Item{}, keptRevisions: 10_000, fault: fault}
		for range 600 {
			s.change()
		}
		if _, err := Fetch(s, time.Now); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%s: %v", fault, err)
		}
	}
	s := &service{rng: rand.New(rand.NewPCG(1, 2)), keys: map[string]Item{}, keptRevisions: 2}
	for range 600 {
		s.change()
	}
	if _, err := Fetch(s, time.Now); !errors.Is(err, ErrChangesTooFast) {
		t.Errorf("a service that discards its changes: %v", err)
	}
}

// TestVerify checks that each kind of inconsistency is found and reported for its key.
func TestVerify(t *testing.T) {
	open := func(team string, kind, tasks int) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"v":2,"at":1,"k":%d,"c":10,"s":{"t":%q,"k":%d,"cp":4,"any":true}}`, tasks, team, kind))
	}
	s := &Snapshot{Revision: 50}
	for k, v := range map[string]string{
		"b/j/j-1": string(open("red", 0, 4)), "b/t/j-1/0": `{"v":2,"t":"1@vm-1 1@vm-2 d 3"}`,
		"b/j/j-2": `{"v":99}`,
		"b/j/j-3": string(open("red", 1, 2)), "b/t/j-3/0": `{"v":2,"t":"1@vm-1 2@vm-2"}`,
		"b/t/j-4/0": `{"v":2,"t":"1@vm-1"}`,
		"b/j/j-5":   string(open("red", 0, 2)), "b/t/j-5/7": `{"v":2,"t":"1"}`,
		"b/j/j-6": `{"v":2,"f":"done","at":1,"k":1}`, "b/t/j-6/0": `{"v":2,"t":"1@vm-9"}`,
		"b/j/j-7": string(open("red", 0, 1)), "b/t/j-7/0": `{"v":2,"t":"0@vm-9"}`,
		"b/s/shop": `{"v":1,"n":1,"cur":{"j":"j-1","k":4,"on":""}}`, "b/s/bad": `[]`, "b/u/seat": `{"v":8}`,
	} {
		s.Items = append(s.Items, Item{k, json.RawMessage(v), 9})
	}
	s.Items = append(s.Items, Item{"b/zz", json.RawMessage("1"), 51})
	s.sort()
	fs, n := Verify(s, []settings.Team{{Name: "red", MaxCPUs: 10}})
	text := ""
	for _, f := range fs {
		text += f.Key + " " + f.Rule + " " + f.Text + "\n"
	}
	for _, want := range []string{"b/j/j-2 record", "b/t/j-3/0 record the tasks of gang j-3 have 2 different attempts", "b/t/j-4/0 forgotten", "b/t/j-5/7 record", "b/t/j-6/0 not_done",
		"b/t/j-7/0 ran_twice", "quota", "b/s/shop record its version j-1 says", "b/s/bad record", "b/u/seat record", "b/zz record its revision"} {
		if !strings.Contains(text, want) {
			t.Errorf("not found: %s", want)
		}
	}
	if n.Placed < 5 || n.Jobs["open"] != 4 || len(fs) != 11 {
		t.Errorf("%+v\n%s", n, text)
	}
}

// TestRestoreGoesOn checks the base of a restored cluster's tokens and attempts. It is above
// the snapshot's, also if the snapshot's cluster was itself restored.
func TestRestoreGoesOn(t *testing.T) {
	s := sample(3)
	a := restoreBase(s)
	s.Items = append([]Item{{leader.BaseKey, mustRaw(a), 8}}, s.Items...)
	b := restoreBase(s)
	if a.Token <= s.Revision || b.Token <= a.Token+s.Revision || b.Attempts <= a.Attempts || a.Settled {
		t.Errorf("%+v, then %+v", a, b)
	}
}

func mustRaw(v any) json.RawMessage { b, _ := json.Marshal(v); return b }

// FuzzRead checks that Read accepts or refuses any input without a panic.
func FuzzRead(f *testing.F) {
	var w bytes.Buffer
	_ = sample(3).Write(&w)
	f.Add(w.Bytes())
	f.Add([]byte("brooklb state 1\n"))
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = Read(bytes.NewReader(b)) })
}
