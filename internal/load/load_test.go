package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against quantiles outside the documented error and against buckets that are not in ascending order.
func TestHistogramError(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var h Histogram
	var all []time.Duration
	for range 20_000 {
		d := time.Duration(random.ExpFloat64() * float64(time.Millisecond) * 50)
		all = append(all, d)
		h.Add(d)
	}
	slices.Sort(all)
	is.Equal(h.Count(), uint64(len(all)))
	is.Equal(h.Quantile(1), all[len(all)-1])
	for _, q := range []float64{0, 0.5, 0.9, 0.99, 0.999} {
		exact := all[int(q*float64(len(all)))]
		got := h.Quantile(q)
		if got < exact || got > exact+exact/subBuckets+1 {
			t.Errorf("quantile %v is %v, exact %v", q, got, exact)
		}
	}
	for b := 1; b < bucketCount; b++ {
		if upperBound(b) <= upperBound(b-1) || bucketOf(upperBound(b)) != b {
			t.Fatalf("bucket %d: bound %d", b, upperBound(b))
		}
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func reply(status int, header map[string]string, body string) *http.Response {
	w := httptest.NewRecorder()
	for k, v := range header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(status)
	_, _ = w.WriteString(body)
	return w.Result()
}

func echoed(r *http.Request) map[string]string {
	return map[string]string{EchoHeader: r.Header.Get(EchoHeader)}
}

// Guards against arrivals that wait for answers, which would hide a stall, and against
// requests with the same due time.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		free := make(chan struct{}, 1) // one request at a time, 100 ms each
		slow := roundTrip(func(r *http.Request) (*http.Response, error) {
			free <- struct{}{}
			defer func() { <-free }()
			time.Sleep(100 * time.Millisecond)
			return reply(200, echoed(r), ""), nil
		})
		r := NewRecorder()
		begin := time.Now()
		is.NoErr(Run(t.Context(), Config{Targets: []string{"http://x"}, Rate: 20, Requests: 10, Transport: slow, Seed: 1}, r))
		is.Equal(time.Since(begin), time.Second)
		s := r.Summary()
		is.Equal(s.Succeeded, uint64(10))
		is.Equal(s.Max, 550*time.Millisecond) // due at 450 ms, answered at 1 s
	})
}

// Guards against latencies that exclude the generator's own delay in sending a request.
func TestLatencyIncludesTheGeneratorsDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		late := func(ctx context.Context, due time.Time) bool {
			return sleepUntil(ctx, due.Add(30*time.Millisecond))
		}
		prompt := roundTrip(func(r *http.Request) (*http.Response, error) { return reply(200, echoed(r), ""), nil })
		r := NewRecorder()
		is.NoErr(Run(t.Context(), Config{Targets: []string{"http://x"}, Rate: 10, Requests: 3, Transport: prompt, sleep: late}, r))
		is.Equal(r.Summary().Mean, 30*time.Millisecond)
	})
}

// Guards against results that are counted in the wrong class, in particular wrong answers.
func TestResultsAreClassified(t *testing.T) {
	is := is.New(t)
	var n atomic.Int64
	ends := roundTrip(func(r *http.Request) (*http.Response, error) {
		switch n.Add(1) {
		case 1:
			return reply(200, echoed(r), `{"upstream":"u1"}`), nil
		case 2:
			return reply(200, nil, `{"request":"other-1-0"}`), nil
		case 3:
			return reply(503, map[string]string{"Turmericsail-Outcome": "not-run"}, `{"kind":"no-upstream"}`), nil
		case 4:
			return reply(500, nil, "broken"), nil
		case 5:
			return nil, context.DeadlineExceeded
		}
		return reply(200, nil, "plain"), nil
	})
	r := NewRecorder()
	is.NoErr(Run(t.Context(), Config{Targets: []string{"http://x"}, Rate: 1e6, Requests: 6, Transport: ends, Seed: 1, MaxInFlight: 1000}, r))
	s := r.Summary()
	is.Equal(s.Counts, Counts{
		Succeeded: 2, Unchecked: 1, Wrong: 1, Refused: map[string]uint64{"not-run/no-upstream": 1},
		Status: map[int]uint64{500: 1}, Failed: map[string]uint64{"time-out": 1},
	})
	is.Equal(s.Upstreams, map[string]uint64{"u1": 1})
	is.Equal(s.Unsuccessful(), uint64(4))
}

// Guards against repeats that use a new identity, and against sending HTTP/1.1 when HTTP/2 is selected.
func TestRepeatsOverHTTP2(t *testing.T) {
	is := is.New(t)
	seen := map[string]int{}
	var protocols []int
	done := make(chan struct{})
	requests := make(chan *http.Request)
	go func() {
		defer close(done)
		for r := range requests {
			seen[r.Header.Get("Idempotency-Key")]++
			protocols = append(protocols, r.ProtoMajor)
		}
	}()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r
		w.Header().Set(EchoHeader, r.Header.Get(EchoHeader))
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	r := NewRecorder()
	is.NoErr(Run(t.Context(), Config{
		Targets: []string{server.URL}, Method: "POST", Rate: 1000, Requests: 5, Repeats: 2, Poisson: true,
		IdentityHeader: "Idempotency-Key", HTTP2: true,
	}, r))
	server.Close()
	close(requests)
	<-done
	s := r.Summary()
	is.Equal(s.Succeeded, uint64(15))
	is.Equal(len(seen), 5)
	for _, n := range seen {
		is.Equal(n, 3)
	}
	is.True(!slices.Contains(protocols, 1))
}
