package configsync

import (
	"context"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// editPollInterval is the mean interval between reads of the store while an edit has no revision yet.
const editPollInterval = 100 * time.Millisecond

// AwaitRevision returns the revision of the tables that contains an edit. It waits until
// a watcher has assigned the edit a revision. key is the store's key of the row, and at
// is the store's revision of the row after the edit. For a deletion, or if the store's
// revision is not known, at is 0; AwaitRevision then returns the revision of the first
// reading whose head covers all rows.
func AwaitRevision(ctx context.Context, kv store.KV, key string, at uint64) (uint64, error) {
	row := strings.TrimPrefix(key, Prefix)
	for {
		entries, _, err := kv.List(ctx, Prefix)
		if err == nil {
			r := parseReading(entries)
			if r.headAt != 0 && r.stored == r.head.Stored && r.modified[row] >= at {
				return r.head.Revision, nil
			}
		}
		if !pause.For(ctx, jitter(editPollInterval)) {
			return 0, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "the edit is accepted but has no revision yet", "ask again when the store answers and an instance runs")
		}
	}
}
