package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Members is the part of the membership that a Syncer needs. *membership.Tracker
// implements it.
type Members interface {
	View() *membership.View
	Changed() <-chan struct{}
	Holds(key string, scope membership.Scope, n int) bool
}

var _ Members = (*membership.Tracker)(nil)

const (
	// watchRole is the key of the watcher role.
	watchRole = "config/watch"
	// watchersPerRegion is 2 so that tables stay current if one watcher is lost.
	watchersPerRegion = 2
	// proposalQueue bounds the proposals that wait for the goroutine in Run.
	proposalQueue = 16
)

// proposal asks the goroutine in Run to replace the snapshot. make returns the new
// snapshot, or nil to keep the current one.
type proposal struct {
	make   func(cur *snapshot) (*snapshot, error)
	source string
	// root reports that the rows came from the store, so this instance is the root of the tree.
	root   bool
	result chan error
}

// Syncer keeps the tables of this instance up to date. Only the goroutine in Run
// replaces the snapshot; readers load it through an atomic pointer.
type Syncer struct {
	settings  Settings
	transport peer.Transport
	members   Members
	kv        store.KV
	log       logr.Logger
	current   atomic.Pointer[snapshot]
	changed   atomic.Pointer[chan struct{}]
	served    atomic.Bool
	ready     chan struct{}
	done      chan struct{}
	proposals chan proposal
	pulls     puller
	highest   highWater
	running   sync.WaitGroup
	counts    counts
}

// New returns a Syncer. It registers its services with the transport, so call it
// before the transport runs.
func New(s Settings, transport peer.Transport, members Members, kv store.KV, log logr.Logger) *Syncer {
	y := &Syncer{
		settings: s.withDefaults(), transport: transport, members: members, kv: kv, log: log,
		ready: make(chan struct{}), done: make(chan struct{}), proposals: make(chan proposal, proposalQueue),
	}
	changed := make(chan struct{})
	y.changed.Store(&changed)
	y.current.Store(emptySnapshot())
	transport.Handle(digestService, y.handleDigest)
	transport.Handle(pullService, y.handlePull)
	return y
}

// Tables returns the tables in force, or nil while a starting instance has none yet.
func (y *Syncer) Tables() *table.Tables {
	if !y.served.Load() {
		return nil
	}
	return y.current.Load().tables
}

// Ready returns a channel that is closed once Tables returns tables.
func (y *Syncer) Ready() <-chan struct{} { return y.ready }

// Changed returns a channel that is closed at the next change of the tables after this call.
func (y *Syncer) Changed() <-chan struct{} { return *y.changed.Load() }

// Run keeps the tables up to date until ctx ends.
func (y *Syncer) Run(ctx context.Context) error {
	defer y.running.Wait()
	defer close(y.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	y.running.Go(func() { y.start(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-y.proposals:
			p.result <- y.applyProposal(ctx, p)
		}
	}
}

// applyProposal handles a proposal. No other function replaces the snapshot after New. It never
// lowers the revision.
func (y *Syncer) applyProposal(ctx context.Context, p proposal) error {
	cur := y.current.Load()
	next, err := p.make(cur)
	if err != nil || next == nil {
		return err
	}
	if next.revision <= cur.revision {
		return fault.Newf(fault.Conflict, "none is needed", "revision %d does not follow revision %d", next.revision, cur.revision)
	}
	y.current.Store(next)
	y.highest.record(time.Now(), next.revision)
	changed := make(chan struct{})
	close(*y.changed.Swap(&changed))
	y.log.V(1).Info("tables in force", "revision", next.revision, "source", p.source, "held", len(next.held))
	y.running.Go(func() { y.offerRevision(ctx, next, p.root) })
	return nil
}

// propose sends a proposal to the goroutine in Run and waits for its result.
func (y *Syncer) propose(ctx context.Context, source string, root bool, f func(cur *snapshot) (*snapshot, error)) error {
	p := proposal{f, source, root, make(chan error, 1)}
	select {
	case y.proposals <- p:
	case <-y.done:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-p.result:
		return err
	case <-y.done:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errStopped = fault.New(fault.Unavailable, "this instance has stopped", "use another instance")

// adopt puts a snapshot in force unless its revision or a higher one already is.
func (y *Syncer) adopt(ctx context.Context, source string, root bool, s *snapshot) {
	_ = y.propose(ctx, source, root, func(cur *snapshot) (*snapshot, error) {
		if s.revision <= cur.revision {
			return nil, nil
		}
		return s, nil
	})
}

// Status describes the tables that are in force on this instance.
type Status struct {
	// Revision is the revision in force, or 0 if there is none.
	Revision uint64 `json:"revision"`
	// Digest is the digest of the rows in force.
	Digest uint64 `json:"digest,string"`
	// Rows is the number of rows in force.
	Rows int `json:"rows"`
	// Held are the rows whose value in the store is not in force.
	Held map[string]Held `json:"held,omitempty"`
	// Problems are the faults of rows, each with a remedy.
	Problems table.Problems `json:"problems,omitempty"`
	// Watching reports whether this instance watches the store.
	Watching bool `json:"watching"`
	// Pulls counts transfers of rows, and FullPulls those of all rows. Mismatches counts deltas
	// with a wrong digest and peers with different rows for the same revision.
	Pulls, FullPulls, Mismatches uint64
	// Writes counts heads written by this instance.
	Writes uint64
}

type counts struct{ pulls, full, mismatches, writes atomic.Uint64 }

// Status returns the status of the tables on this instance.
func (y *Syncer) Status() Status {
	s := y.current.Load()
	return Status{
		Revision: s.revision, Digest: s.digest, Rows: len(s.values()), Held: s.held, Problems: s.problems,
		Watching: y.watches(), Pulls: y.counts.pulls.Load(), FullPulls: y.counts.full.Load(),
		Mismatches: y.counts.mismatches.Load(), Writes: y.counts.writes.Load(),
	}
}

// highWater is the highest revision that any instance was recently known to have. It
// expires, because the only instance that had the revision may be lost.
type highWater struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time
}

// highWaterMaxAge is the time after which a highWater expires.
const highWaterMaxAge = 10 * time.Second

func (h *highWater) record(now time.Time, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision >= h.revision || now.Sub(h.at) > highWaterMaxAge {
		h.revision, h.at = revision, now
	}
}

func (h *highWater) get(now time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.at) > highWaterMaxAge {
		return 0
	}
	return h.revision
}

// jitter returns a random duration between 80 and 120% of d, so that instances do not
// act at the same times.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}
