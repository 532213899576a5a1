package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// delayedRetries allows each retry after a fixed delay.
type delayedRetries struct{ delay time.Duration }

func (delayedRetries) Request(*table.Pool, *table.Route) {}

func (d delayedRetries) Retry(r RetryRequest) (time.Duration, bool) { return d.delay, r.Attempt <= 3 }

// announcedRetries allows each retry after a fixed delay, and closes asked after the first quarter of it.
type announcedRetries struct {
	delayedRetries
	once  sync.Once
	asked chan struct{}
}

func (a *announcedRetries) Retry(r RetryRequest) (time.Duration, bool) {
	a.once.Do(func() { time.AfterFunc(a.delay/4, func() { close(a.asked) }) })
	return a.delayedRetries.Retry(r)
}

// newEarlyRejectingUpstream rejects each request as not run after some bytes of its body and then reads on.
func newEarlyRejectingUpstream(t testing.TB, after int64, answer string) *rawUpstream {
	return newRawUpstream(t, func(_ int64, c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, after)
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, r.Body)
	})
}

const keptShedResponse = "HTTP/1.1 503 Busy\r\nTurmericsail-Outcome: not-run\r\nContent-Length: 4\r\n\r\nbusy"

// bodyRecorder keeps the bodies of requests that arrived as complete.
type bodyRecorder struct {
	mu     sync.Mutex
	bodies [][]byte
}

func (b *bodyRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies = append(b.bodies, body)
	_, _ = io.WriteString(w, "ok")
}

func (b *bodyRecorder) received() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bodies
}

// pacedReader returns a body in pieces with pauses before them. Its type hides its length, so that it is sent in chunks.
type pacedReader struct {
	rest  []byte
	piece int
	pause time.Duration
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(p.pause)
	n := copy(b, p.rest[:min(p.piece, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}

// gatedReader returns the first bytes of a body at once and the rest when the gate has opened, or after some seconds. Its type
// hides its length, so that it is sent in chunks.
type gatedReader struct {
	first, rest io.Reader
	gate        <-chan struct{}
}

func (g *gatedReader) Read(b []byte) (int, error) {
	if n, err := g.first.Read(b); err != io.EOF {
		return n, err
	}
	select {
	case <-g.gate:
	case <-time.After(5 * time.Second):
	}
	return g.rest.Read(b)
}

func randomBytes(n int, seed uint64) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}).Read(b)
	return b
}

// Guards against an upstream that runs a request with the start of its body only: the attempt before was rejected early and
// went on reading the body past the kept bytes until the retry began. The caller sends more than the first kept bytes only
// during the delay of the retry, so that the rejection arrives in time however slow the machine is.
func TestRetryHasTheWholeBody(t *testing.T) {
	h2c := new(http.Protocols)
	h2c.SetUnencryptedHTTP2(true)
	for name, c := range map[string]struct {
		protocols *http.Protocols
		length    bool // the request states the length of its body
		answer    string
	}{
		"chunks":               {answer: keptShedResponse},
		"stated length":        {length: true, answer: keptShedResponse},
		"HTTP/2":               {protocols: h2c, answer: keptShedResponse},
		"HTTP/2, length":       {protocols: h2c, length: true, answer: keptShedResponse},
		"after an interim one": {answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + keptShedResponse},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			runs := &bodyRecorder{}
			retries := &announcedRetries{delayedRetries: delayedRetries{200 * time.Millisecond}, asked: make(chan struct{})}
			addresses := []string{newEarlyRejectingUpstream(t, 1000, c.answer).addr, serveUpstream(t, runs)}
			h := newHarness(t, testRoute(), addresses, withPorts(func(p *Ports) {
				p.Placement, p.Retries = inOrder{}, retries
			}))
			body := randomBytes(4*replayLimit, 1)
			req, err := http.NewRequest(http.MethodPost, h.url, &gatedReader{bytes.NewReader(body[:replayLimit/2]), bytes.NewReader(body[replayLimit/2:]), retries.asked})
			is.NoErr(err)
			if c.length {
				req.ContentLength = int64(len(body))
			}
			client := &http.Client{Transport: &http.Transport{Protocols: c.protocols}}
			defer client.CloseIdleConnections()
			resp, err := client.Do(req)
			is.NoErr(err)
			answer, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			if resp.StatusCode != http.StatusOK {
				t.Logf("answered %s", answer)
			}
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(len(runs.received()), 1)
			is.True(bytes.Equal(runs.received()[0], body))
		})
	}
}

// Guards against an upstream that runs a request with another body than the caller's, and against a refusal that says
// "not run" of one that ran, whatever the size and the pace of the body and the moment at which another upstream rejects it.
func TestUpstreamRunsWholeBodiesOnly(t *testing.T) {
	runs := &bodyRecorder{}
	sound := serveUpstream(t, runs)
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 4*replayLimit).Draw(rt, "size")
		piece := rapid.IntRange(4<<10, 2*replayLimit).Draw(rt, "piece")
		pause := time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Microsecond
		after := rapid.Int64Range(0, 3*replayLimit).Draw(rt, "rejected after")
		delay := time.Duration(rapid.IntRange(0, 20).Draw(rt, "delay")) * time.Millisecond
		length := rapid.Bool().Draw(rt, "stated length")
		h := newHarness(t, testRoute(), []string{newEarlyRejectingUpstream(t, after, keptShedResponse).addr, sound}, withPorts(func(p *Ports) {
			p.Placement, p.Retries = inOrder{}, delayedRetries{delay}
		}))
		before := len(runs.received())
		body := randomBytes(size, uint64(size))
		req, err := http.NewRequest(http.MethodPost, h.url, &pacedReader{rest: body, piece: piece, pause: pause})
		if err != nil {
			rt.Fatal(err)
		}
		if length {
			req.ContentLength = int64(size)
		}
		resp, err := h.client.Do(req)
		var status string
		if err == nil {
			status = fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(HeaderOutcome))
			_ = resp.Body.Close()
		}
		ran := runs.received()[before:]
		switch {
		case len(ran) > 1:
			rt.Fatalf("ran %d times", len(ran))
		case len(ran) == 1 && !bytes.Equal(ran[0], body):
			rt.Fatalf("ran with %d of %d bytes, answered %s", len(ran[0]), size, status)
		case len(ran) == 1 && status != "200 ":
			rt.Fatalf("ran and was answered %s (error %v)", status, err)
		case len(ran) == 0 && status != "503 not-run":
			rt.Fatalf("did not run and was answered %s (error %v)", status, err)
		}
	})
}
