package sim

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Cloud is the stand-in of the cloud.
type Cloud struct {
	w           *World
	machines    map[string]*Machine
	byAddr      map[string]*Machine
	byHost      map[string]*Machine
	charters    map[string][]byte
	next        int
	outageUntil time.Duration
	snaps       []snapshot // what lists show, later
	bucket      float64
	last        time.Duration
	// Limited counts requests over the rate.
	Limited int
	// BootFactor is how much longer than usual a machine now takes to come up in
	// a zone, negative: it never does; nil: as usual.
	BootFactor func(zone string) float64
	// Lag is how much more than usual the list lags.
	Lag time.Duration
	// Page is the most machines on a page of the list, 0: 500. Shuffle has them in
	// any order, some of them twice; Endless says after every page that there is
	// another, and begins anew.
	Page             int
	Shuffle, Endless bool
	// Lists counts the pages asked for.
	Lists int
	// Cost in machine seconds.
	Cost float64
}

type snapshot struct {
	at   time.Duration
	list []listedMachine
}

// listedMachine is a machine as the list shows it.
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
	c := &Cloud{w: w, machines: map[string]*Machine{}, byAddr: map[string]*Machine{}, byHost: map[string]*Machine{}, charters: map[string][]byte{}, bucket: 2 * w.cfg.CloudRPS}
	c.snap()
	return c
}

func (c *Cloud) hostName() string { return "cloud" }
func (c *Cloud) reachable() bool  { return true }

// Outage makes the cloud refuse everybody.
func (c *Cloud) Outage(d time.Duration) { c.outageUntil = c.w.now + d }

func (c *Cloud) snap() {
	c.w.after(time.Second, c.snap)
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
		s.list = append(s.list, listedMachine{n, m.Addr, "big", m.Zone, m.Spot, ph, (c.w.now - m.born).Seconds()})
		if m.up && !m.gone {
			c.Cost++
		}
	}
	c.snaps = append(c.snaps, s)
	if len(c.snaps) > 100 {
		c.snaps = c.snaps[1:]
	}
}

func (c *Cloud) create(zone string, spot bool, bootS float64) *Machine {
	c.next++
	addr := fmt.Sprintf("10.1.%d.%d:9000", c.next/250, c.next%250+1)
	if c.w.outside != nil {
		addr = fmt.Sprintf("%s.%d.%d:9000", c.w.cfg.Net, 2+c.next/250%250, c.next%250+1)
	}
	m := &Machine{w: c.w, Name: fmt.Sprintf("vm-%06d", c.next), Addr: addr,
		Zone: zone, Spot: spot, born: c.w.now, tenure: 1, tasks: map[string]*runner{}, images: map[string]bool{}, node: c.w.rng.IntN(c.w.cfg.Nodes)}
	c.machines[m.Name] = m
	c.byAddr[m.Addr] = m
	ip, _, _ := strings.Cut(m.Addr, ":")
	c.byHost[ip] = m
	if c.w.rng.IntN(40) == 0 && bootS > 1 {
		return m // never comes up
	}
	if c.BootFactor != nil {
		f := c.BootFactor(zone)
		if f < 0 {
			return m
		}
		bootS *= f
	}
	c.w.after(c.w.secs(bootS*0.6, bootS*1.5), func() {
		if !m.gone {
			m.up = true
			if c.w.outside != nil {
				c.w.outside.Up(m)
			}
			m.leaseFrom = c.w.now
			m.report()
			m.leaseCheck()
		}
	})
	return m
}

func (c *Cloud) free(zone string, spot bool) int {
	n := c.w.cfg.Capacity
	for _, m := range c.machines {
		if !m.gone && m.Zone == zone && m.Spot == spot {
			n--
		}
	}
	return n
}

// Take removes a machine without asking, after the notice (0: none).
func (c *Cloud) Take(m *Machine, notice time.Duration) {
	if notice > 0 {
		m.recallAt = c.w.now + notice
		m.changed()
	}
	c.w.after(notice, func() { m.vanish() })
}

func (c *Cloud) serve(_, method, path string, body []byte, reply func(int, []byte)) {
	w := c.w
	c.bucket = min(2*w.cfg.CloudRPS, c.bucket+(w.now-c.last).Seconds()*w.cfg.CloudRPS)
	c.last = w.now
	if c.bucket < 1 {
		c.Limited++
		reply(429, []byte(`{}`))
		return
	}
	c.bucket--
	if w.now < c.outageUntil {
		reply(503, []byte(`{"error":"trouble"}`))
		return
	}
	p, query, _ := strings.Cut(path, "?")
	switch {
	case p == "/machine_types":
		reply(200, mustJSON(map[string]any{"hulls": []map[string]any{{"sku": "big", "cpus": w.cfg.CPUs, "gpus": w.cfg.GPUs, "memory_gb": 512.0,
			"local_gb": 40.0, "fetch_gb_per_s": 0.5, "hourly": 10.0, "low_price": 3.0, "ready_s": w.cfg.BootS, "yards": w.cfg.Zones}}}))
	case p == "/hosts" && method == "POST":
		var r struct {
			Charter, Hull, Yard string
			Loaners             bool
			Count               int
		}
		if json.Unmarshal(body, &r) != nil || r.Charter == "" || r.Hull != "big" || r.Count < 1 || r.Count > 50 {
			w.broke("limits", "rental %s", body)
			reply(400, []byte(`{}`))
			return
		}
		if a, ok := c.charters[r.Charter]; ok {
			reply(200, a)
			return
		}
		n := min(r.Count, c.free(r.Yard, r.Loaners))
		if n <= 0 {
			reply(503, []byte(`{"error":"no capacity"}`))
			return
		}
		names := []string{}
		for i := 0; i < n; i++ {
			names = append(names, c.create(r.Yard, r.Loaners, w.cfg.BootS).Name)
		}
		a := mustJSON(map[string]any{"hosts": names})
		c.charters[r.Charter] = a
		reply(200, a)
	case p == "/hosts/return":
		var r struct{ Hosts []string }
		if json.Unmarshal(body, &r) != nil || len(r.Hosts) > 100 {
			reply(400, []byte(`{}`))
			return
		}
		for _, n := range r.Hosts {
			if m := c.machines[n]; m != nil {
				m.vanish()
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
		c.Lists++
		if c.Page > 0 {
			most = min(most, c.Page)
		}
		lag := c.Lag + w.secs(2, 8) // the list may be older than the one before it
		s := c.snaps[0]
		for _, x := range c.snaps {
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
		if c.Endless && !more && len(s.list) > 0 {
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
