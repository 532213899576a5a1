package placement

import (
	"math"
	"time"
)

// loadHalfLife is the half-life of a load reported with an answer. With service
// times of about 10 ms, most of the slots in use at the time of the report have
// been freed and taken by other requests after that time.
const loadHalfLife = 10 * time.Millisecond

// loadEstimate is the load last reported by an upstream; its weight decays with age.
type loadEstimate struct {
	inFlight float64
	at       time.Time
}

func (l *loadEstimate) update(now time.Time, load *Load) {
	if load != nil {
		l.inFlight, l.at = float64(load.InFlight), now
	}
}

// excess returns the part of the reported load that exceeds ownRequests, discounted by age.
func (l *loadEstimate) excess(now time.Time, ownRequests int) float64 {
	if l.at.IsZero() {
		return 0
	}
	age := float64(now.Sub(l.at)) / float64(loadHalfLife)
	return max(0, l.inFlight-float64(ownRequests)) * math.Exp2(-age)
}

// suspectSilence is the number of missing answers above which an upstream is
// avoided. With exponentially distributed service times, a healthy upstream
// reaches it once in e^3 = 20 answers.
const suspectSilence = 3

// silence measures the time since the last answer of an upstream, expressed as
// the number of answers expected in that time from its requests in flight.
type silence struct {
	missing float64
	at      time.Time
}

// advance adds the number of answers expected from inUse requests since the last call.
func (a *silence) advance(now time.Time, inUse int, mean time.Duration) {
	if now.After(a.at) && !a.at.IsZero() && mean > 0 {
		a.missing += float64(inUse) * float64(now.Sub(a.at)) / float64(mean)
	}
	a.at = now
}

// until returns the number of missing answers at now without modifying the receiver.
func (a silence) until(now time.Time, inUse int, mean time.Duration) float64 {
	a.advance(now, inUse, mean)
	return a.missing
}
