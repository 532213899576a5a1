package idempotency_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/idempotency"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// cluster runs instances on a fake network.
type cluster struct {
	network *fake.Network
	kv      *fake.KV
	mu      sync.Mutex
	live    []view.Instance
	nodes   map[peer.InstanceID]*node
	ctx     context.Context
}

type node struct {
	manager     *view.Manager
	coordinator *idempotency.Coordinator
	replica     *idempotency.Replica
	stop        context.CancelFunc
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{network: fake.NewNetwork(), kv: fake.NewKV(), nodes: make(map[peer.InstanceID]*node), ctx: ctx}
	c.network.Delay = time.Millisecond
	return c
}

// Live implements view.Members.
func (c *cluster) Live() []view.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.live)
}

// start runs an instance in region north. The first letter of its name is its failure domain.
func (c *cluster) start(is *is.I, name string) {
	id := peer.InstanceID(name + "/1")
	t := c.network.Join(id)
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{replica: idempotency.NewReplica("north", 0, time.Now()), stop: cancel}
	n.replica.Serve(t)
	var err error
	n.manager, err = view.New(view.Config{Region: "north", Transport: t, Store: c.kv, Members: c, Records: n.replica})
	is.NoErr(err)
	n.coordinator, err = idempotency.New(idempotency.Config{Region: "north", Transport: t, Views: n.manager, Members: c, Replica: n.replica})
	is.NoErr(err)
	c.mu.Lock()
	c.live = append(c.live, view.Instance{ID: id, Region: "north", FailureDomain: name[:1]})
	c.mu.Unlock()
	c.nodes[id] = n
	go func() { _ = n.manager.Run(ctx) }()
	go func() { _ = n.replica.Run(ctx) }()
}

// remove stops an instance and removes it from the member list.
func (c *cluster) remove(name string) {
	id := peer.InstanceID(name + "/1")
	c.nodes[id].stop()
	c.network.Leave(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = slices.DeleteFunc(c.live, func(in view.Instance) bool { return in.ID == id })
}

func (c *cluster) node(name string) *node { return c.nodes[peer.InstanceID(name+"/1")] }

// waitForView waits until every instance knows a view of at least the given epoch, all its
// members have loaded and its predecessors are removed.
func (c *cluster) waitForView(t *testing.T, epoch uint64) {
	t.Helper()
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		done := true
		for _, in := range c.Live() {
			v, ok := c.nodes[in.ID].manager.Current("north")
			open, _, _ := c.nodes[in.ID].manager.OpenedAt()
			done = done && ok && v.Epoch >= epoch && len(v.Predecessors) == 0 && (open == v.Epoch || !v.Has(in.ID))
		}
		if done {
			return
		}
	}
	t.Fatalf("the view was not loaded by all its members in epoch %d or later", epoch)
}

// withCluster runs test on a cluster of six instances under virtual time.
func withCluster(t *testing.T, test func(t *testing.T, is *is.I, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx)
		is := is.New(t)
		for _, name := range []string{"a1", "a2", "b1", "b2", "a3", "b3"} {
			c.start(is, name)
		}
		c.waitForView(t, 1)
		test(t, is, c)
		shutdown, end := context.WithTimeout(ctx, time.Hour)
		for _, n := range c.nodes {
			_ = n.coordinator.Shutdown(shutdown)
		}
		end()
		cancel()
		synctest.Wait()
	})
}

var (
	key    = idempotency.Key{Route: "dispatch", Identity: "order-7", Region: "north", Window: 10 * time.Minute}
	digest = idempotency.NewDigest("POST", "/dispatch", []byte("plough 7"))
)

// Guards against a repeat that runs although the first copy has run, after the loss of a
// whole failure domain.
func TestRepeatGetsTheStoredAnswerAfterAFailureDomainIsLost(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		first := c.node("a1").coordinator.Begin(c.ctx, key, digest)
		is.True(first.Ticket != nil)
		is.True(first.Ticket.MaySend(time.Now()))
		first.Ticket.Finish([]byte("done"))
		<-first.Ticket.Stored()
		for _, name := range []string{"a1", "a2", "a3"} {
			c.remove(name)
		}
		c.waitForView(t, 2)
		again := c.node("b3").coordinator.Begin(c.ctx, key, digest)
		is.True(again.Answer != nil)
		is.Equal(string(again.Answer.Body), "done")
	})
}

// Guards against a repeat that runs concurrently with another copy or does not return its answer.
func TestRepeatWaitsForARunningCopy(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		first := c.node("a1").coordinator.Begin(c.ctx, key, digest)
		is.True(first.Ticket != nil)
		result := make(chan idempotency.Result)
		go func() { result <- c.node("b1").coordinator.Begin(c.ctx, key, digest) }()
		select {
		case <-result:
			is.Fail() // the repeat did not wait
		case <-time.After(20 * time.Minute): // longer than the record window
		}
		first.Ticket.Finish([]byte("late"))
		again := <-result
		is.True(again.Answer != nil)
		is.Equal(string(again.Answer.Body), "late")
	})
}

// Guards against a repeat that runs, or waits forever, after the claimant of the first copy was lost.
func TestRepeatOfALostClaimantIsRefusedAsUnknown(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		first := c.node("a1").coordinator.Begin(c.ctx, key, digest)
		is.True(first.Ticket != nil)
		c.remove("a1")
		again := c.node("b1").coordinator.Begin(c.ctx, key, digest)
		is.True(again.Refusal != nil)
		is.Equal(again.Refusal.Outcome, idempotency.OutcomeUnknown)
		is.True(fault.Is(again.Refusal, fault.OutcomeUnknown))
	})
}

// Guards against a key that stays blocked after proof that the request did not run, and
// against a ticket that may still send after it ended or after the send limit.
func TestKeyIsClaimableAgainAfterProofOfNotRun(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		first := c.node("a1").coordinator.Begin(c.ctx, key, digest)
		is.True(first.Ticket != nil)
		first.Ticket.NotRun()
		is.True(!first.Ticket.MaySend(time.Now()))
		again := c.node("b1").coordinator.Begin(c.ctx, key, digest)
		is.True(again.Ticket != nil)
		time.Sleep(6 * time.Second)
		is.True(!again.Ticket.MaySend(time.Now())) // the send limit has passed
	})
}

// Guards against an identity that is accepted for two different requests.
func TestOtherContentUnderTheSameIdentityIsAConflict(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		is.True(c.node("a1").coordinator.Begin(c.ctx, key, digest).Ticket != nil)
		other := c.node("b1").coordinator.Begin(c.ctx, key, idempotency.NewDigest("POST", "/dispatch", []byte("plough 8")))
		is.True(other.Refusal != nil)
		is.True(fault.Is(other.Refusal, fault.Conflict))
	})
}

// Guards against concurrent copies that each win some of the members indefinitely, and against two winners.
func TestSplitClaimsHaveOneWinner(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		for i := range 20 {
			k := key
			k.Identity = fmt.Sprintf("order-%d", i)
			results := make(chan idempotency.Result, 4)
			for _, name := range []string{"a1", "a2", "b1", "b2"} {
				go func() { results <- c.node(name).coordinator.Begin(c.ctx, k, digest) }()
			}
			winner := <-results
			is.True(winner.Ticket != nil)
			winner.Ticket.Finish([]byte(k.Identity))
			for range 3 {
				r := <-results
				is.True(r.Answer != nil)
				is.Equal(string(r.Answer.Body), k.Identity)
			}
		}
	})
}

// Guards against claims that need the store while three of four members are live, and
// against a granted claim or a not-run outcome while too few are live.
func TestStoreDownAllowsOneLostInstance(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		v, _ := c.node("a1").manager.Current("north")
		c.kv.SetDown(true)
		c.remove(v.Members[0].ID.Name())
		entry := c.Live()[0].ID
		r := c.nodes[entry].coordinator.Begin(c.ctx, key, digest)
		is.True(r.Ticket != nil)
		r.Ticket.Finish(nil)
		<-r.Ticket.Stored()
		c.remove(v.Members[1].ID.Name())
		k := key
		k.Identity = "order-8"
		last := c.Live()[0].ID
		refused := c.nodes[last].coordinator.Begin(c.ctx, k, digest)
		is.True(refused.Refusal != nil)
		is.Equal(refused.Refusal.Outcome, idempotency.OutcomeUnknown)
		c.kv.SetDown(false)
		c.waitForView(t, 2)
		is.True(c.nodes[last].coordinator.Begin(c.ctx, k, digest).Ticket != nil)
	})
}

// Guards against an instance that cannot start while the store is down, and against a
// lost response of the store that leads to a second view.
func TestInstanceStartsFromPeersAndLostAnswersAreResolved(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		c.kv.DropResponses(2)
		v, _ := c.node("a1").manager.Current("north")
		c.remove(v.Members[3].ID.Name())
		c.waitForView(t, 2)
		is.True(c.kv.AllResponsesDropped())
		c.kv.SetDown(true)
		c.start(is, "a9")
		time.Sleep(3 * time.Second)
		now, ok := c.node("a9").manager.Current("north")
		is.True(ok)
		is.Equal(now.Epoch, uint64(2))
		is.True(c.node("a9").coordinator.Begin(c.ctx, key, digest).Ticket != nil)
	})
}

// Guards against two concurrent allocators: the authority of a partitioned member must
// end before another member holds it in the next epoch.
func TestAuthorityOfACutOffMemberEndsBeforeTheNextBegins(t *testing.T) {
	withCluster(t, func(t *testing.T, is *is.I, c *cluster) {
		time.Sleep(time.Second)
		v, _ := c.node("a1").manager.Current("north")
		cutOff := v.Members[0].ID
		_, held := c.nodes[cutOff].manager.Authority(time.Now())
		is.True(held)
		c.network.SetPartition(func(from, to peer.InstanceID) bool { return from == cutOff || to == cutOff })
		c.mu.Lock()
		c.live = slices.DeleteFunc(c.live, func(in view.Instance) bool { return in.ID == cutOff })
		c.mu.Unlock()
		took := false
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			_, old := c.nodes[cutOff].manager.Authority(time.Now())
			next := false
			for _, in := range c.Live() {
				epoch, held := c.nodes[in.ID].manager.Authority(time.Now())
				next = next || held && epoch > v.Epoch
			}
			is.True(!old || !next)
			took = took || next
		}
		is.True(took)
	})
}
