package store

import "cmp"

// Position is a point in the history of a store. A store that was restored from a copy starts a new era, in which it gives
// out again the revisions that came after the copy, so a revision says nothing without its era.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare orders positions: by era, then by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// After reports whether the position is later than another one.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// Before reports whether the position is earlier than another one.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// StaleListPosition returns the latest position up to which a list certainly lacks no change. Each of its pages has its keys
// as they were at a time of its own, which is not known but not before that of its newest entry. The position is zero if
// there is no such position, as for an empty page.
func StaleListPosition(pages ...[]Entry) (complete Position) {
	for i, page := range pages {
		var newest Position
		for _, e := range page {
			if e.Position().After(newest) {
				newest = e.Position()
			}
		}
		if i == 0 || newest.Before(complete) {
			complete = newest
		}
	}
	return complete
}

// IsZero reports whether the position is unknown.
func (p Position) IsZero() bool { return p == Position{} }
