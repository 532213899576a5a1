// Package membership maintains each instance's view of the members of the
// deployment and of the roles that they hold.
//
// # Sources
//
// The platform's list names the instances but lags behind reality. Each instance
// sends heartbeats to a bounded number of neighbours on a hash ring, so its cost
// does not grow with the fleet. A neighbour that misses two heartbeats is probed
// through two other members before it becomes suspect. Each instance keeps a lease
// in the store under the name LeasePrefix + instance ID. Changes spread by gossip
// on heartbeats; an exchange of digests with random members repairs what gossip
// missed. Only two instances in each region read the list and the leases.
//
// # States
//
// An instance is live, leaving (announced by itself), suspect (missed heartbeats)
// or gone. A suspect instance becomes gone when a reading of the list or the
// leases that began after the suspicion no longer contains it, or after
// SuspectTimeout while the store is unreachable. Of two records for one instance
// ID, the higher version wins; at equal versions the later state wins, in the
// order live, leaving, suspect, gone. Only the instance itself increments its
// version. It does so to refute a suspicion and to return after it was declared
// gone.
//
// # Roles
//
// A role is a key with a scope (the fleet, a region or a failure domain). Its
// holders are the live members of the scope with the highest rendezvous hashes.
// A role is a hint for distributing work, not a lock: two instances can hold it
// while their views differ. Mutual exclusion requires compare-and-swap in the
// store or a lease from a quorum.
//
// # Guarantees under failures
//
// While the store is down, membership relies on heartbeats. Suspect members
// become gone after the timeout and roles move. No conclusions are drawn from the
// list or the leases, so a member may be declared gone although its lease is
// still in force in the store. Instances may start and hold roles.
//
// While the list lags, an instance that it contains may be long gone and one that
// it lacks may be live. Presence in the list only makes an unknown instance worth
// contacting. Absence counts only for an instance that was listed before and is
// already suspect.
//
// During a network partition between regions, each side sees the other as suspect
// while the store still shows its leases, and as gone after the timeout if the
// side cannot reach the store. Each side elects holders for the roles of the
// whole fleet, so such a role can have two sets of holders. Roles of a region or
// failure domain are held only by its own members, so neither side takes over such
// a role from the other. Members that are gone are contacted occasionally for
// TombstoneAge, so that the sides merge again without intervention.
//
// After a pause of its own process, an instance whose monotonic or wall clock
// advanced by more than the lease can no longer trust its view. Holds compares the
// clocks with the last tick itself and therefore returns false from the end of the
// pause on, even before the first tick. The instance holds roles again after it
// has exchanged member tables with a peer and received a reply about its lease.
package membership
