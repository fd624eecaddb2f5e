package wire

import (
	"fmt"
	"strconv"

	"github.com/segmentio/encoding/json"
)

// The state service numbers its transactions that change keys; the number is the revision of
// the store. The revision of a key is that of its last change. In messages a key's revision is
// called stamp, the store's revision epoch, and the ID of a lease permit.

// Cond is a condition of a transaction: the key has this revision or, if Revision is 0,
// doesn't exist.
type Cond struct {
	Path     string `json:"path"`
	Revision uint64 `json:"stamp"`
}

// Change is a put or a delete. LeaseID is the lease that a put attaches the key to.
type Change struct {
	Write   string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	LeaseID uint64          `json:"permit,omitempty"`
	Delete  string          `json:"delete,omitempty"`
}

// Txn is a transaction of the state service: if all conditions hold, all changes apply.
type Txn struct {
	When  []Cond   `json:"when"`
	Apply []Change `json:"apply,omitempty"`
}

// Item is a key with its value and revision.
type Item struct {
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}

// Page is the answer to a range read at a revision of the store.
type Page struct {
	Items    []Item `json:"items"`
	HasNext  bool   `json:"has_next"`
	Revision uint64 `json:"epoch"`
}

// Event is a put or a delete that a watch reports.
type Event struct {
	Write    string          `json:"write"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	Delete   string          `json:"delete"`
}

// WatchResponse is the answer to a watch: the events up to a revision of the store.
type WatchResponse struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"news"`
}

// Outcome is the answer to a transaction, with the revision of the store after it.
type Outcome struct {
	Revision uint64
	Failed   []string
}

// The decoders of the state service's answers require the fields that the protocol
// defines. Otherwise an answer such as null would decode as a page without keys or as a
// confirmation, and the replica would drop all its keys.

// DecodePage decodes the answer to a range read.
func DecodePage(b []byte) (Page, error) {
	var r struct {
		Items    *[]Item `json:"items"`
		HasNext  bool    `json:"has_next"`
		Revision *uint64 `json:"epoch"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Page{}, fmt.Errorf("page: %s", clip(err.Error()))
	}
	if r.Items == nil || r.Revision == nil {
		return Page{}, fmt.Errorf("page: no items or epoch in %q", clip(string(b)))
	}
	for _, it := range *r.Items {
		if it.Path == "" || it.Revision == 0 {
			return Page{}, fmt.Errorf("page: an item has no path or no stamp")
		}
	}
	return Page{*r.Items, r.HasNext, *r.Revision}, nil
}

// DecodeWatchResponse decodes the answer to a watch.
func DecodeWatchResponse(b []byte) (WatchResponse, error) {
	var r struct {
		Revision *uint64  `json:"epoch"`
		News     *[]Event `json:"news"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return WatchResponse{}, fmt.Errorf("watch: %s", clip(err.Error()))
	}
	if r.Revision == nil || r.News == nil {
		return WatchResponse{}, fmt.Errorf("watch: no epoch or news in %q", clip(string(b)))
	}
	for _, e := range *r.News {
		if (e.Write == "") == (e.Delete == "") || e.Revision == 0 {
			return WatchResponse{}, fmt.Errorf("watch: an event is neither a write nor a delete, or has no stamp")
		}
	}
	return WatchResponse{*r.Revision, *r.News}, nil
}

// DecodeOutcome decodes the answer to a transaction. With conflict set, the answer is a
// refusal and must name the keys whose conditions failed.
func DecodeOutcome(b []byte, conflict bool) (Outcome, error) {
	var r struct {
		Revision *uint64  `json:"epoch"`
		Failed   []string `json:"failed"`
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Outcome{}, fmt.Errorf("transaction: %s", clip(err.Error()))
	}
	if r.Revision == nil || conflict != (len(r.Failed) > 0) {
		return Outcome{}, fmt.Errorf("transaction: unexpected answer %q", clip(string(b)))
	}
	return Outcome{*r.Revision, r.Failed}, nil
}

// DecodeItem decodes the answer to a read of one key.
func DecodeItem(b []byte, key string) (Item, error) {
	var it Item
	if err := json.Unmarshal(b, &it); err != nil {
		return it, fmt.Errorf("key %s: %s", key, clip(err.Error()))
	}
	if it.Path != key || it.Revision == 0 || len(it.Value) == 0 {
		return it, fmt.Errorf("key %s: unexpected answer %q", key, clip(string(b)))
	}
	return it, nil
}

// IsAbsent reports whether the body of a 404 answer to a read says that the key doesn't
// exist.
func IsAbsent(b []byte) bool {
	var r struct {
		Revision *uint64 `json:"epoch"`
	}
	return json.Unmarshal(b, &r) == nil && r.Revision != nil
}

// LeaseRequest returns the body of a request for a lease with a TTL in milliseconds.
func LeaseRequest(ms int) []byte { return []byte(`{"ttl_ms":` + strconv.Itoa(ms) + `}`) }

// DecodeGrant decodes the ID of the lease from the answer to a request for one.
func DecodeGrant(b []byte) (uint64, error) {
	var r struct {
		LeaseID uint64 `json:"permit"`
	}
	if err := json.Unmarshal(b, &r); err != nil || r.LeaseID == 0 {
		return 0, fmt.Errorf("lease: no permit in %q", clip(string(b)))
	}
	return r.LeaseID, nil
}
