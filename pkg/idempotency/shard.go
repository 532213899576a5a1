package idempotency

import (
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// state is the state of a claim. When two copies of a claim are merged, the higher state wins.
type state uint8

const (
	// stateHeld means that the claim was granted and has not ended.
	stateHeld state = iota
	// stateUnknown means that the claim ended with an unknown outcome.
	stateUnknown
	// stateDone means that the request ran.
	stateDone
	// stateReleased means that the claim was released because its request did not run.
	stateReleased
)

// claim is what a member stores about one claim ID of a key.
type claim struct {
	id      claimID
	window  time.Duration
	expires time.Duration // since the replica's base
	answer  []byte
	digest  Digest
	state   state
	kept    bool // whether answer is stored
}

// record holds the claims of a key. Nearly all records have one claim. Additional claims
// are tombstones of claims that did not win, or were imported from another member.
type record struct{ claims []claim }

func (r *record) find(id claimID) *claim {
	for i := range r.claims {
		if r.claims[i].id == id {
			return &r.claims[i]
		}
	}
	return nil
}

// decisive returns the unreleased claim with the highest state, other than id, or nil.
func (r *record) decisive(id claimID) *claim {
	var best *claim
	for i := range r.claims {
		c := &r.claims[i]
		if c.id == id || c.state == stateReleased {
			continue
		}
		if best == nil || c.state > best.state {
			best = c
		}
	}
	return best
}

// shard is the state machine of the keys of one shard. Its mutex is held for one
// message at a time and makes seals and grants of the shard mutually exclusive.
type shard struct {
	mu sync.Mutex
	// open is the epoch in which the shard grants claims, or 0.
	open uint64
	// sealed is the highest sealed epoch.
	sealed  uint64
	records map[recordKey]*record
	// due holds, for each second since the replica's base, the keys to check for expired claims.
	due     map[int64][]recordKey
	sweptTo int64 // next second of due to process
	memory  *memory
}

// claimMessage is a decoded ClaimRequest.
type claimMessage struct {
	epoch  uint64
	key    recordKey
	id     claimID
	digest Digest
	window time.Duration
	query  bool
}

// endMessage is a decoded CompleteRequest or ReleaseRequest.
type endMessage struct {
	epoch  uint64
	key    recordKey
	id     claimID
	digest Digest
	window time.Duration
	state  state
	kept   bool
	answer []byte
}

// claimReply is a decoded ClaimReply.
type claimReply struct {
	verdict  peerpb.ClaimReply_Verdict
	epoch    uint64
	holder   claimID
	answer   []byte
	kept     bool
	released []claimID
}

// heldFor returns how long a held claim is kept after the last message of its claimant.
// The claimant may start to send up to sendLimit later, and may then end the request
// up to one refresh interval later without reaching the members.
func heldFor(window time.Duration) time.Duration {
	return sendLimit + endedFor(window+window/refreshesPerWindow)
}

// endedFor returns how long an ended claim is kept. The additional 1% covers a member with a fast clock.
func endedFor(window time.Duration) time.Duration { return window + window/100 }

func (s *shard) claim(now time.Duration, m claimMessage) claimReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current(now, m.key)
	if r != nil && !m.query {
		if own := r.find(m.id); own != nil && own.state == stateHeld {
			own.expires = max(own.expires, now+heldFor(m.window))
		}
	}
	if s.open == 0 || s.open != m.epoch {
		return claimReply{verdict: peerpb.ClaimReply_VERDICT_STALE, epoch: max(s.open, s.sealed)}
	}
	reply := s.evaluate(r, m)
	reply.epoch = s.open
	if reply.verdict == peerpb.ClaimReply_VERDICT_GRANTED {
		s.grant(now, r, m, &reply)
	}
	return reply
}

// evaluate returns the verdict on a claim or query without changing state.
func (s *shard) evaluate(r *record, m claimMessage) (reply claimReply) {
	reply.verdict = peerpb.ClaimReply_VERDICT_GRANTED
	if m.query {
		reply.verdict = peerpb.ClaimReply_VERDICT_FREE
	}
	if r == nil {
		return reply
	}
	for _, c := range r.claims {
		if c.state == stateReleased {
			reply.released = append(reply.released, c.id)
		}
	}
	other := r.decisive(m.id)
	own := r.find(m.id)
	switch {
	case own != nil && own.state == stateReleased:
		reply.verdict = peerpb.ClaimReply_VERDICT_RELEASED
	case other == nil:
	case other.digest != m.digest:
		reply.verdict = peerpb.ClaimReply_VERDICT_CONFLICT
	case other.state == stateDone:
		reply.verdict, reply.answer, reply.kept = peerpb.ClaimReply_VERDICT_DONE, other.answer, other.kept
	case other.state == stateUnknown:
		reply.verdict = peerpb.ClaimReply_VERDICT_UNKNOWN
	default:
		reply.verdict, reply.holder = peerpb.ClaimReply_VERDICT_HELD, other.id
	}
	return reply
}

// grant records a claim whose verdict from evaluate is granted.
func (s *shard) grant(now time.Duration, r *record, m claimMessage, reply *claimReply) {
	if r != nil && r.find(m.id) != nil {
		return
	}
	if !s.memory.reserve(claimCost) {
		reply.verdict = peerpb.ClaimReply_VERDICT_FULL
		return
	}
	s.insert(now, m.key, claim{id: m.id, window: m.window, digest: m.digest, state: stateHeld, expires: now + heldFor(m.window)})
}

// insert adds a claim whose memory is already reserved.
func (s *shard) insert(now time.Duration, key recordKey, c claim) {
	r := s.records[key]
	if r == nil {
		r = &record{}
		s.records[key] = r
		s.schedule(key, c.expires)
	}
	if r.claims == nil {
		r.claims = make([]claim, 0, 1)
	}
	r.claims = append(r.claims, c)
}

// end applies the end of a claim and returns the epoch in which the shard grants, or 0.
// The end is applied in any epoch, but counts towards a quorum only in the epoch of the message.
func (s *shard) end(now time.Duration, m endMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(now, m.key, claim{
		id: m.id, window: m.window, digest: m.digest, state: m.state, kept: m.kept, answer: m.answer,
		expires: now + endedFor(m.window),
	})
	return s.open
}

// merge adds what another instance knows about a claim. Records are never refused
// here, because a record that is dropped within its window would allow a second run.
// Only the answer is omitted when it exceeds the memory limit.
func (s *shard) merge(now time.Duration, key recordKey, c claim) {
	r := s.current(now, key)
	var old *claim
	if r != nil {
		old = r.find(c.id)
	}
	if c.state != stateDone {
		c.answer, c.kept = nil, false
	}
	switch {
	case old == nil:
		s.memory.force(claimCost)
		s.reserveAnswer(&c)
		s.insert(now, key, c)
	case c.state > old.state:
		c.expires = max(c.expires, old.expires)
		s.memory.release(int64(len(old.answer)))
		s.reserveAnswer(&c)
		*old = c
	default:
		old.expires = max(old.expires, c.expires)
		if c.state == stateDone && old.state == stateDone && c.kept && !old.kept {
			s.reserveAnswer(&c)
			old.answer, old.kept = c.answer, c.kept
		}
	}
}

func (s *shard) reserveAnswer(c *claim) {
	if c.kept && !s.memory.reserve(int64(len(c.answer))) {
		c.answer, c.kept = nil, false
	}
}

// current removes the expired claims of key and returns its record, or nil if none are left.
func (s *shard) current(now time.Duration, key recordKey) *record {
	r := s.records[key]
	if r == nil {
		return nil
	}
	kept := r.claims[:0]
	for _, c := range r.claims {
		if c.expires > now {
			kept = append(kept, c)
			continue
		}
		s.memory.release(claimCost + int64(len(c.answer)))
	}
	clear(r.claims[len(kept):])
	r.claims = kept
	if len(kept) == 0 {
		delete(s.records, key)
		return nil
	}
	return r
}

func (s *shard) schedule(key recordKey, at time.Duration) {
	second := int64(at/time.Second) + 1
	s.due[second] = append(s.due[second], key)
}

// sweep removes expired claims.
func (s *shard) sweep(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ; s.sweptTo <= int64(now/time.Second); s.sweptTo++ {
		keys := s.due[s.sweptTo]
		delete(s.due, s.sweptTo)
		for _, key := range keys {
			if r := s.current(now, key); r != nil {
				s.schedule(key, max(r.nextExpiry(), now))
			}
		}
	}
}

// nextExpiry returns the earliest expiry among the claims of the record.
func (r *record) nextExpiry() time.Duration {
	next := r.claims[0].expires
	for _, c := range r.claims[1:] {
		next = min(next, c.expires)
	}
	return next
}

func (s *shard) seal(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = max(s.sealed, epoch)
	if s.open <= s.sealed {
		s.open = 0
	}
}

func (s *shard) openEpoch(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch > s.sealed {
		s.open, s.sealed = epoch, epoch-1
	}
}
