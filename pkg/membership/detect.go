package membership

import (
	"sort"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

const (
	// missesToProbe is the number of consecutive missed heartbeats after which a member is probed through others.
	missesToProbe = 2
	// maxVerifications bounds the extra heartbeats per tick that verify claims and contact members known only from the list.
	maxVerifications = 4
	// probeHelpers is the number of members that are asked to probe an unresponsive one.
	probeHelpers = 2
)

// neighbours returns the members that follow this one on the ring, up to
// Settings.Neighbours that are not suspect. Suspect members in between are
// included, up to the same number, so that their recovery is detected.
func (m *Machine) neighbours() []*entry {
	ring := m.active()
	at := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= m.self.hash })
	var out []*entry
	live, suspect := 0, 0
	for i := range ring {
		e := ring[(at+i)%len(ring)]
		switch {
		case live == m.settings.Neighbours:
			return out
		case e == m.self:
		case e.State != Suspect:
			live++
			out = append(out, e)
		case suspect < m.settings.Neighbours:
			suspect++
			out = append(out, e)
		}
	}
	return out
}

// unverified returns up to maxVerifications members to contact directly: those with
// a claim to verify and those known only from the list.
func (m *Machine) unverified(now Instant) []*entry {
	var out []*entry
	for _, e := range m.active() {
		if !e.heartbeatPending && (e.unverifiedClaim != nil || e.Version == 0 && e.State < Suspect && now.Mono >= e.nextHeartbeat.Mono) {
			if out = append(out, e); len(out) == maxVerifications {
				break
			}
		}
	}
	return out
}

func (m *Machine) heartbeats(now Instant, out []Action) []Action {
	for _, e := range append(m.neighbours(), m.unverified(now)...) {
		if e.heartbeatPending || now.Mono < e.nextHeartbeat.Mono && e.unverifiedClaim == nil {
			continue
		}
		e.heartbeatPending = true
		e.nextHeartbeat = Instant{Mono: now.Mono + m.settings.HeartbeatInterval.Std()}
		out = append(out, SendHeartbeat{To: e.ID, Message: m.newHeartbeat(e.ID), Monitored: true})
	}
	return out
}

// HeartbeatDone processes the outcome of a heartbeat; answer is nil if none was received.
func (m *Machine) HeartbeatDone(now Instant, to peer.InstanceID, answer *peerpb.Heartbeat, monitored bool) []Action {
	e := m.members[to]
	if e == nil {
		return nil
	}
	if monitored {
		e.heartbeatPending = false
	}
	if answer == nil {
		if monitored {
			return m.heartbeatMissed(now, e)
		}
		return nil
	}
	e.misses, e.unverifiedClaim = 0, nil
	m.mergeAll(now, answer.GetChanges())
	m.publishChanges(now)
	same := answer.GetDigest() == m.digest()
	if same {
		m.halveRemainingSends()
	}
	if (answer.GetUnknown() || !same) && m.timerFired(now, timerDelta, deltaInterval) {
		return []Action{m.newDelta(now, to)}
	}
	return nil
}

// heartbeatMissed counts a heartbeat without an answer. The next one is sent at
// once. After missesToProbe misses, other members probe the target, so that a single
// bad network path does not make it suspect.
func (m *Machine) heartbeatMissed(now Instant, e *entry) []Action {
	if e.State >= Suspect || m.ended {
		return nil
	}
	e.misses++
	e.nextHeartbeat = now
	if e.misses < missesToProbe || e.pendingProbes > 0 {
		return nil
	}
	var out []Action
	for _, h := range m.pick(probeHelpers, e) {
		out = append(out, SendProbe{Helper: h.ID, Target: e.ID})
	}
	e.pendingProbes = len(out)
	if len(out) == 0 {
		m.markSuspect(now, e)
		m.publishChanges(now)
	}
	return out
}

// ProbeDone processes the outcome of a probe.
func (m *Machine) ProbeDone(now Instant, target peer.InstanceID, reached bool) {
	e := m.members[target]
	if e == nil || e.pendingProbes == 0 {
		return
	}
	e.pendingProbes--
	if reached {
		e.misses, e.pendingProbes = 0, 0
	} else if e.pendingProbes == 0 && e.misses >= missesToProbe && e.State < Suspect {
		m.markSuspect(now, e)
	}
	m.publishChanges(now)
}

func (m *Machine) markSuspect(now Instant, e *entry) {
	r := e.Member
	r.State = Suspect
	m.put(now, r)
}

func (m *Machine) markGone(now Instant, e *entry) {
	r := e.Member
	r.State = Gone
	m.put(now, r)
}

// expireMembers declares members gone that have been suspect for SuspectTimeout while
// the store was unreachable for as long, and removes members that have been gone for TombstoneAge.
func (m *Machine) expireMembers(now Instant) {
	for _, e := range m.sortedMembers() {
		age := now.Since(e.stateSince)
		switch {
		case e.State == Suspect && !m.storeUp && min(age, now.Since(m.storeDownSince)) > m.settings.SuspectTimeout.Std():
			m.markGone(now, e)
		case e.State == Gone && e != m.self && age > m.settings.TombstoneAge.Std():
			delete(m.members, e.ID)
			m.dirty = true
		}
	}
}
