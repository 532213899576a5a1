package coldstart

import (
	"sync"
	"sync/atomic"
	"time"
)

// window is the number of answers whose mean latency a meter compares with the usual one.
const window = 16

// queryInterval is the time between questions for the state of a cold upstream
// of which there is nothing to report.
const queryInterval = time.Second

// Answer is one answer of an upstream as an entry saw it.
type Answer struct {
	StartID string
	Cold    bool // the report header says cold
	Good    bool // the answer is a success of the upstream
	Latency time.Duration
	At      time.Time // when it came in
}

// Meter counts the answers of one upstream at one instance. Answer, Lost and
// Warm may be called concurrently; Warm takes no lock.
type Meter struct {
	settings Settings
	warm     atomic.Bool

	mu       sync.Mutex
	batch    Batch
	sum      time.Duration
	state    State
	urgent   bool
	sentAt   time.Time
	baseline float64
	recent   time.Duration
	samples  int
	goodAt   time.Time // of the last good answer
	lost     bool      // connections broke after it
}

// NewMeter returns a meter that takes its upstream for cold.
func NewMeter(s Settings) *Meter { return &Meter{settings: s} }

// Warm reports whether requests need no unit of the cold-start allowance.
func (m *Meter) Warm() bool { return m.warm.Load() }

// Answer counts an answer.
func (m *Meter) Answer(a Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open()
	if a.StartID != "" && a.StartID != m.batch.StartID {
		m.start(a.StartID)
	}
	if a.Cold {
		m.batch.ReportedCold = true
		m.sign()
	}
	if !a.Good {
		m.batch.Bad++
		return
	}
	m.batch.Good++
	m.goodAt, m.lost, m.batch.Lost = a.At, false, false
	m.sum += a.Latency
	m.shift(a.Latency)
}

// Lost tells that connections to the upstream broke or could not be made.
func (m *Meter) Lost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open()
	m.lost, m.batch.Lost = true, true
	m.sign()
}

func (m *Meter) empty() bool {
	return m.batch.Good == 0 && m.batch.Bad == 0 && !m.batch.Lost && !m.batch.ReportedCold
}

// open notes what was known when the batch began, which is what its requests ran under.
func (m *Meter) open() {
	if m.empty() {
		m.batch.Generation, m.batch.Level = m.state.Generation, m.state.Limit
	}
}

// start begins to count a new start of the upstream; the first one that a meter
// sees is no sign of a restart.
func (m *Meter) start(id string) {
	if m.batch.StartID != "" {
		m.batch.Good, m.batch.Bad, m.sum = 0, 0, 0
		m.sign()
	}
	m.batch.StartID = id
}

// sign takes the upstream for cold until the allocator says otherwise. Only the
// first sign after a warm state is reported at once.
func (m *Meter) sign() {
	if m.warm.Swap(false) {
		m.urgent = true
	}
}

// shift has a sudden rise of the latency reported at once; the allocator decides.
func (m *Meter) shift(latency time.Duration) {
	m.recent += latency
	if m.samples++; m.samples < window {
		return
	}
	mean := (m.recent / window).Seconds()
	m.recent, m.samples = 0, 0
	switch {
	case m.baseline == 0:
		m.baseline = mean
	case mean > m.baseline*m.settings.LatencyFactor && mean > m.baseline+m.settings.LatencyFloor.Std().Seconds():
		m.urgent = true
	default:
		m.baseline += (mean - m.baseline) * baselineWeight
	}
}

// Take returns the batch that is due at now, if any.
func (m *Meter) Take(now time.Time) (Batch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := m.settings.WarmInterval.Std()
	if m.urgent || !m.warm.Load() {
		interval = m.settings.ColdInterval.Std()
	}
	if m.empty() {
		// An instance that sends an upstream no requests would never hear that it
		// is warm, and would hold back when another failure domain leaves.
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
		b.Latency = m.sum / time.Duration(b.Good)
	}
	if !m.goodAt.IsZero() {
		b.GoodAge = max(0, now.Sub(m.goodAt))
	}
	b.KnownWarm = m.state.Warm && m.warm.Load()
	m.batch = Batch{Sequence: b.Sequence, StartID: b.StartID}
	m.sum, m.urgent, m.sentAt = 0, false, now
	return b, true
}

// Apply takes the reply to the batch with the given sequence number. A reply to
// an earlier batch is ignored, and a warm state only counts for the start that
// this meter sees, when no sign came in since the batch and when no connection
// broke after the last good answer.
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

// Fall applies the news of the allocator that the upstream is cold again.
func (m *Meter) Fall(s State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.Warm {
		m.state = s
		m.warm.Store(false)
	}
}
