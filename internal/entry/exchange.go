package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/internal/callers"
	"github.com/turmericsail/turmericsail/pkg/retry"
	"github.com/turmericsail/turmericsail/pkg/table"
)

var (
	errDeadline   = errors.New("the deadline passed before the response started")
	errStalled    = errors.New("the response made no progress")
	errSuperseded = errors.New("another copy of the request was answered first")
	errEnded      = errors.New("the attempt has ended")
	errSlowCaller = errors.New("the caller did not read the response in time")
	errCallerLost = errors.New("the connection of the caller failed")
)

// phase is what the watchdog timer of an exchange currently limits.
type phase int32

const (
	phaseStart   phase = iota // the time until the start of the response
	phaseReading              // the wait for the next bytes of the response
	phaseWriting              // the wait for the caller to read bytes
	phaseEnded
)

// exchange is the state of one request of a caller.
type exchange struct {
	e          *Entry
	w          http.ResponseWriter
	r          *http.Request
	control    http.ResponseController
	conn       *callers.Conn // nil if the request was relayed
	delimited  bool          // the end of the caller's connection completes the response
	relayed    bool          // received from an entry outside the home regions
	needsRelay bool          // must be relayed to an entry inside the home regions

	route             table.Route
	pool              table.Pool
	workspace         string           // names the workspace in metrics, queues and fingerprints
	keyed             bool             // the tables have workspaces, so requests need an API key
	keyWorkspace      *table.Workspace // the workspace of the key; nil if there is no key
	keyHash           table.KeyHash    // zero if another entry has checked the key
	id                string
	start             time.Time
	deadline          time.Time     // for the start of the response
	responseDeadline  time.Time     // for the end of the response; zero if there is no limit
	firstTry          bool          // known to be the caller's first try
	callerElapsed     time.Duration // estimated time since the caller's first try, see deadlineHistory
	depth             int
	body              *requestBody
	header            http.Header
	fingerprint       Fingerprint
	headFingerprint   Fingerprint // of a request whose body is not read before sending, without the body
	releaseRate       func()      // returns the permission of the workspace's rate; nil if none was needed
	releaseQuarantine func()      // ends the admission by quarantine
	avoid             []string    // see Admission
	suspect           bool        // see Admission

	reserved     int64           // memory in bytes
	reservedFrom *callers.Budget // the budget of it

	identity      string
	ticket        Ticket
	claimReleased bool // the claim was granted to this exchange and released

	watchdog *time.Timer
	// maybeRan is set when an attempt whose response is not sent to the caller may have run the request.
	maybeRan atomic.Bool

	mu      sync.Mutex
	live    []*attempt
	tried   []string
	no1xx   bool // no more 1xx responses may be sent to the caller
	expired bool
	phase   phase
	limit   time.Time          // when the watchdog timer expires in this phase
	ending  bool               // see endWaits
	cut     bool               // see endRuns
	endWait context.CancelFunc // of waitContext; nil if there is no such wait
	// collecting is set while the response is read to be recorded, before any of it is sent to the caller.
	collecting bool

	headerValues     [maxHeaderValues]string
	headerValuesUsed int

	// Inline storage for the common case of one attempt, which saves allocations.
	firstAttempt attempt
	liveBuf      [2]*attempt
	triedBuf     [2]string

	report report
}

// maxHeaderValues is the number of header values that an exchange stores without an allocation.
const maxHeaderValues = 8

// headerValue returns a header value backed by an array in the exchange, which saves
// an allocation for each header. Concurrent attempts must not call it.
func (x *exchange) headerValue(v string) []string {
	if x.headerValuesUsed == maxHeaderValues {
		return []string{v}
	}
	x.headerValues[x.headerValuesUsed] = v
	x.headerValuesUsed++
	return x.headerValues[x.headerValuesUsed-1 : x.headerValuesUsed : x.headerValuesUsed]
}

// report collects the values for metrics and the request log.
type report struct {
	status             int
	refusal            string
	cause              string // of the refusal
	outcome            string
	upstream           string
	attempts           int
	notRun             int // attempts that are known not to have run
	bytesUp, bytesDown int64
	aborted            bool
}

// serve handles one request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	x := &exchange{e: e, w: w, r: r, control: *http.NewResponseController(w), relayed: relayed, start: time.Now()}
	x.id = requestID(r.Header.Get(e.proto.RequestID))
	x.conn, _ = r.Context().Value(callerConnKey{}).(*callers.Conn)
	if x.conn != nil && r.ProtoMajor == 1 {
		x.conn.StartResponse()
		defer func() { x.conn.AbortResponse(x.bodyUnread()) }() // does nothing after finishResponse
	}
	x.firstTry = reusesConnection(r.Context()) && e.proto.RetryOpensConnection
	e.running.Add(1)
	defer e.running.Add(-1)
	e.ending.add(x)
	defer e.ending.remove(x)
	defer x.forbid1xx() // a connection to an upstream may outlast the request
	defer x.releaseMemory()
	defer x.recoverServe()
	if refusal := x.run(); refusal != nil && !x.report.aborted {
		x.refuse(refusal)
	}
	x.flushDelimited()
	x.close()
	x.record()
	if x.report.aborted {
		panic(http.ErrAbortHandler)
	}
	x.finishResponse()
	// net/http sends the end of the response after this, without a deadline of its own: a caller that reads nothing would
	// hold its connection without end. It removes the deadline before the next request.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.e.timing.responseStall))
	if x.r.ProtoMajor == 2 && e.cfg.Limits.Memory > 0 {
		// Streams of a connection that is not read must hold their memory until they have sent their responses. Many
		// streams share such a connection, so its number does not bound them.
		_ = x.control.Flush() // an error ends the stream, as it does after the return
	}
}

// run processes the request. It returns a refusal unless it has sent a response to the caller.
func (x *exchange) run() *Refusal {
	refusal := x.match()
	if full := x.reserve(); full != nil { // refusals take memory, too, until the caller has read them
		return full
	}
	if refusal != nil {
		return refusal
	}
	if refusal := x.admit(); refusal != nil {
		return refusal
	}
	if x.needsRelay {
		return x.relay()
	}
	if refusal := x.admitRate(); refusal != nil {
		return refusal
	}
	defer x.returnRate()
	if refusal := x.prepareBody(); refusal != nil {
		return refusal
	}
	if refusal := x.passQuarantine(); refusal != nil {
		return refusal
	}
	defer func() { x.releaseQuarantine() }()
	x.header = x.upstreamHeader(x.relayed)
	if !x.e.proto.Plain {
		x.header[HeaderDepth] = x.headerValue(strconv.Itoa(x.depth + 1))
	}
	x.e.ports.Retries.Request(&x.pool, &x.route)
	if x.identity != "" {
		return x.runOnce()
	}
	a, refusal := x.firstResponse()
	if refusal != nil {
		return refusal
	}
	return x.sendResponse(a, nil)
}

// match finds the route, the workspace and the pool of the request.
func (x *exchange) match() *Refusal {
	tables := x.e.snapshots.Snapshot().Tables
	if tables == nil {
		return refuseNoTables()
	}
	if x.r.Method == http.MethodConnect {
		return refuseMethod()
	}
	if path := table.PathAsSent(x.r); strings.HasPrefix(path, "//") && path != x.r.URL.EscapedPath() {
		return refuseTarget() // net/url would write it as an absolute URL
	}
	if limit := int64(x.e.limits().HeaderBytes); limit > 0 && headerSize(x.r) > limit {
		return refuseHeader(limit)
	}
	var ok bool
	if x.route, ok = tables.Find(x.r); !ok {
		return refuseNoRoute()
	}
	if x.route.IdentityHeader != "" && !x.route.IsIdempotent(x.r.Method) {
		x.identity = x.r.Header.Get(x.route.IdentityHeader)
	}
	x.needsRelay = x.outsideHome() // first, since a refusal outside the home regions is not logged either
	if refusal := x.authenticate(tables); refusal != nil {
		return refusal
	}
	if x.needsRelay = x.outsideHome(); x.needsRelay {
		return nil
	}
	x.route.Pool = x.route.PickPool(rand.Float64())
	if x.pool, ok = tables.Pools[x.route.Pool]; !ok {
		return refuseNoPool()
	}
	if x.keyed {
		return nil
	}
	x.workspace = x.route.Workspace
	if name := x.route.WorkspaceHeader; name != "" {
		if v := x.r.Header.Get(name); v != "" {
			x.workspace = v
		}
	}
	return nil
}

// outsideHome reports whether the request must be relayed into its home regions.
func (x *exchange) outsideHome() bool {
	return !x.e.ports.Direct && !x.route.Permits(x.e.cfg.Region)
}

// admit checks the deadline and the declared body length, reads the call depth, opens the body and
// starts the watchdog timer.
func (x *exchange) admit() *Refusal {
	limit := x.route.Deadline.Std()
	if v := x.r.Header.Get(x.e.proto.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return refuseBadDeadline(x.e.proto.Deadline)
		}
		x.callerElapsed = x.e.deadlines.elapsed(x.route.Name, time.Duration(ms)*time.Millisecond, x.firstTry)
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	if limit <= 0 {
		return refuseDeadline()
	}
	x.deadline = x.start.Add(limit)
	if answerLimit := x.route.AnswerLimit.Std(); answerLimit > 0 {
		x.responseDeadline = x.start.Add(answerLimit)
	}
	if x.e.endsBefore(x.latestEnd()) {
		return refuseLeaving()
	}
	x.depth = retry.Depth(x.r.Header) - 1
	if x.r.ContentLength > x.bodyLimit() {
		return refuseBody(x.bodyLimit())
	}
	if x.needsRelay {
		x.openBody(0) // no request data is kept outside the home regions
	} else {
		x.openBody(replayLimit)
	}
	x.mu.Lock()
	x.limit = x.deadline
	x.mu.Unlock()
	x.watchdog = time.AfterFunc(limit, x.expire)
	return nil
}

// latestEnd returns when the response ends at the latest, or when it starts if its end has no limit.
func (x *exchange) latestEnd() time.Time {
	if x.responseDeadline.IsZero() {
		return x.deadline
	}
	return x.responseDeadline
}

func (x *exchange) bodyLimit() int64 {
	if x.route.MaxBody > 0 {
		return int64(x.route.MaxBody)
	}
	return int64(x.e.limits().BodyBytes)
}

// expire handles the expiry of the watchdog timer in the current phase. A timer that has expired cannot be stopped, and the
// exchange may have made progress since.
func (x *exchange) expire() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if time.Now().Before(x.limit) {
		return
	}
	switch x.phase {
	case phaseStart:
		x.expired = true
		x.cancelLive(errDeadline)
		x.interruptBody()
	case phaseReading:
		x.cancelLive(errStalled)
	case phaseWriting:
		_ = x.control.SetWriteDeadline(time.Unix(1, 0))
	}
}

func (x *exchange) cancelAttempts(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelLive(cause)
}

// cancelLive cancels the live attempts. The mutex is held.
func (x *exchange) cancelLive(cause error) {
	for _, a := range x.live {
		a.cancel(cause)
	}
}

// interruptBody unblocks an attempt that is waiting for the caller's body.
func (x *exchange) interruptBody() {
	if !x.body.complete() {
		x.body.progress.interruptNow()
	}
}

// watch restarts the watchdog timer for the next read or write of the response. An upstream may be silent until
// responseDeadline; without one the response must make progress. Bytes that
// have already been received are still written after responseDeadline.
func (x *exchange) watch(p phase) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.watchLocked(p)
}

func (x *exchange) watchLocked(p phase) {
	limit := x.e.timing.responseStall
	if p == phaseReading && !x.responseDeadline.IsZero() {
		limit = max(time.Until(x.responseDeadline), 0)
	}
	x.phase, x.limit = p, time.Now().Add(limit)
	x.watchdog.Reset(limit)
}

// startResponse begins the response of an attempt, or reports false if the attempt has been cancelled before by the deadline or
// because the process is about to end. collect is set if the response is read to be recorded before it is sent.
func (x *exchange) startResponse(a *attempt, collect bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if (x.expired || x.cut) && !a.whole {
		return false
	}
	x.collecting = collect
	x.watchLocked(phaseReading)
	return true
}

// endCollecting ends the phase in which the response is collected. It reports false if the response is not complete and
// its attempt has been cancelled because the process is about to end.
func (x *exchange) endCollecting(complete bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.collecting = false
	return complete || !x.cut
}

// pastResponseDeadline reports whether the deadline for the end of the response has passed.
func (x *exchange) pastResponseDeadline() bool {
	return !x.responseDeadline.IsZero() && !time.Now().Before(x.responseDeadline)
}

// pastDeadline reports whether the deadline for the start of the response has passed.
func (x *exchange) pastDeadline() bool { return !time.Now().Before(x.deadline) }

// close stops the timers before the caller's connection is reused for another request.
func (x *exchange) close() {
	if x.watchdog != nil {
		x.watchdog.Stop()
		x.mu.Lock()
		x.phase = phaseEnded
		x.mu.Unlock()
	}
	x.body.close()
	if x.body != nil {
		x.report.bytesUp = x.body.received()
	}
}
