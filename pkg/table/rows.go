package table

import (
	"strings"

	"github.com/turmericsail/turmericsail/pkg/store"
)

// Key prefixes of the rows, below the deployment's prefix.
const (
	RoutesPrefix = "routes/"
	PoolsPrefix  = "pools/"
)

// FromRows builds tables from the store entries under prefix. Rows that fail to
// decode or validate are skipped and reported.
func FromRows(prefix string, entries []store.Entry, revision uint64) (*Tables, Problems) {
	var routes []Route
	var pools []Pool
	var problems Problems
	for _, e := range entries {
		kind := strings.TrimPrefix(e.Key, prefix)
		var err error
		switch {
		case strings.HasPrefix(kind, RoutesPrefix):
			var r Route
			if r, err = DecodeRoute(e.Value); err == nil {
				routes = append(routes, r)
			}
		case strings.HasPrefix(kind, PoolsPrefix):
			var p Pool
			if p, err = DecodePool(e.Value); err == nil {
				pools = append(pools, p)
			}
		}
		for _, x := range ProblemsOf(err) {
			problems.Add(e.Key+" "+x.Path, x.Message, x.Remedy)
		}
	}
	return NewTables(revision, routes, pools), problems
}
