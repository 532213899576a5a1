package view

import (
	"maps"
	"slices"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Target is a member that must be sealed up to Epoch and whose records must be imported.
// If Copy is set, it is a loaded member of the same epoch, whose records are copied
// without a seal.
type Target struct {
	ID    peer.InstanceID
	Epoch uint64
	Copy  bool
}

// loadProgress tracks which records a new member has loaded.
type loadProgress struct {
	epoch  uint64
	sealed map[peer.InstanceID]uint64
	copied bool
}

// newLoadProgress starts a load. Imports of an earlier load that was superseded remain
// valid, because the records of a sealed epoch no longer change.
func newLoadProgress(epoch uint64, earlier *loadProgress) *loadProgress {
	l := &loadProgress{epoch: epoch, sealed: make(map[peer.InstanceID]uint64)}
	if earlier != nil {
		maps.Copy(l.sealed, earlier.sealed)
	}
	return l
}

func (l *loadProgress) markLoaded(t Target) {
	if t.Copy {
		l.copied = true
		return
	}
	l.sealed[t.ID] = max(l.sealed[t.ID], t.Epoch)
}

// sealedIn counts the members of g that are sealed in g's epoch and whose records were imported.
func (l *loadProgress) sealedIn(g Group) int {
	n := 0
	for _, m := range g.Members {
		if l.sealed[m.ID] >= g.Epoch {
			n++
		}
	}
	return n
}

// complete reports whether the records of a seal quorum of every predecessor have been
// imported or, after the predecessors were removed, those of one loaded member.
func (l *loadProgress) complete(v View) bool {
	if l.copied {
		return true
	}
	if len(v.Predecessors) == 0 {
		// Without predecessors only a copy from a loaded member completes the load.
		return false
	}
	return !slices.ContainsFunc(v.Predecessors, func(g Group) bool { return l.sealedIn(g) < g.SealQuorum() })
}

// targets returns the members to load from. All members of a predecessor are targets,
// since any seal quorum suffices and waiting for a selected one would be slower.
func (l *loadProgress) targets(v View, self peer.InstanceID) []Target {
	var out []Target
	if len(v.Predecessors) == 0 {
		for _, id := range v.Loaded {
			if id != self {
				out = append(out, Target{ID: id, Epoch: v.Epoch, Copy: true})
			}
		}
		return out
	}
	seen := make(map[peer.InstanceID]bool)
	for _, g := range v.Predecessors {
		for _, m := range g.Members {
			if !seen[m.ID] && l.sealed[m.ID] < g.Epoch {
				out = append(out, Target{ID: m.ID, Epoch: g.Epoch})
			}
			seen[m.ID] = true
		}
	}
	return out
}
