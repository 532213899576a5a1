package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that never learns a change: the pages of its first, stale list are of different ages, and the
// change lies between the time of an older page and the newest entry of a later one.
func TestStartFromPagesOfDifferentAgesMissesNoChange(t *testing.T) {
	for name, pages := range map[string][]stalePage{
		"older first page":  {{behind: 2}, {first: "u", behind: 0}},
		"older second page": {{behind: 0}, {first: "u2", behind: 3}, {first: "u3", behind: 0}},
	} {
		for _, size := range []int{0, 4} {
			t.Run(fmt.Sprintf("%s, %d other instances", name, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, size)
					fl.store.put("u2", "up p leaving")
					fl.store.put("config", "config xx")
					fl.store.put("u3", "up p ready")
					fl.store.set(func() { fl.store.stalePages = pages })
					fl.start(t, size, "late")
					time.Sleep(inTouchAfter)
					f := fl.followers[size]
					is.Equal(f.Snapshot().Tables.Revision, uint64(2))
					is.Equal(inService(f), []string{"u1", "u3"})
				})
			})
		}
	}
}
