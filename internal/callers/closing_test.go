package callers

import (
	"errors"
	"io"
	"net"
	"os"
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

// tcpPipe is pipe over TCP, as reads of a socket take another way.
func tcpPipe(t *testing.T, s *Sections) (*Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	server, err := (&Listener{Listener: l, Guard: NewGuard(10, func(string) {}), Sections: s}).Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return server.(*Conn), client
}

// Guards against dropping a header section that arrived in time because it was read late, and against reading a body after its
// deadline.
func TestSectionThatArrivedBeforeItsDeadlineIsRead(t *testing.T) {
	for _, c := range []struct {
		name  string
		phase Phase
		want  error
	}{
		{"new connection", PhaseNew, nil},
		{"kept connection", PhaseIdle, nil},
		{"request in progress", PhaseActive, os.ErrDeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := testSections(1 << 20)
			conn, client := tcpPipe(t, s)
			if c.phase != PhaseNew {
				conn.Enter(c.phase)
			}
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\n\r\n")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // the bytes arrive
			is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
			p := make([]byte, 100)
			n, err := conn.Read(p)
			is.True(errors.Is(err, c.want))
			is.Equal(n > 0, c.want == nil)
			_, err = conn.Read(p)
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
		})
	}
}

// Guards against a request without a response because a read within its header section timed out before the rest arrived:
// net/http looks for the preface of HTTP/2 first, and reads again after an error.
func TestRequestReadAfterATimeoutIsAnswered(t *testing.T) {
	for _, phase := range []Phase{PhaseNew, PhaseIdle} {
		is := is.New(t)
		s, _ := testSections(1 << 20)
		conn, client := tcpPipe(t, s)
		if phase != PhaseNew {
			conn.Enter(phase)
		}
		is.NoErr(feed(conn, client, "GET /"))
		is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
		p := make([]byte, 100)
		_, err := conn.Read(p)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, err = io.WriteString(client, " HTTP/1.1\r\n\r\n")
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond) // the bytes arrive
		n, err := conn.Read(p)
		is.NoErr(err)
		is.True(n > 0)
		conn.Enter(PhaseActive)
		_, err = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		is.NoErr(err)
	}
}
