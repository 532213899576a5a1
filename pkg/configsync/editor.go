package configsync

import (
	"context"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// editPoll is the mean pause between readings of the store while an edit has no revision yet.
const editPoll = 100 * time.Millisecond

// RevisionOf returns the revision of the tables that contains an edit. key is the
// store's key of the row, and at the store's revision of the row after the edit (0
// for a deletion or when it is not known; then the next reading in which all rows
// have a revision decides). It waits until a watcher has given the edit a revision.
func RevisionOf(ctx context.Context, kv store.KV, key string, at uint64) (uint64, error) {
	row := strings.TrimPrefix(key, Prefix)
	for {
		entries, _, err := kv.List(ctx, Prefix)
		if err == nil {
			r := read(entries)
			if r.headAt != 0 && r.stored == r.head.Stored && r.modified[row] >= at {
				return r.head.Revision, nil
			}
		}
		if !pause.For(ctx, jitter(editPoll)) {
			return 0, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the edit is accepted but has no revision yet", "ask again when the store answers and an instance runs")
		}
	}
}
