package idempotency

import "sync/atomic"

// claimCost is the memory in bytes accounted for one claim without its answer: map entry,
// record, claim, claimant name and sweep entry. BenchmarkReplicaMemory measures it.
const claimCost = 320

// memory accounts for the memory used by the records of a replica, in bytes.
type memory struct {
	used  atomic.Int64
	limit int64
}

// reserve accounts for n bytes if they fit within the limit.
func (m *memory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// force accounts for n bytes even beyond the limit.
func (m *memory) force(n int64) { m.used.Add(n) }

func (m *memory) release(n int64) { m.used.Add(-n) }
