package rate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// A simulation of instances, a store with one leased key for each region, and a network, in handed-in time.

const (
	keyTime      = 5 * time.Second
	oldestData   = 2 * time.Second
	applyTime    = 3 * time.Second
	testWindow   = 5 * time.Second
	storeContact = 500 * time.Millisecond
)

var testRules = Rules{Window: testWindow, Overage: 0.1, Slack: 20}

type event struct {
	at  time.Duration
	n   int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simKey struct {
	holder peer.InstanceID
	ends   time.Duration
}

// site is the simulated deployment.
type site struct {
	now      time.Duration
	queue    events
	count    int
	random   *rand.Rand
	regions  []string
	nodes    []*simNode
	byID     map[peer.InstanceID]*simNode
	keys     map[string]*simKey
	spaces   []*space
	messages int
	// loss, doubled and late are the shares of messages that are lost, arrive twice, or arrive up to 3 s late.
	loss, doubled, late float64
	parted              func(a, b *simNode) bool
	recorded            int // number of instances in the store
	version             int // of the limits
}

// space is a workspace with its load and what happened to its requests.
type space struct {
	limit     Limit
	perSecond float64
	history   []limitChange
	sent      []time.Duration
	refused   map[Verdict]int
	asked     int
	waits     []time.Duration
}

type limitChange struct {
	at      time.Duration
	limit   Limit
	version int
	bound   time.Duration // when all instances had it
}

type simNode struct {
	s         *site
	id        peer.InstanceID
	region    string
	borrower  *Borrower
	lenders   map[string]*Lender
	dead      bool
	frozen    bool
	suspended bool // frozen with a monotonic clock that stands still
	since     time.Duration
	lag       time.Duration // of the monotonic clock
	deferred  []func()
	cutOff    bool // from the store
	view      map[string]peer.InstanceID
	confirmed time.Duration // monotonic
	from      time.Duration // monotonic, when it may grant; negative: never
	instances int
	limits    []Limit
	version   int // of the limits
	timers    map[string]time.Duration
}

func newSite(seed uint64, instances int, regions []string, spaces []*space) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 5)), regions: regions, byID: map[peer.InstanceID]*simNode{}, keys: map[string]*simKey{}, spaces: spaces, parted: func(_, _ *simNode) bool { return false }}
	for _, r := range regions {
		s.keys[r] = &simKey{}
	}
	for _, w := range spaces {
		w.refused, w.history = map[Verdict]int{}, []limitChange{{limit: w.limit}}
	}
	s.recorded = instances + instances/8
	for i := range instances {
		s.join(i, "a")
	}
	return s
}

func (s *site) at(t time.Duration, run func()) {
	s.count++
	heap.Push(&s.queue, event{t, s.count, run})
}

// every calls run at once and then in the given intervals.
func (s *site) every(interval time.Duration, run func()) {
	run()
	s.at(s.now+interval, func() { s.every(interval, run) })
}

func (s *site) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *site) currentLimits() []Limit {
	var all []Limit
	for _, w := range s.spaces {
		all = append(all, w.limit)
	}
	return all
}

func (s *site) join(i int, incarnation string) *simNode {
	id := peer.InstanceID(fmt.Sprintf("e%d/%s", i, incarnation))
	n := &simNode{
		s: s, id: id, region: s.regions[i%len(s.regions)], borrower: NewBorrower(testRules, s.regions, rand.New(rand.NewPCG(s.random.Uint64(), 1))),
		lenders: map[string]*Lender{}, view: map[string]peer.InstanceID{}, from: -1, instances: s.recorded, limits: s.currentLimits(), version: s.version, timers: map[string]time.Duration{},
	}
	if i < len(s.nodes) {
		s.nodes[i] = n
	} else {
		s.nodes = append(s.nodes, n)
	}
	s.byID[id] = n
	s.at(s.now+s.span(storeContact), func() { n.repeat(storeContact, n.contactStore) })
	s.at(s.now+s.span(tickInterval), func() { n.repeat(tickInterval, n.tick) })
	return n
}

// do runs a step of the instance, or defers it while the instance is frozen.
func (n *simNode) do(run func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.deferred = append(n.deferred, run)
	default:
		run()
	}
}

func (n *simNode) repeat(interval time.Duration, run func()) {
	n.do(func() {
		run()
		n.s.at(n.s.now+interval, func() { n.repeat(interval, run) })
	})
}

func (n *simNode) freeze(suspended bool) {
	if !n.frozen {
		n.frozen, n.suspended, n.since = true, suspended, n.s.now
	}
}

func (n *simNode) resume() {
	if !n.frozen {
		return
	}
	n.frozen = false
	if n.suspended {
		n.lag += n.s.now - n.since
	}
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		n.do(run)
	}
}

func (n *simNode) clock() Reading { return Reading{Mono: n.s.now - n.lag, Wall: n.s.now} }

func (n *simNode) contactStore() {
	if n.cutOff {
		return
	}
	mono := n.clock().Mono
	key := n.s.keys[n.region]
	switch {
	case key.holder == n.id && n.s.now < key.ends:
		key.ends = n.s.now + keyTime
	case n.s.now >= key.ends:
		key.holder, key.ends, n.from = n.id, n.s.now+keyTime, mono+keyTime
	default:
		n.from = -1
	}
	for region, k := range n.s.keys {
		delete(n.view, region)
		if n.s.now < k.ends {
			n.view[region] = k.holder
		}
	}
	n.confirmed, n.instances = mono, n.s.recorded
	if limits, version := n.s.currentLimits(), n.s.version; version > n.version {
		n.s.at(n.s.now+n.s.span(applyTime-storeContact), func() { n.do(func() { n.apply(limits, version) }) })
	}
}

func (n *simNode) apply(limits []Limit, version int) {
	if version > n.version {
		n.limits, n.version = limits, version
	}
	n.s.bind()
}

// change replaces the limit of a workspace.
func (s *site) change(w *space, limit Limit) {
	s.version++
	w.limit = limit
	w.history = append(w.history, limitChange{at: s.now, limit: limit, version: s.version})
}

// bind records which limits all instances have.
func (s *site) bind() {
	least := s.version
	for _, n := range s.nodes {
		least = min(least, n.version)
	}
	for _, w := range s.spaces {
		for i := range w.history {
			if c := &w.history[i]; c.version <= least && c.bound == 0 {
				c.bound = s.now
			}
		}
	}
}

func (n *simNode) mayGrant() bool {
	mono := n.clock().Mono
	return n.from >= 0 && mono >= n.from && mono-n.confirmed <= oldestData && n.view[n.region] == n.id
}

func (n *simNode) granter(region string) (peer.InstanceID, bool) {
	id, ok := n.view[region]
	return id, ok
}

func (n *simNode) tick() {
	for region, l := range n.lenders {
		n.tickLender(region, l)
	}
	n.borrower.Tick(n.clock(), n.instances, n.granter, n.limits)
	n.poke()
}

func (n *simNode) tickLender(region string, l *Lender) {
	var own []Limit
	for _, limit := range n.limits {
		if Region(limit.Name, n.s.regions) == region {
			own = append(own, limit)
		}
	}
	l.Tick(n.clock(), region == n.region && n.mayGrant(), n.instances, own)
}

// handle answers a request as a lender.
func (n *simNode) handle(from peer.InstanceID, r *peerpb.RateRequest) *peerpb.RateReply {
	l := n.lenders[r.Region]
	if l == nil {
		l = NewLender(testRules)
		n.lenders[r.Region] = l
		n.tickLender(r.Region, l)
	}
	return l.Handle(n.clock(), r.Region == n.region && n.mayGrant(), n.instances, from, r)
}

// poke makes the calls that are due.
func (n *simNode) poke() {
	for _, region := range n.s.regions {
		if to, request, ok := n.borrower.Probe(n.clock(), region); ok {
			n.send(to, request, func(reply *peerpb.RateReply) {
				n.borrower.Probed(n.clock(), region, to, reply != nil && reply.Lending)
			})
		}
		d := n.borrower.Due(n.clock(), region)
		if d <= 0 {
			n.call(region)
			continue
		}
		if t := n.s.now + d; d < never && (n.timers[region] <= n.s.now || t < n.timers[region]) {
			n.timers[region] = t
			n.s.at(t, func() { n.do(n.poke) })
		}
	}
}

// call makes the call that is due.
func (n *simNode) call(region string) {
	to, request := n.borrower.Compose(n.clock(), region)
	n.send(to, request, func(reply *peerpb.RateReply) {
		if reply == nil {
			n.borrower.Failed(n.clock(), region)
		} else {
			n.borrower.Apply(n.clock(), region, reply)
		}
		n.poke()
	})
}

// send sends a request; the reply, or nil at the end of its time, is a later event.
func (n *simNode) send(to peer.InstanceID, request *peerpb.RateRequest, ended func(*peerpb.RateReply)) {
	s := n.s
	request = proto.Clone(request).(*peerpb.RateRequest)
	done := false
	finish := func(reply *peerpb.RateReply) {
		n.do(func() {
			if !done {
				done = true
				ended(reply)
			}
		})
	}
	lender := s.byID[to]
	s.at(s.now+askTime, func() { finish(nil) })
	s.transmit(n, lender, func() {
		reply := lender.handle(n.id, request)
		s.transmit(lender, n, func() { finish(reply) })
	})
}

// transmit delivers a message, unless it is lost.
func (s *site) transmit(from, to *simNode, arrive func()) {
	s.messages++
	if to == nil || s.parted(from, to) || s.random.Float64() < s.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.doubled {
		copies = 2
	}
	for range copies {
		delay := 700 * time.Microsecond
		if from == to {
			delay = 0
		} else if from.region != to.region {
			delay = 12 * time.Millisecond
		}
		delay += s.span(time.Millisecond)
		if s.random.Float64() < s.late {
			delay += s.span(3 * time.Second)
		}
		s.at(s.now+delay, func() { to.do(arrive) })
	}
}

// request lets a request of a workspace arrive at an instance.
func (n *simNode) request(w *space) {
	if n.dead || n.frozen {
		return
	}
	w.asked++
	limit := w.limit
	for _, l := range n.limits {
		if l.Name == limit.Name {
			limit = l
		}
	}
	began, decided := n.s.now, false
	settle := func(d Decision) {
		decided = true
		if d.Verdict == Admitted {
			w.sent = append(w.sent, n.s.now)
			w.waits = append(w.waits, n.s.now-began)
			return
		}
		w.refused[d.Verdict]++
	}
	d := n.borrower.Take(n.clock(), limit, settle)
	if d.Verdict != Wait {
		settle(d)
		return
	}
	n.s.at(n.s.now+maxWait, func() {
		n.do(func() {
			if late, abandoned := n.borrower.Abandon(n.clock(), d.Waiter); !decided && abandoned {
				settle(late)
			}
		})
	})
	n.poke()
}

// load lets requests of a workspace arrive at random instances until the given time.
func (s *site) load(w *space, perSecond func() float64, pick func() *simNode, until time.Duration) {
	var next func()
	next = func() {
		if s.now > until {
			return
		}
		pick().request(w)
		s.at(s.now+time.Duration(s.random.ExpFloat64()/max(perSecond(), 0.01)*float64(time.Second)), next)
	}
	s.at(s.now+time.Duration(s.random.ExpFloat64()/max(perSecond(), 0.01)*float64(time.Second)), next)
}

func (s *site) anyNode() *simNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// excess returns the largest share of the permitted number that was sent in a window.
func (w *space) excess() (share float64, at time.Duration) {
	end := 0
	for i, first := range w.sent {
		for end < len(w.sent) && w.sent[end]-first < testWindow {
			end++
		}
		if got := float64(end-i) / w.permitted(first); got > share {
			share, at = got, first
		}
	}
	return share, at
}

// permitted returns the number of requests that may be sent in the window that starts at a time. A lowered limit binds
// one window after all instances have it, which is later while some have lost contact.
func (w *space) permitted(from time.Duration) float64 {
	most := 0.0
	for i, c := range w.history {
		ends := time.Duration(math.MaxInt64)
		if i+1 < len(w.history) && w.history[i+1].bound > 0 {
			ends = w.history[i+1].bound + testWindow
		}
		if c.at < from+testWindow && from < ends {
			most = max(most, (c.limit.Rate*testWindow.Seconds()+c.limit.burst())*(1+testRules.Overage)+testRules.Slack)
		}
	}
	return most
}

// population returns workspaces whose sizes follow a power law, with limits 1.6 times the usual rate.
func population(workspaces int, perSecond float64) []*space {
	var sum float64
	for i := range workspaces {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var all []*space
	for i := range workspaces {
		usual := perSecond * math.Pow(float64(i+1), -1.2) / sum
		all = append(all, &space{perSecond: usual, limit: Limit{Name: fmt.Sprintf("w%d", i), Rate: 1.6 * usual, Burst: max(math.Round(usual), 1)}})
	}
	return all
}

// span returns a random time below d.
func (s *site) span(d time.Duration) time.Duration { return time.Duration(s.random.Int64N(int64(d))) }
