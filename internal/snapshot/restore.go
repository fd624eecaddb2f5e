package snapshot

import (
	"errors"
	"fmt"

	"brooklb/internal/leader"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// ErrNotEmpty says that there is state already.
var ErrNotEmpty = errors.New("the state service is not empty")

// mark is the restore's own record: how far it has come, and of what.
type mark struct {
	V    int    `json:"v"`
	Sum  string `json:"sum"`
	Next int    `json:"next"` // the first item that is not there yet
	All  int    `json:"all"`
}

// Margin is by how much a restored cluster's tokens and attempts lie above the
// snapshot's: the old cluster went on after it was taken.
const (
	TokenMargin   = 1_000_000_000
	AttemptMargin = 1_000_000
)

// Restore puts a snapshot into a state service that has nothing of a cluster, a few
// keys at a time; interrupted, it goes on where it was. Nobody leads until it is
// through (leader.RestoreKey). told hears how far it has come.
func Restore(ask Asker, s *Snapshot, ops int, told func(done, all int)) error {
	items, _, _, err := pages(ask)
	if err != nil {
		return err
	}
	m := mark{V: 1, Sum: s.Sum(), All: len(s.Items)}
	stamp := uint64(0)
	if it, ok := items[leader.RestoreKey]; ok {
		var was mark
		if err := json.Unmarshal(it.Value, &was); err != nil || was.V != 1 {
			return fmt.Errorf("key %s can't be read: %.80q", leader.RestoreKey, it.Value)
		}
		if was.Sum != m.Sum || was.All != m.All {
			return fmt.Errorf("%w: another file's restore is under way, %d of %d keys", ErrNotEmpty, was.Next, was.All)
		}
		m, stamp = was, it.Stamp
	} else if it, ok := items[leader.BaseKey]; ok && items[leader.Key].Path == "" && restored(it, m.Sum) {
		return nil // by an earlier call whose last answer was lost
	} else if len(items) > 0 {
		some := ""
		for k := range items {
			if some == "" || k < some {
				some = k
			}
		}
		return fmt.Errorf("%w: %d keys, first %s", ErrNotEmpty, len(items), some)
	}
	ops = max(2, ops) - 1 // one is the mark
	for {
		t := wire.Txn{When: []wire.Cond{{Path: leader.RestoreKey, Stamp: stamp}, {Path: leader.Key}}}
		next := m.Next
		for ; next < len(s.Items) && len(t.Apply) < ops; next++ {
			it := &s.Items[next]
			switch it.Path {
			case leader.Key, leader.RestoreKey, leader.BaseKey:
				continue // a cluster's own, not its state
			}
			t.Apply = append(t.Apply, wire.Change{Write: it.Path, Value: it.Value})
		}
		m.Next = next
		last := len(t.Apply) == 0
		if last {
			t.Apply = append(t.Apply, wire.Change{Write: leader.BaseKey, Value: wire.Encode(base(s))}, wire.Change{Delete: leader.RestoreKey})
		} else {
			t.Apply = append(t.Apply, wire.Change{Write: leader.RestoreKey, Value: wire.Encode(m)})
		}
		status, b, err := ask.Ask("POST", wire.PathCommit, wire.Encode(t))
		if err != nil {
			return fmt.Errorf("interrupted at %d of %d keys, to be called again: %w", m.Next, m.All, err)
		}
		if status == 409 {
			// It may be an earlier copy of ours that was applied without an answer.
			ours, now, err := applied(ask, m, last, s)
			if err != nil {
				return err
			}
			if ours && last {
				return nil
			}
			if ours {
				stamp = now
				continue
			}
			return fmt.Errorf("something else writes to the state service (%s): end all controllers and other restores, then call again", b)
		}
		o, err := wire.DecodeOutcome(b, false)
		if status != 200 || err != nil {
			return fmt.Errorf("the state service answers %d %.200s to a write", status, b)
		}
		stamp = o.Epoch
		if told != nil {
			told(m.Next, m.All)
		}
		if last {
			return nil
		}
	}
}

// base is what a restored cluster goes on from: above what the snapshot's cluster can
// have used, and the base that it had itself.
func base(s *Snapshot) leader.Base {
	b := leader.Base{V: 1, Token: s.Epoch + TokenMargin, Attempts: AttemptMargin, Sum: s.Sum()}
	for i := range s.Items {
		if s.Items[i].Path == leader.BaseKey {
			var was leader.Base
			if json.Unmarshal(s.Items[i].Value, &was) == nil {
				b.Token += was.Token
				b.Attempts += was.Attempts
			}
		}
	}
	return b
}

// restored reports whether the base is that of a restore of the same snapshot, on
// which no leader has begun yet.
func restored(it Item, sum string) bool {
	var b leader.Base
	return json.Unmarshal(it.Value, &b) == nil && b.Sum == sum && !b.Settled
}

// applied reports whether a write that was refused is there already.
func applied(ask Asker, m mark, last bool, s *Snapshot) (ours bool, stamp uint64, err error) {
	key := leader.RestoreKey
	if last {
		key = leader.BaseKey
	}
	status, b, err := ask.Ask("GET", wire.PathKeys+"/"+key, nil)
	if err != nil || status != 200 {
		return false, 0, err
	}
	it, err := wire.DecodeItem(b, key)
	if err != nil {
		return false, 0, err
	}
	if last {
		var is leader.Base
		return json.Unmarshal(it.Value, &is) == nil && is.Token == base(s).Token, it.Stamp, nil
	}
	var is mark
	return json.Unmarshal(it.Value, &is) == nil && is == m, it.Stamp, nil
}
