package entry

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// leavingAfterFirst lets an upstream leave between two attempts and records what the second one is told.
type leavingAfterFirst struct {
	inOrder
	leave func()
	calls atomic.Int64
	out   atomic.Int64
}

func (p *leavingAfterFirst) Acquire(ctx context.Context, r AcquireRequest) (Permit, error) {
	if p.calls.Add(1) == 1 {
		defer p.leave()
	} else {
		p.out.Store(int64(len(r.Pool.UpstreamsOut)))
	}
	return p.inOrder.Acquire(ctx, r)
}

// Guards against a later attempt that goes to an upstream which left while the
// first attempt ran: the bound for leaving upstreams counts from the operator's change.
func TestLaterAttemptsUseTheTablesInForce(t *testing.T) {
	is := is.New(t)
	p := &leavingAfterFirst{}
	h := newHarness(t, testRoute(), []string{closedAddress(t), closedAddress(t)}, withPorts(func(ports *Ports) { ports.Placement = p }))
	p.leave = func() {
		h.pool.UpstreamsOut = []string{"u2"}
		h.apply()
	}
	is.Equal(h.do("GET", "/", nil).status, 503)
	is.Equal(p.calls.Load(), int64(2))
	is.Equal(p.out.Load(), int64(1))
}
