package snapshot

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"brooklb/internal/wire"
)

// Asker sends requests to the state service. It retries requests that are refused
// temporarily, and limits their rate.
type Asker interface {
	Ask(method, path string, body []byte) (status int, answer []byte, err error)
}

const (
	keysPerPage = 500
	// maxFetchAttempts bounds how often Fetch starts again because the service no longer has
	// the changes since the first page.
	maxFetchAttempts = 5
)

// ErrChangesTooFast means that the service discards its history of changes faster than
// Fetch reads it.
var ErrChangesTooFast = errors.New("the state changes too fast for the given request rate: raise it")

// Fetch copies all keys at one revision. It reads all pages and then applies every change
// since the first page, up to a revision that is not older than any page.
func Fetch(ask Asker, now func() time.Time) (*Snapshot, error) {
	for range maxFetchAttempts {
		items, first, newest, err := readPages(ask)
		if err != nil {
			return nil, err
		}
		storeRevision, err := applyChanges(ask, items, first, newest)
		if errors.Is(err, errTooOld) {
			continue
		}
		if err != nil {
			return nil, err
		}
		s := &Snapshot{Revision: storeRevision, AtMS: now().UnixMilli()}
		for _, it := range items {
			s.Items = append(s.Items, it)
		}
		s.sort()
		return s, nil
	}
	return nil, ErrChangesTooFast
}

var errTooOld = errors.New("too old")

// readPages reads all keys. The pages are of different revisions; it returns the revision of
// the first page and the newest revision of any page.
func readPages(ask Asker) (items map[string]Item, first, newest uint64, err error) {
	items = map[string]Item{}
	for after := ""; ; {
		path := wire.PathKeys + "?under=" + Prefix + "&most=" + strconv.Itoa(keysPerPage)
		if after != "" {
			path += "&from=" + after
		}
		status, b, err := ask.Ask("GET", path, nil)
		if err != nil {
			return nil, 0, 0, err
		}
		if status != 200 {
			return nil, 0, 0, fmt.Errorf("the state service answered %d to a request for a page of keys", status)
		}
		p, err := wire.DecodePage(b)
		if err != nil {
			return nil, 0, 0, err
		}
		if first == 0 {
			first = p.Revision
		}
		newest = max(newest, p.Revision)
		last := after
		for _, it := range p.Items {
			if it.Path <= after {
				return nil, 0, 0, fmt.Errorf("the state service returned key %s where only later ones were requested", it.Path)
			}
			last = max(last, it.Path)
			items[it.Path] = Item{it.Path, append([]byte(nil), it.Value...), it.Revision}
		}
		if !p.HasNext {
			return items, first, newest, nil
		}
		if last == after || len(items) > maxKeys {
			return nil, 0, 0, fmt.Errorf("the state service announces a page after key %s, but returned no new keys or too many", last)
		}
		after = last
	}
}

// applyChanges updates the keys to one revision, which it returns. The revision is newest or
// a later one.
func applyChanges(ask Asker, items map[string]Item, first, newest uint64) (uint64, error) {
	for storeRevision := first; ; {
		status, b, err := ask.Ask("GET", wire.PathChanges+"?under="+Prefix+"&from="+strconv.FormatUint(storeRevision, 10)+"&block_ms=0", nil)
		if err != nil {
			return 0, err
		}
		if status == 410 {
			return 0, errTooOld
		}
		if status != 200 {
			return 0, fmt.Errorf("the state service answered %d to a request for changes", status)
		}
		n, err := wire.DecodeWatchResponse(b)
		if err != nil {
			return 0, err
		}
		for _, e := range n.Events {
			key := e.Write + e.Delete
			if it, ok := items[key]; ok && it.Revision > e.Revision {
				continue
			}
			if e.Delete != "" {
				// A deleted key stays, without a value: the events are in no order, and an
				// event with a lower revision must not bring the key back.
				items[key] = Item{Path: key, Revision: e.Revision}
			} else {
				items[key] = Item{key, append([]byte(nil), e.Value...), e.Revision}
			}
		}
		if n.Revision < storeRevision {
			return 0, fmt.Errorf("the state service's revision went back from %d to %d", storeRevision, n.Revision)
		}
		storeRevision = n.Revision
		if storeRevision >= newest {
			for k, it := range items {
				if it.Value == nil {
					delete(items, k)
				}
			}
			return storeRevision, nil
		}
	}
}
