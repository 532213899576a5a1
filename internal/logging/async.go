package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

const (
	// queueLines bounds the lines that wait to be written: about a second of the busiest traffic of one instance.
	queueLines = 4096
	// routineRate and routineBurst bound the lines of verbosity 1, in lines a second. An instance that
	// serves 60 requests a second writes all of them.
	routineRate  = 250
	routineBurst = 500
	// reportInterval is the time between two lines about lines that were left out.
	reportInterval = time.Second
)

// Async writes lines without ever blocking the goroutine that logs. When the
// output does not keep up, lines are dropped, counted and the count is logged.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	skipped atomic.Int64
	total   *metrics.Counter
	done    chan struct{}
	stop    sync.Once
}

var _ io.Writer = (*Async)(nil)

// NewAsync starts a writer to out. Close ends it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), total: metrics.GetOrCreateCounter("turmericsail_log_lines_dropped_total")}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
		a.total.Inc()
	}
	return len(p), nil
}

func (a *Async) run() {
	defer close(a.done)
	next := time.Now()
	for line := range a.lines {
		if line == nil {
			return
		}
		a.write(line)
		if now := time.Now(); now.After(next) {
			a.report(now)
			next = now.Add(reportInterval)
		}
	}
}

// write ignores errors: there is no other place to report them.
func (a *Async) write(line []byte) { _, _ = a.out.Write(line) }

func (a *Async) report(now time.Time) {
	dropped, skipped := a.dropped.Swap(0), a.skipped.Swap(0)
	if dropped+skipped == 0 {
		return
	}
	a.write(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines left out\",\"dropped\":%d,\"sampled\":%d}\n", now.Format(time.RFC3339Nano), dropped, skipped))
}

// closeWait bounds the time for the lines that wait when the process ends.
const closeWait = 200 * time.Millisecond

// Close writes what waits, for a short time at most.
func (a *Async) Close() {
	a.stop.Do(func() {
		select {
		case a.lines <- nil:
		case <-time.After(closeWait):
			return
		}
		select {
		case <-a.done:
		case <-time.After(closeWait):
		}
	})
}

// NewSampled returns a logger that writes JSON lines through a. Lines of
// verbosity 1, which tell of usual events, are sampled above a rate; lines of
// verbosity 0 are never sampled.
func NewSampled(a *Async) logr.Logger {
	h := slog.NewJSONHandler(a, &slog.HandlerOptions{Level: slog.Level(-1)})
	return logr.FromSlogHandler(&sampler{Handler: h, bucket: &bucket{tokens: routineBurst, at: time.Now()}, skipped: &a.skipped})
}

// sampler leaves out routine lines above a rate.
type sampler struct {
	slog.Handler
	bucket  *bucket
	skipped *atomic.Int64
}

// Handle implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelInfo && !s.bucket.take(r.Time) {
		s.skipped.Add(1)
		return nil
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.bucket, s.skipped}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.bucket, s.skipped}
}

// bucket is a token bucket.
type bucket struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(routineBurst, b.tokens+routineRate*max(now.Sub(b.at), 0).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
