package sim

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Cloud is the stand-in for the cloud's machine service.
type Cloud struct {
	w             *World
	machines      map[string]*Machine
	byAddr        map[string]*Machine
	byHost        map[string]*Machine
	rentals       map[string][]byte // answers by request ID
	created       int
	outageUntil   time.Duration
	snapshots     []snapshot // of the list, which lags
	requestTokens float64
	lastRequest   time.Duration
	// Limited counts the requests over the rate limit.
	Limited int
	// BootFactor returns the factor by which the boot time of a new machine in a zone is
	// multiplied; negative: the machine never comes up. nil: 1.
	BootFactor func(zone string) float64
	// ListLag is added to the usual lag of the list.
	ListLag time.Duration
	// PageSize limits the machines on a page of the list, 0: to the requested number, or to
	// 500. With Shuffle a page has a random order and one machine twice. With EndlessPages
	// every page announces another, and in place of its last page the list starts again.
	PageSize              int
	Shuffle, EndlessPages bool
	// ListRequests counts the requests for a page of the list.
	ListRequests int
	// OtherTypes is the number of machine types that the cloud offers besides "big". They are
	// smaller (otherType), and it has no machines of them.
	OtherTypes int
	// withdrawnAt is when a type was last withdrawn (OfferTypes).
	withdrawnAt map[string]time.Duration
	// Cost is the total run time of machines in seconds.
	Cost float64
}

type snapshot struct {
	at   time.Duration
	list []listedMachine
}

// listedMachine is a machine in the list. On the wire a hull is a machine type, a yard a
// zone, and loaners are spot machines.
type listedMachine struct {
	Ref     string  `json:"ref"`
	Address string  `json:"address"`
	Type    string  `json:"hull"`
	Zone    string  `json:"yard"`
	Spot    bool    `json:"loaners"`
	Phase   string  `json:"phase"`
	HeldS   float64 `json:"held_s"`
}

func newCloud(w *World) *Cloud {
	c := &Cloud{w: w, machines: map[string]*Machine{}, byAddr: map[string]*Machine{}, byHost: map[string]*Machine{}, rentals: map[string][]byte{}, withdrawnAt: map[string]time.Duration{}, requestTokens: 2 * w.cfg.CloudRPS}
	c.takeSnapshot()
	return c
}

func (c *Cloud) hostName() string { return "cloud" }
func (c *Cloud) reachable() bool  { return true }

// Outage makes the cloud refuse all requests for a while.
func (c *Cloud) Outage(d time.Duration) { c.outageUntil = c.w.now + d }

// takeSnapshot records the list of machines and adds up their cost, every second.
func (c *Cloud) takeSnapshot() {
	c.w.after(time.Second, c.takeSnapshot)
	var names []string
	for n, m := range c.machines {
		if !m.deleted && (!m.gone || c.w.now-m.goneAt < 30*time.Second || m.failed) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	s := snapshot{at: c.w.now}
	for _, n := range names {
		m := c.machines[n]
		ph := "running"
		if m.failed {
			ph = "failed"
		} else if !m.up {
			ph = "starting"
		}
		s.list = append(s.list, listedMachine{n, m.Addr, "big", m.Zone, m.Spot, ph, (c.w.now - m.createdAt).Seconds()})
		if m.up && !m.gone {
			c.Cost++
		}
	}
	c.snapshots = append(c.snapshots, s)
	if len(c.snapshots) > 100 {
		c.snapshots = c.snapshots[1:]
	}
}

// create makes a machine, which comes up after 0.6 to 1.5 times bootS. If bootS is
// over 1, one in 40 never does.
func (c *Cloud) create(zone string, spot bool, bootS float64) *Machine {
	c.created++
	addr := fmt.Sprintf("10.1.%d.%d:9000", c.created/250, c.created%250+1)
	if c.w.transport != nil {
		addr = fmt.Sprintf("%s.%d.%d:9000", c.w.cfg.Net, 2+c.created/250%250, c.created%250+1)
	}
	m := &Machine{w: c.w, Name: fmt.Sprintf("vm-%06d", c.created), Addr: addr,
		Zone: zone, Spot: spot, createdAt: c.w.now, session: 1, tasks: map[string]*runner{}, images: map[string]bool{}, node: c.w.rng.IntN(c.w.cfg.Nodes)}
	c.machines[m.Name] = m
	c.byAddr[m.Addr] = m
	ip, _, _ := strings.Cut(m.Addr, ":")
	c.byHost[ip] = m
	if c.w.rng.IntN(40) == 0 && bootS > 1 {
		return m // it never comes up
	}
	if c.BootFactor != nil {
		f := c.BootFactor(zone)
		if f < 0 {
			return m
		}
		bootS *= f
	}
	c.w.after(c.w.randomSecs(bootS*0.6, bootS*1.5), func() {
		if !m.gone {
			m.up = true
			if c.w.transport != nil {
				c.w.transport.Up(m)
			}
			m.leaseStart = c.w.now
			m.report()
			m.leaseCheck()
		}
	})
	return m
}

// otherType is the name of a machine type without machines. Each has half the CPUs of "big".
func otherType(i int) string { return fmt.Sprintf("small-%03d", i) }

// OfferTypes changes the number of machine types besides "big".
func (c *Cloud) OfferTypes(others int) {
	for i := others; i < c.OtherTypes; i++ {
		c.withdrawnAt[otherType(i)] = c.w.now
	}
	c.OtherTypes = others
}

// knownTypeAge is how long after a type was withdrawn controllers may still ask for its machines.
const knownTypeAge = 35 * time.Second

// mayRequest reports whether a controller may ask for machines of a type.
func (c *Cloud) mayRequest(typ string) bool {
	for i := range c.OtherTypes {
		if typ == otherType(i) {
			return true
		}
	}
	at, withdrawn := c.withdrawnAt[typ]
	return typ == "big" || withdrawn && c.w.now-at < knownTypeAge
}

// machineTypes is the list of machine types in the protocol's form.
func (c *Cloud) machineTypes() []map[string]any {
	describe := func(name string, cpus, hourly float64) map[string]any {
		return map[string]any{"sku": name, "cpus": cpus, "gpus": c.w.cfg.GPUs, "memory_gb": 512.0, "local_gb": 40.0, "fetch_gb_per_s": 0.5,
			"hourly": hourly, "low_price": 3.0, "ready_s": c.w.cfg.BootS, "yards": c.w.cfg.Zones}
	}
	types := []map[string]any{describe("big", c.w.cfg.CPUs, 10)}
	for i := range c.OtherTypes {
		types = append(types, describe(otherType(i), c.w.cfg.CPUs/2, 20))
	}
	return types
}

// freeCapacity is the number of further machines that can be rented in a zone.
func (c *Cloud) freeCapacity(zone string, spot bool) int {
	n := c.w.cfg.Capacity
	for _, m := range c.machines {
		if !m.gone && m.Zone == zone && m.Spot == spot {
			n--
		}
	}
	return n
}

// Reclaim removes a machine without a request, after an interruption notice (0: without notice).
func (c *Cloud) Reclaim(m *Machine, notice time.Duration) {
	if notice > 0 {
		m.interruptionAt = c.w.now + notice
		m.reportSoon()
	}
	c.w.after(notice, func() { m.terminate() })
}

func (c *Cloud) serve(_, method, path string, body []byte, reply func(int, []byte)) {
	w := c.w
	c.requestTokens = min(2*w.cfg.CloudRPS, c.requestTokens+(w.now-c.lastRequest).Seconds()*w.cfg.CloudRPS)
	c.lastRequest = w.now
	if c.requestTokens < 1 {
		c.Limited++
		reply(429, []byte(`{}`))
		return
	}
	c.requestTokens--
	if w.now < c.outageUntil {
		reply(503, []byte(`{"error":"trouble"}`))
		return
	}
	p, query, _ := strings.Cut(path, "?")
	switch {
	case p == "/machine_types":
		reply(200, mustJSON(map[string]any{"hulls": c.machineTypes()}))
	case p == "/hosts" && method == "POST":
		var r struct {
			RequestID string `json:"charter"`
			Type      string `json:"hull"`
			Zone      string `json:"yard"`
			Spot      bool   `json:"loaners"`
			Count     int
		}
		if json.Unmarshal(body, &r) != nil || r.RequestID == "" || !c.mayRequest(r.Type) || r.Count < 1 || r.Count > 50 {
			w.reportViolation("limits", "invalid rental %s", body)
			reply(400, []byte(`{}`))
			return
		}
		if r.Type != "big" {
			reply(503, []byte(`{"error":"no capacity"}`))
			return
		}
		if a, ok := c.rentals[r.RequestID]; ok {
			reply(200, a)
			return
		}
		n := min(r.Count, c.freeCapacity(r.Zone, r.Spot))
		if n <= 0 {
			reply(503, []byte(`{"error":"no capacity"}`))
			return
		}
		names := []string{}
		for i := 0; i < n; i++ {
			names = append(names, c.create(r.Zone, r.Spot, w.cfg.BootS).Name)
		}
		a := mustJSON(map[string]any{"hosts": names})
		c.rentals[r.RequestID] = a
		reply(200, a)
	case p == "/hosts/return":
		var r struct{ Hosts []string }
		if json.Unmarshal(body, &r) != nil || len(r.Hosts) > 100 {
			reply(400, []byte(`{}`))
			return
		}
		for _, n := range r.Hosts {
			if m := c.machines[n]; m != nil {
				m.terminate()
				m.deleted = true
			}
		}
		reply(200, []byte(`{}`))
	case p == "/hosts":
		from, most := "", 500
		for _, kv := range strings.Split(query, "&") {
			k, v, _ := strings.Cut(kv, "=")
			if k == "from" {
				from = v
			} else if k == "most" {
				most, _ = strconv.Atoi(v)
			}
		}
		c.ListRequests++
		if c.PageSize > 0 {
			most = min(most, c.PageSize)
		}
		lag := c.ListLag + w.randomSecs(2, 8) // a list may be older than the previous one
		s := c.snapshots[0]
		for _, x := range c.snapshots {
			if x.at <= w.now-lag {
				s = x
			}
		}
		out := []listedMachine{}
		more := false
		for _, x := range s.list {
			if x.Ref <= from {
				continue
			}
			if len(out) == most {
				more = true
				break
			}
			out = append(out, x)
		}
		if c.EndlessPages && !more && len(s.list) > 0 {
			out, more = s.list[:min(most, len(s.list))], true
		}
		if c.Shuffle && len(out) > 0 {
			out = append(append([]listedMachine(nil), out...), out[w.rng.IntN(len(out))])
			w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		}
		reply(200, mustJSON(map[string]any{"hosts": out, "has_next": more}))
	default:
		reply(400, []byte(`{}`))
	}
}
