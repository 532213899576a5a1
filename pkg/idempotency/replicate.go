package idempotency

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// endTimeout limits the attempts to reach the remaining members after the end of a claim
// is durable. Members that stay unreachable receive the end when the view changes.
const endTimeout = 10 * time.Second

// storeEnd replicates the end of a claim to the members in the background and calls durable
// once a write quorum has stored it. It stops after limit.
func (c *Coordinator) storeEnd(key Key, m endMessage, limit time.Duration, durable func()) {
	c.pendingEnds.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, limit)
		defer cancel()
		e := newEndReplication(m)
		started, delay := time.Now(), c.cfg.Timing.RetryMin
		for announced := false; ; delay = min(2*delay, c.cfg.Timing.EndRetryMax) {
			c.storeEndOnce(ctx, key, e)
			if e.durable && !announced {
				announced = true
				durable()
			}
			if e.complete() || e.durable && time.Since(started) > endTimeout {
				return
			}
			select {
			case <-ctx.Done():
				if !e.durable && m.state != stateReleased {
					c.cfg.Log.Info("the end of a request was not stored on a write quorum", "route", key.Route, "epoch", e.group.Epoch)
				}
				return
			case <-time.After(delay):
			}
		}
	})
}

// storeEndOnce sends the end to every member that has not acknowledged it.
func (c *Coordinator) storeEndOnce(ctx context.Context, key Key, e *endReplication) {
	v, ok := c.cfg.Views.Current(key.Region)
	if !ok {
		return
	}
	e.setGroup(v.Group)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var later peer.InstanceID
	m := e.message
	for _, id := range e.unacknowledged() {
		wg.Go(func() {
			epoch, err := c.sendEnd(ctx, id, key.Region, m)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				e.ack(id, m.epoch, epoch)
			}
			if epoch > m.epoch || err == nil && epoch == 0 {
				later = id
			}
		})
	}
	wg.Wait()
	if later != "" && later != c.self {
		_ = c.cfg.Views.Refresh(ctx, later)
	}
}

func (c *Coordinator) sendEnd(ctx context.Context, to peer.InstanceID, region string, m endMessage) (epoch uint64, err error) {
	if to == c.self {
		return c.cfg.Replica.end(time.Now(), m), nil
	}
	service, request := m.proto(region)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.CallTimeout)
	defer cancel()
	var reply peerpb.EndReply
	err = c.cfg.Transport.Call(ctx, to, service, request, &reply)
	return reply.GetEpoch(), err
}

func (m endMessage) proto(region string) (service string, request proto.Message) {
	if m.state == stateReleased {
		return serviceRelease, &peerpb.ReleaseRequest{Region: region, Epoch: m.epoch, Key: m.key[:], Id: m.id.proto(), WindowMs: millis(m.window)}
	}
	return serviceComplete, &peerpb.CompleteRequest{
		Region: region, Epoch: m.epoch, Key: m.key[:], Id: m.id.proto(), Digest: m.digest[:], WindowMs: millis(m.window),
		Unknown: m.state == stateUnknown, AnswerKept: m.kept, Answer: m.answer,
	}
}

// abandon ends an attempt permanently and releases its ID on every member. A query has nothing to release.
func (c *Coordinator) abandon(key Key, a *attempt) {
	a.abandon()
	if !a.message.query {
		c.storeEnd(key, endOf(a.message, stateReleased), endTimeout, func() {})
	}
}

// forwardReleases sends releases that some member reported to the members that missed them.
func (c *Coordinator) forwardReleases(key Key, a *attempt) {
	for id, members := range a.missedReleases() {
		m := endOf(a.message, stateReleased)
		m.id, m.epoch = id, a.message.epoch
		for _, to := range members {
			c.pendingEnds.Go(func() { _, _ = c.sendEnd(c.ctx, to, key.Region, m) })
		}
	}
}

// refresh sends the message of a running claim again in the latest epoch, so that members keep the claim.
func (c *Coordinator) refresh(ctx context.Context, key Key, m claimMessage) (a *attempt, ok bool) {
	v, ok := c.cfg.Views.Current(key.Region)
	if !ok {
		return nil, false
	}
	m.epoch = v.Epoch
	a = c.exchange(ctx, key.Region, newAttempt(m, v.Group, time.Now()), true)
	return a, a.status() == won
}
