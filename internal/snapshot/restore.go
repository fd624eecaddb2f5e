package snapshot

import (
	"errors"
	"fmt"

	"brooklb/internal/leader"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// ErrNotEmpty means that the state service already has a cluster's state.
var ErrNotEmpty = errors.New("the state service is not empty")

// restoreProgress is the record of a restore under way: its snapshot and its progress.
type restoreProgress struct {
	V    int    `json:"v"`
	Sum  string `json:"sum"`
	Next int    `json:"next"` // index of the first item not restored yet
	All  int    `json:"all"`
}

// Margins by which the tokens and attempts of a restored cluster exceed the snapshot's. The
// old cluster went on using higher ones after the snapshot.
const (
	TokenMargin   = 1_000_000_000
	AttemptMargin = 1_000_000
)

// maxTransactionBytes bounds the keys and values of a transaction. The state service accepts 64 KiB
// with the conditions and the progress record.
const maxTransactionBytes = 48 << 10

// Restore writes a snapshot into an empty state service, with up to ops changes in one
// transaction. If an earlier call was interrupted, it continues after that call's last write.
// No controller can become leader before the restore ends (leader.RestoreKey). progress, if
// not nil, is called after each transaction.
func Restore(ask Asker, s *Snapshot, ops int, progress func(done, all int)) error {
	items, _, _, err := readPages(ask)
	if err != nil {
		return err
	}
	m := restoreProgress{V: 1, Sum: s.Sum(), All: len(s.Items)}
	revision := uint64(0)
	if it, ok := items[leader.RestoreKey]; ok {
		var previous restoreProgress
		if err := json.Unmarshal(it.Value, &previous); err != nil || previous.V != 1 {
			return fmt.Errorf("key %s can't be read: %.80q", leader.RestoreKey, it.Value)
		}
		if previous.Sum != m.Sum || previous.All != m.All {
			return fmt.Errorf("%w: a restore of another file is under way, at %d of %d keys", ErrNotEmpty, previous.Next, previous.All)
		}
		m, revision = previous, it.Revision
	} else if it, ok := items[leader.BaseKey]; ok && items[leader.Key].Path == "" && restoredFrom(it, m.Sum) {
		return nil // an earlier call finished the restore, but its last answer was lost
	} else if len(items) > 0 {
		firstKey := ""
		for k := range items {
			if firstKey == "" || k < firstKey {
				firstKey = k
			}
		}
		return fmt.Errorf("%w: %d keys, first %s", ErrNotEmpty, len(items), firstKey)
	}
	ops = max(2, ops) - 1 // one change is the progress record
	for {
		t := wire.Txn{When: []wire.Cond{{Path: leader.RestoreKey, Revision: revision}, {Path: leader.Key}}}
		next, size := m.Next, 0
		for ; next < len(s.Items) && len(t.Apply) < ops; next++ {
			it := &s.Items[next]
			switch it.Path {
			case leader.Key, leader.RestoreKey, leader.BaseKey:
				continue // belongs to the old cluster's leader election or restore
			}
			if size += len(it.Path) + len(it.Value); size > maxTransactionBytes && len(t.Apply) > 0 {
				break
			}
			t.Apply = append(t.Apply, wire.Change{Write: it.Path, Value: it.Value})
		}
		m.Next = next
		last := len(t.Apply) == 0
		if last {
			t.Apply = append(t.Apply, wire.Change{Write: leader.BaseKey, Value: wire.Encode(restoreBase(s))}, wire.Change{Delete: leader.RestoreKey})
		} else {
			t.Apply = append(t.Apply, wire.Change{Write: leader.RestoreKey, Value: wire.Encode(m)})
		}
		status, b, err := ask.Ask("POST", wire.PathCommit, wire.Encode(t))
		if err != nil {
			return fmt.Errorf("interrupted at %d of %d keys, run the restore again: %w", m.Next, m.All, err)
		}
		if status == 409 {
			// An earlier copy of this request may have been applied without an answer.
			wasApplied, now, err := applied(ask, m, last, s)
			if err != nil {
				return err
			}
			if wasApplied && last {
				return nil
			}
			if wasApplied {
				revision = now
				continue
			}
			return fmt.Errorf("another process writes to the state service (%s): stop all controllers and other restores, then run the restore again", b)
		}
		o, err := wire.DecodeOutcome(b, false)
		if status != 200 || err != nil {
			return fmt.Errorf("the state service answered %d %.200s to a write", status, b)
		}
		revision = o.Revision
		if progress != nil {
			progress(m.Next, m.All)
		}
		if last {
			return nil
		}
	}
}

// restoreBase returns the base of a restored cluster's tokens and attempts. It is above all
// that the snapshot's cluster can have used, and includes that cluster's own base.
func restoreBase(s *Snapshot) leader.Base {
	b := leader.Base{V: 1, Token: s.Revision + TokenMargin, Attempts: AttemptMargin, Sum: s.Sum()}
	for i := range s.Items {
		if s.Items[i].Path == leader.BaseKey {
			var previous leader.Base
			if json.Unmarshal(s.Items[i].Value, &previous) == nil {
				b.Token += previous.Token
				b.Attempts += previous.Attempts
			}
		}
	}
	return b
}

// restoredFrom reports whether the base was written by a restore of the snapshot with this
// sum, and no leader has settled yet (leader.Base).
func restoredFrom(it Item, sum string) bool {
	var b leader.Base
	return json.Unmarshal(it.Value, &b) == nil && b.Sum == sum && !b.Settled
}

// applied reports whether a refused transaction was already applied, and returns the
// revision of its record.
func applied(ask Asker, m restoreProgress, last bool, s *Snapshot) (wasApplied bool, revision uint64, err error) {
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
		var got leader.Base
		return json.Unmarshal(it.Value, &got) == nil && got.Token == restoreBase(s).Token, it.Revision, nil
	}
	var got restoreProgress
	return json.Unmarshal(it.Value, &got) == nil && got == m, it.Revision, nil
}
