// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether ctx still runs.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
