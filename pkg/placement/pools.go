package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// usableUpstreams returns the upstreams that are in service and may get new permits.
func usableUpstreams(p *table.Pool) []table.Upstream {
	ups := make([]table.Upstream, 0, len(p.Upstreams))
	for _, u := range p.Upstreams {
		if p.InService(u) {
			ups = append(ups, u)
		}
	}
	return ups
}

// localPool is the state of a pool as known to one entry without a broker.
type localPool struct {
	mu         sync.Mutex
	pool       table.Pool
	rnd        *rand.Rand
	byID       map[string]*upstreamState
	domains    []*loadIndex
	lastChosen int // position of the last choice; used by round-robin only
}

func newLocalPool(pool table.Pool, seed uint64) *localPool {
	p := &localPool{rnd: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*upstreamState{}}
	p.set(pool)
	return p
}

// set applies an edited pool row and keeps the counts of requests in flight.
func (p *localPool) set(pool table.Pool) {
	p.pool, p.domains = pool, nil
	old := p.byID
	p.byID = map[string]*upstreamState{}
	for _, u := range usableUpstreams(&pool) {
		s := old[u.ID]
		if s == nil {
			s = &upstreamState{}
		}
		s.up = u
		p.byID[u.ID] = s
		p.domain(u).add(s)
	}
}

func (p *localPool) domain(u table.Upstream) *loadIndex {
	for _, x := range p.domains {
		if x.domain == u.FailureDomain && x.region == u.Region {
			return x
		}
	}
	x := &loadIndex{region: u.Region, domain: u.FailureDomain}
	p.domains = append(p.domains, x)
	return x
}

// permitted returns the failure domains that the request may use.
func (p *localPool) permitted(r *Request) []*loadIndex {
	if len(r.HomeRegions) == 0 {
		return p.domains
	}
	var out []*loadIndex
	for _, x := range p.domains {
		if slices.Contains(r.HomeRegions, x.region) {
			out = append(out, x)
		}
	}
	return out
}

func (p *localPool) begin(s *upstreamState) {
	s.inUse++
	p.domain(s.up).setBucket(s, s.inUse)
}

func (p *localPool) end(s *upstreamState, now time.Time, load *Load) {
	s.inUse = max(0, s.inUse-1)
	s.load.update(now, load)
	if p.byID[s.up.ID] == s {
		p.domain(s.up).setBucket(s, s.inUse)
	}
}
