package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// fixedRates admits or refuses every request.
type fixedRates struct {
	ok              bool
	after           time.Duration
	asked, released atomic.Int64
	late            atomic.Bool // of the last request
}

func (f *fixedRates) Admit(_ context.Context, w *table.Workspace, late bool) (func(), time.Duration, bool) {
	f.asked.Add(1)
	f.late.Store(late)
	if !f.ok {
		return nil, f.after, false
	}
	return func() { f.released.Add(1) }, 0, true
}

func limited(key string, rate float64) table.Workspace {
	w := acme(key)
	w.RatePerSecond = rate
	return w
}

// unread is a body that fails the test when it is read to its end.
type unread struct {
	t    *testing.T
	left int
}

func (u *unread) Read(p []byte) (int, error) {
	if u.left == 0 {
		u.t.Error("the whole body was read")
		return 0, io.EOF
	}
	n := min(len(p), u.left)
	u.left -= n
	return n, nil
}

// Guards against requests over the rate that run or whose body is read, against a Retry-After without fractions, and
// against rates that concern workspaces without one or requests without a key.
func TestRequestsOverTheRateAreRefused(t *testing.T) {
	rates := &fixedRates{after: 1250 * time.Millisecond}
	up := &recordingUpstream{}
	fine := DefaultProtocol()
	fine.FineRetryAfter = true
	route := testRoute()
	route.Public = true
	h := newHarness(t, route, []string{serveUpstream(t, up)}, withPorts(func(p *Ports) { p.Rates, p.Protocol = rates, &fine }))
	h.workspaces = []table.Workspace{limited("good", 10)}
	h.apply()

	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		r := h.do("POST", "/x", &unread{t, 64 << 20}, bearer("good")...)
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusTooManyRequests)
		is.Equal(r.outcome(), string(NotRun))
		is.Equal(r.header.Get("Retry-After"), "1.250")
		is.True(strings.Contains(r.body, `"kind":"over-quota"`))
		is.Equal(up.count(), 0)
		is.Equal(rates.asked.Load(), int64(1))
	})
	t.Run("without a key", func(t *testing.T) {
		is := is.New(t)
		is.Equal(h.do("GET", "/x", nil).status, 200)
		is.Equal(rates.asked.Load(), int64(1))
	})
	t.Run("without a rate", func(t *testing.T) {
		is := is.New(t)
		h.workspaces = []table.Workspace{limited("good", 0)}
		h.apply()
		is.Equal(h.do("GET", "/x", nil, bearer("good")...).status, 200)
		is.Equal(rates.asked.Load(), int64(1))
	})
}

// Guards against permissions that stay used although no upstream ran the request, and against ones that are returned for
// requests that ran.
func TestUnusedRateIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		upstreams func(t *testing.T) []string
		status    int
		released  int64
	}{
		"served":      {func(t *testing.T) []string { return []string{serveUpstream(t, &recordingUpstream{})} }, 200, 0},
		"no upstream": {func(*testing.T) []string { return nil }, 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rates := &fixedRates{ok: true}
			h := newHarness(t, testRoute(), c.upstreams(t), withPorts(func(p *Ports) { p.Rates = rates }))
			h.workspaces = []table.Workspace{limited("good", 10)}
			h.apply()
			is.Equal(h.do("GET", "/x", nil, bearer("good")...).status, c.status)
			is.Equal(rates.asked.Load(), int64(1))
			is.Equal(rates.released.Load(), c.released)
		})
	}
}

// Guards against requests that miss their target and are not told from others, so that they take scarce tokens.
func TestRatesLearnWhichRequestsAreLate(t *testing.T) {
	for name, c := range map[string]struct {
		target time.Duration
		late   bool
	}{"in time": {time.Minute, false}, "late": {time.Nanosecond, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rates, route := &fixedRates{ok: true}, testRoute()
			route.Target = table.Duration(c.target)
			h := newHarness(t, route, []string{serveUpstream(t, &recordingUpstream{})}, withPorts(func(p *Ports) { p.Rates = rates }))
			h.workspaces = []table.Workspace{limited("good", 10)}
			h.apply()
			is.Equal(h.do("GET", "/x", nil, bearer("good")...).status, 200)
			is.Equal(rates.late.Load(), c.late)
		})
	}
}
