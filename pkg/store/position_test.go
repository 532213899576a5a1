package store

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against the position of a stale list that lies behind a change which one of its pages is too old to have.
func TestStaleListPosition(t *testing.T) {
	page := func(era uint64, revisions ...uint64) (entries []Entry) {
		for _, r := range revisions {
			entries = append(entries, Entry{Era: era, Revision: r})
		}
		return entries
	}
	for name, c := range map[string]struct {
		pages    [][]Entry
		position Position
	}{
		"no page":             {nil, Position{}},
		"one page":            {[][]Entry{page(1, 4, 9, 2)}, Position{1, 9}},
		"older first page":    {[][]Entry{page(1, 4, 2), page(1, 9, 3)}, Position{1, 4}},
		"older second page":   {[][]Entry{page(1, 9, 3), page(1, 4, 2), page(1, 8)}, Position{1, 4}},
		"empty page":          {[][]Entry{page(1, 9), page(1)}, Position{}},
		"empty first page":    {[][]Entry{page(1), page(1, 9)}, Position{}},
		"page of another era": {[][]Entry{page(2, 3), page(1, 9)}, Position{1, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(StaleListPosition(c.pages...), c.position)
		})
	}
}
