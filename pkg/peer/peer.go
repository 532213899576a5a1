// Package peer is the RPC transport between instances. It carries calls with
// protobuf messages and byte streams, both over one multiplexed connection for
// each pair of instances.
//
// TCPTransport opens a connection on the first call and keeps it until it is
// idle. When two instances dial each other at once, the connection that the
// smaller ID opened is kept. The next call reopens a lost connection. Failed
// attempts are followed by a jittered exponential backoff, during which calls fail
// at once with Unavailable. The version and length of a frame have the same form in
// all releases, so frames, kinds and fields of another release are skipped. A call
// to an unknown service gets an Unavailable fault with ErrUnknownService.
//
// Control traffic is limited by a token bucket and metered separately from the
// call path; see WithTraffic. A deadline is sent as the remaining time, so clocks
// need not be synchronized. Queues are bounded: a full one gives Exhausted.
package peer

import (
	"context"
	"net"
	"strings"

	"google.golang.org/protobuf/proto"
)

// InstanceID names one run of an instance as "name/incarnation". The incarnation
// is random for each process start, so a restarted instance has a new ID: its
// in-memory state is lost.
type InstanceID string

// Name returns the part of the ID that stays the same across restarts.
func (id InstanceID) Name() string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// Handler answers a call. The request is the encoded message of the service.
type Handler func(ctx context.Context, from InstanceID, request []byte) (proto.Message, error)

// StreamHandler serves a byte stream and closes it.
type StreamHandler func(from InstanceID, conn net.Conn)

// Transport carries calls and streams between instances. An Unavailable fault
// means that the request was not sent; OutcomeUnknown means that the request may
// have been handled although no answer was received.
type Transport interface {
	// Self returns the ID of this instance.
	Self() InstanceID
	// Call sends request to a service of another instance and decodes the answer into response.
	Call(ctx context.Context, to InstanceID, service string, request, response proto.Message) error
	// Open opens a byte stream to a service of another instance.
	Open(ctx context.Context, to InstanceID, service string) (net.Conn, error)
	// Handle registers the handler of a service; it is called before the transport runs.
	Handle(service string, h Handler)
	// HandleStream registers the stream handler of a service. With nil, streams are refused with an Unavailable fault.
	HandleStream(service string, h StreamHandler)
}
