package quota

import "time"

// Holder is the state machine of an instance that uses units of one resource. It is
// not safe for concurrent use; only its gate is shared with the request path.
type Holder struct {
	settings      Settings
	gate          *Gate
	sequence      uint64
	epoch         uint64
	limit         int
	want          int
	awaitingReply bool
	sentAt        time.Time
	grantEnd      time.Time // no work may start from then on
	revokeAt      time.Time // running work is cancelled then unless the grant is renewed
	contended     bool      // other holders wait for units
	requested     bool      // a request has been sent at least once
}

// NewHolder returns a holder without a grant.
func NewHolder(s Settings, gate *Gate) *Holder {
	return &Holder{settings: s, gate: gate}
}

// Gate returns the gate that admits work under the grants of the holder.
func (h *Holder) Gate() *Gate { return h.gate }

// Limit returns the limit over all instances as of the last reply; 0 if there was none.
func (h *Holder) Limit() int { return h.limit }

// Step revokes the permits of work that has run without a renewal of the grant for
// too long. It must be called at least once per Settings.Poll.
func (h *Holder) Step(now time.Time) {
	if h.gate.Used() > 0 && !now.Before(h.revokeAt) {
		h.gate.shrinkTo(now, 0)
		h.gate.revokeAll()
	}
}

// Due reports whether a request should be sent now.
func (h *Holder) Due(now time.Time) bool {
	since := now.Sub(h.sentAt)
	if !h.requested {
		return h.gate.denied.Load() > 0
	}
	if h.awaitingReply {
		return since >= h.settings.Timeout
	}
	held, used := h.gate.Held(now), h.gate.Used()
	switch {
	case h.gate.denied.Load() > 0 || h.want > held:
		return since >= h.settings.Poll
	case h.contended && held > used:
		return since >= h.settings.Poll
	case held > 0 || h.want > 0:
		return since >= h.settings.Lifetime/4
	}
	return false
}

// Request returns the next request and drops the units that it does not name: those
// neither in use nor wanted since the last request.
func (h *Holder) Request(now time.Time) Request {
	h.want = h.gate.takeDemand()
	h.sequence++
	h.requested, h.awaitingReply, h.sentAt = true, true, now
	return Request{Sequence: h.sequence, Held: h.gate.shrinkTo(now, h.want), Want: h.want}
}

// Receive applies a reply. Only the reply to the last request is accepted, because
// that request may have told the allocator that earlier units were dropped.
func (h *Holder) Receive(now time.Time, r Reply) {
	if !h.awaitingReply || r.Sequence != h.sequence || r.Epoch < h.epoch {
		return
	}
	h.awaitingReply = false
	if !r.Granted {
		return
	}
	h.epoch, h.limit, h.contended = r.Epoch, r.Limit, r.Contended
	h.grantEnd = h.sentAt.Add(h.settings.holderSpan(h.settings.Lifetime))
	h.revokeAt = h.sentAt.Add(h.settings.holderSpan(h.settings.Lifetime + h.settings.WorkBound))
	h.gate.grant(now, r.Units, h.grantEnd, r.KeepOnly)
}

// Leave returns the final request of a holder that shuts down: it drops every unit
// that is not in use.
func (h *Holder) Leave(now time.Time) Request {
	h.gate.takeDemand()
	h.gate.shrinkTo(now, 0)
	return h.Request(now)
}

// Forfeit drops the grant after the clock of this instance stood still for gap, for
// example because its machine was suspended: the grant may have expired without this
// instance noticing. Permits of running work are revoked earlier by gap.
func (h *Holder) Forfeit(now time.Time, gap time.Duration) {
	h.awaitingReply = false
	h.revokeAt = h.revokeAt.Add(-gap)
	h.gate.shrinkTo(now, 0)
	h.Step(now)
}
