package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// withBudget replaces the memory that all requests may take together.
func withBudget(bytes int64) option {
	return withEntry(func(e *Entry) {
		e.budget = callers.NewBudget(bytes)
		e.sections.Budget = e.budget
	})
}

func withEntry(set func(*Entry)) option {
	return func(_ *settings.Settings, _ *Ports, e *Entry) {
		if e != nil {
			set(e)
		}
	}
}

// Guards against requests that run although there is no memory for them, and against memory that is not returned.
func TestRequestsShareMemory(t *testing.T) {
	for _, c := range []struct {
		name, method, body string
		budget             int64
		status             int
	}{
		{"enough", "GET", "", 64 << 10, 200},
		{"none for the request", "GET", "", 8 << 10, 503},
		{"enough for the body", "POST", strings.Repeat("a", 20<<10), 64 << 10, 200},
		{"none for the body", "POST", strings.Repeat("a", 60<<10), 64 << 10, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ran := false
			h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran = true }))}, withBudget(c.budget))
			for range 3 {
				r := h.do(c.method, "/", strings.NewReader(c.body))
				is.NoErr(r.err)
				is.Equal(r.status, c.status)
				if c.status == 503 {
					is.Equal(r.outcome(), string(NotRun))
					is.True(strings.Contains(r.body, "memory-in-use"))
				}
			}
			is.Equal(ran, c.status == 200)
			h.client.CloseIdleConnections()
			until(t, func() bool { u := h.entry.CallerUse(); return u.MemoryBytes == 0 && u.Connections == 0 })
		})
	}
}

// Guards against an answer that is refused, or cut off, because there is no memory to buffer it.
func TestAnswerIsServedWithoutMemoryToBufferIt(t *testing.T) {
	for _, budget := range []int64{64 << 10, 256 << 10, 64 << 20} {
		is := is.New(t)
		proto := DefaultProtocol()
		proto.BufferResponse = 1 << 20
		answer := strings.Repeat("a", 3<<20)
		h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))},
			withBudget(budget), func(_ *settings.Settings, p *Ports, _ *Entry) {
				if p != nil {
					p.Protocol = &proto
				}
			})
		r := h.do("GET", "/", nil)
		is.NoErr(r.err)
		is.True(r.body == answer)
	}
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the memory of requests, or their connections, are not returned")
		}
	}
}

// Guards against a header timeout of the operators that is read and not applied.
func TestOperatorsHeaderTimeout(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.NotFoundHandler())},
		withSettings(func(s *settings.Settings) { s.Limits.HeaderTimeout = table.Duration(time.Minute) }))
	h.tables.current.Store(&control.Snapshot{Tables: h.tables.Snapshot().Tables, Limits: settings.Limits{HeaderTimeout: table.Duration(50 * time.Millisecond)}})
	conn, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.ReadAll(conn)
	is.NoErr(err) // the entry must close the connection
}

// Guards against callers that send requests, read no response, and keep their connections without end: the end of
// a response is sent after the handler has returned, where no timer of the exchange runs.
func TestCallersThatReadNothingAreClosed(t *testing.T) {
	is := is.New(t)
	answer := strings.Repeat("a", 2000) // short enough to be sent as a whole after the handler has returned
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))},
		withTiming(func(x *timing) { x.responseStall = 100 * time.Millisecond }))
	conn, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4096))
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(20 * time.Second)))
	for requests := strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 100); err == nil; {
		_, err = io.WriteString(conn, requests)
	}
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the entry must close the connection
}

// Guards against refusals without number, which callers that read nothing leave behind.
func TestRefusalsShareMemory(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.NotFoundHandler())}, withBudget(8<<10),
		withEntry(func(e *Entry) { e.refusals = callers.NewBudget(requestCost) }))
	for range 3 { // a refusal returns its memory
		r := h.do("GET", "/", nil)
		is.NoErr(r.err)
		is.Equal(r.status, 503)
	}
	h.entry.refusals.Take(1)
	is.True(h.do("GET", "/", nil).err != nil)
}

// endlessAnswer writes an answer without end to requests for /long and a short one to others.
func endlessAnswer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/long" {
		return
	}
	for piece, err := make([]byte, 32<<10), error(nil); err == nil; {
		_, err = w.Write(piece)
	}
}

// withBuffering buffers up to n bytes of an answer.
func withBuffering(n int) option {
	proto := DefaultProtocol()
	proto.BufferResponse = n
	return withPorts(func(p *Ports) { p.Protocol = &proto })
}

// requestLong sends a request for /long and reads n bytes of its answer.
func (h *harness) requestLong(n int64) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n"); err == nil {
		_, err = io.CopyN(io.Discard, conn, n)
	}
	if err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// Guards against ordinary callers that are refused because the buffered answers of slow readers use up the memory of
// requests.
func TestSlowReadersLeaveMemoryToOthers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(endlessAnswer))}, withBudget(2<<20), withBuffering(1<<20))
	for range 30 {
		h.requestLong(1) // its first byte is sent after the answer was buffered
	}
	r := h.do("GET", "/", nil)
	is.NoErr(r.err)
	is.Equal(r.status, 200)
}

// Guards against a buffered answer whose memory stays reserved after it was written, for as long as the rest is read.
func TestBufferedMemoryIsReturnedAsItIsWritten(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(endlessAnswer))}, withBudget(64<<20), withBuffering(1<<20))
	conn := h.requestLong(4 << 20)
	until(t, func() bool { return h.entry.CallerUse().MemoryBytes <= 32<<10 })
	is.Equal(h.entry.running.Load(), int64(1))
	is.NoErr(conn.Close())
	until(t, func() bool { return h.entry.CallerUse().MemoryBytes == 0 })
}

// Guards against body bytes that are charged as header lines until the request ends, because they were received
// together with its header section.
func TestBodyIsNotChargedAsHeaderLines(t *testing.T) {
	is := is.New(t)
	var h *harness
	used := make(chan int64, 1)
	h = newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { used <- h.entry.CallerUse().MemoryBytes }))}, withBudget(1<<20))
	conn, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	body := strings.Repeat("a\n", 1900)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, conn, 1)
	is.NoErr(err)
	is.True(<-used <= requestCost+int64(len(body))+callers.SectionCost(200, 4))
	is.NoErr(conn.Close())
	until(t, func() bool { return h.entry.CallerUse().MemoryBytes == 0 })
}
