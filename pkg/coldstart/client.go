package coldstart

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/quota"
)

// Client runs the meters of this instance and reports their batches to the allocators.
type Client struct {
	settings  Settings
	transport peer.Transport
	roles     quota.Roles
	local     *Server
	log       logr.Logger
	mu        sync.Mutex
	meters    map[Key]*Meter
	order     []Key // round-robin order of the meters, for when more batches are due than fit into an interval
	nextIndex int
	calls     sync.WaitGroup
}

// NewClient returns a client and registers its handler on the transport. Reports to
// this instance itself are handled by local.
func NewClient(t peer.Transport, roles quota.Roles, local *Server, s Settings, log logr.Logger) (*Client, error) {
	if err := s.Validate("$.cold_start").Err(); err != nil {
		return nil, err
	}
	c := &Client{settings: s, transport: t, roles: roles, local: local, log: log, meters: make(map[Key]*Meter)}
	t.Handle(ServiceFall, c.handleColdNotice)
	return c, nil
}

// Meter returns the meter of an upstream, creating it on first use. Callers should
// keep the pointer, since the lookup takes a lock.
func (c *Client) Meter(key Key) *Meter {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.meters[key]
	if m == nil {
		m = NewMeter(c.settings)
		c.meters[key] = m
		c.order = append(c.order, key)
	}
	return m
}

// Forget drops the meter of an upstream that no longer exists.
func (c *Client) Forget(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.meters, key)
	c.order = slices.DeleteFunc(c.order, func(k Key) bool { return k == key })
}

func (c *Client) handleColdNotice(_ context.Context, _ peer.InstanceID, data []byte) (proto.Message, error) {
	var reply peerpb.ColdStartReply
	if err := proto.Unmarshal(data, &reply); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the state cannot be decoded", "check the release of the calling instance")
	}
	for _, state := range reply.States {
		key, s := stateFromMessage(state)
		if m := c.lookup(key); m != nil {
			m.MarkCold(s)
		}
	}
	return &peerpb.LimitsAck{}, nil
}

func (c *Client) lookup(key Key) *Meter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meters[key]
}

// Run reports batches until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.settings.ColdInterval.Std())
	defer ticker.Stop()
	defer c.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for to, report := range c.collect(time.Now()) {
				c.calls.Add(1)
				go func() {
					defer c.calls.Done()
					c.report(ctx, to, report)
				}()
			}
		}
	}
}

func (c *Client) collect(now time.Time) map[peer.InstanceID]*peerpb.ColdStartReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := make(map[peer.InstanceID]*peerpb.ColdStartReport)
	taken := 0
	for range c.order {
		if taken >= c.settings.MaxBatches {
			break
		}
		key := c.order[c.nextIndex%len(c.order)]
		c.nextIndex++
		to, known := c.roles.Allocator(key.Resource())
		if !known {
			continue
		}
		batch, due := c.meters[key].TakeBatch(now)
		if !due {
			continue
		}
		taken++
		if reports[to] == nil {
			reports[to] = &peerpb.ColdStartReport{}
		}
		reports[to].Batches = append(reports[to].Batches, batchToMessage(key, batch))
	}
	return reports
}

func (c *Client) report(ctx context.Context, to peer.InstanceID, report *peerpb.ColdStartReport) {
	var reply *peerpb.ColdStartReply
	if to == c.transport.Self() && c.local != nil {
		reply = c.local.HandleReport(to, report)
	} else {
		reply = &peerpb.ColdStartReply{}
		ctx, cancel := context.WithTimeout(ctx, c.settings.WarmInterval.Std())
		defer cancel()
		if err := c.transport.Call(ctx, to, ServiceReport, report, reply); err != nil {
			c.log.V(1).Info("the cold-start report was not delivered; its answers are not counted", "allocator", to, "error", err.Error())
			return
		}
	}
	sequences := make(map[Key]uint64, len(report.Batches))
	for _, b := range report.Batches {
		sequences[Key{b.GetPool(), b.GetUpstream()}] = b.GetSequence()
	}
	for _, m := range reply.States {
		key, state := stateFromMessage(m)
		if meter := c.lookup(key); meter != nil {
			meter.Apply(sequences[key], state)
		}
	}
}
