package snapshot

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"brooklb/internal/wire"
)

// Asker sends a request to the state service. It tries again what is refused for now,
// and keeps to the rate that it was given.
type Asker interface {
	Ask(method, path string, body []byte) (status int, answer []byte, err error)
}

const (
	pageKeys = 500
	// A service that answers so many pages that bring nothing new is not to be trusted.
	mostRounds = 5
)

// ErrMoving says that the service forgets its changes faster than they are read.
var ErrMoving = errors.New("the state changes too fast for the rate that was given: raise it")

// Fetch copies all keys at one revision: all pages, and then every change since the
// first of them, up to a revision that is newer than all that was read.
func Fetch(ask Asker, now func() time.Time) (*Snapshot, error) {
	for range mostRounds {
		items, first, newest, err := pages(ask)
		if err != nil {
			return nil, err
		}
		epoch, err := follow(ask, items, first, newest)
		if errors.Is(err, errTooOld) {
			continue
		}
		if err != nil {
			return nil, err
		}
		s := &Snapshot{Epoch: epoch, AtMS: now().UnixMilli()}
		for _, it := range items {
			s.Items = append(s.Items, it)
		}
		s.sort()
		return s, nil
	}
	return nil, ErrMoving
}

var errTooOld = errors.New("too old")

// pages reads all keys. They are not of one revision: the first and the newest that
// they may be of are returned.
func pages(ask Asker) (items map[string]Item, first, newest uint64, err error) {
	items = map[string]Item{}
	for after := ""; ; {
		path := wire.PathKeys + "?under=" + Prefix + "&most=" + strconv.Itoa(pageKeys)
		if after != "" {
			path += "&from=" + after
		}
		status, b, err := ask.Ask("GET", path, nil)
		if err != nil {
			return nil, 0, 0, err
		}
		if status != 200 {
			return nil, 0, 0, fmt.Errorf("the state service answers %d to a page of keys", status)
		}
		p, err := wire.DecodePage(b)
		if err != nil {
			return nil, 0, 0, err
		}
		if first == 0 {
			first = p.Epoch
		}
		newest = max(newest, p.Epoch)
		last := after
		for _, it := range p.Items {
			if it.Path <= after {
				return nil, 0, 0, fmt.Errorf("the state service answers key %s where only later ones were asked for", it.Path)
			}
			last = max(last, it.Path)
			items[it.Path] = Item{it.Path, append([]byte(nil), it.Value...), it.Stamp}
		}
		if !p.HasNext {
			return items, first, newest, nil
		}
		if last == after || len(items) > mostKeys {
			return nil, 0, 0, fmt.Errorf("the state service's pages don't end after key %s", last)
		}
		after = last
	}
}

// follow brings the keys up to one revision, at least the newest that was seen.
func follow(ask Asker, items map[string]Item, first, newest uint64) (uint64, error) {
	for epoch := first; ; {
		status, b, err := ask.Ask("GET", wire.PathChanges+"?under="+Prefix+"&from="+strconv.FormatUint(epoch, 10)+"&block_ms=0", nil)
		if err != nil {
			return 0, err
		}
		if status == 410 {
			return 0, errTooOld
		}
		if status != 200 {
			return 0, fmt.Errorf("the state service answers %d to a question for changes", status)
		}
		n, err := wire.DecodeNews(b)
		if err != nil {
			return 0, err
		}
		for _, e := range n.News {
			key := e.Write + e.Delete
			if it, ok := items[key]; ok && it.Stamp > e.Stamp {
				continue
			}
			if e.Delete != "" {
				// A later write of the key in this answer has a higher stamp.
				items[key] = Item{Path: key, Stamp: e.Stamp}
			} else {
				items[key] = Item{key, append([]byte(nil), e.Value...), e.Stamp}
			}
		}
		if n.Epoch < epoch {
			return 0, fmt.Errorf("the state service's revision went back from %d to %d", epoch, n.Epoch)
		}
		epoch = n.Epoch
		if epoch >= newest {
			for k, it := range items {
				if it.Value == nil {
					delete(items, k)
				}
			}
			return epoch, nil
		}
	}
}
