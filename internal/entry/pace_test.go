package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a timer that expires when the bytes of a request body arrive, and that interrupts the caller's connection
// after them.
func TestLateTimerInterruptsNoLaterRead(t *testing.T) {
	is := is.New(t)
	const limit = 200 * time.Microsecond
	for n := range 5000 {
		m := newProgressMonitor(progressLimits{stall: limit, grace: time.Hour}, func() {})
		m.beginRead()
		for started := time.Now(); time.Since(started) < limit+time.Duration(n%40)*time.Microsecond; {
		}
		if m.endRead(1) { // the read was interrupted
			continue
		}
		time.Sleep(10 * time.Microsecond)
		is.True(!m.interrupted.Load())
		m.close()
	}
}
