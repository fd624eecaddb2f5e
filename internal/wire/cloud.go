package wire

import (
	"fmt"
	"strings"

	"brooklb/internal/model"

	"github.com/segmentio/encoding/json"
)

// DecodeMachineTypes decodes the cloud's list of machine types. In the cloud's protocol a
// hull is a machine type and a yard is a zone.
func DecodeMachineTypes(b []byte) ([]model.MachineType, error) {
	var r struct {
		Hulls []struct {
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
		} `json:"hulls"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("machine types: %s", clip(err.Error()))
	}
	if len(r.Hulls) == 0 {
		return nil, fmt.Errorf("machine types: the list is empty")
	}
	var out []model.MachineType
	for _, h := range r.Hulls {
		if h.SKU == "" {
			return nil, fmt.Errorf("machine types: a machine type has no name")
		}
		out = append(out, model.MachineType{Name: h.SKU, Cap: model.Resources{CPUs: h.CPUs, GPUs: h.GPUs, MemGB: h.MemoryGB},
			CacheGB: h.LocalGB, FetchGBs: h.Fetch, Price: h.Hourly, SpotCost: h.LowPrice, BootS: h.ReadyS, Zones: h.Yards})
	}
	return out, nil
}

// Rent returns the body of a request to rent machines. The protocol's charter is the
// request's id, and loaners are spot machines.
func Rent(charter, typ, zone string, spot bool, count int) []byte {
	return Encode(struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}{charter, typ, zone, spot, count})
}

// DecodeRented decodes the names of rented machines.
func DecodeRented(b []byte) ([]string, error) {
	var r struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("rental: %s", clip(err.Error()))
	}
	return r.Hosts, nil
}

// Return returns the body of a request to return machines to the cloud.
func Return(names []string) []byte {
	return Encode(struct {
		Hosts []string `json:"hosts"`
	}{names})
}

var machineStates = map[string]string{"starting": "booting", "running": "running", "failed": "failed"}

// DecodeMachines decodes one page of the machine list and reports whether another page
// follows.
func DecodeMachines(b []byte) ([]model.ListedMachine, bool, error) {
	var r struct {
		Hosts *[]struct {
			Ref     string  `json:"ref"`
			Address string  `json:"address"`
			Hull    string  `json:"hull"`
			Yard    string  `json:"yard"`
			Loaners bool    `json:"loaners"`
			Phase   string  `json:"phase"`
			HeldS   float64 `json:"held_s"`
		} `json:"hosts"`
		HasNext bool `json:"has_next"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, false, fmt.Errorf("machine list: %s", clip(err.Error()))
	}
	if r.Hosts == nil {
		return nil, false, fmt.Errorf("machine list: no hosts in %q", clip(string(b)))
	}
	out := make([]model.ListedMachine, 0, len(*r.Hosts))
	for _, h := range *r.Hosts {
		if h.Ref == "" || strings.ContainsAny(h.Ref, " @!/\"\\") {
			return nil, false, fmt.Errorf("machine list: bad name %q", clip(h.Ref))
		}
		st, ok := machineStates[h.Phase]
		if !ok {
			return nil, false, fmt.Errorf("machine list: %s is %q", h.Ref, clip(h.Phase))
		}
		out = append(out, model.ListedMachine{Name: h.Ref, Addr: h.Address, Type: h.Hull, Zone: h.Yard, Spot: h.Loaners, State: st, AgeS: h.HeldS})
	}
	return out, r.HasNext, nil
}
