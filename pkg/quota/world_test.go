package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

const (
	simLimit  = 3
	simNodes  = 4
	leaseTime = 150 * time.Millisecond // of the authority
	stepTime  = 20 * time.Millisecond
)

var simSettings = Settings{
	Lifetime: 200 * time.Millisecond, WorkBound: 300 * time.Millisecond, Margin: 60 * time.Millisecond,
	DriftPercent: 1, Turn: 60 * time.Millisecond, Poll: 20 * time.Millisecond, Timeout: 60 * time.Millisecond,
}

// job is work that is running at the upstream.
type job struct {
	permit Permit
	end    time.Duration // real time
	// bounded work carries a deadline to the upstream, so that it ends even if its
	// instance is paused or has crashed. Other work ends only through its instance.
	bounded bool
}

// node is one instance: a holder and an allocator with their own clock.
type node struct {
	id           peer.InstanceID
	rate         float64
	holder       *Holder
	allocator    *Allocator
	view         int           // latest epoch that the instance knows
	learned      time.Duration // real time at which it learned of that epoch
	authorityEnd time.Duration // end of its authority, by its own clock
	paused       bool
	jobs         []*job
}

// message is a request or a reply in transit.
type message struct {
	from, to peer.InstanceID
	request  *Request
	reply    *Reply
}

// simulation drives the state machines of all instances on one real-time axis.
type simulation struct {
	t         *rapid.T
	start     time.Time
	now       time.Duration
	nodes     []*node
	orphans   []*job
	network   []message
	epoch     int
	owners    []int // owner of the resource by epoch
	epochEnd  time.Duration
	instances int
	started   int // jobs that got a permit
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, start: time.Unix(1_000_000, 0), owners: []int{0, 0}, epoch: 1}
	for i := range simNodes {
		s.nodes = append(s.nodes, s.newNode(1+float64(i)*0.003))
		s.nodes[i].view = 1
	}
	return s
}

func (s *simulation) newNode(rate float64) *node {
	s.instances++
	n := &node{id: peer.InstanceID(fmt.Sprintf("n/%d", s.instances)), rate: rate}
	n.holder = NewHolder(simSettings, NewGate(s.start, 0))
	n.allocator = NewAllocator(simSettings, simLimit)
	return n
}

func (s *simulation) local(n *node) time.Time { return s.start.Add(s.localSpan(n, s.now)) }

func (s *simulation) localSpan(n *node, d time.Duration) time.Duration {
	return time.Duration(float64(d) * n.rate)
}

// authority behaves like the authority lease of a view: it expires by the clock of
// its owner, and the next epoch loads only after it has expired by every clock.
type authority struct {
	s *simulation
	n *node
}

func (a authority) Held(now time.Time) (uint64, time.Time, bool) {
	n, s := a.n, a.s
	ok := n.view > 0 && s.nodes[s.owners[n.view]] == n && now.Sub(s.start) < n.authorityEnd
	return uint64(n.view), s.start.Add(s.localSpan(n, n.learned)), ok
}

// renew extends the authority of the owner of the current epoch.
func (s *simulation) renew(n *node) {
	if n.view == s.epoch && s.nodes[s.owners[s.epoch]] == n && !n.paused {
		n.authorityEnd = s.localSpan(n, s.now) + leaseTime*99/100
		s.epochEnd = s.now + leaseTime*102/100
	}
}

// load loads the next epoch with a new owner if the old authority has expired.
func (s *simulation) load(owner int) {
	if s.now >= s.epochEnd {
		s.epoch++
		s.owners = append(s.owners, owner)
	}
}

func (s *simulation) learn(n *node) {
	if !n.paused && n.view < s.epoch {
		n.view, n.learned = s.epoch, s.now
	}
}

func (s *simulation) tick(n *node) {
	if n.paused {
		return
	}
	if r, due := n.holder.step(s.local(n)); due && n.view > 0 {
		s.network = append(s.network, message{from: n.id, to: s.nodes[s.owners[n.view]].id, request: &r})
	}
	s.endRevoked(n)
}

// endRevoked ends the jobs whose permit was revoked, as the caller of a gate does.
func (s *simulation) endRevoked(n *node) {
	for _, j := range n.jobs {
		select {
		case <-j.permit.Revoked():
			j.end = s.now
		default:
		}
	}
}

func (s *simulation) deliver(m message) {
	for _, n := range s.nodes {
		if n.id != m.to || n.paused {
			continue
		}
		if m.reply != nil {
			n.holder.Receive(s.local(n), *m.reply)
			continue
		}
		r := n.allocator.Handle(s.local(n), authority{s, n}, m.from, *m.request)
		s.network = append(s.network, message{from: n.id, to: m.from, reply: &r})
	}
}

func (s *simulation) startJob(n *node, length time.Duration, bounded bool) {
	if p, ok := n.holder.Gate().Acquire(s.local(n)); ok {
		s.started++
		n.jobs = append(n.jobs, &job{permit: p, end: s.now + length, bounded: bounded})
	}
}

// advance moves real time forward; the timers of instances that are not paused run.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += min(stepTime, end-s.now)
		for _, n := range s.nodes {
			if !n.paused {
				n.holder.Step(s.local(n))
				s.endRevoked(n)
			}
			n.jobs = s.finish(n.jobs)
		}
		s.orphans = s.finish(s.orphans)
	}
}

func (s *simulation) finish(jobs []*job) []*job {
	var left []*job
	for _, j := range jobs {
		if s.now < j.end {
			left = append(left, j)
			continue
		}
		j.permit.Done()
	}
	return left
}

// crash replaces an instance by a new incarnation without state. Bounded work
// continues at the upstream; other work ends with its connection.
func (s *simulation) crash(i int) {
	old := s.nodes[i]
	for _, j := range old.jobs {
		if j.bounded {
			s.orphans = append(s.orphans, j)
		}
	}
	s.nodes[i] = s.newNode(old.rate)
	// A new incarnation is not a member before the next view change, so it must not own the epoch.
	if s.owners[s.epoch] == i {
		s.advance(max(0, s.epochEnd-s.now))
		s.load((i + 1) % simNodes)
	}
}

func (s *simulation) pause(n *node, on bool) {
	for _, j := range n.jobs {
		// The limit is not guaranteed for work that only a paused instance could end.
		if on && !j.bounded {
			return
		}
	}
	n.paused = on
}

// checkLimit fails if the instances together can use more than the limit.
func (s *simulation) checkLimit() {
	sum, running := len(s.orphans), len(s.orphans)
	for _, n := range s.nodes {
		sum += n.holder.Gate().Held(s.local(n))
		running += len(n.jobs)
	}
	if sum > simLimit || running > simLimit {
		s.t.Fatalf("at %v: %d units usable, %d in use, limit %d", s.now, sum, running, simLimit)
	}
}

func (s *simulation) step() {
	t := s.t
	i := rapid.IntRange(0, simNodes-1).Draw(t, "node")
	n := s.nodes[i]
	switch rapid.SampledFrom(actions).Draw(t, "action") {
	case "advance":
		s.advance(rapid.SampledFrom([]time.Duration{5, 5, 20, 20, 50, 50, 120, 250}).Draw(t, "ms") * time.Millisecond)
	case "begin":
		if n.paused {
			return
		}
		s.startJob(n, rapid.SampledFrom(jobLengths).Draw(t, "length"), true)
	case "begin-long":
		if !n.paused {
			s.startJob(n, 900*time.Millisecond, false)
		}
	case "tick":
		s.tick(n)
	case "deliver", "double", "drop":
		s.deliverAny(rapid.IntRange(0, 63).Draw(t, "message"))
	case "renew":
		s.renew(s.nodes[s.owners[s.epoch]])
	case "load":
		if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
			s.load(i)
		}
	case "takeover":
		s.advance(max(0, s.epochEnd-s.now))
		s.load(i)
		s.runWithoutFaults(time.Duration(rapid.IntRange(3, 12).Draw(t, "fault-free")) * 60 * time.Millisecond)
	case "exchange":
		s.roundTrip(n)
	case "fault-free":
		s.runWithoutFaults(time.Duration(rapid.IntRange(1, 12).Draw(t, "fault-free")) * 60 * time.Millisecond)
	case "learn":
		s.learn(n)
	case "pause":
		s.pause(n, true)
	case "resume":
		s.pause(n, false)
	case "crash":
		if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
			s.crash(i)
		}
	}
}

// roundTrip sends the request of a node and delivers the reply at once.
func (s *simulation) roundTrip(n *node) {
	for range 2 {
		before := len(s.network)
		if s.tick(n); len(s.network) > before {
			s.deliverLast()
			s.deliverLast()
		}
	}
}

func (s *simulation) deliverLast() {
	if k := len(s.network) - 1; k >= 0 {
		m := s.network[k]
		s.network = s.network[:k]
		s.deliver(m)
	}
}

// runWithoutFaults runs the system without faults, so that waiting periods end and grants are issued.
func (s *simulation) runWithoutFaults(d time.Duration) {
	for end := s.now + d; s.now < end; s.advance(stepTime) {
		s.renew(s.nodes[s.owners[s.epoch]])
		for _, n := range s.nodes {
			s.learn(n)
			s.roundTrip(n)
			if !n.paused && rapid.IntRange(0, 3).Draw(s.t, "busy") == 0 {
				s.startJob(n, rapid.SampledFrom(jobLengths).Draw(s.t, "length"), true)
			}
		}
		s.checkLimit()
	}
}

// deliverAny delivers, duplicates or drops one message in transit, in any order.
func (s *simulation) deliverAny(pick int) {
	if len(s.network) == 0 {
		return
	}
	k := pick % len(s.network)
	m := s.network[k]
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	if fate < 8 {
		s.deliver(m)
	}
	if fate > 0 {
		s.network = append(s.network[:k], s.network[k+1:]...)
	}
}

var jobLengths = []time.Duration{10 * time.Millisecond, 70 * time.Millisecond, 290 * time.Millisecond}

var actions = []string{
	"advance", "advance", "begin", "begin", "begin", "begin", "begin", "begin-long", "tick", "tick", "tick",
	"deliver", "deliver", "deliver", "deliver", "renew", "renew", "load", "learn", "learn",
	"exchange", "exchange", "exchange", "fault-free", "fault-free", "takeover", "pause", "pause", "resume", "resume", "crash",
}

// Guards against two holders that use one unit after lost, late, duplicated or
// reordered messages, pauses, crashes, inconsistent views or a deposed allocator.
func TestSumStaysWithinLimit(t *testing.T) {
	began, epochs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 400 {
			s.step()
			s.checkLimit()
		}
		began, epochs = began+s.started, epochs+s.epoch
	})
	t.Logf("%d jobs began in %d epochs", began, epochs)
	if began < 500 || epochs < 200 {
		t.Fatal("the schedules exercised too few grants or epochs to show anything")
	}
}
