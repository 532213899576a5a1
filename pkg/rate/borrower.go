package rate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Verdict is the answer to a request.
type Verdict int

const (
	// Wait means that the request waits for an answer of the lender.
	Wait Verdict = iota
	// Admitted means that the request has a token.
	Admitted
	// OverLimit means that the lender has no token.
	OverLimit
	// Unreached means that no lender was reached and the instance's own share has no token.
	Unreached
)

// Decision is the verdict on a request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused request may get a token.
	RetryAfter time.Duration
	// Token is that of an admitted request.
	Token Token
	// Waiter is that of a request that waits.
	Waiter *Waiter
}

// Token is a token in use.
type Token struct {
	account *account
	batch   *batch // nil: a token of the own share
}

// Waiter is a request that waits for a token.
type Waiter struct {
	account *account
	decided func(Decision)
}

// Borrower admits the requests of one instance. It is not safe for concurrent use.
type Borrower struct {
	rules     Rules
	random    *rand.Rand
	instances int
	seq       uint64
	links     map[string]*link
	granters  map[string]peer.InstanceID
	regions   []string // sorted
	accounts  map[string]*account
	stats     BorrowerStats
}

// BorrowerStats counts the decisions.
type BorrowerStats struct {
	Borrowed, Own, OverLimit, Unreached, Abandoned, Expired uint64
}

// link is the state towards the lender of a region's workspaces.
type link struct {
	region string
	order  []string        // of the regions whose granters may lend
	lender peer.InstanceID // the one that is called
	known  bool            // there is one
	avoid  map[peer.InstanceID]*avoided

	since Reading // when the link began

	// The share of this instance.
	delegated   bool            // a lender lends it, at least until standingTime after received
	delegatedTo peer.InstanceID // that lender
	stamp       *peerpb.RateStamp
	received    Reading
	echoed      bool // the lender was told

	// The move to a preferred lender while this one answers.
	moving  bool
	moveAt  Reading
	leaving bool // the share is no longer given up to this lender

	// The last call.
	sent         Reading
	called       bool // there is one
	calledLender peer.InstanceID
	seq          uint64
	inFlight     bool

	failures int // of calls in succession
	retryAt  Reading
	accounts []*account
}

// avoided is a lender that failed, until a probe or a call is answered.
type avoided struct {
	until   Reading // of the next probe
	time    time.Duration
	probing bool // a probe is in flight
}

// account is the state of a workspace.
type account struct {
	limit     Limit
	link      *link
	listed    bool
	batches   []*batch
	own       float64
	ownAt     Reading
	demand    float64 // decaying count of requests
	demandAt  Reading
	waiting   []*Waiter
	need      int // the tokens for waiting requests that the call in flight asks for
	holdUntil Reading
	hold      time.Duration // the lender's estimate at the start of the hold
	refused   bool          // the lender has had no token at refusedAt
	refusedAt Reading
}

// batch is a number of tokens of one reply.
type batch struct {
	seq      uint64
	sent     Reading // time of the request
	lifetime time.Duration
	leased   bool // the lender counts it as leased and wants reports
	left     uint32
	reported uint32 // the number that the lender may count as left
}

// NewBorrower returns a borrower for lenders in the given regions.
func NewBorrower(rules Rules, regions []string, random *rand.Rand) *Borrower {
	regions = slices.Compact(slices.Sorted(slices.Values(regions)))
	return &Borrower{rules: rules, random: random, regions: regions, links: map[string]*link{}, granters: map[string]peer.InstanceID{}, accounts: map[string]*account{}}
}

// Stats returns the counts since the start.
func (b *Borrower) Stats() BorrowerStats { return b.stats }

// SetRules replaces the permitted deviations.
func (b *Borrower) SetRules(rules Rules) { b.rules = rules }

// Tick states the number of instances, the granters of the regions and the limits that are in force.
func (b *Borrower) Tick(now Reading, instances int, granter func(region string) (peer.InstanceID, bool), limits []Limit) {
	b.instances = max(instances, 1)
	clear(b.granters)
	for _, region := range b.regions {
		if id, ok := granter(region); ok {
			b.granters[region] = id
		}
	}
	for _, region := range b.regions {
		b.choose(now, b.link(now, region))
	}
	for _, a := range b.accounts {
		a.listed = false
	}
	for _, limit := range limits {
		if a := b.account(now, limit); a != nil {
			a.listed = true
		}
	}
	for name, a := range b.accounts {
		if !a.listed && len(a.waiting) == 0 && longest(a.demandAt, now) > borrowerMemory {
			delete(b.accounts, name)
			a.link.accounts = slices.DeleteFunc(a.link.accounts, func(other *account) bool { return other == a })
		}
	}
}

// link returns the state of a region. A process that starts while there are lenders may have been counted by one
// before its restart, so it does not use its own share at once.
func (b *Borrower) link(now Reading, region string) *link {
	l := b.links[region]
	if l == nil {
		l = &link{region: region, order: append([]string{region}, Order(region, without(b.regions, region))...), since: now, delegated: len(b.granters) > 0, received: now, avoid: map[peer.InstanceID]*avoided{}}
		b.links[region] = l
	}
	return l
}

func without(list []string, s string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(other string) bool { return other == s })
}

// choose selects the lender: the granter of the first region in order that has one and does not fail. Borrowers leave a
// lender that answers one after the other, and only call the next one when the share that they gave up has returned.
func (b *Borrower) choose(now Reading, l *link) {
	var best peer.InstanceID
	var found, usable bool
	for _, region := range l.order {
		id, ok := b.granters[region]
		if !ok || usable {
			continue
		}
		if usable = l.avoid[id] == nil; usable || !found {
			best, found = id, true
		}
	}
	switch {
	case l.inFlight:
	case !found || l.known && best == l.lender:
		l.moving, l.leaving = false, false
	case !l.known || l.failures > 1:
		l.call(best, now)
	case !l.moving:
		l.moving, l.moveAt = true, now.Add(time.Duration(b.random.Int64N(int64(moveSpread))))
	case longest(l.moveAt, now) < 0:
	default:
		l.leaving = true
		if l.delegatedTo != l.lender || shortest(l.received, now) >= standingTime {
			l.call(best, now)
		}
	}
}

// call makes an instance the one that is called.
func (l *link) call(id peer.InstanceID, now Reading) {
	l.lender, l.known, l.failures, l.retryAt, l.moving, l.leaving = id, true, 0, now, false, false
}

func (b *Borrower) account(now Reading, limit Limit) *account {
	a := b.accounts[limit.Name]
	if a == nil {
		l := b.links[Region(limit.Name, b.regions)]
		if l == nil || len(b.accounts) >= maxNames {
			return nil
		}
		a = &account{link: l, ownAt: l.since, demandAt: now, holdUntil: now} // nothing of its share was used before
		b.accounts[limit.Name] = a
		l.accounts = append(l.accounts, a)
	}
	a.limit = limit
	return a
}

// Take asks for a token for one request. If the request must wait, decided is called once, unless it is abandoned.
func (b *Borrower) Take(now Reading, limit Limit, decided func(Decision)) Decision {
	a := b.account(now, limit)
	if a == nil {
		b.stats.Unreached++
		return Decision{Verdict: Unreached, RetryAfter: maxBackoff}
	}
	a.count(now)
	if d, ok := b.spend(a, now); ok {
		return d
	}
	l := a.link
	switch {
	case !l.known || l.failures > 1 && shortest(l.retryAt, now) < 0:
		b.stats.Unreached++
		return Decision{Verdict: Unreached, RetryAfter: b.unreachedWait(a, now)}
	case longest(a.holdUntil, now) < 0:
		b.stats.OverLimit++
		return Decision{Verdict: OverLimit, RetryAfter: -longest(a.holdUntil, now) + b.spread(a.hold)}
	}
	w := &Waiter{a, decided}
	a.waiting = append(a.waiting, w)
	return Decision{Verdict: Wait, Waiter: w}
}

// TakeNow takes a token for one request, if this instance has one, and reports whether it did.
func (b *Borrower) TakeNow(now Reading, limit Limit) (Decision, bool) {
	a := b.account(now, limit)
	if a == nil {
		return Decision{}, false
	}
	d, ok := b.spend(a, now)
	if ok {
		a.count(now)
	}
	return d, ok
}

// Yield refuses a request that comes too late for its target, while tokens of its workspace are scarce. The load that it
// answers: a workspace asks for several times its limit, and callers whose requests were refused come back. Without it,
// most tokens go to them, and requests that could still meet their target are refused. Tokens that this instance already
// has are spent on late requests as well, because they might expire unused otherwise.
func (b *Borrower) Yield(now Reading, limit Limit) (Decision, bool) {
	a := b.accounts[limit.Name]
	if a == nil || !a.refused || longest(a.refusedAt, now) >= scarceTime {
		return Decision{}, false
	}
	b.expire(a, now)
	if slices.ContainsFunc(a.batches, func(t *batch) bool { return t.left > 0 }) {
		return Decision{}, false
	}
	a.count(now)
	b.stats.OverLimit++
	return Decision{Verdict: OverLimit, RetryAfter: scarceTime + b.spread(scarceTime)}, true
}

// spend takes a token of a lease or of the own share.
func (b *Borrower) spend(a *account, now Reading) (Decision, bool) {
	b.expire(a, now)
	for _, t := range a.batches {
		if t.left > 0 {
			t.left--
			b.stats.Borrowed++
			return Decision{Verdict: Admitted, Token: Token{a, t}}, true
		}
	}
	if b.fillOwn(a, now); a.own >= 1 {
		a.own--
		b.stats.Own++
		return Decision{Verdict: Admitted, Token: Token{account: a}}, true
	}
	return Decision{}, false
}

// count adds a request to the measured demand.
func (a *account) count(now Reading) {
	if d := now.Mono - a.demandAt.Mono; d > 0 {
		a.demand *= math.Exp(-d.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
	a.demand++
}

// perSecond returns the measured requests per second.
func (a *account) perSecond(now Reading) float64 {
	d := max(now.Mono-a.demandAt.Mono, 0)
	return a.demand * math.Exp(-d.Seconds()/demandTime.Seconds()) / demandTime.Seconds()
}

// expire drops tokens whose lifetime has passed on one of the clocks.
func (b *Borrower) expire(a *account, now Reading) {
	if len(a.batches) == 0 {
		return
	}
	a.batches = slices.DeleteFunc(a.batches, func(t *batch) bool {
		if longest(t.sent, now) < t.lifetime {
			return false
		}
		b.stats.Expired += uint64(t.left)
		t.left, t.reported = 0, 0
		return true
	})
}

// fillOwn fills the bucket of the own share while the lender does not count on this instance.
func (b *Borrower) fillOwn(a *account, now Reading) {
	d := shortest(a.ownAt, now)
	if a.link.delegated {
		d = min(d, shortest(a.link.received, now)-standingTime)
		if d < 0 {
			a.own = 0
		}
	}
	if d <= 0 {
		return
	}
	n := float64(max(b.instances, 1))
	a.own = min(a.own+d.Seconds()*a.limit.Rate/n, (a.limit.burst()+b.rules.slack())/n)
	a.ownAt = now
}

// unreachedWait returns when the own share or a lender may have a token again.
func (b *Borrower) unreachedWait(a *account, now Reading) time.Duration {
	wait := maxBackoff
	if a.link.known {
		wait = max(-shortest(a.link.retryAt, now), callGap)
	}
	if l := a.link; !l.delegated || shortest(l.received, now) >= standingTime {
		missing := max(1-a.own, 0) * float64(max(b.instances, 1)) / a.limit.Rate
		wait = min(wait, time.Duration(min(missing, maxBackoff.Seconds())*float64(time.Second)))
	}
	return wait + b.spread(wait)
}

// spread returns a random time up to d, so that refused callers do not return together.
func (b *Borrower) spread(d time.Duration) time.Duration {
	return time.Duration(b.random.Int64N(int64(max(d, callGap))))
}

// Release takes back the token of a request that was sent nowhere. A token that has expired, or that was reported as
// used, is lost.
func (b *Borrower) Release(now Reading, t Token) {
	switch {
	case t.account == nil:
	case t.batch == nil:
		b.fillOwn(t.account, now)
		if t.account.link.delegated && shortest(t.account.link.received, now) < standingTime {
			return
		}
		t.account.own = min(t.account.own+1, (t.account.limit.burst()+b.rules.slack())/float64(max(b.instances, 1)))
	case longest(t.batch.sent, now) < t.batch.lifetime && t.batch.left < t.batch.reported:
		t.batch.left++
	}
}

// Lender returns the instance that is called for the workspaces of a region.
func (b *Borrower) Lender(region string) (peer.InstanceID, bool) {
	l := b.links[region]
	if l == nil {
		return "", false
	}
	return l.lender, l.known
}

// Abandon ends the wait of a request, which is refused. It returns false if the request was decided before.
func (b *Borrower) Abandon(now Reading, w *Waiter) (Decision, bool) {
	a := w.account
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return Decision{}, false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	b.stats.Abandoned++
	return Decision{Verdict: Unreached, RetryAfter: b.unreachedWait(a, now)}, true
}

// never is a time after which nothing is due.
const never = time.Hour

// Due returns the time until the next call to the lender of a region is due. While no workspace with a limit belongs to
// the lender, none is.
func (b *Borrower) Due(now Reading, region string) time.Duration {
	l := b.links[region]
	if l == nil || !l.known || l.inFlight || len(l.accounts) == 0 {
		return never
	}
	if !l.called {
		return 0
	}
	since := now.Mono - l.sent.Mono
	due := keepInterval
	if l.delegatedTo == l.lender && !l.echoed {
		due = callGap // nobody uses the share until the lender knows of it
	} else if l.delegatedTo != l.lender {
		due = renewAge
	}
	for _, a := range l.accounts {
		if len(a.waiting) > 0 {
			due = callGap
			break
		}
		b.expire(a, now)
		held := 0
		for _, t := range a.batches {
			if t.leased && t.left > 0 {
				held += int(t.left)
				due = min(due, t.sent.Mono+renewAge-l.sent.Mono)
			}
		}
		if held == 0 && due > renewAge && a.perSecond(now) >= busyRate {
			due = renewAge
		}
	}
	due = max(due, callGap) - since
	if l.failures > 0 {
		due = max(due, l.retryAt.Mono-now.Mono)
	}
	return due
}

// Compose returns the next request to the lender of a region, which must be due.
func (b *Borrower) Compose(now Reading, region string) (peer.InstanceID, *peerpb.RateRequest) {
	l := b.links[region]
	b.seq++
	l.seq, l.sent, l.called, l.calledLender, l.inFlight = b.seq, now, true, l.lender, true
	r := &peerpb.RateRequest{Seq: b.seq, Region: region}
	if l.delegatedTo == l.lender && !l.leaving {
		r.Echo, l.echoed = l.stamp, true
	}
	for _, a := range l.accounts {
		b.expire(a, now)
		a.need = min(len(a.waiting), maxTokens)
		ask := &peerpb.RateAsk{Workspace: a.limit.Name, Rate: a.limit.Rate, Burst: a.limit.burst(), Need: uint32(a.need)}
		held := b.report(a, now, ask)
		if expected := a.perSecond(now); expected >= busyRate {
			ask.Want = uint32(min(max(math.Ceil(expected*leaseTime.Seconds())-float64(held), 0), maxTokens))
		}
		if ask.Need > 0 || ask.Want > 0 || len(ask.Leases) > 0 {
			r.Asks = append(r.Asks, ask)
		}
	}
	return l.lender, r
}

// report adds the leases of a workspace to a request and gives back old tokens. It returns the number of tokens kept.
func (b *Borrower) report(a *account, now Reading, ask *peerpb.RateAsk) (held uint32) {
	a.batches = slices.DeleteFunc(a.batches, func(t *batch) bool {
		if !t.leased {
			return false
		}
		report := &peerpb.RateLease{Seq: t.seq}
		if longest(t.sent, now) >= renewAge {
			report.Back, t.left = t.left, 0
		}
		if report.Left = t.left; report.Back > 0 || t.left < t.reported {
			t.reported = t.left
			ask.Leases = append(ask.Leases, report)
		}
		held += t.left
		return t.reported == 0
	})
	return held
}

// Failed records that the call in flight to the lender of a region failed. The requests that wait are refused if the
// call before failed, too.
func (b *Borrower) Failed(now Reading, region string) {
	l := b.links[region]
	l.inFlight = false
	l.failures++
	l.retryAt = now
	if l.failures > 1 {
		l.fail(now, l.lender)
		b.choose(now, l)
	}
	if l.failures > 1 {
		pause := min(maxBackoff, callGap<<min(l.failures, 8))
		l.retryAt = now.Add(pause/2 + b.spread(pause/2))
	}
	for _, a := range l.accounts {
		a.need = 0
		for l.failures > 1 && len(a.waiting) > 0 {
			d, ok := b.spend(a, now)
			if !ok {
				b.stats.Unreached++
				d = Decision{Verdict: Unreached, RetryAfter: b.unreachedWait(a, now)}
			}
			b.decide(a, d)
		}
	}
}

// Probe returns a request without asks to a granter of the region's order that failed, once its pause is over. The granter
// is called again only after an answer, so that no request waits for it in vain. ok is false if no probe is due.
func (b *Borrower) Probe(now Reading, region string) (to peer.InstanceID, r *peerpb.RateRequest, ok bool) {
	l := b.links[region]
	if l == nil || len(l.accounts) == 0 {
		return "", nil, false
	}
	for _, name := range l.order {
		id, known := b.granters[name]
		a := l.avoid[id]
		if !known || a == nil || id == l.lender || a.probing || longest(a.until, now) < 0 {
			continue
		}
		a.probing = true
		b.seq++
		return id, &peerpb.RateRequest{Seq: b.seq, Region: region}, true
	}
	return "", nil, false
}

// Probed records whether a lender has answered a probe.
func (b *Borrower) Probed(now Reading, region string, to peer.InstanceID, answered bool) {
	l := b.links[region]
	a := l.avoid[to]
	switch {
	case a == nil: // answered a call meanwhile
	case answered:
		delete(l.avoid, to)
		b.choose(now, l)
	default:
		a.probing = false
		l.fail(now, to)
	}
}

// fail records that a lender does not answer.
func (l *link) fail(now Reading, lender peer.InstanceID) {
	a := l.avoid[lender]
	if a == nil {
		if len(l.avoid) >= 4*len(l.order) {
			clear(l.avoid) // of lenders that are gone
		}
		a = &avoided{time: avoidTime / 2}
		l.avoid[lender] = a
	}
	a.time = min(2*a.time, maxAvoidTime)
	a.until = now.Add(a.time)
}

// mayGiveUp reports whether the share may be given up to the lender: no other one counts on it.
func (l *link) mayGiveUp(now Reading) bool {
	return !l.delegated || l.delegatedTo == l.lender || shortest(l.received, now) >= standingTime
}

// Apply applies the reply to the call in flight and decides the requests that wait.
func (b *Borrower) Apply(now Reading, region string, reply *peerpb.RateReply) {
	l := b.links[region]
	if !reply.Lending || reply.Stamp == nil {
		b.Failed(now, region)
		return
	}
	l.inFlight, l.failures = false, 0
	delete(l.avoid, l.calledLender)
	if l.lender == l.calledLender && !l.leaving && l.mayGiveUp(now) {
		l.echoed = l.echoed && l.delegatedTo == l.lender && shortest(l.received, now) < standingTime
		l.delegatedTo, l.stamp, l.received, l.delegated = l.lender, reply.Stamp, now, true
		for _, a := range l.accounts {
			a.own, a.ownAt = 0, now
		}
	}
	for _, g := range reply.Grants {
		if a := b.accounts[g.Workspace]; a != nil && a.link == l {
			b.applyGrant(a, now, g)
		}
	}
	for _, a := range l.accounts {
		a.need = 0
	}
}

// applyGrant distributes the tokens of a reply. Those for waiting requests that were abandoned in between have the short
// lifetime of their kind, because the lender takes them as used.
func (b *Borrower) applyGrant(a *account, now Reading, g *peerpb.RateGrant) {
	l := a.link
	needed := min(g.Granted, uint32(a.need))
	if needed > 0 {
		a.batches = append(a.batches, &batch{seq: l.seq, sent: l.sent, lifetime: askTime, left: needed, reported: needed})
	}
	if extra := g.Granted - needed; extra > 0 {
		a.batches = append(a.batches, &batch{seq: l.seq, sent: l.sent, lifetime: leaseTime, leased: true, left: extra, reported: extra})
	}
	a.need = 0
	for len(a.waiting) > 0 {
		d, ok := b.spend(a, now)
		if !ok {
			break
		}
		b.decide(a, d)
	}
	wait := time.Duration(min(g.WaitUs, uint64(longestWait/time.Microsecond))) * time.Microsecond
	if wait <= soonTime {
		return // the next call gets a token
	}
	a.hold, a.holdUntil = wait, now.Add(min(wait, maxHold))
	a.refused, a.refusedAt = true, now
	for len(a.waiting) > 0 {
		b.stats.OverLimit++
		b.decide(a, Decision{Verdict: OverLimit, RetryAfter: wait + b.spread(wait)})
	}
}

// decide answers the request that has waited longest.
func (b *Borrower) decide(a *account, d Decision) {
	w := a.waiting[0]
	a.waiting = slices.Delete(a.waiting, 0, 1)
	w.decided(d)
}
