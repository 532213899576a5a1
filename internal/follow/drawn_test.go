package follow

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// drawnStep is one event of a drawn history. Its fields are used as far as they fit the kind.
type drawnStep struct {
	kind     string
	instance int
	upstream int
	behind   [3]uint64 // revisions by which the pages of stale lists lag
	pause    time.Duration
}

var drawnKinds = []string{"upstream ready", "upstream leaving", "upstream gone", "configuration", "restart", "freeze", "wake", "refuse", "serve", "drop history", "pages"}

func drawStep(t *rapid.T) drawnStep {
	return drawnStep{
		kind:     rapid.SampledFrom(drawnKinds).Draw(t, "kind"),
		instance: rapid.IntRange(0, drawnInstances-1).Draw(t, "instance"),
		upstream: rapid.IntRange(0, 9).Draw(t, "upstream"),
		behind:   [3]uint64{rapid.Uint64Range(0, 8).Draw(t, "behind 1"), rapid.Uint64Range(0, 8).Draw(t, "behind 2"), rapid.Uint64Range(0, 8).Draw(t, "behind 3")},
		pause:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond,
	}
}

const drawnInstances = 5

// drawnFleet is a fleet to which drawn steps happen.
type drawnFleet struct {
	*fleet
	current [drawnInstances]int // the index of the running incarnation of each instance
	version int
}

// freeze lets the answers to an instance arrive after the time limit of their calls, or ends that.
func (d *drawnFleet) freeze(instance int, on bool) {
	i := d.current[instance]
	d.answers[i].late.Store(on)
	d.connections[i].late.Store(on)
}

func (d *drawnFleet) restart(t *testing.T, instance, incarnation int) {
	i := d.current[instance]
	d.stops[i]()
	d.net.Crash(d.ids[i])
	d.current[instance] = len(d.followers)
	d.start(t, instance, fmt.Sprint("r", incarnation))
}

func (d *drawnFleet) play(t *testing.T, n int, s drawnStep) {
	key := fmt.Sprintf("u%02d", s.upstream)
	switch s.kind {
	case "upstream ready":
		d.store.put(key, "up p ready")
	case "upstream leaving":
		d.store.put(key, "up p leaving")
	case "upstream gone":
		d.store.remove(key)
	case "configuration":
		d.version++
		d.store.put("config", "config "+strings.Repeat("x", d.version))
	case "restart":
		d.restart(t, s.instance, n)
	case "freeze", "wake":
		d.freeze(s.instance, s.kind == "freeze")
	case "refuse", "serve":
		d.connections[d.current[s.instance]].refused.Store(s.kind == "refuse")
	case "drop history":
		d.store.set(func() { d.store.oldest = d.store.rev })
	case "pages":
		d.store.set(func() {
			d.store.stalePages = []stalePage{{behind: s.behind[0]}, {first: "u00", behind: s.behind[1]}, {first: "u05", behind: s.behind[2]}}
		})
	}
	time.Sleep(s.pause)
}

// differences compares what each instance holds with what the store holds.
func (d *drawnFleet) differences() (found []string) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var ready []string
	for _, key := range slices.Sorted(maps.Keys(d.store.entries)) {
		if string(d.store.entries[key].Value) == "up p ready" {
			ready = append(ready, key)
		}
	}
	for _, i := range d.current {
		f := d.followers[i]
		if tables := f.Snapshot().Tables; tables == nil || tables.Revision != uint64(d.version) {
			found = append(found, fmt.Sprintf("%s does not have version %d", f.self.ID, d.version))
		} else if ids := inService(f); !slices.Equal(ids, ready) {
			found = append(found, fmt.Sprintf("%s has upstreams %v, the store %v", f.self.ID, ids, ready))
		}
	}
	return found
}

// Guards against an instance that lacks a change for good: its position moved although it had not taken in all up to it.
// Lists are of several ages, answers arrive late, instances restart and the store drops its history.
func TestEveryInstanceHoldsWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var found []string
		synctest.Test(t, func(t *testing.T) {
			d := &drawnFleet{fleet: newFleet(t, drawnInstances), version: 1}
			for i := range d.current {
				d.current[i] = i
			}
			for n, s := range steps {
				d.play(t, n, s)
			}
			for i := range d.current {
				d.freeze(i, false)
				d.connections[d.current[i]].refused.Store(false)
			}
			time.Sleep(inTouchAfter + changeBound)
			found = d.differences()
		})
		if len(found) > 0 {
			rt.Fatal(strings.Join(found, "; "))
		}
	})
}
