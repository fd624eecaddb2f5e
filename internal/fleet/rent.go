package fleet

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/ledger"
	"brooklb/internal/model"
	"brooklb/internal/placement"
	"brooklb/internal/units"
	"brooklb/internal/wire"
)

// maxRent bounds what one pass asks for.
const maxRent = 200

const (
	// A look at a machine for a job takes about so much of a whole core, and all of them
	// in a pass, which comes once a second, this part of the share at most: with 1,500
	// jobs waiting for 1,818 machines passes and renting used up a leader's processor
	// for seconds, it was paused, and lost its lease (lumiar fleet, half as many machines
	// again, a hundred times the submissions).
	perLook  = 100 * time.Nanosecond
	lookPart = 0.2
)

// mostLooked bounds how many machines are looked at for all jobs in a pass.
func (a *Actor) mostLooked() int {
	share := a.cfg.Share
	if share <= 0 || share > 1 {
		share = 1
	}
	return int(lookPart * share * float64(time.Second/perLook))
}

// maxTasks bounds how many tasks of one job a pass looks at.
const maxTasks = 300

// Rent projects when the jobs that could not be placed will start on what is
// there and on its way. It rents where that is too late for an aim that a new
// machine would still meet, or much later than a new machine would run it.
func (a *Actor) Rent(left []*ledger.Job, v *placement.View, aims *placement.Objectives, claims placement.Claims) {
	if len(a.led.Types) == 0 || !a.listOnce {
		return
	}
	now := v.Now
	byZone := map[string]int{}
	use, units := map[string]model.Resources{}, map[*units.Resource]int{}
	limit := a.mostLooked()
	most := min(len(left), limit/max(1, len(v.Machines)))
	wants := make([]int, most)
	over := map[string]float64{}
	for i, j := range left[:most] {
		wants[i] = a.wanted(j, use)
		if n := j.Idle() - wants[i]; n > 0 {
			over[j.Spec.Team] += a.machines(j.Spec, n) * j.EstimateS()
		}
	}
	pr := placement.NewProjection(a.led, v, a.retaken(), a.queued(over))
	ready, coming := 0, 0
	for _, m := range a.led.MachinesByName() {
		byZone[m.Zone]++
		if !m.Reported && !m.Leaving && m.TypeKnown && m.ListedState != "failed" {
			pr.Add(&placement.ProjectedMachine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Cap: m.Cap}, a.upAt(m))
			coming++
		}
	}
	for _, m := range v.Machines {
		if len(m.Placements) == 0 && v.Holds[m] == nil {
			ready++
		}
	}
	for p, n := range a.renting {
		for i := 0; i < n; i++ {
			a.addNew(pr, p)
			coming++
		}
	}
	need := map[pool]int{}
	total := 0
	order := func(j *ledger.Job, zone string) *placement.ProjectedMachine {
		p, ok := a.choose(j, zone, byZone)
		if !ok || total >= maxRent {
			return nil
		}
		need[p]++
		byZone[p.zone]++
		total++
		return a.addNew(pr, p)
	}
	// A gang's first machines are idle until its last is up: they must not be
	// returned meanwhile, or it never comes together.
	wanted := func(s *placement.ProjectedMachine) {
		if s.M != nil {
			s.M.WantedAt = now
		}
	}
	looked := 0
	for i, j := range left[:most] {
		// Each job looks at all machines: with thousands of them waiting a leader spent
		// its processor on renting, and was paused for longer than its lease.
		if looked += len(pr.Machines); total >= maxRent || looked > limit {
			break
		}
		n := a.led.AllotUnits(j, wants[i], units)
		boot, fits := a.bootTime(j)
		if j.Spec.Kind == model.Gang {
			if n == 0 {
				continue
			}
			at, where, ok := pr.FindGang(j, n, "")
			if fits && a.worthRenting(j, now, at, ok, now+boot, aims, claims[j] == placement.Entitled) {
				zone := ""
				have := pr.CountReadyByZone(j, now+boot+5*time.Second)
				sum := 0
				for _, k := range have {
					sum += k
				}
				if j.Spec.OneZone {
					zone = a.gangZone(j, have, byZone)
					sum = have[zone]
				}
				for ; sum < n; sum++ {
					if order(j, zone) == nil {
						break
					}
				}
				at, where, ok = pr.FindGang(j, n, "")
			}
			if ok {
				for _, s := range where {
					wanted(s)
				}
				pr.BookGang(j, at, where)
			}
			continue
		}
		if n == 0 {
			continue
		}
		q := pr.MachineQueue(j)
		for tasks := 0; n > 0 && tasks < maxTasks; tasks, n = tasks+1, n-1 {
			at, ok := q.First()
			if fits && total < maxRent && a.worthRenting(j, now, at, ok, now+boot, aims, claims[j] == placement.Entitled) {
				if s := order(j, ""); s != nil {
					q.Add(s)
				}
			}
			if _, ok = q.First(); !ok {
				break
			}
			wanted(q.Book())
		}
	}
	// Headroom: idle machines that wait for work to come.
	for head := a.headroom(); ready+coming+total < head; {
		if order(nil, "") == nil {
			break
		}
	}
	var ps []pool
	for p := range need {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return fmt.Sprint(ps[i]) < fmt.Sprint(ps[j]) })
	for _, p := range ps {
		for n := need[p]; n > 0; n -= mostRented {
			a.rent(p, min(n, mostRented))
		}
	}
}

func (a *Actor) addNew(pr *placement.Projection, p pool) *placement.ProjectedMachine {
	t := a.led.Types[p.typ]
	if t == nil {
		return nil
	}
	return pr.Add(&placement.ProjectedMachine{Type: p.typ, Zone: p.zone, Spot: p.spot, Cap: t.Cap}, a.env.Now()+a.boot(p.typ, p.zone))
}

// wanted is how many tasks of the job want a machine and may have one.
func (a *Actor) wanted(j *ledger.Job, use map[string]model.Resources) int {
	n := 0
	for i := range j.Tasks {
		if !j.Tasks[i].Done && !j.Tasks[i].Unwanted && j.Tasks[i].CurrentPlacement == nil && j.Tasks[i].NotBefore <= a.env.Now()+10*time.Second {
			n++
		}
	}
	if j.Faulty() && j.Spec.Kind != model.Gang {
		n = min(n, 1)
	}
	team := a.led.Teams[j.Spec.Team]
	if team == nil {
		return n
	}
	// Machines for tasks over the team's limit would stand idle.
	for n > 0 {
		t := *team
		t.Used = t.Used.Add(use[j.Spec.Team]).Add(j.Spec.Resources.Times(float64(n - 1)))
		if t.WithinLimit(j.Spec.Resources) {
			break
		}
		if j.Spec.Kind == model.Gang {
			n = 0
			break
		}
		n--
	}
	use[j.Spec.Team] = use[j.Spec.Team].Add(j.Spec.Resources.Times(float64(n)))
	return n
}

// bootTime is how long a new machine takes until it runs the job.
func (a *Actor) bootTime(j *ledger.Job) (time.Duration, bool) {
	best, ok := time.Duration(0), false
	for _, t := range a.led.Types {
		if !j.Spec.AllowsType(t.Name) || !j.Spec.Resources.Fits(t.Cap) {
			continue
		}
		fetch := time.Duration(0)
		if t.FetchGBs > 0 {
			fetch = time.Duration(j.Spec.ImageGB / t.FetchGBs * float64(time.Second))
		}
		for _, z := range t.Zones {
			if j.Spec.Zone != "" && j.Spec.Zone != z || j.Zone != "" && j.Zone != z {
				continue
			}
			if d := a.boot(t.Name, z) + fetch; !ok || d < best {
				best, ok = d, true
			}
		}
	}
	return best, ok
}

func (a *Actor) worthRenting(j *ledger.Job, now, queued time.Duration, ok bool, fresh time.Duration, aims *placement.Objectives, within bool) bool {
	if !ok {
		return true
	}
	if queued <= fresh {
		return false
	}
	for _, t := range aims.StartBy(j, within) {
		if queued > t && fresh <= t {
			return true
		}
	}
	return queued > fresh+a.cfg.Patience
}

// gangZone is the zone in which a gang is likeliest to come together: the one
// with the most machines that could run it soon.
func (a *Actor) gangZone(j *ledger.Job, have map[string]int, byZone map[string]int) string {
	var zs []string
	for _, t := range a.led.Types {
		for _, z := range t.Zones {
			if !slices.Contains(zs, z) {
				zs = append(zs, z)
			}
		}
	}
	sort.Strings(zs)
	best := ""
	for _, z := range zs {
		if _, ok := a.choose(j, z, byZone); ok && (best == "" || have[z] > have[best] || have[z] == have[best] && byZone[z] > byZone[best]) {
			best = z
		}
	}
	return best
}

// choose picks where to rent a machine for a job (nil: for any).
func (a *Actor) choose(j *ledger.Job, zone string, byZone map[string]int) (pool, bool) {
	var top pool
	var topCost float64
	found := false
	now := a.env.Now()
	var names []string
	for n := range a.led.Types {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := a.led.Types[n]
		if j != nil && (!j.Spec.AllowsType(n) || !j.Spec.Resources.Fits(t.Cap)) {
			continue
		}
		for _, z := range t.Zones {
			if zone != "" && z != zone || j != nil && (j.Spec.Zone != "" && j.Spec.Zone != z || j.Zone != "" && j.Zone != z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				if spot && j != nil && !j.Spec.Spot {
					continue
				}
				p := pool{n, z, spot}
				if a.refused[p] > now {
					continue
				}
				cost := t.Price
				if spot {
					// Spot machines are lost now and then, with work on them.
					cost = t.SpotCost * 1.2
				}
				// Waiting for a slow boot is paid for, too.
				if nominal := t.BootS * usualBoot; nominal > 0 {
					if slow := a.boot(n, z).Seconds() / nominal; slow > 1 {
						cost *= 1 + slowCost*(slow-1)
					}
				}
				cost += 0.001 * float64(byZone[z])
				if !found || cost < topCost {
					top, topCost, found = p, cost, true
				}
			}
		}
	}
	return top, found
}

// mostRented is how many machines one request may ask for.
const mostRented = 50

func (a *Actor) rent(p pool, n int) {
	a.charters++
	charter := "r-" + strconv.FormatUint(a.cfg.Charter, 10) + "-" + strconv.Itoa(a.charters)
	a.renting[p] += n
	a.ask(p, n, charter, 4)
}

func (a *Actor) ask(p pool, n int, charter string, tries int) {
	done := func() {
		a.renting[p] -= n
		if a.renting[p] <= 0 {
			delete(a.renting, p)
		}
	}
	if !a.call("POST", wire.PathMachines, wire.Rent(charter, p.typ, p.zone, p.spot, n), func(ans actor.Answer) {
		now := a.env.Now()
		switch {
		case ans.Err != nil:
			if tries > 0 {
				a.ask(p, n, charter, tries-1) // the same name: it can't be rented twice
				return
			}
			done()
		case ans.Status == 200:
			names, err := wire.DecodeRented(ans.Body)
			if err != nil {
				a.env.Log().Error("bad answer of the cloud", "err", err)
			}
			a.env.Log().Info("rented", "type", p.typ, "zone", p.zone, "spot", p.spot, "asked", n, "got", len(names))
			for _, name := range names {
				m := a.led.Machine(name)
				m.RentedAt = now
				m.Booting = !m.Reported
				if !m.Reported {
					a.led.Describe(m, p.typ, p.zone, p.spot)
				}
			}
			if len(names) < n {
				a.refused[p] = now + 20*time.Second
			}
			done()
			if a.OnChange != nil {
				a.OnChange()
			}
		case ans.Status == 503 && strings.Contains(string(ans.Body), "capacity"):
			a.env.Log().Debug("no capacity", "type", p.typ, "zone", p.zone, "spot", p.spot)
			a.refused[p] = now + 20*time.Second
			done()
			if a.OnChange != nil {
				a.OnChange()
			}
		case ans.Status == 400:
			a.env.Log().Error("the cloud calls a rental malformed", "body", string(ans.Body))
			a.refused[p] = now + time.Minute
			done()
		default:
			a.refused[p] = now + 2*time.Second
			done()
		}
	}) {
		a.env.After(200*time.Millisecond, func() {
			if !a.stopped {
				a.ask(p, n, charter, tries)
			}
		})
	}
}
