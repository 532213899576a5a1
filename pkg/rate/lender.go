package rate

import (
	"math"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Lender has the token buckets of the workspaces of one region. What it lends are the shares of the borrowers that have
// given up their own: the unused tokens of a workspace, in its bucket and in leases, never exceed these shares of the
// burst, and are filled at these shares of the rate. A borrower gives up its share to one lender at a time, so several
// lenders of a region at once do not exceed the limit. Only the overage needs a lender that is alone.
// It is not safe for concurrent use.
type Lender struct {
	rules     Rules
	alone     bool    // it may use the overage
	began     bool    // confirmed is set
	confirmed Reading // when its role was last stated
	lapsed    bool    // it was not stated for lapseTime
	lapsedAt  Reading
	scanned   Reading
	instances int
	standing  int // borrowers that have given up their share to this lender
	borrowers map[peer.InstanceID]*borrowing
	buckets   map[string]*bucket
	stats     LenderStats
}

// LenderStats counts tokens.
type LenderStats struct {
	Granted, Leased, Returned, Expired, Refused uint64
}

// borrowing is what the lender knows of a borrower.
type borrowing struct {
	seq      uint64
	heard    Reading
	stamp    Reading // the last one that it echoed
	standing bool
}

type leaseKey struct {
	from peer.InstanceID
	seq  uint64
}

// lease is a number of tokens that a borrower may hold.
type lease struct {
	key     leaseKey
	granted Reading
	out     float64
}

type bucket struct {
	limit  Limit
	level  float64
	leased float64 // sum of the leases
	at     Reading
	asked  Reading
	leases []*lease // in the order in which they expire
	byKey  map[leaseKey]*lease
	slot   time.Duration // monotonic time at which the next token is not yet promised to a refused request
	listed bool          // in the configuration
}

// NewLender returns a lender without borrowers.
func NewLender(rules Rules) *Lender {
	return &Lender{rules: rules, borrowers: map[peer.InstanceID]*borrowing{}, buckets: map[string]*bucket{}}
}

// Stats returns the counts since the start.
func (l *Lender) Stats() LenderStats { return l.stats }

// Lent returns the number of workspaces whose tokens are lent.
func (l *Lender) Lent() int {
	if l.standing == 0 {
		return 0
	}
	return len(l.buckets)
}

// SetRules replaces the permitted deviations.
func (l *Lender) SetRules(now Reading, rules Rules) {
	l.settle(now)
	l.rules = rules
}

// Tick states whether this instance alone acts for the region, the number of instances, and the limits of the workspaces
// of the region.
func (l *Lender) Tick(now Reading, alone bool, instances int, limits []Limit) {
	l.confirm(now, alone, instances)
	for _, b := range l.buckets {
		b.listed = false
	}
	for _, limit := range limits {
		b := l.bucket(now, limit)
		if b == nil {
			continue
		}
		l.advance(b, now)
		b.limit, b.listed = limit, true
	}
	for name, b := range l.buckets {
		if !b.listed && longest(b.asked, now) > borrowerMemory {
			delete(l.buckets, name)
		}
	}
	for id, b := range l.borrowers {
		if !b.standing && longest(b.heard, now) > borrowerMemory {
			delete(l.borrowers, id)
		}
	}
}

// confirm records the role and the number of instances. Larger shares do not hold for the past.
func (l *Lender) confirm(now Reading, alone bool, instances int) {
	l.scan(now)
	if l.began && longest(l.confirmed, now) > lapseTime {
		l.lapsed, l.lapsedAt = true, now
	}
	if !alone || shortest(l.lapsedAt, now) >= lapseWait {
		l.lapsed = false
	}
	alone = alone && !l.lapsed
	if instances = max(instances, 1); alone && !l.alone || instances < l.instances {
		l.settle(now)
	}
	l.began, l.confirmed, l.alone, l.instances = true, now, alone, instances
}

// scan ends the standing of borrowers that may use their own share soon.
func (l *Lender) scan(now Reading) {
	if d := longest(l.scanned, now); d >= 0 && d < scanInterval {
		return
	}
	l.scanned = now
	for _, b := range l.borrowers {
		if b.standing && longest(b.stamp, now) >= standingTime-standingMargin {
			b.standing = false
			l.standing--
		}
	}
}

// share returns the share of the limits that the borrowers have given up.
func (l *Lender) share() float64 { return min(float64(l.standing)/float64(max(l.instances, 1)), 1) }

// extended returns the share with the overage. The recorded number of instances is an upper bound, so that the shares
// of all borrowers together are less than one; the overage makes up for that.
func (l *Lender) extended() float64 {
	if !l.alone {
		return l.share()
	}
	return min(l.share()+l.rules.overage(), 1)
}

// rate returns the tokens per second of a bucket.
func (l *Lender) rate(b *bucket) float64 { return b.limit.Rate * l.extended() }

// size returns the largest number of unused tokens of a workspace.
func (l *Lender) size(b *bucket) float64 {
	return b.limit.burst()*l.extended() + l.rules.slack()*l.share()
}

func (l *Lender) settle(now Reading) {
	for _, b := range l.buckets {
		l.advance(b, now)
	}
}

// bucket returns the bucket of a workspace. A new one is empty: another lender may have just lent its last token.
func (l *Lender) bucket(now Reading, limit Limit) *bucket {
	b := l.buckets[limit.Name]
	if b == nil {
		if len(l.buckets) >= maxNames {
			return nil
		}
		b = &bucket{limit: limit, at: now, asked: now, slot: now.Mono, byKey: map[leaseKey]*lease{}}
		l.buckets[limit.Name] = b
	}
	return b
}

// advance fills a bucket and drops leases that no borrower can use any more.
func (l *Lender) advance(b *bucket, now Reading) {
	for len(b.leases) > 0 && shortest(b.leases[0].granted, now) >= leaseTime {
		first := b.leases[0]
		b.leases[0], b.leases = nil, b.leases[1:]
		delete(b.byKey, first.key)
		b.leased -= first.out
		l.stats.Expired += uint64(first.out)
	}
	if d := shortest(b.at, now); d > 0 {
		b.level += l.rate(b) * d.Seconds()
		b.at = now
	}
	b.level = max(min(b.level, l.size(b)-b.leased), 0)
}

// Handle answers a request of a borrower.
func (l *Lender) Handle(now Reading, alone bool, instances int, from peer.InstanceID, r *peerpb.RateRequest) *peerpb.RateReply {
	l.confirm(now, alone, instances)
	reply := &peerpb.RateReply{Lending: true, Stamp: encodeReading(now)}
	who := l.borrowers[from]
	if who == nil {
		if len(l.borrowers) >= maxBorrowers {
			return &peerpb.RateReply{}
		}
		who = &borrowing{}
		l.borrowers[from] = who
	}
	if r.Seq <= who.seq {
		return reply // a copy, or overtaken: its tokens may have been used since
	}
	who.seq, who.heard = r.Seq, now
	l.hear(who, r.Echo, now)
	for _, ask := range r.Asks {
		if !(ask.Rate > 0) || math.IsInf(ask.Rate, 0) || !(ask.Burst >= 0) || math.IsInf(ask.Burst, 0) {
			continue
		}
		if b := l.bucket(now, Limit{ask.Workspace, ask.Rate, ask.Burst}); b != nil {
			if g := l.grant(b, now, leaseKey{from, r.Seq}, ask); g.Granted > 0 || g.WaitUs > 0 {
				reply.Grants = append(reply.Grants, g)
			}
		}
	}
	return reply
}

// hear records the standing of a borrower. The stamp was sent before the borrower gave up its own share, so the time in
// it bounds the standing also if the message was late.
func (l *Lender) hear(who *borrowing, echo *peerpb.RateStamp, now Reading) {
	if echo == nil {
		return
	}
	stamp := decodeReading(echo)
	if stamp.Mono > now.Mono || longest(stamp, now) >= standingTime-standingMargin || who.standing && stamp.Mono <= who.stamp.Mono {
		return
	}
	who.stamp = stamp
	if !who.standing {
		l.settle(now) // the larger share does not hold for the past
		who.standing = true
		l.standing++
	}
}

// grant settles the reported leases and grants tokens. Those for waiting requests are used when the reply arrives
// and are not leased. Those for expected requests are only taken from the upper half of the bucket, so that a burst at
// one instance finds tokens while the others are quiet.
func (l *Lender) grant(b *bucket, now Reading, key leaseKey, ask *peerpb.RateAsk) *peerpb.RateGrant {
	l.advance(b, now)
	b.asked = now
	for _, report := range ask.Leases {
		held := b.byKey[leaseKey{key.from, report.Seq}]
		if held == nil {
			continue
		}
		back := min(float64(report.Back), held.out)
		left := min(float64(report.Left), held.out-back)
		b.level += back
		b.leased -= held.out - left
		held.out = left
		l.stats.Returned += uint64(back)
	}
	b.level = max(min(b.level, l.size(b)-b.leased), 0)
	need := float64(min(ask.Need, maxTokens))
	granted := min(need, math.Floor(b.level))
	b.level -= granted
	l.stats.Granted += uint64(granted)
	g := &peerpb.RateGrant{Workspace: ask.Workspace, Granted: uint32(granted)}
	if granted < need {
		if l.extended() <= 0 {
			return g // no share has arrived yet; the borrower asks again while its requests wait
		}
		l.stats.Refused += uint64(need - granted)
		g.WaitUs = uint64(l.wait(b, now, need-granted) / time.Microsecond)
		return g
	}
	b.slot = now.Mono
	if extra := min(float64(min(ask.Want, maxTokens)), math.Floor(b.level-l.size(b)/2)); extra >= 1 {
		b.level -= extra
		b.leased += extra
		held := &lease{key, now, extra}
		b.leases = append(b.leases, held)
		b.byKey[key] = held
		l.stats.Leased += uint64(extra)
		g.Granted += uint32(extra)
	}
	return g
}

// wait returns the time until a token is expected for a refused request. Refused requests are promised tokens one after
// the other, so that they do not all return for the same one.
func (l *Lender) wait(b *bucket, now Reading, refused float64) time.Duration {
	rate := l.rate(b)
	toNext := max(1-b.level, 0) / rate
	b.slot = max(b.slot, now.Mono)
	ahead := (b.slot - now.Mono).Seconds()
	b.slot += time.Duration(min(refused/rate, max(longestWait.Seconds()-ahead, 0)) * float64(time.Second))
	return time.Duration(min(toNext+ahead, longestWait.Seconds()) * float64(time.Second))
}

func encodeReading(r Reading) *peerpb.RateStamp {
	return &peerpb.RateStamp{MonoUs: uint64(max(r.Mono, 0) / time.Microsecond), WallUs: uint64(max(r.Wall, 0) / time.Microsecond)}
}

// latestReading is the largest reading that a message can state without an overflow.
const latestReading = math.MaxInt64 / uint64(time.Microsecond)

func decodeReading(s *peerpb.RateStamp) Reading {
	return Reading{
		Mono: time.Duration(min(s.MonoUs, latestReading)) * time.Microsecond,
		Wall: time.Duration(min(s.WallUs, latestReading)) * time.Microsecond,
	}
}
