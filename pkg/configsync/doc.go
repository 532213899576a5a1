// Package configsync distributes the tables from the store to every instance.
//
// # Store keys
//
//	turmericsail/routes/NAME   one route, JSON
//	turmericsail/pools/NAME    one pool, JSON
//	turmericsail/revision      the Head: revision, digests and held rows, JSON
//
// # Revision
//
// The store's own index cannot serve as the revision: it also counts changes of
// other keys, and it decreases when a store is rebuilt or restored. The revision is
// a monotonic counter in the head key. An edit changes a row. A watcher that reads
// rows whose digest differs from the one in the head writes a head with the next
// revision by compare-and-swap, and puts the rows in force only after that write.
// So each revision identifies exactly one content. If the answer to the write is
// lost, the watcher reads the head again to learn the result.
//
// # Watchers and deltas
//
// Two instances in each region watch the store. They offer a new revision to the
// other instances of their region along a rendezvous tree with a fan-out of 4, whose
// order differs for each revision, and to two random instances of the fleet. An
// instance with a lower revision pulls a delta: the rows that changed after its own
// revision. It verifies the digest of the result and requests a full copy if the
// digest differs. Once a second each instance compares revisions with a random one.
//
// A watch must return within a few seconds even if nothing changed, because a watch
// for an index above the store's current one (as after a restore) never returns by
// itself: set WatchWait of the store driver to 5 s.
//
// # Revisions never decrease
//
// An instance replaces its tables only by a higher revision. A head below its
// revision is treated as a stale read at first. If the head stays below for
// RewindGrace, the store is considered rewound, that is, restored to an older state.
// The watcher then writes a head above every revision that it can learn of, keeps
// the rows that are in force, and holds every row of the store that differs until an
// operator edits it. Before that head is written, an edit cannot be distinguished
// from a row that is still being restored, so it is held and reported too and must be
// made again. An edit that has reached only instances that the watcher cannot reach
// at that time can be lost.
//
// A row that fails validation is held too: its last valid version stays in force.
// Held rows are listed in the head, with their values in force, and in Status. The
// last valid version exists only in the memory of instances when these values exceed
// 384 KiB, or while an invalid edit has no revision yet. If the instances that have
// it stop in that time, or cannot be reached for 8 s, an older version or none
// replaces it.
//
// A starting instance asks every live member and the store and uses the highest
// revision, so a restart does not lower the revision that it serves. If the store is
// down, the members are enough.
package configsync
