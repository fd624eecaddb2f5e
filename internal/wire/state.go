package wire

import (
	"fmt"
	"strconv"

	"github.com/segmentio/encoding/json"
)

// Cond is a condition of a transaction: the key's revision is Stamp, or the key doesn't
// exist if Stamp is 0.
type Cond struct {
	Path  string `json:"path"`
	Stamp uint64 `json:"stamp"`
}

// Change is a put or a delete. Permit is the lease that a put attaches the key to.
type Change struct {
	Write  string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction of the state service: if all conditions hold, all changes apply.
type Txn struct {
	When  []Cond   `json:"when"`
	Apply []Change `json:"apply,omitempty"`
}

// Item is a key with its value and the revision of its last change, Stamp.
type Item struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
}

// Page is the answer to a range read at the revision Epoch.
type Page struct {
	Items   []Item `json:"items"`
	HasNext bool   `json:"has_next"`
	Epoch   uint64 `json:"epoch"`
}

// Event is a put or a delete that a watch reports.
type Event struct {
	Write  string          `json:"write"`
	Value  json.RawMessage `json:"value"`
	Stamp  uint64          `json:"stamp"`
	Delete string          `json:"delete"`
}

// WatchResponse is the answer to a watch: the events up to the revision Epoch.
type WatchResponse struct {
	Epoch  uint64  `json:"epoch"`
	Events []Event `json:"news"`
}

// Outcome is the answer to a transaction.
type Outcome struct {
	Epoch  uint64
	Failed []string
}

// The decoders of the state service's answers require the fields that the protocol
// defines. Otherwise an answer such as null would decode as a page without keys or as a
// confirmation, and the replica would drop all its keys.

// DecodePage decodes the answer to a range read.
func DecodePage(b []byte) (Page, error) {
	var r struct {
		Items   *[]Item `json:"items"`
		HasNext bool    `json:"has_next"`
		Epoch   *uint64 `json:"epoch"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Page{}, fmt.Errorf("page: %s", clip(err.Error()))
	}
	if r.Items == nil || r.Epoch == nil {
		return Page{}, fmt.Errorf("page: no items or epoch in %q", clip(string(b)))
	}
	for _, it := range *r.Items {
		if it.Path == "" || it.Stamp == 0 {
			return Page{}, fmt.Errorf("page: an item has no path or no stamp")
		}
	}
	return Page{*r.Items, r.HasNext, *r.Epoch}, nil
}

// DecodeWatchResponse decodes the answer to a watch.
func DecodeWatchResponse(b []byte) (WatchResponse, error) {
	var r struct {
		Epoch *uint64  `json:"epoch"`
		News  *[]Event `json:"news"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return WatchResponse{}, fmt.Errorf("watch: %s", clip(err.Error()))
	}
	if r.Epoch == nil || r.News == nil {
		return WatchResponse{}, fmt.Errorf("watch: no epoch or news in %q", clip(string(b)))
	}
	for _, e := range *r.News {
		if (e.Write == "") == (e.Delete == "") || e.Stamp == 0 {
			return WatchResponse{}, fmt.Errorf("watch: an event is neither a write nor a delete, or has no stamp")
		}
	}
	return WatchResponse{*r.Epoch, *r.News}, nil
}

// DecodeOutcome decodes the answer to a transaction. With conflict set, the answer is a
// refusal and must name the keys whose conditions failed.
func DecodeOutcome(b []byte, conflict bool) (Outcome, error) {
	var r struct {
		Epoch  *uint64  `json:"epoch"`
		Failed []string `json:"failed"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Outcome{}, fmt.Errorf("transaction: %s", clip(err.Error()))
	}
	if r.Epoch == nil || conflict != (len(r.Failed) > 0) {
		return Outcome{}, fmt.Errorf("transaction: unexpected answer %q", clip(string(b)))
	}
	return Outcome{*r.Epoch, r.Failed}, nil
}

// DecodeItem decodes the answer to a read of one key.
func DecodeItem(b []byte, key string) (Item, error) {
	var it Item
	if err := json.Unmarshal(b, &it); err != nil {
		return it, fmt.Errorf("key %s: %s", key, clip(err.Error()))
	}
	if it.Path != key || it.Stamp == 0 || len(it.Value) == 0 {
		return it, fmt.Errorf("key %s: unexpected answer %q", key, clip(string(b)))
	}
	return it, nil
}

// IsAbsent reports whether the body of a 404 answer to a read says that the key doesn't
// exist.
func IsAbsent(b []byte) bool {
	var r struct {
		Epoch *uint64 `json:"epoch"`
	}
	return json.Unmarshal(b, &r) == nil && r.Epoch != nil
}

// LeaseRequest returns the body of a request for a lease with a TTL in milliseconds.
func LeaseRequest(ms int) []byte { return []byte(`{"ttl_ms":` + strconv.Itoa(ms) + `}`) }

// DecodeGrant decodes the id of the lease from the answer to a request for one.
func DecodeGrant(b []byte) (uint64, error) {
	var r struct {
		Permit uint64 `json:"permit"`
	}
	if err := json.Unmarshal(b, &r); err != nil || r.Permit == 0 {
		return 0, fmt.Errorf("lease: no permit in %q", clip(string(b)))
	}
	return r.Permit, nil
}
