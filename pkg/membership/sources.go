package membership

import (
	"slices"
	"strings"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// LeaseOutcome is the result of an attempt to grant or renew the lease.
type LeaseOutcome uint8

// Results of KeepLease.
const (
	// LeaseKept means that the lease was granted or renewed.
	LeaseKept LeaseOutcome = iota
	// LeaseLapsed means that the lease has expired and a new one is needed.
	LeaseLapsed
	// LeaseUnavailable means that the store did not answer.
	LeaseUnavailable
)

// renewalsPerLease is the number of renewal attempts within the time to live of a lease.
const renewalsPerLease = 3

// resynchronise requests an exchange of member tables with a peer after a start or a pause.
func (m *Machine) resynchronise(now Instant, out []Action) []Action {
	if m.synced || !m.timerFired(now, timerDelta, deltaInterval) {
		return out
	}
	for _, e := range m.pickAny() {
		out = append(out, m.newDelta(now, e.ID))
	}
	if len(m.settings.Seeds) > 0 && m.timerFired(now, timerSeeds, seedInterval) {
		out = append(out, DialSeeds{})
	}
	return out
}

// pickAny returns one other member; a suspect one only if there is no other.
func (m *Machine) pickAny() []*entry {
	if some := m.pick(1, nil); len(some) > 0 {
		return some
	}
	others := slices.DeleteFunc(slices.Clone(m.active()), func(e *entry) bool { return e == m.self })
	if len(others) == 0 {
		return nil
	}
	return others[:1]
}

// readSources renews the lease and, on readers, requests readings of the list and the leases.
func (m *Machine) readSources(now Instant, out []Action) []Action {
	if m.timerFired(now, timerLease, m.settings.Lease.Std()/renewalsPerLease) {
		out = append(out, KeepLease{})
	}
	if !m.isReader(now) {
		return out
	}
	if m.timerFired(now, timerList, m.settings.ListInterval.Std()) {
		out = append(out, ReadList{})
	}
	if m.anySuspect() && m.timerFired(now, timerLeases, m.settings.ListInterval.Std()) {
		out = append(out, ReadLeases{})
	}
	return out
}

// isReader reports whether this instance reads the list, either because it holds the reader role or because it is not ready.
func (m *Machine) isReader(now Instant) bool {
	return !m.ready(now) || m.view.HoldsAt(now, readerRole, InRegion(m.self.Region), readersPerRegion)
}

func (m *Machine) anySuspect() bool {
	for _, e := range m.active() {
		if e.State == Suspect {
			return true
		}
	}
	return false
}

// LeaseDone processes the outcome of KeepLease. After a lapsed lease, others may have
// taken over the roles, so the instance resynchronises as after a pause. An outcome
// of an attempt that started before a pause does not count as a reply.
func (m *Machine) LeaseDone(now, started Instant, outcome LeaseOutcome) []Action {
	m.setStoreUp(now, outcome != LeaseUnavailable)
	if outcome != LeaseLapsed {
		m.leaseAnswered = m.leaseAnswered || started.Mono >= m.startedAt.Mono
		m.publishChanges(now)
		return nil
	}
	m.resetAfterPause(now)
	m.timerFired(now, timerLease, m.settings.Lease.Std()/renewalsPerLease)
	m.publish(now)
	return []Action{KeepLease{}}
}

// ListDone processes a reading of the platform's list that began at the given instant.
func (m *Machine) ListDone(now, started Instant, rows []store.ListedInstance, err error) {
	m.listAttempted = m.listAttempted || started.Mono >= m.startedAt.Mono
	m.setStoreUp(now, err == nil)
	if err != nil {
		m.publishChanges(now)
		return
	}
	present := make(map[peer.InstanceID]bool, len(rows))
	for _, r := range rows {
		if x, ok := fromListed(r); ok {
			present[x.ID] = true
			m.mergeListed(now, x)
		}
	}
	for _, e := range m.sortedMembers() {
		if e.listed && !present[e.ID] {
			m.confirmGone(now, started, e)
		}
	}
	m.publishChanges(now)
}

// fromListed converts a row of the list to a member of version 0, which any record from the member itself supersedes.
func fromListed(r store.ListedInstance) (Member, bool) {
	m := Member{ID: peer.InstanceID(r.ID), Address: r.Address, Region: r.Region, FailureDomain: r.FailureDomain, State: Live}
	if r.Leaving {
		m.State = Leaving
	}
	return m, m.Name() != "" && m.Incarnation() != ""
}

func (m *Machine) mergeListed(now Instant, r Member) {
	if r.ID == m.self.ID {
		return
	}
	m.merge(now, r)
	m.members[r.ID].listed = true
}

// confirmGone declares a suspect member gone if the reading that lacks it began after the suspicion.
func (m *Machine) confirmGone(now, started Instant, e *entry) {
	if e.State == Suspect && e != m.self && started.Mono > e.stateSince.Mono {
		m.markGone(now, e)
	}
}

// LeasesDone processes a reading of the names of all leases that began at the given instant.
func (m *Machine) LeasesDone(now, started Instant, names []string, err error) {
	m.setStoreUp(now, err == nil)
	if err == nil {
		held := make(map[peer.InstanceID]bool, len(names))
		for _, n := range names {
			if id, ok := strings.CutPrefix(n, LeasePrefix); ok {
				held[peer.InstanceID(id)] = true
			}
		}
		for _, e := range m.sortedMembers() {
			if !held[e.ID] {
				m.confirmGone(now, started, e)
			}
		}
	}
	m.publishChanges(now)
}

// SeedFound processes the ID of an instance that was reached at a seed address.
func (m *Machine) SeedFound(now Instant, id peer.InstanceID) []Action {
	if id == m.self.ID || m.synced {
		return nil
	}
	return []Action{m.newDelta(now, id)}
}
