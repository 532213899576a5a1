package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

const (
	// maxLog bounds the events that are kept for contacts that have not got them, about 2 MB.
	maxLog = 8192
	// maxSeen bounds the IDs of known events, about 2 MB.
	maxSeen = 32768
	// maxContacts bounds the contacts, those that are absent included.
	maxContacts = 4096

	// noteTime is how long the reports of an instance are noted that is not present. A new instance reports before it is
	// present here; most others that report never are, since each instance reports to the readers of all regions.
	noteTime = 5 * time.Second

	// maxCalls bounds the calls to one contact that are in progress. With one, an event would wait a round trip for the
	// answer to the event before; further ones share the next call.
	maxCalls = 4

	// The backoff after failed calls to a contact. Instances that are cut off or frozen return within seconds, so the
	// first calls follow soon; the longest backoff costs a few calls a minute.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 16 * time.Second

	// The budget of an instance's reports. In a minute with one lost upstream a second an instance sends 11 calls a
	// second (30 instances); the burst lets a reader with hundreds of contacts tell all of them of several losses at once.
	callRate, callBurst = 256, 2048
	byteRate, byteBurst = 128 << 10, 1 << 20
)

// allowance is a token bucket. Taking may make it negative, which delays what follows.
type allowance struct {
	rate, burst, tokens float64
	last                time.Time
}

func newAllowance(rate, burst float64) allowance {
	return allowance{rate: rate, burst: burst, tokens: burst}
}

func (a *allowance) refill(now time.Time) {
	if !a.last.IsZero() {
		a.tokens = min(a.burst, a.tokens+a.rate*max(0, now.Sub(a.last).Seconds()))
	}
	a.last = now
}

// wait returns how long to wait until something may be taken.
func (a *allowance) wait() time.Duration {
	if a.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - a.tokens) / a.rate * float64(time.Second))
}

// contact is what an instance that reports go to has got, and when it may be called.
type contact struct {
	next     int64              // position of the first event that was not sent to it
	again    []int64            // earlier positions of events whose call failed, in ascending order
	reported map[int64]struct{} // positions from next on of events that it has reported itself
	told     int64              // events of other instances before this position are sent to it although nothing is forwarded
	refusals bool               // the refusals in force are still to be sent to it
	joined   bool               // it has been present
	present  bool
	lastSeen time.Time
	calls    int  // in progress
	gone     bool // another incarnation has its place
	failures int
	retryAt  time.Time
	calledAt time.Time
}

// seenEvent is an event whose ID is known; position is -1 if it is not in the log.
type seenEvent struct {
	position int64
	at       time.Time
}

// outbox decides which events are sent to which contact and when. It keeps the cost of reports bounded on days with
// many restarts and losses: each contact gets each event once, failed contacts are called at growing intervals, and all
// calls share a budget. Time is an argument.
type outbox struct {
	keep     time.Duration // how long events and absent contacts are remembered
	forward  bool          // events of other instances are sent on
	events   []event       // the log, oldest first
	first    int64         // the position of the first event in the log
	seen     map[uint64]seenEvent
	contacts map[peer.InstanceID]*contact
	calls    allowance
	bytes    allowance
}

func newOutbox(keep time.Duration, forward bool) *outbox {
	return &outbox{
		keep: keep, forward: forward, seen: map[uint64]seenEvent{}, contacts: map[peer.InstanceID]*contact{},
		calls: newAllowance(callRate, callBurst), bytes: newAllowance(byteRate, byteBurst),
	}
}

func (o *outbox) end() int64 { return o.first + int64(len(o.events)) }

// known reports whether an event was seen before, and notes that the instance that reports it needs not be told.
func (o *outbox) known(now time.Time, id uint64, from peer.InstanceID) bool {
	s, known := o.seen[id]
	if known && s.position >= 0 {
		o.noteReport(now, from, s.position)
	}
	return known
}

// noteReport notes that an instance has reported the event at a position.
func (o *outbox) noteReport(now time.Time, from peer.InstanceID, position int64) {
	c := o.contacts[from]
	if c == nil || !c.present && now.Sub(c.lastSeen) >= noteTime {
		return
	}
	if position < c.next {
		c.again = slices.DeleteFunc(c.again, func(p int64) bool { return p == position })
		return
	}
	if c.reported == nil || len(c.reported) >= maxLog {
		c.reported = map[int64]struct{}{}
	}
	c.reported[position] = struct{}{}
}

// see remembers an event that is already known and is not passed on.
func (o *outbox) see(now time.Time, id uint64) {
	if id != 0 {
		o.remember(id, seenEvent{-1, now})
	}
}

// remember keeps the ID of an event. If there are too many, it forgets one that is no longer in the log; should that
// event come again, the table decides whether it is already known.
func (o *outbox) remember(id uint64, s seenEvent) {
	if len(o.seen) >= maxSeen {
		for old, e := range o.seen {
			if e.position < 0 {
				delete(o.seen, old)
				break
			}
		}
	}
	o.seen[id] = s
}

// add appends an event to the log.
func (o *outbox) add(now time.Time, e event) {
	if e.id == 0 {
		e.id = rand.Uint64() | 1
	}
	e.learned = now
	if len(o.events) >= maxLog {
		o.dropFirst(maxLog / 8) // several at once, since the rest is moved
	}
	o.events = append(o.events, e)
	o.remember(e.id, seenEvent{o.end() - 1, now})
	if e.from != "" {
		o.noteReport(now, e.from, o.end()-1)
	}
}

func (o *outbox) dropFirst(n int) {
	for _, e := range o.events[:n] {
		o.seen[e.id] = seenEvent{-1, e.learned}
	}
	o.events = slices.Delete(o.events, 0, n)
	o.first += int64(n)
}

// contact returns what is kept of an instance, or nil if there are too many.
func (o *outbox) contact(id peer.InstanceID) *contact {
	c := o.contacts[id]
	if c == nil && len(o.contacts) < maxContacts {
		c = &contact{}
		o.contacts[id] = c
	}
	return c
}

// heard notes that an instance has sent a report: it runs and may be called soon.
func (o *outbox) heard(now time.Time, id peer.InstanceID) {
	known := o.contacts[id] != nil
	if c := o.contact(id); c != nil {
		c.gone = false
		if !known {
			c.lastSeen = now
		}
		if soon := now.Add(minBackoff); c.retryAt.After(soon) {
			c.retryAt = soon
		}
	}
}

// setPresent takes the instances that reports go to. A new one is told all that is known if sync returns true.
func (o *outbox) setPresent(now time.Time, ids []peer.InstanceID, sync func(peer.InstanceID) bool) {
	for _, c := range o.contacts {
		c.present = false
	}
	for _, id := range ids {
		c := o.contact(id)
		if c == nil {
			continue
		}
		if now.Sub(c.lastSeen) > stepInterval*2 { // it returns after an absence
			c.gone, c.retryAt, c.failures = false, time.Time{}, 0
		}
		c.present, c.lastSeen = true, now
		if c.joined {
			continue
		}
		c.joined = true
		switch {
		case !sync(id):
			c.next = o.end()
		default:
			c.refusals, c.told = true, o.end()
		}
	}
}

// expire forgets old events and the contacts that have been absent for long.
func (o *outbox) expire(now time.Time) {
	old := 0
	for old < len(o.events) && now.Sub(o.events[old].learned) >= o.keep {
		old++
	}
	o.dropFirst(old)
	maps.DeleteFunc(o.seen, func(_ uint64, s seenEvent) bool { return s.position < 0 && now.Sub(s.at) >= 2*o.keep })
	for _, c := range o.contacts {
		if !c.joined && now.Sub(c.lastSeen) >= noteTime {
			c.reported = nil
		}
	}
	maps.DeleteFunc(o.contacts, func(_ peer.InstanceID, c *contact) bool {
		return !c.present && c.calls == 0 && now.Sub(c.lastSeen) >= o.keep
	})
}

// due returns the contacts that may be called now, those called longest ago first, and after which time to ask again if
// others have to wait, or 0.
func (o *outbox) due(now time.Time) (ids []peer.InstanceID, wait time.Duration) {
	for id, c := range o.contacts {
		if !c.present || c.calls >= maxCalls || c.gone || !o.waiting(c) {
			continue
		}
		if left := c.retryAt.Sub(now); left > 0 {
			wait = shorter(wait, left)
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b peer.InstanceID) int {
		return cmp.Or(o.contacts[a].calledAt.Compare(o.contacts[b].calledAt), cmp.Compare(a, b))
	})
	return ids, wait
}

// shorter returns the shorter of two waits, where 0 is none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// collect takes the events that a contact is sent next, at most limit, and returns their positions. ok tells whether
// an event may be sent there, or whether this is not known yet.
func (o *outbox) collect(c *contact, limit int, ok func(event) (send, known bool)) (positions []int64) {
	repeated := min(limit, len(c.again))
	for _, p := range c.again[:repeated] {
		if p < o.first {
			continue
		}
		if send, _ := ok(o.at(p)); send {
			positions = append(positions, p)
		}
	}
	c.again = slices.Delete(c.again, 0, repeated)
	p := max(c.next, o.first)
	for ; p < o.end() && len(positions) < limit; p++ {
		e := o.at(p)
		if _, has := c.reported[p]; has || e.from != "" && !o.forward && p >= c.told {
			continue
		}
		send, known := ok(e)
		if !known {
			break
		}
		if send {
			positions = append(positions, p)
		}
	}
	c.next = p
	maps.DeleteFunc(c.reported, func(reported int64, _ struct{}) bool { return reported < p })
	return positions
}

func (o *outbox) at(position int64) event { return o.events[position-o.first] }

// allowed returns how long to wait for the budget before the next call.
func (o *outbox) allowed(now time.Time) time.Duration {
	o.calls.refill(now)
	o.bytes.refill(now)
	return max(o.calls.wait(), o.bytes.wait())
}

func (o *outbox) called(now time.Time, c *contact, bytes int) {
	o.calls.tokens--
	o.bytes.tokens -= float64(bytes)
	c.calls++
	c.calledAt = now
}

func (c *contact) succeeded() {
	c.calls--
	c.failures, c.retryAt = 0, time.Time{}
}

// failed notes that a call failed, so that its events are sent again. gone tells that another incarnation answered.
// random in [0, 1) spreads the next calls of many instances to one.
func (c *contact) failed(now time.Time, positions []int64, refusals, gone bool, random float64) {
	c.calls--
	c.again = append(c.again, positions...)
	slices.Sort(c.again)
	c.refusals = c.refusals || refusals
	c.gone = c.gone || gone
	if !now.Before(c.retryAt) { // calls that fail together count once
		c.retryAt = now.Add(backoff(c.failures, random))
		c.failures++
	}
}

// waiting reports whether there is something that was not sent to a contact.
func (o *outbox) waiting(c *contact) bool { return c.next < o.end() || len(c.again) > 0 || c.refusals }

// backoff returns the pause after a number of earlier failures in a row, spread over its upper half.
func backoff(failures int, random float64) time.Duration {
	d := min(maxBackoff, minBackoff<<min(failures, 16))
	return d/2 + time.Duration(random*float64(d/2))
}
