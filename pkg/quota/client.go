package quota

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// Client runs the holders of this instance: it sends their requests to the allocators and applies the replies.
type Client struct {
	settings  Settings
	transport peer.Transport
	roles     Roles
	local     *Server
	log       logr.Logger
	wake      chan struct{}
	mu        sync.Mutex
	holders   map[string]*Holder
	calls     sync.WaitGroup
}

// NewClient returns a client. Requests to this instance itself are handled by local.
func NewClient(t peer.Transport, roles Roles, local *Server, s Settings, log logr.Logger) (*Client, error) {
	if err := s.Validate("$.quota").Err(); err != nil {
		return nil, err
	}
	return &Client{
		settings: s, transport: t, roles: roles, local: local, log: log,
		wake: make(chan struct{}, 1), holders: make(map[string]*Holder),
	}, nil
}

// Gate returns the gate of a resource, creating it with the given fixed share on
// first use. Callers should keep the pointer, since the lookup takes a lock.
func (c *Client) Gate(resource string, fixed int) *Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holders[resource]
	if h == nil {
		gate := NewGate(time.Now(), fixed)
		gate.wake = c.notify
		h = NewHolder(c.settings, gate)
		c.holders[resource] = h
	}
	return h.gate
}

// Forget drops the holder of a resource that no longer exists. The allocator keeps
// its units reserved until the grant and the work bound have expired.
func (c *Client) Forget(resource string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holders, resource)
}

// Limit returns the limit of a resource over all instances as of the last reply; 0 if there was none.
func (c *Client) Limit(resource string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.holders[resource]; h != nil {
		return h.Limit()
	}
	return 0
}

func (c *Client) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run sends requests and applies replies until ctx ends; then it returns the unused units to the allocators.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.settings.Poll / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.leave(context.WithoutCancel(ctx))
			c.calls.Wait()
			return nil
		case <-ticker.C:
		case <-c.wake:
		}
		c.send(ctx, c.collect((*Holder).step))
	}
}

// step applies expired deadlines and returns the request that is due, if any.
func (h *Holder) step(now time.Time) (Request, bool) {
	h.Step(now)
	if !h.Due(now) {
		return Request{}, false
	}
	return h.Request(now), true
}

func (c *Client) leave(ctx context.Context) {
	c.send(ctx, c.collect(func(h *Holder, now time.Time) (Request, bool) {
		return h.Leave(now), h.requested
	}))
}

// collect builds the requests of all holders, grouped by allocator.
func (c *Client) collect(next func(*Holder, time.Time) (Request, bool)) map[peer.InstanceID]*peerpb.GrantRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	batches := make(map[peer.InstanceID]*peerpb.GrantRequest)
	for resource, h := range c.holders {
		request, due := next(h, time.Now())
		to, known := c.roles.Allocator(resource)
		if !due || !known {
			continue
		}
		if batches[to] == nil {
			batches[to] = &peerpb.GrantRequest{}
		}
		batches[to].Items = append(batches[to].Items, requestToItem(resource, request))
	}
	return batches
}

func (c *Client) send(ctx context.Context, batches map[peer.InstanceID]*peerpb.GrantRequest) {
	for to, request := range batches {
		c.calls.Add(1)
		go func() {
			defer c.calls.Done()
			c.call(ctx, to, request)
		}()
	}
}

func (c *Client) call(ctx context.Context, to peer.InstanceID, request *peerpb.GrantRequest) {
	if to == c.transport.Self() && c.local != nil {
		c.receive(c.local.HandleRequest(to, request))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Lifetime/2)
	defer cancel()
	var reply peerpb.GrantReply
	if err := c.transport.Call(ctx, to, ServiceGrant, request, &reply); err != nil {
		c.log.V(1).Info("the allocator did not answer; the request will be sent again", "allocator", to, "error", err.Error())
		return
	}
	c.receive(&reply)
}

func (c *Client) receive(reply *peerpb.GrantReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range reply.Items {
		if h := c.holders[item.GetResource()]; h != nil {
			h.Receive(time.Now(), replyFromItem(item))
		}
	}
}

// Forfeit drops all grants after the clock of this instance stood still for gap.
func (c *Client) Forfeit(gap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.holders {
		h.Forfeit(time.Now(), gap)
	}
}
