package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// AcquireRequest describes the attempt for which an upstream is wanted.
type AcquireRequest struct {
	Pool      *table.Pool
	Route     *table.Route
	Class     table.Class
	Workspace string
	// Exclude lists the IDs of upstreams that earlier attempts of the request used.
	Exclude []string
	// Hedge is set for the second copy of a request; such a copy should not queue.
	Hedge bool
	// RequestID names the request in logs.
	RequestID string
	// Start is the time at which the entry took the request.
	Start time.Time
}

// Placement picks upstreams.
type Placement interface {
	// Acquire returns a permit to send one request. It may queue until ctx ends;
	// the deadline of ctx is the request's. An Exhausted fault means that
	// capacity is short, Unavailable that no upstream is in service. Whatever the
	// error, no permit is held.
	Acquire(ctx context.Context, r AcquireRequest) (Permit, error)
}

// Permit allows one attempt on one upstream.
type Permit interface {
	Upstream() table.Upstream
	// Done gives the permit back. It is called exactly once, when the attempt no
	// longer uses the upstream: after the answer's last byte or its failure.
	Done(r Result)
}

// Cutter is a Permit that can be withdrawn while its attempt runs.
type Cutter interface {
	// Cut is closed when the attempt must end; nil means never.
	Cut() <-chan struct{}
}

// Ending tells how an attempt ended.
type Ending string

const (
	// EndAnswered means that the upstream gave a whole answer.
	EndAnswered Ending = "answered"
	// EndNotRun means that no byte reached the upstream, or that it said it did not run the request.
	EndNotRun Ending = "not-run"
	// EndLost means that the connection failed or the answer was cut after a byte was sent.
	EndLost Ending = "lost"
	// EndLate means that the deadline or the stall limit passed.
	EndLate Ending = "late"
	// EndCancelled means that the caller went away or another copy won. It says nothing about the upstream.
	EndCancelled Ending = "cancelled"
)

// Result is what an attempt tells about its upstream.
type Result struct {
	Ending Ending
	// Status is the answer's status, or 0 without an answer.
	Status int
	// FirstByte is the time from sending to the answer's header; zero without an answer.
	FirstByte time.Duration
	// Total is the time from sending to the end of the attempt.
	Total time.Duration
	// BytesDown counts the bytes of the answer's body.
	BytesDown int64
}

// Observation is what one attempt showed about an upstream.
type Observation struct {
	Pool     *table.Pool
	Route    *table.Route
	Upstream table.Upstream
	Result   Result
	// Load is the value of the Turmericsail-Load header, or empty.
	Load string
	// Refused is set when the connection could not be established.
	Refused bool
	// BytesUp and BytesDown count body bytes sent to and received from the upstream.
	BytesUp, BytesDown int64
}

// Observer receives an observation when the answer's header arrived (Result.Ending
// is empty) and one when the attempt ended. It must not block.
type Observer interface {
	Observe(o *Observation)
}

// ClaimRequest names a non-idempotent request.
type ClaimRequest struct {
	Route    *table.Route
	Identity string
	// Digest covers method, host, target, content type and stated length, so that
	// an identity that is used for two different requests is noticed.
	Digest [32]byte
}

// ClaimState is the state of a request identity.
type ClaimState string

const (
	// ClaimGranted means that the caller of Begin alone may run the request.
	ClaimGranted ClaimState = "granted"
	// ClaimAnswered means that the request ran and its answer is known.
	ClaimAnswered ClaimState = "answered"
	// ClaimRan means that the request ran and its answer was not kept.
	ClaimRan ClaimState = "ran"
	// ClaimUnknown means that the request may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimMismatch means that the identity belongs to a request with another digest.
	ClaimMismatch ClaimState = "mismatch"
)

// StoredAnswer is an answer that is kept for repeats.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Dropped is set when the answer was larger than MaxStoredAnswer; Body is then empty.
	Dropped bool
}

// MaxStoredAnswer bounds the body of a stored answer; larger answers are streamed and not kept.
const MaxStoredAnswer = 64 << 10

// Claims makes requests with an identity run at most once.
type Claims interface {
	// Begin claims an identity. It waits while another copy is running, until ctx
	// ends. The ticket is set for ClaimGranted and the answer for ClaimAnswered.
	// An error means that the state could not be read; nothing was granted.
	Begin(ctx context.Context, r ClaimRequest) (ClaimState, Ticket, *StoredAnswer, error)
}

// Ticket is a granted claim. Exactly one of Finish, NotRun and Unknown is called.
type Ticket interface {
	// MaySend reports whether sending may start at now; it is asked before each attempt.
	MaySend(now time.Time) bool
	// Finish records that the request ran, with its answer. An answer that is kept
	// is recorded before any of it is passed to the caller, a dropped one at its end.
	Finish(ctx context.Context, a *StoredAnswer) error
	// NotRun releases the claim. Only after a nil error may not-run be said.
	NotRun(ctx context.Context) error
	// Unknown records that the request may have run.
	Unknown(ctx context.Context) error
}

// Fingerprint identifies a request for quarantine. The zero value means that the
// request has none, because its body is too large to be read before sending.
type Fingerprint [16]byte

// Leave is the right to send a request to an upstream.
type Leave struct {
	Done func()
	// Avoid lists the IDs of upstreams that were lost while they ran the request.
	Avoid []string
}

// Quarantine refuses requests that coincide with the loss of upstreams.
type Quarantine interface {
	// Admit reports whether the request may be sent to an upstream. It may wait
	// until ctx ends. After true, Done of the leave is called when the request has ended.
	Admit(ctx context.Context, route *table.Route, f Fingerprint) (leave Leave, ok bool)
	// Ended reports that an attempt was answered, or that the connection of the
	// upstream was lost while it ran the request.
	Ended(route *table.Route, f Fingerprint, upstream table.Upstream, lost bool)
}

// RetryRequest asks for one more attempt.
type RetryRequest struct {
	Pool  *table.Pool
	Route *table.Route
	// Attempt is 2 for the first retry.
	Attempt int
	// Depth is the number of calls above the request, from Turmericsail-Depth.
	Depth int
	// CallerBudget is the number of retries that the caller of an inner call grants.
	CallerBudget int
	// Runs is the number of earlier attempts that may have run, hedges included.
	Runs int
}

// RetryBudget bounds retries.
type RetryBudget interface {
	// Request counts a caller's request, from which the budget grows.
	Request(pool *table.Pool, route *table.Route)
	// Retry takes one retry from the budget and returns the time to wait before it.
	Retry(r RetryRequest) (time.Duration, bool)
}

// Hedger decides on second copies of idempotent requests without a body.
type Hedger interface {
	// After returns the delay before a second copy may be sent; false turns hedging off.
	After(pool *table.Pool, route *table.Route) (time.Duration, bool)
	// Take takes one hedge from the budget. It is called when the delay has passed without an answer.
	Take(pool *table.Pool, route *table.Route) bool
}

// Relay reaches entries in other regions.
type Relay interface {
	// Open opens a stream to an entry in one of the regions; that entry passes it
	// to Entry.ServeRelayed. Any error means that nothing was handed over.
	Open(ctx context.Context, regions []string) (conn net.Conn, region string, err error)
}
