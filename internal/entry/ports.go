package entry

import (
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// AcquireRequest describes the attempt that needs an upstream.
type AcquireRequest struct {
	Pool      *table.Pool
	Route     *table.Route
	Class     table.Class
	Workspace string
	// WorkspaceRate is the limit of the workspace in requests per second; zero if it has none or no key named it.
	WorkspaceRate float64
	// Exclude lists the IDs of upstreams that earlier attempts of the request used.
	Exclude []string
	// Hedge is set for the second copy of a request; such a copy should not queue.
	Hedge bool
	// RequestID identifies the request in logs.
	RequestID string
	// Start is the time of the caller's first try: the time at which the entry received the
	// request, less the estimated duration of the caller's earlier tries.
	Start time.Time
}

// Placement picks upstreams.
type Placement interface {
	// Acquire returns a permit to send one request. It may queue until ctx ends;
	// the deadline of ctx is that of the request. A fault.Exhausted error means that
	// there is no free capacity, fault.Unavailable that no upstream is in service. No
	// permit is held after an error.
	Acquire(ctx context.Context, r AcquireRequest) (Permit, error)
}

// ShedAdvisor is a Placement that knows when a caller should return whose request was refused by upstreams.
type ShedAdvisor interface {
	// RetryAfterShed returns that delay, or false if the usual one applies.
	RetryAfterShed(r AcquireRequest, deadline time.Time) (time.Duration, bool)
}

// Permit allows one attempt on one upstream.
type Permit interface {
	Upstream() table.Upstream
	// Done releases the permit. It is called exactly once, when the attempt no
	// longer uses the upstream: after the last byte of the response or a failure.
	Done(r Result)
}

// Cutter is a Permit that can be revoked while its attempt runs.
type Cutter interface {
	// Cut returns a channel that is closed when the permit is revoked and the attempt must
	// end. A nil channel means that the permit is never revoked.
	Cut() <-chan struct{}
}

// Ending is the way in which an attempt ended.
type Ending string

const (
	// EndAnswered means that the upstream sent a complete response.
	EndAnswered Ending = "answered"
	// EndNotRun means that no byte reached the upstream, or that it reported not having run the request.
	EndNotRun Ending = "not-run"
	// EndLost means that the connection failed after a byte was sent, or that the response was truncated or malformed.
	EndLost Ending = "lost"
	// EndTimedOut means that the deadline or the stall timeout passed.
	EndTimedOut Ending = "late"
	// EndCancelled means that the caller disconnected or another copy won. It gives no information about the upstream.
	EndCancelled Ending = "cancelled"
)

// Result is the result of an attempt, as reported to the permit and the observers.
type Result struct {
	Ending Ending
	// Status is the status of the response, or 0 without a response.
	Status int
	// FirstByte is the time from sending to the response header; zero without a response.
	FirstByte time.Duration
	// Total is the time from sending to the end of the attempt.
	Total time.Duration
	// BytesDown counts the bytes of the response body.
	BytesDown int64
}

// Observation is an event of one attempt, reported to observers.
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
	// Hedge is set for the second copy of a request.
	Hedge bool
	// Superseded is set at the end of an attempt that was cancelled because the other copy won.
	Superseded bool
}

// Observer receives one observation when the response header arrives (Result.Ending
// is empty) and one when the attempt ends. It must not block.
type Observer interface {
	Observe(o *Observation)
}

// IntakeObserver learns what upstreams state about the requests that they take. It must not block.
type IntakeObserver interface {
	Stated(u table.Upstream, i Intake)
}

// ClaimRequest identifies a non-idempotent request.
type ClaimRequest struct {
	Route    *table.Route
	Identity string
	// Digest covers method, host, target, content type and declared length, so that
	// the use of one identity for two different requests is detected.
	Digest [32]byte
}

// ClaimState is the state of a request identity.
type ClaimState string

const (
	// ClaimGranted means that only the caller of Begin may run the request.
	ClaimGranted ClaimState = "granted"
	// ClaimAnswered means that the request ran and its response is stored.
	ClaimAnswered ClaimState = "answered"
	// ClaimRan means that the request ran and its response was not stored.
	ClaimRan ClaimState = "ran"
	// ClaimUnknown means that the request may have run.
	ClaimUnknown ClaimState = "unknown"
	// ClaimMismatch means that the identity belongs to a request with another digest.
	ClaimMismatch ClaimState = "mismatch"
)

// StoredResponse is a response that is stored for repeated requests.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Dropped is set when the response was too large to be stored; Body is then empty.
	Dropped bool
}

// MaxStoredResponse bounds the body of a stored response in bytes; larger responses are streamed and not stored.
const MaxStoredResponse = 64 << 10

// Claims makes requests with an identity run at most once.
type Claims interface {
	// Begin claims an identity. It waits while another copy is running, until ctx
	// ends. The ticket is set for ClaimGranted and the stored response for
	// ClaimAnswered. An error means that the state could not be read; nothing was granted.
	Begin(ctx context.Context, r ClaimRequest) (ClaimState, Ticket, *StoredResponse, error)
}

// Ticket is a granted claim. Exactly one of Finish, NotRun and Unknown is called.
type Ticket interface {
	// MaySend reports whether sending may start at now; it is called before each attempt.
	MaySend(now time.Time) bool
	// Finish records that the request ran, with its response. A stored response is
	// recorded before any of it is sent to the caller, a dropped one at its end.
	Finish(ctx context.Context, a *StoredResponse) error
	// NotRun releases the claim. The outcome NotRun may only be reported if the error is nil.
	NotRun(ctx context.Context) error
	// Unknown records that the request may have run.
	Unknown(ctx context.Context) error
}

// Fingerprint identifies a request for quarantine. The zero value means that the
// request has none.
type Fingerprint [16]byte

// Short returns the start of the fingerprint, which is enough to find the repeats of a request in a log.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:4]) }

// Admission is quarantine's permission to send a request to an upstream.
type Admission struct {
	// Done releases the permission.
	Done func()
	// Avoid lists the IDs of upstreams that the request is not sent to while others are eligible: those that were lost
	// while they ran it, and those that it is kept from so that it ends few.
	Avoid []string
	// Suspect is set for a request that an upstream was lost under. It is sent to one upstream at a time.
	Suspect bool
	// RetryAfter is the time after which a request that was not admitted may come back; zero if that is not known.
	RetryAfter time.Duration
}

// RunEnd describes the end of an attempt that may have run at an upstream.
type RunEnd struct {
	Upstream table.Upstream
	Began    time.Time
	// WithoutBody is set if the fingerprint leaves out a body that was not read before sending.
	WithoutBody bool
	// Lost is set if the connection was lost while the request ran, or the response was malformed. Otherwise the upstream sent a
	// complete response that is no error of its own.
	Lost bool
}

// Quarantine refuses requests that coincide with the loss of upstreams.
type Quarantine interface {
	// Admit reports whether the request may be sent to an upstream. It may wait
	// until ctx ends, and does not wait if ctx has ended before. If ok is true, admission.Done is called when the request has
	// ended.
	Admit(ctx context.Context, route *table.Route, f Fingerprint) (admission Admission, ok bool)
	// Suspected reports whether an upstream was lost under a request that differs from this one at most in its body.
	Suspected(route *table.Route, f Fingerprint) bool
	// Ended reports the end of an attempt.
	Ended(route *table.Route, f Fingerprint, end RunEnd)
}

// RetryRequest asks for one more attempt.
type RetryRequest struct {
	Pool  *table.Pool
	Route *table.Route
	// Attempt is 2 for the first retry.
	Attempt int
	// Depth is the number of calls above the request in the call chain, from Turmericsail-Depth.
	Depth int
	// CallerBudget is the number of retries that the caller of a nested call allows.
	CallerBudget int
	// Runs is the number of earlier attempts that may have run, hedges included.
	Runs int
}

// RetryBudget bounds retries.
type RetryBudget interface {
	// Request counts a caller's request, which adds to the budget.
	Request(pool *table.Pool, route *table.Route)
	// Retry takes one retry from the budget and returns the delay before it, or false if none is allowed.
	Retry(r RetryRequest) (time.Duration, bool)
}

// Hedger decides when a second copy of an idempotent request without a body is sent.
type Hedger interface {
	// After returns the delay before a second copy may be sent, or false if the request is not hedged.
	After(pool *table.Pool, route *table.Route) (time.Duration, bool)
	// Take takes one hedge from the budget. It is called when the delay has passed without a response.
	Take(pool *table.Pool, route *table.Route) bool
}

// HedgePlanner is a Hedger that decides on the state of the request. The entry calls Plan in place of Take.
type HedgePlanner interface {
	Hedger
	// Plan decides whether the second copy is sent now. It takes the copy from the budgets if so.
	Plan(r HedgeRequest) HedgePlan
}

// HedgeRequest describes a request without a response, whose delay has passed.
type HedgeRequest struct {
	Pool  *table.Pool
	Route *table.Route
	// Upstream has the first copy since Placed, which is zero while the first copy has no upstream.
	Upstream table.Upstream
	Placed   time.Time
	Deadline time.Time
	// Suspect is set if an upstream was lost under the request.
	Suspect bool
	// TakeRate takes a token of the workspace's rate, if there is one at once. The planner calls it last, and sends no copy
	// without a token. It is nil if the request needs none.
	TakeRate func() bool
}

// HedgePlan is the decision on a second copy.
type HedgePlan struct {
	Send bool
	// Wait is the time after which to ask again; zero if the request gets no second copy. Unused if Send is set.
	Wait time.Duration
	// Avoid lists the IDs of upstreams that get the second copy only if no other one has room.
	Avoid []string
}

// Relay connects to entries in other regions.
type Relay interface {
	// Open opens a stream to an entry in one of the regions, which passes it to its
	// Entry.ServeRelayed. After an error, no data has been sent.
	Open(ctx context.Context, regions []string) (conn net.Conn, region string, err error)
}
