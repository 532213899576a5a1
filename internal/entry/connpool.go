package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errNoConnection means that no connection to the upstream became free within connWaitTimeout.
var errNoConnection = errors.New("all connections of this instance to the upstream are in use")

// connPool holds the connections of this instance to one upstream. It opens a new
// connection only if none is idle, and never more than limit.
type connPool struct {
	dialer  *dialer
	address string

	mu      sync.Mutex
	limit   int
	open    int
	idle    []*upstreamConn // most recently used last
	waiters []chan *upstreamConn
	retired bool
}

// get returns an idle connection or a new one, or waits until one is free. If it fails, nothing was sent.
func (p *connPool) get(ctx context.Context) (*upstreamConn, error) {
	for {
		c, err := p.take(ctx)
		if err != nil || !c.reused || c.isSilent() {
			return c, err
		}
		p.discard(c)
	}
}

func (p *connPool) take(ctx context.Context) (*upstreamConn, error) {
	p.mu.Lock()
	if c := p.popIdle(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return p.dial(ctx)
	}
	ready := make(chan *upstreamConn, 1)
	p.waiters = append(p.waiters, ready)
	p.mu.Unlock()
	return p.wait(ctx, ready)
}

func (p *connPool) popIdle() *upstreamConn {
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		if c.client.Err() == nil {
			c.reused = true
			return c
		}
		p.open--
	}
	return nil
}

func (p *connPool) dial(ctx context.Context) (*upstreamConn, error) {
	c, err := p.dialer.dial(ctx, p.address, p)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return c, nil
}

// wait blocks until it receives a connection, or nil, which is the permission to dial a new one.
func (p *connPool) wait(ctx context.Context, ready chan *upstreamConn) (*upstreamConn, error) {
	timer := time.NewTimer(connWaitTimeout)
	defer timer.Stop()
	var err error
	select {
	case c := <-ready:
		if c != nil {
			return c, nil
		}
		return p.dial(ctx)
	case <-timer.C:
		err = errNoConnection
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	p.cancelWait(ready)
	return nil, err
}

// cancelWait removes a waiter, or passes on what the waiter received in the meantime.
func (p *connPool) cancelWait(ready chan *upstreamConn) {
	p.mu.Lock()
	for i, w := range p.waiters {
		if w == ready {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	if c := <-ready; c != nil {
		p.put(c)
		return
	}
	p.releaseSlot()
}

// put returns a connection to the pool. Its last request and response must be complete.
func (p *connPool) put(c *upstreamConn) {
	p.mu.Lock()
	switch {
	case p.retired || c.client.Err() != nil:
		p.mu.Unlock()
		p.discard(c)
		return
	case len(p.waiters) > 0:
		c.reused = true
		p.popWaiter() <- c
	default:
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
}

func (p *connPool) popWaiter() chan *upstreamConn {
	ready := p.waiters[0]
	p.waiters = p.waiters[1:]
	return ready
}

// discard closes a connection that must not be reused.
func (p *connPool) discard(c *upstreamConn) {
	_ = c.client.Close()
	p.releaseSlot()
}

// releaseSlot lets the first waiter dial a new connection, or lowers the number of open ones.
func (p *connPool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 && p.open <= p.limit {
		p.popWaiter() <- nil
		return
	}
	p.open--
}

// closeIdle closes connections that have been idle since before the given time, or that failed,
// and all idle connections of a retired pool.
func (p *connPool) closeIdle(before time.Time) {
	p.mu.Lock()
	var old []*upstreamConn
	keep := p.idle[:0]
	for _, c := range p.idle {
		if p.retired || c.client.Err() != nil || c.idleSince.Before(before) {
			old = append(old, c)
		} else {
			keep = append(keep, c)
		}
	}
	clear(p.idle[len(keep):])
	p.idle = keep
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// retire closes idle connections now and the others when their requests end.
func (p *connPool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle(time.Time{})
}

// counts returns the numbers of open and idle connections.
func (p *connPool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}
