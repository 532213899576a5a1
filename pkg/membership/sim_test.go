package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// sim runs machines on a simulated clock, network and store, in one goroutine.
type sim struct {
	now           time.Duration
	random        *rand.Rand
	nodes         map[peer.InstanceID]*node
	running       []peer.InstanceID
	queue         events
	sequence      int
	lossRate      float64
	duplicateRate float64
	jitter        time.Duration
	partitioned   func(a, b string) bool // reports whether two regions are partitioned
	storeUp       func(region string) bool
	listLag       time.Duration
	leaseEnds     map[peer.InstanceID]time.Duration // end of each lease
	registeredAt  map[peer.InstanceID]time.Duration // time of registration
	restarts      int
}

type node struct {
	m        *Machine
	id       peer.InstanceID
	region   string
	paused   bool
	deferred []func()
}

type scheduled struct {
	at  time.Duration
	seq int
	f   func()
}

type events []scheduled

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(scheduled)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

var regions = []string{"north", "central", "south"}

func newSim(seed uint64, n int) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 3)), nodes: map[peer.InstanceID]*node{},
		partitioned: func(_, _ string) bool { return false }, storeUp: func(string) bool { return true },
		leaseEnds: map[peer.InstanceID]time.Duration{}, registeredAt: map[peer.InstanceID]time.Duration{},
	}
	for i := range n {
		s.start(fmt.Sprintf("i%d", i), regions[i%3])
	}
	return s
}

func (s *sim) instant() Instant { return Instant{Mono: s.now, Wall: time.Unix(1e9, 0).Add(s.now)} }

func (s *sim) schedule(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.queue, scheduled{s.now + d, s.sequence, f})
}

// run advances the clock.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(scheduled)
		s.now = e.at
		e.f()
	}
	s.now = end
}

func (s *sim) start(name, region string) *node {
	s.restarts++
	id := peer.InstanceID(fmt.Sprintf("%s/%04d", name, s.restarts))
	set := Settings{Address: name + ":7000", Region: region, FailureDomain: region + "-1"}
	n := &node{m: NewMachine(id, set, s.random.Uint64(), s.instant()), id: id, region: region}
	s.nodes[id] = n
	s.running = append(s.running, id)
	s.registeredAt[id] = s.now
	s.tick(n)
	return n
}

func (s *sim) crash(id peer.InstanceID) {
	delete(s.nodes, id)
	for i, x := range s.running {
		if x == id {
			s.running = append(s.running[:i:i], s.running[i+1:]...)
			return
		}
	}
}

func (s *sim) tick(n *node) {
	if s.nodes[n.id] != n {
		return
	}
	s.apply(n, func() []Action { return n.m.Tick(s.instant()) })
	s.schedule(250*time.Millisecond, func() { s.tick(n) })
}

// apply runs an event on a node, or defers it until the node resumes. Events of a crashed node are dropped.
func (s *sim) apply(n *node, f func() []Action) {
	if s.nodes[n.id] != n {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { s.apply(n, f) })
		return
	}
	for _, a := range f() {
		s.perform(n, a)
	}
}

func (s *sim) resume(n *node) {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// call delivers a request and its answer; failed runs if the answer does not arrive within 800 ms.
func (s *sim) call(n *node, to peer.InstanceID, handle func(*node) proto.Message, done func(proto.Message) []Action, failed func() []Action) {
	completed := false
	complete := func(f func() []Action) {
		s.apply(n, func() []Action {
			if completed {
				return nil
			}
			completed = true
			return f()
		})
	}
	s.schedule(800*time.Millisecond, func() { complete(failed) })
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		s.transmit(n.region, to, func() {
			target := s.nodes[to]
			if target == nil {
				s.schedule(time.Millisecond, func() { complete(failed) })
				return
			}
			s.apply(target, func() []Action {
				answer := handle(target)
				s.transmit(target.region, n.id, func() { complete(func() []Action { return done(answer) }) })
				return nil
			})
		})
	}
}

func (s *sim) transmit(from string, to peer.InstanceID, f func()) {
	target := s.nodes[to]
	if s.random.Float64() < s.lossRate || target != nil && s.partitioned(from, target.region) {
		return
	}
	d := time.Millisecond
	if s.jitter > 0 {
		d += time.Duration(s.random.Int64N(int64(s.jitter)))
	}
	s.schedule(d, f)
}

var errDown = fault.New(fault.Unavailable, "down", "wait")

func noActions() []Action { return nil }

func (s *sim) perform(n *node, a Action) {
	switch a := a.(type) {
	case SendHeartbeat:
		s.call(n, a.To, func(t *node) proto.Message { return t.m.HandleHeartbeat(s.instant(), n.id, a.Message) },
			func(m proto.Message) []Action {
				return n.m.HeartbeatDone(s.instant(), a.To, m.(*peerpb.Heartbeat), a.Monitored)
			},
			func() []Action { return n.m.HeartbeatDone(s.instant(), a.To, nil, a.Monitored) })
	case SendDelta:
		s.call(n, a.To, func(t *node) proto.Message { return t.m.HandleDelta(s.instant(), a.Message) },
			func(m proto.Message) []Action {
				return n.m.DeltaDone(s.instant(), a.Sent, a.To, m.(*peerpb.MembershipDelta))
			}, noActions)
	case SendProbe:
		s.probe(n, a)
	case KeepLease, ReadList, ReadLeases:
		started := s.instant()
		s.schedule(2*time.Millisecond, func() { s.apply(n, func() []Action { return s.performStoreAction(n, a, started) }) })
	}
}

func (s *sim) probe(n *node, a SendProbe) {
	report := func(reached bool) func() []Action {
		return func() []Action { n.m.ProbeDone(s.instant(), a.Target, reached); return nil }
	}
	helper, target := s.nodes[a.Helper], s.nodes[a.Target]
	ok := helper != nil && target != nil && !helper.paused && !target.paused &&
		!s.partitioned(n.region, helper.region) && !s.partitioned(helper.region, target.region) && s.random.Float64() >= s.lossRate
	s.schedule(400*time.Millisecond, func() { s.apply(n, report(ok)) })
}

// performStoreAction performs a store action. With probability s.lossRate, a lease renewal takes effect but its answer is lost.
func (s *sim) performStoreAction(n *node, a Action, started Instant) []Action {
	now := s.instant()
	up := s.storeUp(n.region)
	switch a.(type) {
	case KeepLease:
		end, held := s.leaseEnds[n.id]
		if !up {
			return n.m.LeaseDone(now, started, LeaseUnavailable)
		}
		if held && end < s.now {
			delete(s.leaseEnds, n.id)
			return n.m.LeaseDone(now, started, LeaseLapsed)
		}
		s.leaseEnds[n.id] = s.now + 15*time.Second
		if s.random.Float64() < s.lossRate {
			return n.m.LeaseDone(now, started, LeaseUnavailable) // the answer is lost
		}
		return n.m.LeaseDone(now, started, LeaseKept)
	case ReadList:
		if !up {
			n.m.ListDone(now, started, nil, errDown)
			return nil
		}
		n.m.ListDone(now, started, s.listRows(), nil)
	case ReadLeases:
		if !up {
			n.m.LeasesDone(now, started, nil, errDown)
			return nil
		}
		var names []string
		for id, end := range s.leaseEnds {
			if end >= s.now {
				names = append(names, LeasePrefix+string(id))
			}
		}
		n.m.LeasesDone(now, started, names, nil)
	}
	return nil
}

// listRows returns the lagging list: instances appear after listLag, and crashed instances are never removed.
func (s *sim) listRows() []store.ListedInstance {
	var rows []store.ListedInstance
	for id, since := range s.registeredAt {
		if since+s.listLag <= s.now {
			rows = append(rows, store.ListedInstance{ID: string(id), Address: id.Name() + ":7000", Region: "north", FailureDomain: "north-1"})
		}
	}
	return rows
}
