package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The committed page and the slopes from which its tables are made.
const (
	pageFile   = "../../docs/CAPACITY.md"
	slopesFile = "../../docs/scale/slopes.json"
)

// pageRuns are the runs on the page, in its order.
var pageRuns = []struct{ name, file string }{
	{"loopback, 0.4, before", "loopback-before.json"},
	{"loopback, 0.4, after, 8,000 sockets", "loopback-after.json"},
	{"simulated, whole, before", "simulated-before.json"},
	{"simulated, whole, after", "simulated-after.json"},
	{"loopback, 0.1, after, with troubles", "loopback-troubles.json"},
}

// TestCapacityPage regenerates the page's tables from the committed output of runs. It checks
// that they don't differ and that no cell is empty.
func TestCapacityPage(t *testing.T) {
	slopes, err := LoadSlopes(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	var runs []NamedResult
	for _, r := range pageRuns {
		result, err := LoadResult(filepath.Join("../../docs/scale", r.file))
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, NamedResult{r.name, result})
	}
	committed, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(copied, committed, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := UpdatePage(copied, slopes, example(t), runs); err != nil {
		t.Fatal(err)
	}
	made, err := os.ReadFile(copied)
	if err != nil {
		t.Fatal(err)
	}
	if string(made) != string(committed) {
		t.Error("the page's tables are not those of docs/scale: run brooklb scale page as it says")
	}
	rows := 0
	for line := range strings.Lines(string(made)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) < 3 {
			continue
		}
		rows++
		for _, cell := range cells[1 : len(cells)-1] {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("an empty cell: %s", line)
			}
		}
	}
	if rows < 50 {
		t.Errorf("only %d rows of tables", rows)
	}
}

// TestPageWithoutMarks checks that the error names the missing mark, and that files of other
// kinds are rejected.
func TestPageWithoutMarks(t *testing.T) {
	slopes, err := LoadSlopes(slopesFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ text, want string }{
		{"nothing", "<!-- generated: slopes --> is missing"},
		{"<!-- generated: slopes -->", "<!-- end --> after <!-- generated: slopes --> is missing"},
	} {
		file := filepath.Join(t.TempDir(), "page.md")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := UpdatePage(file, slopes, example(t), nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got %v, want %s", err, c.want)
		}
	}
	for _, file := range []string{"no-such.json", exampleProfile} {
		if _, err := LoadSlopes(file); err == nil {
			t.Errorf("%s was accepted as slopes", file)
		}
		if _, err := LoadResult(file); err == nil {
			t.Errorf("%s was accepted as a result", file)
		}
	}
}
