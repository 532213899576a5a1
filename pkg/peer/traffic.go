package peer

import (
	"context"
	"errors"
)

// Traffic is the kind of traffic that a message belongs to.
type Traffic uint8

const (
	// Control is traffic that no request waits for: membership, configuration,
	// quotas and load reports. The control byte budget limits it.
	Control Traffic = iota
	// CallPath is traffic that belongs to one request, such as claims and
	// permits. It is proportional to the requests; it is metered but not limited here.
	CallPath
)

// String returns the name of the traffic kind.
func (t Traffic) String() string {
	if t == CallPath {
		return "call-path"
	}
	return "control"
}

type trafficKey struct{}

// WithTraffic marks the calls made with the returned context. The answer to a
// call counts as the same kind of traffic. Calls are control traffic unless
// marked otherwise, so that unmarked traffic cannot bypass the budget.
func WithTraffic(ctx context.Context, t Traffic) context.Context {
	return context.WithValue(ctx, trafficKey{}, t)
}

// TrafficOf returns the kind of traffic that ctx is marked with.
func TrafficOf(ctx context.Context) Traffic {
	t, _ := ctx.Value(trafficKey{}).(Traffic)
	return t
}

// ErrUnknownService is in the chain of the Unavailable fault for a call to a
// service that the other instance does not have, for example because it runs an
// older release.
var ErrUnknownService = errors.New("unknown service")

// ErrOtherIncarnation is in the chain of the Unavailable fault for a call to an instance at whose address another
// one answers. The called instance has ended: an incarnation keeps its address for as long as it runs.
var ErrOtherIncarnation = errors.New("another instance answers at the address")
