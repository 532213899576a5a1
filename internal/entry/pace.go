package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// progressLimits is the minimum progress required of a request body.
type progressLimits struct {
	// stall bounds the wait for the next bytes.
	stall time.Duration
	// grace is the total time spent waiting in reads after which rate is enforced.
	grace time.Duration
	// rate is the minimum number of bytes per second of waiting time.
	rate float64
}

// bodyProgressLimits applies to request bodies. The minimum rate keeps a caller that
// sends single bytes at long intervals from holding a slot of an upstream indefinitely.
var bodyProgressLimits = progressLimits{stall: 15 * time.Second, grace: 30 * time.Second, rate: 1 << 10}

// progressMonitor enforces progressLimits on one request body.
type progressMonitor struct {
	progressLimits
	interrupt   func()
	timer       *time.Timer
	mu          sync.Mutex
	closed      bool
	interrupted atomic.Bool
	reading     bool
	started     time.Time
	limit       time.Time // when the timer expires
	waited      time.Duration
	bytes       int64
}

// newProgressMonitor returns a monitor that calls interrupt, which must unblock the read, when progress is too slow.
func newProgressMonitor(limits progressLimits, interrupt func()) *progressMonitor {
	p := &progressMonitor{progressLimits: limits}
	p.interrupt = interrupt
	p.timer = time.AfterFunc(limits.stall, p.expire)
	p.timer.Stop()
	return p
}

// expire handles the expiry of the timer, unless the read that it limits has ended.
func (p *progressMonitor) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading && !time.Now().Before(p.limit) {
		p.interruptLocked()
	}
}

// interruptNow unblocks a pending read and makes all later ones fail.
func (p *progressMonitor) interruptNow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interruptLocked()
}

func (p *progressMonitor) interruptLocked() {
	if !p.closed {
		p.interrupted.Store(true)
		p.interrupt()
	}
}

// close stops the monitor, so that a late timer cannot interrupt the caller's next request.
func (p *progressMonitor) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.timer.Stop()
}

// beginRead is called before a read and starts its timer.
func (p *progressMonitor) beginRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading, p.started = true, time.Now()
	limit := p.stall
	if p.waited > p.grace && float64(p.bytes) < p.waited.Seconds()*p.rate {
		limit = 0
	}
	p.limit = p.started.Add(limit)
	p.timer.Reset(limit)
}

// endRead is called after a read of n bytes and reports whether it was interrupted.
func (p *progressMonitor) endRead(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = false
	p.timer.Stop()
	p.waited += time.Since(p.started)
	p.bytes += int64(n)
	return p.interrupted.Load()
}
