package fleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"brooklb/internal/actor"
	"brooklb/internal/leader"
	"brooklb/internal/model"
	"brooklb/internal/statestore"
	"brooklb/internal/wire"

	"github.com/segmentio/encoding/json"
)

// TypesKey is the key of the machine types in the state service, for the nodes that don't ask the
// cloud. A list that is too large for one value is stored in parts (statestore.SplitValue), and the
// value of TypesKey stays as it was: programs without support for parts read and write TypesKey
// alone. Of the list under TypesKey and the one in parts the newer one is current.
const TypesKey = statestore.Prefix + "types"

const (
	typesInterval = 30 * time.Second // between requests for the machine types
	// typesRetryInterval is the time until they are requested again if that or their publication
	// failed.
	typesRetryInterval = 2 * time.Second
	// maxPublishedChanges and maxPublishedBytes bound one of the transactions that publish types,
	// which share the leader's write budget with its other work.
	maxPublishedChanges = 4
	maxPublishedBytes   = 48 << 10
)

// IsTypesKey reports whether the machine types depend on the key.
func IsTypesKey(key string) bool {
	return key == TypesKey || strings.HasPrefix(key, TypesKey+"/")
}

// StoredTypes returns the machine types in the replica. The list is empty if it isn't known, for
// example while a leader writes its parts.
func StoredTypes(store *statestore.Store) ([]model.MachineType, error) {
	single, hasSingle := store.Peek(TypesKey)
	firstPart, hasParts := store.Peek(statestore.PartKey(TypesKey, 0))
	value := single.Value
	switch {
	case hasParts && firstPart.Revision >= single.Revision: // the same revision: both were restored in one transaction
		var err error
		if value, err = store.ReadParts(TypesKey); err != nil {
			if errors.Is(err, statestore.ErrIncomplete) {
				return nil, nil
			}
			return nil, err
		}
	case !hasSingle:
		return nil, nil
	}
	var types []model.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return nil, fmt.Errorf("machine types: %w", err)
	}
	return types, nil
}

// setTypes makes the machine types known to the ledger. Machines of a type that is no longer
// offered stay in use, but no more are rented: the type is in no zone.
func (a *Actor) setTypes(types []model.MachineType) {
	for name, known := range a.led.Types {
		withdrawn := *known
		withdrawn.Zones = nil
		a.led.Types[name] = &withdrawn
	}
	for i := range types {
		a.led.Types[types[i].Name] = &types[i]
	}
	for _, m := range a.led.MachinesByName() {
		if m.Type != "" && !m.TypeKnown {
			a.led.Describe(m, m.Type, m.Zone, m.Spot)
		}
	}
}

// askTypes requests the machine types from the cloud.
func (a *Actor) askTypes() {
	last := a.typesAt
	a.typesAt = a.env.Now()
	sent := a.call("GET", wire.PathMachineTypes, nil, func(ans actor.Answer) {
		if ans.Err != nil || ans.Status != 200 {
			a.retryTypes()
			return
		}
		types, err := wire.DecodeMachineTypes(ans.Body)
		if err != nil {
			a.env.Log().Error("invalid response from the cloud", "err", err)
			return
		}
		a.setTypes(types)
		a.publishTypes(types)
	})
	if !sent {
		a.typesAt = last
	}
}

func (a *Actor) retryTypes() { a.typesAt = a.env.Now() - typesInterval + typesRetryInterval }

// publishTypes writes the types for the other nodes if more than prices and boot times has changed.
// Those matter only to the leader, and prices change often.
func (a *Actor) publishTypes(types []model.MachineType) {
	if a.publishing {
		return
	}
	stored, err := StoredTypes(a.store)
	if err == nil && slices.EqualFunc(stored, types, sameForUsers) {
		return
	}
	a.publishing = true
	value := wire.Encode(types)
	a.commitTypes(a.typesChanges(value), func(r statestore.Result) {
		a.publishing = false
		if r == statestore.OK {
			a.env.Log().Info("machine types published", "types", len(types), "bytes", len(value))
		} else if r != statestore.Malformed { // an immediate retry of a malformed one would be refused, too
			a.retryTypes()
		}
	})
}

// sameForUsers reports whether two descriptions of a machine type differ at most in its prices and
// boot time.
func sameForUsers(a, b model.MachineType) bool {
	return a.Name == b.Name && a.Cap == b.Cap && a.CacheGB == b.CacheGB && a.FetchGBs == b.FetchGBs && slices.Equal(a.Zones, b.Zones)
}

// typesChanges returns the changes that store the encoded types, in the order of writing. The first
// part comes last, since readers turn to the parts when it is written.
func (a *Actor) typesChanges(value []byte) []wire.Change {
	var parts [][]byte
	var changes []wire.Change
	if limit := a.store.Config().ValueBytes; limit > 0 && len(value) > limit {
		parts = statestore.SplitValue(value, limit)
		for n := len(parts) - 1; n >= 0; n-- {
			key := statestore.PartKey(TypesKey, n)
			if it, ok := a.store.Peek(key); n > 0 && ok && string(it.Value) == string(parts[n]) {
				continue // an interrupted publication has written it
			}
			changes = append(changes, wire.Change{Write: key, Value: parts[n]})
		}
	} else {
		changes = append(changes, wire.Change{Write: TypesKey, Value: value})
	}
	a.store.Each(TypesKey+"/", func(key string, _ statestore.Item) {
		for n := range parts {
			if key == statestore.PartKey(TypesKey, n) {
				return
			}
		}
		changes = append(changes, wire.Change{Delete: key})
	})
	return changes
}

// commitTypes commits the changes in as many transactions as they need. Each is conditional on this
// node's leadership and on the present revisions of its keys, so that a late one fails.
func (a *Actor) commitTypes(changes []wire.Change, done func(r statestore.Result)) {
	n, size := 0, 0
	for n < len(changes) && n < min(maxPublishedChanges, a.store.Config().TxnOps) && (n == 0 || size+len(changes[n].Value) <= maxPublishedBytes) {
		size += len(changes[n].Value)
		n++
	}
	t := wire.Txn{When: []wire.Cond{{Path: leader.Key, Revision: a.token}}, Apply: changes[:n]}
	for _, c := range t.Apply {
		key := c.Write + c.Delete
		it, _ := a.store.Peek(key) // revision 0: the key doesn't exist
		t.When = append(t.When, wire.Cond{Path: key, Revision: it.Revision})
	}
	a.store.Commit(t, true, func(r statestore.Result, _ uint64, _ []string) {
		switch {
		case a.stopped:
		case r == statestore.OK && n < len(changes):
			a.commitTypes(changes[n:], done)
		default:
			done(r)
		}
	})
}
