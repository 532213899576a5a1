package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// inTouchAfter is how long an instance must have run, and the store must have answered, until changeBound holds.
	inTouchAfter = 3 * time.Second
	// changeBound is the time from the acknowledgement of a change by the store until the change must be in force.
	changeBound = 2 * time.Second
)

// Guards against an instance that first accepts older data of a reader that has lost the store, then waits for that
// reader and others that fall silent, and only then asks the store.
func TestReaderThatLosesTheStoreAndFallsSilentDelaysNoChange(t *testing.T) {
	for name, regions := range map[string]int{"one reader": 1, "all readers": 3} {
		for silent := 100 * time.Millisecond; silent <= 1500*time.Millisecond; silent += 200 * time.Millisecond {
			t.Run(fmt.Sprintf("%s, silent after %s", name, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleetIn(t, 12, "north", "south", "east")
					readers := fl.readers()[:regions]
					for _, r := range readers {
						fl.connections[r].unresponsive.Store(true)
					}
					fl.store.put("config", "config xx")
					time.Sleep(silent)
					for _, r := range readers {
						fl.net.Pause(fl.ids[r])
					}
					time.Sleep(changeBound - silent)
					for i, f := range fl.followers {
						if !fl.followers[i].isReader.Load() || !fl.connections[i].unresponsive.Load() {
							is.Equal(f.Snapshot().Tables.Revision, uint64(2))
						}
					}
				})
			})
		}
	}
}

// Guards against an instance that learns of a change too late after an outage of the store during which readers have
// restarted: what it spends on readers that have ended and on pauses must leave time for the store.
func TestReaderRestartsInOutageDelayNoChange(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			if late := playReaderRestarts(t, seed); late > 0 {
				t.Errorf("seed %d: a change was in force %s too late", seed, late)
			}
		})
	}
}

// playReaderRestarts plays an outage of the store around which readers restart one after the other, without a word or
// with their connections closed, and a change after it. It returns by how much the slowest instance misses the bound.
func playReaderRestarts(t *testing.T, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 28))
	between := func(low, high float64) time.Duration {
		return time.Duration((low + random.Float64()*(high-low)) * float64(time.Second))
	}
	const size, step, ended = 14, 10 * time.Millisecond, -1
	fl := newFleetIn(t, size, "north", "south", "east")
	latest := make([]int, size) // index of the latest incarnation
	started := make([]time.Time, size)
	for i := range latest {
		latest[i] = i
	}
	begin := time.Now()
	events := map[time.Duration][]func(){} // by the time since begin, in steps
	at := func(when time.Duration, event func()) {
		when = when.Round(step)
		events[when] = append(events[when], event)
	}
	back := between(4, 9)
	acknowledged := back + between(0, 2.5)
	at(0, func() { fl.setUnresponsive(true) })
	at(back, func() {
		fl.store.set(func() { fl.store.staleBy = uint64(random.IntN(4)) })
		fl.setUnresponsive(false)
	})
	at(acknowledged, func() { fl.store.put("config", "config xx") })
	readers, wordless := fl.readers(), random.IntN(4) > 0
	for n := range 2 + random.IntN(len(readers)-1) {
		i, stop := readers[n], acknowledged+between(-1, 1)
		end := stop
		if wordless {
			end += 1200 * time.Millisecond
		}
		at(stop, func() {
			latest[i] = ended
			fl.stops[i]()
			if wordless {
				fl.net.Pause(fl.ids[i])
			}
		})
		at(end, func() {
			fl.net.Resume(fl.ids[i])
			fl.net.Crash(fl.ids[i])
		})
		at(end+time.Second, func() {
			fl.start(t, i, "b")
			latest[i], started[i] = len(fl.followers)-1, time.Now()
			fl.connections[latest[i]].unresponsive.Store(time.Since(begin) < back.Round(step))
		})
	}

	late := time.Duration(0)
	for now := time.Duration(0); now < acknowledged+6*time.Second; now += step {
		for _, event := range events[now] {
			event()
		}
		time.Sleep(step)
		if now < acknowledged {
			continue
		}
		for n, i := range latest {
			if i == ended {
				continue
			}
			due := begin.Add(max(acknowledged+changeBound, back+inTouchAfter))
			if inTouch := started[n].Add(inTouchAfter); inTouch.After(due) {
				due = inTouch
			}
			if tables := fl.followers[i].Snapshot().Tables; tables == nil || tables.Revision != 2 {
				late = max(late, time.Since(due))
			}
		}
	}
	return late
}

// setUnresponsive lets the store fall silent for all instances, or answer again. Leases pause while it is silent and
// start anew when it answers again.
func (fl *fleet) setUnresponsive(on bool) {
	for _, c := range fl.connections {
		c.unresponsive.Store(on)
	}
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	for _, lease := range fl.store.leases {
		lease.timer.Stop()
		if !on {
			lease.timer.Reset(lease.ttl)
		}
	}
}
