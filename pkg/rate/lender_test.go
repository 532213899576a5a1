package rate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

func at(d time.Duration) Reading { return Reading{d, d} }

// lend returns a lender with a full bucket of 10 tokens, filled at 2 a second, at its only instance, and the time.
func lend(rules Rules) (*Lender, time.Duration) {
	l := NewLender(rules)
	limits := []Limit{{Name: "w", Rate: 2, Burst: 10}}
	now := time.Duration(0)
	for i := range 100 {
		now = time.Duration(i) * tickInterval
		l.Tick(at(now), true, 1, limits)
		l.Handle(at(now), true, 1, "a/1", &peerpb.RateRequest{Seq: uint64(i + 1), Echo: encodeReading(at(now))})
	}
	return l, now
}

func ask(seq uint64, a *peerpb.RateAsk) *peerpb.RateRequest {
	a.Workspace, a.Rate, a.Burst = "w", 2, 10
	return &peerpb.RateRequest{Seq: seq, Asks: []*peerpb.RateAsk{a}}
}

func granted(r *peerpb.RateReply) int {
	if len(r.Grants) == 0 {
		return 0
	}
	return int(r.Grants[0].Granted)
}

// Guards against a lender that grants more than its bucket has, grants a copy of a request again, takes a copy of
// returned tokens twice, or fills the bucket while the tokens are still leased.
func TestLenderGrantsEachTokenOnce(t *testing.T) {
	is := is.New(t)
	l, now := lend(Rules{})
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(200, &peerpb.RateAsk{Need: 3, Want: 50}))), 3+2) // the upper half of 10
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(200, &peerpb.RateAsk{Need: 3}))), 0)             // a copy
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(199, &peerpb.RateAsk{Need: 3}))), 0)             // overtaken
	back := &peerpb.RateLease{Seq: 200, Back: 2}
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(201, &peerpb.RateAsk{Need: 7, Leases: []*peerpb.RateLease{back}}))), 7)
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(202, &peerpb.RateAsk{Need: 1, Leases: []*peerpb.RateLease{back}}))), 0)
	is.Equal(l.Stats().Returned, uint64(2))
}

// Guards against borrowers that gather more than a burst by holding tokens while the bucket fills.
func TestLeasedTokensCountAgainstTheBurst(t *testing.T) {
	is := is.New(t)
	l, now := lend(Rules{})
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(200, &peerpb.RateAsk{Want: 5}))), 5)
	now += 400 * time.Millisecond
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(201, &peerpb.RateAsk{Need: 100}))), 5)
}

// Guards against a lender that returns after others have lent the same shares: it has neither tokens nor shares, whichever
// clock tells that time has passed.
func TestLenderThatReturnsHasNothing(t *testing.T) {
	for name, pause := range map[string]Reading{
		"frozen":    at(time.Minute),
		"suspended": {time.Millisecond, time.Minute},
		"clock set": {time.Minute, -time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, end := lend(testRules)
			now := Reading{end + pause.Mono, end + pause.Wall}
			is.Equal(granted(l.Handle(now, true, 100, "a/1", ask(300, &peerpb.RateAsk{Need: 10}))), 0)
			is.Equal(l.standing, 0)
		})
	}
}

// Guards against two lenders that use the overage at once: one that was suspended does not trust its role until it was
// checked again.
func TestOverageNeedsARoleThatWasChecked(t *testing.T) {
	is := is.New(t)
	l, end := lend(testRules)
	is.True(l.alone)
	now := Reading{end, end + time.Minute}
	l.Tick(now, true, 1, nil)
	is.True(!l.alone)
	for d := tickInterval; d < lapseWait; d += tickInterval {
		l.Tick(now.Add(d), true, 1, nil)
		is.True(!l.alone)
	}
	l.Tick(now.Add(lapseWait), true, 1, nil)
	is.True(l.alone)
	l.Tick(now.Add(lapseWait), false, 1, nil)
	is.True(!l.alone)
}

// Guards against a lender that counts a borrower which already uses its own share: the time in the stamp counts, not the
// time at which a late message arrives, on the clock that shows more.
func TestStandingEndsByTheStamp(t *testing.T) {
	for name, c := range map[string]struct {
		age  Reading
		want int
	}{
		"fresh":     {at(standingTime - standingMargin - time.Millisecond), 1},
		"late":      {at(standingTime - standingMargin), 0},
		"suspended": {Reading{0, time.Minute}, 0},
		"future":    {at(-time.Second), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLender(testRules)
			stamp := at(time.Minute)
			now := Reading{stamp.Mono + c.age.Mono, stamp.Wall + c.age.Wall}
			l.Tick(now, true, 10, nil)
			l.Handle(now, true, 10, "a/1", &peerpb.RateRequest{Seq: 1, Echo: encodeReading(stamp)})
			is.Equal(l.standing, c.want)
			for d := time.Duration(0); d <= standingTime; d += tickInterval {
				l.Tick(now.Add(d), true, 10, nil)
			}
			is.Equal(l.standing, 0)
		})
	}
}

// Guards against messages with values that no borrower sends.
func TestLenderIgnoresImpossibleAsks(t *testing.T) {
	is := is.New(t)
	l, now := lend(Rules{})
	for i, a := range []*peerpb.RateAsk{
		{Workspace: "x", Rate: -1, Need: 1}, {Workspace: "x", Rate: 0, Need: 1}, {Workspace: "x", Rate: 1, Burst: -5, Need: 1},
		{Workspace: "w", Rate: 1, Need: 0, Leases: []*peerpb.RateLease{{Seq: 5, Back: 1 << 31, Left: 1 << 31}}},
	} {
		r := l.Handle(at(now), true, 1, "b/1", &peerpb.RateRequest{Seq: uint64(i + 1), Asks: []*peerpb.RateAsk{a}})
		is.Equal(granted(r), 0)
	}
	is.Equal(granted(l.Handle(at(now), true, 1, "a/1", ask(1000, &peerpb.RateAsk{Need: 1 << 31}))), 10)
}

// borrow returns a borrower that has the given lender.
func borrow(known bool) *Borrower {
	b := NewBorrower(testRules, []string{"r"}, rand.New(rand.NewPCG(1, 1)))
	b.Tick(at(0), 10, func(string) (peer.InstanceID, bool) { return "l/1", known }, []Limit{{"w", 100, 50}})
	return b
}

// Guards against tokens that are used after their lifetime on either clock, and against a release that revives them.
func TestTokensExpireOnBothClocks(t *testing.T) {
	for name, c := range map[string]struct {
		after Reading
		want  Verdict
	}{
		"valid":     {at(leaseTime - time.Millisecond), Admitted},
		"expired":   {at(leaseTime), Wait},
		"suspended": {Reading{time.Millisecond, leaseTime}, Wait},
		"clock set": {Reading{leaseTime, -time.Hour}, Wait},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := borrow(true)
			sent := at(time.Minute)
			b.Compose(sent, "r")
			b.Apply(sent, "r", &peerpb.RateReply{Lending: true, Stamp: &peerpb.RateStamp{}, Grants: []*peerpb.RateGrant{{Workspace: "w", Granted: 2}}})
			first := b.Take(sent, Limit{"w", 100, 50}, nil)
			is.Equal(first.Verdict, Admitted)
			now := Reading{sent.Mono + c.after.Mono, sent.Wall + c.after.Wall}
			b.Release(now, first.Token)
			is.Equal(b.Take(now, Limit{"w", 100, 50}, nil).Verdict, c.want)
			is.Equal(b.Take(now, Limit{"w", 100, 50}, nil).Verdict, c.want) // the released token
			is.Equal(b.Take(now, Limit{"w", 100, 50}, nil).Verdict, Wait)
		})
	}
}

// Guards against a released token that the lender already takes as used and fills its bucket for.
func TestReleaseAfterTheReportIsLost(t *testing.T) {
	is := is.New(t)
	b := borrow(true)
	now := at(time.Minute)
	b.Compose(now, "r")
	b.Apply(now, "r", &peerpb.RateReply{Lending: true, Stamp: &peerpb.RateStamp{}, Grants: []*peerpb.RateGrant{{Workspace: "w", Granted: 1}}})
	d := b.Take(now, Limit{"w", 100, 50}, nil)
	is.Equal(d.Verdict, Admitted)
	_, r := b.Compose(now.Add(100*time.Millisecond), "r")
	is.Equal(r.Asks[0].Leases[0].Left, uint32(0))
	b.Release(now.Add(100*time.Millisecond), d.Token)
	is.Equal(b.Take(now.Add(100*time.Millisecond), Limit{"w", 100, 50}, nil).Verdict, Wait)
}

// Guards against an instance that uses its own share while a lender may count on it, and against one that uses nothing
// while there is no lender.
func TestOwnShare(t *testing.T) {
	own := func(b *Borrower, now Reading) bool {
		return b.Take(now, Limit{"w", 100, 50}, func(Decision) {}).Verdict == Admitted
	}
	is := is.New(t)
	b := borrow(false)
	is.True(!own(b, at(50*time.Millisecond)))
	is.True(own(b, at(150*time.Millisecond))) // a tenth of the rate of 100
	b = borrow(true)
	is.True(!own(b, at(standingTime))) // the process before this one may count
	is.True(own(b, at(standingTime+150*time.Millisecond)))
	b.Compose(at(3*time.Second), "r")
	b.Apply(at(3*time.Second), "r", &peerpb.RateReply{Lending: true, Stamp: &peerpb.RateStamp{}})
	is.True(!own(b, at(3*time.Second+standingTime)))
	is.True(!own(b, Reading{3*time.Second + standingTime, time.Hour})) // suspended
	is.True(own(b, at(3*time.Second+standingTime+150*time.Millisecond)))
	taken := 0
	for own(b, at(time.Hour)) {
		taken++
	}
	is.Equal(taken, 6) // a tenth of the burst of 50 and of the slack in use, 15
}

// Guards against a share that two lenders count: after a lender failed, the next one is called at once, and gets the share
// only when the first one no longer counts it.
func TestShareIsGivenUpToOneLender(t *testing.T) {
	is := is.New(t)
	regions := []string{"n", "s"}
	home := Region("w", regions)
	b := NewBorrower(testRules, regions, rand.New(rand.NewPCG(1, 1)))
	b.Tick(at(0), 10, func(region string) (peer.InstanceID, bool) { return peer.InstanceID(region + "/1"), true }, []Limit{{"w", 100, 50}})
	now := at(standingTime) // a former process is forgotten
	answered := func() *peerpb.RateRequest {
		_, r := b.Compose(now, home)
		b.Apply(now, home, &peerpb.RateReply{Lending: true, Stamp: encodeReading(now)})
		return r
	}
	is.True(answered().Echo == nil)
	is.True(answered().Echo != nil)
	given := now
	for range 2 {
		now = now.Add(callGap)
		to, _ := b.Compose(now, home)
		is.Equal(to, peer.InstanceID(home+"/1"))
		b.Failed(now, home)
	}
	for ; shortest(given, now) < standingTime; now = now.Add(100 * time.Millisecond) {
		is.True(answered().Echo == nil)
		is.True(b.Take(now, Limit{"w", 100, 50}, func(Decision) {}).Verdict != Admitted)
		other, _ := b.Lender(home)
		is.True(other != peer.InstanceID(home+"/1"))
	}
	answered()
	is.True(answered().Echo != nil)
}
