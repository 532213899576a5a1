package follow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against two instances that act for one region at the same time: after the restart of a reader, while it is cut off
// from the store, and after the store has taken its key away without its knowledge.
func TestAtMostOneInstanceMayGrantForARegion(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 28))
			fl := newFleetIn(t, 8, "north", "south")
			incarnation, granted := 0, 0
			stopped := map[int]bool{}
			for step := range 6000 {
				time.Sleep(10 * time.Millisecond)
				holders := map[string]int{}
				for _, f := range fl.followers {
					if f.MayGrant(time.Now()) {
						holders[f.self.Region]++
						granted++
					}
				}
				is.True(holders["north"] <= 1)
				is.True(holders["south"] <= 1)
				if step%100 != 0 {
					continue
				}
				readers := slices.DeleteFunc(fl.readers(), func(i int) bool { return stopped[i] })
				if len(readers) == 0 {
					continue
				}
				i := readers[random.IntN(len(readers))]
				switch random.IntN(5) {
				case 0:
					fl.stops[i]()
					stopped[i] = true
					fl.net.Crash(fl.ids[i])
					incarnation++
					fl.start(t, i, fmt.Sprintf("r%d", incarnation))
				case 1:
					fl.connections[i].unresponsive.Store(true)
				case 2:
					fl.connections[i].unresponsive.Store(true)
					fl.store.remove(readerKey(fl.followers[i].self.Region, 0))
				default:
					for _, c := range fl.connections {
						c.unresponsive.Store(false)
					}
				}
			}
			is.True(granted > 0)
		})
	}
}
