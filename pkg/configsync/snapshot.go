package configsync

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// maxTombstones bounds the tombstones that are kept for deltas.
const maxTombstones = 4096

// row is one row in force, or the tombstone of a deleted row.
type row struct {
	value   []byte
	since   uint64 // revision of the last change
	deleted bool
}

// snapshot is the content of one revision. It is immutable.
type snapshot struct {
	revision uint64
	digest   uint64
	floor    uint64 // all changes after this revision are known
	rows     map[string]row
	held     map[string]Held
	tables   *table.Tables
	routes   map[string]table.Route // last version that this release can read, by key
	pools    map[string]table.Pool
	stale    map[string]bool // rows whose current value this release cannot read
	problems table.Problems
}

func emptySnapshot() *snapshot {
	return &snapshot{rows: map[string]row{}, held: map[string]Held{}, routes: map[string]table.Route{}, pools: map[string]table.Pool{}}
}

// values returns the rows in force.
func (s *snapshot) values() map[string][]byte {
	out := make(map[string][]byte, len(s.rows))
	for key, r := range s.rows {
		if !r.deleted {
			out[key] = r.value
		}
	}
	return out
}

func digestOf(values map[string][]byte) uint64 {
	var d uint64
	for key, v := range values {
		d ^= rowHash(key, v)
	}
	return d
}

// next returns the snapshot of a later revision with the given values in force.
func (s *snapshot) next(revision uint64, values map[string][]byte, held map[string]Held) *snapshot {
	n := &snapshot{revision: revision, digest: digestOf(values), floor: s.floor, rows: map[string]row{}, held: held}
	if s.revision == 0 {
		n.floor = revision
	}
	for key, v := range values {
		n.rows[key] = row{value: v, since: revision}
		if s.has(key, v) {
			n.rows[key] = s.rows[key]
		}
	}
	for key, old := range s.rows {
		if _, ok := values[key]; ok {
			continue
		}
		if !old.deleted {
			old = row{since: revision, deleted: true}
		}
		n.rows[key] = old
	}
	return n.finish(s)
}

// finish removes old tombstones and builds the tables.
func (n *snapshot) finish(previous *snapshot) *snapshot {
	n.prune()
	n.build(previous)
	return n
}

func (n *snapshot) prune() {
	var tombs []string
	for key, r := range n.rows {
		if r.deleted {
			tombs = append(tombs, key)
		}
	}
	if len(tombs) <= maxTombstones {
		return
	}
	sort.Slice(tombs, func(a, b int) bool { return n.rows[tombs[a]].since < n.rows[tombs[b]].since })
	for _, key := range tombs[:len(tombs)-maxTombstones/2] {
		n.floor = max(n.floor, n.rows[key].since)
		delete(n.rows, key)
	}
}

// build decodes the rows into tables. For a row that this release cannot read, such as
// one with a field of a newer release, it keeps the last version that it could read.
func (n *snapshot) build(previous *snapshot) {
	n.routes, n.pools, n.stale = map[string]table.Route{}, map[string]table.Pool{}, map[string]bool{}
	for _, key := range slices.Sorted(maps.Keys(n.rows)) {
		if r := n.rows[key]; !r.deleted {
			n.decode(key, r.value, previous)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(n.held)) {
		n.problems.Add(key, "the value in the store is not in force: "+n.held[key].Reason, "edit the row")
	}
	n.tables = table.NewTables(n.revision, slices.Collect(maps.Values(n.routes)), slices.Collect(maps.Values(n.pools)))
	n.problems = append(n.problems, n.tables.CheckReferences()...)
}

func (n *snapshot) decode(key string, value []byte, previous *snapshot) {
	if n.reuse(key, value, previous) {
		return
	}
	err := validate(key, value)
	if err != nil {
		n.stale[key] = true
		n.problems.Add(key, "this instance keeps the last version that it can read: "+err.Error(), "update this instance or correct the row")
	}
	isRoute := strings.HasPrefix(key, routes)
	switch {
	case err == nil && isRoute:
		n.routes[key], _ = table.DecodeRoute(value)
	case err == nil:
		n.pools[key], _ = table.DecodePool(value)
	case isRoute:
		if r, ok := previous.routes[key]; ok {
			n.routes[key] = r
		}
	default:
		if p, ok := previous.pools[key]; ok {
			n.pools[key] = p
		}
	}
}

// reuse copies the decoded form of an unchanged row from the previous snapshot. Decoding
// every row at every edit took three quarters of the CPU time of an instance.
func (n *snapshot) reuse(key string, value []byte, previous *snapshot) bool {
	if !previous.has(key, value) || previous.stale[key] {
		return false
	}
	if r, ok := previous.routes[key]; ok {
		n.routes[key] = r
		return true
	}
	p, ok := previous.pools[key]
	if ok {
		n.pools[key] = p
	}
	return ok
}

// has reports whether value is in force for the row at key.
func (s *snapshot) has(key string, value []byte) bool {
	old, ok := s.rows[key]
	return ok && !old.deleted && string(old.value) == string(value)
}
