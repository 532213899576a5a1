// Package idempotency runs non-idempotent requests at most once. Before an entry sends such a
// request, it claims the request's key on the members of the view of the record region.
//
// A claim is valid when a write quorum of members granted it in one epoch. A member
// grants a claim when it knows no other unreleased claim of the key. Any two write
// quorums of a view share a member, and a member of a later view holds the records of
// a seal quorum of each earlier view, so at most one unreleased claim of a key ever
// reaches a write quorum. A claim is released only when its request has not run: the
// claimant abandoned it before sending anything, or the upstream proved that the
// request did not run.
//
// A member keeps an ended claim for the record window. A claim whose claimant stops
// sending messages is kept longer by 5 s and one refresh interval. Claimants refresh a
// running claim four times in each window and start to send only within 5 s of the first
// claim message. The protocol does not protect against a claimant that is paused for
// longer than the record window between that check and the first byte, so the window
// must be longer than any pause.
//
// Records are never dropped within their window. When the memory limit is reached, a
// member grants no new claim and stores no new answer. Records imported in a view
// change, the ends of claims and tombstones are accepted beyond the limit.
//
// # Alternatives
//
// A primary with backups under views would send each claim to one instance, which
// orders the claims of a key, so that two entries never split the members. It costs an
// additional hop (12 ms between regions) for every claim, concentrates the load of a
// region on one instance, and pauses for at least one lease plus a view change whenever
// that instance is lost or slow. While the store is down, losing the primary stops all
// claims, whereas with quorums the loss of any one of four members needs no store. The
// disadvantage of quorums is split claims. They are rare, since copies of a request
// arrive seconds apart, and are resolved by a jittered retry.
//
// Majority quorums without views need no store for a change, but require a fixed set of
// replicas with durable memory. The instances here have no disk and are replaced
// daily. A replica that restarts with empty memory would grant a key again, and reusing
// its name would silently break the intersection of quorums. Replacing members safely
// needs an agreed sequence of member sets, which is what a view is.
package idempotency
