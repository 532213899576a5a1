package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/pkg/retry"
	"github.com/turmericsail/turmericsail/pkg/table"
)

var (
	errDeadline   = errors.New("the deadline passed before the answer began")
	errStalled    = errors.New("the answer made no progress")
	errSuperseded = errors.New("another copy of the request was answered first")
	errEnded      = errors.New("the attempt has ended")
)

// phase tells what the guard timer of an exchange watches.
type phase int32

const (
	phaseStart   phase = iota // the time to the start of the answer
	phaseReading              // the wait for the answer's next bytes
	phaseWriting              // the wait for the caller to take bytes
)

// exchange is one request of a caller and everything that is known about it.
type exchange struct {
	e       *Entry
	w       http.ResponseWriter
	r       *http.Request
	control http.ResponseController
	relayed bool // came from an entry outside the home regions
	outer   bool // is passed on to an entry inside the home regions

	route     table.Route
	pool      table.Pool
	workspace string
	id        string
	start     time.Time
	deadline  time.Time     // for the start of the answer
	end       time.Time     // for the end of the answer; zero without a limit
	age       time.Duration // how long the caller has been trying, as far as its deadline tells
	depth     int
	body      *requestBody
	header    http.Header
	print     Fingerprint
	admitted  func()   // gives back what quarantine holds for the request
	avoid     []string // upstreams that were lost while they ran the request

	identity string
	ticket   Ticket
	released bool // the own claim was granted and released

	guard *time.Timer
	phase atomic.Int32
	// maybeRan is set when an attempt without an answer may have run the request.
	maybeRan atomic.Bool

	mu       sync.Mutex
	live     []*attempt
	tried    []string
	informed bool // no more 1xx answers may be passed on
	expired  bool

	values [maxOwnValues]string
	used   int

	// Room for the usual case of one attempt, which saves allocations.
	firstTry  attempt
	liveRoom  [2]*attempt
	triedRoom [2]string

	report report
}

// maxOwnValues is the number of header values that an exchange usually sets.
const maxOwnValues = 8

// value returns a header value whose array lies in the exchange, which saves an
// allocation for each header. It is not used by copies that run at the same time.
func (x *exchange) value(v string) []string {
	if x.used == maxOwnValues {
		return []string{v}
	}
	x.values[x.used] = v
	x.used++
	return x.values[x.used-1 : x.used : x.used]
}

// report is what metrics and the request log get.
type report struct {
	status   int
	refusal  string
	cause    string // of the refusal
	outcome  string
	upstream string
	attempts int
	notRun   int // attempts that are proved not to have run
	up, down int64
	abort    bool
}

// serve runs the whole path of one request.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	x := &exchange{e: e, w: w, r: r, control: *http.NewResponseController(w), relayed: relayed, start: time.Now()}
	x.id = requestID(r.Header.Get(e.proto.RequestID))
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if refusal := x.run(); refusal != nil {
		x.refuse(refusal)
	}
	x.close()
	x.record()
	if x.report.abort {
		panic(http.ErrAbortHandler)
	}
}

// run returns a refusal unless it has answered the caller.
func (x *exchange) run() *Refusal {
	if refusal := x.match(); refusal != nil {
		return refusal
	}
	if refusal := x.admit(); refusal != nil {
		return refusal
	}
	if x.outer {
		return x.relay()
	}
	if refusal := x.prepareBody(); refusal != nil {
		return refusal
	}
	if refusal := x.passQuarantine(); refusal != nil {
		return refusal
	}
	defer func() { x.admitted() }()
	x.header = x.upstreamHeader(x.relayed)
	if !x.e.proto.Plain {
		x.header[HeaderDepth] = x.value(strconv.Itoa(x.depth + 1))
	}
	x.e.ports.Retries.Request(&x.pool, &x.route)
	if x.identity != "" {
		return x.runOnce()
	}
	a, refusal := x.firstAnswer()
	if refusal != nil {
		return refusal
	}
	return x.answer(a, nil)
}

// match finds route and pool.
func (x *exchange) match() *Refusal {
	tables := x.e.snapshots.Snapshot().Tables
	if tables == nil {
		return refuseNoTables()
	}
	if x.r.Method == http.MethodConnect {
		return refuseMethod()
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
	if !x.e.ports.Direct && !x.route.Permits(x.e.cfg.Region) {
		x.outer = true
		return nil
	}
	x.route.Pool = x.route.PickPool(rand.Float64())
	if x.pool, ok = tables.Pools[x.route.Pool]; !ok {
		return refuseNoPool()
	}
	x.workspace = x.route.Workspace
	if name := x.route.WorkspaceHeader; name != "" {
		if v := x.r.Header.Get(name); v != "" {
			x.workspace = v
		}
	}
	return nil
}

// admit checks deadline, depth and stated body length, opens the body and starts the guard timer.
func (x *exchange) admit() *Refusal {
	limit := x.route.Deadline.Std()
	if v := x.r.Header.Get(x.e.proto.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			return refuseBadDeadline(x.e.proto.Deadline)
		}
		x.age = x.e.patience.age(x.route.Name, time.Duration(ms)*time.Millisecond)
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	if limit <= 0 {
		return refuseLate()
	}
	x.deadline = x.start.Add(limit)
	if whole := x.route.AnswerLimit.Std(); whole > 0 {
		x.end = x.start.Add(whole)
	}
	x.depth = retry.Depth(x.r.Header) - 1
	if x.r.ContentLength > x.bodyLimit() {
		return refuseBody(x.bodyLimit())
	}
	if x.outer {
		x.openBody(0) // nothing is kept outside the home regions
	} else {
		x.openBody(replayLimit)
	}
	x.guard = time.AfterFunc(limit, x.expire)
	return nil
}

func (x *exchange) bodyLimit() int64 {
	if x.route.MaxBody > 0 {
		return int64(x.route.MaxBody)
	}
	return int64(x.e.limits().BodyBytes)
}

// expire ends what the guard timer watched.
func (x *exchange) expire() {
	switch phase(x.phase.Load()) {
	case phaseStart:
		x.cancelAttempts(errDeadline)
		x.interruptBody()
	case phaseReading:
		x.cancelAttempts(errStalled)
	case phaseWriting:
		_ = x.control.SetWriteDeadline(time.Unix(1, 0))
	}
}

func (x *exchange) cancelAttempts(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expired = x.expired || cause == errDeadline
	for _, a := range x.live {
		a.cancel(cause)
	}
}

// interruptBody unblocks an attempt that waits for the caller's body.
func (x *exchange) interruptBody() {
	if !x.body.complete() {
		x.body.pace.interruptNow()
	}
}

// watch starts the guard timer for the next step of the answer. Bytes that are here already
// are passed on, however late.
func (x *exchange) watch(p phase) {
	limit := x.e.timing.answerStall
	if p == phaseReading && !x.end.IsZero() {
		limit = min(limit, max(time.Until(x.end), 0))
	}
	x.phase.Store(int32(p))
	x.guard.Reset(limit)
}

// overdue reports whether the time for the whole answer has passed.
func (x *exchange) overdue() bool { return !x.end.IsZero() && !time.Now().Before(x.end) }

// late reports whether the deadline for the start of the answer has passed.
func (x *exchange) late() bool { return !time.Now().Before(x.deadline) }

// close stops the timers before the caller's connection is used for another request.
func (x *exchange) close() {
	if x.guard != nil {
		x.guard.Stop()
	}
	x.body.close()
	if x.body != nil {
		x.report.up = x.body.received()
	}
}
