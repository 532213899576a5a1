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
	// queueLines is the number of lines that may wait to be written: about one second of one instance's peak traffic.
	queueLines = 4096
	// routineRate is the rate of lines of verbosity 1, in lines per second. It does not drop
	// lines of an instance that serves 60 requests per second.
	routineRate = 250
	// routineBurst is the number of lines of verbosity 1 that are written at once above routineRate.
	routineBurst = 500
	// reportInterval is the minimum time between two reports of dropped and sampled lines.
	reportInterval = time.Second
)

// Async writes lines in the background, so that logging never blocks the caller.
// When the output is too slow, lines are dropped; their number is counted and logged.
type Async struct {
	out          io.Writer
	lines        chan []byte
	dropped      atomic.Int64
	sampledOut   atomic.Int64
	droppedTotal *metrics.Counter
	done         chan struct{}
	stop         sync.Once
}

var _ io.Writer = (*Async)(nil)

// NewAsync starts a goroutine that writes to out. Close stops it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), droppedTotal: metrics.GetOrCreateCounter("turmericsail_log_lines_dropped_total")}
	go a.run()
	return a
}

// Write implements io.Writer. It queues or drops the line and never returns an error.
func (a *Async) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
		a.droppedTotal.Inc()
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

// write ignores errors, since there is no other output to report them to.
func (a *Async) write(line []byte) { _, _ = a.out.Write(line) }

func (a *Async) report(now time.Time) {
	dropped, sampledOut := a.dropped.Swap(0), a.sampledOut.Swap(0)
	if dropped+sampledOut == 0 {
		return
	}
	a.write(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines left out\",\"dropped\":%d,\"sampled\":%d}\n", now.Format(time.RFC3339Nano), dropped, sampledOut))
}

// closeWait bounds each of the two waits of Close: for space in the queue and for the queued lines to be written.
const closeWait = 200 * time.Millisecond

// Close writes the queued lines and stops the writer. It returns after at most twice closeWait, even if lines remain.
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
// verbosity 1, which report routine events, are sampled above routineRate; lines
// of verbosity 0 are never sampled.
func NewSampled(a *Async) logr.Logger {
	h := slog.NewJSONHandler(a, &slog.HandlerOptions{Level: slog.Level(-1)})
	return logr.FromSlogHandler(&sampler{Handler: h, bucket: &bucket{tokens: routineBurst, updatedAt: time.Now()}, sampledOut: &a.sampledOut})
}

// sampler drops and counts lines of verbosity 1 above routineRate.
type sampler struct {
	slog.Handler
	bucket     *bucket
	sampledOut *atomic.Int64
}

// Handle implements slog.Handler.
func (s *sampler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelInfo && !s.bucket.take(r.Time) {
		s.sampledOut.Add(1)
		return nil
	}
	return s.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (s *sampler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &sampler{s.Handler.WithAttrs(attrs), s.bucket, s.sampledOut}
}

// WithGroup implements slog.Handler.
func (s *sampler) WithGroup(name string) slog.Handler {
	return &sampler{s.Handler.WithGroup(name), s.bucket, s.sampledOut}
}

// bucket is a token bucket of routineRate and routineBurst.
type bucket struct {
	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(routineBurst, b.tokens+routineRate*max(now.Sub(b.updatedAt), 0).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
