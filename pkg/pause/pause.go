// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx ends. It reports whether it slept for d; when d is not positive, whether ctx has not ended.
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
