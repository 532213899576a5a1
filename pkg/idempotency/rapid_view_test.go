package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/view"
)

func (r *simulation) changeView(*rapid.T) {
	if len(r.stored.Predecessors) > 0 && !r.oneIn(10) {
		return
	}
	var live []view.Instance
	for _, n := range r.nodes {
		if !n.paused && !(r.partitioned && n.FailureDomain == "b") {
			live = append(live, n.Instance)
		}
	}
	wanted := view.Choose("north", r.stored.Members, live)
	if len(wanted) == 0 || len(r.stored.Predecessors) > 3 {
		return
	}
	old := r.stored.Group
	next := r.stored
	next.Region = "north"
	next = next.Next(wanted)
	for _, m := range wanted {
		if !old.Has(m.ID) || len(wanted) != len(old.Members) {
			r.stored = next
			return
		}
	}
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
	}
}

func (r *simulation) adoptView(*rapid.T) {
	from := rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, "from")
	for _, n := range r.nodes[from:] {
		if !n.paused && !(r.partitioned && n.FailureDomain == "b") {
			n.core.Adopt(r.clock(n), r.stored)
		}
	}
}

// loadAll makes a member request as many loads as it has targets and delivers most of the messages immediately.
func (r *simulation) loadAll(*rapid.T) {
	n, before := r.randomNode(), len(r.messages)
	for range n.core.Targets() {
		r.loadOne(n)
	}
	r.flush(before)
}

// load makes a member of a new view import the records of one target. The target is sealed
// first, unless it is a loaded member of the same epoch.
func (r *simulation) load(*rapid.T) {
	r.loadOne(r.randomNode())
}

func (r *simulation) loadOne(n *node) {
	targets, epoch := n.core.Targets(), n.core.View().Epoch
	if n.paused || len(targets) == 0 {
		return
	}
	t := targets[rapid.IntRange(0, len(targets)-1).Draw(r.rt, "target")]
	r.send(n, t.ID, func(p *node) func() {
		if t.Copy && !p.core.MayCopy(t.Epoch) {
			return nil
		}
		if !t.Copy {
			if sealed, _ := p.core.Seal(r.clock(p), t.Epoch); !sealed {
				return nil
			}
		}
		chunk, _ := p.replica.Export(r.clock(p), 0)
		return func() {
			if err := n.replica.Import(r.clock(n), chunk); err != nil {
				r.rt.Fatal(err)
			}
			n.core.MarkLoaded(epoch, t)
			if n.core.TryOpen(r.clock(n)) {
				r.coverage.Opened++
			}
		}
	})
}

func (r *simulation) advanceTime(*rapid.T) {
	ms := rapid.SampledFrom([]int{1, 20, 300, 2000, 6000, 20000}).Draw(r.rt, "ms")
	r.elapsed += time.Duration(ms) * time.Millisecond
	for _, n := range r.nodes {
		before, _ := n.replica.Usage()
		n.replica.Sweep(r.clock(n))
		if after, _ := n.replica.Usage(); after < before {
			r.coverage.Expired++
		}
	}
}

func (r *simulation) pause(*rapid.T) {
	n := r.randomNode()
	n.paused = !n.paused && r.oneIn(3)
}

func (r *simulation) partition(*rapid.T) { r.partitioned = !r.partitioned && r.oneIn(3) }

func (r *simulation) restart(*rapid.T) {
	if !r.oneIn(10 + 30*len(r.stored.Predecessors)) {
		return
	}
	i := rapid.IntRange(0, len(r.nodes)-1).Draw(r.rt, "crash")
	r.nodes[i].crashed = true
	r.nodes = append(r.nodes[:i], r.nodes[i+1:]...)
	r.start()
}

// checkRecords fails when a member that is open in a later view lacks the record of a
// protected run, or has the claim in another state than its durable end.
func (r *simulation) checkRecords(*rapid.T) {
	for _, j := range r.jobs {
		if !j.ran || r.elapsed >= j.protected {
			continue
		}
		for _, n := range r.nodes {
			if n.core.OpenEpoch() <= j.attempt.message.epoch {
				continue
			}
			r.checkRecord(n, j)
		}
	}
}

func (r *simulation) checkRecord(n *node, j *job) {
	m := j.attempt.message
	rec := n.replica.shard(m.key).records[m.key]
	if rec == nil || rec.find(m.id) == nil {
		r.rt.Fatalf("%s, open in epoch %d, lost the record of claim %v, which is protected until %s (now %s)", n.ID, n.core.OpenEpoch(), m.id, j.protected, r.elapsed)
	}
	if j.ending != nil && j.ending.durable && n.core.OpenEpoch() > j.ending.group.Epoch {
		if c := rec.find(m.id); c.state != j.ending.message.state {
			r.rt.Fatalf("%s, open in epoch %d, lost the end of claim %v: it has state %d", n.ID, n.core.OpenEpoch(), m.id, c.state)
		}
	}
}

// Guards against a request that runs twice, a request that ran but is released as not run,
// a record that is lost within its window or in a view change, and an answer that belongs to
// another key.
func TestClaimsRunAtMostOnce(t *testing.T) {
	var coverage coverageCounts
	rapid.Check(t, func(rt *rapid.T) {
		r := &simulation{rt: rt, coverage: &coverage}
		for range 6 {
			r.start()
		}
		r.changeView(rt)
		for _, n := range r.nodes {
			n.core.Adopt(r.clock(n), r.stored)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": r.checkRecords, "claim": r.claim, "claim2": r.claim, "exchange": r.claimAndDeliver, "exchange2": r.claimAndDeliver, "act": r.stepJob, "act2": r.stepJob, "act3": r.stepJob, "act4": r.stepJob, "act5": r.stepJob, "repeat": r.resend,
			"passOn": r.forwardReleases, "deliver": r.deliver, "deliver2": r.deliver, "deliver3": r.deliver, "deliver4": r.deliver,
			"change": r.changeView, "cut": r.removePredecessors, "adopt": r.adoptView, "adopt2": r.adoptView, "load": r.load, "load2": r.load,
			"loadAll": r.loadAll, "loadAll2": r.loadAll, "pass": r.advanceTime, "pause": r.pause, "partition": r.partition, "restart": r.restart,
		})
	})
	if !t.Failed() && (coverage.Ran == 0 || coverage.Answered == 0 || coverage.Split == 0 || coverage.Opened == 0 || coverage.Full == 0 || coverage.Expired == 0 || coverage.Late == 0) {
		t.Fatalf("the histories did not reach every case: %+v", coverage)
	}
	t.Logf("reached: %+v", coverage)
}
