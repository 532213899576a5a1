package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// failure is the reason why an attempt has no response for the caller.
type failure int

const (
	failNone      failure = iota
	failPlacement         // no permit was acquired
	failUnreached         // no connection, or no byte was written to it
	failShed              // the upstream reported that it did not run the request
	failBusy              // the upstream returned an error that another one may not
	failLost              // a byte was sent and no response arrived, or a malformed one
	failDeadline          // the deadline passed
	failCancelled         // the caller disconnected or another copy won
	failBody              // reading the request body from the caller failed
	failLeaving           // the process is about to end
)

// attempt is one attempt to send a request to one upstream.
type attempt struct {
	x             *exchange
	ctx           attemptContext
	cancel        context.CancelCauseFunc
	permit        Permit
	upstream      table.Upstream
	conn          *upstreamConn
	body          *attemptBody
	header        http.Header
	deadlineValue [1]string // the value of the deadline header
	sentAt        time.Time

	resp      *http.Response
	firstByte time.Duration
	bytesDown int64
	fail      failure
	sent      bool
	err       error
	ended     bool
	whole     bool // the whole response has been read
	sending   bool // guarded by the exchange's mutex
	hedged    bool // run by a goroutine of its own
	second    bool // the second copy of a request
	// hedgeAvoid lists the upstreams that get this second copy only if no other one has room.
	hedgeAvoid []string
	// placedAt is the time at which a hedged attempt got its upstream; guarded by the exchange's mutex, also upstream then.
	placedAt time.Time

	interimBytes int // of the headers of 1xx responses; guarded by the exchange's mutex
}

// attemptContext reports the request's deadline to placement and dialing, but is
// not cancelled at the deadline, because the response body may take longer.
type attemptContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c attemptContext) Deadline() (time.Time, bool) { return c.deadline, true }

// newAttempt prepares an attempt and adds it to the live attempts, which the watchdog timer cancels.
func (x *exchange) newAttempt(header http.Header, deadline time.Time) *attempt {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	a := &x.firstAttempt
	if a.x != nil {
		a = new(attempt)
	}
	a.x, a.ctx, a.cancel, a.header = x, attemptContext{ctx, deadline}, cancel, header
	x.mu.Lock()
	if x.live == nil {
		x.live = x.liveBuf[:0]
	}
	x.live = append(x.live, a)
	expired, ending := x.expired, x.ending && x.phase == phaseStart
	x.mu.Unlock()
	if expired {
		cancel(errDeadline)
	}
	if ending {
		cancel(errLeaving)
	}
	return a
}

// run acquires an upstream and sends the request to it.
func (a *attempt) run(hedge bool) *attempt {
	x := a.x
	a.second = hedge
	x.mu.Lock()
	exclude := x.tried[:len(x.tried):len(x.tried)]
	x.mu.Unlock()
	pool := x.currentPool()
	exclude = withoutLosses(&pool, &x.route, exclude, x.avoid)
	permit, err := a.acquire(&pool, exclude, hedge)
	if err != nil {
		a.stop(failPlacement, err)
		return a
	}
	a.permit, a.upstream = permit, permit.Upstream()
	a.watchRevocation()
	if !x.route.Permits(a.upstream.Region) {
		a.stop(failPlacement, errors.New("the upstream is outside the home regions"))
		return a
	}
	if x.keyRevoked() {
		a.stop(failPlacement, errKeyRevoked)
		return a
	}
	x.mu.Lock()
	if x.tried == nil {
		x.tried = x.triedBuf[:0]
	}
	x.tried = append(x.tried, a.upstream.ID)
	if a.hedged {
		a.placedAt = time.Now()
	}
	x.report.attempts++
	x.mu.Unlock()
	a.send()
	return a
}

// acquire asks placement for an upstream. A second copy is first kept from the upstreams in hedgeAvoid.
func (a *attempt) acquire(pool *table.Pool, exclude []string, hedge bool) (Permit, error) {
	x := a.x
	if preferred := withoutLosses(pool, &x.route, exclude, a.hedgeAvoid); len(preferred) > len(exclude) {
		permit, err := x.e.ports.Placement.Acquire(a.ctx, x.acquireRequest(pool, preferred, hedge))
		if err == nil || a.ctx.Err() != nil {
			return permit, err
		}
	}
	return x.e.ports.Placement.Acquire(a.ctx, x.acquireRequest(pool, exclude, hedge))
}

// acquireRequest describes an attempt to placement.
func (x *exchange) acquireRequest(pool *table.Pool, exclude []string, hedge bool) AcquireRequest {
	return AcquireRequest{
		Pool: pool, Route: &x.route, Class: x.route.Class, Workspace: x.workspace, WorkspaceRate: x.workspaceRate(), Exclude: exclude, Hedge: hedge, RequestID: x.id, Start: x.start.Add(-x.callerElapsed),
	}
}

// withoutLosses adds the upstreams that the request is kept from to the excluded ones. Those that were lost while they
// ran it are among them: losing the same upstream twice gives no new evidence against the request. If no other upstream is eligible, exclude is returned unchanged.
func withoutLosses(pool *table.Pool, route *table.Route, exclude, lost []string) []string {
	if len(lost) == 0 {
		return exclude
	}
	if all := slices.Concat(exclude, lost); pool.AnyEligible(route, all) {
		return all
	}
	return exclude
}

// currentPool returns the request's pool from the current tables, so that a later
// attempt is not sent to an upstream that was taken out of service in the meantime.
func (x *exchange) currentPool() table.Pool {
	if tables := x.e.snapshots.Snapshot().Tables; tables != nil {
		if pool, ok := tables.Pools[x.pool.Name]; ok {
			return pool
		}
	}
	return x.pool
}

var errPermitRevoked = errors.New("the permit for the upstream was revoked")

// watchRevocation cancels the attempt when its permit is revoked.
func (a *attempt) watchRevocation() {
	c, ok := a.permit.(Cutter)
	if !ok || c.Cut() == nil {
		return
	}
	go func() {
		select {
		case <-c.Cut():
			a.cancel(errPermitRevoked)
		case <-a.ctx.Done():
		}
	}()
}

// maxStaleConns bounds the pooled connections per attempt that turn out to have been closed by the upstream.
const maxStaleConns = 4

// send sends the request. If a reused connection accepts no byte, the upstream had
// closed it while it was idle; trying another connection is part of the same attempt.
func (a *attempt) send() {
	pool := a.x.e.conns.forUpstream(&a.x.pool, a.upstream.Address)
	for try := 1; ; try++ {
		conn, err := pool.get(a.ctx)
		if err != nil {
			a.stop(failUnreached, err)
			return
		}
		if a.x.ticketExpired() {
			pool.put(conn)
			a.stop(failUnreached, errClaimExpired)
			return
		}
		if a.x.keyRevoked() { // checked again, because getting a connection may take seconds
			pool.put(conn)
			a.stop(failPlacement, errKeyRevoked)
			return
		}
		a.conn = conn
		a.exchange()
		stale := a.resp == nil && !a.sent && conn.reused && try < maxStaleConns && a.ctx.Err() == nil && a.x.body.rewind()
		if !stale {
			a.classify()
			return
		}
		a.conn = nil
		pool.discard(conn)
	}
}

// exchange sends the request on the attempt's connection and waits for the response header.
func (a *attempt) exchange() {
	if !a.startSending() {
		a.resp, a.sent, a.err = nil, false, errLeaving
		return
	}
	a.sentAt = time.Now()
	var req *http.Request
	if req, a.err = a.request(); a.err != nil {
		a.resp, a.sent = nil, false
		return
	}
	a.resp, a.sent, a.err = a.conn.roundTrip(req, a.forward1xx)
	if a.err == nil {
		a.firstByte = time.Since(a.sentAt)
	}
	a.x.logAttempt(a)
}

// request builds the request for one connection. It fails if the request's body can't be sent from its first byte.
func (a *attempt) request() (*http.Request, error) {
	x := a.x
	a.deadlineValue[0] = strconv.FormatInt(max(time.Until(a.ctx.deadline).Milliseconds(), 1), 10)
	if name := x.e.proto.Deadline; name != "" {
		a.header[name] = a.deadlineValue[:]
	}
	if name := x.e.proto.ExpectUpstream; name != "" {
		a.header[name] = []string{a.upstream.ID}
	}
	u := *x.r.URL
	u.Scheme, u.Host, u.User = "http", a.authority(), (*url.Userinfo)(nil)
	if path := table.PathAsSent(x.r); path != u.EscapedPath() {
		u.Opaque = path // net/url would encode it in another way
	}
	req := &http.Request{
		Method: x.r.Method, URL: &u, Host: x.r.Host, Header: a.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if x.body != nil {
		req.Trailer = trailerNames(x.r.Trailer)
		if x.keyed {
			delete(req.Trailer, x.e.proto.Workspace)
			delete(req.Trailer, HeaderRelayedWorkspace)
		}
		var err error
		if a.body, err = x.body.open(req.Trailer, a.conn.counted.lost); err != nil {
			return nil, err
		}
		req.Body, req.ContentLength = a.body, x.r.ContentLength
		if len(req.Trailer) > 0 {
			req.ContentLength = -1 // only a chunked body carries trailers
		}
		// The upstream may respond without 100 (Continue). The body must then not be sent, so the
		// connection is not reused.
		req.Close = a.header.Get("Expect") != ""
	}
	return req.WithContext(a.ctx), nil
}

// authority returns the host part of the URL. The Host header is the caller's.
func (a *attempt) authority() string {
	if a.upstream.Address != "" {
		return a.upstream.Address
	}
	return "relay"
}

// classify determines the failure of the attempt, if any, once the response header or an error arrived.
func (a *attempt) classify() {
	switch {
	case a.err != nil && a.x.body.failed() != nil:
		a.stop(failBody, a.err)
	case a.err != nil && !a.sent:
		a.stop(failUnreached, a.err)
	case a.err != nil:
		a.stop(failLost, a.err)
	case a.resp.StatusCode == http.StatusSwitchingProtocols:
		a.stop(failLost, errors.New("the upstream sent 101 (Switching Protocols) without an upgrade request"))
	default:
		if why := a.x.e.proto.rejectReason(a.resp, a.x.id); why != "" {
			a.stop(failLost, errors.New(why))
			return
		}
		if err := a.checkRefusal(); err != nil {
			a.stop(failLost, err)
			return
		}
		a.observe(Result{Status: a.resp.StatusCode, FirstByte: a.firstByte})
		a.observeIntake()
		a.classifyStatus()
	}
}

// checkRefusal returns an error if the response states that the request did not run and has a malformed trailer, which
// follows the body. Callers never get the body of such a response.
func (a *attempt) checkRefusal() error {
	if a.permit == nil || !a.x.e.proto.NotRun(a.resp) {
		return nil
	}
	if _, err := drain(a.resp.Body); errors.Is(err, respcheck.ErrMalformed) {
		return err
	}
	return nil
}

// observeIntake reports what the response states about the requests that the upstream takes. A response of status
// 421 may come from another upstream.
func (a *attempt) observeIntake() {
	x := a.x
	if a.permit == nil || x.e.ports.Intake == nil || x.e.proto.Intake == nil || a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	x.e.ports.Intake.Stated(a.upstream, x.e.proto.Intake(a.resp.StatusCode, a.resp.Header))
}

// bufferStep is the number of bytes for which buffer reserves memory at once.
const bufferStep = 32 << 10

// buffer reads the start of the response to an idempotent request, if the protocol asks for it, so
// that the request can still be retried if the upstream breaks off early. It stops when half of the memory of requests is
// in use.
func (a *attempt) buffer() {
	limit := a.x.e.proto.BufferResponse
	if a.fail != failNone || limit == 0 || a.x.body != nil || !a.x.route.IsIdempotent(a.x.r.Method) {
		return
	}
	start := &bufferedStart{x: a.x}
	var err error
	size := int64(0)
	for err == nil && size < int64(limit) {
		step := min(int64(limit)-size, bufferStep)
		if !a.x.reserveBuffer(2 * step) { // a growing buffer holds its contents twice
			break
		}
		piece := bufferedPiece{reserved: 2 * step}
		var n int64
		n, err = io.CopyN(&piece.data, a.resp.Body, step)
		size += n
		start.pieces = append(start.pieces, piece)
	}
	if err != nil && err != io.EOF {
		start.discard()
		a.bytesDown = size
		a.stop(failLost, err)
		return
	}
	if err == io.EOF {
		a.x.responseDeadline = time.Time{} // the whole response has been read
		a.whole = true
	}
	body := a.resp.Body
	a.resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(start, body), body}
}

// bufferedStart reads the buffered start of a response and releases the memory of each piece once it has been read.
type bufferedStart struct {
	x      *exchange
	pieces []bufferedPiece
}

type bufferedPiece struct {
	data     bytes.Buffer
	reserved int64 // memory in bytes
}

var _ io.Reader = (*bufferedStart)(nil)

// Read implements io.Reader. What was read before has been written to the caller by then, so an empty piece is released.
func (b *bufferedStart) Read(p []byte) (int, error) {
	for len(b.pieces) > 0 {
		if n, err := b.pieces[0].data.Read(p); err == nil {
			return n, nil
		}
		b.release()
	}
	return 0, io.EOF
}

// release releases the first piece.
func (b *bufferedStart) release() {
	b.x.releaseBuffer(b.pieces[0].reserved)
	b.pieces[0] = bufferedPiece{}
	b.pieces = b.pieces[1:]
}

// discard releases all pieces.
func (b *bufferedStart) discard() {
	for len(b.pieces) > 0 {
		b.release()
	}
}

func (a *attempt) classifyStatus() {
	if a.permit == nil {
		return
	}
	proto := &a.x.e.proto
	switch {
	case proto.NotRun(a.resp):
		a.fail = failShed
	case !a.x.route.IsIdempotent(a.x.r.Method):
	case a.resp.StatusCode == http.StatusServiceUnavailable, proto.RetryFailures && a.resp.StatusCode >= http.StatusInternalServerError:
		a.fail = failBusy
	}
}

var _ io.ReadCloser = (*attemptBody)(nil)
