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
