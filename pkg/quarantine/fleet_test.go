package quarantine

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/table"
)

var histories = flag.Int("histories", 40, "number of random histories that are played")

const (
	// contactTime is how long an instance must be undisturbed before the rule binds it.
	contactTime = 3 * time.Second
	// maxLate is how often a crashing request may reach upstreams later than contactTime after the third crash.
	maxLate = 3
	// pollTime is how often instances ask their reader; it remembers them for callerTime.
	pollTime   = 500 * time.Millisecond
	callerTime = 3 * time.Second
	// storeDelay is the time until a value in the store reaches all instances.
	storeDelay = 2 * time.Second
	// downTime is how long a crashed upstream is down.
	downTime = 5 * time.Second
	runTime  = 60 * time.Millisecond
)

// day is a fleet whose instances know readers only, upstreams, and requests some of which crash the upstreams.
type day struct {
	mu        sync.Mutex
	random    *rand.Rand
	net       *peertest.Network
	nodes     []*fleetNode
	readers   map[string]*fleetNode
	isParted  bool
	parted    func(a, b *fleetNode) bool
	upstreams []*fleetUpstream
	stored    map[Fingerprint]time.Time
	storeAway bool
	started   int
	transport func(*peertest.Node) peer.Transport // wraps the transport of an instance, if set

	held []func() // sends the requests that wait for a verdict

	crashes  map[string][]time.Time
	late     map[string]int
	refused  []string // harmless requests
	harmless int
}

type fleetNode struct {
	id        peer.InstanceID
	region    string
	index     int
	service   *Service
	stop      chan struct{}
	callers   map[peer.InstanceID]time.Time
	appeared  chan struct{}
	frozen    bool
	calmSince time.Time
}

type fleetUpstream struct {
	id      string
	zone    string
	downTo  time.Time
	restart int
	running []*fleetRun
}

type fleetRun struct {
	node  *fleetNode
	name  string
	began time.Time
	lost  bool
}

func fleetSettings() Settings {
	s := settings()
	s.CutWindow, s.Together, s.MinLosses, s.Confine, s.RestartTime = 0, 0, 3, 2, table.Duration(time.Second)
	return s
}

func (d *day) join(t *testing.T, index int, regions []string) *fleetNode {
	d.started++
	n := &fleetNode{
		id: peer.InstanceID(fmt.Sprintf("e%d/%d", index, d.started)), region: regions[index%len(regions)], index: index,
		callers: map[peer.InstanceID]time.Time{}, appeared: make(chan struct{}, 1), stop: make(chan struct{}), calmSince: time.Now(),
	}
	node := d.net.Join(n.id, fmt.Sprintf("10.0.0.%d:1", index))
	var transport peer.Transport = node
	if d.transport != nil {
		transport = d.transport(node)
	}
	s, err := NewService(Config{
		Transport: transport, InstancesIn: func([]string) []peer.InstanceID { return d.contacts(n) },
		Forward: true, Appeared: n.appeared, Settings: fleetSettings(), Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	n.service = s
	if !d.storeAway { // an instance that starts has listed the store
		s.AddRefusals(time.Now(), d.stored)
	}
	return n
}

// contacts returns the readers and those that asked this instance lately.
func (d *day) contacts(n *fleetNode) (ids []peer.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range n.callers {
		if time.Since(at) <= callerTime {
			ids = append(ids, id)
		}
	}
	for _, r := range d.readers {
		if r != n && !slices.Contains(ids, r.id) {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// poll lets each instance ask a reader that it reaches, of its own region if there is one.
func (d *day) poll(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		var asked *fleetNode
		for _, r := range d.readers {
			if r != n && !r.frozen && !n.frozen && !d.parted(n, r) && (asked == nil || r.region == n.region) {
				asked = r
			}
		}
		if asked == nil || d.readers[n.region] == n {
			continue
		}
		if at, known := asked.callers[n.id]; !known || now.Sub(at) > callerTime {
			select {
			case asked.appeared <- struct{}{}:
			default:
			}
		}
		asked.callers[n.id] = now
	}
}

// keep lets readers write their refusals to the store, and all instances learn them.
func (d *day) keep(now time.Time) {
	d.mu.Lock()
	nodes, away, stored := slices.Clone(d.nodes), d.storeAway, maps.Clone(d.stored)
	d.mu.Unlock()
	if away {
		return
	}
	readers := map[*fleetNode]bool{}
	for _, r := range d.readers {
		readers[r] = true
	}
	for _, n := range nodes {
		if n.frozen || !readers[n] {
			continue
		}
		for f, until := range n.service.Refusals(now) {
			stored[f] = until
		}
	}
	d.mu.Lock()
	d.stored = stored
	d.mu.Unlock()
	time.AfterFunc(storeDelay, func() {
		for _, n := range nodes {
			n.service.AddRefusals(time.Now(), stored)
		}
	})
}

func fleetRequest(name string) Request { return Request{Path: name} }

// send sends a request from an instance, if it admits it.
func (d *day) send(n *fleetNode, name string, crashing bool) {
	now := time.Now()
	verdict := n.service.Admit(now, fleetRequest(name))
	if verdict == Hold {
		d.held = append(d.held, func() { d.send(n, name, crashing) })
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if verdict == Sample {
		verdict = Serialize
		if d.random.IntN(len(d.nodes)) > 0 {
			return
		}
	}
	if verdict == Refuse {
		if !crashing {
			d.refused = append(d.refused, name)
		}
		return
	}
	var live, all []*fleetUpstream
	var among []Upstream
	for _, u := range d.upstreams {
		all = append(all, u)
		among = append(among, Upstream{ID: u.id, FailureDomain: u.zone})
	}
	var avoided []Upstream
	if verdict == Serialize {
		avoided = n.service.Confine(fleetRequest(name), among)
	}
	for i, u := range all {
		if !now.Before(u.downTo) && !slices.Contains(avoided, among[i]) {
			live = append(live, u)
		}
	}
	if len(live) == 0 {
		return
	}
	u := live[d.random.IntN(len(live))]
	run := &fleetRun{node: n, name: name, began: now}
	u.running = append(u.running, run)
	if crashing {
		if ends := d.crashes[name]; len(ends) >= 3 && now.Sub(ends[2]) > contactTime && now.Sub(n.calmSince) > contactTime && !(d.storeAway && d.isParted) {
			d.late[name]++
		}
	}
	time.AfterFunc(runTime/2+time.Duration(d.random.Int64N(int64(runTime))), func() { d.end(u, run, crashing) })
}

// end ends a run: with the upstream, or with a response.
func (d *day) end(u *fleetUpstream, run *fleetRun, crashing bool) {
	d.mu.Lock()
	if run.lost {
		d.mu.Unlock()
		return
	}
	if !crashing {
		u.running = slices.DeleteFunc(u.running, func(r *fleetRun) bool { return r == run })
		id := Upstream{ID: u.id, FailureDomain: u.zone}
		d.mu.Unlock()
		run.node.service.RecordOutcome(time.Now(), run.began, id, fleetRequest(run.name), Completed, nil)
		return
	}
	d.crashes[run.name] = append(d.crashes[run.name], time.Now())
	cut, id := d.lose(u)
	d.mu.Unlock()
	reportCuts(cut, id, true)
}

// lose ends an upstream, which starts again later with another ID. The caller holds mu.
func (d *day) lose(u *fleetUpstream) (cut []*fleetRun, id Upstream) {
	id = Upstream{ID: u.id, FailureDomain: u.zone}
	cut, u.running = u.running, nil
	u.restart++
	u.id, u.downTo = fmt.Sprintf("%s.%d", u.id, u.restart), time.Now().Add(downTime)
	for _, r := range cut {
		r.lost = true
	}
	return cut, id
}

// reportCuts tells the instances that their requests were cut, and whether the upstream refuses connections.
func reportCuts(cut []*fleetRun, id Upstream, gone bool) {
	for _, r := range cut {
		r.node.service.RecordOutcome(time.Now(), r.began, id, fleetRequest(r.name), Cut, nil)
	}
	if !gone {
		return
	}
	time.AfterFunc(20*time.Millisecond, func() {
		for _, r := range cut {
			r.node.service.RecordRefusedConnection(time.Now(), id)
		}
	})
}

// disturb does one random thing to the instances, the network, the store or the upstreams.
func (d *day) disturb(t *testing.T, regions []string) {
	d.mu.Lock()
	now := time.Now()
	n := d.nodes[d.random.IntN(len(d.nodes))]
	var start *fleetNode
	var cut []*fleetRun
	var id Upstream
	gone := true
	switch d.random.IntN(9) {
	case 0: // an instance restarts
		d.net.Resume(n.id)
		d.net.Crash(n.id)
		close(n.stop)
		start = d.join(t, n.index, regions)
		d.nodes[n.index] = start
		if d.readers[n.region] == n {
			d.readers[n.region] = d.nodes[(n.index+len(regions))%len(d.nodes)]
			if d.readers[n.region].region != n.region {
				d.readers[n.region] = start
			}
		}
	case 1: // an instance freezes, or wakes
		n.frozen, n.calmSince = !n.frozen, now
		if n.frozen {
			d.net.Pause(n.id)
		} else {
			d.net.Resume(n.id)
		}
	case 2: // an instance is cut off
		d.part(true, func(a, b *fleetNode) bool { return a == n || b == n }, func(m *fleetNode) bool { return m == n })
	case 3: // a region is parted from the others
		region := regions[d.random.IntN(len(regions))]
		d.part(true, func(a, b *fleetNode) bool { return (a.region == region) != (b.region == region) }, func(*fleetNode) bool { return false })
	case 4:
		d.part(false, func(a, b *fleetNode) bool { return false }, func(*fleetNode) bool { return false })
	case 5:
		d.storeAway = !d.storeAway
		for _, m := range d.nodes {
			m.calmSince = now
		}
	case 6: // all upstreams of a zone end at once
		zone := d.upstreams[d.random.IntN(len(d.upstreams))].zone
		for _, u := range d.upstreams {
			if u.zone == zone && !now.Before(u.downTo) {
				c, i := d.lose(u)
				defer reportCuts(c, i, true)
			}
		}
	case 7: // an upstream closes its connections and lives
		u := d.upstreams[d.random.IntN(len(d.upstreams))]
		cut, u.running = u.running, nil
		for _, r := range cut {
			r.lost = true
		}
		id, gone = Upstream{ID: u.id, FailureDomain: u.zone}, false
	case 8:
		d.net.SetFaults(peertest.Faults{Jitter: 12 * time.Millisecond, Loss: []float64{0, 0.05, 0.3}[d.random.IntN(3)]})
	}
	d.mu.Unlock()
	reportCuts(cut, id, gone)
	if start != nil {
		d.run(start)
	}
}

// part parts instances; those for which disturbed returns true are not bound by the rule for a while, nor are those that
// were parted before.
func (d *day) part(isParted bool, parted func(a, b *fleetNode) bool, disturbed func(*fleetNode) bool) {
	for _, m := range d.nodes {
		wasAlone := true
		for _, o := range d.nodes {
			wasAlone = wasAlone && (o == m || d.parted(m, o))
		}
		if disturbed(m) || wasAlone {
			m.calmSince = time.Now()
		}
	}
	if d.storeAway && d.isParted {
		for _, m := range d.nodes {
			m.calmSince = time.Now()
		}
	}
	d.parted, d.isParted = parted, isParted
	byID := map[peer.InstanceID]*fleetNode{}
	for _, m := range d.nodes {
		byID[m.id] = m
	}
	d.net.SetPartition(func(a, b peer.InstanceID) bool { return byID[a] != nil && byID[b] != nil && parted(byID[a], byID[b]) })
}

func (d *day) run(n *fleetNode) {
	ctx, cancel := contextUntil(n.stop)
	go func() {
		defer cancel()
		_ = n.service.Run(ctx)
	}()
}

// playDay plays a random day and returns it at its end.
func playDay(t *testing.T, seed uint64) *day {
	random := rand.New(rand.NewPCG(seed, 32))
	regions := []string{"north", "central", "south"}
	d := &day{
		random: random, net: peertest.New(seed), readers: map[string]*fleetNode{}, stored: map[Fingerprint]time.Time{},
		crashes: map[string][]time.Time{}, late: map[string]int{}, parted: func(a, b *fleetNode) bool { return false },
	}
	d.net.SetFaults(peertest.Faults{Jitter: 12 * time.Millisecond})
	for i := range 6 + random.IntN(25) {
		n := d.join(t, i, regions)
		d.nodes = append(d.nodes, n)
		if d.readers[n.region] == nil {
			d.readers[n.region] = n
		}
		d.run(n)
	}
	for i := range 10 + random.IntN(20) {
		d.upstreams = append(d.upstreams, &fleetUpstream{id: fmt.Sprintf("u%d", i), zone: fmt.Sprintf("z%d", i%4)})
	}
	crashing := 1 + random.IntN(3)
	const length, step = 40 * time.Second, 20 * time.Millisecond
	begin, count := time.Now(), 0
	for now := begin; now.Sub(begin) < length; now = time.Now() {
		elapsed := now.Sub(begin)
		if elapsed%pollTime < step {
			d.poll(now)
		}
		if elapsed%time.Second < step {
			d.keep(now)
		}
		if elapsed > 4*time.Second && random.IntN(60) == 0 {
			d.disturb(t, regions)
		}
		pick := func() *fleetNode {
			d.mu.Lock()
			defer d.mu.Unlock()
			for {
				if n := d.nodes[random.IntN(len(d.nodes))]; !n.frozen || random.IntN(50) == 0 {
					return n
				}
			}
		}
		held := d.held
		d.held = nil
		for _, send := range held {
			send()
		}
		for k := range crashing {
			if elapsed > 3*time.Second && random.IntN(3) == 0 {
				d.send(pick(), fmt.Sprintf("crash-%d", k), true)
			}
		}
		for range 3 {
			count++
			name := fmt.Sprintf("harmless-%d", count)
			if random.IntN(2) == 0 {
				name = "harmless-popular"
			}
			d.harmless++
			d.send(pick(), name, false)
		}
		time.Sleep(step)
	}
	for _, n := range d.nodes {
		d.net.Resume(n.id)
		close(n.stop)
	}
	time.Sleep(time.Minute)
	return d
}

// Guards against crashing requests that reach upstreams although three have ended under them, and against harmless ones that
// are refused, through restarts, freezes, cuts, parted regions, lost reports, an absent store and upstreams that
// end or lose connections for other reasons.
func TestFleetRefusesOnlyCrashingRequests(t *testing.T) {
	late, crashes, harmless := 0, 0, 0
	for seed := range *histories {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var d *day
			synctest.Test(t, func(t *testing.T) { d = playDay(t, uint64(seed)) })
			harmless += d.harmless
			for name, n := range d.late {
				late = max(late, n)
				if n > maxLate {
					t.Errorf("seed %d: %s reached upstreams %d times later than %s after the third crash", seed, name, n, contactTime)
				}
			}
			for _, ends := range d.crashes {
				crashes = max(crashes, len(ends))
			}
			if len(d.refused) > 0 {
				t.Errorf("seed %d: %d harmless requests were refused, the first is %s", seed, len(d.refused), d.refused[0])
			}
		})
	}
	t.Logf("%d histories, %d harmless requests; most late arrivals of a request: %d, most crashes: %d", *histories, harmless, late, crashes)
}

func contextUntil(stop <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
