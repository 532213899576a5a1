package idempotency

import (
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// endReplication is the state machine that replicates the end of a claim to the members.
// The end is durable once a write quorum acknowledged it in one epoch, because every
// later seal quorum then includes a member that holds it.
type endReplication struct {
	message endMessage
	group   view.Group
	acked   map[peer.InstanceID]bool
	durable bool
}

func newEndReplication(m endMessage) *endReplication { return &endReplication{message: m} }

// setGroup starts or continues the replication in group g. Acknowledgements from an earlier epoch do not count in a later one.
func (e *endReplication) setGroup(g view.Group) {
	if e.acked == nil || g.Epoch > e.group.Epoch {
		e.group, e.acked = g, make(map[peer.InstanceID]bool)
		e.message.epoch = g.Epoch
	}
}

// unacknowledged returns the members that have not acknowledged the end.
func (e *endReplication) unacknowledged() []peer.InstanceID {
	var out []peer.InstanceID
	for _, m := range e.group.Members {
		if !e.acked[m.ID] {
			out = append(out, m.ID)
		}
	}
	return out
}

// ack records that a member applied the end while it was open in the given epoch.
func (e *endReplication) ack(from peer.InstanceID, sent, epoch uint64) {
	if sent != e.group.Epoch || epoch != e.group.Epoch || !e.group.Has(from) {
		return
	}
	e.acked[from] = true
	if len(e.acked) >= e.group.WriteQuorum() {
		e.durable = true
	}
}

// complete reports whether the end is durable and acknowledged by every member.
func (e *endReplication) complete() bool { return e.durable && len(e.unacknowledged()) == 0 }
