package quota

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// ServiceGrant is the peer service of allocators.
const ServiceGrant = "quota.grant"

// maxItems bounds the resources in one request, so that a peer cannot hold the lock for long.
const maxItems = 4096

// Roles determines which instance allocates which resource.
type Roles interface {
	// Allocator returns the instance that allocates the resource, and false if it is not known.
	Allocator(resource string) (peer.InstanceID, bool)
	// Authority returns the authority of this instance for the resource.
	Authority(resource string) Authority
}

// LimitFunc returns the leased limit of a resource, and false for an unknown one.
type LimitFunc func(resource string) (int, bool)

// Server runs the allocators of this instance.
type Server struct {
	settings   Settings
	roles      Roles
	limits     LimitFunc
	log        logr.Logger
	mu         sync.Mutex
	allocators map[string]*Allocator
}

// NewServer returns a server and registers its handler on the transport.
func NewServer(t peer.Transport, roles Roles, limits LimitFunc, s Settings, log logr.Logger) (*Server, error) {
	if err := s.Validate("$.quota").Err(); err != nil {
		return nil, err
	}
	srv := &Server{settings: s, roles: roles, limits: limits, log: log, allocators: make(map[string]*Allocator)}
	t.Handle(ServiceGrant, srv.handle)
	return srv, nil
}

func (s *Server) handle(_ context.Context, from peer.InstanceID, data []byte) (proto.Message, error) {
	var request peerpb.GrantRequest
	if err := proto.Unmarshal(data, &request); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "the grant request cannot be decoded", "check the release of the calling instance")
	}
	if len(request.Items) > maxItems {
		return nil, fault.Newf(fault.Invalid, "split the request", "the grant request names %d resources, more than %d", len(request.Items), maxItems)
	}
	return s.HandleRequest(from, &request), nil
}

// HandleRequest handles a request of any instance, including this one.
func (s *Server) HandleRequest(from peer.InstanceID, request *peerpb.GrantRequest) *peerpb.GrantReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &peerpb.GrantReply{Items: make([]*peerpb.GrantReplyItem, 0, len(request.Items))}
	for _, item := range request.Items {
		if a := s.allocator(item.GetResource()); a != nil {
			// The time is read for each item, so that a pause in between cannot make it stale.
			r := a.Handle(time.Now(), s.roles.Authority(item.GetResource()), from, requestFromItem(item))
			reply.Items = append(reply.Items, replyToItem(item.GetResource(), r))
		}
	}
	return reply
}

func (s *Server) allocator(resource string) *Allocator {
	limit, ok := s.limits(resource)
	if !ok {
		return nil
	}
	a := s.allocators[resource]
	if a == nil {
		a = NewAllocator(s.settings, limit)
		s.allocators[resource] = a
	}
	a.SetLimit(limit)
	return a
}

// Run periodically drops allocators of resources that no longer exist, until ctx
// ends. An allocator is kept while a holder may use its units, so that removing and
// re-adding a row does not free them.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Lifetime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for resource, a := range s.allocators {
		a.expire(now)
		if _, ok := s.limits(resource); !ok && len(a.holders) == 0 {
			delete(s.allocators, resource)
			s.log.V(1).Info("dropped the allocator of an unknown resource", "resource", resource)
		}
	}
}
