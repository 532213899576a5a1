package placement

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/limit"
)

// AdaptiveLimits adapts a limit.Set to the Limits and Observer interfaces.
type AdaptiveLimits struct{ *limit.Set }

var (
	_ Limits   = AdaptiveLimits{}
	_ Observer = AdaptiveLimits{}
)

// End implements Observer.
func (a AdaptiveLimits) End(upstream string, now time.Time, latency time.Duration, r Result) {
	result := limit.Ignored
	switch r {
	case Answered:
		result = limit.Answered
	case Shed:
		result = limit.Shed
	case Failed:
		result = limit.Failed
	}
	a.Set.End(upstream, now, latency, result)
}
