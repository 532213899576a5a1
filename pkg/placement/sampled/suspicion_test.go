package sampled

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// Guards against refusals although an upstream with free slots can respond before the deadline, because the penalty for its
// earlier failures is taken for time that the request needs.
func TestSuspectWithFreeSlotsIsUsedNearTheDeadline(t *testing.T) {
	for _, deadline := range []time.Duration{400 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimWorld(4, 0)
				p := New(Location{Region: "north", FailureDomain: "north-0"}, w, nil, logr.Discard())
				for id := range w.servers {
					p.suspects.recordFailure(id, 2, time.Now())
				}
				took, err := chooseWith(p, w, deadline, false)
				t.Logf("after %s", took)
				is.NoErr(err)
			})
		})
	}
}
