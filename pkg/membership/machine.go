package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Action is a side effect that the machine requests from its caller.
type Action interface{ action() }

// SendHeartbeat requests a heartbeat; its outcome is passed to HeartbeatDone.
type SendHeartbeat struct {
	To      peer.InstanceID
	Message *peerpb.Heartbeat
	// Monitored reports whether a missing answer counts as a missed heartbeat of the member.
	Monitored bool
}

// SendDelta requests an exchange of member tables; its outcome is passed to DeltaDone.
type SendDelta struct {
	To      peer.InstanceID
	Message *peerpb.MembershipDelta
	// Sent is the time of the request. An answer to a request made before a pause does not count as a sync.
	Sent Instant
}

// SendProbe requests that a helper send a heartbeat to a target; its outcome is passed to ProbeDone.
type SendProbe struct{ Helper, Target peer.InstanceID }

// DialSeeds requests connections to the seed addresses; each success is passed to SeedFound.
type DialSeeds struct{}

// KeepLease requests a grant or renewal of the lease; its outcome is passed to LeaseDone.
type KeepLease struct{}

// ReadList requests a reading of the platform's list; its outcome is passed to ListDone.
type ReadList struct{}

// ReadLeases requests a reading of the leases in force; its outcome is passed to LeasesDone.
type ReadLeases struct{}

func (SendHeartbeat) action() {}
func (SendDelta) action()     {}
func (SendProbe) action()     {}
func (DialSeeds) action()     {}
func (KeepLease) action()     {}
func (ReadList) action()      {}
func (ReadLeases) action()    {}

// entry is a member with the local state that this instance keeps about it.
type entry struct {
	Member
	hash             uint64
	digest           uint64
	stateSince       Instant // when the current state began
	listed           bool    // has appeared in the platform's list
	sendsLeft        int     // remaining gossip transmissions of the record
	misses           int
	heartbeatPending bool    // a monitored heartbeat is in flight
	pendingProbes    int     // probes in flight
	nextHeartbeat    Instant // when the next heartbeat is due
	unverifiedClaim  *Member // suspect or gone record from another table, to be verified with the member
}

// Machine is the state machine of one instance. It is not safe for concurrent
// use. It has no clock and no source of randomness but its seed.
type Machine struct {
	settings    Settings
	self        *entry
	members     map[peer.InstanceID]*entry
	ring        []*entry // members that are not gone, sorted by hash; nil if it must be rebuilt
	gossipQueue []*entry // records with remaining transmissions, oldest first
	digests     [buckets]uint64
	random      *rand.Rand

	lastTick       Instant
	startedAt      Instant // process start or end of the last pause
	synced         bool    // exchanged member tables since startedAt
	leaseAnswered  bool    // received a reply about the lease since startedAt
	listAttempted  bool    // attempted to read the list since startedAt
	storeUp        bool
	storeDownSince Instant // when the store last became unavailable
	ended          bool
	sendBudget     float64 // gossip records that may be sent now
	timerDue       map[timer]Instant
	sequence       uint64
	view           *View
	dirty          bool
}

type timer uint8

const (
	timerLease timer = iota
	timerList
	timerLeases
	timerRandom
	timerDelta
	timerSeeds
	timerGone
)

// Fixed intervals and role parameters of the state machine.
const (
	// randomInterval is the interval of heartbeats to a random member, sent even without queued records.
	randomInterval = time.Second
	// deltaInterval is the shortest time between two exchanges of member tables that this instance requests.
	deltaInterval = 500 * time.Millisecond
	// seedInterval is the interval at which the seeds are dialled while this instance is not synced.
	seedInterval = 2 * time.Second
	// goneInterval is the interval of heartbeats to a random member that is gone.
	goneInterval = 5 * time.Second
	// startGrace is how long a starting instance looks for others before it assumes that it is the only one.
	startGrace = 5 * time.Second
	// readersPerRegion is the number of instances in each region that read the list and the leases.
	readersPerRegion = 2
	// readerRole is the key of the role of reading the list and the leases.
	readerRole = "membership/list"
)

// NewMachine returns the state machine of the instance with the given ID. The settings must be valid.
func NewMachine(id peer.InstanceID, s Settings, seed uint64, now Instant) *Machine {
	m := &Machine{
		settings: s.withDefaults(), members: map[peer.InstanceID]*entry{}, random: rand.New(rand.NewPCG(seed, 2)),
		lastTick: now, startedAt: now, storeDownSince: now, timerDue: map[timer]Instant{},
	}
	self := Member{ID: id, Address: s.Address, Region: s.Region, FailureDomain: s.FailureDomain, State: Live, Version: 1}
	m.put(now, self)
	m.self = m.members[id]
	m.publish(now)
	return m
}

// View returns the current view.
func (m *Machine) View() *View { return m.view }

// put stores a record and queues it for gossip.
func (m *Machine) put(now Instant, r Member) *entry {
	e := m.members[r.ID]
	if e == nil {
		e = &entry{Member: r, hash: xxhash.Sum64String(string(r.ID)), stateSince: now}
		m.members[r.ID] = e
	} else {
		m.digests[e.hash%buckets] ^= e.digest
		if e.State != r.State {
			e.stateSince, e.misses = now, 0
		}
		if r.Version > e.Version || r.State >= Suspect {
			e.unverifiedClaim = nil
		}
		e.Member = r
	}
	e.digest = r.digest()
	m.digests[e.hash%buckets] ^= e.digest
	m.queueForGossip(e)
	m.ring = nil
	m.dirty = true
	return e
}

// active returns the members that are not gone, in ring order.
func (m *Machine) active() []*entry {
	if m.ring == nil {
		m.buildRing()
	}
	return m.ring
}

func (m *Machine) buildRing() {
	m.ring = make([]*entry, 0, len(m.members))
	for _, e := range m.members {
		if e.State != Gone {
			m.ring = append(m.ring, e)
		}
	}
	sort.Slice(m.ring, func(a, b int) bool {
		if m.ring[a].hash != m.ring[b].hash {
			return m.ring[a].hash < m.ring[b].hash
		}
		return m.ring[a].ID < m.ring[b].ID
	})
}

// timerFired reports whether the timer is due and, if so, restarts it.
func (m *Machine) timerFired(now Instant, t timer, interval time.Duration) bool {
	if d, ok := m.timerDue[t]; ok && now.Mono < d.Mono {
		return false
	}
	m.timerDue[t] = Instant{Mono: now.Mono + interval}
	return true
}

// Tick advances the state machine to now. It must be called once per Settings.Tick.
func (m *Machine) Tick(now Instant) []Action {
	if now.Since(m.lastTick) > m.settings.Lease.Std() {
		m.resetAfterPause(now)
	}
	m.sendBudget = min(maxSendBudget, m.sendBudget+gossipRate*max(0, (now.Mono-m.lastTick.Mono).Seconds()))
	m.lastTick = now
	if m.ended {
		return nil
	}
	var out []Action
	out = m.heartbeats(now, out)
	out = m.gossip(now, out)
	out = m.resynchronise(now, out)
	out = m.readSources(now, out)
	m.expireMembers(now)
	m.publish(now)
	return out
}

// resetAfterPause discards the state that may be outdated after a pause of the process.
func (m *Machine) resetAfterPause(now Instant) {
	m.startedAt = now
	m.synced, m.leaseAnswered, m.listAttempted = false, false, false
	m.timerDue = map[timer]Instant{}
	for _, e := range m.members {
		e.heartbeatPending, e.pendingProbes, e.misses, e.unverifiedClaim = false, 0, 0, nil
		if e.State == Suspect {
			e.stateSince = now // the pause does not count towards SuspectTimeout
		}
	}
	m.assertOwnState(now, m.self.State)
}

// assertOwnState sets the state of this instance under a new version, which overrides the records of other instances.
func (m *Machine) assertOwnState(now Instant, s State) {
	r := m.self.Member
	r.Version++
	r.State = s
	m.put(now, r)
}

// Leave announces that this instance is leaving and releases its roles.
func (m *Machine) Leave(now Instant) {
	if m.self.State == Live {
		m.assertOwnState(now, Leaving)
		m.publish(now)
	}
}

// End marks this instance as gone and returns the messages that announce it.
func (m *Machine) End(now Instant) []Action {
	m.assertOwnState(now, Gone)
	m.ended = true
	m.publish(now)
	var out []Action
	for _, e := range m.neighbours() {
		out = append(out, SendHeartbeat{To: e.ID, Message: &peerpb.Heartbeat{Changes: []*peerpb.MemberRecord{m.self.record()}}})
	}
	return out
}

// ready reports whether this instance may hold roles.
func (m *Machine) ready(now Instant) bool {
	switch {
	case m.ended || !m.leaseAnswered:
		return false
	case m.synced:
		return true
	case now.Since(m.startedAt) < startGrace || !m.listAttempted:
		return false
	}
	return len(m.active()) == 1 // no other member is known
}

// setStoreUp records whether the store answered.
func (m *Machine) setStoreUp(now Instant, up bool) {
	if m.storeUp && !up {
		m.storeDownSince = now
	}
	m.storeUp = up
}

// publish replaces the view. The members are copied only if they changed.
func (m *Machine) publish(now Instant) {
	v := &View{
		Self: m.self.Member, Ready: m.ready(now), StoreUp: m.storeUp, confirmedAt: m.lastTick, lease: m.settings.Lease.Std(),
	}
	if m.dirty || m.view == nil {
		m.copyMembers(v)
		m.sequence++
	} else {
		v.Members, v.hashes = m.view.Members, m.view.hashes
	}
	if m.view != nil && m.view.Ready != v.Ready {
		m.sequence++
	}
	v.Sequence = m.sequence
	m.dirty = false
	m.view = v
}

func (m *Machine) copyMembers(v *View) {
	all := m.sortedMembers()
	v.Members, v.hashes = make([]Member, len(all)), make([]uint64, len(all))
	for i, e := range all {
		v.Members[i], v.hashes[i] = e.Member, e.hash
	}
}

func (m *Machine) sortedMembers() []*entry {
	all := make([]*entry, 0, len(m.members))
	for _, e := range m.members {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}
