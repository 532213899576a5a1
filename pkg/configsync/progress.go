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

// Progress tells how far a revision has come.
type Progress struct {
	// Revision that was asked about.
	Revision uint64 `json:"revision"`
	// InForce are the instances that have it or a higher one.
	InForce []peer.InstanceID `json:"in_force"`
	// Behind are the reachable instances that do not, with the revision that they have.
	Behind map[peer.InstanceID]uint64 `json:"behind,omitempty"`
	// Unreachable are the instances that gave no answer; they may have it or not.
	Unreachable []peer.InstanceID `json:"unreachable,omitempty"`
}

// Complete reports whether the revision is in force on every reachable instance.
func (p Progress) Complete() bool { return len(p.Behind) == 0 }

// Progress asks every instance that is not gone which revision is in force there.
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
	y.each(y.known(), func(id peer.InstanceID) {
		d, err := y.compare(ctx, id)
		note(id, d.GetRevision(), err)
	})
	slices.Sort(p.InForce)
	slices.Sort(p.Unreachable)
	return p
}

// known returns the other instances that are not gone.
func (y *Syncer) known() []peer.InstanceID {
	var out []peer.InstanceID
	for _, m := range y.members.View().Members {
		if m.State != membership.Gone && m.ID != y.transport.Self() {
			out = append(out, m.ID)
		}
	}
	return out
}

// Wait returns when a revision is in force on every reachable instance, with those
// that could not be reached, or when ctx ends with an OutcomeUnknown fault.
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
