package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// memoryClaims is a Claims that keeps its records in memory.
type memoryClaims struct {
	mu          sync.Mutex
	records     map[string]*memoryTicket
	unreachable bool // records cannot be read
	failRelease bool // releases fail
	sendBy      time.Time
	released    int
}

type memoryTicket struct {
	c      *memoryClaims
	key    string
	digest [32]byte
	state  ClaimState
	answer *StoredResponse
}

func (c *memoryClaims) Begin(_ context.Context, r ClaimRequest) (ClaimState, Ticket, *StoredResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		return "", nil, nil, fault.New(fault.Unavailable, "down", "wait")
	}
	if t := c.records[r.Identity]; t != nil {
		if t.digest != r.Digest {
			return ClaimMismatch, nil, nil, nil
		}
		return t.state, nil, t.answer, nil
	}
	t := &memoryTicket{c: c, key: r.Identity, digest: r.Digest, state: ClaimUnknown}
	if c.records == nil {
		c.records = map[string]*memoryTicket{}
	}
	c.records[r.Identity] = t
	return ClaimGranted, t, nil, nil
}

func (t *memoryTicket) MaySend(now time.Time) bool {
	return t.c.sendBy.IsZero() || now.Before(t.c.sendBy)
}

func (t *memoryTicket) Finish(_ context.Context, a *StoredResponse) error {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	t.state, t.answer = ClaimAnswered, a
	if a.Dropped {
		t.state, t.answer = ClaimRan, nil
	}
	return nil
}

func (t *memoryTicket) NotRun(context.Context) error {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.c.failRelease {
		return fault.New(fault.OutcomeUnknown, "lost", "wait")
	}
	t.c.released++
	delete(t.c.records, t.key)
	return nil
}

func (t *memoryTicket) Unknown(context.Context) error { return nil }

var identity = []string{"Idempotency-Key", "k1"}

// Guards against running a non-idempotent request twice and against a repeated request
// that gets a different response from the first one.
func TestRepeatGetsStoredResponse(t *testing.T) {
	for _, path := range []string{"/book", "/bytes?size=65536", "/bytes?size=65537"} {
		is := is.New(t)
		up := standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4})
		claims := &memoryClaims{}
		h := newHarness(t, testRoute(), []string{serveUpstream(t, up)}, withPorts(func(p *Ports) { p.Claims = claims }))
		first := h.do("POST", path, strings.NewReader("x"), identity...)
		is.NoErr(first.err)
		is.Equal(first.status, 200)
		repeat := h.do("POST", path, strings.NewReader("x"), identity...)
		if path == "/bytes?size=65537" { // too large to keep
			is.Equal(len(first.body), 65537)
			is.Equal(repeat.status, http.StatusConflict)
			is.Equal(repeat.outcome(), string(Unknown))
		} else {
			is.Equal(repeat.body, first.body)
			is.Equal(repeat.header.Get("Content-Type"), first.header.Get("Content-Type"))
		}
		is.Equal(up.Runs()["k1"], 1)
		other := h.do("POST", "/other", nil, identity...)
		is.Equal(other.status, http.StatusUnprocessableEntity)
	}
}

// Guards against a false not-run outcome for a request with an identity: it requires
// that the exchange was granted the claim and released it.
func TestOutcomeWithIdentity(t *testing.T) {
	for _, c := range []struct {
		name    string
		claims  *memoryClaims
		up      string
		outcome Outcome
		left    int // records that remain
	}{
		{"records unreachable", &memoryClaims{unreachable: true}, "ok", Unknown, 0},
		{"connection refused, released", &memoryClaims{}, "closed", NotRun, 0},
		{"connection refused, release failed", &memoryClaims{failRelease: true}, "closed", Unknown, 1},
		{"claim too old to send", &memoryClaims{sendBy: time.Now().Add(-time.Second)}, "ok", NotRun, 0},
		{"lost", &memoryClaims{}, "lose", Unknown, 1},
		{"shed", &memoryClaims{}, "shed", NotRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := closedAddress(t)
			switch c.up {
			case "lose":
				address = newDroppingUpstream(t).addr
			case "shed":
				address = newAnsweringUpstream(t, shedResponse).addr
			case "ok":
				address = newAnsweringUpstream(t, okResponse).addr
			}
			h := newHarness(t, testRoute(), []string{address}, withPorts(func(p *Ports) { p.Claims = c.claims }))
			r := h.do("POST", "/", nil, identity...)
			is.NoErr(r.err)
			is.True(r.status >= 500)
			is.Equal(r.outcome(), string(c.outcome))
			is.Equal(len(c.claims.records), c.left)
		})
	}
	t.Run("refused before the claim", func(t *testing.T) {
		is := is.New(t)
		route := testRoute()
		route.MaxBody = 1
		h := newHarness(t, route, []string{closedAddress(t)}, withPorts(func(p *Ports) { p.Claims = &memoryClaims{} }))
		is.Equal(h.do("POST", "/", strings.NewReader("xx"), identity...).outcome(), string(Unknown))
		is.Equal(h.do("POST", "/", strings.NewReader("xx")).outcome(), string(NotRun))
	})
}

// Guards against storing a truncated response and replaying it to repeated requests.
func TestTruncatedResponseIsNotStored(t *testing.T) {
	is := is.New(t)
	claims := &memoryClaims{}
	up := newAnsweringUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	h := newHarness(t, testRoute(), []string{up.addr}, withPorts(func(p *Ports) { p.Claims = claims }))
	r := h.do("POST", "/", nil, identity...)
	is.Equal(r.status, 502)
	is.Equal(r.outcome(), string(Unknown))
	is.Equal(claims.records["\x00k1"].state, ClaimUnknown)
	is.Equal(h.do("POST", "/", nil, identity...).status, http.StatusConflict)
	is.Equal(up.conns.Load(), int64(1))
}

// Guards against hedging requests that must not run twice, against a losing attempt
// that keeps running, and against hedges that do not shorten the response time.
func TestHedge(t *testing.T) {
	is := is.New(t)
	slow := standin.NewUpstream(standin.UpstreamConfig{ID: "slow", Slots: 4, ServiceTime: time.Hour})
	fast := standin.NewUpstream(standin.UpstreamConfig{ID: "fast", Slots: 4})
	route := testRoute()
	route.Hedge.After = table.Duration(10 * time.Millisecond)
	h := newHarness(t, route, []string{serveUpstream(t, slow), serveUpstream(t, fast)}, withPorts(func(p *Ports) { p.Placement = &inOrder{} }))
	r := h.do("GET", "/", nil)
	is.NoErr(r.err)
	is.True(strings.Contains(r.body, `"upstream":"fast"`))
	awaitIdle(t, slow)
	is.Equal(slow.Counts().Cancelled, uint64(1))
	resp, err := h.client.Get(h.url + "/bytes?size=400000&rate=200000")
	is.NoErr(err)
	awaitIdle(t, slow)
	is.Equal(fast.Counts().InFlight, 1) // the loser was cancelled immediately, not at the end of the response
	_ = resp.Body.Close()
	is.Equal(h.do("POST", "/", strings.NewReader("x"), HeaderDeadline, "60").status, 504)
	is.Equal(fast.Counts().Requests, uint64(2)) // no copy of the POST
}

// Guards against an upstream that counts as lost because the caller left, or because the response stalled, while the response
// was read for the record.
func TestEndWhileAResponseIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name  string
		stall time.Duration
		leave bool
		want  Ending
	}{
		{"caller left", time.Minute, true, EndCancelled},
		{"stalled", 100 * time.Millisecond, false, EndTimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began, hold := make(chan struct{}, 1), make(chan struct{})
			t.Cleanup(func() { close(hold) })
			u := newRawUpstream(t, func(_ int64, conn net.Conn) {
				if _, err := readRequest(conn); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nser")
					began <- struct{}{}
					<-hold
				}
			})
			ended := &endings{seen: make(chan struct{}, 10)}
			claims := &memoryClaims{}
			h := newHarness(t, testRoute(), []string{u.addr}, withPorts(func(p *Ports) { p.Claims, p.Observers = claims, []Observer{ended} }),
				withTiming(func(s *timing) { s.responseStall = c.stall }))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url, nil)
			is.NoErr(err)
			req.Header.Set(identity[0], identity[1])
			go func() {
				if resp, err := h.client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			<-began
			time.Sleep(50 * time.Millisecond) // the response is read now
			if c.leave {
				cancel()
			}
			select {
			case <-ended.seen:
			case <-time.After(10 * time.Second):
				t.Fatal("the attempt does not end")
			}
			ended.mu.Lock()
			defer ended.mu.Unlock()
			is.Equal(ended.list[0].Result.Ending, c.want)
		})
	}
}
