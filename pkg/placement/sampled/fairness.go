package sampled

import (
	"math"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// demandHalfLife is the time in which a request counts half. Floods last some seconds.
	demandHalfLife = 2 * time.Second
	// minFloodDemand is the least weighted number of recent requests of a workspace that can be a flood; fewer say little.
	minFloodDemand = 4
	// floodFactor is how many times as much of its limit as the others of theirs a workspace must ask for to count as
	// flooding. Limits are about 1.6 times the usual rates, so an ordinary variation stays below.
	floodFactor = 2
)

// demandKey names the requests that compete with each other: those of one class in one pool.
type demandKey struct {
	pool  string
	class table.Class
}

// demand counts the recent requests of workspaces with a rate limit, as this instance received them. A flooding
// workspace leaves scarce upstreams to the others; without this, all requests would be refused with the same
// probability, and the flood of one workspace would push out the others.
type demand struct {
	mu         sync.Mutex
	at         time.Time // of the counts
	workspaces map[string]*workspaceDemand
}

type workspaceDemand struct {
	count float64 // of recent requests, weighted by age
	rate  float64 // the limit of the workspace
}

// add counts one request and reports whether its workspace floods: it asks for more than floodFactor times as much of
// its limit as the other workspaces seen lately ask of theirs. A workspace that is alone never floods. Comparing shares
// of all requests instead did not see the flood of a workspace that usually sends half of them.
func (d *demand) add(workspace string, rate float64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	w := d.workspaces[workspace]
	if w == nil {
		w = &workspaceDemand{}
		d.workspaces[workspace] = w
	}
	w.count++
	w.rate = rate
	var others workspaceDemand
	for _, other := range d.workspaces {
		if other != w {
			others.count += other.count
			others.rate += other.rate
		}
	}
	return w.count >= minFloodDemand && others.rate > 0 && w.count/w.rate > floodFactor*others.count/others.rate
}

// forgetBelow is the weighted number of requests below which a workspace is forgotten, which bounds the memory.
const forgetBelow = 0.05

func (d *demand) decay(now time.Time) {
	factor := math.Exp2(-max(now.Sub(d.at), 0).Seconds() / demandHalfLife.Seconds())
	d.at = now
	for name, w := range d.workspaces {
		if w.count *= factor; w.count < forgetBelow {
			delete(d.workspaces, name)
		}
	}
}

// floods counts a request and reports whether its workspace floods. Further attempts, requests without a workspace, and
// those of workspaces without a limit are not counted.
func (p *Policy) floods(r Request, now time.Time) bool {
	if r.Workspace == "" || r.Rate <= 0 || len(r.Tried) > 0 {
		return false
	}
	key := demandKey{r.Pool.Name, r.Route.Class}
	p.mu.Lock()
	d := p.demands[key]
	if d == nil {
		d = &demand{at: now, workspaces: map[string]*workspaceDemand{}}
		p.demands[key] = d
	}
	p.mu.Unlock()
	return d.add(r.Workspace, r.Rate, now)
}
