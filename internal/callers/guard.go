package callers

import (
	"container/list"
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
	phases
)

// Guard bounds the number of connections. When it is reached, a new connection takes the place of the oldest one that
// carries no request. It answers clients that open connections and leave them.
//
// A connection that has never carried a request goes before an idle one, and one at the address with most such
// connections goes first. An address has no limit of its own, because thousands of callers may share the one of a
// balancer.
type Guard struct {
	limit   int
	onEvict func(reason string)

	mu      sync.Mutex
	open    int
	useless [phases]map[string]*list.List // by address, oldest first; none for PhaseActive
}

// NewGuard returns a guard of at most limit connections. onEvict is called for each connection that it closes, with the
// reason.
func NewGuard(limit int, onEvict func(reason string)) *Guard {
	return &Guard{limit: limit, onEvict: onEvict, useless: [phases]map[string]*list.List{PhaseNew: {}, PhaseIdle: {}}}
}

// Member is a connection as the guard sees it.
type Member struct {
	guard   *Guard
	address string
	close   func()

	phase   Phase
	element *list.Element // in the list of its phase and address; nil for PhaseActive
	left    bool
}

// Reasons for closing a connection.
const (
	// ReasonReplaced is a connection without a request that gave its place to a new one.
	ReasonReplaced = "replaced"
	// ReasonFull is a new connection while all others carry requests.
	ReasonFull = "full"
	// ReasonMemory is an unfinished header section while the memory of requests is in use.
	ReasonMemory = "memory"
	// ReasonHeader is a header section over the limit.
	ReasonHeader = "header"
)

// Join adds a connection, or returns nil if it must be closed. close closes another connection later, and may call
// Leave.
func (g *Guard) Join(address string, close func()) *Member {
	g.mu.Lock()
	var victim *Member
	if g.open >= g.limit {
		if victim = g.oldest(); victim == nil {
			g.mu.Unlock()
			g.onEvict(ReasonFull)
			return nil
		}
		g.remove(victim)
	}
	m := &Member{guard: g, address: address, close: close}
	g.open++
	g.insert(m)
	g.mu.Unlock()
	if victim != nil {
		g.onEvict(ReasonReplaced)
		victim.close()
	}
	return m
}

// oldest returns the connection that is closed next, or nil if all carry requests.
func (g *Guard) oldest() *Member {
	for _, phase := range []Phase{PhaseNew, PhaseIdle} {
		var most *list.List
		for _, l := range g.useless[phase] {
			if most == nil || l.Len() > most.Len() {
				most = l
			}
		}
		if most != nil {
			return most.Front().Value.(*Member)
		}
	}
	return nil
}

// insert adds the member to the list of its phase.
func (g *Guard) insert(m *Member) {
	if m.phase == PhaseActive {
		return
	}
	l := g.useless[m.phase][m.address]
	if l == nil {
		l = list.New()
		g.useless[m.phase][m.address] = l
	}
	m.element = l.PushBack(m)
}

// unlist takes the member out of the list of its phase.
func (g *Guard) unlist(m *Member) {
	if m.element == nil {
		return
	}
	l := g.useless[m.phase][m.address]
	l.Remove(m.element)
	m.element = nil
	if l.Len() == 0 {
		delete(g.useless[m.phase], m.address)
	}
}

func (g *Guard) remove(m *Member) {
	if !m.left {
		m.left = true
		g.unlist(m)
		g.open--
	}
}

// Enter records the phase of the connection.
func (m *Member) Enter(p Phase) {
	g := m.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.left || m.phase == p {
		return
	}
	g.unlist(m)
	m.phase = p
	g.insert(m)
}

// Leave records that the connection is closed.
func (m *Member) Leave() {
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	m.guard.remove(m)
}

// Connections returns the number of open connections and the limit.
func (g *Guard) Connections() (open, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.limit
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
