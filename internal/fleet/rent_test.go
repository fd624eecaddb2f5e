package fleet

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/placement"
	"brooklb/internal/settings"
	"brooklb/internal/statestore"
)

type fixedEnv struct{ actor.Env }

func (fixedEnv) Now() time.Duration { return time.Minute }
func (fixedEnv) Wall() time.Time    { return time.UnixMilli(60000) }
func (fixedEnv) Rand() *rand.Rand   { return rand.New(rand.NewPCG(1, 1)) }
func (fixedEnv) Log() *slog.Logger  { return slog.New(slog.DiscardHandler) }
func (fixedEnv) After(time.Duration, func()) *actor.Timer {
	return &actor.Timer{}
}

// TestRentIsBounded guards against a leader that spends its processor time on renting.
// With ten times as many jobs waiting for a fleet that can't grow, a pass must do hardly
// more work, as measured by its allocations.
func TestRentIsBounded(t *testing.T) {
	allocs := func(jobs int) float64 {
		env := fixedEnv{}
		store := statestore.New(env, statestore.Config{RPS: 1, WriteRPS: 1, Nodes: 1, TxnOps: 8, ValueBytes: 4096})
		l := ledger.New(env, store, 1, []settings.Team{{Name: "free"}})
		l.Types["g"] = &model.MachineType{Name: "g", Cap: model.Resources{CPUs: 96, GPUs: 8, MemGB: 500}, Zones: []string{"x"}, BootS: 60}
		for i := range 1000 {
			m := l.Machine(fmt.Sprintf("m%04d", i))
			m.Reported, m.LastReport = true, env.Now()
			l.Describe(m, "g", "x", false)
		}
		v := &placement.View{Now: env.Now(), SilentAfter: time.Minute, Holds: map[*ledger.Machine]*placement.Hold{}, Objectives: placement.NewObjectives(nil)}
		v.Machines = placement.Candidates(l, v)
		full := func(id string, tasks int, gpus float64) {
			s := &model.Spec{ID: id, Team: "free", Tasks: tasks, Resources: model.Resources{GPUs: gpus}, EstimateS: 1000}
			l.ApplyJobRecord(ledger.JobKey(id), &statestore.Item{Value: ledger.NewRecord(s, 60000, "", 48).Encode(), Revision: 1})
		}
		full("j-0", 1000, 8)
		placement.Run(l, v, l.Order(), func(*ledger.Job) {})
		for i := range jobs {
			full(fmt.Sprint("j-", i+1), 5, 1)
		}
		a := New(env, l, store, 1, Config{Headroom: 0.5, WaitTolerance: time.Hour, RPS: 1})
		a.hasList = true
		a.refusedUntil[pool{"g", "x", false}], a.refusedUntil[pool{"g", "x", true}] = time.Hour, time.Hour
		left := l.Order()[1:]
		return testing.AllocsPerRun(1, func() { a.Rent(left, v, v.Objectives, placement.Claims{}) })
	}
	if few, many := allocs(2000), allocs(20000); many > 1.5*few {
		t.Errorf("%v allocations with 2,000 jobs, %v with 20,000", few, many)
	}
}
