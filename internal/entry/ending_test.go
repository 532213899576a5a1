package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// endless waits until the context of each wait ends.
type endless struct{ noQuarantine }

func (endless) Acquire(ctx context.Context, _ AcquireRequest) (Permit, error) {
	<-ctx.Done()
	return nil, fault.New(fault.Unavailable, "no permit became free", "try again")
}

func (endless) Admit(ctx context.Context, _ *table.Route, _ Fingerprint) (Admission, bool) {
	<-ctx.Done()
	return Admission{}, false
}

func (endless) Begin(ctx context.Context, _ ClaimRequest) (ClaimState, Ticket, *StoredResponse, error) {
	<-ctx.Done()
	return "", nil, nil, context.Cause(ctx)
}

// endlessRelay waits for a stream until the context ends.
type endlessRelay struct{}

func (endlessRelay) Open(ctx context.Context, _ []string) (net.Conn, string, error) {
	<-ctx.Done()
	return nil, "", ctx.Err()
}

// Guards against requests that still wait when the process ends and get neither a response nor a refusal.
func TestWaitingRequestIsRefusedBeforeTheProcessEnds(t *testing.T) {
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	for _, c := range []struct {
		name    string
		set     func(*Ports)
		header  []string
		outcome Outcome
	}{
		{"for a permit", func(p *Ports) { p.Placement = endless{} }, nil, NotRun},
		{"for quarantine", func(p *Ports) { p.Quarantine = endless{} }, nil, NotRun},
		{"for a claim", func(p *Ports) { p.Claims = endless{} }, identity, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, testRoute(), []string{upstream}, withPorts(c.set))
			replies := make(chan reply, 1)
			go func() { replies <- h.do("POST", "/", nil, c.header...) }()
			waitRunning(h, 1)
			end := time.Now().Add(time.Second)
			h.entry.SetEnd(end)
			select {
			case r := <-replies:
				is.NoErr(r.err)
				is.Equal(r.status, 503)
				is.Equal(r.outcome(), string(c.outcome))
				is.True(time.Now().After(end.Add(-endMargin))) // it waits for as long as it can be served
			case <-time.After(time.Until(end)):
				t.Fatal("the process ends before the request has a response")
			}
		})
	}
}

// Guards against a relayed request that still waits for another instance when the process ends.
func TestWaitForARelayEndsBeforeTheProcess(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, homeRoute(), []string{closedAddress(t)}, withPorts(func(p *Ports) { p.Relay = endlessRelay{} }))
	replies := make(chan reply, 1)
	go func() { replies <- h.do("GET", "/", nil) }()
	waitRunning(h, 1)
	end := time.Now().Add(time.Second)
	h.entry.SetEnd(end)
	select {
	case r := <-replies:
		is.NoErr(r.err)
		is.Equal(r.status, 503)
		is.Equal(r.outcome(), string(NotRun))
	case <-time.After(time.Until(end)):
		t.Fatal("the process ends before the request has a response")
	}
}

// lostThenEndless admits the first attempt and waits until the context of each later wait ends.
type lostThenEndless struct {
	noQuarantine
	admitted bool
}

func (q *lostThenEndless) Admit(ctx context.Context, _ *table.Route, _ Fingerprint) (Admission, bool) {
	if !q.admitted {
		q.admitted = true
		return Admission{Done: func() {}}, true
	}
	<-ctx.Done()
	return Admission{}, false
}

// Guards against a refusal by which a request that may have run looks as if it had not.
func TestWaitAfterARunEndsWithAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, func(_ int64, c net.Conn) { _, _ = readRequest(c) })
	route := testRoute()
	route.Retry.MaxAttempts = 3
	h := newHarness(t, route, []string{u.addr, u.addr}, withPorts(func(p *Ports) { p.Quarantine = &lostThenEndless{} }))
	replies := make(chan reply, 1)
	go func() { replies <- h.do("GET", "/", nil) }()
	waitRunning(h, 1)
	h.entry.SetEnd(time.Now().Add(2 * endMargin))
	r := <-replies
	is.NoErr(r.err)
	is.Equal(r.status, 502)
	is.Equal(r.outcome(), string(Unknown))
}

// Guards against breaking off a request at which an upstream is at work, and that may end in time.
func TestRunningRequestIsNotBrokenOffBeforeTheProcessEnds(t *testing.T) {
	is := is.New(t)
	began, answer := make(chan struct{}), make(chan struct{})
	upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-answer
		_, _ = io.WriteString(w, "served")
	}))
	h := newHarness(t, testRoute(), []string{upstream})
	replies := make(chan reply, 1)
	go func() { replies <- h.do("GET", "/", nil) }()
	<-began
	h.entry.SetEnd(time.Now().Add(endMargin)) // waits end at once
	time.Sleep((endMargin - runMargin) / 2)
	close(answer)
	r := <-replies
	is.NoErr(r.err)
	is.Equal(r.status, 200)
	is.Equal(r.body, "served")
}

// Guards against a request that an upstream has and that ends with the process, without a response or a refusal.
func TestRunningRequestIsRefusedBeforeTheProcessEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		begins time.Duration // before the end of the process
	}{
		{"begun before", http.MethodPost, time.Second},
		{"when waits have ended", http.MethodPost, (endMargin + runMargin) / 2},
		{"that may be repeated", http.MethodGet, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began, hold := make(chan struct{}, 1), make(chan struct{})
			t.Cleanup(func() { close(hold) })
			upstream := newRawUpstream(t, func(_ int64, conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					began <- struct{}{}
					<-hold
				}
			})
			route := testRoute()
			route.Retry.MaxAttempts = 3
			h := newHarness(t, route, []string{upstream.addr})
			replies := make(chan reply, 1)
			go func() { replies <- h.do(c.method, "/", nil) }()
			<-began
			end := time.Now().Add(c.begins)
			h.entry.SetEnd(end)
			select {
			case r := <-replies:
				is.NoErr(r.err)
				is.Equal(r.status, 502)
				is.Equal(r.outcome(), string(Unknown))
				is.True(time.Now().After(end.Add(-runMargin))) // it may be answered until then
			case <-time.After(time.Until(end)):
				<-replies
				t.Fatal("the process ends before the request has a response, by", time.Since(end))
			}
		})
	}
}

// Guards against a request with an identity that ends with the process, without a response or a refusal, while its response is
// read for the record, and against a record that contradicts the refusal.
func TestRecordedRequestIsRefusedBeforeTheProcessEnds(t *testing.T) {
	for _, c := range []struct {
		name, response string
	}{
		{"no response", ""},
		{"header", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		{"start of the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nser"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began, hold := make(chan struct{}, 1), make(chan struct{})
			t.Cleanup(func() { close(hold) })
			upstream := newRawUpstream(t, func(_ int64, conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.response)
					began <- struct{}{}
					<-hold
				}
			})
			claims := &memoryClaims{}
			h := newHarness(t, testRoute(), []string{upstream.addr}, withPorts(func(p *Ports) { p.Claims = claims }))
			replies := make(chan reply, 1)
			go func() { replies <- h.do("POST", "/", nil, identity...) }()
			<-began
			time.Sleep(100 * time.Millisecond) // the response is read now
			end := time.Now().Add(time.Second)
			h.entry.SetEnd(end)
			select {
			case r := <-replies:
				is.NoErr(r.err)
				is.Equal(r.status, 502)
				is.Equal(r.outcome(), string(Unknown))
				is.True(time.Now().After(end.Add(-runMargin))) // it may be answered until then
			case <-time.After(time.Until(end)):
				t.Fatal("the process ends before the request has a response")
			}
			state, _, stored, err := claims.Begin(t.Context(), ClaimRequest{Identity: "\x00k1", Digest: claims.records["\x00k1"].digest})
			is.NoErr(err)
			is.Equal(state, ClaimUnknown) // a repeat is told the same
			is.True(stored == nil)
		})
	}
}

// Guards against requests that end with the process, without a refusal, because another one writes a 1xx response, under its
// mutex, that its caller does not read.
func TestBlockedRequestDelaysNoOtherEnd(t *testing.T) {
	for name, end := range map[string]func(*endingRequests){"waits": (*endingRequests).endWaits, "runs": (*endingRequests).endRuns} {
		t.Run(name, func(t *testing.T) {
			var r endingRequests
			blocked, others := &exchange{}, make([]*exchange, 64)
			blocked.mu.Lock()
			t.Cleanup(blocked.mu.Unlock)
			r.add(blocked)
			for i := range others {
				others[i] = &exchange{}
				r.add(others[i])
			}
			go end(&r)
			deadline := time.Now().Add(5 * time.Second)
			for _, x := range others {
				for !x.isEnding() {
					if time.Now().After(deadline) {
						t.Fatal("a request has not been ended")
					}
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}

func waitRunning(h *harness, n int64) {
	h.t.Helper()
	for h.entry.Running() < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // it waits now
}

// silentRecords is a Claims whose records cannot be written: each write waits until its context ends.
type silentRecords struct{ memoryClaims }

type silentTicket struct{ Ticket }

func (c *silentRecords) Begin(ctx context.Context, r ClaimRequest) (ClaimState, Ticket, *StoredResponse, error) {
	state, t, stored, err := c.memoryClaims.Begin(ctx, r)
	return state, silentTicket{t}, stored, err
}

func (silentTicket) Finish(ctx context.Context, _ *StoredResponse) error { return silence(ctx) }
func (silentTicket) NotRun(ctx context.Context) error                    { return silence(ctx) }
func (silentTicket) Unknown(ctx context.Context) error                   { return silence(ctx) }

func silence(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a response or a refusal that comes too late because a record cannot be written when the process ends.
func TestRecordsThatCannotBeWrittenDelayNoResponseBeyondTheEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  time.Duration // of the response, from the time at which the end is set
		status int
	}{
		{"refusal", time.Minute, 502},
		{"response", 200 * time.Millisecond, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began, respond := make(chan struct{}, 1), make(chan struct{})
			upstream := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				select {
				case <-respond:
				case <-r.Context().Done():
				}
			}))
			h := newHarness(t, testRoute(), []string{upstream}, withPorts(func(p *Ports) { p.Claims = &silentRecords{} }))
			replies := make(chan reply, 1)
			go func() { replies <- h.do("POST", "/", nil, identity...) }()
			<-began
			end := time.Now().Add(time.Second)
			h.entry.SetEnd(end)
			timer := time.AfterFunc(c.after, func() { close(respond) })
			defer timer.Stop()
			select {
			case r := <-replies:
				is.NoErr(r.err)
				is.Equal(r.status, c.status)
			case <-time.After(time.Until(end)):
				t.Fatal("the process ends before the request has a response")
			}
		})
	}
}
