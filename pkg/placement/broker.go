package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/queue"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Observer is notified of requests that start and end on upstreams; AdaptiveLimits implements it.
type Observer interface {
	// Begin records that a request is sent to the upstream.
	Begin(upstream string, now time.Time)
	// End records the end of a request.
	End(upstream string, now time.Time, latency time.Duration, result Result)
}

// BrokerSettings are the fixed inputs of a Broker.
type BrokerSettings struct {
	// Self is the instance that runs the broker.
	Self peer.InstanceID
	// Region and FailureDomain are the location of the broker and of the upstreams that it owns.
	Region, FailureDomain string
	// Limits returns the limit of each upstream; nil means the pool's number of slots.
	Limits Limits
	// Observer is notified of the start and end of requests; nil means none.
	Observer Observer
	// Queue bounds the waiting requests.
	Queue queue.Settings
	// ReportTimeout is the longest time that a new broker waits for the reports of the entries.
	ReportTimeout time.Duration
	// Overlap is the maximum number of upstreams in the failure domain that hold a
	// permit above their limit while requests wait. Such a permit uses the time in
	// which a slot is idle while an answer, a permit and the next request are in
	// transit; if no slot is idle, the request waits at the upstream. Upstreams whose
	// limit is below their number of slots get no such permit. The default of 0 keeps
	// every upstream within its slots.
	Overlap int
	// Seed initializes the random number generator.
	Seed uint64
}

// DefaultReportTimeout covers a few round trips within a failure domain.
const DefaultReportTimeout = 20 * time.Millisecond

// initialHold is the assumed mean hold time of permits before the first one is returned.
const initialHold = 10 * time.Millisecond

// holdWeight is the weight of a new sample in the mean hold time.
const holdWeight = 1.0 / 64

// OutgoingMessage is a message that a Broker or Client has produced for an instance.
type OutgoingMessage struct {
	To      peer.InstanceID
	Message *peerpb.PlacementMessage
}

type permitKey struct {
	entry peer.InstanceID
	id    uint64
}

type permit struct {
	upstream  *upstreamState
	grantedAt time.Time
	lastSeen  time.Time // when the entry last showed that it holds the permit
}

// waiting is a request in the queue of a broker.
type waiting struct {
	key      permitKey
	request  *peerpb.Acquire
	nextSent bool // a Next message has been sent to the entry
}

// Broker owns the slots of a pool's upstreams in one failure domain. It is a
// deterministic state machine: methods take the current time as an argument, and
// outgoing messages are collected until Take. It is not safe for concurrent use.
type Broker struct {
	settings        BrokerSettings
	pool            table.Pool
	rnd             *rand.Rand
	index           *loadIndex
	upstreams       map[string]*upstreamState
	permits         map[permitKey]permit
	queue           *queue.Queue[waiting]
	items           map[permitKey]*queue.Item[waiting]
	entries         map[peer.InstanceID]*entryState
	neighbours      neighbours
	reservations    []reservation
	overLimit       map[*upstreamState]bool // upstreams with more permits than their limit
	free            int
	capacity        int
	meanHold        time.Duration
	refreshPosition int
	readyAt         time.Time
	lastSweep       time.Time
	outbox          []OutgoingMessage
}

// entryState is the state of an entry as known to a broker.
type entryState struct {
	reported bool
	// finished and finishedBefore hold the IDs of permits returned since the last
	// report and since the one before it. If a PermitDone overtakes a report that
	// still lists the permit, the permit is not recreated.
	finished, finishedBefore map[uint64]bool
}

// NewBroker returns a broker that starts to grant permits once all entries have
// reported their running permits, or after ReportTimeout.
func NewBroker(now time.Time, s BrokerSettings) *Broker {
	return &Broker{
		settings:   s,
		rnd:        rand.New(rand.NewPCG(s.Seed, 1)),
		index:      &loadIndex{region: s.Region, domain: s.FailureDomain},
		upstreams:  map[string]*upstreamState{},
		permits:    map[permitKey]permit{},
		queue:      queue.New[waiting](s.Queue),
		items:      map[permitKey]*queue.Item[waiting]{},
		entries:    map[peer.InstanceID]*entryState{},
		neighbours: neighbours{},
		overLimit:  map[*upstreamState]bool{},
		meanHold:   initialHold,
		readyAt:    now.Add(s.ReportTimeout),
	}
}

// Take returns the outgoing messages since the last call.
func (b *Broker) Take() []OutgoingMessage {
	out := b.outbox
	b.outbox = nil
	return out
}

// SetPool applies an edited pool row. Upstreams that were taken out of service get
// no new permits; their running permits are still tracked.
func (b *Broker) SetPool(now time.Time, p table.Pool) {
	b.pool = p
	keep := map[string]table.Upstream{}
	for _, u := range usableUpstreams(&p) {
		if u.FailureDomain == b.settings.FailureDomain && u.Region == b.settings.Region {
			keep[u.ID] = u
		}
	}
	for _, s := range b.index.upstreams {
		if _, ok := keep[s.up.ID]; !ok {
			s.removed = true
			b.setLimit(s, 0)
		}
	}
	b.index.upstreams = b.index.upstreams[:0]
	for _, u := range p.Upstreams {
		if _, ok := keep[u.ID]; !ok {
			continue
		}
		s := b.upstreams[u.ID]
		if s == nil {
			s = &upstreamState{bucket: -1}
			b.upstreams[u.ID] = s
		}
		s.up, s.removed = u, false
		b.index.upstreams = append(b.index.upstreams, s)
		b.refresh(now, s)
	}
	b.forgetIdle(keep)
	b.neighbours.setPool(&p, b.settings.Region, b.settings.FailureDomain)
	b.serve(now)
	b.redirectQueued(now)
}

// forgetIdle deletes the state of removed upstreams without permits.
func (b *Broker) forgetIdle(keep map[string]table.Upstream) {
	for id, s := range b.upstreams {
		if _, ok := keep[id]; !ok && s.inUse == 0 {
			delete(b.upstreams, id)
		}
	}
}

// SetInstances updates the live instances. Permits of entries that are gone are
// freed, because their connections to upstreams were closed with them. Entries in
// the same failure domain must report before a new broker grants permits.
func (b *Broker) SetInstances(now time.Time, live []Instance) {
	alive := map[peer.InstanceID]bool{}
	for _, i := range live {
		alive[i.ID] = true
		if b.entries[i.ID] == nil && i.FailureDomain == b.settings.FailureDomain {
			b.entries[i.ID] = &entryState{reported: now.After(b.readyAt)}
		}
	}
	for id := range b.entries {
		if !alive[id] {
			delete(b.entries, id)
		}
	}
	b.dropWhere(now, func(key permitKey, _ permit) bool { return !alive[key.entry] })
	for key, it := range b.items {
		if !alive[key.entry] {
			b.queue.Remove(it)
			delete(b.items, key)
		}
	}
	b.neighbours.setInstances(b.pool.Name, live)
	b.serve(now)
}

// Receive handles a message from an entry or from another broker.
func (b *Broker) Receive(now time.Time, from peer.InstanceID, m *peerpb.PlacementMessage) {
	switch body := m.Body.(type) {
	case *peerpb.PlacementMessage_Acquire:
		b.acquire(now, permitKey{from, body.Acquire.Id}, body.Acquire)
	case *peerpb.PlacementMessage_Done:
		b.done(now, permitKey{from, body.Done.Id}, body.Done)
	case *peerpb.PlacementMessage_Report:
		b.report(now, from, body.Report)
	case *peerpb.PlacementMessage_Query:
		status := b.Status()
		status.Accept = b.reserve(now, from, body.Query)
		b.send(from, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Status{Status: status}})
	case *peerpb.PlacementMessage_Status:
		b.neighbours.status(now, m.FailureDomain, body.Status)
		b.redirectQueued(now)
	}
}

// Status returns the status that is sent to other brokers.
func (b *Broker) Status() *peerpb.BrokerStatus {
	return &peerpb.BrokerStatus{Free: uint32(max(0, b.free)), Queued: uint32(b.queue.Len()),
		Capacity: uint32(b.capacity), HoldUs: uint64(b.meanHold.Microseconds())}
}

// Tick expires waiting requests and permits and applies changed limits; it is called every few milliseconds.
func (b *Broker) Tick(now time.Time) {
	for _, it := range b.queue.Expire(now) {
		b.refuse(it.Value.key, b.slotInterval(), "the request waited too long")
		delete(b.items, it.Value.key)
	}
	b.sweep(now)
	for range min(refreshesPerTick, len(b.index.upstreams)) {
		b.refreshNext(now)
	}
	b.serve(now)
	b.redirectQueued(now)
}

// permitTTL is the time after which a permit that no report lists is freed. An
// entry reports every second while it holds permits. Without this bound, the loss
// of a grant and of the messages after it would occupy a slot forever.
const permitTTL = 5 * reportInterval

// sweep frees permits that are no longer reported.
func (b *Broker) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < reportInterval {
		return
	}
	b.lastSweep = now
	b.dropWhere(now, func(_ permitKey, p permit) bool { return now.Sub(p.lastSeen) > permitTTL })
}

// refreshesPerTick is the number of upstreams whose limit is read again in each tick.
const refreshesPerTick = 16

// refreshNext reads the limit of the next upstream in turn, so that a raised limit
// is detected without reading the limits of all upstreams at once.
func (b *Broker) refreshNext(now time.Time) {
	if n := len(b.index.upstreams); n > 0 {
		b.refreshPosition = (b.refreshPosition + 1) % n
		b.refresh(now, b.index.upstreams[b.refreshPosition])
	}
}

func (b *Broker) acquire(now time.Time, key permitKey, r *peerpb.Acquire) {
	if p, ok := b.permits[key]; ok {
		b.grant(key, p.upstream)
		return
	}
	if it := b.items[key]; it != nil {
		it.Value.nextSent = false
		b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Queued{Queued: &peerpb.Queued{Id: key.id}}})
		return
	}
	b.refreshNext(now)
	if r.Settled {
		b.consumeReservation()
	}
	if b.ready(now) && b.queue.Len() == 0 {
		if s := b.pick(now, r.Exclude); s != nil {
			b.assign(now, key, s)
			b.neighbours.queryStatus(now, b)
			return
		}
	}
	if r.NoWait {
		b.refuse(key, b.slotInterval(), "no slot is free")
		return
	}
	b.enqueue(now, key, r)
}

// enqueue redirects the request if another failure domain can serve it sooner;
// otherwise it queues or refuses the request.
func (b *Broker) enqueue(now time.Time, key permitKey, r *peerpb.Acquire) {
	wait := b.wait(r)
	b.neighbours.queryStatus(now, b)
	if limit := time.Duration(r.MaxWaitUs) * time.Microsecond; limit > 0 && wait > limit {
		b.refuse(key, wait, "the request would wait longer than it allows")
		return
	}
	if n := b.redirectTarget(now, r, wait); n != nil {
		b.redirect(key, n)
		return
	}
	it := &queue.Item[waiting]{Workspace: r.Workspace, Class: table.Class(r.Class),
		Began: now.Add(-time.Duration(r.AgeUs) * time.Microsecond), Value: waiting{key: key, request: r}}
	if r.BudgetUs > 0 {
		it.Deadline = now.Add(time.Duration(r.BudgetUs) * time.Microsecond)
	}
	if b.unservable(r) {
		b.refuse(key, noReservationWait, "no upstream that was not tried is left")
		return
	}
	admitted, evicted, after := b.queue.Push(now, it, b.slotInterval())
	if evicted != nil {
		delete(b.items, evicted.Value.key)
		b.refuse(evicted.Value.key, after, "a request of a higher class took the place")
	}
	if !admitted {
		b.refuse(key, after, "the request would wait too long")
		return
	}
	b.items[key] = it
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Queued{Queued: &peerpb.Queued{Id: key.id}}})
	b.sendNext()
}

// redirectable reports whether the request may be redirected. A request is
// redirected at most once unless this broker cannot serve it.
func (b *Broker) redirectable(r *peerpb.Acquire) bool { return !r.Settled || b.unservable(r) }

// unservable reports whether no upstream of this broker can serve the request.
func (b *Broker) unservable(r *peerpb.Acquire) bool {
	if b.capacity == 0 {
		return true
	}
	if len(r.Exclude) < len(b.index.upstreams) {
		return false
	}
	return !slices.ContainsFunc(b.index.upstreams, func(s *upstreamState) bool { return !slices.Contains(r.Exclude, s.up.ID) })
}

func (b *Broker) redirectTarget(now time.Time, r *peerpb.Acquire, wait time.Duration) *neighbour {
	if !b.redirectable(r) {
		return nil
	}
	return b.neighbours.cheapest(now, b.rnd, r, wait)
}

// ready reports whether the broker may grant permits: all entries have reported
// their running permits, or ReportTimeout has passed.
func (b *Broker) ready(now time.Time) bool {
	if !now.Before(b.readyAt) {
		return true
	}
	for _, e := range b.entries {
		if !e.reported {
			return false
		}
	}
	return len(b.entries) > 0
}

// pick returns an upstream with a free slot, or nil. Its cost does not grow with
// the size of the pool.
func (b *Broker) pick(now time.Time, exclude []string) *upstreamState {
	for range len(b.index.upstreams) {
		s := b.index.leastLoaded(b.rnd, exclude, func(s *upstreamState) float64 { return s.silence.until(now, s.inUse, b.meanHold) })
		if s == nil {
			return nil
		}
		// The limit may have been lowered since it was read; the refresh then removes
		// the upstream from selection.
		if b.refresh(now, s); s.inUse < s.limit {
			return s
		}
	}
	return nil
}

// refresh reads the limit of an upstream again.
func (b *Broker) refresh(now time.Time, s *upstreamState) {
	b.setLimit(s, limitOf(b.settings.Limits, s.up.ID, b.pool.Slots, now))
}

// setLimit sets the limit of an upstream and updates the totals and the index.
func (b *Broker) setLimit(s *upstreamState, limit int) {
	b.updateUsage(s, limit, s.inUse)
}

func (b *Broker) updateUsage(s *upstreamState, limit, inUse int) {
	b.capacity += limit - s.limit
	b.free += max(0, limit-inUse) - max(0, s.limit-s.inUse)
	s.limit, s.inUse = limit, inUse
	bucket := -1
	if inUse < limit {
		bucket = inUse
	}
	b.index.setBucket(s, bucket)
	if inUse > limit {
		b.overLimit[s] = true
	} else {
		delete(b.overLimit, s)
	}
}

// slotInterval is the mean time between two slots becoming free when all are in use.
func (b *Broker) slotInterval() time.Duration {
	if b.capacity <= 0 {
		return time.Hour
	}
	return b.meanHold / time.Duration(b.capacity)
}

func (b *Broker) wait(r *peerpb.Acquire) time.Duration {
	if b.unservable(r) {
		return time.Hour
	}
	return b.queue.Wait(table.Class(r.Class), r.Workspace, b.slotInterval())
}

// assign takes a slot of the upstream for the request and sends the grant.
func (b *Broker) assign(now time.Time, key permitKey, s *upstreamState) {
	b.occupy(now, key, s)
	b.grant(key, s)
}

func (b *Broker) occupy(now time.Time, key permitKey, s *upstreamState) {
	s.silence.advance(now, s.inUse, b.meanHold)
	if s.inUse == 0 {
		s.silence.missing = 0
	}
	b.updateUsage(s, s.limit, s.inUse+1)
	b.permits[key] = permit{s, now, now}
	if b.settings.Observer != nil {
		b.settings.Observer.Begin(s.up.ID, now)
	}
}

// release frees the slot of a permit.
func (b *Broker) release(now time.Time, key permitKey) (permit, bool) {
	p, ok := b.permits[key]
	if !ok {
		return p, false
	}
	delete(b.permits, key)
	p.upstream.silence.advance(now, p.upstream.inUse, b.meanHold)
	p.upstream.silence.missing = 0
	b.updateUsage(p.upstream, p.upstream.limit, p.upstream.inUse-1)
	return p, true
}

// drop frees the slot of a permit whose end was not reported.
func (b *Broker) drop(now time.Time, key permitKey) {
	if p, ok := b.release(now, key); ok && b.settings.Observer != nil {
		b.settings.Observer.End(p.upstream.up.ID, now, 0, Canceled)
	}
}

// dropWhere drops the matching permits in the order of their keys, so that runs are deterministic.
func (b *Broker) dropWhere(now time.Time, match func(permitKey, permit) bool) {
	var keys []permitKey
	for key, p := range b.permits {
		if match(key, p) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y permitKey) int {
		return cmp.Or(cmp.Compare(x.entry, y.entry), cmp.Compare(x.id, y.id))
	})
	for _, key := range keys {
		b.drop(now, key)
	}
}

func (b *Broker) done(now time.Time, key permitKey, d *peerpb.PermitDone) {
	b.unqueue(key)
	if e := b.entries[key.entry]; e != nil {
		e.finish(key.id)
	}
	p, ok := b.release(now, key)
	if !ok {
		return
	}
	if Result(d.Result) == Answered {
		held := min(now.Sub(p.grantedAt), maxHoldFactor*b.meanHold)
		b.meanHold += time.Duration(holdWeight * float64(held-b.meanHold))
	}
	if b.settings.Observer != nil {
		b.settings.Observer.End(p.upstream.up.ID, now, time.Duration(d.LatencyUs)*time.Microsecond, Result(d.Result))
	}
	if !p.upstream.removed {
		b.refresh(now, p.upstream)
	}
	if d.Started != 0 {
		b.started(now, permitKey{key.entry, d.Started}, p.upstream)
	}
	b.serve(now)
}

// unqueue removes a waiting request.
func (b *Broker) unqueue(key permitKey) {
	if it := b.items[key]; it != nil {
		b.queue.Remove(it)
		delete(b.items, key)
	}
}

// started records a request that its entry started on a slot of its own after a
// Next message. If a grant of another slot is sent at the same time, the entry
// ignores the grant.
func (b *Broker) started(now time.Time, key permitKey, s *upstreamState) {
	b.unqueue(key)
	b.drop(now, key)
	b.occupy(now, key, s)
}

// nextDepth is the number of requests at the head of the queue for which Next is
// sent. Such a request overtakes at most that many others.
const nextDepth = 6

// sendNext sends Next for the requests at the head of the queue. Next allows an
// entry to start the request on a slot that one of its own requests frees, without
// waiting for a grant.
func (b *Broker) sendNext() {
	if b.queue.Len() == 0 {
		return
	}
	b.queue.Head(nextDepth, func(it *queue.Item[waiting]) {
		if it.Value.nextSent || it.Value.key.entry == b.settings.Self {
			return
		}
		it.Value.nextSent = true
		b.reply(it.Value.key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Next{
			Next: &peerpb.Next{Id: it.Value.key.id, Avoid: b.overLimitIDs()}}})
	})
}

// overLimitIDs returns the IDs of the upstreams above their limit in order.
func (b *Broker) overLimitIDs() (ids []string) {
	for s := range b.overLimit {
		ids = append(ids, s.up.ID)
	}
	slices.Sort(ids)
	return ids
}

// maxHoldFactor bounds one sample of the hold time to this multiple of the mean,
// so that a long download does not distort the estimate.
const maxHoldFactor = 8

// serve assigns free slots to waiting requests.
func (b *Broker) serve(now time.Time) {
	if !b.ready(now) {
		return
	}
	var skipped []*queue.Item[waiting]
	for b.free > 0 && b.queue.Len() > 0 && len(skipped) < maxSkipped {
		it := b.dequeue(now)
		if it == nil {
			break
		}
		s := b.pick(now, it.Value.request.Exclude)
		if s == nil {
			skipped = append(skipped, it)
			continue
		}
		b.assign(now, it.Value.key, s)
	}
	for _, it := range slices.Backward(skipped) {
		b.items[it.Value.key] = it
		b.queue.Restore(it)
	}
	b.grantOverlap(now)
	b.sendNext()
}

// dequeue removes and returns the next waiting request, or nil, and refuses the
// expired ones.
func (b *Broker) dequeue(now time.Time) *queue.Item[waiting] {
	it, expired := b.queue.Pop(now)
	for _, x := range expired {
		delete(b.items, x.Value.key)
		b.refuse(x.Value.key, b.slotInterval(), "the request waited too long")
	}
	if it != nil {
		delete(b.items, it.Value.key)
	}
	return it
}

// maxSkipped bounds the waiting requests that are skipped because they exclude the
// upstreams with free slots.
const maxSkipped = 4

func (b *Broker) redirect(key permitKey, n *neighbour) {
	n.redirected++
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Redirect{
		Redirect: &peerpb.Redirect{Id: key.id, FailureDomain: n.domain}}})
}

// redirectQueued redirects waiting requests that another failure domain can serve
// sooner, starting at the end of the queue.
func (b *Broker) redirectQueued(now time.Time) {
	if b.queue.Len() == 0 {
		return
	}
	b.neighbours.queryStatus(now, b)
	for b.queue.Len() > 0 {
		it := b.queue.Last(func(w waiting) bool { return b.redirectable(w.request) })
		if it == nil {
			return
		}
		wait := time.Duration(b.queue.Len()) * b.slotInterval()
		n := b.redirectTarget(now, it.Value.request, wait)
		if n == nil {
			return
		}
		b.queue.Remove(it)
		delete(b.items, it.Value.key)
		b.redirect(it.Value.key, n)
	}
}

func (b *Broker) grant(key permitKey, s *upstreamState) {
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Grant{Grant: &peerpb.Grant{Id: key.id, Upstream: s.up.ID}}})
}

func (b *Broker) refuse(key permitKey, after time.Duration, reason string) {
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Refuse{
		Refuse: &peerpb.Refuse{Id: key.id, RetryAfterUs: uint64(after.Microseconds()), Reason: reason}}})
}

func (b *Broker) reply(key permitKey, m *peerpb.PlacementMessage) { b.send(key.entry, m) }

func (b *Broker) send(to peer.InstanceID, m *peerpb.PlacementMessage) {
	m.Pool, m.FailureDomain = b.pool.Name, b.settings.FailureDomain
	b.outbox = append(b.outbox, OutgoingMessage{to, m})
}

// report applies an entry's report of its running permits. Permits that the report
// does not list have ended and their PermitDone was lost.
func (b *Broker) report(now time.Time, from peer.InstanceID, r *peerpb.PermitReport) {
	e := b.entries[from]
	if e == nil {
		e = &entryState{}
		b.entries[from] = e
	}
	known := map[uint64]bool{}
	for _, h := range r.Held {
		known[h.Id] = true
		b.adopt(now, permitKey{from, h.Id}, h.Upstream, e)
	}
	for _, id := range r.Pending {
		known[id] = true
	}
	b.dropWhere(now, func(key permitKey, _ permit) bool {
		return key.entry == from && key.id <= r.Through && !known[key.id]
	})
	e.reported = true
	e.finishedBefore, e.finished = e.finished, nil
	b.serve(now)
}

// adopt records a running permit that was issued by a previous broker or by the
// entry itself.
func (b *Broker) adopt(now time.Time, key permitKey, upstream string, e *entryState) {
	s := b.upstreams[upstream]
	if p, ok := b.permits[key]; ok {
		p.lastSeen = now
		b.permits[key] = p
		return
	}
	if s == nil || e.finished[key.id] || e.finishedBefore[key.id] {
		return
	}
	// If the request is still queued, the entry has started it after Next and this
	// report has overtaken the PermitDone that says so. If it stayed in the queue, the
	// request would get a second slot.
	b.unqueue(key)
	b.occupy(now, key, s)
}

func (e *entryState) finish(id uint64) {
	if e.finished == nil {
		e.finished = map[uint64]bool{}
	}
	e.finished[id] = true
}
