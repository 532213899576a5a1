package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/tlsconf/tlstest"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// sending is the time at which a caller sends its body.
type sending string

const (
	withHeader    sending = "body with the header"
	afterHeader   sending = "body right after the header"
	afterResponse sending = "body slowly after the response"
)

// upload is a request with a body.
type upload struct {
	header  string // lines besides those of the framing
	size    int
	chunked bool
	closes  bool // sends "Connection: close"
	sending sending
}

func (u upload) String() string {
	framing := map[bool]string{true: "chunked", false: "stated length"}[u.chunked]
	return fmt.Sprintf("%d bytes, %s, close %t, %s", u.size, framing, u.closes, u.sending)
}

// uploads returns uploads of all kinds.
func uploads(header string) (all []upload) {
	for _, size := range []int{3000, 5000, 9000, 40_000, 200_000, 700_000} {
		for _, chunked := range []bool{false, true} {
			for _, closes := range []bool{false, true} {
				for _, s := range []sending{withHeader, afterHeader, afterResponse} {
					all = append(all, upload{header, size, chunked, closes, s})
				}
			}
		}
	}
	return all
}

// readBeforePlacement reports whether the body is read before an upstream is chosen.
func (u upload) readBeforePlacement() bool { return !u.chunked && u.size <= replayLimit }

// message returns the header section and the body.
func (u upload) message() (head, body string) {
	head = "POST /x HTTP/1.1\r\nHost: a.example\r\n" + u.header
	if u.closes {
		head += "Connection: close\r\n"
	}
	body = strings.Repeat("x", u.size)
	if u.chunked {
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", u.size, body)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", u.size), body
}

const (
	// slowPieces and slowPause are how a body is sent slowly.
	slowPieces = 8
	slowPause  = 20 * time.Millisecond
	// resetWait is the time for a reset on loopback to arrive.
	resetWait = 20 * time.Millisecond
)

// send sends the request on c, which uses the socket, and returns the status of the response, and an error if the connection
// is reset before or after it.
func (u upload) send(c net.Conn, tcp *net.TCPConn) (status int, err error) {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	head, body := u.message()
	if u.sending == withHeader {
		head, body = head+body, ""
	}
	if _, err := io.WriteString(c, head); err != nil {
		return 0, fmt.Errorf("sending the header: %w", err)
	}
	if u.sending == afterHeader {
		if _, err := io.WriteString(c, body); err != nil {
			return 0, fmt.Errorf("sending the body: %w", err)
		}
		body = ""
	}
	return finish(c, tcp, body)
}

// finish reads the response, sends the rest slowly after it, and ends the connection as send does.
func finish(c net.Conn, tcp *net.TCPConn, rest string) (status int, err error) {
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err == nil && resp.ContentLength >= 0 {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		return 0, fmt.Errorf("reading the response: %w", err)
	}
	for piece := len(rest)/slowPieces + 1; rest != ""; time.Sleep(slowPause) {
		n := min(piece, len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return resp.StatusCode, fmt.Errorf("sending the rest after the response: %w", err)
		}
		rest = rest[n:]
	}
	return resp.StatusCode, endOf(r, tcp)
}

// endOf closes the caller's side and returns an error if the connection was reset, or is reset now.
func endOf(r io.Reader, tcp *net.TCPConn) error {
	if err := tcp.CloseWrite(); err != nil {
		return fmt.Errorf("half-closing: %w", err)
	}
	if _, err := io.Copy(io.Discard, r); err != nil {
		return fmt.Errorf("reading the end of the connection: %w", err)
	}
	time.Sleep(resetWait)
	return socketError(tcp)
}

// socketError returns the error that the system has recorded for the socket.
func socketError(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var code int
	if controlErr := raw.Control(func(fd uintptr) { code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); controlErr != nil {
		return controlErr
	}
	if err == nil && code != 0 {
		err = syscall.Errno(code)
	}
	return err
}

// concurrentUploads bounds the uploads that a test sends at the same time.
const concurrentUploads = 8

// expectNoReset sends the uploads and fails for those that do not get the status, or whose connection is reset.
func (h *harness) expectNoReset(t *testing.T, status int, secure bool, all []upload) {
	t.Helper()
	var mu sync.Mutex
	var failures []string
	var running sync.WaitGroup
	slots := make(chan struct{}, concurrentUploads)
	for _, u := range all {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			got, err := h.upload(u, secure)
			if err == nil && got == status {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, fmt.Sprintf("%s: status %d, %v", u, got, err))
		})
	}
	running.Wait()
	for _, f := range failures {
		t.Log(f)
	}
	if len(failures) > 0 {
		t.Errorf("%d of %d failed", len(failures), len(all))
	}
}

func (h *harness) upload(u upload, secure bool) (status int, err error) {
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if !secure {
		return u.send(c, c.(*net.TCPConn))
	}
	return u.send(tls.Client(c, &tls.Config{InsecureSkipVerify: true}), c.(*net.TCPConn))
}

// newEarlyUpstream sends a response once it has the header section of a request, and reads the rest later.
func newEarlyUpstream(t *testing.T, response string) *rawUpstream {
	return newRawUpstream(t, func(_ int64, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
			_, _ = io.Copy(io.Discard, c)
		}
	})
}

// refusingEntries start entries that answer uploads before they have read the whole body.
var refusingEntries = []struct {
	name   string
	header string
	status int
	start  func(t *testing.T, options ...option) *harness
	waits  func(u upload) bool // for the body, before it answers
}{
	{"bad deadline", HeaderDeadline + ": soon\r\n", 400, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), nil, options...)
	}, nil},
	{"no route", "", 404, func(t *testing.T, options ...option) *harness {
		route := testRoute()
		route.Match.PathPrefix = "/other"
		return newHarness(t, route, nil, options...)
	}, nil},
	{"no key", "", 401, func(t *testing.T, options ...option) *harness {
		h := newHarness(t, testRoute(), nil, options...)
		h.workspaces = []table.Workspace{acme("good")}
		h.apply()
		return h
	}, nil},
	{"rate", "Authorization: Bearer good\r\n", 429, func(t *testing.T, options ...option) *harness {
		h := newHarness(t, testRoute(), nil, append(options, withPorts(func(p *Ports) { p.Rates = &fixedRates{after: time.Second} }))...)
		h.workspaces = []table.Workspace{limited("good", 10)}
		h.apply()
		return h
	}, nil},
	{"no upstream", "", 503, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), nil, append(options, withPorts(func(p *Ports) { p.Placement = inOrder{} }))...)
	}, upload.readBeforePlacement},
	{"body too large", "", 413, func(t *testing.T, options ...option) *harness {
		route := testRoute()
		route.MaxBody = 1000
		return newHarness(t, route, []string{newEarlyUpstream(t, "").addr}, options...)
	}, func(u upload) bool { return u.chunked }},
	{"early error of the upstream", "", 403, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), []string{newEarlyUpstream(t, "HTTP/1.1 403 Forbidden\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno").addr}, options...)
	}, upload.readBeforePlacement},
	{"header section over its limit", "X-Large: " + strings.Repeat("x", 60<<10) + "\r\n", 431, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), nil, options...)
	}, nil},
	{"bad length", "Content-Length: 1, 2\r\n", 400, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), nil, options...)
	}, nil},
	{"bad header line", "no colon\r\n", 400, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), nil, options...)
	}, nil},
	{"unknown expectation", "Expect: a miracle\r\n", 417, func(t *testing.T, options ...option) *harness {
		return newHarness(t, testRoute(), nil, options...)
	}, nil},
}

// Guards against a response that a reset can destroy on its way, because the connection is closed while the caller is still
// sending the body of its request (RFC 9112, section 9.6).
func TestResponseBeforeTheEndOfTheBodyIsNotFollowedByAReset(t *testing.T) {
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	encrypted := withSettings(func(s *settings.Settings) { s.Callers.Plaintext, s.Callers.TLS = false, &files })
	for _, c := range refusingEntries {
		all := uploads(c.header)
		if c.waits != nil {
			all = slices.DeleteFunc(all, func(u upload) bool { return u.sending == afterResponse && c.waits(u) })
		}
		t.Run(c.name, func(t *testing.T) { c.start(t).expectNoReset(t, c.status, false, all) })
		t.Run(c.name+", TLS", func(t *testing.T) { c.start(t, encrypted).expectNoReset(t, c.status, true, all) })
	}
}

// Guards against a reset after an early response that is no error, if the caller asked for the connection to be closed.
func TestEarlySuccessIsNotFollowedByAReset(t *testing.T) {
	h := newHarness(t, testRoute(), []string{newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok").addr})
	h.expectNoReset(t, 200, false, slices.DeleteFunc(uploads(""), func(u upload) bool { return !u.closes || u.size <= replayLimit }))
}

// Guards against refused callers that hold their connections by sending nothing or without end.
func TestLingeringConnectionsAreClosed(t *testing.T) {
	const bound = 10 * time.Second
	for name, sends := range map[string]func(c net.Conn) error{
		"nothing": func(net.Conn) error { time.Sleep(slowPause); return nil },
		"slowly": func(c net.Conn) error {
			time.Sleep(slowPause)
			_, err := io.WriteString(c, "x")
			return err
		},
		"without end": func(c net.Conn) error {
			_, err := c.Write(make([]byte, 64<<10))
			return err
		},
	} {
		for kind, request := range map[string]string{
			"body":             "POST / HTTP/1.1\r\nHost: x\r\n" + HeaderDeadline + ": soon\r\nContent-Length: 200000\r\n\r\n",
			"further requests": strings.Repeat(refusedRequest, 200),
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := newHarness(t, testRoute(), nil)
				c, err := net.Dial("tcp", h.addr)
				is.NoErr(err)
				defer c.Close()
				_, err = io.WriteString(c, request)
				is.NoErr(err)
				end := time.Now().Add(bound)
				is.NoErr(c.SetDeadline(end))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, 400)
				for h.entry.CallerUse().Connections > 0 {
					if err = sends(c); errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
						err = nil
					}
					is.NoErr(err) // the entry must close the connection within the bound
					is.True(time.Now().Before(end))
				}
				is.Equal(h.entry.CallerUse().MemoryBytes, int64(0))
			})
		}
	}
}

// Guards against a reset after an early response that was relayed.
func TestRelayedEarlyResponseIsNotFollowedByAReset(t *testing.T) {
	upstream := newEarlyUpstream(t, "HTTP/1.1 403 Forbidden\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno").addr
	inner := newHarness(t, homeRoute(), []string{upstream}, withSettings(func(s *settings.Settings) { s.Region = "south" }))
	inner.pool.Upstreams[0].Region = "south"
	inner.apply()
	outer := newHarness(t, homeRoute(), nil, withPorts(func(p *Ports) { p.Relay = &pipeRelay{inner: inner.entry} }))
	outer.expectNoReset(t, 403, false, slices.DeleteFunc(uploads(""), func(u upload) bool { return u.sending == afterResponse && u.readBeforePlacement() }))
}

// Guards against a reset after the last response on a connection whose caller has sent further requests.
func TestPipelinedRequestsAreNotFollowedByAReset(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))})
	for range 60 {
		c := dialCaller(t, h.addr)
		_, err := io.WriteString(c, strings.Repeat(request, 200))
		is.NoErr(err)
		is.Equal(c.status(), 200)
		is.NoErr(endOf(c.r, c.Conn.(*net.TCPConn)))
	}
}

// Guards against a reset while a caller still sends further requests after the last response, and over TLS.
func TestPipelinedRequestsThatStillArriveAreNotFollowedByAReset(t *testing.T) {
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %t", secure), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), nil, withSettings(func(s *settings.Settings) {
				if secure {
					s.Callers.Plaintext, s.Callers.TLS = false, &files
				}
			}))
			further := strings.Repeat(refusedRequest, 200)
			for _, rest := range []string{"", further} {
				for range 10 {
					c := dialCaller(t, h.addr).Conn
					tcp := c.(*net.TCPConn)
					if secure {
						// The connection lingers if some of the requests have arrived, which one record does as a whole.
						c = tls.Client(c, &tls.Config{InsecureSkipVerify: true, DynamicRecordSizingDisabled: true})
					}
					_, err := io.WriteString(c, refusedRequest+further)
					is.NoErr(err)
					status, err := finish(c, tcp, rest)
					is.NoErr(err)
					is.Equal(status, 400)
				}
			}
		})
	}
}

// refusedRequest is a request that is refused and asks for the connection to be closed.
const refusedRequest = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + HeaderDeadline + ": soon\r\n\r\n"

// Guards against a connection that lingers although its caller has sent nothing after its last request.
func TestConnectionWithoutFurtherInputIsClosedAtOnce(t *testing.T) {
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	for _, secure := range []bool{false, true} {
		for name, rest := range map[string]string{
			"no body": "\r\n", "body": "Content-Length: 5\r\n\r\nhello", "chunked body": "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%s, TLS %t", name, secure), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, testRoute(), []string{serveUpstream(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
				}))}, withSettings(func(s *settings.Settings) {
					if secure {
						s.Callers.Plaintext, s.Callers.TLS = false, &files
					}
				}))
				shortest := time.Minute
				for range 3 { // a delay of this process must not look like lingering
					c := dialCaller(t, h.addr).Conn
					if secure {
						c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
					}
					_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+rest)
					is.NoErr(err)
					answer, err := io.ReadAll(c)
					is.NoErr(err)
					is.True(strings.HasPrefix(string(answer), "HTTP/1.1 200"))
					start := time.Now()
					for h.entry.CallerUse().Connections > 0 {
						time.Sleep(time.Millisecond)
					}
					shortest = min(shortest, time.Since(start))
				}
				is.True(shortest < lingerMargin)
			})
		}
	}
}

// Guards against a shutdown that cuts off callers which still send bodies after their responses, and against one that
// outlasts its limit because of them.
func TestShutdownWaitsForLingeringConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit time.Duration
		waits bool
	}{{"caller closes", 10 * time.Second, true}, {"limit", 50 * time.Millisecond, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), nil)
			caller := dialCaller(t, h.addr)
			head, body := upload{header: HeaderDeadline + ": soon\r\n", size: 5000}.message()
			_, err := io.WriteString(caller, head)
			is.NoErr(err)
			is.Equal(caller.status(), 400)
			ctx, cancel := context.WithTimeout(context.Background(), c.limit)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- h.entry.Shutdown(ctx) }()
			if !c.waits {
				<-ctx.Done()
				select {
				case <-done:
				case <-time.After(lingerMargin):
					t.Fatal("the shutdown outlasts its limit")
				}
				return
			}
			time.Sleep(2 * slowPause)
			is.Equal(len(done), 0)
			_, err = io.WriteString(caller, body)
			is.NoErr(err)
			is.NoErr(endOf(caller.r, caller.Conn.(*net.TCPConn)))
			is.NoErr(<-done)
		})
	}
}

// lingerMargin is less than the time for which a connection lingers whose caller is silent.
const lingerMargin = 500 * time.Millisecond
