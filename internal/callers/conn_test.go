package callers

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipe returns an admitted connection and the side of its client.
func pipe(s *Sections, encrypted bool) (*Conn, net.Conn) {
	server, client := net.Pipe()
	g := NewGuard(10, func(string) {})
	c := newConn(server, &Listener{Guard: g, Sections: s, Encrypted: encrypted})
	c.member.Join()
	return c, client
}

func testSections(budget int64) (*Sections, *[]string) {
	var reasons []string
	return &Sections{
		Budget: NewBudget(budget), MaxBytes: func() int64 { return 1000 }, Refuse: func(net.Conn, string) {}, Timeout: func() time.Duration { return time.Minute },
		OnClose: func(reason string) { reasons = append(reasons, reason) },
	}, &reasons
}

// feed sends text to the connection and returns the error of its reader.
func feed(c *Conn, client net.Conn, text string) error {
	go func() { _, _ = io.WriteString(client, text) }()
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// Guards against memory that is not reserved before net/http stores a line, or that is never returned.
func TestHeaderSectionIsCharged(t *testing.T) {
	for _, c := range []struct {
		name      string
		text      string
		encrypted bool
		want      int64
	}{
		{"lines", "GET / HTTP/1.1\r\na:\r\n", false, SectionCost(20, 2)},
		{"encrypted", "GET / HTTP/1.1\r\na:\r\n", true, SectionCost(20, 0)},
		{"HTTP/2", http2Preface + "\n\n\n", false, 0},
		{"almost HTTP/2", http2Preface[:20] + "\n\n", false, SectionCost(22, 4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := testSections(1 << 20)
			conn, client := pipe(s, c.encrypted)
			is.NoErr(feed(conn, client, c.text))
			is.Equal(s.Budget.Used(), c.want)
			conn.Enter(PhaseActive)
			is.NoErr(feed(conn, client, "body\n"))
			is.Equal(conn.charged, c.want)
			conn.Enter(PhaseIdle)
			is.Equal(s.Budget.Used(), int64(0))
			is.NoErr(feed(conn, client, "GET /"))
			is.Equal(s.Budget.Used() > 0, c.name != "HTTP/2")
			is.NoErr(conn.Close())
			_ = conn.Close()
			is.Equal(s.Budget.Used(), int64(0))
			is.Equal(s.reading.length, 0)
		})
	}
}

// Guards against an ordinary caller that is refused while clients hold the memory with unfinished header sections,
// and against closing a connection that carries a request.
func TestOldestHeaderSectionMakesRoom(t *testing.T) {
	is := is.New(t)
	s, reasons := testSections(SectionCost(20, 0) * 2)
	text := strings.Repeat("a", 20)
	active, c1 := pipe(s, false)
	is.NoErr(feed(active, c1, text))
	active.Enter(PhaseActive)
	old, c2 := pipe(s, false)
	is.NoErr(feed(old, c2, text))
	ended := make(chan error, 1)
	old.startRead() // as net/http does for the rest of a section
	go func() {
		_, err := old.Read(make([]byte, 1))
		ended <- err
	}()
	ordinary, c3 := pipe(s, false)
	is.NoErr(feed(ordinary, c3, text))
	is.Equal(len(*reasons), 1)
	is.True(<-ended != nil)
	is.True(errors.Is(feed(ordinary, c3, text), net.ErrClosed)) // it is the oldest itself now
	is.NoErr(feed(active, c1, text))
	is.Equal(active.charged, SectionCost(20, 0))
}

// Guards against a header section that net/http buffers beyond the limit.
func TestHeaderSectionOverTheLimit(t *testing.T) {
	is := is.New(t)
	s, reasons := testSections(1 << 20)
	c, client := pipe(s, false)
	is.True(errors.Is(feed(c, client, strings.Repeat("a", 1001)), net.ErrClosed))
	is.Equal(*reasons, []string{ReasonHeader})
	is.Equal(s.Budget.Used(), int64(0))
}

// Guards against a header timeout of the operator that is not applied, and against one that ends idle connections.
func TestHeaderTimeoutInForce(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	for _, c := range []struct {
		name  string
		start func(c *Conn, client net.Conn) error
		ends  bool
	}{
		{"new connection", func(*Conn, net.Conn) error { return nil }, false},
		{"first request", func(c *Conn, client net.Conn) error { return feed(c, client, "G") }, true},
		{"body", func(c *Conn, client net.Conn) error {
			err := feed(c, client, request)
			c.Enter(PhaseActive)
			return err
		}, false},
		{"idle connection", func(c *Conn, client net.Conn) error {
			err := feed(c, client, request)
			c.Enter(PhaseActive)
			c.Enter(PhaseIdle)
			return err
		}, false},
		{"next request", func(c *Conn, client net.Conn) error {
			err := feed(c, client, request)
			c.Enter(PhaseActive)
			c.Enter(PhaseIdle)
			return errors.Join(err, feed(c, client, "G"))
		}, true},
		{"HTTP/2", func(c *Conn, client net.Conn) error {
			return errors.Join(feed(c, client, http2Preface[:9]), feed(c, client, http2Preface[9:]))
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := testSections(1 << 20)
			s.Timeout = func() time.Duration { return 50 * time.Millisecond }
			conn, client := pipe(s, false)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute)))
			is.NoErr(c.start(conn, client))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute)))
			time.AfterFunc(200*time.Millisecond, func() { _, _ = io.WriteString(client, "ET") })
			_, err := conn.Read(make([]byte, 2))
			is.Equal(errors.Is(err, os.ErrDeadlineExceeded), c.ends)
		})
	}
}

// Guards against a 400 for a header section whose connection gives its place to a new one before the section has ended.
func TestReplacedHeaderSectionGetsNoResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	chosen, resume := make(chan struct{}), make(chan struct{})
	s, _ := testSections(1 << 20)
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			c.(*Conn).Enter(PhaseActive)
		}
	}}
	defer server.Close()
	go func() {
		_ = server.Serve(&Listener{Listener: l, Sections: s, Guard: NewGuard(1, func(string) { close(chosen); <-resume })})
	}()
	first, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer first.Close()
	_, err = io.WriteString(first, "GET /")
	is.NoErr(err)
	for s.Budget.Used() == 0 { // until the server has read it
		time.Sleep(time.Millisecond)
	}
	second, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer second.Close()
	<-chosen
	_, err = io.WriteString(first, "x HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_ = first.SetReadDeadline(time.Now().Add(time.Second))
	n, _ := first.Read(make([]byte, 100)) // fails, since the connection is closed
	close(resume)
	is.Equal(n, 0)
}

// Guards against a 400 for a header section that is not malformed but was cut off within a line by its timeout.
func TestHeaderSectionThatTimesOutGetsNoResponse(t *testing.T) {
	const timeout = 100 * time.Millisecond
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, c := range []struct {
		name             string
		settings, server time.Duration
		requests         int // before the unfinished one
		text             string
		halfClose        bool
		want             string
	}{
		{"timeout of the settings, request line", timeout, time.Minute, 0, "GET /read/l462", false, ""},
		{"timeout of the settings, header line", timeout, time.Minute, 0, request[:18], false, ""},
		{"timeout of the settings, end of a line", timeout, time.Minute, 0, request[:16], false, ""},
		{"timeout of the settings, kept connection", timeout, time.Minute, 2, "GET /read/l462", false, ""},
		{"timeout of http.Server, request line", time.Minute, timeout, 0, "GET /read/l462", false, ""},
		{"timeout of http.Server, header line", time.Minute, timeout, 0, request[:18], false, ""},
		{"timeout of http.Server, kept connection", time.Minute, timeout, 2, "GET /read/l462", false, ""},
		{"end of the input", time.Minute, time.Minute, 0, "GET /read/l462", true, "400 Bad Request"},
		{"malformed", timeout, timeout, 0, "GET /read/l462\r\n", false, "400 Bad Request"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s, _ := testSections(1 << 20)
			s.Timeout = func() time.Duration { return c.settings }
			protocols := new(http.Protocols) // those of the callers' server
			protocols.SetHTTP1(true)
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{Handler: http.NotFoundHandler(), Protocols: protocols, ReadHeaderTimeout: c.server, IdleTimeout: time.Minute, ConnState: func(conn net.Conn, state http.ConnState) {
				switch state {
				case http.StateActive:
					conn.(*Conn).Enter(PhaseActive)
				case http.StateIdle:
					conn.(*Conn).Enter(PhaseIdle)
				}
			}}
			defer server.Close()
			go func() {
				_ = server.Serve(&Listener{Listener: l, Sections: s, Guard: NewGuard(10, func(string) {})})
			}()
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer client.Close()
			_ = client.SetReadDeadline(time.Now().Add(10 * time.Second))
			r := bufio.NewReader(client)
			for range c.requests {
				_, err = io.WriteString(client, request)
				is.NoErr(err)
				resp, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusNotFound)
			}
			_, err = io.WriteString(client, c.text)
			is.NoErr(err)
			if c.halfClose {
				is.NoErr(client.(*net.TCPConn).CloseWrite())
			}
			answer, err := io.ReadAll(r)
			is.NoErr(err) // the connection is closed without a reset
			line, _, _ := strings.Cut(string(answer), "\r\n")
			is.Equal(strings.TrimPrefix(line, "HTTP/1.1 "), c.want)
		})
	}
}
