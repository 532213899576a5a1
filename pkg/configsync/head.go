package configsync

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Keys of the tables in the store.
const (
	// Prefix is the prefix of all keys that turmericsail uses in the store.
	Prefix = "turmericsail/"
	// RoutePrefix is the prefix of the keys of routes.
	RoutePrefix = Prefix + routes
	// PoolPrefix is the prefix of the keys of pools.
	PoolPrefix = Prefix + pools
	// HeadKey is the key of the Head.
	HeadKey = Prefix + "revision"

	routes = "routes/"
	pools  = "pools/"
)

// HeldKind is the reason for which a row is held.
type HeldKind string

const (
	// HeldInvalid marks a row that failed validation.
	HeldInvalid HeldKind = "invalid"
	// HeldRestored marks a row that differs because the store was restored to an older state.
	HeldRestored HeldKind = "restored"
)

// Held is a row whose value in the store is not in force.
type Held struct {
	// Hash is the hash of the value in the store, or 0 if the row is absent there.
	// The row is held until the value changes.
	Hash uint64 `json:"hash,string"`
	// Kind is the reason for which the row is held.
	Kind HeldKind `json:"kind"`
	// Reason describes the fault for an operator.
	Reason string `json:"reason"`
	// Value is the value in force, or empty if there is none. It is kept in the head so
	// that it is not lost when all instances stop.
	Value []byte `json:"value,omitempty"`
	// Omitted reports that Value was left out because the head would be too large.
	Omitted bool `json:"omitted,omitempty"`
}

// maxHeldValues bounds the bytes of held values in a head; the store accepts at most 1 MB.
const maxHeldValues = 384 << 10

// withValues returns the held rows with their values in force. Values that do not fit
// into maxHeldValues are omitted.
func withValues(held map[string]Held, values map[string][]byte) map[string]Held {
	out := make(map[string]Held, len(held))
	size := 0
	for _, key := range slices.Sorted(maps.Keys(held)) {
		h := held[key]
		h.Value, h.Omitted = values[key], false
		if size += len(h.Value); size > maxHeldValues {
			h.Value, h.Omitted = nil, true
			size -= len(values[key])
		}
		out[key] = h
	}
	return out
}

// withoutValues returns the held rows without values, the form that snapshots keep.
func withoutValues(held map[string]Held) map[string]Held {
	out := make(map[string]Held, len(held))
	for key, h := range held {
		h.Value, h.Omitted = nil, false
		out[key] = h
	}
	return out
}

// Head is the value of HeadKey. It assigns a revision to one content of the rows.
type Head struct {
	// Revision increases with every change of the rows.
	Revision uint64 `json:"revision"`
	// Stored is the digest of the rows in the store.
	Stored uint64 `json:"stored,string"`
	// InForce is the digest of the rows in force. It differs from Stored while rows are held.
	InForce uint64 `json:"in_force,string"`
	// Held are the rows whose value in the store is not in force, by "routes/NAME" or "pools/NAME".
	Held map[string]Held `json:"held,omitempty"`
}

// reading is the result of one atomic read of the store.
type reading struct {
	head     Head
	headAt   uint64 // the store's revision of the head key; 0 if the key is absent
	rows     map[string][]byte
	stored   uint64
	modified map[string]uint64
}

func parseReading(entries []store.Entry) reading {
	r := reading{rows: map[string][]byte{}, modified: map[string]uint64{}}
	for _, e := range entries {
		key := strings.TrimPrefix(e.Key, Prefix)
		switch {
		case e.Key == HeadKey:
			r.headAt = e.Revision
			if json.Unmarshal(e.Value, &r.head) != nil {
				r.head = Head{} // treated like a head that is below the revision in force
			}
		case isRow(key):
			r.rows[key], r.modified[key] = e.Value, e.Revision
			r.stored ^= rowHash(key, e.Value)
		}
	}
	return r
}

func isRow(key string) bool {
	return strings.HasPrefix(key, routes) || strings.HasPrefix(key, pools)
}

// rowHash returns the hash of a row. It is never 0, which represents an absent row.
func rowHash(key string, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return max(1, d.Sum64())
}

func hashOf(rows map[string][]byte, key string) uint64 {
	if value, ok := rows[key]; ok {
		return rowHash(key, value)
	}
	return 0
}

// validate checks one row.
func validate(key string, value []byte) error {
	var name string
	var err error
	if strings.HasPrefix(key, routes) {
		var r table.Route
		r, err = table.DecodeRoute(value)
		name = routes + r.Name
	} else {
		var p table.Pool
		p, err = table.DecodePool(value)
		name = pools + p.Name
	}
	if err == nil && name != key {
		err = fault.Newf(fault.Invalid, "use the row's name as the last part of its key", "the row at key %q is named %q", key, name)
	}
	return err
}
