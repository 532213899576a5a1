package rate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// floodCaller is a caller that comes back twice after a refusal.
type floodCaller struct {
	began, next time.Duration
	tries       int
}

// playFlood lets a workspace send several times its limit for ten seconds. It returns how many requests were admitted, and
// how many of them within the time in which they could meet their target of 500 ms.
func playFlood(yield bool) (admitted, inTime int) {
	const step, onTime = 5 * time.Millisecond, 250 * time.Millisecond
	limit := Limit{Name: "w", Rate: 40, Burst: 40}
	random := rand.New(rand.NewPCG(3, 4))
	b := NewBorrower(testRules, []string{"r"}, random)
	l := NewLender(testRules)
	var waiting []*floodCaller
	for now := time.Duration(0); now < 12*time.Second; now += step {
		r := at(now)
		l.Tick(r, true, 1, []Limit{limit})
		b.Tick(r, 1, func(string) (peer.InstanceID, bool) { return "l/1", true }, []Limit{limit})
		if now >= 2*time.Second {
			waiting = append(waiting, &floodCaller{began: now, next: now}) // 200 a second
		}
		left := waiting[:0]
		for _, c := range waiting {
			if c.next > now {
				left = append(left, c)
				continue
			}
			count := func() {
				admitted++
				if now-c.began < onTime {
					inTime++
				}
			}
			settle := func(d Decision) {
				if d.Verdict == Admitted {
					count()
				} else if c.tries++; c.tries < 3 {
					c.next = now + d.RetryAfter
					left = append(left, c)
				}
			}
			d, decided := Decision{}, false
			if yield && now-c.began >= onTime {
				d, decided = b.Yield(r, limit)
			}
			if !decided {
				d = b.Take(r, limit, settle)
			}
			if d.Verdict != Wait {
				settle(d)
			}
		}
		if b.Due(r, "r") <= 0 {
			_, request := b.Compose(r, "r")
			b.Apply(r, "r", l.Handle(r, true, 1, "a/1", request))
		}
		waiting = left
	}
	return admitted, inTime
}

// Guards against a flood in which callers that come back after a refusal, too late for their target, take the tokens that
// others could use in time.
func TestLateRequestsLeaveScarceTokensToOthers(t *testing.T) {
	is := is.New(t)
	all, before := playFlood(false)
	admitted, inTime := playFlood(true)
	t.Logf("without yielding %d of %d admitted requests in time, with it %d of %d", before, all, inTime, admitted)
	is.True(admitted >= all*95/100) // the limit is used as fully as before
	is.True(inTime >= admitted*9/10)
	is.True(before < all*9/10)
}

// Guards against late requests that are refused although the workspace has tokens at this instance, which then expire
// unused, and against tokens that count although their lifetime has passed.
func TestLateRequestsMayUseTokensThatAreLeft(t *testing.T) {
	is := is.New(t)
	limit := Limit{Name: "w", Rate: 40, Burst: 40}
	b := borrow(true)
	now := at(10 * time.Second)
	a := b.account(now, limit)
	a.refused, a.refusedAt = true, now
	_, refused := b.Yield(now, limit)
	is.True(refused) // without tokens
	a.batches = append(a.batches, &batch{sent: now, lifetime: leaseTime, leased: true, left: 1, reported: 1})
	_, refused = b.Yield(now, limit)
	is.True(!refused)
	is.Equal(b.Take(now, limit, nil).Verdict, Admitted)
	_, refused = b.Yield(now, limit)
	is.True(refused) // the token is used
	a.batches = []*batch{{sent: now, lifetime: askTime, left: 1, reported: 1}}
	_, refused = b.Yield(at(now.Mono+askTime), limit)
	is.True(refused) // the token has expired
}

// Guards against a second copy that waits for a token or is sent without one, and against a token that is taken twice.
func TestTakeNowUsesOnlyTokensThatAreLeft(t *testing.T) {
	is := is.New(t)
	limit := Limit{Name: "w", Rate: 40, Burst: 40}
	b := borrow(true)
	now := at(time.Second) // before it may use its own share
	_, ok := b.TakeNow(now, limit)
	is.True(!ok)
	a := b.account(now, limit)
	is.Equal(len(a.waiting), 0)
	a.batches = append(a.batches, &batch{sent: now, lifetime: leaseTime, leased: true, left: 1, reported: 1})
	d, ok := b.TakeNow(now, limit)
	is.True(ok && d.Verdict == Admitted)
	_, ok = b.TakeNow(now, limit)
	is.True(!ok)
}
