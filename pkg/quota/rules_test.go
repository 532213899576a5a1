package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

type fixedAuthority struct {
	epoch  uint64
	loaded time.Time
	lost   bool
}

func (a *fixedAuthority) Held(time.Time) (uint64, time.Time, bool) {
	return a.epoch, a.loaded, !a.lost
}

// readyAllocator returns an allocator that has completed its wait after the start of the epoch, and the current time.
func readyAllocator(limit int) (*Allocator, *fixedAuthority, time.Time) {
	start := time.Unix(5000, 0)
	return NewAllocator(DefaultSettings(), limit), &fixedAuthority{epoch: 7, loaded: start.Add(-time.Hour)}, start
}

// Guards against a grant that outlives the allocator's reservation because of a slow
// reply or a slow clock of the holder.
func TestLifetimeCountsFromSending(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	start := time.Unix(0, 0)
	h := NewHolder(s, NewGate(start, 0))
	_, ok := h.Gate().Acquire(start)
	is.True(!ok)
	r := h.Request(start)
	h.Receive(start.Add(time.Second), Reply{Sequence: r.Sequence, Epoch: 1, Granted: true, Units: 1})
	end := start.Add(s.Lifetime - s.Lifetime/100)
	_, ok = h.Gate().Acquire(end)
	is.True(!ok) // expired one percent before a lifetime after the request was sent
	_, ok = h.Gate().Acquire(end.Add(-time.Millisecond))
	is.True(ok)
}

// Guards against a reply that restores a unit whose grant expired while the request
// was in flight: another holder may have got it.
func TestKeepOnlyDoesNotReviveLapsedUnits(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	start := time.Unix(0, 0)
	g := NewGate(start, 0)
	g.grant(start, 2, start.Add(time.Second), false)
	g.grant(start.Add(2*time.Second), 2, start.Add(3*time.Second), true)
	_, ok := g.Acquire(start.Add(2 * time.Second))
	is.True(!ok)
	g.grant(start, 2, start.Add(s.Lifetime), false)
	g.grant(start.Add(time.Second), 2, start.Add(3*time.Second), true)
	_, ok = g.Acquire(start.Add(2500 * time.Millisecond))
	is.True(ok) // held continuously, so it may be kept
}

// Guards against a late request that states units which have since expired.
func TestUnknownHeldUnitsAreKeepOnly(t *testing.T) {
	is := is.New(t)
	a, auth, now := readyAllocator(2)
	r := a.Handle(now, auth, "a/1", Request{Sequence: 9, Held: 2, Want: 2})
	is.True(r.Granted && r.KeepOnly)
	r = a.Handle(now, auth, "b/1", Request{Sequence: 1, Want: 2})
	is.Equal(r.Units, 0) // reserved for a/1, which may still use them
}

// Guards against an allocator that drops its leases or waits needlessly when it keeps
// the role in the next epoch, and against one that trusts its leases after another
// instance had the role.
func TestLeasesSurviveConsecutiveEpochsOnly(t *testing.T) {
	is := is.New(t)
	a, auth, now := readyAllocator(2)
	is.Equal(a.Handle(now, auth, "a/1", Request{Sequence: 1, Want: 1}).Units, 1)
	auth.epoch, auth.loaded = 8, now
	r := a.Handle(now, auth, "b/1", Request{Sequence: 1, Want: 2})
	is.True(!r.KeepOnly)
	is.Equal(r.Units, 1)
	auth.epoch = 10
	r = a.Handle(now, auth, "c/1", Request{Sequence: 1, Want: 1})
	is.True(r.KeepOnly)
	is.Equal(r.Units, 0)
	auth.lost = true
	is.True(!a.Handle(now.Add(time.Hour), auth, "c/1", Request{Sequence: 2, Want: 1}).Granted)
}

// Guards against a small limit that stays with one holder, or with an idle one.
func TestSmallLimitRotates(t *testing.T) {
	for _, c := range []struct{ limit, busy int }{{1, 5}, {2, 5}, {3, 2}, {1, 1}} {
		t.Run(fmt.Sprintf("limit %d, %d holders", c.limit, c.busy), func(t *testing.T) {
			is := is.New(t)
			a, auth, now := readyAllocator(c.limit)
			holders := make([]*Holder, c.busy+1) // the last one is idle after its first request
			for i := range holders {
				holders[i] = NewHolder(a.settings, NewGate(now, 0))
			}
			got := make([]int, len(holders))
			const steps = 3000
			for k := range steps {
				now = now.Add(10 * time.Millisecond)
				for i, h := range holders {
					if i < c.busy || k == 0 {
						got[i] += useOnce(h, now)
					}
					if r, due := h.step(now); due {
						h.Receive(now, a.Handle(now, auth, peer.InstanceID(fmt.Sprint(i)), r))
					}
				}
			}
			fair := steps * min(c.limit, c.busy) / c.busy
			for i := range c.busy {
				is.True(got[i] > fair*3/4) // each gets more than three quarters of its fair share
			}
			is.True(got[c.busy] <= 1)
			is.Equal(holders[c.busy].Gate().Held(now), 0)
		})
	}
}

// useOnce acquires up to two units, releases them at once and returns 1 if it got any.
func useOnce(h *Holder, now time.Time) int {
	p, ok := h.Gate().Acquire(now)
	if !ok {
		return 0
	}
	if q, more := h.Gate().Acquire(now); more {
		q.Done()
	}
	p.Done()
	return 1
}

// Guards against fixed shares that add up to more than the limit.
func TestShareAddsUp(t *testing.T) {
	is := is.New(t)
	for limit := range 300 {
		for _, leased := range []int{0, 25, 100} {
			fixed, extra := SplitLimit(limit, 18, leased)
			is.Equal(fixed*18+extra, limit)
			is.True(extra >= limit*leased/100)
		}
	}
	fixed, extra := SplitLimit(250, 18, 0)
	is.Equal([]int{fixed, extra}, []int{13, 16})
}

// Guards against a gate that needs a grant for the fixed share, or exceeds it without one.
func TestFixedShareNeedsNoGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	g := NewGate(now, 2)
	a, ok := g.Acquire(now)
	is.True(ok)
	_, ok = g.Acquire(now)
	is.True(ok)
	_, ok = g.Acquire(now)
	is.True(!ok)
	a.Done()
	_, ok = g.Acquire(now)
	is.True(ok)
	is.Equal(g.Used(), 0) // units of the fixed share are not counted as leased
}
