package callers

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/matryer/is"
)

// halfPipe is the server's side of a net.Pipe that can be half-closed.
type halfPipe struct {
	net.Conn
	halfClosed bool
}

func (p *halfPipe) CloseWrite() error {
	p.halfClosed = true
	return nil
}

// lingerPipe returns a connection of a guard with room for one, its server's side, that of its client, which reads all it
// gets, and a channel that receives how the connection is closed.
func lingerPipe() (*Conn, *halfPipe, net.Conn, <-chan Closing) {
	server, client := net.Pipe()
	half := &halfPipe{Conn: server}
	s, _ := testSections(1 << 20)
	closed := make(chan Closing, 1)
	c := newConn(half, &Listener{Guard: NewGuard(1, func(string) {}), Sections: s, OnClosing: func(c Closing) { closed <- c }})
	c.member.Join()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	return c, half, client, closed
}

const testResponse = "HTTP/1.1 400 Bad Request\r\n\r\n"

// respond does what net/http and a handler do for a request whose body is not read.
func respond(c *Conn) error {
	c.Enter(PhaseActive)
	c.StartResponse()
	c.FinishResponse(true, true)
	_, err := io.WriteString(c, testResponse)
	return err
}

// Guards against a connection that lingers although its caller needs no time to read a response.
func TestOnlyConnectionsWithAResponseAndInputLinger(t *testing.T) {
	write := func(c *Conn) error { _, err := io.WriteString(c, testResponse); return err }
	for _, c := range []struct {
		name    string
		do      func(c *Conn, client net.Conn) error
		lingers bool
	}{
		{"body not read", func(c *Conn, _ net.Conn) error { return respond(c) }, true},
		{"response of net/http", func(c *Conn, _ net.Conn) error { c.Enter(PhaseActive); return write(c) }, true},
		{"second request not read", func(c *Conn, _ net.Conn) error {
			c.Enter(PhaseActive)
			c.StartResponse()
			c.FinishResponse(false, false)
			err := write(c)
			c.Enter(PhaseIdle)
			return errors.Join(err, respond(c))
		}, true},
		{"body read", func(c *Conn, _ net.Conn) error {
			c.Enter(PhaseActive)
			c.StartResponse()
			c.FinishResponse(false, true)
			return write(c)
		}, false},
		{"further request", func(c *Conn, client net.Conn) error {
			c.Enter(PhaseActive)
			c.StartResponse()
			err := feed(c, client, "G")
			c.FinishResponse(false, true)
			return errors.Join(err, write(c))
		}, true},
		{"response aborted", func(c *Conn, _ net.Conn) error { c.Enter(PhaseActive); c.StartResponse(); return write(c) }, false},
		{"no response", func(c *Conn, _ net.Conn) error { c.Enter(PhaseActive); return nil }, false},
		{"body not read, reported as idle", func(c *Conn, _ net.Conn) error {
			err := respond(c)
			c.Enter(PhaseIdle)
			return err
		}, true},
		{"idle", func(c *Conn, _ net.Conn) error {
			c.Enter(PhaseActive)
			c.StartResponse()
			c.FinishResponse(false, false)
			err := write(c)
			c.Enter(PhaseIdle)
			return err
		}, false},
		{"ended by the caller", func(c *Conn, client net.Conn) error {
			c.Enter(PhaseActive)
			err := errors.Join(write(c), client.Close())
			_, _ = c.Read(make([]byte, 1))
			return err
		}, false},
		{"response not taken", func(c *Conn, client net.Conn) error {
			err := client.Close()
			_ = respond(c)
			return err
		}, false},
		{"HTTP/2", func(c *Conn, _ net.Conn) error { c.SetHTTP2(nil); return respond(c) }, false},
		{"HTTP/2 in plain text", func(c *Conn, client net.Conn) error {
			return errors.Join(feed(c, client, http2Preface), respond(c))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn, half, client, closed := lingerPipe()
				is.NoErr(c.do(conn, client))
				is.NoErr(conn.Close())
				is.Equal(half.halfClosed, c.lingers)
				is.Equal(len(closed) == 0, c.lingers)
				is.NoErr(client.Close())
				is.Equal(<-closed, Closing{Unanswered: c.name == "no response"})
			})
		})
	}
}

// Guards against callers that hold lingering connections without end, and against one that is kept after its caller has
// closed it or its place is needed.
func TestLingeringEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(c *Conn, client net.Conn) error
		after  time.Duration
		reason string
	}{
		{"caller closes", func(_ *Conn, client net.Conn) error { return client.Close() }, 0, ""},
		{"caller sends nothing", func(*Conn, net.Conn) error { return nil }, lingerSilence, ""},
		{"caller sends slowly", func(_ *Conn, client net.Conn) error {
			for {
				time.Sleep(lingerSilence / 2)
				if _, err := client.Write([]byte("x")); err != nil {
					return nil
				}
			}
		}, lingerTime, ""},
		{"caller sends without end", func(_ *Conn, client net.Conn) error {
			for sent := 0; ; {
				n, err := client.Write(make([]byte, 64<<10))
				if sent += n; sent > lingerBytes {
					return errors.New("more input was discarded than the bound")
				}
				if err != nil {
					return nil
				}
			}
		}, 0, ""},
		{"closed again", func(c *Conn, _ net.Conn) error { return c.Close() }, 0, ""},
		{"replaced", func(c *Conn, _ net.Conn) error {
			if !c.member.guard.NewMember("", &fakeConn{}).Join() {
				return errors.New("the new connection was refused")
			}
			return nil
		}, 0, ReasonReplaced},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn, _, client, closed := lingerPipe()
				defer client.Close()
				is.NoErr(respond(conn))
				is.NoErr(conn.Close())
				start := time.Now()
				open, _ := conn.member.guard.Connections()
				is.Equal(open, 1) // it still has a descriptor
				is.Equal(conn.sections.Budget.Used(), int64(0))
				done := make(chan error)
				go func() { done <- c.do(conn, client) }()
				is.Equal(<-closed, Closing{Reason: c.reason})
				is.Equal(time.Since(start), c.after)
				is.NoErr(<-done)
			})
		})
	}
}

// Guards against net/http waiting for the rest of a body, or taking it for a request, after a response with which the
// connection ends.
func TestNothingIsReadAfterTheLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn, _, client, closed := lingerPipe()
		is.NoErr(respond(conn))
		_, err := conn.Read(make([]byte, 1))
		is.True(errors.Is(err, net.ErrClosed))
		is.NoErr(conn.CloseWrite()) // net/http closes the connection some time after it
		is.NoErr(client.Close())
		is.Equal(<-closed, Closing{})
		is.NoErr(conn.Close())
	})
}

// Guards against a lingering connection that keeps its last request in memory: the buffer of a background read of net/http is
// part of the object that holds the request.
func TestLingeringConnectionKeepsNoReadBuffer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	s, _ := testSections(1 << 20)
	closed := make(chan Closing, 1)
	own := &Listener{Listener: l, Guard: NewGuard(1, func(string) {}), Sections: s, OnClosing: func(c Closing) { closed <- c }}
	accepted, err := own.Accept()
	is.NoErr(err)
	c := accepted.(*Conn)
	_, err = io.WriteString(client, "x")
	is.NoErr(err)
	buf := new([512]byte)
	_, err = c.Read(buf[:])
	is.NoErr(err)
	read := weak.Make(buf)
	is.NoErr(respond(c))
	is.NoErr(c.Close())
	runtime.GC()
	is.True(read.Value() == nil)
	is.Equal(len(closed), 0) // it lingers still
	runtime.KeepAlive(c)
}
