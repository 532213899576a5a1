package follow

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Guards against shares of a common limit that are too large because instances do not know how many they are: the
// number must be known to all within seconds, after a restart of all at once, and never be too low.
func TestAllInstancesKnowTheirNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 40
		fl := newFleet(t, size)
		known := func(from, atLeast int) {
			t.Helper()
			for _, f := range fl.followers[from:] {
				is.True(f.Instances() >= atLeast)
				is.True(float64(f.Instances()) <= 1.25*float64(atLeast))
			}
		}
		known(0, size)

		for i := range size { // all restart while the store keeps the numbers
			fl.net.Crash(fl.ids[i])
			fl.stops[i]()
		}
		for i := range size {
			fl.start(t, i, "b")
		}
		time.Sleep(100 * time.Millisecond)
		known(size, size)

		for i := range size { // as many join
			fl.start(t, size+i, "a")
		}
		time.Sleep(12 * time.Second)
		known(size, 2*size)
		time.Sleep(30 * time.Second)
		written := int64(0)
		for _, c := range fl.connections {
			written += c.writes.Load()
		}
		is.True(written <= 12) // the number of writes does not grow with the number of instances
	})
}

// Guards against a number that follows every restart, and against one that falls because the reader is cut off
// from the others.
func TestRecordedNumber(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name              string
		counted, recorded int
		lowFor            time.Duration
		want              int
	}{
		{"first", 8, 0, 0, 9},
		{"same", 8, 9, time.Minute, 0},
		{"grown", 16, 9, 0, 18},
		{"a few restart", 7, 9, time.Minute, 0},
		{"half restart", 4, 9, shrinkDelay - time.Second, 0},
		{"half are gone", 4, 9, shrinkDelay, 4},
		{"cut off from all", 1, 9, time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			counter := newInstanceCounter()
			ask := func(at time.Time) {
				for i := range c.counted - 1 {
					counter.record(peer.InstanceID(fmt.Sprintf("e%d/a", i)), at)
					counter.record(peer.InstanceID(fmt.Sprintf("e%d/b", i)), at) // the same instance, restarted
				}
			}
			for at := time.Duration(0); at < c.lowFor; at += time.Second {
				ask(now.Add(at))
				is.Equal(counter.next(c.recorded, now.Add(at)), 0)
			}
			ask(now.Add(c.lowFor))
			is.Equal(counter.next(c.recorded, now.Add(c.lowFor)), c.want)
		})
	}
}

// Guards against a total that omits regions without a reader, and against a record that cannot be read.
func TestTotalInstances(t *testing.T) {
	is := is.New(t)
	is.Equal(totalInstances(map[string]int{}, 3), 0)
	is.Equal(totalInstances(map[string]int{"north": 5}, 3), 15)
	is.Equal(totalInstances(map[string]int{"north": 5, "south": 2, "east": 1}, 3), 8)
	for _, value := range []string{"", "0", "-3", "many"} {
		_, err := decodeFleetSize(store.Entry{Key: fleetPrefix + "north", Value: []byte(value)})
		is.True(err != nil)
	}
}

// price returns the price of all calls to the store so far, in current reads: a stale one costs a tenth.
func (l *fakeLog) price() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.calls) + float64(l.staleCalls)/10
}

// Guards against calls to the store that grow with the number of instances when all start at once, when they join while
// readers are there, and while the store fails.
func TestStoreCallsOfManyInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size, readers = 100, 2
		spent, since := 0.0, time.Now()
		// allowed returns whether the price of the calls since the last time is that of the readers and a tenth
		// of a call for each of the others a given number of times.
		allowed := func(fl *fleet, stale int) bool {
			t.Helper()
			seconds := time.Since(since).Seconds()
			price := fl.store.price() - spent
			spent, since = fl.store.price(), time.Now()
			t.Logf("%.1f s: price %.1f", seconds, price)
			return price <= 3*readers*(seconds+2)+float64(stale*size)/10
		}
		fl := newFleet(t, size)
		is.True(allowed(fl, 7)) // a list and several searches for a reader

		for i := range size {
			fl.start(t, size+i, "a")
		}
		time.Sleep(4 * time.Second)
		is.True(allowed(fl, 2))

		fl.store.set(func() { fl.store.down = true })
		time.Sleep(8 * time.Second)
		fl.store.set(func() { fl.store.down = false })
		time.Sleep(4 * time.Second)
		is.True(allowed(fl, 2*19)) // of both halves; the target for a day is 900 for 471 instances, 1.9 each
		is.True(fl.changeReachesAll(2*time.Second, -1))
	})
}

// Guards against an instance that stays with the state of a stale list, with and without a reader to ask.
func TestStaleListIsCaughtUp(t *testing.T) {
	for _, size := range []int{1, 12} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fl := newFleet(t, size)
				fl.store.set(func() { fl.store.staleBy = 3 })
				fl.store.put("u3", "up p ready")
				fl.store.remove("u1")
				fl.store.put("config", "config xx")
				fl.start(t, size, "a")
				time.Sleep(4 * time.Second)
				f := fl.followers[size]
				is.Equal(inService(f), []string{"u2", "u3"})
				is.Equal(f.Snapshot().Tables.Revision, uint64(2))
			})
		})
	}
}

// Guards against readers that are missing until their former leases expire when all instances restart at once, during
// which every instance calls the store.
func TestRestartedReaderTakesItsKeyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 40
		fl := newFleet(t, size)
		before := fl.readerIDs()
		for i := range size {
			fl.net.Crash(fl.ids[i])
			fl.connections[i].unresponsive.Store(true) // so that no lease is released
			fl.stops[i]()
		}
		time.Sleep(time.Second)
		price := fl.store.price()
		for i := range size {
			fl.start(t, i, "b")
		}
		time.Sleep(500 * time.Millisecond)
		for key, id := range fl.readerIDs() {
			is.Equal(strings.TrimSuffix(id, "/b"), strings.TrimSuffix(before[key], "/a"))
		}
		time.Sleep(1500 * time.Millisecond)
		is.True(fl.store.price()-price <= 2*3*4+0.6*size) // both readers, and a few searches of each instance
		fl.followers = fl.followers[size:]
		is.True(fl.changeReachesAll(2*time.Second, -1))
	})
}

// readerIDs returns the IDs of the registered readers by key.
func (fl *fleet) readerIDs() map[string]string {
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	ids := map[string]string{}
	for key, e := range fl.store.entries {
		if r, err := decodeReader(e); err == nil && strings.HasPrefix(key, readersPrefix) {
			ids[key] = string(r.ID)
		}
	}
	return ids
}
