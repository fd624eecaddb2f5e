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

// maxRent is how many machines one pass may request.
const maxRent = 200

const (
	// checkCost is about how long a whole core takes to check one machine for one job.
	checkCost = 100 * time.Nanosecond
	// checkShare is the part of the process's CPU share that the checks of a pass, which
	// runs once a second, may take. With 1,500 jobs waiting for 1,818 machines, placement
	// and renting used up a leader's processor for seconds: its process was paused and
	// lost its lease.
	checkShare = 0.2
)

// maxChecks returns how many machines a pass may check, over all jobs.
func (a *Actor) maxChecks() int {
	share := a.cfg.CPUShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return int(checkShare * share * float64(time.Second/checkCost))
}

// maxTasksPerJob is how many tasks of one job a pass considers.
const maxTasksPerJob = 300

// Rent projects when the unplaced jobs will start on the machines that are rented or
// requested. It rents where a job would never start, where the start is too late for an
// objective that a new machine would meet, or where it is later than the start on a new
// machine by more than Config.WaitTolerance.
func (a *Actor) Rent(unplaced []*ledger.Job, v *placement.View, objectives *placement.Objectives, claims placement.Claims) {
	if len(a.led.Types) == 0 || !a.hasList {
		return
	}
	now := v.Now
	byZone := map[string]int{}
	use, unitsInUse := map[string]model.Resources{}, map[*units.Resource]int{}
	limit := a.maxChecks()
	jobLimit := min(len(unplaced), limit/max(1, len(v.Machines)))
	wants := make([]int, jobLimit)
	overLimit := map[string]float64{}
	for i, j := range unplaced[:jobLimit] {
		wants[i] = a.rentableTasks(j, use)
		if n := j.Idle() - wants[i]; n > 0 {
			overLimit[j.Spec.Team] += a.machines(j.Spec, n) * j.EstimateS()
		}
	}
	pr := placement.NewProjection(a.led, v, a.retaken(), a.saturatedTeams(overLimit))
	ready, booting := 0, 0
	for _, m := range a.led.MachinesByName() {
		byZone[m.Zone]++
		if !m.Reported && !m.Leaving && m.TypeKnown && m.ListedState != "failed" {
			pr.Add(&placement.ProjectedMachine{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Cap: m.Cap}, a.expectedUpAt(m))
			booting++
		}
	}
	for _, m := range v.Machines {
		if len(m.Placements) == 0 && v.Holds[m] == nil {
			ready++
		}
	}
	for p, n := range a.renting {
		for i := 0; i < n; i++ {
			a.addRental(pr, p)
			booting++
		}
	}
	need := map[pool]int{}
	total := 0
	plan := func(j *ledger.Job, zone string) *placement.ProjectedMachine {
		p, ok := a.choosePool(j, zone, byZone)
		if !ok || total >= maxRent {
			return nil
		}
		need[p]++
		byZone[p.zone]++
		total++
		return a.addRental(pr, p)
	}
	// A gang's first machines are idle until its last one is up. They must not be
	// returned in the meantime, or the gang never starts.
	markWanted := func(s *placement.ProjectedMachine) {
		if s.M != nil {
			s.M.WantedAt = now
		}
	}
	checks := 0
	for i, j := range unplaced[:jobLimit] {
		// All machines are checked for each job. Without a limit, and with thousands of
		// jobs waiting, this used so much processor time that a leader's process was
		// paused for longer than its lease.
		if checks += len(pr.Machines); total >= maxRent || checks > limit {
			break
		}
		n := a.led.AllotUnits(j, wants[i], unitsInUse)
		boot, fits := a.startDelay(j)
		if j.Spec.Kind == model.Gang {
			if n == 0 {
				continue
			}
			at, where, ok := pr.FindGang(j, n, "")
			if fits && a.worthRenting(j, now, at, ok, now+boot, objectives, claims[j] == placement.Entitled) {
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
					if plan(j, zone) == nil {
						break
					}
				}
				at, where, ok = pr.FindGang(j, n, "")
			}
			if ok {
				for _, s := range where {
					markWanted(s)
				}
				pr.BookGang(j, at, where)
			}
			continue
		}
		if n == 0 {
			continue
		}
		q := pr.MachineQueue(j)
		for tasks := 0; n > 0 && tasks < maxTasksPerJob; tasks, n = tasks+1, n-1 {
			at, ok := q.First()
			if fits && total < maxRent && a.worthRenting(j, now, at, ok, now+boot, objectives, claims[j] == placement.Entitled) {
				if s := plan(j, ""); s != nil {
					q.Add(s)
				}
			}
			if _, ok = q.First(); !ok {
				break
			}
			markWanted(q.Book())
		}
	}
	// The headroom consists of idle machines kept for work that is yet to arrive.
	for head := a.headroom(); ready+booting+total < head; {
		if plan(nil, "") == nil {
			break
		}
	}
	var ps []pool
	for p := range need {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return fmt.Sprint(ps[i]) < fmt.Sprint(ps[j]) })
	for _, p := range ps {
		for n := need[p]; n > 0; n -= maxPerRequest {
			a.rent(p, min(n, maxPerRequest))
		}
	}
}

func (a *Actor) addRental(pr *placement.Projection, p pool) *placement.ProjectedMachine {
	t := a.led.Types[p.typ]
	if t == nil {
		return nil
	}
	return pr.Add(&placement.ProjectedMachine{Type: p.typ, Zone: p.zone, Spot: p.spot, Cap: t.Cap}, a.env.Now()+a.expectedBoot(p.typ, p.zone))
}

// rentableTasks returns for how many of the job's tasks machines may be rented within its
// team's limit, and adds their needs to those in use.
func (a *Actor) rentableTasks(j *ledger.Job, use map[string]model.Resources) int {
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
	// Machines for tasks beyond the team's limit would be idle.
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

// startDelay returns how long a new machine takes until it runs the job: the shortest boot
// and image fetch of all types and zones. It returns false if no type can run the job.
func (a *Actor) startDelay(j *ledger.Job) (time.Duration, bool) {
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
			if d := a.expectedBoot(t.Name, z) + fetch; !ok || d < best {
				best, ok = d, true
			}
		}
	}
	return best, ok
}

// worthRenting reports whether to rent a machine for a job that would start at onNew on a new
// machine and at onExisting on the others; ok is false if it would never start on those. within
// says that its team's guarantee covers the job.
func (a *Actor) worthRenting(j *ledger.Job, now, onExisting time.Duration, ok bool, onNew time.Duration, objectives *placement.Objectives, within bool) bool {
	if !ok {
		return true
	}
	if onExisting <= onNew {
		return false
	}
	for _, t := range objectives.StartBy(j, within) {
		if onExisting > t && onNew <= t {
			return true
		}
	}
	return onExisting > onNew+a.cfg.WaitTolerance
}

// gangZone returns the zone in which to rent for a gang: the one with the most machines
// that could run it soon, of several the one with the most machines.
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
		if _, ok := a.choosePool(j, z, byZone); ok && (best == "" || have[z] > have[best] || have[z] == have[best] && byZone[z] > byZone[best]) {
			best = z
		}
	}
	return best
}

// choosePool returns the cheapest pool in which to rent a machine for a job (nil: for any job).
func (a *Actor) choosePool(j *ledger.Job, zone string, byZone map[string]int) (pool, bool) {
	var best pool
	var bestCost float64
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
				if a.refusedUntil[p] > now {
					continue
				}
				cost := t.Price
				if spot {
					// Spot machines are reclaimed at times, with work on them.
					cost = t.SpotCost * 1.2
				}
				// The time of a slow boot is paid for, too.
				if nominal := t.BootS * meanBootFactor; nominal > 0 {
					if slow := a.expectedBoot(n, z).Seconds() / nominal; slow > 1 {
						cost *= 1 + slowBootCost*(slow-1)
					}
				}
				cost += 0.001 * float64(byZone[z])
				if !found || cost < bestCost {
					best, bestCost, found = p, cost, true
				}
			}
		}
	}
	return best, found
}

// maxPerRequest is how many machines one request may ask for.
const maxPerRequest = 50

func (a *Actor) rent(p pool, n int) {
	a.rentalCount++
	requestID := "r-" + strconv.FormatUint(a.cfg.RentalID, 10) + "-" + strconv.Itoa(a.rentalCount)
	a.renting[p] += n
	a.requestRental(p, n, requestID, 4)
}

func (a *Actor) requestRental(p pool, n int, requestID string, tries int) {
	done := func() {
		a.renting[p] -= n
		if a.renting[p] <= 0 {
			delete(a.renting, p)
		}
	}
	if !a.call("POST", wire.PathMachines, wire.Rent(requestID, p.typ, p.zone, p.spot, n), func(ans actor.Answer) {
		now := a.env.Now()
		switch {
		case ans.Err != nil:
			if tries > 0 {
				a.requestRental(p, n, requestID, tries-1) // the request ID stays, so that nothing is rented twice
				return
			}
			done()
		case ans.Status == 200:
			names, err := wire.DecodeRented(ans.Body)
			if err != nil {
				a.env.Log().Error("invalid response from the cloud", "err", err)
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
				a.refusedUntil[p] = now + 20*time.Second
			}
			done()
			if a.OnChange != nil {
				a.OnChange()
			}
		case ans.Status == 503 && strings.Contains(string(ans.Body), "capacity"):
			a.env.Log().Debug("no capacity", "type", p.typ, "zone", p.zone, "spot", p.spot)
			a.refusedUntil[p] = now + 20*time.Second
			done()
			if a.OnChange != nil {
				a.OnChange()
			}
		case ans.Status == 400:
			a.env.Log().Error("the cloud rejected a rental as malformed", "body", string(ans.Body))
			a.refusedUntil[p] = now + time.Minute
			done()
		default:
			a.refusedUntil[p] = now + 2*time.Second
			done()
		}
	}) {
		a.env.After(200*time.Millisecond, func() {
			if !a.stopped {
				a.requestRental(p, n, requestID, tries)
			}
		})
	}
}
