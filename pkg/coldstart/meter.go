package coldstart

import (
	"sync"
	"sync/atomic"
	"time"
)

// latencyWindow is the number of answers whose mean latency a meter compares with its baseline.
const latencyWindow = 16

// queryInterval is the time between the empty batches that query the state of a cold
// upstream while there is nothing to report.
const queryInterval = time.Second

// Answer describes one answer of an upstream to a request of this instance.
type Answer struct {
	StartID string
	Cold    bool // the report header says cold
	Good    bool // the upstream succeeded
	Latency time.Duration
	At      time.Time // when it was received
}

// Meter counts the answers of one upstream at one instance. It is safe for concurrent
// use; Warm takes no lock.
type Meter struct {
	settings Settings
	warm     atomic.Bool

	mu          sync.Mutex
	batch       Batch
	latencySum  time.Duration
	state       State
	urgent      bool
	sentAt      time.Time
	baseline    float64       // usual latency in seconds; 0 if unknown
	windowSum   time.Duration // latencies of the current window
	windowCount int
	lastGoodAt  time.Time // when the last good answer was received
	lost        bool      // connections broke since then
}

// NewMeter returns a meter that treats its upstream as cold.
func NewMeter(s Settings) *Meter { return &Meter{settings: s} }

// Warm reports whether the upstream is warm, so that requests need no unit of its cold-start allowance.
func (m *Meter) Warm() bool { return m.warm.Load() }

// RecordAnswer counts an answer.
func (m *Meter) RecordAnswer(a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beginBatch()
	if a.StartID != "" && a.StartID != m.batch.StartID {
		m.observeStart(a.StartID)
	}
	if a.Cold {
		m.batch.ReportedCold = true
		m.presumeCold()
	}
	if !a.Good {
		m.batch.Bad++
		return
	}
	m.batch.Good++
	m.lastGoodAt, m.lost, m.batch.Lost = a.At, false, false
	m.latencySum += a.Latency
	m.checkLatency(a.Latency)
}

// RecordLoss records that connections to the upstream broke or could not be established.
func (m *Meter) RecordLoss() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beginBatch()
	m.lost, m.batch.Lost = true, true
	m.presumeCold()
}

func (m *Meter) empty() bool {
	return m.batch.Good == 0 && m.batch.Bad == 0 && !m.batch.Lost && !m.batch.ReportedCold
}

// beginBatch stores in an empty batch the current generation and level, under which its requests ran.
func (m *Meter) beginBatch() {
	if m.empty() {
		m.batch.Generation, m.batch.Level = m.state.Generation, m.state.Limit
	}
}

// observeStart records a new start ID and discards the counts of the previous start.
// The first start ID that a meter sees is no sign of a restart.
func (m *Meter) observeStart(id string) {
	if m.batch.StartID != "" {
		m.batch.Good, m.batch.Bad, m.latencySum = 0, 0, 0
		m.presumeCold()
	}
	m.batch.StartID = id
}

// presumeCold treats the upstream as cold until the allocator says otherwise. Only the
// first sign of a cold start in a warm state makes the next report urgent.
func (m *Meter) presumeCold() {
	if m.warm.Swap(false) {
		m.urgent = true
	}
}

// checkLatency makes the next report urgent after a sudden rise of the latency;
// whether the upstream is cold is decided by the allocator.
func (m *Meter) checkLatency(latency time.Duration) {
	m.windowSum += latency
	if m.windowCount++; m.windowCount < latencyWindow {
		return
	}
	mean := (m.windowSum / latencyWindow).Seconds()
	m.windowSum, m.windowCount = 0, 0
	switch {
	case m.baseline == 0:
		m.baseline = mean
	case mean > m.baseline*m.settings.LatencyFactor && mean > m.baseline+m.settings.LatencyFloor.Std().Seconds():
		m.urgent = true
	default:
		m.baseline += (mean - m.baseline) * baselineWeight
	}
}

// TakeBatch returns the batch that is due at now, if any, and starts a new one.
func (m *Meter) TakeBatch(now time.Time) (Batch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.settings.WarmInterval.Std()
	if m.urgent || !m.warm.Load() {
		interval = m.settings.ColdInterval.Std()
	}
	if m.empty() {
		// Without these queries, an instance that sends no requests to an upstream would
		// never learn that it is warm, and would limit its requests needlessly when
		// another failure domain fails.
		interval = max(interval, queryInterval)
		if m.warm.Load() {
			return Batch{}, false
		}
	}
	if now.Sub(m.sentAt) < interval {
		return Batch{}, false
	}
	b := m.batch
	b.Sequence++
	if b.Good > 0 {
		b.Latency = m.latencySum / time.Duration(b.Good)
	}
	if !m.lastGoodAt.IsZero() {
		b.GoodAge = max(0, now.Sub(m.lastGoodAt))
	}
	b.KnownWarm = m.state.Warm && m.warm.Load()
	m.batch = Batch{Sequence: b.Sequence, StartID: b.StartID}
	m.latencySum, m.urgent, m.sentAt = 0, false, now
	return b, true
}

// Apply applies the reply to the batch with the given sequence number. A reply to an
// earlier batch is ignored. A warm state is accepted only if it is for the start that
// this meter sees, no answer since the batch reported cold, and no connection broke
// after the last good answer.
func (m *Meter) Apply(sequence uint64, s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sequence != m.batch.Sequence {
		return
	}
	m.state = s
	same := s.StartID == "" || m.batch.StartID == "" || s.StartID == m.batch.StartID
	m.warm.Store(s.Warm && same && !m.lost && !m.batch.ReportedCold)
}

// MarkCold applies a notice of the allocator that the upstream is cold again.
func (m *Meter) MarkCold(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Warm {
		m.state = s
		m.warm.Store(false)
	}
}
