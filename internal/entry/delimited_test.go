package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/internal/tlsconf/tlstest"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// part is the start of a response without a length. It is larger than what is read of one before the caller gets its header, to
// store it for a repeated request.
var part = strings.Repeat("p", MaxStoredResponse+2*copyBuffer)

// withTLS returns settings for entries without and with TLS.
func withTLS(t *testing.T) map[bool]option {
	files := tlstest.Files(t, "entry")
	files.CA = "" // with a CA, callers would need certificates
	return map[bool]option{
		false: withSettings(func(*settings.Settings) {}),
		true:  withSettings(func(s *settings.Settings) { s.Callers.Plaintext, s.Callers.TLS = false, &files }),
	}
}

// sendHTTP10 sends a request over HTTP/1.0.
func sendHTTP10(t *testing.T, address string, secure bool, header string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if secure {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	}
	if _, err := io.WriteString(c, "POST /x HTTP/1.0\r\nHost: a.example\r\nContent-Length: 5\r\n"+header+"\r\nhello"); err != nil {
		t.Fatal(err)
	}
	return c
}

// serveScript starts an upstream that reads a request and then runs the script.
func serveScript(t *testing.T, script func(c *net.TCPConn)) string {
	return newRawUpstream(t, func(_ int64, c net.Conn) {
		serveRequests(c, func(int, *http.Request) string { script(c.(*net.TCPConn)); return "" })
	}).addr
}

// Guards against a response that was cut short and ends for a caller of HTTP/1.0 like a whole one: its end is that of the
// connection.
func TestCutResponseIsNotWholeOverHTTP10(t *testing.T) {
	const plays = 20
	head := "HTTP/1.1 200 OK\r\n"
	cuts := map[string]func(c *net.TCPConn){
		"reset": func(c *net.TCPConn) { _, _ = io.WriteString(c, head+"\r\n"+part); _ = c.SetLinger(0); _ = c.Close() },
		"end within a chunk": func(c *net.TCPConn) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(part)+1, part)
			_ = c.Close()
		},
		"end before the last chunk": func(c *net.TCPConn) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(part), part)
			_ = c.Close()
		},
		"malformed trailer": func(c *net.TCPConn) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Y: 1\r\n\r\n", head, len(part), part)
		},
		"stall": func(c *net.TCPConn) { _, _ = io.WriteString(c, head+"\r\n"+part); _, _ = c.Read(make([]byte, 1)) },
	}
	for secure, served := range withTLS(t) {
		for name, cut := range cuts {
			for _, header := range []string{"", "Idempotency-Key: k%d\r\n", "Connection: keep-alive\r\n"} {
				t.Run(fmt.Sprintf("%s/TLS %t/%q", name, secure, header), func(t *testing.T) {
					is := is.New(t)
					h := newHarness(t, testRoute(), []string{serveScript(t, cut)}, served, withPorts(func(p *Ports) { p.Claims = &memoryClaims{} }),
						withTiming(func(tm *timing) { tm.responseStall = 50 * time.Millisecond }))
					whole := 0
					for n := range plays {
						status, _, err := readWhole(sendHTTP10(t, h.addr, secure, strings.ReplaceAll(header, "%d", fmt.Sprint(n))))
						if err == nil && status == http.StatusOK {
							whole++
						}
					}
					t.Logf("%d of %d were whole for the caller", whole, plays)
					is.Equal(whole, 0)
				})
			}
		}
	}
}

// Guards against a response of which a slow caller of HTTP/1.0 gets a part, and against one that is whole for it when the instance
// ends.
func TestCutByTheInstanceIsNotWholeOverHTTP10(t *testing.T) {
	endlessUpstream := serveScript(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for _, err := io.WriteString(c, part); err == nil; _, err = io.WriteString(c, part) {
			time.Sleep(time.Millisecond)
		}
	})
	for secure, served := range withTLS(t) {
		t.Run(fmt.Sprintf("slow caller/TLS %t", secure), func(t *testing.T) {
			is := is.New(t)
			fast := serveScript(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				for _, err := io.WriteString(c, part); err == nil; _, err = io.WriteString(c, part) {
				}
			})
			h := newHarness(t, testRoute(), []string{fast}, served, withTiming(func(tm *timing) { tm.responseStall = 200 * time.Millisecond }))
			c := sendHTTP10(t, h.addr, secure, "")
			waitRunning(h, 1)
			for h.entry.Running() > 0 {
				time.Sleep(time.Millisecond)
			}
			_, _, err := readWhole(c)
			is.True(err != nil)
		})
		t.Run(fmt.Sprintf("end of the instance/TLS %t", secure), func(t *testing.T) {
			is := is.New(t)
			const plays = 20
			for range plays {
				h := newHarness(t, testRoute(), []string{endlessUpstream}, served)
				ctx, end := context.WithCancel(context.Background())
				l := listen(t)
				e := New(h.entry.cfg, h.tables, Ports{}, logr.Discard())
				var serving sync.WaitGroup
				serving.Go(func() { _ = e.Serve(ctx, l) })
				c := sendHTTP10(t, l.Addr().String(), secure, "")
				first := make([]byte, 1)
				_, err := io.ReadFull(c, first)
				is.NoErr(err)
				end()
				_, err = io.Copy(io.Discard, c)
				is.True(err != nil) // the response has ended in order
				serving.Wait()
			}
		})
	}
}

// Guards against a reset of a response that is whole, which could destroy its end on the way to a caller of HTTP/1.0.
func TestWholeResponseIsNotResetOverHTTP10(t *testing.T) {
	const plays = 20
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n" // the upstream must not end a connection that may be used again
	responses := map[string]string{
		"no length": head + "\r\n" + part, "length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(part), part),
		"chunks": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(part), part),
	}
	for secure, served := range withTLS(t) {
		for name, response := range responses {
			for _, header := range []string{"", "Idempotency-Key: k%d\r\n", "Connection: keep-alive\r\n"} {
				t.Run(fmt.Sprintf("%s/TLS %t/%q", name, secure, header), func(t *testing.T) {
					is := is.New(t)
					u := respchecktest.ServeEarly(t, response, respchecktest.Finish)
					h := newHarness(t, testRoute(), []string{u.Address}, served, withPorts(func(p *Ports) { p.Claims = &memoryClaims{} }))
					for n := range plays {
						c := sendHTTP10(t, h.addr, secure, strings.ReplaceAll(header, "%d", fmt.Sprint(n)))
						time.Sleep(time.Millisecond) // a reset would arrive before the response is read
						status, body, err := readWhole(c)
						is.NoErr(err)
						is.Equal(status, 200)
						is.Equal(len(body), len(part))
					}
				})
			}
		}
	}
}

// Guards against a stored response whose end a caller of HTTP/1.0 cannot tell from that of a cut one.
func TestStoredResponseHasALength(t *testing.T) {
	is := is.New(t)
	body := part[:MaxStoredResponse/2]
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, body)
	}))
	h := newHarness(t, testRoute(), []string{upstream}, withPorts(func(p *Ports) { p.Claims = &memoryClaims{} }))
	for n := range 2 {
		c := sendHTTP10(t, h.addr, false, "Idempotency-Key: k\r\n")
		raw, err := io.ReadAll(c)
		is.NoErr(err)
		head, got, _ := strings.Cut(string(raw), "\r\n\r\n")
		is.Equal(len(got), len(body))
		is.Equal(strings.Contains(head, fmt.Sprintf("Content-Length: %d", len(body))), n == 1) // the second is stored
	}
}
