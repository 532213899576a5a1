package probe

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// Result is the outcome of one active probe.
type Result struct {
	// OK is set if the health endpoint responded with a 2xx status.
	OK bool
	// Load is the load report of the answer; HasLoad is false if there was none.
	Load    Load
	HasLoad bool
	// Reused is set if the probe reused an existing connection.
	Reused bool
}

// Checker sends a single probe. An unreachable upstream is a result, not an error.
type Checker interface {
	Check(ctx context.Context, t Target) Result
}

// HTTPChecker probes with GET requests.
type HTTPChecker struct {
	// Client sends the requests; its transport keeps connections open between probes. All checkers without one share a client.
	Client *http.Client
}

// idleConnTimeout is the time without probes after which the shared client closes a connection.
const idleConnTimeout = time.Minute

var sharedClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleConnTimeout}}

var _ Checker = HTTPChecker{}

// maxBodyBytes is how much of the response body is read, so that the connection can be reused.
const maxBodyBytes = 4 << 10

// Check implements Checker.
func (c HTTPChecker) Check(ctx context.Context, t Target) Result {
	var r Result
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { r.Reused = info.Reused },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+t.Path, nil)
	if err != nil {
		return r
	}
	response, err := respcheck.Health.Client(cmp.Or(c.Client, sharedClient)).Do(request)
	if err != nil {
		return r
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		return r
	}
	r.OK = response.StatusCode/100 == 2
	r.Load, r.HasLoad = ParseLoad(response.Header.Get(Header), time.Now())
	return r
}
