package hedge

import (
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/retry"
)

const (
	// windowAge is the time after which a new window of response times begins. An estimate covers one to two windows:
	// an instance that gets 8 requests a second then has 240 samples, one that gets one a second still has 30.
	windowAge = 30 * time.Second
	// maxEstimators bounds the pairs of pool and route with estimates. Others get the delay by target.
	maxEstimators = 1024
	// minQuantile is the lowest quantile used as a delay. Below the median, most second copies would be wasted.
	minQuantile = 0.5
	// targetShare is the share of the target that is the delay while there are too few response times. It leaves time
	// for one typical run.
	targetShare = 0.55
	// runShare is the usual response time as a share of the target while there are too few response times.
	runShare = 0.38
)

// Delay is the time after which a second copy may be sent.
type Delay struct {
	// After is the time since the first copy got its upstream.
	After time.Duration
	// Run is the usual response time.
	Run time.Duration
	// Measured is false if both follow from the target.
	Measured bool
}

// delays estimates the response times of first copies by pool and route.
type delays struct {
	mu   sync.Mutex
	list map[scope]*estimator
}

// estimator is a quantile estimator whose samples expire by age, too: the samples of a quiet route say nothing
// about current response times.
type estimator struct {
	retry.Quantile
	windowAt time.Time
}

// get returns the estimator of a pool and route after its expired samples are gone. It is nil for a new one if create
// is false or there are too many.
func (d *delays) get(pool, route string, create bool, now time.Time) *estimator {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := scope{pool, route}
	e := d.list[key]
	if e == nil {
		if !create || !d.makeRoom(now) {
			return nil
		}
		e = &estimator{windowAt: now}
		d.list[key] = e
	}
	age := now.Sub(e.windowAt)
	if age >= windowAge {
		e.NextWindow()
		e.windowAt = now
	}
	if age >= 2*windowAge {
		e.NextWindow()
	}
	return e
}

// makeRoom reports whether an estimator may be added. It removes those of routes that get no requests any more.
func (d *delays) makeRoom(now time.Time) bool {
	if len(d.list) < maxEstimators {
		return true
	}
	for key, e := range d.list {
		if now.Sub(e.windowAt) >= 2*windowAge {
			delete(d.list, key)
		}
	}
	return len(d.list) < maxEstimators
}

// observe adds the response time of a first copy.
func (d *delays) observe(pool, route string, took time.Duration, now time.Time) {
	if e := d.get(pool, route, true, now); e != nil {
		e.Observe(took)
	}
}

// delay returns the delay for a limit in percent. It is the quantile that as many requests exceed as the limit allows,
// but not so late that the second copy would miss the target.
func (d *delays) delay(pool, route string, percent float64, target time.Duration, now time.Time) Delay {
	byTarget := Delay{After: time.Duration(targetShare * float64(target)), Run: time.Duration(runShare * float64(target))}
	e := d.get(pool, route, false, now)
	if e == nil {
		return byTarget
	}
	after, ok := e.Estimate(max(minQuantile, 1-percent/100))
	if !ok {
		return byTarget
	}
	run, _ := e.Estimate(0.5)
	return Delay{After: max(run, min(after, target-run)), Run: run, Measured: true}
}
