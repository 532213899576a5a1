package coldstart

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Bounds on values received from a peer.
const (
	maxCount   = 1 << 20
	maxLevel   = 1 << 14
	maxStartID = 128
	maxLatency = 10 * time.Minute // also bounds the age of the last good answer
)

func batchToMessage(k Key, b Batch) *peerpb.ColdStartBatch {
	return &peerpb.ColdStartBatch{
		Pool: k.Pool, Upstream: k.Upstream, Sequence: b.Sequence, StartId: b.StartID,
		ReportedCold: b.ReportedCold, KnownWarm: b.KnownWarm, Generation: b.Generation,
		Level: uint32(b.Level), Good: uint32(b.Good), Bad: uint32(b.Bad),
		MeanLatencyMicros: uint64(b.Latency.Microseconds()), Lost: b.Lost,
		GoodAgeMicros: uint64(max(0, b.GoodAge.Microseconds())),
	}
}

func batchFromMessage(m *peerpb.ColdStartBatch) (Key, Batch) {
	id := m.GetStartId()
	return Key{m.GetPool(), m.GetUpstream()}, Batch{
		Sequence: m.GetSequence(), StartID: id[:min(len(id), maxStartID)],
		ReportedCold: m.GetReportedCold(), KnownWarm: m.GetKnownWarm(), Generation: m.GetGeneration(),
		Level: int(min(m.GetLevel(), maxLevel)), Good: int(min(m.GetGood(), maxCount)), Bad: int(min(m.GetBad(), maxCount)),
		Latency: time.Duration(min(m.GetMeanLatencyMicros(), uint64(maxLatency/time.Microsecond))) * time.Microsecond,
		GoodAge: time.Duration(min(m.GetGoodAgeMicros(), uint64(maxLatency/time.Microsecond))) * time.Microsecond,
		Lost:    m.GetLost(),
	}
}

func stateToMessage(k Key, s State) *peerpb.ColdStartState {
	return &peerpb.ColdStartState{
		Pool: k.Pool, Upstream: k.Upstream, StartId: s.StartID, Warm: s.Warm,
		Limit: uint32(s.Limit), Generation: s.Generation,
	}
}

func stateFromMessage(m *peerpb.ColdStartState) (Key, State) {
	return Key{m.GetPool(), m.GetUpstream()}, State{
		StartID: m.GetStartId(), Warm: m.GetWarm(),
		Limit: int(min(m.GetLimit(), maxLevel)), Generation: m.GetGeneration(),
	}
}
