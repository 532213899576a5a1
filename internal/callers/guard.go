package callers

import (
	"net"
	"sync"
)

// Phase is what a connection is doing.
type Phase int

const (
	// PhaseNew is a connection that has not carried a request yet.
	PhaseNew Phase = iota
	// PhaseActive is a connection that carries a request.
	PhaseActive
	// PhaseIdle is a connection that has carried a request and carries none now.
	PhaseIdle
	// PhaseClosing is a connection that has its last response and is being closed.
	PhaseClosing
	phases
)

// Guard bounds the number of connections. When it is reached, a new connection takes the place of the oldest one that
// carries no request. It answers clients that open connections and leave them.
//
// A connection that is being closed goes first, then one that has never carried a request, then an idle one; among them, one
// at the address with most such connections. An address has no limit of its own, because thousands of callers may share the one of a
// balancer.
//
// A connection of HTTP/2 that gives its place stays open until its close is announced, so that its caller learns which requests
// were not run. The number of such connections is bounded, too; at the bound, the oldest one is closed at once.
type Guard struct {
	limit   int
	onEvict func(reason string)

	mu           sync.Mutex
	open         int               // connections that have a place
	http2        int               // those of HTTP/2
	groups       map[string]*group // by address
	announced    queue[*Member]    // connections without a place whose close was announced
	maxAnnounced int
}

// group is the connections of one address.
type group struct {
	open    int
	useless [phases]queue[*Member] // those without a request; none in PhaseActive
}

// NewGuard returns a guard of at most limit connections. onEvict is called for each connection that it closes, with the
// reason.
func NewGuard(limit int, onEvict func(reason string)) *Guard {
	return &Guard{
		limit: limit, onEvict: onEvict, groups: map[string]*group{},
		maxAnnounced: min(max(limit/announcedShare, 1), mostAnnounced),
	}
}

// retirer is a connection that the guard can close.
type retirer interface {
	// retire decides that the connection will be closed, or reports false if it may carry a request already. It must not
	// call the guard.
	retire() bool
	// retireQuiet is retire for a connection on which no request is arriving.
	retireQuiet() bool
	// closeFor closes a connection that is retired. It may call Leave.
	closeFor(reason string)

	// replaceable reports whether retire would succeed. A connection of HTTP/2 is not retired but announces its close.
	replaceable() bool
	// announceFor announces the close of a connection of HTTP/2 and closes it later. It may call Leave.
	announceFor(reason string)
	// retireAnnounced is retire for a connection whose close was announced.
	retireAnnounced() bool
}

// Member is a connection as the guard sees it.
type Member struct {
	guard   *Guard
	address string
	conn    retirer

	group *group
	phase Phase
	place node[*Member]
	http2 bool
	left  bool
}

// Reasons for closing a connection.
const (
	// ReasonReplaced is a connection without a request that gave its place to a new one.
	ReasonReplaced = "replaced"
	// ReasonIdle is a connection that carried no request for longer than the limit.
	ReasonIdle = "idle"
	// ReasonLeaving is a connection without a request while the instance is leaving.
	ReasonLeaving = "leaving"
	// ReasonFull is a new connection while all others carry requests.
	ReasonFull = "full"
	// ReasonMemory is an unfinished header section while the memory of requests is in use.
	ReasonMemory = "memory"
	// ReasonHeader is a header section over the limit.
	ReasonHeader = "header"
)

// maxCandidates bounds the connections in one phase that are asked to give their place to a new one. Those that cannot are
// about to carry a request.
const maxCandidates = 16

const (
	// announcedShare is the part of the limit that connections whose close was announced may take besides it: an eighth.
	announcedShare = 8
	// mostAnnounced bounds their number, so that their descriptors are a part of descriptorReserve.
	mostAnnounced = 64
)

// NewMember returns a connection that has not joined yet.
func (g *Guard) NewMember(address string, conn retirer) *Member {
	m := &Member{guard: g, address: address, conn: conn}
	m.place.owner = m
	return m
}

// Join adds the connection, or reports false if it must be closed. It may close another one.
func (m *Member) Join() bool {
	g := m.guard
	g.mu.Lock()
	var victim, overdue *Member
	if g.open >= g.limit {
		if victim, overdue = g.retireOldest(); victim == nil {
			g.mu.Unlock()
			g.onEvict(ReasonFull)
			return false
		}
		if g.remove(victim); victim.http2 {
			g.announced.push(&victim.place)
		}
	}
	m.group = g.groups[m.address]
	if m.group == nil {
		m.group = &group{}
		g.groups[m.address] = m.group
	}
	g.open++
	m.group.open++
	m.insert()
	g.mu.Unlock()
	if overdue != nil {
		overdue.conn.closeFor(ReasonReplaced)
	}
	if victim == nil {
		return true
	}
	g.onEvict(ReasonReplaced)
	if victim.http2 {
		victim.conn.announceFor(ReasonReplaced)
	} else {
		victim.conn.closeFor(ReasonReplaced)
	}
	return true
}

// retireOldest returns the connection that gives its place next, or nil if all carry requests. The close of one of HTTP/2 must
// be announced. overdue must be closed to make room for it, unless it is nil.
func (g *Guard) retireOldest() (victim, overdue *Member) {
	for _, phase := range []Phase{PhaseClosing, PhaseNew, PhaseIdle} {
		for range maxCandidates {
			m := g.oldest(phase)
			if m == nil {
				break
			}
			if !m.http2 {
				if m.conn.retire() {
					return m, nil
				}
			} else if m.conn.replaceable() {
				if overdue, ok := g.roomToAnnounce(); ok {
					return m, overdue
				}
			}
			m.place.leave()
			m.insert()
		}
	}
	return nil, nil
}

// roomToAnnounce reports whether the close of another connection can be announced. overdue must be closed before, unless it is
// nil.
func (g *Guard) roomToAnnounce() (overdue *Member, ok bool) {
	if g.announced.length < g.maxAnnounced {
		return nil, true
	}
	for n := g.announced.first; n != nil; n = n.next {
		if m := n.owner; m.conn.retireAnnounced() {
			n.leave()
			return m, true
		}
	}
	return nil, false
}

// oldest returns the oldest connection in a phase at the address with most of them, or nil if there is none.
func (g *Guard) oldest(phase Phase) *Member {
	var most *queue[*Member]
	for _, at := range g.groups {
		if q := &at.useless[phase]; q.length > 0 && (most == nil || q.length > most.length) {
			most = q
		}
	}
	if most == nil {
		return nil
	}
	return most.first.owner
}

// insert adds the member to the queue of its phase.
func (m *Member) insert() {
	if m.phase != PhaseActive {
		m.group.useless[m.phase].push(&m.place)
	}
}

func (g *Guard) remove(m *Member) {
	if m.group == nil { // did not join
		return
	}
	if m.left {
		m.place.leave() // its close may have been announced
		return
	}
	m.left = true
	m.place.leave()
	g.open--
	if m.http2 {
		g.http2--
	}
	if m.group.open--; m.group.open == 0 {
		delete(g.groups, m.address)
	}
}

// Enter records the phase of the connection.
func (m *Member) Enter(p Phase) {
	g := m.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.left || m.group == nil || m.phase == p {
		return
	}
	m.place.leave()
	m.phase = p
	m.insert()
}

// setHTTP2 records that the connection is one of HTTP/2.
func (m *Member) setHTTP2() {
	g := m.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.left || m.group == nil || m.http2 {
		return
	}
	m.http2 = true
	g.http2++
}

// Leave records that the connection is closed.
func (m *Member) Leave() {
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	m.guard.remove(m)
}

// CloseQuiet closes the connections in one of the phases on which no request is arriving, and returns the number of those
// that stay open. It leaves out connections of HTTP/2: net/http announces their close with GOAWAY, from which callers know
// which of their requests were not run.
func (g *Guard) CloseQuiet(reason string, in ...Phase) (open int) {
	g.mu.Lock()
	var retired []*Member
	for _, at := range g.groups {
		for _, phase := range in {
			for n := at.useless[phase].first; n != nil; n = n.next {
				if !n.owner.http2 && n.owner.conn.retireQuiet() {
					retired = append(retired, n.owner)
				}
			}
		}
	}
	for _, m := range retired {
		g.remove(m)
	}
	open = g.open - g.http2
	g.mu.Unlock()
	for _, m := range retired {
		m.conn.closeFor(reason)
	}
	return open
}

// Connections returns the number of open connections and the limit, which those whose close was announced can exceed.
func (g *Guard) Connections() (open, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open + g.announced.length, g.limit
}

// Use is how near an instance is to the limits of all its callers together.
type Use struct {
	// Connections is the number of open connections of callers.
	Connections     int `json:"connections"`
	ConnectionLimit int `json:"connection_limit"`
	// MemoryBytes is the memory that header sections, kept bodies and buffered answers have reserved.
	MemoryBytes      int64 `json:"memory_bytes"`
	MemoryLimitBytes int64 `json:"memory_limit_bytes"`
}

// AddressOf returns the address of a connection's other side without its port.
func AddressOf(c net.Conn) string {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return ""
}
