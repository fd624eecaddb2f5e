package sim

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestJobWithMistake guards against a job that fails on every machine. With restarts at full speed
// such a job of 9 tasks was started 45 times; 7 machines were returned as faulty, and for it machines were
// rented and correct jobs preempted.
func TestJobWithMistake(t *testing.T) {
	for _, job := range []Job{
		{Kind: "sweep", Tasks: 30, CPUs: 4},
		{Kind: "sweep", Tasks: 1, CPUs: 4},
		{Kind: "ensemble", Tasks: 3, CPUs: 12},
	} {
		t.Run(job.Kind+strconv.Itoa(job.Tasks), func(t *testing.T) {
			w := world(21)
			// A correct job of lower priority fills the machines.
			w.At(3*time.Second, func() {
				w.Submit(Job{ID: "j-1", Kind: "sweep", Team: "free", Urgency: "idle", Image: "i", ImageGB: 0.1, Tasks: 22, CPUs: 4, RunS: 300, CheckpointS: 10, SaveS: 1})
			})
			job.ID, job.Team, job.Urgency, job.Image, job.ImageGB, job.RunS, job.Faulty = "j-2", "red", "high", "i", 0.1, 20, true
			w.At(20*time.Second, func() { w.Submit(job) })
			w.Run(80 * time.Second) // by then the job has failed on several machines
			starts, correct, machines := w.Starts("j-2"), w.Starts("j-1"), len(w.Cloud.machines)
			if starts == 0 {
				t.Fatal("it was never started")
			}
			w.Run(280 * time.Second)
			if n := w.Starts("j-2") - starts; (job.Kind == "sweep" && n < 1) || n > 8*job.Tasks || (job.Kind == "sweep" && n > 8) {
				t.Errorf("%d starts in 200 s", n)
			}
			if n := w.Starts("j-1") - correct; n > 0 {
				t.Errorf("a correct job was preempted for it: %d more starts", n)
			}
			if n := len(w.Cloud.machines) - machines; n > 0 {
				t.Errorf("%d machines were rented for it", n)
			}
			s := w.nodes[w.Leader()]
			s.serve("users", "GET", "/v2/runs/j-2", nil, func(status int, body []byte) {
				if status != 200 || !strings.Contains(string(body), "fail") {
					t.Errorf("its user got %d %s", status, body)
				}
			})
			s.serve("operator", "GET", "/overview", nil, func(status int, body []byte) {
				if status != 200 || !strings.Contains(string(body), `"at_fault":1`) || !strings.Contains(string(body), `"leading":true`) {
					t.Errorf("operators got %d %s", status, body)
				}
			})
			w.Run(w.Now() + time.Second)
			w.FixJob("j-2")
			w.Run(1500 * time.Second)
			w.checkOutcome(t, 2)
		})
	}
}

// TestBadMachine guards against blaming correct jobs when every task fails on one machine: the
// machine must be returned.
func TestBadMachine(t *testing.T) {
	w := world(22)
	w.At(1*time.Second, func() { w.Machines()[2].failsTasks = true })
	for i := range 8 {
		w.At(time.Duration(3+2*i)*time.Second, func() {
			w.Submit(Job{ID: "j-" + strconv.Itoa(i), Kind: "sweep", Team: "free", Image: "i", ImageGB: 0.1, Tasks: 6, CPUs: 3, RunS: 15})
		})
	}
	name := ""
	w.At(2*time.Second, func() { name = w.Machines()[2].Name })
	w.Run(300 * time.Second)
	w.checkOutcome(t, 8)
	for _, m := range w.Cloud.machines {
		if m.Name == name && !m.deleted {
			t.Errorf("%s was not returned although every task fails there", name)
		}
		if m.Name != name && m.deleted && w.jobs["j-7"].reportedDoneAt > 0 && m.goneAt < 40*time.Second {
			t.Errorf("%s was returned at %v", m.Name, m.goneAt)
		}
	}
}
