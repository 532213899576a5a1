package callers

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// fakeConn is a connection of which a request has been read if busy is set.
type fakeConn struct {
	busy      bool
	closed    func()
	announced bool
}

func (c *fakeConn) retire() bool      { return !c.busy }
func (c *fakeConn) retireQuiet() bool { return !c.busy }
func (c *fakeConn) closeFor(string)   { c.closed() }

func (c *fakeConn) replaceable() bool     { return !c.busy }
func (c *fakeConn) announceFor(string)    { c.announced = true }
func (c *fakeConn) retireAnnounced() bool { return !c.busy }

// Guards against a new connection that takes the place of one with a request, and against ordinary callers that lose
// theirs to an address with many connections.
func TestGuardReplacesTheOldestUselessConnection(t *testing.T) {
	type step struct {
		address string
		phase   Phase
	}
	for _, c := range []struct {
		name    string
		open    []step // in this order; the limit is their number
		closed  int    // the index of the connection that is closed, or -1 if the new one is
		reasons []string
	}{
		{"all carry requests", []step{{"a", PhaseActive}, {"a", PhaseActive}}, -1, []string{ReasonFull}},
		{"oldest new", []step{{"a", PhaseActive}, {"a", PhaseNew}, {"a", PhaseNew}}, 1, []string{ReasonReplaced}},
		{"new before idle", []step{{"a", PhaseIdle}, {"a", PhaseIdle}, {"a", PhaseNew}}, 2, []string{ReasonReplaced}},
		{"closing before new", []step{{"a", PhaseNew}, {"b", PhaseNew}, {"b", PhaseNew}, {"a", PhaseClosing}}, 3, []string{ReasonReplaced}},
		{"oldest idle", []step{{"a", PhaseActive}, {"a", PhaseIdle}, {"a", PhaseIdle}}, 1, []string{ReasonReplaced}},
		{"address with most", []step{{"a", PhaseNew}, {"b", PhaseNew}, {"b", PhaseNew}}, 1, []string{ReasonReplaced}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var reasons []string
			closed := -1
			g := NewGuard(len(c.open), func(reason string) { reasons = append(reasons, reason) })
			var members []*Member
			for i, s := range c.open {
				conn := &fakeConn{}
				m := g.NewMember(s.address, conn)
				conn.closed = func() { closed = i; m.Leave() }
				is.True(m.Join())
				members = append(members, m)
				m.Enter(s.phase)
			}
			m := g.NewMember("a", &fakeConn{})
			is.Equal(m.Join(), c.closed != -1)
			is.Equal(closed, c.closed)
			is.True(slices.Equal(reasons, c.reasons))
			open, limit := g.Connections()
			is.Equal(open, limit)
			for _, m := range members {
				m.Leave()
				m.Leave() // a connection may be closed twice
				m.Enter(PhaseIdle)
			}
			m.Leave()
			open, _ = g.Connections()
			is.Equal(open, 0)
		})
	}
}

// Guards against a reservation that fails and still counts.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	is.True(b.Take(10))
	is.True(!b.Take(1))
	b.Give(4)
	is.True(b.Take(4))
	is.Equal(b.Used(), b.Limit())
}

// Guards against a process that has no descriptors left for its other listeners.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct{ descriptors, want int }{{64, 24}, {160, 60}, {2870, 1335}, {8192, 3996}} {
		is.New(t).Equal(MaxConnections(c.descriptors), c.want)
	}
}

// Guards against a connection that is counted after it was refused, and one that is closed although a request was read.
func TestGuardKeepsConnectionsWithARequest(t *testing.T) {
	is := is.New(t)
	g := NewGuard(2, func(string) {})
	busy, closed := &fakeConn{busy: true}, 0
	free := &fakeConn{closed: func() { closed++ }}
	is.True(g.NewMember("a", busy).Join())
	is.True(g.NewMember("a", free).Join())
	is.True(g.NewMember("a", busy).Join()) // replaces free
	is.Equal(closed, 1)
	refused := g.NewMember("a", free)
	is.True(!refused.Join())
	refused.Leave()
	open, _ := g.Connections()
	is.Equal(open, 2)
	is.Equal(g.CloseQuiet(ReasonLeaving, PhaseNew, PhaseIdle), 2)
}

// Guards against connections of HTTP/2 that are closed without an announcement to make room, and against an unbounded number of
// those whose close was announced.
func TestGuardBoundsAnnouncedConnections(t *testing.T) {
	is := is.New(t)
	var reasons []string
	g := NewGuard(2*announcedShare, func(reason string) { reasons = append(reasons, reason) })
	var conns []*fakeConn
	var members []*Member
	closed := make([]bool, 2*announcedShare)
	join := func() bool {
		i, conn := len(conns), &fakeConn{}
		m := g.NewMember("a", conn)
		conn.closed = func() { closed[i] = true; m.Leave() }
		conns, members = append(conns, conn), append(members, m)
		return m.Join()
	}
	for i := range closed {
		is.True(join())
		members[i].setHTTP2()
		members[i].Enter(PhaseIdle)
	}
	for i := range 3 {
		is.True(join())
		members[len(closed)+i].Enter(PhaseActive)
	}
	for i, c := range conns {
		is.Equal(c.announced, i < 3)
	}
	is.True(slices.Equal(closed[:3], []bool{true, false, false}))
	open, limit := g.Connections()
	is.Equal(open, limit+2)

	conns[1].busy, conns[2].busy = true, true // requests were read before the announcement
	reasons = nil
	is.True(!join())
	is.True(slices.Equal(reasons, []string{ReasonFull}))
	members[1].Leave()
	is.True(join())
	announced := 0
	for _, c := range conns {
		if c.announced {
			announced++
		}
	}
	is.Equal(announced, 4)
	open, _ = g.Connections()
	is.Equal(open, limit+2)
}
