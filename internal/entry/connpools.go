package entry

import (
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// connPools holds the connection pools of all upstreams in the tables.
type connPools struct {
	dialer    *dialer
	instances func() int

	mu    sync.RWMutex
	pools map[connKey]*connPool
}

type connKey struct{ pool, address string }

func newConnPools(d *dialer, instances func() int) *connPools {
	return &connPools{dialer: d, instances: instances, pools: map[connKey]*connPool{}}
}

// minConnections is the number of connections to an upstream that an instance may use in any case: for a probe, a
// request, its second copy and an attempt that is ending.
const minConnections = 4

// share returns the part of an upstream's connection limit that one instance may use without a grant.
func (p *connPools) share(connections int) int {
	return max(connections/max(p.instances(), 1), min(connections, minConnections))
}

func (p *connPools) forUpstream(pool *table.Pool, address string) *connPool {
	key := connKey{pool.Name, address}
	p.mu.RLock()
	c := p.pools[key]
	p.mu.RUnlock()
	if c != nil {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.pools[key]; c == nil {
		c = &connPool{dialer: p.dialer, address: address, limit: p.share(pool.Connections)}
		p.pools[key] = c
	}
	return c
}

// apply updates the limits from new tables and retires the pools of upstreams that
// were removed or taken out of service. Running requests are not interrupted.
func (p *connPools) apply(t *table.Tables) {
	limits := map[connKey]int{}
	for _, pool := range t.Pools {
		for i := range pool.Upstreams {
			if u := &pool.Upstreams[i]; pool.InService(*u) {
				limits[connKey{pool.Name, u.Address}] = p.share(pool.Connections)
			}
		}
	}
	p.mu.Lock()
	var gone []*connPool
	for key, c := range p.pools {
		limit, ok := limits[key]
		if !ok {
			gone = append(gone, c)
			delete(p.pools, key)
			continue
		}
		c.mu.Lock()
		c.limit = limit
		c.mu.Unlock()
	}
	p.mu.Unlock()
	for _, c := range gone {
		c.retire()
	}
}

// sweep closes connections that have been idle for longer than idleConnTimeout.
func (p *connPools) sweep(now time.Time) {
	p.mu.RLock()
	all := make([]*connPool, 0, len(p.pools))
	for _, c := range p.pools {
		all = append(all, c)
	}
	p.mu.RUnlock()
	for _, c := range all {
		c.closeIdle(now.Add(-idleConnTimeout))
	}
}
