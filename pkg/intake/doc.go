// Package intake keeps what upstreams state in their responses about the requests that they
// take: that they leave, that they want none from this instance for a time, and how many they
// take from all instances together.
//
// The first two hold for the instance that heard them, at once and without messages.
//
// An upstream in need names a number of requests per second in its responses. Shares of that
// number that instances use on their own do not keep it: 18 instances that may each send one
// request at any time send 18 in a second. Each request to such an upstream therefore needs a
// grant of one instance, the granter, which has the only token bucket for it. Grants are
// exclusive by construction: the granter of an upstream is the holder of a leased key in the
// region of the upstream, stops when it has not seen its key in the store for some time, and
// starts only a longer time after it has taken the key. An instance that reaches no granter sends nothing to an
// upstream that it knows to be limited; the other upstreams of the pool take its requests.
//
// Statements and Granter are state machines that take the time as an argument; Service connects
// them to the other instances. A statement belongs to the ID of an upstream, not to its address.
package intake
