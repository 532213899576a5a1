package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

func always(event) (send, known bool) { return true, true }

// outboxAt returns an outbox that forwards, with one contact that is present, and a start time.
func outboxAt(ids ...peer.InstanceID) (*outbox, time.Time) {
	o, begin := newOutbox(time.Minute, true), time.Now()
	o.setPresent(begin, ids, func(peer.InstanceID) bool { return true })
	for _, c := range o.contacts {
		c.refusals = false
	}
	return o, begin
}

// call starts a call to a contact and returns the events in it.
func (o *outbox) call(now time.Time, id peer.InstanceID) []int64 {
	c := o.contacts[id]
	positions := o.collect(c, maxItems, always)
	o.called(now, c, 50*len(positions))
	return positions
}

// Guards against events that are lost with a failed call, that are sent although the contact reported them, and that are
// sent again with the call after.
func TestEventsAreSentUntilAnsweredOnce(t *testing.T) {
	is := is.New(t)
	o, now := outboxAt("a/1")
	c := o.contacts["a/1"]
	o.add(now, event{id: 1})
	o.add(now, event{id: 2, from: "a/1"})
	o.add(now, event{id: 3, from: "b/1"})
	first := o.call(now, "a/1")
	is.Equal(first, []int64{0, 2})
	o.add(now, event{id: 4})
	second := o.call(now, "a/1") // while the first is in progress
	is.Equal(second, []int64{3})
	c.failed(now, first, false, false, 0.5)
	c.succeeded()
	is.True(o.waiting(c))
	is.True(o.known(now, 3, "a/1")) // the lost answer was to a call that arrived: the contact forwards event 3
	is.Equal(o.call(now, "a/1"), []int64{0})
	c.succeeded()
	is.True(!o.waiting(c))
	is.Equal(o.collect(c, maxItems, always), nil)
}

// Guards against calls each second to a contact that does not answer, and against a contact that stays in backoff although
// it runs again.
func TestFailedContactIsCalledAtGrowingIntervals(t *testing.T) {
	is := is.New(t)
	o, begin := outboxAt("a/1")
	c, calls, now := o.contacts["a/1"], 0, begin
	for ; now.Sub(begin) < 5*time.Minute; now = now.Add(50 * time.Millisecond) {
		o.add(now, event{})
		if now.Sub(begin)%stepInterval == 0 {
			o.setPresent(now, []peer.InstanceID{"a/1"}, nil)
		}
		if ids, _ := o.due(now); len(ids) > 0 {
			calls++
			c.failed(now, o.call(now, "a/1"), false, false, 0)
		}
	}
	is.True(calls < 50) // 300 with a call each second
	ids, wait := o.due(now)
	is.True(len(ids) == 0 && wait > 0)
	o.heard(now, "a/1")
	ids, _ = o.due(now.Add(minBackoff))
	is.Equal(len(ids), 1) // a report shows that it runs

	c.failed(now, nil, false, true, 0)
	now = now.Add(time.Hour)
	o.contacts["a/1"].lastSeen = now
	o.setPresent(now, []peer.InstanceID{"a/1"}, nil)
	ids, wait = o.due(now)
	is.True(len(ids) == 0 && wait == 0) // another incarnation has its place
	o.heard(now, "a/1")
	ids, _ = o.due(now)
	is.Equal(len(ids), 1) // it reports, so it was not replaced
}

// Guards against more calls or bytes than the budget allows, however many events and contacts there are.
func TestReportsKeepTheirBudget(t *testing.T) {
	is := is.New(t)
	var ids []peer.InstanceID
	for i := range 400 {
		ids = append(ids, peer.InstanceID(fmt.Sprintf("e%d/1", i)))
	}
	o, begin := outboxAt(ids...)
	const length = 30 * time.Second
	calls, bytes := 0, 0
	called := map[peer.InstanceID]int{}
	for now := begin; now.Sub(begin) < length; now = now.Add(10 * time.Millisecond) {
		o.add(now, event{})
		due, _ := o.due(now)
		for _, id := range due {
			if o.allowed(now) > 0 {
				break
			}
			bytes += 50 * len(o.call(now, id))
			o.contacts[id].succeeded()
			calls++
			called[id]++
		}
	}
	is.True(calls <= callBurst+callRate*int(length.Seconds()))
	is.True(bytes <= byteBurst+byteRate*int(length.Seconds())+50*maxItems)
	for _, id := range ids {
		is.True(called[id] > 0) // those that were called longest ago come first
	}
}

// Guards against memory that grows with events, IDs, and reports of instances that are never called.
func TestOutboxIsBounded(t *testing.T) {
	is := is.New(t)
	o, now := outboxAt("gone/1")
	o.contacts["gone/1"].gone = true
	for i := range 2 * maxSeen {
		now = now.Add(time.Millisecond)
		o.heard(now, "stranger/1")
		o.add(now, event{from: peer.InstanceID([]string{"gone/1", "stranger/1"}[i%2])})
		o.heard(now, peer.InstanceID(fmt.Sprintf("other%d/1", i)))
		if i%1000 == 0 {
			o.expire(now)
		}
	}
	is.True(len(o.events) <= maxLog)
	is.True(len(o.seen) <= maxSeen)
	is.True(len(o.contacts) <= maxContacts)
	is.True(len(o.contacts["gone/1"].reported) <= maxLog)
	o.expire(now.Add(noteTime))
	is.Equal(len(o.contacts["stranger/1"].reported), 0)
	now = now.Add(3 * time.Minute)
	o.expire(now)
	is.Equal(len(o.events)+len(o.seen), 0)
	is.Equal(len(o.contacts), 1) // the one that is present
}
