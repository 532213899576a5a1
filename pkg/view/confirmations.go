package view

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// confirmations tracks which members confirmed this instance's own authority, and until when.
type confirmations struct {
	epoch uint64
	until map[peer.InstanceID]time.Time
	// droppedAt is the time of the last drop. Confirmations of requests sent until then do not count.
	droppedAt time.Time
}

// record adds a confirmation in epoch. The lease starts when the request was sent, which is
// before the confirming member starts its own lease.
func (h *confirmations) record(epoch uint64, from peer.InstanceID, sent time.Time, lease time.Duration) {
	if epoch < h.epoch || !sent.After(h.droppedAt) {
		return
	}
	if epoch > h.epoch || h.until == nil {
		h.epoch, h.until = epoch, make(map[peer.InstanceID]time.Time)
	}
	if until := sent.Add(minusDrift(lease)); until.After(h.until[from]) {
		h.until[from] = until
	}
}

// held reports whether confirmations from a write quorum of g are valid at now.
func (h *confirmations) held(now time.Time, g Group) bool {
	if h.epoch != g.Epoch || len(g.Members) == 0 {
		return false
	}
	n := 0
	for _, m := range g.Members {
		if now.Before(h.until[m.ID]) {
			n++
		}
	}
	return n >= g.WriteQuorum()
}

// drop discards all confirmations, including later ones to requests that were sent up to now.
func (h *confirmations) drop(now time.Time) { h.until, h.droppedAt = nil, now }
