package follow

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// maxLookupCalls bounds the calls of a lookup that are logged.
const maxLookupCalls = 16

// confirmedGap is the time between two confirmations of an instance's data by the store, in seconds. A change of the
// store is in force after this time at the latest.
var confirmedGap = metrics.GetOrCreateHistogram("turmericsail_store_knowledge_gap_seconds")

// lookup records the failed calls since the latest fresh answer, with the time that each took.
type lookup struct {
	calls   []string
	omitted int
}

func (l *lookup) add(source string, start time.Time, err error) {
	if len(l.calls) == maxLookupCalls {
		l.omitted++
		return
	}
	l.calls = append(l.calls, fmt.Sprintf("%s: %s after %s", source, fault.KindOf(err), time.Since(start).Round(time.Millisecond)))
}

// recordLookup records a fresh answer and how much younger it is than the one before.
func (f *Follower) recordLookup(gap time.Duration) {
	confirmedGap.Update(gap.Seconds())
	if gap > maxFreshAge {
		f.log.Info("state was stale", "gap", gap.Round(time.Millisecond).String(), "failed_calls", f.lookup.calls, "omitted", f.lookup.omitted)
	}
	f.lookup = lookup{}
}
