package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/tlsconf/tlstest"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// framesCaller is a connection of a caller that reads and writes frames of HTTP/2 itself.
type framesCaller struct {
	t *testing.T
	net.Conn
	*http2.Framer
	stream uint32 // of the last request; odd
}

func dialFrames(t *testing.T, address string, encrypted bool) *framesCaller {
	t.Helper()
	var c net.Conn = dialCaller(t, address)
	if encrypted {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http2Protocol}})
	}
	if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	f := &framesCaller{t: t, Conn: c, Framer: http2.NewFramer(c, c)}
	f.stream-- // the first request has 1
	if err := f.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	return f
}

// get sends a request.
func (c *framesCaller) get(path string) {
	c.t.Helper()
	var block bytes.Buffer
	e := hpack.NewEncoder(&block)
	for _, f := range [][2]string{{":method", http.MethodGet}, {":scheme", "http"}, {":path", path}, {":authority", "a"}} {
		_ = e.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	c.stream += 2
	if err := c.WriteHeaders(http2.HeadersFrameParam{StreamID: c.stream, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true}); err != nil {
		c.t.Fatal(err)
	}
}

// served reads until the response to the last request has ended, and reports false if the connection ends before.
func (c *framesCaller) served() bool {
	for {
		f, err := c.ReadFrame()
		if err != nil {
			return false
		}
		if data, ok := f.(*http2.DataFrame); ok && data.StreamID == c.stream && data.StreamEnded() {
			return true
		}
	}
}

// lastProcessed reads until the connection ends, and returns the last stream that GOAWAY names, or false if there is none.
func (c *framesCaller) lastProcessed() (stream uint32, announced bool) {
	for {
		f, err := c.ReadFrame()
		if err != nil {
			return stream, announced
		}
		if g, ok := f.(*http2.GoAwayFrame); ok {
			stream, announced = g.LastStreamID, true
		}
	}
}

// Guards against connections of HTTP/2 that end without GOAWAY, after which callers cannot tell whether a request ran that
// they have just sent.
func TestCloseOfHTTP2ConnectionIsAnnounced(t *testing.T) {
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, _ = io.WriteString(w, "served"); r.URL.Path == "/endless" {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	unchanged, nothing := func(*settings.Settings) {}, func(*testing.T, *harness) {}
	shutdown := func(t *testing.T, h *harness) {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second) // longer than the caller reads
		t.Cleanup(cancel)
		go func() { _ = h.entry.Shutdown(ctx) }()
	}
	for _, c := range []struct {
		name   string
		set    func(*settings.Settings)
		before func(*testing.T, *harness) // the caller connects
		closes func(*testing.T, *harness)
	}{
		{"shutdown", unchanged, nothing, shutdown},
		{"shutdown while a request of HTTP/1 runs", unchanged, func(t *testing.T, h *harness) {
			beginEndless(t, h.addr, h.entry.cfg.Callers.TLS != nil)
		}, shutdown},
		{"idle timeout", func(s *settings.Settings) { s.Limits.IdleTimeout = table.Duration(300 * time.Millisecond) }, nothing, nothing},
		{"idle timeout of the tables", unchanged, func(_ *testing.T, h *harness) {
			tables := *h.tables.Snapshot()
			tables.Limits.IdleTimeout = table.Duration(300 * time.Millisecond)
			h.tables.current.Store(&tables)
		}, nothing},
		{"replaced", func(s *settings.Settings) { s.Limits.Descriptors = 3 }, nothing, func(t *testing.T, h *harness) {
			time.Sleep(1100 * time.Millisecond) // until the guard takes the last response for written
			connectAnother(t, h.entry, h.addr)
		}},
	} {
		for name, encrypted := range map[string]bool{"plain": false, "tls": true} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, testRoute(), []string{upstream}, withSettings(func(s *settings.Settings) {
					if c.set(s); encrypted {
						s.Callers.Plaintext, s.Callers.TLS = false, &files
					}
				}))
				c.before(t, h)
				caller := dialFrames(t, h.addr, encrypted)
				caller.get("/")
				is.True(caller.served())
				c.closes(t, h)
				is.NoErr(caller.SetReadDeadline(time.Now().Add(10 * time.Second)))
				last, announced := caller.lastProcessed()
				is.True(announced)
				is.Equal(last, uint32(1))
			})
		}
	}
}

// beginEndless sends a request of HTTP/1 on a connection of its own and reads the start of its response, which does not end.
func beginEndless(t *testing.T, address string, encrypted bool) {
	t.Helper()
	is := is.New(t)
	var c net.Conn = dialCaller(t, address)
	if encrypted {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	}
	_, err := io.WriteString(c, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}

// send sends a request whose frame header arrives before its contents, which are not compressed.
func (c *framesCaller) send(path string) {
	c.t.Helper()
	c.stream += 2
	block := append([]byte{0x82, 0x86, 0x41, 1, 'a', 0x04, byte(len(path))}, path...) // GET, http, :authority, :path
	header := []byte{0, 0, byte(len(block)), byte(http2.FrameHeaders), byte(http2.FlagHeadersEndHeaders | http2.FlagHeadersEndStream), 0, 0, 0, byte(c.stream)}
	for _, part := range [][]byte{header, block} {
		if _, err := c.Conn.Write(part); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against closing a connection of HTTP/2 from which a request has been read that no handler has seen yet.
func TestHTTP2RequestThatWasReadIsAnsweredOrRefused(t *testing.T) {
	for _, c := range []struct {
		name      string
		limits    func(*settings.Limits)
		configure func(*Entry)
		closes    func(t *testing.T, e *Entry, address string)
		refused   bool // GOAWAY names the request as not run
	}{
		{name: "idle timeout", limits: func(l *settings.Limits) { l.IdleTimeout = table.Duration(300 * time.Millisecond) },
			closes: func(*testing.T, *Entry, string) { time.Sleep(600 * time.Millisecond) }, refused: true},
		{name: "idle timeout of the tables", limits: func(*settings.Limits) {}, configure: func(e *Entry) {
			tables := *e.snapshots.Snapshot()
			tables.Limits.IdleTimeout = table.Duration(300 * time.Millisecond)
			e.snapshots.(*fixedTables).current.Store(&tables)
		}, closes: func(*testing.T, *Entry, string) { time.Sleep(600 * time.Millisecond) }},
		{name: "replaced", limits: func(l *settings.Limits) { l.Descriptors = 3 }, closes: connectAnother},
		{name: "shutdown", limits: func(*settings.Limits) {}, closes: shutDown, refused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, l := stallingEntry(t, func(s *settings.Settings) { c.limits(&s.Limits) }, func(e *Entry, _ *stallingListener) {
				if c.configure != nil {
					c.configure(e)
				}
			})
			address := l.Addr().String()
			caller := dialFrames(t, address, false)
			caller.get("/")
			is.True(caller.served())
			caller.send("/stalled")
			select {
			case <-l.stalled:
			case <-time.After(10 * time.Second):
				t.Fatal("the reader does not stand still")
			}
			c.closes(t, e, address)
			l.goOn()
			if c.refused {
				last, announced := caller.lastProcessed()
				is.True(announced)
				is.Equal(last, caller.stream-2)
				return
			}
			is.True(caller.served())
		})
	}
}

// Guards against an idle connection of HTTP/2 that outlasts the operators' limit because the caller has sent frames other than
// requests.
func TestIdleHTTP2ConnectionEndsDespiteOtherFrames(t *testing.T) {
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	for name, encrypted := range map[string]bool{"plain": false, "tls": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{upstream}, withSettings(func(s *settings.Settings) {
				if encrypted {
					s.Callers.Plaintext, s.Callers.TLS = false, &files
				}
			}))
			tables := *h.tables.Snapshot()
			tables.Limits.IdleTimeout = table.Duration(300 * time.Millisecond)
			h.tables.current.Store(&tables)
			caller := dialFrames(t, h.addr, encrypted)
			caller.get("/")
			is.True(caller.served())
			is.NoErr(caller.WritePing(false, [8]byte{1}))
			time.Sleep(100 * time.Millisecond)
			is.Equal(h.entry.CallerUse().MemoryBytes, int64(0)) // frames are no header section
			is.NoErr(caller.SetReadDeadline(time.Now().Add(3 * time.Second)))
			_, err := caller.ReadFrame()
			for err == nil {
				_, err = caller.ReadFrame()
			}
			is.True(!errors.Is(err, os.ErrDeadlineExceeded))
		})
	}
}
