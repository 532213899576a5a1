package configsync

import (
	"context"
	"slices"
	"sync"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Progress describes on which instances a revision is in force.
type Progress struct {
	// Revision is the revision that the other fields refer to.
	Revision uint64 `json:"revision"`
	// InForce are the instances that have this revision or a higher one.
	InForce []peer.InstanceID `json:"in_force"`
	// Behind are the reachable instances with a lower revision, each with that revision.
	Behind map[peer.InstanceID]uint64 `json:"behind,omitempty"`
	// Unreachable are the instances that did not answer; their revision is not known.
	Unreachable []peer.InstanceID `json:"unreachable,omitempty"`
}

// Complete reports whether the revision is in force on every reachable instance.
func (p Progress) Complete() bool { return len(p.Behind) == 0 }

// Progress asks every instance that is not in state Gone which revision it has in force.
func (y *Syncer) Progress(ctx context.Context, revision uint64) Progress {
	p := Progress{Revision: revision, Behind: map[peer.InstanceID]uint64{}}
	var mu sync.Mutex
	note := func(id peer.InstanceID, has uint64, err error) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
			p.Unreachable = append(p.Unreachable, id)
		case has >= revision:
			p.InForce = append(p.InForce, id)
		default:
			p.Behind[id] = has
		}
	}
	note(y.transport.Self(), y.current.Load().revision, nil)
	y.forEach(y.knownOthers(), func(id peer.InstanceID) {
		d, err := y.compare(ctx, id)
		note(id, d.GetRevision(), err)
	})
	slices.Sort(p.InForce)
	slices.Sort(p.Unreachable)
	return p
}

// knownOthers returns the other instances that are not in state Gone.
func (y *Syncer) knownOthers() []peer.InstanceID {
	var out []peer.InstanceID
	for _, m := range y.members.View().Members {
		if m.State != membership.Gone && m.ID != y.transport.Self() {
			out = append(out, m.ID)
		}
	}
	return out
}

// Wait waits until a revision is in force on every reachable instance. The result
// lists the instances that could not be reached. If ctx ends first, Wait returns an
// OutcomeUnknown fault.
func (y *Syncer) Wait(ctx context.Context, revision uint64) (Progress, error) {
	for {
		p := y.Progress(ctx, revision)
		if p.Complete() {
			return p, nil
		}
		if !pause.For(ctx, jitter(y.settings.RetryMin.Std()*2)) {
			return p, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the revision is not yet in force on every reachable instance", "ask again; the revision stays accepted")
		}
	}
}
