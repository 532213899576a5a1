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

// IsZero reports whether the position is unknown.
func (p Position) IsZero() bool { return p == Position{} }
