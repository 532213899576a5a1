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
	// Self is this instance and its location.
	Self Instance
	// Limits returns the limit of each upstream for placement without a broker; nil
	// means the pool's number of slots.
	Limits Limits
	// BrokerTimeout is the time within which the broker of the client's own failure
	// domain must respond. For other brokers the round trip is added.
	BrokerTimeout time.Duration
	// Seed initializes the random number generators.
	Seed uint64
}

const (
	// DefaultBrokerTimeout covers many round trips within a failure domain.
	DefaultBrokerTimeout = 5 * time.Millisecond
	// brokerBackoff is how long a broker that did not respond is not asked again.
	brokerBackoff = 100 * time.Millisecond
	// reportInterval is the time between full reports of the running permits. The
	// reports correct the broker's state after lost messages.
	reportInterval = time.Second
	// repeatInterval is the time after which an Acquire message without a decision is sent again.
	repeatInterval = 100 * time.Millisecond
)

// Decision is the result of one Client.Acquire call.
type Decision struct {
	// ID is the ID that Acquire returned.
	ID uint64
	// Permit is the ID to pass to Done.
	Permit   uint64
	Upstream table.Upstream
	// Relay is the instance to which the request is relayed, or empty.
	Relay peer.InstanceID
	// Err is set if the request is refused.
	Err error
}

// pendingRequest is a request that waits for a decision.
type pendingRequest struct {
	began      time.Time // when the request arrived at its first entry
	id         uint64    // returned by Acquire; the ID on the wire changes when the slot is requested again
	reacquires int
	request    Request
	domain     string // failure domain whose broker was asked
	sent       time.Time
	queued     bool     // the broker has acknowledged the request
	settled    bool     // relayed or redirected before; sent to the broker as Settled
	avoid      []string // upstreams on which Next does not allow a start
}

// heldPermit is a permit that this entry holds.
type heldPermit struct {
	upstream *upstreamState
	up       table.Upstream
	domain   string
}

// Client requests permits for one pool from the slot brokers on behalf of an entry.
// Like Broker it is a deterministic state machine and not safe for concurrent use.
type Client struct {
	settings   ClientSettings
	local      *localPool
	rnd        *rand.Rand
	instances  []Instance
	brokers    map[string]peer.InstanceID // by failure domain
	lastID     uint64
	requests   map[uint64]*pendingRequest
	held       map[uint64]heldPermit
	startable  []uint64        // requests that may start on a freed slot, oldest first
	reportDue  map[string]bool // failure domains whose brokers must get a report
	avoidUntil map[peer.InstanceID]time.Time
	lastReport time.Time
	outbox     []OutgoingMessage
	decisions  []Decision
}

// NewClient returns a client without a pool and instances; see SetPool and SetInstances.
func NewClient(s ClientSettings) *Client {
	return &Client{
		settings:   s,
		local:      newLocalPool(table.Pool{}, s.Seed),
		rnd:        rand.New(rand.NewPCG(s.Seed, 2)),
		brokers:    map[string]peer.InstanceID{},
		requests:   map[uint64]*pendingRequest{},
		held:       map[uint64]heldPermit{},
		reportDue:  map[string]bool{},
		avoidUntil: map[peer.InstanceID]time.Time{},
	}
}

// Take returns the outgoing messages and the decisions since the last call.
func (c *Client) Take() ([]OutgoingMessage, []Decision) {
	out, decisions := c.outbox, c.decisions
	c.outbox, c.decisions = nil, nil
	return out, decisions
}

// SetPool applies an edited pool row.
func (c *Client) SetPool(p table.Pool) { c.local.set(p) }

// SetInstances updates the live instances. A new broker gets a report of the running
// permits and the requests that wait for a decision.
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
		if domain == c.settings.Self.FailureDomain || c.reportDue[domain] {
			c.report(domain)
		}
		for _, id := range c.pending(domain) {
			c.sendAcquire(now, id, c.requests[id])
		}
	}
}

// domains returns the failure domains with live instances or a known broker.
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

// Acquire requests an upstream and returns the ID of the decision that Take will return.
func (c *Client) Acquire(now time.Time, r Request) uint64 {
	c.lastID++
	id := c.lastID
	t := &pendingRequest{id: id, began: now.Add(-r.Age), request: r, settled: r.Relayed}
	c.requests[id] = t
	region, domain := c.targetDomain(&r)
	switch {
	case domain == "":
		c.decide(Decision{ID: id, Err: newRefusal("no instance in a permitted region", 0)})
	case region != c.settings.Self.Region && r.CanRelay && !r.Relayed:
		c.relay(id, domain)
	default:
		t.domain = domain
		c.sendAcquire(now, id, t)
	}
	return id
}

// targetDomain returns the client's own failure domain if its region is permitted,
// otherwise one in a permitted region.
func (c *Client) targetDomain(r *Request) (region, domain string) {
	self := c.settings.Self
	if len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, self.Region) {
		return self.Region, self.FailureDomain
	}
	start := randomOffset(c.rnd, len(c.instances))
	for k := range c.instances {
		if i := c.instances[(start+k)%len(c.instances)]; slices.Contains(r.HomeRegions, i.Region) {
			return i.Region, i.FailureDomain
		}
	}
	return "", ""
}

// sendAcquire sends the request to the broker of its failure domain, or places it
// locally if the broker is unavailable.
func (c *Client) sendAcquire(now time.Time, id uint64, t *pendingRequest) {
	broker := c.brokers[t.domain]
	if broker == "" || now.Before(c.avoidUntil[broker]) {
		c.placeLocally(now, id, t)
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

// Cancel withdraws a request that its caller has abandoned.
func (c *Client) Cancel(id uint64) {
	for wire, t := range c.requests {
		if t.id == id {
			c.withdraw(wire, t)
			return
		}
	}
}

func (c *Client) withdraw(wire uint64, t *pendingRequest) {
	delete(c.requests, wire)
	c.returnPermit(wire, t.domain, "", Outcome{Result: Canceled})
}

// Done returns a permit with the outcome of the attempt.
func (c *Client) Done(now time.Time, id uint64, o Outcome) {
	h, ok := c.held[id]
	if !ok {
		return
	}
	delete(c.held, id)
	c.local.end(h.upstream, now, o.Load)
	started := uint64(0)
	if o.Result == Answered {
		started = c.startNext(now, h)
	}
	c.sendDone(h.domain, &peerpb.PermitDone{Id: id, Upstream: h.up.ID, Result: uint32(o.Result),
		LatencyUs: uint64(o.Latency.Microseconds()), Started: started})
}

// startNext starts a waiting request on the slot of a permit that has ended. It
// returns the ID of the request, or zero if there is none.
func (c *Client) startNext(now time.Time, h heldPermit) uint64 {
	for i, id := range c.startable {
		t := c.requests[id]
		if t == nil || t.domain != h.domain || t.expired(now) || c.local.byID[h.up.ID] != h.upstream ||
			slices.Contains(t.request.Exclude, h.up.ID) || slices.Contains(t.avoid, h.up.ID) {
			continue
		}
		c.startable = slices.Delete(c.startable, i, i+1)
		c.assign(id, h.upstream, h.domain)
		return id
	}
	c.startable = slices.DeleteFunc(c.startable, func(id uint64) bool { return c.requests[id] == nil })
	return 0
}

func (c *Client) allowStart(domain string, n *peerpb.Next) {
	if t := c.requests[n.Id]; t != nil && t.domain == domain && !slices.Contains(c.startable, n.Id) {
		t.avoid = n.Avoid
		c.startable = append(c.startable, n.Id)
	}
}

func (c *Client) returnPermit(id uint64, domain, upstream string, o Outcome) {
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
	c.reportDue[domain] = true
	c.outbox = append(c.outbox, OutgoingMessage{to, m})
}

// Receive handles a message from a broker.
func (c *Client) Receive(now time.Time, from peer.InstanceID, m *peerpb.PlacementMessage) {
	if _, ok := c.avoidUntil[from]; ok {
		delete(c.avoidUntil, from)
		c.report(m.FailureDomain) // includes permits taken without the broker
	}
	switch body := m.Body.(type) {
	case *peerpb.PlacementMessage_Grant:
		c.granted(now, m.FailureDomain, body.Grant)
	case *peerpb.PlacementMessage_Refuse:
		if t := c.requests[body.Refuse.Id]; t != nil && t.domain == m.FailureDomain {
			c.decide(Decision{ID: body.Refuse.Id, Err: newRefusal(body.Refuse.Reason, time.Duration(body.Refuse.RetryAfterUs)*time.Microsecond)})
		}
	case *peerpb.PlacementMessage_Next:
		c.allowStart(m.FailureDomain, body.Next)
	case *peerpb.PlacementMessage_Redirect:
		c.redirected(now, m.FailureDomain, body.Redirect)
	case *peerpb.PlacementMessage_Queued:
		if t := c.requests[body.Queued.Id]; t != nil && t.domain == m.FailureDomain {
			t.queued = true
		}
	}
}

func (c *Client) granted(now time.Time, domain string, g *peerpb.Grant) {
	if h, ok := c.held[g.Id]; ok && h.domain == domain {
		return // a repeated grant, or one sent while the request was started on another slot
	}
	t, s := c.requests[g.Id], c.local.byID[g.Upstream]
	if t == nil || t.domain != domain || s == nil || t.expired(now) {
		// The request was decided or sent to another broker, its deadline has passed, or
		// the upstream was removed.
		c.returnPermit(g.Id, domain, g.Upstream, Outcome{Result: Canceled})
		switch {
		case t == nil || t.domain != domain:
		case t.expired(now):
			c.decide(Decision{ID: g.Id, Err: newRefusal("the deadline has passed", 0)})
		default:
			c.reacquire(now, g.Id, t, g.Upstream)
		}
		return
	}
	c.assign(g.Id, s, domain)
}

// maxReacquires bounds the number of grants of unknown upstreams that a request returns.
const maxReacquires = 3

// reacquire requests a slot under a new ID after the grant under the old ID was returned.
func (c *Client) reacquire(now time.Time, id uint64, t *pendingRequest, upstream string) {
	if t.reacquires >= maxReacquires {
		c.decide(Decision{ID: id, Err: newRefusal("the granted upstreams are not in the pool", 0)})
		return
	}
	delete(c.requests, id)
	c.lastID++
	t.reacquires++
	t.request.Exclude = append(slices.Clone(t.request.Exclude), upstream)
	c.requests[c.lastID] = t
	c.sendAcquire(now, c.lastID, t)
}

func (c *Client) assign(id uint64, s *upstreamState, domain string) {
	c.local.begin(s)
	c.held[id] = heldPermit{s, s.up, domain}
	c.decide(Decision{ID: id, Permit: id, Upstream: s.up})
}

func (t *pendingRequest) expired(now time.Time) bool {
	return !t.request.Deadline.IsZero() && !now.Before(t.request.Deadline)
}

func (c *Client) redirected(now time.Time, domain string, r *peerpb.Redirect) {
	t := c.requests[r.Id]
	if t == nil || t.domain != domain {
		return
	}
	if t.request.CanRelay && !t.settled {
		c.relay(r.Id, r.FailureDomain)
		return
	}
	t.domain, t.settled, t.queued = r.FailureDomain, true, false
	c.sendAcquire(now, r.Id, t)
}

// relay decides to relay the request to a random instance of the failure domain.
func (c *Client) relay(id uint64, domain string) {
	start := randomOffset(c.rnd, len(c.instances))
	for k := range c.instances {
		if i := c.instances[(start+k)%len(c.instances)]; i.FailureDomain == domain && i.ID != c.settings.Self.ID {
			c.decide(Decision{ID: id, Relay: i.ID})
			return
		}
	}
	c.decide(Decision{ID: id, Err: newRefusal("no instance in the failure domain", 0)})
}

// decide completes the request whose ID on the wire is d.ID.
func (c *Client) decide(d Decision) {
	if t := c.requests[d.ID]; t != nil {
		delete(c.requests, d.ID)
		d.ID = t.id
	}
	c.decisions = append(c.decisions, d)
}

// Failed handles the failure to deliver messages to an instance.
func (c *Client) Failed(now time.Time, to peer.InstanceID) {
	for domain, broker := range c.brokers {
		if broker == to {
			c.avoidBroker(now, domain, broker)
		}
	}
}

// avoidBroker stops using the broker for brokerBackoff and places its pending
// requests locally.
func (c *Client) avoidBroker(now time.Time, domain string, broker peer.InstanceID) {
	c.avoidUntil[broker] = now.Add(brokerBackoff)
	for _, id := range c.pending(domain) {
		c.placeLocally(now, id, c.requests[id])
	}
}

// pending returns the sorted IDs of the requests that wait for the broker of the
// failure domain.
func (c *Client) pending(domain string) []uint64 {
	var ids []uint64
	for id, t := range c.requests {
		if t.domain == domain {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Tick places requests locally whose broker does not respond, repeats Acquire
// messages and sends periodic reports. It is called every few milliseconds unless
// the client is idle.
func (c *Client) Tick(now time.Time) {
	ids := make([]uint64, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if t := c.requests[id]; t != nil {
			c.checkTimeouts(now, id, t)
		}
	}
	if now.Sub(c.lastReport) >= reportInterval {
		c.lastReport = now
		for _, domain := range slices.Sorted(maps.Keys(c.reportDue)) {
			c.report(domain)
		}
	}
}

func (c *Client) checkTimeouts(now time.Time, id uint64, t *pendingRequest) {
	age := now.Sub(t.sent)
	switch {
	case t.expired(now):
		c.withdraw(id, t)
		c.decisions = append(c.decisions, Decision{ID: t.id, Err: newRefusal("the deadline has passed", 0)})
	case !t.queued && age >= c.timeout(t.domain):
		c.avoidBroker(now, t.domain, c.brokers[t.domain])
	case age >= repeatInterval:
		c.sendAcquire(now, id, t)
	}
}

// timeout returns the time within which the broker of the failure domain must respond.
func (c *Client) timeout(domain string) time.Duration {
	d := c.settings.BrokerTimeout
	if domain == c.settings.Self.FailureDomain {
		return d
	}
	for _, i := range c.instances {
		if i.FailureDomain == domain && i.Region == c.settings.Self.Region {
			return d + 2*intraRegionLatency
		}
	}
	return 2*d + 2*interRegionLatency
}

// report sends the broker all permits that this entry holds and all pending requests.
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
		delete(c.reportDue, domain)
	}
}

// Idle reports whether there are no permits, no pending requests and no reports due.
func (c *Client) Idle() bool { return len(c.requests)+len(c.held)+len(c.reportDue) == 0 }

// placeLocally places a request without a broker. It selects the upstream with the
// fewest requests from this entry among those whose static share is not exhausted,
// preferring the entry's own failure domain, then its region.
func (c *Client) placeLocally(now time.Time, id uint64, t *pendingRequest) {
	if t.expired(now) {
		c.decide(Decision{ID: id, Err: newRefusal("the deadline has passed", 0)})
		return
	}
	for distance := range 3 {
		var from []*loadIndex
		for _, x := range c.local.permitted(&t.request) {
			if c.distance(x) == distance {
				from = append(from, x)
			}
		}
		s := chooseLeastInFlight(c.local, from, func(s *upstreamState) bool {
			return !slices.Contains(t.request.Exclude, s.up.ID) && s.inUse < c.staticShare(now, s)
		}, now)
		if s != nil {
			c.assignLocally(id, t, s)
			return
		}
	}
	c.decide(Decision{ID: id, Err: refusalFault(&Refusal{
		Reason: "the broker does not answer and the static share is used up", RetryAfter: brokerBackoff, NoBroker: true,
	})})
}

// assignLocally starts the request without a broker under a new ID, because the
// broker may still grant the old one.
func (c *Client) assignLocally(id uint64, t *pendingRequest, s *upstreamState) {
	if t.domain != "" {
		c.returnPermit(id, t.domain, "", Outcome{Result: Canceled})
	}
	delete(c.requests, id)
	c.lastID++
	c.requests[c.lastID] = t
	c.assign(c.lastID, s, s.up.FailureDomain)
	c.reportDue[s.up.FailureDomain] = true
}

// distance returns 0 for the entry's own failure domain, 1 for another one in its
// region and 2 for other regions.
func (c *Client) distance(x *loadIndex) int {
	switch {
	case x.domain == c.settings.Self.FailureDomain:
		return 0
	case x.region == c.settings.Self.Region:
		return 1
	}
	return 2
}

// staticShare is the number of requests that this entry may send to the upstream
// without a broker. The limit is divided by the number of entries in the upstream's
// failure domain if it is this entry's own, otherwise by the number of all entries;
// the share is at least one unless the limit is zero.
func (c *Client) staticShare(now time.Time, s *upstreamState) int {
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
