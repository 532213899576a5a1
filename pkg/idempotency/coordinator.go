package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// Views gives the coordinator access to the current views; *view.Manager implements it.
type Views interface {
	// Current returns the latest known view of a region.
	Current(region string) (view.View, bool)
	// Refresh fetches newer views from one instance.
	Refresh(ctx context.Context, from peer.InstanceID) error
}

var _ Views = (*view.Manager)(nil)

// Timing holds the durations of the coordinator.
type Timing struct {
	// CallTimeout limits one call to a member.
	CallTimeout time.Duration
	// UnreachableTimeout is how long a claim is retried while too few members are reachable. It is refused after that.
	UnreachableTimeout time.Duration
	// RetryMin and RetryMax bound the jittered delay between attempts, and between queries of a held key.
	RetryMin, RetryMax time.Duration
	// EndRetryMax is the longest delay between attempts to store the end of a request.
	EndRetryMax time.Duration
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		CallTimeout: 500 * time.Millisecond, UnreachableTimeout: 10 * time.Second,
		RetryMin: 5 * time.Millisecond, RetryMax: 250 * time.Millisecond, EndRetryMax: 2 * time.Second,
	}
}

// Config holds the dependencies and settings of a Coordinator.
type Config struct {
	// Region is the region of this instance.
	Region string
	// Transport carries claims to the members.
	Transport peer.Transport
	// Views provides the members of each region's view.
	Views Views
	// Members is the member list; a claimant that is not in it is considered lost.
	Members view.Members
	// Replica is the replica of this instance, which is called without the transport.
	Replica *Replica
	// Timing holds the durations; zero means DefaultTiming.
	Timing Timing
	// Log receives failures to store the end of a request. The zero value discards them.
	Log logr.Logger
}

// Coordinator claims requests on behalf of an entry.
type Coordinator struct {
	cfg      Config
	self     peer.InstanceID
	sequence atomic.Uint64
	// pendingEnds tracks the goroutines that store the ends of claims.
	pendingEnds sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
}

// New returns a coordinator.
func New(cfg Config) (*Coordinator, error) {
	if cfg.Region == "" || cfg.Transport == nil || cfg.Views == nil || cfg.Members == nil || cfg.Replica == nil {
		return nil, fault.New(fault.Invalid, "the claim coordinator lacks a region, transport, views, member list or replica", "set every field of idempotency.Config")
	}
	if cfg.Timing == (Timing{}) {
		cfg.Timing = DefaultTiming()
	}
	if cfg.Log.GetSink() == nil {
		cfg.Log = logr.Discard()
	}
	c := &Coordinator{cfg: cfg, self: cfg.Transport.Self()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Shutdown waits until the ends of all claims are stored or ctx is done.
func (c *Coordinator) Shutdown(ctx context.Context) error {
	defer c.cancel()
	done := make(chan struct{})
	go func() {
		c.pendingEnds.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "ends of requests are not stored on a write quorum", "give the shutdown more time; repeats of these requests get an unknown outcome")
	}
}

// Begin claims a request. While another copy of the request runs, Begin waits. It
// returns a ticket, the stored answer or a refusal.
func (c *Coordinator) Begin(ctx context.Context, key Key, digest Digest) Result {
	if err := key.validate(c.cfg.Region); err != nil {
		return refuse(err)
	}
	b := &beginCall{c: c, key: key, digest: digest, hash: key.hash(), lastProgress: time.Now()}
	for {
		if result, done := b.step(ctx); done {
			return result
		}
		select {
		case <-ctx.Done():
			return refuse(fault.Wrap(fault.Unavailable, ctx.Err(), "the request ended while it waited for its claim", "repeat the request with the same identity"))
		case <-time.After(b.delay()):
		}
	}
}

// beginCall is the state of one call of Begin.
type beginCall struct {
	c            *Coordinator
	key          Key
	digest       Digest
	hash         recordKey
	lastProgress time.Time // start of the call, or when the key was last found held
	tries        int
	// querying is set after an attempt failed. Queries change no state on the members.
	querying bool
	// failedClaims counts the claims that failed. The delay before the next claim grows with
	// it, so that two entries that each win some of the members stop colliding.
	failedClaims int
	// goneCount counts consecutive queries that found only claims whose claimants are gone.
	goneCount int
}

// delay returns a jittered delay whose upper bound doubles with each try, up to RetryMax.
func (b *beginCall) delay() time.Duration {
	t := b.c.cfg.Timing
	bound := min(t.RetryMax, t.RetryMin<<min(b.tries, 16))
	b.tries++
	return t.RetryMin + rand.N(bound)
}

func (b *beginCall) step(ctx context.Context) (Result, bool) {
	v, ok := b.c.cfg.Views.Current(b.key.Region)
	if !ok {
		return b.retryOrRefuse("no view of the record region is known")
	}
	for _, m := range v.Members {
		if m.Region != b.key.Region {
			return refuse(fault.New(fault.Refused, "the view has members outside the record region", "delete the view's row when every instance of the region is down")), true
		}
	}
	a := b.c.sendAttempt(ctx, b, v)
	switch a.status() {
	case won:
		return Result{Ticket: newTicket(b.c, b.key, a)}, true
	case answered:
		b.c.abandon(b.key, a)
		return storedAnswer(a.answer()), true
	}
	b.c.abandon(b.key, a)
	return b.handleFailure(ctx, a)
}

// handleFailure decides whether to retry or refuse after an attempt that yielded neither a ticket nor an answer.
func (b *beginCall) handleFailure(ctx context.Context, a *attempt) (Result, bool) {
	b.querying = true
	status := a.finalStatus()
	if a.status() == conflicting || a.status() == free {
		status = a.status()
	}
	switch status {
	case conflicting:
		return refuse(fault.New(fault.Conflict, "the identity belongs to a request with other content", "use a new identity for each request and repeat a request unchanged")), true
	case unknownOutcome:
		return refuse(errClaimantGone()), true
	case free:
		b.querying, b.tries, b.goneCount = false, b.failedClaims, 0
		b.failedClaims++
		return Result{}, false
	case held:
		b.lastProgress = time.Now()
		b.c.forwardReleases(b.key, a)
		return b.handleHeld(a)
	case stale:
		_ = b.c.cfg.Views.Refresh(ctx, a.laterEpoch())
		return b.retryOrRefuse("the members work in another epoch")
	case full:
		return refuse(fault.New(fault.Exhausted, "the members have no room for another record", "raise the memory bound of records or shorten record_window")), true
	case unreachable:
		return b.retryOrRefuse("too few members of the record region answer")
	}
	return Result{}, false
}

// handleHeld refuses the request when every claimant that holds the key is gone.
func (b *beginCall) handleHeld(a *attempt) (Result, bool) {
	live := make(map[peer.InstanceID]bool)
	for _, in := range b.c.cfg.Members.Live() {
		live[in.ID] = true
	}
	for id := range a.holders() {
		if live[id.claimant] || id.claimant == b.c.self {
			b.goneCount = 0
			return Result{}, false
		}
	}
	if b.goneCount++; b.goneCount < minGoneQueries {
		return Result{}, false
	}
	return refuse(errClaimantGone()), true
}

// minGoneQueries is the number of consecutive queries that must find the claimants gone,
// so that a release that is still in flight can arrive.
const minGoneQueries = 3

func errClaimantGone() error {
	return fault.New(fault.OutcomeUnknown, "an earlier copy of the request ended without a known outcome", "find out at the upstream whether the request ran; a repeat within the record window is not run")
}

func (b *beginCall) retryOrRefuse(why string) (Result, bool) {
	if time.Since(b.lastProgress) < b.c.cfg.Timing.UnreachableTimeout {
		return Result{}, false
	}
	return refuse(fault.New(fault.Unavailable, why, "repeat the request with the same identity when the record region or the store is back")), true
}

// sendAttempt sends one claim or query to the members of v.
func (c *Coordinator) sendAttempt(ctx context.Context, b *beginCall, v view.View) *attempt {
	m := claimMessage{
		epoch: v.Epoch, key: b.hash, id: claimID{c.self, c.sequence.Add(1)}, digest: b.digest,
		window: b.key.Window, query: b.querying,
	}
	return c.exchange(ctx, b.key.Region, newAttempt(m, v.Group, time.Now()), false)
}

// exchange sends the attempt's message to every member. It collects replies until they
// decide the outcome or, if all is set, until every member has replied or failed.
func (c *Coordinator) exchange(ctx context.Context, region string, a *attempt, all bool) *attempt {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.CallTimeout)
	type answer struct {
		from  peer.InstanceID
		reply claimReply
		err   error
	}
	answers := make(chan answer, len(a.group.Members))
	var calls sync.WaitGroup
	for _, member := range a.group.Members {
		calls.Go(func() {
			r, err := c.sendClaim(ctx, member.ID, region, a.message)
			answers <- answer{member.ID, r, err}
		})
	}
	// Calls that are no longer needed for the decision continue, so that every member receives the claim.
	go func() {
		calls.Wait()
		cancel()
	}()
	for a.status() == pending || all && !a.complete() {
		in := <-answers
		if in.err != nil {
			a.fail(in.from)
			continue
		}
		a.reply(in.from, in.reply)
	}
	return a
}

func (c *Coordinator) sendClaim(ctx context.Context, to peer.InstanceID, region string, m claimMessage) (claimReply, error) {
	if to == c.self {
		return c.cfg.Replica.claim(time.Now(), m), nil
	}
	var reply peerpb.ClaimReply
	if err := c.cfg.Transport.Call(ctx, to, serviceClaim, m.proto(region), &reply); err != nil {
		return claimReply{}, err
	}
	return claimReplyOf(&reply), nil
}
