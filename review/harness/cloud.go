package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machines that the cloud rents.
type machineType struct {
	SKU      string   `json:"sku"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"gpus"`
	MemoryGB float64  `json:"memory_gb"`
	LocalGB  float64  `json:"local_gb"`
	Fetch    float64  `json:"fetch_gb_per_s"`
	Hourly   float64  `json:"hourly"`
	LowPrice float64  `json:"low_price"`
	ReadyS   float64  `json:"ready_s"`
	Yards    []string `json:"yards"`
}

type machine struct {
	name, yard string
	hull       *machineType
	loaner     bool
	rented     time.Time
	gone       time.Time // zero while it exists
	worker     *worker
}

// cloud is a stand-in for the cloud. Its list lags by lag.
type cloud struct {
	w        *world
	mu       sync.Mutex
	types    []*machineType
	capacity int // machines that exist at most at a time
	lag      time.Duration
	requests bucket
	machines []*machine
	charters map[string][]string
}

// add rents one machine. Its worker starts after ready. The caller holds the lock.
func (c *cloud) add(hull *machineType, yard string, loaner bool, ready time.Duration) *machine {
	m := &machine{name: fmt.Sprintf("vm-%06d", len(c.machines)+1), yard: yard, hull: hull, loaner: loaner, rented: time.Now()}
	m.worker = newWorker(c.w, m)
	c.machines = append(c.machines, m)
	time.AfterFunc(ready, m.worker.start)
	return m
}

func (c *cloud) start(n int, yard string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		m := c.add(c.types[0], yard, false, 0)
		m.rented = time.Now().Add(-time.Minute)
	}
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests.level = min(2*c.requests.rate, c.requests.level+c.requests.rate*time.Since(c.requests.last).Seconds()); c.requests.level < 1 {
		c.requests.last = time.Now()
		answer(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	c.requests.last = time.Now()
	c.requests.level--
	switch {
	case r.URL.Path == "/machine_types":
		answer(w, 200, map[string]any{"hulls": c.types})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		c.list(w, r)
	case r.URL.Path == "/hosts" && r.Method == "POST":
		c.rent(w, body)
	case r.URL.Path == "/hosts/return":
		var x struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &x) != nil {
			answer(w, 400, map[string]any{"error": "malformed"})
			return
		}
		for _, m := range c.machines {
			for _, n := range x.Hosts {
				if m.name == n && m.gone.IsZero() {
					m.gone = time.Now()
					m.worker.remove("its machine was returned by a controller")
				}
			}
		}
		answer(w, 200, map[string]any{})
	default:
		answer(w, 400, map[string]any{"error": "path"})
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	at := time.Now().Add(-c.lag)
	from := r.URL.Query().Get("from")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	if most <= 0 || most > 500 {
		most = 500
	}
	hosts, next := []any{}, false
	for _, m := range c.machines {
		if m.name <= from || m.rented.After(at) || !m.gone.IsZero() && m.gone.Before(at) {
			continue
		}
		if len(hosts) == most {
			next = true
			break
		}
		phase := "starting"
		if up := m.worker.upSince(); !up.IsZero() && up.Before(at) {
			phase = "running"
		}
		hosts = append(hosts, map[string]any{"ref": m.name, "address": m.worker.address(), "hull": m.hull.SKU, "yard": m.yard, "loaners": m.loaner,
			"phase": phase, "held_s": at.Sub(m.rented).Seconds()})
	}
	answer(w, 200, map[string]any{"hosts": hosts, "has_next": next})
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var x struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	if json.Unmarshal(body, &x) != nil || x.Count < 1 || x.Count > 50 || x.Charter == "" {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if names, ok := c.charters[x.Charter]; ok {
		answer(w, 200, map[string]any{"hosts": names})
		return
	}
	have := 0
	for _, m := range c.machines {
		if m.gone.IsZero() {
			have++
		}
	}
	i := sort.Search(len(c.types), func(i int) bool { return c.types[i].SKU >= x.Hull })
	if n := min(x.Count, c.capacity-have); n > 0 && i < len(c.types) && c.types[i].SKU == x.Hull {
		names := []string{}
		for range n {
			ready := time.Duration(c.types[i].ReadyS * float64(time.Second))
			names = append(names, c.add(c.types[i], x.Yard, x.Loaners, ready).name)
		}
		c.charters[x.Charter] = names
		c.w.rec.add("cloud", "rented %v", names)
		answer(w, 200, map[string]any{"hosts": names})
		return
	}
	answer(w, 503, map[string]any{"error": "no capacity"})
}
