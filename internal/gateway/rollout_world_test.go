package gateway

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/follow"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/rollout"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
	"github.com/turmericsail/turmericsail/platform/platformtest"
)

const (
	routeTimeout  = 2500 * time.Millisecond
	routeTarget   = time.Second
	meanWork      = 380 * time.Millisecond
	poolSlots     = 6
	leaseLength   = 5 * time.Second
	exposureShare = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
)

// fault kinds of a version.
type badness struct {
	share float64       // of the answers that are bad
	slow  bool          // eight times slower in place of failing
	after time.Duration // since the start of the upstream
	load  int           // only with so many requests at the upstream
	route string        // only on this route
}

// rolloutWorld is a store, upstreams of several versions, and instances that serve requests, all in virtual time.
type rolloutWorld struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	net    *peertest.Network
	log    logr.Logger

	values   map[string]store.Entry
	revision uint64
	silent   bool          // the store
	loseNext int           // answers of writes that are lost after taking effect
	lateNext time.Duration // how much later the next write takes effect, without an answer

	nodes     []*rolloutNode
	granters  map[string]peer.InstanceID
	freeAt    map[string]time.Time // when the key of a region is free again
	upstreams map[string]*rolloutUpstream
	tables    *table.Tables
	bad       map[string]badness // by version
	rate      float64            // requests per second, of all instances
	began     time.Time

	orderedAt, deadline time.Time
	target              string
	total, exposed      int // requests between the order and its deadline
	badAnswers          int
	fiftieth            time.Time
	lastToTarget        time.Time
	verdicts            []rollout.Status
	verdictAt           time.Time
	inFlight            map[string]int // by version
	oldAtVerdict        int
	oldAfterVerdict     int
	refused, served     int
	instances           int
	done                chan struct{}
	calls               int // of the store
}

type rolloutUpstream struct {
	table.Upstream
	start   time.Time
	running int
	noisy   bool
}

// rolloutNode is an instance; it implements rolloutSource.
type rolloutNode struct {
	w         *rolloutWorld
	id        peer.InstanceID
	node      *peertest.Node
	region    string
	adapter   *placementAdapter
	service   *rolloutService
	stop      context.CancelFunc
	ended     chan struct{}
	dead      bool
	cutOff    bool // from the store
	view      map[string]store.Entry
	rollouts  map[string]follow.Rollout
	confirmed time.Time
	toTarget  []time.Time // requests to the target version
}

func (n *rolloutNode) Rollouts() map[string]follow.Rollout {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.rollouts
}

func (n *rolloutNode) Snapshot() *control.Snapshot {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return &control.Snapshot{Tables: n.w.tables}
}

func (n *rolloutNode) Granter(region string) (peer.InstanceID, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	id, ok := n.w.granters[region]
	return id, ok
}

func (n *rolloutNode) Instances() int { return n.w.instances + n.w.instances/8 }

func (n *rolloutNode) Confirmed() time.Time {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.confirmed
}

// Swap implements store.Swapper with the faults of the world.
func (n *rolloutNode) Swap(ctx context.Context, swaps ...store.Swap) error {
	w := n.w
	time.Sleep(4 * time.Millisecond)
	unknown := fault.New(fault.OutcomeUnknown, "no answer", "read back")
	w.mu.Lock()
	w.calls++
	silent, late := w.silent || n.cutOff || n.dead, w.lateNext
	w.lateNext = 0
	w.mu.Unlock()
	if silent || late > 0 {
		if !silent {
			time.AfterFunc(late, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				_ = w.swap(swaps)
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Second):
		}
		return unknown
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.swap(swaps); err != nil {
		return err
	}
	if w.loseNext > 0 {
		w.loseNext--
		return unknown
	}
	return nil
}

func (w *rolloutWorld) swap(swaps []store.Swap) error {
	for _, s := range swaps {
		if w.values[s.Key].Revision != s.Revision {
			return fault.New(fault.Conflict, "another revision", "read again")
		}
	}
	for _, s := range swaps {
		w.put(s.Key, s.Value)
	}
	return nil
}

// put writes a key and lets the instances learn of it.
func (w *rolloutWorld) put(key string, value []byte) {
	w.revision++
	e := store.Entry{Key: key, Value: value, Revision: w.revision, Era: 1}
	w.values[key] = e
	d, err := (platform.Codec{}).Decode(e)
	if status := d.RolloutStatus; err == nil && status != nil && status.State != rollout.Running {
		w.verdicts = append(w.verdicts, *status)
		w.verdictAt = time.Now()
		if status.State == rollout.Completed {
			for v, k := range w.inFlight {
				if v != status.Target {
					w.oldAtVerdict += k
				}
			}
			w.removeUpstreams(status.Target) // they stop at once
		}
	}
	for _, n := range w.nodes {
		w.notify(n, e, time.Duration(30+w.random.IntN(420))*time.Millisecond)
	}
}

// notify shows an instance a new value after a delay, or once it has contact to the store.
func (w *rolloutWorld) notify(n *rolloutNode, e store.Entry, delay time.Duration) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		select {
		case <-w.done:
			return
		default:
		}
		switch {
		case n.dead:
		case w.silent || n.cutOff:
			w.notify(n, e, 100*time.Millisecond)
		case n.view[e.Key].Revision < e.Revision:
			n.view[e.Key] = e
			n.rollouts = n.decode()
		}
	})
}

// decode returns what an instance knows of the roll-outs. Values that did not change keep their pointers, as in a
// Follower.
func (n *rolloutNode) decode() map[string]follow.Rollout {
	var all map[string]follow.Rollout
	for key, e := range n.view {
		d, err := (platform.Codec{}).Decode(e)
		if err != nil {
			continue
		}
		if all == nil {
			all = map[string]follow.Rollout{}
		}
		r := all["p"]
		switch {
		case d.RolloutOrder != nil:
			r.Order = d.RolloutOrder
		case d.RolloutStatus != nil:
			r.Status, r.StatusRevision = d.RolloutStatus, e.Revision
		case key == follow.RolloutKey("p"):
			r.Record, _ = rollout.DecodeRecord(e.Value)
			r.RecordRevision = e.Revision
		}
		all["p"] = r
	}
	return all
}

// Probe implements sampled.Prober.
func (n *rolloutNode) Probe(_ context.Context, _ *table.Pool, u table.Upstream) (sampled.Reading, error) {
	time.Sleep(2 * time.Millisecond)
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	s := n.w.upstreams[u.ID]
	if s == nil {
		return sampled.Reading{}, fault.New(fault.Unavailable, "gone", "")
	}
	r := sampled.Reading{Upstream: u.ID, Healthy: true, Loaded: true, Running: s.running, Slots: poolSlots, Slowdown: 1, Cold: max(0, coldTime-time.Since(s.start))}
	if s.noisy {
		r.Slowdown = 4
	}
	return r, nil
}

// newRolloutWorld returns a world with so many instances and upstreams of v1.
func newRolloutWorld(t *testing.T, seed uint64, instances, upstreams int, rate float64) *rolloutWorld {
	w := &rolloutWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 4)), net: peertest.New(seed), values: map[string]store.Entry{}, granters: map[string]peer.InstanceID{},
		freeAt: map[string]time.Time{}, upstreams: map[string]*rolloutUpstream{}, bad: map[string]badness{}, rate: rate, began: time.Now(),
		inFlight: map[string]int{}, instances: instances, done: make(chan struct{}),
		log: funcr.New(func(_, args string) { t.Log(time.Now().Format("05.000"), args) }, funcr.Options{}),
	}
	w.net.SetLatency(func(a, b peer.InstanceID) time.Duration {
		if a[0] == b[0] {
			return time.Millisecond
		}
		return 12 * time.Millisecond
	})
	w.addUpstreams("v1", upstreams, -time.Minute)
	for i := range instances {
		w.join(i, "a")
	}
	go w.run()
	return w
}

var worldRegions = []string{"a", "b", "c"}

func (w *rolloutWorld) join(i int, incarnation string) {
	region := worldRegions[i%len(worldRegions)]
	n := &rolloutNode{w: w, id: peer.InstanceID(fmt.Sprintf("%s%d/%s", region, i, incarnation)), region: region, view: map[string]store.Entry{}, ended: make(chan struct{})}
	log := logr.Discard()
	if i < len(worldRegions) {
		log = w.log
	}
	n.service = &rolloutService{cfg: settings.Settings{Regions: worldRegions, Region: region}, log: log}
	n.node = w.net.Join(n.id, fmt.Sprintf("10.0.0.%d:1", i))
	n.service.bind(n, n, n.node)
	n.adapter = &placementAdapter{rollouts: n.service, policy: sampled.New(sampled.Location{Instance: string(n.id), Region: region, FailureDomain: region + "1"}, n, nil, logr.Discard())}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	w.mu.Lock()
	for len(w.nodes) <= i {
		w.nodes = append(w.nodes, nil)
	}
	w.nodes[i] = n
	n.confirmed = time.Now()
	maps.Copy(n.view, w.values)
	n.rollouts = n.decode()
	if _, taken := w.granters[region]; !taken && !time.Now().Before(w.freeAt[region]) {
		w.granters[region] = n.id
	}
	w.mu.Unlock()
	go func() { _ = n.service.Run(ctx); close(n.ended) }()
}

// kill ends an instance; its key is free when the lease has expired and is then taken by another one.
func (w *rolloutWorld) kill(n *rolloutNode) {
	w.net.Crash(n.id)
	n.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	n.dead = true
	if w.granters[n.region] == n.id {
		w.freeAt[n.region] = time.Now().Add(leaseLength)
		time.AfterFunc(leaseLength, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.granters, n.region)
		})
		time.AfterFunc(leaseLength+time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, other := range w.nodes {
				if _, taken := w.granters[n.region]; other.region == n.region && !other.dead && !taken {
					w.granters[n.region] = other.id
				}
			}
		})
	}
}

// restartAll ends all instances and starts them again, with their keys.
func (w *rolloutWorld) restartAll() {
	for _, n := range slices.Clone(w.nodes) {
		w.net.Crash(n.id)
		n.stop()
		w.locked(func() { n.dead = true })
	}
	w.locked(func() { clear(w.granters) })
	time.Sleep(time.Second)
	for i := range w.nodes {
		w.join(i, "b")
	}
}

// judge returns the instance that judges.
func (w *rolloutWorld) judge() *rolloutNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.id == w.granters["a"] {
			return n
		}
	}
	return nil
}

func (w *rolloutWorld) addUpstreams(version string, count int, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range count {
		id := fmt.Sprintf("%s-%d", version, i)
		start := time.Now().Add(after)
		u := &rolloutUpstream{start: start, Upstream: table.Upstream{ID: id, Region: worldRegions[i%3], FailureDomain: worldRegions[i%3] + "1", Version: version, StartMillis: start.UnixMilli()}}
		w.upstreams[id] = u
	}
	w.rebuild()
}

func (w *rolloutWorld) removeUpstreams(keep string) {
	for id, u := range w.upstreams {
		if u.Version != keep {
			delete(w.upstreams, id)
		}
	}
	w.rebuild()
}

func (w *rolloutWorld) rebuild() {
	pool := table.Pool{Name: "p", Discover: "p", Slots: poolSlots, Connections: 1000}
	for _, id := range slices.Sorted(maps.Keys(w.upstreams)) {
		pool.Upstreams = append(pool.Upstreams, w.upstreams[id].Upstream)
	}
	var routes []table.Route
	for _, name := range []string{"r0", "r1", "r2", "r3"} {
		routes = append(routes, table.Route{Name: name, Pool: "p", Deadline: table.Duration(routeTimeout), AnswerLimit: table.Duration(routeTimeout + 200*time.Millisecond), Target: table.Duration(routeTarget)})
	}
	w.tables = table.NewTables(1, routes, []table.Pool{pool})
}

// run sends requests, moves the noise and renews the contact to the store until the world ends.
func (w *rolloutWorld) run() {
	const step = 5 * time.Millisecond
	debt := 0.0
	for i := 0; ; i++ {
		select {
		case <-w.done:
			return
		case <-time.After(step):
		}
		w.mu.Lock()
		if i%400 == 0 {
			for _, u := range w.upstreams {
				u.noisy = w.random.IntN(4) == 0
			}
		}
		for _, n := range w.nodes {
			if !w.silent && !n.cutOff {
				n.confirmed = time.Now()
			}
		}
		debt += w.rate * step.Seconds() * 2 * w.random.Float64()
		var start []*rolloutNode
		for ; debt >= 1; debt-- {
			if n := w.nodes[w.random.IntN(len(w.nodes))]; !n.dead {
				start = append(start, n)
			}
		}
		w.mu.Unlock()
		for _, n := range start {
			go n.serve(fmt.Sprintf("r%d", rand.IntN(4)))
		}
	}
}

// serve serves a request of a caller: with a second copy on the routes r0 and r1, and without on the others.
func (n *rolloutNode) serve(route string) {
	w := n.w
	w.mu.Lock()
	r, pool := w.tables.Routes[route], w.tables.Pools["p"]
	if now := time.Now(); !w.orderedAt.IsZero() && now.Before(w.deadline) {
		w.total++
	}
	w.mu.Unlock()
	start := time.Now()
	request := entry.AcquireRequest{Pool: &pool, Route: &r, RequestID: "x", Start: start}
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(routeTimeout))
	defer cancel()
	results := make(chan entry.Ending, 2)
	tried := make(chan string, 2)
	first, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	go func() { results <- n.attempt(first, request, tried) }()
	after := routeTimeout
	if route == "r0" || route == "r1" {
		after = time.Duration(0.55 * float64(routeTarget))
	}
	select {
	case <-results:
		return
	case <-time.After(after):
	}
	if after == routeTimeout {
		<-results
		return
	}
	select {
	case id := <-tried:
		request.Exclude = []string{id}
	default:
	}
	request.Hedge = true
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	go func() { results <- n.attempt(second, request, tried) }()
	if <-results != entry.EndAnswered {
		<-results
		return
	}
	cancelFirst()
	cancelSecond()
	<-results
}

// attempt makes one attempt.
func (n *rolloutNode) attempt(ctx context.Context, r entry.AcquireRequest, tried chan<- string) entry.Ending {
	w := n.w
	permit, err := n.adapter.Acquire(ctx, r)
	if err != nil {
		w.mu.Lock()
		w.refused++
		w.mu.Unlock()
		return entry.EndNotRun
	}
	tried <- permit.Upstream().ID
	result, wait := n.arrive(permit.Upstream(), r.Route.Name)
	begin := time.Now()
	select {
	case <-time.After(wait):
		result.FirstByte = wait
	case <-ctx.Done():
		result = entry.Result{Ending: entry.EndCancelled}
		if deadline, _ := ctx.Deadline(); !time.Now().Before(deadline) {
			result.Ending = entry.EndTimedOut
		}
	}
	result.Total = time.Since(begin)
	w.mu.Lock()
	if u := w.upstreams[permit.Upstream().ID]; u != nil {
		u.running--
	}
	w.inFlight[permit.Upstream().Version]--
	w.served++
	w.mu.Unlock()
	permit.Done(result)
	return result.Ending
}

// arrive counts a request at an upstream and returns how it will end.
func (n *rolloutNode) arrive(at table.Upstream, route string) (entry.Result, time.Duration) {
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.inFlight[at.Version]++
	if at.Version == w.target {
		w.lastToTarget = now
		n.toTarget = append(n.toTarget, now)
		if now.Before(w.deadline) {
			w.exposed++
		}
	} else if len(w.verdicts) > 0 && w.verdicts[len(w.verdicts)-1].State == rollout.Completed {
		w.oldAfterVerdict++
	}
	u := w.upstreams[at.ID]
	if u == nil {
		return entry.Result{Ending: entry.EndNotRun}, time.Millisecond
	}
	u.running++
	wait := time.Duration(float64(meanWork) * (0.5 + w.random.Float64()))
	if u.noisy {
		wait *= 4
	}
	if now.Sub(u.start) < coldTime {
		wait *= 2
	}
	result := entry.Result{Ending: entry.EndAnswered, Status: 200}
	b := w.bad[u.Version]
	if b.share > 0 && now.Sub(u.start) >= b.after && u.running >= b.load && (b.route == "" || b.route == route) && w.random.Float64() < b.share {
		if w.badAnswers++; w.badAnswers == 50 {
			w.fiftieth = now
		}
		if b.slow {
			wait *= 8
		} else {
			result.Status = 500
		}
	}
	return result, wait
}

// order orders a version, whose upstreams start at the same time.
func (w *rolloutWorld) order(version string, duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderedAt, w.deadline, w.target = time.Now(), time.Now().Add(duration), version
	w.total, w.exposed, w.badAnswers, w.fiftieth = 0, 0, 0, time.Time{}
	key, value := platformtest.RolloutOrder("p", version, duration)
	w.put(key, []byte(value))
}

func (w *rolloutWorld) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// finish ends the world and checks what holds for every roll-out.
func (w *rolloutWorld) finish(want rollout.State) {
	w.t.Helper()
	time.Sleep(time.Second)
	close(w.done)
	for _, n := range w.nodes {
		n.stop()
		w.net.Resume(n.id)
	}
	time.Sleep(time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	took := w.verdictAt.Sub(w.orderedAt)
	w.t.Logf("verdicts %v after %v; %d of %d requests exposed, %d bad; %d attempts, %d not placed; %d store writes", w.verdicts, took, w.exposed, w.total, w.badAnswers, w.served, w.refused, w.calls)
	if len(w.verdicts) != 1 || w.verdicts[0] != (rollout.Status{Service: "p", State: want, Target: w.target}) {
		w.t.Errorf("verdicts %v, want one %s", w.verdicts, want)
		return
	}
	if w.verdictAt.After(w.deadline) {
		w.t.Errorf("the verdict came %v after the deadline", w.verdictAt.Sub(w.deadline))
	}
	if want == rollout.RolledBack {
		if allowed := exposureShare*float64(w.total) + exposureSlack; float64(w.exposed) > allowed {
			w.t.Errorf("%d requests reached the bad version, %.0f allowed", w.exposed, allowed)
		}
		if !w.fiftieth.IsZero() && w.lastToTarget.Sub(w.fiftieth) > rollbackBound {
			w.t.Errorf("a request reached the bad version %v after its 50th bad answer", w.lastToTarget.Sub(w.fiftieth))
		}
		if w.lastToTarget.Sub(w.verdictAt) > time.Second {
			w.t.Errorf("a request reached the version %v after its verdict", w.lastToTarget.Sub(w.verdictAt))
		}
	}
	if want == rollout.Completed && (w.oldAtVerdict > 0 || w.oldAfterVerdict > 0) {
		w.t.Errorf("%d requests were at old upstreams at the verdict, and %d went there later", w.oldAtVerdict, w.oldAfterVerdict)
	}
	if status := w.values[platformtest.RolloutStatusKey("p")].Value; !bytes.Contains(status, []byte(want)) {
		w.t.Errorf("status %s", status)
	}
}
