package placement

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/queue"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// The property tests use a fixed seed unless the command line gives one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
}

// model runs a broker and three entries over a network that loses, delays and reorders messages.
type model struct {
	now       time.Time
	pool      table.Pool
	live      []Instance
	limits    map[string]int
	overlap   int
	broker    *Broker
	clients   map[peer.InstanceID]*Client
	network   []packet
	known     map[permitKey]permit // permits of the broker after the last step
	deadlines map[permitKey]time.Time
	open      map[permitKey]bool // requested and not yet decided
}

type packet struct {
	from, to peer.InstanceID
	message  *peerpb.PlacementMessage
}

func newModel(overlap int) *model {
	m := &model{overlap: overlap, now: simEpoch, limits: map[string]int{}, clients: map[peer.InstanceID]*Client{},
		deadlines: map[permitKey]time.Time{}, open: map[permitKey]bool{},
		pool: table.Pool{Name: "p", Slots: 2, Upstreams: []table.Upstream{{ID: "a", Region: "r", FailureDomain: "d"}, {ID: "b", Region: "r", FailureDomain: "d"}}}}
	for i := range 3 {
		m.live = append(m.live, Instance{peer.InstanceID(fmt.Sprintf("e%d/1", i)), "r", "d"})
	}
	m.newBroker()
	for _, i := range m.live {
		c := NewClient(ClientSettings{Self: i, BrokerTimeout: DefaultBrokerTimeout, Limits: m})
		c.SetPool(m.pool)
		c.SetInstances(m.now, m.live)
		m.clients[i.ID] = c
	}
	return m
}

func (m *model) Limit(id string, _ time.Time) int {
	if l, ok := m.limits[id]; ok {
		return l
	}
	return 2
}

// newBroker replaces the broker by one without state, as after the loss of its instance.
func (m *model) newBroker() {
	m.broker = NewBroker(m.now, BrokerSettings{Self: "x/1", Region: "r", FailureDomain: "d", Limits: m, Queue: queue.DefaultSettings(), ReportTimeout: DefaultReportTimeout, Overlap: m.overlap})
	m.broker.SetPool(m.now, m.pool)
	m.broker.SetInstances(m.now, m.live)
}

// collect puts messages on the network and checks grants and decisions.
func (m *model) collect(t *rapid.T) {
	for _, s := range m.broker.Take() {
		if g := s.Message.GetGrant(); g != nil && m.known[permitKey{s.To, g.Id}].upstream == nil {
			m.checkGrant(t, g)
		}
		m.network = append(m.network, packet{"x/1", s.To, s.Message})
	}
	m.known = maps.Clone(m.broker.permits)
	m.checkSlots(t)
	for _, i := range m.live {
		sends, decisions := m.clients[i.ID].Take()
		for _, s := range sends {
			m.network = append(m.network, packet{i.ID, "x/1", s.Message})
		}
		for _, d := range decisions {
			key := permitKey{i.ID, d.ID}
			if !m.open[key] {
				t.Fatalf("request %v was decided twice", key)
			}
			delete(m.open, key)
			if d.Err == nil && !m.now.Before(m.deadlines[key]) {
				t.Fatalf("request %v got %s after its deadline", key, d.Upstream.ID)
			}
		}
	}
}

// checkSlots checks that every slot in use has a permit; a slot without one would never be freed.
func (m *model) checkSlots(t *rapid.T) {
	used := map[*upstreamState]int{}
	for _, p := range m.broker.permits {
		used[p.upstream]++
	}
	for id, s := range m.broker.upstreams {
		if s.inUse != used[s] {
			t.Fatalf("%d slots of %s are in use by %d permits", s.inUse, id, used[s])
		}
	}
}

// checkGrant checks a grant that is not the repeat of an earlier one.
func (m *model) checkGrant(t *rapid.T, g *peerpb.Grant) {
	if slices.Contains(m.pool.UpstreamsOut, g.Upstream) {
		t.Fatalf("permit for %s, which was taken out", g.Upstream)
	}
	s := m.broker.upstreams[g.Upstream]
	used := 0
	for _, p := range m.broker.permits {
		if p.upstream == s {
			used++
		}
	}
	limit := m.Limit(g.Upstream, m.now)
	if limit == m.pool.Slots {
		limit += m.overlap // a reduced limit is never exceeded
	}
	if used > limit {
		t.Fatalf("%d permits for %s, whose limit is %d", used, g.Upstream, limit)
	}
	if used != s.inUse {
		t.Fatalf("%s counts %d permits and has %d", g.Upstream, s.inUse, used)
	}
}

func (m *model) deliver(i int) {
	p := m.network[i]
	m.network = slices.Delete(m.network, i, i+1)
	if p.to == "x/1" {
		m.broker.Receive(m.now, p.from, p.message)
	} else {
		m.clients[p.to].Receive(m.now, p.from, p.message)
	}
}

func (m *model) tick(d time.Duration) {
	m.now = m.now.Add(d)
	m.broker.Tick(m.now)
	for _, i := range m.live {
		m.clients[i.ID].Tick(m.now)
	}
}

func (m *model) client(t *rapid.T) *Client {
	return m.clients[rapid.SampledFrom(m.live).Draw(t, "entry").ID]
}

// heldBy returns the sorted IDs of the running permits.
func heldBy(c *Client) []uint64 {
	var ids []uint64
	for id := range c.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against more permits than the limit, a grant after the deadline or for
// an upstream out of service, and permits or requests that are never completed,
// while messages are lost and reordered, limits change and brokers are replaced.
func TestBrokerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.IntRange(0, 1).Draw(t, "overlap"))
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				c := m.client(t)
				deadline := m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond)
				key := permitKey{c.settings.Self.ID, c.Acquire(m.now, Request{Pool: "p", Deadline: deadline})}
				m.open[key], m.deadlines[key] = true, deadline
			},
			"done": func(t *rapid.T) {
				c := m.client(t)
				if ids := heldBy(c); len(ids) > 0 {
					c.Done(m.now, rapid.SampledFrom(ids).Draw(t, "permit"), Outcome{Result: Result(rapid.IntRange(0, 3).Draw(t, "result"))})
				}
			},
			"deliver": func(t *rapid.T) {
				for range min(len(m.network), rapid.IntRange(1, 10).Draw(t, "messages")) {
					m.deliver(rapid.IntRange(0, len(m.network)-1).Draw(t, "index"))
					m.collect(t)
				}
			},
			"lose": func(t *rapid.T) {
				if len(m.network) > 0 {
					i := rapid.IntRange(0, len(m.network)-1).Draw(t, "index")
					m.network = slices.Delete(m.network, i, i+1)
				}
			},
			"tick": func(t *rapid.T) { m.tick(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond) },
			"wait": func(*rapid.T) { m.now = m.now.Add(time.Millisecond) },
			"limit": func(t *rapid.T) {
				m.limits[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream")] = rapid.IntRange(0, 2).Draw(t, "limit")
			},
			"out": func(t *rapid.T) {
				m.pool.UpstreamsOut = [][]string{nil, {"a"}, {"a", "b"}}[rapid.IntRange(0, 2).Draw(t, "out")]
				m.broker.SetPool(m.now, m.pool)
				for _, c := range m.clients {
					c.SetPool(m.pool)
				}
			},
			"broker": func(*rapid.T) { m.newBroker() },
			"":       func(t *rapid.T) { m.collect(t) },
		})
		m.checkDrained(t)
	})
}

// checkDrained completes all requests and checks that no slot and no request is leaked.
func (m *model) checkDrained(t *rapid.T) {
	for range 150 { // longer than permitTTL
		m.tick(50 * time.Millisecond)
		for m.collect(t); len(m.network) > 0; m.collect(t) {
			m.deliver(0)
		}
		for _, c := range m.clients {
			for _, id := range heldBy(c) {
				c.Done(m.now, id, Outcome{})
			}
		}
		m.collect(t)
	}
	if len(m.broker.permits) > 0 || m.broker.queue.Len() > 0 || len(m.open) > 0 {
		t.Fatalf("%d permits, %d waiting and %d undecided requests are left", len(m.broker.permits), m.broker.queue.Len(), len(m.open))
	}
	if m.broker.free != m.broker.capacity {
		t.Fatalf("%d of %d slots are free at rest", m.broker.free, m.broker.capacity)
	}
}

// Guards against a new broker that grants slots which are in use by running permits
// that it has not learned of yet.
func TestNewBrokerStartsFromReports(t *testing.T) {
	is := is.New(t)
	m := newModel(0)
	ask := func(n int) (granted int) {
		for range n {
			m.clients["e0/1"].Acquire(m.now, Request{Pool: "p"})
		}
		for {
			before := len(m.network)
			sends, _ := m.clients["e0/1"].Take()
			for _, s := range append(sends, m.broker.Take()...) {
				m.network = append(m.network, packet{"e0/1", s.To, s.Message})
				if ForBroker(s.Message) {
					m.network[len(m.network)-1].to = "x/1"
				}
			}
			if before == 0 && len(m.network) == 0 {
				return len(m.clients["e0/1"].held)
			}
			for len(m.network) > 0 {
				m.deliver(0)
			}
		}
	}
	m.now = m.now.Add(DefaultReportTimeout)
	is.Equal(ask(3), 3)
	m.newBroker()
	m.clients["e0/1"].report("d")
	is.Equal(ask(3), 3)
	m.broker.Tick(m.now)
	is.Equal(ask(0), 3) // nothing is granted before the other entries have reported
	m.now = m.now.Add(DefaultReportTimeout)
	m.broker.Tick(m.now)
	is.Equal(ask(0), 4) // one slot was free
}

// Guards against a slot that is never freed: an entry starts a queued request on a
// slot freed by one of its own requests after Next, and its report reaches the
// broker before the PermitDone that says so.
func TestReportOvertakesTheStartOfAQueuedRequest(t *testing.T) {
	is := is.New(t)
	now := simEpoch
	b := NewBroker(now, BrokerSettings{Self: "x/1", Region: "r", FailureDomain: "d", Queue: queue.DefaultSettings(), ReportTimeout: DefaultReportTimeout})
	b.SetPool(now, table.Pool{Name: "p", Slots: 2, Upstreams: []table.Upstream{{ID: "a", Region: "r", FailureDomain: "d"}}})
	b.SetInstances(now, []Instance{{"e/1", "r", "d"}})
	now = now.Add(2 * DefaultReportTimeout)
	acquire := func(id uint64) {
		b.Receive(now, "e/1", &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Acquire{Acquire: &peerpb.Acquire{Id: id}}})
	}
	done := func(id, started uint64) {
		b.Receive(now, "e/1", &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Done{Done: &peerpb.PermitDone{Id: id, Upstream: "a", Started: started}}})
	}
	acquire(1)
	acquire(2)
	acquire(3) // waits
	b.Receive(now, "e/1", &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Report{Report: &peerpb.PermitReport{
		Through: 3, Held: []*peerpb.Grant{{Id: 2, Upstream: "a"}, {Id: 3, Upstream: "a"}}}}})
	done(2, 0)
	done(1, 3)
	done(3, 0)
	is.Equal(b.Status().Queued, uint32(0))
	is.Equal(b.Status().Free, uint32(2))
}

// Guards against local placement beyond the static share when the broker does not answer.
func TestSilentBrokerIsReplacedByTheStaticShare(t *testing.T) {
	is := is.New(t)
	m := newModel(0)
	c := m.clients["e0/1"]
	for range 5 {
		c.Acquire(m.now, Request{Pool: "p"})
	}
	c.Tick(m.now.Add(DefaultBrokerTimeout - 1))
	_, decisions := c.Take()
	is.Equal(len(decisions), 0)
	c.Tick(m.now.Add(DefaultBrokerTimeout))
	_, decisions = c.Take()
	used := map[string]int{}
	for _, d := range decisions {
		if d.Err == nil {
			used[d.Upstream.ID]++
		}
	}
	is.Equal(used, map[string]int{"a": 1, "b": 1}) // 2 slots divided among 3 entries, at least one each
	is.Equal(len(decisions), 5)
}

// BenchmarkPick measures an acquire and a done in pools of growing size; the time must not grow.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 7600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			broker := NewBroker(simEpoch, BrokerSettings{Region: "r", FailureDomain: "d", Queue: queue.DefaultSettings()})
			pool := table.Pool{Name: "p", Slots: 4}
			for i := range n {
				pool.Upstreams = append(pool.Upstreams, table.Upstream{ID: fmt.Sprint(i), Region: "r", FailureDomain: "d"})
			}
			broker.SetPool(simEpoch, pool)
			rnd := rand.New(rand.NewPCG(1, 0))
			busy := make([]uint64, n) // half of the slots at most
			for i := range b.N {
				now := simEpoch.Add(time.Duration(i) * time.Microsecond)
				k := rnd.IntN(n)
				if busy[k] != 0 {
					broker.done(now, permitKey{"e", busy[k]}, &peerpb.PermitDone{Id: busy[k]})
				}
				busy[k] = uint64(i + 1)
				broker.acquire(now, permitKey{"e", busy[k]}, &peerpb.Acquire{Id: busy[k]})
				broker.outbox = broker.outbox[:0]
			}
		})
	}
}
