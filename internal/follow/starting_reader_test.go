package follow

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against instances that avoid a reader for failedReaderCooldown, and watch the store themselves, because they asked it
// after it had taken its place and before it had read the store.
func TestReaderThatHasNotReadTheStoreYetIsAskedAgain(t *testing.T) {
	const (
		starts = 200
		// watchDelay is the time for which the store leaves a watch unanswered.
		watchDelay = 50 * time.Millisecond
		// pendingWatch is the time for which an instance may watch the store after its region has got a reader.
		pendingWatch = 1500 * time.Millisecond
		period       = 3 * time.Second
	)
	for n := range starts {
		calls := 0
		synctest.Test(t, func(t *testing.T) {
			fl := newFleetIn(t, 0, "north")
			fl.watchDelay = watchDelay
			for i := range 4 {
				fl.start(t, i, "a")
				time.Sleep(10 * time.Millisecond)
			}
			for fl.readerKeyCount() == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(pendingWatch)
			before := fl.store.callCount()
			time.Sleep(period)
			calls = fl.store.callCount() - before
		})
		if calls > 5 {
			t.Errorf("start %d: the store got %d calls in %s", n, calls, period)
		}
	}
}
