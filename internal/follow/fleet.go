package follow

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Limits that hold for all instances together, such as the retry budget, are divided by the number of instances. The
// reader of a region counts the instances that ask it for changes and records the number in the store, so every
// instance knows all numbers from its own copy, also after a restart of all and while instances cannot reach each other.

const (
	// fleetPrefix is the prefix of the recorded numbers of instances, one key per region.
	fleetPrefix = "turmericsail/instances/"
	// countWindow is how long an instance counts after its last request: two waits for a change and their pauses.
	countWindow = 3 * time.Second
	// shrinkDelay is how long the count must be low before a lower number is recorded. Instances that restart or
	// that are cut off return within this time.
	shrinkDelay = 15 * time.Second
	// growthMargin is the part by which the recorded number exceeds the count, so that instances that join
	// one after the other cost few writes and are covered before they are counted.
	growthMargin = 1.0 / 8
	// shrinkShare is the share of the recorded number below which the count is low.
	shrinkShare = 0.6
	// maxCounted bounds the instances that are counted.
	maxCounted = 65536
)

// instanceCounter counts the instances of the own region that ask this one for changes.
type instanceCounter struct {
	mu       sync.Mutex
	asked    map[string]time.Time // by instance name, without the incarnation
	lowSince time.Time
}

func newInstanceCounter() *instanceCounter { return &instanceCounter{asked: map[string]time.Time{}} }

// record counts a request of an instance.
func (c *instanceCounter) record(id peer.InstanceID, now time.Time) {
	name, _, _ := strings.Cut(string(id), "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.asked[name]; known || len(c.asked) < maxCounted {
		c.asked[name] = now
	}
}

// count returns the number of instances that asked within countWindow, plus this one.
func (c *instanceCounter) count(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, at := range c.asked {
		if now.Sub(at) > countWindow {
			delete(c.asked, name)
		}
	}
	return len(c.asked) + 1
}

// next returns the number to record in place of the given one, or zero if that one stays. A reader without
// followers records no lower number: it may be cut off from them.
func (c *instanceCounter) next(recorded int, now time.Time) int {
	counted := c.count(now)
	wanted := counted + int(float64(counted)*growthMargin)
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted > 1 && float64(counted) < shrinkShare*float64(recorded) {
		if c.lowSince.IsZero() {
			c.lowSince = now
		}
		if now.Sub(c.lowSince) >= shrinkDelay {
			return wanted
		}
		return 0
	}
	c.lowSince = time.Time{}
	if counted > recorded {
		return wanted
	}
	return 0
}

// decodeFleetSize decodes the recorded number of instances of a region.
func decodeFleetSize(e store.Entry) (*fleetSize, error) {
	n, err := strconv.Atoi(string(e.Value))
	if err != nil || n < 1 {
		return nil, fault.Newf(fault.Invalid, "wait until a reader records it again", "%q is not a number of instances", e.Value)
	}
	return &fleetSize{region: strings.TrimPrefix(e.Key, fleetPrefix), instances: n}, nil
}

// fleetSize is the recorded number of instances of a region.
type fleetSize struct {
	region    string
	instances int
}

// totalInstances adds the numbers of all regions. A region without one counts as the largest of the others.
func totalInstances(byRegion map[string]int, regions int) int {
	total, largest := 0, 0
	for _, n := range byRegion {
		total += n
		largest = max(largest, n)
	}
	return total + max(regions-len(byRegion), 0)*largest
}

// Instances returns the number of instances of all regions, or zero while none is recorded. It is
// an upper bound unless instances have joined within the last few seconds.
func (f *Follower) Instances() int {
	known := f.fleet.Load()
	if known == nil {
		return 0
	}
	return totalInstances(*known, f.regions)
}

// recordInstances records the number of instances of the own region if it has changed. The number is known
// once this instance has been the reader since the given time for countWindow.
func (f *Follower) recordInstances(ctx context.Context, readerSince time.Time) {
	now := time.Now()
	if f.writer == nil || now.Sub(readerSince) < countWindow {
		return
	}
	recorded := 0
	if known := f.fleet.Load(); known != nil {
		recorded = (*known)[f.self.Region]
	}
	n := f.counter.next(recorded, now)
	if n == 0 {
		return
	}
	err := f.writer.Write(ctx, fleetPrefix+f.self.Region, []byte(strconv.Itoa(n)))
	f.log.Info("instances recorded", "region", f.self.Region, "recorded", recorded, "instances", n, "done", err == nil)
}
