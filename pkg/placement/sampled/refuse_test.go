package sampled

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

func shedChooser(target, elapsed time.Duration, pressureLevel, fullShare float64) (*chooser, time.Time) {
	now := time.Unix(1000, 0)
	p := &pressure{share: pressureLevel, fullShare: fullShare}
	return &chooser{target: target, deadline: now.Add(8 * time.Second), start: now.Add(-elapsed), pressure: pressureLevel, pool: p}, now
}

// Guards against an early return to a crowded pool, and against one that is advised although the target is lost.
func TestCallerReturnsSoonOnlyToAPoolWithRoomAndInTime(t *testing.T) {
	for _, c := range []struct {
		name            string
		elapsed         time.Duration
		level, fullness float64
		soon            bool
	}{
		{"room and time", 20 * time.Millisecond, 0, 0, true},
		{"some pressure", 20 * time.Millisecond, 0.2, 0.2, true},
		{"overloaded", 20 * time.Millisecond, 0.5, 0.2, false},
		{"mostly full", 20 * time.Millisecond, 0.1, 0.8, false},
		{"target lost", 1100 * time.Millisecond, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ch, now := shedChooser(1200*time.Millisecond, c.elapsed, c.level, c.fullness)
			after, ok := ch.retryAfterShed(now, 0.5)
			is.Equal(ok, c.soon)
			if ok {
				is.Equal(after, 240*time.Millisecond) // the middle of 0.1 to 0.3 of the target
			}
		})
	}
}

// The load: upstreams with free slots refuse 55% of their requests, and a caller comes back once. With the usual delay of
// one second nobody who came back gets an answer within the target of 1.2 s.
func TestCallersOfUpstreamsThatRefuseAtRandomMeetTheirTarget(t *testing.T) {
	is := is.New(t)
	const callers, refused, target, usual = 4000, 0.55, 1200 * time.Millisecond, time.Second
	random := rand.New(rand.NewPCG(1, 2))
	play := func(advise bool) (within int) {
		for range callers {
			after := time.Duration(0)
			if random.Float64() < refused {
				ch, now := shedChooser(target, 20*time.Millisecond, 0.1, 0.1)
				delay, ok := ch.retryAfterShed(now, random.Float64())
				if !ok || !advise {
					delay = usual
				}
				after = 20*time.Millisecond + delay
				if random.Float64() < refused {
					continue // the caller gives up
				}
			}
			work := time.Duration((0.7 + 0.6*random.Float64()) * float64(420*time.Millisecond))
			if after+work <= target {
				within++
			}
		}
		return within
	}
	before, now := play(false), play(true)
	t.Logf("within the target: %d of %d with the usual delay, %d with the advised one", before, callers, now)
	is.True(now-before > callers*refused*(1-refused)*9/10) // nine tenths of those who come back and are not refused again
}

// Guards against extra copies of requests that are sent to a pool without room, and against a pool that counts as crowded
// because of a few requests.
func TestCrowded(t *testing.T) {
	for _, c := range []struct {
		name            string
		level, fullness float64
		want            bool
	}{{"calm", 0, 0, false}, {"some pressure", 0.3, 0.5, false}, {"overloaded", 0.31, 0, true}, {"mostly full", 0, 0.51, true}} {
		t.Run(c.name, func(t *testing.T) {
			p := New(Location{}, nil, nil, logr.Discard())
			*p.poolPressure("p") = pressure{share: c.level, fullShare: c.fullness}
			is.New(t).Equal(p.Crowded("p"), c.want)
		})
	}
}
