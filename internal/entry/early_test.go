package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that hold their connections by not sending the rest of a body after an early response.
func TestRestOfABodyAfterTheResponseIsBounded(t *testing.T) {
	const bound = 10 * time.Second
	upstream := newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok").addr
	head, body := upload{size: 200_000}.message()
	for name, sends := range map[string]func(net.Conn) error{
		"nothing": func(net.Conn) error { return nil },
		"slowly": func(c net.Conn) error {
			_, err := io.WriteString(c, "x")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{upstream})
			caller := dialCaller(t, h.addr)
			_, err := io.WriteString(caller, head+body[:1000])
			is.NoErr(err)
			is.Equal(caller.status(), 200)
			for end := time.Now().Add(bound); h.entry.CallerUse().Connections > 0; time.Sleep(slowPause) {
				is.True(time.Now().Before(end))
				_ = sends(caller) // fails when the connection is closed
			}
		})
	}
}

// Guards against a reset after an early response that is no error, on a connection that the caller keeps open.
func TestEarlySuccessOnAKeptConnectionIsNotFollowedByAReset(t *testing.T) {
	h := newHarness(t, testRoute(), []string{newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok").addr})
	h.expectNoReset(t, 200, false, slices.DeleteFunc(uploads(""), func(u upload) bool { return u.closes || u.size <= replayLimit }))
}

// Guards against an early response that does not tell that its connection ends: the next request on it gets no response.
func TestEarlyResponseTellsThatItsConnectionEnds(t *testing.T) {
	early := newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok").addr
	head, body := upload{size: 200_000}.message()
	for _, c := range []struct {
		name, header string
		claims       *memoryClaims
	}{
		{"of an upstream", "", nil},
		{"stored", "Idempotency-Key: k1\r\n", &memoryClaims{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := early
			if c.claims != nil {
				address = serveUpstream(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
			}
			h := newHarness(t, testRoute(), []string{address}, withPorts(func(p *Ports) {
				if c.claims != nil {
					p.Claims = c.claims
				}
			}))
			head := strings.TrimSuffix(head, "\r\n") + c.header + "\r\n"
			if c.claims != nil {
				first := dialCaller(t, h.addr)
				_, err := io.WriteString(first, head+body)
				is.NoErr(err)
				is.Equal(first.status(), 200)
			}
			caller := dialCaller(t, h.addr)
			r := bufio.NewReader(caller)
			_, err := io.WriteString(caller, head+body[:1000])
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			if resp.Close {
				return
			}
			_, err = io.WriteString(caller, body[1000:]+"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			is.NoErr(err)
			_, err = http.ReadResponse(r, nil)
			is.NoErr(err) // a request on a connection that is kept needs a response
		})
	}
}
