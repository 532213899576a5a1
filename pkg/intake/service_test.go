package intake

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
)

var histories = flag.Int("histories", 60, "number of random histories that are played")

const (
	leaseTime = 5 * time.Second
	// The platform's rule: an upstream gets at most excess times its limit, and slack requests, in a window, from
	// instances that have known the limit for knownTime.
	window    = 4 * time.Second
	excess    = 1.5
	slack     = 5
	knownTime = 500 * time.Millisecond
	// settleTime is how long after the first statement, or after a change, the rule holds.
	settleTime = 3 * time.Second
)

// world is a region store with leased keys, upstreams that limit their requests, and instances that send to them.
type world struct {
	mu        sync.Mutex // guards what calls in flight use: roles, statements of upstreams and their counts
	random    *rand.Rand
	net       *peertest.Network
	nodes     []*node
	keys      map[string]*regionKey
	upstreams []*limitedUpstream
}

type regionKey struct {
	holder peer.InstanceID
	ends   time.Time
}

// node is an instance; roles follow the lease of the key of its region.
type node struct {
	w           *world
	id          peer.InstanceID
	region      string
	index       int
	service     *Service
	from, until time.Time // when it may grant
	cutOff      bool      // from the store
	frozen      bool
	known       map[string]peer.InstanceID // granters by region, as the store last told
	told        map[*limitedUpstream]time.Time
}

func (n *node) Granter(region string) (peer.InstanceID, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	id, ok := n.known[region]
	return id, ok
}

func (n *node) MayGrant(now time.Time) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return !now.Before(n.from) && now.Before(n.until)
}

type limitedUpstream struct {
	id, region string
	perSecond  float64
	changedAt  time.Time
	arrivals   []time.Time // from instances that knew the limit
	first      time.Time
}

func (w *world) join(i int, incarnation string, regions []string) *node {
	id := peer.InstanceID(fmt.Sprintf("e%d/%s", i, incarnation))
	n := &node{w: w, id: id, index: i, region: regions[i%len(regions)], known: map[string]peer.InstanceID{}, told: map[*limitedUpstream]time.Time{}}
	n.service = NewService(w.net.Join(id, fmt.Sprintf("10.0.0.%d:1", i)), n, logr.Discard())
	return n
}

// contactStore renews or takes the key of the region and learns the holders of the others.
func (n *node) contactStore(now time.Time) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.cutOff || n.frozen {
		return
	}
	key := n.w.keys[n.region]
	switch {
	case key.holder == n.id && now.Before(key.ends):
		key.ends, n.until = now.Add(leaseTime), now.Add(leaseTime)
	case !now.Before(key.ends):
		key.holder, key.ends = n.id, now.Add(leaseTime)
		n.from, n.until = now.Add(leaseTime), now.Add(leaseTime)
	default:
		n.from, n.until = time.Time{}, time.Time{}
	}
	for region, k := range n.w.keys {
		n.known[region] = k.holder
	}
}

// send sends a request to an upstream if it may, and hears its statement.
func (n *node) send(u *limitedUpstream) {
	if !n.service.Acquire(context.Background(), u.id, u.region) {
		return
	}
	if statement, ok := n.receive(u, time.Now()); ok {
		n.service.Hear(u.id, u.region, statement)
	}
}

// receive counts a request of the instance that arrives at an upstream and returns what the upstream states.
func (n *node) receive(u *limitedUpstream, now time.Time) (Statement, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.frozen {
		return Statement{}, false
	}
	if told, ok := n.told[u]; ok && now.Sub(told) > knownTime {
		u.arrivals = append(u.arrivals, now)
	}
	if _, ok := n.told[u]; !ok {
		n.told[u] = now
	}
	if u.first.IsZero() {
		u.first = now
	}
	return Statement{PerSecond: u.perSecond, HeardAt: now}, true
}

// most returns the largest number of requests in a window, as a share of what is allowed.
func (u *limitedUpstream) most() (share float64, count int) {
	from := u.first.Add(settleTime)
	if c := u.changedAt.Add(settleTime); c.After(from) {
		from = c
	}
	for i, first := range u.arrivals {
		if first.Before(from) {
			continue
		}
		end := i
		for end < len(u.arrivals) && u.arrivals[end].Sub(first) < window {
			end++
		}
		if s := float64(end-i) / (excess*u.perSecond*window.Seconds() + slack); s > share {
			share, count = s, end-i
		}
	}
	return share, count
}

// playHistory plays a random history and returns the largest share of what the rule allows that an upstream got.
func playHistory(seed uint64) (share float64, served int) {
	random := rand.New(rand.NewPCG(seed, 28))
	w := &world{random: random, net: peertest.New(seed), keys: map[string]*regionKey{}}
	regions := []string{"north", "central", "south"}
	w.net.SetFaults(peertest.Faults{Jitter: 12 * time.Millisecond})
	for _, r := range regions {
		w.keys[r] = &regionKey{}
	}
	for i := range 3 {
		limits := []float64{0, 0.3, 1, 1.6, 4, 15}
		w.upstreams = append(w.upstreams, &limitedUpstream{id: fmt.Sprintf("u%d", i), region: regions[i], perSecond: limits[random.IntN(len(limits))]})
	}
	size := 6 + random.IntN(25)
	for i := range size {
		w.nodes = append(w.nodes, w.join(i, "a", regions))
	}
	begin := time.Now()
	const length, step = 40 * time.Second, 20 * time.Millisecond
	for now := begin; now.Before(begin.Add(length)); now = time.Now() {
		elapsed := now.Sub(begin)
		if elapsed%(1500*time.Millisecond) < step {
			for _, i := range random.Perm(len(w.nodes)) {
				w.nodes[i].contactStore(now)
			}
		}
		if random.IntN(60) == 0 {
			w.disturb(now, regions)
		}
		var done []chan struct{}
		for _, n := range w.nodes {
			if !n.frozen && elapsed > leaseTime && random.IntN(3) == 0 {
				ch := make(chan struct{})
				done = append(done, ch)
				u := w.upstreams[random.IntN(len(w.upstreams))]
				go func() { n.send(u); close(ch) }()
				synctest.Wait()
			}
		}
		time.Sleep(step)
		for _, ch := range done {
			<-ch
		}
	}
	for _, n := range w.nodes {
		w.net.Resume(n.id)
	}
	time.Sleep(time.Minute) // calls end
	for _, u := range w.upstreams {
		slices.SortFunc(u.arrivals, time.Time.Compare)
		s, _ := u.most()
		share, served = max(share, s), served+len(u.arrivals)
	}
	return share, served
}

// disturb does one random thing to the instances, the network, the store or an upstream.
func (w *world) disturb(now time.Time, regions []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.random.IntN(len(w.nodes))
	n := w.nodes[i]
	switch w.random.IntN(8) {
	case 0: // dies and starts again
		w.net.Resume(n.id)
		w.net.Crash(n.id)
		w.nodes[i] = w.join(n.index, fmt.Sprintf("r%d", now.UnixNano()), regions)
	case 1:
		n.frozen = !n.frozen
		if n.frozen {
			w.net.Pause(n.id)
		} else {
			w.net.Resume(n.id)
		}
	case 2:
		n.cutOff = !n.cutOff
	case 3: // a region is parted from the others
		region := regions[w.random.IntN(len(regions))]
		inRegion := map[peer.InstanceID]bool{}
		for _, m := range w.nodes {
			inRegion[m.id] = m.region == region
		}
		w.net.SetPartition(func(a, b peer.InstanceID) bool { return inRegion[a] != inRegion[b] })
	case 4:
		w.net.Heal()
	case 5: // the store takes a key away, and its holder does not learn of it
		key := w.keys[n.region]
		key.ends = now
		for _, m := range w.nodes {
			if m.id == key.holder {
				m.cutOff = true
			}
		}
	case 6: // joins
		w.nodes = append(w.nodes, w.join(len(w.nodes), "a", regions))
	case 7:
		u := w.upstreams[w.random.IntN(len(w.upstreams))]
		u.perSecond, u.changedAt = []float64{0.5, 1, 3, 8}[w.random.IntN(4)], now
	}
}

// Guards against instances that together send an upstream more than the limit that it stated, through joins, deaths,
// freezes, cuts, parted regions, lost keys and changed limits.
func TestLimitHoldsThroughRandomHistories(t *testing.T) {
	worst, worstSeed, total := 0.0, 0, 0
	for seed := range *histories {
		synctest.Test(t, func(t *testing.T) {
			share, served := playHistory(uint64(seed))
			total += served
			if share > worst {
				worst, worstSeed = share, seed
			}
			if share > 1 {
				t.Errorf("seed %d: %.2f times what is allowed", seed, share)
			}
		})
	}
	t.Logf("%d histories, %d requests; most: %.2f of what is allowed (seed %d)", *histories, total, worst, worstSeed)
	if total == 0 {
		t.Error("no request was sent")
	}
}
