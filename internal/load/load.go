// Package load generates open-loop load: requests are sent at times that do not
// depend on earlier answers, as by many independent callers, and latency is measured
// from the time at which the request was due. A stall of the server therefore shows
// in the latencies of all requests that became due during the stall.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// Config describes a load.
type Config struct {
	// Targets lists the base URLs, used in rotation.
	Targets []string
	// Path is appended to the target.
	Path string
	// Method is the HTTP method. Default GET.
	Method string
	// Body is sent with each request when not empty.
	Body []byte
	// Header is sent with each request.
	Header http.Header
	// Rate is the number of requests per second.
	Rate float64
	// Poisson selects exponentially distributed times between requests. Otherwise they are constant.
	Poisson bool
	// Duration is the time over which requests are started. Zero means until ctx ends or Requests is reached.
	Duration time.Duration
	// Requests is the largest number of requests, not counting repeats. Zero means no bound.
	Requests int
	// Timeout is the time-out of each request. Default 30s.
	Timeout time.Duration
	// IdentityHeader names a header for an identity that is unique to a request and its repeats. Empty means none.
	IdentityHeader string
	// Repeats is the number of further requests with the same identity, each sent after the answer to the one before.
	Repeats int
	// HTTP2 selects HTTP/2; for http targets it is sent over plain TCP without an upgrade. Otherwise HTTP/1.1 is used.
	HTTP2 bool
	// Transport sends the requests. By default one is created for the selected protocol.
	Transport http.RoundTripper
	// Seed makes the arrivals and identities reproducible. Zero selects a random seed.
	Seed uint64
	// MaxInFlight bounds the requests in flight, so that the generator does not exhaust its own machine.
	// Requests above it are counted as dropped and not sent. Default 10000.
	MaxInFlight int

	// sleep replaces sleepUntil in tests.
	sleep func(ctx context.Context, due time.Time) bool
}

const (
	defaultTimeout     = 30 * time.Second
	defaultMaxInFlight = 10_000
)

func (c *Config) prepare() error {
	if len(c.Targets) == 0 || c.Rate <= 0 {
		return fault.New(fault.Invalid, "the load has no target or no rate", "give at least one target and a rate above zero")
	}
	if c.Duration < 0 || c.Requests < 0 || c.Repeats < 0 {
		return fault.New(fault.Invalid, "duration, requests or repeats are negative", "use zero or a positive value")
	}
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.sleep == nil {
		c.sleep = sleepUntil
	}
	if c.Transport == nil {
		c.Transport = newTransport(c.HTTP2)
	}
	c.Transport = respcheck.Target.Transport(c.Transport)
	return nil
}

func newTransport(h2 bool) http.RoundTripper {
	t := &http.Transport{
		DialContext: respcheck.Dial(new(net.Dialer).DialContext), MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute,
		DisableCompression: true, Protocols: new(http.Protocols),
	}
	t.Protocols.SetHTTP1(!h2)
	t.Protocols.SetHTTP2(h2)
	t.Protocols.SetUnencryptedHTTP2(h2)
	return t
}

// generator sends the requests of one Run.
type generator struct {
	cfg    Config
	random *rand.Rand
	result *Recorder
	slots  chan struct{}
}

// Run sends the load until it is complete or ctx ends, waits for the requests in
// flight and records the results.
func Run(ctx context.Context, cfg Config, result *Recorder) error {
	if err := cfg.prepare(); err != nil {
		return err
	}
	g := &generator{cfg, rand.New(rand.NewPCG(cfg.Seed, 0)), result, make(chan struct{}, cfg.MaxInFlight)}
	var wg sync.WaitGroup
	defer wg.Wait()
	begin := time.Now()
	due := begin
	for n := 0; cfg.Requests == 0 || n < cfg.Requests; n++ {
		if cfg.Duration > 0 && due.Sub(begin) >= cfg.Duration || !cfg.sleep(ctx, due) {
			return nil
		}
		at := due
		select {
		case g.slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-g.slots }()
				// Requests in flight are not cancelled when ctx ends, since they would count as failures.
				g.sendWithRepeats(context.WithoutCancel(ctx), n, at)
			})
		default:
			result.recordDropped()
		}
		due = due.Add(g.nextInterval())
	}
	return nil
}

func (g *generator) nextInterval() time.Duration {
	mean := float64(time.Second) / g.cfg.Rate
	if g.cfg.Poisson {
		return time.Duration(g.random.ExpFloat64() * mean)
	}
	return time.Duration(mean)
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// sendWithRepeats sends one request and its repeats, all with the same identity. A repeat is due
// when the previous attempt ends.
func (g *generator) sendWithRepeats(ctx context.Context, n int, due time.Time) {
	for attempt := 0; attempt <= g.cfg.Repeats; attempt++ {
		g.send(ctx, n, attempt, due)
		due = time.Now()
	}
}

func (g *generator) send(ctx context.Context, n, attempt int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	req, err := g.request(ctx, n, attempt)
	if err != nil {
		g.result.recordFailure(err)
		return
	}
	resp, err := g.cfg.Transport.RoundTrip(req)
	if err != nil {
		g.result.recordFailure(err)
		return
	}
	defer resp.Body.Close()
	head, err := readHead(resp.Body)
	if err != nil {
		g.result.recordFailure(fmt.Errorf("answer body: %w", err))
		return
	}
	g.result.recordResponse(req, resp, head, time.Since(due))
}

func (g *generator) request(ctx context.Context, n, attempt int) (*http.Request, error) {
	target := g.cfg.Targets[(n+attempt)%len(g.cfg.Targets)]
	req, err := http.NewRequestWithContext(ctx, g.cfg.Method, target+g.cfg.Path, bytes.NewReader(g.cfg.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range g.cfg.Header {
		req.Header[name] = values
	}
	if host := g.cfg.Header.Get("Host"); host != "" {
		req.Host = host // net/http ignores the header field
	}
	identity := fmt.Sprintf("%x-%d", g.cfg.Seed, n)
	if g.cfg.IdentityHeader != "" {
		req.Header.Set(g.cfg.IdentityHeader, identity)
	}
	req.Header.Set(EchoHeader, fmt.Sprintf("%s-%d", identity, attempt))
	return req, nil
}

// maxHeadBytes is the length of the start of an answer that is kept to check it.
const maxHeadBytes = 16 << 10

// readHead reads the whole body and returns its start.
func readHead(body io.Reader) ([]byte, error) {
	var head bytes.Buffer
	if _, err := io.CopyN(&head, body, maxHeadBytes); err != nil && err != io.EOF {
		return nil, err
	}
	_, err := io.Copy(io.Discard, body)
	return head.Bytes(), err
}
