package idempotency

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// status is the outcome of an attempt, as far as the replies received so far show it.
type status uint8

const (
	// pending means that the outcome depends on replies that are still outstanding.
	pending status = iota
	// won means that a write quorum granted the claim in one epoch.
	won
	// answered means that the request ran; its answer is known if the members kept it.
	answered
	// unknownOutcome means that an earlier copy ended without a known outcome.
	unknownOutcome
	// conflicting means that the identity belongs to a request with different content.
	conflicting
	// held means that other claims hold the key.
	held
	// stale means that a member is in a later epoch.
	stale
	// full means that members have no room for another record.
	full
	// unreachable means that too few members replied.
	unreachable
	// free means that a write quorum of members found no claim; only queries have this outcome.
	free
)

// attempt is the claimant's state machine for one claim ID in one epoch. An
// attempt that did not win is never resumed: its ID is released and not reused.
type attempt struct {
	message claimMessage
	group   view.Group
	started time.Time

	replies   map[peer.InstanceID]claimReply
	failed    map[peer.InstanceID]bool
	abandoned bool
}

func newAttempt(m claimMessage, g view.Group, now time.Time) *attempt {
	return &attempt{message: m, group: g, started: now, replies: make(map[peer.InstanceID]claimReply), failed: make(map[peer.InstanceID]bool)}
}

// reply records the first reply of a member. Duplicates and replies of non-members are ignored.
func (a *attempt) reply(from peer.InstanceID, r claimReply) {
	if _, seen := a.replies[from]; a.abandoned || seen || a.failed[from] || !a.group.Has(from) {
		return
	}
	if r.verdict == peerpb.ClaimReply_VERDICT_GRANTED && r.epoch != a.message.epoch {
		r.verdict = peerpb.ClaimReply_VERDICT_STALE
	}
	a.replies[from] = r
}

// fail records that a member did not reply.
func (a *attempt) fail(from peer.InstanceID) {
	if _, seen := a.replies[from]; !seen && a.group.Has(from) {
		a.failed[from] = true
	}
}

// abandon ends the attempt permanently.
func (a *attempt) abandon() { a.abandoned = true }

// maySend reports whether sending may start at now: the claim was won, was not
// abandoned, and its first message is not older than sendLimit. The limit is
// shortened by 1% to allow for clock drift.
func (a *attempt) maySend(now time.Time) bool {
	return !a.abandoned && !a.message.query && a.count(peerpb.ClaimReply_VERDICT_GRANTED) >= a.group.WriteQuorum() &&
		now.Sub(a.started) < sendLimit-sendLimit/100
}

// validUntil returns the earliest time at which a member may drop the claim if it is not refreshed.
func (a *attempt) validUntil() time.Time {
	return a.started.Add(a.message.window - a.message.window/100)
}

func (a *attempt) count(v peerpb.ClaimReply_Verdict) int {
	n := 0
	for _, r := range a.replies {
		if r.verdict == v {
			n++
		}
	}
	return n
}

func (a *attempt) has(v peerpb.ClaimReply_Verdict) bool { return a.count(v) > 0 }

// complete reports whether every member replied or failed.
func (a *attempt) complete() bool { return len(a.replies)+len(a.failed) >= len(a.group.Members) }

// status evaluates the replies. A completed or conflicting record decides immediately. Any
// other reason to refuse the claim waits for the remaining replies, because one of them may
// contain the stored answer.
func (a *attempt) status() status {
	switch {
	case a.has(peerpb.ClaimReply_VERDICT_DONE):
		return answered
	case a.has(peerpb.ClaimReply_VERDICT_CONFLICT):
		return conflicting
	case a.count(peerpb.ClaimReply_VERDICT_GRANTED) >= a.group.WriteQuorum():
		return won
	case a.count(peerpb.ClaimReply_VERDICT_FREE) >= a.group.WriteQuorum():
		return free
	case !a.complete():
		return pending
	}
	return a.finalStatus()
}

// finalStatus returns the reason why the claim was not won once no more replies are expected.
func (a *attempt) finalStatus() status {
	switch {
	case a.has(peerpb.ClaimReply_VERDICT_UNKNOWN):
		return unknownOutcome
	case a.laterEpoch() != "":
		return stale
	case a.has(peerpb.ClaimReply_VERDICT_HELD):
		return held
	case a.has(peerpb.ClaimReply_VERDICT_FULL):
		return full
	}
	return unreachable
}

// laterEpoch returns a member that is in a later epoch, or "".
func (a *attempt) laterEpoch() peer.InstanceID {
	for id, r := range a.replies {
		if r.verdict == peerpb.ClaimReply_VERDICT_STALE && r.epoch >= a.message.epoch {
			return id
		}
	}
	return ""
}

// answer returns a reply of a member that knows the request as done, preferably one with the stored answer.
func (a *attempt) answer() (best claimReply) {
	for _, r := range a.replies {
		if r.verdict == peerpb.ClaimReply_VERDICT_DONE && (r.kept || !best.kept) {
			best = r
		}
	}
	return best
}

// holders returns the claim IDs that hold the key, each with the members that reported it.
func (a *attempt) holders() map[claimID][]peer.InstanceID {
	out := make(map[claimID][]peer.InstanceID)
	for from, r := range a.replies {
		if r.verdict == peerpb.ClaimReply_VERDICT_HELD {
			out[r.holder] = append(out[r.holder], from)
		}
	}
	return out
}

// missedReleases returns the claims that some members report as held and another as released,
// with the members that missed the release. Forwarding the release to them frees the key.
func (a *attempt) missedReleases() map[claimID][]peer.InstanceID {
	out := make(map[claimID][]peer.InstanceID)
	holders := a.holders()
	for _, r := range a.replies {
		for _, id := range r.released {
			if members, ok := holders[id]; ok {
				out[id] = members
			}
		}
	}
	return out
}
