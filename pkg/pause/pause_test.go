package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a sleep that continues after its context has ended, and one that ends too early.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(For(context.Background(), time.Second))
		is.Equal(time.Since(start), time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(For(ctx, 0))
		is.True(!For(ctx, time.Minute))
		is.True(!For(ctx, 0))
		is.Equal(time.Since(start), 2*time.Second)
	})
}
