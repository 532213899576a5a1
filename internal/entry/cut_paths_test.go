package entry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// cutResponses are the starts of responses after which their upstream ends the connection, by how that is counted. Their body
// is "part".
var cutResponses = map[string]struct {
	response string
	reset    bool
}{
	"reset":     {"HTTP/1.1 200 OK\r\n" + statedLoad + "\r\npart", true},
	"early-end": {"HTTP/1.1 200 OK\r\n" + statedLoad + "Content-Length: 9\r\n\r\npart", false},
}

const statedLoad = "Turmericsail-Load: in_flight=0, slots=9, state=ok\r\n"

// newCuttingUpstream sends a response, and ends the connection once the response has been read.
func newCuttingUpstream(t *testing.T, response string, reset bool) string {
	return serveScript(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, response)
		time.Sleep(5 * time.Millisecond)
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	})
}

// syncBuffer is a bytes.Buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.WriteString(line + "\n")
}

// linesWith returns the lines that contain a text.
func (b *syncBuffer) linesWith(text string) (lines []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against a response that was cut short and counts in favour of its upstream, or whose end is neither counted nor logged.
func TestCutResponseIsALostOne(t *testing.T) {
	for reason, c := range cutResponses {
		for _, identified := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, identity %t", reason, identified), func(t *testing.T) {
				is := is.New(t)
				seen, claims, log := &observations{upstream: "u1"}, &memoryClaims{}, &syncBuffer{}
				h := newHarness(t, testRoute(), []string{newCuttingUpstream(t, c.response, c.reset)},
					withPorts(func(p *Ports) { p.Claims, p.Observers = claims, []Observer{seen} }),
					withSettings(func(s *settings.Settings) { s.Log.Requests = true }),
					func(_ *settings.Settings, _ *Ports, e *Entry) {
						if e != nil {
							e.log = funcr.New(func(prefix, args string) { log.add(prefix + args) }, funcr.Options{Verbosity: 9})
						}
					})
				counter := metrics.GetOrCreateCounter(fmt.Sprintf("turmericsail_cut_responses_total{source=%q,reason=%q}", "upstream", reason))
				before := counter.Get()
				var header []string
				if identified {
					header = identity
				}
				r := h.do(http.MethodPost, "/", nil, header...)
				if identified { // the whole response is read first
					is.NoErr(r.err)
					is.Equal(r.status, 502)
					is.Equal(r.outcome(), string(Unknown))
					repeat := h.do(http.MethodPost, "/", nil, header...)
					is.Equal(repeat.status, 409)
					is.Equal(claims.released, 0)
				} else {
					is.True(r.err != nil)
				}
				for h.entry.Running() > 0 {
					time.Sleep(time.Millisecond)
				}
				is.Equal(counter.Get()-before, uint64(1))
				list := seen.all()
				last := list[len(list)-1]
				is.Equal(last.Result.Ending, EndLost)
				is.Equal(last.Result.Status, 0)
				is.Equal(last.Load, "")
				is.Equal(len(log.linesWith(`"error"="response cut short: `)), 1)
				is.Equal(len(log.linesWith(`"cause"="response cut short: `)), 1)
			})
		}
	}
}

// Guards against an aborted response whose request log does not name the cause.
func TestAbortNamesItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		cause string
		read  bool
	}{"stall": {errStalled.Error(), true}, "slow caller": {errSlowCaller.Error(), false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &syncBuffer{}
			upstream := serveScript(t, func(up *net.TCPConn) {
				_, err := io.WriteString(up, "HTTP/1.1 200 OK\r\n\r\n")
				for !c.read && err == nil {
					_, err = io.WriteString(up, part)
				}
				_, _ = up.Read(make([]byte, 1))
			})
			h := newHarness(t, testRoute(), []string{upstream}, withSettings(func(s *settings.Settings) { s.Log.Requests = true }),
				withTiming(func(tm *timing) { tm.responseStall = 100 * time.Millisecond }))
			h.entry.log = funcr.New(func(prefix, args string) { log.add(prefix + args) }, funcr.Options{Verbosity: 9})
			conn := sendHTTP10(t, h.addr, false, "")
			if c.read {
				_, _ = io.Copy(io.Discard, conn)
			}
			for len(log.linesWith(`"aborted"=true`)) == 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(len(log.linesWith(fmt.Sprintf(`"cause"=%q`, c.cause))), 1)
		})
	}
}

// Guards against a part of a response that is stored as a whole one for the repeats of its request.
func TestResponseCutDuringAnUploadIsNotRecorded(t *testing.T) {
	is := is.New(t)
	const plays = 240
	u := respchecktest.ServeEarly(t, "HTTP/1.1 200 X\r\n\r\npart", respchecktest.Reset)
	claims := &memoryClaims{}
	h := newHarness(t, testRoute(), []string{u.Address}, withPorts(func(p *Ports) { p.Claims = claims }))
	var n atomic.Int64
	send := func(address, method string, chunked bool) (int, string, error) {
		return rawUpload("HTTP/1.1", fmt.Sprintf("Idempotency-Key: k%d\r\n", n.Add(1)))(address, http.MethodPost, chunked)
	}
	whole := playUploads(t, h, send, plays, func(got int, _ string, err error) bool { return err != nil || got != 200 })
	t.Logf("%d of %d were whole for the caller", whole, plays)
	claims.mu.Lock()
	defer claims.mu.Unlock()
	stored := 0
	for _, record := range claims.records {
		if record.state != ClaimUnknown {
			stored++
		}
	}
	t.Logf("%d of %d were stored", stored, plays)
	is.Equal(whole, int64(0))
	is.Equal(stored, 0)
	is.Equal(u.Requests.Load(), int64(plays))
}

// Guards against a response that another instance cuts, and that is whole for the caller of the instance that asked.
func TestCutResponseToARelayedRequestIsNotWhole(t *testing.T) {
	const plays = 60
	for protocol, send := range uploaders() {
		for _, end := range []respchecktest.End{respchecktest.Reset, respchecktest.Unread} {
			t.Run(fmt.Sprintf("%s/%s", protocol, end), func(t *testing.T) {
				is := is.New(t)
				u := respchecktest.ServeEarly(t, "HTTP/1.1 200 X\r\n\r\npart", end)
				inner := newHarness(t, homeRoute(), []string{u.Address}, withSettings(func(s *settings.Settings) { s.Region = "south" }))
				inner.pool.Upstreams[0].Region = "south"
				inner.apply()
				outer := newHarness(t, homeRoute(), []string{closedAddress(t)}, withPorts(func(p *Ports) { p.Relay = &pipeRelay{inner: inner.entry} }))
				whole := playUploads(t, outer, send, plays, func(got int, _ string, err error) bool { return err != nil || got != 200 })
				t.Logf("%d of %d were whole for the caller", whole, plays)
				is.Equal(whole, int64(0))
				is.Equal(u.Requests.Load(), int64(plays))
			})
		}
	}
}

// Guards against a cut response to one of two copies that is whole for the caller.
func TestCutResponseToOneCopyIsNotWhole(t *testing.T) {
	for reason, c := range cutResponses {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			silent := serveScript(t, func(up *net.TCPConn) { _, _ = up.Read(make([]byte, 1)) })
			h := newHarness(t, testRoute(), []string{silent, newCuttingUpstream(t, c.response, c.reset)}, withPorts(func(p *Ports) {
				p.Placement, p.Hedger = &inOrder{}, &scriptedPlanner{plans: []HedgePlan{{Send: true}}}
			}))
			r := h.do("GET", "/", nil)
			is.True(r.err != nil)
		})
	}
}

// Guards against a resumed download that ends in order where the connection to its second upstream was cut.
func TestCutResponseToAResumedDownloadIsNotWhole(t *testing.T) {
	const first = "HTTP/1.1 200 X\r\nEtag: \"v1\"\r\nAccept-Ranges: bytes\r\nContent-Length: 10\r\n\r\n1234"
	const second = "HTTP/1.1 206 X\r\nEtag: \"v1\"\r\nContent-Range: bytes 4-9/10\r\n"
	for name, c := range map[string]struct {
		second string
		reset  bool
	}{
		"reset":            {second + "Content-Length: 6\r\n\r\n567", true},
		"early end":        {second + "Content-Length: 6\r\n\r\n567", false},
		"reset, no length": {second + "\r\n567", true},
		"end, no length":   {second + "\r\n567", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{newCuttingUpstream(t, first, false), newCuttingUpstream(t, c.second, c.reset)},
				withPorts(func(p *Ports) { p.Placement = &laterUpstreams{} }))
			r := h.do("GET", "/", nil)
			is.True(r.err != nil)
			is.True(strings.HasPrefix("1234567890", r.body))
		})
	}
}
