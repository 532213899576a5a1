package membership

import (
	"math/bits"
	"slices"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

const (
	// buckets is the number of buckets of the member table, each with its own digest.
	buckets = 16
	// maxChanges bounds the records in one heartbeat, so that it stays below 1 KiB, the maximum
	// size of a message that may use the reserve of the control byte budget.
	maxChanges = 8
	// gossipTargets is the number of random members that receive new records on each tick.
	gossipTargets = 2
	// gossipRate is the number of gossip records per second: about 1.6 KB/s of the control byte budget.
	gossipRate = 16
	// maxSendBudget is the maximum number of gossip records in a burst.
	maxSendBudget = 128
	// maxRecords bounds the records in one exchange of member tables.
	maxRecords = 4096
)

// queueForGossip queues a record to be sent. Sending it three times the logarithm of
// the fleet size reaches every member with high probability; the exchange of digests
// repairs the rest.
func (m *Machine) queueForGossip(e *entry) {
	if e.Version == 0 || !m.synced && m.self != nil && e != m.self {
		return // records from the list and records learned before the first sync are not spread
	}
	if e.sendsLeft == 0 {
		m.gossipQueue = append(m.gossipQueue, e)
	}
	e.sendsLeft = 3 * bits.Len(uint(len(m.members)))
}

// halveRemainingSends halves the remaining sends of all queued records, because a
// member already had all of them.
func (m *Machine) halveRemainingSends() {
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(e *entry) bool {
		e.sendsLeft /= 2
		return e.sendsLeft == 0
	})
}

// gossipRecords returns the next queued records for a message to one member. If the
// receiver is suspect, gone or the subject of a claim, that record comes first, so
// that the receiver can refute it.
func (m *Machine) gossipRecords(to peer.InstanceID) []*peerpb.MemberRecord {
	var out []*peerpb.MemberRecord
	if e := m.members[to]; e != nil && e.unverifiedClaim != nil {
		out = append(out, e.unverifiedClaim.record())
	} else if e != nil && e.State >= Suspect {
		out = append(out, e.record())
	}
	var keep, later []*entry
	for _, e := range m.gossipQueue {
		switch {
		case e.ID == to || len(out) >= maxChanges || m.sendBudget < 1:
			keep = append(keep, e)
		default:
			out = append(out, e.record())
			m.sendBudget--
			if e.sendsLeft--; e.sendsLeft > 0 {
				later = append(later, e)
			}
		}
	}
	m.gossipQueue = append(keep, later...)
	return out
}

func (m *Machine) newHeartbeat(to peer.InstanceID) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{Changes: m.gossipRecords(to), Digest: m.digest()}
}

func (m *Machine) digest() uint64 {
	var d uint64
	for _, b := range m.digests {
		d ^= b
	}
	return d
}

// gossip sends queued records to random members. Once per randomInterval it sends a
// heartbeat even without records, so that differing digests are detected.
func (m *Machine) gossip(now Instant, out []Action) []Action {
	targets := 0
	if len(m.gossipQueue) > 0 {
		targets = gossipTargets
	}
	if m.timerFired(now, timerRandom, randomInterval) {
		targets = max(targets, 1)
	}
	for _, e := range m.pick(targets, nil) {
		out = append(out, SendHeartbeat{To: e.ID, Message: m.newHeartbeat(e.ID)})
	}
	if m.timerFired(now, timerGone, goneInterval) {
		if e := m.pickGone(); e != nil {
			out = append(out, SendHeartbeat{To: e.ID, Message: m.newHeartbeat(e.ID)})
		}
	}
	return out
}

// pick returns up to n random members that are not suspect, other than this one and the excluded one.
func (m *Machine) pick(n int, not *entry) []*entry {
	var out []*entry
	ring := m.active()
	if n == 0 || len(ring) < 2 {
		return nil
	}
	for range 4 * n {
		e := ring[m.random.IntN(len(ring))]
		if e != m.self && e != not && e.State != Suspect && !slices.Contains(out, e) {
			if out = append(out, e); len(out) == n {
				break
			}
		}
	}
	return out
}

// pickGone returns a random gone member to contact again, for example after a partition between regions.
func (m *Machine) pickGone() *entry {
	if len(m.active()) == len(m.members) {
		return nil
	}
	gone := slices.DeleteFunc(m.sortedMembers(), func(e *entry) bool { return e.State != Gone || e == m.self })
	if len(gone) == 0 {
		return nil
	}
	return gone[m.random.IntN(len(gone))]
}

// HandleHeartbeat processes a heartbeat and returns the answer.
func (m *Machine) HandleHeartbeat(now Instant, from peer.InstanceID, h *peerpb.Heartbeat) *peerpb.Heartbeat {
	before := m.self.Version
	m.mergeAll(now, h.GetChanges())
	e := m.members[from]
	answer := m.newHeartbeat(from)
	if m.self.Version != before {
		answer.Changes = append(answer.Changes, m.self.record())
	}
	answer.Unknown = e == nil || e.Version == 0
	m.publishChanges(now)
	return answer
}

// HandleDelta processes the digests or records of another instance and returns the records that differ.
func (m *Machine) HandleDelta(now Instant, d *peerpb.MembershipDelta) *peerpb.MembershipDelta {
	m.mergeTable(now, d.GetRecords())
	answer := &peerpb.MembershipDelta{}
	if len(d.GetDigests()) > 0 {
		answer.Digests = append([]uint64(nil), m.digests[:]...)
		answer.Records = m.differing(d.GetDigests())
	}
	m.publishChanges(now)
	return answer
}

// differing returns the records of the buckets whose digests differ. It returns all
// records if the other instance runs a release with a different number of buckets.
func (m *Machine) differing(digests []uint64) []*peerpb.MemberRecord {
	var out []*peerpb.MemberRecord
	for _, e := range m.sortedMembers() {
		b := e.hash % buckets
		if e.Version > 0 && (len(digests) != buckets || digests[b] != m.digests[b]) {
			out = append(out, e.record())
		}
	}
	return out[:min(len(out), maxRecords)]
}

// newDelta builds the first message of an exchange of member tables. It includes the
// record of this instance, so that the receiver learns of it.
func (m *Machine) newDelta(now Instant, to peer.InstanceID) Action {
	return SendDelta{To: to, Sent: now, Message: &peerpb.MembershipDelta{
		Digests: append([]uint64(nil), m.digests[:]...), Records: []*peerpb.MemberRecord{m.self.record()},
	}}
}

// DeltaDone processes the answer of an exchange; d is nil if none was received. It
// sends back the records that the other instance lacks.
func (m *Machine) DeltaDone(now, sent Instant, from peer.InstanceID, d *peerpb.MembershipDelta) []Action {
	if len(d.GetDigests()) == 0 {
		return nil
	}
	theirs := map[peer.InstanceID]Member{}
	for _, r := range d.GetRecords() {
		if x, ok := fromRecord(r); ok {
			theirs[x.ID] = x
		}
	}
	var missing []*peerpb.MemberRecord
	for _, r := range m.differing(d.GetDigests()) {
		x, _ := fromRecord(r)
		if t, ok := theirs[x.ID]; !ok && x.State != Gone || ok && x.supersedes(&t) {
			missing = append(missing, r)
		}
	}
	m.mergeTable(now, d.GetRecords())
	m.synced = m.synced || sent.Mono >= m.startedAt.Mono
	m.publishChanges(now)
	if len(missing) == 0 {
		return nil
	}
	return []Action{SendDelta{To: from, Sent: now, Message: &peerpb.MembershipDelta{Records: missing}}}
}

func (m *Machine) publishChanges(now Instant) {
	if m.dirty || m.view.Ready != m.ready(now) {
		m.publish(now)
	}
}

func (m *Machine) mergeAll(now Instant, records []*peerpb.MemberRecord) {
	for _, r := range records {
		if x, ok := fromRecord(r); ok {
			m.merge(now, x)
		}
	}
}

// mergeTable merges the records of another instance's member table. Unlike gossip,
// which carries recent changes, a table can contain suspicions from a region that was
// partitioned. A claim that a member is suspect or gone is therefore not accepted
// while that member is live here: it is sent to the member itself, which refutes it
// or fails to answer.
func (m *Machine) mergeTable(now Instant, records []*peerpb.MemberRecord) {
	for _, r := range records {
		x, ok := fromRecord(r)
		if !ok {
			continue
		}
		e := m.members[x.ID]
		if e != nil && e != m.self && x.State >= Suspect && e.State < Suspect && e.Version > 0 {
			if x.supersedes(&e.Member) {
				e.unverifiedClaim = &x
			}
			continue
		}
		m.merge(now, x)
	}
}

// merge merges one record received from another instance.
func (m *Machine) merge(now Instant, r Member) {
	e := m.members[r.ID]
	switch {
	case e == m.self && e != nil:
		if r.supersedes(&e.Member) && !m.ended {
			e.Version = r.Version
			m.assertOwnState(now, e.State)
		}
	case e == nil && r.State == Gone:
		// A member that is unknown here and already gone needs no entry.
	case e == nil:
		m.suspectOlder(now, &r)
		m.put(now, r)
	case r.supersedes(&e.Member):
		m.put(now, r)
	}
}

// suspectOlder marks other incarnations of a newly seen instance as suspect. A name
// runs only once at a time, so they have most likely ended. One that still runs
// refutes the suspicion.
func (m *Machine) suspectOlder(now Instant, r *Member) {
	if r.State != Live || r.Version == 0 {
		return
	}
	for _, e := range m.sortedMembers() {
		if e.State < Suspect && e != m.self && e.Name() == r.Name() {
			m.markSuspect(now, e)
		}
	}
}
