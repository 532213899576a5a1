package view

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// TestMain fixes the seed, so that every run explores the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260607", "rapid.checks": "1500", "rapid.steps": "400", "rapid.nofailfile": "true", "rapid.shrinktime": "2s"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const testLease = 2 * time.Second

// node is one instance of the simulated region.
type node struct {
	Instance
	core          *Core
	confirmations confirmations
	rate          float64 // of the clock, within the allowed drift
	grantEpoch    uint64  // epoch in which its record store grants, or 0
	writes        map[int]bool
	paused        bool
}

func (n *node) Seal(epoch uint64) {
	if n.grantEpoch <= epoch {
		n.grantEpoch = 0
	}
}
func (n *node) Open(epoch uint64) { n.grantEpoch = epoch }
func (n *node) Export(time.Time, uint64) ([]byte, uint64) {
	data, _ := json.Marshal(n.writes)
	return data, 0
}
func (n *node) Import(_ time.Time, chunk []byte) error {
	return json.Unmarshal(chunk, &n.writes)
}

// simulation simulates the instances of a region, their clocks, the store, and messages
// that are lost, delayed, duplicated and reordered.
type simulation struct {
	rt       *rapid.T
	nodes    []*node
	stored   View
	elapsed  time.Duration
	messages []func()
	started  int
	// lastWrite numbers the writes; granted holds the epoch of those that a write quorum granted.
	lastWrite int
	granted   map[int]uint64
	coverage  *coverageCounts
}

// coverageCounts counts the cases that the histories reached, so that the test fails if a case never occurs.
type coverageCounts struct{ opened, held, sealWaited, removed, copied int }

func (r *simulation) start() {
	r.started++
	n := &node{writes: make(map[int]bool), rate: rapid.Float64Range(0.9951, 1.0049).Draw(r.rt, "rate")}
	n.Instance = Instance{peer.InstanceID(fmt.Sprintf("i%d/1", r.started)), "north", []string{"a", "b"}[r.started%2]}
	n.core = NewCore(n.ID, testLease, n)
	r.nodes = append(r.nodes, n)
}

func (r *simulation) clock(n *node) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(r.elapsed) * n.rate))
}

func (r *simulation) randomNode() *node {
	return r.nodes[rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, "node")]
}

func (r *simulation) find(id peer.InstanceID) *node {
	for _, n := range r.nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (r *simulation) live() (out []Instance) {
	for _, n := range r.nodes {
		if !n.paused {
			out = append(out, n.Instance)
		}
	}
	return out
}

func (r *simulation) changeView(*rapid.T) {
	if len(r.stored.Predecessors) > 0 && !r.oneIn(10) {
		return
	}
	wanted := Choose("north", r.stored.Members, r.live())
	if len(wanted) == 0 || sameMembers(wanted, r.stored.Members) || len(r.stored.Predecessors) > 3 {
		return
	}
	r.stored.Region = "north"
	r.stored = r.stored.Next(wanted)
}

func (r *simulation) removePredecessors(*rapid.T) {
	var loaded []peer.InstanceID
	for _, m := range r.stored.Members {
		if n := r.find(m.ID); n != nil && n.core.OpenEpoch() == r.stored.Epoch {
			loaded = append(loaded, m.ID)
		}
	}
	if len(r.stored.Predecessors) > 0 && len(loaded) >= r.stored.WriteQuorum() {
		r.stored = r.stored.WithoutPredecessors(loaded)
		r.coverage.removed++
	}
}

func (r *simulation) adoptView(*rapid.T) {
	from := rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, "from")
	for _, n := range r.nodes[from:] {
		if !n.paused {
			n.core.Adopt(r.clock(n), r.stored)
		}
	}
}

// fetch queues one seal request of a loading member.
func (r *simulation) fetch(*rapid.T) {
	n := r.randomNode()
	targets := n.core.Targets()
	if n.paused || len(targets) == 0 {
		return
	}
	t := targets[rapid.IntRange(0, len(targets)-1).Draw(r.rt, "target")]
	epoch := n.core.View().Epoch
	r.messages = append(r.messages, func() { r.handleSeal(n, t, epoch) })
}

func (r *simulation) handleSeal(n *node, t Target, epoch uint64) {
	p := r.find(t.ID)
	if p == nil || p.paused {
		return
	}
	if t.Copy && !p.core.MayCopy(t.Epoch) {
		return
	}
	if !t.Copy {
		if sealed, _ := p.core.Seal(r.clock(p), t.Epoch); !sealed {
			r.coverage.sealWaited++
			return
		}
	}
	chunk, _ := p.Export(r.clock(p), 0)
	r.messages = append(r.messages, func() { r.handleSealed(n, t, epoch, chunk) })
}

func (r *simulation) handleSealed(n *node, t Target, epoch uint64, chunk []byte) {
	if n.paused {
		return
	}
	_ = n.Import(r.clock(n), chunk)
	n.core.MarkLoaded(epoch, t)
	if t.Copy {
		r.coverage.copied++
	}
	r.tryOpen(n)
}

func (r *simulation) tryOpen(n *node) {
	if n.core.TryOpen(r.clock(n)) {
		r.coverage.opened++
	}
}

// checkWrites fails when an open member lacks a write that a write quorum granted in an earlier epoch.
func (r *simulation) checkWrites() {
	for _, n := range r.nodes {
		for write, epoch := range r.granted {
			if epoch < n.core.OpenEpoch() && !n.writes[write] {
				r.rt.Fatalf("%s is open in epoch %d without write %d, which a quorum granted in epoch %d", n.ID, n.core.OpenEpoch(), write, epoch)
			}
		}
	}
}

func (r *simulation) tryOpenRandom(*rapid.T) {
	if n := r.randomNode(); !n.paused {
		r.tryOpen(n)
	}
}

// renew queues requests to all members to confirm the authority of one of them.
func (r *simulation) renew(*rapid.T) {
	n := r.randomNode()
	v := n.core.View()
	if n.paused || len(v.Members) == 0 || n.core.OpenEpoch() != v.Epoch {
		return
	}
	sent := r.clock(n)
	for _, m := range v.Members {
		r.messages = append(r.messages, func() {
			p := r.find(m.ID)
			if p == nil || p.paused || !p.core.Confirm(r.clock(p), v.Epoch) {
				return
			}
			r.messages = append(r.messages, func() { n.confirmations.record(v.Epoch, m.ID, sent, testLease) })
		})
	}
}

// write queues a write to every member of a view.
func (r *simulation) write(*rapid.T) {
	v := r.randomNode().core.View()
	if v.Epoch == 0 {
		return
	}
	r.lastWrite++
	id, grants := r.lastWrite, make(map[peer.InstanceID]bool)
	for _, m := range v.Members {
		r.messages = append(r.messages, func() {
			p := r.find(m.ID)
			if p == nil || p.paused || p.grantEpoch != v.Epoch {
				return
			}
			p.writes[id], grants[m.ID] = true, true
			if len(grants) >= v.WriteQuorum() {
				r.granted[id] = v.Epoch
			}
		})
	}
}

func (r *simulation) deliver(*rapid.T) {
	for range rapid.IntRange(1, 20).Draw(r.rt, "messages") {
		if len(r.messages) == 0 {
			return
		}
		i := rapid.IntRange(0, len(r.messages)-1).Draw(r.rt, "message")
		message := r.messages[i]
		switch rapid.IntRange(0, 9).Draw(r.rt, "fate") {
		case 0: // lost
			r.messages = append(r.messages[:i], r.messages[i+1:]...)
		case 1: // duplicated
			message()
		default:
			r.messages = append(r.messages[:i], r.messages[i+1:]...)
			message()
		}
	}
}

func (r *simulation) advanceTime(*rapid.T) {
	r.elapsed += time.Duration(rapid.IntRange(1, 800).Draw(r.rt, "ms")) * time.Millisecond
}

func (r *simulation) pause(*rapid.T) {
	n := r.randomNode()
	n.paused = !n.paused && r.oneIn(3)
}

// oneIn returns true in about one of n draws. It keeps faults rare enough for progress.
func (r *simulation) oneIn(n int) bool { return rapid.IntRange(1, n).Draw(r.rt, "rarely") == n }

func (r *simulation) restart(*rapid.T) {
	if !r.oneIn(10 + 30*len(r.stored.Predecessors)) {
		return
	}
	i := rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, "crash")
	r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
	r.start()
}

// checkInvariants fails when authority is held in two epochs at the same time, or a write is lost.
func (r *simulation) checkInvariants(*rapid.T) {
	r.checkWrites()
	epochs := make(map[uint64]peer.InstanceID)
	for _, n := range r.nodes {
		v := n.core.View()
		if n.core.OpenEpoch() == v.Epoch && n.confirmations.held(r.clock(n), v.Group) {
			epochs[v.Epoch] = n.ID
			r.coverage.held++
		}
	}
	if len(epochs) > 1 {
		r.rt.Fatalf("authority is held in more than one epoch: %v", epochs)
	}
}

// Guards against two concurrent holders of authority and against a view that opens without
// a write that a quorum of an earlier view granted.
func TestViewsKeepWritesAndAuthority(t *testing.T) {
	var coverage coverageCounts
	rapid.Check(t, func(rt *rapid.T) {
		r := &simulation{rt: rt, coverage: &coverage, granted: make(map[int]uint64)}
		for range 5 {
			r.start()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":       r.checkInvariants,
			"change": r.changeView, "cut": r.removePredecessors, "adopt": r.adoptView, "adopt2": r.adoptView,
			"fetch": r.fetch, "fetch2": r.fetch, "fetch3": r.fetch, "open": r.tryOpenRandom, "renew": r.renew, "renew2": r.renew,
			"write": r.write, "write2": r.write, "deliver": r.deliver, "deliver2": r.deliver, "deliver3": r.deliver, "deliver4": r.deliver,
			"pass": r.advanceTime, "pause": r.pause, "restart": r.restart,
		})
	})
	if !t.Failed() && (coverage.opened == 0 || coverage.held == 0 || coverage.sealWaited == 0 || coverage.removed == 0) {
		t.Fatalf("the histories did not reach every case: %+v", coverage)
	}
	t.Logf("reached: %+v", coverage)
}
