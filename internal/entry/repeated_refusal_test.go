package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const (
	testRequestID = "X-Id"
	testRefusal   = "X-Refused"
)

// withEcho sets a protocol in which upstreams echo the request ID and name refused requests.
func withEcho() option {
	return withPorts(func(p *Ports) {
		p.Protocol = &Protocol{
			RequestID: testRequestID, EchoesRequestID: true, Plain: true,
			NotRun: func(resp *http.Response) bool { return resp.Header.Get(testRefusal) != "" },
		}
	})
}

func refusalText(id string) string {
	if id != "" {
		id = testRequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 X\r\n" + testRefusal + ": 1\r\n" + id + "Content-Length: 0\r\n\r\n"
}

func answerText(id string) string {
	return "HTTP/1.1 200 OK\r\n" + testRequestID + ": " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

// Guards against a refusal that an upstream writes once more on a kept connection, and that is taken for the answer to
// a request which the upstream runs: the caller would be told that it did not run, or it would run twice.
func TestRepeatedRefusalIsNoProofThatARequestDidNotRun(t *testing.T) {
	for name, id := range map[string]string{"with the ID of the earlier request": "earlier", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			script := func(_ int64, c net.Conn) {
				serveRequests(c, func(n int, r *http.Request) string {
					if n == 1 {
						return refusalText(r.Header.Get(testRequestID))
					}
					runs.Add(1)
					return refusalText(id) // in place of the answer, which comes too late
				})
			}
			addresses := []string{newRawUpstream(t, script).addr, newRawUpstream(t, script).addr}
			h := newHarness(t, testRoute(), addresses, withEcho())
			h.do("POST", "/", strings.NewReader("a"), testRequestID, "earlier") // keeps a connection to each upstream
			r := h.do("POST", "/", strings.NewReader("b"), testRequestID, "second")
			is.Equal(runs.Load(), int64(1))
			is.Equal(r.status, http.StatusBadGateway) // promises nothing
		})
	}
}

// Guards against a probe that takes the answer to an earlier request for its own and leaves its own, a
// refusal without a request ID, to the next request on that connection.
func TestProbeDoesNotShiftTheAnswersOfAConnection(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	up := newRawUpstream(t, func(_ int64, c net.Conn) {
		serveRequests(c, func(_ int, r *http.Request) string {
			if r.URL.Path == "/health" {
				return refusalText("earlier") + refusalText("") // an earlier refusal once more, then its own
			}
			runs.Add(1)
			return answerText(r.Header.Get(testRequestID))
		})
	})
	h := newHarness(t, testRoute(), []string{up.addr}, withEcho())
	for i := range 20 {
		_, _, err := h.entry.Ask(context.Background(), &h.pool, h.pool.Upstreams[0], "/health")
		is.True(err != nil) // the answer belongs to another request
		r := h.do("POST", "/", strings.NewReader("x"), testRequestID, fmt.Sprint(i))
		is.Equal(r.status, http.StatusOK)
	}
	is.Equal(runs.Load(), int64(20))
}

// Guards against a response head that ends early and is taken for a whole one, with an empty or a short body.
func TestResponseHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	is := is.New(t)
	for _, framing := range []string{"Content-Length: 14\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		whole := "HTTP/1.1 200 OK\r\n" + testRequestID + ": n\r\nX-Filler: a\r\n" + framing + "X-Last: b\r\n\r\n"
		var end atomic.Int64
		up := newRawUpstream(t, func(_ int64, c net.Conn) {
			serveRequests(c, func(int, *http.Request) string {
				_, _ = c.Write([]byte(whole[:end.Load()]))
				return ""
			})
		})
		h := newHarness(t, testRoute(), []string{up.addr}, withEcho())
		for n := range len(whole) - 1 {
			end.Store(int64(n))
			r := h.do("GET", "/", nil, testRequestID, "n")
			is.NoErr(r.err)
			is.True(r.status >= 500) // whatever part of the head was sent
		}
	}
}

// Guards against an answer without an ID, as to a health check, that is given to the caller of a request which the upstream
// runs: 503 and some other statuses promise that it does not.
func TestAnswerWithoutAnIDIsNobodys(t *testing.T) {
	for _, status := range []int{200, 404, 408, 421, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			up := newRawUpstream(t, func(_ int64, c net.Conn) {
				serveRequests(c, func(n int, r *http.Request) string {
					if r.URL.Path == "/health" {
						return responseText(status, "")
					}
					runs.Add(1)
					return responseText(status, "") // the answer to the health check once more
				})
			})
			h := newHarness(t, testRoute(), []string{up.addr}, withEcho())
			_, _, err := h.entry.Ask(context.Background(), &h.pool, h.pool.Upstreams[0], "/health")
			is.NoErr(err)
			r := h.do("POST", "/", strings.NewReader("x"), testRequestID, "order")
			is.Equal(runs.Load(), int64(1))
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(r.header.Get(HeaderOutcome), "")
		})
	}
}
