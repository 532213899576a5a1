package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// EchoHeader carries the request ID. If the upstream echoes it, as a header or as
// the field "request" of a JSON answer, answers that belong to another request are
// detected.
const EchoHeader = "X-Request-Id"

// outcomeHeader is the header of answers that turmericsail itself generated, not an upstream.
const outcomeHeader = "Turmericsail-Outcome"

// Recorder collects the results of a load. It is safe for concurrent use and can be
// read while the load runs.
type Recorder struct {
	latency   Histogram
	mu        sync.Mutex
	counts    Counts
	upstreams map[string]uint64
}

// Counts holds the numbers of requests by their result.
type Counts struct {
	// Succeeded counts answers below status 400.
	Succeeded uint64 `json:"succeeded"`
	// Refused counts refusals by "outcome/kind".
	Refused map[string]uint64 `json:"refused"`
	// Status counts other answers with status 400 and above, by status.
	Status map[int]uint64 `json:"status"`
	// Wrong counts answers whose echoed ID is that of another request.
	Wrong uint64 `json:"wrong"`
	// Unchecked counts successes without an echoed ID.
	Unchecked uint64 `json:"unchecked"`
	// Failed counts requests without a complete answer, by reason.
	Failed map[string]uint64 `json:"failed"`
	// Dropped counts requests that were not sent because MaxInFlight was reached.
	Dropped uint64 `json:"dropped"`
}

// Summary holds the results of a load up to now. Latencies are those of successes.
type Summary struct {
	Counts
	Mean time.Duration `json:"mean_ns"`
	P50  time.Duration `json:"p50_ns"`
	P90  time.Duration `json:"p90_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	Max  time.Duration `json:"max_ns"`
	// Upstreams counts successes by the upstream named in the answer.
	Upstreams map[string]uint64 `json:"upstreams"`
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		counts:    Counts{Refused: map[string]uint64{}, Status: map[int]uint64{}, Failed: map[string]uint64{}},
		upstreams: map[string]uint64{},
	}
}

// Latency returns the histogram of the latencies of successes.
func (r *Recorder) Latency() *Histogram { return &r.latency }

// Summary returns the results up to now.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Refused, c.Status, c.Failed = maps.Clone(c.Refused), maps.Clone(c.Status), maps.Clone(c.Failed)
	h := &r.latency
	return Summary{
		Counts: c, Mean: h.Mean(), P50: h.Quantile(0.5), P90: h.Quantile(0.9), P99: h.Quantile(0.99),
		P999: h.Quantile(0.999), Max: h.Max(), Upstreams: maps.Clone(r.upstreams),
	}
}

// Unsuccessful returns the number of requests that were refused, failed, dropped, or got a
// wrong answer or one with status 400 and above.
func (c *Counts) Unsuccessful() uint64 {
	n := c.Wrong + c.Dropped
	for _, k := range c.Refused {
		n += k
	}
	for _, k := range c.Status {
		n += k
	}
	for _, k := range c.Failed {
		n += k
	}
	return n
}

// Write prints the summary as text.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "succeeded %d, wrong answers %d, not echoed %d, dropped by the generator %d\n", s.Succeeded, s.Wrong, s.Unchecked, s.Dropped)
	fmt.Fprintf(w, "latency mean %v  p50 %v  p90 %v  p99 %v  p99.9 %v  max %v\n", s.Mean.Round(time.Microsecond),
		s.P50.Round(time.Microsecond), s.P90.Round(time.Microsecond), s.P99.Round(time.Microsecond), s.P999.Round(time.Microsecond), s.Max.Round(time.Microsecond))
	for _, k := range slices.Sorted(maps.Keys(s.Refused)) {
		fmt.Fprintf(w, "refused %s: %d\n", k, s.Refused[k])
	}
	for _, k := range slices.Sorted(maps.Keys(s.Status)) {
		fmt.Fprintf(w, "status %d: %d\n", k, s.Status[k])
	}
	for _, k := range slices.Sorted(maps.Keys(s.Failed)) {
		fmt.Fprintf(w, "failed, %s: %d\n", k, s.Failed[k])
	}
}

func (r *Recorder) recordDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Dropped++
}

func (r *Recorder) recordFailure(err error) {
	reason := "no answer"
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = "time-out"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, respcheck.ErrCut):
		reason = "answer cut off"
	case errors.Is(err, respcheck.ErrMalformed):
		reason = "malformed answer"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Failed[reason]++
}

// responseBody holds the fields of a JSON answer that are evaluated: the request ID and
// the upstream ID from a stand-in upstream, or the kind of a refusal.
type responseBody struct {
	Request  string `json:"request"`
	Upstream string `json:"upstream"`
	Kind     string `json:"kind"`
}

func (r *Recorder) recordResponse(req *http.Request, resp *http.Response, head []byte, latency time.Duration) {
	var b responseBody
	_ = json.Unmarshal(head, &b) // an answer that is not JSON has no echo in its body
	echo := resp.Header.Get(EchoHeader)
	if echo == "" {
		echo = b.Request
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := resp.Header.Get(outcomeHeader)
	switch {
	case resp.StatusCode >= 400 && outcome != "":
		r.counts.Refused[outcome+"/"+b.Kind]++
	case resp.StatusCode >= 400:
		r.counts.Status[resp.StatusCode]++
	case echo != "" && !sameRequest(echo, req.Header.Get(EchoHeader)):
		r.counts.Wrong++
	default:
		r.counts.Succeeded++
		if echo == "" {
			r.counts.Unchecked++
		}
		if b.Upstream != "" {
			r.upstreams[b.Upstream]++
		}
		r.latency.Add(latency)
	}
}

// sameRequest compares request IDs without the attempt number: a repeat may get the
// stored answer of the first attempt.
func sameRequest(a, b string) bool { return identityOf(a) == identityOf(b) }

func identityOf(id string) string {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '-' {
			return id[:i]
		}
	}
	return id
}
