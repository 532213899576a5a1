package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// refuseAfterLoss admits requests until one loses its upstream.
type refuseAfterLoss struct{ lost, held atomic.Int64 }

func (q *refuseAfterLoss) Admit(context.Context, *table.Route, Fingerprint) (Admission, bool) {
	if q.lost.Load() > 0 {
		return Admission{}, false
	}
	q.held.Add(1)
	return Admission{Done: func() { q.held.Add(-1) }}, true
}

func (q *refuseAfterLoss) Suspected(*table.Route, Fingerprint) bool { return false }

func (q *refuseAfterLoss) Ended(_ *table.Route, _ Fingerprint, end RunEnd) {
	if end.Lost {
		q.lost.Add(1)
	}
}

// Guards against a retry of a request that was quarantined when it lost an upstream:
// the retry could crash another one.
func TestRetryIsNotSentInQuarantine(t *testing.T) {
	is := is.New(t)
	var addresses []string
	var requests atomic.Int64
	for range 2 {
		u := newRawUpstream(t, func(_ int64, c net.Conn) {
			if n, _ := c.Read(make([]byte, 4096)); n > 0 {
				requests.Add(1)
			}
			_ = c.Close()
		})
		addresses = append(addresses, u.addr)
	}
	q := &refuseAfterLoss{}
	h := newHarness(t, testRoute(), addresses, withPorts(func(p *Ports) { p.Quarantine = q }))
	got := h.do("GET", "/", nil)
	is.Equal(got.status, 503)
	is.Equal(got.outcome(), "unknown") // the first attempt may have run
	is.Equal(requests.Load(), int64(1))
	is.Equal(q.held.Load(), int64(0))
}

// Guards against a caller that waits for the refusal of a request whose upstream was lost before the caller has sent the whole
// body.
func TestLossDuringAnUploadIsAnsweredAtOnce(t *testing.T) {
	const bound = time.Second
	is := is.New(t)
	upstream := newRawUpstream(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	})
	route := testRoute()
	route.Retry.MaxAttempts = 1
	h := newHarness(t, route, []string{upstream.addr})
	c, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(bound)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// Guards against a connection that a refused caller holds for as long as it pauses in the middle of its body.
func TestRefusalDuringAnUploadClosesTheConnection(t *testing.T) {
	const bound = 2 * time.Second
	is := is.New(t)
	upstream := newRawUpstream(t, func(_ int64, c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_ = c.Close()
	})
	h := newHarness(t, testRoute(), []string{upstream.addr})
	c, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n"))
	is.NoErr(err)
	end := time.Now().Add(bound)
	is.NoErr(c.SetReadDeadline(end))
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 502 "))
	for h.entry.CallerUse().Connections > 0 {
		is.True(time.Now().Before(end)) // the connection is held although its caller sends nothing
		time.Sleep(time.Millisecond)
	}
}

// Guards against sending a suspect request again to an upstream that it may have
// crashed: that upstream could be lost again without new evidence against the request.
func TestSuspectAvoidsLostUpstreams(t *testing.T) {
	pool := table.Pool{Name: "p", UpstreamsOut: []string{"c"}, Upstreams: []table.Upstream{
		{ID: "a", Region: "north"}, {ID: "b", Region: "north"}, {ID: "c", Region: "north"}, {ID: "d", Region: "south"},
	}}
	for _, c := range []struct {
		name              string
		home, tried, lost []string
		want              []string
	}{
		{"no loss", nil, []string{"a"}, nil, []string{"a"}},
		{"another is left", nil, nil, []string{"a"}, []string{"a"}},
		{"with an earlier attempt", nil, []string{"b"}, []string{"a"}, []string{"b", "a"}},
		{"none is left in the home regions", []string{"north"}, nil, []string{"a", "b"}, nil},
		{"the one left is outside the home regions", []string{"north"}, []string{"b"}, []string{"a"}, []string{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(withoutLosses(&pool, &table.Route{HomeRegions: c.home}, c.tried, c.lost), c.want)
		})
	}
}
