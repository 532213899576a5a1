package callers

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against closing a connection whose refusal is being written.
func TestConnectionWithARefusalIsKept(t *testing.T) {
	is := is.New(t)
	s, _ := testSections(1 << 20)
	c, client := pipe(s, false)
	retired := false
	s.Refuse = func(net.Conn, string) { retired = c.retire() }
	_ = feed(c, client, strings.Repeat("a", 1001))
	is.True(!retired)
}

// Guards against refusing a new connection although an idle one could give its place.
func TestIdleConnectionGivesItsPlaceBesideBusyNewOnes(t *testing.T) {
	is := is.New(t)
	closed := 0
	g := NewGuard(maxCandidates+1, func(string) {})
	idle := g.NewMember("b", &fakeConn{closed: func() { closed++ }})
	is.True(idle.Join())
	idle.Enter(PhaseIdle)
	for range maxCandidates {
		is.True(g.NewMember("a", &fakeConn{busy: true}).Join())
	}
	is.True(g.NewMember("a", &fakeConn{busy: true}).Join())
	is.Equal(closed, 1)
}

// Guards against an unfinished header section that is no longer closed for others because it was being parsed when memory was
// short before.
func TestUnfinishedHeaderSectionMakesRoomLater(t *testing.T) {
	is := is.New(t)
	s, _ := testSections(SectionCost(20, 0) * 2)
	text := strings.Repeat("a", 20)
	for range 2 {
		unfinished, client := pipe(s, false)
		is.NoErr(feed(unfinished, client, text))
		defer func() { _ = unfinished.Close() }()
		defer time.AfterFunc(50*time.Millisecond, func() { _, _ = unfinished.Read(make([]byte, 1)) }).Stop()
	}
	refused, c1 := pipe(s, false)
	_ = feed(refused, c1, text)
	time.Sleep(150 * time.Millisecond) // net/http waits for the rest of the unfinished sections
	ordinary, c2 := pipe(s, false)
	is.NoErr(feed(ordinary, c2, text))
}
