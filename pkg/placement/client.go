package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// ClientSettings are the fixed inputs of a Client.
type ClientSettings struct {
	// Self is this instance.
	Self Instance
	// Limits gives the limit of each upstream for the fallback; nil means the pool's slots.
	Limits Limits
	// BrokerTimeout is the time in which the broker of the own failure domain
	// must react; brokers further away get the round trip in addition.
	BrokerTimeout time.Duration
	// Seed starts the random choices.
	Seed uint64
}

const (
	// DefaultBrokerTimeout is many round trips within a failure domain.
	DefaultBrokerTimeout = 5 * time.Millisecond
	// fallbackTime is how long a broker that did not react is not asked again.
	fallbackTime = 100 * time.Millisecond
	// reportInterval is the time between full reports of the running permits,
	// which repair the loss of a message.
	reportInterval = time.Second
	// repeatInterval is the time after which an Acquire without an answer is sent again.
	repeatInterval = 100 * time.Millisecond
)

// Decision answers one Acquire of a Client.
type Decision struct {
	// ID is the one that Acquire returned.
	ID uint64
	// Permit is the ID for Done.
	Permit   uint64
	Upstream table.Upstream
	// Relay is the instance to pass the request to, or empty.
	Relay peer.InstanceID
	// Err is set when the request is refused.
	Err error
}

// ticket is a request that waits for a decision.
type ticket struct {
	began   time.Time // when the request arrived at its first entry
	id      uint64    // that Acquire returned; the one on the wire changes when the ticket is renewed
	renewed int
	request Request
	domain  string // whose broker was asked
	sent    time.Time
	queued  bool // the broker has reacted
	settled bool
	avoid   []string // upstreams whose slots Next does not allow
}

// held is a permit that this entry runs.
type held struct {
	slot   *slot
	up     table.Upstream
	domain string
}

// Client is an entry's side of the slot brokers of one pool. Like Broker it is a
// deterministic state machine and not safe for concurrent use.
type Client struct {
	settings  ClientSettings
	local     *localPool
	rnd       *rand.Rand
	instances []Instance
	brokers   map[string]peer.InstanceID // by failure domain
	lastID    uint64
	tickets   map[uint64]*ticket
	held      map[uint64]held
	next      []uint64        // tickets that may have next set, oldest first
	touched   map[string]bool // failure domains to which a report is due
	down      map[peer.InstanceID]time.Time
	reported  time.Time
	out       []Send
	decisions []Decision
}

// NewClient returns a client without pool and instances.
func NewClient(s ClientSettings) *Client {
	return &Client{
		settings: s,
		local:    newLocalPool(table.Pool{}, s.Seed),
		rnd:      rand.New(rand.NewPCG(s.Seed, 2)),
		brokers:  map[string]peer.InstanceID{},
		tickets:  map[uint64]*ticket{},
		held:     map[uint64]held{},
		touched:  map[string]bool{},
		down:     map[peer.InstanceID]time.Time{},
	}
}

// Take returns the messages to send and the decisions since the last call.
func (c *Client) Take() ([]Send, []Decision) {
	out, decisions := c.out, c.decisions
	c.out, c.decisions = nil, nil
	return out, decisions
}

// SetPool takes over an edited pool row.
func (c *Client) SetPool(p table.Pool) { c.local.set(p) }

// SetInstances takes over the live instances. A new broker gets a report of the
// running permits and the requests that wait for a decision.
func (c *Client) SetInstances(now time.Time, live []Instance) {
	c.instances = slices.Clone(live)
	for _, domain := range c.domains() {
		broker, _ := BrokerOf(c.local.pool.Name, domain, live)
		if c.brokers[domain] == broker {
			continue
		}
		c.brokers[domain] = broker
		if broker == "" {
			continue
		}
		if domain == c.settings.Self.FailureDomain || c.touched[domain] {
			c.report(domain)
		}
		for _, id := range c.pending(domain) {
			c.ask(now, id, c.tickets[id])
		}
	}
}

// domains returns the failure domains with instances or remembered brokers.
func (c *Client) domains() []string {
	var out []string
	for _, i := range c.instances {
		out = append(out, i.FailureDomain)
	}
	for d := range c.brokers {
		out = append(out, d)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Acquire asks for an upstream and returns the ID under which Take gives the decision.
func (c *Client) Acquire(now time.Time, r Request) uint64 {
	c.lastID++
	id := c.lastID
	t := &ticket{id: id, began: now.Add(-r.Age), request: r, settled: r.Relayed}
	c.tickets[id] = t
	region, domain := c.home(&r)
	switch {
	case domain == "":
		c.decide(Decision{ID: id, Err: refused("no instance in a permitted region", 0)})
	case region != c.settings.Self.Region && r.CanRelay && !r.Relayed:
		c.relay(id, domain)
	default:
		t.domain = domain
		c.ask(now, id, t)
	}
	return id
}

// home returns the own failure domain, or one of a permitted region.
func (c *Client) home(r *Request) (region, domain string) {
	self := c.settings.Self
	if len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, self.Region) {
		return self.Region, self.FailureDomain
	}
	start := offset(c.rnd, len(c.instances))
	for k := range c.instances {
		if i := c.instances[(start+k)%len(c.instances)]; slices.Contains(r.HomeRegions, i.Region) {
			return i.Region, i.FailureDomain
		}
	}
	return "", ""
}

// ask sends the request to the broker of the ticket's failure domain, or falls back.
func (c *Client) ask(now time.Time, id uint64, t *ticket) {
	broker := c.brokers[t.domain]
	if broker == "" || now.Before(c.down[broker]) {
		c.fallback(now, id, t)
		return
	}
	m := &peerpb.Acquire{Id: id, Workspace: t.request.Workspace, Class: string(t.request.Class), Exclude: t.request.Exclude,
		Regions: t.request.HomeRegions, NoWait: t.request.NoWait, CanRelay: t.request.CanRelay && !t.settled, Settled: t.settled,
		MaxWaitUs: uint64(t.request.MaxWait.Microseconds()), AgeUs: uint64(now.Sub(t.began).Microseconds())}
	if !t.request.Deadline.IsZero() {
		m.BudgetUs = uint64(max(1, t.request.Deadline.Sub(now).Microseconds()))
	}
	t.sent = now
	c.send(t.domain, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Acquire{Acquire: m}})
}

// Cancel withdraws a request whose caller has gone.
func (c *Client) Cancel(id uint64) {
	for wire, t := range c.tickets {
		if t.id == id {
			c.withdraw(wire, t)
			return
		}
	}
}

func (c *Client) withdraw(wire uint64, t *ticket) {
	delete(c.tickets, wire)
	c.giveBack(wire, t.domain, "", Outcome{Result: Canceled})
}

// Done ends a permit.
func (c *Client) Done(now time.Time, id uint64, o Outcome) {
	h, ok := c.held[id]
	if !ok {
		return
	}
	delete(c.held, id)
	c.local.end(h.slot, now, o.Load)
	started := uint64(0)
	if o.Result == Answered {
		started = c.startNext(now, h)
	}
	c.sendDone(h.domain, &peerpb.PermitDone{Id: id, Upstream: h.up.ID, Result: uint32(o.Result),
		LatencyUs: uint64(o.Latency.Microseconds()), Started: started})
}

// startNext starts a waiting request on the slot of a permit that has ended and returns its ID, or zero.
func (c *Client) startNext(now time.Time, h held) uint64 {
	for i, id := range c.next {
		t := c.tickets[id]
		if t == nil || t.domain != h.domain || t.late(now) || c.local.byID[h.up.ID] != h.slot ||
			slices.Contains(t.request.Exclude, h.up.ID) || slices.Contains(t.avoid, h.up.ID) {
			continue
		}
		c.next = slices.Delete(c.next, i, i+1)
		c.take(id, h.slot, h.domain)
		return id
	}
	c.next = slices.DeleteFunc(c.next, func(id uint64) bool { return c.tickets[id] == nil })
	return 0
}

func (c *Client) mayStart(domain string, n *peerpb.Next) {
	if t := c.tickets[n.Id]; t != nil && t.domain == domain && !slices.Contains(c.next, n.Id) {
		t.avoid = n.Avoid
		c.next = append(c.next, n.Id)
	}
}

func (c *Client) giveBack(id uint64, domain, upstream string, o Outcome) {
	c.sendDone(domain, &peerpb.PermitDone{Id: id, Upstream: upstream, Result: uint32(o.Result)})
}

func (c *Client) sendDone(domain string, d *peerpb.PermitDone) {
	c.send(domain, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Done{Done: d}})
}

func (c *Client) send(domain string, m *peerpb.PlacementMessage) {
	to := c.brokers[domain]
	if to == "" {
		return
	}
	m.Pool, m.FailureDomain = c.local.pool.Name, domain
	c.touched[domain] = true
	c.out = append(c.out, Send{to, m})
}

// Receive handles the answer of a broker.
func (c *Client) Receive(now time.Time, from peer.InstanceID, m *peerpb.PlacementMessage) {
	if _, ok := c.down[from]; ok {
		delete(c.down, from)
		c.report(m.FailureDomain) // permits taken without the broker
	}
	switch body := m.Body.(type) {
	case *peerpb.PlacementMessage_Grant:
		c.granted(now, m.FailureDomain, body.Grant)
	case *peerpb.PlacementMessage_Refuse:
		if t := c.tickets[body.Refuse.Id]; t != nil && t.domain == m.FailureDomain {
			c.decide(Decision{ID: body.Refuse.Id, Err: refused(body.Refuse.Reason, time.Duration(body.Refuse.RetryAfterUs)*time.Microsecond)})
		}
	case *peerpb.PlacementMessage_Next:
		c.mayStart(m.FailureDomain, body.Next)
	case *peerpb.PlacementMessage_Redirect:
		c.redirected(now, m.FailureDomain, body.Redirect)
	case *peerpb.PlacementMessage_Queued:
		if t := c.tickets[body.Queued.Id]; t != nil && t.domain == m.FailureDomain {
			t.queued = true
		}
	}
}

func (c *Client) granted(now time.Time, domain string, g *peerpb.Grant) {
	if h, ok := c.held[g.Id]; ok && h.domain == domain {
		return // a repeated grant, or one that crossed the start on another slot
	}
	t, s := c.tickets[g.Id], c.local.byID[g.Upstream]
	if t == nil || t.domain != domain || s == nil || t.late(now) {
		// The request has gone elsewhere, its deadline has passed, or the upstream was taken out.
		c.giveBack(g.Id, domain, g.Upstream, Outcome{Result: Canceled})
		switch {
		case t == nil || t.domain != domain:
		case t.late(now):
			c.decide(Decision{ID: g.Id, Err: refused("the deadline has passed", 0)})
		default:
			c.renew(now, g.Id, t, g.Upstream)
		}
		return
	}
	c.take(g.Id, s, domain)
}

// maxRenewals bounds the grants of unknown upstreams that a request gives back.
const maxRenewals = 3

// renew asks again under a new ID, because the grant under the old one was given back.
func (c *Client) renew(now time.Time, id uint64, t *ticket, upstream string) {
	if t.renewed >= maxRenewals {
		c.decide(Decision{ID: id, Err: refused("the granted upstreams are not in the pool", 0)})
		return
	}
	delete(c.tickets, id)
	c.lastID++
	t.renewed++
	t.request.Exclude = append(slices.Clone(t.request.Exclude), upstream)
	c.tickets[c.lastID] = t
	c.ask(now, c.lastID, t)
}

func (c *Client) take(id uint64, s *slot, domain string) {
	c.local.begin(s)
	c.held[id] = held{s, s.up, domain}
	c.decide(Decision{ID: id, Permit: id, Upstream: s.up})
}

func (t *ticket) late(now time.Time) bool {
	return !t.request.Deadline.IsZero() && !now.Before(t.request.Deadline)
}

func (c *Client) redirected(now time.Time, domain string, r *peerpb.Redirect) {
	t := c.tickets[r.Id]
	if t == nil || t.domain != domain {
		return
	}
	if t.request.CanRelay && !t.settled {
		c.relay(r.Id, r.FailureDomain)
		return
	}
	t.domain, t.settled, t.queued = r.FailureDomain, true, false
	c.ask(now, r.Id, t)
}

// relay decides to pass the request to a random instance of the failure domain.
func (c *Client) relay(id uint64, domain string) {
	start := offset(c.rnd, len(c.instances))
	for k := range c.instances {
		if i := c.instances[(start+k)%len(c.instances)]; i.FailureDomain == domain && i.ID != c.settings.Self.ID {
			c.decide(Decision{ID: id, Relay: i.ID})
			return
		}
	}
	c.decide(Decision{ID: id, Err: refused("no instance in the failure domain", 0)})
}

// decide answers the ticket whose ID on the wire is d.ID.
func (c *Client) decide(d Decision) {
	if t := c.tickets[d.ID]; t != nil {
		delete(c.tickets, d.ID)
		d.ID = t.id
	}
	c.decisions = append(c.decisions, d)
}

// Failed notes that messages to the instance were not delivered.
func (c *Client) Failed(now time.Time, to peer.InstanceID) {
	for domain, broker := range c.brokers {
		if broker == to {
			c.abandon(now, domain, broker)
		}
	}
}

// abandon stops asking the broker for a while and places its requests locally.
func (c *Client) abandon(now time.Time, domain string, broker peer.InstanceID) {
	c.down[broker] = now.Add(fallbackTime)
	for _, id := range c.pending(domain) {
		c.fallback(now, id, c.tickets[id])
	}
}

// pending returns the IDs that wait for the failure domain's broker, in order.
func (c *Client) pending(domain string) []uint64 {
	var ids []uint64
	for id, t := range c.tickets {
		if t.domain == domain {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Tick falls back for requests without an answer, repeats lost messages and
// sends the regular reports; it is called every millisecond or so while requests wait.
func (c *Client) Tick(now time.Time) {
	ids := make([]uint64, 0, len(c.tickets))
	for id := range c.tickets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if t := c.tickets[id]; t != nil {
			c.check(now, id, t)
		}
	}
	if now.Sub(c.reported) >= reportInterval {
		c.reported = now
		for _, domain := range slices.Sorted(maps.Keys(c.touched)) {
			c.report(domain)
		}
	}
}

func (c *Client) check(now time.Time, id uint64, t *ticket) {
	age := now.Sub(t.sent)
	switch {
	case t.late(now):
		c.withdraw(id, t)
		c.decisions = append(c.decisions, Decision{ID: t.id, Err: refused("the deadline has passed", 0)})
	case !t.queued && age >= c.timeout(t.domain):
		c.abandon(now, t.domain, c.brokers[t.domain])
	case age >= repeatInterval:
		c.ask(now, id, t)
	}
}

// timeout returns the time in which a broker must react.
func (c *Client) timeout(domain string) time.Duration {
	d := c.settings.BrokerTimeout
	if domain == c.settings.Self.FailureDomain {
		return d
	}
	for _, i := range c.instances {
		if i.FailureDomain == domain && i.Region == c.settings.Self.Region {
			return d + 2*nearLink
		}
	}
	return 2*d + 2*farLink
}

// report sends everything that this entry holds at, or wants from, the broker.
func (c *Client) report(domain string) {
	r := &peerpb.PermitReport{Through: c.lastID, Pending: c.pending(domain)}
	for id, h := range c.held {
		if h.domain == domain {
			r.Held = append(r.Held, &peerpb.Grant{Id: id, Upstream: h.up.ID})
		}
	}
	slices.SortFunc(r.Held, func(a, b *peerpb.Grant) int { return cmp.Compare(a.Id, b.Id) })
	c.send(domain, &peerpb.PlacementMessage{Body: &peerpb.PlacementMessage_Report{Report: r}})
	if len(r.Held)+len(r.Pending) == 0 {
		delete(c.touched, domain)
	}
}

// Idle reports whether nothing runs, nobody waits and no report is due.
func (c *Client) Idle() bool { return len(c.tickets)+len(c.held)+len(c.touched) == 0 }

// fallback chooses the upstream with the fewest own requests among those with a
// free part of this entry's static share, in the own failure domain first.
func (c *Client) fallback(now time.Time, id uint64, t *ticket) {
	if t.late(now) {
		c.decide(Decision{ID: id, Err: refused("the deadline has passed", 0)})
		return
	}
	for near := range 3 {
		var from []*index
		for _, x := range c.local.permitted(&t.request) {
			if c.distance(x) == near {
				from = append(from, x)
			}
		}
		s := chooseLeast(c.local, from, func(s *slot) bool {
			return !slices.Contains(t.request.Exclude, s.up.ID) && s.inUse < c.share(now, s)
		}, now)
		if s != nil {
			c.takeAlone(id, t, s)
			return
		}
	}
	c.decide(Decision{ID: id, Err: refusal(&Refusal{
		Reason: "the broker does not answer and the static share is used up", RetryAfter: fallbackTime, NoBroker: true,
	})})
}

// takeAlone starts the request without a broker, under a new ID: the broker may
// still grant the old one.
func (c *Client) takeAlone(id uint64, t *ticket, s *slot) {
	if t.domain != "" {
		c.giveBack(id, t.domain, "", Outcome{Result: Canceled})
	}
	delete(c.tickets, id)
	c.lastID++
	c.tickets[c.lastID] = t
	c.take(c.lastID, s, s.up.FailureDomain)
	c.touched[s.up.FailureDomain] = true
}

// distance is 0 for the own failure domain, 1 for the own region and 2 for others.
func (c *Client) distance(x *index) int {
	switch {
	case x.domain == c.settings.Self.FailureDomain:
		return 0
	case x.region == c.settings.Self.Region:
		return 1
	}
	return 2
}

// share is the number of requests that this entry may send to the upstream
// without a broker: its part among the entries of the upstream's failure domain,
// or of all entries for other failure domains, and at least one.
func (c *Client) share(now time.Time, s *slot) int {
	limit := limitOf(c.settings.Limits, s.up.ID, c.local.pool.Slots, now)
	if limit == 0 {
		return 0
	}
	entries := 0
	for _, i := range c.instances {
		if s.up.FailureDomain != c.settings.Self.FailureDomain || i.FailureDomain == s.up.FailureDomain {
			entries++
		}
	}
	return max(1, limit/max(1, entries))
}
