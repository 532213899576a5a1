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

// Observer learns from the permits of a broker; pkg/limit implements it.
type Observer interface {
	// Begin notes that a request goes to the upstream.
	Begin(upstream string, now time.Time)
	// End notes the end of a request.
	End(upstream string, now time.Time, latency time.Duration, result Result)
}

// BrokerSettings are the fixed inputs of a Broker.
type BrokerSettings struct {
	// Self is the instance of the broker.
	Self peer.InstanceID
	// Region and FailureDomain are those of the broker and of the upstreams that it owns.
	Region, FailureDomain string
	// Limits gives the limit of each upstream; nil means the pool's slots.
	Limits Limits
	// Observer learns from ended requests; nil means none.
	Observer Observer
	// Queue bounds the waiting requests.
	Queue queue.Settings
	// Settle bounds the time for which a new broker waits for the reports of the entries.
	Settle time.Duration
	// Overlap is the number of permits above the limits, over all upstreams of the
	// failure domain, while requests wait. Each fills the time in which a slot is idle
	// because an answer, a permit and the next request travel; when no slot is idle
	// the request waits at the upstream. Upstreams whose limit is below their slots
	// get none. The default of 0 keeps every upstream within its slots.
	Overlap int
	// Seed starts the random choices.
	Seed uint64
}

// DefaultSettle covers a few round trips within a failure domain.
const DefaultSettle = 20 * time.Millisecond

// initialHold is the assumed time for which a permit is held before any was given back.
const initialHold = 10 * time.Millisecond

// holdWeight is the weight of a new sample in the mean hold time.
const holdWeight = 1.0 / 64

// Send is a message that a state machine wants to have sent.
type Send struct {
	To      peer.InstanceID
	Message *peerpb.PlacementMessage
}

type permitKey struct {
	entry peer.InstanceID
	id    uint64
}

type permit struct {
	slot *slot
	at   time.Time
	seen time.Time // when the entry last showed that it holds the permit
}

// waiting is a request in the queue of a broker.
type waiting struct {
	key     permitKey
	request *peerpb.Acquire
	hinted  bool // the entry has got Next
}

// Broker owns the slots of a pool's upstreams in one failure domain. It is a
// deterministic state machine: every method takes the time, and messages to
// others are collected until Take. It is not safe for concurrent use.
type Broker struct {
	settings BrokerSettings
	pool     table.Pool
	rnd      *rand.Rand
	index    *index
	slots    map[string]*slot
	permits  map[permitKey]permit
	queue    *queue.Queue[waiting]
	items    map[permitKey]*queue.Item[waiting]
	entries  map[peer.InstanceID]*entryState
	near     neighbours
	promises []promise
	over     map[*slot]bool // above their limit
	free     int
	capacity int
	hold     time.Duration
	rotation int
	settleAt time.Time
	swept    time.Time
	out      []Send
}

// entryState is what a broker remembers about an entry.
type entryState struct {
	reported bool
	// finished holds the IDs given back since the last two reports, so that a
	// report that was overtaken by a PermitDone does not revive the permit.
	finished, finishedBefore map[uint64]bool
}

// NewBroker returns a broker that serves once the entries have reported their
// running permits, or after the settling time.
func NewBroker(now time.Time, s BrokerSettings) *Broker {
	return &Broker{
		settings: s,
		rnd:      rand.New(rand.NewPCG(s.Seed, 1)),
		index:    &index{region: s.Region, domain: s.FailureDomain},
		slots:    map[string]*slot{},
		permits:  map[permitKey]permit{},
		queue:    queue.New[waiting](s.Queue),
		items:    map[permitKey]*queue.Item[waiting]{},
		entries:  map[peer.InstanceID]*entryState{},
		near:     neighbours{},
		over:     map[*slot]bool{},
		hold:     initialHold,
		settleAt: now.Add(s.Settle),
	}
}

// Take returns the messages to send since the last call.
func (b *Broker) Take() []Send {
	out := b.out
	b.out = nil
	return out
}

// SetPool takes over an edited pool row. Upstreams that were taken out get no
// new permit from now on; their running permits are still tracked.
func (b *Broker) SetPool(now time.Time, p table.Pool) {
	b.pool = p
	keep := map[string]table.Upstream{}
	for _, u := range usable(&p) {
		if u.FailureDomain == b.settings.FailureDomain && u.Region == b.settings.Region {
			keep[u.ID] = u
		}
	}
	for _, s := range b.index.slots {
		if _, ok := keep[s.up.ID]; !ok {
			s.gone = true
			b.setLimit(s, 0)
		}
	}
	b.index.slots = b.index.slots[:0]
	for _, u := range p.Upstreams {
		if _, ok := keep[u.ID]; !ok {
			continue
		}
		s := b.slots[u.ID]
		if s == nil {
			s = &slot{bucket: -1}
			b.slots[u.ID] = s
		}
		s.up, s.gone = u, false
		b.index.slots = append(b.index.slots, s)
		b.refresh(now, s)
	}
	b.forgetIdle(keep)
	b.near.setPool(&p, b.settings.Region, b.settings.FailureDomain)
	b.serve(now)
	b.shed(now)
}

// forgetIdle drops removed upstreams without permits.
func (b *Broker) forgetIdle(keep map[string]table.Upstream) {
	for id, s := range b.slots {
		if _, ok := keep[id]; !ok && s.inUse == 0 {
			delete(b.slots, id)
		}
	}
}

// SetInstances takes over the live instances: permits of entries that are gone
// are free, because their connections ended with them. Local entries must report
// before a new broker serves.
func (b *Broker) SetInstances(now time.Time, live []Instance) {
	here := map[peer.InstanceID]bool{}
	for _, i := range live {
		here[i.ID] = true
		if b.entries[i.ID] == nil && i.FailureDomain == b.settings.FailureDomain {
			b.entries[i.ID] = &entryState{reported: now.After(b.settleAt)}
		}
	}
	for id := range b.entries {
		if !here[id] {
			delete(b.entries, id)
		}
	}
	b.dropWhere(now, func(key permitKey, _ permit) bool { return !here[key.entry] })
	for key, it := range b.items {
		if !here[key.entry] {
			b.queue.Remove(it)
			delete(b.items, key)
		}
	}
	b.near.setInstances(b.pool.Name, live)
	b.serve(now)
}

// Receive handles a message of an entry or of another broker.
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
		status.Accept = b.promise(now, from, body.Query)
		b.send(from, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Status{Status: status}})
	case *peerpb.PlacementMessage_Status:
		b.near.status(now, m.FailureDomain, body.Status)
		b.shed(now)
	}
}

// Status returns the state of the broker.
func (b *Broker) Status() *peerpb.BrokerStatus {
	return &peerpb.BrokerStatus{Free: uint32(max(0, b.free)), Queued: uint32(b.queue.Len()),
		Capacity: uint32(b.capacity), HoldUs: uint64(b.hold.Microseconds())}
}

// Tick expires waiting requests and takes over changed limits; it is called every few milliseconds.
func (b *Broker) Tick(now time.Time) {
	for _, it := range b.queue.Expire(now) {
		b.refuse(it.Value.key, b.interval(), "the request waited too long")
		delete(b.items, it.Value.key)
	}
	b.sweep(now)
	for range min(tickRefresh, len(b.index.slots)) {
		b.rotate(now)
	}
	b.serve(now)
	b.shed(now)
}

// permitLife is the time after which a permit that no report lists is free. An
// entry reports every second while it holds permits; without this bound the loss
// of a grant and of the messages after it would take a slot for ever.
const permitLife = 5 * reportInterval

// sweep frees permits that are not reported any more.
func (b *Broker) sweep(now time.Time) {
	if now.Sub(b.swept) < reportInterval {
		return
	}
	b.swept = now
	b.dropWhere(now, func(_ permitKey, p permit) bool { return now.Sub(p.seen) > permitLife })
}

// tickRefresh is the number of upstreams whose limit is read again in a tick.
const tickRefresh = 16

// rotate reads the limit of the next upstream, so that a limit that rose is found
// without a look at all upstreams.
func (b *Broker) rotate(now time.Time) {
	if n := len(b.index.slots); n > 0 {
		b.rotation = (b.rotation + 1) % n
		b.refresh(now, b.index.slots[b.rotation])
	}
}

func (b *Broker) acquire(now time.Time, key permitKey, r *peerpb.Acquire) {
	if p, ok := b.permits[key]; ok {
		b.grant(key, p.slot)
		return
	}
	if it := b.items[key]; it != nil {
		it.Value.hinted = false
		b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Queued{Queued: &peerpb.Queued{Id: key.id}}})
		return
	}
	b.rotate(now)
	if r.Settled {
		b.redeem()
	}
	if b.ready(now) && b.queue.Len() == 0 {
		if s := b.pick(now, r.Exclude); s != nil {
			b.hand(now, key, s)
			b.near.pressure(now, b)
			return
		}
	}
	if r.NoWait {
		b.refuse(key, b.interval(), "no slot is free")
		return
	}
	b.enqueue(now, key, r)
}

// enqueue redirects the request when another failure domain serves it sooner, or lets it wait.
func (b *Broker) enqueue(now time.Time, key permitKey, r *peerpb.Acquire) {
	wait := b.wait(r)
	b.near.pressure(now, b)
	if limit := time.Duration(r.MaxWaitUs) * time.Microsecond; limit > 0 && wait > limit {
		b.refuse(key, wait, "the request would wait longer than it allows")
		return
	}
	if n := b.better(now, r, wait); n != nil {
		b.redirect(key, n)
		return
	}
	it := &queue.Item[waiting]{Workspace: r.Workspace, Class: table.Class(r.Class),
		Began: now.Add(-time.Duration(r.AgeUs) * time.Microsecond), Value: waiting{key: key, request: r}}
	if r.BudgetUs > 0 {
		it.Deadline = now.Add(time.Duration(r.BudgetUs) * time.Microsecond)
	}
	if b.barred(r) {
		b.refuse(key, noPromiseWait, "no upstream that was not tried is left")
		return
	}
	admitted, evicted, after := b.queue.Push(now, it, b.interval())
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
	b.hint()
}

// movable reports whether the request may be redirected: once, unless it cannot be served here.
func (b *Broker) movable(r *peerpb.Acquire) bool { return !r.Settled || b.barred(r) }

// barred reports whether no upstream here can serve the request.
func (b *Broker) barred(r *peerpb.Acquire) bool {
	if b.capacity == 0 {
		return true
	}
	if len(r.Exclude) < len(b.index.slots) {
		return false
	}
	return !slices.ContainsFunc(b.index.slots, func(s *slot) bool { return !slices.Contains(r.Exclude, s.up.ID) })
}

func (b *Broker) better(now time.Time, r *peerpb.Acquire, wait time.Duration) *neighbour {
	if !b.movable(r) {
		return nil
	}
	return b.near.better(now, b.rnd, r, wait)
}

// ready reports whether the broker knows enough running permits to grant new ones.
func (b *Broker) ready(now time.Time) bool {
	if !now.Before(b.settleAt) {
		return true
	}
	for _, e := range b.entries {
		if !e.reported {
			return false
		}
	}
	return len(b.entries) > 0
}

// pick returns a free slot or nil. Its cost does not grow with the pool.
func (b *Broker) pick(now time.Time, exclude []string) *slot {
	for range len(b.index.slots) {
		s := b.index.least(b.rnd, exclude, func(s *slot) float64 { return s.silence.until(now, s.inUse, b.hold) })
		if s == nil {
			return nil
		}
		// The limit may have fallen since it was read; the refresh then takes the slot out of choice.
		if b.refresh(now, s); s.inUse < s.limit {
			return s
		}
	}
	return nil
}

// refresh reads the limit of an upstream again.
func (b *Broker) refresh(now time.Time, s *slot) {
	b.setLimit(s, limitOf(b.settings.Limits, s.up.ID, b.pool.Slots, now))
}

// setLimit sets the limit of an upstream and keeps the sums and the index in step.
func (b *Broker) setLimit(s *slot, limit int) {
	b.change(s, limit, s.inUse)
}

func (b *Broker) change(s *slot, limit, inUse int) {
	b.capacity += limit - s.limit
	b.free += max(0, limit-inUse) - max(0, s.limit-s.inUse)
	s.limit, s.inUse = limit, inUse
	bucket := -1
	if inUse < limit {
		bucket = inUse
	}
	b.index.place(s, bucket)
	if inUse > limit {
		b.over[s] = true
	} else {
		delete(b.over, s)
	}
}

// interval is the mean time between two slots that come free.
func (b *Broker) interval() time.Duration {
	if b.capacity <= 0 {
		return time.Hour
	}
	return b.hold / time.Duration(b.capacity)
}

func (b *Broker) wait(r *peerpb.Acquire) time.Duration {
	if b.barred(r) {
		return time.Hour
	}
	return b.queue.Wait(table.Class(r.Class), r.Workspace, b.interval())
}

// hand gives the slot to the request.
func (b *Broker) hand(now time.Time, key permitKey, s *slot) {
	b.occupy(now, key, s)
	b.grant(key, s)
}

func (b *Broker) occupy(now time.Time, key permitKey, s *slot) {
	s.silence.advance(now, s.inUse, b.hold)
	if s.inUse == 0 {
		s.silence.missing = 0
	}
	b.change(s, s.limit, s.inUse+1)
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
	p.slot.silence.advance(now, p.slot.inUse, b.hold)
	p.slot.silence.missing = 0
	b.change(p.slot, p.slot.limit, p.slot.inUse-1)
	return p, true
}

// drop frees the slot of a permit about whose end nothing is known.
func (b *Broker) drop(now time.Time, key permitKey) {
	if p, ok := b.release(now, key); ok && b.settings.Observer != nil {
		b.settings.Observer.End(p.slot.up.ID, now, 0, Canceled)
	}
}

// dropWhere drops permits in the order of their keys, so that runs can be repeated.
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
		held := min(now.Sub(p.at), maxHoldFactor*b.hold)
		b.hold += time.Duration(holdWeight * float64(held-b.hold))
	}
	if b.settings.Observer != nil {
		b.settings.Observer.End(p.slot.up.ID, now, time.Duration(d.LatencyUs)*time.Microsecond, Result(d.Result))
	}
	if !p.slot.gone {
		b.refresh(now, p.slot)
	}
	if d.Started != 0 {
		b.started(now, permitKey{key.entry, d.Started}, p.slot)
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

// started counts a request that its entry started on a slot after Next. If a
// grant of another slot crossed that message, the entry ignores the grant.
func (b *Broker) started(now time.Time, key permitKey, s *slot) {
	b.unqueue(key)
	b.drop(now, key)
	b.occupy(now, key, s)
}

// hintDepth is the number of requests at the head of the queue that get Next. Such a
// request overtakes at most that many others.
const hintDepth = 6

// hint sends Next for the requests at the head of the queue.
func (b *Broker) hint() {
	if b.queue.Len() == 0 {
		return
	}
	b.queue.Head(hintDepth, func(it *queue.Item[waiting]) {
		if it.Value.hinted || it.Value.key.entry == b.settings.Self {
			return
		}
		it.Value.hinted = true
		b.reply(it.Value.key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Next{
			Next: &peerpb.Next{Id: it.Value.key.id, Avoid: b.above()}}})
	})
}

// above returns the upstreams above their limit.
func (b *Broker) above() (ids []string) {
	for s := range b.over {
		ids = append(ids, s.up.ID)
	}
	slices.Sort(ids)
	return ids
}

// maxHoldFactor bounds one sample of the hold time to this multiple of the mean,
// so that a long download does not spoil the estimate.
const maxHoldFactor = 8

// serve gives free slots to waiting requests.
func (b *Broker) serve(now time.Time) {
	if !b.ready(now) {
		return
	}
	var aside []*queue.Item[waiting]
	for b.free > 0 && b.queue.Len() > 0 && len(aside) < maxAside {
		it := b.next(now)
		if it == nil {
			break
		}
		s := b.pick(now, it.Value.request.Exclude)
		if s == nil {
			aside = append(aside, it)
			continue
		}
		b.hand(now, it.Value.key, s)
	}
	for _, it := range slices.Backward(aside) {
		b.items[it.Value.key] = it
		b.queue.Restore(it)
	}
	b.overlap(now)
	b.hint()
}

// next takes the next waiting request off the queue, or returns nil.
func (b *Broker) next(now time.Time) *queue.Item[waiting] {
	it, expired := b.queue.Pop(now)
	for _, x := range expired {
		delete(b.items, x.Value.key)
		b.refuse(x.Value.key, b.interval(), "the request waited too long")
	}
	if it != nil {
		delete(b.items, it.Value.key)
	}
	return it
}

// maxAside bounds the waiting requests that are passed over because they exclude the free upstream.
const maxAside = 4

func (b *Broker) redirect(key permitKey, n *neighbour) {
	n.sent++
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Redirect{
		Redirect: &peerpb.Redirect{Id: key.id, FailureDomain: n.domain}}})
}

// shed redirects waiting requests that another failure domain serves sooner, the last in line first.
func (b *Broker) shed(now time.Time) {
	if b.queue.Len() == 0 {
		return
	}
	b.near.pressure(now, b)
	for b.queue.Len() > 0 {
		it := b.queue.Last(func(w waiting) bool { return b.movable(w.request) })
		if it == nil {
			return
		}
		wait := time.Duration(b.queue.Len()) * b.interval()
		n := b.better(now, it.Value.request, wait)
		if n == nil {
			return
		}
		b.queue.Remove(it)
		delete(b.items, it.Value.key)
		b.redirect(it.Value.key, n)
	}
}

func (b *Broker) grant(key permitKey, s *slot) {
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Grant{Grant: &peerpb.Grant{Id: key.id, Upstream: s.up.ID}}})
}

func (b *Broker) refuse(key permitKey, after time.Duration, reason string) {
	b.reply(key, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Refuse{
		Refuse: &peerpb.Refuse{Id: key.id, RetryAfterUs: uint64(after.Microseconds()), Reason: reason}}})
}

func (b *Broker) reply(key permitKey, m *peerpb.PlacementMessage) { b.send(key.entry, m) }

func (b *Broker) send(to peer.InstanceID, m *peerpb.PlacementMessage) {
	m.Pool, m.FailureDomain = b.pool.Name, b.settings.FailureDomain
	b.out = append(b.out, Send{to, m})
}

// report takes over the permits that an entry runs. Permits that it does not
// list have ended, and their PermitDone was lost.
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

// adopt counts a running permit that another broker, or the entry itself, gave out.
func (b *Broker) adopt(now time.Time, key permitKey, upstream string, e *entryState) {
	s := b.slots[upstream]
	if p, ok := b.permits[key]; ok {
		p.seen = now
		b.permits[key] = p
		return
	}
	if s == nil || e.finished[key.id] || e.finishedBefore[key.id] {
		return
	}
	// The entry has started a queued request after Next, and this report overtook
	// the PermitDone that says so. Left in the queue, the request would get a second slot.
	b.unqueue(key)
	b.occupy(now, key, s)
}

func (e *entryState) finish(id uint64) {
	if e.finished == nil {
		e.finished = map[uint64]bool{}
	}
	e.finished[id] = true
}
