// Package view maintains the view of each region: which instances are the replicas of
// the region's claims, and which of them allocates a shared limit.
//
// A view {epoch, members, predecessors} is a row of the store that is changed only by
// compare-and-swap, so the epochs of a region form a single sequence. Before a member of a
// new view grants anything, it seals a seal quorum of each predecessor and loads their
// records. A sealed member grants nothing more in that epoch. The write quorums and seal
// quorums of a group intersect, so every later view finds a write that a write quorum
// granted.
//
// An instance holds authority in an epoch while a write quorum of members confirmed it
// within the lease. A member that confirmed delays its seal until the lease has expired
// on its own clock, so authority in an old epoch has ended before a member of a newer
// view opens. This requires clocks whose rates differ by at most 1%, but no synchronised
// clocks.
//
// After a write quorum has loaded, the predecessors are removed from the row. A member
// that loads later copies the records from a loaded member. Claims that completed in the
// new epoch need no copy, because the late member was not in their write quorum and two
// write quorums of the group intersect in other members.
//
// A predecessor is never dropped because its members do not reply. When fewer members
// than its seal quorum survive, the region opens no view, because lost records cannot be
// distinguished from records that a partitioned part of the view still writes.
package view
