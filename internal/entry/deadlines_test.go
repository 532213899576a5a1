package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
)

// Guards against first tries that are taken for retries because callers differ in their deadlines: such
// requests count as late and give up their slots.
func TestShortDeadlineIsNotARetry(t *testing.T) {
	is := is.New(t)
	h := newDeadlineHistory()
	for ms := range 376 {
		is.Equal(h.elapsed("kept", time.Duration(2125+ms)*time.Millisecond, true), time.Duration(0))
	}
	is.Equal(h.elapsed("kept", 2200*time.Millisecond, false), time.Duration(0))
	is.Equal(h.elapsed("kept", 1800*time.Millisecond, false), 325*time.Millisecond)

	// The callers of this route open a connection for each request.
	is.Equal(h.elapsed("fresh", 2000*time.Millisecond, false), time.Duration(0))
	is.Equal(h.elapsed("fresh", 1750*time.Millisecond, false), time.Duration(0))
	is.Equal(h.elapsed("fresh", 1500*time.Millisecond, false), 200*time.Millisecond) // 0.85 of 2000 ms is 1700 ms
}

// Guards against an estimate without evidence: no first try is known.
func TestElapsedTimeIsNotGuessed(t *testing.T) {
	is := is.New(t)
	h := newDeadlineHistory()
	for range 100 {
		is.Equal(h.elapsed("r", time.Duration(1000+rand.IntN(2000))*time.Millisecond, false), time.Duration(0))
	}
}

// Guards against deadlines that stay recorded after callers have changed.
func TestOldDeadlinesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newDeadlineHistory()
		record := func(deadline time.Duration) {
			for range minFirstTries {
				h.elapsed("r", deadline, true)
			}
		}
		record(time.Second)
		is.Equal(h.elapsed("r", 800*time.Millisecond, false), 200*time.Millisecond)
		time.Sleep(deadlinePeriod + time.Second)
		record(3 * time.Second)
		is.Equal(h.elapsed("r", 800*time.Millisecond, false), 200*time.Millisecond)
		time.Sleep(deadlinePeriod + time.Second)
		record(3 * time.Second)
		is.Equal(h.elapsed("r", 800*time.Millisecond, false), 2200*time.Millisecond)
	})
}

// Guards against a memory leak by an unlimited number of routes.
func TestDeadlineRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newDeadlineHistory()
	for i := range 2 * maxDeadlineRoutes {
		h.elapsed(fmt.Sprint(i), time.Second, true)
	}
	is.Equal(len(h.routes), maxDeadlineRoutes)
}

// startRecorder records the time since the caller's first try that each request states.
type startRecorder struct {
	inOrder
	mu      sync.Mutex
	elapsed []time.Duration
}

func (s *startRecorder) Acquire(ctx context.Context, r AcquireRequest) (Permit, error) {
	s.mu.Lock()
	s.elapsed = append(s.elapsed, time.Since(r.Start))
	s.mu.Unlock()
	return s.inOrder.Acquire(ctx, r)
}

// Guards against a first try on a kept connection that counts as a retry, and against a retry on a new
// connection that counts as a first try.
func TestKeptConnectionsCarryFirstTries(t *testing.T) {
	is := is.New(t)
	protocol := DefaultProtocol()
	protocol.RetryOpensConnection = true
	recorder := &startRecorder{}
	h := newHarness(t, testRoute(), []string{serveUpstream(t, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}))}, withPorts(func(p *Ports) {
		p.Placement, p.Protocol = recorder, &protocol
	}))
	h.client.Transport.(*http.Transport).MaxConnsPerHost = 1
	for i := range minFirstTries + 2 {
		is.Equal(h.do("GET", "/", nil, HeaderDeadline, fmt.Sprint(9000-100*(i%5))).status, 200)
	}
	for _, elapsed := range recorder.elapsed {
		is.True(elapsed < time.Second)
	}
	h.client.CloseIdleConnections()
	is.Equal(h.do("GET", "/", nil, HeaderDeadline, "5000").status, 200)
	is.True(recorder.elapsed[len(recorder.elapsed)-1] >= 3*time.Second)
}
