package configsync

import (
	"maps"
	"time"
)

// Grace periods and the revision step of a watcher.
const (
	// RewindGrace is how long the store's head must stay below the revision in force, and its
	// rows unchanged, before the store is considered rewound. Stale reads end sooner.
	RewindGrace = 6 * time.Second
	// heldGrace is how long a watcher with a lower revision asks its peers for the last valid
	// version of an invalid row. It leaves time to put other edits in force within 12 s.
	heldGrace = 8 * time.Second
	// rewindStep separates the revisions after a rewind of the store from all earlier ones,
	// including those that this instance has not learned of.
	rewindStep = 1 << 20
)

// decision is the action that a watcher takes after a reading.
type decision struct {
	// adopt is a snapshot that may be put in force immediately.
	adopt *snapshot
	// head is the head to write by compare-and-swap against the store's revision headAt.
	// The snapshot afterWrite may be put in force only after that write succeeded.
	head       *Head
	headAt     uint64
	afterWrite *snapshot
	// askPeers requests that the watcher asks peers for a newer revision and soon reads again.
	askPeers bool
}

// sequencer derives revisions from readings of the store. It is deterministic.
type sequencer struct {
	behindSince  time.Time
	behindStored uint64 // digest of the rows in the store since behindSince
	heldSince    time.Time
	heldRevision uint64 // revision of the head since heldSince
	lastReading  time.Time
}

// maxReadingGap is the longest time between two readings of the same grace period. After
// a longer gap, such as an outage, the state of the store in between is not known.
const maxReadingGap = 3 * time.Second

// resetGracePeriods restarts each grace period that does not apply to this reading.
func (q *sequencer) resetGracePeriods(now time.Time, r reading) {
	late := now.Sub(q.lastReading) > maxReadingGap
	if late || q.behindStored != r.stored {
		q.behindSince, q.behindStored = time.Time{}, r.stored
	}
	if late || q.heldRevision != r.head.Revision {
		q.heldSince, q.heldRevision = time.Time{}, r.head.Revision
	}
	q.lastReading = now
}

// observe returns the decision for one reading. cur is the snapshot in force, and highest
// is the highest revision that any instance is known to have.
func (q *sequencer) observe(now time.Time, cur *snapshot, highest uint64, r reading) decision {
	highest = max(highest, cur.revision)
	q.resetGracePeriods(now, r)
	if r.head.Revision < highest {
		return q.observeLowHead(now, cur, highest, r)
	}
	q.behindSince = time.Time{}
	if r.stored == r.head.Stored && r.head.Revision == cur.revision && r.headAt != 0 {
		q.heldSince = time.Time{}
		return decision{}
	}
	if r.stored == r.head.Stored && r.headAt != 0 {
		if values := valuesOfHead(cur, r); digestOf(values) == r.head.InForce {
			return decision{adopt: cur.next(r.head.Revision, values, withoutValues(r.head.Held))}
		}
	}
	values, held, complete := inForce(cur, r)
	if !complete && cur.revision < r.head.Revision && !q.gracePassed(now, &q.heldSince, heldGrace) {
		return decision{askPeers: true}
	}
	return newHeadDecision(cur, r, r.head.Revision+1, values, held)
}

// gracePassed reports whether a grace period has passed. The period starts with the first call,
// which sets *since.
func (q *sequencer) gracePassed(now time.Time, since *time.Time, grace time.Duration) bool {
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= grace
}

func newHeadDecision(cur *snapshot, r reading, revision uint64, values map[string][]byte, held map[string]Held) decision {
	then := cur.next(revision, values, withoutValues(held))
	head := &Head{Revision: revision, Stored: r.stored, InForce: then.digest, Held: withValues(held, values)}
	return decision{head: head, headAt: r.headAt, afterWrite: then}
}

// valuesOfHead returns the values in force according to the head. It does not validate them
// again, so that releases with different validation do not override each other.
func valuesOfHead(cur *snapshot, r reading) map[string][]byte {
	values := maps.Clone(r.rows)
	for key, h := range r.head.Held {
		v := h.Value
		if old, ok := cur.rows[key]; h.Omitted && ok && !old.deleted {
			v = old.value
		}
		if delete(values, key); v != nil {
			values[key] = v
		}
	}
	return values
}

// inForce applies the rows of the store to those in force. It returns the resulting
// values and the rows that are held. complete is false if the last valid version of a
// row may be known only to other instances.
func inForce(cur *snapshot, r reading) (values map[string][]byte, held map[string]Held, complete bool) {
	old, complete := cur.values(), true
	values, held = map[string][]byte{}, map[string]Held{}
	keys := maps.Clone(old)
	maps.Copy(keys, r.rows)
	for key := range keys {
		hash := hashOf(r.rows, key)
		h, wasHeld := r.head.Held[key]
		keep := wasHeld && h.Hash == hash && h.Kind != HeldInvalid
		unchanged := !wasHeld && hash == hashOf(old, key)
		if !keep && !unchanged && hash != 0 {
			h, keep = checkRow(key, r.rows[key], hash)
		}
		switch {
		case keep:
			held[key] = h
			v, known := old[key], cur.revision >= r.head.Revision
			if before := r.head.Held[key]; wasHeld && !before.Omitted {
				v, known = before.Value, true
			}
			complete = complete && known
			if len(v) > 0 {
				values[key] = v
			}
		case hash != 0:
			values[key] = r.rows[key]
		}
	}
	return values, held, complete
}

// checkRow validates a row and reports whether it must be held.
func checkRow(key string, value []byte, hash uint64) (Held, bool) {
	if err := validate(key, value); err != nil {
		return Held{Hash: hash, Kind: HeldInvalid, Reason: err.Error()}, true
	}
	return Held{}, false
}

// observeLowHead handles a head that is lower than a known revision. If the rows do not change
// for RewindGrace, the store is considered rewound: the rows in force stay, and every
// row of the store that differs is held. An edit made before the new head is written cannot
// be distinguished from a row that is still being restored, so it is held as well.
func (q *sequencer) observeLowHead(now time.Time, cur *snapshot, highest uint64, r reading) decision {
	if !q.gracePassed(now, &q.behindSince, RewindGrace) || cur.revision < highest {
		return decision{askPeers: true}
	}
	q.behindSince = time.Time{} // a stale reading after the write must not cause another write immediately
	values, held := cur.values(), map[string]Held{}
	keys := maps.Clone(values)
	maps.Copy(keys, r.rows)
	for key := range keys {
		if hash := hashOf(r.rows, key); hash != hashOf(values, key) {
			held[key] = Held{Hash: hash, Kind: HeldRestored, Reason: "the store was set back to an older state"}
		}
	}
	return newHeadDecision(cur, r, (highest/rewindStep+1)*rewindStep, values, held)
}
