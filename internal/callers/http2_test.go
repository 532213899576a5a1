package callers

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection of HTTP/2 that stays open after its close was announced because its caller does not read, and
// against closing it while it carries a request.
func TestAnnouncedConnectionIsClosedInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		announce func(*Conn)
	}{
		{"replaced", func(c *Conn) { c.announceFor(ReasonReplaced) }},
		{"idle", func(c *Conn) { c.AnnounceIdle() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, _ := testSections(1 << 20)
			conn, client := tcpPipe(t, s)
			announced := make(chan struct{}, 1)
			conn.SetHTTP2(func() { announced <- struct{}{} })
			conn.waiting = true // net/http reads
			conn.Enter(PhaseActive)
			conn.Enter(PhaseIdle)
			time.Sleep(settleTime)
			c.announce(conn)
			<-announced
			conn.Enter(PhaseActive) // a request was read before
			is.NoErr(client.SetReadDeadline(time.Now().Add(announceTime * 3 / 2)))
			_, err := client.Read(make([]byte, 1))
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			conn.Enter(PhaseIdle)
			is.NoErr(client.SetReadDeadline(time.Now().Add(announceTime + settleTime + time.Second)))
			_, err = client.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
			open, _ := conn.member.guard.Connections()
			is.Equal(open, 0)
		})
	}
}

// Guards against closing a connection that was just announced while a request that was read before is not known yet: net/http runs
// it, and GOAWAY names it as one that is answered.
func TestAnnouncedConnectionWithBytesInProcessIsKept(t *testing.T) {
	is := is.New(t)
	s, _ := testSections(1 << 20)
	conn, client := tcpPipe(t, s)
	conn.SetHTTP2(func() {})
	conn.Enter(PhaseActive)
	conn.Enter(PhaseIdle)
	time.Sleep(settleTime)
	_, err := io.WriteString(client, "frame")
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 10))
	is.NoErr(err)
	conn.announceFor(ReasonReplaced)
	is.True(!conn.retireAnnounced()) // net/http may be about to run the frame's request
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 10))
		ended <- err
	}()
	for start := time.Now(); !conn.retireAnnounced(); time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < 10*time.Second)
	}
	is.NoErr(conn.Close())
	is.True(<-ended != nil)
}
