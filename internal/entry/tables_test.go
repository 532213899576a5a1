package entry

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// removeAfterFirst takes an upstream out of service between two attempts and records the number of
// UpstreamsOut in the pool of the second one.
type removeAfterFirst struct {
	inOrder
	remove func()
	calls  atomic.Int64
	out    atomic.Int64
}

func (p *removeAfterFirst) Acquire(ctx context.Context, r AcquireRequest) (Permit, error) {
	if p.calls.Add(1) == 1 {
		defer p.remove()
	} else {
		p.out.Store(int64(len(r.Pool.UpstreamsOut)))
	}
	return p.inOrder.Acquire(ctx, r)
}

// Guards against a later attempt that is sent to an upstream which was taken out of
// service while the first attempt ran: the time limit for draining an upstream counts
// from the operator's change.
func TestLaterAttemptsUseTheTablesInForce(t *testing.T) {
	is := is.New(t)
	p := &removeAfterFirst{}
	h := newHarness(t, testRoute(), []string{closedAddress(t), closedAddress(t)}, withPorts(func(ports *Ports) { ports.Placement = p }))
	p.remove = func() {
		h.pool.UpstreamsOut = []string{"u2"}
		h.apply()
	}
	is.Equal(h.do("GET", "/", nil).status, 503)
	is.Equal(p.calls.Load(), int64(2))
	is.Equal(p.out.Load(), int64(1))
}
